"""Runs each deployment of ``examples/`` in one process, moves a zone, and checks the promises.

For each directory with resources: an in-memory store, two entries and six agents with stand-in
upstreams in three availability zones. The job files are submitted again and again, some of them
twice under one key, while the first zone is taken out and brought back. The exit status is 1 if a
promise was broken or a submission got no answer.
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
from .table import format_table

EXAMPLES = Path(__file__).parent.parent / "examples"
ENTRIES = 2
AGENTS_PER_ZONE = 2
SPEEDS = (1.0, 1.25, 0.8)
"""Upstreams differ in speed; their stand-ins take these in turn."""
OUT_AT_MS = 2_000
BACK_AT_MS = 7_000
END_AT_MS = 9_000
SMALL_JOB_TASKS = 100
NETWORK_FLOOR_MS = 1.0


@dataclass
class Deployment:
    """One directory of examples: its resources and job files."""

    path: Path
    zones: list[str]
    services: dict[str, ServiceSpec]
    upstreams: list[str]
    jobs: dict[str, JobFile]

    @classmethod
    def from_directory(cls, path: Path) -> Deployment:
        """Read the resources and job files below ``path``."""
        specs = [entry.spec for entry in read_manifest(path / "resources").entries]
        return cls(
            path,
            [spec.name for spec in specs if isinstance(spec, ZoneSpec)],
            {spec.name: spec for spec in specs if isinstance(spec, ServiceSpec)},
            [spec.name for spec in specs if isinstance(spec, UpstreamSpec)],
            {file.stem: read_job(str(file)) for file in sorted((path / "jobs").glob("*.json"))},
        )

    def build_cluster(self) -> Cluster:
        """Return the system for this deployment, not yet started."""
        agents, upstreams = [], []
        for number in range(AGENTS_PER_ZONE * len(self.zones)):
            zone, name = self.zones[number % len(self.zones)], self.upstreams[number]
            services = list(self.services)
            agents.append(agent_settings(f"agent-{name}", zone, upstream=name, services=services))
            speed = SPEEDS[number % len(SPEEDS)]
            upstreams.append(UpstreamSettings(name=name, host=HOST, port=0, speed=speed))
        entries = [entry_settings(f"entry-{zone}", zone) for zone in self.zones[:ENTRIES]]
        return Cluster(entries, agents, upstreams)


@dataclass
class Attempt:
    """One submission and its answer."""

    file: str
    key: str
    started_ms: float
    ended_ms: float = 0.0
    outcome: Outcome | None = None


@dataclass
class Load:
    """Submits the job files at fixed times, whatever the answers (an open loop)."""

    deployment: Deployment
    client: Client
    clock: SystemClock
    attempts: list[Attempt] = field(default_factory=list)
    tasks: list[curio.Task] = field(default_factory=list)

    async def run(self, until_ms: float) -> None:
        """Submit large jobs once, small jobs every second and requests every 50 ms."""
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
        """Wait for the answers to all submissions."""
        for task in self.tasks:
            await task.join()


@dataclass
class Row:
    """The result of one job file."""

    file: str
    submitted: int = 0
    whole: int = 0
    other: Counter[str] = field(default_factory=Counter)
    tasks: int = 0
    started: int = 0
    most_starts: int = 0
    ratios: list[float] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)


def find_ideal_ms(job: JobFile, slots: int) -> float:
    """Return the time of ``job`` on an idle system whose upstreams are all as fast as the fastest.

    It is a lower bound: the longest task, or all work spread evenly over all slots if that is
    more, and one round trip.
    """
    payloads = job.tasks if job.tasks is not None else [job.payload]
    times = [msgspec.convert(payload, dict[str, object])["ms"] for payload in payloads]
    work = [float(str(ms)) / max(SPEEDS) for ms in times]
    return max(max(work), sum(work) / slots) + NETWORK_FLOOR_MS


def expected_results(job: JobFile) -> list[object]:
    """Return what the stand-in upstreams answer to the tasks of ``job``."""
    payloads = job.tasks if job.tasks is not None else [job.payload]
    return [msgspec.convert(payload, dict[str, object])["reply"] for payload in payloads]


def judge(load: Load, cluster: Cluster, slots: int) -> list[Row]:
    """Return a row for each job file, with every promise that it saw broken."""
    starts: Counter[tuple[str, int]] = Counter()
    for upstream in cluster.upstreams.values():
        starts.update((entry.key.partition("/")[2], entry.task) for entry in upstream.log)
    rows = {name: Row(name) for name in load.deployment.jobs}
    for key, name in {attempt.key: attempt.file for attempt in load.attempts}.items():
        row, job = rows[name], load.deployment.jobs[name]
        retried = job.tasks is None and load.deployment.services[job.service].idempotent
        for task in range(len(job.tasks or [None])):
            count = starts[key, task]
            row.tasks += 1
            row.started += count
            row.most_starts = max(row.most_starts, count)
            if count > 1 and not retried:
                row.broken.append(f"at-most-once: {key} task {task} started {count} times")
    for attempt in load.attempts:
        _judge_answer(rows[attempt.file], attempt, load.deployment.jobs[attempt.file], slots)
    return list(rows.values())


def _judge_answer(row: Row, attempt: Attempt, job: JobFile, slots: int) -> None:
    row.submitted += 1
    match attempt.outcome:
        case Complete(results):
            if [msgspec.json.decode(result) for result in results] != expected_results(job):
                row.broken.append(f"own-answer: {attempt.key} got another answer")
            row.whole += 1
            elapsed_ms = attempt.ended_ms - attempt.started_ms
            row.ratios.append(elapsed_ms / find_ideal_ms(job, slots))
        case None:
            row.broken.append(f"dropped: {attempt.key} got no answer")
        case outcome:
            row.other[str(outcome.__struct_config__.tag)] += 1


def late_starts(cluster: Cluster, zone: str, out_ms: float, back_ms: float) -> tuple[int, int]:
    """Return the starts in ``zone`` after it was out for the bound, and those before that."""
    late = early = 0
    for daemon in cluster.agents.values():
        if daemon.settings.zone != zone:
            continue
        for entry in cluster.upstreams[daemon.settings.upstream].log:
            if out_ms < entry.at_ms < back_ms:
                late += entry.at_ms > out_ms + ZONE_STOP_MS
                early += entry.at_ms <= out_ms + ZONE_STOP_MS
    return late, early


def show(rows: list[Row]) -> None:
    """Print the table of results."""
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
        counts = [row.submitted, row.whole, other, row.tasks, row.started, row.most_starts]
        table.append([row.file, *counts, f"{p50:.2f}", f"{p99:.2f}"])
    print(format_table(header, table))


async def move_zone(
    operator: Operator, zone: str, load: Load, cluster: Cluster, begin_ms: float
) -> tuple[float, float]:
    """Take ``zone`` out and bring it back on time; return when that was accepted."""
    clock = load.clock
    moved: list[float] = []
    for at_ms, in_service in ((OUT_AT_MS, False), (BACK_AT_MS, True)):
        while clock.now_ms() < begin_ms + at_ms:
            answered = sum(attempt.outcome is not None for attempt in load.attempts)
            running = sum(upstream.running for upstream in cluster.upstreams.values())
            elapsed_s = (clock.now_ms() - begin_ms) / 1000
            print(f"  {elapsed_s:4.1f} s  answers {answered}  tasks running {running}")
            await curio.sleep(min(1.0, max(0.0, begin_ms + at_ms - clock.now_ms()) / 1000))
        if in_service:
            moved.append(clock.now_ms())
        await operator.set_in_service(Kind.ZONE, zone, in_service)
        if not in_service:
            moved.append(clock.now_ms())
        print(f"  zone {zone} is {'in' if in_service else 'out of'} service")
    return moved[0], moved[1]


async def run_deployment(path: Path) -> list[str]:
    """Run one deployment, print its table, and return the promises that were broken."""
    deployment = Deployment.from_directory(path)
    cluster = deployment.build_cluster()
    await cluster.start()
    print(f"{path.name}: {len(cluster.entries)} entries, {len(cluster.agents)} agents")
    operator = Operator([cluster.balancer.address])
    client = Client([cluster.balancer.address], connections=400)
    await operator.apply(list(compare(read_manifest(path / "resources"), [], False)))
    load = Load(deployment, client, SystemClock())
    begin_ms = load.clock.now_ms()
    submitting = await curio.spawn(load.run, begin_ms + END_AT_MS)
    zone = deployment.zones[0]
    out_ms, back_ms = await move_zone(operator, zone, load, cluster, begin_ms)
    await submitting.join()
    await load.join()
    slots = sum(daemon.settings.slots for daemon in cluster.agents.values())
    rows = judge(load, cluster, slots)
    late, early = late_starts(cluster, zone, out_ms, back_ms)
    for close in (client.close, operator.close):
        await close()
    cut = await cluster.stop()
    show(rows)
    print(f"starts in {zone} after it was out: {early} within {ZONE_STOP_MS} ms, {late} later")
    print(f"requests cut off by the shutdown: {cut}\n")
    broken = [text for row in rows for text in row.broken]
    if late:
        broken.append(f"zone-stop: {late} tasks started in {zone} after {ZONE_STOP_MS} ms")
    if cut:
        broken.append(f"clean-shutdown: {cut} requests were cut off")
    return broken


def main() -> None:
    """Run all deployments and exit with status 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description="Run the example deployments in one process.")
    parser.add_argument("examples", nargs="?", type=Path, default=EXAMPLES)
    broken: list[str] = []
    for path in sorted(parser.parse_args().examples.iterdir()):
        if (path / "resources").is_dir():
            broken += curio.run(run_deployment, path)
    for text in broken:
        print(f"BROKEN {text}")
    print("no promise was broken" if not broken else f"{len(broken)} promises were broken")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
