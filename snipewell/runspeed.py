"""Speed of the runs of one upstream: its slowness, stalled runs and slow runs, without any I/O.

Runs are compared with the durations that their entries expect on an ordinary upstream, so neither a
queue with low estimates nor a run far from its data makes the upstream appear slow.
"""

from __future__ import annotations

from collections.abc import Iterable

from .run import MIN_PROJECTED_PERCENT, SLOW_REPORT_MS, Run
from .runmessage import RunSlow
from .speed import SlownessEstimator

STALL_MS = 500.0
"""Shortest time without progress after which a run is stopped as stalled."""
STALL_SHARE = 0.35
"""Shortest time without progress after which a run is stopped, as a share of its expected duration;
the longer of the two applies. On a healthy upstream, progress advances by 1% within a hundredth of
the duration, so this share is reached only by runs that are about 35 times slower."""


class RunSpeed:
    """Speed of the runs of one incarnation of the upstream."""

    def __init__(self) -> None:
        self._estimator = SlownessEstimator()

    def clear(self) -> None:
        """Remove all samples after a restart of the upstream."""
        self._estimator.clear()

    def add_done(self, run: Run, elapsed_ms: float, now_ms: float) -> None:
        """Add a run that is done as a sample of the slowness."""
        self._estimator.add_sample(elapsed_ms / max(1.0, run.expected_ms), now_ms)

    def slowness(self, runs: Iterable[Run], now_ms: float) -> float:
        """Return the slowness of the upstream from its ended runs and the ``runs`` in progress."""
        projected = [
            run.projected_duration_ms(now_ms) / max(1.0, run.expected_ms)
            for run in runs
            if run.percent >= MIN_PROJECTED_PERCENT
        ]
        return self._estimator.slowness(projected, now_ms)


def is_stalled(run: Run, answered_ms: float) -> bool:
    """Return whether a run made no progress for too long until the upstream's last answer.

    The time of the last answer, ``answered_ms``, is compared, because there is no progress
    information without lists from the upstream.
    """
    limit_ms = max(STALL_MS, STALL_SHARE * run.expected_ms)
    return answered_ms - run.last_progress_ms >= limit_ms


def notice_if_slow(run: Run, now_ms: float) -> RunSlow | None:
    """Return a notice for the entry if the projected duration is far above the expected one."""
    if not run.is_slow(now_ms) or now_ms - run.slow_reported_ms < SLOW_REPORT_MS:
        return None
    run.slow_reported_ms = now_ms
    elapsed_ms = now_ms - run.start_sent_ms
    left_ms = run.projected_duration_ms(now_ms) - elapsed_ms
    return RunSlow(run.order.task, run.order.attempt, elapsed_ms, left_ms)
