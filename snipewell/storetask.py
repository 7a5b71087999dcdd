"""Tasks that watch and write the store; they log the loss and return of the connection to it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random
from typing import Protocol

import curio
from msgspec.structs import replace

from .clock import Clock
from .directory import (
    JOB_ENTRIES_PREFIX,
    LEASE_MS,
    RENEW_INTERVAL_MS,
    EntryAddress,
    encode_address,
)
from .log import Log
from .reach import MIN_WRITE_INTERVAL_MS
from .store import Changes, Listing, PrefixWatcher, StoreUnreachableError, Watchable

WATCH_WAIT_MS = 2_000.0
"""Longest wait of a watch request.

A store that was silent for a while never answers the watches that were sent to it meanwhile, and
acknowledges keep-alive probes on their connections all the same. So the wait and the timeout of its
answer bound the time for which a process misses changes after such an outage. Changes have to be in
force 3 s after it.
"""
RETRY_MS = (100.0, 400.0)
"""Bounds in milliseconds of the random time from the start of a failed request to the store until
the next one. A request that timed out is repeated at once."""


class LeasedStore(Watchable, Protocol):
    """Interface of a store for a `Registration`; every method raises StoreUnreachableError."""

    async def lease(self, ttl_ms: int) -> str:
        """Create a lease and return its id."""
        ...

    async def renew(self, lease: str) -> bool:
        """Extend ``lease``; return False if it has expired."""
        ...

    async def end_lease(self, lease: str) -> None:
        """Revoke ``lease``, which deletes its keys."""
        ...

    async def put(self, key: str, value: bytes, lease: str) -> bool:
        """Write ``key`` under ``lease``; return False if the lease has expired."""
        ...


async def watch_prefix(
    store: Watchable,
    prefix: str,
    deliver: Callable[[Listing | Changes], Awaitable[None]],
    log: Log,
    rng: Random,
) -> None:
    """Pass every update under ``prefix`` to ``deliver``, until cancelled."""
    watcher = PrefixWatcher(store, prefix)
    reachable = True
    while True:
        began_s = await curio.clock()
        try:
            update = await watcher.next(WATCH_WAIT_MS)
        except StoreUnreachableError as error:
            if reachable:
                log.info("store", "lost", prefix=prefix, reason=str(error))
            reachable = False
            await _wait_to_retry(began_s, rng)
            continue
        if not reachable:
            log.info("store", "regained", prefix=prefix, revision=update.revision)
        reachable = True
        await deliver(update)


async def _wait_to_retry(began_s: float, rng: Random) -> None:
    """Wait until a failed request may be repeated; it began at ``began_s`` of curio's clock."""
    due_s = began_s + rng.uniform(*RETRY_MS) / 1000
    await curio.sleep(max(due_s - await curio.clock(), 0.0))


class Registration:
    """Registration of an entry in the store, under a lease that is renewed.

    A changed registration is written again under the same lease.
    """

    def __init__(
        self, store: LeasedStore, address: EntryAddress, clock: Clock, log: Log, rng: Random
    ) -> None:
        self._store = store
        self._key = JOB_ENTRIES_PREFIX + address.entry
        self._address = address
        self._stored: EntryAddress | None = None
        """Registration that was last written with success."""
        self._written_ms = float("-inf")
        """Time of the last attempt to write, since a write without an answer may have succeeded."""
        self._clock = clock
        self._log = log
        self._rng = rng
        self._lease = ""
        self._registered = False
        self._wake = curio.Event()

    async def run(self) -> None:
        """Register, renew the lease, and register again when it has expired."""
        while True:
            # Cleared first, so that a change during the calls leads to the next ones at once.
            self._wake.clear()
            began_s = await curio.clock()
            try:
                await self._renew_or_register()
            except StoreUnreachableError as error:
                self._log.info("store", "registration not renewed", reason=str(error))
                await _wait_to_retry(began_s, self._rng)
            else:
                await curio.ignore_after(RENEW_INTERVAL_MS / 1000, self._wake.wait)

    async def set_wide(self, wide: bool) -> None:
        """Change whether the entry is registered as wide; wake `run` to write it."""
        self._address = replace(self._address, wide=wide)
        await self._wake.set()

    async def on_own_key(self, update: Listing | Changes) -> None:
        """Wake `run` to register again if the key was deleted, possibly under a valid lease."""
        if isinstance(update, Listing):
            present = self._key in update.values
        else:
            changes = [change for change in update.changes if change.key == self._key]
            present = not changes[-1].deleted if changes else self._registered
        if self._registered and not present:
            self._log.info("store", "registration key was deleted", key=self._key)
            self._registered = False
            await self._wake.set()

    async def _renew_or_register(self) -> None:
        if self._registered and await self._store.renew(self._lease):
            now_ms = self._clock.now_ms()
            if self._address == self._stored or now_ms - self._written_ms < MIN_WRITE_INTERVAL_MS:
                return
            if await self._write(self._lease):
                return
        self._registered = False
        lease = await self._store.lease(LEASE_MS)
        if await self._write(lease):
            self._lease = lease
            self._registered = True

    async def _write(self, lease: str) -> bool:
        """Write the registration under ``lease``; return False if the lease has expired."""
        address = self._address
        self._written_ms = self._clock.now_ms()
        if not await self._store.put(self._key, encode_address(address), lease):
            return False
        self._stored = address
        self._log.info("store", "registered", key=self._key, wide=address.wide)
        return True

    async def withdraw(self) -> None:
        """Revoke the lease, so that the registration ends at once instead of at its expiry."""
        if self._lease:
            try:
                await self._store.end_lease(self._lease)
            except StoreUnreachableError as error:
                self._log.info(
                    "store",
                    "lease not revoked; the registration ends when it expires",
                    reason=str(error),
                )
