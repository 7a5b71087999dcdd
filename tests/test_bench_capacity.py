"""The rows from which docs/CAPACITY.md works."""

from __future__ import annotations

import pytest

from bench.capacity_row import Row


def test_line_through_exact_points_is_found() -> None:
    """Guards against slopes and bases that are exchanged or computed wrongly."""
    row = Row("a", "f", "us", "agents", {10: 25.0, 100: 205.0, 300: 605.0})
    assert row.fit() == pytest.approx((2.0, 5.0))
    assert row.report()["slope"] == pytest.approx(2.0)


def test_single_point_has_no_line() -> None:
    """Guards against a slope that no second size supports."""
    assert Row("a", "f", "us", "", {1: 25.0}).fit() is None
