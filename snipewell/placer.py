"""Placement of the waiting tasks of one entry, without any I/O.

`jobqueue` plans the order in which jobs are served and which are refused; `matching` selects the
upstream of a task. This module provides their inputs: the upstreams that may be used, the rate of
started work, and the health of the upstreams.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Mapping
from random import Random
from statistics import median_low

from .agentsession import AgentSessions
from .agentview import AgentView
from .crashes import CrashCounts
from .departure import STOP_MS, DepartureMoves, LeavingRun, Move, Stay
from .duration import DurationModel
from .ids import ScopedKey, ServiceName, UpstreamId
from .job import JobEnded, JobOutcome, JobRefused, JobState, RunEnd, StepSpec
from .jobqueue import RATE_WINDOW_MS, Plan, StartedWorkRate, WaitingJob, plan, retry_after_ms
from .jobstate import Job, Task
from .matching import Candidate, CandidatePool, TaskRequirements, may_run
from .outlier import Health, OutlierDetector
from .placedtasks import PlacedTasks
from .reach import Shortage, measure_shortage
from .runmessage import RunSlow
from .sharing import NO_RULES, Claim, RefusalCause, Sharing

MIN_SATURATION_MS = 300.0
"""Time for which tasks must have been waiting without interruption before jobs are refused. Shorter
waits also occur without overload, when jobs happen to arrive together, and the rate of started work
isn't yet known then."""
TASKS_WITHOUT_PAUSE = 20
"""Number of tasks that a placement round may leave waiting without a pause before the next
round."""
ROUND_PAUSE_PER_TASK_MS = 0.05
"""Pause before the next placement round for each further waiting task: about five times the round's
processing time for one task."""
MAX_ROUND_PAUSE_MS = 5.0
"""Longest pause between placement rounds: a tenth of the time that clients allow for dispatch."""
CAPACITY_GROWTH_FACTOR = 1.25
"""Factor of growth of the fleet's capacity between two ticks that suspends refusals."""
CAPACITY_GROWTH_GRACE_MS = 800.0
"""Time without refusals for lack of capacity after such a growth. The upstreams of a starting fleet
register over one heartbeat interval of 1,500 ms; each further growth of this kind extends the
time."""
MIN_MOVE_SLOWNESS_RATIO = 2.0
"""Slowness of an upstream, relative to the median, from which its slow runs are moved. Upstreams of
different kinds differ by up to this factor."""
MIN_MOVE_SPEEDUP = 1.3
"""A slow run is moved if its remaining time is at least this many times its duration elsewhere."""
MAX_APART_MS = 500.0
"""Longest time for which a suspect waits for an upstream that runs no other one."""
MAX_MOVES = 3
"""Maximum number of times that one task is moved."""


class Placer:
    """Selects upstreams for the waiting tasks of one entry and refuses jobs that can't be served.

    ``start`` is called for each task to start, ``refuse`` for each job to refuse, and ``log`` with
    the text and the fields of each decision to log. ``runs`` holds the runs in progress;
    ``stopping`` the names of tasks with a run that is being stopped, which may not start yet.
    ``crashes`` tells which tasks are suspects, which are kept apart, and ``durations`` the expected
    durations of tasks. Without ``place_waits``, no task waits for its near rack while another place
    is free.
    """

    def __init__(
        self,
        sessions: AgentSessions,
        runs: Mapping[tuple[str, int], Task],
        stopping: Container[str],
        crashes: CrashCounts,
        durations: DurationModel,
        rng: Random,
        start: Callable[[Task, Candidate, float], None],
        refuse: Callable[[Job, JobRefused, float], None],
        log: Callable[..., None],
        place_waits: bool = True,
        sharing: Sharing | None = None,
    ) -> None:
        self.zones_out: frozenset[str] = frozenset()
        self.demand_cpu_milli = 0
        """CPU needed by the waiting tasks of timely jobs and of late jobs that have started, in
        thousandths of a core."""
        self.shortage = Shortage()
        """What the last round left waiting."""
        self.sharing = sharing or Sharing(NO_RULES)
        self._sessions = sessions
        self._runs = runs
        self._stopping = stopping
        self._crashes = crashes
        self._durations = durations
        self._rng = rng
        self._start_run = start
        self._refuse = refuse
        self._log = log
        self._places = PlacedTasks(runs, durations, place_waits, log)
        self._outliers = OutlierDetector(rng)
        self._departures = DepartureMoves()
        self._probing: list[Candidate] = []
        self._next_round_ms = float("-inf")
        self._rate = StartedWorkRate()
        self._capacity = 0
        self._refuse_after_ms = float("-inf")
        self._saturated_since_ms = float("inf")

    def place(self, waiting: Mapping[str, Task], now_ms: float) -> None:
        """Start the ``waiting`` tasks that may start, and refuse jobs that can't be served in time.

        The ``start`` callback removes a started task from ``waiting``.
        """
        if not waiting:
            self._saturated_since_ms = float("inf")
            self.demand_cpu_milli = 0
            self.shortage = Shortage()
            return
        if now_ms < self._next_round_ms:
            return
        self._saturated_since_ms = min(self._saturated_since_ms, now_ms)
        by_service: dict[str, dict[str, list[Task]]] = {}
        for task in waiting.values():
            if task.name not in self._stopping and now_ms >= task.not_before_ms:
                jobs = by_service.setdefault(task.job.queue.service, {})
                jobs.setdefault(task.job.spec.job, []).append(task)
        self.demand_cpu_milli = 0
        self.shortage = Shortage()
        self._places.held.clear()
        for service, jobs in by_service.items():
            self._place_service(service, jobs, now_ms)
        pause_ms = ROUND_PAUSE_PER_TASK_MS * max(0, len(waiting) - TASKS_WITHOUT_PAUSE)
        self._next_round_ms = now_ms + min(pause_ms, MAX_ROUND_PAUSE_MS)
        if all(name in self._places.held for name in waiting):
            # Tasks that wait for their near rack by decision are no sign of a lack of capacity.
            self._saturated_since_ms = float("inf")

    def tick(self, now_ms: float) -> None:
        """End ejections whose time is over, and check for growth of the fleet's capacity."""
        # Without slowness samples, upstreams are not ejected for being slow.
        self._outliers.tick({}, now_ms)
        self._check_capacity_growth(now_ms)

    def _place_service(self, service: str, jobs: dict[str, list[Task]], now_ms: float) -> None:
        views = self._find_usable(service, now_ms)
        rate = self._estimate_start_rate(views, now_ms)
        slowness = _median([view.report.slowness for view in views])
        waiting = [self._summarize_job(tasks, slowness) for tasks in jobs.values()]
        planned = plan(waiting, rate, now_ms, self.sharing)
        pool = self._make_pool(views, now_ms)
        # Late jobs that have started come first: little of their work remains, and abandoning them
        # would waste the work already done.
        started = [name for name in planned.late if jobs[name][0].job.started]
        self._places.begin_round(pool, bool(self._probing), now_ms)
        self._start_tasks([task for name in started for task in jobs[name]], pool, now_ms)
        timely = [task for name in planned.timely for task in jobs[name]]
        self._start_tasks(timely, pool, now_ms, timely=True)
        self.demand_cpu_milli += sum(
            task.resources.cpu_milli
            for name in [*started, *planned.timely]
            for task in jobs[name]
            if task.view is None
        )
        rest = [*planned.late, *planned.infeasible]
        late = [task for name in rest for task in jobs[name] if task.view is None]
        self._start_tasks(late, pool, now_ms, require_reserve=True)
        self.shortage = self.shortage.plus(measure_shortage(rest, jobs, views))
        if planned.infeasible:
            # The round may follow the first report of an upstream, before the next tick.
            self._check_capacity_growth(now_ms)
        if now_ms >= self._refuse_after_ms:
            self._refuse_infeasible(planned, jobs, waiting, rate, views, now_ms)

    def _refuse_infeasible(
        self,
        planned: Plan,
        jobs: Mapping[str, list[Task]],
        waiting: list[WaitingJob],
        rate: float,
        views: list[AgentView],
        now_ms: float,
    ) -> None:
        """Refuse the infeasible jobs of ``planned`` that have not started.

        A job that can still end before its expiry time is refused only if there are usable
        upstreams and tasks have been waiting for `MIN_SATURATION_MS`.
        """
        saturated = views and now_ms - self._saturated_since_ms >= MIN_SATURATION_MS
        for name in planned.infeasible:
            job = jobs[name][0].job
            chain_ms = job.timing.chain_ms * self._durations.correction(job.queue.name)
            expired = now_ms + chain_ms > job.timing.expiry_ms
            if job.started or not (saturated or expired):
                continue
            cause = planned.displaced.get(name, RefusalCause.ROOM)
            wait_ms = sum(each.work for each in waiting) / max(rate, 1e-6)
            retry_ms = retry_after_ms(wait_ms, self._rng.random())
            self._log(
                "no room for a job",
                job=name,
                queue=job.queue.name,
                priority=job.queue.priority,
                size=job.size.value,
                reason=cause.value,
                backlog_ms=round(wait_ms),
                rate=round(rate, 1),
                waiting_jobs=len(waiting),
                upstreams=len(views),
                retry_after_ms=round(retry_ms),
            )
            refusal = JobRefused("no room in time", retry_ms, True, cause.value)
            self._refuse(job, refusal, now_ms)

    def _make_pool(self, views: list[AgentView], now_ms: float) -> CandidatePool:
        """Return the candidates for placement: the active upstreams.

        Upstreams that may be probed are stored in ``_probing`` instead.
        """
        health = {view.upstream: self._outliers.health(view.upstream) for view in views}
        active = [view for view in views if health[view.upstream] is Health.ACTIVE]
        self._probing = [
            Candidate.from_view(view)
            for view in views
            if health[view.upstream] is Health.PROBING and self._may_probe(view, now_ms)
        ]
        return CandidatePool([Candidate.from_view(view) for view in active], self._rng)

    def _estimate_start_rate(self, views: list[AgentView], now_ms: float) -> float:
        """Return the expected rate of started work, in core-milliseconds per millisecond.

        If tasks have been waiting throughout the last `RATE_WINDOW_MS`, this is the rate measured
        in that window. Otherwise it is this entry's equal share of the capacity of the upstreams,
        or the measured rate if that is higher.
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

    def _summarize_job(self, tasks: list[Task], slowness: float) -> WaitingJob:
        """Return the input of the plan for the waiting ``tasks`` of one job.

        ``slowness`` is the slowness expected of the upstreams that will run them.
        """
        job = tasks[0].job
        steps = [job.spec.steps[task.step] for task in tasks]
        correction = self._durations.correction(job.queue.name)
        remaining_ms = max(step.estimate_ms for step in steps) * correction * slowness
        if len(job.spec.steps) > 1:
            # The whole critical path, also when some steps are done. The slowness counts only
            # beside a correction, which was measured relative to it.
            remaining_ms = job.timing.chain_ms * (
                1.0 if correction == 1.0 else correction * slowness
            )
        work = sum(self._estimate_work(job, step) for step in steps)
        claim = Claim(job.queue.name, job.queue.priority, job.size)
        return WaitingJob(
            job.spec.job, job.timing, remaining_ms, work, job.value, job.started, claim, len(tasks)
        )

    def _estimate_work(self, job: Job, step: StepSpec) -> float:
        """Return the expected work of one task of ``step``, in core-milliseconds."""
        expected_ms = step.estimate_ms * self._durations.correction(job.queue.name)
        return expected_ms * step.resources.cpu_milli / 1000

    def _start_tasks(
        self,
        tasks: list[Task],
        pool: CandidatePool,
        now_ms: float,
        timely: bool = False,
        require_reserve: bool = False,
    ) -> None:
        """Start ``tasks`` on upstreams; with ``timely``, where they are expected to end in time.

        Tasks without such an upstream stay waiting. With ``require_reserve``, tasks start only
        on upstreams with at least ``RESERVE_SHARE`` of their CPU free.
        """
        for task in self._places.order(tasks):
            step = task.job.spec.steps[task.step]
            if not self._probing and not pool.may_fit(step.resources):
                continue
            excluded = self._find_with_suspects(now_ms) if self.must_run_apart(task, now_ms) else ()
            if step.max_per_upstream:
                excluded = {*excluded, *self._places.find_full(task)}
            requirements = TaskRequirements(
                step,
                task.avoid,
                (task.job.timing.due_ms if timely else float("inf")) - now_ms,
                require_reserve,
                excluded,
                self._durations.correction(task.job.queue.name),
            )
            task.near = None
            if step.has_place():
                candidate = self._places.find(
                    task, requirements, lambda probed: self._claim_probe(probed, now_ms)
                )
            else:
                candidate = self._claim_probe(requirements, now_ms) or pool.find(requirements)
            if candidate is not None:
                pool.allocate(candidate, step.resources)
                self._places.on_start(task, candidate, now_ms)
                self._start_run(task, candidate, now_ms)
                work = self._estimate_work(task.job, step)
                self.sharing.add_start(task.job.queue.name, work, now_ms)

    def must_run_apart(self, task: Task, now_ms: float) -> bool:
        """Return whether ``task`` is a suspect that may not run beside another one yet.

        After the loss of many upstreams there may be more suspects than upstreams, so none waits
        for one of its own for longer than `MAX_APART_MS`.
        """
        since_ms = max(task.lost_ms, task.job.timing.arrived_ms)
        return now_ms - since_ms < MAX_APART_MS and self._crashes.count(task.name, now_ms) > 0

    def _find_with_suspects(self, now_ms: float) -> set[UpstreamId]:
        """Return the upstreams that run a suspect, as far as it is known here."""
        running = {
            task.view.upstream
            for task in self._runs.values()
            if task.view is not None and self._crashes.count(task.name, now_ms)
        }
        refusing = {
            view.upstream for view in self._sessions.views() if now_ms < view.no_suspects_until_ms
        }
        return running | refusing

    def _claim_probe(self, requirements: TaskRequirements, now_ms: float) -> Candidate | None:
        """Return an upstream for which the task serves as the probe, or None.

        The upstream is not offered for another probe in this round.
        """
        for candidate in self._probing:
            if requirements.accepts(candidate):
                self._probing.remove(candidate)
                self._outliers.on_probe(candidate.view.upstream, now_ms)
                return candidate
        return None

    def _check_capacity_growth(self, now_ms: float) -> None:
        """Suspend refusals while upstreams are still registering, as after a start of the fleet."""
        views = self._sessions.views()
        capacity = sum(view.report.capacity.cpu_milli for view in views if view.upstream)
        if capacity > CAPACITY_GROWTH_FACTOR * self._capacity:
            self._refuse_after_ms = now_ms + CAPACITY_GROWTH_GRACE_MS
        self._capacity = capacity

    def _find_usable(self, service: str, now_ms: float) -> list[AgentView]:
        return [
            view
            for view in self._sessions.views()
            if view.is_usable(service, self.zones_out, now_ms)
        ]

    def _may_probe(self, view: AgentView, now_ms: float) -> bool:
        if self._outliers.health(view.upstream) is not Health.PROBING:
            return False
        running = sum(1 for task in self._runs.values() if task.view is view)
        # All tasks are tasks of jobs here; the delay for them (``single=False``) isn't applied.
        return self._outliers.may_probe(view.upstream, running, now_ms)

    def should_move(self, task: Task, view: AgentView, slow: RunSlow, now_ms: float) -> bool:
        """Return whether a slow run should be stopped and its task started on another upstream.

        The duration elsewhere is estimated from the progress of the run and from the slowness of
        the two upstreams.
        """
        usable = self._find_usable(task.job.queue.service, now_ms)
        median_slowness = _median([other.report.slowness for other in usable])
        if (
            task.moves >= MAX_MOVES
            or view.report.slowness < MIN_MOVE_SLOWNESS_RATIO * median_slowness
        ):
            return False
        nominal_ms = (slow.elapsed_ms + slow.left_ms) / view.report.slowness
        elsewhere_ms = min(
            (
                nominal_ms * other.slowness
                for other in self._find_elsewhere(task, view, usable)
                if task.resources.fits(other.available)
            ),
            default=float("inf"),
        )
        return slow.left_ms >= MIN_MOVE_SPEEDUP * elsewhere_ms

    def decide_departure(
        self, task: Task, view: AgentView, slow: RunSlow, now_ms: float
    ) -> Move | Stay:
        """Decide whether to stop a run that is projected to outlast its upstream's departure."""
        usable = self._find_usable(task.job.queue.service, now_ms)
        rest = self._summarize_job([task], _median([each.report.slowness for each in usable]))
        is_restart_useful = rest.latest_useful_start_ms() >= now_ms + STOP_MS
        run = LeavingRun.from_report(task, view, slow, task.moves < MAX_MOVES, is_restart_useful)
        elsewhere = self._find_elsewhere(task, view, usable)
        return self._departures.decide(run, elsewhere, self.demand_cpu_milli)

    def _find_elsewhere(
        self, task: Task, view: AgentView, usable: list[AgentView]
    ) -> list[Candidate]:
        """Return the upstreams other than that of ``view`` that could run ``task`` when free."""
        step = task.job.spec.steps[task.step]
        return [
            Candidate.from_view(other)
            for other in usable
            if other is not view
            and other.upstream not in task.avoid
            and self._outliers.health(other.upstream) is Health.ACTIVE
            and may_run(other, step, other.report.capacity)
        ]

    def record_start(self, job: Job, step: StepSpec, now_ms: float) -> None:
        """Add the start of a task of ``step`` to the measured rate of started work."""
        self._rate.add(self._estimate_work(job, step), now_ms)

    def record_job_end(self, job: Job, outcome: JobOutcome, now_ms: float) -> None:
        """Add the outcome of a job that was completed or refused for lack of capacity."""
        completed = isinstance(outcome, JobEnded) and outcome.state is JobState.COMPLETED
        if completed or (isinstance(outcome, JobRefused) and outcome.busy):
            in_time = completed and now_ms <= job.timing.due_ms
            self.sharing.add_outcome(job.queue.name, job.size, in_time, now_ms)

    def record_run_end(self, task: Task, view: AgentView, how: RunEnd, now_ms: float) -> None:
        """Update the health of the upstream after the end of a run.

        Only ends that say something about the upstream count: done, failed and stalled.
        """
        self._departures.on_run_end(task.name)
        upstream = view.upstream
        if not upstream or how not in (RunEnd.DONE, RunEnd.FAILED, RunEnd.STALLED):
            return
        self._outliers.add(upstream)
        # Failures are compared within a queue instead of a service; the key is the job id.
        self._outliers.on_end(
            upstream,
            ServiceName(task.job.queue.name),
            ScopedKey(task.job.spec.job),
            how is RunEnd.DONE,
            now_ms,
        )


def _median(values: list[float]) -> float:
    """Return the lower median of ``values``, or 1.0 if there are none."""
    return median_low(values) if values else 1.0
