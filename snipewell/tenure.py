"""One partition at its home: from taking it over to handing it on."""

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
from .partition import PartitionEntry
from .recovery import Collecting, Fetching, resolve_run
from .register import Register
from .runtable import HomeContext
from .submission import RunState


class Phase(Enum):
    """What a home does with a new key of the partition."""

    FETCHING = "fetching"
    SERVING = "serving"
    QUIESCING = "quiescing"
    """New keys wait, until running work has ended and the next home has the records."""


class Tenure:
    """The time during which this entry is the home of one partition.

    Keys that can be neither started nor answered yet wait in a bounded queue, in order of arrival:
    while the records are fetched, while a newer table is awaited, and before a handover.
    """

    def __init__(
        self,
        context: HomeContext,
        partition: Partition,
        assigned: PartitionEntry,
        own: Sequence[KeyRecord],
        covered_since_ms: float,
    ) -> None:
        self._context = context
        self.partition = partition
        self.phase = Phase.FETCHING
        self.register = Register(context, partition, assigned, covered_since_ms)
        self._live: Collection[EntryId] = ()
        self._wanted: tuple[EntryId, ...] = assigned.holders
        self._is_given_up = False
        self._queue: deque[tuple[Submission, Sequence[Candidate]]] = deque()
        self._queued_bytes = 0
        self._resend_at_ms = 0.0
        self._quiesced_at_ms = 0.0
        self._proposed = False
        self._fetching = Fetching(
            context.entry, partition, assigned, own, context.clock, context.limits
        )
        self._restoring: list[KeyRecord] | None = None
        self._unresolved: list[KeyRecord] = []
        self._collecting: Collecting | None = None

    @property
    def assigned(self) -> PartitionEntry:
        """The partition's entry in the table that is followed."""
        return self.register.assigned

    @property
    def handover(self) -> EntryId | None:
        """The entry that is to be the next home, if the partition is being handed over."""
        return self.register.handover

    @property
    def is_recovering(self) -> bool:
        """Whether records are still being collected from holders or agents."""
        return self.phase is Phase.FETCHING or self._collecting is not None

    def is_granting(self) -> bool:
        """Return whether tasks may be granted now."""
        return self.phase is not Phase.FETCHING and not self.register.suspended

    def submit(self, submission: Submission, candidates: Sequence[Candidate]) -> list[Effect]:
        """Take a submission now, or let it wait until its key can be decided."""
        if self._must_wait(submission.key):
            return self._enqueue(submission, candidates)
        return self.register.submit(submission, candidates)

    def _must_wait(self, key: ScopedKey) -> bool:
        if not self.is_granting():
            return True
        return self.phase is Phase.QUIESCING and not self.register.is_known(key)

    def refuse(self, submission: Submission, refusal: NotRun | Impossible) -> list[Effect]:
        """Answer a submission that admission refused, as far as that can be said now."""
        if self._must_wait(submission.key):
            return self.register.unsure(submission, Step.ADMISSION, refusal.reason)
        return self.register.refuse(submission, refusal)

    def cancel(self, request: RequestId, key: ScopedKey) -> list[Effect]:
        """End the run of ``key`` and withdraw submissions of it that wait."""
        effects: list[Effect] = []
        reason = "cancelled before its key was decided"
        unknown = Unknown(Step.RECOVERY, self._context.entry, reason, False)
        for submission, _ in self._queue:
            if submission.key == key and submission.request != request:
                effects.append(Reply(submission.request, key, unknown))
        self._set_queue([item for item in self._queue if item[0].key != key])
        run = self._context.runs.get(key)
        if run is not None:
            return effects + self.register.cancel(request, run)
        return [*effects, Reply(request, key, unknown)]

    def _enqueue(self, submission: Submission, candidates: Sequence[Candidate]) -> list[Effect]:
        limits = self._context.limits
        size = sum(map(len, submission.tasks))
        full = self._queued_bytes + size > limits.max_queued_bytes
        if len(self._queue) >= limits.max_queued or full:
            reason = "too many keys wait for a change of home"
            return self.register.unsure(submission, Step.HOLD, reason)
        self._queue.append((submission, candidates))
        self._queued_bytes += size
        return []

    def _set_queue(self, items: Sequence[tuple[Submission, Sequence[Candidate]]]) -> None:
        self._queue = deque(items)
        self._queued_bytes = sum(sum(map(len, item[0].tasks)) for item in items)

    def _drain_queue(self) -> list[Effect]:
        waiting = list(self._queue)
        self._set_queue([])
        effects: list[Effect] = []
        for submission, candidates in waiting:
            effects += self.submit(submission, candidates)
        return effects

    def _expire_queue(self) -> list[Effect]:
        now_ms = self._context.clock.now_ms()
        late = [s for s, _ in self._queue if s.deadline_at_ms <= now_ms]
        if late:
            self._set_queue([item for item in self._queue if item[0].deadline_at_ms > now_ms])
        reason = "the deadline passed during a change of home"
        effects: list[Effect] = []
        for submission in late:
            effects += self.register.unsure(submission, Step.RECOVERY, reason)
        return effects

    def is_followed_by(self, assigned: PartitionEntry) -> bool:
        """Return whether ``assigned`` continues this tenure, without another home in between.

        As home, this entry sees each of its own changes before it proposes the next one, so an
        epoch that rose by more than one hides a home whose records are not here.
        """
        own = assigned.home == self._context.entry
        return own and assigned.epoch <= self.assigned.epoch + 1

    def on_assigned(self, assigned: PartitionEntry) -> list[Effect]:
        """Follow a newer table in which this entry still is the home."""
        changed = assigned.epoch != self.assigned.epoch
        self.register.assigned = assigned
        self.register.replication.decided(assigned.holders)
        self._proposed = False
        if changed:
            self.register.suspended = False
            self._resend_at_ms = 0.0
            self._fetching.assign(assigned)
            self._follow()
        if not self.is_granting():
            return []
        advanced = self.register.advance_held() if changed else []
        return advanced + self._drain_queue()

    def on_live(self, live: Collection[EntryId]) -> None:
        """Send records to the holders among ``live`` and no longer to those that are gone."""
        self._live = live
        self._follow()

    def want(self, holders: tuple[EntryId, ...]) -> None:
        """Copy all records to ``holders``, in order to propose them."""
        self._wanted = holders
        self._is_given_up = False
        self._follow()

    def can_sync(self) -> bool:
        """Return whether all holders that are wanted are live."""
        return all(holder in self._live for holder in self._wanted)

    def _follow(self) -> None:
        if self.phase is Phase.FETCHING:
            return
        replication = self.register.replication
        named = dict.fromkeys((*self.assigned.holders, *self._wanted))
        wanted = [holder for holder in named if holder in self._live]
        for holder in replication.targets():
            if holder not in wanted:
                replication.unfollow(holder)
        for holder in wanted:
            replication.follow(holder)

    def begin_handover(self, successor: EntryId, holders: tuple[EntryId, ...]) -> None:
        """Copy all records with outcomes to ``successor``, then let new keys wait."""
        self.register.handover = successor
        self._wanted = holders
        self.register.replication.follow(successor, anew=True)
        self._follow()

    def end_handover(self) -> list[Effect]:
        """Go on serving, because running work did not end soon or the successor is gone."""
        self.register.handover = None
        self._is_given_up = True
        self.phase = Phase.SERVING
        return self._drain_queue()

    def is_changing(self) -> bool:
        """Return whether the partition waits for a change of the table, or for a new plan.

        The holders wanted for a handover that was given up may include an entry that leaves.
        """
        unwanted = self._is_given_up or set(self._wanted) != set(self.assigned.holders)
        return unwanted or self.phase is Phase.FETCHING or self.handover is not None

    def plan(self) -> PartitionEntry | None:
        """Return the entry that may be proposed now, or None."""
        assigned, register = self.assigned, self.register
        epoch = Epoch(assigned.epoch + 1)
        if self.phase is Phase.FETCHING:
            if not self._fetching.is_stuck(self._live):
                return None
            return PartitionEntry(self._context.entry, (self._context.entry,), epoch, epoch)
        if register.suspended:
            return None
        home, is_open = self._context.entry, register.is_open
        if self.handover is not None:
            if self.phase is not Phase.QUIESCING or not register.is_quiet():
                return None
            home = self.handover
        elif set(self._wanted) == set(assigned.holders):
            return None
        if not register.replication.is_synced(self._wanted, is_open):
            return None
        self._proposed = True
        register.replication.propose(self._wanted)
        return PartitionEntry(home, self._wanted, epoch, assigned.coverage_epoch)

    def on_fetched(self, message: Fetched) -> list[Effect]:
        """Take a part of a holder's records."""
        late = self._restoring is not None or message.epoch < self.assigned.epoch
        if self.phase is not Phase.FETCHING or late:
            return []
        self._fetching.on_fetched(message)
        return self._restore() if self._fetching.is_done() else []

    def _restore(self) -> list[Effect]:
        """Adopt a bounded number of the records read; serve once all are adopted."""
        if self._restoring is None:
            self._restoring = list(self._fetching.records.values())
        for _ in range(min(len(self._restoring), self._context.limits.restore_records)):
            record = self._restoring.pop()
            if self._is_outdated(record.epoch) and isinstance(record.outcome, NotRun | Impossible):
                continue
            if self.register.adopt(record).state is not RunState.ENDED:
                self._unresolved.append(record)
        return [] if self._restoring else self._serve()

    def _serve(self) -> list[Effect]:
        """Serve new keys from now on and collect what agents know of the others."""
        self.phase = Phase.SERVING
        register, records = self.register, self._fetching.records
        for holder, known in self._fetching.known.items():
            if holder in self._live:
                current = [
                    (key, version)
                    for key, epoch, version, candidates in known
                    if (epoch, version) == (records[key].epoch, records[key].version)
                    and candidates == len(records[key].candidates)
                ]
                register.replication.follow(holder, current)
        self._follow()
        self._fetching.forget()
        context = self._context
        self._collecting = Collecting(
            self.partition, self.assigned.epoch, self._unresolved, context.clock, context.limits
        )
        self._unresolved = []
        effects = self._collecting.tick() + self._resolve()
        return effects + self._drain_queue()

    def _is_outdated(self, epoch: int) -> bool:
        """Return whether newer records of a key last recorded at ``epoch`` may have been lost.

        Such a record, or a refusal that only a deposed home noted, proves nothing about the key.
        """
        return epoch < self.assigned.coverage_epoch

    def on_collected(self, agent: AgentId, message: Collected) -> list[Effect]:
        """Take the start records of a candidate agent."""
        if self._collecting is None:
            return []
        self._collecting.on_collected(agent, message)
        return self._resolve()

    def _resolve(self) -> list[Effect]:
        assert self._collecting is not None
        protected = self._context.protections.collect_before_resume
        now_ms = self._context.clock.now_ms()
        effects: list[Effect] = []
        for key, found, clean in self._collecting.resolved(at_once=not protected):
            run = self._context.runs.get(key)
            if run is None or run.state is not RunState.COLLECTING:
                continue
            clean = (clean and not self._is_outdated(run.epoch)) or not protected
            effects += resolve_run(run, found, clean, now_ms)
            self.register.arm(run)
            effects += self.register.settle(run) + self.register.resume(run)
        if self._collecting.is_done():
            self._collecting = None
        return effects

    def on_acknowledged(self, message: Held | Copied) -> list[Effect]:
        """Take a holder's acknowledgement."""
        return self.register.on_acknowledged(message)

    def on_hold_refused(self, message: HoldRefused) -> list[Effect]:
        """Take a holder's refusal."""
        return self.register.on_hold_refused(message)

    def tick(self) -> list[Effect]:
        """Repeat what got no answer and go on with a handover."""
        effects: list[Effect] = []
        if self.phase is Phase.FETCHING:
            effects += self._restore() if self._fetching.is_done() else self._fetching.tick()
        if self._collecting is not None:
            effects += self._collecting.tick() + self._resolve()
        now_ms = self._context.clock.now_ms()
        if now_ms >= self._resend_at_ms:
            self._resend_at_ms = now_ms + self._context.limits.hold_retry_ms
            effects += self._expire_queue()
            if self.is_granting():
                effects += self.register.send_copies(self.register.replication.targets())
                effects += self.register.send_releases()
        return effects + self._move_on(now_ms)

    def _move_on(self, now_ms: float) -> list[Effect]:
        register, successor = self.register, self.handover
        if successor is None:
            return []
        if successor not in self._live and not self._proposed:
            return self.end_handover()
        synced = register.replication.is_synced(self._wanted, register.is_open)
        if self.phase is Phase.SERVING and synced:
            self.phase = Phase.QUIESCING
            self._quiesced_at_ms = now_ms
        return []

    def is_overdue(self) -> bool:
        """Return whether running work has held up new keys for too long before a handover."""
        waited_ms = self._context.clock.now_ms() - self._quiesced_at_ms
        return (
            self.phase is Phase.QUIESCING
            and not self._proposed
            and waited_ms > self._context.limits.quiesce_ms
        )

    def step_down(self, successor: EntryId) -> tuple[list[Effect], list[KeyRecord]]:
        """End the tenure: forward what waits, answer other callers, and return the records."""
        effects, records = self.register.abandon(successor)
        now_ms = self._context.clock.now_ms()
        for submission, _ in self._queue:
            if successor == self._context.entry:
                reason = "another home held the partition in between"
                effects += self.register.unsure(submission, Step.RECOVERY, reason)
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
            records = list(self._fetching.records.values())
        return effects, records

    def issue_tickets(self, count: int) -> list[str]:
        """Return ``count`` new tickets, or none while the partition is not served."""
        if self.phase is not Phase.SERVING or self.register.suspended:
            return []
        rng, now_ms = self._context.rng, self._context.clock.wall_ms()
        return [
            str(Ticket(self.partition, self.assigned.epoch, now_ms, f"{rng.getrandbits(64):016x}"))
            for _ in range(count)
        ]
