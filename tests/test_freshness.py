from snipewell.clock import ManualClock
from snipewell.freshness import Freshness
from snipewell.ids import EntryId, Revision

A, B, C = EntryId("a.1"), EntryId("b.1"), EntryId("c.1")
R5, R6 = Revision(5), Revision(6)


def make() -> tuple[Freshness, ManualClock]:
    clock = ManualClock(10_000)
    freshness = Freshness(A, clock)
    freshness.set_voters([A, B, C])
    return freshness, clock


def test_contact_counts_from_the_send_time_of_the_request() -> None:
    """Guards against a process, paused after a request, treating an old answer as a recent one."""
    freshness, clock = make()
    sent = clock.now_ms()
    clock.advance(900)
    freshness.on_store_contact(sent)
    assert freshness.is_fresh(R5)
    clock.advance(101)
    assert not freshness.is_fresh(R5)
    freshness.on_store_contact(sent - 50)
    assert not freshness.is_fresh(R5)


def test_majority_without_a_higher_revision_suffices_without_the_store() -> None:
    """Guards against all task starts stopping because the store is down."""
    freshness, clock = make()
    assert not freshness.is_fresh(R5)
    freshness.on_peer(B, clock.now_ms(), R5)
    assert freshness.is_fresh(R5)
    clock.advance(1_001)
    assert not freshness.is_fresh(R5)


def test_peer_with_a_higher_revision_prevents_permits_without_the_store() -> None:
    """Guards against permits for an availability zone from an entry that missed its withdrawal."""
    freshness, clock = make()
    freshness.on_peer(B, clock.now_ms(), R6)
    freshness.on_peer(C, clock.now_ms(), R5)
    assert not freshness.is_fresh(R5)
    assert freshness.is_fresh(R6)
    freshness.on_peer(B, clock.now_ms(), R5)
    assert not freshness.is_fresh(R5)


def test_minority_and_non_voters_do_not_suffice() -> None:
    """Guards against counting entries that are no voters, or an earlier incarnation of a voter."""
    freshness, clock = make()
    freshness.on_peer(EntryId("b.0"), clock.now_ms(), R5)
    freshness.on_peer(A, clock.now_ms(), R5)
    assert not freshness.is_fresh(R5)


def test_single_entry_is_a_majority_once_it_is_a_voter() -> None:
    """Guards against a system of one entry stopping with the store, or starting without it."""
    clock = ManualClock()
    freshness = Freshness(A, clock)
    assert not freshness.is_fresh(R5)
    freshness.set_voters([A])
    assert freshness.is_fresh(R5)


def test_store_contact_does_not_suffice_after_long_lag_behind_a_peer() -> None:
    """Guards against permits from an entry that started on a store that had been rolled back."""
    freshness, clock = make()
    for _ in range(13):
        freshness.on_store_contact(clock.now_ms())
        freshness.on_peer(B, clock.now_ms(), R6)
        fresh = freshness.is_fresh(R5)
        clock.advance(100)
    assert not fresh
    assert freshness.is_fresh(R6)
