"""A job and its tasks while an entry owns them."""

from __future__ import annotations

from dataclasses import dataclass, field

from .agentview import AgentView
from .ids import UpstreamId
from .job import JobSpec, Queue, Room
from .jobqueue import Timing


@dataclass(slots=True)
class Task:
    """A task of a job. ``attempt`` numbers its latest start, 0 if there was none."""

    job: Job
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

    @property
    def room(self) -> Room:
        """What the task occupies on an upstream."""
        return self.job.spec.steps[self.step].resources


@dataclass(slots=True, eq=False)
class Job:
    """A job, the requests that wait for its outcome, and the tasks of each step."""

    spec: JobSpec
    queue: Queue
    timing: Timing
    requests: list[int]
    tasks: list[list[Task]]
    ended: bool = False
    started: bool = False
    work: float = 0.0
    value: float = 1.0

    def step_done(self, step: int) -> bool:
        """Return whether every task of the step is done."""
        return all(task.done for task in self.tasks[step])
