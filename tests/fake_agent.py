"""An agent of the simulation: the production task tracker and an upstream with random delays."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipewell.ids import AgentId, EntryId, Epoch, Incarnation, Partition, ScopedKey, TaskIndex
from snipewell.message import Cancel, Collect, Forget, Message, Query, Start, TaskState
from snipewell.tasktracker import (
    AbortCall,
    CallEnd,
    CallUpstream,
    Send,
    TaskTracker,
    TaskTrackerAction,
    TaskTrackerLimits,
)
from tests.history import Ended, Started

if TYPE_CHECKING:
    from tests.simulation import World

_STATES = {
    CallEnd.OK: TaskState.OK,
    CallEnd.FAILED: TaskState.FAILED,
    CallEnd.UNKNOWN: TaskState.UNKNOWN,
    CallEnd.ABORTED: TaskState.CANCELLED,
}


class UnfencedTaskTracker(TaskTracker):
    """A task tracker that accepts every epoch, to show that the checker detects missing fencing."""

    def _raise_fence(self, partition: Partition, epoch: Epoch) -> None:
        self._fences[partition] = Epoch(0)


class FakeAgent:
    """One agent and its upstream."""

    def __init__(self, world: World, name: AgentId) -> None:
        self.name = name
        self.alive = True
        self.paused_until_ms = 0.0
        self._world = world
        self._incarnation_count = 0
        self.restart()

    def restart(self) -> None:
        """Discard all records and start a new incarnation."""
        self._incarnation_count += 1
        self.incarnation = Incarnation(f"{self.name}.{self._incarnation_count}")
        limits = TaskTrackerLimits(slots=3, queue=1)
        self._task_tracker = TaskTracker(self.name, self.incarnation, self._world.clock, limits)

    def receive(self, entry: EntryId, message: Message) -> None:
        match message:
            case Start(incarnation=incarnation):
                if incarnation == self.incarnation:
                    self._apply(self._task_tracker.on_start(message, True))
            case Query():
                self._apply(self._task_tracker.on_query(entry, message))
            case Cancel():
                self._apply(self._task_tracker.on_cancel(message))
            case Collect():
                self._apply(self._task_tracker.on_collect(entry, message))
            case Forget():
                self._task_tracker.on_forget(message)
        self._apply(self._task_tracker.tick(True))

    def _apply(self, actions: list[TaskTrackerAction]) -> None:
        for action in actions:
            match action:
                case Send(entry=entry, message=message):
                    self._world.to_entry(self.name, entry, message)
                case CallUpstream():
                    self._call(action)
                case AbortCall(key=key, task=task):
                    self._end(key, task, self.incarnation, CallEnd.ABORTED)

    def _call(self, call: CallUpstream) -> None:
        world, rng = self._world, self._world.rng
        world.events.append(Started(world.now_ms(), call.key, call.task, self.name))
        end = CallEnd.OK
        if rng.random() < world.faults.upstream_failure_share:
            end = rng.choice((CallEnd.FAILED, CallEnd.UNKNOWN))
        incarnation = self.incarnation
        body = f"{call.payload.decode()}@{self.name}#{len(world.events)}".encode()
        world.after(
            rng.choice((10, 50, 200, 1_200)),
            lambda: self._end(call.key, call.task, incarnation, end, body),
        )

    def _end(
        self,
        key: ScopedKey,
        task: TaskIndex,
        incarnation: Incarnation,
        end: CallEnd,
        body: bytes = b"",
    ) -> None:
        left_ms = self.paused_until_ms - self._world.now_ms()
        if left_ms > 0:
            self._world.after(left_ms, lambda: self._end(key, task, incarnation, end, body))
            return
        if incarnation != self.incarnation or (key, task) not in self._task_tracker.running:
            return
        result_body = body if end is CallEnd.OK else b""
        now_ms, state = self._world.now_ms(), _STATES[end]
        self._world.events.append(Ended(now_ms, key, task, self.name, state, result_body))
        self._apply(self._task_tracker.on_upstream_end(key, task, end, True, result_body))
