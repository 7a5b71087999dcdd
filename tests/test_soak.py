"""Test a short soak run, with the faults fixed by the seed."""

from __future__ import annotations

from tests.soak.runner import run_seed
from tests.soak.timeline import render_page


def test_short_run_holds_invariants_and_timeline_shows_every_fault() -> None:
    """Guards against a broken soak test, and against overlapping runs or lost jobs under faults."""
    result = run_seed(1, seconds=5.0, faults=5, per_s=5.0)
    assert result.violations == []
    assert result.completed > 0
    page = render_page([result])
    assert all(fault.text in page for fault in result.faults)
