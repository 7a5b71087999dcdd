"""Recovery of a partition at a new leader: from the replicas, then from the candidate agents."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence

from .clock import Clock
from .effect import Effect, SendAgent, SendEntry
from .ids import AgentId, EntryId, Epoch, Incarnation, Partition, ScopedKey
from .limits import PartitionLimits, read_quorum
from .message import (
    Candidate,
    Collect,
    Collected,
    Fetch,
    Fetched,
    KeyRecord,
    TaskRecord,
    TaskState,
)
from .outcome import Complete, Step, Unknown
from .partition import PartitionAssignment
from .replica import merge_records
from .submission import SubmissionRun, SubmissionState


class QuorumRead:
    """Read the records of a partition from a read quorum of the previous leader's replicas.

    ``has_gap`` is true if the table declares a loss of records at the current epoch. Then no read
    is needed, and this entry's own records may be outdated.
    """

    def __init__(
        self,
        entry: EntryId,
        partition: Partition,
        assigned: PartitionAssignment,
        local_records: Iterable[KeyRecord],
        clock: Clock,
        limits: PartitionLimits,
    ) -> None:
        self._entry = entry
        self._partition = partition
        self._clock = clock
        self._limits = limits
        self._retry_at_ms = 0.0
        self._parts: dict[tuple[EntryId, int], dict[int, Fetched]] = {}
        self._sequence = 0
        self.records: dict[ScopedKey, KeyRecord] = {}
        # Per replica: key, epoch, version and number of candidates of each of its records. The
        # number shows whether the replica lacks candidates that merging the records has added.
        self.versions_read: dict[EntryId, list[tuple[ScopedKey, int, int, int]]] = {}
        for record in local_records:
            self.records[record.key] = record
        self.read_replicas = {entry}
        self.set_assigned(assigned)

    def set_assigned(self, assigned: PartitionAssignment) -> None:
        """Apply a change of the partition's assignment during the recovery."""
        self._assigned = assigned
        self.has_gap = assigned.coverage_epoch == assigned.epoch
        self._retry_at_ms = 0.0

    def is_done(self) -> bool:
        """Return whether no more reads are needed.

        That is so once a read quorum was read, which covers every acknowledged record, if the table
        declares a gap, or at the first epoch, which has no earlier records.
        """
        read_replicas = self.read_replicas.intersection(self._assigned.replicas)
        first = self._assigned.epoch == 1
        return (
            self.has_gap or first or len(read_replicas) >= read_quorum(len(self._assigned.replicas))
        )

    def is_quorum_lost(self, live: Collection[EntryId]) -> bool:
        """Return whether too few replicas are read or live for a quorum: a gap must be declared."""
        possible = [r for r in self._assigned.replicas if r in live or r in self.read_replicas]
        return len(possible) < read_quorum(len(self._assigned.replicas))

    def clear(self) -> None:
        """Drop the records read, after the leader has restored them."""
        self.records, self.versions_read, self._parts = {}, {}, {}

    def tick(self) -> list[Effect]:
        """Return fetch messages to the replicas that have not been read, at the retry interval."""
        now_ms = self._clock.now_ms()
        if self.is_done() or now_ms < self._retry_at_ms:
            return []
        self._retry_at_ms = now_ms + self._limits.fetch_retry_ms
        self._sequence += 1
        fetch = Fetch(self._partition, self._assigned.epoch, self._entry, self._sequence)
        return [SendEntry(r, fetch) for r in self._assigned.replicas if r not in self.read_replicas]

    def on_fetched(self, message: Fetched) -> None:
        """Process one part of a replica's answer; it is read once all parts have arrived."""
        if message.entry in self.read_replicas or not message.complete:
            return
        parts = self._parts.setdefault((message.entry, message.sequence), {})
        parts[message.part] = message
        last = max(parts)
        if parts[last].more or len(parts) <= last:
            return
        self.read_replicas.add(message.entry)
        seen = self.versions_read.setdefault(message.entry, [])
        for part in parts.values():
            for record in part.records:
                seen.append((record.key, record.epoch, record.version, len(record.candidates)))
                old = self.records.get(record.key)
                self.records[record.key] = record if old is None else merge_records(old, record)
        self._parts = {key: kept for key, kept in self._parts.items() if key[0] != message.entry}


class TaskRecordCollection:
    """Collect the task records of recovered keys from their candidate agents.

    They tell which tasks of a key an agent has queued, started or finished, and with which result.
    Keys with the same candidates form a group and are resolved together, once all candidates have
    answered or ``collect_timeout_ms`` has passed.
    """

    def __init__(
        self,
        partition: Partition,
        epoch: Epoch,
        records: Iterable[KeyRecord],
        clock: Clock,
        limits: PartitionLimits,
    ) -> None:
        self._partition = partition
        self._clock = clock
        self._limits = limits
        self._epoch = epoch
        self._groups: dict[tuple[Candidate, ...], list[ScopedKey]] = {}
        for record in records:
            self._groups.setdefault(tuple(record.candidates), []).append(record.key)
        self._unanswered = {c.agent for candidates in self._groups for c in candidates}
        self._incarnations: dict[AgentId, Incarnation] = {}
        self._task_records: dict[ScopedKey, list[tuple[Candidate, TaskRecord]]] = {}
        self._retry_at_ms = 0.0
        self._timeout_at_ms = clock.now_ms() + limits.collect_timeout_ms

    def is_done(self) -> bool:
        """Return whether ``take_resolved`` has returned every key."""
        return not self._groups

    def tick(self) -> list[Effect]:
        """Return collect messages to the agents that have not answered, at the retry interval.

        A repeated message is sent on the agent's current connection, so it also reaches an agent
        that has reconnected.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._retry_at_ms:
            return []
        self._retry_at_ms = now_ms + self._limits.fetch_retry_ms
        collect = Collect(self._partition, self._epoch, self._limits.partitions)
        return [SendAgent(agent, collect) for agent in sorted(self._unanswered)]

    def on_collected(self, agent: AgentId, message: Collected) -> None:
        """Process an agent's task records; the agent now rejects starts of older epochs."""
        if message.epoch < self._epoch or agent not in self._unanswered:
            return
        self._unanswered.discard(agent)
        self._incarnations[agent] = message.incarnation
        candidate = Candidate(agent, message.incarnation)
        for record in message.records:
            self._task_records.setdefault(record.key, []).append((candidate, record))

    def take_resolved(
        self, at_once: bool = False
    ) -> list[tuple[ScopedKey, list[tuple[Candidate, TaskRecord]], bool]]:
        """Return newly resolved keys, each with its task records and whether they are conclusive.

        They are conclusive if no start of the key can be missing from them. One call returns at
        most ``restore_records`` keys, so that other work is not delayed. With ``at_once``, all
        outstanding answers are disregarded; only tests of the history checker use it.
        """
        is_timed_out = at_once or self._clock.now_ms() >= self._timeout_at_ms
        resolved: list[tuple[ScopedKey, list[tuple[Candidate, TaskRecord]], bool]] = []
        for candidates, keys in list(self._groups.items()):
            if not is_timed_out and any(
                candidate.agent in self._unanswered for candidate in candidates
            ):
                continue
            is_conclusive = all(
                self._incarnations.get(c.agent) == c.incarnation for c in candidates
            )
            while keys and len(resolved) < self._limits.restore_records:
                key = keys.pop()
                resolved.append((key, self._task_records.pop(key, []), is_conclusive))
            if not keys:
                del self._groups[candidates]
        return resolved


def resolve_run(
    run: SubmissionRun,
    found: Sequence[tuple[Candidate, TaskRecord]],
    is_conclusive: bool,
    now_ms: float,
) -> list[Effect]:
    """Reconcile ``run`` with its candidate agents' task records, after the agents were fenced.

    ``is_conclusive`` is true if every candidate answered with the incarnation in the record and no
    record was lost. Otherwise a task without a task record may still be started only if the run
    is retryable.
    """
    run.state = SubmissionState.AWAITING_RESUBMISSION
    run.granted = bool(found) or not is_conclusive
    if found:
        run.open_slots()
    failed: list[tuple[Candidate, TaskRecord]] = []
    for candidate, record in found:
        slot = run.slot_of(record.task)
        if slot is None:
            continue
        if record.state is TaskState.OK and (record.body_kept or record.body):
            slot.body, slot.agent = record.body, candidate.agent
            run.finished += 1
        elif record.state in (TaskState.RUNNING, TaskState.QUEUED):
            slot.agent, slot.incarnation = candidate.agent, candidate.incarnation
            slot.last_seen_ms, slot.gone = now_ms, True
        elif record.state is not TaskState.NOT_STARTED:
            slot.excluded |= {candidate.agent}
            failed.append((candidate, record))
    return _conclude(run, failed, is_conclusive, now_ms)


def _conclude(
    run: SubmissionRun,
    failed: Sequence[tuple[Candidate, TaskRecord]],
    is_conclusive: bool,
    now_ms: float,
) -> list[Effect]:
    if run.finished == run.count:
        return run.end(Complete([slot.body or b"" for slot in run.slots]), now_ms)
    for candidate, record in failed:
        if run.slots[record.task].agent is not None or run.retryable:
            continue
        return run.fail(Step.RECOVERY, candidate.agent, record, now_ms)
    has_task_to_start = any(slot.agent is None and slot.body is None for slot in run.slots)
    if has_task_to_start and (run.released or not (is_conclusive or run.retryable)):
        reason = "the home failed, and not every agent could say what it had started"
        return run.end(Unknown(Step.RECOVERY, str(run.partition), reason), now_ms)
    return []
