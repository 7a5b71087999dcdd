"""Whether this entry may grant permits: recent contact with the store or with enough entries."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from .clock import Clock
from .ids import EntryId, Revision

WINDOW_MS = 1_000
"""With a permit's 1,500 ms this keeps the time to stop a zone at 2,500 ms, under 3,000 ms."""


@dataclass(frozen=True, slots=True)
class _Exchange:
    sent_at_ms: float
    revision: Revision


class Freshness:
    """What one entry knows of the store and of its peers, with the times at which it asked.

    All times are those at which a request was sent, on this entry's clock: the answer reflects
    a state no older than that, however long it waited on the way or in a paused process.
    """

    def __init__(self, entry: EntryId, clock: Clock, window_ms: float = WINDOW_MS) -> None:
        self._entry = entry
        self._clock = clock
        self._window_ms = window_ms
        self._store_sent_ms = float("-inf")
        self._voters: frozenset[EntryId] = frozenset()
        self._retired = False
        self._peers: dict[EntryId, _Exchange] = {}
        self._behind_since_ms: float | None = None

    def on_store_contact(self, sent_at_ms: float) -> None:
        """Record that the store answered a request sent at ``sent_at_ms``."""
        self._store_sent_ms = max(self._store_sent_ms, sent_at_ms)

    def on_peer(self, entry: EntryId, sent_at_ms: float, revision: Revision) -> None:
        """Record that ``entry`` answered a heartbeat sent at ``sent_at_ms`` with its revision."""
        known = self._peers.get(entry)
        if entry == self._entry or (known is not None and sent_at_ms < known.sent_at_ms):
            return
        highest = revision if known is None else max(revision, known.revision)
        self._peers[entry] = _Exchange(sent_at_ms, highest)

    def set_voters(self, ids: Collection[EntryId]) -> None:
        """Take the entries whose majority counts, as in the configuration in force."""
        self._voters = frozenset(ids)

    def keep(self, ids: Collection[EntryId]) -> None:
        """Forget what was known of all entries but ``ids`` and the voters."""
        wanted = self._voters.union(ids)
        self._peers = {e: x for e, x in self._peers.items() if e in wanted}

    def retire(self) -> None:
        """Stop counting on peers: from now on only the store makes this entry fresh."""
        self._retired = True

    def has_store(self, own_revision: Revision) -> bool:
        """Return whether the store answered within the window and no peer heard of is ahead."""
        ahead = any(self._peers[entry].revision > own_revision for entry in self.recent())
        return self.store_age_ms() <= self._window_ms and not ahead

    def recent(self) -> frozenset[EntryId]:
        """Return the peers that answered within the window."""
        now = self._clock.now_ms()
        peers = self._peers.items()
        return frozenset(e for e, x in peers if now - x.sent_at_ms <= self._window_ms)

    def store_age_ms(self) -> float:
        """Return the time since the sending of the last request that the store answered."""
        return self._clock.now_ms() - self._store_sent_ms

    def entries_at(self, revision: Revision, own_revision: Revision) -> int:
        """Return how many voters are known to have ``revision``, this one included."""
        peers = sum(x.revision >= revision for e, x in self._peers.items() if e in self._voters)
        return peers + (self._entry in self._voters and own_revision >= revision)

    def is_in_force(self, revision: Revision, own_revision: Revision) -> bool:
        """Return whether entries with a lower revision can grant permits for the window at most.

        This entry must have the revision itself: with an older one, its voters may be too old.
        """
        known = self.entries_at(revision, own_revision)
        return own_revision >= revision and known >= self.majority()

    def majority(self) -> int:
        """Return how many voters are a majority."""
        return len(self._voters) // 2 + 1

    def is_fresh(self, own_revision: Revision) -> bool:
        """Return whether a permit by ``own_revision`` may be granted now.

        Contact with the store is enough unless a peer has shown a higher revision for longer than
        the window, as happens to an entry that started after the store had gone back. Without
        the store it takes a majority of the voters, this entry among them, and no entry heard of at
        a higher revision.
        """
        now = self._clock.now_ms()
        recent = [
            x.revision for e, x in self._peers.items() if now - x.sent_at_ms <= self._window_ms
        ]
        voting = len(self.recent() & self._voters) + 1
        behind = any(revision > own_revision for revision in recent)
        if not behind:
            self._behind_since_ms = None
        elif self._behind_since_ms is None:
            self._behind_since_ms = now
        if now - self._store_sent_ms <= self._window_ms:
            since = self._behind_since_ms
            return since is None or now - since <= self._window_ms
        if self._retired or self._entry not in self._voters:
            return False
        return not behind and voting >= self.majority()
