"""Scheduling order and admission of waiting jobs, without any I/O.

Each job has a due time, at which it meets its latency objective, and a later expiry time, after
which its answer is of no use to the client. Waiting jobs are planned against the expected rate of
started work of this entry. In the plan, jobs that can meet their due time come first, in the order
of their latest start. If not all can, the jobs with the least value per unit of work are deferred
(the rule of Moore and Hodgson, extended by a value for each job). Deferred jobs are planned
again against their expiry time, and those that don't fit there either are infeasible; `placer`
decides which of these it refuses. Where not all fit, `sharing` may put other jobs first than the
value does.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from .sharing import NO_RULES, Claim, Demand, Rank, RefusalCause, Sharing

EXPIRY_FACTOR = 3.0
"""Expiry time of a job as a multiple of its latency objective; the figure is stated by the
users."""
RATE_WINDOW_MS = 1_000.0
"""Window over which the rate of started work is measured: long enough for several tasks of each
kind."""
ARRIVAL_HALF_LIFE_MS = 5_000.0
"""Age at which an arrival has half its weight in the recent arrivals of its queue. Bursts last a
few seconds."""
MIN_RETRY_MS = 200.0
"""Lower bound of the retry delay sent to refused clients, before jitter."""
MAX_RETRY_MS = 10_000.0
"""Upper bound of the retry delay sent to refused clients, before jitter."""


@dataclass(frozen=True, slots=True)
class Timing:
    """Arrival time, critical path, latency objective and client timeout of one job.

    ``chain_ms`` is the expected duration of the critical path and ``objective_ms`` the latency
    objective, both durations. ``arrived_ms`` and ``client_until_ms`` are times on the monotonic
    clock; the client stops waiting at the latter.
    """

    arrived_ms: float
    chain_ms: float
    objective_ms: float
    client_until_ms: float

    @property
    def due_ms(self) -> float:
        """Time by which the job must end to meet its latency objective."""
        return self.arrived_ms + self.objective_ms

    @property
    def expiry_ms(self) -> float:
        """Time after which the answer to the job is of no use to its client."""
        return min(self.arrived_ms + EXPIRY_FACTOR * self.objective_ms, self.client_until_ms)


@dataclass(slots=True)
class WaitingJob:
    """A job with tasks that wait for free capacity.

    ``work`` is the work of the waiting tasks, in core-milliseconds, and ``value`` the value of the
    whole job. A job that has ``started`` a task can no longer be refused.
    """

    name: str
    timing: Timing
    remaining_ms: float
    """Expected duration of the rest of the job once its waiting tasks start. For a job of several
    steps, that of its whole critical path."""
    work: float
    value: float
    started: bool = False
    claim: Claim = Claim()
    tasks: int = 1
    """Number of waiting tasks."""

    def latest_start_ms(self) -> float:
        """Return the time by which the waiting tasks must start to end by the due time."""
        return self.timing.due_ms - self.remaining_ms

    def latest_useful_start_ms(self) -> float:
        """Return the time by which the waiting tasks must start to end by the expiry time."""
        return self.timing.expiry_ms - self.remaining_ms


@dataclass(frozen=True, slots=True)
class Plan:
    """Names of the waiting jobs, each list in the order of service.

    ``timely`` jobs are expected to end by their due time and ``late`` jobs by their expiry time;
    ``infeasible`` jobs by neither. Infeasible jobs that have started are kept and served after all
    others; the rest should be refused. ``displaced`` names the infeasible jobs that are so only
    because of the rules of `sharing`.
    """

    timely: list[str] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
    infeasible: list[str] = field(default_factory=list)
    displaced: dict[str, RefusalCause] = field(default_factory=dict)


def plan(
    jobs: Iterable[WaitingJob], rate: float, now_ms: float, sharing: Sharing | None = None
) -> Plan:
    """Return the order of service of ``jobs``.

    ``rate`` is the expected rate of started work, in core-milliseconds per millisecond. Without
    ``sharing``, and while all jobs that can still start in time fit, only the value decides.
    """
    jobs = list(jobs)
    by_value = _plan_by_rank(jobs, rate, now_ms, _value_density)
    if sharing is None or sharing.rules == NO_RULES:
        return by_value
    if len(by_value.timely) == sum(job.latest_start_ms() >= now_ms for job in jobs):
        return by_value
    demands = [
        Demand(job.claim, job.work, _value_density(job), job.latest_start_ms() >= now_ms)
        for job in jobs
    ]
    ranked = sharing.rank(demands, rate, now_ms)
    whole = sharing.rules.whole
    if ranked is None:
        planned = _plan_by_rank(jobs, rate, now_ms, _value_density, whole)
    else:
        ranks = {job.name: rank for job, rank in zip(jobs, ranked, strict=True)}
        planned = _plan_by_rank(jobs, rate, now_ms, lambda job: ranks[job.name], whole)
    claims = {job.name: job.claim for job in jobs}
    infeasible = set(planned.infeasible)
    kept = [claims[name] for name in by_value.infeasible if name not in infeasible]
    for name in infeasible.difference(by_value.infeasible):
        planned.displaced[name] = sharing.explain(claims[name], kept)
    return planned


def _value_density(job: WaitingJob) -> float:
    return job.value / max(job.work, 1.0)


def _plan_by_rank(
    jobs: Sequence[WaitingJob],
    rate: float,
    now_ms: float,
    rank: Callable[[WaitingJob], float | Rank],
    whole: bool = False,
) -> Plan:
    startable: list[WaitingJob] = []
    past_latest_start: list[WaitingJob] = []
    for job in jobs:
        (startable if job.latest_start_ms() >= now_ms else past_latest_start).append(job)
    timely, deferred = _select_feasible(
        [(job.latest_start_ms(), job) for job in startable], rate, now_ms, rank, whole
    )
    # The plan assumes that late jobs start after all timely ones, although `Placer` first serves
    # the late jobs that have started.
    begin_ms = now_ms + sum(job.work for job in timely) / rate if rate > 0 else now_ms
    late, infeasible = _select_feasible(
        [(job.latest_useful_start_ms(), job) for job in past_latest_start + deferred],
        rate,
        begin_ms,
        rank,
        whole,
    )
    return Plan(
        [job.name for job in timely],
        [job.name for job in late],
        [job.name for job in infeasible],
    )


def _select_feasible(
    jobs: Sequence[tuple[float, WaitingJob]],
    rate: float,
    begin_ms: float,
    rank: Callable[[WaitingJob], float | Rank],
    whole: bool,
) -> tuple[list[WaitingJob], list[WaitingJob]]:
    """Return the jobs that can start by the paired latest start, in that order, and the others.

    When a job would start too late, jobs are dropped in the order of ``rank``, lowest first, until
    it no longer does. With ``whole``, all tasks of a job that has not started must start in time,
    and otherwise only the first.
    """
    selected: list[tuple[Any, int, WaitingJob]] = []
    dropped: set[int] = set()
    clock_ms = begin_ms
    ordered = sorted(jobs, key=lambda pair: pair[0])
    for number, (start_by_ms, job) in enumerate(ordered):
        if start_by_ms < begin_ms:
            dropped.add(number)
            continue
        heapq.heappush(selected, (rank(job), number, job))
        duration_ms = job.work / rate if rate > 0 else float("inf")
        clock_ms += duration_ms
        # The wait of a job's first task doesn't include the work of the job itself, and that of its
        # last task doesn't include the task.
        last = job.tasks if not whole or job.started else 1
        popped: list[tuple[Any, int, WaitingJob]] = []
        while selected and clock_ms - duration_ms * last / job.tasks > start_by_ms:
            least = heapq.heappop(selected)
            popped.append(least)
            clock_ms -= least[2].work / rate if rate > 0 else float("inf")
            if whole and least[1] == number:
                break
        if whole and popped and popped[-1][1] == number:
            # The others fit without this job, so none of them needs to be dropped for it.
            for least in popped[:-1]:
                heapq.heappush(selected, least)
                clock_ms += least[2].work / rate if rate > 0 else float("inf")
            del popped[:-1]
        dropped.update(least[1] for least in popped)
    kept = [job for number, (_, job) in enumerate(ordered) if number not in dropped]
    return kept, [job for number, (_, job) in enumerate(ordered) if number in dropped]


class RecentArrivals:
    """Recent arrivals of each queue, from which the value of a job is derived.

    Operators don't declare values of jobs. All queues have equal weight, so the value of a job is
    its share of the recent arrivals of its queue: when not all jobs can be served, a queue with
    much more arriving work than the others has more of its jobs refused.
    """

    def __init__(self) -> None:
        self._work: dict[str, float] = {}
        self._jobs: dict[str, float] = {}
        self._at_ms = 0.0

    def add(self, queue: str, work: float, now_ms: float) -> None:
        """Add the arrival of a job of ``queue`` with ``work`` core-milliseconds."""
        decay_factor = 0.5 ** ((now_ms - self._at_ms) / ARRIVAL_HALF_LIFE_MS)
        self._at_ms = now_ms
        for counts in (self._work, self._jobs):
            for name in counts:
                counts[name] *= decay_factor
        self._work[queue] = self._work.get(queue, 0.0) + work
        self._jobs[queue] = self._jobs.get(queue, 0.0) + 1.0

    def value(self, queue: str, work: float) -> float:
        """Return the value of a job of ``queue``.

        The share `FIXED_VALUE_SHARE` of it is the same for all jobs of the queue; the rest is
        proportional to ``work``.
        """
        jobs, total = self._jobs.get(queue, 0.0), self._work.get(queue, 0.0)
        if jobs <= 0 or total <= 0:
            return 1.0
        return FIXED_VALUE_SHARE / jobs + (1 - FIXED_VALUE_SHARE) * work / total


FIXED_VALUE_SHARE = 0.3
"""Share of the value of a job to its client that does not grow with its work, as the users
state."""


class StartedWorkRate:
    """Rate of work started in the last `RATE_WINDOW_MS`, in core-milliseconds per millisecond."""

    def __init__(self) -> None:
        self._starts: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, work: float, now_ms: float) -> None:
        """Add the start of a task with ``work`` core-milliseconds."""
        self._starts.append((now_ms, work))
        self._sum += work

    def rate(self, now_ms: float) -> float:
        """Return the mean rate of started work over the window."""
        while self._starts and self._starts[0][0] < now_ms - RATE_WINDOW_MS:
            self._sum -= self._starts.popleft()[1]
        return max(0.0, self._sum) / RATE_WINDOW_MS


def retry_after_ms(wait_ms: float, jitter: float) -> float:
    """Return the delay after which a refused client should retry: the time to drain the backlog.

    ``wait_ms`` is the estimated time to drain it. ``jitter``, from 0 to 1, adds up to the same
    delay again, so that clients refused at the same time don't all retry at once.
    """
    bounded_ms = min(max(wait_ms, MIN_RETRY_MS), MAX_RETRY_MS)
    return bounded_ms * (1.0 + jitter)
