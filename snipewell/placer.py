"""Placement of waiting tasks by one entry, without any I/O.

The plan of `jobqueue` says in which order jobs are served and which are refused; `matching` says
where a task starts. This module knows what it takes to ask them: the upstreams that may be used,
the rate of starts, and the health of upstreams.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Mapping
from random import Random
from statistics import median_low

from .agentsession import AgentSessions
from .agentview import AgentView
from .ids import ScopedKey, ServiceName
from .job import JobRefused, RunEnd, StepSpec
from .jobqueue import RATE_WINDOW_MS, StartRate, Waiting, plan, retry_after_ms
from .jobstate import Job, Task
from .matching import Candidate, Pool, Search, may_run
from .order import RunSlow
from .outlier import Health, OutlierDetector

SATURATED_MS = 300.0
"""Time for which tasks must have waited before the plan refuses jobs: a shorter wait is a chance
meeting of jobs, and the rate of starts isn't known yet."""
FEW_TASKS = 20
ROUND_MS = 0.05
MAX_ROUND_MS = 5.0
"""Pause before the next round for each task beyond ``FEW_TASKS`` that one left waiting, about five
times what the round took for it, and the longest such pause: a tenth of what callers leave for
dispatch."""
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


class Placer:
    """Places the tasks of one entry.

    ``start`` is called for each task to start, ``refuse`` for each job to refuse, and ``note`` with
    the text and the fields of each decision to log. ``runs`` are the runs in progress; ``stopping``
    has the names of tasks with a run that is being stopped, which may not start yet.
    """

    def __init__(
        self,
        sessions: AgentSessions,
        runs: Mapping[tuple[str, int], Task],
        stopping: Container[str],
        rng: Random,
        start: Callable[[Task, Candidate, float], None],
        refuse: Callable[[Job, JobRefused, float], None],
        note: Callable[..., None],
    ) -> None:
        self.zones_out: frozenset[str] = frozenset()
        self.wanted = 0
        """Thousandths of a core that the tasks need which wait for room and should start now."""
        self._sessions = sessions
        self._runs = runs
        self._stopping = stopping
        self._rng = rng
        self._start_run = start
        self._refuse = refuse
        self._note = note
        self._outliers = OutlierDetector(rng)
        self._probing: list[Candidate] = []
        self._next_round_ms = float("-inf")
        self._rate = StartRate()
        self._capacity = 0
        self._refuse_after_ms = float("-inf")
        self._saturated_since_ms = float("inf")

    def place(self, waiting: Mapping[str, Task], now_ms: float) -> None:
        """Start the ``waiting`` tasks that may start, and refuse what can't be served any more.

        ``start`` takes a task out of ``waiting``.
        """
        if not waiting:
            self._saturated_since_ms = float("inf")
            self.wanted = 0
            return
        if now_ms < self._next_round_ms:
            return
        self._saturated_since_ms = min(self._saturated_since_ms, now_ms)
        by_service: dict[str, dict[str, list[Task]]] = {}
        for task in waiting.values():
            if task.name not in self._stopping and now_ms >= task.not_before_ms:
                jobs = by_service.setdefault(task.job.queue.service, {})
                jobs.setdefault(task.job.spec.job, []).append(task)
        self.wanted = 0
        for service, jobs in by_service.items():
            self._place_service(service, jobs, now_ms)
        pause_ms = ROUND_MS * max(0, len(waiting) - FEW_TASKS)
        self._next_round_ms = now_ms + min(pause_ms, MAX_ROUND_MS)
        if not waiting:
            self._saturated_since_ms = float("inf")

    def tick(self, now_ms: float) -> None:
        """Do what time demands: ejections that end, a fleet that grows."""
        self._outliers.tick({}, now_ms)
        self._watch_growth(now_ms)

    def _place_service(self, service: str, jobs: dict[str, list[Task]], now_ms: float) -> None:
        views = self._find_usable(service, now_ms)
        rate = self._expect_rate(views, now_ms)
        slowness = _median([view.report.slowness for view in views])
        waiting = [self._describe(tasks, slowness) for tasks in jobs.values()]
        planned = plan(waiting, rate, now_ms)
        pool = self._make_pool(views, now_ms)
        # What is left of a job that has started is small, and what was done for it would be lost.
        started = [name for name in planned.late if jobs[name][0].job.started]
        for name in started:
            self._start_tasks(jobs[name], pool, now_ms)
        for name in planned.timely:
            due_ms = jobs[name][0].job.timing.due_ms
            self._start_tasks(jobs[name], pool, now_ms, due_ms)
        self.wanted += sum(
            task.room.cpu_milli
            for name in [*started, *planned.timely]
            for task in jobs[name]
            if task.view is None
        )
        for name in [*planned.late, *planned.hopeless]:
            rest = [task for task in jobs[name] if task.view is None]
            self._start_tasks(rest, pool, now_ms, reserve=True)
        if now_ms >= self._refuse_after_ms:
            self._refuse_hopeless(planned.hopeless, jobs, waiting, rate, views, now_ms)

    def _refuse_hopeless(
        self,
        names: list[str],
        jobs: Mapping[str, list[Task]],
        waiting: list[Waiting],
        rate: float,
        views: list[AgentView],
        now_ms: float,
    ) -> None:
        """Refuse the jobs ``names`` unless they have started or the want of room is too new."""
        lasting = views and now_ms - self._saturated_since_ms >= SATURATED_MS
        for name in names:
            job = jobs[name][0].job
            useless = now_ms + job.timing.chain_ms > job.timing.useless_ms
            if job.started or not (lasting or useless):
                continue
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
            self._refuse(job, JobRefused("no room in time", retry_ms, True), now_ms)

    def _make_pool(self, views: list[AgentView], now_ms: float) -> Pool:
        """Return the upstreams that are sound; those to be probed are kept apart."""
        health = {view.upstream: self._outliers.health(view.upstream) for view in views}
        active = [view for view in views if health[view.upstream] is Health.ACTIVE]
        self._probing = [
            Candidate.from_view(view)
            for view in views
            if health[view.upstream] is Health.PROBING and self._may_probe(view, now_ms)
        ]
        return Pool([Candidate.from_view(view) for view in active], self._rng)

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

    def _describe(self, tasks: list[Task], slowness: float) -> Waiting:
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
        tasks: list[Task],
        pool: Pool,
        now_ms: float,
        end_by_ms: float = float("inf"),
        reserve: bool = False,
    ) -> None:
        """Start ``tasks`` of one job where they end by ``end_by_ms``."""
        for task in tasks:
            step = task.job.spec.steps[task.step]
            search = Search(step, task.avoid, end_by_ms - now_ms, reserve)
            choice = self._take_probe(search, now_ms) or pool.find(search)
            if choice is not None:
                pool.take(choice, step.resources)
                self._start_run(task, choice, now_ms)

    def _take_probe(self, search: Search, now_ms: float) -> Candidate | None:
        """Return an upstream that the task may probe, which is then taken."""
        for candidate in self._probing:
            if search.accepts(candidate):
                self._probing.remove(candidate)
                self._outliers.on_probe(candidate.view.upstream, now_ms)
                return candidate
        return None

    def _watch_growth(self, now_ms: float) -> None:
        """Put refusals off while upstreams are still being found, as after a start."""
        views = self._sessions.views()
        capacity = sum(view.report.capacity.cpu_milli for view in views if view.upstream)
        if capacity > GROWTH * self._capacity:
            self._refuse_after_ms = now_ms + SETTLE_MS
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
        return self._outliers.may_probe(view.upstream, running, now_ms)

    def should_move(self, task: Task, view: AgentView, slow: RunSlow, now_ms: float) -> bool:
        """Return whether a slow run should be stopped and started elsewhere.

        The run's own progress tells its size; the slowness of the two upstreams tells the rest.
        """
        usable = self._find_usable(task.job.queue.service, now_ms)
        ordinary = _median([other.report.slowness for other in usable])
        if task.moves >= MAX_MOVES or view.report.slowness < MOVE_SLOWNESS * ordinary:
            return False
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
        return slow.left_ms >= MOVE_GAIN * elsewhere_ms

    def add_start(self, step: StepSpec, now_ms: float) -> None:
        """Take in that a task of ``step`` has been started."""
        self._rate.add(step.estimate_ms * step.resources.cpu_milli / 1000, now_ms)

    def add_end(self, task: Task, view: AgentView, how: RunEnd, now_ms: float) -> None:
        """Learn from the end of a run how sound the upstream is."""
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


def _median(values: list[float]) -> float:
    """Return the lower median of ``values``, 1.0 without any."""
    return median_low(values) if values else 1.0
