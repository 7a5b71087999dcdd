"""Protocol of the platform's key-value service: JSON bodies with values in base64.

- ``GET /v1/kv/{key}`` returns `Item`, or 404.
- ``GET /v1/kv?prefix=`` returns `Listing`.
- ``PUT /v1/kv/{key}?if_revision=&lease=`` returns `Written`, or 409 with the key's revision.
- ``DELETE /v1/kv/{key}?if_revision=`` returns `Written`, 404 or 409.
- ``POST /v1/leases`` takes `LeaseBody` and returns `Lease`.
- ``POST /v1/leases/{id}/renew`` returns `Lease`, or 404 once it has expired.
- ``GET /v1/watch?prefix=&after=&wait_ms=`` returns `Changes` as soon as there are changes after the
  revision ``after``, or an empty list once ``wait_ms`` has passed.

Keys are percent-encoded except for their slashes. The body of PUT is the raw value.
"""

from __future__ import annotations

import msgspec


class Item(msgspec.Struct, frozen=True):
    """The value of a key; ``revision`` is that of its last change."""

    key: str
    revision: int
    value: bytes
    lease: str = ""


class Listing(msgspec.Struct, frozen=True):
    """The items under a prefix at the global ``revision``."""

    revision: int
    items: list[Item]


class Event(msgspec.Struct, frozen=True):
    """A write or deletion of a key."""

    key: str
    revision: int
    value: bytes = b""
    deleted: bool = False
    lease: str = ""


class Changes(msgspec.Struct, frozen=True):
    """Changes in order of their revisions, and the global ``revision`` at the time of the response.

    ``compacted`` is true if some of the requested changes have been compacted, so that the client
    must list the prefix again.
    """

    revision: int
    events: list[Event] = []
    compacted: bool = False


class Written(msgspec.Struct, frozen=True):
    """The revision of a write; in a conflict, the current revision of the key, 0 if absent."""

    revision: int


class LeaseBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request for a lease; the service counts ``ttl_ms`` from each renewal."""

    ttl_ms: int


class Lease(msgspec.Struct, frozen=True):
    """The id of a lease that has not expired."""

    lease: str
