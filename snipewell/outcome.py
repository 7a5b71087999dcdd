"""Outcomes of a submission and the errors behind them, each with the step and the peer."""

from __future__ import annotations

from enum import Enum

import msgspec


class Step(Enum):
    """The step of a request's path at which an outcome arose."""

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
    """Every task succeeded; ``results`` holds one body for each task, in the order submitted."""

    results: list[bytes]


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """At least one task ran and failed; nothing of the submission will run again."""

    step: Step
    peer: str
    reason: str


class NotRun(msgspec.Struct, frozen=True, tag="not_run"):
    """No task of the submission has started, and none will before ``retry_after_ms`` is over."""

    reason: str
    retry_after_ms: int
    quota: bool = False


class Unknown(msgspec.Struct, frozen=True, tag="unknown"):
    """Work may have run. ``attempt_started`` is False if this attempt started nothing itself."""

    step: Step
    peer: str
    reason: str
    attempt_started: bool = True
    retry_after_ms: int = 1000


class Impossible(msgspec.Struct, frozen=True, tag="impossible"):
    """The submission can never run as declared; nothing of it was started."""

    reason: str


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """The key is in use by a submission with another payload."""

    reason: str


class Cancelled(msgspec.Struct, frozen=True, tag="cancelled"):
    """The caller cancelled; ``started`` tasks had started by then."""

    started: int


class Invalid(msgspec.Struct, frozen=True, tag="invalid"):
    """This attempt was not accepted; says nothing of other attempts with the same key."""

    status: int
    reason: str
    field: str = ""


Outcome = Complete | Failed | NotRun | Unknown | Impossible | Conflict | Cancelled | Invalid


def http_status(outcome: Outcome) -> int:
    """Return the HTTP status with which ``outcome`` is answered."""
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
    """An error that names the step and the peer at which it arose."""

    def __init__(self, step: Step, peer: str, reason: str) -> None:
        super().__init__(f"{step.value}: {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
