"""The home's side of holding: which holder has acknowledged which version of which record."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .ids import EntryId, ScopedKey
from .limits import majority

Holders = tuple[EntryId, ...]

_MAX_IN_FLIGHT = 4_096
"""Messages whose acknowledgement is recognized; the records of an older one are sent again."""


class Replication:
    """Acknowledgements of one partition's records by its holders.

    While a change of the holders has been proposed and its fate is unknown, a record counts as
    held only with a majority of the present holders and of all that were proposed. For each
    holder the class keeps what it has not acknowledged, so that a full copy, a lost message and
    an outdated record are all the same case: keys to be sent.
    """

    def __init__(self, entry: EntryId, holders: Holders) -> None:
        self._entry = entry
        self._holders = holders
        self._proposed_sets: set[Holders] = set()
        self._versions: dict[ScopedKey, int] = {}
        self._unacknowledged: dict[EntryId, dict[ScopedKey, int]] = {}
        self._in_flight: dict[int, tuple[EntryId, list[tuple[ScopedKey, int]]]] = {}

    def targets(self) -> list[EntryId]:
        """Return the other entries to which records are sent."""
        return list(self._unacknowledged)

    def add_target(
        self,
        entry: EntryId,
        acknowledged: Iterable[tuple[ScopedKey, int]] = (),
        resend_all: bool = False,
    ) -> None:
        """Send records to ``entry`` from now on: all but ``known`` ones, all again if ``anew``."""
        if entry == self._entry or (entry in self._unacknowledged and not resend_all):
            return
        unacknowledged = dict(self._versions)
        for key, version in acknowledged:
            if unacknowledged.get(key) == version:
                del unacknowledged[key]
        self._unacknowledged[entry] = unacknowledged
        self._in_flight = {n: sent for n, sent in self._in_flight.items() if sent[0] != entry}

    def remove_target(self, entry: EntryId) -> None:
        """Send nothing more to ``entry``, which is gone or no longer to be a holder."""
        self._unacknowledged.pop(entry, None)
        self._in_flight = {n: sent for n, sent in self._in_flight.items() if sent[0] != entry}

    def set_version(self, key: ScopedKey, version: int) -> None:
        """Note that the record of ``key`` now has ``version``, which nobody has acknowledged."""
        self._versions[key] = version
        for unacknowledged in self._unacknowledged.values():
            unacknowledged[key] = version

    def resend(self, key: ScopedKey, entry: EntryId) -> None:
        """Send the record of ``key`` to ``entry`` once more, since its outcome is known now."""
        if entry in self._unacknowledged and key in self._versions:
            self._unacknowledged[entry][key] = self._versions[key]
            for number, (receiver, keys) in list(self._in_flight.items()):
                if receiver == entry:
                    kept = [item for item in keys if item[0] != key]
                    self._in_flight[number] = (receiver, kept)

    def remove_key(self, key: ScopedKey) -> None:
        """Drop a key whose window is over."""
        self._versions.pop(key, None)
        for unacknowledged in self._unacknowledged.values():
            unacknowledged.pop(key, None)

    def record_sent(self, sequence: int, entry: EntryId, keys: Iterable[ScopedKey]) -> None:
        """Note which versions a message to ``entry`` carries."""
        self._in_flight[sequence] = (entry, [(key, self._versions[key]) for key in keys])
        if len(self._in_flight) > _MAX_IN_FLIGHT:
            del self._in_flight[next(iter(self._in_flight))]

    def acknowledge(
        self, sequence: int, entry: EntryId, keys: set[ScopedKey] | None
    ) -> list[ScopedKey]:
        """Take the answer to message ``sequence``; return the keys newly acknowledged.

        ``keys`` restricts it to what a holder at its bound could take; None means all.
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
        """Return up to ``limit`` keys that ``entry`` has not acknowledged, the oldest first."""
        keys: list[ScopedKey] = []
        for key in self._unacknowledged.get(entry, ()):
            if len(keys) == limit:
                break
            keys.append(key)
        return keys

    def defer(self, entry: EntryId, keys: Iterable[ScopedKey]) -> None:
        """Send ``keys``, which ``entry`` has no room for, after all others."""
        unacknowledged = self._unacknowledged.get(entry, {})
        for key in keys:
            if key in unacknowledged:
                unacknowledged[key] = unacknowledged.pop(key)

    def is_held(self, key: ScopedKey) -> bool:
        """Return whether a majority of every holder set that may be in force has the record."""
        return all(
            self._is_held_by(key, holders) for holders in (self._holders, *self._proposed_sets)
        )

    def _is_held_by(self, key: ScopedKey, holders: Holders) -> bool:
        needed = majority(len(holders))
        for holder in holders:
            unacknowledged = self._unacknowledged.get(holder)
            needed -= holder == self._entry or (
                unacknowledged is not None and key not in unacknowledged
            )
        return needed <= 0

    def is_synced(
        self, holders: Iterable[EntryId], is_awaiting_holders: Callable[[ScopedKey], bool]
    ) -> bool:
        """Return whether every one of ``holders`` has every record but the ``is_open`` ones.

        Open records are those whose tasks wait for the acknowledgement anyway.
        """
        for holder in holders:
            if holder == self._entry:
                continue
            unacknowledged = self._unacknowledged.get(holder)
            if unacknowledged is None or not all(
                is_awaiting_holders(key) for key in unacknowledged
            ):
                return False
        return True

    def add_proposed(self, holders: Holders) -> None:
        """Require a majority of ``holders`` too, from now until ``decided``."""
        self._proposed_sets.add(holders)

    def set_holders(self, holders: Holders) -> None:
        """Take ``holders`` as those in force; what was proposed before no longer can be."""
        self._holders = holders
        self._proposed_sets.clear()
