"""Which upstream gets a task, without any I/O.

Among the upstreams with room, the one where the task is expected to end first is taken. Entries
share the upstreams without asking each other, and each knows their room only as of the last
reports, so the choice is made at random among those that are nearly as good: if all entries took
the best one, all but one would be rejected.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from .agentview import AgentView
from .job import Room, StepSpec

NEAR_SHARE = 0.15
"""Upstreams within this share of the shortest expected duration count as equally good; it is the
spread of the durations of one job's tasks."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An agent that may get the task; ``expected_ms`` is the duration expected there."""

    view: AgentView
    expected_ms: float


def may_run(view: AgentView, step: StepSpec, room: Room) -> bool:
    """Return whether the upstream has the step's label and ``room`` for one of its tasks."""
    if step.label and step.label not in view.report.labels:
        return False
    return step.resources.fits(room)


def choose(candidates: Sequence[Candidate], rng: Random) -> Candidate | None:
    """Return the candidate to use, or None if there is none.

    Of two drawn at random among the nearly best, the one with more free processors is taken.
    """
    if not candidates:
        return None
    shortest_ms = min(candidate.expected_ms for candidate in candidates)
    near = [c for c in candidates if c.expected_ms <= shortest_ms * (1 + NEAR_SHARE)]
    if len(near) == 1:
        return near[0]
    first, second = rng.sample(near, 2)
    return first if first.view.room().cpu_milli >= second.view.room().cpu_milli else second
