"""Slopes of whole processes on loopback: an entry, an agent, and the calls at the store."""

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
from bench.capacity_core import LIFE, ZONE, make_beat, make_value
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
LIMIT_S = 60.0
CHANGES = 10
QUIET_LIMIT_S = 12.0


def run_bounded(task: Callable[..., Awaitable[dict]], *args: object) -> dict:
    """Run ``task`` in a kernel of its own, at most ``LIMIT_S``."""

    async def bounded() -> dict:
        async with curio.timeout_after(LIMIT_S):
            return await task(*args)

    return curio.run(bounded)


class Fleet:
    """Agents that only send heartbeats, each on a socket of its own."""

    def __init__(self, entry: EntryRecord) -> None:
        self.entry = entry
        self.permits = 0
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._context.set(zmq.MAX_SOCKETS, 2_000)
        self._agents: list[Dealers] = []
        self._sequence = 0

    async def _count(self, _peer: str, message: object) -> None:
        self.permits += isinstance(message, Permit)

    async def grow(self, count: int) -> None:
        """Connect agents until there are ``count``."""
        for number in range(len(self._agents), count):
            identity = agent_identity(AgentId(f"agent-{number:05d}"), LIFE)
            agent = Dealers(self._context, identity, self._count)
            await agent.connect(self.entry.entry, self.entry.message_address)
            self._agents.append(agent)

    async def beat(self, seconds: float) -> None:
        """Send each agent's heartbeat every 500 ms, evenly spread."""
        for _ in range(int(seconds * 2)):
            self._sequence += 1
            for slot in range(20):
                for number in range(slot, len(self._agents), 20):
                    beat = decode(make_beat(number, self._sequence))
                    await self._agents[number].send(self.entry.entry, beat)
                await curio.sleep(0.025)

    async def close(self) -> None:
        """Close all sockets."""
        for agent in self._agents:
            await agent.close()
        self._context.destroy(linger=0)


async def run_entry(directory: Path) -> dict[int, tuple[float, float, float]]:
    """Return percent of a core, MB and answered share of one entry for each number of agents."""
    store = StoreStandIn()
    server = StoreServer(store)
    await server.start()
    store.core.put(part_key(Kind.ZONE), make_value([ZoneSpec(ZONE)]), None)
    address = "{}:{}".format(*server.address)
    path = directory / "entry.json"
    path.write_bytes(msgspec.json.encode(entry_settings("e1", ZONE, store=address)))
    process = subprocess.Popen([sys.executable, "-m", "snipewell", "entry", str(path)])
    try:
        while not (found := store.core.list_prefix(ENTRIES_PREFIX)):
            await curio.sleep(0.05)
        text = found[0].value
        record = msgspec.json.decode(text[text.index(b'{"entry"') :], type=EntryRecord)
        return await load_entry(process.pid, record)
    finally:
        process.terminate()
        await curio.sleep(0.3)
        await server.stop()
        process.kill()
        process.wait(10)


async def load_entry(pid: int, record: EntryRecord) -> dict[int, tuple[float, float, float]]:
    """Measure the entry process under more and more agents."""
    fleet = Fleet(record)
    figures = {}
    try:
        for agents in AGENTS:
            await fleet.grow(agents)
            await fleet.beat(1.0)
            began, fleet.permits = cpu_s(pid), 0
            begin = await curio.clock()
            await fleet.beat(MEASURE_S)
            wall = await curio.clock() - begin
            share = fleet.permits / max(1, agents * int(MEASURE_S * 2))
            figures[agents] = ((cpu_s(pid) - began) / wall * 100, rss_mb(pid), share)
    finally:
        await fleet.close()
    return figures


def measure_entry_process() -> Iterator[Row]:
    """Measure one entry process and agents' heartbeats over real sockets."""
    with tempfile.TemporaryDirectory() as directory:
        figures = run_bounded(run_entry, Path(directory))
    names = ("processor, % of a core", "resident memory, MB", "heartbeats answered, share")
    for index, name in enumerate(names):
        figure, unit = name.split(", ")
        points = {agents: values[index] for agents, values in figures.items()}
        yield Row("entry process", figure, unit, "agents", points)


def measure_agent_process() -> Iterator[Row]:
    """Measure one agent process with three entries and a stand-in upstream."""
    with tempfile.TemporaryDirectory() as directory:
        figures = run_bounded(measure_daemon, Path(directory))
    for name, value in figures.items():
        figure, _, unit = name.partition(", ")
        yield Row("agent process", figure, unit or "1/s", "", {1: value})


async def count_calls(cluster: Cluster, seconds: float) -> dict[str, float]:
    """Return the store's calls over ``seconds`` by kind."""
    before = cluster.store.stats()
    await curio.sleep(seconds)
    after = cluster.store.stats()
    return {kind: after[kind] - before.get(kind, 0) for kind in after}


CALLS = ("get", "list", "put", "delete", "lease", "renew")


async def wait_quiet(cluster: Cluster) -> tuple[float, float]:
    """Wait until no table was written for a second; return seconds taken and writes tried."""
    first = last = cluster.store.stats()["put"]
    begin = quiet = await curio.clock()
    while (now := await curio.clock()) - quiet < 1 and now - begin < QUIET_LIMIT_S:
        await curio.sleep(0.1)
        puts = cluster.store.stats()["put"]
        if puts != last:
            last, quiet = puts, now
    return quiet - begin, last - first


async def run_store(entries: int) -> dict[str, float]:
    """Return store calls of ``entries`` entries: start, idle, change, graceful leave."""
    cluster = Cluster([entry_settings(f"e{n}", ZONE) for n in range(entries)])
    await cluster.start()
    figures: dict[str, float] = {}
    stats = cluster.store.stats
    try:
        figures["start until all are ready"] = sum(stats()[k] for k in CALLS)
        figures["spreading, seconds"], figures["spreading, writes tried"] = await wait_quiet(
            cluster
        )
        if figures["spreading, seconds"] < QUIET_LIMIT_S:
            idle = await count_calls(cluster, 2)
            figures["idle watch calls a second"] = idle["watch"] / 2
            figures["idle other calls a second"] = sum(idle[k] for k in CALLS) / 2
            figures["watches that wait"] = stats()["watches_waiting"]
        before = stats()
        for number in range(CHANGES):
            await cluster.put("zones", f"zone-{number}", {})
        after = stats()
        kinds = ("get", "list", "put")
        spent = sum(after[k] - before[k] for k in kinds)
        figures["change: calls without watches"] = spent / CHANGES
        puts = stats()["put"]
        assert await cluster.stop_entry(f"e{entries - 1}") == 0
        left, writes = stats()["put"] - puts, (await wait_quiet(cluster))[1]
        figures["one entry leaves, writes tried"] = left + writes
    finally:
        await cluster.stop(3_000)
    return figures


def measure_store_calls() -> Iterator[Row]:
    """Count calls at the stand-in store, against entries."""
    runs = {entries: run_bounded(run_store, entries) for entries in (1, 3, 6)}
    for name in runs[1]:
        points = {entries: run[name] for entries, run in runs.items() if name in run}
        yield Row("store", name, "calls", "entries", points)


async def run_jobs(cluster: Cluster, tasks: int) -> tuple[float, float]:
    """Return microseconds of a job of ``tasks`` tasks of 0 ms, and the share completed."""
    jobs = max(10, 300 // tasks)
    body = msgspec.json.encode({"service": "resize", "tasks": [{"ms": 0}] * tasks})

    async def ask(number: int) -> bool:
        headers = {"idempotency-key": f"path-{tasks}-{number}"}
        answer = await cluster.request(Request("POST", "/v1/jobs", {}, headers, body))
        return answer.status == 200

    began_s, done = time.process_time(), 0
    for first in range(0, jobs, 10):
        async with curio.TaskGroup() as group:
            for number in range(first, first + 10):
                await group.spawn(ask, number)
        done += sum(group.results)
    return (time.process_time() - began_s) / jobs * 1e6, done / jobs


async def run_path() -> dict[int, tuple[float, float]]:
    """Run jobs of several sizes through a whole system in this process."""
    entries = [entry_settings(f"e{n}", ZONE) for n in range(3)]
    cluster = Cluster(entries, [agent_settings(f"a{n}", ZONE) for n in range(4)])
    await cluster.start()
    try:
        await cluster.put("zones", ZONE, {})
        await cluster.put("services", "resize", {"expected_ms": 1})
        await wait_quiet(cluster)
        return {tasks: await run_jobs(cluster, tasks) for tasks in (1, 10, 100)}
    finally:
        await cluster.stop(3_000)


def measure_path() -> Iterator[Row]:
    """Measure jobs through caller, balancer, entries, agents and upstreams in one process."""
    runs = run_bounded(run_path)
    points = {tasks: run[0] for tasks, run in runs.items()}
    yield Row("path", "job, all parts and stand-ins", "us", "tasks", points)
    points = {tasks: run[1] for tasks, run in runs.items()}
    yield Row("path", "jobs completed, share", "of 1", "tasks", points)
