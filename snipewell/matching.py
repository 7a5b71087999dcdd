"""Selection of an upstream for a task, without any I/O.

Among the upstreams with enough free capacity, one where the task is expected to end early is
selected. Entries share the upstreams without coordination, and the free capacity is known to each
entry only as of the last report. The selection is therefore random among upstreams that are nearly
as good: if all entries selected the best one, all starts but one would be rejected. A few upstreams
are sampled for each task, and all of them are scanned only if none of the sample fits, so the cost
of a start doesn't grow with the size of the fleet.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace
from random import Random

from .agentview import AgentView
from .ids import UpstreamId
from .job import ResourceVector, StepSpec

SLOWNESS_TOLERANCE = 0.15
"""Relative difference in slowness up to which upstreams count as equally fast: the spread of the
durations of the tasks of one job."""
REFERENCE_QUANTILE = 0.25
"""Quantile of the slowness of the upstreams that serves as the reference for a fast one. With the
fastest upstream as the reference, it would attract all tasks, since measured speeds differ a little
even among equal upstreams."""
SAMPLED_CANDIDATES = 6
"""Number of upstreams sampled for a task before all are scanned. With half of the upstreams full,
at least two of six samples have free capacity in nine of ten cases."""
RESERVE_SHARE = 0.3
"""Share of an upstream's CPU capacity that must be free before late work may start on it, so that
it rarely displaces timely work of other entries: as much as three tasks of ordinary size."""


@dataclass(slots=True, eq=False)
class Candidate:
    """An upstream in one round of placement.

    ``available`` is its free capacity less the tasks already placed on it in the round.
    """

    view: AgentView
    slowness: float
    available: ResourceVector

    @classmethod
    def from_view(cls, view: AgentView) -> Candidate:
        """Return a candidate with the free capacity known for the agent of ``view``."""
        return cls(view, view.report.slowness, view.available())

    def has_reserve(self) -> bool:
        """Return whether enough CPU is free for late work to start on the upstream."""
        return self.available.cpu_milli >= RESERVE_SHARE * self.view.report.capacity.cpu_milli


@dataclass(frozen=True, slots=True)
class TaskRequirements:
    """Requirements of a task on its upstream.

    The upstream must not be in ``avoid``, and the expected duration of the task on it must not
    exceed ``max_duration_ms``. With ``require_reserve``, at least `RESERVE_SHARE` of the CPU of the
    upstream must be free. The upstream must not be in ``excluded`` either, even if no other is
    left. It must have the label ``rack`` and must not have the label ``away_from``, if they are
    set. ``expected_factor`` is the ratio of the expected duration to the estimate on an ordinary
    upstream of the near rack, and ``duration_factor`` that of the duration there to that on the
    near rack.
    """

    step: StepSpec
    avoid: Collection[UpstreamId] = ()
    max_duration_ms: float = float("inf")
    require_reserve: bool = False
    excluded: Collection[UpstreamId] = ()
    expected_factor: float = 1.0
    rack: str = ""
    away_from: str = ""
    duration_factor: float = 1.0

    def accepts(self, candidate: Candidate) -> bool:
        """Return whether ``candidate`` meets the requirements."""
        return (
            self.step.resources.fits(candidate.available)
            and self.permits(candidate)
            and (not self.rack or self.rack in candidate.view.report.labels)
            and (not self.away_from or self.away_from not in candidate.view.report.labels)
            and self.duration_ms(candidate) <= self.max_duration_ms
            and (not self.require_reserve or candidate.has_reserve())
        )

    def permits(self, candidate: Candidate) -> bool:
        """Return whether the task may run on ``candidate``, whatever its load and its rack."""
        return (
            (not self.step.label or self.step.label in candidate.view.report.labels)
            and candidate.view.upstream not in self.avoid
            and candidate.view.upstream not in self.excluded
        )

    def duration_ms(self, candidate: Candidate) -> float:
        """Return the expected duration of the task on ``candidate``."""
        factor = self.expected_factor * self.duration_factor
        return self.step.estimate_ms * candidate.slowness * factor


def may_run(view: AgentView, step: StepSpec, available: ResourceVector) -> bool:
    """Return whether an upstream has the label that ``step`` requires and can fit one of its tasks.

    ``available`` is the capacity to compare with: the total or the free capacity of the upstream.
    """
    if step.label and step.label not in view.report.labels:
        return False
    return step.resources.fits(available)


class CandidatePool:
    """Candidate upstreams of one round of placement."""

    def __init__(self, candidates: Sequence[Candidate], rng: Random) -> None:
        self._rng = rng
        self._by_speed = sorted(candidates, key=lambda candidate: candidate.slowness)
        self._fast = self._find_fast()
        self._max_available: ResourceVector | None = None
        self._has_reserve: bool | None = None
        self._by_rack: dict[str, list[Candidate]] = {}
        self._names = {candidate.view.upstream for candidate in candidates}

    def _find_fast(self) -> list[Candidate]:
        if not self._by_speed:
            return []
        reference = self._by_speed[int(REFERENCE_QUANTILE * (len(self._by_speed) - 1))]
        limit = reference.slowness * (1 + SLOWNESS_TOLERANCE)
        return [candidate for candidate in self._by_speed if candidate.slowness <= limit]

    def find(self, requirements: TaskRequirements) -> Candidate | None:
        """Return a candidate for a task, or None if none meets the requirements.

        If the task avoids all candidates, because its runs failed, were lost or were slow there, it
        may start on any.
        """
        if not self.may_fit(requirements.step.resources):
            return None
        if requirements.avoid and self._names <= set(requirements.avoid):
            requirements = replace(requirements, avoid=())
        if requirements.rack:
            # Few upstreams are on one rack, so a sample of all would mostly miss it.
            return self._scan(requirements, self.on_rack(requirements.rack))
        drawn = (
            [self._rng.choice(self._fast) for _ in range(SAMPLED_CANDIDATES)] if self._fast else []
        )
        eligible = [candidate for candidate in drawn if requirements.accepts(candidate)][:2]
        return self._choose(eligible) or self._scan(requirements, self._by_speed)

    @property
    def candidates(self) -> Sequence[Candidate]:
        """All candidates, the fastest first."""
        return self._by_speed

    def on_rack(self, rack: str) -> Sequence[Candidate]:
        """Return the candidates with the label ``rack``, the fastest first."""
        if rack not in self._by_rack:
            self._by_rack[rack] = [
                candidate for candidate in self._by_speed if rack in candidate.view.report.labels
            ]
        return self._by_rack[rack]

    def _scan(
        self, requirements: TaskRequirements, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        eligible: list[Candidate] = []
        for candidate in candidates:
            if eligible and candidate.slowness > eligible[0].slowness * (1 + SLOWNESS_TOLERANCE):
                break
            if requirements.duration_ms(candidate) > requirements.max_duration_ms:
                break
            if requirements.accepts(candidate):
                eligible.append(candidate)
        return self._choose(self._rng.sample(eligible, min(2, len(eligible))))

    def allocate(self, candidate: Candidate, resources: ResourceVector) -> None:
        """Subtract the ``resources`` of a task that starts on ``candidate``."""
        candidate.available = candidate.available.minus(resources)
        self._max_available = None
        self._has_reserve = None

    def has_reserve(self) -> bool:
        """Return whether any candidate has enough CPU free for late work."""
        if self._has_reserve is None:
            self._has_reserve = any(candidate.has_reserve() for candidate in self._by_speed)
        return self._has_reserve

    def may_fit(self, resources: ResourceVector) -> bool:
        """Return whether ``resources`` don't exceed the maximum of each free resource."""
        return resources.fits(self._find_max_available())

    def _find_max_available(self) -> ResourceVector:
        """Return the maximum of each free resource over all candidates.

        The maxima may belong to different upstreams.
        """
        if self._max_available is None:
            available = [candidate.available for candidate in self._by_speed]
            self._max_available = ResourceVector(
                max((each.cpu_milli for each in available), default=-1),
                max((each.memory_mb for each in available), default=-1),
                max((each.gpus for each in available), default=-1),
            )
        return self._max_available

    @staticmethod
    def _choose(eligible: Sequence[Candidate]) -> Candidate | None:
        """Return the candidate with the most free CPU, or None if there is none.

        Together with the random pair this is the power-of-two-choices rule of load balancing.
        """
        return max(eligible, key=lambda candidate: candidate.available.cpu_milli, default=None)
