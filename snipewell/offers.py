"""Allocation of an upstream's free capacity to the entries by offers, without any I/O.

Entries share an upstream without coordination. If capacity for one more task were reported to all
of them, all entries with waiting tasks would order a start, and all starts but one would be
rejected. The number of reports would also grow with the product of entries and upstreams. Capacity
in demand is therefore offered to one entry at a time, in proportion to the entries' demand.
"""

from __future__ import annotations

from dataclasses import dataclass

from .job import ResourceVector

OFFER_MS = 8.0
"""Time for which capacity is held for the entry that it was offered to: a round trip between
availability zones, and the processing time of the entry."""


@dataclass(slots=True)
class _Offer:
    peer: str
    resources: ResourceVector
    until_ms: float
    used: bool = False


class Offers:
    """Demand of the entries at one upstream, and the open offers of its capacity."""

    def __init__(self) -> None:
        self._demand: dict[str, int] = {}
        self._offered: dict[str, int] = {}
        """CPU offered to each entry in the present cycle, in thousandths of a core. A cycle ends
        when each entry has been offered as much as it demands, so the offers are proportional to
        demand."""
        self._offers: list[_Offer] = []

    @property
    def has_demand(self) -> bool:
        """Whether any entry has demand."""
        return bool(self._demand)

    def set_demand(self, peer: str, cpu_milli: int) -> None:
        """Set the demand of the entry ``peer`` to ``cpu_milli`` thousandths of a core."""
        self._offered.pop(peer, None)
        if cpu_milli > 0:
            self._demand[peer] = cpu_milli
        else:
            self._demand.pop(peer, None)

    def remove_entry(self, peer: str) -> None:
        """Remove the demand and the offers of the entry ``peer``, whose session has ended."""
        self.set_demand(peer, 0)
        self._offers = [offer for offer in self._offers if offer.peer != peer]

    def offer(self, free: ResourceVector, now_ms: float) -> str | None:
        """Offer the part of ``free`` that no open offer covers.

        Return the entry to which it is offered, or None. The entry with the largest demand not yet
        met by offers is chosen; a report is to be sent to it.
        """
        if not self._demand:
            return None
        self._expire(now_ms)
        for offer in self._offers:
            free = free.minus(offer.resources)
        if free.cpu_milli <= 0:
            return None
        peer = max(self._demand, key=self._unmet)
        if self._unmet(peer) <= 0:
            # Each entry has been offered its whole demand: start the next cycle.
            self._offered.clear()
            peer = max(self._demand, key=self._unmet)
        self._offered[peer] = self._offered.get(peer, 0) + free.cpu_milli
        self._offers.append(_Offer(peer, free, now_ms + OFFER_MS))
        return peer

    def _unmet(self, peer: str) -> int:
        return self._demand[peer] - self._offered.get(peer, 0)

    def _expire(self, now_ms: float) -> None:
        for offer in self._offers:
            if offer.until_ms <= now_ms and offer.peer in self._demand and not offer.used:
                # The offer expired unused. Count the whole demand of the entry as met, so that the
                # other entries take precedence for the rest of the cycle.
                self._offered[offer.peer] = self._demand[offer.peer]
        self._offers = [offer for offer in self._offers if offer.until_ms > now_ms]

    def take(self, peer: str, resources: ResourceVector) -> None:
        """Subtract ``resources`` from the offer of the entry ``peer``, which has started a task."""
        for offer in self._offers:
            if offer.peer == peer:
                offer.used = True
                offer.resources = offer.resources.minus(resources)
                if offer.resources.cpu_milli <= 0:
                    self._offers.remove(offer)
                return

    def free_for(self, peer: str, free: ResourceVector, now_ms: float) -> ResourceVector:
        """Return the free capacity to report to the entry ``peer`` if ``free`` is free in total.

        An entry with demand gets only the capacity that was offered to it, the others all capacity
        that is not on offer.
        """
        self._expire(now_ms)
        rest = free
        for offer in self._offers:
            if offer.peer != peer:
                rest = rest.minus(offer.resources)
        if peer not in self._demand:
            return rest
        own = ResourceVector()
        for offer in self._offers:
            if offer.peer == peer:
                own = own.plus(offer.resources)
        return own if own.fits(rest) else rest
