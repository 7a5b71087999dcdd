"""Bounds and times of the homes of one entry, and the switches of their protections."""

from __future__ import annotations

from dataclasses import dataclass

from .outcome import NotRun, Outcome


@dataclass(frozen=True, slots=True)
class Protections:
    """Switches of the mechanisms behind at-most-once. Only tests turn one off.

    A test that turns a mechanism off shows that the checker of histories notices its absence.
    """

    holder_acknowledgement: bool = True
    holder_epoch: bool = True
    collect_before_resume: bool = True
    refusal_memory: bool = True
    one_grant: bool = True
    coverage: bool = True


@dataclass(frozen=True, slots=True)
class HomeLimits:
    """Bounds of one entry's homes and holders; times in milliseconds.

    ``max_deadline_ms`` caps the deadline of a submission, because the rule that proves a plain key
    new after a gap must wait for the longest run that the gap may have hidden.
    ``refusal_slack_ms`` is how long a refusal may take to be acknowledged by holders. A home gives
    none that took longer, and another home keeps to a recovered refusal that much longer.
    """

    partitions: int = 64
    holders: int = 3
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
    max_moves: int = 2

    def keep_ms(self, outcome: Outcome | None) -> float:
        """Return how long after its end a record is kept; a refusal only until it has lapsed."""
        if isinstance(outcome, NotRun):
            return outcome.retry_after_ms + self.refusal_margin_ms
        return self.window_ms


def majority(count: int) -> int:
    """Return how many of ``count`` holders must acknowledge a record."""
    return count // 2 + 1


def read_quorum(count: int) -> int:
    """Return how many of ``count`` holders a new home must read to see every such record."""
    return count - majority(count) + 1
