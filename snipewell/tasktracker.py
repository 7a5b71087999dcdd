"""Slots, queue and start decisions of an agent, which guarantee that no task starts twice.

The guarantee holds although messages may be repeated, delayed or reordered. It rests on records:

- A start of a task that has a record is answered with the record and starts nothing.
- A start with an epoch below the fence of its partition is refused. Every message with a higher
  epoch raises the fence.
- A query about a task without a record leaves a tombstone, so that a start overtaken by the query
  is refused when it arrives, and so is every later one.
- A repetition of a recently refused start is refused again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

from .clock import Clock
from .ids import AgentId, EntryId, Epoch, Incarnation, Partition, ScopedKey, ServiceName, TaskIndex
from .message import (
    Cancel,
    Collect,
    Collected,
    Forget,
    Load,
    MessageFromAgent,
    Query,
    QueryReply,
    RefusalReason,
    Refused,
    Result,
    Start,
    TaskRecord,
    TaskState,
)
from .record import ActiveTask, RecordLimits, Records, StartRecord

_MAX_REASON_CHARS = 300
"""Length in characters to which the reason of a result is truncated."""
_MAX_REFUSALS_KEPT = 4_096
"""Refusals remembered so that repetitions of their starts are refused; the oldest are dropped. Only
messages held in a connection can delay a repetition."""


@dataclass(frozen=True, slots=True)
class TaskTrackerLimits:
    """Bounds on the tasks that run at the same time, on the queued tasks and on the records."""

    slots: int = 8
    queue: int = 4
    records: RecordLimits = RecordLimits()


@dataclass(frozen=True, slots=True)
class Send:
    """Send ``message`` to ``entry``."""

    entry: EntryId
    message: MessageFromAgent


@dataclass(frozen=True, slots=True)
class CallUpstream:
    """Call the upstream; the end, sent or not, must be reported to ``on_upstream_end``."""

    key: ScopedKey
    task: TaskIndex
    service: ServiceName
    payload: bytes
    deadline_at_ms: float


@dataclass(frozen=True, slots=True)
class AbortCall:
    """Abort a call by closing its connection to the upstream; its end must be reported."""

    key: ScopedKey
    task: TaskIndex


TaskTrackerAction = Send | CallUpstream | AbortCall


class CallEnd(Enum):
    """How a call to the upstream ended."""

    OK = "ok"
    FAILED = "failed"
    UNKNOWN = "unknown"
    ABORTED = "cut"
    """The call was aborted by an `AbortCall`."""
    NOT_SENT = "not_sent"
    """The call failed before its first byte can have been sent."""
    NOT_PERMITTED = "not_permitted"
    """The permit expired before the first byte was sent."""
    EXPIRED = "expired"
    """The deadline passed before the first byte was sent."""


_END_STATES = {
    CallEnd.OK: TaskState.OK,
    CallEnd.FAILED: TaskState.FAILED,
    CallEnd.UNKNOWN: TaskState.UNKNOWN,
    CallEnd.ABORTED: TaskState.CANCELLED,
}


class TaskTracker:
    """Slots, queue and records of the tasks of one agent.

    The parameter ``permit_ok`` of its methods is True while the agent may start tasks.
    """

    def __init__(
        self, agent: AgentId, incarnation: Incarnation, clock: Clock, limits: TaskTrackerLimits
    ) -> None:
        self.draining = False
        self.records = Records(clock, limits.records)
        self.running: set[tuple[ScopedKey, TaskIndex]] = set()
        """Tasks with a call to the upstream in progress; each occupies a slot."""
        self._agent = agent
        self._incarnation = incarnation
        self._clock = clock
        self._limits = limits
        self._fences: dict[Partition, Epoch] = {}
        self._queue: deque[tuple[ScopedKey, TaskIndex]] = deque()
        self._refused: dict[tuple[ScopedKey, TaskIndex], tuple[Epoch, int]] = {}
        self._suspended_until_ms = 0.0

    def load(self) -> Load:
        """Return the slots in use and tasks queued; while suspended, all slots count as used."""
        busy = self._limits.slots if self._is_suspended() else len(self.running)
        return Load(busy, len(self._queue))

    def suspend(self, until_ms: float) -> None:
        """Refuse starts as busy until ``until_ms``, because the upstream is unreachable."""
        self._suspended_until_ms = until_ms

    def on_start(self, start: Start, permit_ok: bool) -> list[TaskTrackerAction]:
        """Start, queue or refuse a task; if it has a record, answer with that instead."""
        self._raise_fence(start.partition, start.epoch)
        record = self.records.find(start.key, start.task)
        if record is not None and not record.is_tombstone:
            return [self._answer_repeated(start, record)]
        reason = self._refusal_of(start, record, permit_ok)
        if reason is not None:
            return [self._refuse(start.entry, start, (start.epoch, start.attempt), reason)]
        deadline_at_ms = self._clock.now_ms() + start.deadline_ms
        active = ActiveTask(start, start.entry, start.attempt, deadline_at_ms)
        record = StartRecord(TaskState.QUEUED, start.epoch, active=active)
        self.records.put(start.key, start.partition, start.task, record, deadline_at_ms)
        if self._has_slot():
            return [self._start_call(record, active)]
        self._queue.append((start.key, start.task))
        return []

    def _refusal_of(
        self, start: Start, tombstone: StartRecord | None, permit_ok: bool
    ) -> RefusalReason | None:
        """Return the reason to refuse a task without a start record; None if it may start."""
        if start.epoch < self._fences[start.partition]:
            return RefusalReason.STALE_EPOCH
        if tombstone is not None:
            return RefusalReason.CANCELLED
        refused = self._refused.get((start.key, start.task))
        if refused is not None and (start.epoch, start.attempt) <= refused:
            return RefusalReason.BUSY
        if self.draining:
            return RefusalReason.DRAINING
        if start.deadline_ms <= 0:
            return RefusalReason.EXPIRED
        if not permit_ok:
            return RefusalReason.NO_PERMIT
        if self._is_suspended():
            return RefusalReason.BUSY
        if not self._has_slot() and len(self._queue) >= self._limits.queue:
            return RefusalReason.BUSY
        return None if self.records.has_room() else RefusalReason.FULL

    def _answer_repeated(self, start: Start, record: StartRecord) -> Send:
        self._update_leader(record, start.entry, start.epoch, start.attempt)
        report = record.report(start.key, start.task)
        if record.active is None and record.body is not None:
            return Send(start.entry, self._result(report, 0.0))
        reply = QueryReply(start.key, self._agent, self._incarnation, [report])
        return Send(start.entry, reply)

    def on_upstream_end(
        self,
        key: ScopedKey,
        task: TaskIndex,
        end: CallEnd,
        permit_ok: bool,
        body: bytes = b"",
        reason: str = "",
    ) -> list[TaskTrackerAction]:
        """Record and report the end of a call, and start queued tasks in the free slot.

        A task whose call was not sent is reported as refused, since it did not start. The end of
        a task that is not running is ignored.
        """
        if (key, task) not in self.running:
            return []
        self.running.discard((key, task))
        record, active = self._active_task(key, task)
        if end not in _END_STATES:
            actions = [self._refuse_unsent(record, active, end)]
        else:
            record.reason = reason[:_MAX_REASON_CHARS]
            self.records.end(key, record, _END_STATES[end], body)
            report = TaskRecord(key, task, record.state, body, record.reason)
            elapsed_ms = self._clock.now_ms() - active.started_ms
            actions = [Send(active.entry, self._result(report, elapsed_ms))]
        return [*actions, *self._start_queued(permit_ok)]

    def _refuse_unsent(
        self, record: StartRecord, active: ActiveTask, end: CallEnd
    ) -> TaskTrackerAction:
        """Refuse a task whose call was not sent, with the reason that ``end`` stands for."""
        if active.cancelled:
            reason = RefusalReason.CANCELLED
        elif end is CallEnd.EXPIRED:
            reason = RefusalReason.EXPIRED
        elif end is CallEnd.NOT_PERMITTED:
            reason = RefusalReason.NO_PERMIT
        else:
            reason = RefusalReason.BUSY
        return self._drop_unstarted(record, active, reason)

    def on_cancel(self, cancel: Cancel) -> list[TaskTrackerAction]:
        """Cancel tasks of a key: refuse the queued ones for good, abort the running ones."""
        actions: list[TaskTrackerAction] = []
        for task in cancel.tasks:
            record = self.records.find(cancel.key, task)
            if record is None or record.active is None or record.active.cancelled:
                continue
            if record.state is TaskState.QUEUED:
                self._queue.remove((cancel.key, task))
                refusal = self._drop_unstarted(record, record.active, RefusalReason.CANCELLED)
                actions.append(refusal)
            else:
                record.active.cancelled = True
                actions.append(AbortCall(cancel.key, task))
        return actions

    def on_forget(self, forget: Forget) -> None:
        """Allow the results of these keys to be dropped when room is needed."""
        for key in forget.keys:
            self.records.forget(key)

    def on_query(self, entry: EntryId, query: Query) -> list[TaskTrackerAction]:
        """Report the records of tasks, after adding tombstones for those that have none.

        Tasks without a record are left out of the reply if no tombstone can be added: when the
        epoch of the query is stale, as a newer leader may start them, and when there is no space.
        """
        self._raise_fence(query.partition, query.epoch)
        is_stale = query.epoch < self._fences[query.partition]
        if not is_stale:
            self.records.add_tombstones(query.key, query.partition, query.tasks, query.epoch)
        self.records.touch(query.key)
        reports = []
        for task in query.tasks:
            record = self.records.find(query.key, task)
            if record is None or (is_stale and record.is_tombstone):
                continue
            self._update_leader(record, entry, query.epoch, 0)
            reports.append(record.report(query.key, task))
        if not reports:
            return []
        return [Send(entry, QueryReply(query.key, self._agent, self._incarnation, reports))]

    def on_collect(self, entry: EntryId, collect: Collect) -> list[TaskTrackerAction]:
        """Raise the fence of a partition, report its records, and redirect results to ``entry``.

        A message with an epoch older than the fence is not answered.
        """
        partition, epoch = collect.partition, collect.epoch
        self._raise_fence(partition, epoch)
        if epoch < self._fences[partition]:
            return []
        reports = []
        for key, task, record in self.records.of_partition(partition):
            self._update_leader(record, entry, epoch, 0)
            reports.append(record.report(key, task))
        return [Send(entry, Collected(partition, epoch, self._agent, self._incarnation, reports))]

    def tick(self, permit_ok: bool) -> list[TaskTrackerAction]:
        """Refuse queued tasks that may no longer start, and drop records whose window is over."""
        actions: list[TaskTrackerAction] = []
        for key, task in list(self._queue):
            record, active = self._active_task(key, task)
            reason = self._queue_refusal_of(record, active, permit_ok)
            if reason is not None:
                self._queue.remove((key, task))
                actions.append(self._drop_unstarted(record, active, reason))
        self.records.drop_expired()
        return actions

    def drain(self) -> list[TaskTrackerAction]:
        """Stop accepting starts and refuse the queued tasks; running tasks finish."""
        self.draining = True
        actions: list[TaskTrackerAction] = []
        while self._queue:
            record, active = self._active_task(*self._queue.popleft())
            actions.append(self._drop_unstarted(record, active, RefusalReason.DRAINING))
        return actions

    def _start_call(self, record: StartRecord, active: ActiveTask) -> CallUpstream:
        start = active.start
        record.state = TaskState.RUNNING
        active.started_ms = self._clock.now_ms()
        self.running.add((start.key, start.task))
        return CallUpstream(
            start.key, start.task, start.service, start.payload, active.deadline_at_ms
        )

    def _active_task(self, key: ScopedKey, task: TaskIndex) -> tuple[StartRecord, ActiveTask]:
        record = self.records.find(key, task)
        assert record is not None and record.active is not None
        return record, record.active

    def _queue_refusal_of(
        self, record: StartRecord, active: ActiveTask, permit_ok: bool
    ) -> RefusalReason | None:
        """Return the reason to refuse a queued task now, or None if it may still start."""
        if self._clock.now_ms() >= active.deadline_at_ms:
            return RefusalReason.EXPIRED
        if record.epoch < self._fences[active.start.partition]:
            return RefusalReason.STALE_EPOCH
        if not permit_ok:
            return RefusalReason.NO_PERMIT
        return RefusalReason.BUSY if self._is_suspended() else None

    def _start_queued(self, permit_ok: bool) -> list[TaskTrackerAction]:
        """Start queued tasks in free slots, after checking again that each may still start."""
        actions: list[TaskTrackerAction] = []
        while self._queue and self._has_slot():
            record, active = self._active_task(*self._queue.popleft())
            reason = self._queue_refusal_of(record, active, permit_ok)
            if reason is None:
                actions.append(self._start_call(record, active))
            else:
                actions.append(self._drop_unstarted(record, active, reason))
        return actions

    def _drop_unstarted(
        self, record: StartRecord, active: ActiveTask, reason: RefusalReason
    ) -> Send:
        """Refuse a task that has a record but did not start.

        After a cancellation or the deadline it must never start, so its record becomes a tombstone.
        """
        if reason in (RefusalReason.CANCELLED, RefusalReason.EXPIRED):
            record.state, record.active = TaskState.NOT_STARTED, None
        else:
            self.records.remove(active.start.key, active.start.task)
        return self._refuse(active.entry, active.start, (record.epoch, active.attempt), reason)

    def _refuse(
        self, entry: EntryId, start: Start, grant: tuple[Epoch, int], reason: RefusalReason
    ) -> Send:
        """Refuse a grant, identified by its epoch and attempt; repetitions are refused too."""
        name = (start.key, start.task)
        self._refused[name] = max(grant, self._refused.pop(name, grant))
        if len(self._refused) > _MAX_REFUSALS_KEPT:
            del self._refused[next(iter(self._refused))]
        epoch = self._fences[start.partition]
        return Send(entry, Refused(start.key, start.task, reason, epoch, self.load(), grant[1]))

    def _result(self, report: TaskRecord, elapsed_ms: float) -> Result:
        key, task, state = report.key, report.task, report.state
        return Result(key, task, state, report.body, report.reason, elapsed_ms, self.load())

    def _update_leader(
        self, record: StartRecord, entry: EntryId, epoch: Epoch, attempt: int
    ) -> None:
        """Redirect the result of an unfinished task to ``entry``, unless its epoch is older."""
        active = record.active
        if active is None or epoch < record.epoch:
            return
        if epoch > record.epoch:
            record.epoch, active.entry, active.attempt = epoch, entry, attempt
        active.attempt = max(active.attempt, attempt)

    def _raise_fence(self, partition: Partition, epoch: Epoch) -> None:
        if epoch > self._fences.get(partition, -1):
            self._fences[partition] = epoch

    def _has_slot(self) -> bool:
        return len(self.running) < self._limits.slots

    def _is_suspended(self) -> bool:
        return self._clock.now_ms() < self._suspended_until_ms
