"""Which entries count for a majority: sets that change while entries and the store are cut off."""

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
from snipewell.group import VOTERS_KEY, Group, VoterSet, encode_group, part_key
from snipewell.ids import EntryId, Revision, ZoneId
from snipewell.message import Snapshot
from snipewell.peer import EntryRecord
from snipewell.resource import Kind
from snipewell.standins.store import StoreStandIn
from snipewell.store import Store
from snipewell.voterapi import VoterApi, write_voters
from snipewell.voters import VoterRule
from snipewell.web import Request

STEP_MS = 50.0
LEASE_MS = 5_000.0
SILENT_MS = 1_500.0
PERMIT_MS = 1_500.0
STOP_MS = 2_500.0
IN_FORCE_MS = 2_000.0
ZONES = part_key(Kind.ZONE)
STORE = "store"


@dataclass
class Kept:
    """The store: each change in order, and the leases of the registered entries."""

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
    """One life of an entry: the decision modules under test, and what it last read."""

    def __init__(self, name: str, life: int, clock: ManualClock, place: int) -> None:
        self.name = name
        self.id = EntryId(f"{name}.{life}")
        self.record = EntryRecord(self.id, ZoneId("patan"), "", f"127.0.0.1:{place}")
        self.configuration = Configuration()
        self.freshness = Freshness(self.id, clock)
        self.rule = VoterRule(self.record, clock, self.freshness, self.configuration)
        self.registered: dict[EntryId, EntryRecord] = {}
        self.heard: dict[EntryId, float] = {}
        self.leaving_since = float("inf")
        self.read = 0

    @property
    def revision(self) -> Revision:
        return self.configuration.revision


class World:
    """Entries, a store, and cuts between any two of them, on a virtual clock.

    ``by_registration`` counts majorities of the registered entries instead of the voters.
    """

    def __init__(self, by_registration: bool = False, seed: int = 0) -> None:
        self.clock = ManualClock(10_000)
        self.rng = Random(seed)
        self.store = Kept()
        self.store.write(ZONES, encode_group(Group()))
        self.nodes: dict[str, Node] = {}
        self.cuts: set[frozenset[str]] = set()
        self.lives = 0
        self.by_registration = by_registration
        self.answered: list[tuple[float, Revision]] = []
        self.waiting: list[tuple[float, Node, Revision]] = []
        self.violations: list[str] = []
        self.late = 0
        self.voter_writes = 0
        self.conflicts = 0
        self.peer_grants = 0

    def start(self, name: str, place: int | None = None) -> Node:
        self.lives += 1
        place = 1_000 + self.lives if place is None else place
        node = self.nodes[name] = Node(name, self.lives, self.clock, place)
        return node

    def cut(self, one: str, *others: str) -> None:
        self.cuts |= {frozenset((one, other)) for other in others}

    def linked(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cuts

    def write(self, name: str) -> Revision | None:
        """Make an operator's write through an entry; it is answered 200 once it is in force."""
        if not self.linked(name, STORE):
            return None
        group = Group(base=self.store.current(ZONES)[0])
        revision = self.store.write(ZONES, encode_group(group))
        self.waiting.append((self.clock.now_ms() + IN_FORCE_MS, self.nodes[name], revision))
        return revision

    def state_gone(self, rng: Random) -> None:
        """Let an operator remove one voter that has ended, as ``DELETE /v1/voters`` does."""
        value = self.store.current(VOTERS_KEY)[1]
        current = msgspec.json.decode(value, type=VoterSet) if value else VoterSet()
        alive = {node.id for node in self.nodes.values()}
        gone = [entry for entry in current.voters if entry not in alive]
        if gone:
            entry = rng.choice(gone)
            left = {e: a for e, a in current.voters.items() if e != entry}
            self.store.write(VOTERS_KEY, msgspec.json.encode(current.succeed(left)))

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
            if self.linked(node.name, STORE) and self.rng.random() < 0.7:
                self.poll(node)
            if self.rng.random() < 0.7:
                self.beat(node)
            self.settle(node)
            self.propose(node)
            self.grant(node)
        self.answer()

    def poll(self, node: Node) -> None:
        now = self.clock.now_ms()
        if now < node.leaving_since:
            self.store.leases[node.id] = (now + LEASE_MS, node.record)
        else:
            self.store.leases.pop(node.id, None)
        node.registered = {e: r for e, (_, r) in self.store.leases.items()}
        for number, (key, value) in enumerate(self.store.changes[node.read :], node.read + 1):
            node.configuration.apply(key, value, Revision(number))
        node.read = len(self.store.changes)
        node.freshness.on_store_contact(now)

    def beat(self, node: Node) -> None:
        now = self.clock.now_ms()
        for peer in self.nodes.values():
            known = peer.id in node.registered or peer.id in node.heard
            if peer is node or not known or not self.linked(node.name, peer.name):
                continue
            node.heard[peer.id] = now
            node.freshness.on_peer(peer.id, now, peer.revision)
            if peer.revision > node.revision and self.rng.random() < 0.7:
                node.configuration.apply_snapshot(peer.configuration.snapshot())

    def settle(self, node: Node) -> None:
        now = self.clock.now_ms()
        node.heard = {e: t for e, t in node.heard.items() if now - t <= SILENT_MS}
        voters = node.registered if self.by_registration else node.configuration.voters.voters
        node.freshness.set_voters(voters.keys())
        node.freshness.keep(node.registered.keys() | node.heard.keys())

    def propose(self, node: Node) -> None:
        if self.clock.now_ms() >= node.leaving_since:
            node.rule.leave()
        live = node.registered.keys() | node.heard.keys()
        proposal = node.rule.tick(node.registered, live) if not self.by_registration else None
        if proposal is None or not self.linked(node.name, STORE):
            return
        _, value = self.store.current(VOTERS_KEY)
        found = msgspec.json.decode(value, type=VoterSet) if value else VoterSet()
        if found == proposal.current:
            self.voter_writes += 1
            self.store.write(VOTERS_KEY, msgspec.json.encode(proposal.following))
        else:
            self.conflicts += 1

    def grant(self, node: Node) -> None:
        """Grant a permit if the entry may, and judge how long it can be used."""
        now = self.clock.now_ms()
        if node.revision == 0 or not node.freshness.is_fresh(node.revision):
            return
        self.peer_grants += node.freshness.store_age_ms() > 1_000
        for answered_at, revision in self.answered:
            if node.revision < revision and now + PERMIT_MS > answered_at + STOP_MS:
                text = f"{node.id} at {node.revision}, {revision} in force since {answered_at}"
                self.violations.append(f"{now}: {text}")

    def answer(self) -> None:
        now = self.clock.now_ms()
        left = []
        for end, node, revision in self.waiting:
            if self.nodes.get(node.name) is not node:
                continue
            if node.freshness.is_in_force(revision, node.revision):
                self.answered.append((now, revision))
            elif now < end:
                left.append((end, node, revision))
            else:
                self.late += 1
        self.waiting = left

    def voters(self) -> set[str]:
        """Return the voters in the store."""
        value = self.store.current(VOTERS_KEY)[1]
        return set(msgspec.json.decode(value, type=VoterSet).voters) if value else set()

    def ids(self, *names: str) -> set[str]:
        return {self.nodes[name].id for name in names}

    def is_answered(self, revision: Revision | None) -> bool:
        return any(found == revision for _, found in self.answered)


def three(by_registration: bool = False) -> World:
    world = World(by_registration)
    for name in "abc":
        world.start(name)
    world.run(3_000)
    return world


def cut_off_majority(world: World) -> Revision | None:
    """Cut two of three entries off from the store and the third, and write after their leases."""
    world.cut("a", STORE, "c")
    world.cut("b", STORE, "c")
    world.run(LEASE_MS + SILENT_MS + 2_000)
    revision = world.write("c")
    world.run(6_000)
    return revision


def test_cut_off_majority_keeps_a_write_from_being_in_force() -> None:
    """Guards against 200 for a withdrawal while two entries that hear each other grant permits."""
    world = three()
    revision = cut_off_majority(world)
    assert not world.is_answered(revision) and world.late == 1
    assert world.violations == []
    assert world.peer_grants > 0
    world.cuts.clear()
    world.run(3_000)
    assert world.voters() == world.ids("a", "b", "c")
    later = world.write("c")
    world.run(1_000)
    assert world.is_answered(later)


def test_majority_of_registered_entries_breaks_zone_stop() -> None:
    """Shows that the scenario finds the fault that counting registered entries had."""
    world = three(by_registration=True)
    revision = cut_off_majority(world)
    assert world.is_answered(revision)
    assert world.violations != []


@pytest.mark.parametrize("seed", range(20))
def test_three_entries_at_once_become_voters_soon(seed: int) -> None:
    """Guards against a slow start, and against racing writes to the store."""
    world = World(seed=seed)
    for name in "abc":
        world.start(name)
    world.run(2_000)
    assert world.voters() == world.ids("a", "b", "c")
    assert world.voter_writes == 3
    assert world.conflicts <= 1


def test_rolling_replacement_keeps_writes_in_force() -> None:
    """Guards against writes that stay at 202 while entries leave and others come."""
    world = three()
    for name in "abc":
        world.nodes[name].leaving_since = world.clock.now_ms()
        world.run(1_000)
        assert world.nodes[name].id not in world.voters()
        world.start(name)
        world.run(1_500)
        revision = world.write("a")
        world.run(1_000)
        assert world.is_answered(revision)
    assert world.voters() == world.ids("a", "b", "c")
    assert world.violations == []


def test_last_entry_that_leaves_empties_the_set() -> None:
    """Guards against a full stop after which no new entry can ever become a voter."""
    world = World()
    world.start("a")
    world.run(1_000)
    world.nodes["a"].leaving_since = world.clock.now_ms()
    world.run(1_000)
    assert world.voters() == set()
    assert not any(x.freshness.recent() for x in world.nodes.values())
    world.start("a")
    world.run(1_500)
    assert world.voters() == world.ids("a")


def test_one_dead_entry_is_removed() -> None:
    """Guards against a dead entry that counts forever, so that a second loss stops writes."""
    world = three()
    del world.nodes["c"]
    world.run(LEASE_MS + 2_500)
    assert world.voters() == world.ids("a", "b")
    del world.nodes["b"]
    world.run(LEASE_MS + 2_500)
    assert world.voters() == world.ids("a")


def test_restart_at_the_same_addresses_recovers_by_itself() -> None:
    """Guards against writes that stay at 202 after most or all entries were killed at once."""
    world = three()
    places = {n: int(x.record.message_address.rpartition(":")[2]) for n, x in world.nodes.items()}
    for names in ("ab", "abc"):
        for name in names:
            world.start(name, places[name])
        world.run(5_000)
        assert world.voters() == world.ids("a", "b", "c")
        revision = world.write("b")
        world.run(1_000)
        assert world.is_answered(revision)


def test_two_of_three_lost_for_good_wait_for_an_operator() -> None:
    """Guards against a majority that is made up from entries that cannot know who still works."""
    world = three()
    old = world.ids("a", "b", "c")
    del world.nodes["a"], world.nodes["b"]
    world.start("d")
    world.start("e")
    world.run(LEASE_MS + 5_000)
    assert world.voters() == old
    revision = world.write("c")
    world.run(3_000)
    assert not world.is_answered(revision)
    for _ in range(2):
        world.state_gone(Random(0))
    world.run(4_000)
    assert world.voters() == world.ids("c", "d", "e")
    later = world.write("d")
    world.run(1_000)
    assert world.is_answered(later)


def test_outage_of_the_store_with_one_dead_entry_stops_no_work() -> None:
    """Guards against starts that stop because the store is away and one entry died."""
    world = three()
    del world.nodes["c"]
    world.cut(STORE, "a", "b")
    world.run(10_000)
    assert all(node.freshness.is_fresh(node.revision) for node in world.nodes.values())


def test_entry_that_is_no_voter_needs_the_store() -> None:
    """Guards against permits by a new entry that no voter set counts yet."""
    clock = ManualClock(10_000)
    node = Node("a", 1, clock, 1)
    node.freshness.set_voters([EntryId("b.1"), EntryId("c.1")])
    for peer in ("b.1", "c.1"):
        node.freshness.on_peer(EntryId(peer), clock.now_ms(), Revision(5))
    assert not node.freshness.is_fresh(Revision(5))
    node.freshness.on_store_contact(clock.now_ms())
    assert node.freshness.is_fresh(Revision(5))


def test_older_or_lost_voters_leave_the_last_set_in_force() -> None:
    """Guards against a store that went back returning a set that no longer overlaps."""
    configuration = Configuration()
    first = VoterSet().succeed({EntryId("a.1"): "x"})
    second = first.succeed({EntryId("a.1"): "x", EntryId("b.1"): "y"})
    configuration.apply(VOTERS_KEY, msgspec.json.encode(second), Revision(7))
    configuration.apply(VOTERS_KEY, msgspec.json.encode(first), Revision(9))
    configuration.apply(VOTERS_KEY, b"", Revision(10))
    configuration.apply(VOTERS_KEY, b"[", Revision(11))
    configuration.apply_snapshot(Snapshot(Revision(12), {}))
    assert configuration.voters == second
    assert configuration.part_revision(VOTERS_KEY) == 7
    assert configuration.snapshot().values[VOTERS_KEY] == msgspec.json.encode(second)


ACTIONS = ["sides", "sides", "cut", "outage", "heal", "heal", "kill", "leave", "start", "gone"]


def explore(seed: int, by_registration: bool) -> World:
    """Run up to five entries under random cuts, lapses, deaths, stops, restarts and writes."""
    world = World(by_registration, seed)
    rng = Random(seed)
    for name in "abc":
        world.start(name)
    world.run(3_000)
    for _ in range(40):
        names = sorted(world.nodes)
        match rng.choice(ACTIONS):
            case "outage":
                world.cut(STORE, *names)
            case "gone":
                world.state_gone(rng)
            case "sides":
                side = [name for name in names if rng.random() < 0.5]
                rest = [name for name in [*names, STORE] if name not in side]
                for name in side:
                    world.cut(name, *rest)
            case "cut":
                one, other = rng.sample([*names, STORE], 2)
                world.cut(one, other)
            case "heal":
                world.cuts.clear()
            case "kill" if len(names) > 2:
                node = world.nodes.pop(rng.choice(names))
                if rng.random() < 0.5:
                    world.start(node.name, int(node.record.message_address.rpartition(":")[2]))
            case "leave" if len(names) > 2:
                world.nodes[rng.choice(names)].leaving_since = world.clock.now_ms()
            case "start" if len(names) < 5:
                world.start(next(name for name in "abcde" if name not in world.nodes))
        for _ in range(rng.randint(1, 5)):
            if rng.random() < 0.6 and world.nodes:
                world.write(rng.choice(sorted(world.nodes)))
            world.run(rng.choice([200, 600, 1_500, 3_000]))
        for name in [n for n, x in world.nodes.items() if x.leaving_since < world.clock.now_ms()]:
            del world.nodes[name]
    return world


SEEDS = range(60)


def test_no_entry_grants_by_a_revision_that_was_overtaken() -> None:
    """Guards against a start later than 2,500 ms after an operator's write was answered 200."""
    answered = granted = late = 0
    for seed in SEEDS:
        world = explore(seed, by_registration=False)
        assert world.violations == [], seed
        answered += len(world.answered)
        granted += world.peer_grants
        late += world.late
    assert min(answered, granted, late) > 100


def test_exploration_finds_the_fault_of_counting_registered_entries() -> None:
    """Guards against an exploration that is too tame to find the fault it was written for."""
    assert any(explore(seed, by_registration=True).violations for seed in SEEDS)


def test_exploration_finds_changes_that_do_not_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an exploration that misses two changes of the set in a row."""
    monkeypatch.setattr(VoterRule, "_is_known", lambda rule, current: True)
    assert any(explore(seed, by_registration=False).violations for seed in (59, 72))


def test_proposal_names_what_it_replaces() -> None:
    """Guards against a change on top of a set that another entry has replaced meanwhile."""
    world = World()
    node = world.start("a")
    registered: Mapping[EntryId, EntryRecord] = {node.id: node.record}
    node.freshness.on_store_contact(world.clock.now_ms())
    proposal = node.rule.tick(registered, registered.keys())
    assert proposal == ProposeVoters(
        VoterSet(), VoterSet(1, {node.id: node.record.message_address})
    )


def test_operator_removes_only_entries_that_are_gone() -> None:
    """Guards against a wrong name taking the vote of an entry that still grants permits."""

    async def main() -> None:
        store = Store(StoreStandIn(), "store", SystemClock(), 200)
        configuration = Configuration()
        one, two = EntryId("a.1"), EntryId("b.1")
        first = VoterSet().succeed({one: "x", two: "y"})
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
        assert msgspec.json.decode(stored.value, type=VoterSet) == first.succeed({one: "x"})

    curio.run(main)


def test_store_that_lost_the_voters_gets_them_back_before_a_change() -> None:
    """Guards against a new set on a store that went back, beside the one that is in force."""

    async def main() -> None:
        store = Store(StoreStandIn(), "store", SystemClock(), 200)
        configuration = Configuration()
        first = VoterSet().succeed({EntryId("a.1"): "x"})
        second = first.succeed({EntryId("a.1"): "x", EntryId("b.1"): "y"})
        configuration.apply(VOTERS_KEY, msgspec.json.encode(first), Revision(7))
        assert await write_voters(store, configuration, ProposeVoters(first, second))
        stored = await store.get(VOTERS_KEY)
        assert stored is not None and stored.revision > 7
        assert msgspec.json.decode(stored.value, type=VoterSet) == second

    curio.run(main)


@pytest.mark.parametrize("seed", range(20))
def test_stop_of_all_entries_at_once_empties_the_set(seed: int) -> None:
    """Guards against voters that are left behind by a full stop and block the next start."""
    world = World(seed=seed)
    for name in "abc":
        world.start(name)
    world.run(3_000)
    begun = world.clock.now_ms()
    for node in world.nodes.values():
        node.leaving_since = begun
    while world.nodes and world.clock.now_ms() < begun + 1_000:
        world.step()
        for name, node in list(world.nodes.items()):
            if node.id not in node.configuration.voters.voters:
                del world.nodes[name]
    assert world.voters() == set()
