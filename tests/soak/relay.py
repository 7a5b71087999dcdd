"""A loopback TCP proxy that delays, holds, cuts one way or resets the connections through it."""

from __future__ import annotations

import socket
import struct
from typing import Any

import curio

from snipewell.listener import open_listener

_CHUNK_BYTES = 65_536
_CONNECT_S = 1.0
_POLL_S = 0.01


class Relay:
    """One proxied address. ``up`` is the way to the target, ``down`` the way back.

    A direction that is held carries nothing until it is released, and then what was held.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = open_listener("127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.delay_ms = 0.0
        self.held = {"up": False, "down": False}
        self._pairs: list[tuple[Any, Any]] = []

    async def run(self) -> None:
        """Accept connections until cancelled."""
        listener = curio.io.Socket(self._listener)
        async with curio.TaskGroup() as group:
            try:
                while True:
                    near, _ = await listener.accept()
                    await group.spawn(self._serve, near)
            finally:
                await listener.close()
                await group.cancel_remaining()

    async def _serve(self, near: Any) -> None:
        far = curio.io.Socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        pair = (near, far)
        self._pairs.append(pair)
        try:
            while all(self.held.values()):
                await curio.sleep(_POLL_S)
            await curio.timeout_after(_CONNECT_S, far.connect, self._target)
            async with curio.TaskGroup(wait=any) as both:
                await both.spawn(self._copy, near, far, "up")
                await both.spawn(self._copy, far, near, "down")
        except (OSError, curio.TaskTimeout):
            # The target is away: the caller sees its connection closed.
            pass
        finally:
            self._pairs.remove(pair)
            await near.close()
            await far.close()

    async def _copy(self, source: Any, sink: Any, way: str) -> None:
        try:
            while data := await source.recv(_CHUNK_BYTES):
                if self.delay_ms:
                    await curio.sleep(self.delay_ms / 1000)
                while self.held[way]:
                    await curio.sleep(_POLL_S)
                await sink.sendall(data)
        except OSError:
            # A reset ends this direction as a close does.
            pass

    def reset(self) -> None:
        """Reset all connections."""
        for pair in self._pairs:
            for sock in pair:
                # Lingering for no time turns the close into a reset.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                try:
                    sock._socket.shutdown(socket.SHUT_RDWR)
                except OSError:
                    # It was not connected.
                    pass
