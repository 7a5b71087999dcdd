"""State of the jobs that an entry owns, and of their tasks."""

from __future__ import annotations

from dataclasses import dataclass, field

from .agentview import AgentView
from .ids import UpstreamId
from .job import JobSpec, Queue, ResourceVector
from .jobqueue import Timing
from .sharing import SizeClass


@dataclass(slots=True)
class Task:
    """State of one task of a job.

    ``attempt`` is the number of its latest start, 0 before the first. ``view`` is the agent session
    of the run in progress, None without one.
    """

    job: Job
    step: int
    name: str
    attempt: int = 0
    view: AgentView | None = None
    done: bool = False
    failed: int = 0
    """Number of runs that failed."""
    lost: int = 0
    """Number of runs that were lost, stopped or stalled, or whose lease expired."""
    moves: int = 0
    """Number of slow runs that were stopped to restart the task on another upstream."""
    avoid: set[UpstreamId] = field(default_factory=set)
    """Upstreams on which a run failed, was lost or was slow."""
    waiting_since_ms: float = 0.0
    lost_ms: float = float("-inf")
    """Time at which a run was last lost."""
    not_before_ms: float = float("-inf")
    """Earliest time of the next start."""

    @property
    def resources(self) -> ResourceVector:
        """Resources that a run of the task occupies on an upstream."""
        return self.job.spec.steps[self.step].resources


@dataclass(slots=True, eq=False)
class Job:
    """State of one job: the client requests that wait for its outcome, and the tasks of each step.

    ``work`` is the work of all its tasks, in core-milliseconds.
    """

    spec: JobSpec
    queue: Queue
    timing: Timing
    requests: list[int]
    tasks: list[list[Task]]
    ended: bool = False
    started: bool = False
    work: float = 0.0
    value: float = 1.0
    size: SizeClass = SizeClass.REST

    def step_done(self, step: int) -> bool:
        """Return whether all tasks of the step are done."""
        return all(task.done for task in self.tasks[step])
