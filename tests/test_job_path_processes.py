"""Guards against overlapping runs, false outcomes and lost jobs of the production programs."""

from __future__ import annotations

import signal
import socket
import sys
from collections.abc import Callable
from pathlib import Path

import curio
import msgspec
import pytest

from snipewell.address import split_address
from snipewell.client import fetch
from snipewell.standins.metadata import StoreFaults
from snipewell.standins.platformupstream import Departure, StandInUpstream, UpstreamFaults
from snipewell.web import Request

from .jobfleet import (
    HOST,
    PREFIX,
    SERVICE,
    Daemon,
    JobFleet,
    foreign_heartbeat,
    free_port,
    send_heartbeat,
)
from .oddmessages import odd_heartbeats

LOAD_S = 6.0
JOBS_PER_S = 6.0
LONG_TASK_MS = 4_500.0
"""Duration of a task that can't start again within the time of its client."""
ODD_HEARTBEAT_INTERVAL_S = 0.05


async def run_with_faults(fleet: JobFleet, faults: list[tuple[float, Callable[[], None]]]) -> None:
    try:
        await fleet.start()
        for at, act in faults:
            await fleet.after(at, act)
        await fleet.load(LOAD_S, JOBS_PER_S)
        await curio.sleep(1.5)
    finally:
        await fleet.stop()


def check_invariants(fleet: JobFleet) -> None:
    assert fleet.overlaps() == []
    assert fleet.false_refusals() == []
    assert fleet.false_completions() == []
    assert [client for client in fleet.clients if client.statuses[-1] in (0, 502)] == []


def test_every_job_completes_on_first_submission_without_faults(tmp_path: Path) -> None:
    fleet = JobFleet(tmp_path, 1)
    curio.run(run_with_faults, fleet, [])
    check_invariants(fleet)
    assert {client.state for client in fleet.clients} == {"completed"}
    assert {client.sent for client in fleet.clients} == {1}


def restart(fleet: JobFleet, name: str) -> Callable[[], None]:
    daemon = next(d for d in [*fleet.entries, *fleet.agents] if d.name == name)

    def act() -> None:
        daemon.kill()
        daemon.start()

    return act


def test_no_overlapping_runs_or_lost_jobs_after_kills(tmp_path: Path) -> None:
    fleet = JobFleet(tmp_path, 2)
    faults: list[tuple[float, Callable[[], None]]] = [
        (1.0, lambda: restart(fleet, "entry-0")()),
        (2.0, lambda: restart(fleet, "agent-1")()),
        (3.0, lambda: restart(fleet, "entry-1")()),
    ]
    curio.run(run_with_faults, fleet, faults)
    check_invariants(fleet)


@pytest.mark.parametrize("answer_lost", [False, True])
def test_no_overlapping_runs_when_an_upstream_deregisters(
    tmp_path: Path, answer_lost: bool
) -> None:
    """Guards against a next attempt beside a run on an upstream that deregistered (review/6)."""
    fleet = JobFleet(tmp_path, 5)

    async def main() -> None:
        try:
            await fleet.start()
            for _ in range(6):
                await curio.spawn(fleet.submit, 2, LONG_TASK_MS, daemon=True)
            await curio.sleep(2.0)
            fleet.upstreams[0].leave(Departure(500.0, answer_lost))
            await curio.sleep(4.0)
        finally:
            await fleet.stop()

    curio.run(main)
    assert any(run.how in ("stopped", "lapsed") for run in fleet.upstreams[0].history)
    assert fleet.overlaps() == []
    assert fleet.false_completions() == []


def test_no_overlapping_runs_or_lost_jobs_after_pauses(tmp_path: Path) -> None:
    """Guards against an entry or agent that acts on stale state after a pause."""
    fleet = JobFleet(tmp_path, 3)

    def send(number: int, agent: bool, signal_number: signal.Signals) -> Callable[[], None]:
        return lambda: (fleet.agents if agent else fleet.entries)[number].signal(signal_number)

    faults = [
        (1.0, send(0, False, signal.SIGSTOP)),
        (3.0, send(0, False, signal.SIGCONT)),
        (1.5, send(1, True, signal.SIGSTOP)),
        (4.0, send(1, True, signal.SIGCONT)),
    ]
    curio.run(run_with_faults, fleet, faults)
    check_invariants(fleet)


def test_no_overlapping_runs_or_lost_jobs_under_late_calls_upstream_crash_and_store_outage(
    tmp_path: Path,
) -> None:
    fleet = JobFleet(tmp_path, 4)

    def set_upstream_faults(faults: UpstreamFaults) -> Callable[[], None]:
        def act() -> None:
            for upstream in fleet.upstreams:
                upstream.faults = faults

        return act

    def set_store_faults(faults: StoreFaults) -> Callable[[], None]:
        return lambda: setattr(fleet.store, "faults", faults)

    faults = [
        (0.5, set_store_faults(StoreFaults(down=True))),
        (1.0, set_upstream_faults(UpstreamFaults(late=0.2))),
        (3.0, set_upstream_faults(UpstreamFaults())),
        (4.0, lambda: fleet.upstreams[0].crash()),
        (5.0, set_store_faults(StoreFaults())),
    ]
    curio.run(run_with_faults, fleet, faults)
    check_invariants(fleet)


@pytest.mark.parametrize("names_upstreams", [True, False])
def test_a_heartbeat_of_another_writer_ends_no_run(tmp_path: Path, names_upstreams: bool) -> None:
    """Guards against overlapping runs after a registration of an upstream elsewhere (review/2)."""
    fleet = JobFleet(tmp_path, 6)
    fleet.names_upstreams = names_upstreams

    async def main() -> None:
        try:
            await fleet.start()
            jobs = [await curio.spawn(fleet.submit, 4, 1_500.0) for _ in range(2)]
            await curio.sleep(0.6)
            for agent, upstream in zip(fleet.agents, fleet.upstreams, strict=True):
                # Without the settings, only a call to the address shows that it is another one.
                address = f"{fleet.host}:{free_port(fleet.host)}"
                if not names_upstreams:
                    address = upstream.address
                body = msgspec.json.encode(foreign_heartbeat(address))
                status = await send_heartbeat(agent, "i-other", body)
                assert status == (400 if names_upstreams else 200)
            for job in jobs:
                await job.join()
            # The upstreams take further jobs.
            await fleet.submit(6, 50.0)
        finally:
            await fleet.stop()

    curio.run(main)
    check_invariants(fleet)
    assert {client.state for client in fleet.clients} == {"completed"}
    assert {run.attempt for run in fleet.runs()} == {1}


def test_odd_heartbeats_of_another_writer_end_no_run(tmp_path: Path) -> None:
    """Guards against overlapping runs after heartbeats with fields missing or of other types.

    They come under the ids of the upstreams and under others, with a later start time.
    """
    fleet = JobFleet(tmp_path, 7)
    statuses: dict[str, int] = {}

    async def write(agent: Daemon, upstream: StandInUpstream) -> None:
        heartbeat = {
            **foreign_heartbeat(upstream.address),
            "service": SERVICE,
            "zone": upstream.zone,
        }
        for number, (label, body) in enumerate(odd_heartbeats(heartbeat)):
            name = upstream.name if number % 2 else f"i-{number}"
            statuses[f"{agent.name}: {label}"] = await send_heartbeat(agent, name, body)
            await curio.sleep(ODD_HEARTBEAT_INTERVAL_S)

    async def main() -> None:
        try:
            await fleet.start()
            writers = [
                await curio.spawn(write, agent, upstream)
                for agent, upstream in zip(fleet.agents, fleet.upstreams, strict=True)
            ]
            await fleet.load(LOAD_S, JOBS_PER_S)
            for writer in writers:
                await writer.join()
        finally:
            await fleet.stop()

    curio.run(main)
    check_invariants(fleet)
    assert [label for label, status in statuses.items() if status != 400] == []
    assert {client.state for client in fleet.clients} == {"completed"}
    assert {client.sent for client in fleet.clients} == {1}
    assert {run.attempt for run in fleet.runs()} == {1}


def test_a_job_with_an_endless_estimate_hangs_no_entry(tmp_path: Path) -> None:
    """Guards against entries that answer nobody after one job, while they count as ready."""
    fleet = JobFleet(tmp_path, 9)
    statuses: list[int] = []

    async def main() -> None:
        try:
            await fleet.start()
            for entry in fleet.entries:
                step = {"count": 1, "cpu": 1_000, "memMb": 10, "estimatedMs": sys.float_info.max}
                body = {"specification": '{"ms":20}', "bestEffort": True, "steps": [step]}
                headers = {"host": HOST, "snipewell-deadline-ms": "5000"}
                path = f"{PREFIX}{fleet.rng.getrandbits(64):016x}"
                request = Request("POST", path, {}, headers, msgspec.json.encode(body))
                statuses.append((await fetch(entry.address, request, 5_000)).status)
            await fleet.load(2.0, JOBS_PER_S)
        finally:
            await fleet.stop()

    curio.run(main)
    check_invariants(fleet)
    assert statuses == [200, 200]
    assert {client.state for client in fleet.clients} == {"completed"}
    assert {client.sent for client in fleet.clients} == {1}


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_signals_in_series_abort_no_job(tmp_path: Path, role: str) -> None:
    """Guards against a SIGHUP or a second SIGTERM that cuts the work of a stopping process."""
    fleet = JobFleet(tmp_path, 10)

    async def main() -> None:
        try:
            await fleet.start()
            daemon = (fleet.entries if role == "entry" else fleet.agents)[0]
            # Every agent has runs when the signals come.
            long_job = await curio.spawn(fleet.submit, 9, 1_500.0)
            numbers = [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP]
            for number, sent in enumerate(numbers):
                await fleet.after(0.8 + 0.1 * number, lambda sent=sent: daemon.signal(sent))
            await fleet.load(1.5, JOBS_PER_S)
            await long_job.join()
            assert daemon.process is not None
            for _ in range(80):
                if daemon.process.poll() is not None:
                    break
                await curio.sleep(0.1)
            assert daemon.process.poll() == 0
        finally:
            await fleet.stop()

    curio.run(main)
    check_invariants(fleet)
    assert {run.how for run in fleet.runs()} == {"done"}
    answered = [client.statuses for client in fleet.clients]
    assert [statuses for statuses in answered if set(statuses) & {502, 504}] == []
    if role == "agent":
        assert {client.sent for client in fleet.clients} == {1}


def is_listening(address: str) -> bool:
    """Return whether connections to ``address`` are accepted or queued."""
    with socket.socket() as probe:
        return probe.connect_ex(split_address(address)) == 0


def test_a_reload_while_a_process_starts_does_not_end_it(tmp_path: Path) -> None:
    fleet = JobFleet(tmp_path, 11)

    async def main() -> None:
        try:
            await fleet.start()
            daemon = fleet.entries[0]
            daemon.kill()
            daemon.reap()
            daemon.start()
            assert daemon.process is not None
            while not is_listening(daemon.address):
                await curio.sleep(0.002)
            for _ in range(60):
                daemon.signal(signal.SIGHUP)
                await curio.sleep(0.02)
            assert daemon.process.poll() is None
        finally:
            await fleet.stop()

    curio.run(main)


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_graceful_shutdown_aborts_no_job(tmp_path: Path, role: str) -> None:
    """Guards against work lost on SIGTERM.

    An entry must still respond to the jobs that it accepted, and an agent's runs must end.
    """
    fleet = JobFleet(tmp_path, 5)

    def act() -> None:
        (fleet.entries if role == "entry" else fleet.agents)[0].signal(signal.SIGTERM)

    async def main() -> None:
        try:
            await fleet.start()
            await fleet.after(1.0, act)
            await fleet.load(1.5, JOBS_PER_S)
        finally:
            await fleet.stop()

    curio.run(main)
    check_invariants(fleet)
    if role == "agent":
        assert {client.sent for client in fleet.clients} == {1}
    assert {run.how for run in fleet.runs()} == {"done"}
