"""The entry's core for jobs of several tasks, without any I/O.

The entry that accepts a job owns it: it places the tasks, starts failed ones again elsewhere, and
answers when the last one is done. Nothing of a job that needn't be kept is stored. If the entry
dies or is cut off, the agents stop its runs before the client sends the job again.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from .agentsession import (
    AgentLost,
    AgentRunEnded,
    AgentRunSlow,
    AgentSessions,
    SendAgent,
    SessionEvent,
)
from .agentview import AgentView
from .job import (
    Attempt,
    Catalog,
    JobEnded,
    JobId,
    JobOutcome,
    JobRefused,
    JobSpec,
    JobState,
    JobUnknown,
    Queue,
    QueueName,
    RunEnd,
)
from .jobqueue import Demand, Timing
from .jobstate import Job, Task
from .matching import Candidate, may_run
from .order import BUSY_TASK, NO_ROOM, AgentFrame, Notice, RunEnded, RunSlow, StartRun, StopRun
from .placer import Placer
from .upstreamcall import StartResult

REMEMBERED_ANSWERS = 10_000
"""Answers kept for jobs that are sent again after their answer was lost."""
ANSWER_LIFE_MS = 30_000.0
"""How long an answer is kept: several times the pause before a job is sent again."""
REJECT_PAUSE_MS = 300.0
"""Pause after an agent rejected a start for another reason than room; its next report says why."""
TASK_PAUSE_MS = 60.0
"""Pause of a task whose former run is still being stopped: a little over ``stopGraceMs``."""
THAW_PAUSE_MS = 150.0
"""Pause before new starts after the process stood still, in which closed connections show."""
STANDSTILL_MS = 700.0
"""A gap between two ticks that counts as a standstill: many times the usual gap."""
MAX_LOST_RUNS = 20
"""Runs of one task that may be lost or stopped before the job is given up."""


@dataclass(frozen=True, slots=True)
class Answer:
    """The outcome for the client's request ``request``."""

    request: int
    outcome: JobOutcome


@dataclass(frozen=True, slots=True)
class Note:
    """A decision to log: ``text`` with its ``fields``."""

    text: str
    fields: Mapping[str, object]


SchedulerEffect = SendAgent | Answer | Note


@dataclass(slots=True)
class SchedulerCounters:
    """Counts since the start, for the metrics."""

    accepted: int = 0
    refused: int = 0
    completed: int = 0
    failed: int = 0
    cancelled: int = 0
    starts: int = 0
    rejected_starts: int = 0
    lost_runs: int = 0


class Scheduler:
    """All jobs and agent sessions of one entry.

    Methods append to ``effects``, which the caller takes and performs. `place` is to be called
    after a batch of events.
    """

    def __init__(self, rng: Random) -> None:
        self.effects: list[SchedulerEffect] = []
        self.counters = SchedulerCounters()
        self.sessions = AgentSessions(self.effects.append)
        self._catalog: Catalog | None = None
        self._jobs: dict[JobId, Job] = {}
        self._by_request: dict[int, Job] = {}
        self._waiting: dict[str, Task] = {}
        self._runs: dict[tuple[str, int], Task] = {}
        self._stopping: dict[str, set[int]] = {}
        """Attempts of ended jobs that still run, by task."""
        self._attempts: OrderedDict[str, int] = OrderedDict()
        self._answers: OrderedDict[JobId, tuple[float, JobEnded]] = OrderedDict()
        self._placer = Placer(
            self.sessions,
            self._runs,
            self._stopping,
            rng,
            self._start_run,
            self._end_job,
            self._note,
        )
        self._demand = Demand()
        self._last_tick_ms: float | None = None
        self._paused_until_ms = float("-inf")

    @property
    def catalog(self) -> Catalog | None:
        """The catalog in force, None before the first."""
        return self._catalog

    @property
    def open_jobs(self) -> int:
        """Number of jobs that are neither answered nor given up."""
        return len(self._jobs)

    @property
    def waiting_tasks(self) -> int:
        """Number of tasks that wait for room."""
        return len(self._waiting)

    # Configuration.

    def set_catalog(self, catalog: Catalog) -> None:
        """Put ``catalog`` into force unless a newer one is."""
        if self._catalog is None or catalog.revision > self._catalog.revision:
            self._catalog = catalog
            self._note("catalog in force", revision=catalog.revision, version=catalog.version)

    def set_zones_out(self, revision: int, zones: frozenset[str], now_ms: float) -> None:
        """Put the zones out of service as of ``revision`` into force."""
        if zones != self._placer.zones_out:
            self._note("zones out of service", zones=sorted(zones), revision=revision)
        self._placer.zones_out = zones
        self.sessions.set_zones_out(Notice(revision, sorted(zones)), now_ms)

    def count_pending(self, queue: QueueName) -> int:
        """Return the number of jobs of ``queue`` for which no task has started."""
        return sum(1 for job in self._jobs.values() if job.queue.name == queue and not job.started)

    # Clients.

    def submit(
        self, request: int, queue: Queue, spec: JobSpec, client_wait_ms: float, now_ms: float
    ) -> None:
        """Take in a job; its outcome is answered to ``request``, at once if it is refused.

        A job that is sent again while it is open, or shortly after its answer, is one job.
        """
        known = self._answers.get(spec.job)
        if known is not None and now_ms - known[0] < ANSWER_LIFE_MS:
            self._note("job answered again", job=spec.job)
            self.effects.append(Answer(request, known[1]))
            return
        job = self._jobs.get(spec.job)
        if job is not None:
            job.requests.append(request)
            self._by_request[request] = job
            self._note("job joined", job=spec.job, requests=len(job.requests))
            return
        refusal = self._find_refusal(queue, spec, client_wait_ms, now_ms)
        if refusal is not None:
            self._refuse(request, spec.job, refusal)
            return
        self._accept(request, queue, spec, client_wait_ms, now_ms)

    def _find_refusal(
        self, queue: Queue, spec: JobSpec, client_wait_ms: float, now_ms: float
    ) -> JobRefused | None:
        unsupported = queue.unsupported or spec.find_unsupported()
        if unsupported:
            return JobRefused(f"not supported: {unsupported}", 0.0)
        able = [
            view
            for view in self.sessions.views()
            if view.upstream and view.report.service == queue.service
        ]
        for step in spec.steps:
            if able and not any(may_run(view, step, view.report.capacity) for view in able):
                return JobRefused("no upstream has the label and the size for a task", 0.0)
        return None

    def _refuse(self, request: int, job: JobId, refusal: JobRefused) -> None:
        self.counters.refused += 1
        self._note(
            "job refused",
            job=job,
            reason=refusal.reason,
            retry_after_ms=round(refusal.retry_after_ms),
        )
        self.effects.append(Answer(request, refusal))

    def _accept(
        self, request: int, queue: Queue, spec: JobSpec, client_wait_ms: float, now_ms: float
    ) -> None:
        chain_ms = spec.chain_ms()
        objective_ms = queue.stretch * chain_ms + queue.latency_ms
        timing = Timing(now_ms, chain_ms, objective_ms, now_ms + client_wait_ms)
        job = Job(spec, queue, timing, [request], [])
        for number, step in enumerate(spec.steps):
            tasks = [
                Task(job, number, f"{spec.job}/{number}/{index}") for index in range(step.count)
            ]
            for task in tasks:
                task.attempt = self._attempts.get(task.name, 0)
            job.tasks.append(tasks)
            job.work += step.count * step.estimate_ms * step.resources.cpu_milli / 1000
        self._demand.add(queue.name, job.work, now_ms)
        job.value = self._demand.value(queue.name, job.work)
        self._jobs[spec.job] = job
        self._by_request[request] = job
        self.counters.accepted += 1
        self._note(
            "job accepted",
            job=spec.job,
            queue=queue.name,
            tasks=sum(step.count for step in spec.steps),
            chain_ms=round(chain_ms),
            waiting=len(self._waiting),
            catalog=self._catalog.revision if self._catalog else 0,
        )
        self._release_steps(job, now_ms)

    def _release_steps(self, job: Job, now_ms: float) -> None:
        """Let the tasks wait for room whose steps may start."""
        for number, step in enumerate(job.spec.steps):
            if all(job.step_done(earlier) for earlier in step.after):
                for task in job.tasks[number]:
                    if task.attempt == 0 or task.view is None:
                        self._wait(task, now_ms)
        if all(job.step_done(number) for number in range(len(job.tasks))):
            self._end_job(job, JobEnded(JobState.COMPLETED), now_ms)

    def _wait(self, task: Task, now_ms: float) -> None:
        if not task.done and task.view is None and task.name not in self._waiting:
            task.waiting_since_ms = now_ms
            self._waiting[task.name] = task

    def on_client_gone(self, request: int, now_ms: float) -> None:
        """Take in that nobody waits for the answer to ``request`` any more."""
        job = self._by_request.pop(request, None)
        if job is None or job.ended:
            return
        job.requests.remove(request)
        if not job.requests:
            self.counters.cancelled += 1
            self._note("job cancelled", job=job.spec.job, reason="the client is gone")
            self._close_job(job, now_ms)

    def _end_job(self, job: Job, outcome: JobOutcome, now_ms: float) -> None:
        elapsed_ms = now_ms - job.timing.arrived_ms
        match outcome:
            case JobEnded(state=JobState.COMPLETED):
                self.counters.completed += 1
            case JobEnded():
                self.counters.failed += 1
            case _:
                self.counters.refused += 1
        self._note(
            "job ended",
            job=job.spec.job,
            queue=job.queue.name,
            outcome=type(outcome).__name__,
            state=outcome.state.value if isinstance(outcome, JobEnded) else "",
            reason=outcome.reason,
            elapsed_ms=round(elapsed_ms),
            objective_ms=round(job.timing.objective_ms),
        )
        for request in job.requests:
            self._by_request.pop(request, None)
            self.effects.append(Answer(request, outcome))
        if isinstance(outcome, JobEnded):
            self._answers[job.spec.job] = (now_ms, outcome)
            if len(self._answers) > REMEMBERED_ANSWERS:
                self._answers.popitem(last=False)
        self._close_job(job, now_ms)

    def _close_job(self, job: Job, now_ms: float) -> None:
        """Forget the job and stop what still runs of it."""
        job.ended = True
        del self._jobs[job.spec.job]
        for task in (task for step in job.tasks for task in step):
            self._waiting.pop(task.name, None)
            if task.attempt and not (task.done and task.attempt == 1):
                self._remember_attempt(task)
            if task.view is not None:
                self._stopping.setdefault(task.name, set()).add(task.attempt)
                self.sessions.send(task.view, StopRun(task.name, task.attempt), now_ms)

    def _remember_attempt(self, task: Task) -> None:
        """Keep the number of the latest start, which the next one must exceed."""
        self._attempts[task.name] = task.attempt
        if len(self._attempts) > REMEMBERED_ANSWERS:
            self._attempts.popitem(last=False)

    # Agents.

    def on_frame(self, peer: str, frame: AgentFrame, now_ms: float) -> None:
        """Take in a frame from an agent."""
        for event in self.sessions.on_frame(peer, frame, now_ms):
            self._on_event(event, now_ms)

    def _on_event(self, event: SessionEvent, now_ms: float) -> None:
        match event:
            case AgentLost():
                self._on_agent_lost(event, now_ms)
            case AgentRunEnded():
                self._on_run_ended(event.view, event.ended, now_ms)
            case AgentRunSlow():
                self._on_run_slow(event.view, event.slow, now_ms)

    def _on_run_slow(self, view: AgentView, slow: RunSlow, now_ms: float) -> None:
        """Stop a slow run if it would end earlier elsewhere; its end lets it start there."""
        task = self._runs.get((slow.task, slow.attempt))
        if task is None or task.job.ended or not self._placer.should_move(task, view, slow, now_ms):
            return
        task.moves += 1
        task.avoid.add(view.upstream)
        self._note(
            "moving a slow run",
            job=task.job.spec.job,
            task=task.name,
            attempt=slow.attempt,
            upstream=view.upstream,
            left_ms=round(slow.left_ms),
            slowness=view.report.slowness,
        )
        self.sessions.send(view, StopRun(slow.task, slow.attempt), now_ms)

    def _on_agent_lost(self, event: AgentLost, now_ms: float) -> None:
        lost = [(key, task) for key, task in self._runs.items() if task.view is event.view]
        self._note(
            "agent session ended", agent=event.view.agent, reason=event.reason, runs=len(lost)
        )
        for key, _ in lost:
            ended = RunEnded(key[0], key[1], RunEnd.LOST.value, 0.0, event.reason)
            self._on_run_ended(event.view, ended, now_ms)

    def _on_run_ended(self, view: AgentView, ended: RunEnded, now_ms: float) -> None:
        task = self._runs.pop((ended.task, ended.attempt), None)
        if task is None:
            return
        stopping = self._stopping.get(ended.task)
        if stopping is not None:
            stopping.discard(ended.attempt)
            if not stopping:
                del self._stopping[ended.task]
        how = RunEnd(ended.how)
        task.view = None
        self._placer.add_end(task, view, how, now_ms)
        if task.job.ended:
            return
        if how is not RunEnd.DONE:
            self._note(
                "run ended",
                job=task.job.spec.job,
                task=task.name,
                attempt=ended.attempt,
                how=how.value,
                reason=ended.reason,
                upstream=view.upstream,
                elapsed_ms=round(ended.elapsed_ms),
            )
        self._continue(task, view, how, ended, now_ms)

    def _continue(
        self, task: Task, view: AgentView, how: RunEnd, ended: RunEnded, now_ms: float
    ) -> None:
        """Take the task on after the end of a run."""
        match how:
            case RunEnd.DONE:
                task.done = True
                if task.job.step_done(task.step):
                    self._release_steps(task.job, now_ms)
                return
            case RunEnd.FAILED:
                task.failed += 1
                task.avoid.add(view.upstream)
                if task.failed >= task.job.queue.max_attempts:
                    reason = f"task {task.name} failed {task.failed} times"
                    self._end_job(task.job, JobEnded(JobState.FAILED, reason), now_ms)
                    return
            case RunEnd.REJECTED:
                self.counters.rejected_starts += 1
                if ended.reason == BUSY_TASK:
                    task.not_before_ms = now_ms + TASK_PAUSE_MS
                elif ended.reason not in (NO_ROOM, StartResult.OLD.value):
                    view.refused_until_ms = now_ms + REJECT_PAUSE_MS
            case RunEnd.STOPPED if view.upstream in task.avoid and task.moves:
                pass
            case _:
                self.counters.lost_runs += 1
                task.lost += 1
                task.avoid.add(view.upstream)
                if task.lost >= MAX_LOST_RUNS:
                    reason = f"task {task.name} was lost {task.lost} times"
                    self._end_job(task.job, JobUnknown(reason), now_ms)
                    return
        self._wait(task, now_ms)

    # Placement.

    def place(self, now_ms: float) -> None:
        """Start waiting tasks where there is room, and refuse what can no longer be served."""
        if now_ms >= self._paused_until_ms:
            self._placer.place(self._waiting, now_ms)
        self.sessions.set_wanted(self._placer.wanted, now_ms)

    def _start_run(self, task: Task, choice: Candidate, now_ms: float) -> None:
        step = task.job.spec.steps[task.step]
        del self._waiting[task.name]
        view = choice.view
        task.attempt = Attempt(task.attempt + 1)
        task.view = view
        task.job.started = True
        self._runs[task.name, task.attempt] = task
        self.counters.starts += 1
        waited_ms = now_ms - task.waiting_since_ms
        self._placer.add_start(step, now_ms)
        order = StartRun(
            task.name,
            task.attempt,
            task.job.spec.specification,
            step.resources,
            step.estimate_ms,
        )
        self.sessions.send(view, order, now_ms)
        self._note(
            "task placed",
            task=task.name,
            attempt=task.attempt,
            upstream=view.upstream,
            expected_ms=round(step.estimate_ms * choice.slowness),
            waited_ms=round(waited_ms),
            free_cpu=view.free.cpu_milli,
            report_age_ms=round(now_ms - view.channel.heard_ms),
        )

    # Time.

    def tick(self, now_ms: float) -> None:
        """Do what time demands; call it every few milliseconds."""
        gap_ms = 0.0 if self._last_tick_ms is None else now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if gap_ms >= STANDSTILL_MS:
            self.pause_starts(gap_ms, now_ms)
        for event in self.sessions.tick(now_ms):
            self._on_event(event, now_ms)
        for job in [j for j in self._jobs.values() if now_ms >= j.timing.client_until_ms]:
            if job.started:
                self._end_job(job, JobUnknown("the client's time is over"), now_ms)
        self._placer.tick(now_ms)

    def pause_starts(self, gap_ms: float, now_ms: float) -> None:
        """Start nothing for a moment, because the process stood still for ``gap_ms``.

        Clients that left meanwhile are noticed first; they may have sent their jobs elsewhere.
        """
        self._paused_until_ms = now_ms + THAW_PAUSE_MS
        self._note("the process stood still", gap_ms=round(gap_ms))

    def _note(self, text: str, **fields: object) -> None:
        self.effects.append(Note(text, fields))
