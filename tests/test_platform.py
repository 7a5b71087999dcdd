"""Test the platform adapter.

Guards against wrong translations of the platform's messages, and against malformed input that
isn't rejected or affects other data.
"""

from __future__ import annotations

import base64
import socket
import threading
from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

import curio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from snipewell.clock import SystemClock
from snipewell.desiredstate import CatalogError
from snipewell.errors import SettingsError
from snipewell.ids import Revision, UpstreamId
from snipewell.job import (
    Catalog,
    JobEnded,
    JobId,
    JobOutcome,
    JobRefused,
    JobSpec,
    JobState,
    JobUnknown,
    Queue,
    QueueName,
    ResourceVector,
    RunEnd,
)
from snipewell.listener import open_listener
from snipewell.log import Log
from snipewell.platform.boot import parse_boot_settings
from snipewell.platform.configuration import decode_catalog, zone_out_of_service
from snipewell.platform.frontend import Frontend
from snipewell.platform.jobs import (
    JobFormatError,
    decode_client_wait_ms,
    decode_job,
    encode_outcome,
    parse_job_path,
)
from snipewell.platform.registration import Registrar
from snipewell.platform.store import PlatformStore
from snipewell.platform.upstream import (
    ExpectedUpstream,
    RegistrationError,
    UpstreamClient,
    _Runs,
    _to_runs,
    decode_heartbeat,
    from_task_name,
    parse_registration_path,
    to_task_name,
)
from snipewell.standins.metadata import PAGE_SIZE, MetadataStore, StoreFaults
from snipewell.store import Listing, PrefixWatcher, StoreUnreachableError
from snipewell.upstreamcall import CallHold, CallStart, StartResult, Upstream
from snipewell.web import Request

from .oddmessages import OPTIONAL_FIELDS, odd_heartbeats

T = TypeVar("T")

BOOT_SETTINGS = """\
nodeName=side-1
ip=10.1.0.14
zone=patan
listenAddresses.controlPlane=10.1.0.14:8166
internalPortRange=7720,7735
platform.address=10.200.1.7:8169
bounds.maxHoldMs=1000
bounds.gracePeriodS=6
app=10.1.0.14:8165
somethingNew=1
"""

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "Nony24.example",
            "pathPrefix": "/lohu930/",
            "priority": 2,
            "service": "huvo11a",
            "maxAttempts": 3,
            "stretchFactor": 1.6,
            "targetLatencyMs": 60,
            "timeoutMs": 1500,
        },
        {"name": "r-2", "host": "nony24.example", "pathPrefix": "/lohu930/deep/", "service": "s"},
    ],
    "services": [{"name": "huvo11a"}],
    "limits": {"maxBodyBytes": 1000},
}

JOB = {
    "specification": "text",
    "bestEffort": True,
    "steps": [
        {"count": 4, "cpu": 500, "memMb": 256, "estimatedMs": 900, "affinity": "r1-3"},
        {"count": 2, "cpu": 2000, "estimatedMs": 700, "after": [0], "requirements": "a"},
    ],
}

HEARTBEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "pos-east",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpus": 0},
    "labels": ["a", "r1-3"],
    "born": 1_700_000_000_000,
    "clockMs": 482_113,
    "machineId": "m-1e755",
}

JOB_ID = JobId("5c0e7a21d94b36f8")


def encode(value: object) -> bytes:
    return msgspec.json.encode(value)


def test_settings_are_parsed_and_unknown_fields_ignored() -> None:
    boot = parse_boot_settings(BOOT_SETTINGS)
    assert (boot.name, boot.zone, boot.first_port) == ("side-1", "patan", 7720)
    assert (boot.max_lease_ms, boot.grace_ms) == (1_000.0, 6_000.0)
    assert boot.spread_factor == 1.0
    assert parse_boot_settings(f"{BOOT_SETTINGS}\nbounds.spreadFactor=2").spread_factor == 2.0


@pytest.mark.parametrize(
    ("text", "part"),
    [
        (BOOT_SETTINGS.replace("nodeName=side-1\n", ""), "nodeName"),
        (BOOT_SETTINGS.replace("7720,7735", "7720"), "internalPortRange"),
        (BOOT_SETTINGS.replace("maxHoldMs=1000", "maxHoldMs=soon"), "maxHoldMs"),
        ("what is this", "expected name=value"),
    ],
)
def test_invalid_settings_raise_an_error_that_names_the_field(text: str, part: str) -> None:
    with pytest.raises(SettingsError, match=part):
        parse_boot_settings(text, "boot.conf")


def test_a_configuration_is_decoded_as_a_catalog() -> None:
    catalog = decode_catalog(encode(CONFIGURATION), Revision(42))
    assert (catalog.revision, catalog.version, catalog.max_body_bytes) == (42, "7", 1000)
    queue = catalog.find("nony24.example", f"/lohu930/{JOB_ID}")
    assert queue is not None
    assert (queue.name, queue.max_attempts, queue.stretch, queue.latency_ms) == ("r-1", 3, 1.6, 60)


def test_the_longest_prefix_selects_the_queue() -> None:
    catalog = decode_catalog(encode(CONFIGURATION), Revision(1))
    queue = catalog.find("nony24.example", f"/lohu930/deep/{JOB_ID}")
    assert queue is not None
    assert queue.name == "r-2"
    assert catalog.find("nony24.example", "/other/") is None
    assert catalog.find("else.example", "/lohu930/") is None


def test_a_queue_with_recommendations_is_marked_as_unsupported() -> None:
    routes = [{**CONFIGURATION["routes"][1], "recommendation": {"decisionMs": 5}}]  # type: ignore[index,dict-item]
    catalog = decode_catalog(encode({**CONFIGURATION, "routes": routes}), Revision(1))
    assert catalog.queues[0].unsupported


@given(st.binary(max_size=200))
def test_random_bytes_are_rejected_as_a_catalog(value: bytes) -> None:
    with pytest.raises(CatalogError):
        decode_catalog(value, Revision(1))


def test_only_evacuation_keys_name_a_zone() -> None:
    assert zone_out_of_service("op/evacuate/patan") == "patan"
    assert zone_out_of_service("op/config") == ""


def test_a_job_is_decoded() -> None:
    spec = decode_job(JOB_ID, encode(JOB))
    first, second = spec.steps
    assert (spec.durable, spec.find_unsupported(), spec.chain_ms()) == (False, "", 1_600.0)
    assert (first.count, first.resources, first.near_rack) == (
        4,
        ResourceVector(500, 256, 0),
        "r1-3",
    )
    assert (second.after, second.label) == ((0,), "a")


@pytest.mark.parametrize("estimate", [1.7976931348623157e308, 1e300, 86_400_001.0])
def test_a_huge_estimate_is_cut(estimate: float) -> None:
    """Guards against an entry that answers nobody after arithmetic with an infinite estimate."""
    step = {"count": 2, "cpu": 1, "estimatedMs": estimate}
    steps = [step, {**step, "after": [0]}]
    body = {"specification": "", "bestEffort": True, "steps": steps}
    assert decode_job(JOB_ID, encode(body)).chain_ms() == 2 * 86_400_000.0


def test_a_huge_client_timeout_is_cut() -> None:
    request = Request("POST", "/", headers={"snipewell-deadline-ms": "1e308"})
    assert decode_client_wait_ms(request) == 86_400_000.0


def test_a_job_without_best_effort_is_durable() -> None:
    """A durable job taken for a best-effort one would be lost with the entry's process."""
    spec = decode_job(JOB_ID, encode({key: JOB[key] for key in ("specification", "steps")}))
    assert spec.durable
    assert spec.find_unsupported()


@pytest.mark.parametrize("field", ["gang", "longRunning", "fills", "targetMs"])
def test_unsupported_step_properties_are_reported(field: str) -> None:
    """Run as ordinary tasks, these steps would violate the properties that the client requested."""
    step = {"count": 1, "cpu": 1, field: 1 if field == "targetMs" else True}
    spec = decode_job(JOB_ID, encode({"specification": "", "bestEffort": True, "steps": [step]}))
    assert spec.find_unsupported()


def test_places_of_a_step_are_decoded() -> None:
    """A dropped limit would put more tasks of a step on one upstream than its client permits."""
    step = {"count": 3, "cpu": 1, "antiAffinity": 2, "sameRack": True}
    body = {"specification": "", "bestEffort": True, "steps": [step, {"count": 1, "cpu": 1}]}
    spec = decode_job(JOB_ID, encode(body))
    assert [(s.max_per_upstream, s.same_rack) for s in spec.steps] == [(2, True), (0, False)]
    assert not spec.find_unsupported()
    negative = {**body, "steps": [{**step, "antiAffinity": -1}]}
    with pytest.raises(JobFormatError):
        decode_job(JOB_ID, encode(negative))


def test_a_job_with_repetitions_is_unsupported() -> None:
    assert decode_job(JOB_ID, encode({**JOB, "repetitions": 3})).find_unsupported()


@pytest.mark.parametrize(
    "body",
    [
        {},
        {"specification": 5, "steps": []},
        {"specification": "x" * 4_001, "steps": [{"count": 1}]},
        {"specification": "", "steps": []},
        {"specification": "", "steps": [{"count": 100_000}]},
        {"specification": "", "steps": [{"count": 1, "cpu": -1}]},
        {"specification": "", "steps": [{"count": 1, "cpu": 2**53 + 1}]},
        {"specification": "", "steps": [{"count": 1, "memMb": 10**30}]},
        {"specification": "", "steps": [{"count": 1, "after": [0]}]},
        {"specification": "", "steps": [{"count": 1}, {"count": 1, "after": [2]}]},
    ],
)
def test_a_malformed_job_is_rejected(body: object) -> None:
    with pytest.raises(JobFormatError):
        decode_job(JOB_ID, encode(body))


@given(st.binary(max_size=300))
def test_random_bytes_are_rejected_as_a_job(body: bytes) -> None:
    with pytest.raises(JobFormatError):
        decode_job(JOB_ID, body)


@given(st.text(max_size=40))
def test_a_job_id_is_sixteen_hexadecimal_digits(rest: str) -> None:
    named = parse_job_path("/p/" + rest, "/p/")
    is_id = len(rest) == 16 and all(c in "0123456789abcdef" for c in rest)
    assert (named is not None) == is_id


def test_the_client_timeout_is_decoded_and_invalid_values_are_ignored() -> None:
    assert (
        decode_client_wait_ms(Request("POST", "/", headers={"snipewell-deadline-ms": "500"})) == 500
    )
    for text in ("", "soon", "-5", "nan", "inf"):
        request = Request("POST", "/", headers={"snipewell-deadline-ms": text})
        assert decode_client_wait_ms(request) is None


def test_the_status_separates_refused_jobs_from_those_that_may_have_run() -> None:
    assert encode_outcome(JobEnded(JobState.FAILED)).body == b'{"state":"failed"}'
    busy = encode_outcome(JobRefused("no room", 1_200.0, True))
    assert (busy.status, busy.headers["retry-after"]) == (429, "2")
    assert encode_outcome(JobRefused("not supported", 0.0)).status == 503
    assert encode_outcome(JobUnknown("lost")).status == 504


def test_a_heartbeat_is_decoded_as_a_description_of_the_upstream() -> None:
    upstream, sequence = decode_heartbeat("i-1", encode(HEARTBEAT))
    assert (upstream.upstream, upstream.capacity.cpu_milli, sequence) == ("i-1", 16_000, 4)
    assert not upstream.draining
    assert decode_heartbeat("i-1", encode({**HEARTBEAT, "state": "draining"}))[0].draining


ODD_HEARTBEATS = dict(odd_heartbeats(HEARTBEAT))


@pytest.mark.parametrize("label", ODD_HEARTBEATS)
def test_a_heartbeat_with_a_missing_or_wrong_field_is_rejected(label: str) -> None:
    """Guards against runs that are given up for an upstream that doesn't exist, and run twice."""
    expected = ExpectedUpstream(service="huvo11a")
    with pytest.raises(RegistrationError):
        decode_heartbeat("i-1", ODD_HEARTBEATS[label], expected)


@pytest.mark.parametrize("field", sorted(OPTIONAL_FIELDS))
def test_a_heartbeat_without_an_optional_field_is_accepted(field: str) -> None:
    value = {name: value for name, value in HEARTBEAT.items() if name != field}
    assert decode_heartbeat("i-1", encode(value))[1] == 4


@pytest.mark.parametrize("figure", [-1, 2**53 + 1, 2**70])
@pytest.mark.parametrize("field", ["slots", "sequence", "born", "capacity"])
def test_a_heartbeat_with_a_figure_out_of_range_is_rejected(field: str, figure: int) -> None:
    """Guards against capacity that isn't there, and heartbeats that make all later ones stale."""
    value: object = {"cpu": figure, "memMb": 1, "gpus": 0} if field == "capacity" else figure
    with pytest.raises(RegistrationError):
        decode_heartbeat("i-1", encode({**HEARTBEAT, field: value}))


@given(st.binary(max_size=200))
def test_random_bytes_are_rejected_as_a_heartbeat(body: bytes) -> None:
    with pytest.raises(RegistrationError):
        decode_heartbeat("i-1", body)


def test_registration_paths_are_parsed() -> None:
    assert parse_registration_path("/snipewell/instances/i-1/heartbeat") == ("i-1", "heartbeat")
    assert parse_registration_path("/snipewell/instances/i-1/deregister") == ("i-1", "deregister")
    assert parse_registration_path("/snipewell/instances/i-1/other") is None
    assert parse_registration_path("/else") is None


def test_task_names_are_converted_in_both_directions() -> None:
    assert to_task_name(f"{JOB_ID}/2/17") == f"{JOB_ID}.0.2.17"
    assert from_task_name(f"{JOB_ID}.0.2.17") == f"{JOB_ID}/2/17"
    assert from_task_name("strange") == "strange"


def test_malformed_rows_of_runs_are_skipped() -> None:
    runs = _to_runs(
        _Runs(
            500.0,
            [[f"{JOB_ID}.0.0.1", 2, "", 41, 3], ["odd"], [1, 2, 3, 4]],
            [
                [58, f"{JOB_ID}.0.0.9", 1, "done", ""],
                [59, f"{JOB_ID}.0.0.8", 1, "vanished", ""],
                ["x"],
            ],
            7,
        )
    )
    assert [(row.task, row.percent) for row in runs.running] == [(f"{JOB_ID}/0/1", 41)]
    assert [(row.number, row.end) for row in runs.ended] == [(58, RunEnd.DONE), (59, RunEnd.LOST)]


def call_upstream(address: str) -> tuple[StartResult, object]:
    """Return the results of a start and of a hold call to an upstream at ``address``."""
    upstream = Upstream(UpstreamId("u1"), 1, "svc", "z1", address, ResourceVector())

    async def main() -> tuple[StartResult, object]:
        client = UpstreamClient()
        try:
            call = CallStart(upstream, "j/0/0", 1, "spec", 1_000, 1)
            started, _ = await client.start(call, 1_000.0)
            return started, await client.hold(CallHold(upstream, None, 1, 0, 0, 0.0), 1_000.0)
        finally:
            await client.close()

    result: tuple[StartResult, object] = curio.run(main)
    return result


def test_only_a_refused_connection_shows_that_no_process_listens() -> None:
    """Guards against runs given up on an upstream whose connections failed in another way."""
    with open_listener("127.0.0.1", 0) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        threading.Thread(target=close_connections, args=(listener, 2), daemon=True).start()
        assert call_upstream(address) == (StartResult.UNANSWERED, StartResult.UNANSWERED)
    assert call_upstream(address) == (StartResult.NO_LISTENER, StartResult.NO_LISTENER)
    assert call_upstream("127.0.0.1:no-port") == (StartResult.NOT_SENT, StartResult.NOT_SENT)


def close_connections(listener: socket.socket, count: int) -> None:
    """Accept ``count`` connections and close each after its first bytes."""
    listener.settimeout(5.0)
    for _ in range(count):
        with listener.accept()[0] as connection:
            connection.recv(65_536)


class FakeAgent:
    def __init__(self) -> None:
        self.received: list[object] = []

    async def on_heartbeat(self, upstream: object) -> None:
        self.received.append(upstream)

    async def on_deregistration(self, upstream: str, reason: str) -> None:
        self.received.append((upstream, reason))


def send_heartbeat(registrar: Registrar, **fields: object) -> int:
    path = "/snipewell/instances/i-1/heartbeat"
    request = Request("POST", path, body=encode({**HEARTBEAT, **fields}))
    return curio.run(registrar.handle, request).status


def test_a_stale_heartbeat_is_ignored() -> None:
    """Guards against an upstream that drains and counts as ready, or the reverse."""
    agent = FakeAgent()
    registrar = Registrar(agent, Log())
    assert send_heartbeat(registrar, sequence=5) == 200
    assert send_heartbeat(registrar, sequence=4, state="draining") == 200
    assert len(agent.received) == 1
    # A delayed heartbeat of the last incarnation doesn't change the order of this one's.
    assert send_heartbeat(registrar, sequence=9, born=HEARTBEAT["born"] - 1) == 200  # type: ignore[operator]
    assert send_heartbeat(registrar, sequence=5) == 200
    assert len(agent.received) == 2
    send_heartbeat(registrar, sequence=1, born=HEARTBEAT["born"] + 1)  # type: ignore[operator]
    assert len(agent.received) == 3


@pytest.mark.parametrize("field", ["service", "address"])
def test_a_heartbeat_of_another_upstream_than_in_the_settings_is_rejected(field: str) -> None:
    """Guards against runs that are given up for a heartbeat of another writer (review/2)."""
    agent = FakeAgent()
    settings = parse_boot_settings(
        BOOT_SETTINGS.replace("app=10.1.0.14:8165", "app=10.128.0.9:8080\nservice=huvo11a")
    )
    expected = ExpectedUpstream(settings.service, settings.upstream_address)
    registrar = Registrar(agent, Log(), expected)
    assert send_heartbeat(registrar) == 200
    assert send_heartbeat(registrar, **{field: "other:1", "sequence": 5}) == 400
    assert send_heartbeat(registrar, **{field: "other:1", "born": 2_000_000_000_000}) == 400
    assert len(agent.received) == 1
    # Nor does it make the next heartbeat of the upstream stale.
    assert send_heartbeat(registrar, sequence=5) == 200
    assert len(agent.received) == 2


def test_a_malformed_heartbeat_does_not_change_the_upstream() -> None:
    agent = FakeAgent()
    registrar = Registrar(agent, Log())
    send_heartbeat(registrar)
    assert send_heartbeat(registrar, capacity="much") == 400
    assert len(agent.received) == 1


def test_a_deregistration_names_its_upstream() -> None:
    """The executor ignores that of an upstream that isn't registered."""
    agent = FakeAgent()
    registrar = Registrar(agent, Log())
    send_heartbeat(registrar)
    for name in ("i-2", "i-1"):
        curio.run(registrar.handle, Request("POST", f"/snipewell/instances/{name}/deregister"))
    assert agent.received[1:] == [("i-2", "it has left"), ("i-1", "it has left")]


class FakeEntry:
    def __init__(self, catalog: Catalog | None) -> None:
        self.catalog = catalog
        self.is_ready = catalog is not None
        self.submitted: list[tuple[str, str, float]] = []

    def count_pending(self, queue: QueueName) -> int:
        return 12

    async def submit(self, queue: Queue, spec: JobSpec, client_wait_ms: float) -> JobOutcome:
        self.submitted.append((queue.name, spec.job, client_wait_ms))
        return JobEnded(JobState.COMPLETED)


def request_status(
    entry: FakeEntry, method: str, path: str, body: bytes = b"", **headers: str
) -> int:
    request = Request(method, path, headers={"host": "nony24.example", **headers}, body=body)
    return curio.run(Frontend(entry).handle, request).status


def test_the_frontend_routes_client_requests() -> None:
    entry = FakeEntry(decode_catalog(encode(CONFIGURATION), Revision(1)))
    assert request_status(entry, "POST", f"/lohu930/{JOB_ID}", encode(JOB)) == 200
    assert entry.submitted[0][:2] == ("r-1", JOB_ID)
    assert request_status(entry, "GET", "/lohu930/") == 200
    assert request_status(entry, "GET", f"/lohu930/{JOB_ID}") == 410
    assert request_status(entry, "DELETE", f"/lohu930/{JOB_ID}") == 410
    assert request_status(entry, "POST", "/lohu930/not-an-id", encode(JOB)) == 404
    assert request_status(entry, "GET", "/removed/") == 404
    assert request_status(entry, "POST", f"/lohu930/{JOB_ID}", b"{") == 400
    assert request_status(entry, "POST", f"/lohu930/{JOB_ID}", b" " * 1_001) == 413


def test_an_entry_without_configuration_rejects_jobs_and_is_not_ready() -> None:
    entry = FakeEntry(None)
    assert request_status(entry, "POST", f"/lohu930/{JOB_ID}", encode(JOB)) == 503
    request = Request("GET", "/snipewell/readiness")
    assert curio.run(Frontend(entry).handle_readiness, request).status == 503


def with_store(work: Callable[[MetadataStore, PlatformStore], Awaitable[T]]) -> T:
    async def main() -> T:
        stand_in = MetadataStore(Random(1))
        server = await stand_in.serve()
        store = PlatformStore(f"127.0.0.1:{server.address[1]}", SystemClock(), 500.0)
        try:
            return await work(stand_in, store)
        finally:
            await store.close()
            await server.stop(0)

    result: T = curio.run(main)
    return result


def test_a_listing_includes_all_pages() -> None:
    async def work(stand_in: MetadataStore, store: PlatformStore) -> int:
        for number in range(PAGE_SIZE + 20):
            stand_in.put(f"op/k{number:04}", b"v")
        return len((await store.list("op/")).values)

    assert with_store(work) == PAGE_SIZE + 20


def test_a_watch_returns_changes_and_lists_again_after_a_compaction() -> None:
    async def work(stand_in: MetadataStore, store: PlatformStore) -> None:
        stand_in.put("op/config", b"one")
        watcher = PrefixWatcher(store, "op/")
        first = await watcher.next(100)
        assert isinstance(first, Listing)
        stand_in.put("op/evacuate/z", b"{}")
        update = await watcher.next(100)
        assert not isinstance(update, Listing)
        assert [change.key for change in update.changes] == ["op/evacuate/z"]
        stand_in.delete("op/evacuate/z")
        stand_in.compact_history()
        second = await watcher.next(100)
        assert isinstance(second, Listing)
        assert list(second.values) == ["op/config"]

    with_store(work)


def test_a_key_is_deleted_when_its_lease_ends() -> None:
    async def work(stand_in: MetadataStore, store: PlatformStore) -> None:
        lease = await store.lease(5_000)
        assert await store.put("snipewell/entries/e1", b"\x00\xff", lease)
        listing = await store.list("snipewell/")
        assert listing.values["snipewell/entries/e1"].value == b"\x00\xff"
        assert await store.renew(lease)
        await store.end_lease(lease)
        assert not await store.renew(lease)
        assert not await store.put("snipewell/entries/e1", b"", lease)
        assert stand_in.keys("snipewell/") == []

    with_store(work)


def test_an_unavailable_or_slow_store_raises_an_error() -> None:
    async def work(stand_in: MetadataStore, store: PlatformStore) -> None:
        for faults in (StoreFaults(down=True), StoreFaults(slow_ms=900)):
            stand_in.faults = faults
            with pytest.raises(StoreUnreachableError):
                await store.list("op/")

    with_store(work)


def test_a_value_with_invalid_base64_does_not_hide_other_keys() -> None:
    async def work(stand_in: MetadataStore, store: PlatformStore) -> None:
        stand_in.put("op/a", b"good")
        stand_in.put("op/b", b"bad")
        stand_in._items["op/b"]["value"] = "***"
        values = (await store.list("op/")).values
        assert values["op/a"].value == b"good"
        assert base64.b64encode(b"bad").decode() not in str(values["op/b"].value)

    with_store(work)
