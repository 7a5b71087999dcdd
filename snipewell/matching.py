"""Which upstream gets a task, without any I/O.

Among the upstreams with room, one where the task is expected to end early is taken. Entries share
the upstreams without asking each other, and each knows their room only as of the last reports, so
the choice is made at random among those that are nearly as good: if all entries took the best one,
all but one would be rejected. A task looks at a few upstreams, and at all of them only if none of
those has room, so the cost of a start doesn't grow with the fleet.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from random import Random

from .agentview import AgentView
from .ids import UpstreamId
from .job import Room, StepSpec

NEAR_SHARE = 0.15
"""Upstreams within this share of a good one's slowness count as equally good; it is the spread of
the durations of one job's tasks."""
GOOD_QUANTILE = 0.25
"""Part of the upstreams of which the slowest sets what is good. The very fastest one would draw all
tasks to itself, since measured speeds differ a little among equal upstreams."""
DRAWS = 6
"""Upstreams that a task looks at before it looks at all: with half of them full, two of six draws
find room in nine of ten cases."""
RESERVE_SHARE = 0.3
"""Share of an upstream's processors that work which is late leaves free, so that it doesn't take
the room of timely work that other entries have: as much as three tasks of ordinary size."""


@dataclass(slots=True, eq=False)
class Candidate:
    """An agent in one round of placement; ``room`` is what the round has left of its room."""

    view: AgentView
    slowness: float
    room: Room

    @classmethod
    def from_view(cls, view: AgentView) -> Candidate:
        """Return the candidate with the room of its last report."""
        return cls(view, view.report.slowness, view.room())

    def has_reserve(self) -> bool:
        """Return whether work that is late may use the upstream."""
        return self.room.cpu_milli >= RESERVE_SHARE * self.view.report.capacity.cpu_milli


@dataclass(frozen=True, slots=True)
class Search:
    """What a task asks of an upstream.

    It may not be in ``avoid``, and the task should end there within ``left_ms``. With ``reserve``,
    part of the upstream must stay free for others.
    """

    step: StepSpec
    avoid: Collection[UpstreamId] = ()
    left_ms: float = float("inf")
    reserve: bool = False

    def accepts(self, candidate: Candidate) -> bool:
        """Return whether the task may start there."""
        return (
            self.step.resources.fits(candidate.room)
            and (not self.step.label or self.step.label in candidate.view.report.labels)
            and self.step.estimate_ms * candidate.slowness <= self.left_ms
            and candidate.view.upstream not in self.avoid
            and (not self.reserve or candidate.has_reserve())
        )


def may_run(view: AgentView, step: StepSpec, room: Room) -> bool:
    """Return whether the upstream has the step's label and ``room`` for one of its tasks."""
    if step.label and step.label not in view.report.labels:
        return False
    return step.resources.fits(room)


class Pool:
    """The upstreams that one round of placement may use."""

    def __init__(self, candidates: Sequence[Candidate], rng: Random) -> None:
        self._rng = rng
        self._by_speed = sorted(candidates, key=lambda candidate: candidate.slowness)
        self._good = self._find_good()
        self._largest: Room | None = None
        self._names = {candidate.view.upstream for candidate in candidates}

    def _find_good(self) -> list[Candidate]:
        if not self._by_speed:
            return []
        reference = self._by_speed[int(GOOD_QUANTILE * (len(self._by_speed) - 1))]
        limit = reference.slowness * (1 + NEAR_SHARE)
        return [candidate for candidate in self._by_speed if candidate.slowness <= limit]

    def find(self, search: Search) -> Candidate | None:
        """Return the candidate for a task, or None if none has room for it.

        A task that has failed on all of them may start on any.
        """
        if not search.step.resources.fits(self._find_largest()):
            return None
        if search.avoid and self._names <= set(search.avoid):
            search = Search(search.step, (), search.left_ms, search.reserve)
        drawn = [self._rng.choice(self._good) for _ in range(DRAWS)] if self._good else []
        able = [candidate for candidate in drawn if search.accepts(candidate)][:2]
        return self._choose(able) or self._scan(search)

    def _scan(self, search: Search) -> Candidate | None:
        able: list[Candidate] = []
        for candidate in self._by_speed:
            if able and candidate.slowness > able[0].slowness * (1 + NEAR_SHARE):
                break
            if search.step.estimate_ms * candidate.slowness > search.left_ms:
                break
            if search.accepts(candidate):
                able.append(candidate)
        return self._choose(self._rng.sample(able, min(2, len(able))))

    def take(self, candidate: Candidate, room: Room) -> None:
        """Take in that a task which occupies ``room`` starts at ``candidate``."""
        candidate.room = candidate.room.minus(room)
        self._largest = None

    def _find_largest(self) -> Room:
        """Return the most free room of each sort, which no upstream need have of all sorts."""
        if self._largest is None:
            rooms = [candidate.room for candidate in self._by_speed]
            self._largest = Room(
                max((room.cpu_milli for room in rooms), default=-1),
                max((room.memory_mb for room in rooms), default=-1),
                max((room.gpus for room in rooms), default=-1),
            )
        return self._largest

    @staticmethod
    def _choose(able: Sequence[Candidate]) -> Candidate | None:
        """Return the candidate with more free processors."""
        return max(able, key=lambda candidate: candidate.room.cpu_milli, default=None)
