"""Tasks that this entry has granted and whose end has not been reported."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from .effect import TaskReady
from .ids import AgentId, RackId, ScopedKey, TaskIndex, TeamName

_LOST_AFTER_MS = 5_000.0

Place = tuple[ScopedKey, TaskIndex]


@dataclass(slots=True)
class Granted:
    """One granted task. Times are in milliseconds.

    ``charged_ms`` is what its flow was charged; at the age ``overdue_ms`` it counts as overdue.
    """

    ready: TaskReady
    agent: AgentId
    rack: RackId
    arrived_ms: float
    charged_ms: float
    granted_ms: float
    overdue_ms: float


class GrantedTasks:
    """The granted tasks, with counts by team, and by rack for each job."""

    def __init__(self) -> None:
        self._tasks: dict[Place, Granted] = {}
        self._teams: Counter[TeamName] = Counter()
        self._racks: dict[ScopedKey, Counter[RackId]] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def add(self, granted: Granted) -> None:
        """Take in a grant."""
        ready = granted.ready
        self._tasks[ready.key, ready.task] = granted
        self._teams[ready.team] += 1
        if ready.job_size > 1:
            self._racks.setdefault(ready.key, Counter())[granted.rack] += 1

    def end(self, key: ScopedKey, task: TaskIndex) -> Granted | None:
        """Remove a task and return it, or None if it is not known."""
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
        """Return the agent that a task is granted to, None if it is not known."""
        granted = self._tasks.get((key, task))
        return None if granted is None else granted.agent

    def count_of(self, team: TeamName) -> int:
        """Return how many tasks of ``team`` are granted."""
        return self._teams[team]

    def rack_shares(self, key: ScopedKey) -> Mapping[RackId, float]:
        """Return the share of the job's granted tasks on each rack that has some."""
        racks = self._racks.get(key)
        if not racks:
            return {}
        total = racks.total()
        return {rack: count / total for rack, count in racks.items()}

    def on_agent(self, agent: AgentId) -> list[Place]:
        """Return the tasks granted to ``agent``."""
        return [place for place, granted in self._tasks.items() if granted.agent == agent]

    def find_lost(self, now_ms: float) -> list[Place]:
        """Return the tasks whose end should have been reported some time ago."""
        return [
            place
            for place, granted in self._tasks.items()
            if now_ms >= granted.ready.deadline_at_ms + _LOST_AFTER_MS
        ]

    def find_overdue(self, now_ms: float) -> dict[AgentId, list[Granted]]:
        """Return the tasks that run for much longer than expected, by agent."""
        overdue: dict[AgentId, list[Granted]] = {}
        for granted in self._tasks.values():
            if now_ms - granted.granted_ms >= granted.overdue_ms:
                overdue.setdefault(granted.agent, []).append(granted)
        return overdue
