"""Guards against timeouts that don't run out while a VM is suspended."""

from __future__ import annotations

import time

from snipewell.clock import SystemClock


def test_the_time_of_a_suspension_counts() -> None:
    """Frames that waited at a suspended VM looked fresh, and sessions that had ended open."""
    readings = {time.CLOCK_MONOTONIC: 5_000_000_000, time.CLOCK_BOOTTIME: 5_000_000_000}
    clock = SystemClock(readings.__getitem__)
    before_ms, suspended_before_ms = clock.now_ms(), clock.suspended_ms()
    readings[time.CLOCK_BOOTTIME] += 3_000_000_000
    assert clock.now_ms() - before_ms == 3_000.0
    assert clock.suspended_ms() - suspended_before_ms == 3_000.0
