"""Administration part of the high-level API: declared resources and the state of the system."""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import TypeVar

import curio
import msgspec

from .client import ExchangeError, HttpStream, NotSentError, fetch
from .clock import Clock
from .manifest import Difference
from .outcome import SnipewellError, Step
from .resource import Document, Kind, Spec
from .retryingclient import RetryingClient, RetryLimits, UnreachableError, escape
from .watch import WatchEvent
from .web import Request, Response

CALL_TIMEOUT_MS = 10_000
"""Time limit of one call, all its attempts together."""
PROBE_TIMEOUT_MS = 1_000
"""Time limit of one readiness probe of an entry."""
WATCH_IDLE_TIMEOUT_MS = 7_000
"""An entry sends an empty line on a watch every 2 s; the connection is replaced when nothing has
arrived for this long."""
POLL_INTERVAL_MS = 200
"""Time between two reads of a resource in a drain, and before a watch reconnects."""
DRAIN_SETTLE_MS = 3_000
"""How long the out-of-service change must have been in force before the Idle condition counts.

With default settings, outstanding permits allow task starts for up to 2,500 ms after that: the
freshness window of 1,000 ms and the permit lifetime of 1,500 ms. These tasks appear in the agent's
next heartbeat.
"""
T = TypeVar("T")


class ApiError(SnipewellError):
    """A call was refused with an HTTP ``status``; ``field`` names the invalid field, if any."""

    def __init__(self, step: Step, peer: str, status: int, reason: str, field: str = "") -> None:
        super().__init__(step, peer, f"{field}: {reason}" if field else reason)
        self.status = status
        self.field = field

    @classmethod
    def from_response(cls, response: Response, peer: str) -> ApiError:
        """Return the error in the body of ``response``, sent from the address ``peer``."""
        try:
            body = msgspec.json.decode(response.body, type=_ErrorBody)
            step = Step(body.step)
        except (msgspec.MsgspecError, UnicodeDecodeError, ValueError):
            return cls(
                Step.EDGE,
                peer,
                response.status,
                f"response with HTTP status {response.status} and an invalid body",
            )
        reason = body.reason or f"HTTP status {response.status}"
        return cls(step, body.peer or peer, response.status, reason, body.field)


class _ErrorBody(msgspec.Struct):
    reason: str = ""
    field: str = ""
    step: str = "edge"
    peer: str = ""


class _Documents(msgspec.Struct):
    revision: int
    items: list[Document]


class WriteResult(msgspec.Struct, frozen=True):
    """Result of a write for one resource."""

    kind: Kind
    name: str
    state: str
    resource_version: int
    generation: int = 0


class WriteResponse(msgspec.Struct, frozen=True):
    """Response to a write; ``in_force`` is true if a majority of the voters has the revision.

    Otherwise the write is stored, but not yet in force.
    """

    revision: int
    in_force: bool
    dry_run: bool
    results: list[WriteResult]


class EntryState(msgspec.Struct, frozen=True):
    """A registered entry: ``reachable`` if it answered a probe, ``ready`` to accept requests."""

    entry: str
    zone: str = ""
    http_address: str = ""
    reachable: bool = False
    ready: bool = False


class _Entries(msgspec.Struct):
    entries: list[EntryState]


class _Ready(msgspec.Struct):
    ready: bool


@dataclass(frozen=True, slots=True)
class SystemStatus:
    """State of the system as reported by one entry, with a readiness probe of each entry."""

    revision: int
    entries: list[EntryState]
    zones: list[Document] = field(default_factory=list)
    upstreams: list[Document] = field(default_factory=list)


class Watch(AsyncIterator[WatchEvent]):
    """Stream of all resources of a kind and then of each change; `close` it when done.

    A broken connection is replaced, after which all resources are listed again. Raises
    UnreachableError after ``limits.attempts`` failures in a row.
    """

    def __init__(self, retrying_client: RetryingClient, kind: Kind) -> None:
        self._retrying_client = retrying_client
        self._kind = kind
        self._stream: HttpStream | None = None
        self._partial_line = b""
        self._lines: deque[bytes] = deque()

    async def __anext__(self) -> WatchEvent:
        failures = 0
        while failures < self._retrying_client.limits.attempts:
            while self._lines:
                line = self._lines.popleft()
                if line:
                    return msgspec.json.decode(line, type=WatchEvent)
            try:
                await self._read()
            except (ExchangeError, NotSentError, StopAsyncIteration):
                failures += 1
                await self.close()
                await curio.sleep(POLL_INTERVAL_MS / 1000)
        raise UnreachableError(
            Step.EDGE, self._retrying_client.address, f"watch failed {failures} times in a row"
        )

    async def close(self) -> None:
        """Close the connection and discard an incomplete line."""
        self._partial_line = b""
        if self._stream is not None:
            stream, self._stream = self._stream, None
            await stream.close()

    async def _read(self) -> None:
        if self._stream is None:
            request = Request("GET", f"/v1/{self._kind.value}", {"watch": "1"})
            response = await self._retrying_client.stream(request, WATCH_IDLE_TIMEOUT_MS)
            assert isinstance(response.stream, HttpStream)
            self._stream = response.stream
            if response.status != 200:
                await self.close()
                raise ApiError(
                    Step.EDGE,
                    self._retrying_client.address,
                    response.status,
                    f"watch refused with HTTP status {response.status}",
                )
        *lines, self._partial_line = (self._partial_line + await anext(self._stream)).split(b"\n")
        self._lines.extend(lines)


class Operator:
    """Client for operators: declares resources and reads the state of the system.

    Writes need the operators' ``token`` if the entries require one. Calls are retried if a response
    is lost, which is safe because they declare a state. Methods raise UnreachableError,
    LostAnswerError or ApiError.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        token: str | None = None,
        limits: RetryLimits | None = None,
        clock: Clock | None = None,
        rng: Random | None = None,
    ) -> None:
        headers = {"authorization": f"Bearer {token}"} if token else {}
        self._retrying_client = RetryingClient(addresses, headers, limits, clock, rng, 8)

    async def get(self, kind: Kind, name: str = "") -> list[Document]:
        """Return all resources of ``kind`` with their status, or only the one called ``name``."""
        if name:
            request = Request("GET", f"/v1/{kind.value}/{escape(name)}")
            return [await self._call(request, Document)]
        return (await self._call(Request("GET", f"/v1/{kind.value}"), _Documents)).items

    async def put(self, kind: Kind, spec: Spec, version: int | None = None) -> WriteResponse:
        """Write one resource; with ``version`` only if it still has that resource version."""
        body = msgspec.json.encode({"spec": spec, "resource_version": version})
        path = f"/v1/{kind.value}/{escape(spec.name)}"
        return await self._call(Request("PUT", path, {}, {}, body), WriteResponse)

    async def apply(
        self, differences: Iterable[Difference], dry_run: bool = False
    ) -> list[WriteResponse]:
        """Apply the differences in their order, with one write for each kind.

        Each write is atomic. Raises ApiError with status 409 if a resource changed since it was
        compared; the writes of earlier kinds remain applied.
        """
        sets: dict[Kind, list[dict[str, object]]] = {}
        for difference in differences:
            change = {"name": difference.name, "spec": difference.spec}
            sets.setdefault(difference.kind, []).append(
                {**change, "resource_version": difference.version}
            )
        written: list[WriteResponse] = []
        query = {"dry_run": "true"} if dry_run else {}
        for kind, changes in sets.items():
            body = msgspec.json.encode({"changes": changes})
            request = Request("POST", f"/v1/{kind.value}", query, {}, body)
            written.append(await self._call(request, WriteResponse))
        return written

    async def set_in_service(self, kind: Kind, name: str, in_service: bool) -> WriteResponse:
        """Take a zone or an upstream into or out of service; a zone must exist."""
        if kind not in (Kind.ZONE, Kind.UPSTREAM):
            raise ValueError(f"expected a zone or an upstream, got {kind.value}")
        if kind is Kind.ZONE:
            # A misspelt name would declare a new zone and leave the intended one unchanged.
            await self.get(kind, name)
        body = msgspec.json.encode({"spec": {"in_service": in_service}})
        path = f"/v1/{kind.value}/{escape(name)}"
        return await self._call(Request("PUT", path, {}, {}, body), WriteResponse)

    async def drain(self, kind: Kind, name: str, wait_ms: float) -> tuple[Document, bool]:
        """Take a zone or an upstream out of service; wait until no task runs or can start there.

        Returns the resource as last read, and True if it became idle within ``wait_ms``.
        """
        await self.set_in_service(kind, name, False)
        end_ms = self._retrying_client.clock.now_ms() + wait_ms
        in_force_ms: float | None = None
        while True:
            (document,) = await self.get(kind, name)
            now = self._retrying_client.clock.now_ms()
            if in_force_ms is None and _condition_status(document, "InForce"):
                in_force_ms = now
            is_settled = in_force_ms is not None and now - in_force_ms >= DRAIN_SETTLE_MS
            drained = is_settled and _condition_status(document, "Idle", True)
            if drained or now >= end_ms:
                return document, drained
            await curio.sleep(POLL_INTERVAL_MS / 1000)

    def watch(self, kind: Kind) -> Watch:
        """Return a stream of all resources of ``kind`` and then of each change."""
        return Watch(self._retrying_client, kind)

    async def status(self) -> SystemStatus:
        """Return entries, zones and upstreams; each entry is probed for readiness."""
        listed = await self._call(Request("GET", "/v1/entries"), _Entries)
        entries = [await self._probe(entry) for entry in listed.entries]
        zones = await self._call(Request("GET", "/v1/zones"), _Documents)
        upstreams = await self._call(Request("GET", "/v1/upstreams"), _Documents)
        return SystemStatus(zones.revision, entries, zones.items, upstreams.items)

    async def close(self) -> None:
        """Close the pooled connections."""
        await self._retrying_client.close()

    async def _probe(self, entry: EntryState) -> EntryState:
        try:
            response = await fetch(entry.http_address, Request("GET", "/readyz"), PROBE_TIMEOUT_MS)
            ready = msgspec.json.decode(response.body, type=_Ready).ready
        except (SnipewellError, msgspec.MsgspecError):
            return entry
        return msgspec.structs.replace(entry, reachable=True, ready=ready)

    async def _call(self, request: Request, response_type: type[T]) -> T:
        result = await self._retrying_client.call(request, CALL_TIMEOUT_MS)
        response, peer = result.response, self._retrying_client.address
        if response.status not in (200, 202):
            raise ApiError.from_response(response, peer)
        try:
            return msgspec.json.decode(response.body, type=response_type)
        except msgspec.MsgspecError as error:
            raise ApiError(Step.EDGE, peer, response.status, f"invalid response: {error}") from None


def _condition_status(document: Document, condition: str, default: bool = False) -> bool:
    status = document.status
    statuses = {c.type: c.status for c in status.conditions} if status is not None else {}
    return statuses.get(condition, default)
