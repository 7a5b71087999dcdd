"""Guards against broken promises of the real programs: doubled runs, false answers, lost jobs."""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path

import curio
import pytest

from snipewell.standins.metadata import StoreFaults
from snipewell.standins.orders import OrderFaults

from .jobfleet import JobFleet

SECONDS = 6.0
PER_S = 6.0


async def play(fleet: JobFleet, faults: list[tuple[float, Callable[[], None]]]) -> None:
    try:
        await fleet.start()
        for at, act in faults:
            await fleet.after(at, act)
        await fleet.load(SECONDS, PER_S)
        await curio.sleep(1.5)
    finally:
        await fleet.stop()


def check(fleet: JobFleet) -> None:
    assert fleet.overlaps() == []
    assert fleet.false_refusals() == []
    assert fleet.false_completions() == []
    assert [client for client in fleet.clients if client.statuses[-1] in (0, 502)] == []


def test_a_calm_fleet_completes_every_job_at_its_first_sending(tmp_path: Path) -> None:
    fleet = JobFleet(tmp_path, 1)
    curio.run(play, fleet, [])
    check(fleet)
    assert {client.state for client in fleet.clients} == {"completed"}
    assert {client.sent for client in fleet.clients} == {1}


def restart(fleet: JobFleet, name: str) -> Callable[[], None]:
    daemon = next(d for d in [*fleet.entries, *fleet.agents] if d.name == name)

    def act() -> None:
        daemon.kill()
        daemon.start()

    return act


def test_killed_entries_and_agents_double_and_lose_nothing(tmp_path: Path) -> None:
    fleet = JobFleet(tmp_path, 2)
    faults: list[tuple[float, Callable[[], None]]] = [
        (1.0, lambda: restart(fleet, "entry-0")()),
        (2.0, lambda: restart(fleet, "agent-1")()),
        (3.0, lambda: restart(fleet, "entry-1")()),
    ]
    curio.run(play, fleet, faults)
    check(fleet)


def test_frozen_processes_double_and_lose_nothing(tmp_path: Path) -> None:
    """An entry or agent that wakes up must not act on what it knew before."""
    fleet = JobFleet(tmp_path, 3)

    def send(number: int, agent: bool, what: signal.Signals) -> Callable[[], None]:
        return lambda: (fleet.agents if agent else fleet.entries)[number].signal(what)

    faults = [
        (1.0, send(0, False, signal.SIGSTOP)),
        (3.0, send(0, False, signal.SIGCONT)),
        (1.5, send(1, True, signal.SIGSTOP)),
        (4.0, send(1, True, signal.SIGCONT)),
    ]
    curio.run(play, fleet, faults)
    check(fleet)


def test_late_orders_a_reborn_upstream_and_a_store_that_is_away(tmp_path: Path) -> None:
    fleet = JobFleet(tmp_path, 4)

    def orders(faults: OrderFaults) -> Callable[[], None]:
        def act() -> None:
            for upstream in fleet.upstreams:
                upstream.faults = faults

        return act

    def store(faults: StoreFaults) -> Callable[[], None]:
        return lambda: setattr(fleet.store, "faults", faults)

    faults = [
        (0.5, store(StoreFaults(down=True))),
        (1.0, orders(OrderFaults(late=0.2))),
        (3.0, orders(OrderFaults())),
        (4.0, lambda: fleet.upstreams[0].crash()),
        (5.0, store(StoreFaults())),
    ]
    curio.run(play, fleet, faults)
    check(fleet)


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_a_stopped_process_cuts_no_job_off(tmp_path: Path, role: str) -> None:
    """SIGTERM lets an entry answer what it accepted, and an agent's runs end."""
    fleet = JobFleet(tmp_path, 5)

    def act() -> None:
        (fleet.entries if role == "entry" else fleet.agents)[0].signal(signal.SIGTERM)

    async def main() -> None:
        try:
            await fleet.start()
            await fleet.after(1.0, act)
            await fleet.load(1.5, PER_S)
        finally:
            await fleet.stop()

    curio.run(main)
    check(fleet)
    if role == "agent":
        assert {client.sent for client in fleet.clients} == {1}
    assert {run.how for run in fleet.runs()} == {"done"}
