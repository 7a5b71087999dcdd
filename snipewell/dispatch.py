"""Joins backlog, placement and admission: which waiting task goes to which agent now.

A ``Dispatcher`` decides and does no I/O. Its owner calls ``next_grants`` after every batch of
events and at least every 20 ms, and sends what it returns.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from .admission import AdmissionLimits, Demand, find_impossible, find_refusal
from .backlog import Backlog, Batch, PlacementClass
from .clock import Clock
from .effect import Submission, TaskReady
from .ids import AgentId, Incarnation, ScopedKey, ServiceName, TaskIndex, TeamName, ZoneId
from .message import Candidate, Load, RefusalReason, TaskState
from .outcome import Impossible, NotRun
from .placement import ZONE_DISTANCE_MS, AgentState, Option, Policy, choose
from .resource import ConfigurationSpec, ServiceSpec, TeamSpec
from .view import AgentView


@dataclass(frozen=True, slots=True)
class DispatchLimits:
    """Bounds of one entry's dispatcher. Times are in milliseconds.

    ``max_grants`` bounds one call of ``next_grants``, ``max_candidates`` the agents that a key's
    record names.
    """

    admission: AdmissionLimits = field(default_factory=AdmissionLimits)
    max_grants: int = 512
    max_candidates: int = 256
    bulk_tasks: int = 32
    ageing: float = 0.1
    default_expected_ms: float = 200.0


@dataclass(frozen=True, slots=True)
class Grant:
    """One task for one life of an agent; ``reason`` is a short text for the decision log."""

    key: ScopedKey
    task: TaskIndex
    agent: AgentId
    incarnation: Incarnation
    reason: str


@dataclass(slots=True)
class _Running:
    ready: TaskReady
    agent: AgentId
    arrived_ms: float
    granted_ms: float


class Dispatcher:
    """Decides for one entry, on its own views and estimates."""

    def __init__(
        self, clock: Clock, rng: Random, zone: ZoneId, policy: Policy, limits: DispatchLimits
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._zone = zone
        self._policy = policy
        self._limits = limits
        self._backlog = Backlog(limits.ageing, limits.bulk_tasks)
        self._agents: dict[AgentId, AgentState] = {}
        self._running: dict[tuple[ScopedKey, TaskIndex], _Running] = {}
        self._returned: dict[tuple[ScopedKey, TaskIndex], float] = {}
        self._team_running: dict[TeamName, int] = {}
        self._services: dict[ServiceName, ServiceSpec] = {}
        self._teams: dict[TeamName, TeamSpec] = {}
        self._zones: frozenset[ZoneId] = frozenset()
        self._homes = 1
        self._started_ms = clock.now_ms()

    def on_configuration(
        self,
        services: Iterable[ServiceSpec],
        teams: Iterable[TeamSpec],
        zones: Iterable[ZoneId],
        settings: ConfigurationSpec,
    ) -> None:
        """Use the configuration in force; ``zones`` are all that exist, in service or not."""
        self._services = {spec.name: spec for spec in services}
        self._teams = {spec.name: spec for spec in teams}
        self._zones = frozenset(zones)
        for spec in self._teams.values():
            self._backlog.set_weight(spec.name, spec.weight)

    def on_homes(self, homes: int) -> None:
        """Set how many entries place tasks on the same agents, this one included."""
        self._homes = max(1, homes)

    def on_agent(self, view: AgentView) -> None:
        """Take in a new view of an agent, for instance after each heartbeat."""
        state = self._agents.get(view.agent)
        if state is None or state.view.incarnation != view.incarnation:
            self.on_agent_gone(view.agent)
            state = self._agents[view.agent] = AgentState(view)
        state.view = view
        state.report(view.load, self._clock.now_ms())

    def on_agent_gone(self, agent: AgentId) -> None:
        """Forget an agent and the tasks granted to it; their home decides what becomes of them."""
        if self._agents.pop(agent, None) is None:
            return
        for place in [place for place, run in self._running.items() if run.agent == agent]:
            self._end(*place)

    def enqueue(self, tasks: list[TaskReady]) -> None:
        """Add tasks to the backlog, also those that an agent refused."""
        now = self._clock.now_ms()
        for task in tasks:
            arrived = self._returned.pop((task.key, task.task), now)
            self._backlog.put(task, arrived, self._declared_ms(task.service))

    def withdraw(self, key: ScopedKey) -> None:
        """Remove the waiting tasks of ``key``; granted ones end by ``on_result`` or otherwise."""
        self._backlog.withdraw(key)

    def on_started(self, agent: AgentId, load: Load) -> None:
        """Take in a load that an agent reported without ending a task."""
        state = self._agents.get(agent)
        if state is not None:
            state.report(load, self._clock.now_ms())

    def on_result(
        self,
        agent: AgentId,
        key: ScopedKey,
        task: TaskIndex,
        state: TaskState,
        elapsed_ms: float,
        load: Load,
    ) -> None:
        """Take in the end of a task; ``elapsed_ms`` is the upstream's time by the agent's clock."""
        self._end(key, task)
        self.on_started(agent, load)

    def on_refused(
        self, agent: AgentId, key: ScopedKey, task: TaskIndex, reason: RefusalReason, load: Load
    ) -> None:
        """Take in a refusal. The home enqueues the task again if it may still run."""
        run = self._end(key, task)
        if run is not None:
            self._returned[key, task] = run.arrived_ms
        self.on_started(agent, load)

    def on_grant_void(self, grant: Grant) -> None:
        """Take back a grant that the home did not turn into a start; nothing was sent.

        The task does not wait any more; the home enqueues it again if it may still run.
        """
        self._end(grant.key, grant.task)

    def next_grants(self) -> list[Grant]:
        """Return the grants to make now, in the order in which they should be sent."""
        now = self._clock.now_ms()
        grants: list[Grant] = []
        blocked: set[PlacementClass] = set()
        while len(grants) < self._limits.max_grants:
            batch = self._backlog.best(blocked, now)
            if batch is None:
                break
            option = choose(self._policy, self._options(batch), self._rng)
            if option is None:
                blocked.add(batch.placement)
            else:
                grants.append(self._grant(batch, option, now))
        return grants

    def admit(self, submission: Submission) -> NotRun | Impossible | None:
        """Return why ``submission`` must be refused now, or None if it may be held and run."""
        now = self._clock.now_ms()
        views = [state.view for state in self._agents.values()]
        settled = now - self._started_ms >= self._limits.admission.settle_ms
        service = self._services.get(submission.service)
        impossible = find_impossible(submission, service, self._zones, views, settled)
        if impossible is not None:
            return impossible
        team = self._teams.get(submission.team, TeamSpec(submission.team))
        return find_refusal(
            submission, team, self._demand(submission), self._limits.admission, now, self._rng
        )

    def candidates(self, submission: Submission) -> list[Candidate]:
        """Return the agents that may get tasks of ``submission``, at most ``max_candidates``."""
        service = self._services.get(submission.service)
        fitting = [
            state.view
            for state in self._agents.values()
            if _is_allowed(state.view, submission, service)
        ]
        if len(fitting) > self._limits.max_candidates:
            fitting = self._rng.sample(fitting, self._limits.max_candidates)
        return [Candidate(view.agent, view.incarnation) for view in fitting]

    def waiting(self) -> int:
        """Return how many tasks wait."""
        return self._backlog.waiting

    def running(self) -> int:
        """Return how many granted tasks have not ended."""
        return len(self._running)

    def _options(self, batch: Batch) -> list[Option]:
        placement = batch.placement
        queue = self._policy.binding.queue
        options = []
        for agent in placement.candidates:
            state = self._agents.get(agent)
            if state is None or agent in placement.excluded:
                continue
            view = state.view
            if view.draining or not view.in_service or state.load() >= view.slots + queue:
                continue
            if state.has_room_for(placement.resources):
                distance = 0.0 if view.zone == self._zone else ZONE_DISTANCE_MS
                options.append(Option(state, distance, batch.expected_ms))
        return options

    def _grant(self, batch: Batch, option: Option, now_ms: float) -> Grant:
        task = self._backlog.take(batch)
        view = option.state.view
        option.state.use(task.resources, 1)
        self._running[task.key, task.task] = _Running(task, view.agent, batch.arrived_ms, now_ms)
        self._team_running[task.team] = self._team_running.get(task.team, 0) + 1
        reason = f"{option.state.load()} of {view.slots} slots, {option.expected_ms:.0f} ms"
        return Grant(task.key, task.task, view.agent, view.incarnation, reason)

    def _end(self, key: ScopedKey, task: TaskIndex) -> _Running | None:
        run = self._running.pop((key, task), None)
        if run is not None:
            self._team_running[run.ready.team] -= 1
            state = self._agents.get(run.agent)
            if state is not None:
                state.use(run.ready.resources, -1)
        return run

    def _declared_ms(self, service: ServiceName) -> float:
        spec = self._services.get(service)
        return spec.expected_ms if spec else self._limits.default_expected_ms

    def _demand(self, submission: Submission) -> Demand:
        slots = sum(s.view.slots for s in self._agents.values() if s.view.in_service)
        run_ms = self._declared_ms(submission.service)
        own_work = run_ms * (len(submission.tasks) - 1)
        rate = max(1.0, slots / self._homes)
        return Demand(
            self._backlog.waiting,
            self._backlog.waiting_of(submission.team) + self._team_running.get(submission.team, 0),
            (self._backlog.work_ms + own_work) / rate,
            run_ms,
        )


def _is_allowed(view: AgentView, submission: Submission, service: ServiceSpec | None) -> bool:
    if view.draining or not view.in_service or not view.offers(submission.service):
        return False
    if service is not None:
        if service.zones and view.zone not in service.zones:
            return False
        if service.upstreams and view.upstream not in service.upstreams:
            return False
    return view.has_room_for(submission.resources)
