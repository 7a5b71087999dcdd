"""Discovery of the job entries by the job agents: entries register in the store under a lease.

Agents connect to some of the registered entries (`subset`). An entry whose registration lapsed, for
instance during an outage of the store, is retained for a while, because its agents may still be
connected to it.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from .address import split_address
from .decoding import decode_json
from .errors import MessageError
from .store import Changes, Listing

JOB_ENTRIES_PREFIX = "snipewell/entries/"
LEASE_MS = 5_000
"""Time to live of a registration, long enough for several renewals to fail."""
RENEW_INTERVAL_MS = 1_500.0
"""Interval between renewals, of which three fit into ``LEASE_MS``; the platform accounts for a
renewal as a tenth of a read."""
ABSENT_RETENTION_MS = 4_000.0
"""How long an entry is retained without a registration. Registrations that lapsed during an outage
of the store are renewed within two seconds after it."""


class EntryAddress(msgspec.Struct, frozen=True):
    """An entry's registration: its name, and the ``ip:port`` where agents connect.

    ``zone`` is empty in a registration that an earlier version wrote. ``wide`` asks agents beyond
    those of its subsets for sessions (`reach`).
    """

    entry: str
    address: str
    incarnation: str
    zone: str = ""
    wide: bool = False


def encode_address(address: EntryAddress) -> bytes:
    """Encode a registration as the value that is stored."""
    return msgspec.json.encode(address)


@dataclass(slots=True)
class _Registration:
    address: EntryAddress
    absent_since_ms: float | None = None


class Directory:
    """The entries to which an agent may connect."""

    def __init__(self) -> None:
        self._registrations: dict[str, _Registration] = {}
        self.unreadable: list[str] = []
        """Keys of the registrations in the last update that could not be decoded."""

    def apply(self, update: Listing | Changes, now_ms: float) -> None:
        """Apply a listing of all registrations, or changes to them."""
        self.unreadable = []
        if isinstance(update, Listing):
            present = {key for key, value in update.values.items() if self._add(key, value.value)}
            for key in self._registrations.keys() - present:
                self._mark_absent(key, now_ms)
            return
        for change in update.changes:
            if change.deleted:
                self._mark_absent(change.key, now_ms)
            else:
                self._add(change.key, change.value)

    def _add(self, key: str, value: bytes) -> bool:
        try:
            address = decode_json(value, EntryAddress)
            split_address(address.address)
        except (MessageError, ValueError):
            self.unreadable.append(key)
            return False
        self._registrations[key] = _Registration(address)
        return True

    def _mark_absent(self, key: str, now_ms: float) -> None:
        registration = self._registrations.get(key)
        if registration is not None and registration.absent_since_ms is None:
            registration.absent_since_ms = now_ms

    def entries(self, now_ms: float) -> dict[str, EntryAddress]:
        """Return the known entries, by name; remove those absent for too long."""
        for key, registration in list(self._registrations.items()):
            absent = registration.absent_since_ms
            if absent is not None and now_ms - absent >= ABSENT_RETENTION_MS:
                del self._registrations[key]
        return {
            registration.address.entry: registration.address
            for registration in self._registrations.values()
        }
