"""The orders that an agent calls its upstream with, and the upstream's answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .ids import UpstreamId
from .job import Room, RunEnd


@dataclass(frozen=True, slots=True)
class Upstream:
    """One life of the upstream; ``born_ms`` tells two lives under one id apart."""

    upstream: UpstreamId
    born_ms: int
    service: str
    zone: str
    address: str
    capacity: Room
    labels: tuple[str, ...] = ()
    draining: bool = False


@dataclass(frozen=True, slots=True)
class RunRow:
    """A run that the upstream lists; ``percent`` is its progress."""

    task: str
    attempt: int
    percent: float


@dataclass(frozen=True, slots=True)
class EndRow:
    """An end that the upstream lists under ``number``."""

    number: int
    task: str
    attempt: int
    end: RunEnd


@dataclass(frozen=True, slots=True)
class Runs:
    """The upstream's lists of runs, and its clock."""

    clock_ms: float
    born_ms: int | None
    running: tuple[RunRow, ...]
    ended: tuple[EndRow, ...]


class StartResult(Enum):
    """The upstream's answer to the order to start a run."""

    STARTED = "started"
    FENCED = "fenced"
    OLD = "old"
    """The attempt isn't higher than one that was stopped or has ended there."""
    LATE = "late"
    ROOM = "room"
    NO_TICKET = "ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_INSTANCE = "instance"
    NOT_SENT = "not sent"
    UNANSWERED = "unanswered"


@dataclass(frozen=True, slots=True)
class CallStart:
    """Order the upstream to start a run; report the answer to `Executor.on_start_answer`."""

    upstream: Upstream
    task: str
    attempt: int
    specification: str
    deadline_ms: int
    fence: int


@dataclass(frozen=True, slots=True)
class CallStop:
    """Order the upstream to stop a run; its end shows in the list of ends."""

    upstream: Upstream
    task: str
    attempt: int
    fence: int


@dataclass(frozen=True, slots=True)
class CallHold:
    """Extend the lease (unless ``deadline_ms`` is None) and ask for the lists of runs."""

    upstream: Upstream
    deadline_ms: int | None
    fence: int
    acked: int
    wait_ms: int
    sent_ms: float


def is_same_life(call: CallHold, upstream: Upstream) -> bool:
    """Return whether ``call`` went to the present life of ``upstream``."""
    return (call.upstream.upstream, call.upstream.born_ms) == (upstream.upstream, upstream.born_ms)
