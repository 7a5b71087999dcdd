import random
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import msgspec
import pytest

import snipewell.change
import snipewell.restore
from snipewell.clock import SystemClock
from snipewell.configuration import Configuration
from snipewell.ids import Revision, TeamName, UpstreamId, ZoneId
from snipewell.resource import Kind
from snipewell.resourceapi import ResourceApi, RevisionCounts
from snipewell.standins.keyvalue import Faults
from snipewell.standins.store import StoreStandIn
from snipewell.store import Change, Listing, PrefixWatcher, Store
from snipewell.web import Request


class Entry:
    """The resource API of one entry, which reads changes from the store when a write waits."""

    def __init__(self, stand_in: StoreStandIn, token: str | None = None) -> None:
        clock = SystemClock()
        self.store = Store(stand_in, "store", clock, 200)
        self.configuration = Configuration()
        self.watcher = PrefixWatcher(self.store, "config/")
        self.majority = True
        self.resources = ResourceApi(
            self.store,
            self.configuration,
            clock,
            random.Random(5),
            self.wait,
            lambda _: RevisionCounts(3, 3, 9, 10),
            token,
        )

    async def read_changes(self) -> None:
        answer = await self.watcher.next(0)
        if isinstance(answer, Listing):
            self.configuration.apply_snapshot(answer.to_snapshot())
            return
        changes: list[Change] = answer.changes
        for change in changes:
            self.configuration.apply(change.key, change.value, change.revision)

    async def wait(self, revision: Revision, timeout_ms: float) -> bool:
        await self.read_changes()
        return self.majority and self.configuration.revision >= revision

    async def call(
        self, method: str, path: str, body: object = None, **query: str
    ) -> tuple[int, Any]:
        data = b"" if body is None else msgspec.json.encode(body)
        response = await self.resources.handle(Request(method, f"/v1/{path}", query, {}, data))
        return response.status, msgspec.json.decode(response.body)

    async def put(self, path: str, version: int | None = None, **spec: Any) -> tuple[int, Any]:
        return await self.call("PUT", path, {"spec": spec, "resource_version": version})


def run(scenario: Callable[[StoreStandIn], Awaitable[None]]) -> StoreStandIn:
    stand_in = StoreStandIn()
    curio.run(scenario, stand_in)
    return stand_in


def test_a_stale_resource_version_is_rejected_with_the_current_one() -> None:
    """Guards against an operator overwriting a change that another one made in the meantime."""

    async def scenario(stand_in: StoreStandIn) -> None:
        entry = Entry(stand_in)
        status, created = await entry.put("zones/patan", 0)
        assert (status, created["in_force"]) == (200, True)
        version = created["results"][0]["resource_version"]
        status, updated = await entry.put("zones/patan", version, in_service=False)
        assert status == 200 and updated["results"][0]["generation"] == 2
        status, refused = await entry.put("zones/patan", version, in_service=True)
        assert status == 409
        current = updated["results"][0]["resource_version"]
        assert refused["results"][0]["resource_version"] == current
        status, read = await entry.call("GET", "zones/patan")
        assert read["resource_version"] == current and not read["spec"]["in_service"]
        assert read["status"]["observed_generation"] == 2
        assert read["status"]["agents_at_revision"] == 9

    run(scenario)


def test_concurrent_writes_lose_no_update_and_are_batched() -> None:
    """Guards against lost updates between entries, and a separate store write for each change."""

    async def scenario(stand_in: StoreStandIn) -> None:
        stand_in.faults.slow_ms = 2
        entries = [Entry(stand_in), Entry(stand_in)]
        bodies = [{"spec": {"weight": n + 1}, "resource_version": 0} for n in range(60)]
        tasks = [
            await curio.spawn(entries[n % 2].call, "PUT", f"teams/team-{n}", body)
            for n, body in enumerate(bodies)
        ]
        answers = [await task.join() for task in tasks]
        assert {status for status, _ in answers} == {200}
        await entries[0].read_changes()
        weights = {n: s.weight for n, s in entries[0].configuration.specs(Kind.TEAM).items()}
        assert weights == {f"team-{n}": n + 1 for n in range(60)}

    assert run(scenario).stats()["put"] < 20


def test_a_lost_answer_of_the_store_gives_one_write_and_a_correct_response() -> None:
    """Guards against a second write, or an error for a change that took effect."""

    async def scenario(stand_in: StoreStandIn) -> None:
        entry = Entry(stand_in)
        await stand_in.set_faults(Faults(lose_answers=1))
        status, body = await entry.put("zones/patan", 0)
        assert status == 200 and body["results"][0]["state"] == "created"

    assert run(scenario).stats()["put"] == 1


def test_a_cancelled_request_stops_no_write_of_others() -> None:
    """Guards against a cancelled request that cancels the writes of its whole batch."""

    async def scenario(stand_in: StoreStandIn) -> None:
        stand_in.faults.slow_ms = 20
        entry = Entry(stand_in)
        cancelled = await curio.spawn(entry.put, "teams/annex", 0)
        remaining = await curio.spawn(entry.put, "teams/bazaar", 0)
        await curio.sleep(0.01)
        await cancelled.cancel()
        assert (await remaining.join())[0] == 200
        assert set(entry.configuration.specs(Kind.TEAM)) == {"annex", "bazaar"}

    run(scenario)


def test_a_write_without_a_majority_is_stored_but_not_in_force() -> None:
    """Guards against reporting a zone as out of service while entries still start tasks there."""

    async def scenario(stand_in: StoreStandIn) -> None:
        entry = Entry(stand_in)
        entry.majority = False
        status, body = await entry.put("zones/patan", in_service=False)
        assert (status, body["in_force"]) == (202, False)
        entry.majority = True
        status, body = await entry.put("zones/patan", in_service=False)
        assert (status, body["results"][0]["state"]) == (200, "unchanged")

    run(scenario)


def test_writes_while_the_store_is_down_fail() -> None:
    """Guards against a write that is reported as successful during an outage of the store."""

    async def scenario(stand_in: StoreStandIn) -> None:
        await stand_in.set_faults(Faults(down="refuse"))
        status, body = await Entry(stand_in).put("zones/kirtipur")
        assert (status, body["outcome"], body["step"]) == (503, "not_written", "store")

    run(scenario)


def test_a_write_after_the_store_went_back_restores_what_is_in_force(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a write based on the older value, or with a revision no entry accepts."""
    monkeypatch.setattr(snipewell.restore, "ADVANCE_WRITES", 3)

    async def scenario(stand_in: StoreStandIn) -> None:
        entry = Entry(stand_in)
        for in_service in (True, False, True, True, False):
            await entry.put("zones/patan", in_service=in_service)
            await entry.put("teams/annex", weight=2 if in_service else 7)
        await stand_in.set_faults(Faults(go_back_to=2))
        status, body = await entry.put("zones/kirtipur")
        assert status == 503 and "8 is in force; repeat" in body["reason"]
        status, body = await entry.put("zones/kirtipur")
        assert status == 200 and body["in_force"]
        restarted = Entry(stand_in)
        await restarted.read_changes()
        for configuration in (entry.configuration, restarted.configuration):
            assert not configuration.accepts(ZoneId("patan"), UpstreamId("u1"))
            assert configuration.team(TeamName("annex")).weight == 7
            assert configuration.accepts(ZoneId("kirtipur"), UpstreamId("u1"))

    run(scenario)


def test_a_restarted_entry_writes_only_the_requested_change() -> None:
    """Guards against treating values that arrived in one listing as lost by the store.

    Values of a listing get its revision, which is higher than their own in the store.
    """

    async def scenario(stand_in: StoreStandIn) -> None:
        first, second = Entry(stand_in), Entry(stand_in)
        await first.put("zones/patan")
        await first.put("teams/annex")
        await second.read_changes()
        await second.put("zones/patan", in_service=False)

    assert run(scenario).stats()["put"] == 3


@pytest.mark.parametrize(
    ("path", "body", "status", "field", "reason"),
    [
        ("zones/patan", {"spec": {"in_servise": False}}, 400, "spec.in_servise", "unknown field"),
        ("zones/patan", {"spec": {"in_service": "no"}}, 400, "spec.in_service", "expected `bool`"),
        ("zones/patan", {"spec": {"name": "kirtipur"}}, 400, "spec.name", "expected 'patan'"),
        ("zones/Patan", {"spec": {}}, 400, "spec.name", "expected 1 to 63"),
        ("zones/patan", {}, 400, "spec", "required field"),
        ("services/s", {"spec": {"deadline_ms": 0}}, 400, "spec.deadline_ms", ">= 1"),
        (
            "services/s",
            {"spec": {"resources": {"cores": -1}}},
            400,
            "spec.resources.cores",
            "at least 0",
        ),
        ("configurations/other", {"spec": {}}, 400, "spec.name", "expected 'default'"),
        ("robots/r", {"spec": {}}, 404, "path", "no such path"),
    ],
)
def test_invalid_writes_name_the_field(
    path: str, body: object, status: int, field: str, reason: str
) -> None:
    """Guards against an error that does not name the invalid field."""

    async def scenario(stand_in: StoreStandIn) -> None:
        got_status, answer = await Entry(stand_in).call("PUT", path, body)
        assert (got_status, answer["field"]) == (status, field)
        assert reason in answer["reason"]

    run(scenario)


def test_a_set_is_applied_as_a_whole_and_dry_runs_write_nothing() -> None:
    """Guards against a set that is applied in part, and against a dry run that writes."""

    async def scenario(stand_in: StoreStandIn) -> None:
        entry = Entry(stand_in)
        await entry.put("zones/patan")
        puts = stand_in.stats()["put"]
        changes = [
            {"name": "kirtipur", "spec": {}},
            {"name": "patan", "spec": None, "resource_version": 99},
        ]
        status, body = await entry.call("POST", "zones", {"changes": changes})
        assert status == 409
        assert [result["state"] for result in body["results"]] == ["skipped", "conflict"]
        status, body = await entry.call("POST", "zones", {"changes": changes[:1]}, dry_run="true")
        assert (status, body["results"][0]["state"]) == (200, "created")
        assert stand_in.stats()["put"] == puts
        assert (await entry.call("GET", "zones/kirtipur"))[0] == 404
        assert (await entry.call("DELETE", "zones/kirtipur"))[0] == 404

    run(scenario)


def test_writes_need_the_token() -> None:
    """Guards against a client without the token taking a zone out of service."""

    async def scenario(stand_in: StoreStandIn) -> None:
        entry = Entry(stand_in, "a-long-secret-token")
        assert (await entry.put("zones/patan"))[0] == 401
        assert (await entry.call("GET", "zones"))[0] == 200

    run(scenario)


def test_a_kind_that_grows_is_split_without_loss(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against client accounts lost when their value no longer fits into one key."""
    monkeypatch.setattr(snipewell.change, "SPLIT_BYTES", 2_000)

    async def scenario(stand_in: StoreStandIn) -> None:
        entry = Entry(stand_in)
        for start in range(0, 120, 10):
            changes = [{"name": f"team-{n}", "spec": {}} for n in range(start, start + 10)]
            assert (await entry.call("POST", "teams", {"changes": changes}))[0] == 200
        assert len(entry.configuration.specs(Kind.TEAM)) == 120
        assert len(entry.configuration.parts(Kind.TEAM)) > 8
        assert (await entry.call("DELETE", "teams/team-7"))[0] == 200
        _, listed = await entry.call("GET", "teams")
        assert len(listed["items"]) == 119

    run(scenario)


def test_a_watch_returns_the_current_resources_and_then_each_change() -> None:
    """Guards against a watch stream that omits a change for which an operator waits."""

    async def scenario(stand_in: StoreStandIn) -> None:
        entry = Entry(stand_in)
        await entry.put("zones/patan")
        response = await entry.resources.handle(Request("GET", "/v1/zones", {"watch": "1"}))
        stream = response.stream
        assert stream is not None
        lines = (await anext(stream)).splitlines()
        await entry.put("zones/kirtipur", in_service=False)
        await entry.call("DELETE", "zones/patan")
        lines += (await anext(stream)).splitlines()
        events = [msgspec.json.decode(line) for line in lines]
        assert [(e["type"], e["name"]) for e in events] == [
            ("put", "patan"),
            ("synced", ""),
            ("delete", "patan"),
            ("put", "kirtipur"),
        ]

    run(scenario)
