"""Identifiers, and the mapping of idempotency keys to partitions by hash."""

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
"""Identifies one run of a process; every restart gets a new one."""
ScopedKey = NewType("ScopedKey", str)
"""Idempotency key of a client, prefixed with its client account, as ``team/key``."""
TaskIndex = NewType("TaskIndex", int)
RequestId = NewType("RequestId", str)
Digest = NewType("Digest", str)

_TICKET = re.compile(r"t1\.(\d{1,6})\.(\d{1,12})\.(\d{1,16})\.([0-9a-f]{16})\Z")


def new_incarnation() -> Incarnation:
    """Return a random identifier for one run of a process (16 hex digits)."""
    return Incarnation(secrets.token_hex(8))


def scope_key(team: TeamName, key: str) -> ScopedKey:
    """Return ``key`` scoped to the client account ``team``, whose name contains no slash."""
    return ScopedKey(f"{team}/{key}")


@dataclass(frozen=True, slots=True)
class Ticket:
    """Idempotency key issued by an entry, with the time and the epoch of its issue.

    ``issued_ms`` is the issuer's time of day in milliseconds since the Unix epoch.
    """

    partition: Partition
    epoch: Epoch
    issued_ms: int
    nonce: str

    @classmethod
    def parse(cls, key: str) -> Ticket | None:
        """Parse a ticket; return None if ``key`` is a plain key, chosen by the client."""
        match = _TICKET.match(key)
        if match is None:
            return None
        partition, epoch, issued_ms, nonce = match.groups()
        return cls(Partition(int(partition)), Epoch(int(epoch)), int(issued_ms), nonce)

    def __str__(self) -> str:
        return f"t1.{self.partition}.{self.epoch}.{self.issued_ms}.{self.nonce}"


def partition_of(scoped: ScopedKey, partitions: int) -> Partition:
    """Return the partition, from 0 to ``partitions`` - 1, of a scoped key.

    A ticket contains its partition; a plain key is hashed together with its client account.
    """
    ticket = Ticket.parse(scoped.partition("/")[2])
    if ticket is not None:
        return Partition(ticket.partition % partitions)
    return Partition(xxhash.xxh3_64_intdigest(scoped.encode()) % partitions)


def digest_of(service: ServiceName, tasks: list[bytes]) -> Digest:
    """Return a digest of the service and the task payloads of a submission.

    A key submitted again with another digest is a conflict. Each part is prefixed with its
    length, so that payloads split differently give different digests.
    """
    digest = xxhash.xxh3_128()
    for part in (service.encode(), *tasks):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Digest(digest.hexdigest())
