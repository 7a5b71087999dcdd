"""Guards against truncated or reordered frames, delivery to absent peers and unbounded buffers."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from snipewell.errors import MessageError
from snipewell.listener import open_listener
from snipewell.stream import Codec, FrameBuffer, StreamClients, StreamLimits, StreamServer


def decode(data: bytes) -> str:
    if data == b"broken":
        raise MessageError("broken")
    return data.decode()


CODEC = Codec(str.encode, decode)
LIMITS = StreamLimits(frame_bytes=1_000_000, pending_bytes=100_000, reconnect_ms=10)


class Recorder:
    """Records the messages that one side receives and its ended connections."""

    def __init__(self) -> None:
        self.messages: list[tuple[str, str]] = []
        self.ends: list[tuple[str, str]] = []

    async def deliver(self, peer: str, message: Any) -> None:
        self.messages.append((peer, message))

    def report(self, peer: str, reason: str) -> None:
        self.ends.append((peer, reason))


async def until(condition: Callable[[], bool]) -> None:
    async with curio.timeout_after(10):
        while not condition():
            await curio.sleep(0.002)


def run_check(
    check: Callable[[StreamServer, Recorder, StreamClients, Recorder], Awaitable[None]],
) -> None:
    """Run ``check`` with a server that an agent's clients have connected to as ``entry``."""

    async def main() -> None:
        at_server, at_client = Recorder(), Recorder()
        server = StreamServer(
            open_listener("127.0.0.1", 0), CODEC, at_server.deliver, at_server.report, LIMITS
        )
        clients = StreamClients("agent+1", CODEC, at_client.deliver, at_client.report, LIMITS)
        await server.start()
        await clients.connect("entry", server.address)
        try:
            async with curio.timeout_after(30):
                await check(server, at_server, clients, at_client)
        finally:
            await clients.close()
            await server.close()

    curio.run(main)


async def wait_until_connected(
    server: StreamServer, at_server: Recorder, clients: StreamClients
) -> None:
    """Wait until a message of the client has reached the server."""
    while not await clients.send("entry", "hello"):
        await curio.sleep(0.002)
    await until(lambda: ("agent+1", "hello") in at_server.messages)


@pytest.mark.parametrize("piece", [1, 3, 7, 1_000])
def test_frames_are_reassembled_from_pieces_of_any_size(piece: int) -> None:
    data = b"".join(len(part).to_bytes(4, "big") + part for part in (b"", b"ab", b"c" * 40))
    buffer, frames = FrameBuffer(100), []
    for start in range(0, len(data), piece):
        frames += buffer.feed(data[start : start + piece])
    assert frames == [b"", b"ab", b"c" * 40]


def test_a_frame_over_the_limit_is_rejected_before_its_content_arrives() -> None:
    with pytest.raises(MessageError):
        FrameBuffer(100).feed((101).to_bytes(4, "big"))


def test_messages_arrive_in_order_both_ways() -> None:
    async def check(
        server: StreamServer, at_s: Recorder, clients: StreamClients, at_c: Recorder
    ) -> None:
        await wait_until_connected(server, at_s, clients)
        for number in range(200):
            assert await clients.send("entry", f"up{number}")
            assert await server.send("agent+1", f"down{number}")
        await until(lambda: len(at_s.messages) == 201 and len(at_c.messages) == 200)
        assert at_s.messages[1:] == [("agent+1", f"up{number}") for number in range(200)]
        assert at_c.messages == [("entry", f"down{number}") for number in range(200)]

    run_check(check)


def test_a_message_for_a_disconnected_peer_is_not_queued() -> None:
    """A delayed order could start a task that its sender has given up, so nothing is queued."""

    async def check(
        server: StreamServer, at_s: Recorder, clients: StreamClients, at_c: Recorder
    ) -> None:
        assert not await server.send("agent+2", "start")
        assert not await clients.send("nobody", "start")

    run_check(check)


def test_an_ended_connection_is_reopened() -> None:
    async def check(
        server: StreamServer, at_s: Recorder, clients: StreamClients, at_c: Recorder
    ) -> None:
        await wait_until_connected(server, at_s, clients)
        server._streams["agent+1"].abort()
        await until(lambda: bool(at_c.ends))
        at_s.messages.clear()
        await wait_until_connected(server, at_s, clients)

    run_check(check)


def test_a_replaced_connection_works_under_the_same_name() -> None:
    async def check(
        server: StreamServer, at_s: Recorder, clients: StreamClients, at_c: Recorder
    ) -> None:
        await wait_until_connected(server, at_s, clients)
        await clients.replace("entry")
        at_s.messages.clear()
        await wait_until_connected(server, at_s, clients)
        assert await server.send("agent+1", "answer")
        await until(lambda: ("entry", "answer") in at_c.messages)

    run_check(check)


def test_a_malformed_message_ends_its_connection_and_is_reported() -> None:
    async def check(
        server: StreamServer, at_s: Recorder, clients: StreamClients, at_c: Recorder
    ) -> None:
        await wait_until_connected(server, at_s, clients)
        await clients.send("entry", "broken")
        await until(lambda: ("agent+1", "broken") in at_s.ends)
        at_s.messages.clear()
        await wait_until_connected(server, at_s, clients)

    run_check(check)


def test_a_peer_that_does_not_read_is_disconnected_at_the_buffer_limit() -> None:
    """Guards against memory that grows with the frames for a peer that has stalled."""

    async def check(
        server: StreamServer, at_s: Recorder, clients: StreamClients, at_c: Recorder
    ) -> None:
        host, port = server.address.split(":")
        sock = socket.create_connection((host, int(port)))
        sock.sendall((4).to_bytes(4, "big") + b"deaf")
        while not await server.send("deaf", "x"):
            await curio.sleep(0.002)
        sent = 0
        while await server.send("deaf", "y" * 50_000):
            sent += 50_000
            assert sent < 100 * 1024 * 1024
        await until(lambda: any(peer == "deaf" for peer, _ in at_s.ends))
        sock.close()
        await wait_until_connected(server, at_s, clients)

    run_check(check)


def test_a_large_message_reaches_a_slow_reader_complete() -> None:
    async def check(
        server: StreamServer, at_s: Recorder, clients: StreamClients, at_c: Recorder
    ) -> None:
        await wait_until_connected(server, at_s, clients)
        text = "z" * 90_000
        for _ in range(5):
            while not await clients.send("entry", text):
                await curio.sleep(0.002)
            await until(lambda: at_s.messages[-1][1] == text)
        assert at_s.ends == []

    run_check(check)


def test_a_connection_without_a_name_is_closed() -> None:
    async def check(
        server: StreamServer, at_s: Recorder, clients: StreamClients, at_c: Recorder
    ) -> None:
        host, port = server.address.split(":")
        sock = await curio.open_connection(host, int(port))
        await sock.sendall((0).to_bytes(4, "big"))
        assert await sock.recv(10) == b""
        assert "no name" in at_s.ends[0][1]
        await sock.close()

    run_check(check)


def test_a_connection_request_without_an_answer_is_repeated_and_announced_when_open() -> None:
    """Requests to a VM that is just starting are dropped, and TCP repeats them only after a second.

    The full queue of a listener drops them as well.
    """

    async def main() -> None:
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        waiting = []
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            waiting.append(filler)
        recorder, opened = Recorder(), []

        async def notify_open(peer: str) -> None:
            opened.append(peer)

        limits = StreamLimits(connect_timeout_ms=100, reconnect_ms=10)
        clients = StreamClients(
            "agent+1", CODEC, recorder.deliver, recorder.report, limits, notify_open
        )
        await clients.connect("entry", f"{address[0]}:{address[1]}")
        await until(lambda: recorder.ends == [("entry", "no connection within 100 ms")])
        assert opened == []
        for filler in waiting:
            filler.close()
        listener.setblocking(False)
        server = curio.io.Socket(listener)
        accepting = await curio.spawn(accept_all, server, daemon=True)
        await until(lambda: opened == ["entry"])
        await accepting.cancel()
        await clients.close()
        await server.close()

    curio.run(main)


async def accept_all(server: curio.io.Socket) -> None:
    connections = []
    while True:
        connections.append(await server.accept())
