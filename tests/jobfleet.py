"""Run the job path as separate processes on one machine, with stand-ins of the platform.

The store, the upstreams and the clients run in the test's process; entries and agents are the
production programs, started by ``python -m snipewell.platform``. Faults are injected from outside,
by signals and by the fault settings of the stand-ins.
"""

from __future__ import annotations

import os
import secrets
import signal
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import curio
import msgspec

from snipewell.client import ExchangeError, NotSentError, fetch
from snipewell.clock import SystemClock
from snipewell.listener import open_listener
from snipewell.standins.metadata import MetadataStore
from snipewell.standins.platformupstream import Run, StandInUpstream
from snipewell.web import Request, Response

SERVICE, HOST, PREFIX = "svc", "jobs.example", "/q/"
RESUBMIT_DELAY_MS = 1_300.0
CLIENT_TIMEOUT_MS = 6_000.0
START_TIMEOUT_S = 12.0
EXIT_TIMEOUT_S = 60.0
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "q",
            "host": HOST,
            "pathPrefix": PREFIX,
            "service": SERVICE,
            "maxAttempts": 4,
            "stretchFactor": 1.6,
            "targetLatencyMs": 60,
        }
    ],
}


_allocated_ports: set[tuple[str, int]] = set()


def draw_host() -> str:
    """Return a random loopback address.

    Outgoing connections have ports of 127.0.0.1, and concurrent fleets are on other addresses, so
    nobody else takes a free port of this one before its daemon has bound it.
    """
    return f"127.{secrets.randbelow(250) + 1}.{secrets.randbelow(250) + 1}.1"


def free_port(host: str) -> int:
    """Return a port that was free on the address ``host``, another one with each call."""
    while True:
        with open_listener(host, 0) as listener:
            port: int = listener.getsockname()[1]
        if (host, port) not in _allocated_ports:
            _allocated_ports.add((host, port))
            return port


@dataclass
class Daemon:
    """A production program as a subprocess, which can be signalled, killed and restarted."""

    role: str
    name: str
    settings: Path
    log: Path
    address: str
    process: subprocess.Popen[bytes] | None = None
    was_killed: bool = False

    def start(self) -> None:
        """Start the program unless it is running."""
        if self.process is not None and not self.was_killed and self.process.poll() is None:
            return
        self.reap()
        self.was_killed = False
        environment = {**os.environ, "SNIPEWELL_BOOT": str(self.settings)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "snipewell.platform", self.role],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.was_killed = True

    def reap(self) -> None:
        """Wait for the exit of a killed process, which can take seconds on a busy machine."""
        if self.process is not None:
            self.process.wait(EXIT_TIMEOUT_S)


async def send_heartbeat(agent: Daemon, upstream: str, body: bytes) -> int:
    """Send a heartbeat as another writer would; return the response status."""
    path = f"/snipewell/instances/{upstream}/heartbeat"
    headers = {"content-type": "application/json"}
    return (await fetch(agent.address, Request("POST", path, {}, headers, body), 1_000)).status


def foreign_heartbeat(address: str) -> dict[str, object]:
    """Return the heartbeat of an upstream of another service, which doesn't run here."""
    return {
        "service": "somebody-elses-service",
        "address": address,
        "zone": "z9",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "capacity": {"cpu": 16_000, "memMb": 32_768, "gpus": 0},
        "labels": ["a"],
        "clockMs": 1_000,
        "sequence": 1,
        "born": SystemClock().wall_ms(),
    }


@dataclass
class Client:
    """The client of one job: the response statuses in order, and the times of begin and end."""

    job: str
    statuses: list[int] = field(default_factory=list)
    state: str = ""
    sent: int = 0
    started_ms: float = 0.0
    ended_ms: float = 0.0


class JobFleet:
    """The entries, agents, upstreams, store and clients of one test run."""

    max_sends = 6
    """Number of times that a client sends its job before it gives up."""
    names_upstreams = True
    """Whether the settings of the agents name the service and the address of their upstreams."""

    def __init__(self, directory: Path, seed: int, entries: int = 2, agents: int = 3) -> None:
        self.rng = Random(seed)
        self.clock = SystemClock()
        self.store = MetadataStore(Random(seed + 1))
        self.upstreams: list[StandInUpstream] = []
        self.agents: list[Daemon] = []
        self.entries: list[Daemon] = []
        self.clients: list[Client] = []
        self.host = draw_host()
        self._directory = directory
        self._counts = (entries, agents)
        self._tasks: list[curio.Task] = []

    async def start(self) -> None:
        """Start all processes, and wait until a first job succeeds."""
        server = await self.store.serve()
        self.store.put("op/config", msgspec.json.encode(CONFIGURATION))
        store = f"127.0.0.1:{server.address[1]}"
        for number in range(self._counts[1]):
            address = f"{self.host}:{free_port(self.host)}"
            upstream = StandInUpstream(f"u{number}", f"z{number}", SERVICE, 8_000, self.rng)
            self.upstreams.append(upstream)
            port = free_port(self.host)
            self._configure_upstream(upstream, port)
            self._tasks.append(
                await curio.spawn(upstream.run, address, 500.0, port, self.host, daemon=True)
            )
            extra_settings = [f"listenAddresses.controlPlane={address}"]
            if self.names_upstreams:
                app = upstream.advertised_address or f"{self.host}:{port}"
                extra_settings += [f"app={app}", f"service={SERVICE}"]
            self.agents.append(
                self._create_daemon("agent", f"agent-{number}", store, extra_settings, address)
            )
        for number in range(self._counts[0]):
            address = f"{self.host}:{free_port(self.host)}"
            extra_settings = [
                f"listenAddresses.frontend={address}",
                f"listenAddresses.readiness={self.host}:{free_port(self.host)}",
            ]
            self.entries.append(
                self._create_daemon("entry", f"entry-{number}", store, extra_settings, address)
            )
        for daemon in [*self.agents, *self.entries]:
            daemon.start()
        until_ms = self.clock.now_ms() + START_TIMEOUT_S * 1000
        while self.clock.now_ms() < until_ms:
            client = Client(f"{self.rng.getrandbits(64):016x}")
            if await self._send(client, self.entries[0], 1, 20.0) == 200:
                return
            await curio.sleep(0.1)
        raise TimeoutError(f"no job succeeded within {START_TIMEOUT_S:g} s of the start")

    def _configure_upstream(self, upstream: StandInUpstream, port: int) -> None:
        """Configure an upstream that will accept calls at ``port``; a hook for subclasses."""

    def _choose_place(self, client: Client) -> dict[str, object]:
        """Return the fields of a job's step that name places; a hook for subclasses."""
        return {}

    async def _request(self, address: str, request: Request) -> Response:
        """Send a client's request on a new connection."""
        return await fetch(address, request, CLIENT_TIMEOUT_MS)

    def _create_daemon(
        self, role: str, name: str, store: str, extra_settings: list[str], address: str
    ) -> Daemon:
        port = free_port(self.host)
        text = [
            f"nodeName={name}",
            f"zone=z{name[-1]}",
            f"ip={self.host}",
            f"internalPortRange={port},{port}",
            f"platform.address={store}",
            "bounds.gracePeriodS=4",
            *extra_settings,
        ]
        settings = self._directory / f"{name}.conf"
        settings.write_text("\n".join(text) + "\n")
        return Daemon(role, name, settings, self._directory / f"{name}.log", address)

    async def _send(self, client: Client, entry: Daemon, tasks: int, ms: float) -> int:
        """Send a job once; return the response status, or 0 without a response."""
        client.sent += 1
        place = self._choose_place(client)
        rack = place.get("affinity", "")
        specification = msgspec.json.encode({"ms": ms, "rack": rack}).decode()
        step = {"count": tasks, "cpu": 1_000, "memMb": 10, "estimatedMs": ms, **place}
        body = {"specification": specification, "bestEffort": True, "steps": [step]}
        headers = {"host": HOST, "snipewell-deadline-ms": str(int(CLIENT_TIMEOUT_MS))}
        path = f"{PREFIX}{client.job}"
        request = Request("POST", path, {}, headers, msgspec.json.encode(body))
        try:
            response = await self._request(entry.address, request)
        except (NotSentError, ExchangeError):
            return 0
        if response.status == 200:
            client.state = msgspec.json.decode(response.body)["state"]
        return response.status

    async def submit(self, tasks: int, ms: float) -> None:
        """Submit a job, and resubmit it after a lost response, as the platform's clients do."""
        client = Client(f"{self.rng.getrandbits(64):016x}")
        self.clients.append(client)
        client.started_ms = self.clock.now_ms()
        for _ in range(self.max_sends):
            status = await self._send(client, self.rng.choice(self.entries), tasks, ms)
            client.statuses.append(status)
            client.ended_ms = self.clock.now_ms()
            if status not in (0, 502, 504):
                return
            await curio.sleep(RESUBMIT_DELAY_MS / 1000)

    async def load(self, seconds: float, per_s: float) -> None:
        """Submit jobs at random times for ``seconds``, on average ``per_s``, and wait for all."""
        jobs: list[curio.Task] = []
        until_ms = self.clock.now_ms() + seconds * 1000
        while self.clock.now_ms() < until_ms:
            await curio.sleep(self.rng.expovariate(per_s))
            tasks, ms = self.rng.choice([1, 1, 2, 4]), self.rng.choice([50.0, 200.0, 600.0])
            jobs.append(await curio.spawn(self.submit, tasks, ms))
        for job in jobs:
            await job.join()

    async def after(self, seconds: float, act: Callable[[], None]) -> None:
        """Call ``act`` after ``seconds``."""

        async def wait() -> None:
            await curio.sleep(seconds)
            act()

        self._tasks.append(await curio.spawn(wait, daemon=True))

    async def stop(self) -> None:
        """Kill the processes that this fleet started."""
        for daemon in [*self.entries, *self.agents]:
            daemon.kill()
        for daemon in [*self.entries, *self.agents]:
            daemon.reap()
        for task in self._tasks:
            await task.cancel()

    def runs(self) -> list[Run]:
        """Return the runs of all upstreams, ordered by task and start time."""
        runs = [run for upstream in self.upstreams for run in upstream.history]
        return sorted(runs, key=lambda run: (run.task, run.start_ms))

    def overlaps(self) -> list[tuple[Run, Run]]:
        """Return the pairs of runs of one task that overlap in time."""
        runs = self.runs()
        return [
            (first, second)
            for first, second in zip(runs, runs[1:], strict=False)
            if first.task == second.task
            and (first.end_ms is None or first.end_ms > second.start_ms)
        ]

    def false_refusals(self) -> list[Client]:
        """Return the clients that received only refusals, although a task of their job ran."""
        executed_jobs = {run.task.split(".")[0] for run in self.runs()}
        return [
            client
            for client in self.clients
            if client.statuses
            and set(client.statuses) <= {429, 503}
            and client.job in executed_jobs
        ]

    def false_completions(self) -> list[Client]:
        """Return the clients whose job was reported as completed although a task was not."""
        falsely_completed = []
        for client in self.clients:
            tasks: dict[str, bool] = {}
            for run in self.runs():
                if run.task.startswith(client.job):
                    tasks[run.task] = tasks.get(run.task, False) or run.how == "done"
            if client.state == "completed" and not (tasks and all(tasks.values())):
                falsely_completed.append(client)
        return falsely_completed
