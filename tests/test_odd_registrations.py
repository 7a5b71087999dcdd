"""Guards against agents that end or lose the entries after another writer's registrations."""

from __future__ import annotations

import re
from pathlib import Path

import curio
import msgspec

from snipewell.directory import JOB_ENTRIES_PREFIX

from .jobfleet import JobFleet, free_port
from .oddmessages import odd_addresses, odd_registrations
from .test_job_path_processes import JOBS_PER_S, LOAD_S, check_invariants

REGISTRATION = {"entry": "odd", "address": "127.0.0.1:9", "incarnation": "i", "zone": "z0"}
MOVE_S = 3.0
"""Time for the agents to connect to an entry that has moved."""


def odd_entries() -> list[bytes]:
    """Return values of odd registrations, those with odd addresses included."""
    values = [value for _, value in odd_registrations(REGISTRATION)]
    return values + [
        msgspec.json.encode({**REGISTRATION, "entry": f"at-{number}", "address": address})
        for number, address in enumerate(odd_addresses())
    ]


def test_agents_follow_the_entries_beside_odd_registrations(tmp_path: Path) -> None:
    """Guards against agents that end or stop following the list after an odd registration."""
    fleet = JobFleet(tmp_path, 8)

    async def main() -> None:
        try:
            await fleet.start()
            pids = [daemon.process.pid for daemon in fleet.agents if daemon.process]
            for number, value in enumerate(odd_entries()):
                fleet.store.put(f"{JOB_ENTRIES_PREFIX}odd-{number}", value)
                await curio.sleep(0.01)
            moved, other = fleet.entries
            moved.kill()
            moved.reap()
            port = free_port(fleet.host)
            settings = re.sub(
                r"internalPortRange=\d+,\d+",
                f"internalPortRange={port},{port}",
                moved.settings.read_text(),
            )
            moved.settings.write_text(settings)
            moved.start()
            await curio.sleep(MOVE_S)
            other.kill()
            other.reap()
            fleet.entries.remove(other)
            await fleet.load(LOAD_S / 2, JOBS_PER_S)
            assert [daemon.process.pid for daemon in fleet.agents if daemon.process] == pids
            assert all(daemon.process.poll() is None for daemon in fleet.agents if daemon.process)
        finally:
            await fleet.stop()

    curio.run(main)
    check_invariants(fleet)
    assert {client.state for client in fleet.clients} == {"completed"}
    logs = "".join(daemon.log.read_text() for daemon in fleet.agents)
    assert "Traceback" not in logs
    assert logs.count("malformed registration") >= len(fleet.agents) * len(odd_entries())
