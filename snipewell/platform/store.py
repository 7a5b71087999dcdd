"""HTTP client of the platform's metadata store, with results as `Listing` and `Changes`."""

from __future__ import annotations

import base64
import binascii
from typing import TypeVar

import msgspec

from ..client import ExchangeError, HttpPool, NotSentError
from ..clock import Clock
from ..daemon import KEEPALIVE_TIMEOUT_MS
from ..decoding import decode_json
from ..errors import MessageError
from ..ids import Revision
from ..store import Change, Changes, Listing, StoreUnreachableError, Value
from ..web import Request, Response

T = TypeVar("T")


class _Item(msgspec.Struct):
    """An item or a watch event; ``value`` is base64, and ``deleted`` is set only in events."""

    key: str
    revision: int = 0
    value: str = ""
    lease: int | str = 0
    deleted: bool = False


class _Range(msgspec.Struct):
    items: list[_Item]
    atRevision: int  # noqa: N815
    hasMore: bool = False  # noqa: N815


class _Watched(msgspec.Struct):
    atRevision: int  # noqa: N815
    events: list[_Item] = []


class _Lease(msgspec.Struct):
    lease: int | str
    ttlMs: float = 0  # noqa: N815


class _Write(msgspec.Struct):
    key: str
    value: str
    lease: int | str


class _Transaction(msgspec.Struct):
    writes: list[_Write] = []
    deletes: list[str] = []


class PlatformStore:
    """Client of the store at ``address`` (``ip:port``).

    Every call raises StoreUnreachableError if no valid response arrives: on a failed connection, an
    unexpected status, a malformed body, or after ``timeout_ms``; a watch after ``watch_timeout_ms``
    beyond its wait, by default ``timeout_ms``.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        timeout_ms: float,
        watch_timeout_ms: float | None = None,
    ) -> None:
        self._address = address
        self._clock = clock
        self._timeout_ms = timeout_ms
        self._watch_timeout_ms = timeout_ms if watch_timeout_ms is None else watch_timeout_ms
        # Watches block their connection for long, so they have a pool of their own.
        self._calls = HttpPool(address, 4)
        self._watches = HttpPool(address, 8, keepalive_timeout_ms=KEEPALIVE_TIMEOUT_MS)

    async def list(self, prefix: str) -> Listing:
        """Return all values under ``prefix``.

        The pages of a range may be read at different revisions. The listing has the revision of
        the first page, so that a watch from there repeats the changes made between the pages.
        """
        sent_at_ms = self._clock.now_ms()
        values: dict[str, Value] = {}
        revision = -1
        after = ""
        while True:
            query = {"pathPrefix": prefix} | ({"after": after} if after else {})
            request = Request("GET", "/snipewell/kv-range", query)
            page = self._decode(await self._call(request, (200,)), _Range)
            revision = page.atRevision if revision < 0 else revision
            for item in page.items:
                values[item.key] = Value(
                    Revision(item.revision), self._value(item), str(item.lease)
                )
            if not page.hasMore or not page.items:
                return Listing(sent_at_ms, Revision(revision), values)
            after = page.items[-1].key

    async def watch(self, prefix: str, after: Revision, wait_ms: float) -> Changes:
        """Return the changes under ``prefix`` after a revision; wait up to ``wait_ms`` for one."""
        sent_at_ms = self._clock.now_ms()
        query = {"pathPrefix": prefix, "after": str(after), "waitMs": str(int(wait_ms))}
        request = Request("GET", "/snipewell/kv-watch", query)
        timeout_ms = self._watch_timeout_ms + wait_ms
        response = await self._call(request, (200, 410), timeout_ms, self._watches)
        if response.status == 410:
            return Changes(sent_at_ms, after, [], compacted=True)
        decoded = self._decode(response, _Watched)
        changes = [
            Change(event.key, Revision(event.revision), self._value(event), event.deleted)
            for event in decoded.events
        ]
        return Changes(sent_at_ms, Revision(decoded.atRevision), changes)

    async def lease(self, ttl_ms: int) -> str:
        """Grant a new lease and return its ID."""
        body = msgspec.json.encode({"ttlMs": ttl_ms})
        request = Request("POST", "/snipewell/kv-lease", {}, _JSON, body)
        decoded = self._decode(await self._call(request, (200,)), _Lease)
        return str(decoded.lease)

    async def renew(self, lease: str) -> bool:
        """Renew ``lease``; return False if it has expired."""
        request = Request("POST", f"/snipewell/kv-keep/{lease}", {}, _JSON, b"{}")
        return (await self._call(request, (200, 404))).status == 200

    async def end_lease(self, lease: str) -> None:
        """Revoke ``lease``, which deletes its keys."""
        request = Request("DELETE", f"/snipewell/kv-lease-end/{lease}")
        await self._call(request, (200, 204, 404))

    async def put(self, key: str, value: bytes, lease: str) -> bool:
        """Write ``key`` under ``lease`` unconditionally; return False if the lease has expired."""
        text = base64.b64encode(value).decode()
        write = _Write(key, text, int(lease) if lease.isdigit() else lease)
        body = msgspec.json.encode(_Transaction(writes=[write]))
        request = Request("POST", "/snipewell/kv-txn", {}, _JSON, body)
        return (await self._call(request, (200, 404))).status == 200

    async def _call(
        self,
        request: Request,
        expected: tuple[int, ...],
        timeout_ms: float | None = None,
        pool: HttpPool | None = None,
    ) -> Response:
        timeout_ms = self._timeout_ms if timeout_ms is None else timeout_ms
        try:
            response = await (pool or self._calls).request(request, timeout_ms)
        except (NotSentError, ExchangeError) as error:
            # Idle connections may have gone silent as well; the next call on one would be lost too.
            await self.close()
            raise StoreUnreachableError(self._address, error.reason) from None
        if response.status not in expected:
            reason = f"{request.method} {request.path} returned status {response.status}"
            raise StoreUnreachableError(self._address, reason)
        return response

    def _decode(self, response: Response, kind: type[T]) -> T:
        try:
            return decode_json(response.body, kind)
        except MessageError as error:
            raise StoreUnreachableError(self._address, f"malformed response: {error}") from None

    def _value(self, item: _Item) -> bytes:
        try:
            return base64.b64decode(item.value, validate=True)
        except (binascii.Error, ValueError) as error:
            # A malformed value under one key must not hide the other keys of the listing. The bytes
            # returned are not valid JSON, so a decoder reports just this key as malformed.
            return f"\x00not base64: {error}".encode()

    async def close(self) -> None:
        """Close all idle connections."""
        await self._calls.close()
        await self._watches.close()


_JSON = {"content-type": "application/json"}
