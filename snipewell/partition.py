"""The partition table: which entry is the home of each partition, and who holds its records."""

from __future__ import annotations

import msgspec

from .ids import EntryId, Epoch


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
