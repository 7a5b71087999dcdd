"""State of the stand-in store, without I/O: keys with revisions, leases and history."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter

import msgspec

from ..clock import Clock
from ..keyvalue import Event, Item


class ConflictError(Exception):
    """The key is at ``revision`` (0: it does not exist), not at the one the write requires."""

    def __init__(self, revision: int) -> None:
        super().__init__(f"the key is at revision {revision}")
        self.revision = revision


class ValueSizeError(Exception):
    """The value exceeds the size limit of the store."""


class KeyValueCore:
    """In-memory key-value store with compare-and-swap by revision, leases and a change history.

    Every change increments the global ``revision``. At least the last ``history`` changes are kept;
    older ones are compacted.
    """

    def __init__(self, clock: Clock, value_bytes: int = 1_048_576, history: int = 20_000) -> None:
        self._clock = clock
        self._value_bytes = value_bytes
        self._history = history
        self.revision = 0
        self.counts: Counter[str] = Counter()
        self._items: dict[str, Item] = {}
        self._events: list[Event] = []
        self._leases: dict[str, tuple[int, float]] = {}
        self._lease_count = 0
        self._compacted_items: dict[str, Item] = {}
        self._compacted_revision = 0

    def get(self, key: str) -> Item | None:
        """Return the item of ``key``, or None if it does not exist."""
        self.counts["get"] += 1
        self.expire()
        return self._items.get(key)

    def list_prefix(self, prefix: str) -> list[Item]:
        """Return the items whose keys start with ``prefix``, sorted by key."""
        self.counts["list"] += 1
        self.expire()
        return [self._items[key] for key in sorted(self._items) if key.startswith(prefix)]

    def put(self, key: str, value: bytes, if_revision: int | None, lease: str = "") -> int:
        """Write ``value`` and return its revision; with ``if_revision`` 0 the key must not exist.

        Raises ConflictError, ValueSizeError, or KeyError if the lease has expired.
        """
        self.counts["put"] += 1
        self._check(key, if_revision)
        if len(value) > self._value_bytes:
            raise ValueSizeError(f"expected at most {self._value_bytes} bytes, got {len(value)}")
        if lease and lease not in self._leases:
            raise KeyError(lease)
        self._append(Event(key, self.revision + 1, value, False, lease))
        return self.revision

    def delete(self, key: str, if_revision: int | None) -> int:
        """Delete ``key`` and return the revision; raise ConflictError, or KeyError if absent."""
        self.counts["delete"] += 1
        self._check(key, if_revision)
        if key not in self._items:
            raise KeyError(key)
        self._append(Event(key, self.revision + 1, b"", True))
        return self.revision

    def grant(self, ttl_ms: int) -> str:
        """Create a lease of ``ttl_ms`` and return its id."""
        self.counts["lease"] += 1
        self._lease_count += 1
        lease = f"lease-{self._lease_count}"
        self._leases[lease] = (ttl_ms, self._clock.now_ms() + ttl_ms)
        return lease

    def renew(self, lease: str) -> bool:
        """Restart the term of a lease; return False if it has expired."""
        self.counts["renew"] += 1
        self.expire()
        if lease not in self._leases:
            return False
        ttl_ms = self._leases[lease][0]
        self._leases[lease] = (ttl_ms, self._clock.now_ms() + ttl_ms)
        return True

    def expire(self) -> None:
        """Remove expired leases and delete their keys."""
        now = self._clock.now_ms()
        expired = {lease for lease, (_, end_ms) in self._leases.items() if end_ms <= now}
        if not expired:
            return
        for lease in expired:
            del self._leases[lease]
        for key in [k for k, item in self._items.items() if item.lease in expired]:
            self._append(Event(key, self.revision + 1, b"", True))

    def next_expiry_ms(self) -> float:
        """Return the earliest expiry time of a lease, infinite if there are no leases."""
        return min((end_ms for _, end_ms in self._leases.values()), default=float("inf"))

    def events_after(self, prefix: str, after: int) -> tuple[list[Event], bool]:
        """Return the changes under ``prefix`` after ``after``, and True if some were compacted."""
        self.expire()
        start = bisect_right(self._events, after, key=lambda event: event.revision)
        found = [event for event in self._events[start:] if event.key.startswith(prefix)]
        return found, after < self._compacted_revision

    def roll_back(self, revision: int) -> None:
        """Restore the state at ``revision``, as a service does from a backup.

        Existing leases keep their expiry times; the restored keys' leases that no longer exist are
        created again with a term of 5 s. Raises ValueError if ``revision`` is not in the history.
        """
        if not self._compacted_revision <= revision <= self.revision:
            raise ValueError(
                f"expected a revision from {self._compacted_revision} to {self.revision}"
            )
        end = bisect_right(self._events, revision, key=lambda event: event.revision)
        del self._events[end:]
        self.revision = revision
        self._items = dict(self._compacted_items)
        for event in self._events:
            _apply(self._items, event)
        now = self._clock.now_ms()
        for item in self._items.values():
            if item.lease:
                self._leases.setdefault(item.lease, (5_000, now + 5_000))

    def _check(self, key: str, if_revision: int | None) -> None:
        self.expire()
        current = self._items[key].revision if key in self._items else 0
        if if_revision is not None and if_revision != current:
            raise ConflictError(current)

    def _append(self, event: Event) -> None:
        self.revision = event.revision
        self._events.append(event)
        _apply(self._items, event)
        if len(self._events) > 2 * self._history:
            for old in self._events[: self._history]:
                _apply(self._compacted_items, old)
                self._compacted_revision = old.revision
            del self._events[: self._history]


def _apply(items: dict[str, Item], event: Event) -> None:
    if event.deleted:
        items.pop(event.key, None)
    else:
        items[event.key] = Item(event.key, event.revision, event.value, event.lease)


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults injected into the stand-in store; none by default.

    ``down`` is ``refuse`` (connections are refused) or ``hang`` (requests get no response). With
    ``for_ms`` all faults end after that time. ``slow_ms`` delays every response. The next
    ``lose_answers`` writes take effect, but their responses are lost. ``go_back_to`` restores an
    earlier revision, once.
    """

    down: str = ""
    for_ms: float | None = None
    slow_ms: float = 0
    lose_answers: int = 0
    go_back_to: int | None = None

    def __post_init__(self) -> None:
        if self.down not in ("", "refuse", "hang"):
            raise ValueError(f"down: expected refuse, hang or nothing, got {self.down!r}")
