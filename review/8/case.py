"""Test that a task runs once at a time when an entry is killed, and an agent 0.7 s later."""

from __future__ import annotations

import sys

import curio
from rig import Fleet, main

ROUNDS = 4
AGENT_AFTER_S = 0.7
"""Time from the end of the entry to that of the agent."""
DOWN_S = 3.0
"""Time until a killed process is started again; sites/sukha-wash.toml has up to 3.5 s."""
TASK_MS = 4_000.0


async def test(fleet: Fleet, trouble: bool) -> list[str]:
    """Kill entry 0 while its jobs run, and one of the four agents 0.7 s later."""
    killed, other = fleet.entries
    for number in range(ROUNDS):
        clients = [
            await curio.spawn(
                fleet.submit, fleet.new_job(), [killed, other, other, other], 4, TASK_MS
            )
            for _ in range(4)
        ]
        await curio.sleep(1.0)
        if trouble:
            killed.kill()
            fleet.record.write(f"{killed.name} killed")
            await curio.sleep(AGENT_AFTER_S)
            agent = fleet.agents[number % len(fleet.agents)]
            agent.kill()
            fleet.record.write(f"{agent.name} killed")
            await curio.sleep(DOWN_S - AGENT_AFTER_S)
            killed.start()
            await curio.sleep(AGENT_AFTER_S)
            agent.start()
        for client in clients:
            await client.join()
        await curio.sleep(4.0)
    return [
        f"TWICE: {first.describe()} and {second.describe()}, {shared * 1000:.0f} ms at one time"
        for first, second, shared in fleet.find_overlaps()
    ]


if __name__ == "__main__":
    sys.exit(main(test, lambda path: Fleet(path, 2, 4)))
