"""Jobs of several tasks, and the queues that they are submitted to.

This is the product's own model: it holds what a job asks for, not how any protocol spells it.
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
"""Numbers the starts of one task, from 1."""


class RunEnd(Enum):
    """How one run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """The lease at the upstream expired."""
    LOST = "lost"
    """The upstream or its agent is gone, and the run with it."""
    STALLED = "stalled"
    """The agent stopped the run because it made no progress."""
    REJECTED = "rejected"
    """The run never started."""


class Room(msgspec.Struct, array_like=True, frozen=True):
    """What a task occupies on an upstream: thousandths of a core, MB and whole accelerators."""

    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def fits(self, room: Room) -> bool:
        """Return whether ``room`` has space for this."""
        return (
            self.cpu_milli <= room.cpu_milli
            and self.memory_mb <= room.memory_mb
            and self.gpus <= room.gpus
        )

    def plus(self, other: Room) -> Room:
        """Return the sum."""
        return Room(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: Room) -> Room:
        """Return the difference; parts of it may be negative."""
        return Room(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )


@dataclass(frozen=True, slots=True)
class StepSpec:
    """One step of a job: ``count`` equal tasks, started after the steps in ``after`` are done.

    ``estimate_ms`` is the client's rough estimate of one task's duration. ``label`` is one that an
    upstream must have, or empty. ``unsupported`` names a property of the step that this version
    can't honour; a job with such a step is refused.
    """

    count: int
    resources: Room
    estimate_ms: float
    after: tuple[int, ...] = ()
    label: str = ""
    near_rack: str = ""
    max_per_upstream: int = 0
    unsupported: str = ""


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted.

    ``kept`` asks that the job outlives the processes of the system; otherwise its answer is the
    answer to its submission.
    """

    job: JobId
    specification: str
    steps: tuple[StepSpec, ...]
    kept: bool = True
    unsupported: str = ""

    def find_unsupported(self) -> str:
        """Return what this version can't honour, or an empty string."""
        if self.kept:
            return "jobs that are kept"
        return self.unsupported or next((s.unsupported for s in self.steps if s.unsupported), "")

    def chain_ms(self) -> float:
        """Return the estimated duration of the longest chain of dependent steps."""
        ends: list[float] = []
        for step in self.steps:
            ends.append(step.estimate_ms + max((ends[i] for i in step.after), default=0.0))
        return max(ends, default=0.0)


@dataclass(frozen=True, slots=True)
class Queue:
    """Where jobs of one kind arrive. ``priority`` 0 is the most urgent.

    A job's objective is ``stretch`` times its longest chain of work plus ``latency_ms``.
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
    """The queues in force. ``revision`` orders catalogs; a process never goes back to a lower."""

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
        """Return the queue with the longest prefix of ``path`` at ``host``, or None."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None


class JobState(Enum):
    """How a job that isn't kept ended."""

    COMPLETED = "completed"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class JobEnded:
    """The job ran to its end."""

    state: JobState
    reason: str = ""


@dataclass(frozen=True, slots=True)
class JobRefused:
    """No task of the job has started or will; the client may come back after ``retry_after_ms``.

    ``busy`` tells a lack of room from a request that can't be served by this process at all.
    """

    reason: str
    retry_after_ms: float
    busy: bool = False


@dataclass(frozen=True, slots=True)
class JobUnknown:
    """Tasks may have run, and the job was given up; sending it again runs it from its start."""

    reason: str


JobOutcome = JobEnded | JobRefused | JobUnknown
