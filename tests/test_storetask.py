"""Guards against processes that miss changes in the store."""

from __future__ import annotations

from random import Random

import curio
import pytest

from snipewell.clock import SystemClock
from snipewell.directory import JOB_ENTRIES_PREFIX
from snipewell.log import Log
from snipewell.platform.configuration import EVACUATION_PREFIX, OPERATOR_PREFIX
from snipewell.platform.store import PlatformStore
from snipewell.standins import metadata
from snipewell.standins.metadata import MetadataStore, StoreFaults
from snipewell.store import Changes, Listing, StoreUnreachableError
from snipewell.storetask import watch_prefix

STORE_TIMEOUT_MS, WATCH_TIMEOUT_MS = 800.0, 500.0
"""As in ``snipewell.platform``."""
SILENT_S = 0.5
TOUCH_S = 3.0
"""Time from the end of an outage within which a change has to arrive that was acknowledged over 2 s
before: a VM counts as in touch with the platform after it (``touchMs``), and the bound for a change
(``configApplyMs``) begins with its acknowledgement."""
GIVE_UP_S = 5.0
"""Time after which a test waits no longer for a change."""
ACKNOWLEDGED_S = 0.1
"""Time from the end of an outage until the change is acknowledged."""


def test_a_change_arrives_soon_after_the_store_was_silent() -> None:
    """Guards against a watch that the silent store never answers (review/4)."""

    async def main() -> list[Listing | Changes]:
        stand_in = MetadataStore(Random(1))
        server = await stand_in.serve()
        address = f"127.0.0.1:{server.address[1]}"
        store = PlatformStore(address, SystemClock(), STORE_TIMEOUT_MS, WATCH_TIMEOUT_MS)
        stand_in.put("op/config", b"one")
        updates: list[Listing | Changes] = []

        async def deliver(update: Listing | Changes) -> None:
            updates.append(update)
            # The watch that follows gets no answer, now or later.
            stand_in.faults = StoreFaults(silent=True)

        watcher = await curio.spawn(watch_prefix, store, "op/", deliver, Log(), Random(2))
        await curio.sleep(SILENT_S)
        assert len(updates) == 1
        stand_in.faults = StoreFaults()
        stand_in.put("op/config", b"two")
        async with curio.ignore_after(TOUCH_S):
            while len(updates) == 1:
                await curio.sleep(0.01)
        await watcher.cancel()
        await store.close()
        await server.stop(0)
        return updates

    updates = curio.run(main)
    assert len(updates) == 2
    assert isinstance(updates[1], Changes)
    assert [change.value for change in updates[1].changes] == [b"two"]


async def _measure_delay_s(prefix: str, silent_s: float) -> float:
    """Return the time from the end of a silence until a change made after it arrives.

    The silence begins before the first watch and lasts ``silent_s``.
    """
    stand_in = MetadataStore(Random(1))
    server = await stand_in.serve()
    address = f"127.0.0.1:{server.address[1]}"
    store = PlatformStore(address, SystemClock(), STORE_TIMEOUT_MS, WATCH_TIMEOUT_MS)
    stand_in.put(prefix + "key", b"one")
    listed, arrived = curio.Event(), curio.Event()

    async def deliver(update: Listing | Changes) -> None:
        if isinstance(update, Listing):
            stand_in.faults = StoreFaults(silent=True)
            await listed.set()
        elif update.changes:
            await arrived.set()

    watch = watch_prefix(store, prefix, deliver, Log(), Random(f"{prefix} {silent_s}"))
    watcher = await curio.spawn(watch)
    await listed.wait()
    await curio.sleep(silent_s)
    stand_in.faults = StoreFaults()
    ended_s = await curio.clock()
    await curio.sleep(ACKNOWLEDGED_S)
    stand_in.put(prefix + "key", b"two")
    await curio.ignore_after(GIVE_UP_S, arrived.wait)
    delay_s = float(await curio.clock() - ended_s)
    await watcher.cancel()
    await store.close()
    await server.stop(0)
    return delay_s


def test_a_change_arrives_in_time_whenever_the_silence_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a watch sent just before the end of a silence that is given up too late.

    The end of the silence is swept over more than the longest cycle of a watch (review/10).
    """
    monkeypatch.setattr(metadata, "_POLL_S", 0.05)
    cases = [
        (prefix, round(0.05 + 0.1 * number, 2))
        for prefix in (OPERATOR_PREFIX, EVACUATION_PREFIX, JOB_ENTRIES_PREFIX)
        for number in range(34)
    ]

    async def main() -> list[float]:
        tasks = [await curio.spawn(_measure_delay_s, *case) for case in cases]
        return [await task.join() for task in tasks]

    delays_s = curio.run(main)
    assert {
        case: delay_s for case, delay_s in zip(cases, delays_s, strict=True) if delay_s > TOUCH_S
    } == {}


def test_a_lost_answer_closes_the_idle_connections() -> None:
    """Guards against a second lost call, on an idle connection that went silent too (review/10)."""
    answer = b'{"items":[],"atRevision":1,"hasMore":false}'
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(answer)}\r\n\r\n".encode()

    async def answer_once(client: curio.io.Socket, _: object) -> None:
        await client.recv(65_536)
        await curio.sleep(0.05)
        await client.sendall(head + answer)
        while await client.recv(65_536):
            pass

    async def main() -> None:
        listener = curio.network.tcp_server_socket("127.0.0.1", 0)
        port = listener.getsockname()[1]
        server = await curio.spawn(curio.network.run_server, listener, answer_once)
        store = PlatformStore(f"127.0.0.1:{port}", SystemClock(), 200.0)
        first = [await curio.spawn(store.list, "op/") for _ in range(3)]
        for task in first:
            await task.join()
        with pytest.raises(StoreUnreachableError):
            await store.list("op/")
        assert (await store.list("op/")).revision == 1
        await store.close()
        await server.cancel()

    curio.run(main)
