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
from snipewell.tasktracker import (
    AbortCall,
    CallEnd,
    CallUpstream,
    Send,
    TaskTracker,
    TaskTrackerLimits,
)

LEADER, NEW_LEADER = EntryId("e1.a"), EntryId("e2.a")
KEY = ScopedKey("team/k")
PARTITION = Partition(3)
TASKS = [TaskIndex(number) for number in range(20)]


def make_start(
    task: int = 0, epoch: int = 1, attempt: int = 1, key: str = KEY, **fields: Any
) -> Start:
    values: dict[str, Any] = {
        "deadline_ms": 1_000.0,
        "idempotent": False,
        "entry": LEADER,
        **fields,
    }
    values["attempt"] = attempt
    return Start(
        ScopedKey(key),
        TaskIndex(task),
        PARTITION,
        Epoch(epoch),
        ServiceName("s"),
        TeamName("team"),
        b"",
        **values,
    )


def make_task_tracker(
    clock: ManualClock | None = None, slots: int = 1, queue: int = 2, **records: int
):
    limits = TaskTrackerLimits(slots, queue, RecordLimits(**records))
    return TaskTracker(AgentId("a"), Incarnation("i"), clock or ManualClock(), limits)


def make_query(task: int = 0, epoch: int = 1) -> Query:
    return Query(KEY, PARTITION, Epoch(epoch), [TaskIndex(task)])


def reason_of(actions: list[Any]) -> RefusalReason:
    (action,) = actions
    assert isinstance(action.message, Refused)
    return action.message.reason


def states_of(actions: list[Any]) -> list[TaskState]:
    (action,) = actions
    assert isinstance(action.message, QueryReply | Collected)
    return [record.state for record in action.message.records]


def test_repeated_start_is_answered_with_the_record() -> None:
    """Guards against a second run or a lost result when a leader repeats a start."""
    task_tracker = make_task_tracker()
    assert isinstance(task_tracker.on_start(make_start(), True)[0], CallUpstream)
    assert states_of(task_tracker.on_start(make_start(), True)) == [TaskState.RUNNING]
    first = task_tracker.on_upstream_end(KEY, TASKS[0], CallEnd.OK, True, b"body")
    (repeated,) = task_tracker.on_start(make_start(epoch=9, entry=NEW_LEADER), True)
    assert repeated == Send(
        NEW_LEADER, Result(KEY, TASKS[0], TaskState.OK, b"body", "", 0.0, Load())
    )
    assert first[0].message == repeated.message


def test_stale_epoch_is_refused_but_a_recorded_task_is_reported_as_running() -> None:
    """Guards against starts by a replaced leader, and against a false NOT_STARTED report."""
    task_tracker = make_task_tracker()
    task_tracker.on_start(make_start(0, epoch=4), True)
    refusal = task_tracker.on_start(make_start(1, epoch=3), True)
    assert reason_of(refusal) is RefusalReason.STALE_EPOCH
    assert refusal[0].message.epoch == 4
    assert states_of(task_tracker.on_start(make_start(0, epoch=3), True)) == [TaskState.RUNNING]


def test_start_overtaken_by_a_query_is_refused() -> None:
    """Guards against a task that starts after it was reported to the leader as NOT_STARTED."""
    task_tracker = make_task_tracker()
    assert states_of(task_tracker.on_query(LEADER, make_query(epoch=2))) == [TaskState.NOT_STARTED]
    assert reason_of(task_tracker.on_start(make_start(epoch=2), True)) is RefusalReason.CANCELLED
    assert states_of(task_tracker.on_query(LEADER, make_query(epoch=2))) == [TaskState.NOT_STARTED]
    assert task_tracker.on_query(LEADER, make_query(epoch=1)) == []
    assert (
        reason_of(task_tracker.on_start(make_start(epoch=3, attempt=9), True))
        is RefusalReason.CANCELLED
    )


def test_repetition_of_a_refused_start_is_refused_and_names_its_attempt() -> None:
    """Guards against a start accepted after its refusal, when the task may run elsewhere."""
    task_tracker = make_task_tracker()
    refusal = task_tracker.on_start(make_start(attempt=2), False)
    assert refusal[0].message.attempt == 2
    assert reason_of(task_tracker.on_start(make_start(attempt=2), True)) is RefusalReason.BUSY
    assert reason_of(task_tracker.on_start(make_start(attempt=1), True)) is RefusalReason.BUSY
    assert isinstance(task_tracker.on_start(make_start(attempt=3), True)[0], CallUpstream)


def test_query_without_room_for_a_tombstone_omits_the_task_from_the_reply() -> None:
    """Guards against a NOT_STARTED report of a task whose later start would not be refused."""
    task_tracker = make_task_tracker(records=10)
    reply = task_tracker.on_query(LEADER, Query(KEY, PARTITION, Epoch(1), TASKS))
    assert states_of(reply) == [TaskState.NOT_STARTED] * 11
    assert reason_of(task_tracker.on_start(make_start(19), True)) is RefusalReason.FULL
    assert task_tracker.on_query(LEADER, make_query(19)) == []


def test_collect_raises_the_fence_reports_records_and_redirects_results() -> None:
    """Guards against a start by the old leader after recovery, and results sent to a failed one."""
    task_tracker = make_task_tracker()
    task_tracker.on_start(make_start(0), True)
    task_tracker.on_start(make_start(1), True)
    collected = task_tracker.on_collect(NEW_LEADER, Collect(PARTITION, Epoch(2), 64))
    assert states_of(collected) == [TaskState.RUNNING, TaskState.QUEUED]
    assert reason_of(task_tracker.on_start(make_start(2), True)) is RefusalReason.STALE_EPOCH
    assert task_tracker.on_collect(LEADER, Collect(PARTITION, Epoch(1), 64)) == []
    result, call = task_tracker.on_upstream_end(KEY, TASKS[0], CallEnd.OK, True, b"x")
    assert isinstance(result, Send) and result.entry == NEW_LEADER
    assert isinstance(call, CallUpstream) and call.task == 1


def test_queued_task_of_an_older_epoch_is_refused_after_a_newer_query() -> None:
    """Guards against a start from the queue of a task that the new leader has not seen."""
    task_tracker = make_task_tracker()
    task_tracker.on_start(make_start(0), True)
    task_tracker.on_start(make_start(1), True)
    task_tracker.on_query(NEW_LEADER, make_query(7, epoch=2))
    assert reason_of(task_tracker.tick(True)) is RefusalReason.STALE_EPOCH


def test_queued_task_is_checked_again_before_it_starts() -> None:
    """Guards against starts from the queue after the deadline or after the permit was withdrawn."""
    clock = ManualClock()
    task_tracker = make_task_tracker(clock)
    task_tracker.on_start(make_start(0), True)
    task_tracker.on_start(make_start(1, deadline_ms=50), True)
    task_tracker.on_start(make_start(2), True)
    assert reason_of(task_tracker.on_start(make_start(3), True)) is RefusalReason.BUSY
    clock.advance(50)
    _, expired, withdrawn = task_tracker.on_upstream_end(KEY, TASKS[0], CallEnd.OK, False)
    assert reason_of([expired]) is RefusalReason.EXPIRED
    assert reason_of([withdrawn]) is RefusalReason.NO_PERMIT
    assert reason_of(task_tracker.on_start(make_start(4), False)) is RefusalReason.NO_PERMIT
    assert (
        reason_of(task_tracker.on_start(make_start(5, deadline_ms=0), True))
        is RefusalReason.EXPIRED
    )


def test_expired_queued_task_is_refused_without_waiting_for_a_slot() -> None:
    """Guards against a leader that waits for an expired task queued behind a hanging one."""
    clock = ManualClock()
    task_tracker = make_task_tracker(clock)
    task_tracker.on_start(make_start(0, deadline_ms=5_000), True)
    task_tracker.on_start(make_start(1), True)
    clock.advance(1_000)
    assert reason_of(task_tracker.tick(True)) is RefusalReason.EXPIRED
    assert states_of(task_tracker.on_query(LEADER, make_query(1))) == [TaskState.NOT_STARTED]


def test_cancel_refuses_queued_tasks_and_aborts_running_ones() -> None:
    """Guards against a cancelled task that starts later, and a call that is aborted twice."""
    task_tracker = make_task_tracker()
    task_tracker.on_start(make_start(0), True)
    task_tracker.on_start(make_start(1), True)
    refusal, abort = task_tracker.on_cancel(Cancel(KEY, [TASKS[1], TASKS[0]]))[:2]
    assert reason_of([refusal]) is RefusalReason.CANCELLED
    assert abort == AbortCall(KEY, TASKS[0])
    assert task_tracker.on_cancel(Cancel(KEY, TASKS)) == []
    (result,) = task_tracker.on_upstream_end(KEY, TASKS[0], CallEnd.ABORTED, True)
    assert isinstance(result.message, Result) and result.message.state is TaskState.CANCELLED
    assert reason_of(task_tracker.on_start(make_start(1, epoch=9), True)) is RefusalReason.CANCELLED


def test_many_cancellations_leave_no_records_of_unknown_tasks() -> None:
    """Guards against 10,000 cancellations filling the records, so that new starts are refused."""
    task_tracker = make_task_tracker(slots=8, queue=4)
    for number in range(10_000):
        task_tracker.on_start(make_start(number % 12, key=f"team/{number // 12}"), True)
    cancels = [Cancel(ScopedKey(f"team/{number}"), TASKS) for number in range(10_000)]
    actions = [action for cancel in cancels for action in task_tracker.on_cancel(cancel)]
    assert len(actions) == 12
    assert task_tracker.records.count == 12
    for action in actions:
        if isinstance(action, AbortCall):
            task_tracker.on_upstream_end(action.key, action.task, CallEnd.ABORTED, True)
    assert task_tracker.load() == Load(0, 0)


def test_unsent_call_is_reported_as_refused_and_may_start_again() -> None:
    """Guards against an unknown outcome of a call that never reached the upstream."""
    clock = ManualClock()
    task_tracker = make_task_tracker(clock)
    task_tracker.on_start(make_start(), True)
    task_tracker.suspend(500)
    refusal = task_tracker.on_upstream_end(KEY, TASKS[0], CallEnd.NOT_SENT, True)
    assert reason_of(refusal) is RefusalReason.BUSY
    assert refusal[0].message.load == Load(1, 0)
    assert reason_of(task_tracker.on_start(make_start(attempt=2), True)) is RefusalReason.BUSY
    clock.advance(500)
    assert isinstance(task_tracker.on_start(make_start(attempt=3), True)[0], CallUpstream)


def test_drain_refuses_new_and_queued_tasks_while_running_ones_finish() -> None:
    """Guards against tasks aborted, or accepted and lost, at a graceful shutdown."""
    task_tracker = make_task_tracker()
    task_tracker.on_start(make_start(0), True)
    task_tracker.on_start(make_start(1), True)
    assert reason_of(task_tracker.drain()) is RefusalReason.DRAINING
    assert reason_of(task_tracker.on_start(make_start(2), True)) is RefusalReason.DRAINING
    assert states_of(task_tracker.on_start(make_start(0), True)) == [TaskState.RUNNING]
    assert len(task_tracker.on_upstream_end(KEY, TASKS[0], CallEnd.OK, True)) == 1
    assert not task_tracker.running


def test_records_are_retained_for_the_window_and_starts_refused_at_the_bound() -> None:
    """Guards against a record dropped too early, so that a resubmission runs the task again."""
    clock = ManualClock()
    task_tracker = make_task_tracker(clock, records=2, window_ms=10_000)
    for task in TASKS[:2]:
        task_tracker.on_start(make_start(task), True)
        task_tracker.on_upstream_end(KEY, task, CallEnd.OK, True)
    assert reason_of(task_tracker.on_start(make_start(2), True)) is RefusalReason.FULL
    clock.advance(5_000)
    task_tracker.on_forget(Forget([KEY]))
    clock.advance(9_999)
    task_tracker.tick(True)
    assert task_tracker.records.count == 2
    clock.advance(10_000)
    task_tracker.tick(True)
    assert task_tracker.records.count == task_tracker.records.result_bytes == 0


def test_only_bodies_of_forgotten_keys_are_dropped_and_reported_as_not_kept() -> None:
    """Guards against a dropped body sent as an empty result, and starts without room for one."""
    task_tracker = make_task_tracker(result_bytes=10)
    task_tracker.on_start(make_start(0), True)
    task_tracker.on_upstream_end(KEY, TASKS[0], CallEnd.OK, True, b"0123456789")
    other = ScopedKey("team/other")
    assert reason_of(task_tracker.on_start(make_start(0, key=other), True)) is RefusalReason.FULL
    task_tracker.on_forget(Forget([KEY]))
    assert isinstance(task_tracker.on_start(make_start(0, 1, 2, other), True)[0], CallUpstream)
    for answer in (
        task_tracker.on_query(LEADER, make_query(0)),
        task_tracker.on_start(make_start(0), True),
    ):
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


UNSENT_ENDS = (CallEnd.NOT_SENT, CallEnd.NOT_PERMITTED, CallEnd.EXPIRED)


class StartChecker:
    """Applies events to a task tracker and checks its messages against the calls it starts."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.task_tracker = make_task_tracker(self.clock, queue=1, records=4, result_bytes=4)
        self.started: set[int] = set()
        self.not_started: set[int] = set()
        self.granted: dict[int, tuple[int, int]] = {}
        self.refused: dict[int, tuple[int, int]] = {}

    def apply(self, event: tuple[str, int, Any, Any]) -> None:
        name, task, value, flag = event
        task_tracker = self.task_tracker
        actions: list[Any] = []
        if name == "start":
            record = task_tracker.records.find(KEY, TaskIndex(task))
            if record is None or record.state is TaskState.QUEUED:
                latest = self.granted.get(task, value) if record is not None else value
                self.granted[task] = max(latest, value)
            actions = task_tracker.on_start(make_start(task, *value), flag)
        elif name == "query":
            actions = task_tracker.on_query(LEADER, make_query(task, value))
        elif name == "collect":
            actions = task_tracker.on_collect(LEADER, Collect(PARTITION, Epoch(value), 64))
        elif name == "cancel":
            actions = task_tracker.on_cancel(Cancel(KEY, [TaskIndex(task)]))
        elif name == "end":
            if value in UNSENT_ENDS and (KEY, task) in task_tracker.running:
                self.started.discard(task)
            actions = task_tracker.on_upstream_end(KEY, TaskIndex(task), value, flag, b"xx")
        elif name == "tick":
            self.clock.advance(value)
            actions = task_tracker.tick(flag)
        else:
            task_tracker.on_forget(Forget([KEY]))
        for action in actions:
            self.check(action)

    def check(self, action: object) -> None:
        if isinstance(action, CallUpstream):
            task = action.task
            assert task not in self.started, "a task started twice"
            assert task not in self.not_started, "a task reported as not started was started"
            assert self.granted[task] > self.refused.get(task, (0, 0)), "a refused start ran"
            self.started.add(task)
        elif isinstance(action, Send):
            message = action.message
            if isinstance(message, Refused):
                assert message.task not in self.started, "a started task was refused"
                self.refused[message.task] = max(
                    self.refused.get(message.task, (0, 0)), self.granted.get(message.task, (0, 0))
                )
            elif isinstance(message, QueryReply | Collected):
                for record in message.records:
                    ran = record.state not in (TaskState.NOT_STARTED, TaskState.QUEUED)
                    assert (record.task in self.started) == ran
                    if record.state is TaskState.NOT_STARTED:
                        self.not_started.add(record.task)


@settings(max_examples=400)
@given(st.lists(EVENT, min_size=20, max_size=60))
def test_no_task_starts_twice_or_after_reported_not_started_in_any_order(events: list[Any]) -> None:
    """Guards against a second start after any order of repeated, late and crossed messages."""
    checker = StartChecker()
    for event in events:
        checker.apply(event)
