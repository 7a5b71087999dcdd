"""Voter sets that change during network partitions between entries and the store."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

import curio
import msgspec
import pytest

from snipewell.clock import ManualClock, SystemClock
from snipewell.configuration import Configuration
from snipewell.effect import ProposeVoters
from snipewell.freshness import Freshness
from snipewell.group import VOTERS_KEY, PartContent, VoterSet, encode_part, part_key
from snipewell.ids import EntryId, Revision, ZoneId
from snipewell.message import Snapshot
from snipewell.peer import EntryRecord
from snipewell.resource import Kind
from snipewell.standins.store import StoreStandIn
from snipewell.store import Store
from snipewell.voterapi import VoterApi, write_voters
from snipewell.voters import VoterSetProposer
from snipewell.web import Request

STEP_MS = 50.0
LEASE_MS = 5_000.0
TIMEOUT_MS = 1_500.0
PERMIT_MS = 1_500.0
STOP_MS = 2_500.0
"""Bound in ms on the validity of older permits after the response to an operator's write."""
IN_FORCE_MS = 2_000.0
ZONES = part_key(Kind.ZONE)
STORE = "store"


@dataclass
class StoreModel:
    """Model of the store: all changes in order, and the leases of the registered entries."""

    changes: list[tuple[str, bytes]] = field(default_factory=list)
    leases: dict[EntryId, tuple[float, EntryRecord]] = field(default_factory=dict)

    def current(self, key: str) -> tuple[int, bytes]:
        """Return the revision and the value of ``key``."""
        found = [(n, v) for n, (k, v) in enumerate(self.changes, 1) if k == key]
        return found[-1] if found else (0, b"")

    def write(self, key: str, value: bytes) -> Revision:
        self.changes.append((key, value))
        return Revision(len(self.changes))


class Node:
    """One incarnation of an entry: the modules under test, and its last reads."""

    def __init__(self, name: str, incarnation: int, clock: ManualClock, port: int) -> None:
        self.name = name
        self.id = EntryId(f"{name}.{incarnation}")
        self.record = EntryRecord(self.id, ZoneId("patan"), "", f"127.0.0.1:{port}")
        self.configuration = Configuration()
        self.freshness = Freshness(self.id, clock)
        self.proposer = VoterSetProposer(self.record, clock, self.freshness, self.configuration)
        self.registered: dict[EntryId, EntryRecord] = {}
        self.last_seen_ms: dict[EntryId, float] = {}
        self.leaving_since_ms = float("inf")
        self.read_count = 0

    @property
    def revision(self) -> Revision:
        return self.configuration.revision


class Simulation:
    """Simulation of entries and a store on a virtual clock, with cut links between any two.

    With ``by_registration``, majorities are those of the registered entries instead of the voters.
    """

    def __init__(self, by_registration: bool = False, seed: int = 0) -> None:
        self.clock = ManualClock(10_000)
        self.rng = Random(seed)
        self.store = StoreModel()
        self.store.write(ZONES, encode_part(PartContent()))
        self.nodes: dict[str, Node] = {}
        self.cuts: set[frozenset[str]] = set()
        self.incarnations = 0
        self.by_registration = by_registration
        self.answered_writes: list[tuple[float, Revision]] = []
        self.pending_writes: list[tuple[float, Node, Revision]] = []
        self.violations: list[str] = []
        self.timed_out_writes = 0
        self.voter_writes = 0
        self.write_conflicts = 0
        self.permits_without_store = 0

    def start(self, name: str, port: int | None = None) -> Node:
        self.incarnations += 1
        port = 1_000 + self.incarnations if port is None else port
        node = self.nodes[name] = Node(name, self.incarnations, self.clock, port)
        return node

    def cut(self, one: str, *others: str) -> None:
        self.cuts |= {frozenset((one, other)) for other in others}

    def is_connected(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cuts

    def write(self, name: str) -> Revision | None:
        """Make an operator's write through an entry; the response is 200 once it is in force."""
        if not self.is_connected(name, STORE):
            return None
        content = PartContent(base=self.store.current(ZONES)[0])
        revision = self.store.write(ZONES, encode_part(content))
        self.pending_writes.append((self.clock.now_ms() + IN_FORCE_MS, self.nodes[name], revision))
        return revision

    def remove_ended_voter(self, rng: Random) -> None:
        """Remove one voter whose entry has ended, as an operator does by ``DELETE /v1/voters``."""
        value = self.store.current(VOTERS_KEY)[1]
        current = msgspec.json.decode(value, type=VoterSet) if value else VoterSet()
        alive = {node.id for node in self.nodes.values()}
        ended = [entry for entry in current.voters if entry not in alive]
        if ended:
            entry = rng.choice(ended)
            remaining = {e: a for e, a in current.voters.items() if e != entry}
            self.store.write(VOTERS_KEY, msgspec.json.encode(current.next_set(remaining)))

    def run(self, ms: float) -> None:
        for _ in range(int(ms / STEP_MS)):
            self.step()

    def step(self) -> None:
        self.clock.advance(STEP_MS)
        now = self.clock.now_ms()
        self.store.leases = {e: x for e, x in self.store.leases.items() if x[0] > now}
        nodes = list(self.nodes.values())
        self.rng.shuffle(nodes)
        for node in nodes:
            if self.is_connected(node.name, STORE) and self.rng.random() < 0.7:
                self.poll(node)
            if self.rng.random() < 0.7:
                self.exchange_heartbeats(node)
            self.update_freshness(node)
            self.propose(node)
            self.issue_permit(node)
        self.answer_writes()

    def poll(self, node: Node) -> None:
        now = self.clock.now_ms()
        if now < node.leaving_since_ms:
            self.store.leases[node.id] = (now + LEASE_MS, node.record)
        else:
            self.store.leases.pop(node.id, None)
        node.registered = {e: r for e, (_, r) in self.store.leases.items()}
        for number, (key, value) in enumerate(
            self.store.changes[node.read_count :], node.read_count + 1
        ):
            node.configuration.apply(key, value, Revision(number))
        node.read_count = len(self.store.changes)
        node.freshness.on_store_contact(now)

    def exchange_heartbeats(self, node: Node) -> None:
        now = self.clock.now_ms()
        for peer in self.nodes.values():
            known = peer.id in node.registered or peer.id in node.last_seen_ms
            if peer is node or not known or not self.is_connected(node.name, peer.name):
                continue
            node.last_seen_ms[peer.id] = now
            node.freshness.on_peer(peer.id, now, peer.revision)
            if peer.revision > node.revision and self.rng.random() < 0.7:
                node.configuration.apply_snapshot(peer.configuration.snapshot())

    def update_freshness(self, node: Node) -> None:
        now = self.clock.now_ms()
        node.last_seen_ms = {e: t for e, t in node.last_seen_ms.items() if now - t <= TIMEOUT_MS}
        voters = node.registered if self.by_registration else node.configuration.voters.voters
        node.freshness.set_voters(voters.keys())
        node.freshness.retain_peers(node.registered.keys() | node.last_seen_ms.keys())

    def propose(self, node: Node) -> None:
        if self.clock.now_ms() >= node.leaving_since_ms:
            node.proposer.leave()
        live = node.registered.keys() | node.last_seen_ms.keys()
        proposal = node.proposer.tick(node.registered, live) if not self.by_registration else None
        if proposal is None or not self.is_connected(node.name, STORE):
            return
        _, value = self.store.current(VOTERS_KEY)
        found = msgspec.json.decode(value, type=VoterSet) if value else VoterSet()
        if found == proposal.current:
            self.voter_writes += 1
            self.store.write(VOTERS_KEY, msgspec.json.encode(proposal.following))
        else:
            self.write_conflicts += 1

    def issue_permit(self, node: Node) -> None:
        """Issue a permit if the entry may, and record a violation if it remains valid for too long.

        A permit must not be valid later than ``STOP_MS`` after a write was answered whose revision
        the entry does not have.
        """
        now = self.clock.now_ms()
        if node.revision == 0 or not node.freshness.is_fresh(node.revision):
            return
        self.permits_without_store += node.freshness.store_age_ms() > 1_000
        for answered_at_ms, revision in self.answered_writes:
            if node.revision < revision and now + PERMIT_MS > answered_at_ms + STOP_MS:
                text = f"{node.id} at {node.revision}, {revision} in force since {answered_at_ms}"
                self.violations.append(f"{now}: {text}")

    def answer_writes(self) -> None:
        now = self.clock.now_ms()
        remaining = []
        for end_ms, node, revision in self.pending_writes:
            if self.nodes.get(node.name) is not node:
                continue
            if node.freshness.is_in_force(revision, node.revision):
                self.answered_writes.append((now, revision))
            elif now < end_ms:
                remaining.append((end_ms, node, revision))
            else:
                self.timed_out_writes += 1
        self.pending_writes = remaining

    def voters(self) -> set[str]:
        """Return the voters in the store."""
        value = self.store.current(VOTERS_KEY)[1]
        return set(msgspec.json.decode(value, type=VoterSet).voters) if value else set()

    def ids(self, *names: str) -> set[str]:
        return {self.nodes[name].id for name in names}

    def is_write_answered(self, revision: Revision | None) -> bool:
        return any(found == revision for _, found in self.answered_writes)


def start_three_entries(by_registration: bool = False) -> Simulation:
    simulation = Simulation(by_registration)
    for name in "abc":
        simulation.start(name)
    simulation.run(3_000)
    return simulation


def isolate_majority(simulation: Simulation) -> Revision | None:
    """Cut entries a and b off from the store and c, and write after their leases expired."""
    simulation.cut("a", STORE, "c")
    simulation.cut("b", STORE, "c")
    simulation.run(LEASE_MS + TIMEOUT_MS + 2_000)
    revision = simulation.write("c")
    simulation.run(6_000)
    return revision


def test_isolated_majority_keeps_a_write_from_being_in_force() -> None:
    """Guards against 200 for taking a zone out of service while two entries still issue permits."""
    simulation = start_three_entries()
    revision = isolate_majority(simulation)
    assert not simulation.is_write_answered(revision) and simulation.timed_out_writes == 1
    assert simulation.violations == []
    assert simulation.permits_without_store > 0
    simulation.cuts.clear()
    simulation.run(3_000)
    assert simulation.voters() == simulation.ids("a", "b", "c")
    later = simulation.write("c")
    simulation.run(1_000)
    assert simulation.is_write_answered(later)


def test_majorities_of_registered_entries_violate_the_bound() -> None:
    """Checks that the scenario detects the error of counting majorities of registered entries."""
    simulation = start_three_entries(by_registration=True)
    revision = isolate_majority(simulation)
    assert simulation.is_write_answered(revision)
    assert simulation.violations != []


@pytest.mark.parametrize("seed", range(20))
def test_three_entries_started_at_once_become_voters_within_two_seconds(seed: int) -> None:
    """Guards against a slow start, and against conflicting writes to the store."""
    simulation = Simulation(seed=seed)
    for name in "abc":
        simulation.start(name)
    simulation.run(2_000)
    assert simulation.voters() == simulation.ids("a", "b", "c")
    assert simulation.voter_writes == 3
    assert simulation.write_conflicts <= 1


def test_rolling_replacement_keeps_writes_in_force() -> None:
    """Guards against writes that remain at 202 while entries are replaced one by one."""
    simulation = start_three_entries()
    for name in "abc":
        simulation.nodes[name].leaving_since_ms = simulation.clock.now_ms()
        simulation.run(1_000)
        assert simulation.nodes[name].id not in simulation.voters()
        simulation.start(name)
        simulation.run(1_500)
        revision = simulation.write("a")
        simulation.run(1_000)
        assert simulation.is_write_answered(revision)
    assert simulation.voters() == simulation.ids("a", "b", "c")
    assert simulation.violations == []


def test_last_entry_to_leave_empties_the_set() -> None:
    """Guards against a stop of all entries after which no new entry can become a voter."""
    simulation = Simulation()
    simulation.start("a")
    simulation.run(1_000)
    simulation.nodes["a"].leaving_since_ms = simulation.clock.now_ms()
    simulation.run(1_000)
    assert simulation.voters() == set()
    assert not any(x.freshness.recent_peers() for x in simulation.nodes.values())
    simulation.start("a")
    simulation.run(1_500)
    assert simulation.voters() == simulation.ids("a")


def test_one_dead_entry_is_removed() -> None:
    """Guards against a dead entry that remains a voter, so that a second loss stops writes."""
    simulation = start_three_entries()
    del simulation.nodes["c"]
    simulation.run(LEASE_MS + 2_500)
    assert simulation.voters() == simulation.ids("a", "b")
    del simulation.nodes["b"]
    simulation.run(LEASE_MS + 2_500)
    assert simulation.voters() == simulation.ids("a")


def test_restart_at_the_same_addresses_recovers_by_itself() -> None:
    """Guards against writes that remain at 202 after most or all entries were killed at once."""
    simulation = start_three_entries()
    ports = {
        n: int(x.record.message_address.rpartition(":")[2]) for n, x in simulation.nodes.items()
    }
    for names in ("ab", "abc"):
        for name in names:
            simulation.start(name, ports[name])
        simulation.run(5_000)
        assert simulation.voters() == simulation.ids("a", "b", "c")
        revision = simulation.write("b")
        simulation.run(1_000)
        assert simulation.is_write_answered(revision)


def test_permanent_loss_of_two_of_three_requires_an_operator() -> None:
    """Guards against a new majority of entries that cannot detect if the lost voters still run."""
    simulation = start_three_entries()
    old_voters = simulation.ids("a", "b", "c")
    del simulation.nodes["a"], simulation.nodes["b"]
    simulation.start("d")
    simulation.start("e")
    simulation.run(LEASE_MS + 5_000)
    assert simulation.voters() == old_voters
    revision = simulation.write("c")
    simulation.run(3_000)
    assert not simulation.is_write_answered(revision)
    for _ in range(2):
        simulation.remove_ended_voter(Random(0))
    simulation.run(4_000)
    assert simulation.voters() == simulation.ids("c", "d", "e")
    later = simulation.write("d")
    simulation.run(1_000)
    assert simulation.is_write_answered(later)


def test_outage_of_the_store_with_one_dead_entry_stops_no_tasks() -> None:
    """Guards against stopped task starts when the store is unreachable and one entry died."""
    simulation = start_three_entries()
    del simulation.nodes["c"]
    simulation.cut(STORE, "a", "b")
    simulation.run(10_000)
    assert all(node.freshness.is_fresh(node.revision) for node in simulation.nodes.values())


def test_entry_that_is_not_a_voter_requires_the_store() -> None:
    """Guards against permits by a new entry that is not yet in a voter set."""
    clock = ManualClock(10_000)
    node = Node("a", 1, clock, 1)
    node.freshness.set_voters([EntryId("b.1"), EntryId("c.1")])
    for peer in ("b.1", "c.1"):
        node.freshness.on_peer(EntryId(peer), clock.now_ms(), Revision(5))
    assert not node.freshness.is_fresh(Revision(5))
    node.freshness.on_store_contact(clock.now_ms())
    assert node.freshness.is_fresh(Revision(5))


def test_older_or_lost_voters_leave_the_last_set_in_force() -> None:
    """Guards against an old set, from a store that was rolled back, that no longer overlaps."""
    configuration = Configuration()
    first = VoterSet().next_set({EntryId("a.1"): "x"})
    second = first.next_set({EntryId("a.1"): "x", EntryId("b.1"): "y"})
    configuration.apply(VOTERS_KEY, msgspec.json.encode(second), Revision(7))
    configuration.apply(VOTERS_KEY, msgspec.json.encode(first), Revision(9))
    configuration.apply(VOTERS_KEY, b"", Revision(10))
    configuration.apply(VOTERS_KEY, b"[", Revision(11))
    configuration.apply_snapshot(Snapshot(Revision(12), {}))
    assert configuration.voters == second
    assert configuration.part_revision(VOTERS_KEY) == 7
    assert configuration.snapshot().values[VOTERS_KEY] == msgspec.json.encode(second)


ACTIONS = [
    "partition", "partition", "cut", "outage", "heal", "heal", "kill", "leave", "start", "remove",
]  # fmt: skip


def explore(seed: int, by_registration: bool) -> Simulation:
    """Run up to five entries with random cuts, lease expiry, kills, stops, restarts and writes."""
    simulation = Simulation(by_registration, seed)
    rng = Random(seed)
    for name in "abc":
        simulation.start(name)
    simulation.run(3_000)
    for _ in range(40):
        names = sorted(simulation.nodes)
        match rng.choice(ACTIONS):
            case "outage":
                simulation.cut(STORE, *names)
            case "remove":
                simulation.remove_ended_voter(rng)
            case "partition":
                isolated = [name for name in names if rng.random() < 0.5]
                rest = [name for name in [*names, STORE] if name not in isolated]
                for name in isolated:
                    simulation.cut(name, *rest)
            case "cut":
                one, other = rng.sample([*names, STORE], 2)
                simulation.cut(one, other)
            case "heal":
                simulation.cuts.clear()
            case "kill" if len(names) > 2:
                node = simulation.nodes.pop(rng.choice(names))
                if rng.random() < 0.5:
                    simulation.start(node.name, int(node.record.message_address.rpartition(":")[2]))
            case "leave" if len(names) > 2:
                simulation.nodes[rng.choice(names)].leaving_since_ms = simulation.clock.now_ms()
            case "start" if len(names) < 5:
                simulation.start(next(name for name in "abcde" if name not in simulation.nodes))
        for _ in range(rng.randint(1, 5)):
            if rng.random() < 0.6 and simulation.nodes:
                simulation.write(rng.choice(sorted(simulation.nodes)))
            simulation.run(rng.choice([200, 600, 1_500, 3_000]))
        for name in [
            n for n, x in simulation.nodes.items() if x.leaving_since_ms < simulation.clock.now_ms()
        ]:
            del simulation.nodes[name]
    return simulation


SEEDS = range(60)


def test_no_entry_grants_permits_at_a_superseded_revision() -> None:
    """Guards against a task start later than 2,500 ms after an operator's write returned 200."""
    answered_writes = granted = timed_out_writes = 0
    for seed in SEEDS:
        simulation = explore(seed, by_registration=False)
        assert simulation.violations == [], seed
        answered_writes += len(simulation.answered_writes)
        granted += simulation.permits_without_store
        timed_out_writes += simulation.timed_out_writes
    assert min(answered_writes, granted, timed_out_writes) > 100


def test_exploration_finds_the_fault_of_counting_registered_entries() -> None:
    """Guards against a random exploration too weak to find majorities of registered entries."""
    assert any(explore(seed, by_registration=True).violations for seed in SEEDS)


def test_exploration_finds_changes_that_do_not_wait_for_a_majority(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a random exploration that misses two consecutive changes of the set."""
    monkeypatch.setattr(VoterSetProposer, "_is_known", lambda proposer, current: True)
    assert any(explore(seed, by_registration=False).violations for seed in (59, 72))


def test_proposal_names_what_it_replaces() -> None:
    """Guards against a change based on a set that another entry has replaced in the meantime."""
    simulation = Simulation()
    node = simulation.start("a")
    registered: Mapping[EntryId, EntryRecord] = {node.id: node.record}
    node.freshness.on_store_contact(simulation.clock.now_ms())
    proposal = node.proposer.tick(registered, registered.keys())
    assert proposal == ProposeVoters(
        VoterSet(), VoterSet(1, {node.id: node.record.message_address})
    )


def test_operator_removes_only_entries_that_have_ended() -> None:
    """Guards against a wrong name removing the vote of an entry that still issues permits."""

    async def main() -> None:
        store = Store(StoreStandIn(), "store", SystemClock(), 200)
        configuration = Configuration()
        one, two = EntryId("a.1"), EntryId("b.1")
        first = VoterSet().next_set({one: "x", two: "y"})
        assert await write_voters(store, configuration, ProposeVoters(VoterSet(), first))
        assert not await write_voters(store, configuration, ProposeVoters(VoterSet(), first))
        configuration.apply_snapshot((await store.list("config/")).to_snapshot())
        api = VoterApi(store, configuration, lambda: {one})
        statuses = [
            (await api.handle(Request(method, f"/v1/voters{name}"))).status
            for method, name in [
                ("GET", ""), ("PUT", ""), ("DELETE", "/c.1"), ("DELETE", "/a.1"),
                ("DELETE", "/b.1"), ("DELETE", "/b.1"),
            ]
        ]  # fmt: skip
        assert statuses == [200, 405, 404, 409, 200, 409]
        stored = await store.get(VOTERS_KEY)
        assert stored is not None
        assert msgspec.json.decode(stored.value, type=VoterSet) == first.next_set({one: "x"})

    curio.run(main)


def test_voters_lost_by_the_store_are_restored_before_a_change() -> None:
    """Guards against a new set on a rolled back store, in conflict with the applied set."""

    async def main() -> None:
        store = Store(StoreStandIn(), "store", SystemClock(), 200)
        configuration = Configuration()
        first = VoterSet().next_set({EntryId("a.1"): "x"})
        second = first.next_set({EntryId("a.1"): "x", EntryId("b.1"): "y"})
        configuration.apply(VOTERS_KEY, msgspec.json.encode(first), Revision(7))
        assert await write_voters(store, configuration, ProposeVoters(first, second))
        stored = await store.get(VOTERS_KEY)
        assert stored is not None and stored.revision > 7
        assert msgspec.json.decode(stored.value, type=VoterSet) == second

    curio.run(main)


@pytest.mark.parametrize("seed", range(20))
def test_stop_of_all_entries_at_once_empties_the_set(seed: int) -> None:
    """Guards against voters that remain after a stop of all entries and block the next start."""
    simulation = Simulation(seed=seed)
    for name in "abc":
        simulation.start(name)
    simulation.run(3_000)
    begun_ms = simulation.clock.now_ms()
    for node in simulation.nodes.values():
        node.leaving_since_ms = begun_ms
    while simulation.nodes and simulation.clock.now_ms() < begun_ms + 1_000:
        simulation.step()
        for name, node in list(simulation.nodes.items()):
            if node.id not in node.configuration.voters.voters:
                del simulation.nodes[name]
    assert simulation.voters() == set()
