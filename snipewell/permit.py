"""Agent side of the permits that allow task starts.

A permit is issued by an entry in reply to a heartbeat. It is valid for its ``ttl_ms``, counted on
the agent's clock from the time at which the heartbeat was sent. Network delay of the reply, and
pauses of the agent's process, therefore shorten the permit and never extend it.
"""

from __future__ import annotations

from .clock import Clock
from .ids import EntryId, Revision
from .message import Permit

MAX_TTL_MS = 1_500
"""Upper bound of a permit's lifetime, in milliseconds.

Together with the entry's freshness window of 1,000 ms, it ensures that task starts in an
availability zone stop within the required 3,000 ms after the zone is taken out of service.
"""
MAX_PAUSE_MS = 1_000
"""Longest gap between two clock checks, in milliseconds.

A longer gap means that the process was paused. All permits are then discarded, because the agent's
state may be outdated.
"""
# Maximum number of unanswered heartbeats tracked for each entry.
_MAX_UNANSWERED = 16


class Permits:
    """The permits held by this agent, at most one for each entry.

    Only permits of the highest revision seen are valid; a permit of a lower revision is invalid,
    regardless of the entry that issued it. Within one revision, a reply with ``accepting=False``
    withdraws only the permit of the replying entry, which may merely have lost contact with the
    store and its peers. A pushed withdrawal withdraws all permits of its revision.
    """

    def __init__(self, clock: Clock, max_ttl_ms: float = MAX_TTL_MS) -> None:
        self._clock = clock
        self._max_ttl_ms = min(max_ttl_ms, MAX_TTL_MS)
        self._sent: dict[EntryId, dict[int, float]] = {}
        self._expiry_ms: dict[EntryId, float] = {}
        self._revision = Revision(0)
        self._withdrawn_revision = Revision(-1)
        self._observed_ms = clock.now_ms()
        self._observed_wall_ms = clock.wall_ms()
        self.pauses = 0
        """Number of process pauses detected since the start."""

    @property
    def revision(self) -> Revision:
        """Highest revision seen in any permit."""
        return self._revision

    def heartbeat_sent(self, entry: EntryId, sequence: int) -> None:
        """Record the send time of heartbeat ``sequence``; called just before it is sent."""
        self._check_for_pause()
        sent = self._sent.setdefault(entry, {})
        sent[sequence] = self._clock.now_ms()
        if len(sent) > _MAX_UNANSWERED:
            del sent[next(iter(sent))]

    def on_permit(self, permit: Permit) -> None:
        """Process a permit or a withdrawal.

        A message with sequence 0 was pushed and can only withdraw. One with another sequence is
        ignored unless it answers a tracked heartbeat.
        """
        self._check_for_pause()
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
            self._withdrawn_revision = permit.revision
            self._expiry_ms.clear()
        elif not permit.accepting:
            self._expiry_ms.pop(entry, None)
        elif permit.revision > self._withdrawn_revision and sent_ms is not None:
            expiry_ms = sent_ms + min(permit.ttl_ms, self._max_ttl_ms)
            self._expiry_ms[entry] = max(expiry_ms, self._expiry_ms.get(entry, expiry_ms))

    def may_start(self) -> bool:
        """Return whether any permit is valid; must be called immediately before each start."""
        self._check_for_pause()
        now_ms = self._clock.now_ms()
        return any(now_ms < expiry_ms for expiry_ms in self._expiry_ms.values())

    def tick(self) -> None:
        """Detect a pause of this process; called at least every few hundred milliseconds."""
        self._check_for_pause()

    def remove_entry(self, entry: EntryId) -> None:
        """Delete the permit and pending heartbeats of an entry that is no longer registered."""
        self._sent.pop(entry, None)
        self._expiry_ms.pop(entry, None)

    def _check_for_pause(self) -> None:
        """Discard all permits and pending heartbeats if this process was paused.

        The wall clock is compared too, because some systems have no monotonic clock that goes on
        while a VM is suspended.
        """
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        gap_ms = max(now_ms - self._observed_ms, wall_ms - self._observed_wall_ms)
        self._observed_ms, self._observed_wall_ms = now_ms, wall_ms
        if gap_ms > MAX_PAUSE_MS:
            self.pauses += 1
            self._expiry_ms.clear()
            self._sent.clear()
