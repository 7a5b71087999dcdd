"""All partitions of which this entry is home or holder: takeover, holds and handover."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from random import Random

from .clock import Clock
from .effect import Effect, Note, ProposeTable, Reply, SendEntry, Submission
from .holder import HolderTable
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
from .limits import HomeLimits, Protections
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
    count_holders,
    plan_holders,
    plan_move,
    plan_table,
)
from .runtable import HomeContext, SubmissionTable
from .submission import RetryBudget, RunState
from .tenure import Phase, Tenure

__all__ = ["HomeLimits", "Homes", "Protections"]


def _no_retries(service: ServiceName) -> bool:
    return False


class Homes:
    """Controller of everything about partitions, submissions, holders and recovery on one entry.

    Every method that takes an event returns the effects that follow from it.
    """

    def __init__(self, context: HomeContext) -> None:
        self._context = context
        self._clock = context.clock
        self._limits = context.limits
        self._table: PartitionTable | None = None
        self._roles: Counter[EntryId] = Counter()
        self._live: dict[EntryId, ZoneId] = {}
        self._leaving: set[EntryId] = set()
        self._tenures: dict[Partition, Tenure] = {}
        self._covered: dict[Partition, tuple[Epoch, float]] = {}
        self._holder = HolderTable(
            context.entry, context.clock, context.limits, context.protections
        )
        self._draining = False
        self._is_planned = False
        self._propose_at_ms = 0.0
        self._leaving_at_ms = 0.0
        self._move_at_ms = 0.0
        self._sweep_at_ms = 0.0

    @classmethod
    def from_config(
        cls,
        entry: EntryId,
        zone: ZoneId,
        clock: Clock,
        rng: Random,
        limits: HomeLimits,
        budget: RetryBudget = _no_retries,
        protections: Protections | None = None,
    ) -> Homes:
        """Return the controller of ``entry`` in ``zone``.

        It proposes nothing until ``on_entries`` has named ``entry``: an entry that knows only
        itself would take every partition over, and declare a gap.
        ``budget`` is asked before each retry of an idempotent request; by default there is none.
        """
        runs = SubmissionTable(limits.max_records, limits.max_refusals, limits.max_bytes)
        protections = protections or Protections()
        return cls(HomeContext(entry, clock, rng, limits, protections, budget, runs))

    def home_of(self, key: ScopedKey) -> EntryId | None:
        """Return the entry that the table names as home of ``key``, None without a table."""
        if self._table is None:
            return None
        return self._table.partitions[partition_of(key, self._limits.partitions)].home

    def _tenure_of(self, key: ScopedKey) -> Tenure | None:
        return self._tenures.get(partition_of(key, self._limits.partitions))

    def on_table(self, table: PartitionTable) -> list[Effect]:
        """Follow a table read from the store; one that is not newer is ignored.

        A partition of which a newer epoch is known from another home is left alone until the table
        with that epoch arrives.
        """
        if self._table is not None and table.version <= self._table.version:
            return []
        self._table = table
        self._roles = count_holders(table.partitions)
        self._is_planned = False
        self._propose_at_ms = 0.0
        effects: list[Effect] = []
        now_ms = self._clock.now_ms()
        for number, assigned in enumerate(table.partitions):
            partition = Partition(number)
            if self._covered.get(partition, (-1, 0.0))[0] != assigned.coverage_epoch:
                self._covered[partition] = (assigned.coverage_epoch, now_ms)
            self._holder.raise_epoch(partition, assigned.epoch)
            tenure = self._tenures.get(partition)
            if tenure is not None and not tenure.is_followed_by(assigned):
                effects += self._step_down(partition, assigned.home)
                tenure = None
            if assigned.home != self._context.entry:
                continue
            if tenure is not None:
                effects += tenure.on_assigned(assigned)
            elif assigned.epoch == self._holder.epoch_of(partition):
                effects += self._begin(partition)
        return effects

    def _begin(self, partition: Partition) -> list[Effect]:
        assert self._table is not None
        assigned = self._table.partitions[partition]
        own = self._holder.take(partition)
        since_ms = self._covered[partition][1]
        tenure = Tenure(self._context, partition, assigned, own, since_ms)
        tenure.on_live(self._live)
        self._tenures[partition] = tenure
        fields: dict[str, object] = {"partition": partition, "epoch": assigned.epoch}
        return [Note("home", "Became home of a partition.", fields), *tenure.tick()]

    def _step_down(self, partition: Partition, successor: EntryId) -> list[Effect]:
        effects, records = self._tenures.pop(partition).step_down(successor)
        for record in records:
            self._holder.put(partition, record)
        fields: dict[str, object] = {"partition": partition, "successor": successor}
        return [Note("home", "Is no longer home of a partition.", fields), *effects]

    def on_entries(self, live: Mapping[EntryId, ZoneId]) -> list[Effect]:
        """Take the entries that are registered or heard from, this one among them."""
        self._live = dict(live)
        self._leaving &= set(live)
        for partition, tenure in self._tenures.items():
            tenure.on_live(self._live)
            successor = tenure.handover
            if self._table is not None and successor is not None and not tenure.can_sync():
                # A handover waits for copies on all new holders, one of which is gone.
                tenure.want(self._plan_holders(partition, successor, self._table))
        self._is_planned = False
        self._propose_at_ms = 0.0
        return self._propose()

    def submit(self, submission: Submission, candidates: Sequence[Candidate]) -> list[Effect]:
        """Take a submission whose home this entry is; its tasks are enqueued once it is held."""
        tenure = self._tenure_of(submission.key)
        if tenure is None:
            return [self._not_home(submission.request, submission.key)]
        return tenure.submit(submission, candidates)

    def _not_home(self, request: RequestId, key: ScopedKey) -> Reply:
        home = self.home_of(key) or "store"
        reason = "this entry is not the home of the key"
        return Reply(request, key, Unknown(Step.FORWARD, home, reason, False))

    def refuse(self, submission: Submission, refusal: NotRun | Impossible) -> list[Effect]:
        """Answer a submission that admission refused: with what is known of its key, if anything.

        The refusal is given only after the holders have recorded it, so that neither an attempt
        under way nor another home starts the work before Retry-After is over.
        """
        tenure = self._tenure_of(submission.key)
        if tenure is None:
            return [self._not_home(submission.request, submission.key)]
        return tenure.refuse(submission, refusal)

    def cancel(self, request: RequestId, key: ScopedKey) -> list[Effect]:
        """End the submission of ``key`` for all its callers and answer ``request``."""
        tenure = self._tenure_of(key)
        return [self._not_home(request, key)] if tenure is None else tenure.cancel(request, key)

    def progress(self, key: ScopedKey) -> tuple[int, int] | None:
        """Return the finished and all tasks of ``key``, or None without a record here."""
        run = self._context.runs.get(key)
        return None if run is None else (run.finished, run.count)

    def kept_outcome(self, key: ScopedKey) -> Outcome | None:
        """Return the outcome of an ended submission, None while it runs or without a record."""
        run, tenure = self._context.runs.get(key), self._tenure_of(key)
        if run is None or tenure is None or run.state is not RunState.ENDED:
            return None
        return tenure.register.kept_outcome(run)

    def issue_tickets(self, partition: Partition, count: int) -> list[str]:
        """Return ``count`` new tickets of ``partition``, none if it is not served here."""
        tenure = self._tenures.get(partition)
        return [] if tenure is None else tenure.issue_tickets(count)

    def grant(
        self, key: ScopedKey, task: TaskIndex, agent: AgentId, incarnation: Incarnation
    ) -> Start | None:
        """Return the start of a task at an agent, or None if it may not be granted now."""
        run, tenure = self._context.runs.get(key), self._tenure_of(key)
        if run is None or tenure is None or not tenure.is_granting():
            return None
        now_ms, epoch = self._clock.now_ms(), tenure.assigned.epoch
        return run.grant(task, Candidate(agent, incarnation), epoch, self._context.entry, now_ms)

    def on_agent_message(
        self, agent: AgentId, message: Refused | Result | QueryReply | Collected
    ) -> list[Effect]:
        """Take an agent's answer to a start, a query or a collection."""
        if isinstance(message, Collected):
            tenure = self._tenures.get(message.partition)
            return [] if tenure is None else tenure.on_collected(agent, message)
        run, tenure = self._context.runs.get(message.key), self._tenure_of(message.key)
        if run is None or tenure is None or run.state is RunState.ENDED:
            return []
        now_ms, budget = self._clock.now_ms(), self._context.budget
        match message:
            case Refused():
                stale = message.reason is RefusalReason.STALE_EPOCH
                if stale and message.epoch > tenure.assigned.epoch:
                    tenure.register.suspended = True
                effects = run.on_refused(agent, message)
            case Result():
                effects = run.on_result(agent, message, now_ms, budget)
            case QueryReply():
                effects = run.on_query_reply(agent, message, now_ms, budget)
        return effects + tenure.register.settle(run)

    def on_agent_gone(self, agent: AgentId, incarnation: Incarnation) -> list[Effect]:
        """Query the tasks of an agent that is no longer heard from."""
        effects: list[Effect] = []
        for run in self._context.runs.of_agent(agent):
            effects += run.on_agent_gone(
                agent, incarnation, self._clock.now_ms(), self._context.budget
            )
            tenure = self._tenure_of(run.key)
            if tenure is not None:
                effects += tenure.register.settle(run)
        return effects

    def on_entry_message(self, sender: EntryId, message: PeerMessage) -> list[Effect]:
        """Take a message between homes and holders."""
        match message:
            case Hold() | Copy() | Fetch():
                deposed = self._on_newer_home(message.partition, message.epoch, message.entry)
                if isinstance(message, Fetch):
                    answers = self._holder.on_fetch(message)
                else:
                    answers = self._holder.on_hold(message)
                if isinstance(message, Copy):
                    self._learn_coverage(message)
                return deposed + [SendEntry(sender, answer) for answer in answers]
            case Release():
                self._holder.on_release(message)
            case Leaving():
                if message.entry in self._live and message.entry not in self._leaving:
                    self._leaving.add(message.entry)
                    self._is_planned = False
            case Held() | Copied() | HoldRefused() | Fetched():
                return self._on_holder_message(message)
        return []

    def _learn_coverage(self, copy: Copy) -> None:
        """Take over from the home for how long the records have been complete."""
        if self._table is None:
            return
        assigned = self._table.partitions[copy.partition]
        if (assigned.home, assigned.epoch) == (copy.entry, copy.epoch):
            since_ms = min(self._covered[copy.partition][1], self._clock.now_ms() - copy.covered_ms)
            self._covered[copy.partition] = (assigned.coverage_epoch, since_ms)

    def _on_holder_message(self, message: Held | Copied | HoldRefused | Fetched) -> list[Effect]:
        tenure = self._tenures.get(message.partition)
        if tenure is None:
            return []
        match message:
            case Fetched():
                return tenure.on_fetched(message)
            case HoldRefused():
                return tenure.on_hold_refused(message)
            case _:
                return tenure.on_acknowledged(message)

    def _on_newer_home(self, partition: Partition, epoch: Epoch, home: EntryId) -> list[Effect]:
        """Step down if another entry acts as home at a newer epoch; the table will follow."""
        tenure = self._tenures.get(partition)
        if tenure is None or epoch <= tenure.assigned.epoch:
            return []
        return self._step_down(partition, home)

    def tick(self) -> list[Effect]:
        """Handle timeouts; to be called every 20 ms at most."""
        effects: list[Effect] = []
        for run in self._context.runs.due(self._clock.now_ms()):
            tenure = self._tenures.get(run.partition)
            if tenure is not None:
                effects += tenure.register.wake(run)
        effects += self._tick_tenures()
        self._holder.tick()
        return effects + self._announce_leaving() + self._move() + self._propose()

    def _tick_tenures(self) -> list[Effect]:
        """Tick partitions in recovery each time, and the others as often as messages are resent."""
        now_ms = self._clock.now_ms()
        sweep = now_ms >= self._sweep_at_ms
        if sweep:
            self._sweep_at_ms = now_ms + self._limits.hold_retry_ms
        effects: list[Effect] = []
        for tenure in self._tenures.values():
            if sweep or tenure.is_recovering:
                effects += tenure.tick()
        return effects

    def _drained_entries(self) -> set[EntryId]:
        return self._leaving | {self._context.entry} if self._draining else self._leaving

    def _move(self) -> list[Effect]:
        """Begin handovers that even out the homes or empty this entry, and end overdue ones."""
        now_ms, table = self._clock.now_ms(), self._table
        effects: list[Effect] = []
        moving = [p for p, t in self._tenures.items() if t.handover is not None]
        if not self._draining:
            for partition in moving:
                if self._tenures[partition].is_overdue():
                    effects += self._tenures[partition].end_handover()
                    self._move_at_ms = now_ms + 2 * self._limits.quiesce_ms
        if table is None or now_ms < self._move_at_ms:
            return effects
        self._move_at_ms = now_ms + self._limits.hold_retry_ms
        most = self._limits.partitions if self._draining else self._limits.max_moves
        leaving = self._drained_entries()
        while len(moving) < most:
            movable = [
                partition
                for partition, tenure in self._tenures.items()
                if tenure.handover is None and tenure.phase is Phase.SERVING
            ]
            entry = self._context.entry
            move = plan_move(table, entry, self._live, leaving, movable, len(moving))
            if move is None:
                break
            partition, successor = move
            moving.append(partition)
            holders = self._plan_holders(partition, successor, table)
            self._tenures[partition].begin_handover(successor, holders)
        return effects

    def _plan_holders(
        self, partition: Partition, home: EntryId, table: PartitionTable
    ) -> tuple[EntryId, ...]:
        leaving, size = self._drained_entries(), self._limits.holders
        assigned = table.partitions[partition]
        return plan_holders(partition, assigned, home, self._live, self._roles, size, leaving)

    def _propose(self) -> list[Effect]:
        """Propose the takeovers that fall to this entry and the changes of its own partitions."""
        now_ms, table, entry = self._clock.now_ms(), self._table, self._context.entry
        if now_ms < self._propose_at_ms or entry not in self._live:
            return []
        self._propose_at_ms = now_ms + self._limits.hold_retry_ms
        if self._is_planned and not self._is_changing():
            return []
        self._is_planned = True
        leaving = self._drained_entries()
        limits = self._limits
        planned = plan_table(table, self._live, limits.partitions, limits.holders, leaving)
        if table is None:
            return [ProposeTable(0, planned)] if planned and entry == min(self._live) else []
        entries = list(planned.partitions if planned else table.partitions)
        mine = any(
            new.home == entry and old.home != entry
            for new, old in zip(entries, table.partitions, strict=True)
        )
        entries = entries if mine else list(table.partitions)
        for partition, tenure in self._tenures.items():
            if tenure.handover is None:
                tenure.want(self._plan_holders(partition, entry, table))
            change = tenure.plan()
            if change is not None:
                entries[partition], mine = change, True
        if not mine:
            return []
        self._propose_at_ms = now_ms + limits.propose_interval_ms
        return [ProposeTable(table.version, PartitionTable(table.version, tuple(entries)))]

    def _is_changing(self) -> bool:
        """Return whether the table is not yet as planned, so that it is planned again."""
        if self._table is None or any(e.home not in self._live for e in self._table.partitions):
            return True
        return any(tenure.is_changing() for tenure in self._tenures.values())

    def drain(self) -> list[Effect]:
        """Hand all partitions over and take no new ones."""
        self._draining = True
        self._is_planned = False
        self._move_at_ms = self._propose_at_ms = 0.0
        return self._announce_leaving()

    def _announce_leaving(self) -> list[Effect]:
        now_ms = self._clock.now_ms()
        if not self._draining or now_ms < self._leaving_at_ms:
            return []
        self._leaving_at_ms = now_ms + self._limits.propose_interval_ms
        leaving = Leaving(self._context.entry)
        return [SendEntry(e, leaving) for e in self._live if e != self._context.entry]

    def drained(self) -> bool:
        """Return whether this entry can exit: no partition needs it, or nobody could take over."""
        if not self._draining or self._table is None:
            return self._draining
        if set(self._live) <= self._drained_entries():
            return all(t.register.is_quiet() for t in self._tenures.values())
        return not any(self._context.entry in e.holders for e in self._table.partitions)
