"""Effects: the actions that decision code returns for its caller to carry out.

Decision code does no I/O itself.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .group import VoterSet
from .ids import AgentId, Digest, EntryId, RequestId, ScopedKey, ServiceName, TaskIndex, TeamName
from .message import MessageToAgent, PeerMessage, Resources
from .outcome import Outcome
from .partition import PartitionTable


@dataclass(frozen=True, slots=True)
class SendAgent:
    """Send ``message`` to an agent, if it is connected."""

    agent: AgentId
    message: MessageToAgent


@dataclass(frozen=True, slots=True)
class SendEntry:
    """Send ``message`` to another entry, if it is connected."""

    entry: EntryId
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer the waiting request ``request``, local or forwarded, with ``outcome``."""

    request: RequestId
    key: ScopedKey
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class TaskReady:
    """Task ready to be granted to an agent in ``candidates`` that is not in ``excluded``.

    ``job_size`` is the number of tasks of its submission.
    """

    key: ScopedKey
    task: TaskIndex
    service: ServiceName
    team: TeamName
    resources: Resources
    deadline_at_ms: float
    job_size: int
    candidates: frozenset[AgentId]
    excluded: frozenset[AgentId] = frozenset()


@dataclass(frozen=True, slots=True)
class Enqueue:
    """Add tasks to the backlog of the leader."""

    tasks: list[TaskReady]


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Remove the remaining tasks of ``key`` from the backlog."""

    key: ScopedKey


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Write a log line with the prefix ``part``, the message ``text`` and ``fields``."""

    part: str
    text: str
    fields: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ProposeTable:
    """Write ``table`` to the store if the stored table still has the version ``base_version``."""

    base_version: int
    table: PartitionTable


@dataclass(frozen=True, slots=True)
class ProposeVoters:
    """Write the voter set ``following`` to the store if the stored one is still ``current``."""

    current: VoterSet
    following: VoterSet


Effect = (
    SendAgent | SendEntry | Reply | Enqueue | Withdraw | LogRecord | ProposeTable | ProposeVoters
)


@dataclass(frozen=True, slots=True)
class Submission:
    """Submission of a client as it arrives at the leader of its key's partition.

    ``deadline_at_ms`` is a time of the leader's clock. ``request`` identifies the waiting request,
    and ``origin`` is the entry with the connection to the client. ``job`` is True for a job, which
    may have several tasks, and False for a single request. ``resources`` are those of each task.
    """

    request: RequestId
    origin: EntryId
    key: ScopedKey
    digest: Digest
    service: ServiceName
    team: TeamName
    tasks: list[bytes]
    deadline_at_ms: float
    job: bool
    idempotent: bool
    resources: Resources
