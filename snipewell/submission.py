"""State machine of one submission at the leader of its key's partition.

Methods handle one event each and return the effects that follow from it. They do no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from .effect import Effect, Enqueue, Reply, SendAgent, Submission, TaskReady, Withdraw
from .ids import (
    AgentId,
    Digest,
    EntryId,
    Epoch,
    Incarnation,
    Partition,
    RequestId,
    ScopedKey,
    ServiceName,
    TaskIndex,
)
from .message import (
    Cancel,
    Candidate,
    KeyRecord,
    Query,
    QueryReply,
    RefusalReason,
    Refused,
    Result,
    Start,
    TaskRecord,
    TaskState,
)
from .outcome import Cancelled, Complete, Failed, Impossible, NotRun, Outcome, Step, Unknown

RetryBudget = Callable[[ServiceName], bool]
"""Consumes one retry from the budget of a service; returns False if the budget is used up."""


class SubmissionState(Enum):
    """Stage of a submission at the leader of its key."""

    HOLDING = "holding"
    """Waits until the replicas have recorded the key; no task may start before."""
    ACTIVE = "active"
    """Recorded by the replicas; tasks may be granted to agents."""
    REFUSING = "refusing"
    """Refused, but not yet answered: the replicas must record the refusal first."""
    COLLECTING = "collecting"
    """Recovered from the replicas' records; some candidate agents have not reported theirs yet."""
    AWAITING_RESUBMISSION = "parked"
    """Recovered; granted tasks may still run, but others start only when the client submits again,
    as replicas keep no payload."""
    ENDED = "ended"
    """Has its outcome; kept to answer resubmissions of the key."""


@dataclass(slots=True)
class TaskSlot:
    """State of one task, which is granted to at most one agent at a time.

    ``agent`` and ``incarnation`` name the process that holds the current grant, or the agent that
    produced ``body``; ``attempt`` counts the grants. ``gone`` is set when the agent is lost, and
    for a task that a recovery found unfinished; the task is then queried without waiting for the
    silence limit. ``excluded`` agents get no further grant of the task. ``body`` is the result,
    None until the task succeeded.
    """

    agent: AgentId | None = None
    incarnation: Incarnation = Incarnation("")
    attempt: int = 0
    last_seen_ms: float = 0.0
    gone: bool = False
    excluded: frozenset[AgentId] = frozenset()
    body: bytes | None = None


_NO_SLOT = TaskSlot()
"""Placeholder for tasks of ended or recovered submissions; shared, so never modified."""
_REASONS = {
    TaskState.OK: "the task succeeded, but its result is no longer kept",
    TaskState.FAILED: "the task failed",
    TaskState.CANCELLED: "the task was cancelled",
}


@dataclass(slots=True)
class SubmissionRun:
    """State machine of a submission at its leader, from its arrival to the end of its retention.

    ``retryable`` is True if a task may be started again after it failed, or after its end became
    unknown. ``granted`` is False only if no task can ever have started. ``waiting`` maps the
    requests to be answered to their deadlines. ``epoch`` and ``version`` order the states of the
    record at the replicas: the highest pair is the newest. ``released`` marks a recovered
    submission that had ended according to the replicas. ``producers`` are the agents that keep
    results of an ended submission. ``timer`` is the number of the current timer, so that earlier
    ones are ignored. ``pending_candidates`` become candidates when a recovered submission resumes.
    """

    key: ScopedKey
    digest: Digest
    partition: Partition
    candidates: list[Candidate]
    retryable: bool
    deadline_at_ms: float
    slots: list[TaskSlot]
    state: SubmissionState = SubmissionState.HOLDING
    submission: Submission | None = None
    waiting: dict[RequestId, float] = field(default_factory=dict)
    outcome: Outcome | None = None
    ended_at_ms: float = 0.0
    granted: bool = False
    finished: int = 0
    epoch: int = 0
    version: int = 1
    released: bool = False
    recovered: bool = False
    producers: frozenset[AgentId] = frozenset()
    timer: int = 0
    pending_candidates: list[Candidate] = field(default_factory=list)

    @property
    def count(self) -> int:
        """Number of tasks."""
        return len(self.slots)

    @classmethod
    def from_submission(
        cls, submission: Submission, partition: Partition, candidates: Sequence[Candidate]
    ) -> SubmissionRun:
        """Create the state machine of a submission that starts or restarts a run or is refused."""
        return cls(
            submission.key,
            submission.digest,
            partition,
            list(candidates),
            submission.idempotent and not submission.job,
            submission.deadline_at_ms,
            [TaskSlot() for _ in submission.tasks],
            submission=submission,
            waiting={submission.request: submission.deadline_at_ms},
        )

    @classmethod
    def from_record(cls, record: KeyRecord, partition: Partition, now_ms: float) -> SubmissionRun:
        """Restore the state from a replica's ``record``, ended or waiting for agents' records."""
        run = cls(
            record.key,
            record.digest,
            partition,
            list(record.candidates),
            record.idempotent,
            now_ms + record.deadline_ms,
            [_NO_SLOT] * record.task_count,
            state=SubmissionState.COLLECTING,
            granted=True,
            epoch=record.epoch,
            version=record.version,
            released=record.age_ms >= 0,
            recovered=True,
        )
        run.ended_at_ms = now_ms - max(record.age_ms, 0)
        if record.outcome is not None:
            run.state = SubmissionState.ENDED
            run.outcome = record.outcome
            run.granted = not isinstance(record.outcome, NotRun)
        return run

    def to_record(self, now_ms: float, full: bool) -> KeyRecord:
        """Return the record for the replicas, with the result bodies only if ``full``."""
        ended = self.state in (SubmissionState.ENDED, SubmissionState.REFUSING)
        outcome = self.outcome
        if isinstance(outcome, Complete) and not full:
            outcome = None
        return KeyRecord(
            self.key,
            self.digest,
            len(self.slots),
            self.candidates,
            self.retryable,
            max(now_ms - self.ended_at_ms, 0) if ended or self.released else -1,
            outcome,
            max(self.deadline_at_ms - now_ms, 0),
            self.epoch,
            self.version,
        )

    def is_busy(self) -> bool:
        """Return whether the submission has unfinished work at this leader."""
        if self.state is SubmissionState.AWAITING_RESUBMISSION:
            return self.has_grants()
        return self.state is not SubmissionState.ENDED

    def has_grants(self) -> bool:
        """Return whether a task may be running now or may be granted at any time."""
        if self.state is SubmissionState.AWAITING_RESUBMISSION:
            return any(slot.agent is not None and slot.body is None for slot in self.slots)
        return self.state is SubmissionState.ACTIVE

    def bytes_held(self) -> int:
        """Return the size of the payloads or results kept in memory, in bytes."""
        if isinstance(self.outcome, Complete):
            return sum(map(len, self.outcome.results))
        return sum(map(len, self.submission.tasks)) if self.submission is not None else 0

    def open_slots(self) -> None:
        """Allocate a slot for each task of a recovered submission that has none."""
        self.slots = [TaskSlot() if slot is _NO_SLOT else slot for slot in self.slots]

    def activate(self) -> list[Effect]:
        """Enqueue the tasks; called once a majority of the replicas has the record."""
        self.state = SubmissionState.ACTIVE
        ready = [
            self._ready(index)
            for index, slot in enumerate(self.slots)
            if slot.body is None and slot.agent is None
        ]
        return [Enqueue(ready)] if ready else []

    def _ready(self, index: int) -> TaskReady:
        submission = self.submission
        assert submission is not None
        return TaskReady(
            self.key,
            TaskIndex(index),
            submission.service,
            submission.team,
            submission.resources,
            self.deadline_at_ms,
            len(self.slots),
            frozenset(candidate.agent for candidate in self.candidates),
            self.slots[index].excluded,
        )

    def grant(
        self, task: TaskIndex, candidate: Candidate, epoch: Epoch, entry: EntryId, now_ms: float
    ) -> Start | None:
        """Grant ``task`` to ``candidate`` and return the message; None if not allowed now."""
        submission = self.submission
        if (
            self.state is not SubmissionState.ACTIVE
            or submission is None
            or now_ms >= self.deadline_at_ms
        ):
            return None
        slot = self.slots[task]
        if slot.body is not None or slot.agent is not None or candidate.agent in slot.excluded:
            return None
        if candidate not in self.candidates:
            return None
        slot.agent, slot.incarnation = candidate.agent, candidate.incarnation
        slot.attempt += 1
        slot.last_seen_ms, slot.gone = now_ms, False
        self.granted = True
        return Start(
            self.key,
            task,
            self.partition,
            epoch,
            submission.service,
            submission.team,
            submission.tasks[task],
            self.deadline_at_ms - now_ms,
            submission.idempotent,
            entry,
            slot.attempt,
            candidate.incarnation,
        )

    def on_refused(self, agent: AgentId, message: Refused) -> list[Effect]:
        """Return a task to the backlog if the agent refused its current grant.

        A refusal of an earlier grant is ignored. After the reason CANCELLED the agent refuses the
        task for good, so it is excluded.
        """
        slot = self.slot_of(message.task)
        if slot is None or slot.agent != agent or slot.attempt != message.attempt:
            return []
        return self._requeue(message.task, message.reason is RefusalReason.CANCELLED)

    def slot_of(self, task: TaskIndex) -> TaskSlot | None:
        """Return the slot of an unfinished task; None if it has none or does not exist."""
        if not 0 <= task < len(self.slots):
            return None
        slot = self.slots[task]
        return None if slot.body is not None or slot is _NO_SLOT else slot

    def _requeue(self, task: TaskIndex, exclude: bool) -> list[Effect]:
        slot = self.slots[task]
        if exclude and slot.agent is not None:
            slot.excluded |= {slot.agent}
        slot.agent, slot.gone = None, False
        return [Enqueue([self._ready(task)])] if self.state is SubmissionState.ACTIVE else []

    def on_result(
        self, agent: AgentId, message: Result, now_ms: float, budget: RetryBudget
    ) -> list[Effect]:
        """Record the end of a task; a failure ends the submission unless it may be retried."""
        record = TaskRecord(
            message.key, message.task, message.state, message.body, message.reason, True
        )
        return self._on_end(agent, record, now_ms, budget)

    def _on_end(
        self, agent: AgentId, record: TaskRecord, now_ms: float, budget: RetryBudget
    ) -> list[Effect]:
        slot = self.slot_of(record.task)
        if slot is None or self.state in (SubmissionState.HOLDING, SubmissionState.REFUSING):
            return []
        if record.state is TaskState.OK and (record.body_kept or record.body):
            slot.body, slot.agent = record.body, agent
            self.finished += 1
            if self.finished < len(self.slots):
                return []
            return self.end(Complete([slot.body or b"" for slot in self.slots]), now_ms)
        if self.retryable and slot.agent != agent:
            return []
        if self._may_retry(slot, budget):
            return self._requeue(record.task, exclude=True)
        return self.fail(Step.UPSTREAM, agent, record, now_ms)

    def fail(self, step: Step, agent: AgentId, record: TaskRecord, now_ms: float) -> list[Effect]:
        """End the submission because ``agent`` reported a task as failed, cancelled or unknown."""
        reason = record.reason or _REASONS.get(record.state, "the outcome is unknown")
        if record.state is TaskState.FAILED:
            return self.end(Failed(Step.UPSTREAM, agent, reason), now_ms)
        return self.end(Unknown(step, agent, reason), now_ms)

    def _may_retry(self, slot: TaskSlot, budget: RetryBudget) -> bool:
        if (
            not self.retryable
            or self.submission is None
            or self.state is not SubmissionState.ACTIVE
        ):
            return False
        others = {c.agent for c in self.candidates} - slot.excluded - {slot.agent}
        return bool(others) and budget(self.submission.service)

    def on_query_reply(
        self, agent: AgentId, message: QueryReply, now_ms: float, budget: RetryBudget
    ) -> list[Effect]:
        """Apply the records with which an agent answered a query about silent tasks.

        A task that never started there goes back to the backlog if the agent has not restarted
        since the grant. After a restart its outcome is unknown, because the previous process may
        have run it and its records are lost.
        """
        effects: list[Effect] = []
        for record in message.records:
            slot = self.slot_of(record.task)
            if slot is None or record.key != self.key:
                continue
            current = slot.agent == agent
            if record.state in (TaskState.QUEUED, TaskState.RUNNING):
                if current:
                    slot.last_seen_ms, slot.gone = now_ms, False
            elif record.state is not TaskState.NOT_STARTED:
                effects += self._on_end(agent, record, now_ms, budget)
            elif current and message.incarnation == slot.incarnation:
                effects += self._requeue(record.task, exclude=True)
            elif current:
                lost = TaskRecord(
                    self.key, record.task, TaskState.UNKNOWN, reason="agent restarted"
                )
                effects += self._on_end(agent, lost, now_ms, budget)
        return effects

    def on_agent_gone(
        self, agent: AgentId, incarnation: Incarnation, now_ms: float, budget: RetryBudget
    ) -> list[Effect]:
        """Handle the loss of an agent: requeue tasks that may be retried.

        The others are marked, so that the next ``check`` queries them.
        """
        effects: list[Effect] = []
        for index, slot in enumerate(self.slots):
            if (slot.agent, slot.incarnation) != (agent, incarnation) or slot.body is not None:
                continue
            slot.gone = True
            if self._may_retry(slot, budget):
                effects += self._requeue(TaskIndex(index), exclude=True)
        return effects

    def check(
        self, now_ms: float, epoch: Epoch, query_after_ms: float, regrant: bool
    ) -> list[Effect]:
        """Query the agents of tasks without a report for ``query_after_ms``, or of lost agents.

        With ``regrant`` a task is granted again without waiting for the answer, so it may run
        twice. Only tests set it, to show that the checker of histories detects the double run.
        """
        if self.state not in (SubmissionState.ACTIVE, SubmissionState.AWAITING_RESUBMISSION):
            return []
        silent: dict[AgentId, list[TaskIndex]] = {}
        effects: list[Effect] = []
        for index, slot in enumerate(self.slots):
            if slot.agent is None or slot.body is not None:
                continue
            if not slot.gone and now_ms - slot.last_seen_ms < query_after_ms:
                continue
            if regrant:
                effects += self._requeue(TaskIndex(index), exclude=False)
            else:
                silent.setdefault(slot.agent, []).append(TaskIndex(index))
        for agent, tasks in silent.items():
            effects.append(SendAgent(agent, Query(self.key, self.partition, epoch, tasks)))
        return effects

    def end(self, outcome: Outcome, now_ms: float) -> list[Effect]:
        """End the submission with ``outcome``.

        Answer the waiting requests and cancel the granted, unfinished tasks.
        """
        active = self.state is SubmissionState.ACTIVE
        self.state, self.outcome, self.ended_at_ms = SubmissionState.ENDED, outcome, now_ms
        effects: list[Effect] = [Reply(request, self.key, outcome) for request in self.waiting]
        self.waiting.clear()
        running: dict[AgentId, list[TaskIndex]] = {}
        for index, slot in enumerate(self.slots):
            if slot.body is None and slot.agent is not None:
                running.setdefault(slot.agent, []).append(TaskIndex(index))
        if active and self.finished < self.count:
            effects.append(Withdraw(self.key))
        effects += [SendAgent(agent, Cancel(self.key, tasks)) for agent, tasks in running.items()]
        self.producers = frozenset(s.agent for s in self.slots if s.body is not None and s.agent)
        self.slots = [_NO_SLOT] * self.count
        self.submission = None
        return effects

    def refuse(self, outcome: NotRun | Impossible, now_ms: float) -> list[Effect]:
        """Refuse a submission without grants; it is answered once the replicas have the refusal."""
        active = self.state is SubmissionState.ACTIVE
        self.state, self.outcome, self.ended_at_ms = SubmissionState.REFUSING, outcome, now_ms
        self.submission = None
        return [Withdraw(self.key)] if active else []

    def cancel(self, now_ms: float) -> list[Effect]:
        """End the submission at its client's request.

        During recovery all tasks count as started, as the agents have not reported yet.
        """
        started = sum(slot.agent is not None for slot in self.slots)
        if self.state is SubmissionState.COLLECTING:
            started = self.count
        return self.end(Cancelled(started), now_ms)
