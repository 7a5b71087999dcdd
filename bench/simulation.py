"""A discrete-event simulation that runs the real ``Dispatcher`` against simulated agents.

Time is virtual. Several entries place tasks on the same agents. Each entry receives an agent's load
only with the results and refusals of its own tasks and with heartbeats, all of them delayed by the
network latency between availability zones. The leader's other functions (retries, deadlines,
cancellation) are simulated only as far as they affect placement.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from time import perf_counter_ns
from typing import Any

from bench.workload import SERVICES, SLOTS, SLOWNESS_FACTORS, TEAMS, ZONES, Arrival
from snipewell.clock import ManualClock
from snipewell.dispatch import Dispatcher, DispatchLimits, Grant
from snipewell.effect import Submission, TaskReady
from snipewell.ids import (
    AgentId,
    Digest,
    EntryId,
    Incarnation,
    RackId,
    RequestId,
    ScopedKey,
    TaskIndex,
    UpstreamId,
    ZoneId,
)
from snipewell.message import Load, RefusalReason, Resources, TaskState
from snipewell.outcome import NotRun
from snipewell.placement import Policy
from snipewell.resource import ConfigurationSpec
from snipewell.retry import RetryBudget
from snipewell.view import AgentView

HEARTBEAT_INTERVAL_MS = 500.0
# One-way network latency within an availability zone.
HOP_MS = 0.2
# Additional one-way latency between availability zones.
CROSS_ZONE_MS = 1.0
# Tasks that an agent queues while all its slots are in use.
AGENT_QUEUE = 4


@dataclass(frozen=True, slots=True)
class WorldConfig:
    """The configuration of a simulated system.

    With ``current_views``, entries receive the load of agents without delay.
    """

    policy: Policy
    limits: DispatchLimits = field(default_factory=DispatchLimits)
    entries: int = 3
    factors: tuple[float, ...] = tuple(SLOWNESS_FACTORS)
    agent_queue: int = AGENT_QUEUE
    current_views: bool = False
    seed: int = 11


@dataclass(slots=True)
class Job:
    """An admitted submission and its state at the leader.

    ``open`` holds the tasks that have not completed, ``granted`` the agent of each granted task,
    and ``done`` the end time and reference time in milliseconds of each completed task.
    """

    key: ScopedKey
    arrival: Arrival
    entry: EntrySim
    deadline_ms: float
    candidates: frozenset[AgentId]
    open: set[int] = field(default_factory=set)
    granted: dict[int, AgentSim] = field(default_factory=dict)
    done: list[tuple[float, float]] = field(default_factory=list)
    state: str = "running"
    ended_ms: float = 0.0


@dataclass(slots=True)
class Totals:
    """The counters of a simulation run, with work in milliseconds on a reference upstream."""

    starts: int = 0
    refused: int = 0
    retried: int = 0
    completed_tasks: int = 0
    not_run: int = 0
    decision_ns: int = 0
    wasted_work_ms: float = 0.0
    jobs: list[Job] = field(default_factory=list)
    retry_at_ms: list[float] = field(default_factory=list)


class World:
    """The discrete-event loop of one simulated system, with its clock, agents and entries."""

    def __init__(self, config: WorldConfig) -> None:
        self.config = config
        self.clock = ManualClock()
        self.rng = Random(config.seed)
        self.totals = Totals()
        self.measure_until_ms = float("inf")
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = count()
        self.agents = [AgentSim(self, i, factor) for i, factor in enumerate(config.factors)]
        self.agents_by_id = {agent.id: agent for agent in self.agents}
        self.entries = [EntrySim(self, i) for i in range(config.entries)]
        for agent in self.agents:
            self.at(self.rng.uniform(0, HEARTBEAT_INTERVAL_MS), agent.send_heartbeat)
            for entry in self.entries:
                entry.on_heartbeat(agent.view())

    def at(self, time_ms: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule ``call(*args)`` at ``time_ms``."""
        heapq.heappush(self._events, (time_ms, next(self._sequence), call, args))

    def after(self, delay_ms: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule ``call(*args)`` after ``delay_ms``."""
        self.at(self.clock.now_ms() + delay_ms, call, *args)

    def schedule_arrivals(self, arrivals: list[Arrival]) -> None:
        """Schedule the submission of ``arrivals``, each to a random entry."""
        self.measure_until_ms = arrivals[-1].at_ms
        for number, arrival in enumerate(arrivals):
            entry = self.rng.choice(self.entries)
            self.at(arrival.at_ms, entry.submit, number, arrival)

    def run(self, until_ms: float) -> None:
        """Process events until ``until_ms``."""
        events, clock = self._events, self.clock
        while events and events[0][0] <= until_ms:
            time_ms, _, call, args = heapq.heappop(events)
            clock.advance(max(0.0, time_ms - clock.now_ms()))
            call(*args)

    def measure(self, call: Callable[..., Any], *args: Any) -> Any:
        """Return ``call(*args)`` and add its real duration to the decision time.

        Calls after the last arrival are not timed.
        """
        if self.clock.now_ms() > self.measure_until_ms:
            return call(*args)
        began = perf_counter_ns()
        result = call(*args)
        self.totals.decision_ns += perf_counter_ns() - began
        return result


class AgentSim:
    """A simulated agent and its upstream; refuses a start if its slots and short queue are full.

    Scenarios set ``slow``, a further factor of the run times, and ``fails``, with which every task
    fails after 5 ms. ``busy`` is the number of slots in use; ``started`` and ``queued`` count the
    tasks started and queued since the beginning of the run.
    """

    def __init__(self, world: World, number: int, factor: float) -> None:
        self.world = world
        self.id = AgentId(f"agent-{number:03}")
        self.factor = factor
        self.zone: ZoneId = ZONES[number % len(ZONES)]
        self.rack = RackId(f"rack-{number // 3}")
        self.slow = 1.0
        self.fails = False
        self.in_service = True
        self.busy = 0
        self.started = 0
        self.queued = 0
        self.queue: deque[tuple[EntrySim, Job, int]] = deque()

    def load(self) -> Load:
        """Return the numbers of running and queued tasks."""
        return Load(self.busy, len(self.queue))

    def view(self) -> AgentView:
        """Return the view of this agent that an entry derives from its heartbeat."""
        return AgentView(
            self.id,
            Incarnation("1"),
            UpstreamId(self.id),
            self.zone,
            self.rack,
            SLOTS,
            Resources(64, 128_000, 0),
            frozenset(),
            False,
            self.load(),
            self.in_service,
            self.world.clock.now_ms(),
        )

    def send_heartbeat(self) -> None:
        """Send a heartbeat to every entry and schedule the next one."""
        view = self.view()
        for entry in self.world.entries:
            self.world.after(self.delay(entry), entry.on_heartbeat, view)
        self.world.after(HEARTBEAT_INTERVAL_MS, self.send_heartbeat)

    def delay(self, entry: EntrySim) -> float:
        """Return the one-way latency to ``entry`` in milliseconds."""
        return HOP_MS + (0.0 if entry.zone == self.zone else CROSS_ZONE_MS)

    def on_start(self, entry: EntrySim, job: Job, task: int) -> None:
        """Start, queue or refuse a task."""
        if not self.in_service:
            self._refuse(entry, job, task, RefusalReason.NO_PERMIT)
        elif self.busy < SLOTS:
            self._run(entry, job, task)
        elif len(self.queue) < self.world.config.agent_queue:
            self.queued += 1
            self.queue.append((entry, job, task))
            self._report_current_load()
        else:
            self._refuse(entry, job, task, RefusalReason.BUSY)

    def on_cancel(self, job: Job) -> None:
        """Cancel the queued tasks of ``job``; running tasks continue to their end."""
        for item in [item for item in self.queue if item[1] is job]:
            self.queue.remove(item)
            self._send(item[0], "on_result", job, item[2], TaskState.CANCELLED, 0.0)

    def set_in_service(self, in_service: bool) -> None:
        """Take the agent out of service or return it to service.

        On withdrawal, queued tasks are refused and running tasks continue to their end.
        """
        self.in_service = in_service
        if not in_service:
            while self.queue:
                self._refuse(*self.queue.popleft(), RefusalReason.NO_PERMIT)
        for entry in self.world.entries:
            self.world.after(self.delay(entry), entry.on_heartbeat, self.view())

    def _refuse(self, entry: EntrySim, job: Job, task: int, reason: RefusalReason) -> None:
        self._send(entry, "on_refused", job, task, reason)

    def _run(self, entry: EntrySim, job: Job, task: int) -> None:
        self.busy += 1
        self.started += 1
        base_ms = job.arrival.tasks_ms[task]
        fails = self.fails or job.arrival.always_fails
        elapsed_ms = 5.0 if self.fails else base_ms * self.factor * self.slow
        self.world.after(elapsed_ms, self._end, entry, job, task, elapsed_ms, fails)
        self._report_current_load()

    def _end(self, entry: EntrySim, job: Job, task: int, elapsed_ms: float, fails: bool) -> None:
        self.busy -= 1
        while self.queue and self.busy < SLOTS:
            self._run(*self.queue.popleft())
        if job.state != "running" and not fails:
            self.world.totals.wasted_work_ms += job.arrival.tasks_ms[task]
        state = TaskState.FAILED if fails else TaskState.OK
        self._send(entry, "on_result", job, task, state, elapsed_ms)
        self._report_current_load()

    def _send(self, entry: EntrySim, name: str, *args: Any) -> None:
        self.world.after(self.delay(entry), getattr(entry, name), self, *args, self.load())

    def _report_current_load(self) -> None:
        if self.world.config.current_views:
            for entry in self.world.entries:
                entry.dispatcher.on_load_report(self.id, self.load())


class EntrySim:
    """A simulated entry, the leader of the submissions sent to it.

    Simulates admission, deadlines and retries, and places tasks with the real ``Dispatcher``.
    """

    def __init__(self, world: World, number: int) -> None:
        self.world = world
        self.number = number
        self.zone = ZONES[number % len(ZONES)]
        config = world.config
        self.dispatcher = Dispatcher(
            world.clock,
            Random(config.seed * 1000 + number),
            self.zone,
            config.policy,
            config.limits,
        )
        self.dispatcher.set_entry_count(config.entries)
        self.dispatcher.on_configuration(
            [shape.spec for shape in SERVICES], TEAMS, ZONES, ConfigurationSpec()
        )
        self.jobs: dict[ScopedKey, Job] = {}
        self.retry_budget = RetryBudget(0.1)
        self._placement_scheduled = False
        world.at(0.0, self._tick)

    def on_heartbeat(self, view: AgentView) -> None:
        """Pass an agent's heartbeat to the dispatcher."""
        self.world.measure(self.dispatcher.on_agent, view)
        self.schedule_placement()

    def submit(self, number: int, arrival: Arrival) -> None:
        """Admit an arrival, or count it as not run if the dispatcher refuses it.

        Tasks of an admitted job are enqueued after the round trip that replicates its record.
        """
        now = self.world.clock.now_ms()
        service = arrival.service
        key = ScopedKey(f"{arrival.team}/{number}")
        submission = Submission(
            RequestId(str(number)),
            EntryId(f"entry-{self.number}"),
            key,
            Digest(""),
            service.name,
            arrival.team,
            [b""] * len(arrival.tasks_ms),
            now + service.deadline_ms,
            len(arrival.tasks_ms) > 1,
            service.idempotent,
            service.resources,
        )
        totals = self.world.totals
        refusal = self.world.measure(self.dispatcher.admit, submission)
        if refusal is not None:
            totals.not_run += 1
            if isinstance(refusal, NotRun):
                totals.retry_at_ms.append(now + refusal.retry_after_ms)
            return
        self.retry_budget.on_new_work(len(arrival.tasks_ms))
        chosen = self.world.measure(self.dispatcher.candidates, submission)
        candidates = frozenset(candidate.agent for candidate in chosen)
        job = Job(key, arrival, self, submission.deadline_at_ms, candidates)
        job.open = set(range(len(arrival.tasks_ms)))
        totals.jobs.append(job)
        self.jobs[key] = job
        replication_ms = 2 * (HOP_MS + CROSS_ZONE_MS) if self.world.config.entries > 1 else 0.0
        self.world.after(replication_ms, self._on_replicated, job)
        self.world.at(job.deadline_ms, self.end, job, "late")

    def _on_replicated(self, job: Job) -> None:
        if job.state == "running":
            self._enqueue(job, sorted(job.open), frozenset())

    def _enqueue(self, job: Job, tasks: list[int], excluded: frozenset[AgentId]) -> None:
        service = job.arrival.service
        ready_tasks = [
            TaskReady(
                job.key,
                TaskIndex(task),
                service.name,
                job.arrival.team,
                service.resources,
                job.deadline_ms,
                len(job.arrival.tasks_ms),
                job.candidates,
                excluded,
            )
            for task in tasks
        ]
        self.world.measure(self.dispatcher.enqueue, ready_tasks)
        self.schedule_placement()

    def schedule_placement(self) -> None:
        """Schedule one placement pass for all events at the current time."""
        if not self._placement_scheduled:
            self._placement_scheduled = True
            self.world.after(0.0, self._place_tasks)

    def _place_tasks(self) -> None:
        self._placement_scheduled = False
        grants: list[Grant] = self.world.measure(self.dispatcher.next_grants)
        for grant in grants:
            job = self.jobs[grant.key]
            agent = self.world.agents_by_id[grant.agent]
            job.granted[grant.task] = agent
            self.world.totals.starts += 1
            self.world.after(agent.delay(self), agent.on_start, self, job, grant.task)

    def on_refused(
        self, agent: AgentSim, job: Job, task: int, reason: RefusalReason, load: Load
    ) -> None:
        """Process a refused start; the task is enqueued again if its job is still running."""
        self.world.totals.refused += 1
        job.granted.pop(task, None)
        self.world.measure(
            self.dispatcher.on_refused, agent.id, job.key, TaskIndex(task), reason, load
        )
        if job.state == "running":
            self._enqueue(job, [task], frozenset())
        self.schedule_placement()

    def on_result(
        self, agent: AgentSim, job: Job, task: int, state: TaskState, elapsed_ms: float, load: Load
    ) -> None:
        """Process the end of a task.

        The job completes with its last task. A failed task is retried if the service is idempotent,
        no other task of the job is open, and the retry budget allows it; otherwise the job fails.
        """
        job.granted.pop(task, None)
        self.world.measure(
            self.dispatcher.on_result, agent.id, job.key, TaskIndex(task), state, elapsed_ms, load
        )
        self.schedule_placement()
        if job.state != "running":
            return
        if state is TaskState.OK:
            self.world.totals.completed_tasks += 1
            job.open.discard(task)
            job.done.append((self.world.clock.now_ms(), job.arrival.tasks_ms[task]))
            if not job.open:
                self.end(job, "complete")
        elif job.arrival.service.idempotent and len(job.open) == 1 and self.retry_budget.take():
            self.world.totals.retried += 1
            self._enqueue(job, [task], frozenset({agent.id}))
        else:
            self.end(job, "failed")

    def end(self, job: Job, state: str) -> None:
        """End a running job in ``state``; does nothing if the job has already ended.

        Unless it completed, its waiting tasks are withdrawn and the agents of its granted tasks
        receive a cancellation.
        """
        if job.state != "running":
            return
        job.state = state
        job.ended_ms = self.world.clock.now_ms()
        if state != "complete":
            self.world.measure(self.dispatcher.withdraw, job.key)
            self.world.totals.wasted_work_ms += sum(work_ms for _, work_ms in job.done)
            for agent in set(job.granted.values()):
                self.world.after(agent.delay(self), agent.on_cancel, job)
            self.schedule_placement()

    def _tick(self) -> None:
        self.schedule_placement()
        self.world.after(20.0, self._tick)
