"""Calls of an agent to its upstream, and the upstream's answers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .ids import UpstreamId
from .job import ResourceVector, RunEnd


@dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of an upstream; ``born_ms`` distinguishes incarnations under the same id."""

    upstream: UpstreamId
    born_ms: int
    service: str
    zone: str
    address: str
    capacity: ResourceVector
    labels: tuple[str, ...] = ()
    draining: bool = False
    remaining_ms: float | None = field(default=None, compare=False)
    """Shortest time from the heartbeat to the departure of a draining upstream with all its runs,
    or None if the heartbeat announces none. It changes with every heartbeat, so it isn't compared,
    nor is the time of the heartbeat."""
    heartbeat_ms: float = field(default=float("-inf"), compare=False)
    """Time at which the agent received the heartbeat, on its monotonic clock."""


@dataclass(frozen=True, slots=True)
class RunRow:
    """A run in the upstream's list of running tasks; ``percent`` is its progress."""

    task: str
    attempt: int
    percent: float


@dataclass(frozen=True, slots=True)
class EndRow:
    """An ended run, numbered by the upstream; the agent acknowledges ends by the highest number."""

    number: int
    task: str
    attempt: int
    end: RunEnd


@dataclass(frozen=True, slots=True)
class RunLists:
    """The upstream's lists of running and ended runs, and its clock.

    ``born_ms`` is the incarnation that answered, or None if the answer doesn't carry it.
    """

    clock_ms: float
    born_ms: int | None
    running: tuple[RunRow, ...]
    ended: tuple[EndRow, ...]


class StartResult(Enum):
    """Result of a start order, or the reason why a ``hold`` call returned no lists of runs."""

    STARTED = "started"
    FENCED = "fenced"
    """The fencing token is lower than the highest that the upstream has seen."""
    STALE_ATTEMPT = "old"
    """The upstream has already stopped or ended this attempt of the task, or a higher one."""
    LATE = "late"
    """The requested lease deadline had already passed on the upstream's clock."""
    INSUFFICIENT_CAPACITY = "room"
    NO_TICKET = "ticket"
    INVALID = "invalid"
    """The upstream refused the order as malformed, or for a reason that the agent doesn't know."""
    UNHEALTHY = "unhealthy"
    OTHER_INSTANCE = "instance"
    """The address belongs to an upstream with another ID."""
    NO_LISTENER = "no listener"
    """The upstream's address refused the connection: no process listens there."""
    NOT_SENT = "not sent"
    UNANSWERED = "unanswered"


@dataclass(frozen=True, slots=True)
class CallStart:
    """Start a run on the upstream; the daemon passes the answer to `Executor.on_start_answer`.

    ``deadline_ms`` is the deadline of the lease on the upstream's monotonic clock.
    """

    upstream: Upstream
    task: str
    attempt: int
    specification: str
    deadline_ms: int
    fence: int


@dataclass(frozen=True, slots=True)
class CallStop:
    """Stop a run on the upstream; its end appears in the list of ended runs."""

    upstream: Upstream
    task: str
    attempt: int
    fence: int


@dataclass(frozen=True, slots=True)
class CallHold:
    """Call the upstream's ``hold`` endpoint: renew the lease and fetch the lists of runs.

    ``deadline_ms`` is the new deadline of the lease on the upstream's monotonic clock; None leaves
    the lease as it is. ``acked`` acknowledges ended runs up to
    that number. With ``wait_ms``, the call is a long poll for the next ended run.
    """

    upstream: Upstream
    deadline_ms: int | None
    fence: int
    acked: int
    wait_ms: int
    sent_ms: float


def is_same_upstream(first: Upstream, second: Upstream) -> bool:
    """Return whether both describe the same incarnation of the same upstream."""
    return (first.upstream, first.born_ms) == (second.upstream, second.born_ms)


def is_same_incarnation(call: CallHold | CallStart | CallStop, upstream: Upstream | None) -> bool:
    """Return whether ``call`` was addressed to the incarnation that ``upstream`` describes."""
    return upstream is not None and is_same_upstream(call.upstream, upstream)
