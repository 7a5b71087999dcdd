"""Figures of a simulated run: response over ideal, wasted messages, goodput, decision time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from hdrh.histogram import HdrHistogram

from bench.simulation import HOP_MS, ZONE_MS, Job, Totals, World, WorldConfig
from bench.workload import SLOTS, capacity, draw_arrivals

# Longer than the longest deadline, so that every submission has ended when it is counted.
DRAIN_MS = 70_000.0
WARM_MS = 5_000.0
SEEDS = (11, 12, 13)
_SCALE = 1000


def floor_ms(config: WorldConfig) -> float:
    """Return the network time of a submission whose agent is in the home's zone."""
    hold_ms = 2 * (HOP_MS + ZONE_MS) if config.entries > 1 else 0.0
    return hold_ms + 2 * HOP_MS


def ideal_ms(job: Job, config: WorldConfig) -> float:
    """Return a lower bound of the response time on the whole idle fleet.

    For one task: the fastest upstream, no queue. For a job: not less than its longest task on the
    fastest upstream, nor than its work on all slots of the fleet.
    """
    tasks = job.arrival.tasks_ms
    factors = list(config.factors)
    longest = max(tasks) * min(factors)
    return max(longest, sum(tasks) / capacity(factors, SLOTS)) + floor_ms(config)


def ratio_histogram(jobs: Iterable[Job], config: WorldConfig) -> HdrHistogram:
    """Return response over ideal of the completed ``jobs``, in thousandths."""
    histogram = HdrHistogram(1, 10_000_000, 3)
    for job in jobs:
        if job.state == "complete" and job.arrival.at_ms >= WARM_MS:
            ratio = (job.ended_ms - job.arrival.at_ms) / ideal_ms(job, config)
            histogram.record_value(max(1, round(ratio * _SCALE)))
    return histogram


def percentile(histogram: HdrHistogram, percent: float) -> float:
    """Return a percentile of ``histogram`` as a ratio; 0 without values."""
    return histogram.get_value_at_percentile(percent) / _SCALE if histogram.total_count else 0.0


def work_done(jobs: Iterable[Job], from_ms: float, to_ms: float, whole: bool = True) -> float:
    """Return the reference time of tasks that ended in an interval.

    With ``whole``, only tasks of jobs that completed count.
    """
    return sum(
        work
        for job in jobs
        if job.state == "complete" or not whole
        for ended, work in job.done
        if from_ms <= ended < to_ms
    )


@dataclass(slots=True)
class Figures:
    """One row of the table: a policy at one load."""

    policy: str
    load: float
    p50: float
    p99: float
    single_p50: float
    single_p99: float
    job_p50: float
    job_p99: float
    wasted: float
    goodput: float
    completed: float
    not_run: int
    late: int
    decision_us: float


def run_load(name: str, config: WorldConfig, load: float, duration_ms: float) -> Figures:
    """Run one policy at one load with each of the seeds and return the figures of all runs."""
    fleet = capacity(list(config.factors))
    all_jobs: list[Job] = []
    goodput = 0.0
    totals = Totals()
    for seed in SEEDS:
        world = World(replace(config, seed=seed))
        world.offer(draw_arrivals(load, duration_ms, seed, fleet))
        world.run(duration_ms + DRAIN_MS)
        run = world.totals
        all_jobs += run.jobs
        goodput += work_done(run.jobs, WARM_MS, duration_ms) / (duration_ms - WARM_MS)
        totals.refused += run.refused
        totals.retried += run.retried
        totals.not_run += run.not_run
        totals.completed_tasks += run.completed_tasks
        totals.decision_ns += run.decision_ns
    singles = [job for job in all_jobs if len(job.arrival.tasks_ms) == 1]
    larger = [job for job in all_jobs if len(job.arrival.tasks_ms) > 1]
    single, many = ratio_histogram(singles, config), ratio_histogram(larger, config)
    every = ratio_histogram(all_jobs, config)
    tasks = max(1, totals.completed_tasks)
    return Figures(
        name,
        load,
        percentile(every, 50),
        percentile(every, 99),
        percentile(single, 50),
        percentile(single, 99),
        percentile(many, 50),
        percentile(many, 99),
        (2 * totals.refused + 2 * totals.retried) / tasks,
        goodput / fleet / len(SEEDS),
        sum(job.state == "complete" for job in all_jobs) / (len(all_jobs) + totals.not_run),
        totals.not_run,
        sum(job.state == "late" for job in all_jobs),
        totals.decision_ns / 1000 / tasks,
    )
