"""HTTP/1.1 server: h11 on curio sockets, with limits on all input from a client.

Every connection is served by its own task, so that a slow or faulty client affects no other. A
client that closes its sending side counts as disconnected: the handler of its request is cancelled.
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

from .keepalive import enable_keepalive
from .listener import open_listener
from .outcome import Invalid, Step, Unknown
from .reading import read_when_ready
from .web import Request, Response

Handler = Callable[[Request], Awaitable[Response]]
ErrorHook = Callable[[str, BaseException], None]

_REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}
_READ_BYTES = 16_384
_PIPELINED_BYTES = 65_536
"""Pipelined input buffered during a request, after which disconnects are no longer detected."""
_DRAIN_POLL_S = 0.01
_LINGER_MS = 300
"""Longest time for which input is discarded after a rejection."""
_LINGER_BYTES = 1_048_576
"""Most bytes that are discarded after a rejection."""


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of a server. Times are in milliseconds, sizes in bytes.

    ``head_timeout_ms`` counts from the first byte of a request, ``body_timeout_ms`` from the end
    of its head, ``idle_timeout_ms`` between two requests on a connection. If
    ``keepalive_timeout_ms`` is positive, the kernel drops a connection whose keep-alive probes are
    unanswered for that long.

    A server that is stopping still serves requests on idle connections for ``drain_idle_ms``, and
    closes each connection after its next response: a request may be in transit to a connection that
    appears idle to the server.
    """

    connections: int = 2_000
    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    head_timeout_ms: float = 5_000
    body_timeout_ms: float = 10_000
    idle_timeout_ms: float = 60_000
    write_timeout_ms: float = 10_000
    keepalive_timeout_ms: float = 0
    drain_idle_ms: float = 500


class ClientDisconnectedError(curio.TaskCancelled):
    """The client is disconnected, or counts as such.

    Raised in a handler when the client closed its connection before the response. A handler may
    raise it to close the connection without a response.
    """


class _RejectedError(Exception):
    """Request that is rejected before it reaches the handler."""

    def __init__(self, status: int, reason: str, field: str = "") -> None:
        super().__init__(reason)
        self.response = response_from_invalid(Invalid(status, reason, field))


def response_from_invalid(outcome: Invalid) -> Response:
    """Return the response to an HTTP request that was not accepted.

    It says nothing about other requests with the same idempotency key.
    """
    body = {
        "outcome": "invalid",
        "reason": outcome.reason,
        "field": outcome.field,
        "accepted": False,
    }
    return Response.from_json(outcome.status, body, {"snipewell-outcome": "invalid"})


class HttpServer:
    """HTTP server on one address; ``start`` and ``stop`` must be called in a curio kernel.

    ``on_error`` is called with exceptions raised by the handler, for which the client gets status
    500, and with errors in the responses.
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
        self._accept_task: Any = None
        self._connections: set[_Connection] = set()

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def request_count(self) -> int:
        """Number of requests whose first byte has arrived and whose response was not yet sent."""
        return sum(1 for connection in self._connections if not connection.idle)

    async def start(self, host: str, port: int) -> None:
        """Listen on ``host:port``; port 0 picks a free port, see ``address``. Raises OSError."""
        await self.serve(open_listener(host, port))

    async def serve(self, listener: stdlib_socket.socket) -> None:
        """Accept connections from ``listener``, which the server closes when it stops."""
        self._listener = curio.io.Socket(listener)
        self.address = listener.getsockname()[:2]
        self._accept_task = await curio.spawn(self._accept, daemon=True)

    async def _accept(self) -> None:
        while True:
            try:
                sock, peer = await self._listener.accept()
            except OSError:
                # Out of file descriptors, or reset by the client: neither may stop the server.
                await curio.sleep(0.02)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.limits.keepalive_timeout_ms > 0:
                enable_keepalive(sock, self.limits.keepalive_timeout_ms)
            connection = _Connection(self, sock, f"{peer[0]}:{peer[1]}")
            if len(self._connections) >= self.limits.connections:
                await curio.spawn(connection.refuse, daemon=True)
            else:
                self._connections.add(connection)
                connection.task = await curio.spawn(connection.run, daemon=True)

    def remove(self, connection: _Connection) -> None:
        """Remove a closed connection from the set of open ones."""
        self._connections.discard(connection)

    async def stop(self, grace_ms: float) -> int:
        """Close the listener, then the connections as they become idle.

        Waits up to ``drain_idle_ms`` for the connections to close, then closes each one once it is
        idle.

        Returns the number of requests that were aborted because ``grace_ms`` had passed.
        """
        self.draining = True
        if self._accept_task is not None:
            await self._accept_task.cancel()
            await self._listener.close()
            self._accept_task = None
        try:
            async with curio.timeout_after(grace_ms / 1000):
                await self._wait_until_closed()
                while self._connections:
                    for connection in list(self._connections):
                        await connection.close_if_idle()
                    await curio.sleep(_DRAIN_POLL_S)
        except curio.TaskTimeout:
            pass
        aborted = self.request_count
        for connection in list(self._connections):
            await connection.task.cancel()
        return aborted

    async def _wait_until_closed(self) -> None:
        """Wait until every connection is closed, at most for ``drain_idle_ms``."""
        async with curio.ignore_after(self.limits.drain_idle_ms / 1000):
            while self._connections:
                await curio.sleep(_DRAIN_POLL_S)


class _Connection:
    """A client connection: reads requests in order and writes their responses."""

    def __init__(self, server: HttpServer, sock: Any, peer: str) -> None:
        self.server = server
        self.limits = server.limits
        self.sock = sock
        self.peer = peer
        self.idle = True
        self.task: Any = None
        self._close_requested = False
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=server.limits.header_bytes)

    async def run(self) -> None:
        """Serve requests until either side closes."""
        try:
            try:
                while await self._serve_one():
                    self.http.start_next_cycle()
            except _RejectedError as error:
                await self._reject(error.response)
        except (OSError, ClientDisconnectedError, h11.RemoteProtocolError):
            pass
        except h11.LocalProtocolError as error:
            if self.server.on_error is not None:
                self.server.on_error("response", error)
        finally:
            self.server.remove(self)
            await self.sock.close()

    async def close_if_idle(self) -> None:
        """Request the connection's task to close it if it is between two requests."""
        if self.idle and not self._close_requested:
            self._close_requested = True
            await self.task.cancel(blocking=False, exc=_IdleError)

    async def refuse(self) -> None:
        """Respond with status 503 for too many connections, and close."""
        invalid = Invalid(503, "too many connections; this attempt was not accepted")
        response = response_from_invalid(invalid)
        response.headers["retry-after"] = "1"
        try:
            await self._reject(response)
        except (OSError, ClientDisconnectedError, h11.ProtocolError):
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
        disconnect_watcher = await curio.spawn(self._watch_for_disconnect, daemon=True)
        try:
            response = await self._handle(request)
            await self._write(request, response)
        finally:
            await disconnect_watcher.cancel()
        self.idle = True
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    async def _wait_first_byte(self) -> bool:
        """Wait for the first byte of a request; return False if the connection must be closed."""
        if self.http.trailing_data[0]:
            self.idle = False
            return True
        self.idle = True
        try:
            data = await curio.timeout_after(
                self.limits.idle_timeout_ms / 1000, read_when_ready, self.sock, _READ_BYTES
            )
        except curio.TaskTimeout:
            return False
        except _IdleError:
            # A request may have arrived just before the server began to stop.
            data = self._read_available()
        if not data:
            return False
        self.idle = False
        await self._consume_close_request()
        self.http.receive_data(data)
        return True

    async def _consume_close_request(self) -> None:
        """Consume a cancellation that is still pending, so that it can't abort the request."""
        if self._close_requested:
            try:
                await curio.sleep(0.001)
            except _IdleError:
                pass
            self._close_requested = False

    def _read_available(self) -> bytes:
        # Reads the wrapped non-blocking socket, because curio's own recv would wait for input.
        try:
            return bytes(self.sock._socket.recv(_READ_BYTES))
        except OSError:
            return b""

    async def _read_request(self) -> Request | None:
        """Read one request; return None if the client closed before its head was complete."""
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
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(self.http.send(continue_response))
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise ClientDisconnectedError
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

    async def _watch_for_disconnect(self) -> None:
        """Cancel the connection's task when the client closes; buffer pipelined requests."""
        buffered = 0
        try:
            while buffered < _PIPELINED_BYTES:
                data = await read_when_ready(self.sock, _READ_BYTES)
                if not data:
                    break
                buffered += len(data)
                self.http.receive_data(data)
            else:
                return
        except OSError:
            pass
        await self.task.cancel(blocking=False, exc=ClientDisconnectedError)

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
            status_code=response.status,
            headers=headers,
            reason=_REASON_PHRASES.get(response.status, ""),
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
        """Send ``data``; a client that does not read it in time counts as disconnected."""
        if not data:
            return
        try:
            await curio.timeout_after(self.limits.write_timeout_ms / 1000, self.sock.sendall, data)
        except curio.TaskTimeout:
            raise ClientDisconnectedError from None

    async def _reject(self, response: Response) -> None:
        """Respond without reading the rest of the request, then shut down the sending side.

        Input is discarded for a limited time: closing a socket with unread input would reset the
        connection, and the client might lose the response.
        """
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response.headers["connection"] = "close"
        await self._write(Request("GET", "/"), response)
        await self.sock.shutdown(socket.SHUT_WR)
        try:
            async with curio.timeout_after(_LINGER_MS / 1000):
                remaining = _LINGER_BYTES
                while remaining > 0 and (data := await self.sock.recv(65_536)):
                    remaining -= len(data)
        except curio.TaskTimeout:
            pass


class _IdleError(curio.TaskCancelled):
    """Raised in the task of an idle connection when the server stops."""
