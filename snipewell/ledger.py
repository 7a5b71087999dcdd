"""The agent's slots and its short queue, and the decision whether a task starts.

The decision rests on the records, so that no task starts twice whatever messages are repeated,
late or out of order:

- A start whose task has a record is answered with the record and never starts.
- A start with an epoch below the fence of its partition is refused; every message with a higher
  epoch raises the fence.
- A query about a task without a record leaves a fence for this task, so that a start that was
  overtaken by the query is refused when it arrives, as is every later one.
- A repetition of a start that was refused lately is refused again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

from .clock import Clock
from .ids import AgentId, EntryId, Epoch, Incarnation, Partition, ScopedKey, ServiceName, TaskIndex
from .message import (
    AgentSent,
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
    TaskRecord,
    TaskState,
)
from .record import Call, RecordLimits, Records, StartRecord

_MAX_REASON = 300
_REFUSALS = 4_096
"""Latest refusals kept; a repetition can be late only by what a connection holds."""


@dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Bounds of a ledger: tasks that run at once, tasks that wait for a slot, and records."""

    slots: int = 8
    queue: int = 4
    records: RecordLimits = RecordLimits()


@dataclass(frozen=True, slots=True)
class Send:
    """Send ``message`` to ``entry``."""

    entry: EntryId
    message: AgentSent


@dataclass(frozen=True, slots=True)
class CallUpstream:
    """Call the upstream; its end, or that nothing was sent, is reported to ``on_upstream_end``."""

    key: ScopedKey
    task: TaskIndex
    service: ServiceName
    payload: bytes
    deadline_at_ms: float


@dataclass(frozen=True, slots=True)
class CutCall:
    """Close the connection on which a call to the upstream runs, and report its end."""

    key: ScopedKey
    task: TaskIndex


LedgerAction = Send | CallUpstream | CutCall


class CallEnd(Enum):
    """How a call to the upstream ended."""

    OK = "ok"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CUT = "cut"
    """The call was cut because of a `CutCall`."""
    NOT_SENT = "not_sent"
    """No byte of the call can have left."""
    NOT_PERMITTED = "not_permitted"
    """The permit ended before the first byte left."""
    EXPIRED = "expired"
    """The deadline passed before the first byte left."""


_END_STATES = {
    CallEnd.OK: TaskState.OK,
    CallEnd.FAILED: TaskState.FAILED,
    CallEnd.UNKNOWN: TaskState.UNKNOWN,
    CallEnd.CUT: TaskState.CANCELLED,
}


class Ledger:
    """Slots, queue and records of one agent.

    ``permit_ok`` in its methods tells whether a start may happen now.
    """

    def __init__(
        self, agent: AgentId, incarnation: Incarnation, clock: Clock, limits: LedgerLimits
    ) -> None:
        self.draining = False
        self.records = Records(clock, limits.records)
        self.running: set[tuple[ScopedKey, TaskIndex]] = set()
        """Tasks whose calls to the upstream have not ended."""
        self._agent = agent
        self._incarnation = incarnation
        self._clock = clock
        self._limits = limits
        self._fences: dict[Partition, Epoch] = {}
        self._queue: deque[tuple[ScopedKey, TaskIndex]] = deque()
        self._refused: dict[tuple[ScopedKey, TaskIndex], tuple[Epoch, int]] = {}
        self._suspended_until_ms = 0.0

    def load(self) -> Load:
        """Return slots in use and tasks queued; while starts are suspended, all slots count."""
        busy = self._limits.slots if self._is_suspended() else len(self.running)
        return Load(busy, len(self._queue))

    def suspend(self, until_ms: float) -> None:
        """Refuse starts as busy until ``until_ms`` of the clock, as the upstream is unreachable."""
        self._suspended_until_ms = until_ms

    def on_start(self, start: Start, permit_ok: bool) -> list[LedgerAction]:
        """Start or queue a task, refuse it, or answer with its record if there is one."""
        self._raise_fence(start.partition, start.epoch)
        record = self.records.find(start.key, start.task)
        if record is not None and not record.is_fence:
            return [self._answer_repeated(start, record)]
        reason = self._refusal_of(start, record, permit_ok)
        if reason is not None:
            return [self._refuse(start.entry, start, (start.epoch, start.attempt), reason)]
        deadline_at_ms = self._clock.now_ms() + start.deadline_ms
        call = Call(start, start.entry, start.attempt, deadline_at_ms)
        record = StartRecord(TaskState.QUEUED, start.epoch, call=call)
        self.records.put(start.key, start.partition, start.task, record, deadline_at_ms)
        if self._has_slot():
            return [self._launch(record, call)]
        self._queue.append((start.key, start.task))
        return []

    def _refusal_of(
        self, start: Start, fence: StartRecord | None, permit_ok: bool
    ) -> RefusalReason | None:
        """Return why a task without a start record may not start, or None if it may."""
        if start.epoch < self._fences[start.partition]:
            return RefusalReason.STALE_EPOCH
        if fence is not None:
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
        self._adopt(record, start.entry, start.epoch, start.attempt)
        report = record.report(start.key, start.task)
        if record.call is None and record.body is not None:
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
    ) -> list[LedgerAction]:
        """Record the end of a call, report it, and start tasks that waited for the slot.

        A call that was not sent is reported as refused, and its record goes. An end without a
        running task is ignored.
        """
        if (key, task) not in self.running:
            return []
        self.running.discard((key, task))
        record, call = self._unended(key, task)
        if end not in _END_STATES:
            actions = [self._take_back(record, call, end)]
        else:
            record.reason = reason[:_MAX_REASON]
            self.records.end(key, record, _END_STATES[end], body)
            report = TaskRecord(key, task, record.state, body, record.reason)
            elapsed_ms = self._clock.now_ms() - call.started_ms
            actions = [Send(call.entry, self._result(report, elapsed_ms))]
        return [*actions, *self._start_queued(permit_ok)]

    def _take_back(self, record: StartRecord, call: Call, end: CallEnd) -> LedgerAction:
        """Refuse a task whose call was not sent."""
        if call.cancelled:
            reason = RefusalReason.CANCELLED
        elif end is CallEnd.EXPIRED:
            reason = RefusalReason.EXPIRED
        elif end is CallEnd.NOT_PERMITTED:
            reason = RefusalReason.NO_PERMIT
        else:
            reason = RefusalReason.BUSY
        return self._drop_unstarted(record, call, reason)

    def on_cancel(self, cancel: Cancel) -> list[LedgerAction]:
        """End tasks of a key: refuse the queued ones for good, and cut the running ones."""
        actions: list[LedgerAction] = []
        for task in cancel.tasks:
            record = self.records.find(cancel.key, task)
            if record is None or record.call is None or record.call.cancelled:
                continue
            if record.state is TaskState.QUEUED:
                self._queue.remove((cancel.key, task))
                refusal = self._drop_unstarted(record, record.call, RefusalReason.CANCELLED)
                actions.append(refusal)
            else:
                record.call.cancelled = True
                actions.append(CutCall(cancel.key, task))
        return actions

    def on_forget(self, forget: Forget) -> None:
        """Let the result bodies of these keys go first when room is needed."""
        for key in forget.keys:
            self.records.forget(key)

    def on_query(self, entry: EntryId, query: Query) -> list[LedgerAction]:
        """Report what became of tasks, and fence those that have no record.

        Tasks that can't be fenced are left out of the reply: those of a query whose epoch is stale,
        which a newer home may start, and those for which there is no room.
        """
        self._raise_fence(query.partition, query.epoch)
        is_stale = query.epoch < self._fences[query.partition]
        if not is_stale:
            self.records.fence(query.key, query.partition, query.tasks, query.epoch)
        self.records.touch(query.key)
        reports = []
        for task in query.tasks:
            record = self.records.find(query.key, task)
            if record is None or (is_stale and record.is_fence):
                continue
            self._adopt(record, entry, query.epoch, 0)
            reports.append(record.report(query.key, task))
        if not reports:
            return []
        return [Send(entry, QueryReply(query.key, self._agent, self._incarnation, reports))]

    def on_collect(self, entry: EntryId, collect: Collect) -> list[LedgerAction]:
        """Raise the fence of a partition, report its start records, and send results to ``entry``.

        A collect of an older epoch than the fence gets no answer.
        """
        partition, epoch = collect.partition, collect.epoch
        self._raise_fence(partition, epoch)
        if epoch < self._fences[partition]:
            return []
        reports = []
        for key, task, record in self.records.of_partition(partition):
            self._adopt(record, entry, epoch, 0)
            reports.append(record.report(key, task))
        return [Send(entry, Collected(partition, epoch, self._agent, self._incarnation, reports))]

    def tick(self, permit_ok: bool) -> list[LedgerAction]:
        """Refuse queued tasks that expired or lost their permit, and drop old records."""
        actions: list[LedgerAction] = []
        for key, task in list(self._queue):
            record, call = self._unended(key, task)
            reason = self._queue_refusal_of(record, call, permit_ok)
            if reason is not None:
                self._queue.remove((key, task))
                actions.append(self._drop_unstarted(record, call, reason))
        self.records.drop_old()
        return actions

    def drain(self) -> list[LedgerAction]:
        """Accept no more starts and refuse the queued tasks; running ones finish."""
        self.draining = True
        actions: list[LedgerAction] = []
        while self._queue:
            record, call = self._unended(*self._queue.popleft())
            actions.append(self._drop_unstarted(record, call, RefusalReason.DRAINING))
        return actions

    def _launch(self, record: StartRecord, call: Call) -> CallUpstream:
        start = call.start
        record.state = TaskState.RUNNING
        call.started_ms = self._clock.now_ms()
        self.running.add((start.key, start.task))
        return CallUpstream(
            start.key, start.task, start.service, start.payload, call.deadline_at_ms
        )

    def _unended(self, key: ScopedKey, task: TaskIndex) -> tuple[StartRecord, Call]:
        record = self.records.find(key, task)
        assert record is not None and record.call is not None
        return record, record.call

    def _queue_refusal_of(
        self, record: StartRecord, call: Call, permit_ok: bool
    ) -> RefusalReason | None:
        """Return why a queued task may no longer start, or None."""
        if self._clock.now_ms() >= call.deadline_at_ms:
            return RefusalReason.EXPIRED
        if record.epoch < self._fences[call.start.partition]:
            return RefusalReason.STALE_EPOCH
        if not permit_ok:
            return RefusalReason.NO_PERMIT
        return RefusalReason.BUSY if self._is_suspended() else None

    def _start_queued(self, permit_ok: bool) -> list[LedgerAction]:
        """Fill free slots from the queue, with the checks of a start made again."""
        actions: list[LedgerAction] = []
        while self._queue and self._has_slot():
            record, call = self._unended(*self._queue.popleft())
            reason = self._queue_refusal_of(record, call, permit_ok)
            if reason is None:
                actions.append(self._launch(record, call))
            else:
                actions.append(self._drop_unstarted(record, call, reason))
        return actions

    def _drop_unstarted(self, record: StartRecord, call: Call, reason: RefusalReason) -> Send:
        """Refuse a task that has a record but did not start.

        After a cancel or the deadline it must never start, so its record becomes a fence.
        """
        if reason in (RefusalReason.CANCELLED, RefusalReason.EXPIRED):
            record.state, record.call = TaskState.NOT_STARTED, None
        else:
            self.records.remove(call.start.key, call.start.task)
        return self._refuse(call.entry, call.start, (record.epoch, call.attempt), reason)

    def _refuse(
        self, entry: EntryId, start: Start, grant: tuple[Epoch, int], reason: RefusalReason
    ) -> Send:
        """Refuse a grant, named by its epoch and attempt, and remember that for a while."""
        name = (start.key, start.task)
        self._refused[name] = max(grant, self._refused.pop(name, grant))
        if len(self._refused) > _REFUSALS:
            del self._refused[next(iter(self._refused))]
        epoch = self._fences[start.partition]
        return Send(entry, Refused(start.key, start.task, reason, epoch, self.load(), grant[1]))

    def _result(self, report: TaskRecord, elapsed_ms: float) -> Result:
        key, task, state = report.key, report.task, report.state
        return Result(key, task, state, report.body, report.reason, elapsed_ms, self.load())

    def _adopt(self, record: StartRecord, entry: EntryId, epoch: Epoch, attempt: int) -> None:
        """Let the home that asks about an unended task get its result, unless it is outdated."""
        call = record.call
        if call is None or epoch < record.epoch:
            return
        if epoch > record.epoch:
            record.epoch, call.entry, call.attempt = epoch, entry, attempt
        call.attempt = max(call.attempt, attempt)

    def _raise_fence(self, partition: Partition, epoch: Epoch) -> None:
        if epoch > self._fences.get(partition, -1):
            self._fences[partition] = epoch

    def _has_slot(self) -> bool:
        return len(self.running) < self._limits.slots

    def _is_suspended(self) -> bool:
        return self._clock.now_ms() < self._suspended_until_ms
