"""Outcomes of a submission, and the error that names the step and the peer at fault."""

from __future__ import annotations

from enum import Enum

import msgspec


class Step(Enum):
    """Processing step of a request at which its outcome arose."""

    EDGE = "edge"
    FORWARD = "forward"
    ADMISSION = "admission"
    HOLD = "hold"
    PLACEMENT = "placement"
    START = "start"
    UPSTREAM = "upstream"
    RECOVERY = "recovery"
    STORE = "store"


class Complete(msgspec.Struct, frozen=True, tag="complete"):
    """All tasks succeeded; ``results`` has one body for each task, in the order submitted."""

    results: list[bytes]


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """A task ran and failed; no task of the submission will be started again."""

    step: Step
    peer: str
    reason: str


class NotRun(msgspec.Struct, frozen=True, tag="not_run"):
    """No task has started, and none will start within ``retry_after_ms`` from the answer.

    ``quota`` is True if the quota of the client account is the reason.
    """

    reason: str
    retry_after_ms: int
    quota: bool = False


class Unknown(msgspec.Struct, frozen=True, tag="unknown"):
    """Tasks may have run, but the result is not known.

    ``attempt_started`` is False if this request itself is certain to have started no task. ``peer``
    names the process or partition at fault. If ``step`` is FORWARD or RECOVERY and ``peer`` is an
    entry other than the leader that answered, the outcome is a redirect: the entry that received
    the submission resends it to ``peer``.
    """

    step: Step
    peer: str
    reason: str
    attempt_started: bool = True
    retry_after_ms: int = 1000


class Impossible(msgspec.Struct, frozen=True, tag="impossible"):
    """The submission can never run as declared; no task of it was started."""

    reason: str


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """The key is in use by a submission with another payload."""

    reason: str


class Cancelled(msgspec.Struct, frozen=True, tag="cancelled"):
    """The client cancelled the submission after ``started`` of its tasks had started."""

    started: int


class Invalid(msgspec.Struct, frozen=True, tag="invalid"):
    """This request was rejected; other requests with the same key are not affected.

    ``field`` names the field of the request at fault, if there is one.
    """

    status: int
    reason: str
    field: str = ""


Outcome = Complete | Failed | NotRun | Unknown | Impossible | Conflict | Cancelled | Invalid


def http_status(outcome: Outcome) -> int:
    """Return the status code of the HTTP response to ``outcome``."""
    match outcome:
        case Complete():
            return 200
        case Failed():
            return 502
        case NotRun(quota=quota):
            return 429 if quota else 503
        case Unknown():
            return 504
        case Impossible():
            return 422
        case Conflict():
            return 409
        case Cancelled():
            return 410
        case Invalid(status=status):
            return status


class SnipewellError(Exception):
    """Error with the processing step and the peer at which it arose."""

    def __init__(self, step: Step, peer: str, reason: str) -> None:
        super().__init__(f"{step.value}: {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
