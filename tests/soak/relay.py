"""A loopback TCP proxy that delays, blocks (also one way) or resets its connections."""

from __future__ import annotations

import socket
import struct
from typing import Any

import curio

from snipewell.listener import open_listener

_CHUNK_BYTES = 65_536
_CONNECT_TIMEOUT_S = 1.0
_POLL_INTERVAL_S = 0.01


class Relay:
    """A proxy for one address; ``up`` is the direction to the target, ``down`` the opposite one.

    Each direction can be blocked alone. A blocked direction forwards no data until it is released;
    then it forwards the data received meanwhile.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = open_listener("127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.delay_ms = 0.0
        self.blocked = {"up": False, "down": False}
        self._connections: list[tuple[Any, Any]] = []

    async def run(self) -> None:
        """Accept connections until cancelled."""
        listener = curio.io.Socket(self._listener)
        async with curio.TaskGroup() as group:
            try:
                while True:
                    client_socket, _ = await listener.accept()
                    await group.spawn(self._serve, client_socket)
            finally:
                await listener.close()
                await group.cancel_remaining()

    async def _serve(self, client_socket: Any) -> None:
        target_socket = curio.io.Socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        connection = (client_socket, target_socket)
        self._connections.append(connection)
        try:
            while all(self.blocked.values()):
                await curio.sleep(_POLL_INTERVAL_S)
            await curio.timeout_after(_CONNECT_TIMEOUT_S, target_socket.connect, self._target)
            async with curio.TaskGroup(wait=any) as directions:
                await directions.spawn(self._copy, client_socket, target_socket, "up")
                await directions.spawn(self._copy, target_socket, client_socket, "down")
        except (OSError, curio.TaskTimeout):
            # The target is unreachable, so the client's connection is closed.
            pass
        finally:
            self._connections.remove(connection)
            await client_socket.close()
            await target_socket.close()

    async def _copy(self, source: Any, sink: Any, direction: str) -> None:
        try:
            while data := await source.recv(_CHUNK_BYTES):
                if self.delay_ms:
                    await curio.sleep(self.delay_ms / 1000)
                while self.blocked[direction]:
                    await curio.sleep(_POLL_INTERVAL_S)
                await sink.sendall(data)
        except OSError:
            # A reset ends the direction in the same manner as a close.
            pass

    def reset(self) -> None:
        """Reset all connections through this relay."""
        for connection in self._connections:
            for sock in connection:
                # With a linger time of zero, close sends a reset.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                try:
                    sock._socket.shutdown(socket.SHUT_RDWR)
                except OSError:
                    # The socket was not connected.
                    pass
