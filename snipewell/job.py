"""Data model of jobs of several tasks and of the queues to which they are submitted.

The model is independent of the protocols: it describes the content of a submission, not its
encoding in a particular API.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

import msgspec

from .ids import ServiceName

JobId = NewType("JobId", str)
"""The idempotency key of a job; the client chooses it."""
QueueName = NewType("QueueName", str)
Attempt = NewType("Attempt", int)
"""Number of a start of a task, counted from 1 for each task."""


class RunEnd(Enum):
    """How one run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """The lease of the run at the upstream expired."""
    LOST = "lost"
    """The upstream or its agent failed or was removed, and the run with it."""
    STALLED = "stalled"
    """The agent stopped the run because it made no progress."""
    REJECTED = "rejected"
    """The run never started."""


class ResourceVector(msgspec.Struct, array_like=True, frozen=True):
    """Amounts of resources: thousandths of a core, MB of memory and whole accelerators.

    Used for the demand of a task and for the capacity of an upstream.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def fits(self, available: ResourceVector) -> bool:
        """Return whether ``available`` covers these amounts."""
        return (
            self.cpu_milli <= available.cpu_milli
            and self.memory_mb <= available.memory_mb
            and self.gpus <= available.gpus
        )

    def plus(self, other: ResourceVector) -> ResourceVector:
        """Return the sum of each resource."""
        return ResourceVector(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: ResourceVector) -> ResourceVector:
        """Return the difference of each resource; components may be negative."""
        return ResourceVector(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )


MAX_RACK_GROUP = 256
"""Number of tasks beyond which a step is placed without regard to racks: no rack holds as many, and
the choice of racks costs time that grows faster than their number."""


@dataclass(frozen=True, slots=True)
class StepSpec:
    """One step of a job: ``count`` equal tasks that start when the steps in ``after`` are done.

    ``estimate_ms`` is the client's rough estimate of the duration of one task. ``label`` is
    required of the upstream unless it is empty. ``near_rack`` is the rack of the step's data, empty
    for none. ``max_per_upstream`` is the maximum number of its tasks on one upstream, 0 for no
    limit. ``unsupported`` names a property of the step that this version doesn't support; a job
    with such a step is refused. The tasks of a step with ``same_rack`` take longer if they run on
    more than one rack.
    """

    count: int
    resources: ResourceVector
    estimate_ms: float
    after: tuple[int, ...] = ()
    label: str = ""
    near_rack: str = ""
    max_per_upstream: int = 0
    unsupported: str = ""
    same_rack: bool = False

    def has_place(self) -> bool:
        """Return whether the duration of the tasks depends on the racks on which they run."""
        return bool(self.near_rack) or (self.same_rack and 1 < self.count <= MAX_RACK_GROUP)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted by a client.

    ``durable`` requests a durable job, which survives restarts of the processes of the system. The
    outcome of a job that is not durable is sent as the answer to its submission.
    """

    job: JobId
    specification: str
    steps: tuple[StepSpec, ...]
    durable: bool = True
    unsupported: str = ""

    def find_unsupported(self) -> str:
        """Return the property of the job that this version doesn't support, or an empty string."""
        if self.durable:
            return "jobs that are kept"
        return self.unsupported or next((s.unsupported for s in self.steps if s.unsupported), "")

    def chain_ms(self) -> float:
        """Return the estimated duration of the critical path: the longest chain of steps."""
        ends: list[float] = []
        for step in self.steps:
            ends.append(step.estimate_ms + max((ends[i] for i in step.after), default=0.0))
        return max(ends, default=0.0)


@dataclass(frozen=True, slots=True)
class Queue:
    """Route and scheduling parameters of one queue.

    ``priority`` (0 is the most urgent) is a label of metrics; scheduling uses it only with the rule
    ``priority`` of `sharing`, which is off.

    The latency objective of a job is ``stretch`` times the duration of its critical path plus
    ``latency_ms``. Submissions are routed by ``host`` and ``path_prefix``.
    """

    name: QueueName
    service: ServiceName
    host: str
    path_prefix: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency_ms: float = 0.0
    unsupported: str = ""


@dataclass(frozen=True, slots=True)
class Catalog:
    """Configuration of the queues in force.

    ``revision`` orders the catalogs; a process never replaces one by a catalog of a lower revision.
    ``version`` is the version stated in the configuration, for the log.
    """

    revision: int
    version: str
    queues: tuple[Queue, ...]
    max_body_bytes: int = 262_144
    max_header_bytes: int = 16_384
    _by_host: dict[str, list[Queue]] = field(default_factory=dict, compare=False)

    def __post_init__(self) -> None:
        for queue in self.queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of ``host`` with the longest matching prefix of ``path``, or None."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None


class JobState(Enum):
    """Final state of a job that is not durable."""

    COMPLETED = "completed"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class JobEnded:
    """Outcome of a job that ended, completed or failed; ``reason`` is the cause of a failure."""

    state: JobState
    reason: str = ""


@dataclass(frozen=True, slots=True)
class JobRefused:
    """Outcome of a job of which no task has started or will; a retry is safe.

    The client may retry after ``retry_after_ms``. ``busy`` is set if capacity was lacking, and not
    if this process can't serve the request at all. ``cause`` is then the value of a
    `sharing.RefusalCause`.
    """

    reason: str
    retry_after_ms: float
    busy: bool = False
    cause: str = ""


@dataclass(frozen=True, slots=True)
class JobUnknown:
    """Outcome of an abandoned job whose tasks may have run; a resubmission restarts it."""

    reason: str


JobOutcome = JobEnded | JobRefused | JobUnknown
