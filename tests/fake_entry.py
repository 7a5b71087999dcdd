"""An entry's HTTP API for tests: the production resource API and scripted submissions."""

from __future__ import annotations

import random
import threading
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import curio

from snipewell.clock import SystemClock
from snipewell.configuration import Configuration
from snipewell.ids import Revision
from snipewell.resourceapi import ResourceApi, RevisionCounts
from snipewell.server import ClientDisconnectedError, HttpServer
from snipewell.standins.store import StoreStandIn
from snipewell.store import Listing, PrefixWatcher, Store
from snipewell.web import Request, Response

CLOSE_CONNECTION = "lost"


class FakeEntry:
    """An entry that responds to submissions from ``script``, one item each.

    The item `CLOSE_CONNECTION` closes the connection without a response.
    """

    def __init__(self) -> None:
        clock = SystemClock()
        self.store = StoreStandIn()
        client = Store(self.store, "store", clock, 500)
        self.configuration = Configuration()
        self.watcher = PrefixWatcher(client, "config/")
        self.in_force = True
        self.script: list[Response | str] = []
        self.seen: list[Request] = []
        self.address = ""
        self.resources = ResourceApi(
            client,
            self.configuration,
            clock,
            random.Random(3),
            self._wait,
            lambda _: RevisionCounts(3 if self.in_force else 1, 3, 10, 10),
        )
        self.server = HttpServer(self.handle)

    async def start(self) -> None:
        await self.server.start("127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.address)

    async def handle(self, request: Request) -> Response:
        self.seen.append(request)
        if request.path == "/readyz":
            return Response.from_json(200, {"ready": True})
        if request.path == "/v1/entries":
            entry = {"entry": "e1.aa", "zone": "patan", "http_address": self.address}
            down = {"entry": "e2.bb", "zone": "kirtipur", "http_address": "127.0.0.1:1"}
            return Response.from_json(200, {"entries": [entry, down]})
        if request.path.startswith(("/v1/jobs", "/v1/keys")) or request.path.endswith("/requests"):
            answer = self.script.pop(0)
            if isinstance(answer, str):
                raise ClientDisconnectedError
            return answer
        return await self.resources.handle(request)

    async def _wait(self, revision: Revision, timeout_ms: float) -> bool:
        answer = await self.watcher.next(0)
        if isinstance(answer, Listing):
            self.configuration.apply_snapshot(answer.to_snapshot())
        else:
            for change in answer.changes:
                self.configuration.apply(change.key, change.value, change.revision)
        return self.in_force


def answer(status: int, outcome: str, retry_after: str = "", **fields: object) -> Response:
    """Return a response in the format of an entry."""
    headers = {"snipewell-outcome": outcome} | ({"retry-after": retry_after} if retry_after else {})
    return Response.from_json(status, {"outcome": outcome, **fields}, headers)


def run_with_entry(scenario: Callable[[FakeEntry], Awaitable[None]]) -> FakeEntry:
    """Run ``scenario`` against a started entry in one curio kernel, and return the entry."""
    entry = FakeEntry()

    async def run() -> None:
        await entry.start()
        await scenario(entry)
        await entry.server.stop(0)

    curio.run(run)
    return entry


@contextmanager
def entry_in_thread() -> Iterator[FakeEntry]:
    """Run an entry in another thread, for code that runs a curio kernel itself."""
    entry = FakeEntry()
    started, stop = threading.Event(), threading.Event()

    async def run() -> None:
        await entry.start()
        started.set()
        while not stop.is_set():
            await curio.sleep(0.01)
        await entry.server.stop(0)

    thread = threading.Thread(target=curio.run, args=(run,), daemon=True)
    thread.start()
    try:
        assert started.wait(10)
        yield entry
    finally:
        stop.set()
        thread.join(10)
