"""Identifiers, and the hashing of idempotency keys to partitions."""

from __future__ import annotations

import re
import secrets
from dataclasses import dataclass
from typing import NewType

import xxhash

EntryId = NewType("EntryId", str)
AgentId = NewType("AgentId", str)
UpstreamId = NewType("UpstreamId", str)
ZoneId = NewType("ZoneId", str)
RackId = NewType("RackId", str)
ServiceName = NewType("ServiceName", str)
TeamName = NewType("TeamName", str)
Partition = NewType("Partition", int)
Epoch = NewType("Epoch", int)
Revision = NewType("Revision", int)
Incarnation = NewType("Incarnation", str)
"""Names one life of a process; a restart gets a new one."""
ScopedKey = NewType("ScopedKey", str)
"""A caller's idempotency key with its team, as ``team/key``."""
TaskIndex = NewType("TaskIndex", int)
RequestId = NewType("RequestId", str)
Digest = NewType("Digest", str)

_TICKET = re.compile(r"t1\.(\d{1,6})\.(\d{1,12})\.(\d{1,16})\.([0-9a-f]{16})\Z")


def new_incarnation() -> Incarnation:
    """Return a random name for one life of a process (16 hex digits)."""
    return Incarnation(secrets.token_hex(8))


def scope_key(team: TeamName, key: str) -> ScopedKey:
    """Return the caller's ``key`` scoped to its ``team``; team names contain no slash."""
    return ScopedKey(f"{team}/{key}")


@dataclass(frozen=True, slots=True)
class Ticket:
    """An idempotency key that an entry issued, which tells when and in which epoch it was issued.

    ``issued_ms`` is the issuer's time of day in milliseconds since the Unix epoch.
    """

    partition: Partition
    epoch: Epoch
    issued_ms: int
    nonce: str

    @classmethod
    def parse(cls, key: str) -> Ticket | None:
        """Return the ticket written as ``key``, or None if ``key`` is a plain key."""
        match = _TICKET.match(key)
        if match is None:
            return None
        partition, epoch, issued_ms, nonce = match.groups()
        return cls(Partition(int(partition)), Epoch(int(epoch)), int(issued_ms), nonce)

    def __str__(self) -> str:
        return f"t1.{self.partition}.{self.epoch}.{self.issued_ms}.{self.nonce}"


def partition_of(scoped: ScopedKey, partitions: int) -> Partition:
    """Return the partition, from 0 to ``partitions`` - 1, that the key ``scoped`` belongs to.

    A ticket names its partition; any other key is hashed with its team.
    """
    ticket = Ticket.parse(scoped.partition("/")[2])
    if ticket is not None:
        return Partition(ticket.partition % partitions)
    return Partition(xxhash.xxh3_64_intdigest(scoped.encode()) % partitions)


def digest_of(service: ServiceName, tasks: list[bytes]) -> Digest:
    """Return a digest of a submission's service and task payloads.

    A key that arrives again with another digest is a conflict. Each part is prefixed with its
    length, so that payloads split differently give different digests.
    """
    digest = xxhash.xxh3_128()
    for part in (service.encode(), *tasks):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Digest(digest.hexdigest())
