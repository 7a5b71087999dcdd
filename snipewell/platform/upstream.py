"""Codec of the registration calls of an agent's upstream, and HTTP client of that upstream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, TypeVar

import msgspec

from ..address import split_address
from ..client import ExchangeError, HttpPool, NotSentError
from ..decoding import decode_json
from ..errors import MessageError
from ..ids import UpstreamId
from ..job import ResourceVector, RunEnd
from ..upstreamcall import (
    CallHold,
    CallStart,
    CallStop,
    EndRow,
    RunLists,
    RunRow,
    StartResult,
    Upstream,
)
from ..web import Request, Response

REGISTRATION_PREFIX = "/snipewell/instances/"
INSTANCE_HEADER = "Snipewell-Expected-Instance"
MAX_CONNECTIONS = 40
"""Most connections to the upstream, which accepts 64 (``maxConnections``)."""
T = TypeVar("T")
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""A whole number that every JSON implementation represents exactly."""

_START_REJECTIONS = {
    "fence": StartResult.FENCED,
    "old": StartResult.STALE_ATTEMPT,
    "late": StartResult.LATE,
    "room": StartResult.INSUFFICIENT_CAPACITY,
    "ticket": StartResult.NO_TICKET,
}
_RUN_ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    # Ends of tasks in gangs, which this version doesn't start.
    "broken": RunEnd.STOPPED,
    "alone": RunEnd.STOPPED,
}


class RegistrationError(Exception):
    """Raised for a heartbeat that is malformed or describes an upstream of another VM."""


@dataclass(frozen=True, slots=True)
class ExpectedUpstream:
    """What the settings say of the upstream on this VM; an empty string leaves a field open."""

    service: str = ""
    address: str = ""
    """``ip:port`` at which the upstream accepts calls."""


class _Capacity(msgspec.Struct):
    cpu: _Count
    memMb: _Count  # noqa: N815
    gpus: _Count


class _Heartbeat(msgspec.Struct):
    """Heartbeat of an upstream; ``sequence`` orders the heartbeats of one incarnation.

    All fields that the platform documents are declared, also those that the product doesn't use: a
    heartbeat in which one is missing or mistyped comes from another writer.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: _Count
    state: str
    coldRemainingMs: float  # noqa: N815
    sequence: _Count
    capacity: _Capacity
    born: _Count
    labels: list[str]
    clockMs: float = 0  # noqa: N815
    machineId: str = ""  # noqa: N815
    remainingMs: float = 0  # noqa: N815


class _Answer(msgspec.Struct):
    clockMs: float  # noqa: N815
    reason: str = ""


class _Runs(msgspec.Struct):
    """Response to a ``hold`` call: the lists of running and finished runs.

    Rows of ``running`` are task, attempt, checkpoint, percent and the processors in use; rows of
    ``finished`` are number, task, attempt, how it ended and checkpoint.
    """

    clockMs: float  # noqa: N815
    running: list[list[object]] = []
    finished: list[list[object]] = []
    born: int | None = None


def decode_heartbeat(
    upstream: str, body: bytes, expected: ExpectedUpstream | None = None
) -> tuple[Upstream, int]:
    """Decode a heartbeat; return the description of the upstream and the sequence number.

    Raise RegistrationError if a field is missing or has a wrong type, the state is unknown, or
    service or address aren't the ``expected`` ones.
    """
    try:
        heartbeat = decode_json(body, _Heartbeat)
    except MessageError as error:
        raise RegistrationError(str(error)) from error
    if heartbeat.state not in ("ready", "draining"):
        raise RegistrationError(f"state: expected ready or draining, got {heartbeat.state[:40]!r}")
    if not heartbeat.service:
        raise RegistrationError("expected a service")
    try:
        split_address(heartbeat.address)
    except ValueError as error:
        raise RegistrationError(f"address: {error}") from None
    if expected is not None and expected.service not in ("", heartbeat.service):
        raise RegistrationError(
            f"service: expected {expected.service}, got {heartbeat.service[:40]!r}"
        )
    if expected is not None and expected.address not in ("", heartbeat.address):
        raise RegistrationError(
            f"address: expected {expected.address}, got {heartbeat.address[:40]!r}"
        )
    capacity = ResourceVector(
        heartbeat.capacity.cpu, heartbeat.capacity.memMb, heartbeat.capacity.gpus
    )
    description = Upstream(
        UpstreamId(upstream),
        heartbeat.born,
        heartbeat.service,
        heartbeat.zone,
        heartbeat.address,
        capacity,
        tuple(heartbeat.labels),
        heartbeat.state == "draining",
        _find_remaining_ms(heartbeat),
    )
    return description, heartbeat.sequence


def _find_remaining_ms(heartbeat: _Heartbeat) -> float | None:
    """Return the time until the departure that a heartbeat announces, or None.

    A missing field is decoded as 0, so 0 doesn't count as an announcement.
    """
    announced = heartbeat.state == "draining" and heartbeat.remainingMs > 0
    return heartbeat.remainingMs if announced else None


def parse_registration_path(path: str) -> tuple[str, str] | None:
    """Return the upstream ID and the call (``heartbeat`` or ``deregister``) of a registration path.

    Return None for any other path.
    """
    upstream, _, call = path.removeprefix(REGISTRATION_PREFIX).partition("/")
    if not path.startswith(REGISTRATION_PREFIX) or not upstream:
        return None
    return (upstream, call) if call in ("heartbeat", "deregister") else None


def to_task_name(task: str) -> str:
    """Convert a task name ``JOB/STEP/INDEX`` to the platform's ``ID.K.STEP.INDEX``, with K = 0."""
    job, step, index = task.split("/")
    return f"{job}.0.{step}.{index}"


def from_task_name(name: str) -> str:
    """Convert the platform's name of a task to the product's ``JOB/STEP/INDEX``.

    A name in another form, which the product didn't create, is returned unchanged.
    """
    parts = name.split(".")
    return "/".join((parts[0], parts[2], parts[3])) if len(parts) == 4 else name


class UpstreamClient:
    """HTTP client for the calls that start and stop runs and renew the lease.

    Timeouts are in milliseconds. Each outstanding call has a connection of its own, up to
    ``connections``: a response may be late, and a connection carries one call at a time.
    """

    def __init__(self, connections: int = MAX_CONNECTIONS) -> None:
        self._connections = connections
        self._pools: dict[str, HttpPool] = {}

    def _pool(self, address: str) -> HttpPool:
        if address not in self._pools:
            self._pools = {address: HttpPool(address, self._connections)}
        return self._pools[address]

    async def start(self, call: CallStart, timeout_ms: float) -> tuple[StartResult, float | None]:
        """Start a run; return the result and the upstream's clock, None if the clock is unknown."""
        body = {
            "task": to_task_name(call.task),
            "attempt": call.attempt,
            "specification": call.specification,
            "deadlineMs": call.deadline_ms,
            "fencingToken": call.fence,
        }
        try:
            response = await self._call(call.upstream, "run-start", body, timeout_ms)
        except NotSentError as error:
            return _to_start_result(error), None
        except ExchangeError:
            return StartResult.UNANSWERED, None
        decoded = _decode(response, _Answer)
        clock_ms = decoded.clockMs if decoded is not None else None
        match response.status:
            case 200:
                return StartResult.STARTED, clock_ms
            case 409:
                reason = decoded.reason if decoded is not None else ""
                return _START_REJECTIONS.get(reason, StartResult.INVALID), clock_ms
            case 421:
                return StartResult.OTHER_INSTANCE, None
            case 429 | 503:
                return StartResult.UNHEALTHY, None
            case 400:
                return StartResult.INVALID, clock_ms
            case _:
                return StartResult.UNANSWERED, None

    async def stop(self, call: CallStop, timeout_ms: float) -> bool:
        """Stop a run; return True if the upstream acknowledged the call."""
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

    async def hold(self, call: CallHold, timeout_ms: float) -> RunLists | StartResult:
        """Renew the lease and return the lists of runs, or the reason why they are missing."""
        body: dict[str, object] = {"fencingToken": call.fence, "ackCursor": call.acked}
        if call.deadline_ms is not None:
            body["deadlineMs"] = call.deadline_ms
        if call.wait_ms:
            body["waitMs"] = call.wait_ms
        try:
            response = await self._call(call.upstream, "hold", body, timeout_ms + call.wait_ms)
        except NotSentError as error:
            return _to_start_result(error)
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
        """Close all idle connections."""
        for pool in self._pools.values():
            await pool.close()


def _to_start_result(error: NotSentError) -> StartResult:
    """Tell a refused connection from the other failures before the first byte was sent."""
    refused = isinstance(error.__cause__, ConnectionRefusedError)
    return StartResult.NO_LISTENER if refused else StartResult.NOT_SENT


def _decode(response: Response, kind: type[T]) -> T | None:
    try:
        return decode_json(response.body, kind)
    except MessageError:
        return None


def _to_runs(runs: _Runs) -> RunLists:
    running = []
    for row in runs.running:
        match row:
            case [str(task), int(attempt), _, int(percent) | float(percent), *_]:
                running.append(RunRow(from_task_name(task), attempt, percent))
    ended = []
    for row in runs.finished:
        match row:
            case [int(number), str(task), int(attempt), str(how), *_]:
                end = _RUN_ENDS.get(how, RunEnd.LOST)
                ended.append(EndRow(number, from_task_name(task), attempt, end))
    return RunLists(runs.clockMs, runs.born, tuple(running), tuple(ended))
