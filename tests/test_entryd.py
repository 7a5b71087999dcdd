"""Tests of the entry daemon: signals, limits, exit statuses and logs."""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import curio
import msgspec
import pytest

from snipewell.client import fetch
from snipewell.entryd import run_entry
from snipewell.outcome import SnipewellError
from snipewell.settings import EntrySettings, LogSettings, StoreSettings
from snipewell.standins.cluster import HOST, Cluster, entry_settings
from snipewell.standins.store import StoreServer, StoreStandIn
from snipewell.web import Request, Response

SERVICE = {"deadline_ms": 20_000}
SUBMIT = Request("POST", "/v1/services/resize/requests", {}, {"idempotency-key": "k"}, b"1")


def find_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def run_with_signals(
    log: Path, check: Callable[[str, curio.Task], Awaitable[None]], **changes: object
) -> tuple[int, str]:
    """Run an entry with a store, and ``check`` concurrently; return its exit status and log."""

    async def main() -> int:
        server = StoreServer(StoreStandIn(settings=StoreSettings(host=HOST, latency_ms=0)))
        await server.start()
        settings: EntrySettings = msgspec.structs.replace(
            entry_settings("e1", "patan"),
            store="{}:{}".format(*server.address),
            http_port=find_port(),
            log=LogSettings(file=str(log)),
            **changes,
        )
        address = f"{HOST}:{settings.http_port}"
        async with curio.timeout_after(60):
            entry = await curio.spawn(run_entry, settings)
            while not await is_ready(address):
                await curio.sleep(0.01)
            body = msgspec.json.encode({"spec": SERVICE})
            await fetch(address, Request("PUT", "/v1/services/resize", {}, {}, body), 5_000)
            await check(address, entry)
            status = int(await entry.join())
        await server.stop()
        return status

    return curio.run(main), log.read_text()


async def is_ready(address: str) -> bool:
    try:
        return (await fetch(address, Request("GET", "/readyz"), 1_000)).status == 200
    except SnipewellError:
        return False


async def submit(address: str) -> Response | None:
    try:
        return await fetch(address, SUBMIT, 30_000)
    except SnipewellError:
        return None


def test_first_signal_lets_requests_finish(tmp_path: Path) -> None:
    """Guards against a graceful stop that aborts a request, and a wrong exit status."""
    answers: list[Response | None] = []

    async def check(address: str, entry: curio.Task) -> None:
        waiting = await curio.spawn(submit, address)
        await wait_for_metric(address, "snipewell_waiting_requests 1")
        os.kill(os.getpid(), signal.SIGTERM)
        while await is_ready(address):
            await curio.sleep(0.005)
        assert not entry.terminated
        await fetch(address, Request("DELETE", "/v1/jobs/k"), 5_000)
        answers.append(await waiting.join())

    status, log = run_with_signals(tmp_path / "log", check, drain_settle_ms=500)
    assert status == 0
    assert answers[0] is not None and answers[0].status == 410
    assert '"cut_requests":0' in log


async def wait_for_metric(address: str, line: str) -> None:
    while line.encode() not in (await fetch(address, Request("GET", "/metrics"), 5_000)).body:
        await curio.sleep(0.005)


@pytest.mark.parametrize("is_second_signal", [True, False])
def test_forced_stop_reports_the_aborted_requests(tmp_path: Path, is_second_signal: bool) -> None:
    """Guards against an entry that cannot be stopped, or does not report aborted requests."""

    async def check(address: str, entry: curio.Task) -> None:
        waiting = await curio.spawn(submit, address)
        await wait_for_metric(address, "snipewell_waiting_requests 1")
        os.kill(os.getpid(), signal.SIGTERM)
        while await is_ready(address):
            await curio.sleep(0.005)
        if is_second_signal:
            os.kill(os.getpid(), signal.SIGTERM)
        assert await waiting.join() is None

    limit_ms = 30_000 if is_second_signal else 300
    status, log = run_with_signals(tmp_path / "log", check, drain_limit_ms=limit_ms)
    assert status == 1
    assert '"cut_requests":1' in log


def test_bound_of_waiting_requests() -> None:
    """Guards against pending requests that fill the memory, and an ambiguous rejection.

    The rejection has to say that the attempt was not accepted.
    """

    async def main() -> None:
        cluster = Cluster([entry_settings("e1", "patan", waiting_requests=1)])
        await cluster.start()
        await cluster.put("services", "resize", SERVICE)
        waiting = await curio.spawn(cluster.request, SUBMIT)
        entry = cluster.entries["e1"]
        await cluster.wait_until(lambda: entry.waiting_count == 1, "the first request")
        refused = await cluster.request(SUBMIT)
        assert refused.status == 503 and b'"accepted":false' in refused.body
        await waiting.cancel()
        await cluster.stop(2_000)

    curio.run(main)


def test_exception_in_one_event_stops_no_other() -> None:
    """Guards against an entry that answers no request any more after one internal error."""

    async def main() -> None:
        cluster = Cluster([entry_settings("e1", "patan")])
        await cluster.start()
        await cluster.put("services", "resize", {"deadline_ms": 300})
        entry = cluster.entries["e1"]
        submit, entry.core.partition_manager.submit = entry.core.partition_manager.submit, None
        waiting = await curio.spawn(cluster.request, SUBMIT)
        count = entry.metrics.counter
        await cluster.wait_until(lambda: count("internal_errors") == 1, "the fault")
        entry.core.partition_manager.submit = submit
        later = Request("POST", SUBMIT.path, {}, {"idempotency-key": "later"}, b"1")
        assert (await cluster.request(later)).headers["snipewell-outcome"] == "not_run"
        assert (await waiting.join()).headers["snipewell-outcome"] == "unknown"
        await cluster.stop(2_000)

    curio.run(main)
