"""A figure measured at several sizes with its fitted line, and helpers that measure cost."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Row:
    """A measured figure: ``points`` maps each size of ``against`` to a value in ``unit``."""

    area: str
    figure: str
    unit: str
    against: str
    points: dict[int, float]

    def fit(self) -> tuple[float, float] | None:
        """Return slope and intercept of the least-squares line, None with fewer than two sizes."""
        count = len(self.points)
        if count < 2:
            return None
        mean_x = sum(self.points) / count
        mean_y = sum(self.points.values()) / count
        spread = sum((x - mean_x) ** 2 for x in self.points)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in self.points.items()) / spread
        return slope, mean_y - slope * mean_x

    def cells(self) -> list[str]:
        """Return the cells of the figure's row in the printed table."""
        raw = " ".join(f"{size}:{value:.4g}" for size, value in self.points.items())
        line = self.fit()
        fitted = ["-", "-"] if line is None else [f"{value:.4g}" for value in line]
        return [self.area, self.figure, self.unit, self.against or "-", raw, *fitted]

    def report(self) -> dict[str, object]:
        """Return the figure as an object for JSON output."""
        line = self.fit() or (None, None)
        return {
            "area": self.area,
            "figure": self.figure,
            "unit": self.unit,
            "against": self.against,
            "points": {str(size): value for size, value in self.points.items()},
            "slope": line[0],
            "base": line[1],
        }


class CpuTimer:
    """Accumulates the CPU time of its ``with`` blocks in ``us``, in microseconds."""

    def __init__(self) -> None:
        self.us = 0.0

    def __enter__(self) -> CpuTimer:
        self._began_ns = time.process_time_ns()
        return self

    def __exit__(self, *_: object) -> None:
        self.us += (time.process_time_ns() - self._began_ns) / 1e3


def allocated_bytes(build: Callable[[], object]) -> int:
    """Return the bytes allocated for the result of ``build`` and the objects reachable from it."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = build()
        growth = tracemalloc.get_traced_memory()[0] - before
        del kept
    finally:
        tracemalloc.stop()
    return growth
