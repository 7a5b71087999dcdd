"""Bounded table of the submissions of one entry, and the context that its partitions share."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from random import Random

from .clock import Clock
from .ids import AgentId, EntryId, ScopedKey
from .limits import PartitionLimits, Protections
from .submission import RetryBudget, SubmissionRun, SubmissionState


class SubmissionTable:
    """Store the runs of one entry, bounded in count and bytes, and a queue of their timers."""

    def __init__(self, max_records: int, max_refusals: int, max_bytes: int) -> None:
        self._runs: dict[ScopedKey, SubmissionRun] = {}
        self._sizes: dict[ScopedKey, int] = {}
        self._timers: list[tuple[float, ScopedKey, int]] = []
        self._max_records = max_records
        self._max_refusals = max_refusals
        self._max_bytes = max_bytes
        self._bytes = 0
        self._timer = 0

    def __len__(self) -> int:
        return len(self._runs)

    def get(self, key: ScopedKey) -> SubmissionRun | None:
        """Return the run of ``key``, or None if there is none."""
        return self._runs.get(key)

    def add(self, run: SubmissionRun) -> None:
        """Add ``run`` under its key."""
        self._runs[run.key] = run
        self.update_size(run)

    def update_size(self, run: SubmissionRun) -> None:
        """Update the byte count after the payloads or results stored in ``run`` changed."""
        size = run.bytes_held()
        self._bytes += size - self._sizes.get(run.key, 0)
        self._sizes[run.key] = size

    def remove(self, key: ScopedKey) -> None:
        """Remove the run of ``key``, which has expired or belongs to another leader now."""
        self._runs.pop(key, None)
        self._bytes -= self._sizes.pop(key, 0)

    def has_room(self, payload_bytes: int) -> bool:
        """Return whether a submission of ``payload_bytes`` would stay within the limits."""
        within = self._bytes + payload_bytes <= self._max_bytes
        return len(self._runs) < self._max_records and within

    def has_room_for_refusal(self) -> bool:
        """Return whether a refusal can be stored; ``max_refusals`` are allowed beyond the limit."""
        return len(self._runs) < self._max_records + self._max_refusals

    def schedule(self, at_ms: float, run: SubmissionRun) -> None:
        """Set the timer of ``run`` to ``at_ms``, replacing an earlier one."""
        self._timer += 1
        run.timer = self._timer
        heapq.heappush(self._timers, (at_ms, run.key, run.timer))

    def due(self, now_ms: float) -> Iterator[SubmissionRun]:
        """Yield the runs whose timers are due, each once; timers are not rescheduled here."""
        while self._timers and self._timers[0][0] <= now_ms:
            _, key, timer = heapq.heappop(self._timers)
            run = self._runs.get(key)
            if run is not None and run.timer == timer:
                yield run

    def with_task_at(self, agent: AgentId) -> Iterable[SubmissionRun]:
        """Return the unfinished runs with a task granted to ``agent``."""
        return [
            run
            for run in self._runs.values()
            if run.state is not SubmissionState.ENDED and any(s.agent == agent for s in run.slots)
        ]


@dataclass(slots=True)
class LeaderContext:
    """Shared state and configuration of all partitions of one entry."""

    entry: EntryId
    clock: Clock
    rng: Random
    limits: PartitionLimits
    protections: Protections
    budget: RetryBudget
    runs: SubmissionTable
    sequence: int = 0

    def next_sequence(self) -> int:
        """Return the sequence number for the next message that requires an acknowledgement."""
        self.sequence += 1
        return self.sequence
