"""Runs each deployment of ``examples/`` in one process and checks the system's guarantees.

Each directory with resources runs on an in-memory store, two entries and six agents with stand-in
upstreams in three availability zones. The job files are submitted repeatedly, some of them twice
with one idempotency key, while the first zone is taken out of service and brought back. The exit
status is 1 if a guarantee was violated or a submission got no answer.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import curio
import msgspec

from .api import Client, Operator
from .clock import SystemClock
from .command import JobFile, read_job
from .manifest import compare, read_manifest
from .outcome import Complete, Outcome
from .resource import Kind, ServiceSpec, UpstreamSpec, ZoneSpec
from .settings import ZONE_STOP_MS, UpstreamSettings
from .standins.cluster import HOST, Cluster, agent_settings, entry_settings
from .texttable import format_table

EXAMPLES = Path(__file__).parent.parent / "examples"
ENTRIES = 2
AGENTS_PER_ZONE = 2
UPSTREAM_SPEEDS = (1.0, 1.25, 0.8)
"""Relative speeds, assigned to the stand-in upstreams in rotation, because real ones differ too."""
ZONE_OUT_AT_MS = 2_000
"""When the first zone is taken out of service, after the start of the load."""
ZONE_BACK_AT_MS = 7_000
"""When the first zone is brought back into service, after the start of the load."""
LOAD_END_AT_MS = 9_000
"""When submissions end, after the start of the load."""
SMALL_JOB_TASKS = 100
"""Jobs of up to this many tasks are submitted every second, larger ones once."""
ROUND_TRIP_MS = 1.0
"""Time of one network round trip, in the lower bound of a job's duration."""


@dataclass
class Deployment:
    """The resources and job files of one directory of examples."""

    path: Path
    zones: list[str]
    services: dict[str, ServiceSpec]
    upstreams: list[str]
    jobs: dict[str, JobFile]

    @classmethod
    def from_directory(cls, path: Path) -> Deployment:
        """Return the deployment read from the resources and job files below ``path``."""
        specs = [resource.spec for resource in read_manifest(path / "resources").resources]
        return cls(
            path,
            [spec.name for spec in specs if isinstance(spec, ZoneSpec)],
            {spec.name: spec for spec in specs if isinstance(spec, ServiceSpec)},
            [spec.name for spec in specs if isinstance(spec, UpstreamSpec)],
            {file.stem: read_job(str(file)) for file in sorted((path / "jobs").glob("*.json"))},
        )

    def build_cluster(self) -> Cluster:
        """Return a cluster for this deployment that has not been started."""
        agents, upstreams = [], []
        for number in range(AGENTS_PER_ZONE * len(self.zones)):
            zone, name = self.zones[number % len(self.zones)], self.upstreams[number]
            services = list(self.services)
            agents.append(agent_settings(f"agent-{name}", zone, upstream=name, services=services))
            speed = UPSTREAM_SPEEDS[number % len(UPSTREAM_SPEEDS)]
            upstreams.append(UpstreamSettings(name=name, host=HOST, port=0, speed=speed))
        entries = [entry_settings(f"entry-{zone}", zone) for zone in self.zones[:ENTRIES]]
        return Cluster(entries, agents, upstreams)


@dataclass
class Attempt:
    """One call that submits a job file, with its outcome."""

    file: str
    key: str
    started_ms: float
    ended_ms: float = 0.0
    outcome: Outcome | None = None


@dataclass
class LoadGenerator:
    """Open-loop load generator: submits the job files at fixed times, independent of responses."""

    deployment: Deployment
    client: Client
    clock: SystemClock
    attempts: list[Attempt] = field(default_factory=list)
    tasks: list[curio.Task] = field(default_factory=list)

    async def run(self, until_ms: float) -> None:
        """Submit large jobs once, small jobs every second and requests every 50 ms.

        Every fifth submission of a job file is sent twice with the same key.
        """
        step = 0
        while self.clock.now_ms() < until_ms:
            for name, job in self.deployment.jobs.items():
                size = len(job.tasks or [None])
                every = 1 if size == 1 else 20 if size <= SMALL_JOB_TASKS else 10_000
                if step % every == 0:
                    await self._submit(name, job, f"{job.key}-{step}")
                    if step % (5 * every) == 0:
                        await self._submit(name, job, f"{job.key}-{step}")
            step += 1
            await curio.sleep(0.05)

    async def _submit(self, name: str, job: JobFile, key: str) -> None:
        attempt = Attempt(name, key, self.clock.now_ms())
        self.attempts.append(attempt)
        self.tasks.append(await curio.spawn(self._wait, attempt, job))

    async def _wait(self, attempt: Attempt, job: JobFile) -> None:
        if job.tasks is not None:
            attempt.outcome = await self.client.submit_job(
                job.service, job.tasks, attempt.key, job.deadline_ms, job.resources
            )
        else:
            attempt.outcome = await self.client.submit_request(
                job.service, msgspec.json.encode(job.payload), attempt.key, job.deadline_ms
            )
        attempt.ended_ms = self.clock.now_ms()

    async def join(self) -> None:
        """Wait until all submissions have ended."""
        for task in self.tasks:
            await task.join()


@dataclass
class JobFileResults:
    """Results of all submissions of one job file.

    ``completed`` counts complete outcomes, ``other`` the rest by kind. ``tasks`` counts the tasks
    of all distinct keys, ``task_starts`` their starts at upstreams, and ``max_starts`` the most
    starts of one task.
    """

    file: str
    submitted: int = 0
    completed: int = 0
    other: Counter[str] = field(default_factory=Counter)
    tasks: int = 0
    task_starts: int = 0
    max_starts: int = 0
    ratios: list[float] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)


def ideal_duration_ms(job: JobFile, slots: int) -> float:
    """Return a lower bound of the duration of ``job`` in ms.

    It assumes an idle system in which all upstreams are as fast as the fastest one: the longest
    task, or all work spread evenly over all slots if that takes longer, plus one round trip.
    """
    payloads = job.tasks if job.tasks is not None else [job.payload]
    times = [msgspec.convert(payload, dict[str, object])["ms"] for payload in payloads]
    work = [float(str(ms)) / max(UPSTREAM_SPEEDS) for ms in times]
    return max(max(work), sum(work) / slots) + ROUND_TRIP_MS


def expected_results(job: JobFile) -> list[object]:
    """Return the replies that stand-in upstreams give to the tasks of ``job``, in their order."""
    payloads = job.tasks if job.tasks is not None else [job.payload]
    return [msgspec.convert(payload, dict[str, object])["reply"] for payload in payloads]


def summarize(load: LoadGenerator, cluster: Cluster, slots: int) -> list[JobFileResults]:
    """Return a row of results for each job file, with each violation of a guarantee."""
    starts: Counter[tuple[str, int]] = Counter()
    for upstream in cluster.upstreams.values():
        starts.update((start.key.partition("/")[2], start.task) for start in upstream.log)
    rows = {name: JobFileResults(name) for name in load.deployment.jobs}
    for key, name in {attempt.key: attempt.file for attempt in load.attempts}.items():
        row, job = rows[name], load.deployment.jobs[name]
        may_restart = job.tasks is None and load.deployment.services[job.service].idempotent
        for task in range(len(job.tasks or [None])):
            count = starts[key, task]
            row.tasks += 1
            row.task_starts += count
            row.max_starts = max(row.max_starts, count)
            if count > 1 and not may_restart:
                row.violations.append(f"at-most-once: {key} task {task} started {count} times")
    for attempt in load.attempts:
        _check_attempt(rows[attempt.file], attempt, load.deployment.jobs[attempt.file], slots)
    return list(rows.values())


def _check_attempt(row: JobFileResults, attempt: Attempt, job: JobFile, slots: int) -> None:
    row.submitted += 1
    match attempt.outcome:
        case Complete(results):
            if [msgspec.json.decode(result) for result in results] != expected_results(job):
                row.violations.append(f"own-answer: {attempt.key} got unexpected results")
            row.completed += 1
            elapsed_ms = attempt.ended_ms - attempt.started_ms
            row.ratios.append(elapsed_ms / ideal_duration_ms(job, slots))
        case None:
            row.violations.append(f"dropped: {attempt.key} got no answer")
        case outcome:
            row.other[str(outcome.__struct_config__.tag)] += 1


def count_starts_while_out(
    cluster: Cluster, zone: str, out_ms: float, back_ms: float
) -> tuple[int, int]:
    """Return the numbers of late and of tolerated starts in ``zone`` while it was out of service.

    Late starts came more than the zone-stop bound after ``out_ms``, tolerated ones within it.
    """
    late = tolerated = 0
    for daemon in cluster.agents.values():
        if daemon.settings.zone != zone:
            continue
        for start in cluster.upstreams[daemon.settings.upstream].log:
            if out_ms < start.at_ms < back_ms:
                late += start.at_ms > out_ms + ZONE_STOP_MS
                tolerated += start.at_ms <= out_ms + ZONE_STOP_MS
    return late, tolerated


def print_results(rows: list[JobFileResults]) -> None:
    """Print the results of the job files as a table."""
    header = [
        "job file",
        "submitted",
        "whole",
        "other outcomes",
        "tasks",
        "starts",
        "most starts of a task",
        "time/ideal p50",
        "p99",
    ]
    table = []
    for row in rows:
        ratios = sorted(row.ratios) or [0.0]
        other = ", ".join(f"{count} {name}" for name, count in row.other.items()) or "-"
        p50, p99 = (ratios[int(share * (len(ratios) - 1))] for share in (0.5, 0.99))
        counts = [row.submitted, row.completed, other, row.tasks, row.task_starts, row.max_starts]
        table.append([row.file, *counts, f"{p50:.2f}", f"{p99:.2f}"])
    print(format_table(header, table))


async def cycle_zone(
    operator: Operator, zone: str, load: LoadGenerator, cluster: Cluster, begin_ms: float
) -> tuple[float, float]:
    """Take ``zone`` out of service and bring it back at fixed times, and print the progress.

    Returns when the withdrawal had been accepted, and when the call to bring it back began: the
    zone was out of service for at least the time between these two.
    """
    clock = load.clock
    changed_ms: list[float] = []
    for at_ms, in_service in ((ZONE_OUT_AT_MS, False), (ZONE_BACK_AT_MS, True)):
        while clock.now_ms() < begin_ms + at_ms:
            ended = sum(attempt.outcome is not None for attempt in load.attempts)
            running = sum(upstream.running for upstream in cluster.upstreams.values())
            elapsed_s = (clock.now_ms() - begin_ms) / 1000
            print(f"  {elapsed_s:4.1f} s  answers {ended}  tasks running {running}")
            await curio.sleep(min(1.0, max(0.0, begin_ms + at_ms - clock.now_ms()) / 1000))
        if in_service:
            changed_ms.append(clock.now_ms())
        await operator.set_in_service(Kind.ZONE, zone, in_service)
        if not in_service:
            changed_ms.append(clock.now_ms())
        print(f"  zone {zone} is {'in' if in_service else 'out of'} service")
    return changed_ms[0], changed_ms[1]


async def run_deployment(path: Path) -> list[str]:
    """Run one deployment, print its results, and return the violations of guarantees."""
    deployment = Deployment.from_directory(path)
    cluster = deployment.build_cluster()
    await cluster.start()
    print(f"{path.name}: {len(cluster.entries)} entries, {len(cluster.agents)} agents")
    operator = Operator([cluster.balancer.address])
    client = Client([cluster.balancer.address], connections=400)
    await operator.apply(list(compare(read_manifest(path / "resources"), [], False)))
    load = LoadGenerator(deployment, client, SystemClock())
    begin_ms = load.clock.now_ms()
    load_task = await curio.spawn(load.run, begin_ms + LOAD_END_AT_MS)
    zone = deployment.zones[0]
    out_ms, back_ms = await cycle_zone(operator, zone, load, cluster, begin_ms)
    await load_task.join()
    await load.join()
    slots = sum(daemon.settings.slots for daemon in cluster.agents.values())
    rows = summarize(load, cluster, slots)
    late, tolerated = count_starts_while_out(cluster, zone, out_ms, back_ms)
    for close in (client.close, operator.close):
        await close()
    aborted = await cluster.stop()
    print_results(rows)
    print(
        f"starts in {zone} after its withdrawal: {tolerated} within {ZONE_STOP_MS} ms, {late} later"
    )
    print(f"requests aborted by the shutdown: {aborted}\n")
    violations = [text for row in rows for text in row.violations]
    if late:
        violations.append(
            f"zone-stop: {late} tasks started in {zone} over {ZONE_STOP_MS} ms after withdrawal"
        )
    if aborted:
        violations.append(f"clean-shutdown: {aborted} requests were aborted")
    return violations


def main() -> None:
    """Run all deployments; exit with status 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description="Run the example deployments in one process.")
    parser.add_argument("examples", nargs="?", type=Path, default=EXAMPLES)
    violations: list[str] = []
    for path in sorted(parser.parse_args().examples.iterdir()):
        if (path / "resources").is_dir():
            violations += curio.run(run_deployment, path)
    for text in violations:
        print(f"VIOLATION {text}")
    print(
        "no violation of a guarantee"
        if not violations
        else f"{len(violations)} violations of guarantees"
    )
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
