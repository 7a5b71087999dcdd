"""Simulate the job path: production cores with a simulated network, upstreams and clients.

Entries and agents run the production `Scheduler` and `Executor`. The simulated upstream implements
the platform's contract: leases, fencing tokens, numbered ends, and calls that are executed late.
Every run is recorded, so that a test can check the history.
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from snipewell.agentsession import SendAgent
from snipewell.clock import SystemClock
from snipewell.daemon import RELAXED_TICK_MS, TICK_MS
from snipewell.entrysession import SendFrame
from snipewell.executor import HOLD_TIMEOUT_MARGIN_MS, STOP_TIMEOUT_MS, Executor
from snipewell.ids import ServiceName, UpstreamId
from snipewell.job import (
    Catalog,
    JobEnded,
    JobId,
    JobOutcome,
    JobSpec,
    JobUnknown,
    Queue,
    QueueName,
    ResourceVector,
    RunEnd,
    StepSpec,
)
from snipewell.jobagentd import DEPARTURE_WAIT_MS, HOLD_RETRY_MS
from snipewell.scheduler import Answer, Scheduler
from snipewell.upstreamcall import (
    CallHold,
    CallStart,
    CallStop,
    EndRow,
    RunLists,
    RunRow,
    StartResult,
    Upstream,
)

LINK_DELAY_MS = 1.0
"""One-way delay of every message between processes."""
RESUBMIT_DELAY_MS = 1_300.0
"""Delay before a client submits its job again after a lost connection."""
STOP_DELAY_MS = 40.0
"""Time from the stop call to the end of the run."""
DEADLY_DELAY_MS = 5.0
"""Time from the start of a task that crashes its upstream to the crash."""
RESTART_MS = 3_000.0
"""Time from the crash of an upstream under a task to the start of its next incarnation."""
HEARTBEAT_DELAY_MS = 50.0
"""Time from the start of an incarnation of an upstream to its first heartbeat at the agent."""
DRAIN_MS = 2_000.0
"""Time from the announcement of a departure to the deregistration."""
LINGER_MS = 2_000.0
"""Time for which an upstream goes on without an answer to its deregistration."""
MAX_HOLD_MS = 1_000.0
"""Longest lease that an upstream grants on its runs, by its own clock."""


@dataclass
class RunRecord:
    """One run as recorded by its upstream; ``end_ms`` is None until the run ends."""

    task: str
    attempt: int
    upstream: str
    start_ms: float
    end_ms: float | None = None
    how: str = ""


@dataclass
class ActiveRun:
    """A run in progress on an upstream, with the work done so far."""

    record: RunRecord
    work_ms: float
    done_ms: float = 0.0
    stopping_ms: float | None = None


class SimOsClock:
    """Clocks of the operating system of a VM, without those that can be set.

    ``CLOCK_MONOTONIC`` doesn't count the time ``suspended_ms`` for which the VM was suspended.
    """

    def __init__(self, sim: JobSim) -> None:
        self.sim = sim
        self.suspended_ms = 0.0

    def read_ns(self, clock: int) -> int:
        match clock:
            case time.CLOCK_MONOTONIC:
                return int((self.sim.now - self.suspended_ms) * 1_000_000)
            case time.CLOCK_BOOTTIME:
                return int(self.sim.now * 1_000_000)
        raise ValueError(f"unknown clock {clock}")


class SimUpstream:
    """An upstream that implements the platform's contract.

    ``clock_rate`` is the speed of its clock relative to the simulated time, at worst 2% slow.
    """

    def __init__(self, sim: JobSim, number: int, clock_rate: float, speed: float) -> None:
        self.sim = sim
        self.name = f"u{number}"
        self.clock_rate = clock_rate
        self.speed = speed
        self.capacity = ResourceVector(10_000, 100_000)
        self.born_ms = 1_000
        self.fence = 0
        self.deadline_ms = 0.0
        self.running: dict[tuple[str, int], ActiveRun] = {}
        self.ended: list[EndRow] = []
        self.highest_attempts: dict[str, int] = {}
        self.last_end_number = 0
        self.hangs = False
        self.fails = False
        self.silent = False
        """Set after a silent crash: the upstream answers no call and runs nothing."""
        self.down = False
        """Set between an end and the restart: the address of the upstream refuses connections."""
        self.draining = False
        self.deferred_call_share = 0.0
        self.waiters: list[tuple[float, Callable[[], None]]] = []

    def describe(self) -> Upstream:
        return Upstream(
            UpstreamId(self.name),
            self.born_ms,
            "svc",
            "z1",
            "a",
            self.capacity,
            draining=self.draining,
        )

    def clock_ms(self) -> float:
        return (self.sim.now - self.born_ms) * self.clock_rate

    def step(self, by_ms: float) -> None:
        for key, run in list(self.running.items()):
            if not self.hangs:
                run.done_ms += by_ms * self.speed
            if run.stopping_ms is not None and self.sim.now >= run.stopping_ms:
                self.end(key, RunEnd.STOPPED)
            elif self.clock_ms() > self.deadline_ms:
                self.end(key, RunEnd.LAPSED)
            elif run.done_ms >= run.work_ms:
                self.end(key, RunEnd.FAILED if self.fails else RunEnd.DONE)
        for waiter in list(self.waiters):
            if self.sim.now >= waiter[0]:
                self.waiters.remove(waiter)
                waiter[1]()

    def end(self, key: tuple[str, int], how: RunEnd) -> None:
        run = self.running.pop(key)
        run.record.end_ms = self.sim.now
        run.record.how = how.value
        self.last_end_number += 1
        self.ended.append(EndRow(self.last_end_number, key[0], key[1], how))
        self.highest_attempts[key[0]] = max(self.highest_attempts.get(key[0], 0), key[1])
        waiters, self.waiters = self.waiters, []
        for _, answer in waiters:
            answer()

    def start(self, call: CallStart) -> StartResult:
        if call.fence < self.fence:
            return StartResult.FENCED
        self.fence = call.fence
        if call.deadline_ms <= self.clock_ms():
            return StartResult.LATE
        self.hold_until(call.deadline_ms)
        key = (call.task, call.attempt)
        if key in self.running:
            return StartResult.STARTED
        if call.attempt <= self.highest_attempts.get(call.task, 0):
            return StartResult.STALE_ATTEMPT
        record = RunRecord(call.task, call.attempt, self.name, self.sim.now)
        self.sim.records.append(record)
        run = self.running[key] = ActiveRun(record, self.sim.work_of(call.task))
        if call.task.split("/")[0] in self.sim.deadly_jobs:
            self.sim.after(self.sim.deadly_delay_ms, lambda: self.crash_under(key, run))
        return StartResult.STARTED

    def hold_until(self, deadline_ms: float) -> None:
        bounded = min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)
        self.deadline_ms = max(self.deadline_ms, bounded)

    def stop(self, call: CallStop) -> None:
        if call.fence < self.fence:
            return
        self.highest_attempts[call.task] = max(
            self.highest_attempts.get(call.task, 0), call.attempt
        )
        run = self.running.get((call.task, call.attempt))
        if run is not None and run.stopping_ms is None:
            run.stopping_ms = self.sim.now + STOP_DELAY_MS

    def list_runs(self, call: CallHold) -> RunLists:
        self.ended = [end for end in self.ended if end.number > call.acked]
        running = tuple(
            RunRow(task, attempt, int(100 * run.done_ms / run.work_ms))
            for (task, attempt), run in self.running.items()
        )
        return RunLists(self.clock_ms(), self.born_ms, running, tuple(self.ended))

    def crash(self) -> None:
        """Lose all state and restart as a new incarnation under the same id."""
        for run in self.running.values():
            run.record.end_ms = self.sim.now
            run.record.how = "crashed"
        self.running.clear()
        self.ended.clear()
        self.highest_attempts.clear()
        self.waiters.clear()
        self.last_end_number = self.fence = 0
        self.deadline_ms = 0.0
        self.born_ms = int(self.sim.now)

    def execute_late(self, execute: Callable[[], object]) -> None:
        """Execute a deferred call; one that arrives while the upstream is down is lost."""
        if not self.down and not self.silent:
            execute()

    def crash_under(self, key: tuple[str, int], run: ActiveRun) -> None:
        """Crash if ``run`` is still in progress, and restart as a new incarnation later."""
        if self.running.get(key) is run:
            self.go_down(RESTART_MS)

    def go_down(self, for_ms: float) -> None:
        """End this incarnation, and start the next one ``for_ms`` later."""
        waiters = list(self.waiters)
        self.crash()
        self.down = True
        # The connections of outstanding calls break.
        for _, answer in waiters:
            answer()
        self.sim.after(for_ms, self.restart)

    def restart(self) -> None:
        self.down = self.draining = False
        self.born_ms = int(self.sim.now)
        self.sim.after(HEARTBEAT_DELAY_MS, self.send_heartbeat)

    def send_heartbeat(self) -> None:
        agent = next(agent for agent in self.sim.agents if agent.upstream is self)
        if not self.down:
            agent.run_or_defer(
                lambda: agent.core.on_heartbeat(self.describe(), agent.clock.now_ms())
            )

    def leave(self, late_ms: float, answer_lost: bool, down_ms: float) -> None:
        """Drain, deregister and end, and start the next incarnation ``down_ms`` later.

        The deregistration arrives ``late_ms`` after it was sent. Without its answer, the upstream
        ends `LINGER_MS` after it.
        """
        if self.down or self.draining:
            return
        self.draining = True
        self.send_heartbeat()
        agent = next(agent for agent in self.sim.agents if agent.upstream is self)
        born_ms = self.born_ms

        def end() -> None:
            if self.born_ms == born_ms and not self.down:
                self.go_down(down_ms)

        def receive() -> None:
            answer = (lambda: None) if answer_lost else end
            agent.run_or_defer(lambda: agent.deregister(answer))

        def deregister() -> None:
            if self.born_ms == born_ms and not self.down:
                self.sim.after(late_ms, receive)
                self.sim.after(LINGER_MS, end)

        self.sim.after(DRAIN_MS, deregister)


class SimAgent:
    """An agent on the VM of an upstream.

    While ``paused`` is set, the process is paused and incoming work is deferred until `resume`.
    """

    def __init__(self, sim: JobSim, upstream: SimUpstream) -> None:
        self.sim = sim
        self.upstream = upstream
        self.took_late_start = False
        """Set after a start order of this agent was deferred by ``next_start_late_ms``."""
        self.incarnation_count = 0
        self.paused = False
        self.deferred: list[Callable[[], None]] = []
        self.os_clock = SimOsClock(sim)
        self.clock = SystemClock(self.os_clock.read_ns)
        self.boot()

    def boot(self) -> None:
        self.incarnation_count += 1
        self.incarnation = f"{self.upstream.name}.{self.incarnation_count}"
        self.core = Executor(self.upstream.name, self.incarnation, int(self.sim.now), MAX_HOLD_MS)
        self.holding = False
        self.next_hold_at_ms = 0.0
        for entry in self.sim.entries:
            self.core.entries.connect(entry.name, self.clock.now_ms())
        self.core.on_heartbeat(self.upstream.describe(), self.clock.now_ms())

    def move_session(self, entry: SimEntry, rejoin_after_ms: float) -> None:
        """Leave ``entry`` as if it had left the subset, and connect to it again later."""
        incarnation = self.incarnation
        self.run_or_defer(lambda: self.core.leave_entry(entry.name, self.clock.now_ms()))
        self.sim.after(
            rejoin_after_ms,
            lambda: self.run_in_incarnation(
                incarnation, lambda: self.core.entries.connect(entry.name, self.clock.now_ms())
            ),
        )

    def run_or_defer(self, work: Callable[[], None]) -> None:
        """Run ``work`` now, or after the process has resumed if it is paused."""
        if self.paused:
            self.deferred.append(work)
        else:
            work()
            self.perform()

    def run_in_incarnation(self, incarnation: str, work: Callable[[], None]) -> None:
        if incarnation == self.incarnation:
            self.run_or_defer(work)

    def suspend(self, for_ms: float) -> None:
        """Suspend the VM, and resume it unless the process was killed meanwhile."""
        self.paused = True
        incarnation = self.incarnation
        self.sim.after(
            for_ms, lambda: self.wake(for_ms) if self.incarnation == incarnation else None
        )

    def wake(self, suspended_ms: float) -> None:
        self.os_clock.suspended_ms += suspended_ms
        self.resume()

    def resume(self) -> None:
        self.paused = False
        deferred, self.deferred = self.deferred, []
        for work in deferred:
            self.run_or_defer(work)

    def deregister(self, answer: Callable[[], object]) -> None:
        """Process a deregistration, and ``answer`` it when the daemon does."""
        name = UpstreamId(self.upstream.name)
        self.core.on_deregistration(name, "it has left", self.clock.now_ms())
        until_ms = self.clock.now_ms() + DEPARTURE_WAIT_MS

        def check() -> None:
            if self.core.is_leaving and self.clock.now_ms() < until_ms:
                self.sim.after(TICK_MS, lambda: self.run_or_defer(check))
            else:
                self.sim.after(LINK_DELAY_MS, answer)

        check()

    def tick(self) -> None:
        if not self.paused:
            self.core.tick(self.clock.now_ms())
            self.perform()

    def perform(self) -> None:
        now = self.clock.now_ms()
        if not self.holding and now >= self.next_hold_at_ms:
            hold = self.core.next_hold(now)
            if hold is not None:
                self.holding = True
                self.hold(hold, True)
        effects, self.core.effects[:] = list(self.core.effects), []
        for effect in effects:
            match effect:
                case SendFrame():
                    self.sim.to_entry(self, effect)
                case CallStart():
                    self.start(effect)
                case CallStop():
                    self.stop(effect)
                case CallHold():
                    self.hold(effect, False)

    def call_upstream(self, execute: Callable[[], object]) -> bool:
        """Execute a call now or, unanswered, 2 to 6 s later; return whether it ran now.

        An upstream that is silent or down never executes it.
        """
        if self.upstream.silent or self.upstream.down:
            return False
        if self.sim.rng.random() < self.upstream.deferred_call_share:
            self.sim.after(
                self.sim.rng.uniform(2_000, 6_000), lambda: self.upstream.execute_late(execute)
            )
            return False
        execute()
        return True

    def stop(self, call: CallStop) -> None:
        answered = self.call_upstream(lambda: self.upstream.stop(call))
        incarnation = self.incarnation
        self.sim.after(
            1.0 if answered else STOP_TIMEOUT_MS,
            lambda: self.run_in_incarnation(
                incarnation,
                lambda: self.core.on_stop_answer(call, answered, self.clock.now_ms()),
            ),
        )

    def start(self, call: CallStart) -> None:
        results: list[StartResult] = []
        refused = self.upstream.down
        late_ms, self.sim.next_start_late_ms = self.sim.next_start_late_ms, None
        if late_ms is None:
            answered = self.call_upstream(lambda: results.append(self.upstream.start(call)))
        else:
            answered = False
            self.took_late_start = True
            self.sim.after(late_ms, lambda: results.append(self.upstream.start(call)))
        incarnation = self.incarnation

        def answer() -> None:
            result, clock = StartResult.UNANSWERED, None
            if refused:
                result = StartResult.NO_LISTENER
            elif answered and not self.upstream.down:
                result, clock = results[0], self.upstream.clock_ms()
            self.core.on_start_answer(call, result, clock, self.clock.now_ms())

        self.sim.after(
            1.0 if answered or refused else 250.0,
            lambda: self.run_in_incarnation(incarnation, answer),
        )

    def hold(self, call: CallHold, regular: bool) -> None:
        """Execute a hold call, which renews the lease and fetches the lists of runs.

        ``regular`` marks the calls from `Executor.next_hold`. At most one of them is in progress at
        a time; ``holding`` is set meanwhile.
        """
        incarnation, upstream = self.incarnation, self.upstream
        if upstream.silent:
            self.sim.after(
                call.wait_ms + HOLD_TIMEOUT_MARGIN_MS,
                lambda: self.run_in_incarnation(
                    incarnation, lambda: self.finish_hold(call, None, regular)
                ),
            )
            return
        if upstream.down:
            self.sim.after(
                0.5,
                lambda: self.run_in_incarnation(
                    incarnation, lambda: self.finish_refused_hold(call, regular)
                ),
            )
            return
        if call.fence < upstream.fence:
            self.sim.after(
                1.0,
                lambda: self.run_in_incarnation(
                    incarnation, lambda: self.finish_fenced_hold(call, regular)
                ),
            )
            return
        upstream.fence = call.fence
        if call.deadline_ms is not None:
            upstream.hold_until(call.deadline_ms)

        def answer() -> None:
            runs = None if upstream.down else upstream.list_runs(call)
            self.sim.after(
                0.5,
                lambda: self.run_in_incarnation(
                    incarnation, lambda: self.finish_hold(call, runs, regular)
                ),
            )

        if call.wait_ms and not upstream.list_runs(call).ended:
            upstream.waiters.append((self.sim.now + call.wait_ms, answer))
        else:
            answer()

    def finish_fenced_hold(self, call: CallHold, regular: bool) -> None:
        self.holding = self.holding and not regular
        self.core.on_hold_fenced(call, self.clock.now_ms())

    def finish_refused_hold(self, call: CallHold, regular: bool) -> None:
        self.holding = self.holding and not regular
        self.next_hold_at_ms = self.clock.now_ms() + HOLD_RETRY_MS
        self.core.on_hold_refused(call, self.clock.now_ms())

    def finish_hold(self, call: CallHold, runs: RunLists | None, regular: bool) -> None:
        self.holding = self.holding and not regular
        if runs is None:
            self.next_hold_at_ms = self.clock.now_ms() + HOLD_RETRY_MS
        self.core.on_hold(call, runs, self.clock.now_ms())

    def kill(self) -> None:
        """Kill the process; its next incarnation starts half a second later."""
        self.incarnation = ""
        self.deferred.clear()
        self.paused = True
        self.sim.after(500.0, self.restart)

    def restart(self) -> None:
        self.paused = False
        self.boot()
        self.perform()


class SimEntry:
    """An entry and the requests that its clients wait for.

    While ``paused`` is set, the process is paused and incoming work is deferred until `resume`.
    """

    def __init__(self, sim: JobSim, name: str) -> None:
        self.sim = sim
        self.name = name
        self.paused = False
        self.deferred: list[Callable[[], None]] = []
        self.waiting: dict[int, Client] = {}
        self.os_clock = SimOsClock(sim)
        self.clock = SystemClock(self.os_clock.read_ns)
        self.incarnation_count = 0
        self.boot()

    def boot(self) -> None:
        self.incarnation_count += 1
        self.core = Scheduler(Random(self.sim.rng.random()))
        self.core.set_catalog(Catalog(1, "1", (self.sim.queue,)))
        self.core.set_zones_out(1, frozenset(), self.clock.now_ms())

    def run_or_defer(self, work: Callable[[], None]) -> None:
        if self.paused:
            self.deferred.append(work)
        else:
            work()
            self.perform()

    def suspend(self, for_ms: float) -> None:
        """Suspend the VM, and resume it unless the process was killed meanwhile."""
        self.paused = True
        incarnation = self.incarnation_count
        self.sim.after(
            for_ms, lambda: self.wake(for_ms) if self.incarnation_count == incarnation else None
        )

    def wake(self, suspended_ms: float) -> None:
        self.os_clock.suspended_ms += suspended_ms
        self.resume()

    def resume(self) -> None:
        self.paused = False
        deferred, self.deferred = self.deferred, []
        for work in deferred:
            self.run_or_defer(work)

    def tick(self) -> None:
        if not self.paused:
            self.core.tick(self.clock.now_ms())
            self.perform()

    def perform(self) -> None:
        self.core.place(self.clock.now_ms())
        effects, self.core.effects[:] = list(self.core.effects), []
        for effect in effects:
            match effect:
                case SendAgent():
                    self.sim.to_agent(self, effect)
                case Answer():
                    client = self.waiting.pop(effect.request, None)
                    if client is not None:
                        outcome = effect.outcome
                        self.sim.after(LINK_DELAY_MS, lambda c=client, o=outcome: c.on_outcome(o))  # type: ignore[misc]

    def kill(self) -> None:
        """Kill the process, drop its clients' connections, and start a new incarnation."""
        disconnected, self.waiting = list(self.waiting.values()), {}
        self.deferred.clear()
        self.paused = False
        self.boot()
        for client in disconnected:
            client.on_connection_lost()


@dataclass
class Client:
    """A client with one job, which it submits again after a lost connection."""

    sim: JobSim
    job: JobId
    spec: JobSpec
    entry: SimEntry
    request: int = 0
    sent: int = 0
    outcome: JobOutcome | None = None
    gave_up: bool = False

    def send(self) -> None:
        self.sent += 1
        self.sim.requests += 1
        request = self.request = self.sim.requests
        entry = self.entry
        entry.waiting[request] = self

        def submit() -> None:
            if request in entry.waiting:
                entry.core.submit(
                    request, self.sim.queue, self.spec, 30_000.0, entry.clock.now_ms()
                )

        self.sim.after(LINK_DELAY_MS, lambda: entry.run_or_defer(submit))

    def on_connection_lost(self) -> None:
        """Submit the job again through an entry chosen at random, as the platform's clients do."""
        if self.outcome is None and not self.gave_up:
            self.entry = self.sim.rng.choice(self.sim.entries)
            self.sim.after(RESUBMIT_DELAY_MS, self.send)

    def reset_connection(self) -> None:
        """Break the connection while the entry keeps running."""
        entry, request = self.entry, self.request
        if entry.waiting.pop(request, None) is None:
            return
        self.sim.after(
            LINK_DELAY_MS,
            lambda: entry.run_or_defer(lambda: self.notify_disconnect(entry, request)),
        )
        self.on_connection_lost()

    def notify_disconnect(self, entry: SimEntry, request: int) -> None:
        entry.core.on_client_disconnect(request, entry.clock.now_ms())

    def on_outcome(self, outcome: JobOutcome) -> None:
        if isinstance(outcome, JobUnknown):
            self.on_connection_lost()
        else:
            self.outcome = outcome


@dataclass
class JobSim:
    """The simulated fleet; `run` advances its clock, and `after` schedules faults."""

    seed: int
    agent_count: int = 4
    entry_count: int = 3
    step_ms: float = 5.0
    now: float = 10_000.0
    records: list[RunRecord] = field(default_factory=list)
    requests: int = 0

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.queue = Queue(
            QueueName("q"),
            ServiceName("svc"),
            "h",
            "/p/",
            0,
            max_attempts=5,
            stretch=1.6,
            latency_ms=60,
        )
        self.work: dict[str, float] = {}
        self.next_start_late_ms: float | None = None
        """Delay after which the next start order is executed, without an answer."""
        self.deadly_jobs: set[str] = set()
        """Jobs each of whose tasks crashes the upstream that starts it."""
        self.deadly_delay_ms = DEADLY_DELAY_MS
        self.heap: list[tuple[float, int, Callable[[], object]]] = []
        self.scheduled = 0
        self.cut_links: set[tuple[str, str]] = set()
        self.delayed_deliveries: list[tuple[tuple[str, str], Callable[[], object]]] = []
        self.clients: list[Client] = []
        self.entries = [SimEntry(self, f"e{number}") for number in range(self.entry_count)]
        self.upstreams = [
            SimUpstream(self, number, self.rng.uniform(0.98, 1.0), self.rng.choice([0.6, 1, 1.2]))
            for number in range(self.agent_count)
        ]
        self.agents = [SimAgent(self, upstream) for upstream in self.upstreams]

    def after(self, delay_ms: float, work: Callable[[], object]) -> None:
        self.scheduled += 1
        heapq.heappush(self.heap, (self.now + delay_ms, self.scheduled, work))

    def work_of(self, task: str) -> float:
        return self.work[task.split("/")[0]]

    def add_upstream(self, speed: float = 1.0) -> SimAgent:
        """Add an upstream with its agent, which connects to all entries."""
        upstream = SimUpstream(self, len(self.upstreams), 1.0, speed)
        self.upstreams.append(upstream)
        self.agents.append(SimAgent(self, upstream))
        return self.agents[-1]

    def submit(self, entry: SimEntry, tasks: int, work_ms: float, deadly: bool = False) -> Client:
        job = JobId(f"job{len(self.clients)}")
        self.work[job] = work_ms
        if deadly:
            self.deadly_jobs.add(job)
        estimate = work_ms * self.rng.uniform(0.7, 1.4)
        spec = JobSpec(
            job, "spec", (StepSpec(tasks, ResourceVector(2_000, 10), estimate),), durable=False
        )
        client = Client(self, job, spec, entry)
        self.clients.append(client)
        client.send()
        return client

    def to_entry(self, agent: SimAgent, effect: SendFrame) -> None:
        entry = next(entry for entry in self.entries if entry.name == effect.peer)
        incarnation = agent.incarnation

        def deliver() -> None:
            entry.run_or_defer(
                lambda: entry.core.on_frame(incarnation, effect.frame, entry.clock.now_ms())
            )

        self.transmit((agent.upstream.name, entry.name), deliver)

    def to_agent(self, entry: SimEntry, effect: SendAgent) -> None:
        agent = next((agent for agent in self.agents if agent.incarnation == effect.peer), None)
        if agent is None:
            return
        incarnation = agent.incarnation

        def deliver() -> None:
            agent.run_in_incarnation(
                incarnation,
                lambda: agent.core.on_frame(entry.name, effect.frame, agent.clock.now_ms()),
            )

        self.transmit((entry.name, agent.upstream.name), deliver)

    def transmit(self, link: tuple[str, str], deliver: Callable[[], object]) -> None:
        if link in self.cut_links:
            # TCP retransmits data lost in a network partition, so it arrives once the link is back.
            self.delayed_deliveries.append((link, deliver))
        else:
            self.after(LINK_DELAY_MS, deliver)

    def cut(self, left: str, right: str, one_way: bool = False) -> None:
        self.cut_links.add((left, right))
        if not one_way:
            self.cut_links.add((right, left))

    def heal(self) -> None:
        """Restore all links, whichever fault cut them, and deliver the delayed messages."""
        self.cut_links.clear()
        delayed_deliveries, self.delayed_deliveries = self.delayed_deliveries, []
        for _, deliver in delayed_deliveries:
            self.after(LINK_DELAY_MS, deliver)

    def run(self, for_ms: float) -> None:
        """Advance the simulated time by ``for_ms``."""
        end = self.now + for_ms
        step = self.step_ms
        while self.now < end:
            self.now += step
            while self.heap and self.heap[0][0] <= self.now:
                heapq.heappop(self.heap)[2]()
            for upstream in self.upstreams:
                upstream.step(step)
            # The longest intervals of the daemons while there are runs.
            relaxed = round(self.now) % round(RELAXED_TICK_MS) == 0
            if relaxed:
                for entry in self.entries:
                    entry.tick()
            for agent in self.agents:
                if relaxed or (agent.core.awaits_stop and round(self.now) % round(TICK_MS) == 0):
                    agent.tick()

    def overlaps(self) -> list[tuple[RunRecord, RunRecord]]:
        """Return the pairs of runs of one task that overlap in time."""
        by_task: dict[str, list[RunRecord]] = {}
        for record in self.records:
            by_task.setdefault(record.task, []).append(record)
        pairs = []
        for records in by_task.values():
            records.sort(key=lambda record: record.start_ms)
            for first, second in zip(records, records[1:], strict=False):
                if (first.end_ms if first.end_ms is not None else self.now) > second.start_ms:
                    pairs.append((first, second))
        return pairs

    def starts_after_crashes(self, crashes: int) -> list[RunRecord]:
        """Return the runs that started after ``crashes`` upstreams had crashed under their task."""
        ends: dict[str, list[float]] = {}
        for record in self.records:
            if record.how == "crashed" and record.end_ms is not None:
                ends.setdefault(record.task, []).append(record.end_ms)
        limits = {
            task: sorted(times)[crashes - 1]
            for task, times in ends.items()
            if len(times) >= crashes
        }
        return [
            record
            for record in self.records
            if record.start_ms > limits.get(record.task, float("inf"))
        ]

    def unanswered(self) -> list[Client]:
        """Return the clients that neither gave up nor received an outcome."""
        return [c for c in self.clients if c.outcome is None and not c.gave_up]

    def is_idle(self) -> bool:
        """Return whether no client waits for an outcome and no run is in progress."""
        return not self.unanswered() and not any(u.running for u in self.upstreams)

    def completed(self) -> int:
        """Return the number of jobs whose outcome is completed."""
        return sum(
            isinstance(client.outcome, JobEnded) and client.outcome.state.value == "completed"
            for client in self.clients
        )
