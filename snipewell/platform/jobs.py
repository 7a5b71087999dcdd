"""The clients' interface: jobs over HTTP, as the product's `JobSpec` and `JobOutcome`."""

from __future__ import annotations

import math
import re

import msgspec

from ..job import (
    JobEnded,
    JobId,
    JobOutcome,
    JobRefused,
    JobSpec,
    JobUnknown,
    Room,
    StepSpec,
)
from ..web import Request, Response

READINESS_PATH = "/snipewell/readiness"
DEADLINE_HEADER = "snipewell-deadline-ms"
_JOB_ID = re.compile(r"[0-9a-f]{16}\Z")
_MAX_SPECIFICATION_BYTES = 4_000
"""Length of ``specification`` that the platform states."""
_MAX_TASKS = 10_000
"""Bound on the tasks of one job, above the 1,300 that the two-year size asks for."""


class JobFormatError(Exception):
    """A job that can't be read; the text says what was expected."""


class _Step(msgspec.Struct):
    """A step; a field that is left out is 0, false or empty."""

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
    """A job. ``bestEffort`` means that it isn't kept: its answer is sent when it has ended."""

    specification: str
    steps: list[_Step]
    bestEffort: bool = False  # noqa: N815
    repetitions: int = 0


def split_path(path: str, prefix: str) -> JobId | None:
    """Return the job that ``path`` names behind ``prefix``, or None if it names none."""
    rest = path[len(prefix) :]
    return JobId(rest) if _JOB_ID.match(rest) else None


def decode_job(job: JobId, body: bytes) -> JobSpec:
    """Return the job submitted as ``body``; raise JobFormatError."""
    try:
        decoded = msgspec.json.decode(body, type=_Job)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise JobFormatError(str(error)) from error
    if len(decoded.specification.encode()) > _MAX_SPECIFICATION_BYTES:
        raise JobFormatError(f"specification: expected at most {_MAX_SPECIFICATION_BYTES} bytes")
    steps = tuple(_decode_step(number, step) for number, step in enumerate(decoded.steps))
    tasks = sum(step.count for step in steps)
    if not 1 <= tasks <= _MAX_TASKS:
        raise JobFormatError(f"steps: expected 1 to {_MAX_TASKS} tasks, got {tasks}")
    unsupported = "repetitions" if decoded.repetitions > 0 else ""
    return JobSpec(job, decoded.specification, steps, not decoded.bestEffort, unsupported)


def _decode_step(number: int, step: _Step) -> StepSpec:
    if min(step.count, step.cpu, step.memMb, step.gpus) < 0 or step.estimatedMs < 0:
        raise JobFormatError(f"steps.{number}: expected no negative figures")
    if any(not 0 <= earlier < number for earlier in step.after):
        raise JobFormatError(f"steps.{number}.after: expected numbers of earlier steps")
    asked = {
        "gangs": step.gang,
        "tasks that last": step.longRunning,
        "tasks that fill": step.fills,
        "targets of tasks that serve": step.targetMs > 0,
        "anti-affinity": step.antiAffinity > 0,
    }
    return StepSpec(
        step.count,
        Room(step.cpu, step.memMb, step.gpus),
        step.estimatedMs,
        tuple(step.after),
        step.requirements,
        step.affinity,
        step.antiAffinity,
        next((name for name, is_asked in asked.items() if is_asked), ""),
    )


def decode_client_wait_ms(request: Request) -> float | None:
    """Return how long the client waits for the answer, None if it doesn't say so."""
    try:
        wait_ms = float(request.headers.get(DEADLINE_HEADER, ""))
    except ValueError:
        return None
    return wait_ms if math.isfinite(wait_ms) and wait_ms > 0 else None


def encode_outcome(outcome: JobOutcome) -> Response:
    """Return the response to a submission."""
    match outcome:
        case JobEnded():
            return Response.from_json(200, {"state": outcome.state.value})
        case JobRefused():
            # The status says that the job wasn't accepted and never runs.
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
    """Return the response to a question for a queue's jobs of which no task has started."""
    return Response.from_json(200, {"pending": pending})


def encode_error(status: int, reason: str) -> Response:
    """Return a response for a request that no outcome stands for."""
    return Response.from_json(status, {"error": reason})
