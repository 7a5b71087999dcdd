"""Admission control: refuse submissions that cannot run, would miss deadlines or exceed quotas."""

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
    """Limits of admission control. ``max_waiting`` counts tasks; times are in milliseconds.

    For ``startup_grace_ms`` after its start, an entry may not have received the heartbeats of all
    agents, so a lack of suitable VMs does not make a job impossible. The size of a VM that has gone
    still counts as available for ``vm_retention_ms``. The rate of shorter work expected to arrive
    during a bulk job is measured over the last ``rate_window_ms``.
    """

    max_waiting: int = 200_000
    startup_grace_ms: float = 2_000
    vm_retention_ms: float = 600_000
    rate_window_ms: float = 10_000
    min_retry_after_ms: int = 200
    max_retry_after_ms: int = 60_000


@dataclass(frozen=True, slots=True)
class QueuedWork:
    """Work ahead of a submission. Times are in milliseconds.

    ``waiting`` is the number of waiting tasks of all client accounts and ``team_in_flight`` the
    number of waiting and granted tasks of the submission's account. ``wait_ms`` is the expected
    wait until the submission's last task starts, ``run_ms`` the expected run time of one task.
    """

    waiting: int
    team_in_flight: int
    wait_ms: float
    run_ms: float


class ArrivalRate:
    """Arrival rate of work, as an exponential moving average over about ``window_ms``."""

    def __init__(self, window_ms: float, now_ms: float) -> None:
        self._window_ms = window_ms
        self._sum_ms = 0.0
        self._at_ms = now_ms

    def add(self, work_ms: float, now_ms: float) -> None:
        """Add ``work_ms`` of admitted work."""
        self._decay(now_ms)
        self._sum_ms += work_ms

    def rate(self, now_ms: float) -> float:
        """Return the work that arrives per millisecond, in milliseconds."""
        self._decay(now_ms)
        return self._sum_ms / self._window_ms

    def _decay(self, now_ms: float) -> None:
        self._sum_ms *= math.exp((self._at_ms - now_ms) / self._window_ms)
        self._at_ms = now_ms


def is_allowed(view: AgentView, submission: Submission, service: ServiceSpec | None) -> bool:
    """Return whether an agent may run tasks of ``submission``.

    The agent must be in the availability zones and upstreams of the service, if it lists any, and
    must provide the service and the resources.
    """
    if service is not None:
        if service.zones and view.zone not in service.zones:
            return False
        if service.upstreams and view.upstream not in service.upstreams:
            return False
    return view.can_run(submission.service, submission.resources)


def find_impossible(
    submission: Submission,
    service: ServiceSpec | None,
    zones: Collection[ZoneId],
    vm_sizes: Iterable[Resources],
) -> Impossible | None:
    """Return the reason for which ``submission`` can never run, or None if it can.

    ``zones`` lists all declared availability zones, in service or not; it is empty if none has been
    declared yet. ``vm_sizes`` lists the resources of recently seen VMs, including those out of
    service or gone.
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
    if any(fits(vm_size, need) for vm_size in vm_sizes):
        return None
    return Impossible(
        f"no worker has {need.cores:g} cores, {need.memory_mb} MB and"
        f" {need.accelerators} accelerators"
    )


def find_refusal(
    submission: Submission,
    team: TeamSpec,
    queued: QueuedWork,
    limits: AdmissionLimits,
    now_ms: float,
    rng: Random,
) -> NotRun | None:
    """Return a refusal if ``submission`` exceeds a quota or limit or would miss its deadline."""
    count = len(submission.tasks)
    if queued.team_in_flight + count > team.max_tasks_in_flight:
        return NotRun(
            f"team {team.name} has {queued.team_in_flight} tasks in flight,"
            f" quota {team.max_tasks_in_flight}",
            jittered_retry_after_ms(queued.wait_ms, limits, rng),
            quota=True,
        )
    if queued.waiting + count > limits.max_waiting:
        return NotRun("too many tasks wait", jittered_retry_after_ms(queued.wait_ms, limits, rng))
    finish_at_ms = now_ms + queued.wait_ms + queued.run_ms
    if finish_at_ms > submission.deadline_at_ms:
        late_ms = finish_at_ms - submission.deadline_at_ms
        return NotRun(
            f"expected to end {late_ms:.0f} ms after the deadline",
            jittered_retry_after_ms(late_ms, limits, rng),
        )
    return None


def jittered_retry_after_ms(wait_ms: float, limits: AdmissionLimits, rng: Random) -> int:
    """Return a Retry-After in ms between one and three times ``wait_ms``, within the limits.

    The jitter prevents clients that were refused at the same time from retrying at the same time.
    """
    base = min(max(wait_ms, limits.min_retry_after_ms), limits.max_retry_after_ms / 3)
    return round(rng.uniform(base, 3 * base))
