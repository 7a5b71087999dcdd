"""Counters, gauges and latency summaries of one process, in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hdrh.histogram import HdrHistogram

_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_MAX_DURATION_MS = 3_600_000
"""Longest duration that a histogram records; longer ones count as this."""
_STEPS_PER_MS = 100
"""Histograms have a resolution of 10 microseconds, because many steps of a request take less than a
millisecond."""

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """All metrics of one process; names are given without the prefix ``snipewell_``.

    For example ``metrics.count("outcomes", outcome="complete")`` adds one to
    ``snipewell_outcomes_total{outcome="complete"}``. Label values must come from small fixed sets:
    each combination stays in memory until the process ends.
    """

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], int] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._labelled_gauges: dict[str, tuple[str, Callable[[], Iterable[tuple[str, float]]]]] = {}
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}
        self._sums: dict[tuple[str, Labels], float] = {}

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Increase a counter by ``by``."""
        key = (name, tuple(sorted(labels.items())))
        self._counters[key] = self._counters.get(key, 0) + by

    def counter(self, name: str, **labels: str) -> int:
        """Return the value of a counter, 0 if it was never increased."""
        return self._counters.get((name, tuple(sorted(labels.items()))), 0)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read by calling ``read`` at each scrape."""
        self._gauges[name] = read

    def gauges(
        self, name: str, label: str, read: Callable[[], Iterable[tuple[str, float]]]
    ) -> None:
        """Register a gauge with a label; ``read`` returns its values by the values of the label."""
        self._labelled_gauges[name] = (label, read)

    def observe_ms(self, name: str, value_ms: float, **labels: str) -> None:
        """Record a duration in milliseconds; it is clamped to the range from 0 to one hour."""
        key = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_DURATION_MS * _STEPS_PER_MS, 2)
            self._histograms[key] = histogram
        bounded_ms = min(max(value_ms, 0.0), float(_MAX_DURATION_MS))
        histogram.record_value(max(1, round(bounded_ms * _STEPS_PER_MS)))
        self._sums[key] = self._sums.get(key, 0.0) + bounded_ms

    def percentile_ms(self, name: str, percentile: float, **labels: str) -> float:
        """Return a percentile (0 to 100) of a duration in ms; 0.0 if none was recorded."""
        histogram = self._histograms.get((name, tuple(sorted(labels.items()))))
        if histogram is None:
            return 0.0
        return float(histogram.get_value_at_percentile(percentile)) / _STEPS_PER_MS

    def render(self) -> str:
        """Return all metrics in the Prometheus text format, version 0.0.4."""
        lines: list[str] = []
        declared: set[str] = set()

        def declare(name: str, kind: str) -> None:
            if name not in declared:
                declared.add(name)
                lines.append(f"# TYPE {name} {kind}")

        for (name, labels), value in sorted(self._counters.items()):
            declare(f"snipewell_{name}_total", "counter")
            lines.append(f"snipewell_{name}_total{_render_labels(labels)} {value}")
        for name, read in sorted(self._gauges.items()):
            declare(f"snipewell_{name}", "gauge")
            lines.append(f"snipewell_{name} {read():g}")
        for name, (label, read_all) in sorted(self._labelled_gauges.items()):
            for of, reading in sorted(read_all()):
                declare(f"snipewell_{name}", "gauge")
                lines.append(f"snipewell_{name}{_render_labels(((label, of),))} {reading:g}")
        for (name, labels), histogram in sorted(self._histograms.items()):
            summary_name = f"snipewell_{name}_ms"
            declare(summary_name, "summary")
            for percentile in _PERCENTILES:
                value_ms = histogram.get_value_at_percentile(percentile) / _STEPS_PER_MS
                quantile = (*labels, ("quantile", f"{percentile / 100:g}"))
                lines.append(f"{summary_name}{_render_labels(quantile)} {value_ms:g}")
            lines.append(
                f"{summary_name}_sum{_render_labels(labels)} {self._sums[(name, labels)]:.3f}"
            )
            lines.append(
                f"{summary_name}_count{_render_labels(labels)} {histogram.get_total_count()}"
            )
        return "\n".join(lines) + "\n"


def _render_labels(labels: Labels) -> str:
    if not labels:
        return ""
    escaped = (
        (name, value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n"))
        for name, value in labels
    )
    return "{" + ",".join(f'{name}="{value}"' for name, value in escaped) + "}"
