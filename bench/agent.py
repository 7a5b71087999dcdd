"""CPU time and memory of an agent: its sans-I/O core alone, and its process on loopback.

Run ``python -m bench.agent``. Figures are comparable only within one run.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import curio
import msgspec
import zmq

from snipewell.agent import Agent, AgentInfo, AgentLimits
from snipewell.clock import ManualClock
from snipewell.ids import (
    AgentId,
    EntryId,
    Epoch,
    Incarnation,
    Partition,
    RackId,
    Revision,
    ScopedKey,
    ServiceName,
    TaskIndex,
    TeamName,
    UpstreamId,
    ZoneId,
)
from snipewell.message import AnyMessage, Forget, Heartbeat, Permit, Resources, Result, Start
from snipewell.record import RecordLimits
from snipewell.server import HttpServer
from snipewell.settings import AgentSettings, UpstreamSettings
from snipewell.standins.upstream import Upstream
from snipewell.tasktracker import CallEnd, TaskTrackerLimits
from snipewell.transport import Router
from snipewell.web import Request, Response

HOST = "127.0.0.1"
CORE_TASKS = 20_000
DAEMON_TASKS = 2_000
RECORDS = 50_000
IDLE_S = 5.0
TIMEOUT_S = 120.0
SLOTS = 8


def make_start(entry: EntryId, key: str, task: int) -> Start:
    """Return a ``Start`` message with a small payload, as sent by a partition's leader."""
    routing = (Partition(0), Epoch(1), ServiceName("check"), TeamName("team"))
    return Start(
        ScopedKey(f"team/{key}"), TaskIndex(task), *routing, b'{"ms": 0}', 60_000.0, False, entry, 1
    )


def make_agent(clock: ManualClock) -> Agent:
    """Return an agent core that has one entry and holds its permit."""
    info = AgentInfo(
        AgentId("a"),
        Incarnation("i"),
        UpstreamId("u"),
        ZoneId("z"),
        RackId("r"),
        f"{HOST}:1",
        60,
        Resources(),
        (ServiceName("check"),),
    )
    limits = TaskTrackerLimits(SLOTS, 4, RecordLimits(200_000))
    agent = Agent(info, clock, AgentLimits(limits))
    entry = EntryId("e.1")
    agent.on_entries([entry])
    agent.tick()
    agent.on_message(entry, Permit(entry, agent.sequence, Revision(1), True, 1_500))
    return agent


def run_core(tasks: int, tasks_per_key: int, forget: bool) -> tuple[float, Agent]:
    """Run ``tasks`` tasks through an agent core; return the CPU microseconds per task and the core.

    With ``forget``, the entry sends ``Forget`` for the key after each task.
    """
    agent, entry = make_agent(ManualClock()), EntryId("e.1")
    starts = [
        make_start(entry, f"2026-12-04-key-{n // tasks_per_key}", n % tasks_per_key)
        for n in range(tasks)
    ]
    begin = time.process_time()
    while starts:
        start = starts.pop()
        agent.on_message(entry, start)
        agent.on_upstream_end(start.key, start.task, CallEnd.OK, b'"blue"')
        if forget:
            agent.on_message(entry, Forget([start.key]))
    return (time.process_time() - begin) / tasks * 1e6, agent


def rss_mb(pid: int | str = "self") -> float:
    """Return the resident set size of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def cpu_s(pid: int) -> float:
    """Return the CPU time used so far by a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_records(tasks_per_key: int) -> float:
    """Return the growth of this process's resident memory in MB for 10,000 records."""
    before = rss_mb()
    _, agent = run_core(RECORDS, tasks_per_key, forget=True)
    growth_mb = rss_mb() - before
    assert agent.task_tracker.records.count == RECORDS
    return growth_mb * 10_000 / RECORDS


class LoadGeneratorEntry:
    """A load-generating entry: answers each heartbeat with a permit and each result with a start.

    After the first ``SLOTS`` starts, the agent's slots thus stay full.
    """

    def __init__(self, context: zmq.Context[zmq.Socket[bytes]], name: str) -> None:
        self.name = EntryId(name)
        self.agent = ""
        self.results = 0
        self.sent = 0
        self.router = Router(context, name, f"{HOST}:0", self._on_message)

    async def _on_message(self, peer: str, message: AnyMessage) -> None:
        if isinstance(message, Heartbeat):
            self.agent = peer
            permit = Permit(self.name, message.sequence, Revision(1), True, 1_500)
            await self.router.send(peer, permit)
        elif isinstance(message, Result):
            self.results += 1
            if self.sent < DAEMON_TASKS:
                await self.send_start()

    async def send_start(self) -> None:
        """Send the start of one more task to the agent."""
        start = make_start(self.name, f"2026-12-04-key-{self.sent}", 0)
        self.sent += 1
        await self.router.send(self.agent, start)


async def measure_daemon(directory: Path) -> dict[str, float]:
    """Start an agent process with three entries and a stand-in upstream, and return its figures."""
    with zmq.Context() as context:
        entries = [LoadGeneratorEntry(context, f"e{n}.1") for n in range(3)]

        async def list_entries(_request: Request) -> Response:
            listed = [{"entry": e.name, "message_address": e.router.address} for e in entries]
            return Response.from_json(200, {"entries": listed})

        server = HttpServer(list_entries)
        await server.start(HOST, 0)
        upstream = Upstream(UpstreamSettings(name="u", host=HOST, port=0))
        await upstream.start()
        for entry in entries:
            await entry.router.start()
        settings = AgentSettings(
            name="a",
            zone="z",
            rack="r",
            host=HOST,
            upstream="u",
            upstream_address=upstream.address,
            balancer="{}:{}".format(*server.address),
            services=["check"],
            slots=SLOTS,
        )
        path = directory / "agent.json"
        path.write_bytes(msgspec.json.encode(settings))
        process = subprocess.Popen([sys.executable, "-m", "snipewell", "agent", str(path)])
        try:
            return await measure_process(process, entries)
        finally:
            process.terminate()
            await upstream.stop()
            await server.stop(0)
            for entry in entries:
                await entry.router.close()
            process.wait(10)


async def measure_process(
    process: subprocess.Popen[bytes], entries: list[LoadGeneratorEntry]
) -> dict:
    """Return the CPU time, memory and throughput of an agent process, idle and with full slots."""
    while not all(entry.agent for entry in entries):
        await curio.sleep(0.01)
    await curio.sleep(1)
    figures = {"idle memory, MB": rss_mb(process.pid)}
    begin = cpu_s(process.pid)
    await curio.sleep(IDLE_S)
    figures["idle processor, % of a core"] = (cpu_s(process.pid) - begin) / IDLE_S * 100
    begin, wall = cpu_s(process.pid), time.monotonic()
    for _ in range(SLOTS):
        await entries[0].send_start()
    while entries[0].results < DAEMON_TASKS:
        await curio.sleep(0.005)
    wall = time.monotonic() - wall
    figures["daemon processor, us a task"] = (cpu_s(process.pid) - begin) / DAEMON_TASKS * 1e6
    figures["daemon tasks a second, 0 ms tasks"] = DAEMON_TASKS / wall
    figures["memory after the load, MB"] = rss_mb(process.pid)
    return figures


def main() -> None:
    """Run all measurements and print one line for each figure."""
    cpu_us, _ = run_core(CORE_TASKS, 1, forget=False)
    print(f"core processor, us a task: {cpu_us:.1f}")
    for tasks_per_key, name in ((1, "single requests"), (100, "jobs of 100")):
        print(f"memory for 10,000 records of {name}, MB: {measure_records(tasks_per_key):.2f}")

    async def measure_with_timeout() -> dict[str, float]:
        async with curio.timeout_after(TIMEOUT_S):
            with tempfile.TemporaryDirectory() as directory:
                return await measure_daemon(Path(directory))

    for name, value in curio.run(measure_with_timeout).items():
        print(f"{name}: {value:.1f}")


if __name__ == "__main__":
    main()
