"""Estimate of the slowness of an upstream from its runs, without any I/O.

A client's estimate of a duration is often wrong, but by a similar factor for all tasks of its job.
The median over the runs of many jobs shows the contribution of the upstream itself.
"""

from __future__ import annotations

from collections import deque
from statistics import median

MAX_SAMPLES = 12
"""Maximum number of samples: about as many as there are concurrent runs on an upstream."""
SAMPLE_LIFETIME_MS = 3_000.0
"""Age at which a sample expires, so that an upstream that was slow is tried again."""
PRIOR_SAMPLES = 2
"""Number of samples of ordinary speed that are added, so that a single job with a wrong estimate
doesn't make the upstream appear slow."""
SLOWNESS_STEP = 0.1
"""Resolution of the slowness, which is rounded so that not every run changes it."""


class SlownessEstimator:
    """Estimator of the slowness of one upstream.

    Slowness is 1.0 if runs take as long as their clients estimate. For example, after runs with
    ratios of 2.1, 1.9 and 2.0 and with no run in progress, ``slowness`` is 1.9: the median of these
    and two ordinary samples.
    """

    def __init__(self) -> None:
        self._ends: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)

    def add_sample(self, ratio: float, now_ms: float) -> None:
        """Add a completed run that took ``ratio`` times its estimated duration."""
        self._ends.append((now_ms, ratio))

    def clear(self) -> None:
        """Remove all samples after a restart of the upstream."""
        self._ends.clear()

    def slowness(self, running: list[float], now_ms: float) -> float:
        """Return the slowness; ``running`` holds the projected ratios of the runs in progress.

        Runs in progress reflect the present state, so they displace the samples of ended runs.
        """
        recent = [ratio for at_ms, ratio in self._ends if now_ms - at_ms < SAMPLE_LIFETIME_MS]
        remaining = max(0, MAX_SAMPLES - len(running))
        samples = recent[-remaining:] if remaining else []
        value = median([*samples, *running, *([1.0] * PRIOR_SAMPLES)])
        return max(SLOWNESS_STEP, round(value / SLOWNESS_STEP) * SLOWNESS_STEP)
