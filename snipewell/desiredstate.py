"""Desired state that operators write to the store: catalog of queues and zones out of service."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .ids import Revision
from .job import Catalog
from .store import Changes, Listing


class CatalogError(Exception):
    """The catalog in the store cannot be decoded; the text names the expected content."""


@dataclass(frozen=True, slots=True)
class OperatorKeys:
    """Store keys of the operators' desired state, and the functions that decode them.

    ``decode_catalog`` raises CatalogError. ``zone_of`` returns the zone that a key takes out of
    service, or an empty string for other keys.
    """

    prefix: str
    catalog_key: str
    decode_catalog: Callable[[bytes, Revision], Catalog]
    zone_of: Callable[[str], str]


class DesiredState:
    """The desired state at the highest revision seen; it never reverts to an earlier one.

    A listing is ignored if its revision is lower: the store lags behind, or a later answer overtook
    this one.
    """

    def __init__(self, keys: OperatorKeys) -> None:
        self.catalog: Catalog | None = None
        self.zones_out: frozenset[str] = frozenset()
        self.revision = Revision(-1)
        self.error = ""
        """The reason why the newest catalog in the store is not in force; empty if it is."""
        self._keys = keys

    def apply(self, update: Listing | Changes) -> bool:
        """Apply a listing or changes; return whether catalog, zones or error changed."""
        before = (self.catalog, self.zones_out, self.error)
        if update.revision < self.revision:
            return False
        if isinstance(update, Listing):
            zones = {self._keys.zone_of(key) for key in update.values}
            value = update.values.get(self._keys.catalog_key)
            if value is not None:
                self._apply_catalog(value.value, value.revision)
        else:
            zones = set(self.zones_out)
            for change in update.changes:
                zone = self._keys.zone_of(change.key)
                if zone:
                    (zones.discard if change.deleted else zones.add)(zone)
                elif change.key == self._keys.catalog_key and not change.deleted:
                    self._apply_catalog(change.value, change.revision)
        self.zones_out = frozenset(zones - {""})
        self.revision = update.revision
        return (self.catalog, self.zones_out, self.error) != before

    def _apply_catalog(self, value: bytes, revision: Revision) -> None:
        if self.catalog is not None and revision <= self.catalog.revision:
            return
        try:
            self.catalog = self._keys.decode_catalog(value, revision)
            self.error = ""
        except CatalogError as error:
            # The catalog in force stays; the operators see the error in the log.
            self.error = f"revision {revision}: {error}"
