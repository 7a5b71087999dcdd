"""What the protection of submissions costs, and what callers see when parts fail.

``python -m bench.submissions`` prints a table. Processor time is this process's; the cases of one
table are measured in the same run, in turn.
"""

from __future__ import annotations

import argparse
import time
from collections import Counter
from random import Random

from snipewell.clock import ManualClock
from snipewell.effect import Effect, ProposeTable, SendAgent, SendEntry, Submission
from snipewell.home import HomeLimits, Homes
from snipewell.ids import (
    AgentId,
    Digest,
    EntryId,
    Epoch,
    Incarnation,
    Partition,
    RequestId,
    ScopedKey,
    ServiceName,
    TaskIndex,
    TeamName,
    ZoneId,
)
from snipewell.message import (
    Candidate,
    Collect,
    Collected,
    KeyRecord,
    Load,
    Message,
    Resources,
    Result,
    TaskState,
    decode,
    encode,
)
from snipewell.outcome import Unknown
from snipewell.partition import PartitionEntry, PartitionTable
from tests.history import Answered
from tests.simulation import Faults, World

AGENTS = [AgentId(f"10.0.0.{n}:7000") for n in range(10)]
LIFE = Incarnation("0123456789abcdef")
HOME = EntryId("entry-1.0123456789abcdef")


class Group:
    """Entries that exchange encoded messages at once; counts messages, bytes and time."""

    def __init__(self, holders: int, limits: HomeLimits) -> None:
        self.clock = ManualClock(1_000)
        names = [HOME, *(EntryId(f"entry-{n}.0123456789abcdef") for n in range(2, holders + 1))]
        self.homes = {
            name: Homes.from_config(name, ZoneId("zone-c"), self.clock, Random(1), limits)
            for name in names
        }
        self.traffic: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.holder_s = 0.0
        self.proposals: list[ProposeTable] = []
        live = {name: ZoneId("zone-c") for name in names}
        for name, homes in self.homes.items():
            self.apply(name, homes.on_entries(live))
        entry = PartitionEntry(HOME, tuple(names), Epoch(1), Epoch(0))
        table = PartitionTable(1, (entry,) * limits.partitions)
        for name, homes in self.homes.items():
            self.apply(name, homes.on_table(table))

    def apply(self, sender: EntryId, effects: list[Effect]) -> None:
        """Deliver what ``sender`` sends; an entry that is not in the group is dead."""
        for effect in effects:
            match effect:
                case SendEntry(entry=entry, message=message):
                    sent = self._count(message)
                    if entry not in self.homes:
                        continue
                    began_s = time.process_time()
                    message = decode(sent)
                    answers = self.homes[entry].on_entry_message(sender, message)
                    if entry != HOME:
                        self.holder_s += time.process_time() - began_s
                    self.apply(entry, answers)
                case SendAgent(agent=agent, message=message):
                    self._count(message)
                    if isinstance(message, Collect):
                        self.collect(agent, message)
                case ProposeTable():
                    self.proposals.append(effect)

    def collect(self, agent: AgentId, message: Collect) -> None:
        """Answer for an agent that started nothing of the partition."""
        collected = Collected(message.partition, message.epoch, agent, LIFE, [])
        self.apply(HOME, self.homes[HOME].on_agent_message(agent, collected))

    def _count(self, message: Message) -> bytes:
        sent = encode(message)
        self.traffic[type(message).__name__] += 1
        self.bytes[type(message).__name__] += len(sent)
        return sent


def run_jobs(
    group: Group, first: int, jobs: int, tasks: int, agents: list[AgentId] = AGENTS
) -> float:
    """Run ``jobs`` jobs to their end; return the processor seconds of the whole group."""
    homes, service, team = group.homes[HOME], ServiceName("inspect"), TeamName("annex")
    began_s = time.process_time()
    candidates = [Candidate(agent, LIFE) for agent in agents]
    for number in range(first, first + jobs):
        key = ScopedKey(f"annex/{number:032d}")
        submission = Submission(
            RequestId(str(number)),
            HOME,
            key,
            Digest("0" * 32),
            service,
            team,
            [b"x" * 200] * tasks,
            group.clock.now_ms() + 10_000,
            True,
            False,
            Resources(),
        )
        group.apply(HOME, homes.submit(submission, candidates))
        for task in range(tasks):
            agent = agents[task % len(agents)]
            start = homes.grant(key, TaskIndex(task), agent, LIFE)
            assert start is not None
            result = Result(key, TaskIndex(task), TaskState.OK, b"y" * 200, "", 1.0, Load())
            group.apply(HOME, homes.on_agent_message(agent, result))
        if number % 50 == 0:
            group.clock.advance(20)
            for name, member in group.homes.items():
                began_holder_s = time.process_time()
                group.apply(name, member.tick())
                if name != HOME:
                    group.holder_s += time.process_time() - began_holder_s
    return time.process_time() - began_s


def measure_holding(jobs: int) -> None:
    """Print processor time, messages and bytes of a submission with and without holders."""
    print("holding: microseconds of processor time, messages and bytes for each submission")
    limits = HomeLimits(partitions=8)
    for tasks in (1, 100):
        count = max(jobs // tasks, 20)
        groups = {1: Group(1, limits), 3: Group(3, limits)}
        spent = dict.fromkeys(groups, 0.0)
        for turn in range(10):
            for holders, group in groups.items():
                spent[holders] += run_jobs(group, turn * count // 10, count // 10, tasks)
        for holders, group in groups.items():
            home_us = (spent[holders] - group.holder_s) / count * 1e6
            holder_us = group.holder_s / max(holders - 1, 1) / count * 1e6
            messages = sum(group.traffic.values()) / count
            size = sum(group.bytes.values()) / count
            print(
                f"  {tasks:4} tasks, {holders} holders: home {home_us:8.1f}, each holder"
                f" {holder_us:6.1f}, between entries {messages:5.2f} messages {size:7.0f} bytes"
            )


def measure_recovery(count: int) -> None:
    """Print the processor time with which a holder becomes the home of ``count`` records."""
    limits = HomeLimits(partitions=1)
    names = [EntryId("gone"), HOME, EntryId("entry-2.0123456789abcdef")]
    group = Group(2, limits)
    candidates = [Candidate(agent, LIFE) for agent in AGENTS]
    for name in names[1:]:
        for number in range(count):
            key = ScopedKey(f"annex/{number:032d}")
            record = KeyRecord(key, Digest("0" * 32), 10, candidates, False, deadline_ms=5_000)
            group.homes[name]._holder.put(Partition(0), record)
    group.homes[HOME]._tenures.clear()
    entry = PartitionEntry(HOME, tuple(names), Epoch(2), Epoch(0))
    group.holder_s = 0.0
    began_s = time.process_time()
    group.apply(HOME, group.homes[HOME].on_table(PartitionTable(2, (entry,))))
    longest_s, home = 0.0, group.homes[HOME]
    while home._tenures[Partition(0)]._collecting or len(home._context.runs) < count:
        group.clock.advance(20)
        tick_s = time.process_time()
        group.apply(HOME, home.tick())
        longest_s = max(longest_s, time.process_time() - tick_s)
    spent_s = time.process_time() - began_s
    print(
        f"  {count:7} records: new home {(spent_s - group.holder_s) * 1e3:7.0f} ms,"
        f" longest tick {longest_s * 1e3:4.0f} ms, holder {group.holder_s * 1e3:6.0f} ms,"
        f" {sum(group.bytes.values()):9} bytes"
    )


def measure_idle() -> None:
    """Print the processor time of the ticks of an entry without work, for one second."""
    group = Group(3, HomeLimits())
    began_s = time.process_time()
    for _ in range(500):
        group.clock.advance(20)
        group.homes[HOME].tick()
    spent_ms = (time.process_time() - began_s) * 1e3 / 10
    print(f"idle: {spent_ms:.1f} ms a second for 50 ticks of the home of 64 partitions")


def measure_unknown(seeds: int) -> None:
    """Print what callers are told under each kind of failure, in simulated runs."""
    print(f"outcomes for each kind of failure, {seeds} seeds, no lost messages, no failing tasks")
    kinds = ["none", "pause_entry", "kill_entry", "pause_agent", "kill_agent"]
    for kind in [*kinds, "store_down", "drain", "join", "pause_and_kill"]:
        told: Counter[str] = Counter()
        steps: Counter[str] = Counter()
        for seed in range(seeds):
            faults = Faults(0.0, () if kind == "none" else (kind,), 0.0)
            world = World(seed, faults)
            if len(world.entries) < 3:
                continue
            world.run()
            told += world.outcomes
            for event in world.events:
                if isinstance(event, Answered) and isinstance(event.outcome, Unknown):
                    steps[event.outcome.step.value] += 1
        total = sum(told.values())
        shares = " ".join(f"{step} {n / total:.3f}" for step, n in steps.most_common(3))
        print(f"  {kind:15} {total:6} answers, Unknown {told['Unknown'] / total:.3f} ({shares})")


def main() -> None:
    """Measure and print everything."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--jobs", type=int, default=20_000)
    parser.add_argument("--seeds", type=int, default=60)
    options = parser.parse_args()
    measure_holding(options.jobs)
    print("recovery, with 10 candidate agents for each record")
    measure_recovery(10_000)
    measure_recovery(100_000)
    measure_idle()
    measure_unknown(options.seeds)


if __name__ == "__main__":
    main()
