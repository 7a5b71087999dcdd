"""Fault and overload scenarios, run with the default policy."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from statistics import median
from time import perf_counter_ns

from bench.baselines import PRODUCT, world_configs
from bench.measure import completed_work_ms, percentile, ratio_histogram
from bench.simulation import World, WorldConfig
from bench.workload import (
    SERVICES,
    SLOTS,
    SLOWNESS_FACTORS,
    ZONES,
    Arrival,
    capacity,
    draw_arrivals,
)

# Capacity of the fleet in reference milliseconds of work per millisecond.
FLEET_CAPACITY = capacity(SLOWNESS_FACTORS)


@dataclass(slots=True)
class ScenarioFigures:
    """Figures of one scenario, by name."""

    name: str
    figures: dict[str, float] = field(default_factory=dict)


def product_config(**changes: object) -> WorldConfig:
    """Return the configuration with the default policy, with ``changes`` applied."""
    return replace(world_configs()[PRODUCT], **changes)  # type: ignore[arg-type]


def fail_fast() -> ScenarioFigures:
    """Fail all tasks of one upstream after 5 ms each, from 20 s on."""
    world = World(product_config())
    world.schedule_arrivals(draw_arrivals(0.7, 60_000, 21, FLEET_CAPACITY))
    world.at(20_000, setattr, world.agents[0], "fails", True)
    counts: list[int] = []
    starts: list[int] = []
    for at_ms in (20_000, 60_000):
        world.at(at_ms, lambda: counts.append(world.agents[0].started))
        world.at(at_ms, lambda: starts.append(world.totals.starts))
    world.run(130_000)
    share = (counts[1] - counts[0]) / max(1, starts[1] - starts[0])
    failed = sum(job.state == "failed" for job in world.totals.jobs)
    return ScenarioFigures(
        "one upstream fails fast",
        {
            "share of starts on it": round(share, 4),
            "failed submissions": failed,
            "retried": world.totals.retried,
            "submissions": len(world.totals.jobs),
        },
    )


def fail_everywhere() -> ScenarioFigures:
    """Fail one service on every upstream from 20 s on; no upstream should be ejected."""
    world = World(product_config())
    arrivals = draw_arrivals(0.5, 60_000, 22, FLEET_CAPACITY)
    for arrival in arrivals:
        arrival.always_fails = arrival.service is SERVICES[0].spec and arrival.at_ms > 20_000
    world.schedule_arrivals(arrivals)
    most = [0]

    def sample_ejections() -> None:
        most[0] = max([most[0], *(len(entry.dispatcher.ejected()) for entry in world.entries)])
        world.after(100, sample_ejections)

    world.at(0, sample_ejections)
    world.run(60_000)
    return ScenarioFigures("one service fails everywhere", {"most upstreams ejected": most[0]})


def straggle() -> ScenarioFigures:
    """Make one of the fast upstreams 10 times as slow at 20 s; compare with a run without it."""
    result = ScenarioFigures("one upstream 10 times as slow")
    for name, slow in (("without", 1.0), ("with", 10.0)):
        config = product_config()
        world = World(config)
        world.schedule_arrivals(draw_arrivals(0.7, 60_000, 23, FLEET_CAPACITY))
        world.at(20_000, setattr, world.agents[0], "slow", slow)
        world.run(130_000)
        late = [job for job in world.totals.jobs if job.arrival.at_ms > 20_000]
        histogram = ratio_histogram(late, config)
        result.figures[f"p50 {name}"] = round(percentile(histogram, 50), 2)
        result.figures[f"p99 {name}"] = round(percentile(histogram, 99), 2)
    return result


def burst() -> ScenarioFigures:
    """Run at load 0.5, with a burst of 10 s at load 3.0 from 20 s on."""
    world = World(product_config())
    arrivals = draw_arrivals(0.5, 60_000, 24, FLEET_CAPACITY)
    extra = draw_arrivals(2.5, 10_000, 25, FLEET_CAPACITY)
    for arrival in extra:
        arrival.at_ms += 20_000
    world.schedule_arrivals(arrivals + extra)
    world.run(130_000)
    jobs = world.totals.jobs
    return ScenarioFigures(
        "burst",
        {
            "goodput in the burst": round(
                completed_work_ms(jobs, 21_000, 30_000) / (FLEET_CAPACITY * 9_000), 3
            ),
            "refused at once": world.totals.not_run,
            "late": sum(job.state == "late" for job in jobs),
            "submissions": len(arrivals) + len(extra),
        },
    )


def cancel_wave() -> ScenarioFigures:
    """Cancel 10,000 waiting single requests, 100 ms after the last arrived; other work goes on."""
    world = World(product_config())
    rng = Random(26)
    wave = [
        Arrival(10_000 + rng.uniform(0, 500), SERVICES[-1].spec, "team-00", [500.0])  # type: ignore[arg-type]
        for _ in range(10_000)
    ]
    world.schedule_arrivals(draw_arrivals(0.5, 40_000, 27, FLEET_CAPACITY) + wave)
    spent_ns: list[int] = []

    def cancel() -> None:
        own = [job for job in world.totals.jobs if job.arrival.tasks_ms == [500.0]]
        began = perf_counter_ns()
        for job in own:
            job.entry.end(job, "cancelled")
        spent_ns.append((perf_counter_ns() - began) // max(1, len(own)))

    world.at(10_600, cancel)
    world.run(60_000)
    cancelled = sum(job.state == "cancelled" for job in world.totals.jobs)
    later = [j for j in world.totals.jobs if 11_000 < j.arrival.at_ms < 20_000]
    waits = [job.ended_ms - job.arrival.at_ms for job in later if len(job.arrival.tasks_ms) == 1]
    return ScenarioFigures(
        "cancellation wave",
        {
            "cancelled": cancelled,
            "us a cancellation": round(spent_ns[0] / 1000, 1),
            "single p50 after it, ms": round(median(waits), 1),
        },
    )


def move_zone() -> ScenarioFigures:
    """Take the first availability zone out of service from 20 s to 50 s.

    The load is 0.9 of the whole fleet.
    """
    world = World(product_config())
    world.schedule_arrivals(draw_arrivals(0.9, 80_000, 28, FLEET_CAPACITY))
    leaving = [agent for agent in world.agents if agent.zone == ZONES[0]]
    for at_ms, in_service in ((20_000, False), (50_000, True)):
        for agent in leaving:
            world.at(at_ms, agent.set_in_service, in_service)
    world.run(150_000)
    staying = sum(SLOTS / agent.factor for agent in world.agents if agent not in leaving)
    jobs = world.totals.jobs
    done = completed_work_ms(jobs, 22_000, 50_000)
    after = completed_work_ms(jobs, 52_000, 80_000)
    return ScenarioFigures(
        "zone leaves and returns",
        {
            "work over remaining capacity": round(done / (staying * 28_000), 3),
            "tasks of failed jobs too": round(
                completed_work_ms(jobs, 22_000, 50_000, completed_jobs_only=False)
                / (staying * 28_000),
                3,
            ),
            "work after the return over offered": round(after / (0.9 * FLEET_CAPACITY * 28_000), 3),
            "refusals": world.totals.refused,
            "failed": sum(job.state == "failed" for job in jobs),
            "late": sum(job.state == "late" for job in jobs),
            "refused at once": world.totals.not_run,
        },
    )


def herd() -> ScenarioFigures:
    """Run 1, 3 and 12 entries on the same agents at load 0.7.

    The figures are refused and queued starts per task.
    """
    result = ScenarioFigures("many entries")
    for entries in (1, 3, 12):
        world = World(product_config(entries=entries))
        world.schedule_arrivals(draw_arrivals(0.7, 40_000, 29, FLEET_CAPACITY))
        world.run(60_000)
        tasks = max(1, world.totals.starts)
        result.figures[f"refused a task, {entries} entries"] = round(
            world.totals.refused / tasks, 4
        )
        queued = sum(agent.queued for agent in world.agents)
        result.figures[f"queued a task, {entries} entries"] = round(queued / tasks, 4)
    return result


SCENARIOS: dict[str, Callable[[], ScenarioFigures]] = {
    "fail_fast": fail_fast,
    "fail_everywhere": fail_everywhere,
    "straggle": straggle,
    "burst": burst,
    "cancel_wave": cancel_wave,
    "move_zone": move_zone,
    "herd": herd,
}
