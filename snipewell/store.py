"""Client of the platform's key-value service.

All writes are compare-and-swap operations. Every stored value is prefixed with a random token of
the write, so that a write whose response was lost can be resolved by reading the key back. A write
is never sent twice.
"""

from __future__ import annotations

import re
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar
from urllib.parse import quote

import curio
import msgspec

from . import keyvalue
from .client import ExchangeError, NotSentError
from .clock import Clock
from .decoding import decode_json
from .errors import MessageError
from .ids import Revision
from .message import Snapshot
from .outcome import SnipewellError, Step
from .web import Request, Response

READ_BACK_PAUSES_MS = (0, 25, 75, 200)
"""Pauses in milliseconds before each attempt to read back a write whose response was lost."""
_WRITE_TOKEN = re.compile(rb"[0-9a-f]{16}\n")
_WRITE_TOKEN_BYTES = 17
T = TypeVar("T", bound=msgspec.Struct)


class Pool(Protocol):
    """Interface of the HTTP client that `Store` sends its requests with."""

    async def request(self, request: Request, timeout_ms: float) -> Response:
        """Send ``request`` and return its response; raise NotSentError or ExchangeError."""
        ...


class StoreError(SnipewellError):
    """Failure of a request to the store; ``peer`` is the store's address."""

    def __init__(self, peer: str, reason: str) -> None:
        super().__init__(Step.STORE, peer, reason)


class StoreUnreachableError(StoreError):
    """The store is unreachable, or its response is unusable.

    A write whose request was not sent did not take effect; after a malformed response it may have.
    """


class StoreConflictError(StoreError):
    """Rejected write: the key is at ``revision``, which is 0 if the key does not exist."""

    def __init__(self, peer: str, reason: str, revision: int) -> None:
        super().__init__(peer, reason)
        self.revision = revision


class StoreUnknownError(StoreError):
    """Indeterminate write: its response was lost and reading the key back did not resolve it.

    ``changed`` is true if the key has since been changed by another writer, possibly after this
    write took effect. Otherwise the write may still be in transit.
    """

    def __init__(self, peer: str, reason: str, changed: bool) -> None:
        super().__init__(peer, reason)
        self.changed = changed


@dataclass(frozen=True, slots=True)
class Value:
    """A stored value without its write token, and the revision of its last change."""

    revision: Revision
    value: bytes
    lease: str = ""


@dataclass(frozen=True, slots=True)
class Listing:
    """All values under a prefix at the store's ``revision``; requested at ``sent_at_ms``."""

    sent_at_ms: float
    revision: Revision
    values: dict[str, Value]

    def to_snapshot(self) -> Snapshot:
        """Return a snapshot of the values, with the highest revision among them."""
        highest = max((v.revision for v in self.values.values()), default=Revision(0))
        return Snapshot(highest, {key: v.value for key, v in self.values.items()})


@dataclass(frozen=True, slots=True)
class Change:
    """A write or deletion of a key; ``value`` is empty for a deletion."""

    key: str
    revision: Revision
    value: bytes
    deleted: bool


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes in order of revision, and the store's ``revision``; requested at ``sent_at_ms``.

    ``compacted`` is true if the store no longer has all changes that were requested.
    """

    sent_at_ms: float
    revision: Revision
    changes: list[Change] = field(default_factory=list)
    compacted: bool = False


class Store:
    """Client of the key-value service at ``address``, over an HTTP ``pool``.

    Reads and lease calls raise StoreUnreachableError if there is no response within ``timeout_ms``;
    for `watch` its ``wait_ms`` is added. Writes resolve a lost response, see `compare_and_swap`.
    """

    def __init__(self, pool: Pool, address: str, clock: Clock, timeout_ms: float = 1_000) -> None:
        self._pool = pool
        self._address = address
        self._clock = clock
        self._timeout_ms = timeout_ms

    async def get(self, key: str) -> Value | None:
        """Return the value of ``key``, or None if it does not exist."""
        response = await self._read(Request("GET", _path(key)))
        if response.status == 404:
            return None
        return _to_value(self._decode(response, keyvalue.Item))

    async def list(self, prefix: str) -> Listing:
        """Return all values under ``prefix`` at a single revision of the store."""
        sent_at_ms = self._clock.now_ms()
        response = await self._read(Request("GET", "/v1/kv", {"prefix": prefix}))
        listing = self._decode(response, keyvalue.Listing)
        values = {item.key: _to_value(item) for item in listing.items}
        return Listing(sent_at_ms, Revision(listing.revision), values)

    async def watch(self, prefix: str, after: Revision, wait_ms: float) -> Changes:
        """Return the changes under ``prefix`` after a revision; wait up to ``wait_ms`` for one."""
        sent_at_ms = self._clock.now_ms()
        query = {"prefix": prefix, "after": str(after), "wait_ms": str(int(wait_ms))}
        response = await self._read(Request("GET", "/v1/watch", query), wait_ms)
        decoded = self._decode(response, keyvalue.Changes)
        changes = [
            Change(e.key, Revision(e.revision), _strip_token(e.value), e.deleted)
            for e in decoded.events
        ]
        return Changes(sent_at_ms, Revision(decoded.revision), changes, decoded.compacted)

    async def compare_and_swap(
        self, key: str, value: bytes, if_revision: int, lease: str = ""
    ) -> Revision:
        """Write ``value`` if ``key`` is at ``if_revision`` (0: absent); return the new revision.

        A lost response is resolved by reading the key back. Raises StoreConflictError,
        StoreUnknownError, or StoreError if the service rejects the value or the lease has expired.
        """
        query = {"if_revision": str(if_revision)}
        if lease:
            query["lease"] = lease
        body = secrets.token_hex(8).encode() + b"\n" + value
        request = Request("PUT", _path(key), query, {}, body)
        return await self._write(request, key, if_revision, lambda item: item.value == body)

    async def delete(self, key: str, if_revision: int) -> Revision:
        """Delete ``key`` if it is at ``if_revision``; raise the errors of ``compare_and_swap``."""
        request = Request("DELETE", _path(key), {"if_revision": str(if_revision)})
        return await self._write(request, key, if_revision, None)

    async def advance(self, key: str, revision: Revision, limit: int) -> Revision:
        """Write ``key`` until the store has reached ``revision``, at most ``limit`` times.

        After the store was restored to an earlier revision, its next changes must get revisions
        that have never been used. Returns the revision reached.
        """
        value = await self.get(key)
        current = value.revision if value is not None else Revision(0)
        for _ in range(limit):
            current = await self.compare_and_swap(key, b"", current)
            if current >= revision:
                break
        return current

    async def lease(self, ttl_ms: int) -> str:
        """Create a lease and return its id. A lease whose response was lost expires unused."""
        body = msgspec.json.encode(keyvalue.LeaseBody(ttl_ms))
        response = await self._read(Request("POST", "/v1/leases", {}, {}, body))
        return self._decode(response, keyvalue.Lease).lease

    async def renew(self, lease: str) -> bool:
        """Extend ``lease``; return False if it has expired. The call is idempotent."""
        response = await self._read(Request("POST", f"/v1/leases/{quote(lease)}/renew"))
        return response.status != 404

    async def _read(self, request: Request, wait_ms: float = 0) -> Response:
        """Send an idempotent request; return a response of status 200 or 404."""
        try:
            response = await self._pool.request(request, self._timeout_ms + wait_ms)
        except (NotSentError, ExchangeError) as error:
            raise StoreUnreachableError(self._address, error.reason) from None
        if response.status not in (200, 404):
            reason = f"{request.method} {request.path} was answered with {response.status}"
            raise StoreUnreachableError(self._address, reason)
        return response

    async def _write(
        self,
        request: Request,
        key: str,
        if_revision: int,
        is_own: Callable[[keyvalue.Item], bool] | None,
    ) -> Revision:
        try:
            response = await self._pool.request(request, self._timeout_ms)
        except NotSentError as error:
            raise StoreUnreachableError(self._address, error.reason) from None
        except ExchangeError as error:
            return await self._read_back(key, if_revision, is_own, error.reason)
        if response.status >= 500:
            reason = f"answered with {response.status}"
            return await self._read_back(key, if_revision, is_own, reason)
        if response.status == 409:
            current = self._decode(response, keyvalue.Written).revision
            reason = f"{key}: expected revision {if_revision}, it is at {current}"
            raise StoreConflictError(self._address, reason, current)
        if response.status == 404 and is_own is None:
            raise StoreConflictError(self._address, f"{key}: does not exist", 0)
        if response.status != 200:
            text = response.body[:200].decode(errors="replace")
            raise StoreError(self._address, f"{key}: answered with {response.status}: {text}")
        return Revision(self._decode(response, keyvalue.Written).revision)

    async def _read_back(
        self,
        key: str,
        if_revision: int,
        is_own: Callable[[keyvalue.Item], bool] | None,
        reason: str,
    ) -> Revision:
        """Resolve a write whose response was lost, by reading the key.

        ``is_own`` recognizes the value of this write; it is None for a deletion.
        """
        for pause_ms in READ_BACK_PAUSES_MS:
            await curio.sleep(pause_ms / 1000)
            try:
                response = await self._read(Request("GET", _path(key)))
            except StoreUnreachableError:
                continue
            if response.status == 404:
                if is_own is None:
                    return Revision(0)
                current = 0
            else:
                item = self._decode(response, keyvalue.Item)
                if is_own is not None and is_own(item):
                    return Revision(item.revision)
                current = item.revision
            if current != if_revision:
                text = f"{key}: {reason}; meanwhile it changed to revision {current}"
                raise StoreUnknownError(self._address, text, True)
        text = f"{key}: {reason}; the write has not taken effect so far"
        raise StoreUnknownError(self._address, text, False)

    def _decode(self, response: Response, kind: type[T]) -> T:
        try:
            return decode_json(response.body, kind)
        except MessageError as error:
            raise StoreUnreachableError(self._address, f"malformed answer: {error}") from None


class Watchable(Protocol):
    """Interface of a store for a `PrefixWatcher`; both methods raise StoreUnreachableError."""

    async def list(self, prefix: str) -> Listing:
        """Return all values under ``prefix``."""
        ...

    async def watch(self, prefix: str, after: Revision, wait_ms: float) -> Changes:
        """Return the changes under ``prefix`` after a revision."""
        ...


class PrefixWatcher:
    """Watches a prefix, and lists it again when the store has compacted needed changes.

    ``next`` returns a `Listing` first, then `Changes`. It returns a `Listing` again after the store
    compacted changes that were not yet read, or was restored to an earlier revision.
    """

    def __init__(self, store: Watchable, prefix: str) -> None:
        self._store = store
        self._prefix = prefix
        self._after: Revision | None = None

    async def next(self, wait_ms: float) -> Listing | Changes:
        """Return the next update within ``wait_ms``; raise StoreUnreachableError."""
        if self._after is not None:
            changes = await self._store.watch(self._prefix, self._after, wait_ms)
            if changes.revision >= self._after and not changes.compacted:
                self._after = changes.revision
                return changes
        listing = await self._store.list(self._prefix)
        self._after = listing.revision
        return listing


def _path(key: str) -> str:
    return "/v1/kv/" + quote(key, safe="/")


def _strip_token(value: bytes) -> bytes:
    return value[_WRITE_TOKEN_BYTES:] if _WRITE_TOKEN.match(value) else value


def _to_value(item: keyvalue.Item) -> Value:
    return Value(Revision(item.revision), _strip_token(item.value), item.lease)
