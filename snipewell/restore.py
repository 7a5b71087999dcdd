"""Bringing a store that went back to an earlier revision to the configuration in force."""

from __future__ import annotations

from collections.abc import Mapping

from .configuration import Configuration
from .group import CONFIG_PREFIX
from .ids import Revision
from .store import Store, StoreUnreachableError, Value

ADVANCE_KEY = "cluster/advance"
ADVANCE_WRITES = 300
"""One call brings the store this many revisions forward, in about a second."""


def is_behind(
    configuration: Configuration, revision: Revision, values: Mapping[str, Value], prefix: str
) -> bool:
    """Return whether the store lacks something that is in force under ``prefix``.

    ``revision`` and ``values`` are the store's.
    """
    return revision < configuration.revision or any(
        _is_lost(values.get(key), value, configuration.part_revision(key))
        for key, value in configuration.snapshot().values.items()
        if key.startswith(prefix)
    )


def _is_lost(stored: Value | None, in_force: bytes, revision: Revision) -> bool:
    """Return whether the store has an older value than the one in force since ``revision``.

    An equal value may have a lower revision: those that come as a snapshot take the snapshot's.
    """
    return stored is None or (stored.revision < revision and stored.value != in_force)


async def restore(store: Store, configuration: Configuration) -> None:
    """Write what is in force to a store that lost it, with revisions that were never used.

    Entries that start later read the same as the others have in force. Raises StoreError; after
    StoreUnreachableError the call can be repeated and goes on where it stopped.
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
