"""Expected durations of tasks, without any I/O.

The expected duration of a task is the client's estimate times the correction of its queue, the
slowness of the upstream and, on a rack other than that of its data, the place factor of its queue.
An entry learns the corrections and the place factors from its ended runs. Estimates are off by a
similar factor for all tasks of a job, so each job counts once, with the median of its runs.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import isfinite
from statistics import median

from .ids import UpstreamId
from .job import JobId, QueueName, StepSpec

MAX_JOBS = 64
"""Number of the latest jobs of a queue from which its correction is computed."""
MAX_RUNS_PER_JOB = 8
"""Maximum number of runs of one job of which the durations are stored."""
MIN_JOBS = 8
"""Number of near and of far jobs from which a place factor is measured."""
MIN_CORRECTED_JOBS = 24
"""Number of jobs from which a correction is measured. With estimates off by up to 0.4, fewer jobs
of a queue with fair estimates are at times off by more than `FAIR_DEVIATION`."""
MIN_UPSTREAMS = 4
"""Number of upstreams from which a correction is measured, so that it isn't that of an upstream."""
FAIR_DEVIATION = 0.25
"""Deviation from 1.0 below which a correction counts as 1.0."""
MIN_CORRECTION = 0.25
MAX_CORRECTION = 4.0
SAMPLE_LIFETIME_MS = 60_000.0
"""Age at which the sample of a job expires."""
UPDATE_INTERVAL_MS = 100.0
"""Interval between two updates of the corrections, each of which sorts the samples."""
MAX_QUEUES = 256
"""Maximum number of queues with samples; the least recently used one is evicted."""
MIN_LOGGED_CHANGE = 0.1
"""Relative change from which a correction is reported as changed: the median moves a little with
most runs."""


@dataclass(frozen=True, slots=True)
class CorrectionChange:
    """A changed correction and its inputs.

    ``measured`` is the median of the queue before ``common``, the part that it shares with the
    other queues, is taken out. ``samples`` is the number of jobs.
    """

    queue: QueueName
    correction: float
    measured: float
    common: float
    samples: int
    upstreams: int
    queues: int


@dataclass(slots=True)
class _JobSample:
    """Ratios of actual to expected durations of runs of one job, every ``stride``-th of them.

    The first runs to end are the shortest ones, so a sample of only these would be too low.
    """

    ratios: list[float] = field(default_factory=list)
    stride: int = 1
    seen: int = 0
    median: float = 1.0
    upstream: UpstreamId = UpstreamId("")
    """Upstream of the latest run."""
    at_ms: float = 0.0

    def add(self, upstream: UpstreamId, ratio: float, now_ms: float) -> None:
        if self.seen % self.stride == 0:
            self.ratios.append(ratio)
            if len(self.ratios) > MAX_RUNS_PER_JOB:
                del self.ratios[1::2]
                self.stride *= 2
            self.median = median(self.ratios)
        self.seen += 1
        self.upstream = upstream
        self.at_ms = now_ms


@dataclass(frozen=True, slots=True)
class _Spread:
    """Quartiles of the samples of one queue."""

    low: float
    median: float
    high: float

    def correction(self, common: float) -> float:
        """Return the bounded correction beyond the factor ``common`` to all queues.

        It is 1.0 unless three quarters of the jobs are off in the same direction: estimates are off
        by up to 0.4 for each job, so the median of a fair queue is at times off by 0.25.
        """
        if self.low <= common <= self.high or _is_fair(self.median / common):
            return 1.0
        return min(max(self.median / common, MIN_CORRECTION), MAX_CORRECTION)


class _JobWindow:
    """Samples of the latest `MAX_JOBS` jobs, in the order of their latest runs."""

    def __init__(self) -> None:
        self._jobs: OrderedDict[JobId, _JobSample] = OrderedDict()

    def __len__(self) -> int:
        return len(self._jobs)

    def add(self, job: JobId, upstream: UpstreamId, ratio: float, now_ms: float) -> None:
        self._jobs.setdefault(job, _JobSample()).add(upstream, ratio, now_ms)
        self._jobs.move_to_end(job)
        if len(self._jobs) > MAX_JOBS:
            self._jobs.popitem(last=False)

    def expire(self, now_ms: float) -> bool:
        """Remove expired samples, and return whether there were any."""
        before = len(self._jobs)
        while self._jobs:
            oldest = next(iter(self._jobs))
            if now_ms - self._jobs[oldest].at_ms < SAMPLE_LIFETIME_MS:
                break
            del self._jobs[oldest]
        return len(self._jobs) < before

    def measure(self, min_jobs: int) -> _Spread | None:
        """Return the median and quartiles of the jobs; None with fewer than ``min_jobs``."""
        if len(self._jobs) < min_jobs:
            return None
        values = sorted(sample.median for sample in self._jobs.values())
        quarter = len(values) // 4
        return _Spread(values[quarter], median(values), values[-1 - quarter])

    def count_upstreams(self) -> int:
        return len({sample.upstream for sample in self._jobs.values()})


@dataclass(slots=True)
class _QueueSamples:
    """Samples of one queue. ``near`` and ``far`` are normalized without the place factor."""

    all: _JobWindow = field(default_factory=_JobWindow)
    near: _JobWindow = field(default_factory=_JobWindow)
    far: _JobWindow = field(default_factory=_JobWindow)
    measured: _Spread | None = None
    """Figures of ``all``, or None without enough samples."""
    place_factor: float | None = None
    """Measured place factor, or None without enough samples."""
    logged: float = 1.0
    """Correction that was last reported as changed."""

    def expire(self, now_ms: float) -> bool:
        """Remove expired samples, and return whether there were any."""
        expired = [window.expire(now_ms) for window in (self.all, self.near, self.far)]
        return any(expired)

    def measure(self, max_place_factor: float) -> None:
        """Update the measured figures from the samples."""
        enough = self.all.count_upstreams() >= MIN_UPSTREAMS
        self.measured = self.all.measure(MIN_CORRECTED_JOBS) if enough else None
        near, far = self.near.measure(MIN_JOBS), self.far.measure(MIN_JOBS)
        self.place_factor = None
        if near is not None and far is not None:
            self.place_factor = min(max(far.median / near.median, 1.0), max_place_factor)


class DurationModel:
    """Expected durations of the tasks of one entry.

    For example, if the tasks of a queue take twice as long as estimated and those of other queues
    don't, the correction of the queue becomes 2.0 after `MIN_CORRECTED_JOBS` jobs.
    """

    def __init__(self, spread_factor: float) -> None:
        self.changes: list[CorrectionChange] = []
        """Changed corrections; the calling code logs and removes them."""
        self._spread_factor = spread_factor
        self._queues: OrderedDict[QueueName, _QueueSamples] = OrderedDict()
        self._corrections: dict[QueueName, float] = {}
        self._changed: set[QueueName] = set()
        """Queues with samples since the last update of the corrections."""
        self._updated_ms = float("-inf")
        self._slowness: deque[float] = deque(maxlen=MAX_JOBS)
        """Slowness of the upstreams of the latest runs of all queues."""

    @classmethod
    def from_settings(cls, spread_factor: float) -> DurationModel:
        """Return a model without samples.

        ``spread_factor`` is the declared place factor; one that isn't at least 1.0 counts as 1.0.
        """
        return cls(spread_factor if isfinite(spread_factor) and spread_factor > 1.0 else 1.0)

    @property
    def corrections(self) -> Mapping[QueueName, float]:
        """Correction of each queue with enough samples."""
        return self._corrections

    def correction(self, queue: QueueName) -> float:
        """Return the ratio of durations to estimates of ``queue``, 1.0 until it is measured."""
        return self._corrections.get(queue, 1.0)

    def place_factor(self, queue: QueueName) -> float:
        """Return the ratio of durations of far runs to those of near runs of ``queue``."""
        samples = self._queues.get(queue)
        measured = samples.place_factor if samples is not None else None
        return self._spread_factor if measured is None else measured

    def expected_factor(self, queue: QueueName, near: bool | None) -> float:
        """Return the ratio of expected duration to estimate on an upstream of slowness 1.0.

        ``near`` is None for a task that names no place.
        """
        return self.correction(queue) * (self.place_factor(queue) if near is False else 1.0)

    def expected_ms(
        self, step: StepSpec, queue: QueueName, slowness: float, near: bool | None
    ) -> float:
        """Return the expected duration of a task of ``step`` on an upstream."""
        return step.estimate_ms * self.expected_factor(queue, near) * slowness

    def on_done(
        self,
        queue: QueueName,
        job: JobId,
        upstream: UpstreamId,
        estimate_ms: float,
        slowness: float,
        near: bool | None,
        elapsed_ms: float,
        now_ms: float,
    ) -> None:
        """Add a run that is done. ``slowness`` is that of the upstream's report at its start."""
        ratio = elapsed_ms / max(1.0, estimate_ms) / slowness if slowness > 0 else 0.0
        if not isfinite(ratio) or ratio <= 0:
            return
        samples = self._queues.setdefault(queue, _QueueSamples())
        self._queues.move_to_end(queue)
        if len(self._queues) > MAX_QUEUES:
            self._queues.popitem(last=False)
        if near is not None:
            (samples.near if near else samples.far).add(job, upstream, ratio, now_ms)
        place_factor = self.place_factor(queue) if near is False else 1.0
        samples.all.add(job, upstream, ratio / place_factor, now_ms)
        self._slowness.append(slowness)
        self._changed.add(queue)

    def tick(self, now_ms: float) -> None:
        """Update the corrections from new samples and remove expired ones, if that is due."""
        if now_ms - self._updated_ms < UPDATE_INTERVAL_MS:
            return
        self._updated_ms = now_ms
        changed = [
            samples
            for queue, samples in self._queues.items()
            if samples.expire(now_ms) or queue in self._changed
        ]
        self._changed.clear()
        for samples in changed:
            samples.measure(max(MAX_CORRECTION, self._spread_factor))
        if changed:
            self._update_corrections()

    def _update_corrections(self) -> None:
        measured = {
            queue: samples.measured
            for queue, samples in self._queues.items()
            if samples.measured is not None
        }
        common = _find_common(sorted(each.median for each in measured.values()), self._slowness)
        self._corrections = {queue: each.correction(common) for queue, each in measured.items()}
        for queue, samples in self._queues.items():
            correction = self.correction(queue)
            is_fair = correction == 1.0
            if is_fair is (samples.logged == 1.0) and (
                abs(correction / samples.logged - 1.0) < MIN_LOGGED_CHANGE
            ):
                continue
            samples.logged = correction
            self.changes.append(
                CorrectionChange(
                    queue,
                    correction,
                    samples.measured.median if samples.measured is not None else 1.0,
                    common,
                    len(samples.all),
                    samples.all.count_upstreams(),
                    len(measured),
                )
            )


def _find_common(measured: list[float], slowness: deque[float]) -> float:
    """Return the factor that the sorted medians of the queues have in common.

    A single queue doesn't show whether its estimates or the fleet are off, so it counts as the
    queue's. Of an even number of queues, the value between the two in the middle is chosen at which
    the fleet has ordinary speed: with one fair queue and one with estimates half as long as the
    tasks, that of the fair one. This also holds if the second one has already raised the reported
    slowness of most upstreams.
    """
    if len(measured) < 2 or all(_is_fair(value) for value in measured):
        return 1.0
    middle = len(measured) // 2
    if len(measured) % 2:
        return measured[middle]
    fleet = median(slowness)
    ordinary = 1.0 if _is_fair(fleet) else 1.0 / fleet
    return min(max(ordinary, measured[middle - 1]), measured[middle])


def _is_fair(value: float) -> bool:
    return abs(value - 1.0) < FAIR_DEVIATION
