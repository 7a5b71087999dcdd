"""State of one partition at its leader, from takeover to handover."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Sequence
from enum import Enum

from .effect import Effect, Reply, SendEntry, Submission
from .ids import AgentId, EntryId, Epoch, Partition, RequestId, ScopedKey, Ticket
from .message import (
    Candidate,
    Collected,
    Copied,
    Fetched,
    Forward,
    Held,
    HoldRefused,
    KeyRecord,
)
from .outcome import Impossible, NotRun, Step, Unknown
from .partition import PartitionAssignment
from .recovery import QuorumRead, TaskRecordCollection, resolve_run
from .submission import SubmissionState
from .submissions import PartitionSubmissions
from .submissiontable import LeaderContext


class Phase(Enum):
    """Stage of a partition at its leader, which decides how submissions of new keys are handled."""

    FETCHING = "fetching"
    SERVING = "serving"
    QUIESCING = "quiescing"
    """New keys are queued until running work has ended and the next leader has the records."""


class PartitionLeadership:
    """Manage one partition for as long as this entry is its leader.

    Submissions that can be neither started nor answered yet wait in a bounded queue in order of
    arrival: while records are fetched, while a newer table is awaited, and before a handover.
    """

    def __init__(
        self,
        context: LeaderContext,
        partition: Partition,
        assigned: PartitionAssignment,
        local_records: Sequence[KeyRecord],
        covered_since_ms: float,
    ) -> None:
        self._context = context
        self.partition = partition
        self.phase = Phase.FETCHING
        self.submissions = PartitionSubmissions(context, partition, assigned, covered_since_ms)
        self._live: Collection[EntryId] = ()
        self._target_replicas: tuple[EntryId, ...] = assigned.replicas
        self._is_handover_aborted = False
        self._queue: deque[tuple[Submission, Sequence[Candidate]]] = deque()
        self._queued_bytes = 0
        self._resend_at_ms = 0.0
        self._quiesced_at_ms = 0.0
        self._is_proposed = False
        self._quorum_read = QuorumRead(
            context.entry, partition, assigned, local_records, context.clock, context.limits
        )
        # Records read but not yet restored; None until the read is done.
        self._to_restore: list[KeyRecord] | None = None
        self._unresolved: list[KeyRecord] = []
        self._collection: TaskRecordCollection | None = None

    @property
    def assigned(self) -> PartitionAssignment:
        """The partition's assignment in the partition table last applied."""
        return self.submissions.assigned

    @property
    def handover(self) -> EntryId | None:
        """The next leader during a handover of the partition, otherwise None."""
        return self.submissions.handover

    @property
    def is_recovering(self) -> bool:
        """Whether records are still being fetched from replicas or collected from agents."""
        return self.phase is Phase.FETCHING or self._collection is not None

    def can_grant(self) -> bool:
        """Return whether tasks may be granted: records are read and no newer table is awaited."""
        return self.phase is not Phase.FETCHING and not self.submissions.suspended

    def submit(self, submission: Submission, candidates: Sequence[Candidate]) -> list[Effect]:
        """Process a submission, or queue it until the state of its key is known."""
        if self._must_wait(submission.key):
            return self._enqueue(submission, candidates)
        return self.submissions.submit(submission, candidates)

    def _must_wait(self, key: ScopedKey) -> bool:
        if not self.can_grant():
            return True
        return self.phase is Phase.QUIESCING and not self.submissions.is_known(key)

    def refuse(self, submission: Submission, refusal: NotRun | Impossible) -> list[Effect]:
        """Answer a submission that admission refused.

        While the state of its key is not known, the outcome is unknown: an earlier attempt may
        have started the work.
        """
        if self._must_wait(submission.key):
            return self.submissions.reply_unknown(submission, Step.ADMISSION, refusal.reason)
        return self.submissions.refuse(submission, refusal)

    def cancel(self, request: RequestId, key: ScopedKey) -> list[Effect]:
        """Cancel the submission of ``key`` and answer the queued submissions of it."""
        effects: list[Effect] = []
        reason = "cancelled before its key was decided"
        unknown = Unknown(Step.RECOVERY, self._context.entry, reason, False)
        for submission, _ in self._queue:
            if submission.key == key and submission.request != request:
                effects.append(Reply(submission.request, key, unknown))
        self._set_queue([item for item in self._queue if item[0].key != key])
        run = self._context.runs.get(key)
        if run is not None:
            return effects + self.submissions.cancel(request, run)
        return [*effects, Reply(request, key, unknown)]

    def _enqueue(self, submission: Submission, candidates: Sequence[Candidate]) -> list[Effect]:
        limits = self._context.limits
        size = sum(map(len, submission.tasks))
        full = self._queued_bytes + size > limits.max_queued_bytes
        if len(self._queue) >= limits.max_queued or full:
            reason = "too many keys wait for a change of home"
            return self.submissions.reply_unknown(submission, Step.HOLD, reason)
        self._queue.append((submission, candidates))
        self._queued_bytes += size
        return []

    def _set_queue(self, items: Sequence[tuple[Submission, Sequence[Candidate]]]) -> None:
        self._queue = deque(items)
        self._queued_bytes = sum(sum(map(len, item[0].tasks)) for item in items)

    def _process_queue(self) -> list[Effect]:
        waiting = list(self._queue)
        self._set_queue([])
        effects: list[Effect] = []
        for submission, candidates in waiting:
            effects += self.submit(submission, candidates)
        return effects

    def _expire_queue(self) -> list[Effect]:
        now_ms = self._context.clock.now_ms()
        expired = [s for s, _ in self._queue if s.deadline_at_ms <= now_ms]
        if expired:
            self._set_queue([item for item in self._queue if item[0].deadline_at_ms > now_ms])
        reason = "the deadline passed during a change of home"
        effects: list[Effect] = []
        for submission in expired:
            effects += self.submissions.reply_unknown(submission, Step.RECOVERY, reason)
        return effects

    def is_continued_by(self, assigned: PartitionAssignment) -> bool:
        """Return whether this entry has been leader without interruption up to ``assigned``.

        A leader reads each of its own changes back before it proposes the next one. An epoch that
        rose by more than one therefore implies another leader in between, whose records this entry
        does not have.
        """
        is_leader = assigned.leader == self._context.entry
        return is_leader and assigned.epoch <= self.assigned.epoch + 1

    def on_assigned(self, assigned: PartitionAssignment) -> list[Effect]:
        """Apply a newer table in which this entry is still the leader."""
        changed = assigned.epoch != self.assigned.epoch
        self.submissions.assigned = assigned
        self.submissions.replication.set_replicas(assigned.replicas)
        self._is_proposed = False
        if changed:
            self.submissions.suspended = False
            self._resend_at_ms = 0.0
            self._quorum_read.set_assigned(assigned)
            self._update_targets()
        if not self.can_grant():
            return []
        advanced = self.submissions.advance_held() if changed else []
        return advanced + self._process_queue()

    def on_live(self, live: Collection[EntryId]) -> None:
        """Set the live entries; records are replicated only to replicas among them."""
        self._live = live
        self._update_targets()

    def set_target_replicas(self, replicas: tuple[EntryId, ...]) -> None:
        """Set the replicas to be proposed; all records are copied to them before the proposal."""
        self._target_replicas = replicas
        self._is_handover_aborted = False
        self._update_targets()

    def are_targets_live(self) -> bool:
        """Return whether all target replicas are live."""
        return all(replica in self._live for replica in self._target_replicas)

    def _update_targets(self) -> None:
        if self.phase is Phase.FETCHING:
            return
        replication = self.submissions.replication
        possible_targets = dict.fromkeys((*self.assigned.replicas, *self._target_replicas))
        live_targets = [replica for replica in possible_targets if replica in self._live]
        for replica in replication.targets():
            if replica not in live_targets:
                replication.remove_target(replica)
        for replica in live_targets:
            replication.add_target(replica)

    def begin_handover(self, successor: EntryId, replicas: tuple[EntryId, ...]) -> None:
        """Start copying all records with their results to ``successor``.

        Once they are copied, new keys are queued until the handover is complete.
        """
        self.submissions.handover = successor
        self._target_replicas = replicas
        self.submissions.replication.add_target(successor, resend_all=True)
        self._update_targets()

    def abort_handover(self) -> list[Effect]:
        """Abort the handover and resume serving.

        This happens if running work did not end in time, or if the successor is gone.
        """
        self.submissions.handover = None
        self._is_handover_aborted = True
        self.phase = Phase.SERVING
        return self._process_queue()

    def is_changing(self) -> bool:
        """Return whether the partition awaits a change of the table or a new plan.

        A new plan is needed after an aborted handover, because its target replicas may include a
        draining entry.
        """
        needs_plan = self._is_handover_aborted or set(self._target_replicas) != set(
            self.assigned.replicas
        )
        return needs_plan or self.phase is Phase.FETCHING or self.handover is not None

    def plan_change(self) -> PartitionAssignment | None:
        """Return the assignment of the partition that may be proposed now, or None."""
        assigned, submissions = self.assigned, self.submissions
        epoch = Epoch(assigned.epoch + 1)
        if self.phase is Phase.FETCHING:
            if not self._quorum_read.is_quorum_lost(self._live):
                return None
            return PartitionAssignment(self._context.entry, (self._context.entry,), epoch, epoch)
        if submissions.suspended:
            return None
        leader, is_awaiting_replicas = self._context.entry, submissions.is_awaiting_replicas
        if self.handover is not None:
            if self.phase is not Phase.QUIESCING or not submissions.is_idle():
                return None
            leader = self.handover
        elif set(self._target_replicas) == set(assigned.replicas):
            return None
        if not submissions.replication.is_synced(self._target_replicas, is_awaiting_replicas):
            return None
        self._is_proposed = True
        submissions.replication.add_proposed(self._target_replicas)
        return PartitionAssignment(leader, self._target_replicas, epoch, assigned.coverage_epoch)

    def on_fetched(self, message: Fetched) -> list[Effect]:
        """Process one part of a replica's records."""
        is_obsolete = self._to_restore is not None or message.epoch < self.assigned.epoch
        if self.phase is not Phase.FETCHING or is_obsolete:
            return []
        self._quorum_read.on_fetched(message)
        return self._restore() if self._quorum_read.is_done() else []

    def _restore(self) -> list[Effect]:
        """Restore up to ``restore_records`` of the records read; serve once all are restored."""
        if self._to_restore is None:
            self._to_restore = list(self._quorum_read.records.values())
        for _ in range(min(len(self._to_restore), self._context.limits.restore_records)):
            record = self._to_restore.pop()
            # A refusal of an epoch before a gap is dropped, even if only a replaced leader recorded
            # it: a newer record of its key may have been lost.
            if self._predates_gap(record.epoch) and isinstance(record.outcome, NotRun | Impossible):
                continue
            if self.submissions.restore_run(record).state is not SubmissionState.ENDED:
                self._unresolved.append(record)
        return [] if self._to_restore else self._start_serving()

    def _start_serving(self) -> list[Effect]:
        """Start serving new keys, and collect the agents' task records of the recovered ones."""
        self.phase = Phase.SERVING
        submissions, records = self.submissions, self._quorum_read.records
        for replica, versions_read in self._quorum_read.versions_read.items():
            if replica in self._live:
                current = [
                    (key, version)
                    for key, epoch, version, candidates in versions_read
                    if (epoch, version) == (records[key].epoch, records[key].version)
                    and candidates == len(records[key].candidates)
                ]
                submissions.replication.add_target(replica, current)
        self._update_targets()
        self._quorum_read.clear()
        context = self._context
        self._collection = TaskRecordCollection(
            self.partition, self.assigned.epoch, self._unresolved, context.clock, context.limits
        )
        self._unresolved = []
        effects = self._collection.tick() + self._resolve()
        return effects + self._process_queue()

    def _predates_gap(self, epoch: int) -> bool:
        """Return whether a record of ``epoch`` was written before the last loss of records.

        A newer record of its key may have been lost, so it does not prove the state of the key.
        """
        return epoch < self.assigned.coverage_epoch

    def on_collected(self, agent: AgentId, message: Collected) -> list[Effect]:
        """Process the task records of a candidate agent."""
        if self._collection is None:
            return []
        self._collection.on_collected(agent, message)
        return self._resolve()

    def _resolve(self) -> list[Effect]:
        assert self._collection is not None
        protected = self._context.protections.collect_before_resume
        now_ms = self._context.clock.now_ms()
        effects: list[Effect] = []
        for key, found, is_conclusive in self._collection.take_resolved(at_once=not protected):
            run = self._context.runs.get(key)
            if run is None or run.state is not SubmissionState.COLLECTING:
                continue
            is_conclusive = (is_conclusive and not self._predates_gap(run.epoch)) or not protected
            effects += resolve_run(run, found, is_conclusive, now_ms)
            self.submissions.set_timer(run)
            effects += self.submissions.record_end(run) + self.submissions.resume(run)
        if self._collection.is_done():
            self._collection = None
        return effects

    def on_acknowledged(self, message: Held | Copied) -> list[Effect]:
        """Process a replica's acknowledgement."""
        return self.submissions.on_acknowledged(message)

    def on_hold_refused(self, message: HoldRefused) -> list[Effect]:
        """Process a replica's refusal."""
        return self.submissions.on_hold_refused(message)

    def tick(self) -> list[Effect]:
        """Resend unanswered messages, expire queued submissions, advance recovery and handover."""
        effects: list[Effect] = []
        if self.phase is Phase.FETCHING:
            effects += self._restore() if self._quorum_read.is_done() else self._quorum_read.tick()
        if self._collection is not None:
            effects += self._collection.tick() + self._resolve()
        now_ms = self._context.clock.now_ms()
        if now_ms >= self._resend_at_ms:
            self._resend_at_ms = now_ms + self._context.limits.resend_interval_ms
            effects += self._expire_queue()
            if self.can_grant():
                effects += self.submissions.send_copies(self.submissions.replication.targets())
                effects += self.submissions.send_releases()
        return effects + self._advance_handover(now_ms)

    def _advance_handover(self, now_ms: float) -> list[Effect]:
        submissions, successor = self.submissions, self.handover
        if successor is None:
            return []
        if successor not in self._live and not self._is_proposed:
            return self.abort_handover()
        synced = submissions.replication.is_synced(
            self._target_replicas, submissions.is_awaiting_replicas
        )
        if self.phase is Phase.SERVING and synced:
            self.phase = Phase.QUIESCING
            self._quiesced_at_ms = now_ms
        return []

    def is_handover_overdue(self) -> bool:
        """Return whether new keys have been queued for running work longer than ``quiesce_ms``."""
        waited_ms = self._context.clock.now_ms() - self._quiesced_at_ms
        return (
            self.phase is Phase.QUIESCING
            and not self._is_proposed
            and waited_ms > self._context.limits.quiesce_ms
        )

    def step_down(self, successor: EntryId) -> tuple[list[Effect], list[KeyRecord]]:
        """End the leadership: forward queued submissions, answer other clients, return records."""
        effects, records = self.submissions.abandon(successor)
        now_ms = self._context.clock.now_ms()
        for submission, _ in self._queue:
            if successor == self._context.entry:
                reason = "another home held the partition in between"
                effects += self.submissions.reply_unknown(submission, Step.RECOVERY, reason)
                continue
            effects.append(
                SendEntry(
                    successor,
                    Forward(
                        submission.request,
                        submission.origin,
                        submission.key,
                        submission.digest,
                        submission.service,
                        submission.team,
                        submission.tasks,
                        max(submission.deadline_at_ms - now_ms, 0),
                        submission.job,
                        submission.resources,
                    ),
                )
            )
        self._set_queue([])
        if self.phase is Phase.FETCHING:
            records = list(self._quorum_read.records.values())
        return effects, records

    def issue_tickets(self, count: int) -> list[str]:
        """Return ``count`` new tickets, or none unless the partition is served normally."""
        if self.phase is not Phase.SERVING or self.submissions.suspended:
            return []
        rng, now_ms = self._context.rng, self._context.clock.wall_ms()
        return [
            str(Ticket(self.partition, self.assigned.epoch, now_ms, f"{rng.getrandbits(64):016x}"))
            for _ in range(count)
        ]
