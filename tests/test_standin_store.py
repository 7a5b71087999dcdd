import curio
import msgspec
import pytest

from snipewell.clock import ManualClock
from snipewell.keyvalue import Changes, Item
from snipewell.server import ClientDisconnectedError
from snipewell.standins.keyvalue import ConflictError, Faults, KeyValueCore
from snipewell.standins.store import StoreStandIn
from snipewell.web import Request


def test_compare_and_swap_accepts_one_of_two_writers() -> None:
    """Guards against a stand-in that accepts lost updates of concurrent operators."""
    core = KeyValueCore(ManualClock())
    first = core.put("k", b"1", 0)
    with pytest.raises(ConflictError) as conflict:
        core.put("k", b"2", 0)
    assert conflict.value.revision == first
    assert core.put("k", b"2", first) == first + 1


def test_expired_lease_deletes_its_keys_and_emits_events() -> None:
    """Guards against entries that are not notified of an expired registration."""
    clock = ManualClock()
    core = KeyValueCore(clock)
    lease = core.grant(5_000)
    after = core.put("cluster/entries/a", b"", 0, lease)
    clock.advance(4_000)
    assert core.renew(lease)
    clock.advance(4_999)
    assert core.get("cluster/entries/a") is not None
    clock.advance(1)
    events, compacted = core.events_after("cluster/", after)
    assert [(e.key, e.deleted) for e in events] == [("cluster/entries/a", True)]
    assert not compacted and not core.renew(lease)


def test_roll_back_and_compaction() -> None:
    """Guards against a restored revision that differs from the original state."""
    core = KeyValueCore(ManualClock(), history=10)
    for number in range(25):
        core.put(f"k{number % 3}", str(number).encode(), None)
    core.roll_back(22)
    assert core.revision == 22
    assert core.get("k0") == Item("k0", 22, b"21")
    assert core.get("k1") == Item("k1", 20, b"19")
    assert core.events_after("k", 0)[1] and not core.events_after("k", 15)[1]
    with pytest.raises(ValueError, match="expected a revision"):
        core.roll_back(3)


def test_pending_watch_is_counted_and_completed_by_a_write() -> None:
    """Guards against a watch that returns only after its full wait."""

    async def scenario() -> None:
        store = StoreStandIn()
        query = {"prefix": "config/", "after": "0", "wait_ms": "60000"}
        watch = await curio.spawn(store.handle, Request("GET", "/v1/watch", query))
        while store.stats()["watches_waiting"] == 0:
            await curio.sleep(0)
        await store.handle(Request("PUT", "/v1/kv/config/zones", {}, {}, b"x"))
        changes = msgspec.json.decode((await watch.join()).body, type=Changes)
        assert [event.value for event in changes.events] == [b"x"]
        assert store.stats()["watches_waiting"] == 0 and store.stats()["watch"] == 1

    curio.run(scenario)


def test_write_with_a_lost_response_takes_effect() -> None:
    """Guards against a fault that loses the write together with its response."""

    async def scenario() -> None:
        store = StoreStandIn()
        await store.set_faults(Faults(lose_answers=1))
        with pytest.raises(ClientDisconnectedError):
            await store.handle(Request("PUT", "/v1/kv/k", {"if_revision": "0"}, {}, b"x"))
        assert store.core.get("k") == Item("k", 1, b"x")

    curio.run(scenario)
