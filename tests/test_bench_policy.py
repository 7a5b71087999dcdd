"""The real dispatcher in simulated time, under faults and overload."""

from __future__ import annotations

from bench import scenarios
from bench.measure import work_done
from bench.simulation import World, WorldConfig
from bench.workload import FACTORS, capacity, draw_arrivals
from snipewell.placement import ExpectedFinish

FLEET = capacity(FACTORS)


def goodput(load: float) -> float:
    world = World(WorldConfig(ExpectedFinish()))
    world.offer(draw_arrivals(load, 40_000, 31, FLEET))
    world.run(110_000)
    return work_done(world.totals.jobs, 5_000, 40_000) / (FLEET * 35_000)


def test_goodput_at_twice_the_capacity_stays_near_the_peak() -> None:
    """Guards against a collapse under overload, where admitted work ends too late."""
    results = {load: goodput(load) for load in (0.7, 0.9, 2.0)}
    assert results[2.0] > 0.9 * max(results.values())


def test_a_fast_failing_upstream_does_not_attract_load() -> None:
    """Guards against sending work to the upstream that looks idle because it fails at once."""
    figures = scenarios.fail_fast().figures
    assert figures["share of starts on it"] < 1 / len(FACTORS)


def test_a_service_that_fails_everywhere_ejects_no_upstream() -> None:
    """Guards against taking upstreams from all callers because of one broken service."""
    assert scenarios.fail_everywhere().figures["most upstreams ejected"] == 0


def test_a_straggler_gets_little_work() -> None:
    """Guards against an upstream that becomes 10 times as slow and keeps its share of work."""
    world = World(WorldConfig(ExpectedFinish()))
    world.offer(draw_arrivals(0.7, 40_000, 23, FLEET))
    world.at(20_000, setattr, world.agents[0], "slow", 10.0)
    starts: list[tuple[int, int]] = []
    for at_ms in (22_000, 40_000):
        world.at(at_ms, lambda: starts.append((world.agents[0].started, world.totals.starts)))
    world.run(40_000)
    (own_before, all_before), (own, everything) = starts
    assert own - own_before < 0.03 * (everything - all_before)


def test_work_goes_on_after_a_wave_of_cancellations() -> None:
    """Guards against cancelled tasks that still delay others."""
    figures = scenarios.cancel_wave().figures
    assert figures["cancelled"] > 9_000
    assert figures["single p50 after it, ms"] < 400


def test_work_during_a_zone_move() -> None:
    """Guards against work lost or held back while a zone leaves and returns."""
    assert scenarios.move_zone().figures["work over remaining capacity"] >= 0.95


def test_many_entries_do_not_choose_alike() -> None:
    """Guards against entries that all send to the agent that looks best in an old view."""
    figures = scenarios.herd().figures
    assert figures["refused a task, 12 entries"] < 0.05
