"""Partition table, and the planning of its changes.

The keys of submissions are hashed to partitions. The leader of a partition is the entry that
processes the submissions of its keys and grants their tasks. Its replicas, the leader among them,
are the entries that store the records. Planning is deterministic: it depends only on the arguments.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence

import msgspec
import xxhash

from .decoding import decode_json
from .errors import MessageError
from .ids import EntryId, Epoch, Partition, ZoneId
from .limits import read_quorum


class PartitionAssignment(msgspec.Struct, frozen=True):
    """Leader, replicas and epochs of one partition; the leader is one of the replicas.

    ``epoch`` rises with every change. ``coverage_epoch`` is the first epoch since which no record
    has been lost; 0 means that none ever was.
    """

    leader: EntryId = msgspec.field(name="home")
    replicas: tuple[EntryId, ...] = msgspec.field(name="holders")
    epoch: Epoch
    coverage_epoch: Epoch


class PartitionTable(msgspec.Struct, frozen=True):
    """All partitions, as stored under the key ``cluster/partitions``.

    ``version`` is the store's revision of the value, 0 before the first write; a proposed table
    carries the version on which it is based. It is not part of the stored value. To see whether a
    plan changes something, compare ``partitions``: tables are equal only if their versions are.
    """

    version: int
    partitions: tuple[PartitionAssignment, ...]

    def to_json(self) -> bytes:
        """Encode the table as the JSON value to be stored, without ``version``."""
        return msgspec.json.encode(self.partitions)

    @classmethod
    def from_json(cls, value: bytes, version: int) -> PartitionTable:
        """Decode a stored table; raise ValueError if it is malformed or inconsistent."""
        try:
            partitions = decode_json(value, tuple[PartitionAssignment, ...])
        except MessageError as error:
            raise ValueError(f"partition table: {error}") from error
        for number, assigned in enumerate(partitions):
            if assigned.leader not in assigned.replicas or len(set(assigned.replicas)) < len(
                assigned.replicas
            ):
                raise ValueError(
                    f"partition {number}: holders {assigned.replicas} must be distinct"
                    f" and include the home {assigned.leader}"
                )
        return cls(version, partitions)


def _tie_break(partition: int, entry: EntryId) -> int:
    """Return a hash that orders equally good entries, differently for each partition."""
    return xxhash.xxh3_64_intdigest(f"{partition}/{entry}".encode())


def count_led_partitions(partitions: Sequence[PartitionAssignment]) -> Counter[EntryId]:
    """Count the partitions of which each entry is the leader."""
    return Counter(assigned.leader for assigned in partitions)


def count_replicated_partitions(partitions: Sequence[PartitionAssignment]) -> Counter[EntryId]:
    """Count the partitions of which each entry is a replica."""
    return Counter(replica for assigned in partitions for replica in assigned.replicas)


def plan_table(
    table: PartitionTable | None,
    live: Mapping[EntryId, ZoneId],
    partitions: int,
    replicas: int = 3,
    draining: Collection[EntryId] = (),
) -> PartitionTable | None:
    """Return a table in which every leader is live, or None if nothing changes.

    Without a table, all partitions are spread evenly over ``live``, which maps each live entry to
    its availability zone. A partition whose leader failed is assigned to the live replica leading
    the fewest partitions, and keeps its replicas, because the new leader must read a quorum of
    them. If fewer than a read quorum are live, records may be lost: the new leader becomes the only
    replica and ``coverage_epoch`` is raised. Entries in ``draining`` are chosen last.

    No replica is added here, since a new one needs a copy of the records first; ``plan_replicas``
    chooses them.
    """
    if not live:
        return None
    if table is None:
        return PartitionTable(0, _plan_initial(live, partitions, replicas))
    leader_counts = count_led_partitions(table.partitions)
    planned = list(table.partitions)
    for number, assigned in enumerate(planned):
        if assigned.leader not in live:
            planned[number] = changed = _fail_over(number, assigned, live, leader_counts, draining)
            leader_counts[assigned.leader] -= 1
            leader_counts[changed.leader] += 1
    if tuple(planned) == table.partitions:
        return None
    return PartitionTable(table.version, tuple(planned))


def _plan_initial(
    live: Mapping[EntryId, ZoneId], partitions: int, size: int
) -> tuple[PartitionAssignment, ...]:
    leader_counts: Counter[EntryId] = Counter()
    replica_counts: Counter[EntryId] = Counter()
    planned = []
    for number in range(partitions):
        leader = min(live, key=lambda e: (leader_counts[e], _tie_break(number, e)))
        leader_counts[leader] += 1
        first = PartitionAssignment(leader, (leader,), Epoch(1), Epoch(0))
        chosen = plan_replicas(number, first, leader, live, replica_counts, size)
        replica_counts.update(chosen)
        planned.append(PartitionAssignment(leader, chosen, Epoch(1), Epoch(0)))
    return tuple(planned)


def _fail_over(
    number: int,
    assigned: PartitionAssignment,
    live: Mapping[EntryId, ZoneId],
    leader_counts: Counter[EntryId],
    draining: Collection[EntryId],
) -> PartitionAssignment:
    survivors = [replica for replica in assigned.replicas if replica in live]

    def order(candidate: EntryId) -> tuple[bool, int, int]:
        return candidate in draining, leader_counts[candidate], _tie_break(number, candidate)

    leader = min(survivors or live, key=order)
    epoch = Epoch(assigned.epoch + 1)
    if len(survivors) < read_quorum(len(assigned.replicas)):
        return PartitionAssignment(leader, (leader,), epoch, epoch)
    return PartitionAssignment(leader, assigned.replicas, epoch, assigned.coverage_epoch)


def plan_replicas(
    number: int,
    assigned: PartitionAssignment,
    leader: EntryId,
    live: Mapping[EntryId, ZoneId],
    replica_counts: Counter[EntryId],
    size: int,
    draining: Collection[EntryId] = (),
) -> tuple[EntryId, ...]:
    """Return up to ``size`` replicas for partition ``number``, whose leader is ``leader``.

    Live replicas that are not draining are kept. Missing ones are chosen from availability zones
    without a replica first, then by the fewest partitions held (``replica_counts``). If none is
    missing, one replica is replaced by an entry that holds at least two partitions fewer, so that
    an entry that joins gets its share; the difference of two makes the rebalancing terminate.
    """
    eligible = [e for e in live if e not in draining]
    kept = [r for r in assigned.replicas if r in live and r not in draining and r != leader]
    chosen = [leader, *kept][:size]
    while len(chosen) < size:
        zones = {live.get(e) for e in chosen}
        unused = [e for e in eligible if e not in chosen]
        if not unused:
            break
        chosen.append(
            min(unused, key=lambda e: (live[e] in zones, replica_counts[e], _tie_break(number, e)))
        )
    unused = [e for e in eligible if e not in chosen]
    if tuple(chosen) and set(chosen) == set(assigned.replicas) and unused and len(chosen) > 1:
        worst = max(chosen[1:], key=lambda e: (replica_counts[e], _tie_break(number, e)))
        best = min(unused, key=lambda e: (replica_counts[e], _tie_break(number, e)))
        if replica_counts[worst] - replica_counts[best] >= 2:
            chosen[chosen.index(worst)] = best
    if set(chosen) == set(assigned.replicas):
        return assigned.replicas
    return tuple(chosen)


def plan_move(
    table: PartitionTable,
    leader: EntryId,
    live: Mapping[EntryId, ZoneId],
    draining: Collection[EntryId],
    movable: Collection[Partition],
    moving: int,
) -> tuple[Partition, EntryId] | None:
    """Return a partition that ``leader`` should hand over and its new leader, or None if balanced.

    Only partitions in ``movable`` are considered; ``moving`` counts the handovers that ``leader``
    has already begun. A draining entry hands over all its partitions. Otherwise the new leader must
    lead at least two partitions fewer, and a partition whose records it already holds is
    preferred.
    """
    leader_counts = count_led_partitions(table.partitions)
    leader_counts[leader] -= moving
    targets = [e for e in live if e != leader and e not in draining]
    own = [
        Partition(number)
        for number, assigned in enumerate(table.partitions)
        if assigned.leader == leader and number in movable
    ]
    if not targets or not own:
        return None
    if leader in draining:
        partition = own[0]
        replicas = table.partitions[partition].replicas
        target = min(
            targets, key=lambda e: (e not in replicas, leader_counts[e], _tie_break(partition, e))
        )
        return partition, target
    target = min(targets, key=lambda e: (leader_counts[e], _tie_break(0, e)))
    if leader_counts[leader] - leader_counts[target] < 2:
        return None
    own.sort(key=lambda p: (target not in table.partitions[p].replicas, p))
    return own[0], target
