from collections.abc import Awaitable, Callable

import curio
import pytest

from snipewell.client import ExchangeError, HttpPool
from snipewell.clock import SystemClock
from snipewell.ids import Revision
from snipewell.outcome import Step
from snipewell.standins.keyvalue import Faults
from snipewell.standins.store import StoreServer, StoreStandIn
from snipewell.store import (
    Changes,
    Listing,
    PrefixWatcher,
    Store,
    StoreConflictError,
    StoreUnknownError,
    StoreUnreachableError,
)
from snipewell.web import Request, Response


def run(scenario: Callable[[StoreStandIn, Store], Awaitable[None]]) -> StoreStandIn:
    stand_in = StoreStandIn()
    curio.run(scenario, stand_in, Store(stand_in, "store", SystemClock(), 200))
    return stand_in


def test_lost_response_is_resolved_by_reading_back() -> None:
    """Guards against a write that is sent twice, or reported as failed although it took effect."""

    async def scenario(stand_in: StoreStandIn, store: Store) -> None:
        await stand_in.set_faults(Faults(lose_answers=1))
        revision = await store.compare_and_swap("config/zones", b"a", 0)
        value = await store.get("config/zones")
        assert value is not None and (value.value, value.revision) == (b"a", revision)
        await stand_in.set_faults(Faults(lose_answers=1))
        await store.delete("config/zones", revision)
        assert await store.get("config/zones") is None

    assert run(scenario).stats()["put"] == 1


def test_equal_values_of_two_writers_are_distinguished() -> None:
    """Guards against a write reported as successful because of another writer's equal value."""

    async def scenario(stand_in: StoreStandIn, store: Store) -> None:
        class ResponseLosingPool:
            async def request(self, request: Request, timeout_ms: float) -> Response:
                if request.method == "PUT":
                    await store.compare_and_swap("k", b"same", 0)
                    raise ExchangeError(Step.STORE, "store", "closed before the answer")
                return await stand_in.request(request, timeout_ms)

        with pytest.raises(StoreUnknownError) as unknown:
            await Store(ResponseLosingPool(), "store", SystemClock(), 20).compare_and_swap(
                "k", b"same", 0
            )
        assert unknown.value.changed

    run(scenario)


def test_write_that_may_still_arrive_is_indeterminate_and_not_repeated() -> None:
    """Guards against a second write while the first one is still in transit."""

    async def scenario(stand_in: StoreStandIn, store: Store) -> None:
        await stand_in.set_faults(Faults(down="hang", for_ms=30))
        short_timeout_store = Store(stand_in, "store", SystemClock(), 20)
        with pytest.raises(StoreUnknownError) as unknown:
            await short_timeout_store.compare_and_swap("k", b"a", 0)
        assert not unknown.value.changed

    assert run(scenario).stats()["put"] == 0


def test_conflicts_and_refused_connections_raise_distinct_errors_with_the_store_address() -> None:
    """Guards against errors that do not distinguish a lost race from an outage."""

    async def scenario(stand_in: StoreStandIn, store: Store) -> None:
        first = await store.compare_and_swap("k", b"a", 0)
        with pytest.raises(StoreConflictError) as conflict:
            await store.compare_and_swap("k", b"b", 0)
        assert conflict.value.revision == first
        with pytest.raises(StoreConflictError):
            await store.delete("other", 4)
        await stand_in.set_faults(Faults(down="refuse"))
        with pytest.raises(StoreUnreachableError) as unreachable:
            await store.compare_and_swap("k", b"b", first)
        assert (unreachable.value.step, unreachable.value.peer) == (Step.STORE, "store")

    run(scenario)


def test_follower_lists_again_after_the_store_was_rolled_back() -> None:
    """Guards against a watch that waits for revisions the store no longer has after a restore."""

    async def scenario(stand_in: StoreStandIn, store: Store) -> None:
        watcher = PrefixWatcher(store, "cluster/")
        first = await store.compare_and_swap("cluster/a", b"1", 0)
        assert isinstance(await watcher.next(0), Listing)
        second = await store.compare_and_swap("cluster/a", b"2", first)
        changes = await watcher.next(0)
        assert isinstance(changes, Changes)
        assert [(c.value, c.revision) for c in changes.changes] == [(b"2", second)]
        await stand_in.set_faults(Faults(go_back_to=first))
        listing = await watcher.next(0)
        assert isinstance(listing, Listing)
        assert listing.values["cluster/a"].value == b"1"
        assert listing.to_snapshot().revision == first

    run(scenario)


def test_lost_response_and_outage_over_http() -> None:
    """Guards against faults that do not work over HTTP, and leases that outlive an outage."""

    async def scenario() -> None:
        server = StoreServer(StoreStandIn())
        await server.start()
        host, port = server.address
        running = await curio.spawn(server.run)
        pool = HttpPool(f"{host}:{port}", step=Step.STORE)
        store = Store(pool, pool.address, SystemClock(), 300)
        lease = await store.lease(1_500)
        await pool.request(Request("POST", "/faults", {}, {}, b'{"lose_answers": 1}'), 300)
        written = await store.compare_and_swap("cluster/entries/a b", b"x" * 900_000, 0, lease)
        assert await store.renew(lease)
        faults = b'{"down": "refuse", "for_ms": 2000}'
        await pool.request(Request("POST", "/faults", {}, {}, faults), 300)
        await curio.sleep(0.05)
        with pytest.raises(StoreUnreachableError):
            await store.get("cluster/entries/a b")
        changes = None
        for _ in range(50):
            try:
                changes = await store.watch("cluster/", Revision(written), 100)
                break
            except StoreUnreachableError:
                await curio.sleep(0.05)
        assert changes is not None and [c.deleted for c in changes.changes] == [True]
        assert not await store.renew(lease)
        await running.cancel()
        await pool.close()

    curio.run(scenario)
