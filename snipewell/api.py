"""High-level API on curio: `Client` submits work, `Operator` administers the system.

For example, within a curio task::

    client = Client(["127.0.0.1:8080"], team="web")
    outcome = await client.submit_request("resize", b'{"image": 7}', key="image-7")
    match outcome:
        case Complete(results):
            print(results[0])
"""

from __future__ import annotations

import secrets
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

import msgspec

from .clock import Clock
from .decoding import decode_json
from .errors import MessageError
from .message import Resources
from .operate import ApiError, Operator
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
)
from .retryingclient import (
    CallResult,
    LostAnswerError,
    RetryingClient,
    RetryLimits,
    UnreachableError,
    escape,
)
from .web import Request, Response

__all__ = [
    "ApiError",
    "Client",
    "LostAnswerError",
    "NoRecord",
    "Operator",
    "RetryLimits",
    "Running",
    "UnreachableError",
]

DEFAULT_DEADLINE_MS = 10_000.0
"""Deadline of submissions that state none, and time limit of calls that cancel or issue keys."""


@dataclass(frozen=True, slots=True)
class Running:
    """Progress of a submission that has not ended, as numbers of tasks."""

    finished: int
    total: int


@dataclass(frozen=True, slots=True)
class NoRecord:
    """The leader of the key's partition has no record of the key.

    For a key that was not issued by an entry this does not prove that it never ran.
    """

    reason: str


class Client:
    """Submits requests and jobs for one client account and retries until the outcome is known.

    ``addresses`` are ``ip:port`` of the balancer or of entries, ``team`` is the name of the client
    account. All attempts of a submission carry the same idempotency key: a later attempt joins the
    run of an earlier one. Tasks start at most once, except those of single requests to services
    declared idempotent, which may be started again.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        team: str = "default",
        limits: RetryLimits | None = None,
        clock: Clock | None = None,
        rng: Random | None = None,
        connections: int = 60,
    ) -> None:
        headers = {"snipewell-team": team}
        self._retrying_client = RetryingClient(addresses, headers, limits, clock, rng, connections)

    async def submit_request(
        self, service: str, payload: bytes, key: str = "", deadline_ms: float = DEFAULT_DEADLINE_MS
    ) -> Outcome:
        """Submit one task and return its outcome; ``Complete`` has one result.

        Without a ``key`` a random one is generated, which deduplicates only the attempts of this
        call. Raises UnreachableError if nothing could be sent.
        """
        path = f"/v1/services/{escape(service)}/requests"
        return await self._submit(path, payload, key, deadline_ms, False)

    async def submit_job(
        self,
        service: str,
        tasks: Sequence[object],
        key: str = "",
        deadline_ms: float = DEFAULT_DEADLINE_MS,
        resources: Resources | None = None,
    ) -> Outcome:
        """Submit a job with one JSON payload per task and return its outcome: all results or none.

        The results of ``Complete`` are JSON texts in the order of ``tasks``. Raises
        UnreachableError if nothing could be sent.
        """
        body: dict[str, object] = {"service": service, "tasks": list(tasks)}
        if resources is not None:
            body["resources"] = resources
        return await self._submit("/v1/jobs", msgspec.json.encode(body), key, deadline_ms, True)

    async def wait(self, key: str, wait_ms: float = 0) -> Outcome | Running | NoRecord:
        """Return the recorded outcome of ``key``, or its progress after at most ``wait_ms``."""
        request = Request("GET", f"/v1/jobs/{escape(key)}", {"wait": str(int(wait_ms))})
        return await self._query(request, wait_ms + self._retrying_client.limits.grace_ms)

    async def cancel(self, key: str) -> Outcome | Running | NoRecord:
        """Cancel the submission of ``key`` and return its outcome."""
        return await self._query(Request("DELETE", f"/v1/jobs/{escape(key)}"), DEFAULT_DEADLINE_MS)

    async def issue_keys(self, count: int = 1) -> list[str]:
        """Return ``count`` tickets, which are keys issued by entries.

        After the resubmission window a ticket without a record is refused, so its tasks are not
        started again. The tasks of a key that the client chose may be.

        Raises ApiError if no partition leader could issue them.
        """
        body = msgspec.json.encode({"count": count})
        result = await self._retrying_client.call(
            Request("POST", "/v1/keys", {}, {}, body), DEFAULT_DEADLINE_MS
        )
        if result.response.status != 200:
            raise ApiError.from_response(result.response, self._retrying_client.address)
        return list(decode_json(result.response.body, _Keys).keys)

    async def close(self) -> None:
        """Close the pooled connections."""
        await self._retrying_client.close()

    async def _submit(
        self, path: str, body: bytes, key: str, deadline_ms: float, job: bool
    ) -> Outcome:
        headers = {"idempotency-key": key or secrets.token_hex(16)}
        if job:
            headers["content-type"] = "application/json"
        request = Request("POST", path, {}, headers, body)
        try:
            result = await self._retrying_client.call(
                request, deadline_ms, "deadline-ms", (503, 504)
            )
        except LostAnswerError as error:
            return Unknown(error.step, error.peer, error.reason)
        outcome = parse_outcome(result.response, job, self._retrying_client.address)
        if isinstance(outcome, Running | NoRecord):
            return Unknown(Step.EDGE, self._retrying_client.address, "the submission has not ended")
        return _combine_attempts(outcome, result, self._retrying_client.address)

    async def _query(self, request: Request, time_ms: float) -> Outcome | Running | NoRecord:
        try:
            result = await self._retrying_client.call(request, time_ms)
        except LostAnswerError as error:
            return Unknown(error.step, error.peer, error.reason)
        return parse_outcome(result.response, True, self._retrying_client.address)


class _Keys(msgspec.Struct):
    keys: list[str]


class _Body(msgspec.Struct):
    """JSON body of a response; each kind of outcome uses a subset of the fields."""

    outcome: str = ""
    results: list[msgspec.Raw] = []
    step: str = "edge"
    peer: str = ""
    reason: str = ""
    field: str = ""
    retry_after_ms: int = 1_000
    this_attempt: str = "started"
    started: int = 0
    finished: int = 0
    total: int = 0


def parse_outcome(response: Response, job: bool, peer: str) -> Outcome | Running | NoRecord:
    """Return the outcome in an entry's response; ``peer`` is the address that it came from.

    A response that cannot be decoded, or was not sent by an entry, gives an Unknown that names
    ``peer``, because it is no evidence that nothing ran.
    """
    kind = response.headers.get("snipewell-outcome", "")
    if kind == "complete" and not job:
        return Complete([response.body])
    try:
        body = decode_json(response.body, _Body)
        step = Step(body.step)
    except (MessageError, ValueError):
        return Unknown(Step.EDGE, peer, f"answered with {response.status} and an unknown body")
    match kind:
        case "complete":
            return Complete([bytes(result) for result in body.results])
        case "failed":
            return Failed(step, body.peer, body.reason)
        case "not_run":
            return NotRun(body.reason, body.retry_after_ms, response.status == 429)
        case "impossible":
            return Impossible(body.reason)
        case "conflict":
            return Conflict(body.reason)
        case "cancelled":
            return Cancelled(body.started)
        case "invalid":
            return Invalid(response.status, body.reason, body.field)
        case "running":
            return Running(body.finished, body.total)
        case "unknown_key":
            return NoRecord(body.reason)
        case "unknown":
            started = body.this_attempt != "not_started"
            return Unknown(step, body.peer, body.reason, started, body.retry_after_ms)
    return Unknown(Step.EDGE, peer, f"answered with {response.status}, not by an entry")


def _combine_attempts(outcome: Outcome, result: CallResult, peer: str) -> Outcome:
    """Return the outcome of all attempts together, given the ``outcome`` of the last one.

    ``Invalid``, and an ``Unknown`` that says nothing was started, cover only the attempt that was
    answered. If an earlier attempt got no response, work may have started for that one.
    """
    match outcome:
        case Invalid(_, reason, _) if result.lost:
            text = f"an attempt was not answered, and the last one was refused: {reason}"
            return Unknown(Step.EDGE, peer, text)
        case Unknown(step, named, reason, False, retry_after_ms) if result.lost:
            return Unknown(step, named, reason, True, retry_after_ms)
    return outcome
