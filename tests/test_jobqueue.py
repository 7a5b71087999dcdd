"""Guards against overload that makes all jobs late, or starves a queue, a job size or old work.

Each load pattern is simulated with a fixed seed under the plan and under simpler policies.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from random import Random

import pytest

from snipewell.jobqueue import (
    MAX_RETRY_MS,
    MIN_RETRY_MS,
    Plan,
    RecentArrivals,
    StartedWorkRate,
    Timing,
    WaitingJob,
    plan,
    retry_after_ms,
)

RATE = 10.0
"""Rate of started work in these tests, in core-milliseconds per millisecond."""


def waiting_job(
    name: str,
    arrived: float = 0.0,
    chain: float = 100.0,
    work: float = 100.0,
    value: float = 1.0,
    started: bool = False,
) -> WaitingJob:
    timing = Timing(arrived, chain, 1.6 * chain + 60.0, arrived + 10_000.0)
    return WaitingJob(name, timing, chain, work, value, started)


def test_jobs_that_fit_are_served_by_their_latest_start() -> None:
    """Service in order of arrival would delay the short job behind the long one."""
    jobs = [waiting_job("long", chain=1_000.0), waiting_job("short", chain=50.0)]
    assert plan(jobs, RATE, 0.0) == Plan(["short", "long"], [], [])


def test_jobs_of_least_value_per_work_are_deferred_when_not_all_fit() -> None:
    """The job "dear" has the least value per unit of work."""
    jobs = [
        waiting_job("dear", work=1_300.0, value=1.0),
        waiting_job("cheap", work=1_300.0, value=5.0),
    ]
    planned = plan([*jobs, waiting_job("small", chain=50.0, work=10.0)], RATE, 0.0)
    assert planned.late == ["dear"]
    assert set(planned.timely) == {"cheap", "small"}


def test_a_job_past_its_objective_waits_behind_those_that_can_meet_theirs() -> None:
    jobs = [waiting_job("old", arrived=-150.0), waiting_job("new")]
    planned = plan(jobs, RATE, 0.0)
    assert (planned.timely, planned.late) == (["new"], ["old"])


def test_an_expired_job_is_infeasible_at_once() -> None:
    """It must be refused now, not only when the timeout of its client expires."""
    assert plan([waiting_job("gone", arrived=-700.0)], RATE, 0.0).infeasible == ["gone"]


def test_a_backlog_of_seconds_makes_most_jobs_infeasible() -> None:
    jobs = [waiting_job(str(number), work=1_000.0) for number in range(50)]
    planned = plan(jobs, RATE, 0.0)
    assert len(planned.timely) + len(planned.late) < 15
    assert len(planned.infeasible) > 35


def test_a_plan_at_a_rate_of_zero_contains_every_job() -> None:
    planned = plan([waiting_job("a")], 0.0, 0.0)
    assert planned.timely + planned.late + planned.infeasible == ["a"]


Policy = Callable[[Iterable[WaitingJob], float], list[str]]
SLOTS = 40


def serve_in_arrival_order(jobs: Iterable[WaitingJob], now: float) -> list[str]:
    return [job.name for job in sorted(jobs, key=lambda job: job.timing.arrived_ms)]


def serve_by_due_time(jobs: Iterable[WaitingJob], now: float) -> list[str]:
    return [job.name for job in sorted(jobs, key=lambda job: job.timing.due_ms)]


def serve_by_plan(jobs: Iterable[WaitingJob], now: float) -> list[str]:
    planned = plan(jobs, SLOTS, now)
    started = {job.name for job in jobs if job.started}
    first = [name for name in planned.late if name in started]
    return [*first, *planned.timely]


class Fleet:
    """Simulated fleet of ``SLOTS`` slots for one task each, and the jobs waiting for them."""

    def __init__(self, policy: Policy, load: float, seed: int) -> None:
        self.policy = policy
        self.rng = Random(seed)
        # Duration of a task in ms, number of tasks, share of the arrivals.
        self.kinds = {
            "quick": (120.0, 8, 0.24),
            "long": (1_800.0, 4, 0.05),
            "plain": (400.0, 2, 0.71),
        }
        mean = sum(share * chain * tasks for chain, tasks, share in self.kinds.values())
        self.arrivals_per_ms = load * SLOTS / mean
        self.arrivals = RecentArrivals()
        self.jobs: dict[str, WaitingJob] = {}
        self.left: dict[str, int] = {}
        self.running: list[tuple[float, str]] = []
        self.served = {kind: [0, 0] for kind in self.kinds}
        self.value = self.total = 0.0

    def arrive(self, number: int, now: float) -> None:
        kind = self.rng.choices(list(self.kinds), [share for *_, share in self.kinds.values()])[0]
        chain, tasks, _ = self.kinds[kind]
        chain *= self.rng.uniform(0.5, 1.5)
        self.arrivals.add(kind, chain * tasks, now)
        value = self.arrivals.value(kind, chain * tasks)
        name = f"{kind} {number}"
        self.jobs[name] = waiting_job(name, now, chain, chain * tasks, value)
        self.left[name] = tasks
        self.served[kind][1] += 1
        self.total += value

    def start(self, now: float) -> None:
        queue = [job for job in self.jobs.values() if job.work > 1e-6]
        for name in self.policy(queue, now):
            job = self.jobs[name]
            while job.work > 1e-6 and len(self.running) < SLOTS:
                heapq.heappush(self.running, (now + job.remaining_ms, name))
                job.work -= job.remaining_ms
                job.started = True

    def finish(self, now: float) -> None:
        while self.running and self.running[0][0] <= now:
            at, name = heapq.heappop(self.running)
            self.left[name] -= 1
            if self.left[name] == 0:
                job = self.jobs.pop(name)
                if at <= job.timing.due_ms:
                    self.value += job.value
                    self.served[name.split()[0]][0] += 1


def simulate(policy: Policy, load: float, seed: int) -> tuple[float, dict[str, float]]:
    """Simulate ``load`` times the capacity; return the shares of value and of each kind in time."""
    fleet = Fleet(policy, load, seed)
    now, number, next_ms = 0.0, 0, 0.0
    while now < 12_000.0:
        while next_ms <= now:
            fleet.arrive(number, now)
            number += 1
            next_ms += fleet.rng.expovariate(fleet.arrivals_per_ms)
        fleet.finish(now)
        fleet.start(now)
        now += 10.0
    shares = {kind: done / max(1, asked) for kind, (done, asked) in fleet.served.items()}
    return fleet.value / fleet.total, shares


@pytest.mark.parametrize("load", [1.1, 1.3, 1.8])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_in_a_burst_the_plan_serves_more_value_in_time_than_simpler_policies(
    load: float, seed: int
) -> None:
    value_share, _ = simulate(serve_by_plan, load, seed)
    assert value_share > simulate(serve_in_arrival_order, load, seed)[0]
    assert value_share > simulate(serve_by_due_time, load, seed)[0]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_in_a_burst_no_kind_of_job_starves(seed: int) -> None:
    """The users require at least two fifths of each kind in time on their heaviest days."""
    _, shares = simulate(serve_by_plan, 1.3, seed)
    assert min(shares.values()) >= 0.4


def test_at_a_moderate_load_nearly_all_value_is_served_in_time() -> None:
    value_share, _ = simulate(serve_by_plan, 0.5, 1)
    assert value_share > 0.95


def test_jobs_of_a_queue_with_high_demand_have_less_value() -> None:
    """Operators declare no values of jobs, so a burst on one queue must not displace the others."""
    arrivals = RecentArrivals()
    for number in range(100):
        arrivals.add("flood", 100.0, number)
    arrivals.add("calm", 100.0, 100.0)
    assert arrivals.value("calm", 100.0) > 10 * arrivals.value("flood", 100.0)


def test_old_demand_decays() -> None:
    arrivals = RecentArrivals()
    for number in range(100):
        arrivals.add("flood", 100.0, number)
    before = arrivals.value("flood", 100.0)
    arrivals.add("flood", 100.0, 30_000.0)
    assert arrivals.value("flood", 100.0) > 5 * before


def test_starts_older_than_the_window_do_not_count() -> None:
    rate = StartedWorkRate()
    rate.add(5_000.0, 0.0)
    assert rate.rate(500.0) == pytest.approx(5.0)
    assert rate.rate(2_000.0) == 0.0


def test_retry_delays_are_jittered_and_bounded() -> None:
    """Simultaneous retries of all refused clients would cause the next burst."""
    assert retry_after_ms(1_000.0, 0.0) == 1_000.0
    assert retry_after_ms(1_000.0, 1.0) == 2_000.0
    assert retry_after_ms(0.0, 0.0) == MIN_RETRY_MS
    assert retry_after_ms(1e9, 0.0) == MAX_RETRY_MS
