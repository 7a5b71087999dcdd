"""Guards against overlapping runs of one task and jobs without an outcome, under faults.

The cores of entries and agents run against simulated upstreams and clients, see `jobsim`.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable, Iterator
from random import Random

import pytest

from snipewell.job import JobEnded, JobState

from .jobsim import RESUBMIT_DELAY_MS, Client, JobSim

SEEDS = range(12)
DEADLY_SEEDS = range(24)
FAULT_MS = 6_000.0
"""Period in which jobs are submitted and faults begin."""


def kill_entry(sim: JobSim, rng: Random) -> None:
    rng.choice(sim.entries).kill()


def pause_entry(sim: JobSim, rng: Random) -> None:
    entry = rng.choice(sim.entries)
    entry.paused = True
    # Clients of an unresponsive entry time out and submit the job through another entry.
    for client in list(entry.waiting.values()):
        if rng.random() < 0.5:
            client.reset_connection()
    sim.after(rng.uniform(300, 4_000), entry.resume)


def kill_agent(sim: JobSim, rng: Random) -> None:
    agent = rng.choice(sim.agents)
    if not agent.paused:
        agent.kill()


def pause_agent(sim: JobSim, rng: Random) -> None:
    agent = rng.choice(sim.agents)
    if not agent.paused:
        agent.paused = True
        incarnation = agent.incarnation
        sim.after(
            rng.uniform(300, 4_000),
            lambda: agent.resume() if agent.incarnation == incarnation else None,
        )


def suspend_entry(sim: JobSim, rng: Random) -> None:
    """Suspend the VM of an entry, whose monotonic clock stands still meanwhile."""
    entry = rng.choice(sim.entries)
    if entry.paused:
        return
    for client in list(entry.waiting.values()):
        if rng.random() < 0.5:
            client.reset_connection()
    entry.suspend(rng.uniform(300, 4_000))


def suspend_agent(sim: JobSim, rng: Random) -> None:
    """Suspend the VM of an agent, whose monotonic clock stands still meanwhile."""
    agent = rng.choice(sim.agents)
    if not agent.paused:
        agent.suspend(rng.uniform(300, 4_000))


def cut_link(sim: JobSim, rng: Random) -> None:
    entry, upstream = rng.choice(sim.entries), rng.choice(sim.upstreams)
    sim.cut(entry.name, upstream.name)
    sim.after(rng.uniform(200, 4_000), sim.heal)


def cut_link_one_way(sim: JobSim, rng: Random) -> None:
    entry, upstream = rng.choice(sim.entries), rng.choice(sim.upstreams)
    names = [entry.name, upstream.name]
    rng.shuffle(names)
    sim.cut(names[0], names[1], one_way=True)
    sim.after(rng.uniform(200, 4_000), sim.heal)


def isolate_entry(sim: JobSim, rng: Random) -> None:
    """Cut the links between an entry and all agents, and break its clients' connections."""
    entry = rng.choice(sim.entries)
    for upstream in sim.upstreams:
        sim.cut(entry.name, upstream.name)
    for client in list(entry.waiting.values()):
        client.reset_connection()
    sim.after(rng.uniform(200, 4_000), sim.heal)


def reset_clients(sim: JobSim, rng: Random) -> None:
    for entry in sim.entries:
        for client in list(entry.waiting.values()):
            if rng.random() < 0.5:
                client.reset_connection()


def defer_upstream_calls(sim: JobSim, rng: Random) -> None:
    for upstream in sim.upstreams:
        upstream.deferred_call_share = 0.3
    sim.after(2_000, lambda: stop_deferring_calls(sim))


def stop_deferring_calls(sim: JobSim) -> None:
    for upstream in sim.upstreams:
        upstream.deferred_call_share = 0.0


def crash_upstream(sim: JobSim, rng: Random) -> None:
    upstream = rng.choice(sim.upstreams)
    upstream.crash()
    agent = next(agent for agent in sim.agents if agent.upstream is upstream)
    agent.holding = False
    sim.after(
        200,
        lambda: agent.run_or_defer(
            lambda: agent.core.on_heartbeat(upstream.describe(), agent.clock.now_ms())
        ),
    )


def hang_upstream(sim: JobSim, rng: Random) -> None:
    upstream = rng.choice(sim.upstreams)
    upstream.hangs = True
    sim.after(rng.uniform(500, 4_000), lambda: setattr(upstream, "hangs", False))


def kill_all_entries(sim: JobSim, rng: Random) -> None:
    for entry in sim.entries:
        entry.kill()


def move_sessions(sim: JobSim, rng: Random) -> None:
    """Agents leave entries on purpose and come back, as when their subsets change."""
    for _ in range(12):
        agent, entry = rng.choice(sim.agents), rng.choice(sim.entries)
        at, away_ms = rng.uniform(0, 3_000), rng.uniform(5, 2_500)
        sim.after(at, lambda a=agent, e=entry, d=away_ms: a.move_session(e, d))  # type: ignore[misc]


FAULTS: dict[str, Callable[[JobSim, Random], None]] = {
    fault.__name__: fault
    for fault in (
        kill_entry,
        pause_entry,
        kill_agent,
        pause_agent,
        suspend_entry,
        suspend_agent,
        cut_link,
        cut_link_one_way,
        isolate_entry,
        reset_clients,
        defer_upstream_calls,
        crash_upstream,
        hang_upstream,
        kill_all_entries,
        move_sessions,
    )
}


def simulate(seed: int, names: list[str], jobs: int = 60) -> JobSim:
    """Run a fleet under a load that saturates it at times, with two faults of each name.

    The faults begin at random times.
    """
    sim = JobSim(seed)
    rng = Random(seed * 7 + 1)
    sim.run(500)
    for _ in range(jobs):
        at = rng.uniform(0, FAULT_MS)
        entry, tasks = rng.choice(sim.entries), rng.choice([1, 1, 2, 4])
        work = rng.choice([100.0, 300.0, 900.0])
        sim.after(at, lambda e=entry, t=tasks, w=work: sim.submit(e, t, w))  # type: ignore[misc]
    for name in names:
        for _ in range(2):
            at = rng.uniform(500, FAULT_MS)
            sim.after(at, lambda n=name: FAULTS[n](sim, rng))  # type: ignore[misc]
    sim.run(FAULT_MS + 4_500)
    sim.heal()
    # Wait up to 15 s for the jobs to end: this covers the longest pause, the resubmission delay,
    # and then several times the longest task.
    for _ in range(30):
        if sim.is_idle():
            break
        sim.run(500)
    return sim


def check_invariants(sim: JobSim) -> None:
    assert sim.overlaps() == []
    assert [client.job for client in sim.unanswered()] == []
    assert [record for record in sim.records if record.end_ms is None] == []


def test_every_job_completes_with_one_run_per_task_without_faults() -> None:
    sim = simulate(1, [], jobs=25)
    check_invariants(sim)
    assert sim.completed() == len(sim.clients)
    assert len({record.task for record in sim.records}) == len(sim.records)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", list(FAULTS))
def test_invariants_hold_under_one_kind_of_fault(name: str, seed: int) -> None:
    check_invariants(simulate(seed, [name]))


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_under_overlapping_faults(seed: int) -> None:
    rng = Random(seed)
    check_invariants(simulate(seed + 1_000, rng.sample(list(FAULTS), 3)))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_run_has_ended_when_its_task_starts_elsewhere_while_half_of_the_stops_are_late(
    seed: int,
) -> None:
    """A run went on beside its next attempt when the upstream didn't answer two stop orders."""
    sim = JobSim(seed, entry_count=1)
    sim.run(500)
    for _ in range(4):
        sim.submit(sim.entries[0], 2, 4_000.0)
    sim.run(300)
    for upstream in sim.upstreams:
        upstream.deferred_call_share = 0.5
    for upstream in sim.upstreams[:2]:
        sim.cut(upstream.name, sim.entries[0].name, one_way=True)
    sim.run(2_500)
    stop_deferring_calls(sim)
    sim.heal()
    sim.run(8_000)
    check_invariants(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_an_order_that_waited_at_a_suspended_agent_starts_nothing(seed: int) -> None:
    """The agent took the order for a fresh one, after the entry had started the task elsewhere."""
    sim = JobSim(seed, agent_count=2, entry_count=1)
    sim.run(500)
    sim.agents[0].suspend(2_500.0)
    for _ in range(5):
        sim.submit(sim.entries[0], 2, 3_000.0)
    sim.run(12_000)
    check_invariants(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_an_entry_that_wakes_up_starts_nothing_at_once(seed: int) -> None:
    """Frames that waited at the entry led to starts before it noticed that its client was gone."""
    sim = JobSim(seed, agent_count=2, entry_count=2)
    sleeper, other = sim.entries
    sim.run(500)
    for _ in range(2):
        sim.submit(other, 5, 150.0)
    sim.run(20)
    client = sim.submit(sleeper, 1, 900.0)
    sim.run(30)
    sleeper.suspend(1_650.0)

    def resubmit() -> None:
        client.entry = other
        sim.after(RESUBMIT_DELAY_MS, client.send)

    client.on_connection_lost = resubmit  # type: ignore[method-assign]
    sim.after(300.0, client.reset_connection)
    sim.run(6_000)
    check_invariants(sim)


def simulate_departures(seed: int, late_ms: float, answer_lost: bool, down_ms: float) -> JobSim:
    """Let each upstream leave once under long tasks, and start again under its id."""
    sim = JobSim(seed, agent_count=6)
    rng = Random(seed * 13 + 7)
    sim.run(500)
    for upstream in sim.upstreams:
        at = rng.uniform(0, FAULT_MS)
        sim.after(at, lambda u=upstream: u.leave(late_ms, answer_lost, down_ms))  # type: ignore[misc]
    for _ in range(24):
        at, entry = rng.uniform(0, FAULT_MS), rng.choice(sim.entries)
        tasks, work = rng.choice([1, 2, 3]), rng.choice([300.0, 1_500.0, 4_000.0])
        sim.after(at, lambda e=entry, t=tasks, w=work: sim.submit(e, t, w))  # type: ignore[misc]
    sim.run(FAULT_MS + 8_000)
    for _ in range(50):
        if sim.is_idle():
            break
        sim.run(500)
    return sim


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("answer_lost", [False, True])
def test_tasks_run_once_at_a_time_while_upstreams_leave(answer_lost: bool, seed: int) -> None:
    """Guards against a next attempt beside a run on an upstream that deregistered (review/6)."""
    check_invariants(simulate_departures(seed, 1.0, answer_lost, 3_000.0))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_late_deregistration_stops_no_run_of_the_next_incarnation(seed: int) -> None:
    """Guards against runs that are stopped on an upstream that is back under its id (review/8)."""
    sim = simulate_departures(seed, 3_100.0, True, 500.0)
    check_invariants(sim)
    stopped = {record.task for record in sim.records if record.how in ("stopped", "lapsed")}
    assert stopped == set()


def simulate_deadly_job(seed: int, tasks: int, entry_killed: bool) -> tuple[JobSim, Client]:
    """Run a fleet under a light load with one job whose tasks crash their upstreams.

    With ``entry_killed``, the entry that owns the job is killed at random times, and the client
    submits the job again at any entry.
    """
    sim = JobSim(seed, agent_count=8)
    rng = Random(seed * 11 + 3)
    sim.run(500)
    for _ in range(30):
        at, entry = rng.uniform(0, FAULT_MS), rng.choice(sim.entries)
        count, work = rng.choice([1, 1, 2]), rng.choice([100.0, 300.0, 900.0])
        sim.after(at, lambda e=entry, t=count, w=work: sim.submit(e, t, w))  # type: ignore[misc]
    sim.run(1_000)
    client = sim.submit(rng.choice(sim.entries), tasks, 300.0, deadly=True)

    def kill_owner() -> None:
        if client.outcome is None:
            client.entry.kill()

    if entry_killed:
        for _ in range(3):
            sim.after(rng.uniform(5, 3_000), kill_owner)
    sim.run(FAULT_MS)
    for _ in range(50):
        if sim.is_idle():
            break
        sim.run(500)
    return sim, client


def simulate_deadly_jobs() -> Iterator[tuple[JobSim, Client]]:
    for seed in DEADLY_SEEDS:
        for entry_killed in (False, True):
            yield simulate_deadly_job(seed, 1 + seed % 2, entry_killed)


def test_task_that_crashes_upstreams_is_given_up() -> None:
    """Guards against a task that crashes one upstream after the other without an end."""
    for sim, client in simulate_deadly_jobs():
        case = f"seed {sim.seed}"
        assert sim.starts_after_crashes(3) == [], case
        assert isinstance(client.outcome, JobEnded), case
        assert client.outcome.state is JobState.FAILED, case
        check_invariants(sim)


def test_jobs_beside_a_task_that_crashes_upstreams_complete() -> None:
    """Guards against jobs that fail because their tasks ran beside one that crashes upstreams."""
    for sim, client in simulate_deadly_jobs():
        outcomes = {other.job: other.outcome for other in sim.clients if other is not client}
        completed = JobEnded(JobState.COMPLETED)
        assert {job: end for job, end in outcomes.items() if end != completed} == {}, sim.seed
        check_invariants(sim)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("name", sorted(FAULTS))
def test_invariants_hold_with_crashing_tasks_under_one_kind_of_fault(name: str, seed: int) -> None:
    """Guards against overlapping runs after runs were ended for want of a listener."""
    sim = JobSim(seed, agent_count=6)
    rng = Random(seed * 17 + 5)
    sim.run(500)
    for number in range(43):
        at, entry = rng.uniform(0, FAULT_MS), rng.choice(sim.entries)
        tasks, work, deadly = rng.choice([1, 2, 4]), rng.choice([100.0, 900.0]), number < 3
        sim.after(at, lambda e=entry, t=tasks, w=work, d=deadly: sim.submit(e, t, w, d))  # type: ignore[misc]
    for _ in range(2):
        sim.after(rng.uniform(500, FAULT_MS), lambda: FAULTS[name](sim, rng))
    sim.run(FAULT_MS + 4_500)
    sim.heal()
    for _ in range(50):
        if sim.is_idle():
            break
        sim.run(500)
    check_invariants(sim)


def simulate_late_order_on_restarted_upstream(seed: int) -> JobSim:
    """Restart the upstream that left a start order unanswered, 100 ms before it executes it."""
    sim = JobSim(seed, agent_count=2, entry_count=1)
    sim.run(500)
    sim.next_start_late_ms = 2_000.0
    sim.submit(sim.entries[0], 1, 3_000.0)
    sim.run(1_900)
    agent = next(agent for agent in sim.agents if agent.took_late_start)
    agent.upstream.crash()
    agent.holding = False
    sim.after(
        200.0,
        lambda: agent.run_or_defer(
            lambda: agent.core.on_heartbeat(agent.upstream.describe(), agent.clock.now_ms())
        ),
    )
    sim.run(8_000)
    return sim


def test_a_late_order_on_a_restarted_upstream_starts_no_second_run() -> None:
    """An upstream that restarted under its id has seen no fencing token and takes an old order."""
    for seed in SEEDS:
        check_invariants(simulate_late_order_on_restarted_upstream(seed))


def main() -> None:
    """Simulate ``--runs`` seeds from ``--seed`` on and print those that violate an invariant."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--runs", type=int, default=200)
    parser.add_argument("--seed", type=int, default=10_000)
    options = parser.parse_args()
    failed_runs = 0
    for seed in range(options.seed, options.seed + options.runs):
        names = Random(seed).sample(list(FAULTS), 1 + seed % 4)
        sim = simulate(seed, names)
        if sim.overlaps() or sim.unanswered():
            failed_runs += 1
            print(f"seed {seed}, {names}: {sim.overlaps()[:1]}, unanswered {len(sim.unanswered())}")
    print(f"{options.runs} runs from seed {options.seed}, {failed_runs} with an invariant violated")


if __name__ == "__main__":
    main()
