"""Load that is uneven over the entries of a large fleet.

Guards against an entry whose sessions lack capacity while other upstreams have it, and against
sessions or writes to the store without bound.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

import curio
import pytest

from snipewell.channel import Channel
from snipewell.clock import ManualClock
from snipewell.directory import (
    ABSENT_RETENTION_MS,
    JOB_ENTRIES_PREFIX,
    Directory,
    EntryAddress,
    encode_address,
)
from snipewell.ids import Revision
from snipewell.jobagentd import JobAgent, JobAgentSettings
from snipewell.jobentryd import JobEntry, JobEntrySettings
from snipewell.log import Log
from snipewell.logbuffer import LogBuffer
from snipewell.reach import (
    MIN_WRITE_INTERVAL_MS,
    QUIET_MS,
    SHORTAGE_MS,
    Narrow,
    ReachDecision,
    Shortage,
    Widen,
    select_wide,
)
from snipewell.runmessage import AgentBody, AgentFrame, EntryBody, Hello, Report
from snipewell.scheduler import SetWide
from snipewell.store import Change, Changes
from snipewell.storetask import Registration
from snipewell.subset import MAX_SESSIONS, SUBSET_SIZE, find_surplus, select_entries

from .test_desiredstate import OPERATOR_KEYS, FakeStore
from .test_executor import ExecutorHarness
from .test_scheduler import FakeAgent, Harness
from .test_subset import make_fleet

SHORT = Shortage(3, 1_000.0, 0, SUBSET_SIZE)
TICK_MS = 5.0


def decide(
    decision: ReachDecision, shortages: Iterable[Shortage], start_ms: float = 0.0
) -> list[tuple[float, bool]]:
    """Return the time and the direction of each change, with one shortage for each tick."""
    changes = []
    for number, shortage in enumerate(shortages):
        now_ms = start_ms + number * TICK_MS
        change = decision.update(shortage, shortage.missed > 0, now_ms)
        if change is not None:
            changes.append((now_ms, isinstance(change, Widen)))
    return changes


def ticks(duration_ms: float, shortage: Shortage) -> list[Shortage]:
    return [shortage] * round(duration_ms / TICK_MS)


@pytest.mark.parametrize("seed", range(5))
def test_flapping_demand_leads_to_at_most_one_write_in_three_seconds(seed: int) -> None:
    """Guards the store against an entry whose shortage comes and goes."""
    rng = Random(seed)
    periods: list[Shortage] = []
    for _ in range(60):
        periods += ticks(rng.uniform(0, 2_000), SHORT)
        periods += ticks(rng.choice([50, 500, QUIET_MS, QUIET_MS + 100]), Shortage())
    changes = decide(ReachDecision(), periods)
    times = [at_ms for at_ms, _ in changes]
    assert [wide for _, wide in changes] == [n % 2 == 0 for n in range(len(changes))]
    assert len(changes) > 2
    assert all(b - a >= MIN_WRITE_INTERVAL_MS for a, b in zip(times, times[1:], strict=False))


def test_a_lasting_imbalance_makes_the_entry_wide_for_longer() -> None:
    """Guards against a cycle: it is quiet only while it is wide, and short once it isn't."""
    decision = ReachDecision()
    widened = []
    for now in range(0, 400_000, 100):
        shortage = Shortage() if decision.is_wide else SHORT
        if isinstance(decision.update(shortage, not decision.is_wide, float(now)), Widen):
            widened.append(now)
    gaps = [after - before for before, after in zip(widened, widened[1:], strict=False)]
    assert gaps[0] < 15_000 and gaps[-1] > 60_000
    assert len(widened) <= 7


def test_a_small_fleet_does_not_become_wide_while_its_upstreams_are_unusable() -> None:
    """Guards against a write that no agent acts on."""
    harness = Harness(1)
    harness.agents["a0"].change(healthy=False)
    harness.submit("waiting", estimate=100.0)
    harness.advance(600)
    assert not harness.core.is_wide


def test_only_a_continuous_shortage_makes_an_entry_wide() -> None:
    """Guards against sessions for a short burst, and in a fleet where all agents have one."""
    burst = [*ticks(SHORTAGE_MS, SHORT), *ticks(20, Shortage())]
    assert decide(ReachDecision(), burst * 20) == []
    assert decide(ReachDecision(), ticks(5_000, Shortage(3, 9.0, 0, SUBSET_SIZE - 1))) == []
    suspended = ReachDecision()
    assert decide(suspended, ticks(200, SHORT)) == []
    suspended.reset()
    assert decide(suspended, ticks(200, SHORT), 5_000.0) == []


def test_rounds_without_refused_jobs_do_not_end_a_shortage() -> None:
    """Guards against an entry that never becomes wide since it refuses what it can't serve."""
    decision = ReachDecision()
    changes = [
        decision.update(SHORT if now % 100 == 0 else Shortage(), True, float(now))
        for now in range(0, 600, 5)
    ]
    assert sum(isinstance(change, Widen) for change in changes) == 1
    assert not any(isinstance(change, Narrow) for change in changes)


def test_an_entry_of_a_zone_out_of_service_reaches_the_agents_in_service() -> None:
    """Guards against an entry that refuses jobs while upstreams in other zones are free."""
    harness = Harness(0)
    out, own = FakeAgent(harness, "out", zone="z1"), FakeAgent(harness, "own", 1_000, "z2")
    for agent in (out, own):
        agent.change(entries=SUBSET_SIZE)
    harness.core.set_zones_out(5, frozenset(["z1"]), harness.now)
    harness.perform_effects()
    for number in range(6):
        harness.submit(f"j{number}", estimate=100.0)
    for number in range(25):
        harness.advance(20)
        harness.submit(f"k{number}", estimate=100.0)
    assert harness.core.is_wide
    [line] = [each for each in harness.log_records if each.text == "entry becomes wide"]
    assert line.fields["room_cpu"] == 0
    assert line.fields["missed"] and line.fields["waiting_work_ms"]
    assert not out.starts

    zones, agents = make_fleet(15, 75)
    in_service = [agent for agent, zone in agents.items() if zone != "z1"]
    entry = "entry-0"

    def reached(wide: set[str]) -> int:
        subsets = {agent: select_entries(agent, agents[agent], zones) for agent in in_service}
        return sum(
            entry in subset | select_wide(agent, subset, wide, subset, len(zones))
            for agent, subset in subsets.items()
        )

    assert zones[entry] == "z1"
    assert reached(set()) < len(in_service) / 2
    assert reached({entry}) == len(in_service)


def test_agents_have_sixteen_sessions_at_most() -> None:
    """Guards against sessions that grow with the number of wide entries."""
    zones, _ = make_fleet(60, 0)
    rng = Random(4)
    subset = select_entries("a", "z1", zones)
    connected: set[str] = set()
    for _ in range(200):
        wide = set(rng.sample(sorted(zones), rng.randrange(0, 50)))
        selected = select_wide("a", subset, wide, connected, len(zones))
        assert len(selected) <= MAX_SESSIONS - SUBSET_SIZE
        connected |= subset | selected
        assert len(connected) <= MAX_SESSIONS
        # Entries with runs in progress stay connected.
        surplus = find_surplus(connected, subset, connected, selected)
        assert not selected.intersection(surplus)
        connected -= {entry for entry in surplus if rng.random() < 0.5}
    few = {entry: zones[entry] for entry in sorted(zones)[:SUBSET_SIZE]}
    assert not select_wide("a", select_entries("a", "z1", few), set(few), set(few), len(few))


def test_a_shortage_of_the_whole_fleet_adds_no_sessions() -> None:
    """Guards against twice the sessions, and their cost, while no agent has capacity to give."""
    zones, _ = make_fleet(15, 0)
    subset = select_entries("a", "z1", zones)
    outside = set(zones) - subset
    assert select_wide("a", subset, outside, subset, len(zones)) == outside
    assert select_wide("a", subset, set(zones), subset, len(zones)) == set()
    # Sessions that were added before stay, so that their runs aren't disturbed.
    assert select_wide("a", subset, set(zones), set(zones), len(zones)) == outside


def test_wide_entries_are_no_substitutes_of_the_subset() -> None:
    """Guards against closing the session with a working entry while the subset fails."""
    subset = {f"s{number}" for number in range(SUBSET_SIZE)}
    wide = {f"w{number}" for number in range(4)}
    responsive = {"s0", "s1", "s2", "s3", "old", *wide}
    assert find_surplus(subset | wide | {"old"}, subset, responsive, wide) == []


def test_each_entry_is_told_how_many_share_the_upstream() -> None:
    """Guards against shares that are too large once an agent has more than its subset."""
    harness = ExecutorHarness()
    harness.open_session()
    for number in range(SUBSET_SIZE):
        harness.core.entries.connect(f"wide-{number}", harness.now)
    # The harness records the frames of one session only.
    harness.core.effects.clear()
    harness.advance(700)
    reports = [body.report.entries for body in harness.bodies if isinstance(body, Report)]
    assert reports[-1] == SUBSET_SIZE + 1


class RecordingStore(FakeStore):
    """A store that records the time, the lease and the content of each write."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self.clock = clock
        self.writes: list[tuple[float, str, bool]] = []

    async def put(self, key: str, value: bytes, lease: str) -> bool:
        await super().put(key, value, lease)
        self.writes.append((self.clock.now_ms(), lease, b'"wide":true' in value))
        return True


def test_the_registration_is_written_again_under_its_lease() -> None:
    """Guards against writes in quick succession, also after an outage of the store."""
    clock = ManualClock(10_000.0)
    store = RecordingStore(clock)
    address = EntryAddress("e1", "127.0.0.1:1", "life")
    registration = Registration(store, address, clock, Log(), Random(1))

    async def renew(wide: bool, times: int) -> None:
        await registration.set_wide(wide)
        for _ in range(times):
            clock.advance(100)
            if not store.down:
                await registration._renew_or_register()

    curio.run(renew, False, 40)
    store.down = True
    curio.run(renew, True, 40)
    assert store.writes == [(10_100.0, "1", False)]
    store.down = False
    curio.run(renew, True, 10)
    curio.run(renew, False, 50)
    assert [(lease, wide) for _, lease, wide in store.writes] == [
        ("1", False),
        ("1", True),
        ("1", False),
    ]
    times = [at_ms for at_ms, _, _ in store.writes]
    assert times[2] - times[1] >= MIN_WRITE_INTERVAL_MS


class StubConnections:
    """Connections of an agent to entries that answer each frame at once."""

    def __init__(self, agent: JobAgent, clock: ManualClock) -> None:
        self.agent = agent
        self.clock = clock
        self.open: dict[str, str] = {}
        self.channels: dict[str, Channel[EntryBody, AgentBody]] = {}

    def peers(self) -> dict[str, str]:
        return dict(self.open)

    async def connect(self, name: str, address: str) -> None:
        self.open[name] = address

    async def disconnect(self, name: str) -> None:
        del self.open[name]

    async def send_all(self, frames: list[tuple[str, AgentFrame]]) -> None:
        for name, frame in frames:
            if isinstance(frame.body, Hello):
                self.channels[name] = Channel(frame.session, self.clock.now_ms())
            self.channels[name].receive(frame, self.clock.now_ms())
            await self.answer(name)

    async def answer(self, name: str) -> None:
        frame = self.channels[name].send(None, self.clock.now_ms())
        await self.agent._task.put(self.agent._core.on_frame, name, frame)


def test_the_decision_of_the_scheduler_reaches_the_registration() -> None:
    """Guards against a decision that is logged but never written."""
    clock = ManualClock()
    settings = JobEntrySettings("e1", "z1", "", "", 0, 1_000.0)
    store = RecordingStore(clock)
    entry = JobEntry(settings, store, OPERATOR_KEYS, clock, Random(1), Log(), LogBuffer(-1))
    address = EntryAddress("e1", "127.0.0.1:1", "life")
    entry._registration = Registration(store, address, clock, Log(), Random(1))
    entry._core.effects.append(SetWide(True))
    curio.run(entry._perform)
    curio.run(entry._registration._renew_or_register)
    assert [wide for _, _, wide in store.writes] == [True]


def test_an_agent_follows_wide_entries_and_leaves_one_that_dies() -> None:
    """Guards against sessions that outlast the registration, or are lost with the store."""
    clock = ManualClock(1_000.0)
    settings = JobAgentSettings("a", "z1", 0, 1_000.0, 1_000.0)
    calls: Any = None
    store = FakeStore()
    agent = JobAgent(settings, store, OPERATOR_KEYS, calls, clock, Random(1), Log(), LogBuffer(-1))
    connections = StubConnections(agent, clock)
    agent._connections = connections  # type: ignore[assignment]
    zones, _ = make_fleet(20, 0)
    subset = select_entries("a", "z1", zones)
    wide, other = sorted(zones.keys() - subset)[:2]

    def change(name: str, is_wide: bool, deleted: bool = False) -> Change:
        address = EntryAddress(name, "127.0.0.1:1", "life", zones[name], is_wide)
        value = encode_address(address)
        return Change(JOB_ENTRIES_PREFIX + name, Revision(1), value, deleted)

    async def reconcile(changes: list[Change]) -> set[str]:
        if changes:
            await agent._on_entries(Changes(0.0, Revision(1), changes))
        await agent._entries_changed.set()
        await curio.sleep(0.05)
        return set(connections.open)

    async def main() -> None:
        tasks = [
            await curio.spawn(agent._task.run),
            await curio.spawn(agent._reconcile_connections),
        ]
        try:
            assert await reconcile([change(name, False) for name in zones]) == subset
            assert await reconcile([change(wide, True)]) == subset | {wide}
            # Without the store there are no updates.
            clock.advance(60_000.0)
            assert await reconcile([]) == subset | {wide}
            assert await reconcile([change(other, True)]) == subset | {wide, other}
            await reconcile([change(wide, True, deleted=True)])
            clock.advance(ABSENT_RETENTION_MS)
            assert await reconcile([]) == subset | {other}
            # An entry that isn't wide any more stays while the subset doesn't respond.
            assert await reconcile([change(other, False)]) == subset | {other}
            for name in subset:
                await connections.answer(name)
            assert await reconcile([]) == subset
        finally:
            for task in tasks:
                await task.cancel()

    curio.run(main)


def test_a_registration_of_an_earlier_version_is_not_wide() -> None:
    """Guards against agents that can't read the registrations during an update of the fleet."""
    directory = Directory()
    value = b'{"entry":"e1","address":"127.0.0.1:1","incarnation":"i","zone":"z1"}'
    directory.apply(Changes(0.0, Revision(1), [Change("k", Revision(1), value, False)]), 0.0)
    assert not directory.entries(0.0)["e1"].wide
