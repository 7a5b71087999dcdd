"""Limits and time-outs of the partition leaders and replicas on one entry.

The leader of a partition is the entry that processes the submissions of its keys and grants their
tasks. Its replicas, the leader among them, are the entries that store the records.
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
    epoch. With ``collect_before_resume``, a new leader collects the task records of the agents
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
    """Number of partitions to which keys are hashed."""
    replicas: int = 3
    """Planned number of replicas of a partition, the leader included."""
    window_ms: float = 600_000
    """Resubmission window: retention time of a record after its end, except of a refusal."""
    ticket_margin_ms: float = 60_000
    """Allowed difference between the clocks of entries when the age of a ticket is checked."""
    max_deadline_ms: float = 600_000
    max_records: int = 1_000_000
    """Limit per entry, applied separately to its records as leader and as replica."""
    max_refusals: int = 50_000
    """Refusals that are recorded beyond ``max_records``."""
    max_bytes: int = 1 << 30
    """Limit per entry of the stored bytes, applied separately like ``max_records``."""
    max_queued: int = 10_000
    """Limit per partition of the submissions that wait, for example for a new leader's recovery."""
    max_queued_bytes: int = 64 << 20
    """Limit per partition of the payloads of waiting submissions."""
    resend_interval_ms: float = 100
    """Interval of resending unacknowledged records, and of planning handovers and table changes."""
    fetch_retry_ms: float = 200
    """Interval at which a new leader asks again the replicas and agents that have not answered."""
    collect_timeout_ms: float = 3_000
    """Time after which a new leader stops waiting for task records of agents."""
    query_after_ms: float = 3_000
    """Time without a report on a task after which its agent is queried."""
    query_interval_ms: float = 500
    """Interval at which runs with granted tasks are checked for tasks to query."""
    propose_interval_ms: float = 500
    """Interval of repeating a proposal of a table, and the message that this entry drains."""
    quiesce_ms: float = 5_000
    """Time for which new keys are queued before a handover is aborted, unless the entry drains."""
    retry_after_ms: int = 1_000
    """Retry-After period of refusals and unknown outcomes that the leader itself decides on."""
    refusal_slack_ms: float = 1_000
    refusal_margin_ms: float = 5_000
    """Time for which a refusal's record is retained beyond its Retry-After period."""
    forget_after_ms: float = 30_000
    """Time after the end of a submission at which its agents are told to drop its results."""
    restore_records: int = 1_000
    """Records restored, and keys resolved, in one call, so that other work is not delayed."""
    copy_records: int = 500
    """Limit of the records in one Copy or Fetched message."""
    copy_bytes: int = 512 << 10
    """Size of the records at which a Copy or Fetched message ends."""
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
