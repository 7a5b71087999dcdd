"""Rule by which a key without a record is proved to be new, so that its tasks may start."""

from __future__ import annotations

from .clock import Clock
from .ids import ScopedKey, Ticket
from .limits import PartitionLimits
from .partition import PartitionAssignment


def is_proved_new(
    key: ScopedKey,
    assigned: PartitionAssignment,
    covered_since_ms: float,
    clock: Clock,
    limits: PartitionLimits,
) -> bool:
    """Return whether no task of ``key``, of which the leader has no record, can have started.

    ``assigned`` is the state of the key's partition, and ``covered_since_ms`` the time since which
    its records are complete. A key without a record is new if its record cannot have been lost:

    - A ticket must have been issued in an epoch since which no record was lost, and recently
      enough that its record would still be retained. The margin on both ends of the age allows
      for differences between the clocks of the entries.
    - A plain key is new if no record of the partition was ever lost. Otherwise records must have
      been complete for the longest time for which a lost one could matter: the longest run of a
      submission plus the resubmission window after its end.
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
