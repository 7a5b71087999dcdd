"""Tests of the real dispatcher in the discrete-event simulation, under faults and overload."""

from __future__ import annotations

from bench import scenarios
from bench.measure import completed_work_ms
from bench.simulation import World, WorldConfig
from bench.workload import SLOWNESS_FACTORS, capacity, draw_arrivals
from snipewell.placement import ExpectedFinish

FLEET_CAPACITY = capacity(SLOWNESS_FACTORS)


def goodput(load: float) -> float:
    world = World(WorldConfig(ExpectedFinish()))
    world.schedule_arrivals(draw_arrivals(load, 40_000, 31, FLEET_CAPACITY))
    world.run(110_000)
    return completed_work_ms(world.totals.jobs, 5_000, 40_000) / (FLEET_CAPACITY * 35_000)


def test_goodput_at_twice_the_capacity_stays_near_the_peak() -> None:
    """Guards against congestion collapse, in which admitted work finishes after its deadline."""
    results = {load: goodput(load) for load in (0.7, 0.9, 2.0)}
    assert results[2.0] > 0.9 * max(results.values())


def test_fast_failing_upstream_does_not_attract_load() -> None:
    """Guards against preferring an upstream that appears idle because its tasks fail at once."""
    figures = scenarios.fail_fast().figures
    assert figures["share of starts on it"] < 1 / len(SLOWNESS_FACTORS)


def test_service_that_fails_everywhere_ejects_no_upstream() -> None:
    """Guards against ejecting upstreams for all client accounts because of one failing service."""
    assert scenarios.fail_everywhere().figures["most upstreams ejected"] == 0


def test_straggler_gets_little_work() -> None:
    """Guards against an upstream that becomes 10 times as slow but keeps its share of starts."""
    world = World(WorldConfig(ExpectedFinish()))
    world.schedule_arrivals(draw_arrivals(0.7, 40_000, 23, FLEET_CAPACITY))
    world.at(20_000, setattr, world.agents[0], "slow", 10.0)
    starts: list[tuple[int, int]] = []
    for at_ms in (22_000, 40_000):
        world.at(at_ms, lambda: starts.append((world.agents[0].started, world.totals.starts)))
    world.run(40_000)
    (own_starts_before, all_starts_before), (own_starts, all_starts) = starts
    assert own_starts - own_starts_before < 0.03 * (all_starts - all_starts_before)


def test_cancellation_wave_does_not_delay_later_work() -> None:
    """Guards against cancelled tasks that still delay other tasks."""
    figures = scenarios.cancel_wave().figures
    assert figures["cancelled"] > 9_000
    assert figures["single p50 after it, ms"] < 400


def test_throughput_while_a_zone_is_out_of_service() -> None:
    """Guards against work lost or delayed while an availability zone leaves and returns."""
    assert scenarios.move_zone().figures["work over remaining capacity"] >= 0.95


def test_many_entries_do_not_herd() -> None:
    """Guards against herding: entries that all choose the agent that is best in a stale view."""
    figures = scenarios.herd().figures
    assert figures["refused a task, 12 entries"] < 0.05
