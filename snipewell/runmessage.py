"""Messages between an entry and an agent about the runs of tasks, and their encoding."""

from __future__ import annotations

import msgspec
from msgspec.structs import replace

from .channel import Frame
from .decoding import decode_with
from .job import ResourceVector

STEP_LIMIT = "too many tasks of the step"
"""Reason of a rejection beyond the anti-affinity of the step, for example while runs of an earlier
submission of the job are being stopped; it is no sign of a fault of the upstream."""
NO_CAPACITY = "no room"
"""Reason of a rejection for lack of free resources; it is no sign of a fault of the upstream."""
BUSY_TASK = "another attempt is being stopped"
"""Reason of a rejection while an earlier attempt of the task is still running; it is no sign of a
fault of the upstream."""

SUSPECT_RUNNING = "another suspect is running"
"""Reason of a rejection of a suspect, a task under which an upstream has crashed, beside another
one; it is no sign of a fault of the upstream."""


class UpstreamReport(msgspec.Struct, array_like=True, frozen=True):
    """State of the upstream on an agent's VM; ``upstream`` is empty if there is no usable one."""

    upstream: str
    service: str
    zone: str
    capacity: ResourceVector
    free: ResourceVector
    labels: list[str]
    draining: bool = False
    """True while the upstream or the agent is draining, or the zone is out of service."""
    healthy: bool = True
    """False for `UNHEALTHY_MS`, or until a new incarnation registers, after a start could not be
    sent or was refused as unhealthy or as addressed to another instance, or after the lease expired
    without an answer. False also while the upstream's address refuses connections."""
    entries: int = 1
    """Number of entries with a session at the agent, which share the upstream."""
    slowness: float = 1.0
    """Ratio of the durations of recent and (projected) running tasks to the clients' estimates."""
    ends: list[tuple[int, float]] = []
    """Soonest expected ends of runs: CPU in thousandths of a core, and time from the report in
    milliseconds. Empty unless the agent has had a start with a place lately."""

    def accepts_tasks(self) -> bool:
        """Return whether the upstream accepts new tasks."""
        return bool(self.upstream) and self.healthy and not self.draining

    def equals_except_load(self, other: UpstreamReport) -> bool:
        """Return whether the reports differ at most in free resources, slowness and ends."""
        load = replace(self, free=other.free, slowness=other.slowness, ends=other.ends)
        return load == other


NO_UPSTREAM = UpstreamReport("", "", "", ResourceVector(), ResourceVector(), [])
"""Report of an agent without a usable upstream."""


class UpstreamCrash(msgspec.Struct, frozen=True):
    """Crash of an incarnation of the upstream.

    ``crash`` is its id and ``tasks`` holds the names of the tasks that ran there. ``unconfirmed``
    holds those of which that isn't certain: their start had no answer, or the upstream had been
    silent before it crashed. ``suspects`` are those of both under which an upstream had crashed
    before. It travels in a field of other messages: a decoder of an earlier version ignores unknown
    fields, but not unknown messages.
    """

    crash: str
    tasks: list[str]
    suspects: list[str] = []
    unconfirmed: list[str] = []


class Hello(msgspec.Struct, tag="hello", frozen=True, omit_defaults=True):
    """First message of a session: the agent has no runs of its earlier sessions any more.

    ``crashes`` holds the recent crashes of the upstream.
    """

    agent: str
    report: UpstreamReport
    crashes: list[UpstreamCrash] = []


class Report(msgspec.Struct, tag="report", frozen=True, omit_defaults=True):
    """A changed state of the upstream, and its ``crashes`` since the last report."""

    report: UpstreamReport
    crashes: list[UpstreamCrash] = []


class RunEnded(msgspec.Struct, tag="ended", frozen=True):
    """The end of a run, or the rejection of its start.

    ``how`` is the value of a `RunEnd`. ``elapsed_ms`` is 0 if the run never started. ``free`` holds
    the resources that the entry may use from then on.
    """

    task: str
    attempt: int
    how: str
    elapsed_ms: float
    reason: str = ""
    free: ResourceVector | None = None


class RunSlow(msgspec.Struct, tag="slow", frozen=True, omit_defaults=True):
    """A run slower than expected; ``left_ms`` is its projected remaining time.

    With ``leaving``, the run need not be slow: its upstream has announced that it leaves in
    ``departure_in_ms`` at the earliest, before the projected end of the run.
    """

    task: str
    attempt: int
    elapsed_ms: float
    left_ms: float
    leaving: bool = False
    departure_in_ms: float = 0.0


class StartRun(msgspec.Struct, tag="start", frozen=True, omit_defaults=True):
    """Order to start a task at once; the agent rejects it if the upstream lacks free resources."""

    task: str
    attempt: int
    specification: str
    resources: ResourceVector
    estimate_ms: float
    """The client's estimate of the duration, in milliseconds."""
    crashes: int = 0
    """Number of recent crashes of upstreams under the task. A task with any is a suspect."""
    apart: bool = False
    """Whether the agent rejects the task while another suspect is running."""
    expected_factor: float = 1.0
    """Ratio of the expected duration on an ordinary upstream to the client's estimate: the
    correction of the queue times the place factor."""
    max_per_upstream: int = 0
    """Maximum number of tasks of the step on the upstream, 0 for no limit."""
    placed: bool = False
    """Whether the task names a place, so that entries need the expected ends of runs."""


class StopRun(msgspec.Struct, tag="stop", frozen=True):
    """Order to stop a run, without effect if it has ended.

    Each run is reported by one `RunEnded`, unless the session ends first.
    """

    task: str
    attempt: int


class ZoneNotice(msgspec.Struct, tag="notice", frozen=True):
    """Availability zones out of service as of ``revision`` of the store."""

    revision: int
    zones_out: list[str]


class CapacityDemand(msgspec.Struct, tag="wanted", frozen=True):
    """Demand of the entry: the CPU needed by its waiting tasks, in thousandths of a core.

    Only the tasks of timely jobs and of late jobs that have started count.
    """

    cpu_milli: int


class Goodbye(msgspec.Struct, tag="goodbye", frozen=True):
    """Reply to a frame of a session that is unknown to the sender; the session has ended."""


AgentBody = Hello | Report | RunEnded | RunSlow | Goodbye
EntryBody = StartRun | StopRun | ZoneNotice | CapacityDemand | Goodbye
AgentFrame = Frame[AgentBody]
EntryFrame = Frame[EntryBody]

_encoder = msgspec.msgpack.Encoder()
_agent_decoder = msgspec.msgpack.Decoder(Frame[AgentBody])
_entry_decoder = msgspec.msgpack.Decoder(Frame[EntryBody])


def encode_frame(frame: AgentFrame | EntryFrame) -> bytes:
    """Encode ``frame`` as MessagePack."""
    return _encoder.encode(frame)


def decode_agent_frame(data: bytes) -> AgentFrame:
    """Decode a frame from an agent; raise MessageError if it is malformed."""
    return decode_with(lambda: _agent_decoder.decode(data))


def decode_entry_frame(data: bytes) -> EntryFrame:
    """Decode a frame from an entry; raise MessageError if it is malformed."""
    return decode_with(lambda: _entry_decoder.decode(data))
