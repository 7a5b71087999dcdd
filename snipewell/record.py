"""An agent's records of starts and results by key and task, bounded in count and bytes.

Records are retained for the resubmission window, counted from the last end, query or `Forget` of
their key. None is dropped earlier, except that of a task that was refused unstarted, because a
resubmitted task without a record would run again. At the bound the agent refuses new starts; to
make room it drops only result bodies of keys that a `Forget` named.

A tombstone is a record that marks a task as never to be started here.
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
"""Counted for each ended task whose result is kept, in addition to its body and reason."""
_MARKS_PER_WINDOW = 64
"""Marks per window. A mark is a bucket of keys for expiry: the begin of a key's window is rounded
up to a mark, and expiry checks only the marks that are due."""


@dataclass(frozen=True, slots=True)
class RecordLimits:
    """Bounds of an agent's records.

    ``records`` counts accepted tasks and tombstones, ``result_bytes`` is the size of the results
    kept, and ``window_ms`` is the resubmission window.
    """

    records: int = 50_000
    result_bytes: int = 8 * 1024 * 1024
    window_ms: float = 600_000

    @property
    def records_with_tombstones(self) -> int:
        """Bound on all records at which no tombstone is added, a tenth above that for starts.

        Tombstones can thus still be added while starts are refused at ``records``.
        """
        return self.records + self.records // 10


@dataclass(slots=True)
class ActiveTask:
    """State that is needed only while a task is queued or running.

    ``entry`` is the leader to which the result is sent, and ``attempt`` its number of the grant. A
    leader that replaced another has granted nothing itself, so its attempts count from 0.
    """

    start: Start
    entry: EntryId
    attempt: int
    deadline_at_ms: float
    started_ms: float = 0.0
    cancelled: bool = False


@dataclass(slots=True)
class StartRecord:
    """Record of one task.

    ``body`` is None if the result was dropped; ``active`` is None once the task ended. A record
    in the state NOT_STARTED is a tombstone.
    """

    state: TaskState
    epoch: Epoch
    body: bytes | None = b""
    reason: str = ""
    active: ActiveTask | None = None

    @property
    def is_tombstone(self) -> bool:
        """True if the task never started here and must not be started later."""
        return self.state is TaskState.NOT_STARTED

    def report(self, key: ScopedKey, task: TaskIndex) -> TaskRecord:
        """Return the record in the form in which it is sent to a leader."""
        if self.body is None:
            return TaskRecord(key, task, self.state, reason="the result body was dropped")
        kept = self.state is TaskState.OK
        return TaskRecord(key, task, self.state, self.body, self.reason, kept)

    @property
    def result_bytes(self) -> int:
        """Size of the result with its overhead; 0 if the task has not ended or its body is gone."""
        if self.active is not None or self.body is None or self.is_tombstone:
            return 0
        return _RESULT_OVERHEAD_BYTES + len(self.body) + len(self.reason)


_DROPPED = {
    state: StartRecord(state, Epoch(0), None)
    for state in (TaskState.OK, TaskState.FAILED, TaskState.UNKNOWN, TaskState.CANCELLED)
}
"""Records of ended tasks whose results were dropped; shared by all keys, so never modified."""


class _KeyRecords:
    """Records of one key, whose window begins at ``mark_ms``.

    ``forgotten`` is True if the results may be dropped; the records themselves are kept. The first
    record is stored without a dict, because most keys have only one task and a dict with one
    record takes 184 bytes.
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
    """All records of one agent.

    Keys are listed by mark, the time at which their window begins, rounded up. Expiry checks
    only the lists that are due.
    """

    def __init__(self, clock: Clock, limits: RecordLimits) -> None:
        self.count = 0
        """Number of records, tombstones included."""
        self.result_bytes = 0
        """Total size of the results kept, with an overhead for each."""
        self._clock = clock
        self._limits = limits
        self._mark_interval_ms = limits.window_ms / _MARKS_PER_WINDOW
        self._keys: dict[ScopedKey, _KeyRecords] = {}
        self._forgotten: deque[ScopedKey] = deque()
        self._keys_by_mark: dict[float, list[ScopedKey]] = {}
        self._next_sweep_ms = 0.0

    def find(self, key: ScopedKey, task: TaskIndex) -> StartRecord | None:
        """Return the record of a task, which may be a tombstone, or None."""
        records = self._keys.get(key)
        return records.get(task) if records is not None else None

    def of_partition(
        self, partition: Partition
    ) -> Iterator[tuple[ScopedKey, TaskIndex, StartRecord]]:
        """Iterate over the records of a partition, without tombstones."""
        for key, records in self._keys.items():
            if records.partition == partition:
                for task, record in records.items():
                    if not record.is_tombstone:
                        yield key, task, record

    def put(
        self,
        key: ScopedKey,
        partition: Partition,
        task: TaskIndex,
        record: StartRecord,
        until_ms: float,
    ) -> None:
        """Store ``record``; the window of its key begins at ``until_ms`` or later."""
        records = self._keys.get(key)
        if records is None:
            mark_ms = self._mark_for(until_ms)
            records = self._keys[key] = _KeyRecords(partition, mark_ms)
            self._keys_by_mark[mark_ms].append(key)
        else:
            self._touch(records, until_ms)
        if records.get(task) is None:
            self.count += 1
        records.set(task, record)

    def remove(self, key: ScopedKey, task: TaskIndex) -> None:
        """Remove the record of a task that did not start."""
        records = self._keys[key]
        records.remove(task)
        self.count -= 1
        if not records.items():
            del self._keys[key]

    def add_tombstones(
        self, key: ScopedKey, partition: Partition, tasks: Iterable[TaskIndex], epoch: Epoch
    ) -> None:
        """Add tombstones for the tasks that have no record, up to the bound."""
        for task in tasks:
            if self.find(key, task) is None and self.count < self._limits.records_with_tombstones:
                tombstone = StartRecord(TaskState.NOT_STARTED, epoch)
                self.put(key, partition, task, tombstone, self._clock.now_ms())

    def touch(self, key: ScopedKey) -> None:
        """Restart the window of ``key`` from now."""
        records = self._keys.get(key)
        if records is not None:
            self._touch(records, self._clock.now_ms())

    def _touch(self, records: _KeyRecords, now_ms: float) -> None:
        if now_ms > records.mark_ms:
            records.mark_ms = self._mark_for(now_ms)

    def _mark_for(self, now_ms: float) -> float:
        """Return the mark of ``now_ms``, which is the time rounded up.

        Equal marks are one shared float object, which saves memory for each key.
        """
        mark_ms = math.ceil(now_ms / self._mark_interval_ms) * self._mark_interval_ms
        if mark_ms not in self._keys_by_mark:
            self._keys_by_mark[mark_ms] = []
            return mark_ms
        return next(known for known in reversed(self._keys_by_mark) if known == mark_ms)

    def end(self, key: ScopedKey, record: StartRecord, state: TaskState, body: bytes) -> None:
        """Store the result of a task, even beyond the bound, as its start was guaranteed space."""
        record.state, record.active, record.body = state, None, body
        self.result_bytes += record.result_bytes
        if self._keys[key].forgotten:
            self._forgotten.append(key)
        self._evict_results()
        self.touch(key)

    def forget(self, key: ScopedKey) -> None:
        """Allow the results of ``key`` to be dropped when room is needed."""
        records = self._keys.get(key)
        if records is not None and not records.forgotten:
            records.forgotten = True
            self._forgotten.append(key)
        self.touch(key)

    def has_room(self) -> bool:
        """Return whether one more task may start; drops results of forgotten keys for it."""
        return self.count < self._limits.records and self._evict_results()

    def _evict_results(self) -> bool:
        """Drop results of forgotten keys, oldest first, while at the bound; return if below it."""
        while self.result_bytes >= self._limits.result_bytes and self._forgotten:
            records = self._keys.get(self._forgotten.popleft())
            for task, record in records.items() if records is not None else ():
                if records is not None and record.result_bytes:
                    self.result_bytes -= record.result_bytes
                    records.set(task, _DROPPED[record.state])
        return self.result_bytes < self._limits.result_bytes

    def drop_expired(self) -> None:
        """Drop keys whose window is over; keys that were touched since are checked again later."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_sweep_ms:
            return
        self._next_sweep_ms = now_ms + self._mark_interval_ms / 4
        for mark_ms in [m for m in self._keys_by_mark if m + self._limits.window_ms <= now_ms]:
            for key in self._keys_by_mark.pop(mark_ms):
                self._drop_if_expired(key, now_ms)
        while self._forgotten and self._forgotten[0] not in self._keys:
            self._forgotten.popleft()

    def _drop_if_expired(self, key: ScopedKey, now_ms: float) -> None:
        """Drop ``key`` if its window is over, otherwise list it under its current mark.

        The window of a key with an unfinished task is restarted.
        """
        records = self._keys.get(key)
        if records is None:
            return
        kept = records.items()
        if any(record.active is not None for _, record in kept):
            self._touch(records, now_ms)
        if records.mark_ms + self._limits.window_ms > now_ms:
            self._keys_by_mark.setdefault(records.mark_ms, []).append(key)
            return
        del self._keys[key]
        self.count -= len(kept)
        self.result_bytes -= sum(record.result_bytes for _, record in kept)
