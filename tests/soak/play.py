"""One run of the soak: load and faults together, with the promises checked while it goes on."""

from __future__ import annotations

import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import curio

from .fleet import SoakFleet
from .schedule import Fault, draw_fault

CHECK_S = 0.25
SETTLE_S = 3.0
"""Time after the last fault in which restarted processes serve again."""
QUIET_S = 2.0
"""Time after the last answer in which runs without an owner end."""


@dataclass
class Verdict:
    """What one run showed. Times are seconds from the begin of the load."""

    seed: int
    faults: list[Fault] = field(default_factory=list)
    answers: list[tuple[float, float, int]] = field(default_factory=list)
    """For each job: when it was first sent, when it ended, and the last status."""
    broken: list[str] = field(default_factory=list)

    @property
    def completed(self) -> int:
        """Number of jobs that were answered with success."""
        return sum(status == 200 for _, _, status in self.answers)


def play(seed: int, seconds: float, faults: int, per_s: float = 8.0) -> Verdict:
    """Run one seed in a directory of its own; the logs of a failed run are kept."""
    directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    verdict = curio.run(_play, directory, seed, seconds, faults, per_s)
    if verdict.broken:
        verdict.broken.append(f"logs: {directory}")
    else:
        for file in directory.iterdir():
            file.unlink()
        directory.rmdir()
    return verdict


async def _play(directory: Path, seed: int, seconds: float, faults: int, per_s: float) -> Verdict:
    verdict = Verdict(seed)
    fleet = SoakFleet(directory, seed)
    rng = Random(f"faults of {seed}")
    try:
        await fleet.start()
        began_ms = fleet.clock.now_ms()
        watcher = await curio.spawn(_watch, fleet, verdict, began_ms, daemon=True)
        for at_s in sorted(rng.uniform(0.0, seconds) for _ in range(faults)):
            fault = draw_fault(fleet, rng, at_s)
            verdict.faults.append(fault)
            await fleet.after(fault.at_s, fault.begin)
            await fleet.after(fault.at_s + fault.for_s, fault.end)
        last_s = max((fault.at_s + fault.for_s for fault in verdict.faults), default=0.0)
        await fleet.load(max(seconds, last_s) + SETTLE_S, per_s)
        await curio.sleep(QUIET_S)
        await watcher.cancel()
    finally:
        await fleet.stop()
    _judge(fleet, verdict, began_ms)
    return verdict


async def _watch(fleet: SoakFleet, verdict: Verdict, began_ms: float) -> None:
    """Look for doubled runs while the run goes on."""
    seen = 0
    while True:
        await curio.sleep(CHECK_S)
        pairs = fleet.overlaps()
        for first, second in pairs[seen:]:
            at_s = (second.start_ms - began_ms) / 1000
            verdict.broken.append(
                f"{at_s:.3f} s: {second.task} runs at {first.upstream} as {first.attempt} and at"
                f" {second.upstream} as {second.attempt}"
            )
        seen = max(seen, len(pairs))


def _judge(fleet: SoakFleet, verdict: Verdict, began_ms: float) -> None:
    for client in fleet.clients:
        status = client.statuses[-1] if client.statuses else 0
        begin_s = (client.began_ms - began_ms) / 1000
        verdict.answers.append((begin_s, (client.ended_ms - began_ms) / 1000, status))
        if status not in (200, 429, 503):
            verdict.broken.append(f"{begin_s:.3f} s: {client.job} got no answer: {client.statuses}")
    for client in fleet.false_refusals():
        verdict.broken.append(f"{client.job} was refused as not run, and has run")
    for client in fleet.false_completions():
        verdict.broken.append(f"{client.job} was called completed while a task isn't done")
    known = {client.job for client in fleet.clients}
    for run in fleet.runs():
        job = run.task.split(".")[0]
        if job not in known and run.start_ms > began_ms:
            verdict.broken.append(f"{run.task} runs though nobody sent its job")
        if run.end_ms is None:
            verdict.broken.append(f"{run.task} still runs after the last answer")
