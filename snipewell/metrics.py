"""Counters, gauges and percentiles of one process, as Prometheus text."""

from __future__ import annotations

from collections.abc import Callable

from hdrh.histogram import HdrHistogram

_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_LONGEST_MS = 3_600_000
_UNITS_PER_MS = 100
"""Histograms count in steps of 10 microseconds: much of the path takes less than a millisecond."""

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """All figures of one process; names are without the prefix ``snipewell_``.

    For example ``metrics.count("outcomes", outcome="complete")`` adds one to
    ``snipewell_outcomes_total{outcome="complete"}``. Labels must come from small fixed sets: each
    combination is kept for the life of the process.
    """

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], int] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}
        self._sums: dict[tuple[str, Labels], float] = {}

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Add ``by`` to a counter."""
        key = (name, tuple(sorted(labels.items())))
        self._counters[key] = self._counters.get(key, 0) + by

    def counter(self, name: str, **labels: str) -> int:
        """Return the value of a counter, 0 if it was never counted."""
        return self._counters.get((name, tuple(sorted(labels.items()))), 0)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Report what ``read`` returns at the time of each report."""
        self._gauges[name] = read

    def observe_ms(self, name: str, value_ms: float, **labels: str) -> None:
        """Record a duration in milliseconds; the longest recorded is one hour."""
        key = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(1, _LONGEST_MS * _UNITS_PER_MS, 2)
            self._histograms[key] = histogram
        bounded_ms = min(max(value_ms, 0.0), float(_LONGEST_MS))
        histogram.record_value(max(1, round(bounded_ms * _UNITS_PER_MS)))
        self._sums[key] = self._sums.get(key, 0.0) + bounded_ms

    def percentile_ms(self, name: str, percentile: float, **labels: str) -> float:
        """Return a percentile, 0 to 100, in milliseconds; 0.0 if nothing was recorded."""
        histogram = self._histograms.get((name, tuple(sorted(labels.items()))))
        if histogram is None:
            return 0.0
        return float(histogram.get_value_at_percentile(percentile)) / _UNITS_PER_MS

    def render(self) -> str:
        """Return everything in the text format of Prometheus, version 0.0.4."""
        lines: list[str] = []
        typed: set[str] = set()

        def declare(name: str, kind: str) -> None:
            if name not in typed:
                typed.add(name)
                lines.append(f"# TYPE {name} {kind}")

        for (name, labels), value in sorted(self._counters.items()):
            declare(f"snipewell_{name}_total", "counter")
            lines.append(f"snipewell_{name}_total{_render_labels(labels)} {value}")
        for name, read in sorted(self._gauges.items()):
            declare(f"snipewell_{name}", "gauge")
            lines.append(f"snipewell_{name} {read():g}")
        for (name, labels), histogram in sorted(self._histograms.items()):
            full = f"snipewell_{name}_ms"
            declare(full, "summary")
            for percentile in _PERCENTILES:
                value_ms = histogram.get_value_at_percentile(percentile) / _UNITS_PER_MS
                quantile = (*labels, ("quantile", f"{percentile / 100:g}"))
                lines.append(f"{full}{_render_labels(quantile)} {value_ms:g}")
            lines.append(f"{full}_sum{_render_labels(labels)} {self._sums[(name, labels)]:.3f}")
            lines.append(f"{full}_count{_render_labels(labels)} {histogram.get_total_count()}")
        return "\n".join(lines) + "\n"


def _render_labels(labels: Labels) -> str:
    if not labels:
        return ""
    escaped = (
        (name, value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n"))
        for name, value in labels
    )
    return "{" + ",".join(f'{name}="{value}"' for name, value in escaped) + "}"
