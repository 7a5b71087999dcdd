"""Guards against treating a run as ended while its lease may still be valid."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from snipewell.lease import LeaseClock


@given(
    st.floats(0.98, 1.0),
    st.floats(0, 60_000),
    st.floats(0, 30),
    st.floats(1, 1_000),
)
def test_no_lease_is_considered_expired_too_early(
    rate: float, idle_ms: float, transit_ms: float, hold_ms: float
) -> None:
    """The upstream's clock may run 2% slow, and its answer has a transit time."""
    clock = LeaseClock()
    clock.observe(5_000.0, 1_000.0 + transit_ms)
    asked_at = 1_000.0 + transit_ms + idle_ms
    deadline = clock.request_deadline_ms(hold_ms, asked_at)
    expires_at = 1_000.0 + (deadline - 5_000.0) / rate
    assert clock.expired_by_ms() >= expires_at - 1


def test_a_restarted_upstream_has_no_lease() -> None:
    clock = LeaseClock()
    clock.observe(5_000.0, 0.0)
    clock.request_deadline_ms(1_000.0, 0.0)
    clock.reset()
    assert not clock.is_synced
    clock.observe(10.0, 100.0)
    assert clock.expired_by_ms() == pytest.approx(100.0)
