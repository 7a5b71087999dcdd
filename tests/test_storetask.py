"""Guards against processes that miss changes in the store."""

from __future__ import annotations

from random import Random

import curio

from snipewell.clock import SystemClock
from snipewell.log import Log
from snipewell.platform.store import PlatformStore
from snipewell.standins.metadata import MetadataStore, StoreFaults
from snipewell.store import Changes, Listing
from snipewell.storetask import watch_prefix

STORE_TIMEOUT_MS = 800.0
"""As in ``snipewell.platform``."""
SILENT_S = 0.5
APPLY_S = 5.0
"""Time from the end of an outage within which a change made meanwhile has to arrive. A VM counts as
in touch with the platform 3 s after the outage (``touchMs``), and a change is to be in force 2 s
later (``configApplyMs``)."""


def test_a_change_arrives_soon_after_the_store_was_silent() -> None:
    """Guards against a watch that the silent store never answers (review/4)."""

    async def main() -> list[Listing | Changes]:
        stand_in = MetadataStore(Random(1))
        server = await stand_in.serve()
        store = PlatformStore(f"127.0.0.1:{server.address[1]}", SystemClock(), STORE_TIMEOUT_MS)
        stand_in.put("op/config", b"one")
        updates: list[Listing | Changes] = []

        async def deliver(update: Listing | Changes) -> None:
            updates.append(update)
            # The watch that follows gets no answer, now or later.
            stand_in.faults = StoreFaults(silent=True)

        watcher = await curio.spawn(watch_prefix, store, "op/", deliver, Log(), Random(2))
        await curio.sleep(SILENT_S)
        assert len(updates) == 1
        stand_in.faults = StoreFaults()
        stand_in.put("op/config", b"two")
        async with curio.ignore_after(APPLY_S):
            while len(updates) == 1:
                await curio.sleep(0.01)
        await watcher.cancel()
        await store.close()
        await server.stop(0)
        return updates

    updates = curio.run(main)
    assert len(updates) == 2
    assert isinstance(updates[1], Changes)
    assert [change.value for change in updates[1].changes] == [b"two"]
