"""Replication state at the leader: which replica has acknowledged which version of each record."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .ids import EntryId, ScopedKey
from .limits import majority

ReplicaSet = tuple[EntryId, ...]

_MAX_IN_FLIGHT = 4_096
"""Limit of one partition's unacknowledged messages; the records of an older one are resent."""


class Replication:
    """Track which of one partition's records each replica has acknowledged.

    While a proposed change of the replicas may or may not have been committed, a record counts as
    held only with a majority of the current replicas and of every proposed set. The keys that a
    replica has not acknowledged are stored per replica, so that a full copy, a lost message and an
    outdated record are handled alike: by sending these keys.
    """

    def __init__(self, entry: EntryId, replicas: ReplicaSet) -> None:
        self._entry = entry
        self._replicas = replicas
        self._proposed_sets: set[ReplicaSet] = set()
        self._versions: dict[ScopedKey, int] = {}
        self._unacknowledged: dict[EntryId, dict[ScopedKey, int]] = {}
        self._in_flight: dict[int, tuple[EntryId, list[tuple[ScopedKey, int]]]] = {}

    def targets(self) -> list[EntryId]:
        """Return the entries to which records are replicated; this entry is not among them."""
        return list(self._unacknowledged)

    def add_target(
        self,
        entry: EntryId,
        acknowledged: Iterable[tuple[ScopedKey, int]] = (),
        resend_all: bool = False,
    ) -> None:
        """Replicate records to ``entry``, beginning with all but the ``acknowledged`` ones.

        An entry that is a target already is unchanged, unless ``resend_all`` is set.
        """
        if entry == self._entry or (entry in self._unacknowledged and not resend_all):
            return
        unacknowledged = dict(self._versions)
        for key, version in acknowledged:
            if unacknowledged.get(key) == version:
                del unacknowledged[key]
        self._unacknowledged[entry] = unacknowledged
        self._in_flight = {n: sent for n, sent in self._in_flight.items() if sent[0] != entry}

    def remove_target(self, entry: EntryId) -> None:
        """Stop replicating to ``entry``, which is gone or no longer a replica."""
        self._unacknowledged.pop(entry, None)
        self._in_flight = {n: sent for n, sent in self._in_flight.items() if sent[0] != entry}

    def set_version(self, key: ScopedKey, version: int) -> None:
        """Set the version of the record of ``key``, which no replica has acknowledged yet.

        A key that a replica has not acknowledged keeps its position among the unacknowledged ones.
        """
        self._versions[key] = version
        for unacknowledged in self._unacknowledged.values():
            unacknowledged[key] = version

    def mark_unacknowledged(self, key: ScopedKey, entry: EntryId) -> None:
        """Mark the record of ``key`` as unacknowledged by ``entry``, as it has an outcome now.

        It is sent again with the outcome. Acknowledgements of messages already sent to ``entry`` no
        longer cover the record.
        """
        if entry in self._unacknowledged and key in self._versions:
            self._unacknowledged[entry][key] = self._versions[key]
            for number, (receiver, keys) in list(self._in_flight.items()):
                if receiver == entry:
                    kept = [item for item in keys if item[0] != key]
                    self._in_flight[number] = (receiver, kept)

    def remove_key(self, key: ScopedKey) -> None:
        """Remove a key whose retention period has ended."""
        self._versions.pop(key, None)
        for unacknowledged in self._unacknowledged.values():
            unacknowledged.pop(key, None)

    def record_sent(self, sequence: int, entry: EntryId, keys: Iterable[ScopedKey]) -> None:
        """Record which versions message ``sequence`` to ``entry`` carries."""
        self._in_flight[sequence] = (entry, [(key, self._versions[key]) for key in keys])
        if len(self._in_flight) > _MAX_IN_FLIGHT:
            del self._in_flight[next(iter(self._in_flight))]

    def acknowledge(
        self, sequence: int, entry: EntryId, keys: set[ScopedKey] | None
    ) -> list[ScopedKey]:
        """Process the acknowledgement of message ``sequence``.

        Return the keys whose records ``entry`` has newly acknowledged. ``keys`` restricts the
        acknowledgement to the records that a replica at its limits could store; None stands for all
        records of the message.
        """
        receiver, carried = self._in_flight.pop(sequence, (None, []))
        unacknowledged = self._unacknowledged.get(entry)
        if receiver != entry or unacknowledged is None:
            return []
        newly_acknowledged = []
        for key, version in carried:
            if unacknowledged.get(key) == version and (keys is None or key in keys):
                del unacknowledged[key]
                newly_acknowledged.append(key)
        return newly_acknowledged

    def unacknowledged_keys(self, entry: EntryId, limit: int) -> list[ScopedKey]:
        """Return up to ``limit`` keys that ``entry`` has not acknowledged.

        They are in the order in which they became unacknowledged; deferred keys come last.
        """
        keys: list[ScopedKey] = []
        for key in self._unacknowledged.get(entry, ()):
            if len(keys) == limit:
                break
            keys.append(key)
        return keys

    def defer(self, entry: EntryId, keys: Iterable[ScopedKey]) -> None:
        """Move ``keys``, which ``entry`` refused at its limits, behind its other pending keys."""
        unacknowledged = self._unacknowledged.get(entry, {})
        for key in keys:
            if key in unacknowledged:
                unacknowledged[key] = unacknowledged.pop(key)

    def is_held(self, key: ScopedKey) -> bool:
        """Return whether a majority of every replica set that may be in force holds the record."""
        return all(
            self._is_held_by(key, replicas) for replicas in (self._replicas, *self._proposed_sets)
        )

    def _is_held_by(self, key: ScopedKey, replicas: ReplicaSet) -> bool:
        needed = majority(len(replicas))
        for replica in replicas:
            unacknowledged = self._unacknowledged.get(replica)
            needed -= replica == self._entry or (
                unacknowledged is not None and key not in unacknowledged
            )
        return needed <= 0

    def is_synced(
        self, replicas: Iterable[EntryId], is_awaiting_replicas: Callable[[ScopedKey], bool]
    ) -> bool:
        """Return whether all ``replicas`` have acknowledged all records but the exempt ones.

        Records for which ``is_awaiting_replicas`` is true are exempt, because their tasks wait
        for the acknowledgement anyway.
        """
        for replica in replicas:
            if replica == self._entry:
                continue
            unacknowledged = self._unacknowledged.get(replica)
            if unacknowledged is None or not all(
                is_awaiting_replicas(key) for key in unacknowledged
            ):
                return False
        return True

    def add_proposed(self, replicas: ReplicaSet) -> None:
        """Require a majority of ``replicas`` as well, until ``set_replicas`` is called."""
        self._proposed_sets.add(replicas)

    def set_replicas(self, replicas: ReplicaSet) -> None:
        """Set the replicas in force; no earlier proposal can take effect any more."""
        self._replicas = replicas
        self._proposed_sets.clear()
