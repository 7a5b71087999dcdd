"""Records of the crashes of upstreams, without any I/O.

The agent announces each crash of its upstream, with the tasks that ran there. An entry counts the
crashes of each task, also of tasks that it doesn't own: it may get their job later.
"""

from __future__ import annotations

from collections import OrderedDict, deque

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
"""Number of crashes of upstreams under one task at which its job fails."""


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


class CrashCounts:
    """Number of crashes of upstreams under each task, as announced by the agents."""

    def __init__(self) -> None:
        self._times: OrderedDict[str, dict[str, float]] = OrderedDict()
        """Time of each announced crash by its id, by task name; the latest task is last."""

    def add(self, crash: UpstreamCrash, now_ms: float) -> list[str]:
        """Count a crash and return its tasks; one that was counted before changes nothing."""
        added = []
        for task in crash.tasks:
            times = self._times.setdefault(task, {})
            if crash.crash not in times:
                times[crash.crash] = now_ms
                self._times.move_to_end(task)
                added.append(task)
        while len(self._times) > MAX_COUNTED_TASKS:
            self._times.popitem(last=False)
        return added

    def count(self, task: str, now_ms: float) -> int:
        """Return the number of crashes under ``task`` in the last `CRASH_RETENTION_MS`."""
        times = self._times.get(task, {}).values()
        return sum(now_ms - at_ms < CRASH_RETENTION_MS for at_ms in times)

    def is_exhausted(self, task: str, now_ms: float) -> bool:
        """Return whether ``task`` should not be started again."""
        return self.count(task, now_ms) >= MAX_CRASHES
