"""Tests of the entry's core: crossed answers, permits, and messages that were never sent."""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snipewell.clock import ManualClock
from snipewell.effect import Reply, SendAgent, SendEntry, Submission
from snipewell.entry import Entry, EntryEffect
from snipewell.group import (
    VOTERS_KEY,
    PartContent,
    StoredResource,
    VoterSet,
    encode_part,
    part_key,
)
from snipewell.ids import (
    AgentId,
    EntryId,
    Incarnation,
    RackId,
    RequestId,
    Revision,
    ScopedKey,
    ServiceName,
    TeamName,
    UpstreamId,
    ZoneId,
    digest_of,
)
from snipewell.message import (
    Answer,
    Forward,
    Heartbeat,
    Load,
    Message,
    PeerHeartbeat,
    Permit,
    Resources,
    Result,
    Snapshot,
    Start,
    TaskState,
)
from snipewell.outcome import Complete, Outcome, Step, Unknown
from snipewell.partition import PartitionTable, plan_table
from snipewell.peer import EntryRecord
from snipewell.resource import Kind, ServiceSpec, ZoneSpec
from snipewell.standins.cluster import entry_settings

ZONE = ZoneId("patan")
AGENT = AgentId("a1")
VOTERS = {EntryId(f"e{n}.0"): "127.0.0.1:2" for n in (1, 2, 3)}


def snapshot(revision: int, in_service: bool) -> Snapshot:
    def group(name: str, spec: msgspec.Struct) -> bytes:
        return encode_part(
            PartContent({name: StoredResource(msgspec.Raw(msgspec.json.encode(spec)), 1, 1)})
        )

    values = {
        part_key(Kind.ZONE): group(ZONE, ZoneSpec(ZONE, in_service)),
        part_key(Kind.SERVICE): group("dye-test", ServiceSpec(ServiceName("dye-test"))),
        VOTERS_KEY: msgspec.json.encode(VoterSet(1, VOTERS)),
    }
    return Snapshot(Revision(revision), values)


class Fleet:
    """Entries and one agent that echoes payloads; the test chooses the order of deliveries."""

    def __init__(self, names: tuple[str, ...] = ("e1", "e2", "e3")) -> None:
        self.clock = ManualClock()
        self.ids = [EntryId(f"{name}.0") for name in names]
        records = {e: EntryRecord(e, ZONE, "127.0.0.1:1", "127.0.0.1:2") for e in self.ids}
        self.flying: list[tuple[EntryId, str, Message]] = []
        self.replies: dict[RequestId, list[Outcome]] = {}
        self.permits: list[Permit] = []
        self.starts = 0
        self.entries = {
            entry: Entry(
                records[entry],
                Incarnation("0"),
                entry_settings(entry[:2], ZONE),
                self.clock,
                Random(number),
            )
            for number, entry in enumerate(self.ids)
        }
        table = plan_table(None, dict.fromkeys(self.ids, ZONE), 64)
        assert table is not None
        for entry, core in self.entries.items():
            self.perform(entry, core.on_store_entries(records))
            self.perform(entry, core.on_store_snapshot(snapshot(5, True)))
            self.perform(entry, core.on_store_table(PartitionTable(1, table.partitions)))
            self.send_heartbeat(entry, 1)
        self.settle()

    def send_heartbeat(self, entry: EntryId, sequence: int) -> None:
        heartbeat = Heartbeat(
            AGENT, Incarnation("0"), sequence, UpstreamId("u1"), ZONE, RackId("r1"),
            "127.0.0.1:3", 8, 60, Resources(), [], False, Revision(5), Load(),
        )  # fmt: skip
        self.perform(entry, self.entries[entry].on_agent_message(AGENT, heartbeat))

    def perform(self, entry: EntryId, effects: list[EntryEffect]) -> None:
        """Perform the effects of ``entry``; messages stay in flight until they are delivered."""
        for effect in effects + self.entries[entry].dispatch():
            match effect:
                case SendEntry(peer, message):
                    self.flying.append((peer, entry, message))
                case SendAgent(_, Start(key, task, payload=payload)):
                    self.starts += 1
                    result = Result(key, task, TaskState.OK, payload, "", 1.0, Load())
                    self.flying.append((entry, AGENT, result))
                case SendAgent(_, Permit() as permit):
                    self.permits.append(permit)
                case Reply(request, _, outcome):
                    self.replies.setdefault(request, []).append(outcome)

    def deliver(self, index: int, keep: bool = False) -> None:
        """Deliver one message in flight; with ``keep`` it can be delivered a second time later."""
        target, sender, message = self.flying[index]
        if not keep:
            del self.flying[index]
        core = self.entries[target]
        if sender == AGENT:
            self.perform(target, core.on_agent_message(AGENT, message))
        else:
            self.perform(target, core.on_entry_message(EntryId(sender), message))

    def settle(self) -> None:
        """Deliver all messages in flight and run the ticks, until all work has ended."""
        for _ in range(5):
            while self.flying:
                self.deliver(0)
            for entry, core in self.entries.items():
                self.perform(entry, core.tick())

    def submit(self, entry: EntryId, number: int) -> RequestId:
        payload = [b"%d" % number]
        service = ServiceName("dye-test")
        submission = Submission(
            RequestId(f"{entry}/{number}"), entry, ScopedKey(f"default/k{number}"),
            digest_of(service, payload), service, TeamName("default"), payload,
            self.clock.now_ms() + 5_000, False, False, Resources(),
        )  # fmt: skip
        self.perform(entry, self.entries[entry].on_submission(submission))
        return submission.request

    def key_led_by(self, leader: EntryId) -> int:
        core = self.entries[leader]
        return next(
            n
            for n in range(999)
            if core.partition_manager.leader_of(ScopedKey(f"default/k{n}")) == leader
        )


@settings(max_examples=60)
@given(st.data())
def test_crossed_and_repeated_answers_reach_their_own_callers(data: st.DataObject) -> None:
    """Guards against an answer that reaches another request's caller, or one answered twice."""
    fleet = Fleet()
    expected = {fleet.submit(fleet.ids[n % 3], n): b"%d" % n for n in range(12)}
    for _ in range(200):
        if not fleet.flying:
            break
        index = data.draw(st.integers(0, len(fleet.flying) - 1))
        is_answer = isinstance(fleet.flying[index][2], Answer | Result)
        fleet.deliver(index, keep=is_answer and data.draw(st.booleans()))
    fleet.settle()
    assert fleet.replies == {
        request: [Complete([payload])] for request, payload in expected.items()
    }
    assert fleet.starts == 12


def test_answer_for_another_key_is_dropped() -> None:
    """Guards against an answer to an older request whose id was reused after a restart."""
    fleet = Fleet()
    number = fleet.key_led_by(fleet.ids[1])
    request = fleet.submit(fleet.ids[0], number)
    crossed = Answer(request, ScopedKey("default/other"), Complete([b"other"]))
    fleet.perform(fleet.ids[0], fleet.entries[fleet.ids[0]].on_entry_message(fleet.ids[1], crossed))
    assert request not in fleet.replies
    fleet.settle()
    assert fleet.replies[request] == [Complete([b"%d" % number])]


@pytest.mark.parametrize("is_sent", [True, False])
def test_unanswered_forward_reports_a_possible_start(is_sent: bool) -> None:
    """Guards against "not started" for an attempt that may have reached its leader."""
    fleet = Fleet()
    first, leader = fleet.ids[0], fleet.ids[1]
    request = fleet.submit(first, fleet.key_led_by(leader))
    (forward,) = [m for _, _, m in fleet.flying if isinstance(m, Forward)]
    fleet.flying.clear()
    if not is_sent:
        fleet.perform(first, fleet.entries[first].on_entry_unsent(leader, forward))
    fleet.clock.advance(5_600)
    fleet.perform(first, fleet.entries[first].tick())
    (outcome,) = fleet.replies[request]
    assert isinstance(outcome, Unknown)
    assert outcome.attempt_started is is_sent
    assert outcome.peer == leader


def test_pending_request_is_resent_to_a_new_leader() -> None:
    """Guards against clients that wait for a leader that was replaced."""
    fleet = Fleet()
    first, leader = fleet.ids[0], fleet.ids[1]
    number = fleet.key_led_by(leader)
    request = fleet.submit(first, number)
    fleet.flying.clear()
    live = {entry: ZONE for entry in fleet.ids if entry != leader}
    table = fleet.entries[first].table
    assert table is not None
    planned = plan_table(table, live, 64)
    assert planned is not None
    records = {e: r for e, r in fleet.entries[first].entries.items() if e != leader}
    for entry in live:
        fleet.clock.advance(1_000)
        fleet.perform(entry, fleet.entries[entry].on_store_entries(records))
        fleet.perform(
            entry, fleet.entries[entry].on_store_table(PartitionTable(2, planned.partitions))
        )
    gone = Unknown(Step.RECOVERY, leader, "the partition has moved")
    late = Answer(request, ScopedKey(f"default/k{number}"), gone)
    fleet.perform(first, fleet.entries[first].on_entry_message(leader, late))
    del fleet.entries[leader]
    fleet.flying = [message for message in fleet.flying if message[0] != leader]
    while fleet.flying:
        if fleet.flying[0][0] == leader:
            del fleet.flying[0]
        else:
            fleet.deliver(0)
    assert fleet.replies[request] == [Complete([b"%d" % number])]


def test_permits_need_fresh_contact() -> None:
    """Guards against permits by an entry that may have missed a zone's withdrawal from service."""
    fleet = Fleet()
    entry = fleet.ids[0]
    core = fleet.entries[entry]
    fleet.clock.advance(2_000)
    fleet.perform(entry, core.on_store_contact(fleet.clock.now_ms(), Revision(5)))
    fleet.send_heartbeat(entry, 2)
    assert [p.accepting for p in fleet.permits[-1:]] == [True]
    fleet.clock.advance(900)
    fleet.perform(entry, core.on_store_contact(fleet.clock.now_ms() - 900, Revision(5)))
    fleet.clock.advance(200)
    fleet.permits.clear()
    fleet.send_heartbeat(entry, 3)
    assert fleet.permits == []


def test_permits_are_withdrawn_at_once_when_a_zone_goes_out_of_service() -> None:
    """Guards against starts until the next heartbeat after a zone is taken out of service."""
    fleet = Fleet(("e1",))
    (entry,) = fleet.ids
    core = fleet.entries[entry]
    fleet.perform(entry, core.on_store_contact(fleet.clock.now_ms(), Revision(5)))
    fleet.send_heartbeat(entry, 2)
    fleet.permits.clear()
    fleet.perform(entry, core.on_store_snapshot(snapshot(6, False)))
    assert [(p.sequence, p.revision, p.accepting) for p in fleet.permits] == [(0, 6, False)]


def test_start_that_was_not_sent_is_granted_again() -> None:
    """Guards against a task that waits for an agent to which its start was never sent."""
    fleet = Fleet(("e1",))
    (entry,) = fleet.ids
    core = fleet.entries[entry]
    fleet.submit(entry, 1)
    _, _, result = fleet.flying.pop()
    assert isinstance(result, Result)
    start = Start(
        result.key, result.task, core.own_partitions()[0], core.table.partitions[0].epoch,
        ServiceName("dye-test"), TeamName("default"), b"1", 100.0, False, entry, attempt=1,
    )  # fmt: skip
    fleet.perform(entry, core.on_agent_unsent(AGENT, start))
    fleet.settle()
    assert fleet.starts == 2
    assert [type(o) for outcomes in fleet.replies.values() for o in outcomes] == [Complete]


def test_one_snapshot_is_requested_from_a_peer_with_a_higher_revision() -> None:
    """Guards against an entry that stays behind its peers, and a flood of snapshots to it."""
    fleet = Fleet()
    first, second = fleet.ids[:2]
    fleet.entries[second].on_store_snapshot(snapshot(9, True))
    fleet.clock.advance(1_000)
    for sequence in range(3):
        heartbeat = PeerHeartbeat(second, Incarnation("0"), sequence, Revision(9), 1, 0.0)
        fleet.perform(first, fleet.entries[first].on_entry_message(second, heartbeat))
    asked = [m for target, _, m in fleet.flying if type(m).__name__ == "SnapshotRequest"]
    assert len(asked) == 1
    fleet.settle()
    assert fleet.entries[first].configuration.revision == 9
