"""Stand-in for the platform's key-value service, with the protocol of `keyvalue`.

It has fault injection, request counts and an HTTP server.

Within one process, ``StoreStandIn.request`` can replace an HTTP client's pool; `StoreServer` serves
the same protocol over HTTP. ``GET /stats`` returns the number of requests and of pending watches;
``POST /faults`` sets `Faults`, given as JSON.
"""

from __future__ import annotations

import signal
from collections import Counter
from typing import cast
from urllib.parse import unquote

import curio
import msgspec

from ..client import ExchangeError, NotSentError
from ..clock import Clock, SystemClock
from ..keyvalue import Changes, Lease, LeaseBody, Listing, Written
from ..outcome import Step
from ..server import ClientDisconnectedError, HttpServer, ServerLimits
from ..settings import StoreSettings
from ..signals import SignalQueue
from ..web import Request, Response
from .keyvalue import ConflictError, Faults, KeyValueCore, ValueSizeError

MAX_WAIT_MS = 60_000
"""Longest wait of a watch request."""
_HANG_MS = 600_000
"""Longest time for which a request hangs before its connection is closed."""


class StoreStandIn:
    """Server side of the protocol of `keyvalue`; one instance may serve any number of clients.

    ``settings`` define the latency, the size limit of a value and the rate limits, beyond which
    requests are delayed. ``core`` is the state, for direct access.
    """

    def __init__(self, clock: Clock | None = None, settings: StoreSettings | None = None) -> None:
        self._clock = clock or SystemClock()
        self._settings = settings or StoreSettings(host="127.0.0.1", latency_ms=0)
        self.core = KeyValueCore(self._clock, self._settings.value_bytes)
        self.faults = Faults()
        self.counts: Counter[str] = Counter()
        self._faults_end_ms = float("inf")
        self._changed = curio.Event()
        self._free_at_ms = {"write": 0.0, "read": 0.0}

    async def set_faults(self, faults: Faults) -> None:
        """Replace the faults; raise ValueError if ``go_back_to`` is not in the history."""
        if faults.go_back_to is not None:
            self.core.roll_back(faults.go_back_to)
        self.faults = faults
        now = self._clock.now_ms()
        self._faults_end_ms = float("inf") if faults.for_ms is None else now + faults.for_ms
        await self._notify_watches()

    def active_outage(self) -> str:
        """Return ``refuse`` or ``hang`` while that fault is active, otherwise an empty string."""
        if self._clock.now_ms() >= self._faults_end_ms:
            self.faults = Faults()
            self._faults_end_ms = float("inf")
        return self.faults.down

    async def handle(self, request: Request) -> Response:
        """Handle a request; raise ClientDisconnectedError to close the connection unanswered."""
        if request.path == "/stats":
            return Response.from_json(200, self.stats())
        if request.path == "/faults":
            return await self._handle_faults(request)
        await self._apply_delays_and_faults(request.method)
        try:
            response = await self._answer(request)
        except ConflictError as error:
            return Response.from_json(409, Written(error.revision))
        except ValueSizeError as error:
            return _error_response(413, str(error))
        except KeyError as error:
            return _error_response(404, f"not found: {error.args[0]}")
        except (ValueError, msgspec.MsgspecError) as error:
            return _error_response(400, str(error))
        if self.active_outage():  # the outage may have begun during a watch
            raise ClientDisconnectedError
        if request.method in ("PUT", "DELETE"):
            await self._notify_watches()
            if response.status == 200 and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                self.counts["lost_answers"] += 1
                raise ClientDisconnectedError
        return response

    async def request(self, request: Request, timeout_ms: float) -> Response:
        """Handle a request like an HTTP pool, including its NotSentError and ExchangeError."""
        if self.active_outage() == "refuse":
            raise NotSentError(Step.STORE, "stand-in", "connection refused")
        try:
            return cast(
                Response, await curio.timeout_after(timeout_ms / 1000, self.handle, request)
            )
        except curio.TaskTimeout:
            raise ExchangeError(
                Step.STORE, "stand-in", f"no answer within {timeout_ms:g} ms"
            ) from None
        except ClientDisconnectedError:
            raise ExchangeError(Step.STORE, "stand-in", "closed before the answer") from None

    def stats(self) -> dict[str, int]:
        """Return the number of requests by kind, the number of pending watches and the revision."""
        waiting = {"watches_waiting": 0, "watches_waiting_peak": 0, "lost_answers": 0, "watch": 0}
        kinds = dict.fromkeys(("get", "list", "put", "delete", "lease", "renew"), 0)
        return {**kinds, **waiting, **self.core.counts, **self.counts} | {
            "revision": self.core.revision
        }

    async def _apply_delays_and_faults(self, method: str) -> None:
        """Delay a request by the latency and the rate limit, and apply the active faults."""
        down = self.active_outage()
        if down == "refuse":
            raise ClientDisconnectedError
        if down == "hang":
            self.counts["hung"] += 1
            await self._hang()
            raise ClientDisconnectedError
        kind, rate = "read", self._settings.reads_per_s
        if method != "GET":
            kind, rate = "write", self._settings.writes_per_s
        now = self._clock.now_ms()
        start_ms = max(now, self._free_at_ms[kind])
        self._free_at_ms[kind] = start_ms + 1000 / rate
        delay_ms = start_ms - now + self._settings.latency_ms + self.faults.slow_ms
        if delay_ms > 0:
            await curio.sleep(delay_ms / 1000)

    async def _hang(self) -> None:
        end_ms = self._clock.now_ms() + _HANG_MS
        while self.active_outage() and self._clock.now_ms() < end_ms:
            await curio.sleep(0.05)

    async def _answer(self, request: Request) -> Response:
        parts = request.path.split("/")[1:]
        key = unquote("/".join(parts[2:]))
        query, core = request.query, self.core
        revision = query.get("if_revision")
        if_revision = None if revision is None else int(revision)
        match request.method, parts[:2]:
            case "GET", ["v1", "kv"] if key:
                item = core.get(key)
                return _error_response(404, key) if item is None else Response.from_json(200, item)
            case "GET", ["v1", "kv"]:
                items = core.list_prefix(query.get("prefix", ""))
                return Response.from_json(200, Listing(core.revision, items))
            case "PUT", ["v1", "kv"] if key:
                written = core.put(key, request.body, if_revision, query.get("lease", ""))
                return Response.from_json(200, Written(written))
            case "DELETE", ["v1", "kv"] if key:
                return Response.from_json(200, Written(core.delete(key, if_revision)))
            case "POST", ["v1", "leases"] if not key:
                term = msgspec.json.decode(request.body, type=LeaseBody)
                return Response.from_json(200, Lease(core.grant(term.ttl_ms)))
            case "POST", ["v1", "leases"] if key.endswith("/renew"):
                lease = key.removesuffix("/renew")
                renewed = core.renew(lease)
                return (
                    Response.from_json(200, Lease(lease))
                    if renewed
                    else _error_response(404, lease)
                )
            case "GET", ["v1", "watch"]:
                return await self._watch(query)
        return _error_response(404, f"no such path: {request.method} {request.path[:200]}")

    async def _watch(self, query: dict[str, str]) -> Response:
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        end_ms = self._clock.now_ms() + min(float(query.get("wait_ms", "0")), MAX_WAIT_MS)
        self.counts["watch"] += 1
        self.counts["watches_waiting"] += 1
        peak = max(self.counts["watches_waiting_peak"], self.counts["watches_waiting"])
        self.counts["watches_waiting_peak"] = peak
        try:
            while True:
                events, compacted = self.core.events_after(prefix, after)
                remaining_ms = end_ms - self._clock.now_ms()
                if events or compacted or remaining_ms <= 0 or self.active_outage():
                    return Response.from_json(200, Changes(self.core.revision, events, compacted))
                until_expiry_ms = self.core.next_expiry_ms() - self._clock.now_ms()
                await self._wait_change(min(remaining_ms, max(until_expiry_ms, 1)))
        finally:
            self.counts["watches_waiting"] -= 1

    async def _wait_change(self, timeout_ms: float) -> None:
        await curio.ignore_after(timeout_ms / 1000, self._changed.wait)

    async def _notify_watches(self) -> None:
        changed, self._changed = self._changed, curio.Event()
        await changed.set()

    async def _handle_faults(self, request: Request) -> Response:
        try:
            faults = msgspec.json.decode(request.body or b"{}", type=Faults)
            if faults.down == "refuse" and faults.for_ms is None:
                raise ValueError("for_ms: expected with down=refuse, which also refuses /faults")
            await self.set_faults(faults)
        except (ValueError, msgspec.MsgspecError) as error:
            return _error_response(400, str(error))
        return Response.from_json(200, self.faults)


def _error_response(status: int, reason: str) -> Response:
    return Response.from_json(status, {"reason": reason})


class StoreServer:
    """HTTP server of a `StoreStandIn`; its port is closed while connections are refused."""

    def __init__(self, store: StoreStandIn, host: str = "127.0.0.1", port: int = 0) -> None:
        self.store = store
        self.address = (host, port)
        self._server: HttpServer | None = None

    async def start(self) -> None:
        """Listen and set ``address`` to the actual port; raise OSError if the port is in use."""
        limits = ServerLimits(connections=10_000, body_bytes=2_097_152)
        server = HttpServer(self.store.handle, limits)
        await server.start(*self.address)
        self._server, self.address = server, server.address

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            await self._server.stop(0)
            self._server = None

    async def run(self) -> None:
        """Serve until cancelled; listen only while connections are not refused."""
        try:
            while True:
                refuse = self.store.active_outage() == "refuse"
                if refuse and self._server is not None:
                    await self.stop()
                elif not refuse and self._server is None:
                    await self.start()
                await curio.sleep(0.02)
        finally:
            await self.stop()


async def run_store(settings: StoreSettings) -> int:
    """Serve a stand-in store until SIGTERM or SIGINT; print its address first."""
    server = StoreServer(StoreStandIn(settings=settings), settings.host, settings.port)
    async with SignalQueue(signal.SIGTERM, signal.SIGINT) as signals:
        await server.start()
        print("store listens on {}:{}".format(*server.address), flush=True)
        running = await curio.spawn(server.run)
        await signals.get()
        await running.cancel()
    return 0
