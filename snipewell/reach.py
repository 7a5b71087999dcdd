"""Decisions on how many agents an entry reaches, without any I/O.

An agent has sessions with a few entries only (`subset`). An entry whose sessions don't have the
capacity for its waiting work announces itself as wide, and agents open further sessions with wide
entries. A session decides only who may ask an agent for starts.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from .agentview import AgentView
from .jobstate import Task
from .subset import MAX_SESSIONS, SUBSET_SIZE, rank_entries

SHORTAGE_MS = 300.0
"""Time of shortage after which an entry becomes wide: that after which it refuses jobs for lack of
capacity (`MIN_SATURATION_MS`). Shorter ones also occur when jobs happen to arrive together."""
QUIET_MS = 10_000.0
"""Time without shortage after which an entry is no longer wide: longer than the bursts of demand,
which last a few seconds."""
MAX_QUIET_MS = 160_000.0
"""Upper bound of that time, which doubles each time an entry becomes wide again soon after."""
MIN_WRITE_INTERVAL_MS = 3_000.0
"""Shortest interval between two changes, each of which is a write to the store and an update for
all agents."""
MAX_WIDE_SHARE = 0.5
"""Share of the entries above which wide ones show a shortage of the whole fleet. Further sessions
would find no capacity then."""


@dataclass(frozen=True, slots=True)
class Shortage:
    """What a placement round has left waiting.

    ``missed`` is the number of waiting jobs that can't start by their latest start because the free
    CPU of the usable upstreams is less than they need. The other fields are set only if there are
    any: the waiting work in core-milliseconds, that free CPU, and the most sessions that an agent
    of a usable upstream has reported.
    """

    missed: int = 0
    waiting_work: float = 0.0
    room_cpu_milli: int = 0
    entries: int = 0

    def plus(self, other: Shortage) -> Shortage:
        """Return the shortage of two services together."""
        return Shortage(
            self.missed + other.missed,
            self.waiting_work + other.waiting_work,
            self.room_cpu_milli + other.room_cpu_milli,
            max(self.entries, other.entries),
        )


NO_SHORTAGE = Shortage()


def measure_shortage(
    late: Collection[str], jobs: Mapping[str, Sequence[Task]], views: Collection[AgentView]
) -> Shortage:
    """Return the shortage of one service after a placement round.

    The jobs ``late`` can't start by their latest start; they count as missed while a task of theirs
    waits. ``views`` holds the sessions with the usable upstreams.
    """
    missed = [[task for task in jobs[name] if task.view is None] for name in late]
    needed = sum(task.resources.cpu_milli for tasks in missed for task in tasks)
    if not needed:
        return NO_SHORTAGE
    room = sum(max(0, view.available().cpu_milli) for view in views)
    if room >= needed:
        # They wait for a label, or to run apart from others, which more sessions wouldn't change.
        return NO_SHORTAGE
    waiting = [task for tasks in jobs.values() for task in tasks if task.view is None]
    work = sum(
        task.job.spec.steps[task.step].estimate_ms * task.resources.cpu_milli / 1000
        for task in waiting
    )
    entries = max((view.report.entries for view in views), default=0)
    return Shortage(sum(bool(tasks) for tasks in missed), work, room, entries)


@dataclass(frozen=True, slots=True)
class Widen:
    """The entry becomes wide, after ``short_ms`` of shortage."""

    shortage: Shortage
    short_ms: float


@dataclass(frozen=True, slots=True)
class Narrow:
    """The entry is no longer wide, after ``quiet_ms`` without shortage."""

    quiet_ms: float


class ReachDecision:
    """Decides whether an entry is wide.

    A shortage lasts as long as work waits without interruption and no `SHORTAGE_MS` pass without a
    job that misses its latest start. Such jobs are refused after a while, so not every round has
    one.
    """

    def __init__(self) -> None:
        self.is_wide = False
        self._short_since_ms: float | None = None
        self._last_missed_ms = float("-inf")
        self._changed_ms = float("-inf")
        self._quiet_limit_ms = QUIET_MS

    def reset(self) -> None:
        """Forget the shortage so far, because the process was suspended."""
        self._short_since_ms = None

    def update(self, shortage: Shortage, is_waiting: bool, now_ms: float) -> Widen | Narrow | None:
        """Return the change that follows from the last placement round, if there is one.

        ``is_waiting`` tells whether any task waits after it.
        """
        if not is_waiting or now_ms - self._last_missed_ms >= SHORTAGE_MS:
            self._short_since_ms = None
        # With fewer entries than places in a subset, all agents have a session with this one.
        is_short = is_waiting and shortage.missed > 0 and shortage.entries >= SUBSET_SIZE
        if is_short:
            self._last_missed_ms = now_ms
            if self._short_since_ms is None:
                self._short_since_ms = now_ms
        if now_ms - self._changed_ms < MIN_WRITE_INTERVAL_MS:
            return None
        if not self.is_wide and is_short and self._short_since_ms is not None:
            short_ms = now_ms - self._short_since_ms
            if short_ms >= SHORTAGE_MS:
                # A lasting imbalance is quiet only while the entry is wide.
                recurs = now_ms - self._changed_ms < QUIET_MS
                doubled_ms = min(2 * self._quiet_limit_ms, MAX_QUIET_MS)
                self._quiet_limit_ms = doubled_ms if recurs else QUIET_MS
                self.is_wide, self._changed_ms = True, now_ms
                return Widen(shortage, short_ms)
        quiet_ms = now_ms - self._last_missed_ms
        if self.is_wide and quiet_ms >= self._quiet_limit_ms:
            self.is_wide, self._changed_ms = False, now_ms
            return Narrow(quiet_ms)
        return None


def select_wide(
    agent: str,
    subset: Collection[str],
    wide: Collection[str],
    connected: Collection[str],
    entries: int,
) -> set[str]:
    """Return the wide entries with which ``agent`` has sessions beyond its ``subset``.

    Those of the highest rendezvous weight are selected. One that isn't ``connected`` yet is added
    only while the agent has fewer than `MAX_SESSIONS`, since sessions with runs in progress are
    kept for a while. None is added while more than `MAX_WIDE_SHARE` of the ``entries`` are wide.
    """
    limit = MAX_SESSIONS - max(SUBSET_SIZE, len(subset))
    ranked = rank_entries(agent, [entry for entry in wide if entry not in subset])[: max(0, limit)]
    places = MAX_SESSIONS - len({*subset, *connected})
    selected = {entry for entry in ranked if entry in connected}
    if len(wide) > MAX_WIDE_SHARE * entries:
        return selected
    added = [entry for entry in ranked if entry not in selected]
    return selected | set(added[: max(0, places)])
