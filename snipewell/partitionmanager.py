"""Partition management on one entry: takeover, record replication and handover.

The leader of a partition is the entry that processes the submissions of its keys and grants their
tasks. Its replicas, the leader among them, are the entries that store the records.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from random import Random

from .clock import Clock
from .effect import Effect, LogRecord, ProposeTable, Reply, SendEntry, Submission
from .ids import (
    AgentId,
    EntryId,
    Epoch,
    Incarnation,
    Partition,
    RequestId,
    ScopedKey,
    ServiceName,
    TaskIndex,
    ZoneId,
    partition_of,
)
from .leadership import PartitionLeadership, Phase
from .limits import PartitionLimits, Protections
from .message import (
    Candidate,
    Collected,
    Copied,
    Copy,
    Fetch,
    Fetched,
    Held,
    Hold,
    HoldRefused,
    Leaving,
    PeerMessage,
    QueryReply,
    RefusalReason,
    Refused,
    Release,
    Result,
    Start,
)
from .outcome import Impossible, NotRun, Outcome, Step, Unknown
from .partition import (
    PartitionTable,
    count_replicated_partitions,
    plan_move,
    plan_replicas,
    plan_table,
)
from .replica import ReplicaRecords
from .submission import RetryBudget, SubmissionState
from .submissiontable import LeaderContext, SubmissionTable

__all__ = ["PartitionLimits", "PartitionManager", "Protections"]


def _no_retries(service: ServiceName) -> bool:
    return False


class PartitionManager:
    """Manage the partitions of which one entry is leader or replica.

    This covers submissions, replication of their records, recovery and handover. Event handlers do
    no I/O; they return the effects to be executed.
    """

    def __init__(self, context: LeaderContext) -> None:
        self._context = context
        self._clock = context.clock
        self._limits = context.limits
        self._table: PartitionTable | None = None
        self._replica_counts: Counter[EntryId] = Counter()
        self._live: dict[EntryId, ZoneId] = {}
        self._draining_peers: set[EntryId] = set()
        self._leaderships: dict[Partition, PartitionLeadership] = {}
        # Per partition: the coverage epoch, and the time since which the records are complete. That
        # time is at first when the table with this epoch was applied.
        self._coverage: dict[Partition, tuple[Epoch, float]] = {}
        self._replica_records = ReplicaRecords(
            context.entry, context.clock, context.limits, context.protections
        )
        self._draining = False
        # False after a change of the table, the live entries or the draining entries.
        self._is_plan_current = False
        self._propose_at_ms = 0.0
        self._announce_at_ms = 0.0
        self._handover_at_ms = 0.0
        self._full_tick_at_ms = 0.0

    @classmethod
    def create(
        cls,
        entry: EntryId,
        zone: ZoneId,
        clock: Clock,
        rng: Random,
        limits: PartitionLimits,
        budget: RetryBudget = _no_retries,
        protections: Protections | None = None,
    ) -> PartitionManager:
        """Return the partition manager of ``entry``.

        It proposes no partition table before ``on_entries`` has listed ``entry`` itself, which
        happens only once the registered entries are known. An entry that knew of no other live one
        would take over every partition and declare a gap, that is, a loss of records. ``budget`` is
        asked before each retry of an idempotent request; the default allows no retries.
        """
        runs = SubmissionTable(limits.max_records, limits.max_refusals, limits.max_bytes)
        protections = protections or Protections()
        return cls(LeaderContext(entry, clock, rng, limits, protections, budget, runs))

    def leader_of(self, key: ScopedKey) -> EntryId | None:
        """Return the leader of ``key`` in the partition table, or None before a table is read."""
        if self._table is None:
            return None
        return self._table.partitions[partition_of(key, self._limits.partitions)].leader

    def _leadership_of(self, key: ScopedKey) -> PartitionLeadership | None:
        return self._leaderships.get(partition_of(key, self._limits.partitions))

    def on_table(self, table: PartitionTable) -> list[Effect]:
        """Apply a partition table read from the store, unless its version is not newer.

        This entry does not become leader of a partition for which a message from another leader
        carried a newer epoch; it waits for the table with that epoch.
        """
        if self._table is not None and table.version <= self._table.version:
            return []
        self._table = table
        self._replica_counts = count_replicated_partitions(table.partitions)
        self._is_plan_current = False
        self._propose_at_ms = 0.0
        effects: list[Effect] = []
        now_ms = self._clock.now_ms()
        for number, assigned in enumerate(table.partitions):
            partition = Partition(number)
            if self._coverage.get(partition, (-1, 0.0))[0] != assigned.coverage_epoch:
                self._coverage[partition] = (assigned.coverage_epoch, now_ms)
            self._replica_records.raise_epoch(partition, assigned.epoch)
            leadership = self._leaderships.get(partition)
            if leadership is not None and not leadership.is_continued_by(assigned):
                effects += self._step_down(partition, assigned.leader)
                leadership = None
            if assigned.leader != self._context.entry:
                continue
            if leadership is not None:
                effects += leadership.on_assigned(assigned)
            elif assigned.epoch == self._replica_records.epoch_of(partition):
                effects += self._become_leader(partition)
        return effects

    def _become_leader(self, partition: Partition) -> list[Effect]:
        assert self._table is not None
        assigned = self._table.partitions[partition]
        local_records = self._replica_records.remove_partition(partition)
        covered_since_ms = self._coverage[partition][1]
        leadership = PartitionLeadership(
            self._context, partition, assigned, local_records, covered_since_ms
        )
        leadership.on_live(self._live)
        self._leaderships[partition] = leadership
        fields: dict[str, object] = {"partition": partition, "epoch": assigned.epoch}
        return [LogRecord("home", "Became leader of a partition.", fields), *leadership.tick()]

    def _step_down(self, partition: Partition, successor: EntryId) -> list[Effect]:
        effects, records = self._leaderships.pop(partition).step_down(successor)
        for record in records:
            self._replica_records.put(partition, record)
        fields: dict[str, object] = {"partition": partition, "successor": successor}
        return [LogRecord("home", "No longer leader of a partition.", fields), *effects]

    def on_entries(self, live: Mapping[EntryId, ZoneId]) -> list[Effect]:
        """Set the live entries: those registered or heard from, this one once it is registered."""
        self._live = dict(live)
        self._draining_peers &= set(live)
        for partition, leadership in self._leaderships.items():
            leadership.on_live(self._live)
            successor = leadership.handover
            if (
                self._table is not None
                and successor is not None
                and not leadership.are_targets_live()
            ):
                # A handover needs copies on all new replicas, and one of them is no longer live.
                leadership.set_target_replicas(
                    self._plan_replicas(partition, successor, self._table)
                )
        self._is_plan_current = False
        self._propose_at_ms = 0.0
        return self._propose_changes()

    def submit(self, submission: Submission, candidates: Sequence[Candidate]) -> list[Effect]:
        """Process a submission as leader; its tasks are enqueued once its record is replicated."""
        leadership = self._leadership_of(submission.key)
        if leadership is None:
            return [self._not_leader(submission.request, submission.key)]
        return leadership.submit(submission, candidates)

    def _not_leader(self, request: RequestId, key: ScopedKey) -> Reply:
        leader = self.leader_of(key) or "store"
        reason = "this entry is not the home of the key"
        return Reply(request, key, Unknown(Step.FORWARD, leader, reason, False))

    def refuse(self, submission: Submission, refusal: NotRun | Impossible) -> list[Effect]:
        """Answer a submission that admission refused; a recorded state of its key has precedence.

        The refusal is sent only after the replicas have recorded it, so that neither a concurrent
        attempt nor another leader starts the work before the Retry-After period has passed.
        """
        leadership = self._leadership_of(submission.key)
        if leadership is None:
            return [self._not_leader(submission.request, submission.key)]
        return leadership.refuse(submission, refusal)

    def cancel(self, request: RequestId, key: ScopedKey) -> list[Effect]:
        """Cancel the submission of ``key`` for all waiting clients and answer ``request``."""
        leadership = self._leadership_of(key)
        return (
            [self._not_leader(request, key)]
            if leadership is None
            else leadership.cancel(request, key)
        )

    def progress(self, key: ScopedKey) -> tuple[int, int] | None:
        """Return the numbers of finished and of all tasks of ``key``, None without a record."""
        run = self._context.runs.get(key)
        return None if run is None else (run.finished, run.count)

    def recorded_outcome(self, key: ScopedKey) -> Outcome | None:
        """Return the recorded outcome of ``key``, None while it runs or without a record."""
        run, leadership = self._context.runs.get(key), self._leadership_of(key)
        if run is None or leadership is None or run.state is not SubmissionState.ENDED:
            return None
        return leadership.submissions.recorded_outcome(run)

    def issue_tickets(self, partition: Partition, count: int) -> list[str]:
        """Return ``count`` new tickets of ``partition``, none if this entry does not serve it."""
        leadership = self._leaderships.get(partition)
        return [] if leadership is None else leadership.issue_tickets(count)

    def grant(
        self, key: ScopedKey, task: TaskIndex, agent: AgentId, incarnation: Incarnation
    ) -> Start | None:
        """Grant a task to an agent; return the start message, or None if it is not allowed now."""
        run, leadership = self._context.runs.get(key), self._leadership_of(key)
        if run is None or leadership is None or not leadership.can_grant():
            return None
        now_ms, epoch = self._clock.now_ms(), leadership.assigned.epoch
        return run.grant(task, Candidate(agent, incarnation), epoch, self._context.entry, now_ms)

    def on_agent_message(
        self, agent: AgentId, message: Refused | Result | QueryReply | Collected
    ) -> list[Effect]:
        """Process an agent's answer to a start, a query or a collection of task records."""
        if isinstance(message, Collected):
            leadership = self._leaderships.get(message.partition)
            return [] if leadership is None else leadership.on_collected(agent, message)
        run, leadership = (
            self._context.runs.get(message.key),
            self._leadership_of(message.key),
        )
        if run is None or leadership is None or run.state is SubmissionState.ENDED:
            return []
        now_ms, budget = self._clock.now_ms(), self._context.budget
        match message:
            case Refused():
                stale = message.reason is RefusalReason.STALE_EPOCH
                if stale and message.epoch > leadership.assigned.epoch:
                    leadership.submissions.suspended = True
                effects = run.on_refused(agent, message)
            case Result():
                effects = run.on_result(agent, message, now_ms, budget)
            case QueryReply():
                effects = run.on_query_reply(agent, message, now_ms, budget)
        return effects + leadership.submissions.record_end(run)

    def on_agent_gone(self, agent: AgentId, incarnation: Incarnation) -> list[Effect]:
        """Query, or retry where allowed, the tasks of an agent that has fallen silent."""
        effects: list[Effect] = []
        for run in self._context.runs.with_task_at(agent):
            effects += run.on_agent_gone(
                agent, incarnation, self._clock.now_ms(), self._context.budget
            )
            leadership = self._leadership_of(run.key)
            if leadership is not None:
                effects += leadership.submissions.record_end(run)
        return effects

    def on_entry_message(self, sender: EntryId, message: PeerMessage) -> list[Effect]:
        """Process a replication message from another entry."""
        match message:
            case Hold() | Copy() | Fetch():
                effects = self._on_newer_leader(message.partition, message.epoch, message.entry)
                if isinstance(message, Fetch):
                    answers = self._replica_records.on_fetch(message)
                else:
                    answers = self._replica_records.on_hold(message)
                if isinstance(message, Copy):
                    self._update_coverage(message)
                return effects + [SendEntry(sender, answer) for answer in answers]
            case Release():
                self._replica_records.on_release(message)
            case Leaving():
                if message.entry in self._live and message.entry not in self._draining_peers:
                    self._draining_peers.add(message.entry)
                    self._is_plan_current = False
            case Held() | Copied() | HoldRefused() | Fetched():
                return self._on_replica_message(message)
        return []

    def _update_coverage(self, copy: Copy) -> None:
        """Adopt the time since which the records are complete from the leader's copy message."""
        if self._table is None:
            return
        assigned = self._table.partitions[copy.partition]
        if (assigned.leader, assigned.epoch) == (copy.entry, copy.epoch):
            covered_since_ms = min(
                self._coverage[copy.partition][1], self._clock.now_ms() - copy.covered_ms
            )
            self._coverage[copy.partition] = (assigned.coverage_epoch, covered_since_ms)

    def _on_replica_message(self, message: Held | Copied | HoldRefused | Fetched) -> list[Effect]:
        leadership = self._leaderships.get(message.partition)
        if leadership is None:
            return []
        match message:
            case Fetched():
                return leadership.on_fetched(message)
            case HoldRefused():
                return leadership.on_hold_refused(message)
            case _:
                return leadership.on_acknowledged(message)

    def _on_newer_leader(self, partition: Partition, epoch: Epoch, leader: EntryId) -> list[Effect]:
        """Step down if another entry is leader at a newer epoch, before the table shows it."""
        leadership = self._leaderships.get(partition)
        if leadership is None or epoch <= leadership.assigned.epoch:
            return []
        return self._step_down(partition, leader)

    def tick(self) -> list[Effect]:
        """Process timers, resends and plans; call it at intervals of at most 20 ms.

        Timers are processed only here, so they are late by up to that interval.
        """
        effects: list[Effect] = []
        for run in self._context.runs.due(self._clock.now_ms()):
            leadership = self._leaderships.get(run.partition)
            if leadership is not None:
                effects += leadership.submissions.on_timer(run)
        effects += self._tick_leaderships()
        self._replica_records.tick()
        return effects + self._announce_leaving() + self._plan_handovers() + self._propose_changes()

    def _tick_leaderships(self) -> list[Effect]:
        """Tick recovering partitions on each call, and the others at the resend interval."""
        now_ms = self._clock.now_ms()
        is_full_tick = now_ms >= self._full_tick_at_ms
        if is_full_tick:
            self._full_tick_at_ms = now_ms + self._limits.resend_interval_ms
        effects: list[Effect] = []
        for leadership in self._leaderships.values():
            if is_full_tick or leadership.is_recovering:
                effects += leadership.tick()
        return effects

    def _draining_entries(self) -> set[EntryId]:
        return (
            self._draining_peers | {self._context.entry} if self._draining else self._draining_peers
        )

    def _plan_handovers(self) -> list[Effect]:
        """Start handovers that balance leaders or drain this entry, and abort overdue ones."""
        now_ms, table = self._clock.now_ms(), self._table
        effects: list[Effect] = []
        moving = [
            partition
            for partition, leadership in self._leaderships.items()
            if leadership.handover is not None
        ]
        if not self._draining:
            for partition in moving:
                if self._leaderships[partition].is_handover_overdue():
                    effects += self._leaderships[partition].abort_handover()
                    # After an overdue handover, no new one starts for two quiescing periods.
                    self._handover_at_ms = now_ms + 2 * self._limits.quiesce_ms
        if table is None or now_ms < self._handover_at_ms:
            return effects
        self._handover_at_ms = now_ms + self._limits.resend_interval_ms
        max_moving = self._limits.partitions if self._draining else self._limits.max_handovers
        draining = self._draining_entries()
        while len(moving) < max_moving:
            movable = [
                partition
                for partition, leadership in self._leaderships.items()
                if leadership.handover is None and leadership.phase is Phase.SERVING
            ]
            entry = self._context.entry
            move = plan_move(table, entry, self._live, draining, movable, len(moving))
            if move is None:
                break
            partition, successor = move
            moving.append(partition)
            replicas = self._plan_replicas(partition, successor, table)
            self._leaderships[partition].begin_handover(successor, replicas)
        return effects

    def _plan_replicas(
        self, partition: Partition, leader: EntryId, table: PartitionTable
    ) -> tuple[EntryId, ...]:
        draining, size = self._draining_entries(), self._limits.replicas
        assigned = table.partitions[partition]
        return plan_replicas(
            partition, assigned, leader, self._live, self._replica_counts, size, draining
        )

    def _propose_changes(self) -> list[Effect]:
        """Propose a table with takeovers and changes of this entry's own partitions.

        The planned takeovers are included, those by other entries too, if this entry is to take
        over a partition. Otherwise they are left to the other entries.
        """
        now_ms, table, entry = self._clock.now_ms(), self._table, self._context.entry
        if now_ms < self._propose_at_ms or entry not in self._live:
            return []
        self._propose_at_ms = now_ms + self._limits.resend_interval_ms
        if self._is_plan_current and not self._needs_planning():
            return []
        self._is_plan_current = True
        draining = self._draining_entries()
        limits = self._limits
        planned = plan_table(table, self._live, limits.partitions, limits.replicas, draining)
        if table is None:
            return [ProposeTable(0, planned)] if planned and entry == min(self._live) else []
        assignments = list(planned.partitions if planned else table.partitions)
        has_change = any(
            new.leader == entry and old.leader != entry
            for new, old in zip(assignments, table.partitions, strict=True)
        )
        assignments = assignments if has_change else list(table.partitions)
        for partition, leadership in self._leaderships.items():
            if leadership.handover is None:
                leadership.set_target_replicas(self._plan_replicas(partition, entry, table))
            change = leadership.plan_change()
            if change is not None:
                assignments[partition], has_change = change, True
        if not has_change:
            return []
        self._propose_at_ms = now_ms + limits.propose_interval_ms
        return [ProposeTable(table.version, PartitionTable(table.version, tuple(assignments)))]

    def _needs_planning(self) -> bool:
        """Return whether planning must be repeated although nothing it depends on has changed.

        It must be if there is no table, a leader is not live, or one of this entry's partitions
        awaits a change of the table.
        """
        if self._table is None or any(a.leader not in self._live for a in self._table.partitions):
            return True
        return any(leadership.is_changing() for leadership in self._leaderships.values())

    def drain(self) -> list[Effect]:
        """Start draining: hand over all partitions and accept no others."""
        self._draining = True
        self._is_plan_current = False
        self._handover_at_ms = self._propose_at_ms = 0.0
        return self._announce_leaving()

    def _announce_leaving(self) -> list[Effect]:
        now_ms = self._clock.now_ms()
        if not self._draining or now_ms < self._announce_at_ms:
            return []
        self._announce_at_ms = now_ms + self._limits.propose_interval_ms
        leaving = Leaving(self._context.entry)
        return [SendEntry(e, leaving) for e in self._live if e != self._context.entry]

    def drained(self) -> bool:
        """Return whether this entry can exit.

        It can once the table names it as leader or replica of no partition. If no other live entry
        could take over, it can once none of its submissions is in progress.
        """
        if not self._draining or self._table is None:
            return self._draining
        if set(self._live) <= self._draining_entries():
            return all(
                leadership.submissions.is_idle() for leadership in self._leaderships.values()
            )
        return not any(self._context.entry in a.replicas for a in self._table.partitions)
