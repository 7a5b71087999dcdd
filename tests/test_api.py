import random

import pytest

from snipewell.api import Client, NoRecord, Operator, RetryLimits, Running, UnreachableError
from snipewell.outcome import Complete, Conflict, Invalid, NotRun, Outcome, Unknown
from snipewell.resource import Kind, ZoneSpec
from snipewell.web import Response
from tests.fake_entry import CLOSE_CONNECTION, FakeEntry, answer, run_with_entry

COMPLETE = answer(200, "complete", results=[1, "two"])
REFUSED = answer(503, "not_run", reason="overload", retry_after_ms=1)
NOT_LOADED = answer(503, "invalid", reason="not loaded", accepted=False)
RETRY_LIMITS = RetryLimits(attempts=3, base_ms=1)


def submit(*script: Response | str) -> tuple[Outcome, FakeEntry]:
    outcomes: list[Outcome] = []

    async def scenario(entry: FakeEntry) -> None:
        entry.script = list(script)
        client = Client([entry.address], "annex", RETRY_LIMITS, rng=random.Random(1))
        outcomes.append(await client.submit_job("intake", [{"ms": 1}], deadline_ms=5_000))
        await client.close()

    entry = run_with_entry(scenario)
    return outcomes[0], entry


def test_lost_response_is_retried_with_same_key_and_remaining_time() -> None:
    """Guards against running a job again after its response was lost."""
    outcome, entry = submit(CLOSE_CONNECTION, CLOSE_CONNECTION, COMPLETE)
    assert outcome == Complete([b"1", b'"two"'])
    assert len({request.headers["idempotency-key"] for request in entry.seen}) == 1
    left = [int(request.headers["deadline-ms"]) for request in entry.seen]
    assert left == sorted(left, reverse=True) and left[0] <= 5_000
    assert {request.headers["snipewell-team"] for request in entry.seen} == {"annex"}


@pytest.mark.parametrize(
    ("script", "kind"),
    [
        ([REFUSED, REFUSED, REFUSED], NotRun),
        ([REFUSED, REFUSED, CLOSE_CONNECTION], Unknown),
        ([CLOSE_CONNECTION, NOT_LOADED, NOT_LOADED], Unknown),
        ([NOT_LOADED, NOT_LOADED, NOT_LOADED], Invalid),
        ([CLOSE_CONNECTION, CLOSE_CONNECTION, CLOSE_CONNECTION], Unknown),
        ([answer(409, "conflict", reason="another payload")], Conflict),
        ([Response(200, {}, b"<html>")], Unknown),
        ([answer(502, "", reason="bad gateway")], Unknown),
    ],
)
def test_outcome_covers_every_attempt(script: list[Response | str], kind: type) -> None:
    """Guards against reporting "not run" when an earlier attempt may have run."""
    outcome, _ = submit(*script)
    assert isinstance(outcome, kind)


def test_not_started_is_uncertain_after_a_lost_response() -> None:
    """Guards against reporting the last attempt's "not started" for all attempts."""
    unknown = answer(504, "unknown", step="forward", peer="e2", this_attempt="not_started")
    outcome, _ = submit(CLOSE_CONNECTION, unknown, unknown)
    assert isinstance(outcome, Unknown) and outcome.attempt_started
    outcome, _ = submit(unknown, unknown, unknown)
    assert isinstance(outcome, Unknown) and not outcome.attempt_started


def test_fails_over_to_next_address() -> None:
    """Guards against retrying only an entry that is down, and against a false "unknown"."""

    async def scenario(entry: FakeEntry) -> None:
        entry.script = [Response(200, {"snipewell-outcome": "complete"}, b"ok")]
        client = Client(["127.0.0.1:1", entry.address], limits=RETRY_LIMITS, rng=random.Random(1))
        assert await client.submit_request("intake", b"{}") == Complete([b"ok"])
        with pytest.raises(UnreachableError):
            await Client(["127.0.0.1:1"], limits=RETRY_LIMITS).submit_request("intake", b"{}")

    run_with_entry(scenario)


def test_wait_cancel_and_issue_keys() -> None:
    """Guards against returning progress or a missing record as an outcome."""

    async def scenario(entry: FakeEntry) -> None:
        entry.script = [
            answer(202, "running", finished=3, total=9),
            answer(404, "unknown_key", reason="no record"),
            answer(410, "cancelled", started=2),
            Response.from_json(200, {"keys": ["t1.3.1.5.00"]}),
        ]
        client = Client([entry.address], limits=RETRY_LIMITS)
        assert await client.wait("k/1", 10) == Running(3, 9)
        assert await client.wait("k") == NoRecord("no record")
        assert getattr(await client.cancel("k"), "started", None) == 2
        assert await client.issue_keys(1) == ["t1.3.1.5.00"]
        assert entry.seen[0].path == "/v1/jobs/k%2F1"

    run_with_entry(scenario)


def test_watch_relists_after_reconnect() -> None:
    """Guards against a watch that delivers no more events after its connection breaks."""

    async def scenario(entry: FakeEntry) -> None:
        operator = Operator([entry.address], limits=RETRY_LIMITS)
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


def test_drain_waits_until_in_force_and_settled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reporting an upstream as idle while entries still use it."""
    monkeypatch.setattr("snipewell.operate.DRAIN_SETTLE_MS", 100)

    async def scenario(entry: FakeEntry) -> None:
        entry.in_force = False
        operator = Operator([entry.address], limits=RETRY_LIMITS)
        assert not (await operator.drain(Kind.UPSTREAM, "runner-01", 50))[1]
        entry.in_force = True
        assert not (await operator.drain(Kind.UPSTREAM, "runner-01", 0))[1]
        reads = len(entry.seen)
        assert (await operator.drain(Kind.UPSTREAM, "runner-01", 5_000))[1]
        assert [request.method for request in entry.seen[reads:]] == ["PUT", "GET", "GET"]

    run_with_entry(scenario)
