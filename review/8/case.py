"""Test that a late deregistration of an earlier life of a runner ends no run of the present one."""

from __future__ import annotations

import sys
from typing import Any

import curio
from rig import Fleet, Relay, main

ROUNDS = 3
HELD_S = 3.1
"""Time for which the deregistration is held up: a partition of 2 s, after which TCP repeats it."""
ENDS_AFTER_S = 2.0
"""Time after which a runner without an acknowledgement ends."""
DOWN_S = 0.5
TASK_MS = 4_000.0


class Holds:
    """Holds the connection of a deregistration up, and delivers it later."""

    def __init__(self, fleet: Fleet) -> None:
        self.active = False
        self._fleet = fleet
        self.relay: Relay | None = None

    def on_request(self, data: bytes, caller: Any) -> Any:
        """Decide about one connection."""
        return self._hold(data) if self.active and b"/deregister" in data else None

    async def _hold(self, data: bytes) -> None:
        assert self.relay is not None
        await curio.sleep(HELD_S)
        target = await self.relay.connect()
        await target.sendall(data)
        self._fleet.record.write("the deregistration that was held up arrives")
        await target.recv(65_536)
        await target.close()


async def test(fleet: Fleet, trouble: bool) -> list[str]:
    """Let runner 0 leave and start again under its id, and hand in jobs while it is back."""
    runner = fleet.runners[0]
    holds = Holds(fleet)
    holds.relay = Relay(runner.agent, holds.on_request)
    runner.agent = holds.relay.address
    relay = await curio.spawn(holds.relay.serve, daemon=True)
    holds.active = trouble
    for _ in range(ROUNDS):
        await runner.drain()
        await runner.stop_beats()
        if not await runner.deregister():
            # The call itself has waited for a second.
            await curio.sleep(ENDS_AFTER_S - 1.0)
        await runner.end("it has left")
        await curio.sleep(DOWN_S)
        await runner.begin(("a",), 0.1)
        await curio.sleep(0.2)
        clients = [
            await curio.spawn(fleet.submit, fleet.new_job(), fleet.entries * 2, 4, TASK_MS)
            for _ in range(3)
        ]
        for client in clients:
            await client.join()
        await curio.sleep(2)
    await relay.cancel()
    return [
        f"TWICE: {first.describe()} and {second.describe()}, {shared * 1000:.0f} ms at one time"
        for first, second, shared in fleet.find_overlaps()
    ]


if __name__ == "__main__":
    sys.exit(main(test, lambda path: Fleet(path, 2, 3)))
