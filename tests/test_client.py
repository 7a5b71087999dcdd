from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
import pytest

from snipewell.client import ExchangeError, HttpPool, NotSentError, fetch
from snipewell.web import Request

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
GET = Request("GET", "/")


class ScriptedServer:
    """Server that sends the next scripted response for each chunk of data it receives.

    ``None`` sends no response, ``b""`` closes the connection; ``"close"`` as the second item closes
    it after the response.
    """

    def __init__(self, *responses: bytes | tuple[bytes, str] | None) -> None:
        self.responses = list(responses)
        self.received: list[bytes] = []
        self.connections = 0
        self.address = ""

    async def serve(self, client: curio.io.Socket, _address: object) -> None:
        self.connections += 1
        while data := await client.recv(65_536):
            self.received.append(data)
            response = self.responses.pop(0)
            if response is None:
                await curio.sleep(60)
                return
            body, close = response if isinstance(response, tuple) else (response, "")
            await client.sendall(body)
            if close or not body:
                return


def run(
    scripted_server: ScriptedServer, scenario: Callable[[HttpPool], Awaitable[None]], **limits: int
) -> None:
    async def bounded() -> None:
        listener = curio.network.tcp_server_socket("127.0.0.1", 0)
        scripted_server.address = ":".join(map(str, listener.getsockname()))
        pool = HttpPool(scripted_server.address, **limits)
        async with curio.timeout_after(20):
            server = await curio.spawn(curio.network.run_server, listener, scripted_server.serve)
            await scenario(pool)
            await pool.close()
            await server.cancel()

    curio.run(bounded)


@pytest.mark.parametrize(
    "response",
    [
        (b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", "close"),
        (CHUNKED + b"4\r\nhalf\r\n", "close"),
        (b"HTTP/1.1 200 OK\r\n\r\nno length", "close"),
        b"HTTP/1.1 200 OK\r\ncontent-length: 9999\r\n\r\n" + b"x" * 9999,
        b"not http at all\r\n\r\n",
        b"",
        None,
    ],
)
def test_incomplete_response_is_an_error_and_its_connection_is_not_reused(
    response: bytes | tuple[bytes, str] | None,
) -> None:
    """Guards against a partial response returned as complete, and against mixed-up responses."""
    scripted_server = ScriptedServer(response, OK)

    async def scenario(pool: HttpPool) -> None:
        with pytest.raises(ExchangeError):
            await pool.request(GET, 300)
        assert len(scripted_server.received) == 1
        assert (await pool.request(GET, 5_000)).body == b"ok"
        assert scripted_server.connections == 2

    run(scripted_server, scenario, max_body_bytes=1_000)


def test_idle_connection_is_reused_and_a_closed_one_is_detected_before_sending() -> None:
    """Guards against an avoidable ExchangeError after the upstream closed an idle connection."""
    scripted_server = ScriptedServer(OK, (OK, "close"), OK)

    async def scenario(pool: HttpPool) -> None:
        assert (await pool.request(GET, 5_000)).body == b"ok"
        assert (await pool.request(GET, 5_000)).body == b"ok"
        assert scripted_server.connections == 1
        await curio.sleep(0.05)
        assert (await pool.request(GET, 5_000)).body == b"ok"
        assert scripted_server.connections == 2

    run(scripted_server, scenario)


def test_request_is_not_resent_when_a_reused_connection_breaks() -> None:
    """Guards against duplicate work when the upstream reads the request and then closes."""
    scripted_server = ScriptedServer(OK, b"", OK)

    async def scenario(pool: HttpPool) -> None:
        await pool.request(GET, 5_000)
        with pytest.raises(ExchangeError):
            await pool.request(Request("POST", "/", body=b"work"), 5_000)
        assert len(scripted_server.received) == 2

    run(scripted_server, scenario)


def test_unsent_request_raises_not_sent_error() -> None:
    """Guards against an unknown outcome for a request that was certainly not sent."""
    scripted_server = ScriptedServer(None)

    async def scenario(pool: HttpPool) -> None:
        with pytest.raises(NotSentError):
            await fetch("127.0.0.1:9", GET, 1_000)
        with pytest.raises(NotSentError):
            await pool.request(GET, 1_000, may_send=lambda: False)
        with pytest.raises(NotSentError):
            await pool.request(Request("GET", "/", headers={"bad name": "x"}), 1_000)
        blocker = await curio.spawn(pool.request, GET, 60_000)
        while not scripted_server.received:
            await curio.sleep(0.005)
        with pytest.raises(NotSentError):
            await pool.request(GET, 100)
        await blocker.cancel()
        assert len(scripted_server.received) == 1

    run(scripted_server, scenario, connections=1)


def test_stream_yields_parts_and_reports_truncation() -> None:
    """Guards against a broken connection that ends a watch like a complete response."""
    scripted_server = ScriptedServer(
        CHUNKED + b"1\r\na\r\n1\r\nb\r\n0\r\n\r\n", (CHUNKED + b"1\r\na\r\n5\r\nb", "close")
    )

    async def scenario(pool: HttpPool) -> None:
        complete = await pool.stream(GET, 1_000, 1_000)
        assert complete.stream is not None
        assert b"".join([part async for part in complete.stream]) == b"ab"
        truncated = await pool.stream(GET, 1_000, 1_000)
        assert truncated.stream is not None
        with pytest.raises(ExchangeError):
            async for _ in truncated.stream:
                pass

    run(scripted_server, scenario)
