"""The upstream beside an agent: its registration, and the orders that it is called with."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from ..client import ExchangeError, HttpPool, NotSentError
from ..ids import UpstreamId
from ..job import Room, RunEnd
from ..upstreamcall import (
    CallHold,
    CallStart,
    CallStop,
    EndRow,
    RunRow,
    Runs,
    StartResult,
    Upstream,
)
from ..web import Request, Response

REGISTRATION_PREFIX = "/snipewell/instances/"
INSTANCE_HEADER = "Snipewell-Expected-Instance"
MAX_CONNECTIONS = 24
"""Connections to the upstream, which accepts 64 (``maxConnections``)."""
T = TypeVar("T")

_REFUSALS = {
    "fence": StartResult.FENCED,
    "old": StartResult.OLD,
    "late": StartResult.LATE,
    "room": StartResult.ROOM,
    "ticket": StartResult.NO_TICKET,
}
_ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    # Ends of members of gangs, which this version doesn't start.
    "broken": RunEnd.STOPPED,
    "alone": RunEnd.STOPPED,
}


class RegistrationError(Exception):
    """A heartbeat that can't be read; it names no upstream to use."""


class _Capacity(msgspec.Struct):
    cpu: int
    memMb: int  # noqa: N815
    gpus: int = 0


class _Heartbeat(msgspec.Struct):
    """What an upstream says of itself; ``sequence`` tells a late call from a newer one."""

    service: str
    address: str
    zone: str
    state: str
    sequence: int
    capacity: _Capacity
    born: int
    labels: list[str] = []


class _Answer(msgspec.Struct):
    clockMs: float  # noqa: N815
    reason: str = ""


class _Runs(msgspec.Struct):
    """The lists of runs.

    Rows of ``running`` are task, attempt, checkpoint, percent and the processors in use; rows of
    ``finished`` are number, task, attempt, how it ended and checkpoint.
    """

    clockMs: float  # noqa: N815
    running: list[list[object]] = []
    finished: list[list[object]] = []
    born: int | None = None


def decode_heartbeat(upstream: str, body: bytes) -> tuple[Upstream, int]:
    """Return what the upstream says of itself, and the number of the heartbeat.

    Raise RegistrationError if a field is missing or has another type or state.
    """
    try:
        beat = msgspec.json.decode(body, type=_Heartbeat)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise RegistrationError(str(error)) from error
    if beat.state not in ("ready", "draining"):
        raise RegistrationError(f"state: expected ready or draining, got {beat.state[:40]!r}")
    if not beat.address or not beat.service:
        raise RegistrationError("expected an address and a service")
    capacity = Room(beat.capacity.cpu, beat.capacity.memMb, beat.capacity.gpus)
    described = Upstream(
        UpstreamId(upstream),
        beat.born,
        beat.service,
        beat.zone,
        beat.address,
        capacity,
        tuple(beat.labels),
        beat.state == "draining",
    )
    return described, beat.sequence


def split_registration(path: str) -> tuple[str, str] | None:
    """Return the upstream and the call (``heartbeat`` or ``deregister``) that ``path`` names."""
    upstream, _, call = path.removeprefix(REGISTRATION_PREFIX).partition("/")
    if not path.startswith(REGISTRATION_PREFIX) or not upstream:
        return None
    return (upstream, call) if call in ("heartbeat", "deregister") else None


def to_task_name(task: str) -> str:
    """Return the platform's name (``ID.K.STEP.INDEX``) of the product's ``JOB/STEP/INDEX``."""
    job, step, index = task.split("/")
    return f"{job}.0.{step}.{index}"


def from_task_name(name: str) -> str:
    """Return the product's name of a task, or ``name`` itself if another writer made it up."""
    parts = name.split(".")
    return "/".join((parts[0], parts[2], parts[3])) if len(parts) == 4 else name


class UpstreamClient:
    """Calls the upstream with orders. Times are in milliseconds.

    Orders to a waiting upstream are spread over connections of their own, because an answer may be
    late and one connection carries one call at a time.
    """

    def __init__(self, connections: int = MAX_CONNECTIONS) -> None:
        self._connections = connections
        self._pools: dict[str, HttpPool] = {}

    def _pool(self, address: str) -> HttpPool:
        if address not in self._pools:
            self._pools = {address: HttpPool(address, self._connections)}
        return self._pools[address]

    async def start(self, call: CallStart, timeout_ms: float) -> tuple[StartResult, float | None]:
        """Order a start; return the answer and the upstream's clock, if it told it."""
        body = {
            "task": to_task_name(call.task),
            "attempt": call.attempt,
            "specification": call.specification,
            "deadlineMs": call.deadline_ms,
            "fencingToken": call.fence,
        }
        try:
            response = await self._call(call.upstream, "run-start", body, timeout_ms)
        except NotSentError:
            return StartResult.NOT_SENT, None
        except ExchangeError:
            return StartResult.UNANSWERED, None
        answer = _decode(response, _Answer)
        clock_ms = answer.clockMs if answer is not None else None
        match response.status:
            case 200:
                return StartResult.STARTED, clock_ms
            case 409:
                reason = answer.reason if answer is not None else ""
                return _REFUSALS.get(reason, StartResult.INVALID), clock_ms
            case 421:
                return StartResult.OTHER_INSTANCE, None
            case 429 | 503:
                return StartResult.UNHEALTHY, None
            case 400:
                return StartResult.INVALID, clock_ms
            case _:
                return StartResult.UNANSWERED, None

    async def stop(self, call: CallStop, timeout_ms: float) -> bool:
        """Order a stop; return whether the upstream acknowledged it."""
        body = {
            "task": to_task_name(call.task),
            "attempt": call.attempt,
            "fencingToken": call.fence,
        }
        try:
            response = await self._call(call.upstream, "run-stop", body, timeout_ms)
        except (NotSentError, ExchangeError):
            return False
        return response.status == 200

    async def hold(self, call: CallHold, timeout_ms: float) -> Runs | StartResult:
        """Extend the lease and return the lists, or why there are none."""
        body: dict[str, object] = {"fencingToken": call.fence, "ackCursor": call.acked}
        if call.deadline_ms is not None:
            body["deadlineMs"] = call.deadline_ms
        if call.wait_ms:
            body["waitMs"] = call.wait_ms
        try:
            response = await self._call(call.upstream, "hold", body, timeout_ms + call.wait_ms)
        except NotSentError:
            return StartResult.NOT_SENT
        except ExchangeError:
            return StartResult.UNANSWERED
        if response.status == 409:
            return StartResult.FENCED
        if response.status == 421:
            return StartResult.OTHER_INSTANCE
        runs = _decode(response, _Runs) if response.status == 200 else None
        return StartResult.UNANSWERED if runs is None else _to_runs(runs)

    async def _call(
        self, upstream: Upstream, name: str, body: dict[str, object], timeout_ms: float
    ) -> Response:
        headers = {"content-type": "application/json", INSTANCE_HEADER: upstream.upstream}
        request = Request("POST", f"/snipewell/{name}", {}, headers, msgspec.json.encode(body))
        return await self._pool(upstream.address).request(request, timeout_ms)

    async def close(self) -> None:
        """Close the idle connections."""
        for pool in self._pools.values():
            await pool.close()


def _decode(response: Response, kind: type[T]) -> T | None:
    try:
        return msgspec.json.decode(response.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def _to_runs(runs: _Runs) -> Runs:
    running = []
    for row in runs.running:
        match row:
            case [str(task), int(attempt), _, int(percent) | float(percent), *_]:
                running.append(RunRow(from_task_name(task), attempt, percent))
    ended = []
    for row in runs.finished:
        match row:
            case [int(number), str(task), int(attempt), str(how), *_]:
                end = _ENDS.get(how, RunEnd.LOST)
                ended.append(EndRow(number, from_task_name(task), attempt, end))
    return Runs(runs.clockMs, runs.born, tuple(running), tuple(ended))
