"""Guards against frames that are torn, mixed up, sent to a dead peer, or pile up without bound."""

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


class Side:
    """What one side has received, and the ends that it was told of."""

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


def play(check: Callable[[StreamServer, Side, StreamClients, Side], Awaitable[None]]) -> None:
    """Run ``check`` with a server and the clients of one agent, connected to it as ``entry``."""

    async def main() -> None:
        at_server, at_client = Side(), Side()
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


async def greet(server: StreamServer, at_server: Side, clients: StreamClients) -> None:
    """Wait until the two sides reach each other."""
    while not await clients.send("entry", "hello"):
        await curio.sleep(0.002)
    await until(lambda: ("agent+1", "hello") in at_server.messages)


@pytest.mark.parametrize("piece", [1, 3, 7, 1_000])
def test_frames_are_whole_however_the_bytes_arrive(piece: int) -> None:
    data = b"".join(len(part).to_bytes(4, "big") + part for part in (b"", b"ab", b"c" * 40))
    buffer, frames = FrameBuffer(100), []
    for start in range(0, len(data), piece):
        frames += buffer.feed(data[start : start + piece])
    assert frames == [b"", b"ab", b"c" * 40]


def test_a_frame_that_is_too_long_is_refused_before_its_content_arrives() -> None:
    with pytest.raises(MessageError):
        FrameBuffer(100).feed((101).to_bytes(4, "big"))


def test_messages_arrive_in_order_both_ways() -> None:
    async def check(server: StreamServer, at_s: Side, clients: StreamClients, at_c: Side) -> None:
        await greet(server, at_s, clients)
        for number in range(200):
            assert await clients.send("entry", f"up{number}")
            assert await server.send("agent+1", f"down{number}")
        await until(lambda: len(at_s.messages) == 201 and len(at_c.messages) == 200)
        assert at_s.messages[1:] == [("agent+1", f"up{number}") for number in range(200)]
        assert at_c.messages == [("entry", f"down{number}") for number in range(200)]

    play(check)


def test_a_message_for_a_peer_that_is_away_is_not_kept() -> None:
    """A late order that starts work breaks a promise, so nothing waits for a connection."""

    async def check(server: StreamServer, at_s: Side, clients: StreamClients, at_c: Side) -> None:
        assert not await server.send("agent+2", "start")
        assert not await clients.send("nobody", "start")

    play(check)


def test_a_connection_that_ended_is_opened_again() -> None:
    async def check(server: StreamServer, at_s: Side, clients: StreamClients, at_c: Side) -> None:
        await greet(server, at_s, clients)
        server._streams["agent+1"].abort()
        await until(lambda: bool(at_c.ends))
        at_s.messages.clear()
        await greet(server, at_s, clients)

    play(check)


def test_a_replaced_connection_carries_on_under_the_same_name() -> None:
    async def check(server: StreamServer, at_s: Side, clients: StreamClients, at_c: Side) -> None:
        await greet(server, at_s, clients)
        await clients.replace("entry")
        at_s.messages.clear()
        await greet(server, at_s, clients)
        assert await server.send("agent+1", "answer")
        await until(lambda: ("entry", "answer") in at_c.messages)

    play(check)


def test_a_message_that_cannot_be_read_ends_its_connection_and_is_reported() -> None:
    async def check(server: StreamServer, at_s: Side, clients: StreamClients, at_c: Side) -> None:
        await greet(server, at_s, clients)
        await clients.send("entry", "broken")
        await until(lambda: ("agent+1", "broken") in at_s.ends)
        at_s.messages.clear()
        await greet(server, at_s, clients)

    play(check)


def test_a_peer_that_does_not_read_is_dropped_at_the_bound() -> None:
    """Guards against memory that grows with the frames for a peer that stands still."""

    async def check(server: StreamServer, at_s: Side, clients: StreamClients, at_c: Side) -> None:
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
        await greet(server, at_s, clients)

    play(check)


def test_a_large_message_passes_a_slow_reader_whole() -> None:
    async def check(server: StreamServer, at_s: Side, clients: StreamClients, at_c: Side) -> None:
        await greet(server, at_s, clients)
        text = "z" * 90_000
        for _ in range(5):
            while not await clients.send("entry", text):
                await curio.sleep(0.002)
            await until(lambda: at_s.messages[-1][1] == text)
        assert at_s.ends == []

    play(check)


def test_a_connection_without_a_name_gets_nothing() -> None:
    async def check(server: StreamServer, at_s: Side, clients: StreamClients, at_c: Side) -> None:
        host, port = server.address.split(":")
        sock = await curio.open_connection(host, int(port))
        await sock.sendall((0).to_bytes(4, "big"))
        assert await sock.recv(10) == b""
        assert "no name" in at_s.ends[0][1]
        await sock.close()

    play(check)
