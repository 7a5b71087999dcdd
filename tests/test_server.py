"""Tests of the HTTP server: malformed, oversized and slow input, and the graceful stop."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable

import curio
import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snipewell.server import HttpServer, ServerLimits
from snipewell.web import Request, Response

LIMITS = ServerLimits(
    connections=4, header_bytes=4_096, body_bytes=1_000, head_timeout_ms=100, body_timeout_ms=100
)
GET = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"
LAST = b"GET /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"


class Recorder:
    """Handler that records the paths of its requests; ``/slow`` waits for ``release``."""

    def __init__(self) -> None:
        self.paths: list[str] = []
        self.cancelled = 0
        self.release = curio.Event()
        self.errors: list[BaseException] = []

    async def handle(self, request: Request) -> Response:
        self.paths.append(request.path)
        if request.path == "/slow":
            try:
                await self.release.wait()
            except curio.CancelledError:
                self.cancelled += 1
                raise
        if request.path == "/pause":
            await curio.sleep(0.001)
        if request.path == "/broken":
            raise ValueError("broken")
        if request.path == "/stream":
            return Response(200, stream=self._parts())
        return Response(200, {}, request.path.encode() + request.body)

    async def _parts(self) -> AsyncIterator[bytes]:
        for part in (b"one", b"two"):
            yield part


async def exchange(port: int, data: bytes, wait_s: float = 5) -> bytes:
    """Send ``data`` and return everything received until the server closes or time is up."""
    sock = await curio.open_connection("127.0.0.1", port)
    received = b""
    try:
        await sock.sendall(data)
        async with curio.timeout_after(wait_s):
            while part := await sock.recv(65_536):
                received += part
    except (curio.TaskTimeout, ConnectionError):
        pass
    finally:
        await sock.close()
    return received


def serve(check: Callable[[HttpServer, Recorder], Awaitable[None]]) -> Recorder:
    """Run ``check`` with a server and stop the server afterwards."""
    recorder = Recorder()

    async def main() -> None:
        server = HttpServer(recorder.handle, LIMITS, lambda _, error: recorder.errors.append(error))
        await server.start("127.0.0.1", 0)
        try:
            await curio.timeout_after(60, check, server, recorder)
        finally:
            await recorder.release.set()
            await server.stop(1_000)
        assert server.connection_count == 0

    curio.run(main)
    return recorder


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n", 400),
        (b"GET /a?" + b"q&" * 50 + b" HTTP/1.1\r\nhost: x\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nhost: x\r\n" + b"a: b\r\n" * 2_000, 431),
        (b"GET /a HTTP/1.1\r\nhost: x\r\nlong: " + b"y" * 4_096 + b"\r\n\r\n", 431),
        (b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 1001\r\n\r\n", 413),
        (
            b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n"
            + b"z" * 1_001,
            413,
        ),
        (b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nhalf", 408),
        (b"GET /a HTT", 408),
    ],
)
def test_invalid_request_is_rejected_without_calling_the_handler(data: bytes, status: int) -> None:
    """Guards against work started for a malformed, oversized or incomplete request."""

    async def check(server: HttpServer, recorder: Recorder) -> None:
        response = await exchange(server.address[1], data)
        assert response.startswith(b"HTTP/1.1 %d " % status), response
        assert b'"accepted":false' in response

    assert serve(check).paths == []


@settings(max_examples=40)
@given(st.lists(st.one_of(st.binary(max_size=60), st.sampled_from([GET, b"\r\n", b"POST "]))))
def test_garbage_harms_no_other_connection(parts: list[bytes]) -> None:
    """Guards against input that ends the server, leaks a connection or affects another one."""

    async def check(server: HttpServer, recorder: Recorder) -> None:
        slow = await curio.spawn(exchange, server.address[1], GET.replace(b"/a", b"/slow"))
        await exchange(server.address[1], b"".join(parts) + b"\r\n\r\nx", 0.02)
        await recorder.release.set()
        assert (await exchange(server.address[1], LAST)).endswith(b"/a")
        await slow.cancel()

    assert serve(check).errors == []


def test_pipelined_requests_in_any_split_are_answered_in_order() -> None:
    """Guards against mixed-up or missing responses when requests arrive in arbitrary pieces."""
    paths = [b"/1", b"/stream", b"/2", b"/3"]
    data = b"".join(GET.replace(b"/a", path) for path in paths)
    data += b"POST /4 HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 2\r\n\r\nhi"

    async def check(server: HttpServer, recorder: Recorder) -> None:
        for step in (1, 7, 40, 1_000):
            sock = await curio.open_connection("127.0.0.1", server.address[1])
            for start in range(0, len(data), step):
                await sock.sendall(data[start : start + step])
                await curio.sleep(0)
            client = h11.Connection(h11.CLIENT)
            bodies = []
            for _ in range(5):
                client.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
                client.send(h11.EndOfMessage())
                body = b""
                while not isinstance(event := client.next_event(), h11.EndOfMessage):
                    if event is h11.NEED_DATA:
                        client.receive_data(await sock.recv(1_000))
                    elif isinstance(event, h11.Data):
                        body += event.data
                bodies.append(body)
                if client.our_state is h11.DONE and client.their_state is h11.DONE:
                    client.start_next_cycle()
            assert bodies == [b"/1", b"onetwo", b"/2", b"/3", b"/4hi"]
            await sock.close()

    serve(check)


def test_client_disconnect_cancels_only_its_own_handler() -> None:
    """Guards against handlers that keep running after their client has disconnected."""

    async def check(server: HttpServer, recorder: Recorder) -> None:
        request = GET.replace(b"/a", b"/slow")
        stays = await curio.spawn(exchange, server.address[1], request + GET)
        leaves = await curio.open_connection("127.0.0.1", server.address[1])
        await leaves.sendall(request)
        while len(recorder.paths) < 2:
            await curio.sleep(0.001)
        await leaves.close()
        while not recorder.cancelled:
            await curio.sleep(0.001)
        await recorder.release.set()
        await server.stop(1_000)
        assert b"/slow" in await stays.join()
        assert recorder.cancelled == 1

    serve(check)


def test_connection_over_the_limit_is_rejected_as_not_accepted() -> None:
    """Guards against a connection limit that leaves clients without a response."""

    async def check(server: HttpServer, recorder: Recorder) -> None:
        socks = [await curio.open_connection("127.0.0.1", server.address[1]) for _ in range(4)]
        response = await exchange(server.address[1], GET)
        assert response.startswith(b"HTTP/1.1 503 ") and b"not accepted" in response
        for sock in socks:
            await sock.close()
        while server.connection_count:
            await curio.sleep(0.001)
        assert (await exchange(server.address[1], LAST)).endswith(b"/a")

    serve(check)


def test_stop_finishes_requests_and_closes_idle_connections() -> None:
    """Guards against a graceful stop that aborts a request, even one that has just arrived."""

    async def check(server: HttpServer, recorder: Recorder) -> None:
        busy, fresh, idle = [
            await curio.open_connection("127.0.0.1", server.address[1]) for _ in range(3)
        ]
        await busy.sendall(GET.replace(b"/a", b"/slow"))
        while not recorder.paths:
            await curio.sleep(0.001)
        await fresh.sendall(GET)
        stopping = await curio.spawn(server.stop, 5_000)
        assert (await fresh.recv(1_000)).endswith(b"/a")
        assert await idle.recv(1_000) == b""
        await recorder.release.set()
        assert (await busy.recv(1_000)).endswith(b"/slow")
        assert await stopping.join() == 0

    serve(check)


def test_stop_answers_a_request_in_transit() -> None:
    """Guards against closing a keep-alive connection while a relay still forwards a request."""

    async def check(server: HttpServer, recorder: Recorder) -> None:
        sock = await curio.open_connection("127.0.0.1", server.address[1])
        await sock.sendall(GET)
        assert (await sock.recv(1_000)).endswith(b"/a")
        stopping = await curio.spawn(server.stop, 5_000)
        await curio.sleep(0.05)
        await sock.sendall(GET)
        response = await sock.recv(1_000)
        assert b"connection: close" in response.lower()
        assert response.endswith(b"/a")
        assert await stopping.join() == 0

    serve(check)


def test_stop_answers_a_request_that_arrives_simultaneously() -> None:
    """Guards against closing an idle connection whose next request has already been received."""

    async def check(server: HttpServer, recorder: Recorder) -> None:
        for turns in range(6):
            sock = await curio.open_connection("127.0.0.1", server.address[1])
            while not server.connection_count:
                await curio.sleep(0.001)
            (connection,) = server._connections
            await curio.sleep(0.005)
            # The number of turns decides if the task reads the request before the cancellation.
            sock._socket.send(GET.replace(b"/a", b"/pause"))
            for _ in range(turns):
                await curio.sleep(0)
            await connection.close_if_idle()
            assert (await sock.recv(1_000)).endswith(b"/pause")
            await sock.close()
            while server.connection_count:
                await curio.sleep(0.001)

    serve(check)


def test_stop_reports_aborted_requests() -> None:
    """Guards against a stop that waits forever, or does not report the requests it aborted."""

    async def check(server: HttpServer, recorder: Recorder) -> None:
        sock = await curio.open_connection("127.0.0.1", server.address[1])
        await sock.sendall(GET.replace(b"/a", b"/slow"))
        while not recorder.paths:
            await curio.sleep(0.001)
        assert await server.stop(20) == 1
        await sock.close()

    serve(check)


def test_handler_exception_is_not_reported_as_not_accepted() -> None:
    """Guards against an internal error that is reported as a rejected attempt."""

    async def check(server: HttpServer, recorder: Recorder) -> None:
        response = await exchange(server.address[1], LAST.replace(b"/a", b"/broken"))
        assert response.startswith(b"HTTP/1.1 500 ") and b"accepted" not in response

    assert len(serve(check).errors) == 1
