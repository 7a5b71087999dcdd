"""Tasks that follow and write the store, and say in the log when it is lost and regained."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random
from typing import Protocol

import curio

from .clock import Clock
from .directory import (
    ENTRIES_PREFIX,
    LEASE_MS,
    RENEW_MS,
    EntryAddress,
    encode_address,
)
from .log import Log
from .store import Changes, Follower, Listing, StoreUnreachableError, Watchable

WATCH_WAIT_MS = 20_000.0
"""Longest wait of a watch, a priced call; keep-alive probes find a silent connection sooner."""
RETRY_MS = (100.0, 400.0)
"""Bounds of the random pause after a call to the store failed."""


class LeasedStore(Watchable, Protocol):
    """What a registration needs of a store; every method raises StoreUnreachableError."""

    async def lease(self, ttl_ms: int) -> str:
        """Return a new lease."""
        ...

    async def renew(self, lease: str) -> bool:
        """Extend ``lease``; return False if it has ended."""
        ...

    async def end_lease(self, lease: str) -> None:
        """End ``lease``, which removes its keys."""
        ...

    async def put(self, key: str, value: bytes, lease: str) -> bool:
        """Write ``key`` under ``lease``; return False if the lease has ended."""
        ...


async def follow(
    store: Watchable,
    prefix: str,
    deliver: Callable[[Listing | Changes], Awaitable[None]],
    log: Log,
    rng: Random,
) -> None:
    """Hand every change under ``prefix`` to ``deliver``, for the life of the process."""
    follower = Follower(store, prefix)
    reachable = True
    while True:
        try:
            news = await follower.next(WATCH_WAIT_MS)
        except StoreUnreachableError as error:
            if reachable:
                log.info("store", "lost", prefix=prefix, reason=str(error))
            reachable = False
            await curio.sleep(rng.uniform(*RETRY_MS) / 1000)
            continue
        if not reachable:
            log.info("store", "regained", prefix=prefix, revision=news.revision)
        reachable = True
        await deliver(news)


class Registration:
    """Keeps an entry registered under a lease."""

    def __init__(
        self, store: LeasedStore, address: EntryAddress, clock: Clock, log: Log, rng: Random
    ) -> None:
        self._store = store
        self._key = ENTRIES_PREFIX + address.entry
        self._value = encode_address(address)
        self._clock = clock
        self._log = log
        self._rng = rng
        self._lease = ""
        self._registered = False
        self._wake = curio.Event()

    async def run(self) -> None:
        """Register, renew, and register again when the lease has ended."""
        while True:
            try:
                await self._keep()
            except StoreUnreachableError as error:
                self._log.info("store", "registration not renewed", reason=str(error))
                await curio.sleep(self._rng.uniform(*RETRY_MS) / 1000)
            else:
                self._wake.clear()
                await curio.ignore_after(RENEW_MS / 1000, self._wake.wait)

    async def on_own_key(self, news: Listing | Changes) -> None:
        """Take in what the store says of the registration, which may vanish under its lease."""
        if isinstance(news, Listing):
            present = self._key in news.values
        else:
            changes = [change for change in news.changes if change.key == self._key]
            present = not changes[-1].deleted if changes else self._registered
        if self._registered and not present:
            self._log.info("store", "the registration has vanished", key=self._key)
            self._registered = False
            await self._wake.set()

    async def _keep(self) -> None:
        if self._registered and await self._store.renew(self._lease):
            return
        self._registered = False
        lease = await self._store.lease(LEASE_MS)
        if await self._store.put(self._key, self._value, lease):
            self._lease = lease
            self._registered = True
            self._log.info("store", "registered", key=self._key)

    async def withdraw(self) -> None:
        """End the registration, so that agents need not wait for the lease to lapse."""
        if self._lease:
            try:
                await self._store.end_lease(self._lease)
            except StoreUnreachableError as error:
                self._log.info("store", "the registration lapses by itself", reason=str(error))
