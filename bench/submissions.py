"""Benchmark of replicated submissions: cost of replication and recovery, outcomes under failures.

``python -m bench.submissions`` prints the figures. The CPU time is that of this process; the cases
of one table are measured alternately in the same run.
"""

from __future__ import annotations

import argparse
import time
from collections import Counter
from random import Random

from snipewell.clock import ManualClock
from snipewell.effect import Effect, ProposeTable, SendAgent, SendEntry, Submission
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
from snipewell.partition import PartitionAssignment, PartitionTable
from snipewell.partitionmanager import PartitionLimits, PartitionManager
from tests.history import Answered
from tests.simulation import Faults, World

AGENTS = [AgentId(f"10.0.0.{n}:7000") for n in range(10)]
INCARNATION = Incarnation("0123456789abcdef")
LEADER = EntryId("entry-1.0123456789abcdef")


class ReplicaGroup:
    """The replicas of all partitions, which exchange encoded messages without delay.

    The first entry leads all partitions. The group counts messages and bytes by message type, and
    the CPU time of the replicas other than the leader.
    """

    def __init__(self, replicas: int, limits: PartitionLimits) -> None:
        self.clock = ManualClock(1_000)
        names = [LEADER, *(EntryId(f"entry-{n}.0123456789abcdef") for n in range(2, replicas + 1))]
        self.controllers = {
            name: PartitionManager.create(name, ZoneId("zone-c"), self.clock, Random(1), limits)
            for name in names
        }
        self.traffic: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.replica_s = 0.0
        self.proposals: list[ProposeTable] = []
        live = {name: ZoneId("zone-c") for name in names}
        for name, controller in self.controllers.items():
            self.apply(name, controller.on_entries(live))
        entry = PartitionAssignment(LEADER, tuple(names), Epoch(1), Epoch(0))
        table = PartitionTable(1, (entry,) * limits.partitions)
        for name, controller in self.controllers.items():
            self.apply(name, controller.on_table(table))

    def apply(self, sender: EntryId, effects: list[Effect]) -> None:
        """Deliver the messages in ``effects``; those to an entry outside the group are lost.

        Such an entry stands for one that has crashed. Proposed partition tables are recorded.
        """
        for effect in effects:
            match effect:
                case SendEntry(entry=entry, message=message):
                    sent = self._encode_and_count(message)
                    if entry not in self.controllers:
                        continue
                    began_s = time.process_time()
                    message = decode(sent)
                    answers = self.controllers[entry].on_entry_message(sender, message)
                    if entry != LEADER:
                        self.replica_s += time.process_time() - began_s
                    self.apply(entry, answers)
                case SendAgent(agent=agent, message=message):
                    self._encode_and_count(message)
                    if isinstance(message, Collect):
                        self.answer_collect(agent, message)
                case ProposeTable():
                    self.proposals.append(effect)

    def answer_collect(self, agent: AgentId, message: Collect) -> None:
        """Answer ``Collect`` on behalf of an agent that started no task of the partition."""
        collected = Collected(message.partition, message.epoch, agent, INCARNATION, [])
        self.apply(LEADER, self.controllers[LEADER].on_agent_message(agent, collected))

    def _encode_and_count(self, message: Message) -> bytes:
        sent = encode(message)
        self.traffic[type(message).__name__] += 1
        self.bytes[type(message).__name__] += len(sent)
        return sent


def run_jobs(
    group: ReplicaGroup, first: int, jobs: int, tasks: int, agents: list[AgentId] = AGENTS
) -> float:
    """Run ``jobs`` jobs to completion; return the CPU seconds used by the whole group."""
    leader, service, team = group.controllers[LEADER], ServiceName("inspect"), TeamName("annex")
    began_s = time.process_time()
    candidates = [Candidate(agent, INCARNATION) for agent in agents]
    for number in range(first, first + jobs):
        key = ScopedKey(f"annex/{number:032d}")
        submission = Submission(
            RequestId(str(number)),
            LEADER,
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
        group.apply(LEADER, leader.submit(submission, candidates))
        for task in range(tasks):
            agent = agents[task % len(agents)]
            start = leader.grant(key, TaskIndex(task), agent, INCARNATION)
            assert start is not None
            result = Result(key, TaskIndex(task), TaskState.OK, b"y" * 200, "", 1.0, Load())
            group.apply(LEADER, leader.on_agent_message(agent, result))
        if number % 50 == 0:
            group.clock.advance(20)
            for name, controller in group.controllers.items():
                replica_began_s = time.process_time()
                group.apply(name, controller.tick())
                if name != LEADER:
                    group.replica_s += time.process_time() - replica_began_s
    return time.process_time() - began_s


def measure_replication(jobs: int) -> None:
    """Print CPU time, messages and bytes of a submission with one replica and with three.

    With one replica, the leader has the only copy of the records.
    """
    print("holding: microseconds of processor time, messages and bytes for each submission")
    limits = PartitionLimits(partitions=8)
    for tasks in (1, 100):
        count = max(jobs // tasks, 20)
        groups = {1: ReplicaGroup(1, limits), 3: ReplicaGroup(3, limits)}
        cpu_s = dict.fromkeys(groups, 0.0)
        for batch in range(10):
            for replicas, group in groups.items():
                cpu_s[replicas] += run_jobs(group, batch * count // 10, count // 10, tasks)
        for replicas, group in groups.items():
            leader_us = (cpu_s[replicas] - group.replica_s) / count * 1e6
            replica_us = group.replica_s / max(replicas - 1, 1) / count * 1e6
            messages = sum(group.traffic.values()) / count
            size = sum(group.bytes.values()) / count
            print(
                f"  {tasks:4} tasks, {replicas} replicas: leader {leader_us:8.1f}, each replica"
                f" {replica_us:6.1f}, between entries {messages:5.2f} messages {size:7.0f} bytes"
            )


def measure_recovery(count: int) -> None:
    """Print the CPU time of a failover: a replica with ``count`` records becomes the leader."""
    limits = PartitionLimits(partitions=1)
    names = [EntryId("gone"), LEADER, EntryId("entry-2.0123456789abcdef")]
    group = ReplicaGroup(2, limits)
    candidates = [Candidate(agent, INCARNATION) for agent in AGENTS]
    for name in names[1:]:
        for number in range(count):
            key = ScopedKey(f"annex/{number:032d}")
            record = KeyRecord(key, Digest("0" * 32), 10, candidates, False, deadline_ms=5_000)
            group.controllers[name]._replica_records.put(Partition(0), record)
    group.controllers[LEADER]._leaderships.clear()
    entry = PartitionAssignment(LEADER, tuple(names), Epoch(2), Epoch(0))
    group.replica_s = 0.0
    began_s = time.process_time()
    group.apply(LEADER, group.controllers[LEADER].on_table(PartitionTable(2, (entry,))))
    longest_s, leader = 0.0, group.controllers[LEADER]
    while leader._leaderships[Partition(0)]._collection or len(leader._context.runs) < count:
        group.clock.advance(20)
        tick_s = time.process_time()
        group.apply(LEADER, leader.tick())
        longest_s = max(longest_s, time.process_time() - tick_s)
    cpu_s = time.process_time() - began_s
    print(
        f"  {count:7} records: new leader {(cpu_s - group.replica_s) * 1e3:7.0f} ms,"
        f" longest tick {longest_s * 1e3:4.0f} ms, replica {group.replica_s * 1e3:6.0f} ms,"
        f" {sum(group.bytes.values()):9} bytes"
    )


def measure_idle() -> None:
    """Print the CPU time that the ticks of an idle leader of 64 partitions use in one second."""
    group = ReplicaGroup(3, PartitionLimits())
    began_s = time.process_time()
    for _ in range(500):
        group.clock.advance(20)
        group.controllers[LEADER].tick()
    cpu_ms = (time.process_time() - began_s) * 1e3 / 10
    print(f"idle: {cpu_ms:.1f} ms a second for 50 ticks of the leader of 64 partitions")


def measure_unknown_outcomes(seeds: int) -> None:
    """Print the share of ``Unknown`` outcomes that clients receive under each kind of failure.

    The figures come from simulated runs, with the steps in which most of these outcomes arise.
    """
    print(f"outcomes for each kind of failure, {seeds} seeds, no lost messages, no failing tasks")
    kinds = ["none", "pause_entry", "kill_entry", "pause_agent", "kill_agent"]
    for kind in [*kinds, "store_down", "drain", "join", "pause_and_kill"]:
        counts: Counter[str] = Counter()
        steps: Counter[str] = Counter()
        for seed in range(seeds):
            faults = Faults(0.0, () if kind == "none" else (kind,), 0.0)
            world = World(seed, faults)
            if len(world.entries) < 3:
                continue
            world.run()
            counts += world.outcomes
            for event in world.events:
                if isinstance(event, Answered) and isinstance(event.outcome, Unknown):
                    steps[event.outcome.step.value] += 1
        total = sum(counts.values())
        shares = " ".join(f"{step} {n / total:.3f}" for step, n in steps.most_common(3))
        print(f"  {kind:15} {total:6} answers, Unknown {counts['Unknown'] / total:.3f} ({shares})")


def main() -> None:
    """Run all measurements and print their figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--jobs", type=int, default=20_000)
    parser.add_argument("--seeds", type=int, default=60)
    options = parser.parse_args()
    measure_replication(options.jobs)
    print("recovery, with 10 candidate agents for each record")
    measure_recovery(10_000)
    measure_recovery(100_000)
    measure_idle()
    measure_unknown_outcomes(options.seeds)


if __name__ == "__main__":
    main()
