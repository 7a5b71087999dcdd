"""Processing of one partition's submissions at its leader, and replication of their records."""

from __future__ import annotations

from collections.abc import Sequence

from .effect import Effect, Reply, SendAgent, SendEntry, Submission, Withdraw
from .ids import EntryId, Partition, RequestId, ScopedKey
from .limits import majority
from .message import (
    Candidate,
    Copied,
    Copy,
    Forget,
    Held,
    Hold,
    HoldRefused,
    KeyRecord,
    Release,
)
from .newkey import is_proved_new
from .outcome import Complete, Conflict, Impossible, NotRun, Outcome, Step, Unknown
from .partition import PartitionAssignment
from .replica import record_size
from .replication import Replication
from .submission import SubmissionRun, SubmissionState
from .submissiontable import LeaderContext


class PartitionSubmissions:
    """Process the submissions of one partition at its leader and replicate their records.

    A run is the processing of one submission. Its tasks start only after a majority of the
    partition's replicas has acknowledged its record.
    """

    def __init__(
        self,
        context: LeaderContext,
        partition: Partition,
        assigned: PartitionAssignment,
        covered_since_ms: float,
    ) -> None:
        self._context = context
        self.partition = partition
        self.assigned = assigned
        self.handover: EntryId | None = None
        self.suspended = False
        self.replication = Replication(context.entry, assigned.replicas)
        self.keys: dict[ScopedKey, None] = {}
        self.unfinished: set[ScopedKey] = set()
        self._covered_since_ms = covered_since_ms
        self._unsent_releases: list[ScopedKey] = []
        self._full_replicas: dict[ScopedKey, set[EntryId]] = {}

    def is_known(self, key: ScopedKey) -> bool:
        """Return whether ``key`` has a run in progress or an outcome that still holds.

        A run that awaits a resubmission does not count, nor an ended one that may be restarted:
        while a handover quiesces, their submissions are queued like those of new keys.
        """
        run = self._context.runs.get(key)
        if run is None or run.state is SubmissionState.AWAITING_RESUBMISSION:
            return False
        return not (run.state is SubmissionState.ENDED and self._may_restart(run))

    def submit(self, submission: Submission, candidates: Sequence[Candidate]) -> list[Effect]:
        """Join a submission to the run of its key, or start a run if the key is proved new."""
        run = self._context.runs.get(submission.key)
        if run is None:
            return self._start_run(submission, candidates, 1)
        if run.state is SubmissionState.ENDED and self._may_restart(run):
            return self._start_run(submission, candidates, run.version + 1)
        return self._join(run, submission, candidates)

    def refuse(self, submission: Submission, refusal: NotRun | Impossible) -> list[Effect]:
        """Answer a submission that admission refused; a recorded run of its key has precedence."""
        run = self._context.runs.get(submission.key)
        if run is not None and run.state is SubmissionState.AWAITING_RESUBMISSION:
            return self.reply_unknown(submission, Step.ADMISSION, refusal.reason)
        if run is not None and self.is_known(submission.key):
            return self._join(run, submission, ())
        if run is None and not self._is_new(submission.key):
            return self.reply_unknown(submission, Step.RECOVERY, "the key cannot be proved new")
        if not self._context.protections.refusal_memory:
            return [Reply(submission.request, submission.key, refusal)]
        return self._refuse_new(submission, refusal, run.version + 1 if run is not None else 1)

    def _refuse_new(
        self, submission: Submission, refusal: NotRun | Impossible, version: int
    ) -> list[Effect]:
        if not self._context.runs.has_room_for_refusal():
            return self.reply_unknown(
                submission, Step.ADMISSION, "too many refusals are remembered"
            )
        run = SubmissionRun.from_submission(submission, self.partition, ())
        run.version = version
        run.refuse(refusal, self._context.clock.now_ms())
        return self._store_run(run)

    def reply_unknown(self, submission: Submission, step: Step, reason: str) -> list[Effect]:
        """Reply that this attempt started nothing, but an earlier one may have."""
        retry_after_ms = self._context.limits.retry_after_ms
        outcome = Unknown(step, self._context.entry, reason, False, retry_after_ms)
        return [Reply(submission.request, submission.key, outcome)]

    def _is_new(self, key: ScopedKey) -> bool:
        context = self._context
        return not context.protections.coverage or is_proved_new(
            key, self.assigned, self._covered_since_ms, context.clock, context.limits
        )

    def _may_restart(self, run: SubmissionRun) -> bool:
        """Return whether a resubmission may start the ended ``run`` anew.

        A refusal holds until its Retry-After period has passed. A recovered one holds longer by
        ``refusal_slack_ms``, because the previous leader may have sent it that much later. An
        impossible or unknown outcome allows a restart if no task was granted; any other is final.
        """
        now_ms = self._context.clock.now_ms()
        if isinstance(run.outcome, NotRun):
            slack_ms = self._context.limits.refusal_slack_ms if run.recovered else 0
            return now_ms >= run.ended_at_ms + run.outcome.retry_after_ms + slack_ms
        return not run.granted and isinstance(run.outcome, Unknown | Impossible)

    def _start_run(
        self, submission: Submission, candidates: Sequence[Candidate], version: int
    ) -> list[Effect]:
        """Start a run of a key, or refuse it at the limits of records and bytes.

        ``version`` is 1 if there is no record of the key, which must then be proved new.
        """
        if version == 1 and not self._is_new(submission.key):
            return self.reply_unknown(submission, Step.RECOVERY, "the key cannot be proved new")
        limits = self._context.limits
        if not self._context.runs.has_room(sum(map(len, submission.tasks))):
            refusal = NotRun("the home is at its bound of records", limits.retry_after_ms)
            if not self._context.protections.refusal_memory:
                return [Reply(submission.request, submission.key, refusal)]
            return self._refuse_new(submission, refusal, version)
        run = SubmissionRun.from_submission(submission, self.partition, candidates)
        latest_ms = self._context.clock.now_ms() + limits.max_deadline_ms
        run.deadline_at_ms = min(run.deadline_at_ms, latest_ms)
        run.version = version
        return self._store_run(run)

    def _store_run(self, run: SubmissionRun) -> list[Effect]:
        run.epoch = self.assigned.epoch
        self._context.runs.add(run)
        self.keys[run.key] = None
        self.unfinished.add(run.key)
        self.replication.set_version(run.key, run.version)
        self.set_timer(run)
        return self._send_hold(run) + self._advance(run)

    def _send_hold(self, run: SubmissionRun) -> list[Effect]:
        if not self._context.protections.replica_acknowledgement:
            return []
        record = run.to_record(self._context.clock.now_ms(), full=False)
        effects: list[Effect] = []
        for replica in self.replication.targets():
            number = self._context.next_sequence()
            self.replication.record_sent(number, replica, [run.key])
            hold = Hold(self.partition, self.assigned.epoch, self._context.entry, [record], number)
            effects.append(SendEntry(replica, hold))
        return effects

    def _advance(self, run: SubmissionRun) -> list[Effect]:
        """Activate a run, or send its refusal, once a majority of the replicas has its record."""
        if run.state not in (SubmissionState.HOLDING, SubmissionState.REFUSING):
            return []
        required = self._context.protections.replica_acknowledgement
        if required and not self.replication.is_held(run.key):
            return []
        if run.state is SubmissionState.HOLDING:
            effects = run.activate()
            self.set_timer(run)
            return effects
        assert run.outcome is not None
        now_ms, limits = self._context.clock.now_ms(), self._context.limits
        if now_ms > run.ended_at_ms + limits.refusal_slack_ms:
            return self._expire(run, now_ms)
        effects = run.end(run.outcome, now_ms)
        return effects + self.record_end(run)

    def _join(
        self, run: SubmissionRun, submission: Submission, candidates: Sequence[Candidate]
    ) -> list[Effect]:
        if run.digest != submission.digest:
            reason = "the key is in use by a submission with another payload"
            return [Reply(submission.request, submission.key, Conflict(reason))]
        if run.state is SubmissionState.ENDED:
            return [Reply(submission.request, submission.key, self.recorded_outcome(run))]
        run.waiting[submission.request] = submission.deadline_at_ms
        if run.submission is None and run.state in (
            SubmissionState.COLLECTING,
            SubmissionState.AWAITING_RESUBMISSION,
        ):
            run.submission = submission
            self._extend_recovered(run, candidates)
            self._context.runs.update_size(run)
            return self.resume(run)
        return []

    def recorded_outcome(self, run: SubmissionRun) -> Outcome:
        """Return the outcome of an ended run; a refusal has the rest of its Retry-After period."""
        outcome = run.outcome
        assert outcome is not None
        if isinstance(outcome, NotRun):
            passed_ms = self._context.clock.now_ms() - run.ended_at_ms
            left_ms = max(1, int(outcome.retry_after_ms - passed_ms))
            return NotRun(outcome.reason, left_ms, outcome.quota)
        if isinstance(outcome, Unknown):
            return Unknown(outcome.step, outcome.peer, outcome.reason, False)
        return outcome

    def _extend_recovered(self, run: SubmissionRun, candidates: Sequence[Candidate]) -> None:
        """Extend a recovered run by new candidate agents and a later deadline.

        The replicas must acknowledge the candidates before any of them is granted a task.
        """
        latest_ms = self._context.clock.now_ms() + self._context.limits.max_deadline_ms
        if run.submission is not None:
            deadline_ms = max(run.deadline_at_ms, run.submission.deadline_at_ms)
            run.deadline_at_ms = min(deadline_ms, latest_ms)
        known = set(run.candidates)
        run.pending_candidates = [c for c in candidates if c not in known]

    def resume(self, run: SubmissionRun) -> list[Effect]:
        """Resume a recovered run; its tasks start once the replicas have its new candidates."""
        if run.state is not SubmissionState.AWAITING_RESUBMISSION or run.submission is None:
            return []
        run.candidates = [*run.candidates, *run.pending_candidates]
        run.pending_candidates = []
        run.state = SubmissionState.HOLDING
        run.open_slots()
        run.epoch = self.assigned.epoch
        run.version += 1
        self.unfinished.add(run.key)
        self.replication.set_version(run.key, run.version)
        return self._send_hold(run) + self._advance(run)

    def cancel(self, request: RequestId, run: SubmissionRun) -> list[Effect]:
        """Cancel ``run`` for all waiting clients and answer ``request``."""
        if run.state is SubmissionState.ENDED:
            return [Reply(request, run.key, self.recorded_outcome(run))]
        run.waiting.setdefault(request, run.deadline_at_ms)
        return run.cancel(self._context.clock.now_ms()) + self.record_end(run)

    def record_end(self, run: SubmissionRun) -> list[Effect]:
        """If ``run`` has ended, schedule the expiry of its record and update the replicas."""
        if run.state is not SubmissionState.ENDED:
            return []
        self.unfinished.discard(run.key)
        self._full_replicas.pop(run.key, None)
        self._context.runs.update_size(run)
        # Results are sent only to the next leader; the replicas get a release. A refusal was
        # recorded by the replicas before it ended. Other outcomes are replicated as a new version.
        if isinstance(run.outcome, Complete):
            self._unsent_releases.append(run.key)
            if self.handover is not None:
                self.replication.mark_unacknowledged(run.key, self.handover)
        elif not isinstance(run.outcome, NotRun):
            run.version += 1
            run.epoch = self.assigned.epoch
            self.replication.set_version(run.key, run.version)
        self.set_timer(run)
        return []

    def set_timer(self, run: SubmissionRun) -> None:
        """Set the timer of ``run`` to its next event.

        This is a query, its deadline, the time-out of a refusal, the ``Forget`` to the agents that
        keep its results, or the expiry of its record.
        """
        now_ms, limits = self._context.clock.now_ms(), self._context.limits
        if run.state is not SubmissionState.ENDED:
            at_ms = run.deadline_at_ms
            if run.state is SubmissionState.REFUSING:
                # One more ms, because a refusal acknowledged exactly at the limit is still sent.
                at_ms = run.ended_at_ms + limits.refusal_slack_ms + 1
            elif run.has_grants():
                at_ms = min(at_ms, now_ms + limits.query_interval_ms)
            at_ms = max(at_ms, now_ms + 1)
        elif run.producers:
            at_ms = run.ended_at_ms + limits.forget_after_ms
        else:
            at_ms = run.ended_at_ms + limits.retention_ms(run.outcome)
        self._context.runs.schedule(at_ms, run)

    def on_timer(self, run: SubmissionRun) -> list[Effect]:
        """Handle the timer of a run.

        Query the agents of unreported tasks, handle its deadline or the time-out of its refusal,
        send a ``Forget`` to the agents that keep its results, or drop its record.
        """
        now_ms, limits = self._context.clock.now_ms(), self._context.limits
        effects: list[Effect] = []
        if run.state is SubmissionState.ENDED:
            if now_ms >= run.ended_at_ms + limits.retention_ms(run.outcome):
                self._drop(run.key)
                return []
            effects = [SendAgent(a, Forget([run.key])) for a in sorted(run.producers)]
            run.producers = frozenset()
        elif now_ms >= run.deadline_at_ms or run.state is SubmissionState.REFUSING:
            effects = self._expire(run, now_ms)
        else:
            regrant = not self._context.protections.one_grant
            after_ms = limits.query_after_ms
            effects = run.check(now_ms, self.assigned.epoch, after_ms, regrant)
        self.set_timer(run)
        return effects

    def _drop(self, key: ScopedKey) -> None:
        self._context.runs.remove(key)
        self.keys.pop(key, None)
        self._full_replicas.pop(key, None)
        self.replication.remove_key(key)

    def _expire(self, run: SubmissionRun, now_ms: float) -> list[Effect]:
        """Handle the deadline of a run, or the end of the time for acknowledging its refusal.

        An active run without a grant starts to be refused, which the replicas must record first.
        Any other run ends with an unknown outcome, a refusal only once that time has passed.
        """
        limits = self._context.limits
        if run.state is SubmissionState.ACTIVE and not run.granted:
            refusal = NotRun("no agent was free before the deadline", limits.retry_after_ms)
            effects = run.refuse(refusal, now_ms)
            run.version += 1
            self.replication.set_version(run.key, run.version)
            return effects + self._send_hold(run) + self._advance(run)
        if (
            run.state is SubmissionState.REFUSING
            and now_ms <= run.ended_at_ms + limits.refusal_slack_ms
        ):
            return []
        step = {
            SubmissionState.HOLDING: Step.HOLD,
            SubmissionState.REFUSING: Step.HOLD,
            SubmissionState.COLLECTING: Step.RECOVERY,
            SubmissionState.AWAITING_RESUBMISSION: Step.RECOVERY,
        }.get(run.state, Step.START)
        unreported = sorted(s.agent for s in run.slots if s.agent is not None and s.body is None)
        peer = unreported[0] if unreported else self._context.entry
        unknown = Unknown(step, peer, "the deadline passed", run.granted, limits.retry_after_ms)
        return run.end(unknown, now_ms) + self.record_end(run)

    def advance_held(self) -> list[Effect]:
        """Advance the runs that a majority of the replicas now in force has acknowledged."""
        effects: list[Effect] = []
        for key in sorted(self.unfinished):
            run = self._context.runs.get(key)
            if run is not None:
                effects += self._advance(run)
        return effects

    def on_acknowledged(self, message: Held | Copied) -> list[Effect]:
        """Process a replica's acknowledgement and advance the runs whose records it covers."""
        keys = set(message.keys) if isinstance(message, Held) else None
        effects: list[Effect] = []
        for key in self.replication.acknowledge(message.sequence, message.entry, keys):
            run = self._context.runs.get(key)
            if run is not None:
                effects += self._advance(run)
        if isinstance(message, Copied):
            effects += self.send_copies([message.entry])
        return effects

    def on_hold_refused(self, message: HoldRefused) -> list[Effect]:
        """Process a replica's refusal of an outdated epoch or of records beyond its limits.

        If the replica has seen a newer epoch, no task is granted until the newer table arrives. A
        run ends as unknown once too many replicas are at their limits for a majority to record it.
        """
        if message.epoch > self.assigned.epoch:
            self.suspended = True
        if not message.full:
            return []
        effects: list[Effect] = []
        count = len(self.assigned.replicas)
        self.replication.defer(message.entry, message.keys)
        for key in message.keys:
            run = self._context.runs.get(key)
            if run is None or run.state not in (SubmissionState.HOLDING, SubmissionState.REFUSING):
                continue
            full = self._full_replicas.setdefault(key, set())
            full.add(message.entry)
            if count - len(full) < majority(count):
                unknown = Unknown(Step.HOLD, message.entry, "the holders are full", run.granted)
                effects += run.end(unknown, self._context.clock.now_ms()) + self.record_end(run)
        return effects

    def send_copies(self, replicas: Sequence[EntryId]) -> list[Effect]:
        """Send each of ``replicas`` a bounded batch of the records it has not acknowledged."""
        limits, now_ms = self._context.limits, self._context.clock.now_ms()
        covered_ms = now_ms - self._covered_since_ms
        effects: list[Effect] = []
        for replica in replicas:
            records: list[KeyRecord] = []
            size = 0
            for key in self.replication.unacknowledged_keys(replica, limits.copy_records):
                run = self._context.runs.get(key)
                assert run is not None
                records.append(run.to_record(now_ms, full=replica == self.handover))
                size += record_size(records[-1])
                if size > limits.copy_bytes:
                    break
            if not records:
                continue
            number = self._context.next_sequence()
            self.replication.record_sent(number, replica, [record.key for record in records])
            copy = Copy(
                self.partition,
                self.assigned.epoch,
                self._context.entry,
                records,
                len(records) < limits.copy_records,
                covered_ms,
                number,
            )
            effects.append(SendEntry(replica, copy))
        return effects

    def send_releases(self) -> list[Effect]:
        """Send the replicas the keys that completed since the last call."""
        if not self._unsent_releases:
            return []
        keys, self._unsent_releases = self._unsent_releases, []
        release = Release(self.partition, self.assigned.epoch, keys)
        return [SendEntry(replica, release) for replica in self.replication.targets()]

    def restore_run(self, record: KeyRecord) -> SubmissionRun:
        """Restore and return the run described by a recovered ``record``."""
        run = SubmissionRun.from_record(record, self.partition, self._context.clock.now_ms())
        self._context.runs.add(run)
        self.keys[run.key] = None
        if run.state is not SubmissionState.ENDED:
            self.unfinished.add(run.key)
        self.replication.set_version(run.key, run.version)
        self.set_timer(run)
        return run

    def is_awaiting_replicas(self, key: ScopedKey) -> bool:
        """Return whether all tasks of ``key`` wait until the replicas acknowledge its record."""
        run = self._context.runs.get(key)
        return (
            run is not None
            and run.state in (SubmissionState.HOLDING, SubmissionState.REFUSING)
            and not run.granted
        )

    def is_idle(self) -> bool:
        """Return whether no run is in progress.

        Recovered runs without a grant that wait for a resubmission by the client do not count.
        """
        runs = (self._context.runs.get(key) for key in self.unfinished)
        return not any(run is not None and run.is_busy() for run in runs)

    def abandon(self, successor: EntryId) -> tuple[list[Effect], list[KeyRecord]]:
        """Remove all runs and return their current records.

        Waiting clients are answered that the outcome is unknown and whether tasks may have started.
        """
        now_ms = self._context.clock.now_ms()
        effects: list[Effect] = []
        records = []
        for key in self.keys:
            run = self._context.runs.get(key)
            assert run is not None
            records.append(run.to_record(now_ms, full=True))
            if run.state is SubmissionState.ACTIVE:
                effects.append(Withdraw(key))
            reason = "the partition has moved; the run may continue"
            unknown = Unknown(Step.RECOVERY, successor, reason, run.granted)
            effects += [Reply(request, key, unknown) for request in run.waiting]
            self._context.runs.remove(key)
        self.keys.clear()
        self.unfinished.clear()
        return effects, records
