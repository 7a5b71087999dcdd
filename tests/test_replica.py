"""Model-based test of replicas: records are retained long enough, old epochs are refused."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from snipewell.clock import ManualClock
from snipewell.ids import AgentId, Digest, EntryId, Epoch, Incarnation, Partition, ScopedKey
from snipewell.limits import PartitionLimits, Protections
from snipewell.message import (
    Candidate,
    Fetch,
    Fetched,
    Held,
    Hold,
    HoldRefused,
    KeyRecord,
    Release,
)
from snipewell.replica import ReplicaRecords

PARTITION = Partition(0)
LEADER = EntryId("home")
LIMITS = PartitionLimits(window_ms=1_000, max_records=6, copy_records=2)


class ReplicaMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.table = ReplicaRecords(EntryId("me"), self.clock, LIMITS, Protections())
        self.newest = 0
        self.model: dict[ScopedKey, tuple[tuple[int, int], float, set[str]]] = {}

    @rule(
        key=st.integers(0, 9),
        epoch=st.integers(1, 4),
        version=st.integers(1, 3),
        agent=st.integers(0, 2),
        left_ms=st.sampled_from((0.0, 400.0)),
    )
    def hold(self, key: int, epoch: int, version: int, agent: int, left_ms: float) -> None:
        name = ScopedKey(f"annex/{key}")
        candidates = [Candidate(AgentId(f"a{agent}"), Incarnation("1"))]
        record = KeyRecord(
            name, Digest("d"), 1, candidates, deadline_ms=left_ms, epoch=epoch, version=version
        )
        answers = self.table.on_hold(Hold(PARTITION, Epoch(epoch), LEADER, [record], 7))
        if epoch < self.newest:
            assert answers == [
                HoldRefused(PARTITION, Epoch(self.newest), EntryId("me"), [name], False)
            ]
            return
        self.newest = epoch
        held = [a for a in answers if isinstance(a, Held)]
        assert held[0].sequence == 7
        full = [a for a in answers if isinstance(a, HoldRefused)]
        if full:
            assert full[0].full and name not in self.model and len(self.model) >= 6
            assert held[0].keys == []
            return
        until_ms = self.clock.now_ms() + left_ms + LIMITS.window_ms
        stamp, kept_ms, agents = self.model.get(name, ((0, 0), 0.0, set()))
        if (epoch, version) > stamp:
            stamp, kept_ms = (epoch, version), until_ms
        self.model[name] = (stamp, kept_ms, agents | {f"a{agent}"})

    @rule(key=st.integers(0, 9))
    def release(self, key: int) -> None:
        name = ScopedKey(f"annex/{key}")
        self.table.on_release(Release(PARTITION, Epoch(self.newest), [name]))
        if name in self.model:
            stamp, kept_ms, agents = self.model[name]
            least_ms = min(kept_ms, self.clock.now_ms() + LIMITS.window_ms)
            self.model[name] = (stamp, least_ms, agents)

    @rule(by_ms=st.sampled_from((1.0, 300.0, 900.0)))
    def wait(self, by_ms: float) -> None:
        self.clock.advance(by_ms)
        self.table.tick()
        kept = {record.key for record in self.table.records_of(PARTITION)}
        for name, (_, until_ms, _) in list(self.model.items()):
            if name not in kept:
                assert self.clock.now_ms() >= until_ms, (
                    "record dropped before the end of its retention period"
                )
                del self.model[name]

    @rule()
    def fetch(self) -> None:
        answers = self.table.on_fetch(Fetch(PARTITION, Epoch(self.newest), LEADER, 3))
        parts = [answer for answer in answers if isinstance(answer, Fetched)]
        assert [part.part for part in parts] == list(range(len(parts)))
        assert [part.more for part in parts] == [True] * (len(parts) - 1) + [False]
        found = {record.key: record for part in parts for record in part.records}
        assert set(found) >= set(self.model)
        for name, (stamp, _, agents) in self.model.items():
            assert (found[name].epoch, found[name].version) == stamp
            assert {c.agent for c in found[name].candidates} == agents

    @invariant()
    def bounded(self) -> None:
        assert len(self.table) <= LIMITS.max_records


TestReplica = ReplicaMachine.TestCase
TestReplica.settings = settings(max_examples=80, stateful_step_count=30, deadline=None)
