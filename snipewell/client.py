"""HTTP client on h11 and curio for one address, with a bounded pool of connections.

The errors show if the peer may have processed a request. `NotSentError` means that no byte of it
can have left this process; `ExchangeError` means that the peer may have received it, even though no
response arrived. No request is ever sent twice. A response is returned only if it is complete, and
a connection is reused only after a complete exchange without protocol errors.
"""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Callable
from urllib.parse import urlencode

import curio
import curio.io
import h11

from .keepalive import enable_keepalive
from .outcome import SnipewellError, Step
from .reading import read_when_ready
from .web import Request, Response

MAX_BODY_BYTES = 16 * 1024 * 1024
_READ_BYTES = 65_536
_MAX_INFORMATIONAL = 8
"""Limit of responses with a 1xx status before the final response."""


class NotSentError(SnipewellError):
    """Failed request of which no byte can have been sent: the peer has not received it."""


class ExchangeError(SnipewellError):
    """Failed request of which a byte may have been sent: the peer may have processed it."""


class _BrokenError(Exception):
    """Protocol violation by the peer, or an incomplete or unusable response."""


class _Connection:
    """One TCP connection; ``sent`` is true once a byte of the current request was sent."""

    def __init__(self, sock: curio.io.Socket) -> None:
        self._sock = sock
        self._http = h11.Connection(h11.CLIENT)
        self.sent = False

    @classmethod
    async def open(cls, address: str, keepalive_timeout_ms: float = 0) -> _Connection:
        """Connect to ``address`` (``host:port``); raise OSError or ValueError.

        If ``keepalive_timeout_ms`` is positive, the kernel drops the connection when the peer
        has not acknowledged keep-alive probes for that long.
        """
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        if "\0" in host or not 0 < int(port) < 65_536:
            raise ValueError(f"expected host:port, got {address[:60]!r}")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        raw = socket.socket(family, socket.SOCK_STREAM)
        sock = curio.io.Socket(raw)
        try:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if keepalive_timeout_ms > 0:
                enable_keepalive(raw, keepalive_timeout_ms)
            await sock.connect((host, int(port)))
        except BaseException:
            await sock.close()
            raise
        return cls(sock)

    def is_usable(self) -> bool:
        """Return whether an idle connection is still open and has no unsolicited input."""
        try:
            self._sock._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def send(self, request: Request, host: str) -> None:
        """Send the complete ``request``; a ``host`` among its headers overrides ``host``."""
        self.sent = False
        target = request.path
        if request.query:
            target += "?" + urlencode(request.query)
        headers = [("Content-Length", str(len(request.body)))]
        if "host" not in request.headers:
            headers.append(("Host", host))
        pairs = [(name.encode(), value.encode()) for name, value in headers]
        pairs += [(name.encode(), value.encode()) for name, value in request.headers.items()]
        head = h11.Request(method=request.method, target=target, headers=pairs)
        data = self._http.send(head) or b""
        if request.body:
            data += self._http.send(h11.Data(data=request.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        view = memoryview(data)
        while view:
            count = await self._sock.send(view)
            self.sent = True
            view = view[count:]

    async def next_event(self) -> object:
        """Return the next h11 event; raise _BrokenError if the connection was closed before it."""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await read_when_ready(self._sock, _READ_BYTES))
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise _BrokenError("the peer closed the connection without an answer")
            else:
                return event

    async def read_head(self, method: str) -> Response:
        """Return status and headers; raise _BrokenError if the body has no delimited length."""
        for _ in range(_MAX_INFORMATIONAL):
            event = await self.next_event()
            if isinstance(event, h11.Response):
                break
        else:
            raise _BrokenError("too many informational responses")
        headers = {name.decode(): value.decode(errors="replace") for name, value in event.headers}
        bodiless = method == "HEAD" or event.status_code in (204, 304)
        if not bodiless and not headers.keys() & {"content-length", "transfer-encoding"}:
            # Without a length, a truncated body can't be distinguished from a complete one.
            raise _BrokenError("the answer does not state its length")
        return Response(event.status_code, headers)

    async def read_body(self, max_bytes: int) -> bytes:
        """Return the complete body; raise _BrokenError if it is larger than ``max_bytes``."""
        parts = []
        size = 0
        while not isinstance(event := await self.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > max_bytes:
                    raise _BrokenError(f"the answer is larger than {max_bytes} bytes")
                parts.append(bytes(event.data))
        return b"".join(parts)

    def reset(self) -> bool:
        """Prepare the connection for another request; return False if it must be closed."""
        if self._http.trailing_data[0]:
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    async def close(self) -> None:
        await self._sock.close()


_CONNECTION_ERRORS = (OSError, h11.RemoteProtocolError, _BrokenError)


class HttpPool:
    """Pool of at most ``connections`` persistent connections to ``address`` (``ip:port``).

    For example ``response = await HttpPool("127.0.0.1:8080").request(Request("GET", "/"), 500)``.
    """

    def __init__(
        self,
        address: str,
        connections: int = 60,
        max_body_bytes: int = MAX_BODY_BYTES,
        step: Step = Step.UPSTREAM,
        connect_timeout_ms: float = 1_000,
        keepalive_timeout_ms: float = 0,
    ) -> None:
        self.address = address
        self._keepalive_timeout_ms = keepalive_timeout_ms
        self._connect_timeout_s = connect_timeout_ms / 1000
        self._max_body_bytes = max_body_bytes
        self._step = step
        self._capacity = curio.Semaphore(connections)
        self._idle: list[_Connection] = []

    def _make_error(self, connection: _Connection | None, reason: str) -> SnipewellError:
        sent = connection is not None and connection.sent
        return (ExchangeError if sent else NotSentError)(self._step, self.address, reason)

    async def request(
        self,
        request: Request,
        timeout_ms: float,
        may_send: Callable[[], bool] | None = None,
        is_expected: Callable[[Response], bool] | None = None,
    ) -> Response:
        """Send ``request`` and return the complete response, within ``timeout_ms``.

        ``may_send`` is called immediately before the first byte is sent; if it returns False, the
        request is not sent. If ``is_expected`` returns False for the response, ExchangeError is
        raised and the connection is closed. Raise NotSentError or ExchangeError. If the calling
        task is cancelled, the connection is closed.
        """
        if timeout_ms <= 0:
            raise NotSentError(self._step, self.address, "no time left")
        acquired: list[_Connection] = []
        try:
            async with curio.timeout_after(timeout_ms / 1000), self._capacity:
                return await self._exchange(request, acquired, may_send, is_expected)
        except curio.TaskTimeout:
            reason = f"no whole answer within {timeout_ms:.0f} ms"
            raise self._make_error(acquired[0] if acquired else None, reason) from None

    async def _exchange(
        self,
        request: Request,
        acquired: list[_Connection],
        may_send: Callable[[], bool] | None,
        is_expected: Callable[[Response], bool] | None,
    ) -> Response:
        connection = await self._acquire()
        acquired.append(connection)
        connection.sent = False
        reusable = False
        try:
            if may_send is not None and not may_send():
                raise NotSentError(self._step, self.address, "sending is no longer allowed")
            await connection.send(request, self.address)
            response = await connection.read_head(request.method)
            response.body = await connection.read_body(self._max_body_bytes)
            if is_expected is not None and not is_expected(response):
                raise _BrokenError("the answer belongs to another request")
            reusable = connection.reset()
        except _CONNECTION_ERRORS as error:
            raise self._make_error(connection, str(error) or type(error).__name__) from error
        except h11.LocalProtocolError as error:
            raise self._make_error(connection, f"invalid request: {error}") from error
        finally:
            if reusable:
                self._idle.append(connection)
            else:
                await connection.close()
        return response

    async def _acquire(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable():
                return connection
            await connection.close()
        try:
            async with curio.timeout_after(self._connect_timeout_s):
                return await _Connection.open(self.address, self._keepalive_timeout_ms)
        except (OSError, ValueError, curio.TaskTimeout) as error:
            raise NotSentError(self._step, self.address, f"cannot connect: {error}") from error

    async def stream(self, request: Request, timeout_ms: float, read_timeout_ms: float) -> Response:
        """Send ``request`` on a dedicated connection and return the response with its ``stream``.

        The head must arrive within ``timeout_ms``, and each part within ``read_timeout_ms`` of the
        previous one. The connection is closed when the stream ends or fails; call
        `HttpStream.close` to abandon it earlier. Raise NotSentError or ExchangeError, also while
        the stream is read.
        """
        connection: _Connection | None = None
        response: Response | None = None
        try:
            async with curio.timeout_after(timeout_ms / 1000):
                connection = await _Connection.open(self.address)
                await connection.send(request, self.address)
                response = await connection.read_head(request.method)
        except (*_CONNECTION_ERRORS, ValueError, curio.TaskTimeout) as error:
            raise self._make_error(connection, str(error) or type(error).__name__) from error
        finally:
            if connection is not None and response is None:
                await connection.close()
        response.stream = HttpStream(connection, read_timeout_ms, self._step, self.address)
        return response

    async def close(self) -> None:
        """Close the idle connections.

        Those in use are not closed here: they return to the pool when their requests end.
        """
        while self._idle:
            await self._idle.pop().close()


class HttpStream(AsyncIterator[bytes]):
    """Iterator over the parts of a response body; a truncated body raises ExchangeError."""

    def __init__(
        self, connection: _Connection, read_timeout_ms: float, step: Step, address: str
    ) -> None:
        self._connection: _Connection | None = connection
        self._read_timeout_ms = read_timeout_ms
        self._step = step
        self._address = address

    async def __anext__(self) -> bytes:
        while self._connection is not None:
            try:
                async with curio.timeout_after(self._read_timeout_ms / 1000):
                    event = await self._connection.next_event()
            except (*_CONNECTION_ERRORS, curio.TaskTimeout) as error:
                await self.close()
                reason = str(error) or type(error).__name__
                raise ExchangeError(self._step, self._address, reason) from error
            if isinstance(event, h11.Data):
                return bytes(event.data)
            await self.close()
        raise StopAsyncIteration

    async def close(self) -> None:
        """Close the connection, which ends the stream."""
        if self._connection is not None:
            connection, self._connection = self._connection, None
            await connection.close()


async def fetch(
    address: str,
    request: Request,
    timeout_ms: float,
    max_body_bytes: int = MAX_BODY_BYTES,
    step: Step = Step.EDGE,
) -> Response:
    """Send a single request to ``address`` (``ip:port``) and close the connection afterwards.

    Raise NotSentError or ExchangeError.
    """
    pool = HttpPool(address, 1, max_body_bytes, step)
    try:
        return await pool.request(request, timeout_ms)
    finally:
        await pool.close()
