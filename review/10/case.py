"""Test that a configuration made after a silence of the store is in force in time."""

from __future__ import annotations

import copy
import sys
from pathlib import Path
from random import Random

import curio
import msgspec
from rig import CONFIGURATION, HOST, Fleet, main, now

from snipewell.standins.metadata import MetadataStore, StoreFaults
from snipewell.web import Request, Response

ROUNDS = 8
SILENT_S = (0.5, 4.5)
"""Shortest and longest time for which the store is silent; sites/sukha-wash.toml has 4.5 s."""
TOUCH_S, APPLY_S = 3.0, 2.0
"""Bounds ``touchMs`` and ``configApplyMs``."""
MARGIN_S = 0.01


class Store(MetadataStore):
    """The project's stand-in, which notes when an entry asks for changes of the configuration."""

    watched_at = 0.0

    async def handle(self, request: Request) -> Response:
        """Answer a call."""
        if request.path.endswith("kv-watch") and request.query.get("pathPrefix") == "op/":
            self.watched_at = now()
        return await super().handle(request)


async def test(fleet: Fleet, trouble: bool) -> list[str]:
    """Silence the store, add a route after its return, and ask each entry for its count."""
    store = fleet.store
    assert isinstance(store, Store)
    configuration = copy.deepcopy(CONFIGURATION)
    broken = []
    for number in range(ROUNDS):
        if trouble:
            store.faults = StoreFaults(silent=True)
            fleet.record.write("the store is silent")
            began = now()
            await curio.sleep(SILENT_S[0])
            # An outage ends at any time; this one ends when an entry has just called.
            while now() - store.watched_at > 0.01 and now() - began < SILENT_S[1]:
                await curio.sleep(0.002)
            store.faults = StoreFaults()
        returned = now()
        fleet.record.write("the store answers")
        await curio.sleep(0.1)
        prefix = f"/added-{number}/"
        configuration["version"] += 3
        configuration["routes"].append(
            {**CONFIGURATION["routes"][0], "name": f"added-{number}", "pathPrefix": prefix}
        )
        store.put("op/config", msgspec.json.encode(configuration))
        acknowledged = now()
        fleet.record.write(f"version {configuration['version']} with {prefix} acknowledged")
        in_touch = max(returned + TOUCH_S, acknowledged + APPLY_S) + MARGIN_S
        await curio.sleep(in_touch - now())
        while now() < in_touch + 0.5:
            for entry in fleet.entries:
                sent = now()
                status = await fleet.count(prefix, entry)
                text = f"GET {prefix} ({HOST}) at {entry.name}: {status}"
                fleet.record.write(text, sent)
                if status == 404:
                    broken.append(
                        f"CONFIG: {text}, sent {sent - acknowledged:.3f} s after the "
                        f"acknowledgement and {sent - returned:.3f} s after the store's return"
                    )
            await curio.sleep(0.01)
    return broken


def create(path: Path) -> Fleet:
    """Return the fleet of the test."""
    fleet = Fleet(path, 2, 2)
    fleet.store = Store(Random(1))
    return fleet


if __name__ == "__main__":
    sys.exit(main(test, create))
