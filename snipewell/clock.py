"""Time in milliseconds, passed into every decision."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock; its origin is arbitrary and differs between processes."""

    def now_ms(self) -> float:
        """Return the current time in milliseconds."""
        ...

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for tickets only; it may jump."""
        ...


class SystemClock:
    """The monotonic clock of this machine."""

    def now_ms(self) -> float:
        """Return milliseconds of the machine's monotonic clock."""
        return time.monotonic_ns() / 1_000_000

    def wall_ms(self) -> int:
        """Return the machine's time of day in milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock that moves only when told to, for tests and simulated runs.

    For example ``clock = ManualClock(); clock.advance(250)`` makes ``clock.now_ms()`` return 250.
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the time last set, in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the time last set, as if the clock had started at the Unix epoch."""
        return int(self._now_ms)

    def advance(self, by_ms: float) -> None:
        """Move the clock forward by ``by_ms``; raise ValueError if that is negative."""
        if by_ms < 0:
            raise ValueError(f"a monotonic clock cannot go back by {-by_ms} ms")
        self._now_ms += by_ms
