"""Simulate leaders, replicas, agents, clients and a store on one seeded virtual clock.

The network loses, delays, duplicates and reorders messages; processes pause and crash; the
store has outages and loses responses. ``python -m tests.simulation --runs 10000`` runs many seeds.
"""

from __future__ import annotations

import argparse
import heapq
import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from snipewell.clock import ManualClock
from snipewell.effect import (
    Effect,
    Enqueue,
    ProposeTable,
    Reply,
    SendAgent,
    SendEntry,
    Submission,
    TaskReady,
    Withdraw,
)
from snipewell.ids import (
    AgentId,
    Digest,
    EntryId,
    Incarnation,
    Partition,
    RequestId,
    ScopedKey,
    ServiceName,
    TeamName,
    ZoneId,
    digest_of,
    scope_key,
)
from snipewell.message import (
    Answer,
    CancelForward,
    Candidate,
    Forward,
    Message,
    Resources,
    decode,
    encode,
)
from snipewell.outcome import NotRun, Outcome, Step, Unknown
from snipewell.partition import PartitionTable
from snipewell.partitionmanager import PartitionLimits, PartitionManager, Protections
from tests.fake_agent import FakeAgent
from tests.history import Answered, Event, Granted, Invoked, ProcessExited, Violation, check_history

LIMITS = PartitionLimits(
    partitions=4,
    window_ms=60_000,
    ticket_margin_ms=5_000,
    max_deadline_ms=6_000,
    query_after_ms=400,
    query_interval_ms=150,
    collect_timeout_ms=800,
    quiesce_ms=1_500,
    retry_after_ms=400,
    forget_after_ms=2_000,
)
SERVICE, TEAM = ServiceName("dye-test"), TeamName("annex")
LEASE_MS, END_MS = 700.0, 14_000.0
"""Lease of an entry's registration, and the virtual time at which a run ends."""


@dataclass(frozen=True)
class Faults:
    """Faults injected into one run; `draw` chooses them from the seed.

    ``loss`` is the share of messages that are lost, and likewise of those that are duplicated or
    delayed for long; ``upstream_failure_share`` is the share of upstream calls that do not succeed.
    """

    loss: float = 0.02
    kinds: tuple[str, ...] = ()
    upstream_failure_share: float = 0.04

    @classmethod
    def draw(cls, rng: random.Random) -> Faults:
        kinds = [
            "pause_entry",
            "kill_entry",
            "pause_agent",
            "kill_agent",
            "store_down",
            "drain",
            "join",
            "pause_and_kill",
        ]
        return cls(rng.choice((0.0, 0.01, 0.05)), tuple(rng.choices(kinds, k=rng.randint(1, 4))))


@dataclass
class Process:
    """The state of a process; while it is paused, its messages and timers are deferred."""

    alive: bool = True
    paused_until_ms: float = 0.0


@dataclass
class Entry(Process):
    partition_manager: PartitionManager = field(kw_only=True)
    zone: ZoneId = ZoneId("patan")
    ready: list[TaskReady] = field(default_factory=list)
    draining: bool = False


class World:
    """One simulated run; ``events`` is its history, ``outcomes`` counts outcomes by type."""

    def __init__(
        self,
        seed: int,
        faults: Faults | None = None,
        protections: Protections | None = None,
        keys: int = 40,
    ) -> None:
        self.rng = random.Random(seed)
        self.faults = faults or Faults.draw(self.rng)
        self.clock = ManualClock(1_000.0)
        self.events: list[Event] = []
        self.outcomes: Counter[str] = Counter()
        self.drained: list[EntryId] = []
        self.messages: Counter[str] = Counter()
        self.unanswered: set[RequestId] = set()
        self._protections = protections or Protections()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._waiting: dict[RequestId, tuple[EntryId, ScopedKey, int]] = {}
        self._replied_ms: dict[tuple[RequestId, bytes], float] = {}
        self._store_up = True
        self._version = 0
        self._table: PartitionTable | None = None
        self._specs: dict[ScopedKey, tuple[list[bytes], bool, bool]] = {}
        self.entries: dict[EntryId, Entry] = {}
        self.agents: dict[AgentId, FakeAgent] = {}
        for number in range(4):
            agent = AgentId(f"agent-{number}")
            self.agents[agent] = FakeAgent(self, agent)
        for number in range(self.rng.choice((1, 2, 3, 3, 4))):
            self._add_entry(number)
        self._schedule_keys_and_faults(keys)

    # Time and processes

    def now_ms(self) -> float:
        return self.clock.now_ms()

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._queue, (self.now_ms() + delay_ms, self._count, action))

    def run(self) -> list[Violation]:
        """Run until `END_MS` and return the violations found by the history checker."""
        while self._queue and self._queue[0][0] < END_MS:
            at_ms, _, action = heapq.heappop(self._queue)
            self.clock.advance(at_ms - self.now_ms())
            action()
        return check_history(self.events)

    def _when_running(self, process: Process, action: Callable[[], None]) -> None:
        """Run ``action`` now, after ``process`` resumes, or never if it has exited."""
        if not process.alive:
            return
        left_ms = process.paused_until_ms - self.now_ms()
        if left_ms > 0:
            self.after(left_ms + self.rng.random(), lambda: self._when_running(process, action))
        else:
            action()

    def _add_entry(self, number: int) -> None:
        entry = EntryId(f"e{number}.1")
        zone = ZoneId(("patan", "bhaktapur", "kirtipur")[number % 3])
        partition_manager = PartitionManager.create(
            entry,
            zone,
            self.clock,
            random.Random(self.rng.random()),
            LIMITS,
            lambda service: self.rng.random() < 0.5,
            self._protections,
        )
        self.entries[entry] = Entry(partition_manager=partition_manager, zone=zone)
        self._tick(entry)
        self._registration_changed()

    def _tick(self, entry: EntryId) -> None:
        node = self.entries[entry]

        def tick() -> None:
            self._apply(entry, node.partition_manager.tick())
            self._grant_ready_tasks(entry)
            if node.draining and node.partition_manager.drained() and entry not in self.drained:
                self.drained.append(entry)
                self.after(300, lambda: self._exit(entry))

        if node.alive:
            self._when_running(node, tick)
            self.after(20, lambda: self._tick(entry))

    def _exit(self, entry: EntryId) -> None:
        """Exit a drained entry after its own clients have received their outcomes."""
        if any(origin == entry for origin, _, _ in self._waiting.values()):
            self.after(50, lambda: self._exit(entry))
            return
        self.entries[entry].alive = False
        self.events.append(ProcessExited(self.now_ms(), entry, True))
        self._registration_changed()

    # Store and registration

    def _registered(self) -> dict[EntryId, ZoneId]:
        now_ms = self.now_ms()
        return {
            entry: node.zone
            for entry, node in self.entries.items()
            if node.alive and node.paused_until_ms - now_ms < LEASE_MS
        }

    def _registration_changed(self) -> None:
        if not self._store_up:
            self.after(100, self._registration_changed)
            return
        for entry, node in self.entries.items():
            self._notify(entry, node, self._apply_registrations)

    def _apply_registrations(self, entry: EntryId, node: Entry) -> None:
        if self._store_up and entry in self._registered():
            self._apply(entry, node.partition_manager.on_entries(self._registered()))

    def _notify(
        self, entry: EntryId, node: Entry, action: Callable[[EntryId, Entry], None]
    ) -> None:
        delay_ms = self.rng.choice((2, 5, 40, 200))
        self.after(delay_ms, lambda: self._when_running(node, lambda: action(entry, node)))

    def _write(self, proposal: ProposeTable) -> None:
        if not self._store_up or proposal.base_version != self._version:
            return
        self._version += 1
        table = PartitionTable.from_json(proposal.table.to_json(), self._version)
        self._table = table
        self._announce_table()

    def _announce_table(self) -> None:
        if self._table is None:
            return
        if not self._store_up:
            self.after(100, self._announce_table)
            return
        table = self._table
        for entry, node in self.entries.items():
            self._notify(
                entry, node, lambda e, n: self._apply(e, n.partition_manager.on_table(table))
            )

    # Network

    def send(self, receiver: Process, message: Message, deliver: Callable[[], None]) -> None:
        """Send a message, which may be delayed, duplicated, reordered or lost."""
        self.messages[type(message).__name__] += 1
        assert decode(encode(message)) == message or isinstance(message, Forward)
        for _ in range(2 if self.rng.random() < self.faults.loss else 1):
            if self.rng.random() < self.faults.loss:
                continue
            delay_ms = self.rng.uniform(0.5, 4.0)
            if self.rng.random() < self.faults.loss:
                delay_ms = self.rng.uniform(4.0, 900.0)
            self.after(delay_ms, lambda: self._when_running(receiver, deliver))

    def to_entry(self, sender: str, entry: EntryId, message: Message) -> None:
        node = self.entries.get(entry)
        if node is not None:
            self.send(node, message, lambda: self._receive(entry, sender, message))

    def _receive(self, entry: EntryId, sender: str, message: Message) -> None:
        partition_manager = self.entries[entry].partition_manager
        match message:
            case Forward():
                self._submit_at_leader(entry, message)
            case Answer():
                self._deliver_outcome(message.request, message.outcome)
            case CancelForward():
                self._apply(entry, partition_manager.cancel(message.request, message.key))
            case _ if sender in self.agents:
                self._apply(entry, partition_manager.on_agent_message(AgentId(sender), message))
            case _:
                self._apply(entry, partition_manager.on_entry_message(EntryId(sender), message))

    def _apply(self, entry: EntryId, effects: list[Effect]) -> None:
        node = self.entries[entry]
        for effect in effects:
            match effect:
                case SendEntry(entry=receiver, message=message):
                    self.to_entry(entry, receiver, message)
                case SendAgent(agent=agent, message=message):
                    self._to_agent(entry, agent, message)
                case Reply(request=request, key=key, outcome=outcome):
                    self._reply(entry, request, key, outcome)
                case Enqueue(tasks=tasks):
                    node.ready += tasks
                case Withdraw(key=key):
                    node.ready = [task for task in node.ready if task.key != key]
                case ProposeTable():
                    proposal = effect
                    self.after(self.rng.uniform(2, 20), lambda p=proposal: self._write(p))

    def _to_agent(self, entry: EntryId, agent: AgentId, message: Message) -> None:
        fake = self.agents[agent]
        self.send(fake, message, lambda: fake.receive(entry, message))

    def _grant_ready_tasks(self, entry: EntryId) -> None:
        """Grant each ready task to a random candidate, whether or not it has a free slot."""
        node = self.entries[entry]
        waiting, node.ready = node.ready, []
        for task in waiting:
            choices = sorted(task.candidates - task.excluded)
            start = None
            if choices:
                agent = self.rng.choice(choices)
                incarnation = self.agents[agent].incarnation
                start = node.partition_manager.grant(task.key, task.task, agent, incarnation)
            if start is not None:
                granted = Granted(self.now_ms(), start.key, start.task, agent, entry, start.epoch)
                self.events.append(granted)
                self._to_agent(entry, agent, start)
            elif self.now_ms() < task.deadline_at_ms:
                node.ready.append(task)

    # Clients

    def _schedule_keys_and_faults(self, keys: int) -> None:
        rng = self.rng
        for number in range(keys):
            tasks = [f"{number}/{i}".encode() for i in range(rng.choice((1, 1, 2, 5)))]
            job = len(tasks) > 1 or rng.random() < 0.2
            at_ms = rng.uniform(300, 6_000)
            self.after(at_ms, lambda n=number, t=tasks, j=job: self._start_key(n, t, j))
        for kind in self.faults.kinds:
            self.after(rng.uniform(500, 5_500), lambda k=kind: self._inject_fault(k))

    def _start_key(self, number: int, tasks: list[bytes], job: bool) -> None:
        key = scope_key(TEAM, f"key-{number}")
        if self.rng.random() < 0.3:
            entry = self.rng.choice(list(self.entries.values()))
            partition = Partition(self.rng.randrange(LIMITS.partitions))
            tickets = entry.partition_manager.issue_tickets(partition, 1) if entry.alive else []
            key = scope_key(TEAM, tickets[0]) if tickets else key
        self._specs[key] = (tasks, job, self.rng.random() < 0.5)
        for attempt in range(self.rng.choice((1, 1, 2, 3))):
            self.after(self.rng.uniform(0, 1_500) * attempt, lambda: self._attempt(key, 0))

    def _attempt(self, key: ScopedKey, tries: int) -> None:
        """Submit ``key`` through an entry that the balancer considers healthy."""
        entries = [e for e, n in self.entries.items() if n.alive and not n.draining]
        if not entries:
            return
        entry = self.rng.choice(entries)
        tasks, job, idempotent = self._specs[key]
        self._count += 1
        request = RequestId(f"r{self._count}")
        self._waiting[request] = (entry, key, tries)
        self.unanswered.add(request)
        self.events.append(Invoked(self.now_ms(), request, key, len(tasks), idempotent, job, entry))
        deadline_ms = self.rng.choice((1_500.0, 2_500.0, 4_000.0))
        digest = digest_of(SERVICE, tasks)
        forward = Forward(
            request, entry, key, digest, SERVICE, TEAM, tasks, deadline_ms, job, Resources()
        )
        self._when_running(self.entries[entry], lambda: self._route(entry, forward))
        if self.rng.random() < 0.08:
            self.after(self.rng.uniform(0, 500), lambda: self._cancel(entry, key))
        timeout = Unknown(Step.FORWARD, entry, "no answer", False)
        self.after(deadline_ms + 3_000, lambda: self._deliver_outcome(request, timeout))

    def _route(self, entry: EntryId, forward: Forward) -> None:
        leader = self.entries[entry].partition_manager.leader_of(forward.key)
        if leader is None:
            self._deliver_outcome(forward.request, Unknown(Step.FORWARD, entry, "no table", False))
        elif leader == entry:
            self._submit_at_leader(entry, forward)
        else:
            self.to_entry(entry, leader, forward)

    def _submit_at_leader(self, entry: EntryId, forward: Forward) -> None:
        _, job, idempotent = self._specs[forward.key]
        submission = Submission(
            forward.request,
            forward.entry,
            forward.key,
            Digest(forward.digest),
            forward.service,
            forward.team,
            forward.tasks,
            self.now_ms() + forward.deadline_ms,
            job,
            idempotent,
            forward.resources,
        )
        partition_manager = self.entries[entry].partition_manager
        if self.rng.random() < 0.1:
            self._apply(entry, partition_manager.refuse(submission, NotRun("quota", 500, True)))
            return
        agents = [a for a in self.agents.values() if a.alive]
        chosen = self.rng.sample(agents, min(len(agents), 3))
        candidates = [Candidate(a.name, Incarnation(a.incarnation)) for a in chosen]
        self._apply(entry, partition_manager.submit(submission, candidates))

    def _cancel(self, entry: EntryId, key: ScopedKey) -> None:
        leader = self.entries[entry].partition_manager.leader_of(key)
        if leader is not None and self.entries[entry].alive:
            self._count += 1
            cancel = CancelForward(RequestId(f"c{self._count}"), entry, key)
            self.to_entry(entry, leader, cancel)

    def _reply(self, entry: EntryId, request: RequestId, key: ScopedKey, outcome: Outcome) -> None:
        waiting = self._waiting.get(request)
        if waiting is None:
            return
        self._replied_ms[request, repr(outcome).encode()] = self.now_ms()
        if waiting[0] == entry:
            self._deliver_outcome(request, outcome)
        else:
            self.to_entry(entry, waiting[0], Answer(request, key, outcome))

    def _deliver_outcome(self, request: RequestId, outcome: Outcome) -> None:
        """Deliver an outcome to the client; if its entry has crashed, the connection is lost."""
        entry, key, tries = self._waiting.pop(request, (None, ScopedKey(""), 0))
        if entry is None:
            return
        self.unanswered.discard(request)
        delivered = self.entries[entry].alive or entry in self.drained
        if delivered:
            now_ms = self.now_ms()
            at_ms = self._replied_ms.get((request, repr(outcome).encode()), now_ms)
            self.events.append(Answered(at_ms, request, outcome))
            self.outcomes[type(outcome).__name__] += 1
        if tries < 2 and (not delivered or isinstance(outcome, NotRun | Unknown)):
            wait_ms = outcome.retry_after_ms if isinstance(outcome, NotRun) else 300
            self.after(wait_ms + 5, lambda: self._attempt(key, tries + 1))

    # Faults

    def _inject_fault(self, kind: str) -> None:
        running = [e for e, n in self.entries.items() if n.alive and not n.draining]
        if kind == "store_down":
            self._store_up = False
            self.after(self.rng.uniform(500, 3_000), self._restore_store)
        elif kind == "join":
            self._add_entry(len(self.entries))
            self._announce_table()
        elif kind in ("pause_agent", "kill_agent"):
            agent = self.agents[AgentId(f"agent-{self.rng.randrange(4)}")]
            if kind == "pause_agent":
                agent.paused_until_ms = self.now_ms() + self.rng.uniform(100, 3_000)
            else:
                self._kill_agent(agent)
        elif running:
            entry = self.rng.choice(running)
            if kind == "drain":
                self.entries[entry].draining = True
                self._apply(entry, self.entries[entry].partition_manager.drain())
            elif kind == "kill_entry":
                self._kill_entry(entry)
            else:
                pause_ms = self.rng.uniform(200, 4_000)
                self.entries[entry].paused_until_ms = self.now_ms() + pause_ms
                self.after(LEASE_MS + 1, self._registration_changed)
                self.after(pause_ms, self._registration_changed)
                others = [e for e in running if e != entry]
                if kind == "pause_and_kill" and others:
                    self._kill_entry(self.rng.choice(others))

    def _kill_entry(self, entry: EntryId) -> None:
        self.entries[entry].alive = False
        self.after(LEASE_MS, self._registration_changed)
        if self.rng.random() < 0.7:
            self.after(1_500, lambda: self._inject_fault("join"))
        for request, (origin, _, _) in list(self._waiting.items()):
            if origin == entry:
                self.after(self.rng.uniform(0, 50), lambda r=request: self._lose_connection(r))

    def _lose_connection(self, request: RequestId) -> None:
        self._deliver_outcome(request, Unknown(Step.EDGE, "", "connection lost", False))

    def _kill_agent(self, agent: FakeAgent) -> None:
        incarnation = Incarnation(agent.incarnation)
        agent.restart()
        for entry, node in self.entries.items():
            self._notify(
                entry,
                node,
                lambda e, n: self._apply(
                    e, n.partition_manager.on_agent_gone(agent.name, incarnation)
                ),
            )

    def _restore_store(self) -> None:
        self._store_up = True
        self._announce_table()
        self._registration_changed()


def main(arguments: list[str] | None = None) -> int:
    """Run many seeds and print the violations and the number of outcomes of each type."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--runs", type=int, default=100)
    parser.add_argument("--first", type=int, default=0)
    options = parser.parse_args(arguments)
    outcomes: Counter[str] = Counter()
    failed_runs = 0
    for seed in range(options.first, options.first + options.runs):
        world = World(seed)
        violations = world.run()
        outcomes += world.outcomes
        outcomes["unanswered"] += len(world.unanswered)
        if violations:
            failed_runs += 1
            print(seed, world.faults, violations[:3])
    print(f"{options.runs} runs, {failed_runs} with violations, outcomes {dict(outcomes)}")
    return 1 if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main())
