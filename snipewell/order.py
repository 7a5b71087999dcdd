"""What an entry and an agent tell each other about the runs of tasks."""

from __future__ import annotations

import msgspec
from msgspec.structs import replace

from .channel import Frame
from .errors import MessageError
from .job import Room

NO_ROOM = "no room"
BUSY_TASK = "another attempt is being stopped"
"""Reasons of rejections that say nothing about the upstream."""


class UpstreamReport(msgspec.Struct, array_like=True, frozen=True):
    """The upstream beside an agent. ``upstream`` is empty if there is none to use."""

    upstream: str
    service: str
    zone: str
    capacity: Room
    free: Room
    labels: list[str]
    draining: bool = False
    healthy: bool = True
    """False while the upstream leaves calls unanswered or refuses them as unhealthy."""
    entries: int = 1
    """Number of entries that share the upstream."""
    slowness: float = 1.0
    """How long runs take lately, relative to their clients' estimates."""

    def accepts_tasks(self) -> bool:
        """Return whether the upstream takes work."""
        return bool(self.upstream) and self.healthy and not self.draining

    def equals_except_load(self, other: UpstreamReport) -> bool:
        """Return whether the two differ at most in room and slowness."""
        return replace(self, free=other.free, slowness=other.slowness) == other


NO_UPSTREAM = UpstreamReport("", "", "", Room(), Room(), [])
"""The report of an agent without an upstream to use."""


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """The first frame of a session; nothing of the agent's earlier sessions runs any more."""

    agent: str
    report: UpstreamReport


class Report(msgspec.Struct, tag="report", frozen=True):
    """The state of the upstream changed."""

    report: UpstreamReport


class RunEnded(msgspec.Struct, tag="ended", frozen=True):
    """A run ended. ``how`` is the value of a RunEnd; ``elapsed_ms`` is 0 if it never started."""

    task: str
    attempt: int
    how: str
    elapsed_ms: float
    reason: str = ""
    free: Room | None = None


class RunSlow(msgspec.Struct, tag="slow", frozen=True):
    """A run makes less progress than expected; ``left_ms`` is what it will still take."""

    task: str
    attempt: int
    elapsed_ms: float
    left_ms: float


class StartRun(msgspec.Struct, tag="start", frozen=True):
    """Start a task if there is room at once; otherwise reject it."""

    task: str
    attempt: int
    specification: str
    resources: Room
    estimate_ms: float
    """The client's estimate of the duration."""


class StopRun(msgspec.Struct, tag="stop", frozen=True):
    """Stop a run; its end is reported in any case."""

    task: str
    attempt: int


class Notice(msgspec.Struct, tag="notice", frozen=True):
    """Zones that are out of service as of ``revision`` of the store."""

    revision: int
    zones_out: list[str]


class RoomWanted(msgspec.Struct, tag="wanted", frozen=True):
    """Tasks of ``cpu_milli`` thousandths of a core in all wait for room at the entry."""

    cpu_milli: int


class Goodbye(msgspec.Struct, tag="goodbye", frozen=True):
    """The sender doesn't know this session; it has ended."""


AgentBody = Hello | Report | RunEnded | RunSlow | Goodbye
EntryBody = StartRun | StopRun | Notice | RoomWanted | Goodbye
AgentFrame = Frame[AgentBody]
EntryFrame = Frame[EntryBody]

_encoder = msgspec.msgpack.Encoder()
_agent_decoder = msgspec.msgpack.Decoder(Frame[AgentBody])
_entry_decoder = msgspec.msgpack.Decoder(Frame[EntryBody])


def encode_frame(frame: AgentFrame | EntryFrame) -> bytes:
    """Return ``frame`` as MessagePack."""
    return _encoder.encode(frame)


def decode_agent_frame(data: bytes) -> AgentFrame:
    """Return the frame that an agent sent; raise MessageError if it can't be read."""
    try:
        return _agent_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MessageError(str(error)) from error


def decode_entry_frame(data: bytes) -> EntryFrame:
    """Return the frame that an entry sent; raise MessageError if it can't be read."""
    try:
        return _entry_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MessageError(str(error)) from error
