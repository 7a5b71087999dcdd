"""Planning of the partition table while entries join, fail and drain; decoding of the table."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from snipewell.ids import EntryId, Epoch, Partition, ZoneId
from snipewell.limits import read_quorum
from snipewell.partition import (
    PartitionAssignment,
    PartitionTable,
    count_led_partitions,
    count_replicated_partitions,
    plan_move,
    plan_replicas,
    plan_table,
)

ZONES = ("patan", "bhaktapur", "kirtipur")


class PlannerMachine(RuleBasedStateMachine):
    """Entries join, fail and drain; the table is changed by the rules that leaders apply."""

    def __init__(self) -> None:
        super().__init__()
        self.live = {EntryId("e0"): ZoneId("patan")}
        self.draining: set[EntryId] = set()
        self.count = 1
        planned = plan_table(None, self.live, 16)
        assert planned is not None
        self.table = planned

    @rule()
    @precondition(lambda self: len(self.live) < 9)
    def join(self) -> None:
        self.live[EntryId(f"e{self.count}")] = ZoneId(ZONES[self.count % 3])
        self.count += 1

    @rule(data=st.data())
    @precondition(lambda self: len(self.live) > 1)
    def drain(self, data: st.DataObject) -> None:
        if len(self.live) - len(self.draining) > 1:
            self.draining.add(data.draw(st.sampled_from(sorted(self.live))))

    @rule(data=st.data(), failures=st.integers(1, 3))
    @precondition(lambda self: len(self.live) > 3)
    def crash(self, data: st.DataObject, failures: int) -> None:
        for _ in range(failures):
            failed = data.draw(st.sampled_from(sorted(self.live)))
            del self.live[failed]
            self.draining.discard(failed)
        if set(self.live) <= self.draining:
            self.draining.clear()
        self.replace_failed_leaders()

    def replace_failed_leaders(self) -> None:
        old = self.table.partitions
        self.table = plan_table(self.table, self.live, 16, 3, self.draining) or self.table
        for before, after in zip(old, self.table.partitions, strict=True):
            survivors = [h for h in before.replicas if h in self.live]
            if before.leader in self.live:
                assert after == before, "a partition moved although its home is live"
                continue
            assert after.epoch == before.epoch + 1 and after.leader in self.live
            if len(survivors) >= read_quorum(len(before.replicas)):
                assert after.leader in survivors and after.replicas == before.replicas
                assert after.coverage_epoch == before.coverage_epoch
            else:
                assert after.replicas == (after.leader,) and after.coverage_epoch == after.epoch

    @rule()
    def settle(self) -> None:
        """Apply the changes that leaders propose; they must end with an even spread."""
        for _ in range(400):
            if not self.apply_next_change():
                break
        else:
            raise AssertionError("the table still changes after 400 steps")
        eligible = [e for e in self.live if e not in self.draining]
        leader_counts, replica_counts = (
            count_led_partitions(self.table.partitions),
            count_replicated_partitions(self.table.partitions),
        )
        assert (
            max(leader_counts[e] for e in eligible) - min(leader_counts[e] for e in eligible) <= 1
        )
        assert set(leader_counts) <= set(eligible) and set(replica_counts) <= set(eligible)
        for entry in self.table.partitions:
            assert len(entry.replicas) == min(3, len(eligible))

    def apply_next_change(self) -> bool:
        for number, entry in enumerate(self.table.partitions):
            replica_counts = count_replicated_partitions(self.table.partitions)
            if entry.leader not in self.draining:
                replicas = plan_replicas(
                    number, entry, entry.leader, self.live, replica_counts, 3, self.draining
                )
                if replicas != entry.replicas:
                    self.replace_partition(number, entry.leader, replicas)
                    return True
            own = [
                Partition(n)
                for n, e in enumerate(self.table.partitions)
                if e.leader == entry.leader
            ]
            move = plan_move(self.table, entry.leader, self.live, self.draining, own, 0)
            if move is not None:
                partition, leader = move
                moved = self.table.partitions[partition]
                replicas = plan_replicas(
                    partition, moved, leader, self.live, replica_counts, 3, self.draining
                )
                self.replace_partition(partition, leader, replicas)
                return True
        return False

    def replace_partition(
        self, number: int, leader: EntryId, replicas: tuple[EntryId, ...]
    ) -> None:
        assignments = list(self.table.partitions)
        old = assignments[number]
        assignments[number] = PartitionAssignment(
            leader, replicas, Epoch(old.epoch + 1), old.coverage_epoch
        )
        self.table = PartitionTable(0, tuple(assignments))

    @invariant()
    def every_leader_is_a_live_replica(self) -> None:
        for entry in self.table.partitions:
            assert entry.leader in entry.replicas and entry.leader in self.live
        assert PartitionTable.from_json(self.table.to_json(), 0) == self.table


TestPlanner = PlannerMachine.TestCase
TestPlanner.settings = settings(max_examples=60, stateful_step_count=20, deadline=None)


def test_first_table_spreads_leaders_and_zones() -> None:
    """Guards against a first table with all partitions in one entry or availability zone."""
    live = {EntryId(f"e{n}"): ZoneId(ZONES[n % 3]) for n in range(6)}
    table = plan_table(None, live, 64)
    assert table is not None
    leader_counts = count_led_partitions(table.partitions)
    assert (
        max(leader_counts.values()) - min(leader_counts.values()) <= 1 and len(leader_counts) == 6
    )
    for entry in table.partitions:
        assert {live[h] for h in entry.replicas} == set(ZONES)


def test_inconsistent_table_is_rejected() -> None:
    """Guards against a leader that is no replica, so that no quorum would include its records."""
    with pytest.raises(ValueError, match="partition 0"):
        PartitionTable.from_json(b'[{"home":"a","holders":["b"],"epoch":1,"coverage_epoch":0}]', 1)
    with pytest.raises(ValueError, match="partition table"):
        PartitionTable.from_json(b"[1]", 1)
