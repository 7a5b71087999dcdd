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
    """Number of runs that were stopped to restart the task on another upstream."""
    moved_attempt: int = 0
    """Attempt that was last stopped in order to move the task."""
    avoid: set[UpstreamId] = field(default_factory=set)
    """Upstreams on which a run failed, was lost or was slow, or which were leaving."""
    waiting_since_ms: float = 0.0
    lost_ms: float = float("-inf")
    """Time at which a run was last lost."""
    not_before_ms: float = float("-inf")
    """Earliest time of the next start."""
    near: bool | None = None
    """Whether the latest run started on the rack of its data; None if the task names no place."""
    start_slowness: float = 1.0
    """Slowness of the upstream of the latest run in the report that preceded its start."""
    expected_end_ms: float = float("-inf")
    """Expected end of the latest run."""
    near_wait_since_ms: float | None = None
    """Time of the first decision to wait for the near rack since the latest start, or None."""
    near_wait_reason: str = ""
    """Reason of the latest logged decision to wait."""

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
    step_racks: dict[int, str] = field(default_factory=dict)
    """Rack chosen for each step with ``sameRack``, empty if its tasks are split."""
    size: SizeClass = SizeClass.REST

    def step_done(self, step: int) -> bool:
        """Return whether all tasks of the step are done."""
        return all(task.done for task in self.tasks[step])
