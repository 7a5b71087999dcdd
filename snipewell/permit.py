"""The agent's side of permits: whether a start may happen now.

An entry's permit is valid for its ``ttl_ms``, counted on the agent's clock from the moment at which
the heartbeat that it answers was sent. The time that the answer spent on its way, or that this
process was paused, therefore shortens the permit and never extends it.
"""

from __future__ import annotations

from .clock import Clock
from .ids import EntryId, Revision
from .message import Permit

MAX_TTL_MS = 1_500
"""With the entry's 1,000 ms of freshness this keeps the 3,000 ms within which a zone must stop."""
MAX_PAUSE_MS = 1_000
"""A longer gap between two observations voids all permits, as the agent's state may be outdated."""
_MAX_UNANSWERED = 16


class Permits:
    """The permits that this agent holds, one for each entry that granted one.

    The highest revision decides: permits of a lower revision are void, whoever granted them. At
    one revision, an entry that answers ``accepting=False`` ends only its own permit, because it may
    merely have lost contact; a pushed withdrawal ends all permits of its revision.
    """

    def __init__(self, clock: Clock, max_ttl_ms: float = MAX_TTL_MS) -> None:
        self._clock = clock
        self._max_ttl_ms = min(max_ttl_ms, MAX_TTL_MS)
        self._sent: dict[EntryId, dict[int, float]] = {}
        self._expiry_ms: dict[EntryId, float] = {}
        self._revision = Revision(0)
        self._withdrawn = Revision(-1)
        self._observed_ms = clock.now_ms()
        self._observed_wall_ms = clock.wall_ms()
        self.pauses = 0
        """Pauses noticed since the start."""

    @property
    def revision(self) -> Revision:
        """The highest revision seen in any permit."""
        return self._revision

    def heartbeat_sent(self, entry: EntryId, sequence: int) -> None:
        """Note that heartbeat ``sequence`` is about to be sent to ``entry``."""
        self._observe()
        sent = self._sent.setdefault(entry, {})
        sent[sequence] = self._clock.now_ms()
        if len(sent) > _MAX_UNANSWERED:
            del sent[next(iter(sent))]

    def on_permit(self, permit: Permit) -> None:
        """Take a permit or a withdrawal; those that answer no known heartbeat grant nothing."""
        self._observe()
        entry = permit.entry
        if permit.sequence:
            sent_ms = self._sent.get(entry, {}).pop(permit.sequence, None)
            if sent_ms is None:
                return
        elif permit.accepting:
            return
        if permit.revision < self._revision:
            return
        if permit.revision > self._revision:
            self._revision = permit.revision
            self._expiry_ms.clear()
        if not permit.sequence:
            self._withdrawn = permit.revision
            self._expiry_ms.clear()
        elif not permit.accepting:
            self._expiry_ms.pop(entry, None)
        elif permit.revision > self._withdrawn and sent_ms is not None:
            expiry_ms = sent_ms + min(permit.ttl_ms, self._max_ttl_ms)
            self._expiry_ms[entry] = max(expiry_ms, self._expiry_ms.get(entry, expiry_ms))

    def may_start(self) -> bool:
        """Return whether a start may happen now; ask immediately before each start."""
        self._observe()
        now_ms = self._clock.now_ms()
        return any(now_ms < expiry_ms for expiry_ms in self._expiry_ms.values())

    def tick(self) -> None:
        """Notice a pause of this process; called at least every few hundred milliseconds."""
        self._observe()

    def entry_gone(self, entry: EntryId) -> None:
        """Drop what is known of an entry that is no longer registered, its permit included."""
        self._sent.pop(entry, None)
        self._expiry_ms.pop(entry, None)

    def _observe(self) -> None:
        """Void the permits and the heartbeats under way if this process was paused.

        The time of day is compared too, because the monotonic clock may stand still while a virtual
        machine is suspended.
        """
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        gap_ms = max(now_ms - self._observed_ms, wall_ms - self._observed_wall_ms)
        self._observed_ms, self._observed_wall_ms = now_ms, wall_ms
        if gap_ms > MAX_PAUSE_MS:
            self.pauses += 1
            self._expiry_ms.clear()
            self._sent.clear()
