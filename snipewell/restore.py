"""Restores the applied configuration to a store that was rolled back to an earlier revision."""

from __future__ import annotations

from collections.abc import Mapping

from .configuration import Configuration
from .group import CONFIG_PREFIX
from .ids import Revision
from .store import Store, StoreUnreachableError, Value

ADVANCE_KEY = "cluster/advance"
ADVANCE_WRITES = 300
"""Most writes with which one call advances the store's revision, in about a second."""


def is_behind(
    configuration: Configuration, revision: Revision, values: Mapping[str, Value], prefix: str
) -> bool:
    """Return whether the store is behind the configuration applied on this entry.

    That is so if its ``revision`` is lower, or if one of its ``values`` under ``prefix`` is absent
    or older.
    """
    return revision < configuration.revision or any(
        _is_lost(values.get(key), value, configuration.part_revision(key))
        for key, value in configuration.snapshot().values.items()
        if key.startswith(prefix)
    )


def _is_lost(stored: Value | None, applied: bytes, revision: Revision) -> bool:
    """Return whether the store lost the value applied at ``revision``, or has an older one.

    An equal value may have a lower revision in the store, because values that arrive in a snapshot
    get the revision of the snapshot.
    """
    return stored is None or (stored.revision < revision and stored.value != applied)


async def restore(store: Store, configuration: Configuration) -> None:
    """Write the applied values to a store that lost them, at revisions that were never used.

    Entries that start later then read the same configuration that the others have applied. Raises
    StoreError; after StoreUnreachableError the call can be repeated and continues where it stopped.
    """
    snapshot = configuration.snapshot()
    revisions = {key: configuration.part_revision(key) for key in snapshot.values}
    listing = await store.list(CONFIG_PREFIX)
    if listing.revision < snapshot.revision:
        revision = await store.advance(ADVANCE_KEY, snapshot.revision, ADVANCE_WRITES)
        if revision < snapshot.revision:
            reason = f"went back to revision {revision}, {snapshot.revision} is in force"
            raise StoreUnreachableError("store", f"{reason}; repeat the write")
    for key, value in snapshot.values.items():
        stored = listing.values.get(key)
        if _is_lost(stored, value, revisions[key]):
            await store.compare_and_swap(key, value, 0 if stored is None else stored.revision)
