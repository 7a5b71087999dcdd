"""Messages between the processes of the system: typed, tagged, MessagePack.

Times are in milliseconds. A deadline travels as the time left, because the clocks of two machines
are not comparable. Every message that can start work carries its partition and epoch.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from .errors import MessageError
from .ids import (
    AgentId,
    Digest,
    EntryId,
    Epoch,
    Incarnation,
    Partition,
    RackId,
    RequestId,
    Revision,
    ScopedKey,
    ServiceName,
    TaskIndex,
    TeamName,
    UpstreamId,
    ZoneId,
)
from .outcome import Cancelled, Complete, Conflict, Failed, Impossible, Invalid, NotRun, Unknown

PROTOCOL_VERSION = 1


class TaskState(Enum):
    """What an agent knows of a task."""

    QUEUED = "queued"
    RUNNING = "running"
    OK = "ok"
    FAILED = "failed"
    UNKNOWN = "unknown"
    """The call to the upstream broke after a byte of it may have left."""
    CANCELLED = "cancelled"
    NOT_STARTED = "not_started"
    """The agent has no record of a start and will refuse every later ``Start`` of the task."""


class RefusalReason(Enum):
    """Why an agent refused a start. Each of them proves that the task did not start there."""

    BUSY = "busy"
    NO_PERMIT = "no_permit"
    STALE_EPOCH = "stale_epoch"
    EXPIRED = "expired"
    DRAINING = "draining"
    CANCELLED = "cancelled"
    FULL = "full"


class Message(msgspec.Struct, frozen=True):
    """Base of all messages."""


class Load(msgspec.Struct, frozen=True):
    """An agent's slots in use and tasks in its queue."""

    busy: int = 0
    queued: int = 0


class Resources(msgspec.Struct, frozen=True):
    """What a task asks of a worker, or what a worker has."""

    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


class TaskRecord(msgspec.Struct, frozen=True):
    """An agent's record of one task of a key; ``body`` is empty unless ``state`` is ``OK``.

    ``body_kept`` tells an empty body from one that was dropped after ``Forget``.
    """

    key: ScopedKey
    task: TaskIndex
    state: TaskState
    body: bytes = b""
    reason: str = ""
    body_kept: bool = False


class Candidate(msgspec.Struct, frozen=True):
    """One life of an agent to which tasks of a key may be granted."""

    agent: AgentId
    incarnation: Incarnation


class KeyRecord(msgspec.Struct, frozen=True):
    """What a holder keeps of a submission: enough to prove that a key is not new.

    ``age_ms`` is the time since the submission ended, or -1 while it runs. ``outcome`` travels
    with handovers and copies, so that a new home can answer a resubmission. ``deadline_ms`` is the
    time left of the submission, which bounds how long a holder keeps a record that was never
    released. The record with the highest (``epoch``, ``version``) is the newest.
    """

    key: ScopedKey
    digest: Digest
    task_count: int
    candidates: list[Candidate]
    idempotent: bool = False
    age_ms: float = -1
    outcome: (
        Complete | Failed | NotRun | Unknown | Impossible | Conflict | Cancelled | Invalid | None
    ) = None
    deadline_ms: float = 0
    epoch: int = 0
    version: int = 0


class Heartbeat(Message, frozen=True, tag="heartbeat"):
    """From an agent to each entry; announces the agent's upstream and asks for a permit."""

    agent: AgentId
    incarnation: Incarnation
    sequence: int
    upstream: UpstreamId
    zone: ZoneId
    rack: RackId
    address: str
    slots: int
    connections: int
    worker: Resources
    services: list[ServiceName]
    draining: bool
    revision: Revision
    load: Load


class Permit(Message, frozen=True, tag="permit"):
    """From an entry: whether the agent may start tasks, for ``ttl_ms``, by ``revision``.

    ``sequence`` is that of the heartbeat answered, from whose sending the agent counts ``ttl_ms``;
    0 marks a permit that was pushed, which can only withdraw.
    """

    entry: EntryId
    sequence: int
    revision: Revision
    accepting: bool
    ttl_ms: int


class Start(Message, frozen=True, tag="start"):
    """From a home: start one task.

    ``attempt`` counts the grants of the task and is echoed by ``Refused``, so that a late refusal
    of an earlier grant is not taken for one of the present grant. An agent of another
    ``incarnation`` than the one named drops the message, because its predecessor may have acted
    on it; an empty one names any.
    """

    key: ScopedKey
    task: TaskIndex
    partition: Partition
    epoch: Epoch
    service: ServiceName
    team: TeamName
    payload: bytes
    deadline_ms: float
    idempotent: bool
    entry: EntryId
    attempt: int = 0
    incarnation: Incarnation = Incarnation("")


class Refused(Message, frozen=True, tag="refused"):
    """From an agent: the task did not start and will not start from the ``Start`` of ``attempt``.

    The agent refuses a repetition of that ``Start`` too.
    """

    key: ScopedKey
    task: TaskIndex
    reason: RefusalReason
    epoch: Epoch
    load: Load
    attempt: int = 0


class Result(Message, frozen=True, tag="result"):
    """From an agent: the end of a task; ``state`` is OK, FAILED, UNKNOWN or CANCELLED."""

    key: ScopedKey
    task: TaskIndex
    state: TaskState
    body: bytes
    reason: str
    elapsed_ms: float
    load: Load


class Cancel(Message, frozen=True, tag="cancel"):
    """From a home: end the tasks of ``key``; queued ones are refused, running ones stopped."""

    key: ScopedKey
    tasks: list[TaskIndex]


class Forget(Message, frozen=True, tag="forget"):
    """From a home: result bodies of these keys may go; the start records stay for the window."""

    keys: list[ScopedKey]


class Query(Message, frozen=True, tag="query"):
    """From a home: ask what became of these tasks."""

    key: ScopedKey
    partition: Partition
    epoch: Epoch
    tasks: list[TaskIndex]


class QueryReply(Message, frozen=True, tag="query_reply"):
    """From an agent: a record for each task asked; NOT_STARTED ones will never start there."""

    key: ScopedKey
    agent: AgentId
    incarnation: Incarnation
    records: list[TaskRecord]


class Collect(Message, frozen=True, tag="collect"):
    """From a new home: refuse older epochs of the partition and report its records."""

    partition: Partition
    epoch: Epoch
    partitions: int


class Collected(Message, frozen=True, tag="collected"):
    """From an agent: all its records of the partition, after raising its fence."""

    partition: Partition
    epoch: Epoch
    agent: AgentId
    incarnation: Incarnation
    records: list[TaskRecord]


class PeerHeartbeat(Message, frozen=True, tag="peer_heartbeat"):
    """Between entries: what the sender knows; answered by a ``PeerReply``."""

    entry: EntryId
    incarnation: Incarnation
    sequence: int
    revision: Revision
    table_version: int
    store_age_ms: float


class PeerReply(Message, frozen=True, tag="peer_reply"):
    """Between entries: the answer to a ``PeerHeartbeat`` of the same ``sequence``."""

    entry: EntryId
    incarnation: Incarnation
    sequence: int
    revision: Revision
    table_version: int
    store_age_ms: float


class Forward(Message, frozen=True, tag="forward"):
    """From the entry that has the caller to the key's home."""

    request: RequestId
    entry: EntryId
    key: ScopedKey
    digest: Digest
    service: ServiceName
    team: TeamName
    tasks: list[bytes]
    deadline_ms: float
    job: bool
    resources: Resources


class Answer(Message, frozen=True, tag="answer"):
    """From a home to the entry that forwarded ``request``."""

    request: RequestId
    key: ScopedKey
    outcome: Complete | Failed | NotRun | Unknown | Impossible | Conflict | Cancelled | Invalid


class CancelForward(Message, frozen=True, tag="cancel_forward"):
    """From the entry that has the caller: cancel the submission of ``key``."""

    request: RequestId
    entry: EntryId
    key: ScopedKey


class Progress(Message, frozen=True, tag="progress"):
    """From an entry to a home: ask how far ``key`` is."""

    request: RequestId
    entry: EntryId
    key: ScopedKey
    wait: bool


class ProgressReply(Message, frozen=True, tag="progress_reply"):
    """From a home: tasks finished and submitted; ``known`` is False without a record."""

    request: RequestId
    known: bool
    finished: int
    total: int


class TicketRequest(Message, frozen=True, tag="ticket_request"):
    """From an entry to a home: issue ``count`` tickets of a partition."""

    request: RequestId
    entry: EntryId
    partition: Partition
    count: int


class Tickets(Message, frozen=True, tag="tickets"):
    """From a home: the tickets issued, or none if it is not the home."""

    request: RequestId
    keys: list[str]


class Hold(Message, frozen=True, tag="hold"):
    """From a home to a holder: record these keys before their first task starts.

    ``sequence`` is echoed, so that a late answer is not taken for one to a newer record.
    """

    partition: Partition
    epoch: Epoch
    entry: EntryId
    records: list[KeyRecord]
    sequence: int = 0


class Held(Message, frozen=True, tag="held"):
    """From a holder: these keys are recorded."""

    partition: Partition
    epoch: Epoch
    entry: EntryId
    keys: list[ScopedKey]
    sequence: int = 0


class HoldRefused(Message, frozen=True, tag="hold_refused"):
    """From a holder: the epoch is older than ``epoch``, which it has seen, or its table is full."""

    partition: Partition
    epoch: Epoch
    entry: EntryId
    keys: list[ScopedKey]
    full: bool


class Release(Message, frozen=True, tag="release"):
    """From a home to a holder: these keys ended; their records stay for the window."""

    partition: Partition
    epoch: Epoch
    keys: list[ScopedKey]


class Fetch(Message, frozen=True, tag="fetch"):
    """From a new home: refuse older epochs of the partition and send its records."""

    partition: Partition
    epoch: Epoch
    entry: EntryId
    sequence: int = 0


class Fetched(Message, frozen=True, tag="fetched"):
    """From a holder: a part of its records of the partition; ``more`` is False in the last part.

    ``complete`` is False if the holder has not held the partition in full since ``epoch`` of the
    table that named it, for instance because it restarted. ``part`` counts from 0 within the
    answer to one ``Fetch``, so that a lost part is noticed.
    """

    partition: Partition
    epoch: Epoch
    entry: EntryId
    records: list[KeyRecord]
    more: bool
    complete: bool
    sequence: int = 0
    part: int = 0


class Copy(Message, frozen=True, tag="copy"):
    """From a home to a new holder: records of the partition, in parts."""

    partition: Partition
    epoch: Epoch
    entry: EntryId
    records: list[KeyRecord]
    last: bool
    covered_ms: float
    """How long the records have been complete, for the rule that proves a plain key new."""
    sequence: int = 0


class Copied(Message, frozen=True, tag="copied"):
    """From a new holder: the records of the ``Copy`` of this ``sequence`` are kept."""

    partition: Partition
    epoch: Epoch
    entry: EntryId
    sequence: int = 0


class Leaving(Message, frozen=True, tag="leaving"):
    """From an entry that drains: give it no partition and replace it as a holder."""

    entry: EntryId


class SnapshotRequest(Message, frozen=True, tag="snapshot_request"):
    """From an entry that is behind: send the configuration if newer than ``have_revision``."""

    entry: EntryId
    have_revision: Revision


class Snapshot(Message, frozen=True, tag="snapshot"):
    """The store's ``config/`` values at ``revision``, by key."""

    revision: Revision
    values: dict[str, bytes]


AgentBound = Permit | Start | Cancel | Forget | Query | Collect
AgentSent = Heartbeat | Refused | Result | QueryReply | Collected
PeerMessage = (
    PeerHeartbeat
    | PeerReply
    | Forward
    | Answer
    | CancelForward
    | Progress
    | ProgressReply
    | TicketRequest
    | Tickets
    | Hold
    | Held
    | HoldRefused
    | Release
    | Fetch
    | Fetched
    | Copy
    | Copied
    | Leaving
    | SnapshotRequest
    | Snapshot
)
AnyMessage = AgentBound | AgentSent | PeerMessage

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """Return ``message`` as bytes: one version byte, then MessagePack."""
    return bytes((PROTOCOL_VERSION,)) + _encoder.encode(message)


def decode(data: bytes) -> AnyMessage:
    """Return the message in ``data``; raise MessageError if there is none of this version."""
    if not data or data[0] != PROTOCOL_VERSION:
        raise MessageError(f"expected protocol version {PROTOCOL_VERSION}, got {data[:1]!r}")
    try:
        return _decoder.decode(memoryview(data)[1:])
    except msgspec.MsgspecError as error:
        raise MessageError(str(error)) from error
