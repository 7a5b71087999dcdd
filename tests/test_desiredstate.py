"""Tests of desired state, entry directory, registration and log buffer.

They guard against desired state that reverts, and against entries that are lost with the store.
"""

from __future__ import annotations

import os
from random import Random

import curio
import pytest

from snipewell.clock import ManualClock
from snipewell.desiredstate import CatalogError, DesiredState, OperatorKeys
from snipewell.directory import (
    ABSENT_RETENTION_MS,
    JOB_ENTRIES_PREFIX,
    Directory,
    EntryAddress,
    encode_address,
)
from snipewell.ids import Revision
from snipewell.job import Catalog
from snipewell.log import Log
from snipewell.logbuffer import LogBuffer
from snipewell.store import Change, Changes, Listing, StoreUnreachableError, Value
from snipewell.storetask import Registration


def decode(value: bytes, revision: Revision) -> Catalog:
    if value == b"bad":
        raise CatalogError("expected a catalog")
    return Catalog(revision, value.decode(), ())


OPERATOR_KEYS = OperatorKeys(
    "op/", "op/config", decode, lambda key: key[5:] if key.startswith("op/z/") else ""
)


def listing(revision: int, **values: tuple[int, bytes]) -> Listing:
    items = {
        f"op/{name.replace('__', '/')}": Value(Revision(at), value)
        for name, (at, value) in values.items()
    }
    return Listing(0.0, Revision(revision), items)


def changes(revision: int, *updates: tuple[str, bytes, bool]) -> Changes:
    found = [Change(key, Revision(revision), value, deleted) for key, value, deleted in updates]
    return Changes(0.0, Revision(revision), found)


def test_a_listing_puts_catalog_and_zones_into_force() -> None:
    desired = DesiredState(OPERATOR_KEYS)
    assert desired.apply(listing(9, config=(5, b"v1"), z__patan=(7, b"{}")))
    assert desired.catalog is not None
    assert (desired.catalog.version, desired.zones_out) == ("v1", frozenset({"patan"}))


def test_a_listing_with_a_lower_revision_is_ignored() -> None:
    """Guards against a lagging store or an overtaken answer returning a zone to service."""
    desired = DesiredState(OPERATOR_KEYS)
    desired.apply(listing(9, config=(8, b"new"), z__patan=(9, b"{}")))
    assert not desired.apply(listing(6, config=(5, b"old")))
    assert desired.zones_out == {"patan"}
    assert desired.catalog is not None
    assert desired.catalog.version == "new"


def test_a_catalog_never_reverts_even_in_a_newer_listing() -> None:
    desired = DesiredState(OPERATOR_KEYS)
    desired.apply(listing(9, config=(8, b"new")))
    desired.apply(listing(12, config=(5, b"old")))
    assert desired.catalog is not None
    assert desired.catalog.version == "new"


def test_changes_take_zones_out_and_back() -> None:
    desired = DesiredState(OPERATOR_KEYS)
    desired.apply(changes(3, ("op/z/a", b"{}", False), ("op/z/b", b"{}", False)))
    desired.apply(changes(4, ("op/z/a", b"", True)))
    assert desired.zones_out == {"b"}


def test_an_unreadable_catalog_leaves_the_last_in_force_and_is_reported() -> None:
    desired = DesiredState(OPERATOR_KEYS)
    desired.apply(listing(9, config=(8, b"good")))
    assert desired.apply(changes(10, ("op/config", b"bad", False)))
    assert desired.catalog is not None
    assert desired.catalog.version == "good"
    assert "revision 10" in desired.error


def entry(name: str, address: str = "127.0.0.1:1") -> bytes:
    return encode_address(EntryAddress(name, address, "life"))


def entries(**values: bytes) -> Listing:
    items = {JOB_ENTRIES_PREFIX + name: Value(Revision(1), value) for name, value in values.items()}
    return Listing(0.0, Revision(1), items)


def test_an_entry_that_lapsed_in_a_store_outage_is_kept_for_a_grace_period() -> None:
    directory = Directory()
    directory.apply(entries(e1=entry("e1")), 0.0)
    directory.apply(entries(), 1_000.0)
    assert list(directory.entries(1_000.0 + ABSENT_RETENTION_MS - 1)) == ["e1"]
    assert directory.entries(1_000.0 + ABSENT_RETENTION_MS) == {}


def test_an_entry_that_returns_at_another_address_is_used_there() -> None:
    directory = Directory()
    directory.apply(entries(e1=entry("e1")), 0.0)
    directory.apply(entries(), 1_000.0)
    directory.apply(entries(e1=entry("e1", "127.0.0.1:2")), 2_000.0)
    assert directory.entries(60_000.0)["e1"].address == "127.0.0.1:2"


def test_an_unreadable_registration_by_another_writer_hides_no_other() -> None:
    directory = Directory()
    directory.apply(entries(e1=entry("e1"), bad=b"\xff{"), 0.0)
    assert list(directory.entries(0.0)) == ["e1"]
    assert directory.unreadable == [JOB_ENTRIES_PREFIX + "bad"]


def test_a_copy_of_a_registration_leaves_the_address_of_the_entry() -> None:
    """Guards against agents that leave an entry for the address that another writer names."""
    directory = Directory()
    directory.apply(entries(e1=entry("e1"), e2=entry("e1", "127.0.0.1:2")), 0.0)
    assert directory.entries(0.0)["e1"].address == "127.0.0.1:1"


class FakeStore:
    def __init__(self) -> None:
        self.down = False
        self.leases = 0
        self.written: list[str] = []
        self.lease_is_valid = True

    def _check(self) -> None:
        if self.down:
            raise StoreUnreachableError("store", "down")

    async def lease(self, ttl_ms: int) -> str:
        self._check()
        self.leases += 1
        return str(self.leases)

    async def renew(self, lease: str) -> bool:
        self._check()
        return self.lease_is_valid

    async def end_lease(self, lease: str) -> None:
        self._check()

    async def put(self, key: str, value: bytes, lease: str) -> bool:
        self._check()
        self.written.append(key)
        return True

    async def list(self, prefix: str) -> Listing:
        raise NotImplementedError

    async def watch(self, prefix: str, after: Revision, wait_ms: float) -> Changes:
        raise NotImplementedError


def registration(store: FakeStore) -> Registration:
    address = EntryAddress("e1", "127.0.0.1:1", "life")
    return Registration(store, address, ManualClock(), Log(), Random(1))


def test_a_registration_is_renewed_and_written_again_when_its_lease_has_ended() -> None:
    store = FakeStore()
    own_registration = registration(store)
    curio.run(own_registration._renew_or_register)
    curio.run(own_registration._renew_or_register)
    assert len(store.written) == 1
    store.lease_is_valid = False
    curio.run(own_registration._renew_or_register)
    assert (len(store.written), store.leases) == (2, 2)


def test_a_registration_deleted_under_its_lease_is_written_again() -> None:
    """Guards against a store that deletes keys while renewals of the lease still succeed."""
    store = FakeStore()
    own_registration = registration(store)
    curio.run(own_registration._renew_or_register)
    curio.run(own_registration.on_own_key, entries())
    curio.run(own_registration._renew_or_register)
    assert len(store.written) == 2


def test_withdrawal_while_the_store_is_down_raises_no_error() -> None:
    store = FakeStore()
    own_registration = registration(store)
    curio.run(own_registration._renew_or_register)
    store.down = True
    curio.run(own_registration.withdraw)


def test_log_lines_beyond_the_buffer_are_dropped_and_counted() -> None:
    """Guards against a stalled reader that blocks the process or lets its memory grow."""
    reading, writing = os.pipe()
    try:
        buffer = LogBuffer(writing, max_bytes=20_000)
        for number in range(3_000):
            buffer.add({"message": "x" * 100, "number": number})
            buffer.flush()
        assert buffer.dropped > 0
        read = b""
        for _ in range(200):
            read += os.read(reading, 65_536)
            buffer.flush()
            if b"lines dropped" in read:
                break
        assert b"lines dropped" in read
    finally:
        os.close(reading)
        os.close(writing)


def test_a_log_discards_its_lines_when_the_reader_is_gone(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(fileno: int, data: bytes) -> int:
        raise BrokenPipeError

    reading, writing = os.pipe()
    buffer = LogBuffer(writing)
    buffer.add({"message": "x"})
    monkeypatch.setattr(os, "write", fail)
    buffer.flush()
    os.close(reading)
    os.close(writing)
