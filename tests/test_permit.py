from __future__ import annotations

from snipewell.clock import ManualClock
from snipewell.ids import EntryId, Revision
from snipewell.message import Permit
from snipewell.permit import Permits

A, B = EntryId("a.1"), EntryId("b.1")


class Agent:
    """Permits with a manual clock; ``tick`` is called every 100 ms, as in the daemon."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.permits = Permits(self.clock)

    def wait(self, by_ms: int) -> None:
        for _ in range(by_ms // 100):
            self.clock.advance(100)
            self.permits.tick()

    def answer(self, entry: EntryId, sequence: int, revision: int, accepting: bool = True) -> None:
        if sequence:
            self.permits.heartbeat_sent(entry, sequence)
        self.permits.on_permit(Permit(entry, sequence, Revision(revision), accepting, 1_500))


def test_permit_lifetime_counts_from_the_send_time_of_the_heartbeat() -> None:
    """Guards against starts in a withdrawn availability zone on a permit delayed in the network."""
    agent = Agent()
    agent.permits.heartbeat_sent(A, 1)
    agent.wait(1_400)
    agent.permits.on_permit(Permit(A, 1, Revision(1), True, 1_500))
    assert agent.permits.may_start()
    agent.wait(100)
    assert not agent.permits.may_start()


def test_late_and_duplicate_replies_grant_no_permit() -> None:
    """Guards against a permit that ZeroMQ delivers late being valid from its arrival."""
    agent = Agent()
    agent.permits.heartbeat_sent(A, 1)
    agent.wait(2_000)
    for _ in range(2):
        agent.permits.on_permit(Permit(A, 1, Revision(1), True, 1_500))
        assert not agent.permits.may_start()
    agent.permits.on_permit(Permit(A, 2, Revision(1), True, 1_500))
    assert not agent.permits.may_start()


def test_process_pause_voids_permits_and_pending_replies() -> None:
    """Guards against starts after a process pause that the agent did not detect."""
    agent = Agent()
    agent.answer(A, 1, 1)
    agent.permits.heartbeat_sent(A, 2)
    agent.clock.advance(1_100)
    assert not agent.permits.may_start()
    agent.permits.on_permit(Permit(A, 2, Revision(1), True, 1_500))
    assert not agent.permits.may_start()
    assert agent.permits.pauses == 1
    agent.answer(A, 3, 1)
    assert agent.permits.may_start()


def test_permits_of_lower_revisions_are_void() -> None:
    """Guards against an entry with an outdated configuration overriding a withdrawal."""
    agent = Agent()
    agent.answer(A, 1, 5)
    agent.answer(B, 2, 6, accepting=False)
    assert not agent.permits.may_start()
    agent.answer(A, 3, 5)
    assert not agent.permits.may_start()
    agent.answer(A, 4, 7)
    assert agent.permits.may_start()
    assert agent.permits.revision == 7


def test_pushed_withdrawal_revokes_all_permits_until_a_higher_revision() -> None:
    """Guards against a withdrawal being undone by a pending reply of the same revision."""
    agent = Agent()
    agent.answer(A, 1, 5)
    agent.answer(B, 0, 6, accepting=False)
    assert not agent.permits.may_start()
    agent.answer(A, 2, 6)
    assert not agent.permits.may_start()
    agent.answer(B, 0, 7, accepting=True)
    assert not agent.permits.may_start()
    agent.answer(A, 3, 7)
    assert agent.permits.may_start()


def test_entry_without_contact_revokes_only_its_own_permit() -> None:
    """Guards against an entry that lost the store stopping agents with permits from others."""
    agent = Agent()
    agent.answer(A, 1, 5)
    agent.answer(B, 2, 5)
    agent.answer(B, 3, 5, accepting=False)
    assert agent.permits.may_start()
    agent.permits.remove_entry(A)
    assert not agent.permits.may_start()
