"""Metrics: Prometheus text format, range and accuracy of the recorded durations."""

from __future__ import annotations

import pytest

from snipewell.metrics import Metrics


def test_text_format() -> None:
    """Guards against names, labels or values that a Prometheus server rejects."""
    metrics = Metrics()
    metrics.count("outcomes", outcome='od"d\n')
    metrics.count("outcomes", 2, outcome='od"d\n')
    metrics.gauge("agents", lambda: 3)
    metrics.gauges("corrections", "queue", lambda: [("a", 1.5)])
    metrics.observe_ms("request", 0.25)
    lines = metrics.render().splitlines()
    assert 'snipewell_outcomes_total{outcome="od\\"d\\n"} 3' in lines
    assert "snipewell_agents 3" in lines
    assert 'snipewell_corrections{queue="a"} 1.5' in lines
    assert "# TYPE snipewell_request_ms summary" in lines
    assert "snipewell_request_ms_count 1" in lines


@pytest.mark.parametrize("value_ms", [-5.0, 0.0, 0.004, 1e12])
def test_any_duration_is_recorded(value_ms: float) -> None:
    """Guards against an exception in a request whose duration is outside the histogram's range."""
    metrics = Metrics()
    metrics.observe_ms("request", value_ms)
    assert 0 <= metrics.percentile_ms("request", 50) <= 3_600_000 * 1.01


def test_percentiles() -> None:
    """Guards against percentiles less accurate than two significant digits."""
    metrics = Metrics()
    for value in range(1, 1_001):
        metrics.observe_ms("request", float(value))
    assert metrics.percentile_ms("request", 50) == pytest.approx(500, rel=0.01)
    assert metrics.percentile_ms("request", 99) == pytest.approx(990, rel=0.01)
