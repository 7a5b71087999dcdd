"""Expiry of the lease that an agent holds at its upstream, in terms of the upstream's clock."""

from __future__ import annotations

MAX_CLOCK_LAG_SHARE = 0.02
"""Largest share by which an upstream's monotonic clock may run slow; the platform guarantees it."""


class LeaseClock:
    """Estimates the upstream's clock from its answers, and the time by which the lease has expired.

    For example, after ``observe(5_000, now_ms=100)`` a lease until 6 000 has certainly expired at
    ``expired_by_ms()`` = 100 + 1 000 / 0.98.
    """

    def __init__(self) -> None:
        self._clock_ms = 0.0
        self._at_ms: float | None = None
        self._latest_deadline_ms = 0.0

    @property
    def is_synced(self) -> bool:
        """Whether the upstream's clock has been observed since the last reset."""
        return self._at_ms is not None

    def observe(self, clock_ms: float, now_ms: float) -> None:
        """Record the upstream's clock ``clock_ms`` from an answer received at ``now_ms``."""
        self._clock_ms = clock_ms
        self._at_ms = now_ms

    def reset(self) -> None:
        """Discard the clock and the lease after a restart of the upstream."""
        self._at_ms = None
        self._latest_deadline_ms = 0.0

    def request_deadline_ms(self, lease_ms: float, now_ms: float) -> int:
        """Return and record the lease deadline ``lease_ms`` from now on the upstream's clock."""
        assert self._at_ms is not None
        deadline = self._clock_ms + (now_ms - self._at_ms) + lease_ms
        self._latest_deadline_ms = max(self._latest_deadline_ms, deadline)
        return int(deadline)

    def expired_by_ms(self) -> float:
        """Return the local time by which the lease has expired, whichever requests were executed.

        The upstream's clock may be slow, so the remaining time is stretched accordingly.
        """
        if self._at_ms is None:
            return float("inf")
        left_ms = max(0.0, self._latest_deadline_ms - self._clock_ms)
        return self._at_ms + left_ms / (1 - MAX_CLOCK_LAG_SHARE)
