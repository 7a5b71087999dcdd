"""A simulated fleet for the job path: real cores, simulated network, upstreams and clients.

Entries and agents are the product's own `Scheduler` and `Executor`. The upstream keeps the
platform's contract: leases, fencing tokens, numbered ends, orders that are carried out late. Every
run is recorded, so a test can check the history.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from snipewell.agentsession import SendAgent
from snipewell.daemon import TICK_MS
from snipewell.entrysession import SendFrame
from snipewell.executor import Executor
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
    Room,
    RunEnd,
    StepSpec,
)
from snipewell.scheduler import Answer, Scheduler
from snipewell.upstreamcall import (
    CallHold,
    CallStart,
    CallStop,
    EndRow,
    RunRow,
    Runs,
    StartResult,
    Upstream,
)

LINK_MS = 1.0
RESEND_MS = 1_300.0
STOP_MS = 40.0
MAX_HOLD_MS = 1_000.0


@dataclass
class RunRecord:
    """One run as the upstream saw it; ``end_ms`` is None while it goes on."""

    task: str
    attempt: int
    upstream: str
    start_ms: float
    end_ms: float | None = None
    how: str = ""


@dataclass
class Running:
    """A run on an upstream."""

    record: RunRecord
    work_ms: float
    done_ms: float = 0.0
    stopping_ms: float | None = None


class SimUpstream:
    """An upstream under the platform's contract. ``rate`` is its clock, at worst 2% slow."""

    def __init__(self, sim: JobSim, number: int, rate: float, speed: float) -> None:
        self.sim = sim
        self.name = f"u{number}"
        self.rate = rate
        self.speed = speed
        self.room = Room(10_000, 100_000)
        self.born_ms = 1_000
        self.fence = 0
        self.deadline_ms = 0.0
        self.running: dict[tuple[str, int], Running] = {}
        self.ended: list[EndRow] = []
        self.highest: dict[str, int] = {}
        self.count = 0
        self.hangs = False
        self.fails = False
        self.late_share = 0.0
        self.waiters: list[tuple[float, Callable[[], None]]] = []

    def describe(self) -> Upstream:
        return Upstream(UpstreamId(self.name), self.born_ms, "svc", "z1", "a", self.room)

    def clock_ms(self) -> float:
        return (self.sim.now - self.born_ms) * self.rate

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
        self.count += 1
        self.ended.append(EndRow(self.count, key[0], key[1], how))
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
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
        if call.attempt <= self.highest.get(call.task, 0):
            return StartResult.OLD
        record = RunRecord(call.task, call.attempt, self.name, self.sim.now)
        self.sim.records.append(record)
        self.running[key] = Running(record, self.sim.work_of(call.task))
        return StartResult.STARTED

    def hold_until(self, deadline_ms: float) -> None:
        bounded = min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)
        self.deadline_ms = max(self.deadline_ms, bounded)

    def stop(self, call: CallStop) -> None:
        if call.fence < self.fence:
            return
        self.highest[call.task] = max(self.highest.get(call.task, 0), call.attempt)
        run = self.running.get((call.task, call.attempt))
        if run is not None and run.stopping_ms is None:
            run.stopping_ms = self.sim.now + STOP_MS

    def lists(self, call: CallHold) -> Runs:
        self.ended = [end for end in self.ended if end.number > call.acked]
        running = tuple(
            RunRow(task, attempt, int(100 * run.done_ms / run.work_ms))
            for (task, attempt), run in self.running.items()
        )
        return Runs(self.clock_ms(), self.born_ms, running, tuple(self.ended))

    def crash(self) -> None:
        """Lose everything and come back as a new life under the same id."""
        for run in self.running.values():
            run.record.end_ms = self.sim.now
            run.record.how = "crashed"
        self.running.clear()
        self.ended.clear()
        self.highest.clear()
        self.waiters.clear()
        self.count = self.fence = 0
        self.deadline_ms = 0.0
        self.born_ms = int(self.sim.now)


class SimAgent:
    """An agent beside an upstream; ``frozen`` stops it and keeps what arrives for later."""

    def __init__(self, sim: JobSim, upstream: SimUpstream) -> None:
        self.sim = sim
        self.upstream = upstream
        self.lives = 0
        self.frozen = False
        self.kept: list[Callable[[], None]] = []
        self.boot()

    def boot(self) -> None:
        self.lives += 1
        self.life = f"{self.upstream.name}.{self.lives}"
        self.core = Executor(self.upstream.name, self.life, int(self.sim.now), MAX_HOLD_MS)
        self.holding = False
        for entry in self.sim.entries:
            self.core.entries.connect(entry.name, self.sim.now)
        self.core.on_upstream(self.upstream.describe(), self.sim.now)

    def act(self, work: Callable[[], None]) -> None:
        """Do ``work`` now, or after the process has woken up."""
        if self.frozen:
            self.kept.append(work)
        else:
            work()
            self.perform()

    def in_life(self, life: str, work: Callable[[], None]) -> None:
        if life == self.life:
            self.act(work)

    def thaw(self) -> None:
        self.frozen = False
        kept, self.kept = self.kept, []
        for work in kept:
            self.act(work)

    def tick(self) -> None:
        if not self.frozen:
            self.core.tick(self.sim.now)
            self.perform()

    def perform(self) -> None:
        now = self.sim.now
        if not self.holding:
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
                    self.order(lambda call=effect: self.upstream.stop(call))  # type: ignore[misc]
                case CallHold():
                    self.hold(effect, False)

    def order(self, carry_out: Callable[[], object]) -> bool:
        """Carry an order out now, or seconds later without an answer; return whether now."""
        if self.sim.rng.random() < self.upstream.late_share:
            self.sim.after(self.sim.rng.uniform(2_000, 6_000), carry_out)
            return False
        carry_out()
        return True

    def start(self, call: CallStart) -> None:
        results: list[StartResult] = []
        answered = self.order(lambda: results.append(self.upstream.start(call)))
        life = self.life

        def answer() -> None:
            result = results[0] if answered else StartResult.UNANSWERED
            clock = self.upstream.clock_ms() if answered else None
            self.core.on_start_answer(call, result, clock, self.sim.now)

        self.sim.after(1.0 if answered else 250.0, lambda: self.in_life(life, answer))

    def hold(self, call: CallHold, regular: bool) -> None:
        life, upstream = self.life, self.upstream
        if call.fence < upstream.fence:
            self.sim.after(1.0, lambda: self.in_life(life, lambda: self.fenced(call, regular)))
            return
        upstream.fence = call.fence
        if call.deadline_ms is not None:
            upstream.hold_until(call.deadline_ms)

        def answer() -> None:
            runs = upstream.lists(call)
            self.sim.after(0.5, lambda: self.in_life(life, lambda: self.held(call, runs, regular)))

        if call.wait_ms and not upstream.lists(call).ended:
            upstream.waiters.append((self.sim.now + call.wait_ms, answer))
        else:
            answer()

    def fenced(self, call: CallHold, regular: bool) -> None:
        self.holding = self.holding and not regular
        self.core.on_hold_fenced(call, self.sim.now)

    def held(self, call: CallHold, runs: Runs, regular: bool) -> None:
        self.holding = self.holding and not regular
        self.core.on_hold(call, runs, self.sim.now)

    def kill(self) -> None:
        """Lose the process; the next life begins half a second later."""
        self.life = ""
        self.kept.clear()
        self.frozen = True
        self.sim.after(500.0, self.restart)

    def restart(self) -> None:
        self.frozen = False
        self.boot()
        self.perform()


class SimEntry:
    """An entry with its clients' requests."""

    def __init__(self, sim: JobSim, name: str) -> None:
        self.sim = sim
        self.name = name
        self.frozen = False
        self.kept: list[Callable[[], None]] = []
        self.waiting: dict[int, Client] = {}
        self.boot()

    def boot(self) -> None:
        self.core = Scheduler(Random(self.sim.rng.random()))
        self.core.set_catalog(Catalog(1, "1", (self.sim.queue,)))

    def act(self, work: Callable[[], None]) -> None:
        if self.frozen:
            self.kept.append(work)
        else:
            work()
            self.perform()

    def thaw(self) -> None:
        self.frozen = False
        kept, self.kept = self.kept, []
        for work in kept:
            self.act(work)

    def tick(self) -> None:
        if not self.frozen:
            self.core.tick(self.sim.now)
            self.perform()

    def perform(self) -> None:
        self.core.place(self.sim.now)
        effects, self.core.effects[:] = list(self.core.effects), []
        for effect in effects:
            match effect:
                case SendAgent():
                    self.sim.to_agent(self, effect)
                case Answer():
                    client = self.waiting.pop(effect.request, None)
                    if client is not None:
                        outcome = effect.outcome
                        self.sim.after(LINK_MS, lambda c=client, o=outcome: c.answered(o))  # type: ignore[misc]

    def kill(self) -> None:
        """Lose the process, break its clients' connections, and begin a new life."""
        broken, self.waiting = list(self.waiting.values()), {}
        self.kept.clear()
        self.frozen = False
        self.boot()
        for client in broken:
            client.broken()


@dataclass
class Client:
    """A client with one job, which it sends again after a broken connection."""

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
                entry.core.submit(request, self.sim.queue, self.spec, 30_000.0, self.sim.now)

        self.sim.after(LINK_MS, lambda: entry.act(submit))

    def broken(self) -> None:
        """Send the job again to another entry, as the platform's clients do."""
        if self.outcome is None and not self.gave_up:
            self.entry = self.sim.rng.choice(self.sim.entries)
            self.sim.after(RESEND_MS, self.send)

    def reset(self) -> None:
        """Lose the connection while the entry lives."""
        entry, request = self.entry, self.request
        if entry.waiting.pop(request, None) is None:
            return
        self.sim.after(LINK_MS, lambda: entry.act(lambda: self.left(entry, request)))
        self.broken()

    def left(self, entry: SimEntry, request: int) -> None:
        entry.core.on_client_gone(request, self.sim.now)

    def answered(self, outcome: JobOutcome) -> None:
        if isinstance(outcome, JobUnknown):
            self.broken()
        else:
            self.outcome = outcome


@dataclass
class JobSim:
    """The fleet. `run` advances it; faults are scheduled with `after`."""

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
        self.heap: list[tuple[float, int, Callable[[], object]]] = []
        self.scheduled = 0
        self.cuts: set[tuple[str, str]] = set()
        self.held: list[tuple[tuple[str, str], Callable[[], object]]] = []
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

    def submit(self, entry: SimEntry, tasks: int, work_ms: float) -> Client:
        job = JobId(f"job{len(self.clients)}")
        self.work[job] = work_ms
        estimate = work_ms * self.rng.uniform(0.7, 1.4)
        spec = JobSpec(job, "spec", (StepSpec(tasks, Room(2_000, 10), estimate),), kept=False)
        client = Client(self, job, spec, entry)
        self.clients.append(client)
        client.send()
        return client

    def to_entry(self, agent: SimAgent, effect: SendFrame) -> None:
        entry = next(entry for entry in self.entries if entry.name == effect.peer)
        life = agent.life

        def deliver() -> None:
            entry.act(lambda: entry.core.on_frame(life, effect.frame, self.now))

        self.carry((agent.upstream.name, entry.name), deliver)

    def to_agent(self, entry: SimEntry, effect: SendAgent) -> None:
        agent = next((agent for agent in self.agents if agent.life == effect.peer), None)
        if agent is None:
            return
        life = agent.life

        def deliver() -> None:
            agent.in_life(life, lambda: agent.core.on_frame(entry.name, effect.frame, self.now))

        self.carry((entry.name, agent.upstream.name), deliver)

    def carry(self, link: tuple[str, str], deliver: Callable[[], object]) -> None:
        if link in self.cuts:
            # TCP keeps what a partition holds up and delivers it when the path is back.
            self.held.append((link, deliver))
        else:
            self.after(LINK_MS, deliver)

    def cut(self, left: str, right: str, one_way: bool = False) -> None:
        self.cuts.add((left, right))
        if not one_way:
            self.cuts.add((right, left))

    def heal(self) -> None:
        self.cuts.clear()
        held, self.held = self.held, []
        for _, deliver in held:
            self.after(LINK_MS, deliver)

    def run(self, for_ms: float) -> None:
        """Advance the fleet by ``for_ms``."""
        end = self.now + for_ms
        step = self.step_ms
        while self.now < end:
            self.now += step
            while self.heap and self.heap[0][0] <= self.now:
                heapq.heappop(self.heap)[2]()
            for upstream in self.upstreams:
                upstream.step(step)
            if round(self.now) % round(TICK_MS) == 0:
                for entry in self.entries:
                    entry.tick()
                for agent in self.agents:
                    agent.tick()

    def overlaps(self) -> list[tuple[RunRecord, RunRecord]]:
        """Return the pairs of runs of one task that went on at the same time."""
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

    def unanswered(self) -> list[Client]:
        """Return the clients that neither left nor got an answer."""
        return [c for c in self.clients if c.outcome is None and not c.gave_up]

    def is_idle(self) -> bool:
        """Return whether every client is served and nothing runs."""
        return not self.unanswered() and not any(u.running for u in self.upstreams)

    def completed(self) -> int:
        """Return how many jobs were completed."""
        return sum(
            isinstance(client.outcome, JobEnded) and client.outcome.state.value == "completed"
            for client in self.clients
        )
