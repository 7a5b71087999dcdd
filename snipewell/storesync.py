"""Synchronization of an entry with the store: registration, watches, partition table, voters."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random

import curio
import msgspec

from .decoding import decode_json
from .effect import ProposeTable, ProposeVoters
from .entry import ENTRIES_PREFIX, TABLE_KEY, Entry
from .errors import MessageError
from .group import CONFIG_PREFIX
from .ids import EntryId, Revision
from .log import Log
from .outcome import SnipewellError
from .partition import PartitionTable
from .peer import EntryRecord
from .settings import EntrySettings
from .store import Changes, Listing, PrefixWatcher, Store, StoreError
from .voterapi import write_voters

CLUSTER_PREFIX = "cluster/"
_RETRY_MS = (50.0, 150.0)
"""Bounds of the random delay before a failed request to the store is repeated."""


class StoreSync:
    """Curio tasks that synchronize an entry with the store.

    One task watches each key prefix, one keeps the registration under a lease, and one each
    writes the partition table and the voter set. ``put`` queues a call for the curio task that owns
    ``core``.
    """

    def __init__(
        self,
        store: Store,
        record: EntryRecord,
        settings: EntrySettings,
        core: Entry,
        put: Callable[..., Awaitable[None]],
        log: Log,
        rng: Random,
    ) -> None:
        self._store = store
        self._record = record
        self._settings = settings
        self._core = core
        self._put = put
        self._log = log
        self._rng = rng
        self._key = ENTRIES_PREFIX + record.entry
        self._entries: dict[EntryId, EntryRecord] = {}
        self._pending_table: ProposeTable | None = None
        self._table_proposed = curio.Event()
        self._pending_voters: ProposeVoters | None = None
        self._voters_proposed = curio.Event()
        self._deregistered = False

    def tasks(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the functions to run as curio tasks until the entry ends."""
        return [
            self._watch_config,
            self._watch_cluster,
            self._register,
            self._write_table,
            self._write_voters,
        ]

    async def propose(self, proposal: ProposeTable) -> None:
        """Write a partition table as soon as possible; a newer proposal replaces a pending one."""
        self._pending_table = proposal
        await self._table_proposed.set()

    async def propose_voters(self, proposal: ProposeVoters) -> None:
        """Write a voter set as soon as possible; a newer proposal replaces a pending one."""
        self._pending_voters = proposal
        await self._voters_proposed.set()

    async def deregister(self) -> None:
        """Remove the registration, so that no other entry waits for the lease to expire."""
        self._deregistered = True
        try:
            current = await self._store.get(self._key)
            if current is not None:
                await self._store.delete(self._key, current.revision)
        except SnipewellError as error:
            self._log.info(
                "store", "registration not removed; it ends when the lease expires", why=str(error)
            )

    async def _watch_config(self) -> None:
        watcher = PrefixWatcher(self._store, CONFIG_PREFIX)
        core = self._core
        while True:
            answer = await self._next_answer(watcher)
            if answer is None:
                continue
            if isinstance(answer, Listing):
                await self._put(core.on_store_snapshot, answer.to_snapshot())
            elif answer.changes:
                changes = [(c.key, c.value, c.revision) for c in answer.changes]
                await self._put(core.on_store_config, changes)
            # Only an answer of this watch proves that this entry has every configuration change.
            await self._put(core.on_store_contact, answer.sent_at_ms, answer.revision)

    async def _watch_cluster(self) -> None:
        watcher = PrefixWatcher(self._store, CLUSTER_PREFIX)
        while True:
            answer = await self._next_answer(watcher)
            if isinstance(answer, Listing):
                self._entries = {}
                for key, value in answer.values.items():
                    await self._apply_value(key, value.value, value.revision)
            elif answer is not None and answer.changes:
                for change in answer.changes:
                    await self._apply_value(change.key, change.value, change.revision)
            else:
                continue
            await self._put(self._core.on_store_entries, dict(self._entries))

    async def _next_answer(self, watcher: PrefixWatcher) -> Listing | Changes | None:
        try:
            return await watcher.next(self._settings.store_wait_ms)
        except SnipewellError as error:
            self._log.debug("store", "watch request failed", why=str(error))
            await self._wait_to_retry()
            return None

    async def _apply_value(self, key: str, value: bytes, revision: Revision) -> None:
        """Apply one value under ``cluster/``; log and skip an unreadable one."""
        try:
            if key == TABLE_KEY and value:
                table = PartitionTable.from_json(value, revision)
                await self._put(self._core.on_store_table, table)
            elif key.startswith(ENTRIES_PREFIX):
                entry = EntryId(key.removeprefix(ENTRIES_PREFIX))
                if value:
                    self._entries[entry] = decode_json(value, EntryRecord)
                else:
                    self._entries.pop(entry, None)
        except (ValueError, MessageError) as error:
            self._log.error("store", "unreadable value skipped", key=key, why=str(error))

    async def _register(self) -> None:
        """Keep the registration under a lease; replace a lease that expired by a new one."""
        lease = ""
        while not self._deregistered:
            try:
                if not lease:
                    lease = await self._store.lease(int(self._settings.lease_ms))
                    await self._write_record(lease)
                    self._log.info("store", "registered", lease=lease)
                elif not await self._store.renew(lease):
                    self._log.error("store", "lease expired", lease=lease)
                    lease = ""
                    continue
            except SnipewellError as error:
                self._log.info("store", "registration failed", why=str(error))
                await self._wait_to_retry()
                continue
            await curio.sleep(self._settings.lease_renew_ms / 1000)

    async def _write_record(self, lease: str) -> None:
        current = await self._store.get(self._key)
        revision = current.revision if current is not None else 0
        value = msgspec.json.encode(self._record)
        await self._store.compare_and_swap(self._key, value, revision, lease)

    async def _write_table(self) -> None:
        while True:
            await self._table_proposed.wait()
            self._table_proposed.clear()
            proposal, self._pending_table = self._pending_table, None
            if proposal is None:
                continue
            base, table = proposal.base_version, proposal.table
            try:
                version = await self._store.compare_and_swap(TABLE_KEY, table.to_json(), base)
            except StoreError as error:
                # The watch returns the table that another entry wrote; the leader proposes again.
                self._log.info("store", "partition table not written", why=str(error))
                continue
            written = PartitionTable(version, table.partitions)
            self._log.info("store", "partition table written", version=version)
            await self._put(self._core.on_store_table, written)

    async def _write_voters(self) -> None:
        while True:
            await self._voters_proposed.wait()
            self._voters_proposed.clear()
            proposal, self._pending_voters = self._pending_voters, None
            if proposal is None:
                continue
            try:
                if await write_voters(self._store, self._core.configuration, proposal):
                    voters = sorted(proposal.following.voters)
                    self._log.info("store", "set of voters written", voters=voters)
            except StoreError as error:
                # The watch returns the set that another entry wrote, and the next proposal uses it.
                self._log.info("store", "set of voters not written", why=str(error))

    async def _wait_to_retry(self) -> None:
        await curio.sleep(self._rng.uniform(*_RETRY_MS) / 1000)
