"""Codec of the clients' HTTP interface: jobs as `JobSpec`, responses from `JobOutcome`."""

from __future__ import annotations

import math
import re

import msgspec

from ..decoding import decode_json
from ..errors import MessageError
from ..job import (
    JobEnded,
    JobId,
    JobOutcome,
    JobRefused,
    JobSpec,
    JobUnknown,
    ResourceVector,
    StepSpec,
)
from ..web import Request, Response

READINESS_PATH = "/snipewell/readiness"
DEADLINE_HEADER = "snipewell-deadline-ms"
_JOB_ID = re.compile(r"[0-9a-f]{16}\Z")
MAX_SPECIFICATION_BYTES = 4_000
"""Largest size of ``specification`` in bytes, as documented by the platform."""
_MAX_ESTIMATE_MS = 86_400_000.0
"""Longest estimate of a task that is used, one day. Estimates are rough, so a longer one is cut to
it: sums and products of estimates then stay finite."""
_MAX_WAIT_MS = 86_400_000.0
"""Longest time for which a client is taken to wait, one day."""
_MAX_TASKS = 10_000
"""Largest number of tasks in one job. The projected size in two years needs 1,300."""
_MAX_FIGURE = 2**53
"""Largest amount of a resource; every JSON implementation represents it exactly."""


class JobFormatError(Exception):
    """Raised for a malformed job; the text says which value was expected."""


class _Step(msgspec.Struct):
    """A step of a job; omitted fields default to 0, false or empty.

    ``cpu`` is in thousandths of a core, ``estimatedMs`` the estimated duration of one task.
    ``after`` holds the numbers of earlier steps. ``requirements`` is a label that the upstream must
    have, ``affinity`` the label of a rack, and ``antiAffinity`` the maximum number of tasks on one
    upstream. ``sameRack`` requests that all tasks run on one rack.
    """

    count: int = 0
    cpu: int = 0
    memMb: int = 0  # noqa: N815
    gpus: int = 0
    estimatedMs: float = 0  # noqa: N815
    after: list[int] = []
    gang: bool = False
    sameRack: bool = False  # noqa: N815
    requirements: str = ""
    affinity: str = ""
    antiAffinity: int = 0  # noqa: N815
    longRunning: bool = False  # noqa: N815
    fills: bool = False
    targetMs: float = 0  # noqa: N815


class _Job(msgspec.Struct):
    """A job.

    With ``bestEffort`` the job isn't durable: it is lost with the entry's process, and the response
    to its submission is sent when it has ended.
    """

    specification: str
    steps: list[_Step]
    bestEffort: bool = False  # noqa: N815
    repetitions: int = 0


def parse_job_path(path: str, prefix: str) -> JobId | None:
    """Return the ID of the job at ``path`` below ``prefix``, or None for any other path."""
    rest = path[len(prefix) :]
    return JobId(rest) if _JOB_ID.match(rest) else None


def decode_job(job: JobId, body: bytes) -> JobSpec:
    """Decode and validate the job submitted as ``body``; raise JobFormatError if it's malformed."""
    try:
        decoded = decode_json(body, _Job)
    except MessageError as error:
        raise JobFormatError(str(error)) from error
    if len(decoded.specification.encode()) > MAX_SPECIFICATION_BYTES:
        raise JobFormatError(f"specification: expected at most {MAX_SPECIFICATION_BYTES} bytes")
    steps = tuple(_decode_step(number, step) for number, step in enumerate(decoded.steps))
    tasks = sum(step.count for step in steps)
    if not 1 <= tasks <= _MAX_TASKS:
        raise JobFormatError(f"steps: expected 1 to {_MAX_TASKS} tasks, got {tasks}")
    unsupported = "repetitions" if decoded.repetitions > 0 else ""
    return JobSpec(job, decoded.specification, steps, not decoded.bestEffort, unsupported)


def _decode_step(number: int, step: _Step) -> StepSpec:
    figures = (step.count, step.cpu, step.memMb, step.gpus, step.antiAffinity)
    if min(figures) < 0 or step.estimatedMs < 0:
        raise JobFormatError(f"steps.{number}: expected no negative figures")
    if max(figures) > _MAX_FIGURE:
        raise JobFormatError(f"steps.{number}: expected figures up to {_MAX_FIGURE}")
    if any(not 0 <= earlier < number for earlier in step.after):
        raise JobFormatError(f"steps.{number}.after: expected numbers of earlier steps")
    requested = {
        "gangs": step.gang,
        "tasks that last": step.longRunning,
        "tasks that fill": step.fills,
        "targets of tasks that serve": step.targetMs > 0,
    }
    return StepSpec(
        step.count,
        ResourceVector(step.cpu, step.memMb, step.gpus),
        min(step.estimatedMs, _MAX_ESTIMATE_MS),
        tuple(step.after),
        step.requirements,
        step.affinity,
        step.antiAffinity,
        next((name for name, is_requested in requested.items() if is_requested), ""),
        step.sameRack,
    )


def decode_client_wait_ms(request: Request) -> float | None:
    """Return how long the client waits for the outcome of its job, in milliseconds.

    Return None if the header is missing or invalid.
    """
    try:
        wait_ms = float(request.headers.get(DEADLINE_HEADER, ""))
    except ValueError:
        return None
    if not math.isfinite(wait_ms) or wait_ms <= 0:
        return None
    return min(wait_ms, _MAX_WAIT_MS)


def encode_outcome(outcome: JobOutcome) -> Response:
    """Encode the outcome of a job as the response to its submission."""
    match outcome:
        case JobEnded():
            return Response.from_json(200, {"state": outcome.state.value})
        case JobRefused():
            # Both statuses mean that the job wasn't accepted and will never run.
            body = {"error": outcome.reason, "retryAfterMs": round(outcome.retry_after_ms)}
            status = 429 if outcome.busy else 503
            return Response.from_json(status, body, _retry_after(outcome.retry_after_ms))
        case JobUnknown():
            return Response.from_json(504, {"error": outcome.reason})


def _retry_after(retry_after_ms: float) -> dict[str, str]:
    if retry_after_ms <= 0:
        return {}
    return {"retry-after": str(math.ceil(retry_after_ms / 1000))}


def encode_pending(pending: int) -> Response:
    """Encode the number of a queue's jobs of which no task has started."""
    return Response.from_json(200, {"pending": pending})


def encode_error(status: int, reason: str) -> Response:
    """Encode an error response for a request that has no job outcome."""
    return Response.from_json(status, {"error": reason})
