"""Seeded workload of the simulation: services, upstreams, and open-loop arrivals."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from snipewell.ids import ServiceName, TeamName, ZoneId
from snipewell.resource import ServiceSpec, TeamSpec

ZONES = [ZoneId("zone-c"), ZoneId("zone-a"), ZoneId("zone-b")]
# Slots of each upstream.
SLOTS = 8
# Run time of a task on each upstream, relative to a reference upstream.
SLOWNESS_FACTORS = [0.8, 0.85, 0.9, 1.0, 1.0, 1.0, 1.1, 1.25, 1.6, 2.0]
# Fraction of long tasks.
LONG_SHARE = 0.02
# Range of the run time of a long task.
LONG_MS = (2_000.0, 5_000.0)


@dataclass(frozen=True, slots=True)
class ServiceShape:
    """A service, with the range of its task run times on a reference upstream, in milliseconds.

    ``weight`` is its relative frequency among submissions of at most 20 tasks.
    """

    spec: ServiceSpec
    low_ms: float
    high_ms: float
    weight: float


# The declared times of "compare" and "rota-rebuild" are far too long and far too short on purpose.
SERVICES = [
    ServiceShape(ServiceSpec(ServiceName("inspect"), idempotent=True, expected_ms=100), 50, 200, 4),
    ServiceShape(
        ServiceSpec(ServiceName("compare"), idempotent=True, expected_ms=5_000), 100, 500, 3
    ),
    ServiceShape(ServiceSpec(ServiceName("order"), expected_ms=150), 100, 300, 2),
    ServiceShape(
        ServiceSpec(ServiceName("rota-rebuild"), deadline_ms=60_000, expected_ms=20), 200, 1_000, 1
    ),
]
# Fraction of submissions, with the smallest and largest number of tasks.
SIZES = [(0.90, 1, 1), (0.08, 2, 20), (0.018, 21, 200), (0.002, 201, 1_300)]
TEAMS = [TeamSpec(TeamName(f"team-{number:02}")) for number in range(12)]


@dataclass(slots=True)
class Arrival:
    """One submission: its arrival time, and the run time of each task on a reference upstream.

    If ``always_fails`` is set, its tasks fail on every upstream.
    """

    at_ms: float
    service: ServiceSpec
    team: TeamName
    tasks_ms: list[float] = field(default_factory=list)
    always_fails: bool = False


def draw_task_ms(shape: ServiceShape, rng: Random) -> float:
    """Draw the run time of one task on a reference upstream."""
    if rng.random() < LONG_SHARE:
        return rng.uniform(*LONG_MS)
    return rng.uniform(shape.low_ms, shape.high_ms)


def draw_arrival(at_ms: float, rng: Random) -> Arrival:
    """Draw one submission; jobs of more than 20 tasks use the last service, ``rota-rebuild``."""
    _, low, high = rng.choices(SIZES, [size[0] for size in SIZES])[0]
    count = rng.randint(low, high)
    if count > 20:
        shape = SERVICES[-1]
    else:
        shape = rng.choices(SERVICES[:-1], [shape.weight for shape in SERVICES[:-1]])[0]
    team = rng.choice(TEAMS).name
    return Arrival(at_ms, shape.spec, team, [draw_task_ms(shape, rng) for _ in range(count)])


def capacity(factors: list[float], slots: int = SLOTS) -> float:
    """Return the work in reference milliseconds that the fleet does per millisecond."""
    return sum(slots / factor for factor in factors)


def draw_arrivals(
    load: float, duration_ms: float, seed: int, fleet_capacity: float
) -> list[Arrival]:
    """Draw Poisson arrivals whose work is ``load`` times ``fleet_capacity``.

    Submissions are drawn until their total work reaches the target, and their arrival times are
    then scaled to the duration. Otherwise, a few large jobs would make the offered load of a run
    differ much from its nominal load.
    """
    rng = Random(seed)
    arrivals: list[Arrival] = []
    work_ms = at_ms = 0.0
    while work_ms < load * fleet_capacity * duration_ms:
        at_ms += rng.expovariate(1.0)
        arrivals.append(draw_arrival(at_ms, rng))
        work_ms += sum(arrivals[-1].tasks_ms)
    for arrival in arrivals:
        arrival.at_ms *= duration_ms / at_ms
    return arrivals
