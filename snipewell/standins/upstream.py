"""Stand-in for an upstream: sleeps, responds, fails on request, and logs every task start.

Tests use the log as the reference for the starts that really happened.

``POST /tasks/<service>`` takes a JSON payload such as ``{"ms": 120, "reply": "done"}``; without
``ms`` the service time of the settings applies. ``POST /faults`` replaces the active faults, and
``GET /log`` returns all starts since the process began, as ``{"starts": [...]}``.
"""

from __future__ import annotations

import random
import signal
from collections.abc import AsyncIterator

import curio
import msgspec

from ..clock import SystemClock
from ..message import TaskState
from ..server import ClientDisconnectedError, HttpServer, ServerLimits
from ..settings import UpstreamSettings
from ..signals import SignalQueue
from ..web import Request, Response

_HANG_S = 3_600.0


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Active faults. Each applies to tasks that start while it is set.

    ``fail``: respond with 500 at once. ``slow``: factor on the service time. ``hang``: keep the
    connection open and never respond. ``truncate``: send half of the response and close.
    ``close``: do the work, then close without a response. ``wrong_id``: respond with the id of
    another task.
    """

    fail: bool = False
    slow: float = 1.0
    hang: bool = False
    truncate: bool = False
    close: bool = False
    wrong_id: bool = False


class Payload(msgspec.Struct):
    """Payload of a task: service time ``ms``, ``reply`` (any JSON value) and a failure flag."""

    ms: float | None = None
    reply: object = None
    fail: bool = False


class StartLog(msgspec.Struct):
    """Log entry of a task start. Times are in milliseconds on the machine's monotonic clock.

    ``state`` is the result of the work, whether or not the response arrived; ``fault`` names the
    fault that corrupted the response. Work is cancelled when its client closes the connection.
    ``end_ms`` and ``state`` are None while the work runs or hangs.
    """

    key: str
    task: int
    service: str
    at_ms: float
    end_ms: float | None = None
    state: TaskState | None = None
    fault: str = ""
    reply: object = None


class Upstream:
    """A stand-in upstream; tests may access ``log`` and ``faults`` directly."""

    def __init__(self, settings: UpstreamSettings) -> None:
        self.faults = Faults()
        self.log: list[StartLog] = []
        self.address = ""
        self.running = 0
        self.peak_running = 0
        """The highest number of tasks that ran at the same time."""
        self._settings = settings
        self._clock = SystemClock()
        self._rng = random.Random(settings.seed)
        self._server = HttpServer(self._handle, ServerLimits(connections=settings.connections))

    async def start(self) -> None:
        """Listen; raise OSError if the address is in use."""
        await self._server.start(self._settings.host, self._settings.port)
        self.address = "{}:{}".format(*self._server.address)

    async def stop(self) -> None:
        """Close the listener and abort running tasks."""
        await self._server.stop(0)

    async def _handle(self, request: Request) -> Response:
        if request.path.startswith("/tasks/") and request.method == "POST":
            return await self._run(request)
        if request.path == "/log" and request.method == "GET":
            return Response.from_json(200, {"starts": self.log})
        if request.path == "/faults" and request.method == "POST":
            try:
                self.faults = msgspec.json.decode(request.body, type=Faults)
            except msgspec.MsgspecError as error:
                return Response.from_json(400, {"reason": str(error)})
            return Response.from_json(200, self.faults)
        return Response.from_json(404, {"reason": f"no {request.method} {request.path}"})

    async def _run(self, request: Request) -> Response:
        """Log the start of a task, execute it and return the response."""
        try:
            payload = msgspec.json.decode(request.body or b"{}", type=Payload)
            task = int(request.headers.get("snipewell-task", "0"))
        except (msgspec.MsgspecError, ValueError) as error:
            return Response.from_json(400, {"reason": str(error)})
        key, service = request.headers.get("snipewell-key", ""), request.path[len("/tasks/") :]
        entry = StartLog(key, task, service, self._clock.now_ms())
        self.log.append(entry)
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        faults = self.faults
        try:
            entry.state = await self._execute(payload, faults)
            entry.reply = payload.reply if entry.state is TaskState.OK else None
        except curio.TaskCancelled:
            entry.state = None if faults.hang else TaskState.CANCELLED
            raise
        finally:
            self.running -= 1
            entry.end_ms = self._clock.now_ms() if entry.state is not None else None
        entry.fault = _response_fault(entry.state, faults)
        return self._respond(entry, request.headers.get("snipewell-task-id", ""))

    async def _execute(self, payload: Payload, faults: Faults) -> TaskState:
        """Wait for the service time of a task and return its final state."""
        settings = self._settings
        if faults.fail or payload.fail or self._rng.random() < settings.failure_share:
            return TaskState.FAILED
        if faults.hang:
            await curio.sleep(_HANG_S)
        service_ms = settings.service_ms if payload.ms is None else payload.ms
        await curio.sleep(service_ms * faults.slow / settings.speed / 1000)
        return TaskState.OK

    def _respond(self, entry: StartLog, task_id: str) -> Response:
        if entry.fault == "close":
            raise ClientDisconnectedError
        if entry.state is TaskState.FAILED:
            response = Response.from_json(500, {"reason": "fault"})
        else:
            response = Response.from_json(200, entry.reply)
        if entry.fault == "truncate":
            size = len(response.body)
            response.headers["content-length"] = str(size)
            response.stream = _yield_then_fail(response.body[: size // 2])
        response.headers["snipewell-task-id"] = "other" if entry.fault == "wrong_id" else task_id
        return response


async def _yield_then_fail(part: bytes) -> AsyncIterator[bytes]:
    """Yield ``part``, then raise OSError so that the server closes the connection."""
    yield part
    raise OSError("fault: the answer is truncated")


def _response_fault(state: TaskState | None, faults: Faults) -> str:
    if state is not TaskState.OK:
        return ""
    return next((name for name in ("close", "truncate", "wrong_id") if getattr(faults, name)), "")


async def run_upstream(settings: UpstreamSettings) -> int:
    """Serve a stand-in upstream until SIGTERM or SIGINT; print its address first."""
    upstream = Upstream(settings)
    async with SignalQueue(signal.SIGTERM, signal.SIGINT) as signals:
        await upstream.start()
        print(f"upstream listens on {upstream.address}", flush=True)
        await signals.get()
        await upstream.stop()
    return 0
