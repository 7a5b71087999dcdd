"""The agents that one entry has views of, and the agents that are eligible for a task."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from .admission import is_allowed
from .backlog import PlacementClass
from .effect import Submission
from .ids import AgentId, ServiceName, ZoneId
from .message import Candidate, Resources
from .placement import ZONE_DISTANCE_MS, AgentState
from .resource import ServiceSpec
from .view import AgentView

_SAMPLE_TTL_MS = 1_000.0
"""How long submissions with the same service and resources share one sample of agents."""
_MAX_SAMPLES = 1_024
"""Cached samples, above which the cache is cleared."""


class Fleet:
    """The agents of the cluster with this entry's work on them.

    Derived values are cached until an agent joins or leaves, a configuration is applied, or an
    attribute in `AgentView.eligibility_key` changes: a fleet has thousands of agents, whose
    heartbeats seldom change more than the load. A change of an agent's slots alone does not renew
    the cached total of slots.
    ``max_classes`` bounds the cached placement classes, ``max_candidates`` the candidate agents of
    one submission.
    """

    def __init__(self, zone: ZoneId, rng: Random, max_classes: int, max_candidates: int) -> None:
        self._zone = zone
        self._rng = rng
        self._max_classes = max_classes
        self._max_candidates = max_candidates
        self._agents: dict[AgentId, AgentState] = {}
        self._eligible: dict[PlacementClass, list[AgentState]] = {}
        self._samples: dict[tuple[ServiceName, Resources], tuple[float, list[Candidate]]] = {}
        self._vm_sizes: dict[Resources, float] = {}
        self._slots: int | None = None

    def __len__(self) -> int:
        return len(self._agents)

    def __iter__(self) -> Iterator[AgentState]:
        return iter(self._agents.values())

    def get(self, agent: AgentId) -> AgentState | None:
        """Return the state of ``agent``, or None if there is none."""
        return self._agents.get(agent)

    def update(self, view: AgentView, now_ms: float) -> None:
        """Update an agent from its view, or add it without work if it is new."""
        self._vm_sizes[view.vm_resources] = now_ms
        state = self._agents.get(view.agent)
        if state is None:
            distance_ms = 0.0 if view.zone == self._zone else ZONE_DISTANCE_MS
            state = self._agents[view.agent] = AgentState(view, distance_ms)
            self.invalidate_derived()
        elif state.view.eligibility_key() != view.eligibility_key():
            self.invalidate_derived()
        state.view = view
        state.report(view.load, now_ms)

    def remove(self, agent: AgentId) -> AgentState | None:
        """Remove ``agent`` and return its last state, or None if there was none."""
        state = self._agents.pop(agent, None)
        if state is not None:
            self.invalidate_derived()
        return state

    def invalidate_derived(self) -> None:
        """Clear the caches derived from agents' attributes and services' rules, after a change."""
        self._eligible.clear()
        self._samples.clear()
        self._slots = None

    def slots(self) -> int:
        """Return the total number of slots of the agents in service."""
        if self._slots is None:
            self._slots = sum(state.view.slots for state in self if state.view.in_service)
        return self._slots

    def vm_sizes(self, since_ms: float) -> list[Resources]:
        """Return the distinct sizes of the VMs last seen after ``since_ms``."""
        return [size for size, seen_ms in self._vm_sizes.items() if seen_ms > since_ms]

    def find_eligible(self, placement: PlacementClass) -> list[AgentState]:
        """Return the agents that may run tasks of ``placement`` once they have a free slot."""
        eligible = self._eligible.get(placement)
        if eligible is None:
            if len(self._eligible) >= self._max_classes:
                self._eligible.clear()
            names = sorted(placement.candidates - placement.excluded)
            states = [self._agents[name] for name in names if name in self._agents]
            service, resources = placement.service, placement.resources
            eligible = [state for state in states if state.view.can_run(service, resources)]
            self._eligible[placement] = eligible
        return eligible

    def candidates(
        self, submission: Submission, service: ServiceSpec | None, now_ms: float
    ) -> list[Candidate]:
        """Return the agents that may run tasks of ``submission``, a random sample if too many.

        Submissions with the same service and resources share one sample for a second, so that their
        tasks are of one placement class.
        """
        sample_key = submission.service, submission.resources
        sample = self._samples.get(sample_key)
        if sample is None or now_ms - sample[0] >= _SAMPLE_TTL_MS:
            views = [state.view for state in self if is_allowed(state.view, submission, service)]
            if len(views) > self._max_candidates:
                views = self._rng.sample(views, self._max_candidates)
            if len(self._samples) >= _MAX_SAMPLES:
                self._samples.clear()
            chosen = [Candidate(view.agent, view.incarnation) for view in views]
            sample = self._samples[sample_key] = now_ms, chosen
        return list(sample[1])
