"""The protocol of the platform's key-value service: JSON bodies, values in base64.

- ``GET /v1/kv/{key}`` returns `Item`, or 404.
- ``GET /v1/kv?prefix=`` returns `Listing`.
- ``PUT /v1/kv/{key}?if_revision=&lease=`` returns `Written`, or 409 with the key's revision.
- ``DELETE /v1/kv/{key}?if_revision=`` returns `Written`, 404 or 409.
- ``POST /v1/leases`` takes `LeaseBody` and returns `Lease`.
- ``POST /v1/leases/{id}/renew`` returns `Lease`, or 404 once it has lapsed.
- ``GET /v1/watch?prefix=&after=&wait_ms=`` returns `Changes` as soon as there are some after the
  revision ``after``, or none when ``wait_ms`` is over.

Keys are percent-encoded but for their slashes. The body of PUT is the value itself.
"""

from __future__ import annotations

import msgspec


class Item(msgspec.Struct, frozen=True):
    """A key's value; ``revision`` is that of its last change."""

    key: str
    revision: int
    value: bytes
    lease: str = ""


class Listing(msgspec.Struct, frozen=True):
    """The items under a prefix, all as they were at the global ``revision``."""

    revision: int
    items: list[Item]


class Event(msgspec.Struct, frozen=True):
    """One change of a key."""

    key: str
    revision: int
    value: bytes = b""
    deleted: bool = False
    lease: str = ""


class Changes(msgspec.Struct, frozen=True):
    """Changes in order of their revisions, and the global ``revision`` at the answer.

    ``compacted`` says that older changes are forgotten, so that the caller must list anew.
    """

    revision: int
    events: list[Event] = []
    compacted: bool = False


class Written(msgspec.Struct, frozen=True):
    """The revision of a write; in a conflict, the revision that the key is at, 0 if absent."""

    revision: int


class LeaseBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The term of a new lease, counted by the service from each renewal."""

    ttl_ms: int


class Lease(msgspec.Struct, frozen=True):
    """A lease in force."""

    lease: str
