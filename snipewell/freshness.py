"""Conditions under which an entry may issue permits.

An entry needs recent contact with the store or with a majority of the voters.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from .clock import Clock
from .ids import EntryId, Revision

FRESHNESS_WINDOW_MS = 1_000
"""Time for which an answer counts as recent, in milliseconds.

Together with a permit's lifetime of 1,500 ms, it ensures that task starts in an availability zone
stop within 2,500 ms after the zone is taken out of service, below the required 3,000 ms.
"""


@dataclass(frozen=True, slots=True)
class _Exchange:
    sent_at_ms: float
    revision: Revision


class Freshness:
    """Tracks the latest contacts of one entry with the store and its peers.

    All times are those at which a request was sent, on this entry's clock. The answer reflects
    a state no older than that, regardless of delays in the network or in a paused process.
    """

    def __init__(
        self, entry: EntryId, clock: Clock, window_ms: float = FRESHNESS_WINDOW_MS
    ) -> None:
        self._entry = entry
        self._clock = clock
        self._window_ms = window_ms
        self._store_sent_ms = float("-inf")
        self._voters: frozenset[EntryId] = frozenset()
        self._peer_quorum_disabled = False
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
        """Set the voters, the entries that form majorities, from the applied configuration."""
        self._voters = frozenset(ids)

    def retain_peers(self, ids: Collection[EntryId]) -> None:
        """Delete the state of all peers except ``ids`` and the voters."""
        retained = self._voters.union(ids)
        self._peers = {e: x for e, x in self._peers.items() if e in retained}

    def disable_peer_quorum(self) -> None:
        """Stop relying on peers: from now on only contact with the store makes this entry fresh."""
        self._peer_quorum_disabled = True

    def is_store_current(self, own_revision: Revision) -> bool:
        """Return whether the store is reachable and up to date.

        It must have answered within the window, and no recent peer may have a revision above
        ``own_revision``.
        """
        behind = any(self._peers[entry].revision > own_revision for entry in self.recent_peers())
        return self.store_age_ms() <= self._window_ms and not behind

    def recent_peers(self) -> frozenset[EntryId]:
        """Return the peers that answered within the window."""
        now = self._clock.now_ms()
        peers = self._peers.items()
        return frozenset(e for e, x in peers if now - x.sent_at_ms <= self._window_ms)

    def store_age_ms(self) -> float:
        """Return the time since the last request that the store answered was sent."""
        return self._clock.now_ms() - self._store_sent_ms

    def voters_at(self, revision: Revision, own_revision: Revision) -> int:
        """Return the number of voters known to have ``revision`` or later, including this entry."""
        peers = sum(x.revision >= revision for e, x in self._peers.items() if e in self._voters)
        return peers + (self._entry in self._voters and own_revision >= revision)

    def is_in_force(self, revision: Revision, own_revision: Revision) -> bool:
        """Return whether ``revision`` has reached a majority of the voters.

        An entry with a lower revision then stops issuing permits within the window. This entry must
        have the revision itself, because its voter set may be outdated otherwise.
        """
        known = self.voters_at(revision, own_revision)
        return own_revision >= revision and known >= self.majority()

    def majority(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self._voters) // 2 + 1

    def is_fresh(self, own_revision: Revision) -> bool:
        """Return whether a permit based on ``own_revision`` may be issued now.

        Contact with the store suffices unless recent peers have had a higher revision for longer
        than the window, as happens to an entry that started after the store was rolled back.
        Without the store, a majority of the voters including this entry must be in contact, and no
        recent peer may have a higher revision.
        """
        now = self._clock.now_ms()
        peer_revisions = [
            x.revision for e, x in self._peers.items() if now - x.sent_at_ms <= self._window_ms
        ]
        voting = len(self.recent_peers() & self._voters) + 1
        behind = any(revision > own_revision for revision in peer_revisions)
        if not behind:
            self._behind_since_ms = None
        elif self._behind_since_ms is None:
            self._behind_since_ms = now
        if now - self._store_sent_ms <= self._window_ms:
            since = self._behind_since_ms
            return since is None or now - since <= self._window_ms
        if self._peer_quorum_disabled or self._entry not in self._voters:
            return False
        return not behind and voting >= self.majority()
