"""Clocks in milliseconds, injected so that tests and simulations control the time."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

_STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""The monotonic clock that goes on while the VM is suspended, on systems that have it."""


class Clock(Protocol):
    """A monotonic clock; its origin is arbitrary and differs between processes.

    It counts the time for which the VM was suspended. Peers and upstreams don't wait for a
    suspended VM, so its sessions, leases and deadlines run out as if its processes were paused.
    """

    def now_ms(self) -> float:
        """Return the monotonic time in milliseconds."""
        ...

    def wall_ms(self) -> int:
        """Return the wall-clock time in ms since the Unix epoch.

        It may jump, so it is not used for timeouts. It serves for times that are compared between
        processes or across restarts, and to detect that a VM was suspended.
        """
        ...

    def suspended_ms(self) -> float:
        """Return the total time in ms for which the VM was suspended, counted from any origin."""
        ...


class SystemClock:
    """Clocks of the operating system.

    ``read_ns`` returns the time of the clock with a given id (``time.CLOCK_MONOTONIC``, ...) in
    nanoseconds.
    """

    def __init__(self, read_ns: Callable[[int], int] = time.clock_gettime_ns) -> None:
        self._read_ns = read_ns

    def now_ms(self) -> float:
        """Return the system's monotonic time in milliseconds, suspensions included."""
        return self._read_ns(_STEADY_CLOCK) / 1_000_000

    def wall_ms(self) -> int:
        """Return the system's wall-clock time in milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000

    def suspended_ms(self) -> float:
        """Return the time in milliseconds for which the system was suspended since it booted."""
        steady_ns = self._read_ns(_STEADY_CLOCK)
        return (steady_ns - self._read_ns(time.CLOCK_MONOTONIC)) / 1_000_000


class ManualClock:
    """A clock that moves only by calls of `advance`, for tests and simulations.

    For example ``clock = ManualClock(); clock.advance(250)`` makes ``clock.now_ms()`` return 250.
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the simulated time in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the simulated time, with the Unix epoch at 0 ms."""
        return int(self._now_ms)

    def suspended_ms(self) -> float:
        """Return 0: the simulated VM is never suspended."""
        return 0.0

    def advance(self, by_ms: float) -> None:
        """Move the clock forward by ``by_ms``; raise ValueError if that is negative."""
        if by_ms < 0:
            raise ValueError(f"a monotonic clock cannot go back by {-by_ms} ms")
        self._now_ms += by_ms
