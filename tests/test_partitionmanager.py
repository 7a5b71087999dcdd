"""Leaders under simulated failures, with single protections disabled, and in fixed scenarios."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from snipewell.clock import ManualClock
from snipewell.effect import (
    Effect,
    Enqueue,
    ProposeTable,
    Reply,
    SendAgent,
    SendEntry,
    Submission,
    Withdraw,
)
from snipewell.ids import (
    AgentId,
    EntryId,
    Incarnation,
    Partition,
    RequestId,
    ScopedKey,
    ServiceName,
    TaskIndex,
    TeamName,
    ZoneId,
    digest_of,
    scope_key,
)
from snipewell.message import (
    Cancel,
    Candidate,
    Collect,
    Forward,
    Load,
    Query,
    QueryReply,
    RefusalReason,
    Refused,
    Resources,
    Result,
    TaskRecord,
    TaskState,
)
from snipewell.outcome import (
    Cancelled,
    Complete,
    Conflict,
    Failed,
    NotRun,
    Outcome,
    Unknown,
)
from snipewell.partition import PartitionTable, plan_table
from snipewell.partitionmanager import PartitionLimits, PartitionManager, Protections
from snipewell.tasktracker import CallUpstream, Send, TaskTracker, TaskTrackerLimits
from tests.fake_agent import UnfencedTaskTracker
from tests.history import Answered, Event, Invoked, Started, check_history
from tests.simulation import Faults, World

SERVICE, TEAM = ServiceName("dye-test"), TeamName("annex")
KEY = scope_key(TEAM, "k")
A, B = AgentId("agent-a"), AgentId("agent-b")
INCARNATION = Incarnation("1")
CANDIDATES = [Candidate(A, INCARNATION), Candidate(B, INCARNATION)]


class Cluster:
    """Entries whose messages are delivered at once, or dropped for entries in ``unreachable``."""

    def __init__(self, count: int, protections: Protections | None = None, **limits: float) -> None:
        self.clock = ManualClock(1_000)
        self.unreachable: set[EntryId] = set()
        self.sent: list[Effect] = []
        self.events: list[Event] = []
        self.outcomes: dict[str, Outcome] = {}
        self.table: PartitionTable | None = None
        self._version = 0
        bounds = PartitionLimits(**{"partitions": 1, **limits})  # type: ignore[arg-type]
        self.managers = {
            entry: PartitionManager.create(
                entry, ZoneId("patan"), self.clock, Random(1), bounds, self.retry, protections
            )
            for entry in (EntryId(f"e{n}") for n in range(count))
        }
        self.retries = 0
        self.registered = set(self.managers)
        self.publish_members()

    def retry(self, service: ServiceName) -> bool:
        self.retries -= 1
        return self.retries >= 0

    def publish_members(self) -> None:
        live = {e: ZoneId("patan") for e in self.registered}
        for entry, manager in self.managers.items():
            if entry not in self.unreachable and entry in live:
                self.apply(entry, manager.on_entries(live))

    def apply(self, entry: EntryId, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendEntry(entry=to, message=message) if not isinstance(message, Forward):
                    if not {to, entry} & self.unreachable:
                        self.apply(to, self.managers[to].on_entry_message(entry, message))
                case ProposeTable(base_version=base, table=table) if base == self._version:
                    self._version += 1
                    self.table = PartitionTable.from_json(table.to_json(), self._version)
                    self.publish_table()
                case Reply(request=request, outcome=outcome):
                    assert request not in self.outcomes
                    self.outcomes[request] = outcome
                case SendAgent() | Enqueue() | Withdraw() | SendEntry():
                    self.sent.append(effect)

    def publish_table(self) -> None:
        assert self.table is not None
        for entry in self.managers:
            if entry not in self.unreachable:
                self.apply(entry, self.managers[entry].on_table(self.table))

    def advance(self, by_ms: float, step_ms: float = 100) -> None:
        for _ in range(int(by_ms // step_ms)):
            self.clock.advance(step_ms)
            for entry in set(self.managers) - self.unreachable:
                self.apply(entry, self.managers[entry].tick())

    @property
    def leader(self) -> EntryId:
        assert self.table is not None
        return self.table.partitions[0].leader

    def fail_entries(self, *entries: EntryId) -> None:
        """Make entries unreachable, let their registrations expire and wait for the takeover."""
        self.unreachable |= set(entries)
        self.registered -= set(entries)
        self.publish_members()
        self.advance(1_000)

    def submission(
        self, request: str, tasks: int = 1, key: ScopedKey = KEY, job: bool = True, data: str = ""
    ) -> Submission:
        payloads = [f"{data}{n}".encode() for n in range(tasks)]
        return Submission(
            RequestId(request),
            self.leader,
            key,
            digest_of(SERVICE, payloads),
            SERVICE,
            TEAM,
            payloads,
            self.clock.now_ms() + 5_000,
            job,
            not job,
            Resources(),
        )

    def submit(self, request: str, at: EntryId | None = None, **kw: object) -> None:
        entry = at or self.leader
        submission = self.submission(request, **kw)  # type: ignore[arg-type]
        self.apply(entry, self.managers[entry].submit(submission, CANDIDATES))

    def grant(self, task: int = 0, agent: AgentId = A, at: EntryId | None = None) -> int:
        """Return the attempt number of the grant, or 0 if it is denied."""
        manager = self.managers[at or self.leader]
        start = manager.grant(KEY, TaskIndex(task), agent, INCARNATION)
        return 0 if start is None else start.attempt

    def start(self, agent: AgentId, at: EntryId | None = None) -> None:
        if self.grant(agent=agent, at=at):
            self.events.append(Started(0, KEY, 0, agent))

    def run(self, request: str, agent: AgentId, at: EntryId | None = None) -> None:
        """Submit a request and start its task at ``agent``, if the leader grants it."""
        self.events.append(Invoked(0, request, KEY, 1, False, True))
        self.submit(request, at=at)
        self.start(agent, at)

    def result(self, task: int = 0, agent: AgentId = A, state: TaskState = TaskState.OK) -> None:
        body = f"r{task}".encode() if state is TaskState.OK else b""
        message = Result(KEY, TaskIndex(task), state, body, "", 1.0, Load())
        self.apply(self.leader, self.managers[self.leader].on_agent_message(agent, message))


@pytest.mark.parametrize("seed", [*range(60), 101344])
def test_guarantees_hold_under_random_failures(seed: int) -> None:
    """Guards all guarantees on submissions against loss, pauses, crashes and store outages."""
    assert World(seed).run() == []


# Protection, seed at which disabling it violates a guarantee, faults.
SWITCHES = [
    ("collect_before_resume", 0, Faults(0.01, ("kill_entry",))),
    ("refusal_memory", 2, Faults(0.01, ("pause_entry",))),
    ("one_grant", 0, Faults(0.01, ("pause_agent",))),
]


@pytest.mark.parametrize(("switch", "seed", "faults"), SWITCHES)
def test_simulation_detects_a_disabled_protection(switch: str, seed: int, faults: Faults) -> None:
    """Guards against a simulation that never produces the failures a protection prevents."""
    assert World(seed, faults).run() == []
    assert World(seed, faults, Protections(**{switch: False})).run() != []


def lose_leader_whose_holds_reached_no_replica(cluster: Cluster) -> None:
    leader = cluster.leader
    cluster.unreachable = set(cluster.managers) - {leader}
    cluster.run("r1", A)
    cluster.unreachable = set()
    cluster.fail_entries(leader)
    cluster.run("r2", B)


def resume_leader_after_its_replacement(cluster: Cluster) -> None:
    old = cluster.leader
    cluster.fail_entries(old)
    cluster.run("r1", A)
    cluster.unreachable.clear()
    cluster.run("r2", B, at=old)


def lose_leader_while_a_task_runs(cluster: Cluster) -> None:
    cluster.run("r1", A)
    cluster.fail_entries(cluster.leader)
    cluster.run("r2", B)


def refuse_while_an_attempt_is_in_progress(cluster: Cluster) -> None:
    refusal = NotRun("quota", 5_000, True)
    cluster.events.append(Invoked(0, "r1", KEY, 1, False, True))
    leader = cluster.managers[cluster.leader]
    cluster.apply(cluster.leader, leader.refuse(cluster.submission("r1"), refusal))
    cluster.events.append(Answered(0, "r1", cluster.outcomes["r1"]))
    cluster.run("r2", A)


def lose_contact_with_the_agent(cluster: Cluster) -> None:
    cluster.run("r1", A)
    cluster.advance(3_500)
    cluster.start(B)


def lose_leader_and_replicas(cluster: Cluster) -> None:
    cluster.run("r1", A)
    assert cluster.table is not None
    cluster.fail_entries(*cluster.table.partitions[0].replicas)
    cluster.run("r2", B)


@pytest.mark.parametrize("protected", [True, False])
@pytest.mark.parametrize(
    ("switch", "entries", "scenario"),
    [
        ("replica_acknowledgement", 3, lose_leader_whose_holds_reached_no_replica),
        ("replica_epoch", 3, resume_leader_after_its_replacement),
        ("collect_before_resume", 3, lose_leader_while_a_task_runs),
        ("refusal_memory", 3, refuse_while_an_attempt_is_in_progress),
        ("one_grant", 1, lose_contact_with_the_agent),
        ("coverage", 4, lose_leader_and_replicas),
    ],
)
def test_each_protection_prevents_a_violation(
    switch: str, entries: int, scenario: Callable[[Cluster], None], protected: bool
) -> None:
    """Guards against a protection without effect and a checker that misses the violation."""
    cluster = Cluster(entries, Protections(**{switch: protected}))
    scenario(cluster)
    assert (check_history(cluster.events) == []) == protected


@pytest.mark.parametrize("kind", [TaskTracker, UnfencedTaskTracker])
def test_paused_leader_starts_nothing_at_agents_fenced_by_its_successor(
    kind: type[TaskTracker],
) -> None:
    """Guards against a resumed leader that starts a task which its successor granted too."""
    cluster = Cluster(3)
    task_trackers = {
        agent: kind(agent, INCARNATION, cluster.clock, TaskTrackerLimits()) for agent in (A, B)
    }
    old = cluster.leader
    cluster.submit("r1")
    events: list[Event] = [Invoked(0, "r1", KEY, 1, False, True)]
    cluster.fail_entries(old)
    collects = [e for e in cluster.sent if isinstance(e, SendAgent)]
    for effect in collects:
        assert isinstance(effect.message, Collect)
        for action in task_trackers[effect.agent].on_collect(cluster.leader, effect.message):
            assert isinstance(action, Send)
            answer = cluster.managers[cluster.leader].on_agent_message(effect.agent, action.message)
            cluster.apply(cluster.leader, answer)
    cluster.submit("r2")
    for entry, agent in ((cluster.leader, B), (old, A)):
        start = cluster.managers[entry].grant(KEY, TaskIndex(0), agent, INCARNATION)
        assert start is not None
        if isinstance(task_trackers[agent].on_start(start, True)[0], CallUpstream):
            events.append(Started(0, KEY, 0, agent))
    assert (check_history(events) == []) == (kind is TaskTracker)


def test_leader_reassigned_after_a_gap_starts_no_earlier_submission() -> None:
    """Guards against a paused leader that continues its runs after a gap.

    The new assignment declares lost records; the leader must not take it for a change of its own.
    """
    cluster = Cluster(3)
    old = cluster.leader
    cluster.fail_entries(old)
    cluster.unreachable = set(cluster.managers) - {old}
    cluster.submit("r1", at=old)
    planned = plan_table(cluster.table, {old: ZoneId("patan")}, 1)
    assert planned is not None and planned.partitions[0].coverage_epoch > 0
    cluster.table = PartitionTable(99, planned.partitions)
    cluster.publish_table()
    cluster.advance(1_000)
    assert cluster.leader == old and cluster.grant() == 0
    assert isinstance(cluster.outcomes["r1"], Unknown)


def test_job_fails_as_soon_as_one_task_fails() -> None:
    """Guards against partial answers and against work that continues for a failed job."""
    cluster = Cluster(3)
    cluster.submit("r1", tasks=3)
    assert cluster.grant(0, A) and cluster.grant(1, B)
    cluster.result(0, A)
    cluster.result(1, B, TaskState.FAILED)
    assert isinstance(cluster.outcomes["r1"], Failed)
    assert Withdraw(KEY) in cluster.sent
    assert cluster.grant(2) == 0


def test_results_are_in_the_order_of_the_tasks() -> None:
    """Guards against results in order of arrival."""
    cluster = Cluster(1)
    cluster.submit("r1", tasks=2)
    assert cluster.grant(0, A) and cluster.grant(1, B)
    cluster.result(1, B)
    cluster.result(0, A)
    assert cluster.outcomes["r1"] == Complete([b"r0", b"r1"])


def test_late_refusal_of_an_earlier_grant_is_ignored() -> None:
    """Guards against a second start while the agent that refused an earlier grant runs the task."""
    cluster = Cluster(1)
    cluster.submit("r1")
    refused = Refused(KEY, TaskIndex(0), RefusalReason.BUSY, 1, Load(), cluster.grant())
    leader = cluster.managers[cluster.leader]
    leader.on_agent_message(A, refused)
    assert cluster.grant() == 2
    leader.on_agent_message(A, refused)
    assert cluster.grant(agent=B) == 0


def test_resubmission_joins_the_run_then_gets_the_recorded_outcome() -> None:
    """Guards against a second run of a key, and against the outcome of another payload."""
    cluster = Cluster(3)
    cluster.submit("r1")
    cluster.submit("r2")
    cluster.submit("r3", data="other")
    assert isinstance(cluster.outcomes["r3"], Conflict)
    assert cluster.grant()
    cluster.result()
    cluster.submit("r4")
    complete = Complete([b"r0"])
    assert [cluster.outcomes[r] for r in ("r1", "r2", "r4")] == [complete] * 3


def test_cancel_answers_every_client_and_stops_running_tasks() -> None:
    """Guards against clients left waiting and work that continues after a cancellation."""
    cluster = Cluster(3)
    cluster.submit("r1", tasks=2)
    assert cluster.grant(0, A)
    leader = cluster.managers[cluster.leader]
    cluster.apply(cluster.leader, leader.cancel(RequestId("c1"), KEY))
    assert cluster.outcomes == {"r1": Cancelled(1), "c1": Cancelled(1)}
    assert SendAgent(A, Cancel(KEY, [TaskIndex(0)])) in cluster.sent


def test_silent_agent_is_queried_until_the_deadline() -> None:
    """Guards against a second start, or a client without an answer, when an agent is silent."""
    cluster = Cluster(1)
    cluster.submit("r1")
    assert cluster.grant()
    cluster.advance(4_900)
    queries = [e for e in cluster.sent if isinstance(e, SendAgent) and isinstance(e.message, Query)]
    assert len(queries) >= 3 and cluster.grant(agent=B) == 0
    cluster.advance(200)
    assert isinstance(cluster.outcomes["r1"], Unknown)


@pytest.mark.parametrize(("job", "budget", "granted"), [(True, 1, 0), (False, 0, 0), (False, 1, 2)])
def test_only_idempotent_single_requests_are_retried(job: bool, budget: int, granted: int) -> None:
    """Guards against retries of work that must not run twice, and against retry storms."""
    cluster = Cluster(1)
    cluster.retries = budget
    cluster.submit("r1", job=job)
    assert cluster.grant()
    record = TaskRecord(KEY, TaskIndex(0), TaskState.NOT_STARTED)
    reply = QueryReply(KEY, A, Incarnation("2"), [record])
    cluster.apply(cluster.leader, cluster.managers[cluster.leader].on_agent_message(A, reply))
    assert cluster.grant(agent=B) == granted
    assert isinstance(cluster.outcomes.get("r1"), Unknown) == (granted == 0)


def test_refusal_still_applies_at_the_next_leader() -> None:
    """Guards against a concurrent attempt that starts elsewhere after a client got "not run"."""
    cluster = Cluster(3)
    refusal = NotRun("quota", 5_000, True)
    leader = cluster.managers[cluster.leader]
    cluster.apply(cluster.leader, leader.refuse(cluster.submission("r1"), refusal))
    assert cluster.outcomes["r1"] == refusal
    cluster.fail_entries(cluster.leader)
    cluster.submit("r2")
    assert isinstance(cluster.outcomes["r2"], NotRun) and cluster.grant() == 0
    cluster.advance(6_000)
    cluster.submit("r3")
    assert cluster.grant()


def test_submission_waits_for_a_replica_only_until_it_is_replaced() -> None:
    """Guards against clients that wait until the deadline for a replica known to be gone."""
    cluster = Cluster(2)
    (other,) = set(cluster.managers) - {cluster.leader}
    cluster.unreachable = {other}
    cluster.submit("r1")
    assert cluster.grant() == 0
    cluster.fail_entries(other)
    assert cluster.grant() == 1


def test_submission_beyond_the_record_limit_is_refused_as_not_run() -> None:
    """Guards against records dropped early, or unbounded memory, under a burst of submissions."""
    cluster = Cluster(1, max_records=1, max_refusals=1)
    for number in range(3):
        cluster.submit(f"r{number}", key=scope_key(TEAM, f"k{number}"))
    assert isinstance(cluster.outcomes["r1"], NotRun)
    assert isinstance(cluster.outcomes["r2"], Unknown)


def test_replicas_at_their_limit_end_the_submission_without_a_start() -> None:
    """Guards against starts that no majority has recorded, and clients left waiting."""
    cluster = Cluster(3)
    for entry, manager in cluster.managers.items():
        if entry != cluster.leader:
            manager._replica_records._limits = PartitionLimits(max_records=0)
    cluster.submit("r1")
    outcome = cluster.outcomes["r1"]
    assert isinstance(outcome, Unknown) and not outcome.attempt_started and cluster.grant() == 0


def test_after_a_gap_only_tickets_prove_a_key_new() -> None:
    """Guards against a second run of a key whose record was lost with its leader and replicas."""
    cluster = Cluster(4)
    assert cluster.table is not None
    old_ticket = cluster.managers[cluster.leader].issue_tickets(Partition(0), 1)[0]
    cluster.fail_entries(*cluster.table.partitions[0].replicas)
    assert cluster.table.partitions[0].coverage_epoch > 0
    cluster.submit("plain")
    cluster.submit("old", key=scope_key(TEAM, old_ticket))
    ticket = cluster.managers[cluster.leader].issue_tickets(Partition(0), 1)[0]
    cluster.submit("new", key=scope_key(TEAM, ticket))
    assert set(cluster.outcomes) == {"plain", "old"}
    assert all(isinstance(outcome, Unknown) for outcome in cluster.outcomes.values())


def test_record_is_retained_until_the_end_of_the_resubmission_window() -> None:
    """Guards against a second run of a key within its window, and of a ticket at any time."""
    cluster = Cluster(1, window_ms=90_000)
    ticket = cluster.managers[cluster.leader].issue_tickets(Partition(0), 1)[0]
    cluster.submit("r1")
    assert cluster.grant()
    cluster.result()
    cluster.advance(89_000, 1_000)
    cluster.submit("r2")
    assert cluster.outcomes["r2"] == Complete([b"r0"])
    cluster.advance(2_000, 1_000)
    cluster.submit("late", key=scope_key(TEAM, ticket))
    assert isinstance(cluster.outcomes["late"], Unknown)
    cluster.submit("r3")
    assert cluster.grant() == 1


def test_drain_forwards_queued_submissions_after_running_work_has_ended() -> None:
    """Guards against running work aborted, or submissions lost, during a handover."""
    cluster = Cluster(3)
    old = cluster.leader
    cluster.submit("r1")
    assert cluster.grant()
    cluster.apply(old, cluster.managers[old].drain())
    cluster.advance(500)
    cluster.submit("r2", key=scope_key(TEAM, "k2"))
    assert cluster.leader == old and not cluster.managers[old].drained()
    cluster.result()
    cluster.advance(1_000)
    assert cluster.leader != old and cluster.managers[old].drained()
    forwards = [e.message for e in cluster.sent if isinstance(e, SendEntry)]
    assert [f.request for f in forwards if isinstance(f, Forward)] == ["r2"]
    cluster.submit("r3")
    assert cluster.outcomes["r3"] == cluster.outcomes["r1"] == Complete([b"r0"])


def test_entry_drains_after_an_aborted_handover_to_it() -> None:
    """Guards against a drain that never ends after a handover to the draining entry was aborted.

    The leader had planned the replicas for that handover and did not plan them anew.
    """
    cluster = Cluster(2, quiesce_ms=1_000)
    old = cluster.leader
    (leaving,) = set(cluster.managers) - {old}
    cluster.submit("r1")
    assert cluster.grant()
    cluster.managers[old]._leaderships[Partition(0)].begin_handover(leaving, (old, leaving))
    cluster.advance(200)
    cluster.apply(leaving, cluster.managers[leaving].drain())
    cluster.advance(3_000)
    assert cluster.leader == old and cluster.managers[leaving].drained()
