"""Records of the crashes of upstreams, without any I/O.

The agent announces each crash of its upstream, with the tasks that ran there. An entry counts the
crashes of each task, also of tasks that it doesn't own: it may get their job later.

Tasks that merely ran beside the one that caused a crash are counted too. A task with a crash is a
suspect, and suspects are kept apart for a while: the next crash tells which is the cause. Its
crashes then don't count against the others.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

from .runmessage import UpstreamCrash

CRASH_RETENTION_MS = 30_000.0
"""Time for which a crash is announced in new sessions and counted; as long as entries keep the
answers of ended jobs."""
MAX_ANNOUNCED_CRASHES = 20
"""Maximum number of crashes that an agent announces in a new session. An upstream needs seconds to
restart, so it rarely crashes more often within the retention time."""
MAX_COUNTED_TASKS = 10_000
"""Maximum number of tasks whose crashes an entry counts."""
MAX_CRASHES = 3
"""Number of crashes under one task at which its job fails."""
MAX_CRASHES_ALONE = 2
"""The same limit for a task that was the only suspect at one of the crashes."""
MAX_CRASHES_IN_ALL = 5
"""The same limit if crashes count that are attributed to another task, or at which it isn't known
whether the task was running."""


class RecentCrashes:
    """The latest crashes of the upstream of one agent."""

    def __init__(self) -> None:
        self._crashes: deque[tuple[float, UpstreamCrash]] = deque(maxlen=MAX_ANNOUNCED_CRASHES)

    def add(self, crash: UpstreamCrash, now_ms: float) -> None:
        """Record a crash."""
        self._crashes.append((now_ms, crash))

    def list_recent(self, now_ms: float) -> list[UpstreamCrash]:
        """Return the crashes of the last `CRASH_RETENTION_MS`."""
        return [crash for at_ms, crash in self._crashes if now_ms - at_ms < CRASH_RETENTION_MS]


@dataclass(frozen=True, slots=True)
class _CountedCrash:
    """A crash under a task.

    ``alone`` is true if the task was the only suspect there, ``confirmed`` if it certainly ran.
    """

    at_ms: float
    alone: bool
    confirmed: bool


class CrashCounts:
    """Number of crashes of upstreams under each task, as announced by the agents."""

    def __init__(self) -> None:
        self._by_task: OrderedDict[str, dict[str, _CountedCrash]] = OrderedDict()
        """Announced crashes by their ids, by task name; the task of the latest crash is last."""
        self._causes: OrderedDict[str, str] = OrderedDict()
        """Name of the task to which a crash is attributed, by the id of the crash."""

    def add(self, crash: UpstreamCrash, now_ms: float) -> list[str]:
        """Count a crash and return its tasks; one that was counted before changes nothing."""
        added = []
        confirmed = set(crash.tasks)
        for task in [*crash.tasks, *crash.unconfirmed]:
            counted = self._by_task.setdefault(task, {})
            if crash.crash not in counted:
                alone = crash.suspects == [task]
                counted[crash.crash] = _CountedCrash(now_ms, alone, task in confirmed)
                self._by_task.move_to_end(task)
                added.append(task)
        for task in crash.suspects:
            if self._is_cause(task, now_ms):
                self._attribute(task)
        while len(self._by_task) > MAX_COUNTED_TASKS:
            self._by_task.popitem(last=False)
        return added

    def _attribute(self, task: str) -> None:
        for crash, counted in self._by_task[task].items():
            if counted.confirmed:
                self._causes.setdefault(crash, task)
        while len(self._causes) > MAX_COUNTED_TASKS:
            self._causes.popitem(last=False)

    def _list_recent(self, task: str, now_ms: float) -> list[_CountedCrash]:
        crashes = self._by_task.get(task)
        if not crashes:
            return []
        return [each for each in crashes.values() if now_ms - each.at_ms < CRASH_RETENTION_MS]

    def _list_attributable(self, task: str, now_ms: float) -> list[_CountedCrash]:
        """Return the recent crashes under ``task`` that aren't attributed to another task."""
        crashes = self._by_task.get(task)
        if not crashes:
            return []
        return [
            each
            for crash, each in crashes.items()
            if now_ms - each.at_ms < CRASH_RETENTION_MS and self._causes.get(crash, task) == task
        ]

    def count(self, task: str, now_ms: float) -> int:
        """Return the number of crashes under ``task`` in the last `CRASH_RETENTION_MS`.

        Crashes that are attributed to another task don't count.
        """
        return len(self._list_attributable(task, now_ms))

    def _is_cause(self, task: str, now_ms: float) -> bool:
        """Return whether enough crashes under ``task`` are explained by no other task."""
        crashes = [each for each in self._list_attributable(task, now_ms) if each.confirmed]
        alone = any(each.alone for each in crashes)
        return len(crashes) >= (MAX_CRASHES_ALONE if alone else MAX_CRASHES)

    def is_exhausted(self, task: str, now_ms: float) -> bool:
        """Return whether ``task`` should not be started again."""
        in_all = len(self._list_recent(task, now_ms))
        return self._is_cause(task, now_ms) or in_all >= MAX_CRASHES_IN_ALL
