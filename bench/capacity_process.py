"""Capacity measurements of whole processes on loopback, and of the calls to the store."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import curio
import msgspec
import zmq

from bench.agent import cpu_s, measure_daemon, rss_mb
from bench.capacity_core import INCARNATION, ZONE, make_heartbeat, make_value
from bench.capacity_row import Row
from snipewell.entry import ENTRIES_PREFIX
from snipewell.group import part_key
from snipewell.ids import AgentId
from snipewell.message import Permit, decode
from snipewell.peer import EntryRecord
from snipewell.resource import Kind, ZoneSpec
from snipewell.standins.cluster import Cluster, agent_settings, entry_settings
from snipewell.standins.store import StoreServer, StoreStandIn
from snipewell.transport import Dealers, agent_identity
from snipewell.web import Request

AGENTS = (0, 100, 300)
MEASURE_S = 3.0
TIMEOUT_S = 60.0
CHANGES = 10
SETTLE_TIMEOUT_S = 12.0


def run_with_timeout(task: Callable[..., Awaitable[dict]], *args: object) -> dict:
    """Run ``task`` in its own Curio kernel, for at most ``TIMEOUT_S`` seconds."""

    async def with_timeout() -> dict:
        async with curio.timeout_after(TIMEOUT_S):
            return await task(*args)

    return curio.run(with_timeout)


class HeartbeatSenders:
    """Simulated agents that only send heartbeats, each on its own socket."""

    def __init__(self, entry: EntryRecord) -> None:
        self.entry = entry
        self.permits = 0
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._context.set(zmq.MAX_SOCKETS, 2_000)
        self._agents: list[Dealers] = []
        self._sequence = 0

    async def _count_permit(self, _peer: str, message: object) -> None:
        self.permits += isinstance(message, Permit)

    async def connect_agents(self, count: int) -> None:
        """Connect further agents until there are ``count``."""
        for number in range(len(self._agents), count):
            identity = agent_identity(AgentId(f"agent-{number:05d}"), INCARNATION)
            agent = Dealers(self._context, identity, self._count_permit)
            await agent.connect(self.entry.entry, self.entry.message_address)
            self._agents.append(agent)

    async def send_heartbeats(self, seconds: float) -> None:
        """Send each agent's heartbeat every 500 ms for ``seconds``, evenly staggered."""
        for _ in range(int(seconds * 2)):
            self._sequence += 1
            for slot in range(20):
                for number in range(slot, len(self._agents), 20):
                    heartbeat = decode(make_heartbeat(number, self._sequence))
                    await self._agents[number].send(self.entry.entry, heartbeat)
                await curio.sleep(0.025)

    async def close(self) -> None:
        """Close all sockets and the ZeroMQ context."""
        for agent in self._agents:
            await agent.close()
        self._context.destroy(linger=0)


async def run_entry(directory: Path) -> dict[int, tuple[float, float, float]]:
    """Start a store and an entry process, and return the figures of ``measure_heartbeats``."""
    store = StoreStandIn()
    server = StoreServer(store)
    await server.start()
    store.core.put(part_key(Kind.ZONE), make_value([ZoneSpec(ZONE)]), None)
    address = "{}:{}".format(*server.address)
    path = directory / "entry.json"
    path.write_bytes(msgspec.json.encode(entry_settings("e1", ZONE, store=address)))
    process = subprocess.Popen([sys.executable, "-m", "snipewell", "entry", str(path)])
    try:
        while not (registrations := store.core.list_prefix(ENTRIES_PREFIX)):
            await curio.sleep(0.05)
        stored = registrations[0].value
        record = msgspec.json.decode(stored[stored.index(b'{"entry"') :], type=EntryRecord)
        return await measure_heartbeats(process.pid, record)
    finally:
        process.terminate()
        await curio.sleep(0.3)
        await server.stop()
        process.kill()
        process.wait(10)


async def measure_heartbeats(
    pid: int, record: EntryRecord
) -> dict[int, tuple[float, float, float]]:
    """Measure an entry process under the heartbeats of each number of agents in ``AGENTS``.

    Returns for each number the CPU use in percent of a core, the resident memory in MB, and the
    share of heartbeats answered by a permit.
    """
    senders = HeartbeatSenders(record)
    figures = {}
    try:
        for agents in AGENTS:
            await senders.connect_agents(agents)
            await senders.send_heartbeats(1.0)
            began, senders.permits = cpu_s(pid), 0
            begin = await curio.clock()
            await senders.send_heartbeats(MEASURE_S)
            wall = await curio.clock() - begin
            share = senders.permits / max(1, agents * int(MEASURE_S * 2))
            figures[agents] = ((cpu_s(pid) - began) / wall * 100, rss_mb(pid), share)
    finally:
        await senders.close()
    return figures


def measure_entry_process() -> Iterator[Row]:
    """Measure one entry process that receives agents' heartbeats over real sockets."""
    with tempfile.TemporaryDirectory() as directory:
        figures = run_with_timeout(run_entry, Path(directory))
    names = ("processor, % of a core", "resident memory, MB", "heartbeats answered, share")
    for index, name in enumerate(names):
        figure, unit = name.split(", ")
        points = {agents: values[index] for agents, values in figures.items()}
        yield Row("entry process", figure, unit, "agents", points)


def measure_agent_process() -> Iterator[Row]:
    """Measure one agent process connected to three entries and a stand-in upstream."""
    with tempfile.TemporaryDirectory() as directory:
        figures = run_with_timeout(measure_daemon, Path(directory))
    for name, value in figures.items():
        figure, _, unit = name.partition(", ")
        yield Row("agent process", figure, unit or "1/s", "", {1: value})


async def count_store_calls(cluster: Cluster, seconds: float) -> dict[str, float]:
    """Return the number of calls to the store during ``seconds``, by kind."""
    before = cluster.store.stats()
    await curio.sleep(seconds)
    after = cluster.store.stats()
    return {kind: after[kind] - before.get(kind, 0) for kind in after}


STORE_CALLS = ("get", "list", "put", "delete", "lease", "renew")


async def wait_settled(cluster: Cluster) -> tuple[float, float]:
    """Wait until no partition table has been written for one second.

    Gives up after ``SETTLE_TIMEOUT_S``. Returns the seconds until the last write and the number of
    writes tried, counted as ``put`` calls to the store.
    """
    first = last = cluster.store.stats()["put"]
    begin = last_write_s = await curio.clock()
    while (now := await curio.clock()) - last_write_s < 1 and now - begin < SETTLE_TIMEOUT_S:
        await curio.sleep(0.1)
        puts = cluster.store.stats()["put"]
        if puts != last:
            last, last_write_s = puts, now
    return last_write_s - begin, last - first


async def run_store(entries: int) -> dict[str, float]:
    """Return the numbers of store calls made by a cluster of ``entries`` entries.

    They are counted during start-up, while idle, for changes of a resource, and while one entry
    shuts down gracefully.
    """
    cluster = Cluster([entry_settings(f"e{n}", ZONE) for n in range(entries)])
    await cluster.start()
    figures: dict[str, float] = {}
    stats = cluster.store.stats
    try:
        figures["start until all are ready"] = sum(stats()[k] for k in STORE_CALLS)
        figures["spreading, seconds"], figures["spreading, writes tried"] = await wait_settled(
            cluster
        )
        if figures["spreading, seconds"] < SETTLE_TIMEOUT_S:
            idle = await count_store_calls(cluster, 2)
            figures["idle watch calls a second"] = idle["watch"] / 2
            figures["idle other calls a second"] = sum(idle[k] for k in STORE_CALLS) / 2
            figures["watches that wait"] = stats()["watches_waiting"]
        before = stats()
        for number in range(CHANGES):
            await cluster.put("zones", f"zone-{number}", {})
        after = stats()
        kinds = ("get", "list", "put")
        calls = sum(after[k] - before[k] for k in kinds)
        figures["change: calls without watches"] = calls / CHANGES
        puts = stats()["put"]
        assert await cluster.stop_entry(f"e{entries - 1}") == 0
        leave_writes, later_writes = stats()["put"] - puts, (await wait_settled(cluster))[1]
        figures["one entry leaves, writes tried"] = leave_writes + later_writes
    finally:
        await cluster.stop(3_000)
    return figures


def measure_store_calls() -> Iterator[Row]:
    """Count the calls to the stand-in store against the number of entries."""
    runs = {entries: run_with_timeout(run_store, entries) for entries in (1, 3, 6)}
    for name in runs[1]:
        points = {entries: run[name] for entries, run in runs.items() if name in run}
        yield Row("store", name, "calls", "entries", points)


async def run_jobs(cluster: Cluster, tasks: int) -> tuple[float, float]:
    """Return the CPU microseconds of a job of ``tasks`` tasks of 0 ms, and the share completed."""
    jobs = max(10, 300 // tasks)
    body = msgspec.json.encode({"service": "resize", "tasks": [{"ms": 0}] * tasks})

    async def submit_job(number: int) -> bool:
        headers = {"idempotency-key": f"path-{tasks}-{number}"}
        answer = await cluster.request(Request("POST", "/v1/jobs", {}, headers, body))
        return answer.status == 200

    began_s, done = time.process_time(), 0
    for first in range(0, jobs, 10):
        async with curio.TaskGroup() as group:
            for number in range(first, first + 10):
                await group.spawn(submit_job, number)
        done += sum(group.results)
    return (time.process_time() - began_s) / jobs * 1e6, done / jobs


async def run_end_to_end() -> dict[int, tuple[float, float]]:
    """Run jobs of several sizes end to end, with all components in this process."""
    entries = [entry_settings(f"e{n}", ZONE) for n in range(3)]
    cluster = Cluster(entries, [agent_settings(f"a{n}", ZONE) for n in range(4)])
    await cluster.start()
    try:
        await cluster.put("zones", ZONE, {})
        await cluster.put("services", "resize", {"expected_ms": 1})
        await wait_settled(cluster)
        return {tasks: await run_jobs(cluster, tasks) for tasks in (1, 10, 100)}
    finally:
        await cluster.stop(3_000)


def measure_end_to_end() -> Iterator[Row]:
    """Measure jobs through client, balancer, entries, agents and upstreams in one process."""
    runs = run_with_timeout(run_end_to_end)
    points = {tasks: run[0] for tasks, run in runs.items()}
    yield Row("path", "job, all parts and stand-ins", "us", "tasks", points)
    points = {tasks: run[1] for tasks, run in runs.items()}
    yield Row("path", "jobs completed, share", "of 1", "tasks", points)
