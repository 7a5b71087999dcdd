"""Which agent gets a task: policies as data classes, and the state they choose from."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from .message import Load, Resources
from .view import AgentView

ZONE_DISTANCE_MS = 1.0


@dataclass(frozen=True, slots=True)
class Binding:
    """When a task may be granted.

    ``queue`` is the number of tasks that an entry may put on an agent beyond the slots that it
    believes free: 0 is late binding, more is early binding. ``share_queue`` is the same for an
    entry whose own work is below its equal share of the slots: without it, an entry that learns of
    a free slot later than the entry whose task just ended there would never get one.
    ``bulk_reserve`` is the share of the slots of the faster half of the upstreams that bulk jobs
    leave to shorter work, ``pressed_reserve`` the same while much work waits.
    """

    queue: int = 0
    share_queue: int = 1
    bulk_reserve: float = 0.38
    pressed_reserve: float = 0.13


@dataclass(slots=True)
class AgentState:
    """An agent with this entry's own work on it.

    ``others`` is the part of the reported load that is not this entry's work. ``own`` counts grants
    whose end has not been reported, ``last_grant`` is the number of the last one.
    """

    view: AgentView
    distance_ms: float = 0.0
    own: int = 0
    others: int = 0
    reported_at_ms: float = 0.0
    last_grant: int = 0
    is_fast: bool = False
    used_cores: float = 0.0
    used_memory_mb: int = 0
    used_accelerators: int = 0
    _sent_ms: deque[float] = field(default_factory=lambda: deque(maxlen=16))

    def load(self) -> int:
        """Return the tasks running or queued at the agent, as far as this entry knows."""
        return self.own + self.others

    def report(self, load: Load, now_ms: float) -> None:
        """Take in the load that the agent reported.

        Grants of the last round trip had not arrived when the agent reported; they are not
        subtracted from what it reported.
        """
        horizon_ms = now_ms - 2 * self.distance_ms - 0.5
        arrived = self.own - sum(sent > horizon_ms for sent in self._sent_ms)
        self.others = max(0, load.busy + load.queued - max(0, arrived))
        self.reported_at_ms = now_ms

    def begin(self, resources: Resources, number: int, now_ms: float) -> None:
        """Count a grant."""
        self.own += 1
        self.last_grant = number
        self._sent_ms.append(now_ms)
        self._use(resources, 1)

    def end(self, resources: Resources) -> None:
        """Count the end of a grant."""
        self.own -= 1
        self._use(resources, -1)

    def is_open(self, binding: Binding, homes: int, reserve: float = 0.0) -> bool:
        """Return whether this entry, one of ``homes``, may grant another task now.

        ``reserve`` is the share of the slots to leave free if the upstream is a fast one.
        """
        slots = self.view.slots
        if self.is_fast:
            slots -= int(slots * reserve)
        load = self.own + self.others
        if load < slots + binding.queue:
            return True
        return self.own * homes < slots and load < slots + binding.share_queue

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

    def _use(self, resources: Resources, sign: int) -> None:
        self.used_cores += sign * resources.cores
        self.used_memory_mb += sign * resources.memory_mb
        self.used_accelerators += sign * resources.accelerators


@dataclass(slots=True)
class Option:
    """An agent that may get the task now. Times are in milliseconds.

    ``rack_share`` is the part of the job's running tasks that are on the agent's rack.
    """

    state: AgentState
    expected_ms: float
    failure_rate: float = 0.0
    rack_share: float = 0.0

    def finish_ms(self) -> float:
        """Return the expected time until the result is here.

        The wait at the agent is the share of the queue that each slot has to work off. Failing
        upstreams are charged by the cube of their success rate, since they look fast.
        """
        slots = self.state.view.slots
        ahead = max(0, self.state.load() + 1 - slots)
        time_ms = 2 * self.state.distance_ms + self.expected_ms * (1 + ahead / slots)
        if self.failure_rate:
            time_ms /= max(0.05, 1 - self.failure_rate) ** 3
        return time_ms


@dataclass(frozen=True, slots=True)
class ExpectedFinish:
    """The agent whose result is expected first, among ``sample`` random ones (0: all).

    Costs within ``tolerance`` of each other are equal and chosen from at random. ``spread`` is the
    share of its cost that a rack is charged if it has all running tasks of the job.
    """

    binding: Binding = field(default_factory=Binding)
    sample: int = 16
    tolerance: float = 0.05
    spread: float = 0.3


@dataclass(frozen=True, slots=True)
class Scored:
    """The agent with the lowest ``score``; for comparisons of policies in the bench."""

    name: str
    score: Callable[[Option], float]
    binding: Binding = field(default_factory=Binding)
    sample: int = 0


Policy = ExpectedFinish | Scored


def choose(policy: Policy, options: Sequence[Option], rng: Random) -> Option | None:
    """Return the option that ``policy`` prefers, or None to let the task wait.

    Ties are broken at random, so that several entries with the same view do not all choose the
    same agent.
    """
    if not options:
        return None
    match policy:
        case Scored(score=score):
            return _lowest(options, score, rng)
        case ExpectedFinish(tolerance=tolerance, spread=spread):
            scale = 2 * tolerance
            return _lowest(
                options,
                lambda o: o.finish_ms() * (1 + scale * rng.random() + spread * o.rack_share),
                rng,
            )


def _lowest(options: Sequence[Option], score: Callable[[Option], float], rng: Random) -> Option:
    if len(options) == 1:
        return options[0]
    return min(options, key=lambda option: (score(option), rng.random()))
