"""The entry's core for jobs of several tasks, without any I/O.

The entry that accepts a job owns it: it places the tasks, starts failed ones again elsewhere, and
answers when the last one is done. Nothing of a job that needn't be kept is stored. If the entry
dies or is cut off, the agents stop its runs before the client sends the job again.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random
from statistics import median_low

from .agentsession import (
    AgentLost,
    AgentRunEnded,
    AgentRunSlow,
    AgentSessions,
    SendAgent,
    SessionEvent,
)
from .agentview import AgentView
from .executor import BUSY_TASK, NO_ROOM
from .ids import ScopedKey, ServiceName, UpstreamId
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
    Room,
    RunEnd,
    StepSpec,
)
from .jobqueue import RATE_WINDOW_MS, Demand, StartRate, Timing, Waiting, plan, retry_after_ms
from .matching import Candidate, choose, may_run
from .order import AgentFrame, Notice, RunEnded, RunSlow, StartRun, StopRun
from .outlier import Health, OutlierDetector
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
RESERVE_SHARE = 0.3
"""Share of an upstream's processors that work which is late leaves free, so that it doesn't take
the room of timely work that other entries have: as much as three tasks of ordinary size."""
SATURATED_MS = 300.0
"""Time for which tasks must have waited before the plan refuses jobs: a shorter wait is a chance
meeting of jobs, and the rate of starts isn't known yet."""
GROWTH = 1.25
SETTLE_MS = 800.0
"""Nothing is refused for want of room while the known capacity grew by this factor so lately: the
upstreams of a fleet that starts register over one heartbeat interval of 1,500 ms."""
MOVE_SLOWNESS = 2.0
"""Runs are moved only from an upstream that is this many times as slow as the median one: upstreams
differ by up to that factor by their kind."""
MOVE_GAIN = 1.3
MAX_MOVES = 3
"""A slow run is moved if it will take this many times as long as elsewhere, at most so often."""
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
class _Task:
    """A task of a job. ``attempt`` numbers its latest start, 0 if there was none."""

    job: _Job
    step: int
    name: str
    attempt: int = 0
    view: AgentView | None = None
    done: bool = False
    failed: int = 0
    lost: int = 0
    moves: int = 0
    avoid: set[UpstreamId] = field(default_factory=set)
    waiting_since_ms: float = 0.0
    not_before_ms: float = float("-inf")


@dataclass(slots=True, eq=False)
class _Job:
    spec: JobSpec
    queue: Queue
    timing: Timing
    requests: list[int]
    tasks: list[list[_Task]]
    ended: bool = False
    started: bool = False
    work: float = 0.0
    value: float = 1.0

    def step_done(self, step: int) -> bool:
        return all(task.done for task in self.tasks[step])


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
        self._rng = rng
        self._catalog: Catalog | None = None
        self._zones_out: frozenset[str] = frozenset()
        self._jobs: dict[JobId, _Job] = {}
        self._by_request: dict[int, _Job] = {}
        self._waiting: dict[str, _Task] = {}
        self._runs: dict[tuple[str, int], _Task] = {}
        self._stopping: dict[str, set[int]] = {}
        """Attempts of ended jobs that still run, by task."""
        self._attempts: OrderedDict[str, int] = OrderedDict()
        self._answers: OrderedDict[JobId, tuple[float, JobEnded]] = OrderedDict()
        self._outliers = OutlierDetector(rng)
        self._rate = StartRate()
        self._demand = Demand()
        self._capacity = 0
        self._saturated_since_ms = float("inf")
        self._refuse_after_ms = float("-inf")
        self._last_tick_ms: float | None = None
        self._paused_until_ms = float("-inf")
        self._wait_ms = 0.0

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
        if zones != self._zones_out:
            self._note("zones out of service", zones=sorted(zones), revision=revision)
        self._zones_out = zones
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
        job = _Job(spec, queue, timing, [request], [])
        for number, step in enumerate(spec.steps):
            tasks = [
                _Task(job, number, f"{spec.job}/{number}/{index}") for index in range(step.count)
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

    def _release_steps(self, job: _Job, now_ms: float) -> None:
        """Let the tasks wait for room whose steps may start."""
        for number, step in enumerate(job.spec.steps):
            if all(job.step_done(earlier) for earlier in step.after):
                for task in job.tasks[number]:
                    if task.attempt == 0 or task.view is None:
                        self._wait(task, now_ms)
        if all(job.step_done(number) for number in range(len(job.tasks))):
            self._end_job(job, JobEnded(JobState.COMPLETED), now_ms)

    def _wait(self, task: _Task, now_ms: float) -> None:
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

    def _end_job(self, job: _Job, outcome: JobOutcome, now_ms: float) -> None:
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

    def _close_job(self, job: _Job, now_ms: float) -> None:
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

    def _remember_attempt(self, task: _Task) -> None:
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
        """Move a slow run if it would end earlier elsewhere.

        The run's own progress tells its size; the slowness of the two upstreams tells the rest.
        """
        task = self._runs.get((slow.task, slow.attempt))
        if task is None or task.job.ended or task.moves >= MAX_MOVES:
            return
        usable = self._find_usable(task.job.queue.service, now_ms)
        ordinary = _median([other.report.slowness for other in usable])
        if view.report.slowness < MOVE_SLOWNESS * ordinary:
            return
        step = task.job.spec.steps[task.step]
        size_ms = (slow.elapsed_ms + slow.left_ms) / view.report.slowness
        elsewhere_ms = min(
            (
                size_ms * other.report.slowness
                for other in usable
                if other is not view
                and other.upstream not in task.avoid
                and self._outliers.health(other.upstream) is Health.ACTIVE
                and may_run(other, step, other.room())
            ),
            default=float("inf"),
        )
        if slow.left_ms < MOVE_GAIN * elsewhere_ms:
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
            elsewhere_ms=round(elsewhere_ms),
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
        self._learn(task, view, how, ended, now_ms)
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
        self, task: _Task, view: AgentView, how: RunEnd, ended: RunEnded, now_ms: float
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

    def _learn(
        self, task: _Task, view: AgentView, how: RunEnd, ended: RunEnded, now_ms: float
    ) -> None:
        upstream = view.upstream
        if not upstream or how not in (RunEnd.DONE, RunEnd.FAILED, RunEnd.STALLED):
            return
        self._outliers.add(upstream)
        self._outliers.on_end(
            upstream,
            ServiceName(task.job.queue.name),
            ScopedKey(task.job.spec.job),
            how is RunEnd.DONE,
            now_ms,
        )

    # Placement.

    def place(self, now_ms: float) -> None:
        """Start waiting tasks where there is room, and refuse what can no longer be served."""
        if not self._waiting:
            self._saturated_since_ms = float("inf")
            return
        if now_ms < self._paused_until_ms:
            return
        self._saturated_since_ms = min(self._saturated_since_ms, now_ms)
        by_service: dict[str, dict[str, list[_Task]]] = {}
        for task in self._waiting.values():
            if task.name not in self._stopping and now_ms >= task.not_before_ms:
                jobs = by_service.setdefault(task.job.queue.service, {})
                jobs.setdefault(task.job.spec.job, []).append(task)
        for service, jobs in by_service.items():
            self._place_service(service, jobs, now_ms)
        if not self._waiting:
            self._saturated_since_ms = float("inf")

    def _place_service(self, service: str, jobs: dict[str, list[_Task]], now_ms: float) -> None:
        views = self._find_usable(service, now_ms)
        rate = self._expect_rate(views, now_ms)
        slowness = _median([view.report.slowness for view in views])
        waiting = [self._describe(tasks, slowness) for tasks in jobs.values()]
        planned = plan(waiting, rate, now_ms)
        full: set[tuple[Room, str]] = set()
        started = [name for name in planned.late if jobs[name][0].job.started]
        # What is left of a job that has started is small, and what was done for it would be lost.
        for name in started:
            self._start_tasks(jobs[name], views, full, now_ms)
        for name in planned.timely:
            due_ms = jobs[name][0].job.timing.due_ms
            self._start_tasks(jobs[name], views, full, now_ms, due_ms)
        spare = [view for view in views if self._has_reserve(view)]
        full.clear()
        for name in [*planned.late, *planned.hopeless]:
            self._start_tasks([t for t in jobs[name] if t.view is None], spare, full, now_ms)
        lasting = views and now_ms - self._saturated_since_ms >= SATURATED_MS
        if now_ms < self._refuse_after_ms:
            return
        for name in planned.hopeless:
            job = jobs[name][0].job
            if not job.started and (
                lasting or now_ms + job.timing.chain_ms > job.timing.useless_ms
            ):
                wait_ms = sum(each.work for each in waiting) / max(rate, 1e-6)
                retry_ms = retry_after_ms(wait_ms, self._rng.random())
                self._note(
                    "no room for a job",
                    job=name,
                    backlog_ms=round(wait_ms),
                    rate=round(rate, 1),
                    waiting_jobs=len(waiting),
                    upstreams=len(views),
                    retry_after_ms=round(retry_ms),
                )
                self._end_job(job, JobRefused("no room in time", retry_ms, True), now_ms)

    def _expect_rate(self, views: list[AgentView], now_ms: float) -> float:
        """Return the work that this entry can start, in core-milliseconds a millisecond.

        While tasks have waited for a whole window, it is what was started in that window. Before,
        it is an equal share of what the upstreams can do, or more if more was started.
        """
        measured = self._rate.rate(now_ms)
        if now_ms - self._saturated_since_ms >= RATE_WINDOW_MS:
            return measured
        share = sum(
            view.report.capacity.cpu_milli
            / 1000
            / view.report.slowness
            / max(1, view.report.entries)
            for view in views
        )
        return max(share, measured)

    def _has_reserve(self, view: AgentView) -> bool:
        return view.room().cpu_milli >= RESERVE_SHARE * view.report.capacity.cpu_milli

    def _describe(self, tasks: list[_Task], slowness: float) -> Waiting:
        """Return what the plan needs to know of the waiting ``tasks`` of one job.

        ``slowness`` is that of an upstream that the job may expect.
        """
        job = tasks[0].job
        steps = [job.spec.steps[task.step] for task in tasks]
        left_ms = max(step.estimate_ms for step in steps) * slowness
        if len(job.spec.steps) > 1:
            left_ms = job.timing.chain_ms
        work = sum(step.estimate_ms * step.resources.cpu_milli / 1000 for step in steps)
        return Waiting(job.spec.job, job.timing, left_ms, work, job.value, job.started)

    def _start_tasks(
        self,
        tasks: list[_Task],
        views: list[AgentView],
        full: set[tuple[Room, str]],
        now_ms: float,
        end_by_ms: float = float("inf"),
    ) -> None:
        """Start ``tasks`` of one job on ``views``; ``full`` holds the shapes without room.

        Upstreams where a task would end after ``end_by_ms`` are left to others.
        """
        for task in tasks:
            step = task.job.spec.steps[task.step]
            shape = (step.resources, step.label)
            if shape in full:
                continue
            able = views
            if end_by_ms < float("inf"):
                able = [view for view in views if now_ms + self._expect_ms(task, view) <= end_by_ms]
            if not self._start(task, step, able, now_ms) and not task.avoid and able is views:
                full.add(shape)

    def _watch_growth(self, now_ms: float) -> None:
        """Put refusals off while upstreams are still being found, as after a start."""
        views = self.sessions.views()
        capacity = sum(view.report.capacity.cpu_milli for view in views if view.upstream)
        if capacity > GROWTH * self._capacity:
            self._refuse_after_ms = now_ms + SETTLE_MS
        self._capacity = capacity

    def _find_usable(self, service: str, now_ms: float) -> list[AgentView]:
        return [
            view
            for view in self.sessions.views()
            if view.is_usable(service, self._zones_out, now_ms)
        ]

    def _start(self, task: _Task, step: StepSpec, views: list[AgentView], now_ms: float) -> bool:
        """Start the task on one of ``views``; return False if none has room for it."""
        fitting = [view for view in views if may_run(view, step, view.room())]
        allowed = [view for view in fitting if view.upstream not in task.avoid]
        healthy = [
            view for view in allowed if self._outliers.health(view.upstream) is Health.ACTIVE
        ]
        probing = [view for view in allowed if self._may_probe(view, now_ms)]
        if probing:
            candidates = probing[:1]
        elif healthy:
            candidates = healthy
        elif any(view.upstream not in task.avoid for view in views):
            return False
        else:
            # Every upstream has failed this task; the least bad is any.
            candidates = fitting
        choice = choose(
            [Candidate(view, self._expect_ms(task, view)) for view in candidates],
            self._rng,
        )
        if choice is None:
            return False
        if probing:
            self._outliers.on_probe(choice.view.upstream, now_ms)
        self._order_start(task, step, choice, now_ms)
        return True

    def _may_probe(self, view: AgentView, now_ms: float) -> bool:
        if self._outliers.health(view.upstream) is not Health.PROBING:
            return False
        running = sum(1 for task in self._runs.values() if task.view is view)
        return self._outliers.may_probe(view.upstream, running, now_ms)

    def _expect_ms(self, task: _Task, view: AgentView) -> float:
        return task.job.spec.steps[task.step].estimate_ms * view.report.slowness

    def _order_start(self, task: _Task, step: StepSpec, choice: Candidate, now_ms: float) -> None:
        del self._waiting[task.name]
        view = choice.view
        task.attempt = Attempt(task.attempt + 1)
        task.view = view
        task.job.started = True
        self._runs[task.name, task.attempt] = task
        self.counters.starts += 1
        waited_ms = now_ms - task.waiting_since_ms
        self._wait_ms += (waited_ms - self._wait_ms) / 16
        self._rate.add(step.estimate_ms * step.resources.cpu_milli / 1000, now_ms)
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
            expected_ms=round(choice.expected_ms),
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
        self._outliers.tick({}, now_ms)
        self._watch_growth(now_ms)

    def pause_starts(self, gap_ms: float, now_ms: float) -> None:
        """Start nothing for a moment, because the process stood still for ``gap_ms``.

        Clients that left meanwhile are noticed first; they may have sent their jobs elsewhere.
        """
        self._paused_until_ms = now_ms + THAW_PAUSE_MS
        self._note("the process stood still", gap_ms=round(gap_ms))

    def _note(self, text: str, **fields: object) -> None:
        self.effects.append(Note(text, fields))


def _median(values: list[float]) -> float:
    """Return the lower median of ``values``, 1.0 without any."""
    return median_low(values) if values else 1.0
