"""End-to-end tests over sockets: clients, balancer, entries, agents, upstreams and store."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable

import curio
import msgspec
import pytest

from snipewell.client import ExchangeError, NotSentError
from snipewell.standins.cluster import Cluster, agent_settings, entry_settings
from snipewell.web import Request, Response

ZONES = ("patan", "bhaktapur", "kirtipur")


def run_cluster(check: Callable[[Cluster], Awaitable[None]], entries: int = 3) -> None:
    """Run ``check`` on a cluster with one entry and one agent in each zone.

    The graceful stop at the end must not abort any request, whatever ``check`` has done before.
    """

    async def main() -> None:
        cluster = Cluster(
            [
                entry_settings(f"e{n}", ZONES[n], lease_ms=1_000, lease_renew_ms=300)
                for n in range(entries)
            ],
            [agent_settings(f"a{n}", ZONES[n], entries_interval_ms=200) for n in range(entries)],
        )
        async with curio.timeout_after(90):
            await cluster.start()
            for zone in ZONES[:entries]:
                put = await cluster.put("zones", zone, {"in_service": True})
                assert put.status == 200, put.body
            await cluster.put("services", "resize", {"deadline_ms": 10_000})
            await check(cluster)
            assert await cluster.stop() == 0

    curio.run(main)


def job(key: str, tasks: list[dict[str, object]], **headers: str) -> Request:
    body = msgspec.json.encode({"service": "resize", "tasks": tasks})
    return Request("POST", "/v1/jobs", {}, {"idempotency-key": key, **headers}, body)


def starts(cluster: Cluster) -> Counter[tuple[str, int]]:
    return Counter((s.key, s.task) for u in cluster.upstreams.values() for s in u.log)


async def resubmit(cluster: Cluster, request: Request) -> Response:
    """Resend a request until its outcome is not unknown, as a client does."""
    for _ in range(200):
        try:
            response = await cluster.request(request)
        except (ExchangeError, NotSentError):
            await curio.sleep(0.05)
            continue
        if response.status not in (503, 504):
            break
        await curio.sleep(0.05)
    return response


def test_requests_and_jobs_get_their_own_complete_responses() -> None:
    """Guards against responses that are mixed up, partial or out of order."""

    async def check(cluster: Cluster) -> None:
        async def ask(number: int) -> None:
            tasks = [{"ms": 5 * (3 - n), "reply": [number, n]} for n in range(3)]
            response = await cluster.request(job(f"j{number}", tasks))
            assert response.headers["snipewell-outcome"] == "complete", response.body
            results = msgspec.json.decode(response.body)["results"]
            assert results == [[number, n] for n in range(3)]

        async with curio.TaskGroup() as group:
            for number in range(30):
                await group.spawn(ask, number)
        assert set(starts(cluster).values()) == {1}
        single = Request(
            "POST", "/v1/services/resize/requests", {}, {"idempotency-key": "s"},
            b'{"ms": 5, "reply": "blue"}',
        )  # fmt: skip
        assert (await cluster.request(single)).body == b'"blue"'
        failed = await cluster.request(job("f", [{"ms": 1}, {"fail": True}]))
        assert failed.status == 502 and b"results" not in failed.body, failed.body

    run_cluster(check)


def test_registered_entries_become_voters() -> None:
    """Guards against entries missing from the voter set, and the removal of a live voter."""

    async def check(cluster: Cluster) -> None:
        ids = {entry.id for entry in cluster.entries.values()}
        cores = [entry.core for entry in cluster.entries.values()]

        def agree() -> bool:
            return all(core.configuration.voters.voters.keys() == ids for core in cores)

        await cluster.wait_until(agree, "three voters")
        listed = msgspec.json.decode((await cluster.request(Request("GET", "/v1/voters"))).body)
        assert {v["entry"] for v in listed["voters"] if v["live"]} == ids
        removal = await cluster.request(Request("DELETE", f"/v1/voters/{min(ids)}"))
        assert removal.status == 409, removal.body
        assert listed["version"] == 3

    run_cluster(check)


def test_resubmission_joins_the_job_and_progress_is_reported() -> None:
    """Guards against a second execution of a job when the client assumes the first was lost."""

    async def check(cluster: Cluster) -> None:
        request = job("slow", [{"ms": 600, "reply": 1}, {"ms": 5, "reply": 2}])
        first = await curio.spawn(cluster.request, request)
        status = Request("GET", "/v1/jobs/slow")
        while (await cluster.request(status)).status == 404:
            await curio.sleep(0.01)
        assert (await cluster.request(status)).status == 202
        second = await curio.spawn(cluster.request, request)
        other = await cluster.request(job("slow", [{"ms": 1}]))
        assert other.status == 409
        waited = await cluster.request(Request("GET", "/v1/jobs/slow", {"wait": "9000"}))
        responses = [await first.join(), await second.join(), waited]
        assert {a.body for a in responses} == {b'{"outcome":"complete","results":[1,2]}'}
        assert starts(cluster) == {("default/slow", 0): 1, ("default/slow", 1): 1}

    run_cluster(check)


def test_cancelled_job_ends_the_request_of_its_client() -> None:
    """Guards against a client that keeps waiting for a cancelled job."""

    async def check(cluster: Cluster) -> None:
        waiting = await curio.spawn(cluster.request, job("c", [{"ms": 9_000}] * 3))
        while sum(starts(cluster).values()) < 3:
            await curio.sleep(0.01)
        cancelled = await cluster.request(Request("DELETE", "/v1/jobs/c"))
        assert cancelled.status == 410
        assert (await waiting.join()).status == 410

    run_cluster(check, 1)


def test_graceful_stop_of_an_entry_loses_no_request() -> None:
    """Guards against requests that are aborted, lost or executed twice while an entry stops."""

    async def check(cluster: Cluster) -> None:
        responses: list[Response] = []

        async def ask(number: int) -> None:
            tasks = [{"ms": 40, "reply": n} for n in range(4)]
            responses.append(await cluster.request(job(f"g{number}", tasks)))

        async with curio.TaskGroup() as group:
            for number in range(40):
                await group.spawn(ask, number)
                await curio.sleep(0.02)
                if number == 10:
                    await group.spawn(cluster.stop_entry, "e0")
        assert Counter(a.body for a in responses) == {
            b'{"outcome":"complete","results":[0,1,2,3]}': 40
        }
        assert set(starts(cluster).values()) == {1}

    run_cluster(check)


@pytest.mark.parametrize(("victim", "led_partitions"), [("e0", 15), ("e1", 15), ("e1", 1)])
def test_crash_of_an_entry_leaves_no_client_without_response(
    victim: str, led_partitions: int
) -> None:
    """Guards against keys that remain without a leader, and tasks executed twice after failover.

    With a small ``led_partitions``, the victim crashes while partitions are handed over to it.
    """

    async def check(cluster: Cluster) -> None:
        core = cluster.entries[victim].core
        await cluster.wait_until(
            lambda: len(core.own_partitions()) >= led_partitions, "led partitions"
        )
        responses: list[Response] = []

        async def ask(number: int) -> None:
            request = job(f"k{number}", [{"ms": 30, "reply": number}])
            responses.append(await resubmit(cluster, request))

        async with curio.TaskGroup() as group:
            for number in range(24):
                await group.spawn(ask, number)
                await curio.sleep(0.01)
                if number == 10:
                    await cluster.kill_entry(victim)
        outcomes = Counter(a.headers["snipewell-outcome"] for a in responses)
        assert sum(outcomes.values()) == 24 and set(outcomes) <= {"complete", "failed"}
        assert set(starts(cluster).values()) == {1}

    run_cluster(check)


def test_zone_out_of_service_gets_no_starts() -> None:
    """Guards against task starts in a zone whose removal from service was reported in force."""

    async def check(cluster: Cluster) -> None:
        put = await cluster.put("zones", "patan", {"in_service": False})
        assert put.status == 200, put.body
        # The update is pushed to agents; if it is lost, their permits expire within 1,500 ms.
        await curio.sleep(2.5)
        before = len(cluster.upstreams["u-a0"].log)
        response = await cluster.request(job("z", [{"ms": 5, "reply": n} for n in range(40)]))
        assert response.status == 200, response.body
        assert len(cluster.upstreams["u-a0"].log) == before == 0

    run_cluster(check)
