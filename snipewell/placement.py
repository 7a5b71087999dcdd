"""Which agent gets a task: policies as data classes, and the state they choose from."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from .message import Load, Resources
from .view import AgentView

ZONE_DISTANCE_MS = 1.0


@dataclass(slots=True)
class AgentState:
    """An agent with this entry's own work on it.

    ``others`` is the part of the reported load that is not this entry's work. ``own`` counts grants
    whose end has not been reported.
    """

    view: AgentView
    own: int = 0
    others: int = 0
    reported_at_ms: float = 0.0
    used_cores: float = 0.0
    used_memory_mb: int = 0
    used_accelerators: int = 0

    def load(self) -> int:
        """Return the tasks running or queued at the agent, as far as this entry knows."""
        return self.own + self.others

    def report(self, load: Load, now_ms: float) -> None:
        """Take in the load that the agent reported."""
        self.others = max(0, load.busy + load.queued - self.own)
        self.reported_at_ms = now_ms

    def use(self, resources: Resources, sign: int) -> None:
        """Count one grant (``sign`` 1) or the end of one (``sign`` -1)."""
        self.own = max(0, self.own + sign)
        self.used_cores += sign * resources.cores
        self.used_memory_mb += sign * resources.memory_mb
        self.used_accelerators += sign * resources.accelerators

    def has_room_for(self, resources: Resources) -> bool:
        """Return whether the worker has ``resources`` beside this entry's own work on it."""
        if not (resources.cores or resources.memory_mb or resources.accelerators):
            return True
        return self.view.has_room_for(
            Resources(
                self.used_cores + resources.cores,
                self.used_memory_mb + resources.memory_mb,
                self.used_accelerators + resources.accelerators,
            )
        )


@dataclass(slots=True)
class Option:
    """An agent that may get the task now. Times in milliseconds."""

    state: AgentState
    distance_ms: float
    expected_ms: float
    job_on_rack: int = 0


@dataclass(frozen=True, slots=True)
class Binding:
    """When a task may be granted: ``queue`` tasks beyond the free slots that the view shows.

    0 is late binding; a higher number is early binding with a queue at the agent.
    """

    queue: int = 0


@dataclass(frozen=True, slots=True)
class LeastInFlight:
    """The agent with the fewest tasks for its slots."""

    binding: Binding = field(default_factory=Binding)


@dataclass(frozen=True, slots=True)
class Scored:
    """The agent with the lowest ``score``; for comparisons of policies in the bench."""

    name: str
    score: Callable[[Option], float]
    binding: Binding = field(default_factory=Binding)


Policy = LeastInFlight | Scored


def choose(policy: Policy, options: Sequence[Option], rng: Random) -> Option | None:
    """Return the option that ``policy`` prefers, or None without options.

    Ties are broken at random, so that several entries with the same view do not choose alike.
    """
    if not options:
        return None
    match policy:
        case LeastInFlight():
            return _lowest(((o.state.load() / o.state.view.slots, o) for o in options), rng)
        case Scored(score=score):
            return _lowest(((score(o), o) for o in options), rng)


def _lowest(scored: Iterable[tuple[float, Option]], rng: Random) -> Option:
    return min(scored, key=lambda pair: (pair[0], rng.random()))[1]
