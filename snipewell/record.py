"""The agent's records of starts and results by key and task, bounded in count and bytes.

Records live for the resubmission window after the last task of their key ended, and no record is
dropped earlier. When there is no room, the ledger refuses new starts; only the result bodies of
forgotten keys are dropped.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from .clock import Clock
from .ids import EntryId, Epoch, Partition, ScopedKey, TaskIndex
from .message import Start, TaskRecord, TaskState


@dataclass(frozen=True, slots=True)
class RecordLimits:
    """Bounds: ``records`` counts tasks and task fences, ``result_bytes`` the bodies kept."""

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


@dataclass(slots=True)
class _Key:
    """The records of one key. ``touched_ms`` is the time from which the window counts."""

    partition: Partition
    touched_ms: float
    forgotten: bool = False
    tasks: dict[TaskIndex, StartRecord] = field(default_factory=dict)


class Records:
    """All records of one agent."""

    def __init__(self, clock: Clock, limits: RecordLimits) -> None:
        self.count = 0
        """Records and task fences kept."""
        self.body_bytes = 0
        """Bytes of the result bodies kept."""
        self._clock = clock
        self._limits = limits
        self._keys: dict[ScopedKey, _Key] = {}
        self._forgotten: deque[ScopedKey] = deque()
        self._expiries: deque[tuple[float, ScopedKey]] = deque()

    def find(self, key: ScopedKey, task: TaskIndex) -> StartRecord | None:
        """Return the record or fence of a task, or None."""
        records = self._keys.get(key)
        return records.tasks.get(task) if records is not None else None

    def of_partition(
        self, partition: Partition
    ) -> Iterator[tuple[ScopedKey, TaskIndex, StartRecord]]:
        """Iterate over the start records of a partition, without fences."""
        for key, records in self._keys.items():
            if records.partition == partition:
                for task, record in records.tasks.items():
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
            records = self._keys[key] = _Key(partition, until_ms)
            self._expiries.append((until_ms + self._limits.window_ms, key))
        records.touched_ms = max(records.touched_ms, until_ms)
        if task not in records.tasks:
            self.count += 1
        records.tasks[task] = record

    def remove(self, key: ScopedKey, task: TaskIndex) -> None:
        """Drop the record of a task that did not start."""
        records = self._keys[key]
        del records.tasks[task]
        self.count -= 1
        if not records.tasks:
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
            records.touched_ms = max(records.touched_ms, self._clock.now_ms())

    def keep_body(self, key: ScopedKey, record: StartRecord, body: bytes) -> None:
        """Keep the result of a task, even beyond the bound, as it was promised room."""
        record.body = body
        self.body_bytes += len(body)
        if self._keys[key].forgotten:
            self._forgotten.append(key)
        self._make_room()
        self.touch(key)

    def forget(self, key: ScopedKey) -> None:
        """Let the result bodies of ``key`` go first when room is needed."""
        records = self._keys.get(key)
        if records is not None and not records.forgotten:
            records.forgotten = True
            self._forgotten.append(key)
        self.touch(key)

    def has_room(self) -> bool:
        """Return whether one more task may be recorded."""
        return self.count < self._limits.records and self._make_room()

    def _make_room(self) -> bool:
        """Drop bodies of forgotten keys, oldest first, while over the bound; return if under it."""
        while self.body_bytes >= self._limits.result_bytes and self._forgotten:
            records = self._keys.get(self._forgotten.popleft())
            for record in records.tasks.values() if records is not None else ():
                if record.body:
                    self.body_bytes -= len(record.body)
                    record.body = None
        return self.body_bytes < self._limits.result_bytes

    def drop_old(self) -> None:
        """Drop keys whose window is over; keys that were touched since are looked at later."""
        now_ms = self._clock.now_ms()
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, key = self._expiries.popleft()
            records = self._keys.get(key)
            if records is None:
                continue
            expiry_ms = records.touched_ms + self._limits.window_ms
            if any(record.call is not None for record in records.tasks.values()):
                expiry_ms = now_ms + self._limits.window_ms
            if expiry_ms > now_ms:
                self._expiries.append((expiry_ms, key))
                continue
            del self._keys[key]
            self.count -= len(records.tasks)
            self.body_bytes -= sum(len(record.body or b"") for record in records.tasks.values())
        while self._forgotten and self._forgotten[0] not in self._keys:
            self._forgotten.popleft()
