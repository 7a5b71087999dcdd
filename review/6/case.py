"""Test that a task runs once at a time when the answer to a deregistration is lost.

The runner isn't acknowledged, so it ends some seconds later. Until then it may run its tasks.
"""

from __future__ import annotations

import socket
import struct
import sys
from typing import Any

import curio
from rig import Fleet, Relay, main

ROUNDS = 3
LINGER_S = 2.0
"""Time after which a runner without an acknowledgement ends."""
TASK_MS = 8_000.0
CLIENT_WAIT_S = 12.0


class Resets:
    """Resets the connection of a deregistration after the agent has answered it."""

    def __init__(self, fleet: Fleet) -> None:
        self.active = False
        self._fleet = fleet
        self.relay: Relay | None = None

    def on_request(self, data: bytes, caller: Any) -> Any:
        """Decide about one connection."""
        return self._reset(data, caller) if self.active and b"/deregister" in data else None

    async def _reset(self, data: bytes, caller: Any) -> None:
        assert self.relay is not None
        target = await self.relay.connect()
        await target.sendall(data)
        await target.recv(65_536)
        await target.close()
        self._fleet.record.write("the connection of the deregistration is reset")
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def test(fleet: Fleet, trouble: bool) -> list[str]:
    """Let runner 0 leave while long tasks run on it; with trouble, lose the acknowledgement."""
    runner = fleet.runners[0]
    resets = Resets(fleet)
    resets.relay = Relay(runner.agent, resets.on_request)
    runner.agent = resets.relay.address
    relay = await curio.spawn(resets.relay.serve, daemon=True)
    resets.active = trouble
    for _ in range(ROUNDS):
        clients = [
            await curio.spawn(fleet.send, fleet.new_job(), entry, 4, TASK_MS, 1_000, CLIENT_WAIT_S)
            for entry in fleet.entries
        ]
        await curio.sleep(4.5)
        await runner.drain()
        await runner.stop_beats()
        if not await runner.deregister():
            await curio.sleep(LINGER_S)
        await runner.end("it has left")
        for client in clients:
            await client.join()
        await runner.begin(("a",), 0.2)
        await curio.sleep(3)
    await relay.cancel()
    return [
        f"TWICE: {first.describe()} and {second.describe()}, {shared * 1000:.0f} ms at one time"
        for first, second, shared in fleet.find_overlaps()
    ]


if __name__ == "__main__":
    sys.exit(main(test, lambda path: Fleet(path, 2, 3)))
