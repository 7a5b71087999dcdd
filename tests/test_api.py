import random

import pytest

from snipewell.api import Client, NoRecord, Operator, RetryLimits, Running, UnreachableError
from snipewell.outcome import Complete, Conflict, Invalid, NotRun, Outcome, Unknown
from snipewell.resource import Kind, ZoneSpec
from snipewell.web import Response
from tests.fake_entry import LOST, FakeEntry, answer, run_with_entry

DONE = answer(200, "complete", results=[1, "two"])
REFUSED = answer(503, "not_run", reason="overload", retry_after_ms=1)
NOT_LOADED = answer(503, "invalid", reason="not loaded", accepted=False)
LIMITS = RetryLimits(attempts=3, base_ms=1)


def submit(*script: Response | str) -> tuple[Outcome, FakeEntry]:
    outcomes: list[Outcome] = []

    async def scenario(entry: FakeEntry) -> None:
        entry.script = list(script)
        client = Client([entry.address], "annex", LIMITS, rng=random.Random(1))
        outcomes.append(await client.submit_job("intake", [{"ms": 1}], deadline_ms=5_000))
        await client.close()

    entry = run_with_entry(scenario)
    return outcomes[0], entry


def test_a_lost_answer_is_resubmitted_under_the_same_key_with_less_time() -> None:
    """Guards against a second run of a job whose answer was lost."""
    outcome, entry = submit(LOST, LOST, DONE)
    assert outcome == Complete([b"1", b'"two"'])
    assert len({request.headers["idempotency-key"] for request in entry.seen}) == 1
    left = [int(request.headers["deadline-ms"]) for request in entry.seen]
    assert left == sorted(left, reverse=True) and left[0] <= 5_000
    assert {request.headers["snipewell-team"] for request in entry.seen} == {"annex"}


@pytest.mark.parametrize(
    ("script", "kind"),
    [
        ([REFUSED, REFUSED, REFUSED], NotRun),
        ([REFUSED, REFUSED, LOST], Unknown),
        ([LOST, NOT_LOADED, NOT_LOADED], Unknown),
        ([NOT_LOADED, NOT_LOADED, NOT_LOADED], Invalid),
        ([LOST, LOST, LOST], Unknown),
        ([answer(409, "conflict", reason="another payload")], Conflict),
        ([Response(200, {}, b"<html>")], Unknown),
        ([answer(502, "", reason="bad gateway")], Unknown),
    ],
)
def test_the_outcome_covers_every_attempt(script: list[Response | str], kind: type) -> None:
    """Guards against reporting "not run" when another attempt may have run."""
    outcome, _ = submit(*script)
    assert isinstance(outcome, kind)


def test_an_attempt_that_started_nothing_is_not_certain_after_a_lost_one() -> None:
    """Guards against taking the last attempt's "not started" for the whole submission."""
    unknown = answer(504, "unknown", step="forward", peer="e2", this_attempt="not_started")
    outcome, _ = submit(LOST, unknown, unknown)
    assert isinstance(outcome, Unknown) and outcome.attempt_started
    outcome, _ = submit(unknown, unknown, unknown)
    assert isinstance(outcome, Unknown) and not outcome.attempt_started


def test_an_address_that_refuses_is_left_for_the_next() -> None:
    """Guards against a caller stuck to an entry that is gone, and a false "unknown"."""

    async def scenario(entry: FakeEntry) -> None:
        entry.script = [Response(200, {"snipewell-outcome": "complete"}, b"ok")]
        client = Client(["127.0.0.1:1", entry.address], limits=LIMITS, rng=random.Random(1))
        assert await client.submit_request("intake", b"{}") == Complete([b"ok"])
        with pytest.raises(UnreachableError):
            await Client(["127.0.0.1:1"], limits=LIMITS).submit_request("intake", b"{}")

    run_with_entry(scenario)


def test_waiting_cancelling_and_keys() -> None:
    """Guards against progress or a missing record being taken for an outcome."""

    async def scenario(entry: FakeEntry) -> None:
        entry.script = [
            answer(202, "running", finished=3, total=9),
            answer(404, "unknown_key", reason="no record"),
            answer(410, "cancelled", started=2),
            Response.from_json(200, {"keys": ["t1.3.1.5.00"]}),
        ]
        client = Client([entry.address], limits=LIMITS)
        assert await client.wait("k/1", 10) == Running(3, 9)
        assert await client.wait("k") == NoRecord("no record")
        assert getattr(await client.cancel("k"), "started", None) == 2
        assert await client.issue_keys(1) == ["t1.3.1.5.00"]
        assert entry.seen[0].path == "/v1/jobs/k%2F1"

    run_with_entry(scenario)


def test_a_watch_lists_again_after_its_connection_broke() -> None:
    """Guards against an operator's watch that goes silent with its connection."""

    async def scenario(entry: FakeEntry) -> None:
        operator = Operator([entry.address], limits=LIMITS)
        await operator.put(Kind.ZONE, ZoneSpec(name="patan"))  # type: ignore[arg-type]
        seen = []
        watch = operator.watch(Kind.ZONE)
        async for event in watch:
            seen.append((event.type, event.name))
            if len(seen) == 2:
                for connection in list(entry.server._connections):
                    await connection.task.cancel()
            if len(seen) == 4:
                break
        assert seen == [("put", "patan"), ("synced", "")] * 2
        await watch.close()

    run_with_entry(scenario)


def test_drain_waits_until_it_is_in_force_and_no_task_can_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against telling an operator that an upstream is idle while entries still use it."""
    monkeypatch.setattr("snipewell.operate.DRAIN_SETTLE_MS", 100)

    async def scenario(entry: FakeEntry) -> None:
        entry.in_force = False
        operator = Operator([entry.address], limits=LIMITS)
        assert not (await operator.drain(Kind.UPSTREAM, "runner-01", 50))[1]
        entry.in_force = True
        assert not (await operator.drain(Kind.UPSTREAM, "runner-01", 0))[1]
        reads = len(entry.seen)
        assert (await operator.drain(Kind.UPSTREAM, "runner-01", 5_000))[1]
        assert [request.method for request in entry.seen[reads:]] == ["PUT", "GET", "GET"]

    run_with_entry(scenario)
