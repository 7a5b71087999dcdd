"""Run the system as separate processes on loopback, inject faults and record the history."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from snipewell.message import TaskState
from snipewell.outcome import (
    Cancelled,
    Complete,
    Conflict,
    Failed,
    Impossible,
    Invalid,
    NotRun,
    Outcome,
    Step,
    Unknown,
)
from tests.history import (
    Answered,
    ConfigurationAccepted,
    ConfigurationInForce,
    Ended,
    Event,
    Invoked,
    ProcessExited,
    ProcessStarted,
    Started,
    UpstreamChanged,
    ZoneChanged,
)

HOST = "127.0.0.1"
ZONES = ("zone-a", "zone-b", "zone-c")
READY_TIMEOUT_S = 30.0
_allocated_ports: set[int] = set()


def now_ms() -> float:
    """Return the monotonic time, on the clock that all processes of one machine share."""
    return time.monotonic_ns() / 1_000_000


def free_ports(count: int) -> list[int]:
    """Return free ports below the kernel's ephemeral port range.

    An ephemeral port may be assigned to an outgoing connection before its process binds it. The
    first port depends on the process id, so that concurrent test runs search different ranges.
    """
    start = 10_000 + os.getpid() * 97 % 15_000
    ports: list[int] = []
    for port in range(start + len(_allocated_ports), 32_000):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in _allocated_ports:
            ports.append(port)
            _allocated_ports.add(port)
        if len(ports) == count:
            return ports
    raise OSError(f"found {len(ports)} of {count} free ports below 32000")


def expected_reply(key: str, task: int) -> str:
    """Return the reply, unique to a task, that clients request in the payload of the task."""
    return f"{key}/{task}"


@dataclass
class Reply:
    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


def call(
    method: str,
    address: str,
    path: str,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Reply:
    """Send one HTTP request; raise OSError if no response arrives."""
    request = urllib.request.Request(
        f"http://{address}{path}", data=body, headers=dict(headers or {}), method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return Reply(answer.status, dict(answer.headers), answer.read())
    except urllib.error.HTTPError as error:
        return Reply(error.code, dict(error.headers), error.read())


def read_outcome(reply: Reply, job: bool) -> Outcome:
    """Return the outcome encoded in an entry's response."""
    if reply.status == 200 and not job:
        return Complete([reply.body])
    value = reply.json()
    match value.get("outcome"):
        case "complete":
            return Complete([json.dumps(result).encode() for result in value["results"]])
        case "failed":
            return Failed(Step(value["step"]), value["peer"], value["reason"])
        case "not_run":
            return NotRun(value["reason"], value["retry_after_ms"], reply.status == 429)
        case "impossible":
            return Impossible(value["reason"])
        case "conflict":
            return Conflict(value["reason"])
        case "cancelled":
            return Cancelled(value["started"])
        case "invalid":
            return Invalid(reply.status, value["reason"], value.get("field", ""))
        case "unknown":
            return Unknown(Step(value["step"]), value.get("peer", ""), value["reason"])
    raise AssertionError(f"response without an outcome: {reply.status} {reply.body!r}")


@dataclass
class Process:
    name: str
    command: list[str]
    log: Path
    popen: subprocess.Popen[bytes] | None = None
    incarnation_count: int = 0

    @property
    def incarnation(self) -> str:
        return f"{self.name}#{self.incarnation_count}"


@dataclass
class Cluster:
    """Store, balancer, entries, agents and upstreams, each a separate process.

    ``events`` is the history without the starts and ends of tasks; ``collect`` adds these from the
    logs of the upstreams. ``entry_changes`` and ``agent_changes`` override the settings that this
    class gives to entries and agents.
    """

    directory: Path
    entry_count: int = 3
    agent_count: int = 6
    entry_changes: Mapping[str, Any] = field(default_factory=dict)
    agent_changes: Mapping[str, Any] = field(default_factory=dict)
    events: list[Event] = field(default_factory=list)
    processes: dict[str, Process] = field(default_factory=dict)
    incarnation_starts: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    unanswered: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        ports = iter(free_ports(2 + 2 * self.entry_count + self.agent_count))
        self.store = f"{HOST}:{next(ports)}"
        self.balancer = f"{HOST}:{next(ports)}"
        self.entries = {f"e{n}": f"{HOST}:{next(ports)}" for n in range(self.entry_count)}
        message_ports = [next(ports) for _ in self.entries]
        self.upstreams = {f"u{n}": f"{HOST}:{next(ports)}" for n in range(self.agent_count)}
        self.zone_of = {name: ZONES[n % len(ZONES)] for n, name in enumerate(self.upstreams)}
        self._lock = threading.Lock()
        self._add("store", "store", {"host": HOST, "port": _port(self.store)})
        for n, (name, address) in enumerate(self.entries.items()):
            settings = {
                "name": name,
                "zone": ZONES[n % len(ZONES)],
                "host": HOST,
                "store": self.store,
                "http_port": _port(address),
                "message_port": message_ports[n],
                "drain_settle_ms": 300,
                **self.entry_changes,
            }
            self._add(name, "entry", settings)
        targets = {"port": _port(self.balancer), "entries": list(self.entries.values())}
        self._add("balancer", "balancer", {"host": HOST, **targets})
        for n, (name, address) in enumerate(self.upstreams.items()):
            upstream = {"name": name, "host": HOST, "port": _port(address)}
            self._add(name, "upstream", upstream)
            settings = {
                "name": f"a{n}",
                "zone": self.zone_of[name],
                "rack": f"{self.zone_of[name]}-rack",
                "host": HOST,
                "upstream": name,
                "upstream_address": address,
                "balancer": self.balancer,
                "services": ["check", "booking"],
                **self.agent_changes,
            }
            self._add(f"a{n}", "agent", settings)

    def _add(self, name: str, role: str, settings: Mapping[str, Any]) -> None:
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=1))
        command = [sys.executable, "-m", "snipewell", role, str(path)]
        self.processes[name] = Process(name, command, self.directory / f"{name}.log")

    def __enter__(self) -> Cluster:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def record(self, event: Event) -> None:
        with self._lock:
            self.events.append(event)

    # Processes.

    def start(self) -> None:
        """Start all processes, create the resources, and wait until agents may start tasks.

        That is the case as soon as every entry lists all agents.
        """
        for name in self.processes:
            self.spawn(name)
        self.wait_for(lambda: self._all_ready(), "entries ready")
        for zone in ZONES:
            self.put("zones", zone, {"in_service": True})
        self.put("services", "check", {"idempotent": True, "deadline_ms": 8_000})
        self.put("services", "booking", {"idempotent": False, "deadline_ms": 8_000})
        self.wait_for(
            lambda: self._min_agent_count() >= self.agent_count, "all agents known to every entry"
        )

    def spawn(self, name: str) -> None:
        """Start a process as a new incarnation."""
        process = self.processes[name]
        process.incarnation_count += 1
        with process.log.open("ab") as log:
            process.popen = subprocess.Popen(
                process.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        if name in self.entries:
            self.record(ProcessStarted(now_ms(), process.incarnation))
        self.incarnation_starts.setdefault(name, []).append((now_ms(), process.incarnation))

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        process = self.processes[name]
        assert process.popen is not None
        process.popen.kill()
        process.popen.wait(10)
        self.record(ProcessExited(now_ms(), process.incarnation, graceful=False))

    def pause(self, name: str) -> None:
        self._signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        self._signal(name, signal.SIGCONT)

    def _signal(self, name: str, number: int) -> None:
        popen = self.processes[name].popen
        assert popen is not None
        if popen.poll() is None:
            os.kill(popen.pid, number)

    def terminate(self, name: str, timeout_s: float = 40.0) -> int:
        """Send SIGTERM for a graceful shutdown, and return the exit status."""
        process = self.processes[name]
        assert process.popen is not None
        process.popen.terminate()
        status = process.popen.wait(timeout_s)
        self.record(ProcessExited(now_ms(), process.incarnation, graceful=status == 0))
        return status

    def stop(self) -> None:
        """Kill every process that this cluster started."""
        for process in self.processes.values():
            if process.popen is not None and process.popen.poll() is None:
                process.popen.kill()
                process.popen.wait(10)

    # Operations of operators and of the platform.

    def wait_for(
        self, condition: Any, description: str, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise TimeoutError(f"{description}: not within {timeout_s:g} s")

    def _all_ready(self) -> bool:
        return all(call("GET", a, "/readyz").status == 200 for a in self.entries.values())

    def _min_agent_count(self) -> int:
        return min(int(self.metric(name, "agents")) for name in self.entries)

    def metric(self, entry: str, name: str) -> float:
        """Return one gauge from an entry's metrics, or -1 if it is absent."""
        text = call("GET", self.entries[entry], "/metrics").body.decode()
        for line in text.splitlines():
            if line.startswith((f"snipewell_{name} ", f"{name} ")):
                return float(line.split()[-1])
        return -1.0

    def put(self, kind: str, name: str, spec: Mapping[str, Any], timeout_s: float = 20.0) -> Reply:
        """Write a resource through any entry, retry until it is accepted, and record the change.

        A change to out of service is recorded at the time of the response that accepts it. A change
        to in service is recorded at the start of the write, because tasks may start as soon as it
        is stored, before the response.
        """
        end = time.monotonic() + timeout_s
        begun_ms = now_ms()
        while True:
            for address in self.entries.values():
                try:
                    reply = self._put(address, kind, name, spec)
                except OSError:
                    continue
                if reply.status == 200:
                    self._record_change(kind, name, spec, begun_ms, reply)
                    return reply
            if time.monotonic() > end:
                raise TimeoutError(f"{kind}/{name}: not accepted within {timeout_s:g} s")
            time.sleep(0.1)

    def _put(self, address: str, kind: str, name: str, spec: Mapping[str, Any]) -> Reply:
        body = json.dumps({"spec": spec}).encode()
        return call("PUT", address, f"/v1/{kind}/{name}", body)

    def _record_change(
        self, kind: str, name: str, spec: Mapping[str, Any], begun_ms: float, reply: Reply
    ) -> None:
        answered_ms = now_ms()
        if kind in ("zones", "upstreams"):
            in_service = bool(spec["in_service"])
            change = ZoneChanged if kind == "zones" else UpstreamChanged
            self.record(change(begun_ms if in_service else answered_ms, name, in_service))
        revision = reply.json().get("revision")
        if revision:
            self.record(ConfigurationAccepted(answered_ms, int(revision)))

    def set_store_faults(self, faults: Mapping[str, Any]) -> None:
        call("POST", self.store, "/faults", json.dumps(faults).encode())

    def set_upstream_faults(self, name: str, faults: Mapping[str, Any]) -> None:
        call("POST", self.upstreams[name], "/faults", json.dumps(faults).encode())

    def observe(self) -> None:
        """Record the revision in force at every entry that responds."""
        for name in self.entries:
            process = self.processes[name]
            incarnation = process.incarnation
            try:
                revision = int(self.metric(name, "revision"))
            except OSError:
                continue
            if incarnation == process.incarnation:
                self.record(ConfigurationInForce(now_ms(), incarnation, revision))

    # Operations of clients.

    def submit(
        self,
        key: str,
        payloads: list[Mapping[str, Any]],
        service: str,
        job: bool,
        entry: str | None,
        request: str,
        deadline_ms: int = 8_000,
    ) -> Outcome | None:
        """Send one attempt through ``entry`` or the balancer; return None without a response.

        An attempt whose connection was refused is recorded without an entry, since no entry
        received it.
        """
        headers = {"Idempotency-Key": key, "Deadline-Ms": str(deadline_ms)}
        if job:
            path = "/v1/jobs"
            body = json.dumps({"service": service, "tasks": payloads}).encode()
        else:
            path = f"/v1/services/{service}/requests"
            body = json.dumps(payloads[0]).encode()
        idempotent = service == "check"
        incarnation = self.processes[entry].incarnation if entry else ""
        address = self.entries[entry] if entry else self.balancer
        invoked = Invoked(now_ms(), request, key, len(payloads), idempotent, job, incarnation)
        try:
            reply = call("POST", address, path, body, headers, deadline_ms / 1000 + 2)
        except OSError as error:
            refused = isinstance(getattr(error, "reason", error), ConnectionRefusedError)
            self.record(replace(invoked, entry="") if refused else invoked)
            self.unanswered.append(request)
            return None
        self.record(invoked)
        outcome = read_outcome(reply, job)
        self.record(Answered(now_ms(), request, outcome))
        return outcome

    def collect(self) -> list[Event]:
        """Return the history, including the starts and ends in the logs of the upstreams."""
        events = list(self.events)
        for name, address in self.upstreams.items():
            for start in call("GET", address, "/log").json()["starts"]:
                key, task = start["key"].partition("/")[2], start["task"]
                agent, zone = (
                    self._incarnation_at(f"a{name[1:]}", start["at_ms"]),
                    self.zone_of[name],
                )
                events.append(Started(start["at_ms"], key, task, agent, zone, name))
                if start["end_ms"] is not None:
                    body = json.dumps(start["reply"]).encode()
                    state = TaskState(start["state"])
                    events.append(Ended(start["end_ms"], key, task, agent, state, body))
        return sorted(events, key=lambda event: event.at_ms)

    def _incarnation_at(self, name: str, at_ms: float) -> str:
        """Return the latest incarnation of a process that was started by ``at_ms``."""
        return [
            incarnation
            for started_ms, incarnation in self.incarnation_starts[name]
            if started_ms <= at_ms
        ][-1]


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])
