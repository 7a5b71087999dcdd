"""Slopes of the sans-I/O cores: processor time, bytes of messages, memory."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from pathlib import Path
from random import Random

import msgspec

from bench.agent import make_agent, run_core
from bench.capacity_row import Row, Spent, allocated_bytes
from bench.submissions import Group as HolderGroup
from bench.submissions import run_jobs
from snipewell.clock import ManualClock
from snipewell.dispatch import Dispatcher, DispatchLimits
from snipewell.effect import SendAgent, SendEntry, Submission, TaskReady
from snipewell.entry import Entry
from snipewell.group import Group, Item, encode_group, part_key
from snipewell.home import HomeLimits
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
from snipewell.ledger import Send
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
from snipewell.partition import PartitionEntry, PartitionTable, plan_table
from snipewell.peer import EntryRecord
from snipewell.placement import ExpectedFinish
from snipewell.resource import ConfigurationSpec, Kind, ServiceSpec, Spec, TeamSpec, ZoneSpec
from snipewell.settings import LogSettings
from snipewell.standins.cluster import entry_settings
from snipewell.view import AgentView

ZONE = ZoneId("zone-c")
SERVICES = [ServiceName(name) for name in ("inspect", "compare", "order")]
LIFE = Incarnation("0123456789abcdef")
AGENTS = (10, 100, 300, 1_000)
PARTITIONS = (64, 512, 4_096)
CORE_TASKS = 10_000


def make_value(specs: list[Spec]) -> bytes:
    """Return the stored value of resources of one kind."""
    items = {s.name: Item(msgspec.Raw(msgspec.json.encode(s)), 1, 1_000_000) for s in specs}
    return encode_group(Group(items, base=1_000_000))


def make_services(count: int) -> list[Spec]:
    """Return services with a zone list, as operators declare them."""
    zones = [ZoneId(f"region-{n}-zone-a") for n in range(3)]
    return [ServiceSpec(ServiceName(f"service-{n:05d}"), True, zones) for n in range(count)]


def make_snapshot(services: list[Spec], teams: int) -> Snapshot:
    """Return a configuration with one zone in service."""
    names = [TeamSpec(TeamName(f"team-{n:05d}"), 10_000, 2) for n in range(teams)]
    values = {
        part_key(Kind.ZONE): make_value([ZoneSpec(ZONE)]),
        part_key(Kind.SERVICE): make_value(services),
        part_key(Kind.TEAM): make_value(list(names)),
    }
    return Snapshot(Revision(5), values)


def make_entry(entries: int = 3, partitions: int = 64, services: int = 3) -> Entry:
    """Return the core of the first of ``entries`` entries, with a table and in touch."""
    ids = [EntryId(f"entry-{n}.{LIFE}") for n in range(1, entries + 1)]
    records = {e: EntryRecord(e, ZONE, "10.0.0.1:8080", "10.0.0.1:8081") for e in ids}
    settings = entry_settings("entry-1", ZONE, partitions=partitions)
    core = Entry(records[ids[0]], LIFE, settings, ManualClock(1_000), Random(1))
    core.on_store_entries(records)
    core.on_store_snapshot(make_snapshot(make_services(services), 3))
    table = plan_table(None, dict.fromkeys(ids, ZONE), partitions)
    assert table is not None
    core.on_store_table(PartitionTable(1, table.partitions))
    core.on_store_contact(core.clock.now_ms(), Revision(5))
    return core


def make_beat(number: int, sequence: int) -> bytes:
    """Return an encoded heartbeat."""
    beat = Heartbeat(
        AgentId(f"agent-{number:05d}"), LIFE, sequence, UpstreamId(f"upstream-{number:05d}"), ZONE,
        RackId(f"rack-{number // 20}"), f"10.{number >> 8}.{number & 255}.1:7000", 8, 60,
        Resources(64, 131_072, 2), SERVICES, False, Revision(1_000_000), Load(4, 0),
    )  # fmt: skip
    return encode(beat)


def hear(core: Entry, data: bytes) -> int:
    """Give ``core`` an encoded heartbeat; return the bytes of the permits that it sends."""
    beat = decode(data)
    assert isinstance(beat, Heartbeat)
    effects = core.on_agent_message(beat.agent, beat)
    return sum(len(encode(e.message)) for e in effects if isinstance(e, SendAgent))


def measure_entry() -> Iterator[Row]:
    """Measure heartbeats answered by permits, ticks and memory against agents."""
    beat_us: dict[int, float] = {}
    tick_us: dict[int, float] = {}
    memory: dict[int, float] = {}
    size = 0
    for agents in AGENTS:
        core, beats, ticks = make_entry(), Spent(), Spent()
        rounds = 6_000 // agents + 2
        for sequence in range(rounds):
            sent = [make_beat(n, sequence) for n in range(agents)]
            core.on_store_contact(core.clock.now_ms(), Revision(5))
            with beats:
                size = sum(hear(core, data) for data in sent) // agents
            for _ in range(25):
                core.clock.advance(20)
                with ticks:
                    core.tick()
        beat_us[agents] = beats.us / rounds / agents
        tick_us[agents] = ticks.us / rounds / 25

        def join(agents: int = agents) -> Entry:
            joined = make_entry()
            for number in range(agents):
                hear(joined, make_beat(number, 1))
            return joined

        memory[agents] = allocated_bytes(join) / 1e3
    yield Row("entry", "heartbeat and permit", "us each", "agents", beat_us)
    yield Row("entry", "tick every 20 ms", "us", "agents", tick_us)
    yield Row("entry", "memory", "KB", "agents", memory)
    yield Row("entry", "Heartbeat", "bytes", "", {1: len(make_beat(1, 100_000))})
    yield Row("entry", "Permit", "bytes", "", {1: size})


def measure_partitions() -> Iterator[Row]:
    """Measure the table: value, decode, ``on_table`` of one change, and the entry's tick."""
    size: dict[int, float] = {}
    decode_us: dict[int, float] = {}
    change_us: dict[int, float] = {}
    tick_us: dict[int, float] = {}
    for partitions in PARTITIONS:
        core = make_entry(partitions=partitions)
        assert core.table is not None
        value = core.table.to_json()
        size[partitions] = len(value) / 1e3
        spent, changed, ticks = Spent(), Spent(), Spent()
        for version in range(2, 12):
            with spent:
                table = PartitionTable.from_json(value, version)
            entries = list(table.partitions)
            last = entries[-1]
            entries[-1] = PartitionEntry(last.home, last.holders, Epoch(version), Epoch(0))
            with changed:
                core.homes.on_table(PartitionTable(version, tuple(entries)))
            for _ in range(50):
                core.clock.advance(20)
                with ticks:
                    core.tick()
        decode_us[partitions] = spent.us / 10
        change_us[partitions] = changed.us / 10
        tick_us[partitions] = ticks.us / 500
    yield Row("partitions", "value of the table", "KB", "partitions", size)
    yield Row("partitions", "decode and check", "us", "partitions", decode_us)
    yield Row("partitions", "Homes.on_table, one changed", "us", "partitions", change_us)
    yield Row("partitions", "entry tick every 20 ms", "us", "partitions", tick_us)


def measure_peers() -> Iterator[Row]:
    """Measure one interval of heartbeats with all other entries: own and theirs, with replies."""
    us: dict[int, float] = {}
    size = 0
    for entries in (3, 12, 36, 102):
        core, spent = make_entry(entries), Spent()
        for sequence in range(1, 21):
            core.clock.advance(250)
            with spent:
                sent = [e for e in core.peers.tick() if isinstance(e, SendEntry)]
                own = [len(encode(effect.message)) for effect in sent]
            theirs = [
                (e.entry, encode(kind(e.entry, LIFE, sequence, Revision(5), 1, 20.0)))
                for e in sent
                for kind in (PeerHeartbeat, PeerReply)
            ]
            with spent:
                for peer, data in theirs:
                    for effect in core.on_entry_message(peer, decode(data)):
                        assert isinstance(effect, SendEntry)
                        encode(effect.message)
            size = own[0]
        us[entries] = spent.us / 20
    yield Row("peers", "one interval of 250 ms", "us", "entries", us)
    yield Row("peers", "PeerHeartbeat or PeerReply", "bytes", "", {1: size})


def measure_configuration() -> Iterator[Row]:
    """Measure one change of a service or zone, against services and agents, and values."""
    change_us: dict[int, float] = {}
    value_kb: dict[int, float] = {}
    snapshot_kb: dict[int, float] = {}
    for services in (100, 400, 800, 1_600):
        specs, core, spent = make_services(services), make_entry(), Spent()
        core.on_store_snapshot(Snapshot(Revision(6), make_snapshot(specs, 1_100).values))
        value = make_value(specs)
        value_kb[services] = len(value) / 1e3
        for revision in range(7, 17):
            with spent:
                core.on_store_config([(part_key(Kind.SERVICE), value, Revision(revision))])
        change_us[services] = spent.us / 10
        late = SnapshotRequest(EntryId("entry-2"), Revision(1))
        (effect,) = core.on_entry_message(EntryId("entry-2"), late)
        assert isinstance(effect, SendEntry)
        snapshot_kb[services] = len(encode(effect.message)) / 1e3
    yield Row("configuration", "apply one change of a service", "us", "services", change_us)
    yield Row("configuration", "value of the services", "KB", "services", value_kb)
    yield Row("configuration", "Snapshot, 1,100 teams", "KB", "services", snapshot_kb)
    teams_us: dict[int, float] = {}
    for teams in (100, 300, 1_100):
        core, spent = make_entry(), Spent()
        core.on_store_snapshot(Snapshot(Revision(6), make_snapshot([], teams).values))
        value = make_snapshot([], teams).values[part_key(Kind.TEAM)]
        for revision in range(7, 17):
            with spent:
                core.on_store_config([(part_key(Kind.TEAM), value, Revision(revision))])
        teams_us[teams] = spent.us / 10
    yield Row("configuration", "apply one change of a team", "us", "teams", teams_us)
    agents_us: dict[int, float] = {}
    for agents in AGENTS:
        core, spent = make_entry(), Spent()
        for number in range(agents):
            hear(core, make_beat(number, 1))
        value = make_value([ZoneSpec(ZONE)])
        for revision in range(7, 17):
            with spent:
                core.on_store_config([(part_key(Kind.ZONE), value, Revision(revision))])
        agents_us[agents] = spent.us / 10
    yield Row("configuration", "apply one change of a zone", "us", "agents", agents_us)


def run_singles(group: HolderGroup, first: int, count: int, agents: list[AgentId]) -> float:
    """Run single requests one by one, each with candidates of its own; return microseconds."""
    seconds = sum(run_jobs(group, n, 1, 1, agents) for n in range(first, first + count))
    return seconds * 1e6


def measure_submissions() -> Iterator[Row]:
    """Measure holding a key at three holders, and memory of kept records, against candidates."""
    home_us: dict[int, float] = {}
    holder_us: dict[int, float] = {}
    size: dict[int, float] = {}
    home_kb: dict[int, float] = {}
    holder_kb: dict[int, float] = {}
    limits, count = HomeLimits(partitions=8), 400
    for candidates in (10, 30, 100, 256):
        agents = [AgentId(f"agent-{n:05d}") for n in range(candidates)]
        group = HolderGroup(3, limits)
        total = run_singles(group, 0, count, agents)
        home_us[candidates] = (total - group.holder_s * 1e6) / count
        holder_us[candidates] = group.holder_s * 1e6 / 2 / count
        size[candidates] = sum(group.bytes.values()) / count
        kept = {}
        for holders in (1, 3):
            group = HolderGroup(holders, limits)
            run_singles(group, 0, 50, agents)
            kept[holders] = (
                allocated_bytes(lambda g=group, a=agents: run_singles(g, 50, count, a)) / count
            )
        home_kb[candidates] = kept[1] / 1e3
        holder_kb[candidates] = (kept[3] - kept[1]) / 2 / 1e3
    yield Row("submissions", "home, single request", "us", "candidates", home_us)
    yield Row("submissions", "each of two other holders", "us", "candidates", holder_us)
    yield Row("submissions", "messages between entries", "bytes", "candidates", size)
    yield Row("submissions", "kept record at the home", "KB", "candidates", home_kb)
    yield Row("submissions", "kept record at a holder", "KB", "candidates", holder_kb)


def make_dispatcher(agents: int, teams: int) -> tuple[Dispatcher, ManualClock]:
    """Return a dispatcher with idle agents in 20s to a rack."""
    clock = ManualClock(10_000)
    dispatcher = Dispatcher(clock, Random(1), ZONE, ExpectedFinish(), DispatchLimits())
    specs = [TeamSpec(TeamName(f"team-{n}"), 1_000_000) for n in range(teams)]
    dispatcher.on_configuration([ServiceSpec(SERVICES[0])], specs, [ZONE], ConfigurationSpec())
    for number in range(agents):
        dispatcher.on_agent(
            AgentView(
                AgentId(f"agent-{number:05d}"), LIFE, UpstreamId(f"upstream-{number}"), ZONE,
                RackId(f"rack-{number // 20}"), 8, Resources(64, 131_072, 2), frozenset(SERVICES),
                False, Load(), True, clock.now_ms(),
            )
        )  # fmt: skip
    clock.advance(3_000)
    return dispatcher, clock


def run_placement(agents: int, teams: int) -> tuple[float, float, float]:
    """Return microseconds of a decision with its task's end, of admission, of an assessment."""
    dispatcher, clock = make_dispatcher(agents, teams)
    place, admit, assess = Spent(), Spent(), Spent()
    names = frozenset(AgentId(f"agent-{n:05d}") for n in range(min(agents, 256)))
    decided = 0
    for turn in range(30):
        waiting = []
        for number in range(64):
            key, team = ScopedKey(f"t/{turn}-{number}"), TeamName(f"team-{number * 17 % teams}")
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
                    names,
                )
            )  # fmt: skip
        with place:
            dispatcher.enqueue(waiting)
            grants = dispatcher.next_grants()
            for g in grants:
                dispatcher.on_result(g.agent, g.key, g.task, TaskState.OK, 200.0, Load())
        decided += len(grants)
        clock.advance(120)
        with assess:
            dispatcher.next_grants()
    return place.us / decided, admit.us / 30 / 64, assess.us / 30


def measure_placement() -> Iterator[Row]:
    """Measure decisions, admission and the assessment every 100 ms, against agents and teams."""
    by_agents = {n: run_placement(n, 10) for n in (10, 100, 300, 1_300)}
    by_teams = {n: run_placement(100, n) for n in (10, 100, 300, 1_100)}
    for against, runs in (("agents", by_agents), ("teams", by_teams)):
        figures = ("enqueue, grant and end of a task", "admit, list candidates", "assessment")
        for index, figure in enumerate(figures):
            points = {n: run[index] for n, run in runs.items()}
            yield Row("placement", figure, "us", against, points)


def measure_agent() -> Iterator[Row]:
    """Measure an agent's core: task, record, and one second of heartbeats against entries."""
    yield Row("agent", "core, task", "us", "", {1: run_core(CORE_TASKS, 1, forget=False)[0]})
    for tasks, figure in ((1, "records of single requests"), (100, "records of jobs of 100")):
        points = {n: allocated_bytes(lambda n=n, t=tasks: run_core(n, t, True)[1]) / 1e3
                  for n in (1_000, 2_000, 5_000)}  # fmt: skip
        yield Row("agent", figure, "KB", "records", points)
    second_us: dict[int, float] = {}
    for entries in (3, 9, 36, 102):
        clock = ManualClock()
        agent, spent = make_agent(clock), Spent()
        agent.on_entries([EntryId(f"entry-{n}.{LIFE}") for n in range(entries)])
        for _ in range(100):
            clock.advance(50)
            with spent:
                for action in agent.tick():
                    if isinstance(action, Send):
                        encode(action.message)
                        permit = Permit(action.entry, agent.sequence, Revision(1), True, 1_500)
                        agent.on_message(action.entry, decode(encode(permit)))
        second_us[entries] = spent.us / 5
    yield Row("agent", "core, heartbeats of one second", "us", "entries", second_us)


def measure_log() -> Iterator[Row]:
    """Measure one log line for each placement decision, into a file."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "entry.log"
        log = Log.from_config(LogSettings(file=str(path)), entry=f"entry-1.{LIFE}")
        fields: dict[str, object] = {
            "key": "annex/00000000000000000000000000000042", "task": 17, "agent": "agent-00042",
            "why": "load 3 of 8, expected 215 ms",
        }  # fmt: skip
        spent = Spent()
        with spent:
            for _ in range(10_000):
                log.info("place", "granted a task", **fields)
        yield Row("log", "line of a decision", "us", "", {1: spent.us / 10_000})
        yield Row("log", "line of a decision", "bytes", "", {1: path.stat().st_size / 10_000})
