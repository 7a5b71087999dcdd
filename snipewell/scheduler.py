"""Scheduler of an entry for jobs of several tasks, without any I/O.

The entry that accepts a job owns it: it places the tasks, retries failed ones on other upstreams,
and answers the client when the last task has completed. Jobs that need not be durable are held in
memory only. If the entry crashes or is partitioned, the agents stop its runs before the client
resubmits the job.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from .agentsession import (
    AgentRunEnded,
    AgentRunSlow,
    AgentSessionEnded,
    AgentSessions,
    AgentUpstreamCrashed,
    SendAgent,
    SessionEvent,
)
from .agentview import AgentView
from .crashes import CrashCounts
from .departure import Move, Stay
from .duration import DurationModel
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
from .jobqueue import RecentArrivals, Timing
from .jobstate import Job, Task
from .matching import Candidate, may_run
from .placer import Placer
from .reach import Narrow, ReachDecision, Widen
from .runmessage import (
    BUSY_TASK,
    NO_CAPACITY,
    STEP_LIMIT,
    SUSPECT_RUNNING,
    AgentFrame,
    RunEnded,
    RunSlow,
    StartRun,
    StopRun,
    UpstreamCrash,
    ZoneNotice,
)
from .upstreamcall import StartResult

MAX_STORED_ANSWERS = 10_000
"""Maximum number of ended jobs whose answers are stored, in case a job is resubmitted because its
answer was lost. Also the maximum number of tasks whose latest attempt number is stored."""
ANSWER_RETENTION_MS = 30_000.0
"""Retention period of an answer: several times the interval after which clients resubmit a job."""
REJECTED_START_PAUSE_MS = 300.0
"""Pause in starts on an agent that rejected one for a reason other than lack of capacity. The next
report of the agent carries the cause."""
STOPPING_TASK_PAUSE_MS = 60.0
"""Delay before a task is started again whose previous run is still being stopped: slightly more
than the upstream's ``stopGraceMs``."""
SUSPECT_PAUSE_MS = 100.0
"""Pause in starts of suspects on an agent that rejected one beside another suspect, which is rarely
done earlier."""
STALL_RECOVERY_PAUSE_MS = 150.0
"""Pause before new starts after a stall of the process, in which closed client connections are
detected."""
PROCESS_STALL_MS = 700.0
"""Time without any activity that counts as a stall of the process: many times the interval between
two ticks."""
MAX_LOST_RUNS = 20
"""Number of runs of one task that were lost, stopped or stalled, or whose lease expired, at which
the job is abandoned."""


@dataclass(frozen=True, slots=True)
class Answer:
    """Effect that sends the outcome of a job as the answer to the client request ``request``."""

    request: int
    outcome: JobOutcome


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Effect that writes a scheduling decision to the log: ``text`` with its ``fields``."""

    text: str
    fields: Mapping[str, object]


@dataclass(frozen=True, slots=True)
class SetWide:
    """Effect that writes to the entry's registration whether it is wide."""

    wide: bool


@dataclass(frozen=True, slots=True)
class PlacedStart:
    """Effect that counts a start of a task with a place, for the metrics of its queue.

    ``waited_ms`` is the time for which the task waited for its near rack, None if it didn't.
    """

    queue: QueueName
    near: bool
    waited_ms: float | None


SchedulerEffect = SendAgent | Answer | LogRecord | SetWide | PlacedStart


@dataclass(slots=True)
class SchedulerCounters:
    """Event counts since the start of the process, exported as metrics."""

    accepted: int = 0
    refused: int = 0
    """Jobs refused at submission or later, and jobs abandoned with an unknown outcome."""
    completed: int = 0
    failed: int = 0
    crashing: int = 0
    """Failed jobs with a task under which too many upstreams crashed."""
    cancelled: int = 0
    starts: int = 0
    near_starts: int = 0
    far_starts: int = 0
    """Starts away from the near rack, and those of a group that is split over racks."""
    waited_starts: int = 0
    """Starts, near or far, after a wait for the near rack."""
    rejected_starts: int = 0
    lost_runs: int = 0
    """Runs of open jobs that were lost, stopped or stalled, or whose lease expired. Slow runs that
    were stopped to move their task don't count."""
    leaving_moves: int = 0
    """Runs that were stopped to move their task away from an upstream that was leaving."""


class Scheduler:
    """State machine of all jobs and agent sessions of one entry.

    Methods append to ``effects``; the calling code removes the effects and performs them. Call
    `place` after each batch of events. ``spread_factor`` is the declared ratio of the duration of a
    task on a rack other than that of its data to its duration there.
    """

    def __init__(self, rng: Random, spread_factor: float = 1.0, place_waits: bool = True) -> None:
        self.effects: list[SchedulerEffect] = []
        self.counters = SchedulerCounters()
        self.sessions = AgentSessions(self.effects.append)
        self._catalog: Catalog | None = None
        self._jobs: dict[JobId, Job] = {}
        self._by_request: dict[int, Job] = {}
        self._waiting: dict[str, Task] = {}
        self._runs: dict[tuple[str, int], Task] = {}
        self._stopping: dict[str, set[int]] = {}
        """Attempts of ended jobs that are still running, by task name."""
        self._attempts: OrderedDict[str, int] = OrderedDict()
        """Latest attempt numbers of tasks of closed jobs, for a later resubmission."""
        self._crashes = CrashCounts()
        self._durations = DurationModel.from_settings(spread_factor)
        self._answers: OrderedDict[JobId, tuple[float, JobEnded]] = OrderedDict()
        self._placer = Placer(
            self.sessions,
            self._runs,
            self._stopping,
            self._crashes,
            self._durations,
            rng,
            self._start_run,
            self._end_job,
            self._log,
            place_waits,
        )
        self._reach = ReachDecision()
        self._arrivals = RecentArrivals()
        self._last_active_ms: float | None = None
        """Time of the last call of `place` or `tick`."""
        self._paused_until_ms = float("-inf")

    @property
    def catalog(self) -> Catalog | None:
        """Catalog in force, or None before the first one has been loaded."""
        return self._catalog

    @property
    def open_jobs(self) -> int:
        """Number of accepted jobs that have not ended or been cancelled."""
        return len(self._jobs)

    @property
    def waiting_tasks(self) -> int:
        """Number of tasks that wait for free capacity on an upstream."""
        return len(self._waiting)

    @property
    def corrections(self) -> Mapping[QueueName, float]:
        """Correction of the expected durations of each queue that has enough ended runs."""
        return self._durations.corrections

    @property
    def is_wide(self) -> bool:
        """Whether this entry asks further agents for sessions."""
        return self._reach.is_wide

    # Configuration.

    def set_catalog(self, catalog: Catalog) -> None:
        """Put ``catalog`` into force if its revision is newer than the present one."""
        if self._catalog is None or catalog.revision > self._catalog.revision:
            self._catalog = catalog
            self._log("catalog in force", revision=catalog.revision, version=catalog.version)

    def set_zones_out(self, revision: int, zones: frozenset[str], now_ms: float) -> None:
        """Set the availability zones out of service as of ``revision`` and notify the agents."""
        if zones != self._placer.zones_out:
            self._log("zones out of service", zones=sorted(zones), revision=revision)
        self._placer.zones_out = zones
        self.sessions.set_zones_out(ZoneNotice(revision, sorted(zones)), now_ms)

    def count_pending(self, queue: QueueName) -> int:
        """Return the number of jobs of ``queue`` for which no task has started."""
        return sum(1 for job in self._jobs.values() if job.queue.name == queue and not job.started)

    # Client requests.

    def submit(
        self, request: int, queue: Queue, spec: JobSpec, client_wait_ms: float, now_ms: float
    ) -> None:
        """Accept or refuse a job; its outcome is the answer to ``request``.

        A refusal is answered at once. Submission is idempotent: a job that is resubmitted while it
        is open, or within `ANSWER_RETENTION_MS` after it completed or failed, is not run again. A
        job that was refused, cancelled or abandoned is handled as a new one.
        """
        stored = self._answers.get(spec.job)
        if stored is not None and now_ms - stored[0] < ANSWER_RETENTION_MS:
            self._log("stored answer sent for a resubmitted job", job=spec.job)
            self.effects.append(Answer(request, stored[1]))
            return
        job = self._jobs.get(spec.job)
        if job is not None:
            job.requests.append(request)
            self._by_request[request] = job
            self._log("job joined", job=spec.job, requests=len(job.requests))
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
        eligible = [
            view
            for view in self.sessions.views()
            if view.upstream and view.report.service == queue.service
        ]
        for step in spec.steps:
            if eligible and not any(may_run(view, step, view.report.capacity) for view in eligible):
                return JobRefused(
                    "no upstream of this entry has the label and the size for a task", 0.0
                )
        return None

    def _refuse(self, request: int, job: JobId, refusal: JobRefused) -> None:
        self.counters.refused += 1
        self._log(
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
        self._arrivals.add(queue.name, job.work, now_ms)
        job.value = self._arrivals.value(queue.name, job.work)
        job.size = self._placer.sharing.add_arrival(queue.name, job.work)
        self._jobs[spec.job] = job
        self._by_request[request] = job
        self.counters.accepted += 1
        self._log(
            "job accepted",
            job=spec.job,
            queue=queue.name,
            tasks=sum(step.count for step in spec.steps),
            chain_ms=round(chain_ms),
            waiting=len(self._waiting),
            catalog=self._catalog.revision if self._catalog else 0,
        )
        for task in (task for tasks in job.tasks for task in tasks):
            if self._crashes.is_exhausted(task.name, now_ms):
                self._fail_crashing(task, now_ms)
                return
        self._release_steps(job, now_ms)

    def _release_steps(self, job: Job, now_ms: float) -> None:
        """Queue the tasks of all steps whose preceding steps are done, or end a completed job."""
        for number, step in enumerate(job.spec.steps):
            if all(job.step_done(earlier) for earlier in step.after):
                for task in job.tasks[number]:
                    if task.attempt == 0 or task.view is None:
                        self._enqueue(task, now_ms)
        if all(job.step_done(number) for number in range(len(job.tasks))):
            self._end_job(job, JobEnded(JobState.COMPLETED), now_ms)

    def _enqueue(self, task: Task, now_ms: float) -> None:
        if not task.done and task.view is None and task.name not in self._waiting:
            task.waiting_since_ms = now_ms
            self._waiting[task.name] = task

    def on_client_disconnect(self, request: int, now_ms: float) -> None:
        """Handle a client that closed its connection before the answer to ``request``.

        The job is cancelled when no other request waits for its outcome.
        """
        job = self._by_request.pop(request, None)
        if job is None or job.ended:
            return
        job.requests.remove(request)
        if not job.requests:
            self.counters.cancelled += 1
            self._log("job cancelled", job=job.spec.job, reason="client disconnected")
            self._close_job(job, now_ms)

    def _end_job(self, job: Job, outcome: JobOutcome, now_ms: float) -> None:
        elapsed_ms = now_ms - job.timing.arrived_ms
        self._placer.record_job_end(job, outcome, now_ms)
        match outcome:
            case JobEnded(state=JobState.COMPLETED):
                self.counters.completed += 1
            case JobEnded():
                self.counters.failed += 1
            case _:
                self.counters.refused += 1
        self._log(
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
            if len(self._answers) > MAX_STORED_ANSWERS:
                self._answers.popitem(last=False)
        self._close_job(job, now_ms)

    def _close_job(self, job: Job, now_ms: float) -> None:
        """Remove the job and stop those of its runs that are still in progress."""
        job.ended = True
        del self._jobs[job.spec.job]
        for task in (task for step in job.tasks for task in step):
            self._waiting.pop(task.name, None)
            if task.attempt and not (task.done and task.attempt == 1):
                self._store_attempt(task)
            if task.view is not None:
                self._stopping.setdefault(task.name, set()).add(task.attempt)
                self.sessions.send(task.view, StopRun(task.name, task.attempt), now_ms)

    def _store_attempt(self, task: Task) -> None:
        """Store the latest attempt number of the task, which its next start must exceed."""
        self._attempts[task.name] = task.attempt
        if len(self._attempts) > MAX_STORED_ANSWERS:
            self._attempts.popitem(last=False)

    # Agents.

    def on_frame(self, peer: str, frame: AgentFrame, now_ms: float) -> None:
        """Process a frame received from an agent."""
        for event in self.sessions.on_frame(peer, frame, now_ms):
            self._on_event(event, now_ms)

    def _on_event(self, event: SessionEvent, now_ms: float) -> None:
        match event:
            case AgentSessionEnded():
                self._on_session_ended(event, now_ms)
            case AgentRunEnded():
                self._on_run_ended(event.view, event.ended, now_ms)
            case AgentRunSlow():
                self._on_run_slow(event.view, event.slow, now_ms)
            case AgentUpstreamCrashed():
                self._on_upstream_crashed(event.crash, now_ms)

    def _on_upstream_crashed(self, crash: UpstreamCrash, now_ms: float) -> None:
        """Count the crash for its tasks, and end the jobs of those that may not start again."""
        for name in self._crashes.add(crash, now_ms):
            task = self._find_task(name)
            if task is None or task.done:
                continue
            self._log(
                "upstream crashed under a task",
                job=task.job.spec.job,
                task=name,
                crash=crash.crash,
                crashes=self._crashes.count(name, now_ms),
                tasks=len(crash.tasks),
                suspects=len(crash.suspects),
            )
            if self._crashes.is_exhausted(name, now_ms):
                self._fail_crashing(task, now_ms)

    def _find_task(self, name: str) -> Task | None:
        """Return a task of an open job by its name."""
        job = self._jobs.get(JobId(name.rsplit("/", 2)[0]))
        tasks = [task for step in job.tasks for task in step] if job is not None else []
        return next((task for task in tasks if task.name == name), None)

    def _fail_crashing(self, task: Task, now_ms: float) -> None:
        """End the job of a task under which too many upstreams crashed."""
        self.counters.crashing += 1
        crashes = self._crashes.count(task.name, now_ms)
        self._log(
            "job given up because of crashes",
            job=task.job.spec.job,
            task=task.name,
            crashes=crashes,
            attempts=task.attempt,
        )
        reason = f"{crashes} upstreams crashed under task {task.name}"
        self._end_job(task.job, JobEnded(JobState.FAILED, reason), now_ms)

    def _on_run_slow(self, view: AgentView, slow: RunSlow, now_ms: float) -> None:
        """Stop a slow run if its task would end earlier on another upstream.

        The task is placed again when the agent reports the end of the stopped run.
        """
        task = self._runs.get((slow.task, slow.attempt))
        if task is None or task.job.ended or task.moved_attempt == slow.attempt:
            return
        if slow.leaving:
            self._on_run_leaving(task, view, slow, now_ms)
            return
        if not self._placer.should_move(task, view, slow, now_ms):
            return
        self._log(
            "stopping a slow run to restart it elsewhere",
            job=task.job.spec.job,
            task=task.name,
            attempt=slow.attempt,
            upstream=view.upstream,
            left_ms=round(slow.left_ms),
            slowness=view.report.slowness,
        )
        self._stop_to_move(task, view, now_ms)

    def _on_run_leaving(self, task: Task, view: AgentView, slow: RunSlow, now_ms: float) -> None:
        """Stop a run that would be lost with its upstream if its task then ends earlier."""
        decision = self._placer.decide_departure(task, view, slow, now_ms)
        match decision:
            case Move():
                text, reason = "moving a run off a leaving upstream", ""
            case Stay():
                text, reason = "a run stays on a leaving upstream", decision.reason
        self._log(
            text,
            reason=reason,
            job=task.job.spec.job,
            task=task.name,
            attempt=slow.attempt,
            upstream=view.upstream,
            time_left_ms=round(slow.departure_in_ms),
            rest_ms=round(slow.left_ms),
            elsewhere_in_ms=decision.outlook.elsewhere_in_ms,
            after_loss_in_ms=decision.outlook.after_loss_in_ms,
            room_cpu=decision.outlook.room_cpu_milli,
        )
        if isinstance(decision, Move):
            self.counters.leaving_moves += 1
            self._stop_to_move(task, view, now_ms)

    def _stop_to_move(self, task: Task, view: AgentView, now_ms: float) -> None:
        """Stop the present run of ``task``, whose end lets the task start on another upstream."""
        task.moves += 1
        task.moved_attempt = task.attempt
        task.avoid.add(view.upstream)
        self.sessions.send(view, StopRun(task.name, task.attempt), now_ms)

    def _on_session_ended(self, event: AgentSessionEnded, now_ms: float) -> None:
        lost = [(key, task) for key, task in self._runs.items() if task.view is event.view]
        self._log(
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
        self._placer.record_run_end(task, view, how, now_ms)
        if task.job.ended:
            return
        if how is not RunEnd.DONE:
            self._log(
                "run ended",
                job=task.job.spec.job,
                task=task.name,
                attempt=ended.attempt,
                how=how.value,
                reason=ended.reason,
                upstream=view.upstream,
                elapsed_ms=round(ended.elapsed_ms),
            )
        self._apply_run_end(task, view, how, ended, now_ms)

    def _apply_run_end(
        self, task: Task, view: AgentView, how: RunEnd, ended: RunEnded, now_ms: float
    ) -> None:
        """Update the task after the end of a run: done, to be retried, or its job ended."""
        match how:
            case RunEnd.DONE:
                task.done = True
                self._record_duration(task, view, ended.elapsed_ms, now_ms)
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
                if ended.reason in (BUSY_TASK, STEP_LIMIT):
                    task.not_before_ms = now_ms + STOPPING_TASK_PAUSE_MS
                elif ended.reason == SUSPECT_RUNNING:
                    view.no_suspects_until_ms = now_ms + SUSPECT_PAUSE_MS
                elif ended.reason not in (NO_CAPACITY, StartResult.STALE_ATTEMPT.value):
                    view.rejected_until_ms = now_ms + REJECTED_START_PAUSE_MS
            case RunEnd.STOPPED if view.upstream in task.avoid and task.moves:
                pass
            case _:
                self.counters.lost_runs += 1
                task.lost += 1
                task.lost_ms = now_ms
                task.avoid.add(view.upstream)
                if task.lost >= MAX_LOST_RUNS:
                    reason = f"task {task.name} was lost {task.lost} times"
                    self._end_job(task.job, JobUnknown(reason), now_ms)
                    return
        self._enqueue(task, now_ms)

    def _record_duration(
        self, task: Task, view: AgentView, elapsed_ms: float, now_ms: float
    ) -> None:
        """Add a run that is done to the expected durations of its queue."""
        job = task.job
        self._durations.on_done(
            job.queue.name,
            job.spec.job,
            view.upstream,
            job.spec.steps[task.step].estimate_ms,
            task.start_slowness,
            task.near,
            elapsed_ms,
            now_ms,
        )

    def _log_corrections(self) -> None:
        for change in self._durations.changes:
            self._log(
                "correction of a queue changed",
                queue=change.queue,
                correction=round(change.correction, 2),
                measured=round(change.measured, 2),
                common=round(change.common, 2),
                samples=change.samples,
                upstreams=change.upstreams,
                queues=change.queues,
            )
        self._durations.changes.clear()

    # Placement.

    def place(self, now_ms: float) -> None:
        """Start waiting tasks on free capacity, and refuse jobs that can't be served in time."""
        # After a suspension of the VM, frames that have waited are processed before the next tick.
        self._check_stall(now_ms)
        if now_ms >= self._paused_until_ms:
            self._placer.place(self._waiting, now_ms)
            self._decide_reach(now_ms)
        self.sessions.set_demand(self._placer.demand_cpu_milli, now_ms)

    def _decide_reach(self, now_ms: float) -> None:
        """Ask further agents for sessions if those of this entry lack capacity, or stop that."""
        decision = self._reach.update(self._placer.shortage, bool(self._waiting), now_ms)
        match decision:
            case Widen():
                self._log(
                    "entry becomes wide",
                    waiting_work_ms=round(decision.shortage.waiting_work),
                    room_cpu=decision.shortage.room_cpu_milli,
                    missed=decision.shortage.missed,
                    short_ms=round(decision.short_ms),
                    agents=len(self.sessions.views()),
                )
            case Narrow():
                self._log(
                    "entry no longer wide",
                    waiting_tasks=len(self._waiting),
                    quiet_ms=round(decision.quiet_ms),
                    agents=len(self.sessions.views()),
                )
        if decision is not None:
            self.effects.append(SetWide(self._reach.is_wide))

    def _start_run(self, task: Task, candidate: Candidate, now_ms: float) -> None:
        step, queue = task.job.spec.steps[task.step], task.job.queue.name
        del self._waiting[task.name]
        view = candidate.view
        task.attempt = Attempt(task.attempt + 1)
        task.view = view
        task.start_slowness = candidate.slowness
        task.job.started = True
        self._runs[task.name, task.attempt] = task
        self.counters.starts += 1
        waited_ms = now_ms - task.waiting_since_ms
        self._placer.record_start(task.job, step, now_ms)
        order = StartRun(
            task.name,
            task.attempt,
            task.job.spec.specification,
            step.resources,
            step.estimate_ms,
            self._crashes.count(task.name, now_ms),
            self._placer.must_run_apart(task, now_ms),
            self._durations.expected_factor(queue, task.near),
            step.max_per_upstream,
            task.near is not None,
        )
        self._count_place(task, now_ms)
        self.sessions.send(view, order, now_ms)
        self._log(
            "task placed",
            task=task.name,
            attempt=task.attempt,
            upstream=view.upstream,
            expected_ms=round(task.expected_end_ms - now_ms),
            waited_ms=round(waited_ms),
            free_cpu=view.free.cpu_milli,
            report_age_ms=round(now_ms - view.channel.last_seen_ms),
        )

    def _count_place(self, task: Task, now_ms: float) -> None:
        """Count the start of a task with a place."""
        since_ms, task.near_wait_since_ms, task.near_wait_reason = task.near_wait_since_ms, None, ""
        if task.near is None:
            return
        waited_ms = None if since_ms is None else now_ms - since_ms
        self.counters.near_starts += task.near
        self.counters.far_starts += not task.near
        self.counters.waited_starts += waited_ms is not None
        self.effects.append(PlacedStart(task.job.queue.name, task.near, waited_ms))

    # Timers.

    def tick(self, now_ms: float) -> None:
        """Process timeouts and send due frames; call it every few milliseconds."""
        self._check_stall(now_ms)
        for event in self.sessions.tick(now_ms):
            self._on_event(event, now_ms)
        for job in [j for j in self._jobs.values() if now_ms >= j.timing.client_until_ms]:
            if job.started:
                self._end_job(job, JobUnknown("the client's time is over"), now_ms)
        self._placer.tick(now_ms)
        self._durations.tick(now_ms)
        self._log_corrections()

    def _check_stall(self, now_ms: float) -> None:
        gap_ms = 0.0 if self._last_active_ms is None else now_ms - self._last_active_ms
        self._last_active_ms = now_ms
        if gap_ms >= PROCESS_STALL_MS:
            self.pause_starts(gap_ms, now_ms)

    def pause_starts(self, gap_ms: float, now_ms: float) -> None:
        """Suspend starts for a short time after a stall of the process that lasted ``gap_ms``.

        Clients that disconnected during the stall are detected first; they may have submitted their
        jobs to another entry.
        """
        self._paused_until_ms = now_ms + STALL_RECOVERY_PAUSE_MS
        self._reach.reset()
        self._log("process stalled; pausing starts", gap_ms=round(gap_ms))

    def _log(self, text: str, **fields: object) -> None:
        self.effects.append(LogRecord(text, fields))
