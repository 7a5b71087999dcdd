"""Partition table, and the planning of its changes.

The keys of submissions are hashed to partitions. Each partition has a home, the entry that owns it
and grants its tasks, and holders, the entries that keep replicas of its records. Planning is
deterministic: it depends only on the arguments.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence

import msgspec
import xxhash

from .ids import EntryId, Epoch, Partition, ZoneId
from .limits import read_quorum


class PartitionEntry(msgspec.Struct, frozen=True):
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

    ``version`` is the store's revision of the value, 0 before the first write. It is set on
    reading; the stored value and comparisons of tables leave it out.
    """

    version: int
    partitions: tuple[PartitionEntry, ...]

    def to_json(self) -> bytes:
        """Encode the table as the JSON value to be stored, without ``version``."""
        return msgspec.json.encode(self.partitions)

    @classmethod
    def from_json(cls, value: bytes, version: int) -> PartitionTable:
        """Decode a stored table; raise ValueError if it is malformed or inconsistent."""
        try:
            partitions = msgspec.json.decode(value, type=tuple[PartitionEntry, ...])
        except msgspec.MsgspecError as error:
            raise ValueError(f"partition table: {error}") from error
        for number, entry in enumerate(partitions):
            if entry.leader not in entry.replicas or len(set(entry.replicas)) < len(entry.replicas):
                raise ValueError(
                    f"partition {number}: holders {entry.replicas} must be distinct"
                    f" and include the home {entry.leader}"
                )
        return cls(version, partitions)


def _tie_break(partition: int, entry: EntryId) -> int:
    """Return a hash that orders equally good entries, differently for each partition."""
    return xxhash.xxh3_64_intdigest(f"{partition}/{entry}".encode())


def count_led_partitions(partitions: Sequence[PartitionEntry]) -> Counter[EntryId]:
    """Count the partitions of which each entry is the home."""
    return Counter(entry.leader for entry in partitions)


def count_replicated_partitions(partitions: Sequence[PartitionEntry]) -> Counter[EntryId]:
    """Count the partitions of which each entry is a holder."""
    return Counter(replica for entry in partitions for replica in entry.replicas)


def plan_table(
    table: PartitionTable | None,
    live: Mapping[EntryId, ZoneId],
    partitions: int,
    replicas: int = 3,
    draining: Collection[EntryId] = (),
) -> PartitionTable | None:
    """Return a table in which every home is live, or None if nothing changes.

    Without a table, all partitions are spread evenly over ``live``, which maps each live entry to
    its availability zone. A partition whose home failed is assigned to the live holder that is home
    of the fewest partitions, and keeps its holders, because the new home must read a quorum of
    them. If fewer than a read quorum are live, records may be lost: the new home becomes the only
    holder and ``coverage_epoch`` is raised. Entries in ``draining`` are chosen last.

    No holder is added here, since a new one needs a copy of the records first; ``plan_replicas``
    chooses them.
    """
    if not live:
        return None
    if table is None:
        return PartitionTable(0, _plan_initial(live, partitions, replicas))
    home_counts = count_led_partitions(table.partitions)
    planned = list(table.partitions)
    for number, entry in enumerate(planned):
        if entry.leader not in live:
            planned[number] = changed = _fail_over(number, entry, live, home_counts, draining)
            home_counts[entry.leader] -= 1
            home_counts[changed.leader] += 1
    if tuple(planned) == table.partitions:
        return None
    return PartitionTable(table.version, tuple(planned))


def _plan_initial(
    live: Mapping[EntryId, ZoneId], partitions: int, size: int
) -> tuple[PartitionEntry, ...]:
    home_counts: Counter[EntryId] = Counter()
    holder_counts: Counter[EntryId] = Counter()
    planned = []
    for number in range(partitions):
        leader = min(live, key=lambda e: (home_counts[e], _tie_break(number, e)))
        home_counts[leader] += 1
        first = PartitionEntry(leader, (leader,), Epoch(1), Epoch(0))
        chosen = plan_replicas(number, first, leader, live, holder_counts, size)
        holder_counts.update(chosen)
        planned.append(PartitionEntry(leader, chosen, Epoch(1), Epoch(0)))
    return tuple(planned)


def _fail_over(
    number: int,
    entry: PartitionEntry,
    live: Mapping[EntryId, ZoneId],
    home_counts: Counter[EntryId],
    draining: Collection[EntryId],
) -> PartitionEntry:
    survivors = [replica for replica in entry.replicas if replica in live]

    def order(candidate: EntryId) -> tuple[bool, int, int]:
        return candidate in draining, home_counts[candidate], _tie_break(number, candidate)

    leader = min(survivors or live, key=order)
    epoch = Epoch(entry.epoch + 1)
    if len(survivors) < read_quorum(len(entry.replicas)):
        return PartitionEntry(leader, (leader,), epoch, epoch)
    return PartitionEntry(leader, entry.replicas, epoch, entry.coverage_epoch)


def plan_replicas(
    number: int,
    entry: PartitionEntry,
    leader: EntryId,
    live: Mapping[EntryId, ZoneId],
    holder_counts: Counter[EntryId],
    size: int,
    draining: Collection[EntryId] = (),
) -> tuple[EntryId, ...]:
    """Return up to ``size`` holders that partition ``number`` should have with the given home.

    Live holders that are not draining are kept. Missing ones are chosen from availability zones
    without a holder first, then by the fewest partitions held (``holder_counts``). If none is
    missing, one holder is replaced by an entry that holds at least two partitions fewer, so that
    an entry that joins gets its share; the difference of two makes the rebalancing terminate.
    """
    eligible = [e for e in live if e not in draining]
    kept = [h for h in entry.replicas if h in live and h not in draining and h != leader]
    chosen = [leader, *kept][:size]
    while len(chosen) < size:
        zones = {live.get(e) for e in chosen}
        unused = [e for e in eligible if e not in chosen]
        if not unused:
            break
        chosen.append(
            min(unused, key=lambda e: (live[e] in zones, holder_counts[e], _tie_break(number, e)))
        )
    unused = [e for e in eligible if e not in chosen]
    if tuple(chosen) and set(chosen) == set(entry.replicas) and unused and len(chosen) > 1:
        worst = max(chosen[1:], key=lambda e: (holder_counts[e], _tie_break(number, e)))
        best = min(unused, key=lambda e: (holder_counts[e], _tie_break(number, e)))
        if holder_counts[worst] - holder_counts[best] >= 2:
            chosen[chosen.index(worst)] = best
    if set(chosen) == set(entry.replicas):
        return entry.replicas
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
    home_counts = count_led_partitions(table.partitions)
    home_counts[leader] -= moving
    targets = [e for e in live if e != leader and e not in draining]
    own = [
        Partition(number)
        for number, entry in enumerate(table.partitions)
        if entry.leader == leader and number in movable
    ]
    if not targets or not own:
        return None
    if leader in draining:
        partition = own[0]
        replicas = table.partitions[partition].replicas
        target = min(
            targets, key=lambda e: (e not in replicas, home_counts[e], _tie_break(partition, e))
        )
        return partition, target
    target = min(targets, key=lambda e: (home_counts[e], _tie_break(0, e)))
    if home_counts[leader] - home_counts[target] < 2:
        return None
    own.sort(key=lambda p: (target not in table.partitions[p].replicas, p))
    return own[0], target
