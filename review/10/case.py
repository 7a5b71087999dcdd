"""Test that a job that its client cancels with DELETE does not go on."""

from __future__ import annotations

import sys

import curio
from rig import Fleet, main, now

JOBS = 10
CANCELLED = 4
"""Of ten: ``give_up`` has a share of up to 0.4 in sites/sukha-wash.toml."""
CANCEL_S, STOP_GRACE_S = 3.0, 0.05
"""Bounds ``cancel_ms`` and ``stopGraceMs``."""
CPU = 4_000
"""Four tasks at a time fit on a runner, so that some tasks wait."""


async def test(fleet: Fleet, trouble: bool) -> list[str]:
    """Hand in jobs that take some 20 s, and cancel four of ten soon after."""
    entries = fleet.entries
    cancelled: dict[str, float] = {}
    clients = []
    for number in range(JOBS):
        job, entry = fleet.new_job(), entries[number % len(entries)]
        clients.append(await curio.spawn(fleet.send, job, entry, 10, 2_500.0, CPU, 60.0))
        await curio.sleep(0.1)
    await curio.sleep(1.0)
    if trouble:
        for number, job in enumerate(fleet.jobs[:CANCELLED]):
            status = await fleet.cancel(job, entries[number % len(entries)])
            if status // 100 == 2 or status == 410:
                cancelled[job.id] = now()
    for client in clients:
        await client.join()
    broken = []
    for run in fleet.runs():
        at = cancelled.get(run.task.split(".")[0])
        if at is None:
            continue
        if run.started > at + CANCEL_S:
            late = run.started - at
            broken.append(f"UNASKED: {run.describe()} started {late:.3f} s after the cancelling")
        elif (run.ended or now()) > at + CANCEL_S + STOP_GRACE_S:
            late = (run.ended or now()) - at
            broken.append(f"UNASKED: {run.describe()} ran until {late:.3f} s after the cancelling")
    return broken


if __name__ == "__main__":
    sys.exit(main(test, lambda path: Fleet(path, 2, 3)))
