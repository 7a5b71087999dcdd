"""The rule by which a key without a record is proved new."""

from __future__ import annotations

from .clock import Clock
from .ids import ScopedKey, Ticket
from .limits import HomeLimits
from .partition import PartitionEntry


def is_proved_new(
    key: ScopedKey,
    assigned: PartitionEntry,
    covered_since_ms: float,
    clock: Clock,
    limits: HomeLimits,
) -> bool:
    """Return whether ``key``, of which a home of ``assigned`` has no record, has never run.

    A ticket must have been issued since records are complete, and so lately that its record would
    still be kept. A plain key is new if no record was ever lost, or if none has been for longer
    than a record lost then could have mattered: the window after the latest end of its run.
    """
    ticket = Ticket.parse(key.partition("/")[2])
    if ticket is not None:
        age_ms = clock.wall_ms() - ticket.issued_ms
        issued = assigned.coverage_epoch <= ticket.epoch <= assigned.epoch
        margin_ms = limits.ticket_margin_ms
        return issued and -margin_ms <= age_ms < limits.window_ms - margin_ms
    if assigned.coverage_epoch == 0:
        return True
    covered_ms = clock.now_ms() - covered_since_ms
    return covered_ms > limits.window_ms + limits.max_deadline_ms
