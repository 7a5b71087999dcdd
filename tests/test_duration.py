"""Guards against estimates that make a fleet look slow, and against a slow fleet not noticed."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from statistics import median

import pytest

from snipewell.duration import (
    MAX_JOBS,
    MAX_QUEUES,
    MAX_RUNS_PER_JOB,
    MIN_CORRECTED_JOBS,
    MIN_JOBS,
    SAMPLE_LIFETIME_MS,
    UPDATE_INTERVAL_MS,
    DurationModel,
)
from snipewell.ids import UpstreamId
from snipewell.job import JobId, QueueName, ResourceVector, StepSpec
from snipewell.speed import SlownessEstimator

A, B = QueueName("a"), QueueName("b")
STEP = StepSpec(1, ResourceVector(1_000, 10), 300.0)
UPSTREAMS = 24


def add_jobs(
    model: DurationModel,
    ratio: float,
    queue: QueueName = A,
    near: bool | None = None,
    jobs: int = MIN_CORRECTED_JOBS,
    upstreams: int = 4,
) -> None:
    for number in range(jobs):
        upstream = UpstreamId(f"u{number % upstreams}")
        job = JobId(f"{queue}-{near}-{number}")
        model.on_done(queue, job, upstream, 300.0, 1.0, near, 300.0 * ratio, 0.0)
    model.tick(max(0.0, model._updated_ms) + UPDATE_INTERVAL_MS)


class Fleet:
    """Upstreams that measure their slowness, and an entry that learns from their runs.

    The true durations of a queue are ``errors`` times its estimates on average, and those of one
    job up to 0.4 off that. ``weights`` are the shares of the queues in the jobs.
    """

    def __init__(self, errors: dict[QueueName, float], weights: dict[QueueName, float]) -> None:
        self.errors, self.weights = errors, weights
        self.model = DurationModel.from_settings(1.0)
        self.speeds = [SlownessEstimator() for _ in range(UPSTREAMS)]
        self.running: list[dict[int, float]] = [{} for _ in range(UPSTREAMS)]
        self.now = 0.0
        self.rng = Random(7)
        self.ends: list[tuple[float, int, Callable[[], None]]] = []

    def run(self, for_ms: float, factor: Callable[[], float] = lambda: 1.0) -> None:
        """Run jobs, whose durations are multiplied by ``factor()``."""
        rng, until = self.rng, self.now + for_ms
        while self.now < until:
            self.now += rng.expovariate(0.1)
            while self.ends and self.ends[0][0] <= self.now:
                heapq.heappop(self.ends)[2]()
            self.model.tick(self.now)
            queue = rng.choices(list(self.weights), list(self.weights.values()))[0]
            job = JobId(str(self.now))
            error = self.errors[queue] * rng.uniform(0.6, 1.4)
            for _ in range(rng.randint(1, 8)):
                elapsed_ms = 300.0 * error * rng.uniform(0.9, 1.1) * factor()
                end = self.start(queue, job, elapsed_ms, self.now + elapsed_ms)
                heapq.heappush(self.ends, (self.now + elapsed_ms, rng.getrandbits(60), end))

    def start(
        self, queue: QueueName, job: JobId, elapsed_ms: float, end_ms: float
    ) -> Callable[[], None]:
        number = self.rng.randrange(UPSTREAMS)
        running, run = self.running[number], self.rng.getrandbits(60)
        slowness = self.speeds[number].slowness(list(running.values()), self.now)
        running[run] = elapsed_ms / 300.0 / self.model.expected_factor(queue, None)

        def end() -> None:
            self.speeds[number].add_sample(running.pop(run), end_ms)
            upstream = UpstreamId(f"u{number}")
            self.model.on_done(queue, job, upstream, 300.0, slowness, None, elapsed_ms, end_ms)

        return end

    def slowness(self) -> float:
        return median(speed.slowness([], self.now) for speed in self.speeds)


@pytest.mark.parametrize("share", [0.3, 0.9])
def test_a_queue_with_estimates_half_as_long_does_not_make_a_healthy_fleet_look_slow(
    share: float,
) -> None:
    """With 90% of the jobs, it raises the slowness of all upstreams before it is corrected."""
    fleet = Fleet({A: 1.0, B: 1.0}, {A: share, B: 1.0 - share})
    fleet.run(5_000.0)
    assert (fleet.model.correction(A), fleet.model.correction(B)) == (1.0, 1.0)
    fleet.errors[A] = 2.0
    fleet.run(10_000.0)
    assert fleet.model.correction(A) == pytest.approx(2.0, rel=0.25)
    assert fleet.model.correction(B) == 1.0
    assert fleet.slowness() < 1.25


def test_a_fleet_that_turns_slow_is_not_hidden_by_corrections() -> None:
    """Tasks would be placed and refused by durations that no upstream reaches any more."""
    fleet = Fleet({A: 1.0, B: 1.0}, {A: 0.5, B: 0.5})
    fleet.run(5_000.0)
    for _ in range(20):
        fleet.run(250.0, lambda: 3.0)
        assert (fleet.model.correction(A), fleet.model.correction(B)) == (1.0, 1.0)
    assert fleet.slowness() > 2.0


def test_a_long_tail_is_no_correction() -> None:
    """3% of the tasks take seven times as long; a mean would be 18% too high."""
    fleet = Fleet({A: 1.0}, {A: 1.0})
    for _ in range(20):
        fleet.run(500.0, lambda: 7.0 if fleet.rng.random() < 0.03 else 1.0)
        assert fleet.model.correction(A) == 1.0
    assert fleet.slowness() < 1.25


def test_a_correction_needs_enough_jobs_and_upstreams() -> None:
    """One large job with a wrong estimate, or one slow upstream, would correct a whole queue."""
    for jobs, upstreams in ((MIN_CORRECTED_JOBS - 1, 4), (MIN_CORRECTED_JOBS, 3)):
        model = DurationModel.from_settings(1.0)
        for _ in range(20):
            add_jobs(model, 2.0, jobs=jobs, upstreams=upstreams)
        assert model.correction(A) == 1.0
    add_jobs(model, 2.0)
    assert model.expected_ms(STEP, A, 1.5, None) == pytest.approx(900.0)
    assert [(change.queue, change.correction) for change in model.changes] == [(A, 2.0)]


def test_few_jobs_with_rough_estimates_are_no_correction() -> None:
    """Of 8 jobs with fair estimates, each off by up to 0.4, five may well be off by over 0.25."""
    model = DurationModel.from_settings(1.0)
    for number, ratio in enumerate((0.6, 0.8, 0.95, 1.26, 1.27, 1.3, 1.35, 1.4) * 3):
        upstream = UpstreamId(f"u{number}")
        model.on_done(A, JobId(str(number)), upstream, 300.0, 1.0, None, 300.0 * ratio, 0.0)
    model.tick(0.0)
    assert model.correction(A) == 1.0


def test_rough_estimates_of_fair_queues_are_not_corrected() -> None:
    """Guards against corrections by chance, which made fair queues appear slow or fast."""
    for seed in range(300):
        rng = Random(seed)
        model = DurationModel.from_settings(1.0)
        for number in range(2 * MAX_JOBS):
            upstream, job = UpstreamId(f"u{number % 9}"), JobId(str(number))
            elapsed_ms = 300.0 * rng.uniform(0.6, 1.4)
            model.on_done(A, job, upstream, 300.0, 1.0, None, elapsed_ms, 0.0)
            model.tick(number * UPDATE_INTERVAL_MS)
        assert not model.changes, seed


@pytest.mark.parametrize(
    ("ratio", "correction"), [(1.24, 1.0), (0.76, 1.0), (9.0, 4.0), (0.1, 0.25)]
)
def test_a_correction_is_bounded_and_ignores_fair_estimates(
    ratio: float, correction: float
) -> None:
    model = DurationModel.from_settings(1.0)
    add_jobs(model, ratio)
    assert model.correction(A) == correction


def test_far_runs_measure_the_place_factor_and_not_a_correction() -> None:
    """Tasks on other racks would make their queue appear underestimated."""
    model = DurationModel.from_settings(3.0)
    add_jobs(model, 3.0, near=False)
    assert (model.correction(A), model.place_factor(A)) == (1.0, 3.0)
    add_jobs(model, 1.0, near=True, jobs=MIN_JOBS - 1)
    assert model.place_factor(A) == 3.0
    add_jobs(model, 1.0, near=True)
    add_jobs(model, 1.5, near=False, jobs=MAX_JOBS)
    assert model.place_factor(A) == 1.5
    assert model.expected_factor(A, True) == model.expected_factor(A, None) == model.correction(A)


def test_memory_is_bounded() -> None:
    """Names of queues and jobs come from clients and operators, and a job may have any size."""
    model = DurationModel.from_settings(1.0)
    for number in range(MAX_QUEUES + 10):
        add_jobs(model, 2.0, QueueName(str(number)), jobs=1)
    add_jobs(model, 2.0, jobs=MAX_JOBS + 10)
    for number in range(1_000):
        model.on_done(A, JobId("large"), UpstreamId("u"), 300.0, 1.0, None, number + 1.0, 0.0)
    assert len(model._queues) == MAX_QUEUES
    jobs = model._queues[A].all._jobs
    assert len(jobs) == MAX_JOBS
    assert len(jobs[JobId("large")].ratios) <= MAX_RUNS_PER_JOB
    # The runs that are kept represent all of the job, not the first ones, which are the shortest.
    assert jobs[JobId("large")].median == pytest.approx(500.0 / 300.0, rel=0.25)


def test_old_samples_expire() -> None:
    """A queue whose clients corrected their estimates would stay corrected."""
    model = DurationModel.from_settings(2.0)
    add_jobs(model, 2.0)
    model.tick(SAMPLE_LIFETIME_MS - 1.0)
    assert model.correction(A) == 2.0
    model.tick(SAMPLE_LIFETIME_MS + UPDATE_INTERVAL_MS)
    assert model.correction(A) == 1.0
    assert [change.correction for change in model.changes] == [2.0, 1.0]


def test_a_restarted_entry_begins_with_the_declared_figures() -> None:
    for declared, used in ((3.0, 3.0), (1.0, 1.0), (0.0, 1.0), (float("nan"), 1.0)):
        model = DurationModel.from_settings(declared)
        assert (model.correction(A), model.place_factor(A)) == (1.0, used)
        assert model.expected_ms(STEP, A, 1.0, False) == 300.0 * used


@pytest.mark.parametrize("slowness", [0.0, -1.0, float("nan")])
def test_odd_reports_are_ignored(slowness: float) -> None:
    """A malformed report of an agent would stop the entry or make its durations unusable."""
    model = DurationModel.from_settings(1.0)
    add_jobs(model, 2.0)
    for elapsed_ms in (float("nan"), float("inf"), 0.0, -5.0, 300.0):
        model.on_done(A, JobId("x"), UpstreamId("u"), 0.0, slowness, None, elapsed_ms, 0.0)
    assert model.correction(A) == 2.0
