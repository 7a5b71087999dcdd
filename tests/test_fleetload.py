"""Load on a fleet whose upstreams change: newcomers, releases, and upstreams that crash silently.

The production cores run in `jobsim`, without a network. Each test names the pattern it answers.
"""

from __future__ import annotations

import pytest

from .jobsim import MAX_HOLD_MS, RESUBMIT_DELAY_MS, JobSim, RunRecord, SimUpstream

WORK_MS = 300.0
SEEDS = range(4)


def submit_steadily(sim: JobSim, for_ms: float, interval_ms: float) -> None:
    """Submit a job of two tasks every ``interval_ms``, at the entries in turn."""
    for number in range(int(for_ms / interval_ms)):
        entry = sim.entries[number % len(sim.entries)]
        sim.after(number * interval_ms, lambda e=entry: sim.submit(e, 2, WORK_MS))  # type: ignore[misc]


def finish(sim: JobSim) -> None:
    """Run until all jobs have ended, for 10 s at most, and check the promises."""
    for _ in range(20):
        if sim.is_idle():
            break
        sim.run(500)
    assert sim.overlaps() == []
    assert sim.unanswered() == []


def list_runs(sim: JobSim, upstream: SimUpstream, since_ms: float) -> list[RunRecord]:
    return [r for r in sim.records if r.upstream == upstream.name and r.start_ms >= since_ms]


def count_rejections(sim: JobSim) -> int:
    return sum(entry.core.counters.rejected_starts for entry in sim.entries)


@pytest.mark.parametrize("seed", SEEDS)
def test_empty_newcomers_get_work_at_once_and_no_herd(seed: int) -> None:
    """Pattern: scale-out in saturation. All entries see the same free capacity at the same time."""
    sim = JobSim(seed)
    sim.run(500)
    submit_steadily(sim, 3_000, 18)
    sim.run(1_500)
    joined_ms, rejected, started = sim.now, count_rejections(sim), len(sim.records)
    newcomers = [sim.add_upstream().upstream for _ in range(2)]
    sim.run(600)
    for upstream in newcomers:
        runs = list_runs(sim, upstream, joined_ms)
        assert runs and runs[0].start_ms - joined_ms <= 100.0
    assert 2 * (count_rejections(sim) - rejected) <= len(sim.records) - started
    sim.run(1_500)
    finish(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_release_that_replaces_upstreams_in_turn_loses_no_job(seed: int) -> None:
    """Pattern: release beside a scale-in. One upstream after another restarts empty; one leaves."""
    sim = JobSim(seed, agent_count=6)
    sim.run(500)
    submit_steadily(sim, 4_000, 40)
    for number, agent in enumerate(sim.agents[:4]):

        def replace(agent=agent) -> None:  # type: ignore[no-untyped-def]
            agent.upstream.crash()
            agent.holding = False
            agent.core.on_heartbeat(agent.upstream.describe(), sim.now)
            agent.perform()

        sim.after(500 + 600 * number, replace)
    leaving = sim.agents[5]
    sim.after(1_200, lambda: leaving.run_or_defer(lambda: leaving.core.drain(sim.now)))
    sim.run(4_500)
    finish(sim)
    assert sim.completed() == len(sim.clients)
    for agent in sim.agents[:4]:
        assert list_runs(sim, agent.upstream, agent.upstream.born_ms)


@pytest.mark.parametrize("seed", SEEDS)
def test_tasks_of_an_upstream_that_crashed_silently_run_elsewhere_soon(seed: int) -> None:
    """Pattern: silent crash. No call is answered until the upstream is back seconds later."""
    sim = JobSim(seed)
    sim.run(500)
    submit_steadily(sim, 3_000, 100)
    lost = sim.upstreams[0]
    sim.run(1_000)
    lost_ms, lost.silent = sim.now, True
    for run in lost.running.values():
        run.record.end_ms, run.record.how = sim.now, "crashed"
    lost.running.clear()
    # Silence of 400 ms, the lease, and the margins of calls and ticks; then the task runs again on
    # the slowest upstream (0.6).
    bound_ms = 400.0 + MAX_HOLD_MS / 0.98 + 300.0 + WORK_MS / 0.6 + 300.0
    sim.run(bound_ms)
    before = [client for client in sim.clients if int(client.job[3:]) * 100 < 1_000]
    assert [client.job for client in before if client.outcome is None] == []
    assert list_runs(sim, lost, lost_ms) == []
    sim.run(3_000)
    finish(sim)
    assert sim.completed() == len(sim.clients)


@pytest.mark.parametrize("seed", SEEDS)
def test_work_starts_again_soon_after_all_processes_lost_power(seed: int) -> None:
    """Pattern: loss of power. Clients send again, so twice the load meets an empty fleet."""
    sim = JobSim(seed, agent_count=8)
    sim.run(500)
    submit_steadily(sim, 3_000, 40)
    sim.run(1_500)
    for upstream in sim.upstreams:
        upstream.crash()
    for agent in sim.agents:
        agent.kill()
    for entry in sim.entries:
        entry.kill()
    killed_ms = sim.now
    sim.run(RESUBMIT_DELAY_MS + 200)
    assert any(record.start_ms > killed_ms for record in sim.records)
    sim.run(2_000)
    finish(sim)
    assert sim.completed() == len(sim.clients)
