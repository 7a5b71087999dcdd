import msgspec
from hypothesis import given
from hypothesis import strategies as st

from snipewell.configuration import Configuration
from snipewell.effect import LogRecord
from snipewell.group import (
    PartContent,
    StoredResource,
    active_items,
    encode_part,
    part_key,
    part_of,
    split_part,
)
from snipewell.ids import Revision, ServiceName, TeamName, UpstreamId, ZoneId
from snipewell.message import Snapshot
from snipewell.resource import Kind

PATAN, KIRTIPUR = ZoneId("patan"), ZoneId("kirtipur")


def item(version: int, generation: int = 1, **spec: object) -> StoredResource:
    return StoredResource(msgspec.Raw(msgspec.json.encode(spec)), generation, version)


def zones(base: int, **states: tuple[int, bool]) -> bytes:
    items = {n: item(v, name=n, in_service=s) for n, (v, s) in states.items()}
    return encode_part(PartContent(items=items, base=base))


KEY = part_key(Kind.ZONE)


def log_texts(configuration: Configuration) -> list[str]:
    return [
        record.text for record in configuration.take_log_records() if isinstance(record, LogRecord)
    ]


def test_nothing_is_in_service_before_the_first_value() -> None:
    """Guards against an entry granting permits for a stopped zone before it has read a value."""
    configuration = Configuration()
    assert not configuration.accepts(PATAN, UpstreamId("u1"))
    assert configuration.service(ServiceName("intake")) is None
    assert configuration.team(TeamName("annex")).weight == 1


def test_a_lower_revision_never_overrides() -> None:
    """Guards against a late watch answer or an old snapshot returning a zone to service."""
    configuration = Configuration()
    assert configuration.apply(KEY, zones(0, patan=(1, True)), Revision(3))
    assert configuration.apply(KEY, zones(3, patan=(4, False)), Revision(9))
    assert not configuration.apply(KEY, zones(0, patan=(1, True)), Revision(3))
    assert not configuration.apply_snapshot(Snapshot(Revision(8), {KEY: zones(0, patan=(1, True))}))
    assert not configuration.accepts(PATAN, UpstreamId("u1"))


def test_a_value_written_after_the_store_was_rolled_back_keeps_newer_items() -> None:
    """Guards against a zone returned to service by the first write after a store rollback."""
    configuration = Configuration()
    configuration.apply(KEY, zones(0, patan=(1, True), kirtipur=(1, True)), Revision(3))
    configuration.apply(KEY, zones(3, patan=(4, False), kirtipur=(1, True)), Revision(9))
    configuration.observe_store(Revision(9))
    configuration.observe_store(Revision(3))
    assert not configuration.store_behind
    configuration.observe_store(Revision(3))
    assert configuration.store_behind
    written = zones(3, patan=(1, True), kirtipur=(10, False))
    assert configuration.apply(KEY, written, Revision(11))
    assert not configuration.zone_in_service(PATAN)
    assert not configuration.zone_in_service(KIRTIPUR)
    assert [text[:5] for text in log_texts(configuration)] == ["ALARM", "ALARM"]


def test_an_unreadable_value_leaves_the_last_one_in_force() -> None:
    """Guards against a corrupt or incompatible value emptying the list of zones."""
    configuration = Configuration()
    configuration.apply(KEY, zones(0, patan=(1, True)), Revision(3))
    configuration.apply(KEY, b"{", Revision(4))
    newer = PartContent(items={"patan": item(5, name="patan", unheard_of=1)}, base=4)
    configuration.apply(KEY, encode_part(newer), Revision(5))
    assert configuration.zone_in_service(PATAN)
    assert len(log_texts(configuration)) == 2


def test_a_snapshot_brings_another_entry_to_the_same_state() -> None:
    """Guards against a missing key on an entry that joins during an outage of the store."""
    first, second = Configuration(), Configuration()
    first.apply(KEY, zones(0, patan=(1, True)), Revision(3))
    upstreams = PartContent(items={"u1": item(4, name="u1", in_service=False)}, base=0)
    first.apply(part_key(Kind.UPSTREAM), encode_part(upstreams), Revision(4))
    assert second.apply_snapshot(first.snapshot())
    assert second.snapshot() == first.snapshot()
    assert second.accepts(PATAN, UpstreamId("u2"))
    assert not second.accepts(PATAN, UpstreamId("u1"))


def test_a_split_part_keeps_every_item_in_exactly_one_part() -> None:
    """Guards against lost or duplicated client accounts when their value grows towards 1 MB."""
    names = [f"team-{number}" for number in range(60)]
    whole = PartContent(items={name: item(1, name=name) for name in names}, base=0)
    parts = {1: PartContent(split=True, base=5)} | split_part(1, whole, Revision(5))
    parts |= split_part(2, parts[2], Revision(6)) | {2: PartContent(split=True, base=6)}
    assert active_items(parts) == whole.items
    assert all(name in parts[part_of(name, parts)].items for name in names)


@st.composite
def histories(draw: st.DrawFn) -> list[tuple[int, bytes, Snapshot]]:
    """Generate a store's history of the zones as (revision, value, snapshot), newest last."""
    history: list[tuple[int, bytes, Snapshot]] = []
    revision, states = 0, {}
    for _ in range(draw(st.integers(2, 8))):
        version = revision + 1
        states[draw(st.sampled_from(["patan", "kirtipur"]))] = (version, draw(st.booleans()))
        base, revision = (history[-1][0] if history else 0), revision + draw(st.integers(1, 3))
        value = zones(base, **states)
        history.append((revision, value, Snapshot(Revision(revision), {KEY: value})))
    return history


@given(histories(), st.lists(st.tuples(st.integers(0, 7), st.booleans()), max_size=24))
def test_the_configuration_in_force_never_reverts(
    history: list[tuple[int, bytes, Snapshot]], arrivals: list[tuple[int, bool]]
) -> None:
    """Guards against an order of events and snapshots that reverts an item that was in force."""
    configuration = Configuration()
    versions: dict[str, int] = {}
    highest = 0
    for index, as_snapshot in arrivals:
        revision, value, snapshot = history[index % len(history)]
        if as_snapshot:
            applied = configuration.apply_snapshot(snapshot)
        else:
            applied = configuration.apply(KEY, value, Revision(revision))
        assert applied == (revision > highest)
        highest = max(highest, revision)
        assert configuration.revision == highest
        now = {name: found.version for name, found in configuration.items(Kind.ZONE).items()}
        assert all(now[name] >= version for name, version in versions.items())
        versions = now
