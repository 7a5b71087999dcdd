"""Placement policies, and the agent state on which they select an agent for a task."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from .message import Load, Resources
from .view import AgentView

# One-way network latency assumed to an agent in another availability zone.
ZONE_DISTANCE_MS = 1.0


@dataclass(frozen=True, slots=True)
class Binding:
    """Rules for binding a task to an agent early or late.

    ``queue`` is the number of tasks that an entry may grant to an agent beyond its free slots, as
    far as the entry can see: 0 is late binding, more is early binding. ``fair_share_queue`` is the
    same limit for an entry that uses less than an equal share of the slots. Without it, an entry
    that receives the report of a free slot later than the entry whose task just ended there would
    never get the slot.

    ``bulk_reserve`` is the share of slots on the faster half of the upstreams that bulk jobs leave
    to shorter work; ``overload_reserve`` replaces it while the entry is overloaded.
    """

    queue: int = 0
    fair_share_queue: int = 1
    bulk_reserve: float = 0.38
    overload_reserve: float = 0.13


@dataclass(slots=True)
class AgentState:
    """State of an agent, including the work that this entry has granted to it.

    ``own`` is the number of this entry's grants whose end has not been reported, ``others`` the
    part of the reported load that stems from other entries, and ``last_grant`` the sequence number
    of the latest grant. The ``used_`` fields sum up the resources of this entry's grants.
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
        """Return the number of tasks running or queued at the agent, as seen by this entry."""
        return self.own + self.others

    def report(self, load: Load, now_ms: float) -> None:
        """Update ``others`` from the load reported by the agent.

        Grants sent within the last round trip had not reached the agent when it reported, so they
        are not subtracted from the reported load.
        """
        horizon_ms = now_ms - 2 * self.distance_ms - 0.5
        arrived = self.own - sum(sent > horizon_ms for sent in self._sent_ms)
        self.others = max(0, load.busy + load.queued - max(0, arrived))
        self.reported_at_ms = now_ms

    def begin(self, resources: Resources, number: int, now_ms: float) -> None:
        """Add a grant to the entry's own work on the agent."""
        self.own += 1
        self.last_grant = number
        self._sent_ms.append(now_ms)
        self._use(resources, 1)

    def end(self, resources: Resources) -> None:
        """Remove a grant that has ended from the entry's own work on the agent."""
        self.own -= 1
        self._use(resources, -1)

    def may_grant(self, binding: Binding, entries: int, reserve: float = 0.0) -> bool:
        """Return whether the agent's load allows another grant by this entry.

        ``entries`` is the number of entries that share the agent's slots. ``reserve`` is the share
        of slots to keep free if the upstream is in the faster half.
        """
        slots = self.view.slots
        if self.is_fast:
            slots -= int(slots * reserve)
        load = self.own + self.others
        if load < slots + binding.queue:
            return True
        return self.own * entries < slots and load < slots + binding.fair_share_queue

    def has_free_resources(self, resources: Resources) -> bool:
        """Return whether the VM has ``resources`` free besides those of this entry's grants."""
        if not (resources.cores or resources.memory_mb or resources.accelerators):
            return True
        return self.view.has_capacity_for(
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
    """An agent that can be granted the task now. Times are in milliseconds.

    ``rack_share`` is the fraction of the job's running tasks that are on the agent's rack.
    """

    state: AgentState
    expected_ms: float
    excess_failure_rate: float = 0.0
    rack_share: float = 0.0

    def time_to_result_ms(self) -> float:
        """Return the expected time until the result arrives.

        The wait at the agent is the queue divided evenly among its slots. The total time is
        divided by the cube of 1 minus the excess failure rate, because failing upstreams look fast;
        the floor of 0.05 bounds this penalty.
        """
        slots = self.state.view.slots
        ahead = max(0, self.state.load() + 1 - slots)
        time_ms = 2 * self.state.distance_ms + self.expected_ms * (1 + ahead / slots)
        if self.excess_failure_rate:
            time_ms /= max(0.05, 1 - self.excess_failure_rate) ** 3
        return time_ms


@dataclass(frozen=True, slots=True)
class ExpectedFinish:
    """Policy that selects the agent with the earliest expected result.

    ``sample`` is the number of agents sampled at random for a decision; 0 considers all. A random
    share of up to twice ``tolerance`` is added to each cost, so that entries with the same view do
    not all select the same agent. ``spread`` is the relative cost added to an agent whose rack has
    all running tasks of the job; it spreads jobs over racks.
    """

    binding: Binding = field(default_factory=Binding)
    sample: int = 16
    tolerance: float = 0.05
    spread: float = 0.3


@dataclass(frozen=True, slots=True)
class Scored:
    """Policy that selects the agent with the lowest ``score``; used to benchmark policies."""

    name: str
    score: Callable[[Option], float]
    binding: Binding = field(default_factory=Binding)
    sample: int = 0


Policy = ExpectedFinish | Scored


def choose(policy: Policy, options: Sequence[Option], rng: Random) -> Option | None:
    """Return the option selected by ``policy``, or None if there are no options.

    ``ExpectedFinish`` randomizes the costs; agents with the same cost are selected at random.
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
                lambda o: (
                    o.time_to_result_ms() * (1 + scale * rng.random() + spread * o.rack_share)
                ),
                rng,
            )


def _lowest(options: Sequence[Option], score: Callable[[Option], float], rng: Random) -> Option:
    if len(options) == 1:
        return options[0]
    return min(options, key=lambda option: (score(option), rng.random()))
