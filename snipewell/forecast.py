"""Forecast of the free capacity of an upstream from the expected ends of its runs, without any I/O.

Only CPU is forecast: the ends in the agents' reports carry no other resources.
"""

from __future__ import annotations

import heapq
from bisect import insort
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from statistics import median_low

from .ids import UpstreamId

MAX_REPORTED_ENDS = 4
"""Maximum number of expected ends in a report: later ones are rarely worth a wait."""
MIN_OVERDUE_MS = 5.0
"""Shortest remaining time assumed for a run that has exceeded its expected duration."""


def expected_end_ms(expected_ms: float, now_ms: float) -> float:
    """Return the expected end of a run that was expected to end at ``expected_ms``.

    A run past that time is assumed to go on for as long as it is overdue: a small share of the runs
    takes several times its estimate, and one that is far overdue is likely to be one of these.
    """
    if expected_ms > now_ms:
        return expected_ms
    return now_ms + max(MIN_OVERDUE_MS, now_ms - expected_ms)


def find_soonest_ends(runs: Iterable[tuple[int, float]], now_ms: float) -> list[tuple[int, float]]:
    """Return the soonest ends as CPU and time from now, from the CPU and expected end of ``runs``.

    At most `MAX_REPORTED_ENDS` are returned.
    """
    ends = [(cpu, round(expected_end_ms(at_ms, now_ms) - now_ms, 1)) for cpu, at_ms in runs]
    return heapq.nsmallest(MAX_REPORTED_ENDS, ends, key=lambda end: end[1])


def merge_ends(
    reported: Sequence[tuple[float, int]], own: Sequence[tuple[float, int]]
) -> list[tuple[float, int]]:
    """Return the expected ends on an upstream, as times and CPU, in order.

    ``reported`` holds the soonest ends of all runs on the upstream. Of the entry's ``own`` runs,
    those expected to end later are added, since the others are among the reported ones.
    """
    last_ms = max((at_ms for at_ms, _ in reported), default=float("-inf"))
    return sorted([*reported, *(end for end in own if end[0] > last_ms)])


@dataclass(slots=True)
class UpstreamForecast:
    """Expected free CPU of an upstream, in thousandths of a core.

    ``free`` holds from ``since_ms`` on, and ``ends`` the later ends of runs as time and CPU.
    """

    upstream: UpstreamId
    capacity: int
    free: int
    slowness: float
    ends: list[tuple[float, int]] = field(default_factory=list)
    since_ms: float = float("-inf")

    @classmethod
    def from_ends(
        cls,
        upstream: UpstreamId,
        capacity: int,
        free: int,
        slowness: float,
        ends: Iterable[tuple[float, int]],
        now_ms: float,
    ) -> UpstreamForecast:
        """Return the forecast for an upstream with the expected ``ends`` of runs.

        Ends are taken only as far as CPU is in use: a run that ended earlier than expected is part
        of ``free`` already.
        """
        in_use, kept = capacity - free, []
        for at_ms, cpu in sorted((expected_end_ms(at_ms, now_ms), cpu) for at_ms, cpu in ends):
            if cpu <= in_use:
                in_use -= cpu
                kept.append((at_ms, cpu))
        return cls(upstream, capacity, free, slowness, kept)

    def start_ms(self, cpu_milli: int, now_ms: float) -> float:
        """Return the expected time from which ``cpu_milli`` is free, infinite if unknown."""
        free, at_ms = self.free, max(now_ms, self.since_ms)
        if cpu_milli <= free:
            return at_ms
        for end_ms, cpu in self.ends:
            free += cpu
            if cpu_milli <= free:
                return max(at_ms, end_ms)
        return float("inf")

    def claim(self, cpu_milli: int, at_ms: float, duration_ms: float) -> None:
        """Reserve ``cpu_milli`` from ``at_ms`` on for a task that waits for this upstream."""
        self.free += sum(cpu for end_ms, cpu in self.ends if end_ms <= at_ms) - cpu_milli
        self.ends = [end for end in self.ends if end[0] > at_ms]
        insort(self.ends, (at_ms + duration_ms, cpu_milli))
        self.since_ms = at_ms


def median_slowness(forecasts: Iterable[UpstreamForecast]) -> float:
    """Return the lower median of the slowness of upstreams, 1.0 if there are none."""
    values = [forecast.slowness for forecast in forecasts]
    return median_low(values) if values else 1.0
