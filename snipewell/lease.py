"""Arithmetic of the lease that an agent holds at its upstream, on the upstream's own clock."""

from __future__ import annotations

CLOCK_SLOWNESS = 0.02
"""Share by which an upstream's steady clock may run slow, as the platform states."""


class LeaseClock:
    """Estimates the upstream's clock from its answers and knows when every lease has expired.

    For example, after ``observe(5_000, now_ms=100)`` a lease until 6 000 has certainly expired at
    ``expired_by_ms()`` = 100 + 1 000 / 0.98.
    """

    def __init__(self) -> None:
        self._clock_ms = 0.0
        self._at_ms: float | None = None
        self._latest_deadline_ms = 0.0

    @property
    def known(self) -> bool:
        """Whether the upstream has told its clock yet."""
        return self._at_ms is not None

    def observe(self, clock_ms: float, now_ms: float) -> None:
        """Take in the upstream's clock from an answer received at ``now_ms``."""
        self._clock_ms = clock_ms
        self._at_ms = now_ms

    def reset(self) -> None:
        """Forget everything, because the upstream was started anew."""
        self._at_ms = None
        self._latest_deadline_ms = 0.0

    def deadline_ms(self, hold_ms: float, now_ms: float) -> int:
        """Return the upstream's time ``hold_ms`` from now and remember it as asked for."""
        assert self._at_ms is not None
        deadline = self._clock_ms + (now_ms - self._at_ms) + hold_ms
        self._latest_deadline_ms = max(self._latest_deadline_ms, deadline)
        return int(deadline)

    def expired_by_ms(self) -> float:
        """Return the local time by which every lease asked for has expired."""
        if self._at_ms is None:
            return float("inf")
        left_ms = max(0.0, self._latest_deadline_ms - self._clock_ms)
        return self._at_ms + left_ms / (1 - CLOCK_SLOWNESS)
