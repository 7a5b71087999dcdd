"""Stand-in for the platform's metadata store, with the HTTP interface that `platform.store` calls.

Faults are injected by a test or by ``POST /faults``: the store can be down or slow, lose the
responses of POST calls, compact its history, or delete keys whose leases are still valid.
"""

from __future__ import annotations

import base64
import random
from typing import Any

import curio
import msgspec

from ..clock import SystemClock
from ..server import ClientDisconnectedError, HttpServer
from ..web import Request, Response

_POLL_S = 0.01
"""Interval in seconds at which a watch checks for events."""
_FOREVER_S = 86_400.0
"""Time in seconds that outlasts every test."""


class StoreFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults in force.

    With ``down``, every call gets status 503. With ``silent``, no call gets a response, during the
    fault or after it. ``slow_ms`` delays each response. ``lost`` is the share of successful POST
    calls (writes, creation and renewal of leases) that take effect without a response.
    """

    down: bool = False
    silent: bool = False
    slow_ms: float = 0.0
    lost: float = 0.0


class MetadataStore:
    """Key-value store in memory with revisions, leases and a history that can be compacted."""

    def __init__(self, rng: random.Random) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        self._rng = rng
        self._clock = SystemClock()
        self._revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._compacted_revision = 0
        self._leases: dict[int, tuple[float, float]] = {}

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write ``key`` directly, as the operator does; return the new revision."""
        self._revision += 1
        text = base64.b64encode(value).decode()
        item = {"key": key, "value": text, "revision": self._revision, "lease": lease}
        self._items[key] = {**item, "created": self._revision}
        self._events.append(self._items[key])
        return self._revision

    def delete(self, key: str) -> None:
        """Delete ``key`` if it exists, with a new revision."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._events.append({"key": key, "revision": self._revision, "deleted": True})

    def compact_history(self) -> None:
        """Drop all events, so that watches from earlier revisions get status 410 and list again."""
        self._events.clear()
        self._compacted_revision = self._revision

    def delete_prefix(self, prefix: str) -> None:
        """Delete the keys under ``prefix`` without ending their leases."""
        for key in [key for key in self._items if key.startswith(prefix)]:
            self.delete(key)

    def keys(self, prefix: str) -> list[str]:
        """Return the keys under ``prefix`` in order, without those of expired leases."""
        self._expire()
        return sorted(key for key in self._items if key.startswith(prefix))

    def _expire(self) -> None:
        now = self._clock.now_ms()
        for lease in [
            lease for lease, (deadline_ms, _) in self._leases.items() if deadline_ms <= now
        ]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self._items.items() if item["lease"] == lease]:
            self.delete(key)

    async def handle(self, request: Request) -> Response:
        """Respond to one call, with the faults in force."""
        self.calls += 1
        if request.path == "/faults":
            self.faults = msgspec.json.decode(request.body, type=StoreFaults)
            return Response.from_json(200, {})
        await self._wait_if_silent()
        if self.faults.slow_ms:
            await curio.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            return Response.from_json(503, {"error": "down"})
        self._expire()
        response = await self._answer(request)
        await self._wait_if_silent()
        is_post = request.method == "POST"
        if is_post and response.status == 200 and self._rng.random() < self.faults.lost:
            # Closes the connection without a response.
            raise ClientDisconnectedError
        return response

    async def _wait_if_silent(self) -> None:
        """Wait until the client gives up, if the store is silent now."""
        if self.faults.silent:
            await curio.sleep(_FOREVER_S)

    async def _answer(self, request: Request) -> Response:
        match request.method, request.path.split("/")[2:]:
            case "GET", ["kv-range"]:
                return self._range(request)
            case "GET", ["kv-watch"]:
                return await self._watch(request)
            case "POST", ["kv-txn"]:
                return self._write(request)
            case "POST", ["kv-lease"]:
                ttl = float(msgspec.json.decode(request.body)["ttlMs"])
                lease = self._rng.getrandbits(40) + 1
                self._leases[lease] = (self._clock.now_ms() + ttl, ttl)
                return Response.from_json(200, {"lease": lease, "ttlMs": ttl})
            case "POST", ["kv-keep", lease]:
                return self._renew(int(lease))
            case "DELETE", ["kv-lease-end", lease]:
                self._end_lease(int(lease))
                return Response.from_json(200, {})
        return Response.from_json(404, {"error": "no such call"})

    def _renew(self, lease: int) -> Response:
        if lease not in self._leases:
            return Response.from_json(404, {})
        ttl = self._leases[lease][1]
        self._leases[lease] = (self._clock.now_ms() + ttl, ttl)
        return Response.from_json(200, {"ttlMs": ttl})

    def _range(self, request: Request) -> Response:
        prefix, after = request.query.get("pathPrefix", ""), request.query.get("after", "")
        keys = [key for key in self.keys(prefix) if key > after]
        items = [self._items[key] for key in keys[:PAGE_SIZE]]
        more = len(keys) > PAGE_SIZE
        body = {"items": items, "atRevision": self._revision, "hasMore": more}
        return Response.from_json(200, body)

    async def _watch(self, request: Request) -> Response:
        prefix, after = request.query.get("pathPrefix", ""), int(request.query["after"])
        deadline_ms = self._clock.now_ms() + float(request.query.get("waitMs", "0"))
        while True:
            if after < self._compacted_revision:
                return Response.from_json(410, {})
            self._expire()
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events or self._clock.now_ms() >= deadline_ms or self.faults.down:
                return Response.from_json(200, {"events": events, "atRevision": self._revision})
            await curio.sleep(_POLL_S)

    def _write(self, request: Request) -> Response:
        body = msgspec.json.decode(request.body)
        for write in body.get("writes", []):
            if write.get("lease") and write["lease"] not in self._leases:
                return Response.from_json(404, {})
        for write in body.get("writes", []):
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return Response.from_json(200, {"revision": self._revision})

    async def serve(self, port: int = 0) -> HttpServer:
        """Start an HTTP server for the store on the loopback address and return it."""
        server = HttpServer(self.handle)
        await server.start("127.0.0.1", port)
        return server


PAGE_SIZE = 500
"""Number of items in one page of a range."""
