"""A heartbeat of another writer reaches an agent while its upstream runs tasks."""

from __future__ import annotations

import time
from pathlib import Path

import curio
import msgspec

from review.fleet import PREFIX, Fleet, Machine, main
from snipewell.client import fetch
from snipewell.listener import open_listener
from snipewell.web import Request

TASK_MS = 2_500.0


def find_busiest(fleet: Fleet) -> Machine:
    """Return the agent whose upstream has the most runs; the others then have room for these."""
    runs = [sum(run.end_ms is None for run in each.history) for each in fleet.upstreams]
    return fleet.agents[runs.index(max(runs))]


async def send_foreign_heartbeat(fleet: Fleet, agent: Machine) -> None:
    """Send one heartbeat that names a service which isn't configured."""
    with open_listener("127.0.0.1", 0) as listener:
        closed = listener.getsockname()[1]
    body = {
        "service": "somebody-elses-service",
        "address": f"127.0.0.1:{closed}",
        "zone": agent.zone,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "capacity": {"cpu": 16_000, "memMb": 32_768, "gpus": 0},
        "labels": ["a"],
        "clockMs": 1_000,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    path = "/snipewell/instances/i-0ther0ther/heartbeat"
    headers = {"content-type": "application/json"}
    request = Request("POST", path, {}, headers, msgspec.json.encode(body))
    fleet.note(f"another writer: POST {path} to {agent.name}: {body}")
    response = await fetch(fleet.address(agent, 8166), request, 2_000)
    fleet.note(f"another writer: got {response.status}")


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Run jobs on both upstreams, send the heartbeat, and compare the runs of each task."""
    jobs = [fleet.new_id() for _ in range(2)]
    clients = [await curio.spawn(fleet.submit, fleet.entries[0], job, 3, TASK_MS) for job in jobs]
    await curio.sleep(0.8)
    if trouble:
        await send_foreign_heartbeat(fleet, find_busiest(fleet))
    for client in clients:
        await client.join()
    await curio.sleep(0.5)
    fleet.note_runs(set(jobs))
    overlaps = fleet.overlaps()
    for line in overlaps:
        fleet.note(f"TWICE: {line}")
    return not overlaps


main(str(Path(__file__).parent), play, [PREFIX])
