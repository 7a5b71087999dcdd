"""Limits and time-outs of the partition leaders and replicas on one entry.

The leader of a key's partition is the entry that coordinates its submissions; replicas are the
entries that keep copies of the leader's records.
"""

from __future__ import annotations

from dataclasses import dataclass

from .outcome import NotRun, Outcome


@dataclass(frozen=True, slots=True)
class Protections:
    """Switches of the mechanisms that ensure at-most-once execution.

    Only tests turn one off, to prove that the history checker detects its absence.

    With ``replica_acknowledgement``, a leader starts no task and sends no refusal before replicas
    have acknowledged the record. With ``replica_epoch``, replicas reject messages of an earlier
    epoch. With ``collect_before_resume``, a new leader collects the start records of the agents
    before it resumes a submission. With ``refusal_memory``, refusals are recorded. With
    ``one_grant``, a task is not granted again merely because its agent is silent. With
    ``coverage``, a key without a record is accepted as new only if an earlier submission of it is
    ruled out.
    """

    replica_acknowledgement: bool = True
    replica_epoch: bool = True
    collect_before_resume: bool = True
    refusal_memory: bool = True
    one_grant: bool = True
    coverage: bool = True


@dataclass(frozen=True, slots=True)
class PartitionLimits:
    """Limits of the leaders and replicas on one entry. Times are in milliseconds.

    ``max_deadline_ms`` limits the deadline of a submission: after a gap in the records, a key
    without a ticket is accepted as new only after the longest run that may be missing from them.
    ``refusal_slack_ms`` is the time within which replicas must acknowledge a refusal. A leader
    does not send a refusal that took longer, and a leader that has recovered a refusal honours it
    for that additional time. ``max_handovers`` is the number of partitions handed over at the same
    time, unless the entry is draining.
    """

    partitions: int = 64
    replicas: int = 3
    window_ms: float = 600_000
    ticket_margin_ms: float = 60_000
    max_deadline_ms: float = 600_000
    max_records: int = 1_000_000
    max_refusals: int = 50_000
    max_bytes: int = 1 << 30
    max_queued: int = 10_000
    max_queued_bytes: int = 64 << 20
    hold_retry_ms: float = 100
    fetch_retry_ms: float = 200
    collect_timeout_ms: float = 3_000
    query_after_ms: float = 3_000
    query_interval_ms: float = 500
    propose_interval_ms: float = 500
    quiesce_ms: float = 5_000
    retry_after_ms: int = 1_000
    refusal_slack_ms: float = 1_000
    refusal_margin_ms: float = 5_000
    forget_after_ms: float = 30_000
    restore_records: int = 1_000
    copy_records: int = 500
    copy_bytes: int = 512 << 10
    max_handovers: int = 2

    def retention_ms(self, outcome: Outcome | None) -> float:
        """Return the retention time of a record after its end.

        A refusal is kept only until its retry time and a margin have passed.
        """
        if isinstance(outcome, NotRun):
            return outcome.retry_after_ms + self.refusal_margin_ms
        return self.window_ms


def majority(count: int) -> int:
    """Return the number of replicas, out of ``count``, that must acknowledge a record."""
    return count // 2 + 1


def read_quorum(count: int) -> int:
    """Return the number of replicas, out of ``count``, that a new leader must read.

    It is the smallest number that includes a replica of every acknowledged record.
    """
    return count - majority(count) + 1
