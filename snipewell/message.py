"""Messages between entries and agents, encoded as tagged MessagePack structs.

Times are in milliseconds. A deadline is sent as the time left, because the clocks of two machines
are not comparable. Every message that can start work carries its partition and epoch.

An entry is a server process that accepts submissions. It is the leader of some partitions of the
keys, whose tasks it grants, and a replica of others, whose records it keeps. An agent starts tasks
on the upstream beside it.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from .decoding import decode_with
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
    """State of a task at an agent."""

    QUEUED = "queued"
    RUNNING = "running"
    OK = "ok"
    FAILED = "failed"
    UNKNOWN = "unknown"
    """The call to the upstream failed after its first byte may have been sent."""
    CANCELLED = "cancelled"
    """The call to the upstream was aborted after it began; the task may have run."""
    NOT_STARTED = "not_started"
    """The agent has no record of a start and will refuse every later ``Start`` of the task."""


class RefusalReason(Enum):
    """Reason of an agent to refuse a start; each one proves that the task did not start there."""

    BUSY = "busy"
    """No slot or place in the queue is free, the upstream is unreachable, the message could not be
    sent, or the ``Start`` repeats one that was refused."""
    NO_PERMIT = "no_permit"
    STALE_EPOCH = "stale_epoch"
    EXPIRED = "expired"
    """The deadline passed."""
    DRAINING = "draining"
    CANCELLED = "cancelled"
    """The task was cancelled, or a tombstone forbids its start."""
    FULL = "full"
    """The agent's records, or the results that it keeps, are at their bound."""


class Message(msgspec.Struct, frozen=True):
    """Base class of all messages."""


class Load(msgspec.Struct, frozen=True):
    """Number of an agent's slots in use and of the tasks in its queue."""

    busy: int = 0
    queued: int = 0


class Resources(msgspec.Struct, frozen=True):
    """Resources that a task requires, or that an upstream offers."""

    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


class TaskRecord(msgspec.Struct, frozen=True):
    """An agent's record of one task of a key; ``body`` is empty unless ``state`` is ``OK``.

    ``body_kept`` distinguishes an empty body from one that was dropped after ``Forget``.
    """

    key: ScopedKey
    task: TaskIndex
    state: TaskState
    body: bytes = b""
    reason: str = ""
    body_kept: bool = False


class Candidate(msgspec.Struct, frozen=True):
    """Process of an agent to which tasks of a key may be granted; a restart makes it another."""

    agent: AgentId
    incarnation: Incarnation


class KeyRecord(msgspec.Struct, frozen=True):
    """Record of a submission at a replica, which proves that its key is not new.

    ``idempotent`` is True if its task may be started again, that is for a single request of an
    idempotent service, but not for a job. ``age_ms`` is the time since the submission ended, or -1
    while it runs. ``outcome`` lets a new leader answer a resubmission; a leader sends a
    ``Complete`` one only to the next leader of a handover, any other to all replicas.
    ``deadline_ms`` is the time left of the submission, which bounds the retention of a record that
    is never released. The record with the highest (``epoch``, ``version``) is the newest.
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
    """From an agent to each entry: announce the agent and its upstream, and request a permit.

    ``address`` is the ``ip:port`` of the upstream, ``connections`` the bound on the connections to
    it, and ``worker`` the resources of its VM.
    """

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
    """From an entry: allow the agent to start tasks for ``ttl_ms``, or forbid it.

    ``revision`` is that of the configuration on which the decision rests. ``sequence`` is that of
    the heartbeat answered; ``ttl_ms`` counts from the time at which the agent sent it. A permit
    pushed without a heartbeat has the sequence 0 and can only withdraw the permission.
    """

    entry: EntryId
    sequence: int
    revision: Revision
    accepting: bool
    ttl_ms: int


class Start(Message, frozen=True, tag="start"):
    """From a leader: start one task.

    ``attempt`` counts the grants of the task and is echoed by ``Refused``, so that a late refusal
    of an earlier grant is not mistaken for a refusal of the current one. An agent with another
    ``incarnation`` drops the message, because the process before its restart may have acted on it;
    an empty incarnation addresses any.
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

    The agent also refuses a repetition of that ``Start``.
    """

    key: ScopedKey
    task: TaskIndex
    reason: RefusalReason
    epoch: Epoch
    load: Load
    attempt: int = 0


class Result(Message, frozen=True, tag="result"):
    """From an agent: report the end of a task, as OK, FAILED, UNKNOWN or CANCELLED."""

    key: ScopedKey
    task: TaskIndex
    state: TaskState
    body: bytes
    reason: str
    elapsed_ms: float
    load: Load


class Cancel(Message, frozen=True, tag="cancel"):
    """From a leader: cancel tasks of ``key``; queued ones are refused, running ones aborted."""

    key: ScopedKey
    tasks: list[TaskIndex]


class Forget(Message, frozen=True, tag="forget"):
    """From a leader: allow dropping the results of these keys.

    The records that their tasks started stay for the resubmission window.
    """

    keys: list[ScopedKey]


class Query(Message, frozen=True, tag="query"):
    """From a leader: request the records of these tasks."""

    key: ScopedKey
    partition: Partition
    epoch: Epoch
    tasks: list[TaskIndex]


class QueryReply(Message, frozen=True, tag="query_reply"):
    """From an agent: its records of the tasks queried, or of a task whose ``Start`` was repeated.

    Queried tasks are left out if the agent has no record of them and can't guarantee that it will
    refuse a later ``Start``. A task reported as NOT_STARTED will never start there.
    """

    key: ScopedKey
    agent: AgentId
    incarnation: Incarnation
    records: list[TaskRecord]


class Collect(Message, frozen=True, tag="collect"):
    """From a new leader: refuse older epochs of the partition and report its task records.

    ``partitions`` is the number of partitions of the cluster; agents do not evaluate it.
    """

    partition: Partition
    epoch: Epoch
    partitions: int


class Collected(Message, frozen=True, tag="collected"):
    """From an agent: its task records of the partition, whose fence is now at ``epoch``."""

    partition: Partition
    epoch: Epoch
    agent: AgentId
    incarnation: Incarnation
    records: list[TaskRecord]


class PeerHeartbeat(Message, frozen=True, tag="peer_heartbeat"):
    """Between entries: announce the sender's versions; answered by a ``PeerReply``.

    ``revision`` is that of its configuration, ``table_version`` that of its partition table, and
    ``store_age_ms`` the time since it last had an answer from the store.
    """

    entry: EntryId
    incarnation: Incarnation
    sequence: int
    revision: Revision
    table_version: int
    store_age_ms: float


class PeerReply(Message, frozen=True, tag="peer_reply"):
    """Between entries: answer the ``PeerHeartbeat`` with the same ``sequence``."""

    entry: EntryId
    incarnation: Incarnation
    sequence: int
    revision: Revision
    table_version: int
    store_age_ms: float


class Forward(Message, frozen=True, tag="forward"):
    """From the entry that received a submission: forward it to the leader of its key."""

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
    """From a leader: return the outcome to the entry that forwarded ``request``."""

    request: RequestId
    key: ScopedKey
    outcome: Complete | Failed | NotRun | Unknown | Impossible | Conflict | Cancelled | Invalid


class CancelForward(Message, frozen=True, tag="cancel_forward"):
    """From the entry that received the cancellation: cancel the submission of ``key``."""

    request: RequestId
    entry: EntryId
    key: ScopedKey


class Progress(Message, frozen=True, tag="progress"):
    """From an entry to a leader: request the progress of the submission of ``key``.

    It is answered by an ``Answer`` if the submission has ended, else by a ``ProgressReply``.
    ``wait`` is not evaluated.
    """

    request: RequestId
    entry: EntryId
    key: ScopedKey
    wait: bool


class ProgressReply(Message, frozen=True, tag="progress_reply"):
    """From a leader: tasks finished and submitted; ``known`` is False if there is no record."""

    request: RequestId
    known: bool
    finished: int
    total: int


class TicketRequest(Message, frozen=True, tag="ticket_request"):
    """From an entry to a leader: request ``count`` tickets of a partition."""

    request: RequestId
    entry: EntryId
    partition: Partition
    count: int


class Tickets(Message, frozen=True, tag="tickets"):
    """From a leader: the tickets issued; none if the entry is not the leader."""

    request: RequestId
    keys: list[str]


class Hold(Message, frozen=True, tag="hold"):
    """From a leader to a replica: record these keys before their first task starts.

    In this message and those below up to ``Copied``, ``entry`` is the sender. ``sequence`` is
    echoed, so that a late answer is not mistaken for one to a newer record.
    """

    partition: Partition
    epoch: Epoch
    entry: EntryId
    records: list[KeyRecord]
    sequence: int = 0


class Held(Message, frozen=True, tag="held"):
    """From a replica: acknowledge that these keys are recorded."""

    partition: Partition
    epoch: Epoch
    entry: EntryId
    keys: list[ScopedKey]
    sequence: int = 0


class HoldRefused(Message, frozen=True, tag="hold_refused"):
    """From a replica: refuse records of an epoch below ``epoch``, or at the bound if ``full``."""

    partition: Partition
    epoch: Epoch
    entry: EntryId
    keys: list[ScopedKey]
    full: bool


class Release(Message, frozen=True, tag="release"):
    """From a leader to a replica: the submissions completed.

    Their records stay for the resubmission window.
    """

    partition: Partition
    epoch: Epoch
    keys: list[ScopedKey]


class Fetch(Message, frozen=True, tag="fetch"):
    """From a new leader: refuse older epochs of the partition and send its records."""

    partition: Partition
    epoch: Epoch
    entry: EntryId
    sequence: int = 0


class Fetched(Message, frozen=True, tag="fetched"):
    """From a replica: a part of its records of the partition; ``more`` is False in the last part.

    ``complete`` is always True; a part in which it is False is ignored. ``part`` counts from 0
    within the answer to one ``Fetch``, so that a lost part is detected.
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
    """From a leader to a replica: a batch of the records that the replica has not acknowledged.

    For a new replica, these are at first all records of the partition.
    """

    partition: Partition
    epoch: Epoch
    entry: EntryId
    records: list[KeyRecord]
    last: bool
    covered_ms: float
    """Time for which the records have been complete; needed to prove that a plain key is new."""
    sequence: int = 0


class Copied(Message, frozen=True, tag="copied"):
    """From a replica: acknowledge the records of the ``Copy`` with this ``sequence``."""

    partition: Partition
    epoch: Epoch
    entry: EntryId
    sequence: int = 0


class Leaving(Message, frozen=True, tag="leaving"):
    """From a draining entry: assign it no partition and replace it as a replica."""

    entry: EntryId


class SnapshotRequest(Message, frozen=True, tag="snapshot_request"):
    """From an entry: request the configuration if it is newer than ``have_revision``."""

    entry: EntryId
    have_revision: Revision


class Snapshot(Message, frozen=True, tag="snapshot"):
    """Configuration at ``revision``: the values stored under ``config/``, by key."""

    revision: Revision
    values: dict[str, bytes]


MessageToAgent = Permit | Start | Cancel | Forget | Query | Collect
MessageFromAgent = Heartbeat | Refused | Result | QueryReply | Collected
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
AnyMessage = MessageToAgent | MessageFromAgent | PeerMessage

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """Encode ``message`` as one version byte followed by MessagePack."""
    return bytes((PROTOCOL_VERSION,)) + _encoder.encode(message)


def decode(data: bytes) -> AnyMessage:
    """Decode a message; raise MessageError if it is malformed or of another protocol version."""
    if not data or data[0] != PROTOCOL_VERSION:
        raise MessageError(f"expected protocol version {PROTOCOL_VERSION}, got {data[:1]!r}")
    return decode_with(lambda: _decoder.decode(memoryview(data)[1:]))
