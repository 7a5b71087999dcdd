"""Submission records that this entry stores as a replica of partitions with other leaders."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from msgspec.structs import replace

from .clock import Clock
from .ids import EntryId, Epoch, Partition, ScopedKey
from .limits import PartitionLimits, Protections
from .message import (
    Copied,
    Copy,
    Fetch,
    Fetched,
    Held,
    Hold,
    HoldRefused,
    KeyRecord,
    PeerMessage,
    Release,
)
from .outcome import Complete, NotRun


@dataclass(slots=True)
class _HeldRecord:
    record: KeyRecord
    received_at_ms: float
    drop_at_ms: float
    size: int


def record_size(record: KeyRecord) -> int:
    """Return the approximate size of ``record`` in bytes, in memory and in a message.

    The estimate is 64 bytes for a record and 32 bytes for each candidate, plus key and results.
    """
    size = 64 + len(record.key) + 32 * len(record.candidates)
    if isinstance(record.outcome, Complete):
        size += sum(map(len, record.outcome.results))
    return size


def merge_records(old: KeyRecord, new: KeyRecord) -> KeyRecord:
    """Merge two records of one key; the result does not depend on the order of arrival.

    The record that is newer by (epoch, version) wins; at the same version, an ended one wins over
    a running one. The candidates of both are retained, because agents of either set may have been
    granted tasks.
    """

    def order(record: KeyRecord) -> tuple[int, int, bool, bool]:
        return record.epoch, record.version, record.age_ms >= 0, record.outcome is not None

    newest = max(old, new, key=order)
    if old.candidates == new.candidates:
        return newest
    known = {(c.agent, c.incarnation): c for c in (*old.candidates, *new.candidates)}
    if len(known) == len(newest.candidates):
        return newest
    return replace(newest, candidates=[known[name] for name in sorted(known)])


def age_record(record: KeyRecord, elapsed_ms: float) -> KeyRecord:
    """Return ``record`` with its age and remaining time adjusted by ``elapsed_ms``."""
    return replace(
        record,
        age_ms=record.age_ms + elapsed_ms if record.age_ms >= 0 else -1,
        deadline_ms=max(record.deadline_ms - elapsed_ms, 0),
    )


def split_records(records: Iterable[KeyRecord], limits: PartitionLimits) -> list[list[KeyRecord]]:
    """Split ``records`` into batches bounded in count and bytes; return at least one batch."""
    parts: list[list[KeyRecord]] = [[]]
    size = 0
    for record in records:
        length = record_size(record)
        if parts[-1] and (
            len(parts[-1]) >= limits.copy_records or size + length > limits.copy_bytes
        ):
            parts.append([])
            size = 0
        parts[-1].append(record)
        size += length
    return parts


class ReplicaRecords:
    """Store the records of partitions with other leaders and each partition's newest epoch.

    A record is dropped only after its retention period. The period begins when the submission
    ends, or at its deadline if no leader reported the end.
    """

    def __init__(
        self, entry: EntryId, clock: Clock, limits: PartitionLimits, protections: Protections
    ) -> None:
        self._entry = entry
        self._clock = clock
        self._limits = limits
        self._protections = protections
        self._records: dict[Partition, dict[ScopedKey, _HeldRecord]] = {}
        self._epochs: dict[Partition, Epoch] = {}
        self._expiry: list[tuple[float, Partition, ScopedKey]] = []
        self._count = 0
        self._bytes = 0

    def __len__(self) -> int:
        return self._count

    def epoch_of(self, partition: Partition) -> Epoch:
        """Return the newest epoch seen of ``partition``, or 0 before the first."""
        return self._epochs.get(partition, Epoch(0))

    def raise_epoch(self, partition: Partition, epoch: Epoch) -> None:
        """Reject messages of ``partition`` with an epoch older than ``epoch`` from now on."""
        self._epochs[partition] = max(self.epoch_of(partition), epoch)

    def _is_stale(self, partition: Partition, epoch: Epoch) -> bool:
        return self._protections.replica_epoch and epoch < self.epoch_of(partition)

    def on_hold(self, message: Hold | Copy) -> list[PeerMessage]:
        """Store the records of a message; return the acknowledgement or refusals to send.

        A message of an outdated epoch is refused as a whole. At a limit of count or size, single
        new records are refused.
        """
        partition, epoch = message.partition, message.epoch
        keys = [record.key for record in message.records]
        if self._is_stale(partition, epoch):
            newest = self.epoch_of(partition)
            return [HoldRefused(partition, newest, self._entry, keys, False)]
        self.raise_epoch(partition, epoch)
        refused = [record.key for record in message.records if not self.put(partition, record)]
        answers: list[PeerMessage] = []
        if refused:
            answers.append(HoldRefused(partition, epoch, self._entry, refused, True))
        if refused or isinstance(message, Hold):
            accepted = [key for key in keys if key not in refused] if refused else keys
            answers.append(Held(partition, epoch, self._entry, accepted, message.sequence))
        else:
            answers.append(Copied(partition, epoch, self._entry, message.sequence))
        return answers

    def put(self, partition: Partition, record: KeyRecord) -> bool:
        """Store ``record``, merged with the stored record of its key; return False at a limit.

        An update of a stored record is always accepted.
        """
        now_ms = self._clock.now_ms()
        records = self._records.setdefault(partition, {})
        held = records.get(record.key)
        if held is not None:
            record = merge_records(age_record(held.record, now_ms - held.received_at_ms), record)
        size = record_size(record)
        growth = size - (held.size if held is not None else 0)
        if not self._has_room(record, held is None, growth):
            return False
        drop_at_ms = now_ms + self._retention_left_ms(record)
        self._count += held is None
        self._bytes += growth
        records[record.key] = _HeldRecord(record, now_ms, drop_at_ms, size)
        heapq.heappush(self._expiry, (drop_at_ms, partition, record.key))
        return True

    def _has_room(self, record: KeyRecord, new: bool, growth: int) -> bool:
        reserve = self._limits.max_refusals if isinstance(record.outcome, NotRun) else 0
        # Refusals may exceed ``max_bytes`` by 256 bytes for each of ``max_refusals``.
        within = self._bytes + growth <= self._limits.max_bytes + 256 * reserve
        return not new or (within and self._count < self._limits.max_records + reserve)

    def _retention_left_ms(self, record: KeyRecord) -> float:
        if record.age_ms < 0:
            return record.deadline_ms + self._limits.window_ms
        return self._limits.retention_ms(record.outcome) - record.age_ms

    def on_release(self, message: Release) -> None:
        """Start the retention period of keys that completed."""
        now_ms = self._clock.now_ms()
        if self._is_stale(message.partition, message.epoch):
            return
        records = self._records.get(message.partition, {})
        for key in message.keys:
            held = records.get(key)
            if held is None or held.record.age_ms >= 0:
                continue
            held.record = replace(age_record(held.record, now_ms - held.received_at_ms), age_ms=0)
            held.received_at_ms = now_ms
            held.drop_at_ms = now_ms + self._limits.window_ms
            heapq.heappush(self._expiry, (held.drop_at_ms, message.partition, key))

    def on_fetch(self, message: Fetch) -> list[PeerMessage]:
        """Raise the epoch and return all records of the partition in numbered parts."""
        partition, epoch = message.partition, message.epoch
        if self._is_stale(partition, epoch):
            return [HoldRefused(partition, self.epoch_of(partition), self._entry, [], False)]
        self.raise_epoch(partition, epoch)
        parts = split_records(self.records_of(partition), self._limits)
        last = len(parts) - 1
        return [
            Fetched(
                partition, epoch, self._entry, part, number < last, True, message.sequence, number
            )
            for number, part in enumerate(parts)
        ]

    def records_of(self, partition: Partition) -> list[KeyRecord]:
        """Return the records of ``partition``, with ages as of now."""
        now_ms = self._clock.now_ms()
        held = self._records.get(partition, {}).values()
        return [age_record(item.record, now_ms - item.received_at_ms) for item in held]

    def remove_partition(self, partition: Partition) -> list[KeyRecord]:
        """Remove and return the records of ``partition``, of which this entry has become leader."""
        records = self.records_of(partition)
        held = self._records.pop(partition, {})
        self._count -= len(held)
        self._bytes -= sum(item.size for item in held.values())
        return records

    def tick(self) -> None:
        """Drop records whose retention period has ended."""
        now_ms = self._clock.now_ms()
        while self._expiry and self._expiry[0][0] <= now_ms:
            at_ms, partition, key = heapq.heappop(self._expiry)
            held = self._records.get(partition, {}).get(key)
            if held is not None and held.drop_at_ms == at_ms:
                del self._records[partition][key]
                self._count -= 1
                self._bytes -= held.size
