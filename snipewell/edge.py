"""The HTTP front end of an entry: turns requests into submissions, and outcomes into responses."""

from __future__ import annotations

import base64
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

import curio
import msgspec

from .clock import Clock
from .effect import Submission
from .filters import (
    Exchange,
    check_size,
    parse_body,
    parse_deadline,
    parse_idempotency_key,
    parse_team,
    require_operator,
    resolve_route,
    resolve_service,
    run_filters,
)
from .ids import EntryId, Partition, RequestId, ScopedKey, ServiceName, digest_of, scope_key
from .log import Log
from .message import Progress, ProgressReply, Resources, TicketRequest, Tickets
from .metrics import Metrics
from .outcome import (
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
    http_status,
)
from .peer import EntryRecord
from .resource import ServiceSpec
from .server import response_from_invalid
from .settings import EntrySettings
from .web import Request, Response

REPLY_GRACE_MS = 2_000.0
"""Time beyond the deadline of a submission after which the front end stops waiting for the core.

The core itself responds earlier, so this limit only guards against a core that does not."""
POLL_MS = 50.0
"""Interval between progress queries for a job while a client waits for its end."""


@dataclass(frozen=True, slots=True)
class CancelKey:
    """A request of a local client to cancel the submission of ``key``."""

    request: RequestId
    key: ScopedKey


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The local client of ``request`` disconnected."""

    request: RequestId


CoreRequest = Submission | CancelKey | Progress | TicketRequest
CoreResponse = Outcome | ProgressReply | Tickets


class CoreAccess(Protocol):
    """The daemon's interface for the edge: requests to the core, and its current state."""

    async def ask(self, core_request: CoreRequest, timeout_ms: float) -> CoreResponse | None:
        """Return the core's response, or None if there was none within ``timeout_ms``."""
        ...

    def find_service(self, name: ServiceName) -> ServiceSpec | None:
        """Return the service ``name`` of the configuration in force, None if there is none."""
        ...

    def is_loaded(self) -> bool:
        """Return whether the configuration has been loaded."""
        ...

    def is_ready(self) -> bool:
        """Return whether this entry should receive new requests."""
        ...

    def list_entries(self) -> list[EntryRecord]:
        """Return the registered entries."""
        ...

    def choose_ticket_partition(self) -> Partition | None:
        """Return a partition whose leader may be asked for tickets."""
        ...


class Edge:
    """Request handler of an entry's HTTP server.

    ``handle_resource`` serves the paths of the resource API.
    """

    def __init__(
        self,
        entry: EntryId,
        settings: EntrySettings,
        token: str | None,
        core: CoreAccess,
        clock: Clock,
        rng: Random,
        metrics: Metrics,
        log: Log,
        handle_resource: Callable[[Request], Awaitable[Response]],
    ) -> None:
        self._entry = entry
        self._core = core
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._handle_resource = handle_resource
        self._nonce = f"{rng.getrandbits(32):08x}"
        self._sequence = 0
        self._filters = (
            resolve_route,
            check_size(settings.http.body_bytes),
            require_operator(token),
            parse_team,
            parse_idempotency_key(settings.key_bytes),
            parse_deadline(settings.max_deadline_ms),
            parse_body,
            resolve_service(core.find_service, core.is_loaded),
        )

    async def handle(self, request: Request) -> Response:
        """Return the response to one request; it carries an outcome in every case."""
        exchange = Exchange(request)
        invalid = run_filters(self._filters, exchange)
        if invalid is not None:
            self._metrics.count("refused_requests", status=str(invalid.status))
            self._log.debug("edge", "refused a request", status=invalid.status, why=invalid.reason)
            return response_from_invalid(invalid)
        match exchange.route.action:
            case "request" | "job":
                return await self._submit(exchange)
            case "job_status":
                return await self._respond_job_status(exchange)
            case "job_cancel":
                return await self._cancel(exchange)
            case "keys":
                return await self._issue_tickets(exchange)
            case "resource":
                return await self._handle_resource(request)
            case action:
                return self._respond_status(action)

    def _respond_status(self, action: str) -> Response:
        match action:
            case "entries":
                return Response.from_json(200, {"entries": self._core.list_entries()})
            case "metrics":
                text = self._metrics.render().encode()
                return Response(200, {"content-type": "text/plain; version=0.0.4"}, text)
            case "readyz" if not self._core.is_ready():
                return Response.from_json(503, {"ready": False})
        return Response.from_json(200, {"entry": self._entry, "ready": self._core.is_ready()})

    def _next_request(self) -> RequestId:
        self._sequence += 1
        return RequestId(f"{self._entry}/{self._nonce}/{self._sequence}")

    async def _submit(self, exchange: Exchange) -> Response:
        spec = exchange.spec
        assert spec is not None
        started_ms = self._clock.now_ms()
        submission = Submission(
            self._next_request(),
            self._entry,
            scope_key(exchange.team, exchange.key),
            digest_of(exchange.service, exchange.tasks),
            exchange.service,
            exchange.team,
            exchange.tasks,
            started_ms + exchange.deadline_ms,
            exchange.route.action == "job",
            spec.idempotent,
            exchange.resources or Resources(),
        )
        answer = await self._core.ask(submission, exchange.deadline_ms + REPLY_GRACE_MS)
        outcome = _outcome_from_answer(answer)
        self._metrics.count("outcomes", outcome=tag_of(outcome))
        self._metrics.observe_ms("request", self._clock.now_ms() - started_ms)
        return response_from_outcome(outcome, submission.job)

    async def _cancel(self, exchange: Exchange) -> Response:
        key = scope_key(exchange.team, exchange.key)
        # Milliseconds; longer than the core waits for another leader (KEY_REQUEST_TIMEOUT_MS).
        answer = await self._core.ask(CancelKey(self._next_request(), key), 10_000)
        return response_from_outcome(_outcome_from_answer(answer), True)

    async def _respond_job_status(self, exchange: Exchange) -> Response:
        """Return the recorded outcome of a job, or its progress once the requested wait is over."""
        key = scope_key(exchange.team, exchange.key)
        until_ms = self._clock.now_ms() + exchange.wait_ms
        while True:
            # Milliseconds; as long as the core waits for another leader (KEY_REQUEST_TIMEOUT_MS).
            answer = await self._core.ask(
                Progress(self._next_request(), self._entry, key, False), 5_000
            )
            if answer is None:
                return response_from_outcome(
                    Unknown(Step.FORWARD, "home", "no answer on the progress"), True
                )
            if not isinstance(answer, ProgressReply):
                return response_from_outcome(_outcome_from_answer(answer), True)
            left_ms = until_ms - self._clock.now_ms()
            if not answer.known or left_ms <= 0:
                return _response_from_progress(answer)
            await curio.sleep(min(POLL_MS, left_ms) / 1000)

    async def _issue_tickets(self, exchange: Exchange) -> Response:
        partition = self._core.choose_ticket_partition()
        if partition is not None:
            message = TicketRequest(self._next_request(), self._entry, partition, exchange.count)
            # Milliseconds; the core itself has no timeout for tickets.
            answer = await self._core.ask(message, 5_000)
            if isinstance(answer, Tickets) and answer.keys:
                return Response.from_json(200, {"keys": answer.keys})
        invalid = Invalid(503, "no home could issue tickets; this attempt was not accepted")
        response = response_from_invalid(invalid)
        response.headers["retry-after"] = "1"
        return response


def _outcome_from_answer(answer: CoreResponse | None) -> Outcome:
    if answer is None or isinstance(answer, ProgressReply | Tickets):
        return Unknown(Step.EDGE, "entry", "no answer in time")
    return answer


def tag_of(outcome: Outcome) -> str:
    """Return the tag of the outcome's type, for example ``not_run``."""
    return str(outcome.__struct_config__.tag)


def response_from_outcome(outcome: Outcome, job: bool) -> Response:
    """Return the HTTP response for ``outcome``.

    For a single request that completed, the body is the result, byte for byte.
    """
    headers = {"snipewell-outcome": tag_of(outcome)}
    status = http_status(outcome)
    if isinstance(outcome, Complete) and not job:
        headers["content-type"] = "application/octet-stream"
        return Response(status, headers, outcome.results[0] if outcome.results else b"")
    if isinstance(outcome, Invalid):
        return response_from_invalid(outcome)
    if isinstance(outcome, NotRun | Unknown):
        headers["retry-after"] = str(max(1, math.ceil(outcome.retry_after_ms / 1000)))
    return Response.from_json(
        status, {"outcome": tag_of(outcome), **_outcome_fields(outcome)}, headers
    )


def _outcome_fields(outcome: Outcome) -> dict[str, object]:
    match outcome:
        case Complete(results):
            return {"results": [_to_json(body) for body in results]}
        case Failed(step, peer, reason):
            return {"step": step.value, "peer": peer, "reason": reason}
        case NotRun(reason, retry_after_ms):
            return {"reason": reason, "retry_after_ms": retry_after_ms}
        case Unknown(step, peer, reason, started, retry_after_ms):
            return {
                "step": step.value,
                "peer": peer,
                "reason": reason,
                "this_attempt": "started" if started else "not_started",
                "retry_after_ms": retry_after_ms,
            }
        case Impossible(reason) | Conflict(reason):
            return {"reason": reason}
        case Cancelled(started):
            return {"started": started}
        case Invalid(_, reason, field):
            return {"reason": reason, "field": field}


def _to_json(body: bytes) -> object:
    """Return a result as JSON if it is valid JSON, else as text if it is UTF-8, else as base64."""
    try:
        msgspec.json.decode(body)
        return msgspec.Raw(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        pass
    try:
        return body.decode()
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(body).decode()}


def _response_from_progress(reply: ProgressReply) -> Response:
    if not reply.known:
        body = {"outcome": "unknown_key", "reason": "no record of this key at its home"}
        return Response.from_json(404, body, {"snipewell-outcome": "unknown_key"})
    progress = {"outcome": "running", "finished": reply.finished, "total": reply.total}
    return Response.from_json(202, progress, {"snipewell-outcome": "running"})
