"""Run one seed of the soak test under load and faults, and check the invariants."""

from __future__ import annotations

import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import curio

from .fleet import SoakFleet
from .schedule import Fault, draw_departure_or_zone, draw_fault, draw_silence_or_writer

CHECK_S = 0.25
"""Interval between checks for overlapping runs."""
MORE_FAULTS = 3
"""Number of silences of the store and other writers, and as many departures and zones out of
service, beside the faults that are asked for."""
RECOVERY_S = 3.0
"""Time after the last fault in which restarted processes recover."""
DRAIN_S = 2.0
"""Time after the last response within which orphaned runs must end."""


@dataclass
class SoakResult:
    """The result of one run; times are in seconds from the start of the load."""

    seed: int
    faults: list[Fault] = field(default_factory=list)
    answers: list[tuple[float, float, int]] = field(default_factory=list)
    """For each job: time of the first submission, time of the last response, and its status."""
    violations: list[str] = field(default_factory=list)

    @property
    def completed(self) -> int:
        """Number of jobs whose last response has status 200."""
        return sum(status == 200 for _, _, status in self.answers)


def run_seed(
    seed: int,
    seconds: float,
    faults: int,
    per_s: float = 8.0,
    entries: int = 2,
    agents: int = 3,
) -> SoakResult:
    """Run one seed in a temporary directory, which is retained with its logs if the run fails."""
    directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    fleet = SoakFleet(directory, seed, entries, agents)
    result = curio.run(_run_seed, fleet, seed, seconds, faults, per_s)
    if result.violations:
        result.violations.append(f"logs: {directory}")
    else:
        for file in directory.iterdir():
            file.unlink()
        directory.rmdir()
    return result


async def _run_seed(
    fleet: SoakFleet, seed: int, seconds: float, faults: int, per_s: float
) -> SoakResult:
    result = SoakResult(seed)
    rng = Random(f"faults of {seed}")
    try:
        await fleet.start()
        started_ms = fleet.clock.now_ms()
        watcher = await curio.spawn(_watch_for_overlaps, fleet, result, started_ms, daemon=True)
        times_s = sorted(rng.uniform(0.0, seconds) for _ in range(faults))
        result.faults += [draw_fault(fleet, rng, at_s) for at_s in times_s]
        more_rng = Random(f"silences and writers of {seed}")
        result.faults += [
            draw_silence_or_writer(fleet, more_rng, more_rng.uniform(0.0, seconds))
            for _ in range(MORE_FAULTS)
        ]
        place_rng = Random(f"departures and zones of {seed}")
        result.faults += [
            draw_departure_or_zone(fleet, place_rng, place_rng.uniform(0.0, seconds))
            for _ in range(MORE_FAULTS)
        ]
        for fault in result.faults:
            await fleet.after(fault.at_s, fault.begin)
            await fleet.after(fault.at_s + fault.duration_s, fault.end)
        last_s = max((fault.at_s + fault.duration_s for fault in result.faults), default=0.0)
        await fleet.load(max(seconds, last_s) + RECOVERY_S, per_s)
        await curio.sleep(DRAIN_S)
        await watcher.cancel()
    finally:
        await fleet.stop()
    _check_invariants(fleet, result, started_ms)
    return result


async def _watch_for_overlaps(fleet: SoakFleet, result: SoakResult, started_ms: float) -> None:
    """Record overlapping runs of a task while the soak run is in progress."""
    reported = 0
    while True:
        await curio.sleep(CHECK_S)
        pairs = fleet.overlaps()
        for first, second in pairs[reported:]:
            at_s = (second.start_ms - started_ms) / 1000
            result.violations.append(
                f"{at_s:.3f} s: {second.task} runs on {first.upstream} as attempt {first.attempt}"
                f" and on {second.upstream} as attempt {second.attempt}"
            )
        reported = max(reported, len(pairs))


def _check_invariants(fleet: SoakFleet, result: SoakResult, started_ms: float) -> None:
    for client in fleet.clients:
        status = client.statuses[-1] if client.statuses else 0
        begin_s = (client.started_ms - started_ms) / 1000
        result.answers.append((begin_s, (client.ended_ms - started_ms) / 1000, status))
        if status not in (200, 429, 503):
            result.violations.append(
                f"{begin_s:.3f} s: {client.job} got no outcome: statuses {client.statuses}"
            )
    for text in fleet.beyond_anti_affinity():
        result.violations.append(f"{text} ran beside more tasks of its step than permitted")
    for client in fleet.false_refusals():
        result.violations.append(f"{client.job} was refused as not run, but a task ran")
    for client in fleet.false_completions():
        result.violations.append(f"{client.job} was reported as completed, but a task is not done")
    known = {client.job for client in fleet.clients}
    for run in fleet.runs():
        job = run.task.split(".")[0]
        if job not in known and run.start_ms > started_ms:
            result.violations.append(f"{run.task} ran, but no client submitted its job")
        if run.end_ms is None:
            result.violations.append(
                f"{run.task} is still running {DRAIN_S:g} s after the last response"
            )
