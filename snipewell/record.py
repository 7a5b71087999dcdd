"""The agent's records of starts and results by key and task, bounded in count and bytes.

Records live for the resubmission window after the last task of their key ended, and no record is
dropped earlier. When there is no room, the ledger refuses new starts; only the result bodies of
forgotten keys are dropped.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from .clock import Clock
from .ids import EntryId, Epoch, Partition, ScopedKey, TaskIndex
from .message import Start, TaskRecord, TaskState

_RESULT_OVERHEAD_BYTES = 128
"""Counted for each ended record that is kept in full, besides its body and reason."""
_MARKS = 64
"""Parts of the window to which ends are rounded up, so that keys that end together share a mark."""


@dataclass(frozen=True, slots=True)
class RecordLimits:
    """Bounds: ``records`` counts tasks and task fences, ``result_bytes`` the results kept."""

    records: int = 50_000
    result_bytes: int = 8 * 1024 * 1024
    window_ms: float = 600_000

    @property
    def fences(self) -> int:
        """Records at which no more task fences are left; starts stop a tenth earlier."""
        return self.records + self.records // 10


@dataclass(slots=True)
class Call:
    """What is needed of a task until it ends.

    ``entry`` is the home that gets the result, ``attempt`` the number under which it knows the
    grant; a home that took over from another has granted nothing itself and counts from 0.
    """

    start: Start
    entry: EntryId
    attempt: int
    deadline_at_ms: float
    started_ms: float = 0.0
    cancelled: bool = False


@dataclass(slots=True)
class StartRecord:
    """One task. ``body`` is None if it was dropped; ``call`` is None once the task ended.

    With state NOT_STARTED it is a fence: the task never starts here.
    """

    state: TaskState
    epoch: Epoch
    body: bytes | None = b""
    reason: str = ""
    call: Call | None = None

    @property
    def is_fence(self) -> bool:
        """Whether the record only says that the task must not start."""
        return self.state is TaskState.NOT_STARTED

    def report(self, key: ScopedKey, task: TaskIndex) -> TaskRecord:
        """Return the record as it is sent."""
        if self.body is None:
            return TaskRecord(key, task, self.state, reason="the result body was dropped")
        kept = self.state is TaskState.OK
        return TaskRecord(key, task, self.state, self.body, self.reason, kept)

    @property
    def result_bytes(self) -> int:
        """Bytes that a result counts for; only ended records that are kept in full have one."""
        if self.call is not None or self.body is None or self.is_fence:
            return 0
        return _RESULT_OVERHEAD_BYTES + len(self.body) + len(self.reason)


_DROPPED = {
    state: StartRecord(state, Epoch(0), None)
    for state in (TaskState.OK, TaskState.FAILED, TaskState.UNKNOWN, TaskState.CANCELLED)
}
"""What remains of ended tasks whose results were dropped. Shared, and therefore never changed."""


class _Key:
    """The records of one key; the first is kept without a dict, as most keys have only one task.

    The window counts from ``mark_ms``. A dict for one record takes 184 bytes.
    """

    __slots__ = ("_first", "_more", "_record", "forgotten", "mark_ms", "partition")

    def __init__(self, partition: Partition, mark_ms: float) -> None:
        self.partition = partition
        self.mark_ms = mark_ms
        self.forgotten = False
        self._first = TaskIndex(-1)
        self._record: StartRecord | None = None
        self._more: dict[TaskIndex, StartRecord] | None = None

    def get(self, task: TaskIndex) -> StartRecord | None:
        if task == self._first:
            return self._record
        return self._more.get(task) if self._more is not None else None

    def set(self, task: TaskIndex, record: StartRecord) -> None:
        if self._record is None and self._more is None:
            self._first = task
        if task == self._first:
            self._record = record
        elif self._more is None:
            self._more = {task: record}
        else:
            self._more[task] = record

    def remove(self, task: TaskIndex) -> None:
        if task == self._first:
            self._record = None
        elif self._more is not None:
            del self._more[task]

    def items(self) -> list[tuple[TaskIndex, StartRecord]]:
        first = [(self._first, self._record)] if self._record is not None else []
        return [*first, *(self._more.items() if self._more is not None else ())]


class Records:
    """All records of one agent."""

    def __init__(self, clock: Clock, limits: RecordLimits) -> None:
        self.count = 0
        """Records and task fences kept."""
        self.result_bytes = 0
        """Bytes of the results kept, with an overhead for each."""
        self._clock = clock
        self._limits = limits
        self._mark_step_ms = limits.window_ms / _MARKS
        self._keys: dict[ScopedKey, _Key] = {}
        self._forgotten: deque[ScopedKey] = deque()
        self._marks: dict[float, list[ScopedKey]] = {}
        self._sweep_at_ms = 0.0

    def find(self, key: ScopedKey, task: TaskIndex) -> StartRecord | None:
        """Return the record or fence of a task, or None."""
        records = self._keys.get(key)
        return records.get(task) if records is not None else None

    def of_partition(
        self, partition: Partition
    ) -> Iterator[tuple[ScopedKey, TaskIndex, StartRecord]]:
        """Iterate over the start records of a partition, without fences."""
        for key, records in self._keys.items():
            if records.partition == partition:
                for task, record in records.items():
                    if not record.is_fence:
                        yield key, task, record

    def put(
        self,
        key: ScopedKey,
        partition: Partition,
        task: TaskIndex,
        record: StartRecord,
        until_ms: float,
    ) -> None:
        """Keep ``record``, and count the window of its key from ``until_ms`` at the earliest."""
        records = self._keys.get(key)
        if records is None:
            mark_ms = self._mark(until_ms)
            records = self._keys[key] = _Key(partition, mark_ms)
            self._marks[mark_ms].append(key)
        else:
            self._touch(records, until_ms)
        if records.get(task) is None:
            self.count += 1
        records.set(task, record)

    def remove(self, key: ScopedKey, task: TaskIndex) -> None:
        """Drop the record of a task that did not start."""
        records = self._keys[key]
        records.remove(task)
        self.count -= 1
        if not records.items():
            del self._keys[key]

    def fence(
        self, key: ScopedKey, partition: Partition, tasks: Iterable[TaskIndex], epoch: Epoch
    ) -> None:
        """Fence the tasks that have no record, as far as there is room."""
        for task in tasks:
            if self.find(key, task) is None and self.count < self._limits.fences:
                fence = StartRecord(TaskState.NOT_STARTED, epoch)
                self.put(key, partition, task, fence, self._clock.now_ms())

    def touch(self, key: ScopedKey) -> None:
        """Count the window of ``key`` from now."""
        records = self._keys.get(key)
        if records is not None:
            self._touch(records, self._clock.now_ms())

    def _touch(self, records: _Key, now_ms: float) -> None:
        if now_ms > records.mark_ms:
            records.mark_ms = self._mark(now_ms)

    def _mark(self, now_ms: float) -> float:
        """Return ``now_ms`` rounded up, as an object that all keys with this mark share."""
        mark_ms = math.ceil(now_ms / self._mark_step_ms) * self._mark_step_ms
        if mark_ms not in self._marks:
            self._marks[mark_ms] = []
            return mark_ms
        return next(known for known in reversed(self._marks) if known == mark_ms)

    def end(self, key: ScopedKey, record: StartRecord, state: TaskState, body: bytes) -> None:
        """Keep the result of a task, even beyond the bound, as it was promised room."""
        record.state, record.call, record.body = state, None, body
        self.result_bytes += record.result_bytes
        if self._keys[key].forgotten:
            self._forgotten.append(key)
        self._make_room()
        self.touch(key)

    def forget(self, key: ScopedKey) -> None:
        """Let the results of ``key`` go first when room is needed."""
        records = self._keys.get(key)
        if records is not None and not records.forgotten:
            records.forgotten = True
            self._forgotten.append(key)
        self.touch(key)

    def has_room(self) -> bool:
        """Return whether one more task may be recorded."""
        return self.count < self._limits.records and self._make_room()

    def _make_room(self) -> bool:
        """Drop results of forgotten keys, oldest first, while over the bound; return if under."""
        while self.result_bytes >= self._limits.result_bytes and self._forgotten:
            records = self._keys.get(self._forgotten.popleft())
            for task, record in records.items() if records is not None else ():
                if records is not None and record.result_bytes:
                    self.result_bytes -= record.result_bytes
                    records.set(task, _DROPPED[record.state])
        return self.result_bytes < self._limits.result_bytes

    def drop_old(self) -> None:
        """Drop keys whose window is over; keys that were touched since are looked at later."""
        now_ms = self._clock.now_ms()
        if now_ms < self._sweep_at_ms:
            return
        self._sweep_at_ms = now_ms + self._mark_step_ms / 4
        for mark_ms in [m for m in self._marks if m + self._limits.window_ms <= now_ms]:
            for key in self._marks.pop(mark_ms):
                self._drop(key, now_ms)
        while self._forgotten and self._forgotten[0] not in self._keys:
            self._forgotten.popleft()

    def _drop(self, key: ScopedKey, now_ms: float) -> None:
        """Drop ``key`` if its window is over, otherwise list it under its present mark."""
        records = self._keys.get(key)
        if records is None:
            return
        kept = records.items()
        if any(record.call is not None for _, record in kept):
            self._touch(records, now_ms)
        if records.mark_ms + self._limits.window_ms > now_ms:
            self._marks.setdefault(records.mark_ms, []).append(key)
            return
        del self._keys[key]
        self.count -= len(kept)
        self.result_bytes -= sum(record.result_bytes for _, record in kept)
