"""Which waiting job is served next, and which is refused, without any I/O.

Each job has a time by which it should be done, its objective, and a later one after which its
answer is of no more use. Waiting jobs are planned against the rate at which this entry can start
work. Those that meet their objective come first, in the order of their latest start. If not all can
meet it, the jobs that give the least for the work they take are put behind (the rule of Moore and
Hodgson, with a value for each job). What is put behind is planned again up to the time at which it
is of no more use, and what doesn't fit there either is refused at once.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

LATE_FACTOR = 3.0
"""Multiple of its objective after which a job is of no more use to its client, as users state."""
RATE_WINDOW_MS = 1_000.0
"""Span over which the rate of starts is measured: long enough for several tasks of each kind."""
DEMAND_HALF_LIFE_MS = 5_000.0
"""Age at which an arrival counts half in the demand of its queue; a burst lasts a few seconds."""
MIN_RETRY_MS = 200.0
MAX_RETRY_MS = 10_000.0
"""Bounds of the time that a refused client is told to wait."""


@dataclass(frozen=True, slots=True)
class Timing:
    """When a job arrived and when it should be done, in monotonic milliseconds.

    ``chain_ms`` is the expected duration of its longest chain of tasks.
    """

    arrived_ms: float
    chain_ms: float
    objective_ms: float
    client_until_ms: float

    @property
    def due_ms(self) -> float:
        """When the job meets its objective at the latest."""
        return self.arrived_ms + self.objective_ms

    @property
    def useless_ms(self) -> float:
        """When the job is of no more use to its client."""
        return min(self.arrived_ms + LATE_FACTOR * self.objective_ms, self.client_until_ms)


@dataclass(slots=True)
class Waiting:
    """A job with tasks that wait for room.

    ``work`` is that of the waiting tasks, in core-milliseconds. ``value`` is what the job is worth
    in all. ``started`` tells that a task of it has started, so it can't be refused any more.
    """

    name: str
    timing: Timing
    left_ms: float
    """Expected duration of what is left of the job once its waiting tasks start."""
    work: float
    value: float
    started: bool = False

    def latest_start_ms(self) -> float:
        """Return when the waiting tasks must start to meet the objective."""
        return self.timing.due_ms - self.left_ms

    def last_start_ms(self) -> float:
        """Return when the waiting tasks must start to be of use at all."""
        return self.timing.useless_ms - self.left_ms


@dataclass(frozen=True, slots=True)
class Plan:
    """The waiting jobs by name: ``timely`` and ``late`` in the order to serve, and ``hopeless``.

    Hopeless jobs that have started stay, behind all others; the rest should be refused.
    """

    timely: list[str] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
    hopeless: list[str] = field(default_factory=list)


def plan(jobs: Iterable[Waiting], rate: float, now_ms: float) -> Plan:
    """Return the order of ``jobs``, if work starts at ``rate`` core-milliseconds a millisecond."""
    able: list[Waiting] = []
    rest: list[Waiting] = []
    for job in jobs:
        (able if job.latest_start_ms() >= now_ms else rest).append(job)
    timely, dropped = _select([(job.latest_start_ms(), job) for job in able], rate, now_ms)
    # Late work starts after all that is timely.
    begin_ms = now_ms + sum(job.work for job in timely) / rate if rate > 0 else now_ms
    late, hopeless = _select([(job.last_start_ms(), job) for job in rest + dropped], rate, begin_ms)
    return Plan(
        [job.name for job in timely],
        [job.name for job in late],
        [job.name for job in hopeless],
    )


def _select(
    jobs: Sequence[tuple[float, Waiting]], rate: float, begin_ms: float
) -> tuple[list[Waiting], list[Waiting]]:
    """Return the jobs that can start by their times, in that order, and those left out."""
    chosen: list[tuple[float, int, Waiting]] = []
    dropped: set[int] = set()
    clock_ms = begin_ms
    ordered = sorted(jobs, key=lambda pair: pair[0])
    for number, (start_by_ms, job) in enumerate(ordered):
        if start_by_ms < begin_ms:
            dropped.add(number)
            continue
        heapq.heappush(chosen, (job.value / max(job.work, 1.0), number, job))
        duration_ms = job.work / rate if rate > 0 else float("inf")
        clock_ms += duration_ms
        # The first of a job's tasks need not wait for room behind the job itself.
        while chosen and clock_ms - duration_ms > start_by_ms:
            _, least, worst = heapq.heappop(chosen)
            dropped.add(least)
            clock_ms -= worst.work / rate if rate > 0 else float("inf")
    kept = [job for number, (_, job) in enumerate(ordered) if number not in dropped]
    return kept, [job for number, (_, job) in enumerate(ordered) if number in dropped]


class Demand:
    """The work that arrives at each queue, from which the value of a job follows.

    Operators don't declare what a job is worth. All queues are taken to matter alike, so a job's
    value is its share of the recent demand of its queue: a queue that asks for much more than the
    others gives up more of its jobs when not all can be served.
    """

    def __init__(self) -> None:
        self._work: dict[str, float] = {}
        self._jobs: dict[str, float] = {}
        self._at_ms = 0.0

    def add(self, queue: str, work: float, now_ms: float) -> None:
        """Take in the arrival of a job with ``work`` core-milliseconds."""
        keep = 0.5 ** ((now_ms - self._at_ms) / DEMAND_HALF_LIFE_MS)
        self._at_ms = now_ms
        for counts in (self._work, self._jobs):
            for name in counts:
                counts[name] *= keep
        self._work[queue] = self._work.get(queue, 0.0) + work
        self._jobs[queue] = self._jobs.get(queue, 0.0) + 1.0

    def value(self, queue: str, work: float) -> float:
        """Return the value of a job of ``queue``; a third of it doesn't depend on its size."""
        jobs, total = self._jobs.get(queue, 0.0), self._work.get(queue, 0.0)
        if jobs <= 0 or total <= 0:
            return 1.0
        return FIXED_VALUE / jobs + (1 - FIXED_VALUE) * work / total


FIXED_VALUE = 0.3
"""Share of a job's worth to its client that doesn't grow with its work, as the users state."""


class StartRate:
    """Work started lately, in core-milliseconds a millisecond."""

    def __init__(self) -> None:
        self._starts: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, work: float, now_ms: float) -> None:
        """Take in the start of a task with ``work`` core-milliseconds."""
        self._starts.append((now_ms, work))
        self._sum += work

    def rate(self, now_ms: float) -> float:
        """Return the work started each millisecond over the last window."""
        while self._starts and self._starts[0][0] < now_ms - RATE_WINDOW_MS:
            self._sum -= self._starts.popleft()[1]
        return max(0.0, self._sum) / RATE_WINDOW_MS


def retry_after_ms(wait_ms: float, jitter: float) -> float:
    """Return when a refused client should come back: when the present backlog is gone.

    ``jitter``, 0 to 1, spreads the return of clients that are refused together over as long again.
    """
    bounded_ms = min(max(wait_ms, MIN_RETRY_MS), MAX_RETRY_MS)
    return bounded_ms * (1.0 + jitter)
