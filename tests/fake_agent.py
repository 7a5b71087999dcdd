"""A stand-in for an agent: slots, a fence for each partition, and records of its starts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipewell.ids import AgentId, EntryId, Epoch, Incarnation, ScopedKey, TaskIndex
from snipewell.message import (
    Cancel,
    Collect,
    Collected,
    Forget,
    Load,
    Message,
    Query,
    QueryReply,
    RefusalReason,
    Refused,
    Result,
    Start,
    TaskRecord,
    TaskState,
)
from tests.history import Ended, Granted, Started

if TYPE_CHECKING:
    from tests.simulation import World

Task = tuple[ScopedKey, TaskIndex]


class FakeAgent:
    """An agent that answers as the design asks, at the speed of its upstream."""

    def __init__(self, world: World, name: AgentId) -> None:
        self.name = name
        self.alive = True
        self.paused_until_ms = 0.0
        self._world = world
        self._lives = 0
        self.restart()

    def restart(self) -> None:
        """Lose all records and begin another life."""
        self._lives += 1
        self.incarnation = Incarnation(f"{self.name}.{self._lives}")
        self._records: dict[Task, TaskRecord] = {}
        self._refused: set[tuple[ScopedKey, TaskIndex, int]] = set()
        self._fences: dict[int, Epoch] = {}

    def receive(self, entry: EntryId, message: Message) -> None:
        match message:
            case Start():
                self._on_start(entry, message)
            case Query():
                self._on_query(entry, message)
            case Cancel():
                for task in message.tasks:
                    self._on_cancel(entry, message.key, task)
            case Collect():
                self._on_collect(entry, message)
            case Forget():
                for key, task in list(self._records):
                    if key in message.keys and self._records[key, task].state is TaskState.OK:
                        self._records[key, task] = TaskRecord(key, task, TaskState.OK)

    def _on_start(self, entry: EntryId, start: Start) -> None:
        if start.incarnation != self.incarnation:
            return
        task = (start.key, start.task)
        fence = self._fences.get(start.partition, Epoch(0))
        record = self._records.get(task)
        reason = None
        if start.epoch < fence and self._world.agent_fence:
            reason = RefusalReason.STALE_EPOCH
        elif record is not None and record.state is TaskState.NOT_STARTED:
            reason = RefusalReason.CANCELLED
        elif record is not None:
            self._report(entry, record)
            return
        elif (*task, start.attempt) in self._refused or self._busy() >= 3:
            reason = RefusalReason.BUSY
        self._fences[start.partition] = fence = max(fence, start.epoch)
        if reason is not None:
            self._refused.add((*task, start.attempt))
            refused = Refused(start.key, start.task, reason, fence, Load(), start.attempt)
            self._world.to_entry(self.name, entry, refused)
            return
        self._run(entry, start)

    def _busy(self) -> int:
        return sum(record.state is TaskState.RUNNING for record in self._records.values())

    def _run(self, entry: EntryId, start: Start) -> None:
        now_ms, rng = self._world.now_ms(), self._world.rng
        granted = Granted(now_ms, start.key, start.task, self.name, start.entry, start.epoch)
        started = Started(now_ms, start.key, start.task, self.name)
        self._world.events += [granted, started]
        self._records[start.key, start.task] = TaskRecord(start.key, start.task, TaskState.RUNNING)
        state = TaskState.OK
        if rng.random() < self._world.faults.upstream:
            state = rng.choice((TaskState.FAILED, TaskState.UNKNOWN))
        body = f"{start.payload.decode()}@{self.name}#{len(self._world.events)}".encode()
        life = self.incarnation
        self._world.after(
            rng.choice((10, 50, 200, 1_200)),
            lambda: self._finish(entry, (start.key, start.task), life, state, body),
        )

    def _finish(self, entry: EntryId, task: Task, life: str, state: TaskState, body: bytes) -> None:
        left_ms = self.paused_until_ms - self._world.now_ms()
        if left_ms > 0:
            self._world.after(left_ms, lambda: self._finish(entry, task, life, state, body))
            return
        if life != self.incarnation or self._records[task].state is not TaskState.RUNNING:
            return
        kept = body if state is TaskState.OK else b""
        self._end(entry, TaskRecord(*task, state, kept, "", True))

    def _end(self, entry: EntryId, record: TaskRecord) -> None:
        self._records[record.key, record.task] = record
        now_ms = self._world.now_ms()
        self._world.events.append(
            Ended(now_ms, record.key, record.task, self.name, record.state, record.body)
        )
        self._report(entry, record)

    def _report(self, entry: EntryId, record: TaskRecord) -> None:
        if record.state is TaskState.RUNNING:
            return
        if record.state is TaskState.OK and not record.body_kept:
            return
        result = Result(record.key, record.task, record.state, record.body, "", 1.0, Load())
        self._world.to_entry(self.name, entry, result)

    def _on_query(self, entry: EntryId, query: Query) -> None:
        records = []
        for index in query.tasks:
            task = (query.key, index)
            missing = TaskRecord(*task, TaskState.NOT_STARTED)
            records.append(self._records.setdefault(task, missing))
        reply = QueryReply(query.key, self.name, self.incarnation, records)
        self._world.to_entry(self.name, entry, reply)

    def _on_cancel(self, entry: EntryId, key: ScopedKey, index: TaskIndex) -> None:
        task = (key, index)
        record = self._records.setdefault(task, TaskRecord(*task, TaskState.NOT_STARTED))
        if record.state is TaskState.RUNNING:
            self._end(entry, TaskRecord(*task, TaskState.CANCELLED))

    def _on_collect(self, entry: EntryId, collect: Collect) -> None:
        fence = self._fences.get(collect.partition, Epoch(0))
        if collect.epoch < fence and self._world.agent_fence:
            return
        self._fences[collect.partition] = max(fence, collect.epoch)
        records = [
            record
            for (key, _), record in self._records.items()
            if self._world.is_of(key, collect) and record.state is not TaskState.NOT_STARTED
        ]
        collected = Collected(
            collect.partition, collect.epoch, self.name, self.incarnation, records
        )
        self._world.to_entry(self.name, entry, collected)
