from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from snipewell.clock import ManualClock
from snipewell.ids import (
    AgentId,
    EntryId,
    Epoch,
    Incarnation,
    Partition,
    ScopedKey,
    ServiceName,
    TaskIndex,
    TeamName,
)
from snipewell.ledger import CallEnd, CallUpstream, CutCall, Ledger, LedgerLimits, Send
from snipewell.message import (
    Cancel,
    Collect,
    Collected,
    Forget,
    Load,
    Query,
    QueryReply,
    RefusalReason,
    Refused,
    Result,
    Start,
    TaskState,
)
from snipewell.record import RecordLimits

HOME, NEW_HOME = EntryId("e1.a"), EntryId("e2.a")
KEY = ScopedKey("team/k")
P = Partition(3)
T = [TaskIndex(number) for number in range(20)]


def start(task: int = 0, epoch: int = 1, attempt: int = 1, key: str = KEY, **fields: Any) -> Start:
    values: dict[str, Any] = {"deadline_ms": 1_000.0, "idempotent": False, "entry": HOME, **fields}
    values["attempt"] = attempt
    return Start(
        ScopedKey(key),
        TaskIndex(task),
        P,
        Epoch(epoch),
        ServiceName("s"),
        TeamName("team"),
        b"",
        **values,
    )


def ledger(clock: ManualClock | None = None, slots: int = 1, queue: int = 2, **records: int):
    limits = LedgerLimits(slots, queue, RecordLimits(**records))
    return Ledger(AgentId("a"), Incarnation("i"), clock or ManualClock(), limits)


def query(task: int = 0, epoch: int = 1) -> Query:
    return Query(KEY, P, Epoch(epoch), [TaskIndex(task)])


def reason_of(actions: list[Any]) -> RefusalReason:
    (action,) = actions
    assert isinstance(action.message, Refused)
    return action.message.reason


def states(actions: list[Any]) -> list[TaskState]:
    (action,) = actions
    assert isinstance(action.message, QueryReply | Collected)
    return [record.state for record in action.message.records]


def test_repeated_start_is_answered_with_the_record() -> None:
    """Guards against a second run, and against a lost result, when a home repeats a start."""
    agent = ledger()
    assert isinstance(agent.on_start(start(), True)[0], CallUpstream)
    assert states(agent.on_start(start(), True)) == [TaskState.RUNNING]
    first = agent.on_upstream_end(KEY, T[0], CallEnd.OK, True, b"body")
    (repeated,) = agent.on_start(start(epoch=9, entry=NEW_HOME), True)
    assert repeated == Send(NEW_HOME, Result(KEY, T[0], TaskState.OK, b"body", "", 0.0, Load()))
    assert first[0].message == repeated.message


def test_stale_epoch_is_refused_and_a_record_is_never_called_not_started() -> None:
    """Guards against starts by a home that was replaced, and a false "did not start"."""
    agent = ledger()
    agent.on_start(start(0, epoch=4), True)
    refusal = agent.on_start(start(1, epoch=3), True)
    assert reason_of(refusal) is RefusalReason.STALE_EPOCH
    assert refusal[0].message.epoch == 4
    assert states(agent.on_start(start(0, epoch=3), True)) == [TaskState.RUNNING]


def test_start_that_was_overtaken_by_its_query_never_starts() -> None:
    """Guards against a task that starts after the home was told that it had not."""
    agent = ledger()
    assert states(agent.on_query(HOME, query(epoch=2))) == [TaskState.NOT_STARTED]
    assert reason_of(agent.on_start(start(epoch=2), True)) is RefusalReason.CANCELLED
    assert states(agent.on_query(HOME, query(epoch=2))) == [TaskState.NOT_STARTED]
    assert agent.on_query(HOME, query(epoch=1)) == []
    assert reason_of(agent.on_start(start(epoch=3, attempt=9), True)) is RefusalReason.CANCELLED


def test_repetition_of_a_refused_start_is_refused_and_names_its_attempt() -> None:
    """Guards against a start that runs after its refusal, when the task may run elsewhere."""
    agent = ledger()
    refusal = agent.on_start(start(attempt=2), False)
    assert refusal[0].message.attempt == 2
    assert reason_of(agent.on_start(start(attempt=2), True)) is RefusalReason.BUSY
    assert reason_of(agent.on_start(start(attempt=1), True)) is RefusalReason.BUSY
    assert isinstance(agent.on_start(start(attempt=3), True)[0], CallUpstream)


def test_query_without_room_for_a_fence_says_nothing_of_the_task() -> None:
    """Guards against "not started" where the agent could not keep that promise."""
    agent = ledger(records=10)
    reply = agent.on_query(HOME, Query(KEY, P, Epoch(1), T))
    assert states(reply) == [TaskState.NOT_STARTED] * 11
    assert reason_of(agent.on_start(start(19), True)) is RefusalReason.FULL
    assert agent.on_query(HOME, query(19)) == []


def test_collect_raises_the_fence_reports_records_and_redirects_results() -> None:
    """Guards against an old home's start after recovery, and results sent to a dead home."""
    agent = ledger()
    agent.on_start(start(0), True)
    agent.on_start(start(1), True)
    collected = agent.on_collect(NEW_HOME, Collect(P, Epoch(2), 64))
    assert states(collected) == [TaskState.RUNNING, TaskState.QUEUED]
    assert reason_of(agent.on_start(start(2), True)) is RefusalReason.STALE_EPOCH
    assert agent.on_collect(HOME, Collect(P, Epoch(1), 64)) == []
    result, call = agent.on_upstream_end(KEY, T[0], CallEnd.OK, True, b"x")
    assert isinstance(result, Send) and result.entry == NEW_HOME
    assert isinstance(call, CallUpstream) and call.task == 1


def test_queued_task_of_an_older_epoch_that_was_not_collected_is_refused() -> None:
    """Guards against a queued start that a new home does not know of."""
    agent = ledger()
    agent.on_start(start(0), True)
    agent.on_start(start(1), True)
    agent.on_query(NEW_HOME, query(7, epoch=2))
    assert reason_of(agent.tick(True)) is RefusalReason.STALE_EPOCH


def test_queued_task_is_checked_again_before_it_starts() -> None:
    """Guards against starts from the queue past the deadline or after a withdrawal."""
    clock = ManualClock()
    agent = ledger(clock)
    agent.on_start(start(0), True)
    agent.on_start(start(1, deadline_ms=50), True)
    agent.on_start(start(2), True)
    assert reason_of(agent.on_start(start(3), True)) is RefusalReason.BUSY
    clock.advance(50)
    _, expired, withdrawn = agent.on_upstream_end(KEY, T[0], CallEnd.OK, False)
    assert reason_of([expired]) is RefusalReason.EXPIRED
    assert reason_of([withdrawn]) is RefusalReason.NO_PERMIT
    assert reason_of(agent.on_start(start(4), False)) is RefusalReason.NO_PERMIT
    assert reason_of(agent.on_start(start(5, deadline_ms=0), True)) is RefusalReason.EXPIRED


def test_expired_task_is_refused_without_waiting_for_a_slot() -> None:
    """Guards against a home that waits for a queued task behind a stuck one."""
    clock = ManualClock()
    agent = ledger(clock)
    agent.on_start(start(0, deadline_ms=5_000), True)
    agent.on_start(start(1), True)
    clock.advance(1_000)
    assert reason_of(agent.tick(True)) is RefusalReason.EXPIRED
    assert states(agent.on_query(HOME, query(1))) == [TaskState.NOT_STARTED]


def test_cancel_refuses_queued_tasks_and_cuts_running_ones() -> None:
    """Guards against a cancelled task that starts later, and a cancel that repeats its cut."""
    agent = ledger()
    agent.on_start(start(0), True)
    agent.on_start(start(1), True)
    refusal, cut = agent.on_cancel(Cancel(KEY, [T[1], T[0]]))[:2]
    assert reason_of([refusal]) is RefusalReason.CANCELLED
    assert cut == CutCall(KEY, T[0])
    assert agent.on_cancel(Cancel(KEY, T)) == []
    (result,) = agent.on_upstream_end(KEY, T[0], CallEnd.CUT, True)
    assert isinstance(result.message, Result) and result.message.state is TaskState.CANCELLED
    assert reason_of(agent.on_start(start(1, epoch=9), True)) is RefusalReason.CANCELLED


def test_wave_of_cancellations_leaves_no_records_of_unknown_tasks() -> None:
    """Guards against 10,000 cancels that fill the ledger, so that new work is refused."""
    agent = ledger(slots=8, queue=4)
    for number in range(10_000):
        agent.on_start(start(number % 12, key=f"team/{number // 12}"), True)
    wave = [Cancel(ScopedKey(f"team/{number}"), T) for number in range(10_000)]
    actions = [action for cancel in wave for action in agent.on_cancel(cancel)]
    assert len(actions) == 12
    assert agent.records.count == 12
    for action in actions:
        if isinstance(action, CutCall):
            agent.on_upstream_end(action.key, action.task, CallEnd.CUT, True)
    assert agent.load() == Load(0, 0)


def test_call_that_was_not_sent_is_a_refusal_and_may_start_again() -> None:
    """Guards against an unknown outcome where the upstream was never reached."""
    clock = ManualClock()
    agent = ledger(clock)
    agent.on_start(start(), True)
    agent.suspend(500)
    refusal = agent.on_upstream_end(KEY, T[0], CallEnd.NOT_SENT, True)
    assert reason_of(refusal) is RefusalReason.BUSY
    assert refusal[0].message.load == Load(1, 0)
    assert reason_of(agent.on_start(start(attempt=2), True)) is RefusalReason.BUSY
    clock.advance(500)
    assert isinstance(agent.on_start(start(attempt=3), True)[0], CallUpstream)


def test_drain_refuses_new_and_queued_tasks_and_lets_running_ones_finish() -> None:
    """Guards against work cut off, or accepted and lost, at a graceful shutdown."""
    agent = ledger()
    agent.on_start(start(0), True)
    agent.on_start(start(1), True)
    assert reason_of(agent.drain()) is RefusalReason.DRAINING
    assert reason_of(agent.on_start(start(2), True)) is RefusalReason.DRAINING
    assert states(agent.on_start(start(0), True)) == [TaskState.RUNNING]
    assert len(agent.on_upstream_end(KEY, T[0], CallEnd.OK, True)) == 1
    assert not agent.running


def test_records_stay_for_the_window_and_starts_are_refused_at_the_bound() -> None:
    """Guards against a record that goes early, so that a resubmission runs a second time."""
    clock = ManualClock()
    agent = ledger(clock, records=2, window_ms=10_000)
    for task in T[:2]:
        agent.on_start(start(task), True)
        agent.on_upstream_end(KEY, task, CallEnd.OK, True)
    assert reason_of(agent.on_start(start(2), True)) is RefusalReason.FULL
    clock.advance(5_000)
    agent.on_forget(Forget([KEY]))
    clock.advance(9_999)
    agent.tick(True)
    assert agent.records.count == 2
    clock.advance(10_000)
    agent.tick(True)
    assert agent.records.count == agent.records.result_bytes == 0


def test_only_bodies_of_forgotten_keys_go_and_a_dropped_body_is_not_an_empty_answer() -> None:
    """Guards against an empty body given as the answer, and starts without room for a result."""
    agent = ledger(result_bytes=10)
    agent.on_start(start(0), True)
    agent.on_upstream_end(KEY, T[0], CallEnd.OK, True, b"0123456789")
    other = ScopedKey("team/other")
    assert reason_of(agent.on_start(start(0, key=other), True)) is RefusalReason.FULL
    agent.on_forget(Forget([KEY]))
    assert isinstance(agent.on_start(start(0, 1, 2, other), True)[0], CallUpstream)
    for answer in (agent.on_query(HOME, query(0)), agent.on_start(start(0), True)):
        (record,) = answer[0].message.records
        assert (record.state, record.body_kept) == (TaskState.OK, False)


TASK = st.integers(0, 1)
EPOCH = st.integers(1, 3)
EVENT = st.one_of(
    st.tuples(
        st.just("start"), TASK, st.tuples(EPOCH, EPOCH), st.sampled_from([True, True, False])
    ),
    st.tuples(st.just("query"), TASK, EPOCH, st.none()),
    st.tuples(st.just("collect"), TASK, EPOCH, st.none()),
    st.tuples(st.just("cancel"), TASK, EPOCH, st.none()),
    st.tuples(st.just("end"), TASK, st.sampled_from(CallEnd), st.booleans()),
    st.tuples(st.just("tick"), TASK, st.integers(0, 800), st.booleans()),
    st.tuples(st.just("forget"), TASK, EPOCH, st.none()),
)


UNSENT = (CallEnd.NOT_SENT, CallEnd.NOT_PERMITTED, CallEnd.EXPIRED)


class Checker:
    """Applies events to a ledger and checks what it says against what it does."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.agent = ledger(self.clock, queue=1, records=4, result_bytes=4)
        self.started: set[int] = set()
        self.denied: set[int] = set()
        self.granted: dict[int, tuple[int, int]] = {}
        self.refused: dict[int, tuple[int, int]] = {}

    def apply(self, event: tuple[str, int, Any, Any]) -> None:
        name, task, value, flag = event
        agent = self.agent
        actions: list[Any] = []
        if name == "start":
            record = agent.records.find(KEY, TaskIndex(task))
            if record is None or record.state is TaskState.QUEUED:
                known = self.granted.get(task, value) if record is not None else value
                self.granted[task] = max(known, value)
            actions = agent.on_start(start(task, *value), flag)
        elif name == "query":
            actions = agent.on_query(HOME, query(task, value))
        elif name == "collect":
            actions = agent.on_collect(HOME, Collect(P, Epoch(value), 64))
        elif name == "cancel":
            actions = agent.on_cancel(Cancel(KEY, [TaskIndex(task)]))
        elif name == "end":
            if value in UNSENT and (KEY, task) in agent.running:
                self.started.discard(task)
            actions = agent.on_upstream_end(KEY, TaskIndex(task), value, flag, b"xx")
        elif name == "tick":
            self.clock.advance(value)
            actions = agent.tick(flag)
        else:
            agent.on_forget(Forget([KEY]))
        for action in actions:
            self.check(action)

    def check(self, action: object) -> None:
        if isinstance(action, CallUpstream):
            task = action.task
            assert task not in self.started, "a task started twice"
            assert task not in self.denied, "a task started after it was denied"
            assert self.granted[task] > self.refused.get(task, (0, 0)), "refused, then started"
            self.started.add(task)
        elif isinstance(action, Send):
            message = action.message
            if isinstance(message, Refused):
                assert message.task not in self.started, "refused a task that started"
                self.refused[message.task] = max(
                    self.refused.get(message.task, (0, 0)), self.granted.get(message.task, (0, 0))
                )
            elif isinstance(message, QueryReply | Collected):
                for record in message.records:
                    ran = record.state not in (TaskState.NOT_STARTED, TaskState.QUEUED)
                    assert (record.task in self.started) == ran
                    if record.state is TaskState.NOT_STARTED:
                        self.denied.add(record.task)


@settings(max_examples=400)
@given(st.lists(EVENT, min_size=20, max_size=60))
def test_no_task_starts_twice_or_after_it_was_denied_in_any_order(events: list[Any]) -> None:
    """Guards against any order of repeated, late and crossed messages that starts a task twice."""
    checker = Checker()
    for event in events:
        checker.apply(event)
