"""Which entries count for a majority: the value ``config/voters`` and the rule that changes it."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from .clock import Clock
from .configuration import Configuration
from .effect import ProposeVoters
from .freshness import Freshness
from .group import VOTERS_KEY, VoterSet
from .ids import EntryId
from .peer import EntryRecord

TURN_MS = 500.0
"""Each entry waits this much longer than the one before it, so that no two writes conflict."""


class VoterRule:
    """Proposes the next set of voters on one entry.

    Sets that follow each other differ by one entry, and a change waits until a majority of the
    present voters is known to have the last one. Majorities of neighbouring sets share an entry, so
    an entry with older voters meets one with a higher revision. A later life at the address of a
    voter takes its place without waiting: it has bound the port, so the older life is gone.
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
        self._wanted: VoterSet | None = None
        self._due_ms = 0.0

    def leave(self) -> None:
        """Give up the vote: from now on only the store makes this entry fresh."""
        self._leaving = True
        self._freshness.retire()

    def tick(
        self, registered: Mapping[EntryId, EntryRecord], live: Collection[EntryId]
    ) -> ProposeVoters | None:
        """Return the change to write now, if there is one.

        ``live`` are the entries that are registered or heard from.
        """
        wanted = self._next(registered, live)
        now = self._clock.now_ms()
        if wanted != self._wanted:
            self._wanted = wanted
            self._due_ms = now + self._turn(registered, live) * TURN_MS
        if wanted is None or now < self._due_ms:
            return None
        self._due_ms = now + TURN_MS * (1 + len(registered))
        return ProposeVoters(self._configuration.voters, wanted)

    def _turn(self, registered: Mapping[EntryId, EntryRecord], live: Collection[EntryId]) -> int:
        own, current = self._record.entry, self._configuration.voters.voters
        if self._leaving or self._replaced(current):
            return 0
        voters = sorted(entry for entry in current if entry in live)
        order = voters or sorted(registered)
        return order.index(own) if own in order else len(order)

    def _replaced(self, voters: Mapping[EntryId, str]) -> list[EntryId]:
        """Return the earlier lives at this entry's address."""
        own = self._record
        return [e for e, a in voters.items() if a == own.message_address and e != own.entry]

    def _next(
        self, registered: Mapping[EntryId, EntryRecord], live: Collection[EntryId]
    ) -> VoterSet | None:
        own = self._record.entry
        current = self._configuration.voters
        if not self._freshness.has_store(self._configuration.revision):
            return None
        replaced = self._replaced(current.voters)
        if replaced and own in registered and not self._leaving:
            voters = {e: a for e, a in current.voters.items() if e not in replaced}
            return current.succeed(voters | {own: self._record.message_address})
        if not self._is_known(current):
            return None
        heard = self._freshness.recent() | {own}
        for voters in self._neighbours(current.voters, registered, live, heard):
            # A set that its own majority cannot confirm would stop all further changes.
            if not voters or len(voters.keys() & heard) >= len(voters) // 2 + 1:
                return current.succeed(voters)
        return None

    def _neighbours(
        self,
        voters: Mapping[EntryId, str],
        registered: Mapping[EntryId, EntryRecord],
        live: Collection[EntryId],
        heard: Collection[EntryId],
    ) -> list[dict[EntryId, str]]:
        own = self._record.entry
        if self._leaving:
            return [_without(voters, own)] if own in voters else []
        gone = sorted(e for e in voters if e not in live and e not in heard)
        # Without voters the first registered entry begins; it is not yet heard by those after it.
        new = sorted(e for e in registered if e not in voters and (e in heard or not voters))
        return [_without(voters, entry) for entry in gone] + [
            {**voters, entry: registered[entry].message_address} for entry in new
        ]

    def _is_known(self, current: VoterSet) -> bool:
        """Return whether a majority of the present voters has the last change of the set."""
        revision = self._configuration.part_revision(VOTERS_KEY)
        count = self._freshness.entries_at(revision, self._configuration.revision)
        return not current.voters or count >= self._freshness.majority()


def _without(voters: Mapping[EntryId, str], entry: EntryId) -> dict[EntryId, str]:
    return {e: address for e, address in voters.items() if e != entry}
