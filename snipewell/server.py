"""HTTP/1.1 server: h11 on curio sockets, with bounds on everything that a peer can send.

Every connection is served by its own task, so a slow or broken peer affects no other. A peer that
closes its sending side counts as gone: the handler of its request is cancelled.
"""

from __future__ import annotations

import socket as stdlib_socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

import curio
import h11
from curio import socket

from .keepalive import probe_silence
from .listener import open_listener
from .outcome import Invalid, Step, Unknown
from .web import Request, Response

Handler = Callable[[Request], Awaitable[Response]]
ErrorHook = Callable[[str, BaseException], None]

_PHRASES = {status.value: status.phrase for status in HTTPStatus}
_READ_BYTES = 16_384
_PIPELINED_BYTES = 65_536
_DRAIN_POLL_S = 0.01
_LINGER_MS = 300
_LINGER_BYTES = 1_048_576


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bounds of a server. Times are in milliseconds, sizes in bytes.

    ``head_timeout_ms`` counts from the first byte of a request, ``body_timeout_ms`` from the end
    of its head, ``idle_timeout_ms`` between two requests of a connection. With ``silence_ms``, a
    peer that leaves keep-alive probes unanswered for that long counts as gone. A server that stops
    still answers on idle connections for ``drain_idle_ms``, and closes each after its next answer:
    a request may be on its way to a connection that looks idle here.
    """

    connections: int = 2_000
    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    head_timeout_ms: float = 5_000
    body_timeout_ms: float = 10_000
    idle_timeout_ms: float = 60_000
    write_timeout_ms: float = 10_000
    silence_ms: float = 0
    drain_idle_ms: float = 500


class CallerGoneError(curio.TaskCancelled):
    """Raised in a handler when the caller's connection closed before the response."""


class _RejectedError(Exception):
    """A request that is refused before it reaches the handler."""

    def __init__(self, status: int, reason: str, field: str = "") -> None:
        super().__init__(reason)
        self.response = response_from_invalid(Invalid(status, reason, field))


def response_from_invalid(outcome: Invalid) -> Response:
    """Return the response to an attempt that was not accepted; it closes no other attempt."""
    body = {
        "outcome": "invalid",
        "reason": outcome.reason,
        "field": outcome.field,
        "accepted": False,
    }
    return Response.from_json(outcome.status, body, {"snipewell-outcome": "invalid"})


class HttpServer:
    """Serves HTTP on one address; ``start`` and ``stop`` are called in a curio kernel.

    ``on_error`` is told of exceptions that leave the handler; the caller gets status 500.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        on_error: ErrorHook | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.on_error = on_error
        self.address = ("", 0)
        self.draining = False
        self._listener: Any = None
        self._accepting: Any = None
        self._connections: set[_Connection] = set()

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def request_count(self) -> int:
        """Number of requests whose first byte has arrived and whose response is not yet sent."""
        return sum(1 for connection in self._connections if not connection.idle)

    async def start(self, host: str, port: int) -> None:
        """Listen on ``host:port``; port 0 takes a free one, see ``address``. Raises OSError."""
        await self.serve(open_listener(host, port))

    async def serve(self, listener: stdlib_socket.socket) -> None:
        """Accept connections from ``listener``, which the server closes when it stops."""
        self._listener = curio.io.Socket(listener)
        self.address = listener.getsockname()[:2]
        self._accepting = await curio.spawn(self._accept, daemon=True)

    async def _accept(self) -> None:
        while True:
            try:
                sock, peer = await self._listener.accept()
            except OSError:
                # Out of descriptors, or the peer reset: neither may end the server.
                await curio.sleep(0.02)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.limits.silence_ms > 0:
                probe_silence(sock, self.limits.silence_ms)
            connection = _Connection(self, sock, f"{peer[0]}:{peer[1]}")
            if len(self._connections) >= self.limits.connections:
                await curio.spawn(connection.refuse, daemon=True)
            else:
                self._connections.add(connection)
                connection.task = await curio.spawn(connection.run, daemon=True)

    def remove(self, connection: _Connection) -> None:
        """Forget a connection that has ended."""
        self._connections.discard(connection)

    async def stop(self, grace_ms: float) -> int:
        """Close the listener, let requests in flight finish, then close idle connections.

        Returns the number of requests that were cut off because ``grace_ms`` was over.
        """
        self.draining = True
        if self._accepting is not None:
            await self._accepting.cancel()
            await self._listener.close()
            self._accepting = None
        try:
            async with curio.timeout_after(grace_ms / 1000):
                await self._wait_until_unused()
                while self._connections:
                    for connection in list(self._connections):
                        await connection.close_if_idle()
                    await curio.sleep(_DRAIN_POLL_S)
        except curio.TaskTimeout:
            pass
        cut = self.request_count
        for connection in list(self._connections):
            await connection.task.cancel()
        return cut

    async def _wait_until_unused(self) -> None:
        """Wait until every connection is closed or has carried no request for the drain time."""
        async with curio.ignore_after(self.limits.drain_idle_ms / 1000):
            while self._connections:
                await curio.sleep(_DRAIN_POLL_S)


class _Connection:
    """One connection: reads requests in order and writes their responses."""

    def __init__(self, server: HttpServer, sock: Any, peer: str) -> None:
        self.server = server
        self.limits = server.limits
        self.sock = sock
        self.peer = peer
        self.idle = True
        self.task: Any = None
        self._asked_to_close = False
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=server.limits.header_bytes)

    async def run(self) -> None:
        """Serve requests until either side closes."""
        try:
            try:
                while await self._serve_one():
                    self.http.start_next_cycle()
            except _RejectedError as error:
                await self._reject(error.response)
        except (OSError, CallerGoneError, h11.RemoteProtocolError):
            pass
        except h11.LocalProtocolError as error:
            if self.server.on_error is not None:
                self.server.on_error("response", error)
        finally:
            self.server.remove(self)
            await self.sock.close()

    async def close_if_idle(self) -> None:
        """Ask the connection's task to close if it is between two requests."""
        if self.idle and not self._asked_to_close:
            self._asked_to_close = True
            await self.task.cancel(blocking=False, exc=_IdleError)

    async def refuse(self) -> None:
        """Tell the peer that there are too many connections."""
        invalid = Invalid(503, "too many connections; this attempt was not accepted")
        response = response_from_invalid(invalid)
        response.headers["retry-after"] = "1"
        try:
            await self._reject(response)
        except (OSError, CallerGoneError, h11.ProtocolError):
            pass
        finally:
            await self.sock.close()

    async def _serve_one(self) -> bool:
        """Serve one request; return whether another may follow on the connection."""
        if not await self._wait_first_byte():
            return False
        request = await self._read_request()
        if request is None:
            return False
        watcher = await curio.spawn(self._watch, daemon=True)
        try:
            response = await self._handle(request)
            await self._write(request, response)
        finally:
            await watcher.cancel()
        self.idle = True
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    async def _wait_first_byte(self) -> bool:
        """Wait for the first byte of a request; return False if the connection is to close."""
        if self.http.trailing_data[0]:
            self.idle = False
            return True
        self.idle = True
        try:
            data = await curio.timeout_after(
                self.limits.idle_timeout_ms / 1000, self.sock.recv, _READ_BYTES
            )
        except curio.TaskTimeout:
            return False
        except _IdleError:
            # A request may have arrived just before the server began to stop.
            data = self._read_available()
        if not data:
            return False
        self.idle = False
        await self._absorb_close()
        self.http.receive_data(data)
        return True

    async def _absorb_close(self) -> None:
        """Take a cancellation that is still pending, so that it does not hit the request."""
        if self._asked_to_close:
            try:
                await curio.sleep(0.001)
            except _IdleError:
                pass
            self._asked_to_close = False

    def _read_available(self) -> bytes:
        # The wrapped socket never blocks; curio's own recv would wait.
        try:
            return bytes(self.sock._socket.recv(_READ_BYTES))
        except OSError:
            return b""

    async def _read_request(self) -> Request | None:
        """Read one request; return None if the peer closed before its head was complete."""
        try:
            head = await curio.timeout_after(self.limits.head_timeout_ms / 1000, self._next_event)
        except curio.TaskTimeout:
            raise _RejectedError(408, "the head of the request took too long") from None
        if not isinstance(head, h11.Request):
            return None
        request = self._parse_head(head)
        try:
            request.body = await curio.timeout_after(
                self.limits.body_timeout_ms / 1000, self._read_body
            )
        except curio.TaskTimeout:
            raise _RejectedError(408, "the body of the request took too long") from None
        return request

    def _parse_head(self, head: h11.Request) -> Request:
        size = len(head.target) + sum(len(name) + len(value) + 4 for name, value in head.headers)
        if size > self.limits.header_bytes:
            raise _RejectedError(431, f"the head exceeds {self.limits.header_bytes} bytes")
        headers: dict[str, str] = {}
        for raw_name, raw_value in head.headers:
            name, value = raw_name.decode("ascii"), raw_value.decode("latin-1")
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
        length = headers.get("content-length")
        if length is not None and int(length) > self.limits.body_bytes:
            raise _RejectedError(413, f"the body exceeds {self.limits.body_bytes} bytes", "body")
        path, _, query = head.target.decode("ascii").partition("?")
        try:
            fields = dict(parse_qsl(query, keep_blank_values=True, max_num_fields=32))
        except ValueError as error:
            raise _RejectedError(400, f"malformed query: {error}", "query") from None
        method = head.method.decode("ascii")
        return Request(method, path, fields, headers, b"", self.peer)

    async def _read_body(self) -> bytes:
        if self.http.they_are_waiting_for_100_continue:
            go_ahead = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(self.http.send(go_ahead))
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise CallerGoneError
            size += len(event.data)
            if size > self.limits.body_bytes:
                raise _RejectedError(
                    413, f"the body exceeds {self.limits.body_bytes} bytes", "body"
                )
            parts.append(bytes(event.data))

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise _RejectedError(
                    error.error_status_hint, f"malformed request: {error}"
                ) from None
            if event is not h11.NEED_DATA:
                return event
            self.http.receive_data(await self.sock.recv(_READ_BYTES))

    async def _watch(self) -> None:
        """Cancel the connection's task when the peer closes; keep what it pipelines."""
        buffered = 0
        try:
            while buffered < _PIPELINED_BYTES:
                data = await self.sock.recv(_READ_BYTES)
                if not data:
                    break
                buffered += len(data)
                self.http.receive_data(data)
            else:
                return
        except OSError:
            pass
        await self.task.cancel(blocking=False, exc=CallerGoneError)

    async def _handle(self, request: Request) -> Response:
        try:
            return await self.server.handler(request)
        except Exception as error:
            if self.server.on_error is not None:
                self.server.on_error(f"{request.method} {request.path}", error)
            unknown = Unknown(Step.EDGE, "entry", "internal error")
            body = {"outcome": "unknown", "step": unknown.step.value, "reason": unknown.reason}
            return Response.from_json(500, body, {"snipewell-outcome": "unknown"})

    async def _write(self, request: Request, response: Response) -> None:
        headers = list(response.headers.items())
        if self.server.draining:
            headers.append(("connection", "close"))
        if response.stream is None:
            headers.append(("content-length", str(len(response.body))))
        head = h11.Response(
            status_code=response.status, headers=headers, reason=_PHRASES.get(response.status, "")
        )
        data = self.http.send(head) or b""
        if response.stream is not None:
            await self._write_stream(data, response)
            return
        if response.body and request.method != "HEAD":
            data += self.http.send(h11.Data(data=response.body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        await self._send(data)

    async def _write_stream(self, head: bytes, response: Response) -> None:
        stream = response.stream
        assert stream is not None
        try:
            await self._send(head)
            async for part in stream:
                await self._send(self.http.send(h11.Data(data=part)))
            await self._send(self.http.send(h11.EndOfMessage()))
        finally:
            close = getattr(stream, "aclose", None)
            if close is not None:
                await close()

    async def _send(self, data: bytes | None) -> None:
        """Send ``data``; a peer that does not read in time counts as gone."""
        if not data:
            return
        try:
            await curio.timeout_after(self.limits.write_timeout_ms / 1000, self.sock.sendall, data)
        except curio.TaskTimeout:
            raise CallerGoneError from None

    async def _reject(self, response: Response) -> None:
        """Answer without reading the rest, then close so that the peer can read the answer."""
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response.headers["connection"] = "close"
        await self._write(Request("GET", "/"), response)
        await self.sock.shutdown(socket.SHUT_WR)
        # Closing with unread bytes would reset the connection and could destroy the answer.
        try:
            async with curio.timeout_after(_LINGER_MS / 1000):
                left = _LINGER_BYTES
                while left > 0 and (data := await self.sock.recv(65_536)):
                    left -= len(data)
        except curio.TaskTimeout:
            pass


class _IdleError(curio.TaskCancelled):
    """Raised in an idle connection's task when the server stops."""
