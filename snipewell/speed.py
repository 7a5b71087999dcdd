"""How fast an upstream is, from the progress and the ends of its runs, without any I/O.

A client's estimate of a duration is often off, but off alike for all tasks of its job. The median
over the runs of many jobs tells the upstream's own part.
"""

from __future__ import annotations

from collections import deque
from statistics import median

SAMPLES = 12
"""Ended runs that are looked back on, about as many as run on an upstream at a time."""
LIFE_MS = 3_000.0
"""Age at which an end no longer counts, so that an upstream that was slow is tried again."""
PRIOR_SAMPLES = 2
"""Samples of ordinary speed that are added, so that one odd job doesn't make an upstream slow."""
STEP = 0.1
"""Slowness is rounded to this, so that not every run changes it."""


class Speedometer:
    """The slowness of one upstream: 1.0 where runs take as long as their clients estimate.

    For example, after ends with ratios of 2.1, 1.9 and 2.0 and no run in progress, ``slowness``
    is 1.9: the median of these and two ordinary samples.
    """

    def __init__(self) -> None:
        self._ends: deque[tuple[float, float]] = deque(maxlen=SAMPLES)

    def add_end(self, ratio: float, now_ms: float) -> None:
        """Take in a run that ended well after ``ratio`` times its estimate."""
        self._ends.append((now_ms, ratio))

    def clear(self) -> None:
        """Forget everything, because the upstream was started anew."""
        self._ends.clear()

    def slowness(self, running: list[float], now_ms: float) -> float:
        """Return the slowness; ``running`` holds the ratios foreseen for runs in progress.

        Runs in progress tell of the present, so old ends give way to them.
        """
        recent = [ratio for at_ms, ratio in self._ends if now_ms - at_ms < LIFE_MS]
        room = max(0, SAMPLES - len(running))
        samples = recent[-room:] if room else []
        value = median([*samples, *running, *([1.0] * PRIOR_SAMPLES)])
        return max(STEP, round(value / STEP) * STEP)
