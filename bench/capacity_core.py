"""Capacity measurements of the sans-I/O cores: CPU time, message sizes and memory."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from pathlib import Path
from random import Random

import msgspec

from bench.agent import make_agent, run_core
from bench.capacity_row import CpuTimer, Row, allocated_bytes
from bench.submissions import ReplicaGroup, run_jobs
from snipewell.clock import ManualClock
from snipewell.dispatch import Dispatcher, DispatchLimits
from snipewell.effect import SendAgent, SendEntry, Submission, TaskReady
from snipewell.entry import Entry
from snipewell.group import PartContent, StoredResource, encode_part, part_key
from snipewell.ids import (
    AgentId,
    Digest,
    EntryId,
    Epoch,
    Incarnation,
    RackId,
    RequestId,
    Revision,
    ScopedKey,
    ServiceName,
    TaskIndex,
    TeamName,
    UpstreamId,
    ZoneId,
)
from snipewell.log import Log
from snipewell.message import (
    Heartbeat,
    Load,
    PeerHeartbeat,
    PeerReply,
    Permit,
    Resources,
    Snapshot,
    SnapshotRequest,
    TaskState,
    decode,
    encode,
)
from snipewell.partition import PartitionAssignment, PartitionTable, plan_table
from snipewell.partitionmanager import PartitionLimits
from snipewell.peer import EntryRecord
from snipewell.placement import ExpectedFinish
from snipewell.resource import ConfigurationSpec, Kind, ServiceSpec, Spec, TeamSpec, ZoneSpec
from snipewell.settings import LogSettings
from snipewell.standins.cluster import entry_settings
from snipewell.tasktracker import Send
from snipewell.view import AgentView

ZONE = ZoneId("zone-c")
SERVICES = [ServiceName(name) for name in ("inspect", "compare", "order")]
INCARNATION = Incarnation("0123456789abcdef")
AGENTS = (10, 100, 300, 1_000)
PARTITIONS = (64, 512, 4_096)
CORE_TASKS = 10_000


def make_value(specs: list[Spec]) -> bytes:
    """Return the value under which the store keeps ``specs``, resources of one kind."""
    items = {
        s.name: StoredResource(msgspec.Raw(msgspec.json.encode(s)), 1, 1_000_000) for s in specs
    }
    return encode_part(PartContent(items, base=1_000_000))


def make_services(count: int) -> list[Spec]:
    """Return services restricted to a list of availability zones, as operators declare them."""
    zones = [ZoneId(f"region-{n}-zone-a") for n in range(3)]
    return [ServiceSpec(ServiceName(f"service-{n:05d}"), True, zones) for n in range(count)]


def make_snapshot(services: list[Spec], teams: int) -> Snapshot:
    """Return a configuration snapshot with one availability zone in service."""
    team_specs = [TeamSpec(TeamName(f"team-{n:05d}"), 10_000, 2) for n in range(teams)]
    values = {
        part_key(Kind.ZONE): make_value([ZoneSpec(ZONE)]),
        part_key(Kind.SERVICE): make_value(services),
        part_key(Kind.TEAM): make_value(list(team_specs)),
    }
    return Snapshot(Revision(5), values)


def make_entry(entries: int = 3, partitions: int = 64, services: int = 3) -> Entry:
    """Return the core of the first of ``entries`` entries.

    It has a partition table and a configuration, and the store has just answered it.
    """
    ids = [EntryId(f"entry-{n}.{INCARNATION}") for n in range(1, entries + 1)]
    records = {e: EntryRecord(e, ZONE, "10.0.0.1:8080", "10.0.0.1:8081") for e in ids}
    settings = entry_settings("entry-1", ZONE, partitions=partitions)
    core = Entry(records[ids[0]], INCARNATION, settings, ManualClock(1_000), Random(1))
    core.on_store_entries(records)
    core.on_store_snapshot(make_snapshot(make_services(services), 3))
    table = plan_table(None, dict.fromkeys(ids, ZONE), partitions)
    assert table is not None
    core.on_store_table(PartitionTable(1, table.partitions))
    core.on_store_contact(core.clock.now_ms(), Revision(5))
    return core


def make_heartbeat(number: int, sequence: int) -> bytes:
    """Return the encoded heartbeat of the agent with this number."""
    heartbeat = Heartbeat(
        AgentId(f"agent-{number:05d}"), INCARNATION, sequence,
        UpstreamId(f"upstream-{number:05d}"), ZONE,
        RackId(f"rack-{number // 20}"), f"10.{number >> 8}.{number & 255}.1:7000", 8, 60,
        Resources(64, 131_072, 2), SERVICES, False, Revision(1_000_000), Load(4, 0),
    )  # fmt: skip
    return encode(heartbeat)


def deliver_heartbeat(core: Entry, data: bytes) -> int:
    """Deliver an encoded heartbeat to ``core``; return the size in bytes of the permits sent."""
    heartbeat = decode(data)
    assert isinstance(heartbeat, Heartbeat)
    effects = core.on_agent_message(heartbeat.agent, heartbeat)
    return sum(len(encode(e.message)) for e in effects if isinstance(e, SendAgent))


def measure_entry() -> Iterator[Row]:
    """Measure an entry's CPU time and memory against the number of agents.

    The CPU time is that of answering heartbeats with permits, and of ticks.
    """
    heartbeat_us: dict[int, float] = {}
    tick_us: dict[int, float] = {}
    memory: dict[int, float] = {}
    size = 0
    for agents in AGENTS:
        core, heartbeat_timer, tick_timer = make_entry(), CpuTimer(), CpuTimer()
        rounds = 6_000 // agents + 2
        for sequence in range(rounds):
            sent = [make_heartbeat(n, sequence) for n in range(agents)]
            core.on_store_contact(core.clock.now_ms(), Revision(5))
            with heartbeat_timer:
                size = sum(deliver_heartbeat(core, data) for data in sent) // agents
            # 25 ticks of 20 ms cover one heartbeat interval, 500 ms.
            for _ in range(25):
                core.clock.advance(20)
                with tick_timer:
                    core.tick()
        heartbeat_us[agents] = heartbeat_timer.us / rounds / agents
        tick_us[agents] = tick_timer.us / rounds / 25

        def add_agents(agents: int = agents) -> Entry:
            entry = make_entry()
            for number in range(agents):
                deliver_heartbeat(entry, make_heartbeat(number, 1))
            return entry

        memory[agents] = allocated_bytes(add_agents) / 1e3
    yield Row("entry", "heartbeat and permit", "us each", "agents", heartbeat_us)
    yield Row("entry", "tick every 20 ms", "us", "agents", tick_us)
    yield Row("entry", "memory", "KB", "agents", memory)
    yield Row("entry", "Heartbeat", "bytes", "", {1: len(make_heartbeat(1, 100_000))})
    yield Row("entry", "Permit", "bytes", "", {1: size})


def measure_partitions() -> Iterator[Row]:
    """Measure the partition table against the number of partitions.

    The figures are the size of its stored value, and the CPU time to decode it, to apply a change
    of one partition, and of the entry's tick.
    """
    size: dict[int, float] = {}
    decode_us: dict[int, float] = {}
    change_us: dict[int, float] = {}
    tick_us: dict[int, float] = {}
    for partitions in PARTITIONS:
        core = make_entry(partitions=partitions)
        assert core.table is not None
        value = core.table.to_json()
        size[partitions] = len(value) / 1e3
        timer, change_timer, tick_timer = CpuTimer(), CpuTimer(), CpuTimer()
        for version in range(2, 12):
            with timer:
                table = PartitionTable.from_json(value, version)
            entries = list(table.partitions)
            last = entries[-1]
            entries[-1] = PartitionAssignment(last.leader, last.replicas, Epoch(version), Epoch(0))
            with change_timer:
                core.partition_manager.on_table(PartitionTable(version, tuple(entries)))
            for _ in range(50):
                core.clock.advance(20)
                with tick_timer:
                    core.tick()
        decode_us[partitions] = timer.us / 10
        change_us[partitions] = change_timer.us / 10
        tick_us[partitions] = tick_timer.us / 500
    yield Row("partitions", "value of the table", "KB", "partitions", size)
    yield Row("partitions", "decode and check", "us", "partitions", decode_us)
    yield Row("partitions", "PartitionManager.on_table, one changed", "us", "partitions", change_us)
    yield Row("partitions", "entry tick every 20 ms", "us", "partitions", tick_us)


def measure_peers() -> Iterator[Row]:
    """Measure the CPU time of one heartbeat interval with all other entries.

    It covers the entry's own heartbeats and those of the other entries, with the replies to both.
    """
    us: dict[int, float] = {}
    size = 0
    for entries in (3, 12, 36, 102):
        core, timer = make_entry(entries), CpuTimer()
        for sequence in range(1, 21):
            core.clock.advance(250)
            with timer:
                sent = [e for e in core.peers.tick() if isinstance(e, SendEntry)]
                own = [len(encode(effect.message)) for effect in sent]
            received = [
                (e.entry, encode(kind(e.entry, INCARNATION, sequence, Revision(5), 1, 20.0)))
                for e in sent
                for kind in (PeerHeartbeat, PeerReply)
            ]
            with timer:
                for peer, data in received:
                    for effect in core.on_entry_message(peer, decode(data)):
                        assert isinstance(effect, SendEntry)
                        encode(effect.message)
            size = own[0]
        us[entries] = timer.us / 20
    yield Row("peers", "one interval of 250 ms", "us", "entries", us)
    yield Row("peers", "PeerHeartbeat or PeerReply", "bytes", "", {1: size})


def measure_configuration() -> Iterator[Row]:
    """Measure the CPU time to apply a change of one service, client account or zone.

    Each is measured against a number: of services, of client accounts, and of agents. The sizes of
    the services' stored value and of a snapshot are measured against the number of services.
    """
    change_us: dict[int, float] = {}
    value_kb: dict[int, float] = {}
    snapshot_kb: dict[int, float] = {}
    for services in (100, 400, 800, 1_600):
        specs, core, timer = make_services(services), make_entry(), CpuTimer()
        core.on_store_snapshot(Snapshot(Revision(6), make_snapshot(specs, 1_100).values))
        value = make_value(specs)
        value_kb[services] = len(value) / 1e3
        for revision in range(7, 17):
            with timer:
                core.on_store_config([(part_key(Kind.SERVICE), value, Revision(revision))])
        change_us[services] = timer.us / 10
        request = SnapshotRequest(EntryId("entry-2"), Revision(1))
        (effect,) = core.on_entry_message(EntryId("entry-2"), request)
        assert isinstance(effect, SendEntry)
        snapshot_kb[services] = len(encode(effect.message)) / 1e3
    yield Row("configuration", "apply one change of a service", "us", "services", change_us)
    yield Row("configuration", "value of the services", "KB", "services", value_kb)
    yield Row("configuration", "Snapshot, 1,100 teams", "KB", "services", snapshot_kb)
    teams_us: dict[int, float] = {}
    for teams in (100, 300, 1_100):
        core, timer = make_entry(), CpuTimer()
        core.on_store_snapshot(Snapshot(Revision(6), make_snapshot([], teams).values))
        value = make_snapshot([], teams).values[part_key(Kind.TEAM)]
        for revision in range(7, 17):
            with timer:
                core.on_store_config([(part_key(Kind.TEAM), value, Revision(revision))])
        teams_us[teams] = timer.us / 10
    yield Row("configuration", "apply one change of a team", "us", "teams", teams_us)
    agents_us: dict[int, float] = {}
    for agents in AGENTS:
        core, timer = make_entry(), CpuTimer()
        for number in range(agents):
            deliver_heartbeat(core, make_heartbeat(number, 1))
        value = make_value([ZoneSpec(ZONE)])
        for revision in range(7, 17):
            with timer:
                core.on_store_config([(part_key(Kind.ZONE), value, Revision(revision))])
        agents_us[agents] = timer.us / 10
    yield Row("configuration", "apply one change of a zone", "us", "agents", agents_us)


def run_singles(group: ReplicaGroup, first: int, count: int, agents: list[AgentId]) -> float:
    """Run single requests one by one, each with its own candidates; return the CPU microseconds."""
    seconds = sum(run_jobs(group, n, 1, 1, agents) for n in range(first, first + count))
    return seconds * 1e6


def measure_submissions() -> Iterator[Row]:
    """Measure replication of a single request's record against the number of candidate agents.

    Measured with three replicas: the CPU time of the leader and of each other replica, the bytes of
    the messages, and the memory of the retained records.
    """
    leader_us: dict[int, float] = {}
    replica_us: dict[int, float] = {}
    size: dict[int, float] = {}
    leader_kb: dict[int, float] = {}
    replica_kb: dict[int, float] = {}
    limits, count = PartitionLimits(partitions=8), 400
    for candidates in (10, 30, 100, 256):
        agents = [AgentId(f"agent-{n:05d}") for n in range(candidates)]
        group = ReplicaGroup(3, limits)
        total = run_singles(group, 0, count, agents)
        leader_us[candidates] = (total - group.replica_s * 1e6) / count
        replica_us[candidates] = group.replica_s * 1e6 / 2 / count
        size[candidates] = sum(group.bytes.values()) / count
        record_bytes = {}
        for replicas in (1, 3):
            group = ReplicaGroup(replicas, limits)
            run_singles(group, 0, 50, agents)
            record_bytes[replicas] = (
                allocated_bytes(lambda g=group, a=agents: run_singles(g, 50, count, a)) / count
            )
        leader_kb[candidates] = record_bytes[1] / 1e3
        replica_kb[candidates] = (record_bytes[3] - record_bytes[1]) / 2 / 1e3
    yield Row("submissions", "leader, single request", "us", "candidates", leader_us)
    yield Row("submissions", "each of two other replicas", "us", "candidates", replica_us)
    yield Row("submissions", "messages between entries", "bytes", "candidates", size)
    yield Row("submissions", "kept record at the leader", "KB", "candidates", leader_kb)
    yield Row("submissions", "kept record at a replica", "KB", "candidates", replica_kb)


def make_dispatcher(agents: int, teams: int) -> tuple[Dispatcher, ManualClock]:
    """Return a dispatcher with idle agents, 20 in each rack, and its clock."""
    clock = ManualClock(10_000)
    dispatcher = Dispatcher(clock, Random(1), ZONE, ExpectedFinish(), DispatchLimits())
    specs = [TeamSpec(TeamName(f"team-{n}"), 1_000_000) for n in range(teams)]
    dispatcher.on_configuration([ServiceSpec(SERVICES[0])], specs, [ZONE], ConfigurationSpec())
    for number in range(agents):
        dispatcher.on_agent(
            AgentView(
                AgentId(f"agent-{number:05d}"), INCARNATION, UpstreamId(f"upstream-{number}"), ZONE,
                RackId(f"rack-{number // 20}"), 8, Resources(64, 131_072, 2), frozenset(SERVICES),
                False, Load(), True, clock.now_ms(),
            )
        )  # fmt: skip
    clock.advance(3_000)
    return dispatcher, clock


def run_placement(agents: int, teams: int) -> tuple[float, float, float]:
    """Return the CPU microseconds of a placement decision, an admission and an assessment.

    The decision includes the processing of the task's result. The assessment updates the estimates
    of the upstreams; it runs every 100 ms, less often with more than 500 agents.
    """
    dispatcher, clock = make_dispatcher(agents, teams)
    place, admit, assess = CpuTimer(), CpuTimer(), CpuTimer()
    candidate_ids = frozenset(AgentId(f"agent-{n:05d}") for n in range(min(agents, 256)))
    decisions = 0
    for batch in range(30):
        waiting = []
        for number in range(64):
            key, team = ScopedKey(f"t/{batch}-{number}"), TeamName(f"team-{number * 17 % teams}")
            submission = Submission(
                RequestId("r"), EntryId("e"), key, Digest("0" * 32), SERVICES[0], team, [b"x"],
                clock.now_ms() + 60_000, False, True, Resources(),
            )  # fmt: skip
            with admit:
                assert dispatcher.admit(submission) is None
                dispatcher.candidates(submission)
            waiting.append(
                TaskReady(
                    key, TaskIndex(0), SERVICES[0], team, Resources(), clock.now_ms() + 60_000, 1,
                    candidate_ids,
                )
            )  # fmt: skip
        with place:
            dispatcher.enqueue(waiting)
            grants = dispatcher.next_grants()
            for g in grants:
                dispatcher.on_result(g.agent, g.key, g.task, TaskState.OK, 200.0, Load())
        decisions += len(grants)
        clock.advance(120)
        with assess:
            dispatcher.next_grants()
    return place.us / decisions, admit.us / 30 / 64, assess.us / 30


def measure_placement() -> Iterator[Row]:
    """Measure the CPU time of placement against the numbers of agents and of client accounts.

    The figures are those of a decision, an admission, and an assessment of the upstreams.
    """
    by_agents = {n: run_placement(n, 10) for n in (10, 100, 300, 1_300)}
    by_teams = {n: run_placement(100, n) for n in (10, 100, 300, 1_100)}
    for against, runs in (("agents", by_agents), ("teams", by_teams)):
        figures = ("enqueue, grant and end of a task", "admit, list candidates", "assessment")
        for index, figure in enumerate(figures):
            points = {n: run[index] for n, run in runs.items()}
            yield Row("placement", figure, "us", against, points)


def measure_agent() -> Iterator[Row]:
    """Measure an agent's core: CPU time of a task and of heartbeats, and memory of records.

    The heartbeats are those of one second, measured against the number of entries.
    """
    yield Row("agent", "core, task", "us", "", {1: run_core(CORE_TASKS, 1, forget=False)[0]})
    for tasks, figure in ((1, "records of single requests"), (100, "records of jobs of 100")):
        points = {n: allocated_bytes(lambda n=n, t=tasks: run_core(n, t, True)[1]) / 1e3
                  for n in (1_000, 2_000, 5_000)}  # fmt: skip
        yield Row("agent", figure, "KB", "records", points)
    heartbeats_us: dict[int, float] = {}
    for entries in (3, 9, 36, 102):
        clock = ManualClock()
        agent, timer = make_agent(clock), CpuTimer()
        agent.on_entries([EntryId(f"entry-{n}.{INCARNATION}") for n in range(entries)])
        for _ in range(100):
            clock.advance(50)
            with timer:
                for action in agent.tick():
                    if isinstance(action, Send):
                        encode(action.message)
                        permit = Permit(action.entry, agent.sequence, Revision(1), True, 1_500)
                        agent.on_message(action.entry, decode(encode(permit)))
        # 100 ticks of 50 ms cover 5 s.
        heartbeats_us[entries] = timer.us / 5
    yield Row("agent", "core, heartbeats of one second", "us", "entries", heartbeats_us)


def measure_log() -> Iterator[Row]:
    """Measure the CPU time and size of the log line of a placement decision, written to a file."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "entry.log"
        log = Log.from_config(LogSettings(file=str(path)), entry=f"entry-1.{INCARNATION}")
        fields: dict[str, object] = {
            "key": "annex/00000000000000000000000000000042", "task": 17, "agent": "agent-00042",
            "why": "load 3 of 8, expected 215 ms",
        }  # fmt: skip
        timer = CpuTimer()
        with timer:
            for _ in range(10_000):
                log.info("place", "granted a task", **fields)
        yield Row("log", "line of a decision", "us", "", {1: timer.us / 10_000})
        yield Row("log", "line of a decision", "bytes", "", {1: path.stat().st_size / 10_000})
