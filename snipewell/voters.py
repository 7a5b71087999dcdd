"""Reconfiguration of the voter set, which is stored in the value ``config/voters``."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from .clock import Clock
from .configuration import Configuration
from .effect import ProposeVoters
from .freshness import Freshness
from .group import VOTERS_KEY, VoterSet
from .ids import EntryId
from .peer import EntryRecord

PROPOSAL_STAGGER_MS = 500.0
"""Delay between the proposals of successive entries, in milliseconds.

It keeps the entries from writing at the same time, which would conflict.
"""


class VoterSetProposer:
    """Proposes changes of the voter set on behalf of one entry.

    Successive sets differ by one entry, and a change is proposed only after a majority of the
    current voters is known to have the previous one. Majorities of successive sets therefore
    overlap, so an entry with an outdated set comes into contact with one of a higher revision. A
    newer incarnation at the address of a voter replaces it without waiting: it has bound the port,
    so the older incarnation has ended.
    """

    def __init__(
        self,
        record: EntryRecord,
        clock: Clock,
        freshness: Freshness,
        configuration: Configuration,
    ) -> None:
        self._record = record
        self._clock = clock
        self._freshness = freshness
        self._configuration = configuration
        self._leaving = False
        self._pending: VoterSet | None = None
        self._due_ms = 0.0

    def leave(self) -> None:
        """Resign as a voter: from now on only contact with the store makes this entry fresh."""
        self._leaving = True
        self._freshness.disable_peer_quorum()

    def tick(
        self, registered: Mapping[EntryId, EntryRecord], live: Collection[EntryId]
    ) -> ProposeVoters | None:
        """Return the change of the voter set to write now, or None.

        ``live`` lists the entries that are registered or in contact with this entry.
        """
        following = self._next_set(registered, live)
        now = self._clock.now_ms()
        if following != self._pending:
            self._pending = following
            self._due_ms = now + self._proposal_rank(registered, live) * PROPOSAL_STAGGER_MS
        if following is None or now < self._due_ms:
            return None
        self._due_ms = now + PROPOSAL_STAGGER_MS * (1 + len(registered))
        return ProposeVoters(self._configuration.voters, following)

    def _proposal_rank(
        self, registered: Mapping[EntryId, EntryRecord], live: Collection[EntryId]
    ) -> int:
        own, current = self._record.entry, self._configuration.voters.voters
        if self._leaving or self._earlier_incarnations(current):
            return 0
        voters = sorted(entry for entry in current if entry in live)
        order = voters or sorted(registered)
        return order.index(own) if own in order else len(order)

    def _earlier_incarnations(self, voters: Mapping[EntryId, str]) -> list[EntryId]:
        """Return the voters that are earlier incarnations at this entry's address."""
        own = self._record
        return [e for e, a in voters.items() if a == own.message_address and e != own.entry]

    def _next_set(
        self, registered: Mapping[EntryId, EntryRecord], live: Collection[EntryId]
    ) -> VoterSet | None:
        own = self._record.entry
        current = self._configuration.voters
        if not self._freshness.is_store_current(self._configuration.revision):
            return None
        replaced = self._earlier_incarnations(current.voters)
        if replaced and own in registered and not self._leaving:
            voters = {e: a for e, a in current.voters.items() if e not in replaced}
            return current.next_set(voters | {own: self._record.message_address})
        if not self._is_known(current):
            return None
        responsive = self._freshness.recent_peers() | {own}
        for voters in self._successor_sets(current.voters, registered, live, responsive):
            # A set whose majority cannot acknowledge it would block all further changes.
            if not voters or len(voters.keys() & responsive) >= len(voters) // 2 + 1:
                return current.next_set(voters)
        return None

    def _successor_sets(
        self,
        voters: Mapping[EntryId, str],
        registered: Mapping[EntryId, EntryRecord],
        live: Collection[EntryId],
        responsive: Collection[EntryId],
    ) -> list[dict[EntryId, str]]:
        own = self._record.entry
        if self._leaving:
            return [_without(voters, own)] if own in voters else []
        gone = sorted(e for e in voters if e not in live and e not in responsive)
        # Without voters, the first registered entry is added first, although the entries after it
        # are not in contact with it yet.
        new = sorted(e for e in registered if e not in voters and (e in responsive or not voters))
        return [_without(voters, entry) for entry in gone] + [
            {**voters, entry: registered[entry].message_address} for entry in new
        ]

    def _is_known(self, current: VoterSet) -> bool:
        """Return whether a majority of the current voters has the latest change of the set."""
        revision = self._configuration.part_revision(VOTERS_KEY)
        count = self._freshness.voters_at(revision, self._configuration.revision)
        return not current.voters or count >= self._freshness.majority()


def _without(voters: Mapping[EntryId, str], entry: EntryId) -> dict[EntryId, str]:
    return {e: address for e, address in voters.items() if e != entry}
