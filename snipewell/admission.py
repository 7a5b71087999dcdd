"""Early refusal: what can never run, what cannot end in time, quotas and bounds."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from random import Random

from .effect import Submission
from .ids import ZoneId
from .message import Resources
from .outcome import Impossible, NotRun
from .resource import ServiceSpec, TeamSpec
from .view import AgentView, fits


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Bounds of admission. ``max_waiting`` counts tasks; times are in milliseconds.

    For ``settle_ms`` after the start of an entry, a missing worker is no proof that there is none,
    and a worker that has gone is remembered for ``remember_ms``.
    Shorter work that will arrive during a bulk job is taken from the last ``rate_window_ms``.
    """

    max_waiting: int = 200_000
    settle_ms: float = 2_000
    remember_ms: float = 600_000
    rate_window_ms: float = 10_000
    min_retry_after_ms: int = 200
    max_retry_after_ms: int = 60_000


@dataclass(frozen=True, slots=True)
class Demand:
    """How much work there is before a submission. Times in milliseconds.

    ``wait_ms`` is the expected wait before its last task starts, ``run_ms`` how long a task runs.
    """

    waiting: int
    team_in_flight: int
    wait_ms: float
    run_ms: float


class ArrivalRate:
    """Expected work that arrives per millisecond, averaged over about ``window_ms``."""

    def __init__(self, window_ms: float, now_ms: float) -> None:
        self._window_ms = window_ms
        self._sum_ms = 0.0
        self._at_ms = now_ms

    def add(self, work_ms: float, now_ms: float) -> None:
        """Take in ``work_ms`` of admitted work."""
        self._decay(now_ms)
        self._sum_ms += work_ms

    def rate(self, now_ms: float) -> float:
        """Return the milliseconds of work that arrive in a millisecond."""
        self._decay(now_ms)
        return self._sum_ms / self._window_ms

    def _decay(self, now_ms: float) -> None:
        self._sum_ms *= math.exp((self._at_ms - now_ms) / self._window_ms)
        self._at_ms = now_ms


def is_allowed(view: AgentView, submission: Submission, service: ServiceSpec | None) -> bool:
    """Return whether tasks of ``submission`` may go to the agent, by its service's rules too."""
    if service is not None:
        if service.zones and view.zone not in service.zones:
            return False
        if service.upstreams and view.upstream not in service.upstreams:
            return False
    return view.can_take(submission.service, submission.resources)


def find_impossible(
    submission: Submission,
    service: ServiceSpec | None,
    zones: Collection[ZoneId],
    workers: Iterable[Resources],
) -> Impossible | None:
    """Return why ``submission`` can never run, or None if it can.

    ``zones`` are all zones that operators declared, in service or not (empty: none declared yet),
    and ``workers`` what the workers seen lately have, also those out of service or gone.
    """
    if not submission.tasks:
        return Impossible("no tasks")
    if service is not None:
        if len(submission.tasks) > service.max_tasks:
            return Impossible(
                f"{len(submission.tasks)} tasks, more than the limit {service.max_tasks}"
            )
        if service.zones and zones and not set(service.zones) & set(zones):
            return Impossible(f"no zone of service {service.name} exists")
    need = submission.resources
    if any(fits(worker, need) for worker in workers):
        return None
    return Impossible(
        f"no worker has {need.cores:g} cores, {need.memory_mb} MB and"
        f" {need.accelerators} accelerators"
    )


def find_refusal(
    submission: Submission,
    team: TeamSpec,
    demand: Demand,
    limits: AdmissionLimits,
    now_ms: float,
    rng: Random,
) -> NotRun | None:
    """Return a refusal if ``submission`` exceeds a quota or bound or cannot end in time."""
    count = len(submission.tasks)
    if demand.team_in_flight + count > team.max_tasks_in_flight:
        return NotRun(
            f"team {team.name} has {demand.team_in_flight} tasks in flight,"
            f" quota {team.max_tasks_in_flight}",
            spread_retry_after(demand.wait_ms, limits, rng),
            quota=True,
        )
    if demand.waiting + count > limits.max_waiting:
        return NotRun("too many tasks wait", spread_retry_after(demand.wait_ms, limits, rng))
    finish_ms = now_ms + demand.wait_ms + demand.run_ms
    if finish_ms > submission.deadline_at_ms:
        late_ms = finish_ms - submission.deadline_at_ms
        return NotRun(
            f"expected to end {late_ms:.0f} ms after the deadline",
            spread_retry_after(late_ms, limits, rng),
        )
    return None


def spread_retry_after(wait_ms: float, limits: AdmissionLimits, rng: Random) -> int:
    """Return a Retry-After in ms between one and three times ``wait_ms``, within the limits.

    The spread keeps callers that were refused together from returning together.
    """
    base = min(max(wait_ms, limits.min_retry_after_ms), limits.max_retry_after_ms / 3)
    return round(rng.uniform(base, 3 * base))
