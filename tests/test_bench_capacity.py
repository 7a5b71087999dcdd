"""Tests of the line fitted to capacity measurements, on which docs/CAPACITY.md relies."""

from __future__ import annotations

import pytest

from bench.capacity_row import Row


def test_fit_of_collinear_points_is_exact() -> None:
    """Guards against a slope and intercept that are swapped or computed wrongly."""
    row = Row("a", "f", "us", "agents", {10: 25.0, 100: 205.0, 300: 605.0})
    assert row.fit() == pytest.approx((2.0, 5.0))
    assert row.report()["slope"] == pytest.approx(2.0)


def test_fit_of_single_point_is_none() -> None:
    """Guards against reporting a slope for a figure measured at only one size."""
    assert Row("a", "f", "us", "", {1: 25.0}).fit() is None
