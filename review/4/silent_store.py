"""The store gives no answers for some seconds; later the operator changes the configuration."""

from __future__ import annotations

from pathlib import Path

import curio

from review.fleet import OTHER_PREFIX, PREFIX, Fleet, configuration, main

SILENT_FROM_S = 18.5
"""Time from the start of the processes to the disruption. The first watches are answered or time
out, and are sent anew, 20 to 21 s after the start."""
SILENT_S = 4.4
"""Length of the disruption, as on the days of the sites."""
CALM_S = 3.5
"""Time from its end to the change, above ``touchMs`` = 3,000 ms."""
APPLY_S = 2.2
"""Time from the change to the first request, above ``configApplyMs`` = 2,000 ms."""
EVACUATION_S = 5.2
"""The same for a zone that is taken out of service, above ``evacuationMs`` = 5,000 ms."""


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Drop a queue and take a zone out of service, and then send jobs."""
    await curio.sleep(SILENT_FROM_S - fleet.now_s())
    if trouble:
        fleet.note("the store answers no call from now on")
        fleet.store.silent = True
    await curio.sleep(SILENT_S)
    fleet.store.silent = False
    fleet.note("the store answers all new calls")
    await curio.sleep(CALM_S)
    fleet.store.put("op/config", configuration(2, [PREFIX]))
    zone = fleet.agents[0].zone
    fleet.store.put(f"op/evacuate/{zone}", b"{}")
    began_ms = fleet.clock_ms()
    fleet.note(f"acknowledged: configuration 2 without {OTHER_PREFIX}, zone {zone} evacuated")
    await curio.sleep(APPLY_S)
    stale = False
    for _ in range(3):
        job = fleet.new_id()
        status, _ = await fleet.submit(
            fleet.entries[0], job, 2, 100.0, "dropped queue", OTHER_PREFIX
        )
        if status == 200:
            fleet.note("CONFIG: a job of a dropped queue was run")
            stale = True
    await curio.sleep(EVACUATION_S - APPLY_S)
    for _ in range(4):
        await fleet.submit(fleet.entries[0], fleet.new_id(), 4, 100.0, "after the evacuation")
    out = [upstream for upstream in fleet.upstreams if upstream.zone == zone]
    for run in [run for upstream in out for run in upstream.history]:
        after_ms = run.start_ms - began_ms
        if after_ms > EVACUATION_S * 1000:
            fleet.note(f"EVAC: {run.task} started {after_ms:.0f} ms after the acknowledgement")
            stale = True
    return not stale


main(str(Path(__file__).parent), play, [PREFIX, OTHER_PREFIX])
