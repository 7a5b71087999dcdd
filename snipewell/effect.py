"""What a decision asks its task to do. Decisions return lists of these and do no I/O themselves."""

from __future__ import annotations

from dataclasses import dataclass, field

from .group import VoterSet
from .ids import AgentId, Digest, EntryId, RequestId, ScopedKey, ServiceName, TaskIndex, TeamName
from .message import AgentBound, PeerMessage, Resources
from .outcome import Outcome
from .partition import PartitionTable


@dataclass(frozen=True, slots=True)
class SendAgent:
    """Send ``message`` to an agent, if it is connected."""

    agent: AgentId
    message: AgentBound


@dataclass(frozen=True, slots=True)
class SendEntry:
    """Send ``message`` to another entry, if it is connected."""

    entry: EntryId
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class Reply:
    """Give ``outcome`` to the request that waits under ``request`` (local or forwarded)."""

    request: RequestId
    key: ScopedKey
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class TaskReady:
    """A task that may be granted: to one of ``candidates`` and to none of ``excluded``."""

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
    """Put tasks into the backlog of the home."""

    tasks: list[TaskReady]


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Take the remaining tasks of ``key`` out of the backlog."""

    key: ScopedKey


@dataclass(frozen=True, slots=True)
class Note:
    """Write one log line: ``part`` is the prefix, ``text`` a short sentence."""

    part: str
    text: str
    fields: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ProposeTable:
    """Write ``table`` to the store if the stored version is still ``base_version``."""

    base_version: int
    table: PartitionTable


@dataclass(frozen=True, slots=True)
class ProposeVoters:
    """Write the set of voters ``following`` to the store if it still holds ``current``."""

    current: VoterSet
    following: VoterSet


Effect = SendAgent | SendEntry | Reply | Enqueue | Withdraw | Note | ProposeTable | ProposeVoters


@dataclass(frozen=True, slots=True)
class Submission:
    """A caller's submission as it reaches its home.

    ``deadline_at_ms`` is on the home's clock. ``request`` names the waiting caller, ``origin`` the
    entry that has the caller's connection.
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
