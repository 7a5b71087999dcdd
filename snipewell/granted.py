"""Tasks granted by this entry whose end has not been reported yet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from .effect import TaskReady
from .ids import AgentId, RackId, ScopedKey, TaskIndex, TeamName

_LOST_AFTER_MS = 5_000.0
"""Time after its deadline at which a task without a reported end counts as lost."""

TaskId = tuple[ScopedKey, TaskIndex]


@dataclass(slots=True)
class GrantedTask:
    """Task granted to an agent; times are in milliseconds.

    ``charged_ms`` is the service time charged to its flow in the fair queue. The task counts as
    overdue once it was granted ``overdue_ms`` ago.
    """

    ready: TaskReady
    agent: AgentId
    rack: RackId
    arrived_ms: float
    charged_ms: float
    granted_ms: float
    overdue_ms: float


class GrantedTasks:
    """Granted tasks, with their number per client account and, for each job, per rack."""

    def __init__(self) -> None:
        self._tasks: dict[TaskId, GrantedTask] = {}
        self._teams: Counter[TeamName] = Counter()
        self._racks: dict[ScopedKey, Counter[RackId]] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def add(self, granted: GrantedTask) -> None:
        """Add a granted task."""
        ready = granted.ready
        self._tasks[ready.key, ready.task] = granted
        self._teams[ready.team] += 1
        if ready.job_size > 1:
            self._racks.setdefault(ready.key, Counter())[granted.rack] += 1

    def end(self, key: ScopedKey, task: TaskIndex) -> GrantedTask | None:
        """Remove a task and return it, or None if it is not among the granted ones."""
        granted = self._tasks.pop((key, task), None)
        if granted is None:
            return None
        self._teams[granted.ready.team] -= 1
        racks = self._racks.get(key)
        if racks is not None:
            racks[granted.rack] -= 1
            if not racks.total():
                del self._racks[key]
        return granted

    def agent_of(self, key: ScopedKey, task: TaskIndex) -> AgentId | None:
        """Return the agent to which a task is granted, or None."""
        granted = self._tasks.get((key, task))
        return None if granted is None else granted.agent

    def count_of(self, team: TeamName) -> int:
        """Return the number of granted tasks of a client account."""
        return self._teams[team]

    def rack_shares(self, key: ScopedKey) -> Mapping[RackId, float]:
        """Return the share of a job's granted tasks on each rack that has any."""
        racks = self._racks.get(key)
        if not racks:
            return {}
        total = racks.total()
        return {rack: count / total for rack, count in racks.items()}

    def on_agent(self, agent: AgentId) -> list[TaskId]:
        """Return the tasks granted to ``agent``."""
        return [task_id for task_id, granted in self._tasks.items() if granted.agent == agent]

    def find_lost(self, now_ms: float) -> list[TaskId]:
        """Return the tasks whose end was not reported within a margin after their deadline."""
        return [
            task_id
            for task_id, granted in self._tasks.items()
            if now_ms >= granted.ready.deadline_at_ms + _LOST_AFTER_MS
        ]

    def find_overdue(self, now_ms: float) -> dict[AgentId, list[GrantedTask]]:
        """Return the overdue tasks, which run for much longer than expected, by agent."""
        overdue: dict[AgentId, list[GrantedTask]] = {}
        for granted in self._tasks.values():
            if now_ms - granted.granted_ms >= granted.overdue_ms:
                overdue.setdefault(granted.agent, []).append(granted)
        return overdue
