"""Decisions on the runs of an upstream that has announced its departure, without any I/O.

The agent reports a run that is projected to outlast the departure. The entry moves it only if its
task is expected to end earlier that way than after a loss at the departure.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median_low

from .agentview import AgentView
from .ids import UpstreamId
from .job import ResourceVector
from .jobstate import Task
from .matching import Candidate
from .run import MIN_SLOW_ELAPSED_MS, MIN_SLOW_ELAPSED_SHARE
from .runmessage import RunSlow
from .upstreamcall import Upstream

STOP_MS = 60.0
"""Time from the decision to stop a run to its next start elsewhere: slightly more than the
upstream's ``stopGraceMs``."""
MIN_SLOWNESS = 0.1
"""Least slowness that an agent reports, as a bound for malformed reports."""


def time_left_ms(upstream: Upstream, now_ms: float) -> float | None:
    """Return the shortest time until ``upstream`` leaves, or None if it has announced nothing."""
    if upstream.remaining_ms is None:
        return None
    return max(0.0, upstream.remaining_ms - (now_ms - upstream.heartbeat_ms))


def projected_rest_ms(elapsed_ms: float, percent: float, expected_ms: float) -> float:
    """Return the projected remaining time of a run.

    ``expected_ms`` is its expected duration on the upstream. It applies until the run has lasted
    long enough for a projection from its progress, which is reported in whole percents.
    """
    if elapsed_ms < max(MIN_SLOW_ELAPSED_MS, MIN_SLOW_ELAPSED_SHARE * expected_ms) or percent < 0:
        return max(0.0, expected_ms - elapsed_ms)
    return max(0.0, 100.0 * elapsed_ms / (percent + 1.0) - elapsed_ms)


@dataclass(frozen=True, slots=True)
class LeavingRun:
    """A run that its agent reported as outlasting the departure of the upstream.

    ``slowness`` is that of the upstream, and ``is_movable`` is False if the task was moved as often
    as it may be.
    """

    task: str
    duration_ms: float
    rest_ms: float
    time_left_ms: float
    slowness: float
    resources: ResourceVector
    is_movable: bool
    is_restart_useful: bool = True
    """Whether the job can still end by its expiry time if the task starts again now. Late work
    starts only on upstreams with a reserve, so the task might not start at all otherwise."""

    @classmethod
    def from_report(
        cls,
        task: Task,
        view: AgentView,
        slow: RunSlow,
        is_movable: bool,
        is_restart_useful: bool,
    ) -> LeavingRun:
        """Return the run of ``task`` that the agent of ``view`` has reported."""
        return cls(
            task.name,
            slow.elapsed_ms + slow.left_ms,
            slow.left_ms,
            slow.departure_in_ms,
            view.report.slowness,
            task.resources,
            is_movable,
            is_restart_useful,
        )


@dataclass(frozen=True, slots=True)
class Outlook:
    """Inputs of a decision, for the log; the ends are durations from now, None without room."""

    elsewhere_in_ms: float | None
    """Expected end if the run is stopped now."""
    after_loss_in_ms: float | None
    """Expected end if the run is lost at the departure and the loss is noticed at once."""
    room_cpu_milli: int
    """Free CPU elsewhere, less what waiting tasks and other moves will take."""


@dataclass(frozen=True, slots=True)
class Move:
    """Stop the run; ``upstream`` has room for its task."""

    upstream: UpstreamId
    outlook: Outlook


@dataclass(frozen=True, slots=True)
class Stay:
    """Leave the run where it is."""

    reason: str
    outlook: Outlook


class DepartureMoves:
    """The moves of one entry off leaving upstreams.

    The room for a move is reserved until the stopped run has ended. Otherwise all runs of an
    upstream, which are reported together, would be stopped for the same free place.
    """

    def __init__(self) -> None:
        self._reserved: dict[str, tuple[UpstreamId, ResourceVector]] = {}

    def decide(
        self, run: LeavingRun, elsewhere: Sequence[Candidate], waiting_cpu_milli: int
    ) -> Move | Stay:
        """Decide whether to move ``run``, and reserve the room if so.

        ``elsewhere`` holds the upstreams that could run the task when free; ``waiting_cpu_milli``
        is the CPU that tasks wait for, which they take first.
        """
        available = {each.view.upstream: self._subtract_reserved(each) for each in elsewhere}
        room = sum(max(0, free.cpu_milli) for free in available.values()) - waiting_cpu_milli
        with_room = [
            each for each in elsewhere if run.resources.fits(available[each.view.upstream])
        ]
        nominal_ms = run.duration_ms / max(MIN_SLOWNESS, run.slowness)
        # Which upstreams will have room at the departure is unknown, so the median stands for them.
        median_slowness = median_low([each.slowness for each in elsewhere]) if elsewhere else None
        best = min(with_room, key=lambda each: each.slowness, default=None)
        now_in_ms = None if best is None else STOP_MS + nominal_ms * best.slowness
        later_in_ms = (
            None if median_slowness is None else run.time_left_ms + nominal_ms * median_slowness
        )
        outlook = Outlook(_round(now_in_ms), _round(later_in_ms), room)
        if run.rest_ms <= run.time_left_ms:
            return Stay("it ends before the departure", outlook)
        if not run.is_movable:
            return Stay("moved too often", outlook)
        if not run.is_restart_useful:
            return Stay("too late to start again", outlook)
        if best is None or room < run.resources.cpu_milli:
            return Stay("no room elsewhere", outlook)
        if now_in_ms is None or later_in_ms is None or now_in_ms >= later_in_ms:
            return Stay("no earlier end elsewhere", outlook)
        self._reserved[run.task] = (best.view.upstream, run.resources)
        return Move(best.view.upstream, outlook)

    def on_run_end(self, task: str) -> None:
        """Release the room reserved for ``task``, which may start now."""
        self._reserved.pop(task, None)

    def _subtract_reserved(self, candidate: Candidate) -> ResourceVector:
        free = candidate.available
        for upstream, resources in self._reserved.values():
            if upstream == candidate.view.upstream:
                free = free.minus(resources)
        return free


def _round(value: float | None) -> float | None:
    return None if value is None else round(value)
