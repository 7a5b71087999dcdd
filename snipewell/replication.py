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
        self._proposed: set[Holders] = set()
        self._versions: dict[ScopedKey, int] = {}
        self._missing: dict[EntryId, dict[ScopedKey, int]] = {}
        self._in_flight: dict[int, tuple[EntryId, list[tuple[ScopedKey, int]]]] = {}

    def targets(self) -> list[EntryId]:
        """Return the other entries to which records are sent."""
        return list(self._missing)

    def follow(
        self, entry: EntryId, known: Iterable[tuple[ScopedKey, int]] = (), anew: bool = False
    ) -> None:
        """Send records to ``entry`` from now on: all but ``known`` ones, all again if ``anew``."""
        if entry == self._entry or (entry in self._missing and not anew):
            return
        missing = dict(self._versions)
        for key, version in known:
            if missing.get(key) == version:
                del missing[key]
        self._missing[entry] = missing
        self._in_flight = {n: sent for n, sent in self._in_flight.items() if sent[0] != entry}

    def unfollow(self, entry: EntryId) -> None:
        """Send nothing more to ``entry``, which is gone or no longer to be a holder."""
        self._missing.pop(entry, None)
        self._in_flight = {n: sent for n, sent in self._in_flight.items() if sent[0] != entry}

    def change(self, key: ScopedKey, version: int) -> None:
        """Note that the record of ``key`` now has ``version``, which nobody has acknowledged."""
        self._versions[key] = version
        for missing in self._missing.values():
            missing[key] = version

    def mark(self, key: ScopedKey, entry: EntryId) -> None:
        """Send the record of ``key`` to ``entry`` once more, since its outcome is known now."""
        if entry in self._missing and key in self._versions:
            self._missing[entry][key] = self._versions[key]
            for number, (receiver, keys) in list(self._in_flight.items()):
                if receiver == entry:
                    kept = [item for item in keys if item[0] != key]
                    self._in_flight[number] = (receiver, kept)

    def forget(self, key: ScopedKey) -> None:
        """Drop a key whose window is over."""
        self._versions.pop(key, None)
        for missing in self._missing.values():
            missing.pop(key, None)

    def sent(self, sequence: int, entry: EntryId, keys: Iterable[ScopedKey]) -> None:
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
        missing = self._missing.get(entry)
        if receiver != entry or missing is None:
            return []
        taken = []
        for key, version in carried:
            if missing.get(key) == version and (keys is None or key in keys):
                del missing[key]
                taken.append(key)
        return taken

    def unsent(self, entry: EntryId, limit: int) -> list[ScopedKey]:
        """Return up to ``limit`` keys that ``entry`` has not acknowledged, the oldest first."""
        keys: list[ScopedKey] = []
        for key in self._missing.get(entry, ()):
            if len(keys) == limit:
                break
            keys.append(key)
        return keys

    def defer(self, entry: EntryId, keys: Iterable[ScopedKey]) -> None:
        """Send ``keys``, which ``entry`` has no room for, after all others."""
        missing = self._missing.get(entry, {})
        for key in keys:
            if key in missing:
                missing[key] = missing.pop(key)

    def is_held(self, key: ScopedKey) -> bool:
        """Return whether a majority of every holder set that may be in force has the record."""
        return all(self._is_held_by(key, holders) for holders in (self._holders, *self._proposed))

    def _is_held_by(self, key: ScopedKey, holders: Holders) -> bool:
        needed = majority(len(holders))
        for holder in holders:
            missing = self._missing.get(holder)
            needed -= holder == self._entry or (missing is not None and key not in missing)
        return needed <= 0

    def is_synced(self, holders: Iterable[EntryId], is_open: Callable[[ScopedKey], bool]) -> bool:
        """Return whether every one of ``holders`` has every record but the ``is_open`` ones.

        Open records are those whose tasks wait for the acknowledgement anyway.
        """
        for holder in holders:
            if holder == self._entry:
                continue
            missing = self._missing.get(holder)
            if missing is None or not all(is_open(key) for key in missing):
                return False
        return True

    def propose(self, holders: Holders) -> None:
        """Require a majority of ``holders`` too, from now until ``decided``."""
        self._proposed.add(holders)

    def decided(self, holders: Holders) -> None:
        """Take ``holders`` as those in force; what was proposed before no longer can be."""
        self._holders = holders
        self._proposed.clear()
