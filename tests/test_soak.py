"""A short run of the soak; its seed always draws the same faults."""

from __future__ import annotations

from tests.soak.picture import draw_page
from tests.soak.play import play


def test_a_short_run_breaks_no_promise_and_its_picture_shows_every_fault() -> None:
    """Guards against a soak that no longer runs, and against doubled or lost jobs under faults."""
    verdict = play(1, seconds=5.0, faults=5, per_s=5.0)
    assert verdict.broken == []
    assert verdict.completed > 0
    page = draw_page([verdict])
    assert all(fault.text in page for fault in verdict.faults)
