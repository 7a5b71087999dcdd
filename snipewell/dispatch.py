"""Task dispatch: assign waiting tasks to agents.

The dispatcher combines the backlog, the placement policy, the service time estimates and the
ejection of failing upstreams. A ``Dispatcher`` does no I/O. Its owner calls ``next_grants`` after
every batch of events and at least every 20 ms, and sends the returned grants to the agents.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from statistics import median

from .admission import (
    AdmissionLimits,
    ArrivalRate,
    QueuedWork,
    find_impossible,
    find_refusal,
)
from .backlog import Backlog, Batch, PlacementClass, Size
from .clock import Clock
from .effect import Submission, TaskReady
from .estimate import EstimateLimits, Estimator
from .fleet import Fleet
from .granted import GrantedTask, GrantedTasks
from .ids import (
    AgentId,
    Incarnation,
    ScopedKey,
    ServiceName,
    TaskIndex,
    TeamName,
    UpstreamId,
    ZoneId,
)
from .message import Candidate, Load, RefusalReason, Resources, TaskRecord, TaskState
from .outcome import Impossible, NotRun
from .outlier import Health, OutlierDetector, OutlierLimits
from .placement import AgentState, Option, Policy, choose
from .resource import ConfigurationSpec, ServiceSpec, TeamSpec
from .view import AgentView

# Minimum interval between two assessments of the upstreams.
_ASSESS_INTERVAL_MS = 100.0
# The cost of an assessment grows with the number of agents, so large fleets are assessed less
# often: the interval is at least this time for each agent.
_ASSESS_PER_AGENT_MS = 0.2
# A task is overdue when it has run for this many times its expected time.
_OVERDUE_FACTOR = 4.0
# Maximum number of original arrival times kept for tasks that may be enqueued again.
_MAX_ARRIVAL_TIMES = 10_000
# Fits every task; stands for VMs that may exist but have not reported to this entry yet.
_UNLIMITED_VM = Resources(float("inf"), 2**62, 2**62)


@dataclass(frozen=True, slots=True)
class DispatchLimits:
    """Limits of one entry's dispatcher. Times are in milliseconds.

    ``max_grants`` limits the grants of one ``next_grants`` call, ``max_candidates`` the candidate
    agents in a key's record, and ``max_classes`` the placement classes whose eligible agents are
    cached. A job of at least ``bulk_tasks`` tasks is a bulk job. ``ageing`` is the number of
    milliseconds of arrival time that one millisecond of a job's remaining work counts for in the
    order of the backlog; 0 gives first in, first out. When the waiting work exceeds the work that
    this entry's equal share of the slots can do in ``overload_backlog_ms``, the entry is overloaded
    and bulk jobs leave fewer slots to shorter work (``Binding.overload_reserve``).
    """

    admission: AdmissionLimits = field(default_factory=AdmissionLimits)
    estimate: EstimateLimits = field(default_factory=EstimateLimits)
    outlier: OutlierLimits = field(default_factory=OutlierLimits)
    max_grants: int = 512
    max_candidates: int = 256
    max_classes: int = 1_024
    overload_backlog_ms: float = 5_000
    bulk_tasks: int = 32
    ageing: float = 0.1


@dataclass(frozen=True, slots=True)
class Grant:
    """Assignment of one task to one incarnation of an agent.

    ``reason`` is a short text for the decision log.
    """

    key: ScopedKey
    task: TaskIndex
    agent: AgentId
    incarnation: Incarnation
    reason: str


class Dispatcher:
    """Assigns the tasks of one entry to agents, based on this entry's own views and estimates."""

    def __init__(
        self, clock: Clock, rng: Random, zone: ZoneId, policy: Policy, limits: DispatchLimits
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._policy = policy
        self._limits = limits
        self._backlog = Backlog(limits.ageing, limits.bulk_tasks)
        self._estimator = Estimator(limits.estimate)
        self._outliers = OutlierDetector(rng, limits.outlier)
        self._fleet = Fleet(zone, rng, limits.max_classes, limits.max_candidates)
        self._granted = GrantedTasks()
        self._arrival_times: dict[tuple[ScopedKey, TaskIndex], float] = {}
        self._services: dict[ServiceName, ServiceSpec] = {}
        self._teams: dict[TeamName, TeamSpec] = {}
        self._zones: frozenset[ZoneId] = frozenset()
        self._entry_count = 1
        self._short_work_rate = ArrivalRate(limits.admission.rate_window_ms, clock.now_ms())
        self._grants = 0
        self._is_overloaded = False
        self._started_ms = clock.now_ms()
        self._assessed_ms = self._started_ms

    def on_configuration(
        self,
        services: Iterable[ServiceSpec],
        teams: Iterable[TeamSpec],
        zones: Iterable[ZoneId],
        settings: ConfigurationSpec,
    ) -> None:
        """Apply the configuration of this entry.

        ``zones`` lists all declared availability zones, in service or not.
        """
        self._services = {spec.name: spec for spec in services}
        self._teams = {spec.name: spec for spec in teams}
        self._zones = frozenset(zones)
        for spec in self._teams.values():
            self._backlog.set_weight(spec.name, spec.weight)
        self._estimator.declare({n: spec.expected_ms for n, spec in self._services.items()})
        self._outliers.set_eject_share(settings.eject_share)
        self._fleet.invalidate_derived()

    def set_entry_count(self, entries: int) -> None:
        """Set the number of entries that place tasks on the same agents, including this one."""
        self._entry_count = max(1, entries)

    def on_agent(self, view: AgentView) -> None:
        """Update an agent's view, for instance after a heartbeat.

        A new incarnation drops the tasks granted to the previous one.
        """
        state = self._fleet.get(view.agent)
        if state is not None and state.view.incarnation != view.incarnation:
            self.on_agent_gone(view.agent)
        self._fleet.update(view, self._clock.now_ms())
        self._outliers.add(view.upstream)

    def on_agent_gone(self, agent: AgentId) -> None:
        """Remove an agent and the tasks granted to it, whose outcome their leader determines."""
        gone = self._fleet.remove(agent)
        if gone is None:
            return
        self._outliers.remove(gone.view.upstream)
        for task_id in self._granted.on_agent(agent):
            self._end_grant(*task_id)

    def enqueue(self, tasks: list[TaskReady]) -> None:
        """Add tasks to the backlog, including tasks that an agent refused.

        A refused task keeps its original arrival time, and thereby its place in the order.
        """
        now = self._clock.now_ms()
        for task in tasks:
            arrived = self._arrival_times.pop((task.key, task.task), now)
            expected_ms = self._estimator.expect_service_ms(task.service)
            self._backlog.put(task, arrived, expected_ms)
            if self._backlog.size_of(task.job_size) is not Size.BULK:
                self._short_work_rate.add(expected_ms, now)

    def withdraw(self, key: ScopedKey) -> None:
        """Remove the waiting tasks of ``key`` from the backlog.

        Granted tasks are not affected: they end by ``on_result`` or another event.
        """
        self._backlog.withdraw(key)

    def on_load_report(self, agent: AgentId, load: Load) -> None:
        """Update an agent's load from a report that does not end a task."""
        state = self._fleet.get(agent)
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
        """Process the end of a task.

        ``elapsed_ms`` is the run time at the upstream, measured by the agent's clock.
        """
        now = self._clock.now_ms()
        granted = self._end_grant(key, task)
        agent_state = self._fleet.get(agent)
        if agent_state is None:
            return
        agent_state.report(load, now)
        if granted is None or state is TaskState.CANCELLED:
            return
        self._adjust_charge(granted, elapsed_ms)
        service, upstream = granted.ready.service, agent_state.view.upstream
        if state is TaskState.OK:
            self._estimator.learn(service, upstream, elapsed_ms, now)
        slowness = elapsed_ms / self._estimator.expect_service_ms(service)
        self._outliers.on_end(upstream, service, key, state is TaskState.OK, now, slowness)

    def on_refused(
        self, agent: AgentId, key: ScopedKey, task: TaskIndex, reason: RefusalReason, load: Load
    ) -> None:
        """Process an agent's refusal of a task.

        The leader enqueues the task again if it may still run.
        """
        granted = self._end_grant(key, task)
        if granted is not None:
            self._refund(granted)
        self.on_load_report(agent, load)

    def on_query_reply(self, agent: AgentId, records: Iterable[TaskRecord]) -> None:
        """Free the slots of tasks that, by an agent's query reply, no longer run.

        Their results or refusals were lost. They do not update the estimates, because the reply
        does not contain run times. The charge of a task that did not start is undone.
        """
        for record in records:
            if record.state in (TaskState.QUEUED, TaskState.RUNNING):
                continue
            if self._granted.agent_of(record.key, record.task) == agent:
                granted = self._end_grant(record.key, record.task)
                if granted is not None and record.state is TaskState.NOT_STARTED:
                    self._refund(granted)

    def on_grant_void(self, grant: Grant) -> None:
        """Cancel a grant for which the leader sent no start message to the agent.

        The task is no longer in the backlog; the leader enqueues it again if it may still run.
        """
        self._end_grant(grant.key, grant.task)

    def next_grants(self) -> list[Grant]:
        """Return the grants that can be made now, in the order in which to send them."""
        now = self._clock.now_ms()
        if now - self._assessed_ms >= max(
            _ASSESS_INTERVAL_MS, _ASSESS_PER_AGENT_MS * len(self._fleet)
        ):
            self._assess(now)
        grants: list[Grant] = []
        blocked: set[PlacementClass] = set()
        while len(grants) < self._limits.max_grants:
            batch = self._backlog.best(blocked, now)
            if batch is None:
                break
            options = self._options(batch.placement, now)
            shares = self._granted.rack_shares(batch.key)
            for choice in options if shares else ():
                choice.rack_share = shares.get(choice.state.view.rack, 0.0)
            option = choose(self._policy, options, self._rng)
            if option is None:
                blocked.add(batch.placement)
            else:
                grants.append(self._grant(batch, option, now))
        return grants

    def admit(self, submission: Submission) -> NotRun | Impossible | None:
        """Check ``submission`` against capacity, quotas and its deadline.

        Returns the refusal, or None if the submission may be replicated and run.
        """
        now = self._clock.now_ms()
        limits = self._limits.admission
        service = self._services.get(submission.service)
        vm_sizes = self._fleet.vm_sizes(now - limits.vm_retention_ms)
        if not vm_sizes or now - self._started_ms < limits.startup_grace_ms:
            vm_sizes.append(_UNLIMITED_VM)
        impossible = find_impossible(submission, service, self._zones, vm_sizes)
        if impossible is not None:
            return impossible
        team = self._teams.get(submission.team, TeamSpec(submission.team))
        queued = self._queued_work(submission)
        return find_refusal(submission, team, queued, limits, now, self._rng)

    def candidates(self, submission: Submission) -> list[Candidate]:
        """Return the agents eligible for ``submission``, at most ``max_candidates``."""
        service = self._services.get(submission.service)
        return self._fleet.candidates(submission, service, self._clock.now_ms())

    def waiting(self) -> int:
        """Return the number of waiting tasks."""
        return self._backlog.waiting

    def running(self) -> int:
        """Return the number of granted tasks whose end has not been reported."""
        return len(self._granted)

    def ejected(self) -> list[UpstreamId]:
        """Return the upstreams that this entry has ejected or is probing."""
        return self._outliers.ejected()

    def _options(self, placement: PlacementClass, now_ms: float) -> list[Option]:
        """Return the agents that can be granted a task of ``placement`` now.

        If an agent is due for a probe, it is the only option.
        """
        eligible = self._fleet.find_eligible(placement)
        policy = self._policy
        if policy.sample and len(eligible) > policy.sample:
            eligible = self._rng.sample(eligible, policy.sample)
        if self._outliers.ejections:
            healthy = []
            for state in eligible:
                health = self._outliers.health(state.view.upstream)
                if health is Health.ACTIVE:
                    healthy.append(state)
                elif health is Health.PROBING and self._is_probe_due(state, placement, now_ms):
                    return [Option(state, 0.0)]
            eligible = healthy
        binding, entries, resources = policy.binding, self._entry_count, placement.resources
        reserve = 0.0
        if placement.size is Size.BULK:
            reserve = binding.overload_reserve if self._is_overloaded else binding.bulk_reserve
        expect, excess_failure_rate = self._estimator.expect_ms, self._outliers.excess_failure_rate
        return [
            Option(
                state,
                expect(placement.service, state.view.upstream, now_ms),
                excess_failure_rate(state.view.upstream),
            )
            for state in eligible
            if state.may_grant(binding, entries, reserve) and state.has_free_resources(resources)
        ]

    def _is_probe_due(self, state: AgentState, placement: PlacementClass, now_ms: float) -> bool:
        """Return whether a task of ``placement`` may probe the agent's upstream now."""
        single = placement.size is Size.SINGLE
        return self._outliers.may_probe(state.view.upstream, state.own, now_ms, single)

    def _grant(self, batch: Batch, option: Option, now_ms: float) -> Grant:
        expected_ms = self._estimator.expect_service_ms(batch.placement.service)
        task = self._backlog.take(batch, expected_ms)
        state, view = option.state, option.state.view
        self._grants += 1
        state.begin(task.resources, self._grants, now_ms)
        overdue_ms = _OVERDUE_FACTOR * max(option.expected_ms, batch.expected_ms)
        self._granted.add(
            GrantedTask(
                task, view.agent, view.rack, batch.arrived_ms, batch.expected_ms, now_ms, overdue_ms
            )
        )
        reason = f"load {state.load()} of {view.slots}, expected {option.expected_ms:.0f} ms"
        if self._outliers.health(view.upstream) is Health.PROBING:
            self._outliers.on_probe(view.upstream, now_ms)
            reason = "probe"
        return Grant(task.key, task.task, view.agent, view.incarnation, reason)

    def _adjust_charge(self, granted: GrantedTask, actual_ms: float) -> None:
        self._backlog.adjust_charge(
            granted.ready.team, granted.ready.job_size, granted.charged_ms, actual_ms
        )

    def _assess(self, now_ms: float) -> None:
        """Update estimates from overdue tasks, and eject or probe upstreams.

        On every upstream a few tasks take long, so an agent counts as slow only if at least half
        of its tasks (and no fewer than two) are overdue. A task whose end was never reported
        frees its slot some time after its deadline.
        """
        self._assessed_ms = now_ms
        for task_id in self._granted.find_lost(now_ms):
            self._end_grant(*task_id)
        for agent, overdue in self._granted.find_overdue(now_ms).items():
            state = self._fleet.get(agent)
            if state is None or len(overdue) < max(2, state.own / 2):
                continue
            for granted in overdue:
                granted.overdue_ms *= 2
                self._estimator.learn_overdue(
                    granted.ready.service, state.view.upstream, now_ms - granted.granted_ms, now_ms
                )
        upstreams = {state.view.upstream for state in self._fleet}
        factors = {name: self._estimator.factor(name, now_ms) for name in upstreams}
        self._outliers.tick(factors, now_ms)
        median_factor = median(factor for factor, _ in factors.values()) if factors else 0.0
        for state in self._fleet:
            state.is_fast = factors[state.view.upstream][0] < median_factor
        slot_share = self._fleet.slots() / self._entry_count
        self._is_overloaded = self._backlog.work_ms > self._limits.overload_backlog_ms * slot_share

    def _refund(self, granted: GrantedTask) -> None:
        """Undo the charge of a task that did not start.

        Its arrival time is kept, so that it regains its place in the order if it is enqueued
        again.
        """
        self._adjust_charge(granted, 0.0)
        if len(self._arrival_times) >= _MAX_ARRIVAL_TIMES:
            self._arrival_times.clear()
        self._arrival_times[granted.ready.key, granted.ready.task] = granted.arrived_ms

    def _end_grant(self, key: ScopedKey, task: TaskIndex) -> GrantedTask | None:
        granted = self._granted.end(key, task)
        if granted is not None:
            state = self._fleet.get(granted.agent)
            if state is not None:
                state.end(granted.ready.resources)
        return granted

    def _queued_work(self, submission: Submission) -> QueuedWork:
        """Return the waiting work and the expected wait and run time of ``submission``.

        ``work_rate`` is the work in ms that is done in 1 ms: this entry's equal share of the slots,
        or the number of its granted tasks if that is higher. A bulk job is assumed to get what
        arriving shorter work leaves of it, and at least a fifth.
        """
        run_ms = self._estimator.expect_service_ms(submission.service)
        count = len(submission.tasks)
        work_ms = self._backlog.work_until_end_ms(submission.team, count, run_ms * count)
        work_rate = max(1.0, len(self._granted), self._fleet.slots() / self._entry_count)
        if self._backlog.size_of(count) is Size.BULK:
            work_rate = max(
                0.2 * work_rate, work_rate - self._short_work_rate.rate(self._clock.now_ms())
            )
        return QueuedWork(
            self._backlog.waiting,
            self._backlog.waiting_of(submission.team) + self._granted.count_of(submission.team),
            max(0.0, work_ms - run_ms) / work_rate,
            run_ms,
        )
