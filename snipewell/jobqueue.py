"""Which waiting job is served next, and which is refused, without any I/O.

Jobs that can still meet their objective come first, the one with the least slack before the
others. A job that would miss its objective even if it started now waits behind all of those: it is
late in any case, and serving it first would make others late as well.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

LATE_FACTOR = 3.0
"""Multiple of its objective after which a job is of no more use to its client, as users state."""
RATE_WINDOW_MS = 2_000.0
"""Span over which the rate of starts is measured: long enough for several tasks of each kind."""
MIN_RETRY_MS = 200.0
MAX_RETRY_MS = 10_000.0
"""Bounds of the time that a refused client is told to wait."""


@dataclass(frozen=True, slots=True)
class Timing:
    """When a job arrived and when it should be done, in monotonic milliseconds.

    ``chain_ms`` is the expected duration of its longest chain of tasks.
    """

    arrived_ms: float
    chain_ms: float
    objective_ms: float
    client_until_ms: float

    @property
    def due_ms(self) -> float:
        """When the job meets its objective at the latest."""
        return self.arrived_ms + self.objective_ms

    @property
    def useless_ms(self) -> float:
        """When the job is of no more use to its client."""
        return min(self.arrived_ms + LATE_FACTOR * self.objective_ms, self.client_until_ms)

    def latest_start_ms(self) -> float:
        """Return when the job must start to meet its objective."""
        return self.due_ms - self.chain_ms

    def rank(self, priority: int, now_ms: float) -> tuple[int, float, int]:
        """Return the key by which waiting jobs are sorted; the lowest is served first."""
        latest_ms = self.latest_start_ms()
        if now_ms <= latest_ms:
            return 0, latest_ms, priority
        return 1, self.useless_ms - self.chain_ms, priority


class StartRate:
    """Work started lately, in milliseconds of cores a millisecond, to predict waits."""

    def __init__(self) -> None:
        self._starts: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, work: float, now_ms: float) -> None:
        """Take in the start of a task with ``work`` core-milliseconds."""
        self._starts.append((now_ms, work))
        self._sum += work
        self._expire(now_ms)

    def rate(self, now_ms: float) -> float:
        """Return the work started each millisecond over the last window."""
        self._expire(now_ms)
        return self._sum / RATE_WINDOW_MS

    def _expire(self, now_ms: float) -> None:
        while self._starts and self._starts[0][0] < now_ms - RATE_WINDOW_MS:
            self._sum -= self._starts.popleft()[1]


def expect_wait_ms(work_ahead: float, rate: float) -> float:
    """Return the wait behind ``work_ahead`` core-milliseconds that start at ``rate``."""
    if work_ahead <= 0:
        return 0.0
    if rate <= 0:
        return float("inf")
    return work_ahead / rate


def retry_after_ms(wait_ms: float, jitter: float) -> float:
    """Return when a refused client should come back: when the present backlog is gone.

    ``jitter``, 0 to 1, spreads the return of clients that are refused together over as long again.
    """
    bounded_ms = min(max(wait_ms, MIN_RETRY_MS), MAX_RETRY_MS)
    return bounded_ms * (1.0 + jitter)
