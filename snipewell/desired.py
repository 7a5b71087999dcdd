"""What the operators declare in the store: the catalog of queues and the zones out of service."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .ids import Revision
from .job import Catalog
from .store import Changes, Listing


class CatalogError(Exception):
    """A catalog in the store that can't be read; the text says what was expected."""


@dataclass(frozen=True, slots=True)
class OperatorKeys:
    """Where the operators' declarations stand in the store, and how they are read.

    ``decode_catalog`` raises CatalogError. ``zone_of`` returns the zone that a key takes out of
    service, empty for other keys.
    """

    prefix: str
    catalog_key: str
    decode_catalog: Callable[[bytes, Revision], Catalog]
    zone_of: Callable[[str], str]


class Desired:
    """The declarations as last seen; they never go back to an earlier revision.

    A listing of a store that lags behind, or whose answer was overtaken, is ignored.
    """

    def __init__(self, keys: OperatorKeys) -> None:
        self.catalog: Catalog | None = None
        self.zones_out: frozenset[str] = frozenset()
        self.revision = Revision(-1)
        self.error = ""
        """Why the newest catalog in the store isn't in force; empty if it is."""
        self._keys = keys

    def apply(self, news: Listing | Changes) -> bool:
        """Take in a listing or changes; return whether anything is new."""
        before = (self.catalog, self.zones_out, self.error)
        if news.revision < self.revision:
            return False
        if isinstance(news, Listing):
            zones = {self._keys.zone_of(key) for key in news.values}
            value = news.values.get(self._keys.catalog_key)
            if value is not None:
                self._take_catalog(value.value, value.revision)
        else:
            zones = set(self.zones_out)
            for change in news.changes:
                zone = self._keys.zone_of(change.key)
                if zone:
                    (zones.discard if change.deleted else zones.add)(zone)
                elif change.key == self._keys.catalog_key and not change.deleted:
                    self._take_catalog(change.value, change.revision)
        self.zones_out = frozenset(zones - {""})
        self.revision = news.revision
        return (self.catalog, self.zones_out, self.error) != before

    def _take_catalog(self, value: bytes, revision: Revision) -> None:
        if self.catalog is not None and revision <= self.catalog.revision:
            return
        try:
            self.catalog = self._keys.decode_catalog(value, revision)
            self.error = ""
        except CatalogError as error:
            # The catalog in force stays; the operators are told by the log.
            self.error = f"revision {revision}: {error}"
