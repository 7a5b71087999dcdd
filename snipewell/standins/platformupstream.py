"""Stand-in for an upstream that runs tasks under the platform's contract.

It registers with the agent on its VM by heartbeats, grants leases, checks fencing tokens, numbers
the ends of runs, and can carry out calls late. It records every run, so that a test can compare
them with the results that the system reports. A specification of the form
``{"ms": 120, "fail": false, "rack": "r1"}`` sets the duration and the result of a task, and the
rack of its data.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

import curio
import msgspec

from ..client import ExchangeError, NotSentError, fetch
from ..clock import SystemClock
from ..server import ClientDisconnectedError, HttpServer
from ..web import Request, Response

MAX_LEASE_MS = 1_000.0
"""Longest lease that is granted, whatever deadline the agent asks for."""
STOP_MS = 40.0
"""Time from the order to stop a run to its end."""
_STEP_INTERVAL_S = 0.005
"""Interval in seconds at which runs advance."""
_LINGER_MS = 2_000.0
"""Time for which an upstream goes on without an answer to its deregistration."""
_ABSENCE_MS = 1_000.0
"""Time from the end of the upstream to the heartbeats of its next incarnation."""
_LATE_RANGE_MS = (2_000.0, 5_000.0)
"""Bounds of the random delay of a call that is carried out late."""


class UpstreamFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults in force.

    ``late`` is the share of calls to start or stop a run that are carried out late, without a
    response. With ``hang``, tasks make no progress; with ``fail``, they fail when they end.
    ``slow`` is a factor on their durations.
    """

    late: float = 0.0
    hang: bool = False
    fail: bool = False
    slow: float = 1.0


@dataclass(frozen=True, slots=True)
class Departure:
    """A departure: the upstream deregisters ``notice_ms`` after its announcement was answered.

    ``answer_lost`` is true if the answer to the deregistration is lost. ``held_ms`` is the time for
    which the deregistration is held up; the upstream doesn't wait for its answer then.
    """

    notice_ms: float
    answer_lost: bool = False
    held_ms: float = 0.0


class RunSpec(msgspec.Struct):
    """Specification of a task: its duration in milliseconds and its result."""

    ms: float = 100.0
    fail: bool = False
    rack: str = ""


@dataclass
class Run:
    """Record of one run, with times of the VM's monotonic clock.

    ``done_ms`` is the progress in terms of ``spec.ms``. ``stop_at_ms`` is the time at which an
    order to stop takes effect, None without such an order. ``end_ms`` is None while the run is
    active.
    """

    upstream: str
    task: str
    attempt: int
    start_ms: float
    spec: RunSpec
    done_ms: float = 0.0
    stop_at_ms: float | None = None
    end_ms: float | None = None
    how: str = ""


class StandInUpstream:
    """Stand-in for one upstream with a capacity of ``cpu`` thousandths of a core.

    Tasks whose data is on another rack than ``rack`` take ``spread_factor`` times as long.
    """

    def __init__(self, name: str, zone: str, service: str, cpu: int, rng: random.Random) -> None:
        self.name = name
        self.zone = zone
        self.service = service
        self.cpu = cpu
        self.faults = UpstreamFaults()
        self.draining = False
        self.rack = ""
        self.spread_factor = 1.0
        self.advertised_address = ""
        """Address to send in heartbeats instead of the server's own, such as that of a relay."""
        self.history: list[Run] = []
        self._rng = rng
        self._clock = SystemClock()
        self._sequence = 0
        self._server: HttpServer | None = None
        self._departure: Departure | None = None
        self._leaves_at_ms: float | None = None
        self._absent_until_ms = float("-inf")
        self._begin_incarnation()

    def _begin_incarnation(self) -> None:
        self._born_wall_ms = self._clock.wall_ms()
        self._born_ms = self._clock.now_ms()
        self._fencing_token = 0
        self._lease_end_ms = 0.0
        self._running: dict[tuple[str, int], Run] = {}
        self._unacked_ends: list[list[object]] = []
        self._last_end_number = 0
        self._highest_attempts: dict[str, int] = {}

    def crash(self) -> None:
        """Lose all runs and begin a new incarnation under the same ID."""
        for run in self._running.values():
            run.end_ms, run.how = self._clock.now_ms(), "crashed"
        self._begin_incarnation()

    def leave(self, departure: Departure) -> None:
        """Announce a departure; the next incarnation begins after it."""
        self.draining = True
        self._departure = departure
        self._leaves_at_ms = None

    async def _deregister(self, agent_address: str, departure: Departure) -> None:
        """Deregister, and end once that is answered or after a while without an answer."""
        born_ms = self._born_ms
        if departure.held_ms:
            await curio.spawn(
                self._send_deregistration, agent_address, departure.held_ms, daemon=True
            )
        answered = not departure.held_ms and await self._send_deregistration(agent_address, 0.0)
        if not answered or departure.answer_lost:
            await curio.sleep(_LINGER_MS / 1000)
        if born_ms == self._born_ms:
            self._absent_until_ms = self._clock.now_ms() + _ABSENCE_MS
            self.crash()
        self.draining = False

    async def _send_deregistration(self, agent_address: str, delay_ms: float) -> bool:
        """Send the deregistration after ``delay_ms``; return whether it was answered."""
        await curio.sleep(delay_ms / 1000)
        request = Request("POST", f"/snipewell/instances/{self.name}/deregister")
        try:
            return (await fetch(agent_address, request, 1_000)).status == 200
        except (NotSentError, ExchangeError):
            return False

    def _incarnation_clock_ms(self) -> float:
        """Return the time since this incarnation began, on which the calls' times are based.

        Those are ``clockMs`` and ``deadlineMs``; `Run` uses the VM's monotonic clock.
        """
        return self._clock.now_ms() - self._born_ms

    async def run(
        self,
        agent_address: str,
        heartbeat_ms: float = 500.0,
        port: int = 0,
        host: str = "127.0.0.1",
    ) -> None:
        """Serve calls and send heartbeats to the agent at ``agent_address`` until cancelled."""
        self._server = HttpServer(self._handle)
        await self._server.start(host, port)
        heartbeats = await curio.spawn(
            self._send_heartbeats, agent_address, heartbeat_ms, daemon=True
        )
        last_ms = self._clock.now_ms()
        try:
            while True:
                await curio.sleep(_STEP_INTERVAL_S)
                now_ms = self._clock.now_ms()
                departure = self._departure
                if departure and self._leaves_at_ms is not None and now_ms >= self._leaves_at_ms:
                    self._departure = self._leaves_at_ms = None
                    # It sends no heartbeats beside the deregistration.
                    self._absent_until_ms = now_ms + _LINGER_MS + _ABSENCE_MS
                    await curio.spawn(self._deregister, agent_address, departure, daemon=True)
                self._advance_runs(now_ms - last_ms)
                last_ms = now_ms
        finally:
            await heartbeats.cancel()
            await self._server.stop(0)

    @property
    def address(self) -> str:
        """Address that the heartbeats announce, while `run` is in progress."""
        assert self._server is not None
        host, port = self._server.address
        return self.advertised_address or f"{host}:{port}"

    async def _send_heartbeats(self, agent_address: str, heartbeat_ms: float) -> None:
        while True:
            now_ms = self._clock.now_ms()
            if now_ms < self._absent_until_ms:
                await curio.sleep(_STEP_INTERVAL_S)
                continue
            self._sequence += 1
            body: dict[str, object] = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "coldRemainingMs": 0,
                "state": "draining" if self.draining else "ready",
                "sequence": self._sequence,
                "capacity": {"cpu": self.cpu, "memMb": 1_000_000, "gpus": 0},
                "born": self._born_wall_ms,
                "labels": ["a", self.rack] if self.rack else ["a"],
                "clockMs": int(self._incarnation_clock_ms()),
            }
            departure = self._departure
            if departure is not None:
                leaves_at_ms = self._leaves_at_ms or now_ms + departure.notice_ms
                body["remainingMs"] = max(1.0, leaves_at_ms - now_ms)
            path = f"/snipewell/instances/{self.name}/heartbeat"
            request = Request("POST", path, {}, {}, msgspec.json.encode(body))
            try:
                await fetch(agent_address, request, 1_000)
            except (NotSentError, ExchangeError):
                # The agent is unreachable, so retry soon.
                await curio.sleep(0.05)
                continue
            if departure is not None and self._leaves_at_ms is None:
                self._leaves_at_ms = self._clock.now_ms() + departure.notice_ms
            await curio.sleep(heartbeat_ms / 1000)

    def _advance_runs(self, elapsed_ms: float) -> None:
        now_ms = self._clock.now_ms()
        for key, run in list(self._running.items()):
            if not self.faults.hang:
                is_far = run.spec.rack not in ("", self.rack)
                factor = self.spread_factor if is_far else 1.0
                run.done_ms += elapsed_ms / (self.faults.slow * factor)
            if run.stop_at_ms is not None and now_ms >= run.stop_at_ms:
                self._end(key, "stopped")
            elif self._incarnation_clock_ms() > self._lease_end_ms:
                self._end(key, "lapsed")
            elif run.done_ms >= run.spec.ms:
                self._end(key, "failed" if run.spec.fail or self.faults.fail else "done")

    def _end(self, key: tuple[str, int], how: str) -> None:
        run = self._running.pop(key)
        run.end_ms, run.how = self._clock.now_ms(), how
        self._last_end_number += 1
        self._unacked_ends.append([self._last_end_number, key[0], key[1], how, ""])
        self._highest_attempts[key[0]] = max(self._highest_attempts.get(key[0], 0), key[1])

    async def _handle(self, request: Request) -> Response:
        if request.path == "/faults":
            self.faults = msgspec.json.decode(request.body, type=UpstreamFaults)
            return Response.from_json(200, {})
        if request.headers.get("snipewell-expected-instance", self.name) != self.name:
            return Response.from_json(421, {})
        body = msgspec.json.decode(request.body)
        match request.path:
            case "/snipewell/run-start":
                await self._maybe_run_late(self._start, body)
                return self._start(body)
            case "/snipewell/run-stop":
                await self._maybe_run_late(self._stop, body)
                return self._stop(body)
            case "/snipewell/hold":
                return await self._renew_lease(body)
        return Response.from_json(404, {})

    async def _maybe_run_late(self, method: Any, body: dict[str, Any]) -> None:
        if self._rng.random() < self.faults.late:
            born = self._born_ms

            async def run_late() -> None:
                await curio.sleep(self._rng.uniform(*_LATE_RANGE_MS) / 1000)
                if born == self._born_ms:
                    method(body)

            await curio.spawn(run_late, daemon=True)
            raise ClientDisconnectedError

    def _reject(self, reason: str) -> Response:
        return Response.from_json(
            409, {"clockMs": int(self._incarnation_clock_ms()), "reason": reason}
        )

    def _accept_fencing_token(self, body: dict[str, Any]) -> bool:
        if body.get("fencingToken", 0) < self._fencing_token:
            return False
        self._fencing_token = body.get("fencingToken", 0)
        return True

    def _start(self, body: dict[str, Any]) -> Response:
        if not self._accept_fencing_token(body):
            return self._reject("fence")
        if body["deadlineMs"] <= self._incarnation_clock_ms():
            return self._reject("late")
        limit_ms = self._incarnation_clock_ms() + MAX_LEASE_MS
        self._lease_end_ms = max(self._lease_end_ms, min(body["deadlineMs"], limit_ms))
        key = (body["task"], body["attempt"])
        if key not in self._running:
            if key[1] <= self._highest_attempts.get(key[0], 0):
                return self._reject("old")
            spec = msgspec.json.decode(body["specification"], type=RunSpec)
            run = Run(self.name, key[0], key[1], self._clock.now_ms(), spec)
            self.history.append(run)
            self._running[key] = run
        return Response.from_json(200, {"clockMs": int(self._incarnation_clock_ms())})

    def _stop(self, body: dict[str, Any]) -> Response:
        if not self._accept_fencing_token(body):
            return self._reject("fence")
        task, attempt = body["task"], body["attempt"]
        self._highest_attempts[task] = max(self._highest_attempts.get(task, 0), attempt)
        run = self._running.get((task, attempt))
        if run is not None and run.stop_at_ms is None:
            run.stop_at_ms = self._clock.now_ms() + STOP_MS
        return Response.from_json(200, {"clockMs": int(self._incarnation_clock_ms())})

    async def _renew_lease(self, body: dict[str, Any]) -> Response:
        if not self._accept_fencing_token(body):
            return self._reject("fence")
        if "deadlineMs" in body:
            limit_ms = self._incarnation_clock_ms() + MAX_LEASE_MS
            self._lease_end_ms = max(self._lease_end_ms, min(body["deadlineMs"], limit_ms))
        acked = body.get("ackCursor", 0)
        self._unacked_ends = [end for end in self._unacked_ends if int(str(end[0])) > acked]
        until_ms = self._clock.now_ms() + body.get("waitMs", 0)
        while not self._unacked_ends and self._clock.now_ms() < until_ms:
            await curio.sleep(_STEP_INTERVAL_S)
        running = [
            [task, attempt, "", int(100 * run.done_ms / run.spec.ms), 1]
            for (task, attempt), run in self._running.items()
        ]
        lists = {"running": running, "finished": self._unacked_ends, "born": self._born_wall_ms}
        return Response.from_json(200, {"clockMs": int(self._incarnation_clock_ms()), **lists})
