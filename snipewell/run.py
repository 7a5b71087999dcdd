"""One run of a task as its agent knows it, without any I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .job import Room, RunEnd
from .order import StartRun

SLOW_FACTOR = 2.0
"""A run that will take this many times as long as expected is reported; estimates are rarely off
by more (clients state durations within about 40%)."""
SLOW_AFTER_MS = 100.0
"""Shortest time of a run after which its progress tells its duration."""
SLOW_SHARE = 0.1
"""Share of the expected duration after which progress tells the duration: ten percents of it."""
MIN_PERCENT = 10.0
"""Progress from which the duration of a run is foreseen, within a tenth."""
SLOW_REPORT_MS = 300.0
"""Pause between two reports on one slow run."""


class RunState(Enum):
    """What is known of a run that was ordered."""

    STARTING = "starting"
    UNCLEAR = "unclear"
    RUNNING = "running"


@dataclass(slots=True)
class Run:
    """A run of the session ``session`` of the entry ``peer``; times are monotonic milliseconds."""

    peer: str
    session: str
    order: StartRun
    resources: Room
    state: RunState
    ordered_ms: float
    fence: int
    progress_ms: float
    percent: float = -1.0
    slow_ms: float = float("-inf")
    """When the run was last reported as slow."""
    retried: bool = False
    missing: RunEnd = RunEnd.REJECTED
    """How the run has ended if its start was unclear and the upstream doesn't list it."""
    stop_reason: str = ""
    stop_sent_ms: float = float("-inf")

    def foresee_ms(self, now_ms: float) -> float:
        """Return the whole duration of the run as its progress tells it.

        Progress is told in whole percents; the run may be almost one further.
        """
        return 100.0 * (now_ms - self.ordered_ms) / (self.percent + 1.0)

    def is_slow(self, now_ms: float) -> bool:
        """Return whether the run will take far longer than expected."""
        expected_ms = self.order.estimate_ms
        early = now_ms - self.ordered_ms < max(SLOW_AFTER_MS, SLOW_SHARE * expected_ms)
        if early or self.stop_reason:
            return False
        return self.foresee_ms(now_ms) >= SLOW_FACTOR * expected_ms
