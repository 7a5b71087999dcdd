"""Metrics of simulated runs: response time over ideal, wasted messages, goodput, decision time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from hdrh.histogram import HdrHistogram

from bench.simulation import CROSS_ZONE_MS, HOP_MS, Job, Totals, World, WorldConfig
from bench.workload import SLOTS, capacity, draw_arrivals

# Longer than the longest deadline, so that every submission has ended when it is counted.
DRAIN_MS = 70_000.0
# Warm-up: jobs that arrive earlier have no ratio, and tasks that end earlier add no goodput.
WARMUP_MS = 5_000.0
SEEDS = (11, 12, 13)
# Histograms store integers, so ratios are recorded in thousandths.
_SCALE = 1000


def min_network_ms(config: WorldConfig) -> float:
    """Return the minimum network time of a submission, with the agent in the leader's zone.

    It consists of one round trip to a replica in another zone, if there is more than one entry, and
    one round trip to the agent.
    """
    replication_ms = 2 * (HOP_MS + CROSS_ZONE_MS) if config.entries > 1 else 0.0
    return replication_ms + 2 * HOP_MS


def ideal_ms(job: Job, config: WorldConfig) -> float:
    """Return a lower bound of the response time of ``job`` on an idle fleet.

    For a single task, this is its duration on the fastest upstream without queueing. A job takes at
    least as long as its longest task on the fastest upstream, and as its total work on all slots of
    the fleet. The minimum network time is added.
    """
    tasks = job.arrival.tasks_ms
    factors = list(config.factors)
    longest = max(tasks) * min(factors)
    return max(longest, sum(tasks) / capacity(factors, SLOTS)) + min_network_ms(config)


def ratio_histogram(jobs: Iterable[Job], config: WorldConfig) -> HdrHistogram:
    """Return the histogram of response time over ideal of the completed ``jobs``, in thousandths.

    Jobs that arrived during the warm-up are excluded.
    """
    histogram = HdrHistogram(1, 10_000_000, 3)
    for job in jobs:
        if job.state == "complete" and job.arrival.at_ms >= WARMUP_MS:
            ratio = (job.ended_ms - job.arrival.at_ms) / ideal_ms(job, config)
            histogram.record_value(max(1, round(ratio * _SCALE)))
    return histogram


def percentile(histogram: HdrHistogram, percent: float) -> float:
    """Return a percentile of ``histogram`` as a ratio, or 0 if the histogram is empty."""
    return histogram.get_value_at_percentile(percent) / _SCALE if histogram.total_count else 0.0


def completed_work_ms(
    jobs: Iterable[Job], from_ms: float, to_ms: float, completed_jobs_only: bool = True
) -> float:
    """Return the reference milliseconds of the tasks that ended in ``[from_ms, to_ms)``.

    With ``completed_jobs_only``, only tasks of completed jobs count.
    """
    return sum(
        work
        for job in jobs
        if job.state == "complete" or not completed_jobs_only
        for ended, work in job.done
        if from_ms <= ended < to_ms
    )


@dataclass(slots=True)
class PolicyFigures:
    """The metrics of one placement policy at one load: a row of the printed table.

    ``p50`` to ``job_p99`` are ratios of response time to ideal, ``wasted`` is in messages for each
    completed task, ``goodput`` is relative to the fleet's capacity, and ``decision_us`` is the real
    duration of placement decisions for each completed task.
    """

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


def run_load(name: str, config: WorldConfig, load: float, duration_ms: float) -> PolicyFigures:
    """Run one policy at one load with each seed in ``SEEDS``; return the metrics over all runs."""
    fleet_capacity = capacity(list(config.factors))
    all_jobs: list[Job] = []
    goodput = 0.0
    totals = Totals()
    for seed in SEEDS:
        world = World(replace(config, seed=seed))
        world.schedule_arrivals(draw_arrivals(load, duration_ms, seed, fleet_capacity))
        world.run(duration_ms + DRAIN_MS)
        run = world.totals
        all_jobs += run.jobs
        goodput += completed_work_ms(run.jobs, WARMUP_MS, duration_ms) / (duration_ms - WARMUP_MS)
        totals.refused += run.refused
        totals.retried += run.retried
        totals.not_run += run.not_run
        totals.completed_tasks += run.completed_tasks
        totals.decision_ns += run.decision_ns
    single_jobs = [job for job in all_jobs if len(job.arrival.tasks_ms) == 1]
    multi_jobs = [job for job in all_jobs if len(job.arrival.tasks_ms) > 1]
    single, multi = ratio_histogram(single_jobs, config), ratio_histogram(multi_jobs, config)
    all_ratios = ratio_histogram(all_jobs, config)
    tasks = max(1, totals.completed_tasks)
    return PolicyFigures(
        name,
        load,
        percentile(all_ratios, 50),
        percentile(all_ratios, 99),
        percentile(single, 50),
        percentile(single, 99),
        percentile(multi, 50),
        percentile(multi, 99),
        # A refused or failed start wastes two messages: the start and the reply to it.
        (2 * totals.refused + 2 * totals.retried) / tasks,
        goodput / fleet_capacity / len(SEEDS),
        sum(job.state == "complete" for job in all_jobs) / (len(all_jobs) + totals.not_run),
        totals.not_run,
        sum(job.state == "late" for job in all_jobs),
        totals.decision_ns / 1000 / tasks,
    )
