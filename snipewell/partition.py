"""The partition table: which entry is the home of each partition, and who holds its records."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence

import msgspec
import xxhash

from .ids import EntryId, Epoch, Partition, ZoneId
from .limits import read_quorum


class PartitionEntry(msgspec.Struct, frozen=True):
    """One partition: its home, its holders (the home among them), and its epochs.

    ``coverage_epoch`` is the first epoch since which no record was lost; 0: none ever was.
    """

    home: EntryId
    holders: tuple[EntryId, ...]
    epoch: Epoch
    coverage_epoch: Epoch


class PartitionTable(msgspec.Struct, frozen=True):
    """All partitions, as kept in the store under ``cluster/partitions``.

    ``version`` is the store's revision of the value, 0 before the first write; it is set on
    reading and is not part of what is compared.
    """

    version: int
    partitions: tuple[PartitionEntry, ...]

    def to_json(self) -> bytes:
        """Return the table as the JSON value that the store keeps, without ``version``."""
        return msgspec.json.encode(self.partitions)

    @classmethod
    def from_json(cls, value: bytes, version: int) -> PartitionTable:
        """Return the table in ``value``; raise ValueError if it is malformed or inconsistent."""
        try:
            partitions = msgspec.json.decode(value, type=tuple[PartitionEntry, ...])
        except msgspec.MsgspecError as error:
            raise ValueError(f"partition table: {error}") from error
        for number, entry in enumerate(partitions):
            if entry.home not in entry.holders or len(set(entry.holders)) < len(entry.holders):
                raise ValueError(f"partition {number}: holders {entry.holders}, home {entry.home}")
        return cls(version, partitions)


def _rank(partition: int, entry: EntryId) -> int:
    return xxhash.xxh3_64_intdigest(f"{partition}/{entry}".encode())


def count_homes(partitions: Sequence[PartitionEntry]) -> Counter[EntryId]:
    """Return of how many partitions each entry is the home."""
    return Counter(entry.home for entry in partitions)


def count_holders(partitions: Sequence[PartitionEntry]) -> Counter[EntryId]:
    """Return of how many partitions each entry is a holder."""
    return Counter(holder for entry in partitions for holder in entry.holders)


def plan_table(
    table: PartitionTable | None,
    live: Mapping[EntryId, ZoneId],
    partitions: int,
    holders: int = 3,
    draining: Collection[EntryId] = (),
) -> PartitionTable | None:
    """Return the table with every partition's home among ``live``, or None if nothing changes.

    Without a table, all partitions are spread evenly. A partition whose home is gone gets as its
    home the live holder with the fewest homes, and keeps its holders, because the new home must
    read a quorum of them. If too few of them live, records may be lost: the new home is the only
    holder and ``coverage_epoch`` rises. Changes of holders need copies first; ``plan_holders``
    names them.
    """
    if not live:
        return None
    if table is None:
        return PartitionTable(0, _plan_first(live, partitions, holders))
    homes = count_homes(table.partitions)
    planned = list(table.partitions)
    for number, entry in enumerate(planned):
        if entry.home not in live:
            planned[number] = changed = _take_over(number, entry, live, homes, draining)
            homes[entry.home] -= 1
            homes[changed.home] += 1
    if tuple(planned) == table.partitions:
        return None
    return PartitionTable(table.version, tuple(planned))


def _plan_first(
    live: Mapping[EntryId, ZoneId], partitions: int, size: int
) -> tuple[PartitionEntry, ...]:
    homes: Counter[EntryId] = Counter()
    roles: Counter[EntryId] = Counter()
    planned = []
    for number in range(partitions):
        home = min(live, key=lambda e: (homes[e], _rank(number, e)))
        homes[home] += 1
        first = PartitionEntry(home, (home,), Epoch(1), Epoch(0))
        chosen = plan_holders(number, first, home, live, roles, size)
        roles.update(chosen)
        planned.append(PartitionEntry(home, chosen, Epoch(1), Epoch(0)))
    return tuple(planned)


def _take_over(
    number: int,
    entry: PartitionEntry,
    live: Mapping[EntryId, ZoneId],
    homes: Counter[EntryId],
    draining: Collection[EntryId],
) -> PartitionEntry:
    survivors = [holder for holder in entry.holders if holder in live]

    def order(candidate: EntryId) -> tuple[bool, int, int]:
        return candidate in draining, homes[candidate], _rank(number, candidate)

    home = min(survivors or live, key=order)
    epoch = Epoch(entry.epoch + 1)
    if len(survivors) < read_quorum(len(entry.holders)):
        return PartitionEntry(home, (home,), epoch, epoch)
    return PartitionEntry(home, entry.holders, epoch, entry.coverage_epoch)


def plan_holders(
    number: int,
    entry: PartitionEntry,
    home: EntryId,
    live: Mapping[EntryId, ZoneId],
    roles: Counter[EntryId],
    size: int,
    draining: Collection[EntryId] = (),
) -> tuple[EntryId, ...]:
    """Return the holders that partition ``number`` should have under ``home``.

    Live holders stay. Places are filled with entries of other zones first, then with those that
    hold the fewest partitions (``roles``). One holder is exchanged for an entry that holds at
    least two partitions less, so that an entry that joins gets its share and movement ends.
    """
    usable = [e for e in live if e not in draining]
    kept = [h for h in entry.holders if h in live and h not in draining and h != home]
    chosen = [home, *kept][:size]
    while len(chosen) < size:
        zones = {live.get(e) for e in chosen}
        spare = [e for e in usable if e not in chosen]
        if not spare:
            break
        chosen.append(min(spare, key=lambda e: (live[e] in zones, roles[e], _rank(number, e))))
    spare = [e for e in usable if e not in chosen]
    if tuple(chosen) and set(chosen) == set(entry.holders) and spare and len(chosen) > 1:
        worst = max(chosen[1:], key=lambda e: (roles[e], _rank(number, e)))
        best = min(spare, key=lambda e: (roles[e], _rank(number, e)))
        if roles[worst] - roles[best] >= 2:
            chosen[chosen.index(worst)] = best
    if set(chosen) == set(entry.holders):
        return entry.holders
    return tuple(chosen)


def plan_move(
    table: PartitionTable,
    home: EntryId,
    live: Mapping[EntryId, ZoneId],
    draining: Collection[EntryId],
    movable: Collection[Partition],
    moving: int,
) -> tuple[Partition, EntryId] | None:
    """Return a partition that ``home`` should hand over, and to whom, or None if it has its share.

    Only the partitions ``movable`` are considered; ``moving`` is how many others are on their way.
    An entry that drains hands over all. Otherwise a partition moves only to an entry that has at
    least two fewer, and preferably to one that already holds its records.
    """
    homes = count_homes(table.partitions)
    homes[home] -= moving
    targets = [e for e in live if e != home and e not in draining]
    own = [
        Partition(number)
        for number, entry in enumerate(table.partitions)
        if entry.home == home and number in movable
    ]
    if not targets or not own:
        return None
    if home in draining:
        partition = own[0]
        holders = table.partitions[partition].holders
        target = min(targets, key=lambda e: (e not in holders, homes[e], _rank(partition, e)))
        return partition, target
    target = min(targets, key=lambda e: (homes[e], _rank(0, e)))
    if homes[home] - homes[target] < 2:
        return None
    own.sort(key=lambda p: (target not in table.partitions[p].holders, p))
    return own[0], target
