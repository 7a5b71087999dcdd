"""Which entry is told of an upstream's free room, without any I/O.

Entries share an upstream without asking each other. If all of them heard of every task's worth of
room, all of those with waiting tasks would order a start and all but one be rejected, and the
reports would grow with entries times upstreams. Room that is wanted is therefore offered to one
entry at a time, in proportion to what the entries say they want.
"""

from __future__ import annotations

from dataclasses import dataclass

from .job import Room

OFFER_MS = 8.0
"""How long room is kept for the entry that it was offered to: a round trip between availability
zones, and the entry's work on it."""


@dataclass(slots=True)
class _Offer:
    peer: str
    room: Room
    until_ms: float
    used: bool = False


class Offers:
    """The entries' wants at one upstream, and the offers that are under way."""

    def __init__(self) -> None:
        self._wanted: dict[str, int] = {}
        self._offered: dict[str, int] = {}
        self._offers: list[_Offer] = []

    def set_wanted(self, peer: str, cpu_milli: int) -> None:
        """Take in for how many thousandths of a core tasks wait at the entry ``peer``."""
        self._offered.pop(peer, None)
        if cpu_milli > 0:
            self._wanted[peer] = cpu_milli
        else:
            self._wanted.pop(peer, None)

    def forget(self, peer: str) -> None:
        """Take in that the session with the entry ``peer`` has ended."""
        self.set_wanted(peer, 0)
        self._offers = [offer for offer in self._offers if offer.peer != peer]

    def offer(self, free: Room, now_ms: float) -> str | None:
        """Offer what isn't offered of ``free``; return the entry to tell, or None.

        The entry with the most wants that no offer has met is chosen.
        """
        if not self._wanted:
            return None
        self._expire(now_ms)
        for offer in self._offers:
            free = free.minus(offer.room)
        if free.cpu_milli <= 0:
            return None
        peer = max(self._wanted, key=self._unmet)
        if self._unmet(peer) <= 0:
            # Each has been offered what it wants, and still wants it: a new turn.
            self._offered.clear()
            peer = max(self._wanted, key=self._unmet)
        self._offered[peer] = self._offered.get(peer, 0) + free.cpu_milli
        self._offers.append(_Offer(peer, free, now_ms + OFFER_MS))
        return peer

    def _unmet(self, peer: str) -> int:
        return self._wanted[peer] - self._offered.get(peer, 0)

    def _expire(self, now_ms: float) -> None:
        for offer in self._offers:
            if offer.until_ms <= now_ms and offer.peer in self._wanted and not offer.used:
                # It has no use for this room, so the others come first.
                self._offered[offer.peer] = self._wanted[offer.peer]
        self._offers = [offer for offer in self._offers if offer.until_ms > now_ms]

    def take(self, peer: str, room: Room) -> None:
        """Take in that the entry ``peer`` has started a task that occupies ``room``."""
        for offer in self._offers:
            if offer.peer == peer:
                offer.used = True
                offer.room = offer.room.minus(room)
                if offer.room.cpu_milli <= 0:
                    self._offers.remove(offer)
                return

    def free_for(self, peer: str, free: Room, now_ms: float) -> Room:
        """Return what to tell the entry ``peer`` if ``free`` is free in all.

        An entry that wants room is told of its own offers alone, the others of what isn't offered.
        """
        self._expire(now_ms)
        rest = free
        for offer in self._offers:
            if offer.peer != peer:
                rest = rest.minus(offer.room)
        if peer not in self._wanted:
            return rest
        own = Room()
        for offer in self._offers:
            if offer.peer == peer:
                own = own.plus(offer.room)
        return own if own.fits(rest) else rest
