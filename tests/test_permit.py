from __future__ import annotations

from snipewell.clock import ManualClock
from snipewell.ids import EntryId, Revision
from snipewell.message import Permit
from snipewell.permit import Permits

A, B = EntryId("a.1"), EntryId("b.1")


class Agent:
    """Permits with a clock that is observed every 100 ms, as the daemon's ticks do."""

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


def test_expiry_counts_from_the_sending_of_the_heartbeat() -> None:
    """Guards against starts in a withdrawn zone on a permit that was long on its way."""
    agent = Agent()
    agent.permits.heartbeat_sent(A, 1)
    agent.wait(1_400)
    agent.permits.on_permit(Permit(A, 1, Revision(1), True, 1_500))
    assert agent.permits.may_start()
    agent.wait(100)
    assert not agent.permits.may_start()


def test_late_and_repeated_answers_grant_nothing() -> None:
    """Guards against a permit that ZeroMQ delivers late counting from its arrival."""
    agent = Agent()
    agent.permits.heartbeat_sent(A, 1)
    agent.wait(2_000)
    for _ in range(2):
        agent.permits.on_permit(Permit(A, 1, Revision(1), True, 1_500))
        assert not agent.permits.may_start()
    agent.permits.on_permit(Permit(A, 2, Revision(1), True, 1_500))
    assert not agent.permits.may_start()


def test_pause_voids_permits_and_answers_under_way() -> None:
    """Guards against starts after a pause that the agent did not notice."""
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


def test_highest_revision_decides() -> None:
    """Guards against an entry with an old configuration that overrides a withdrawal."""
    agent = Agent()
    agent.answer(A, 1, 5)
    agent.answer(B, 2, 6, accepting=False)
    assert not agent.permits.may_start()
    agent.answer(A, 3, 5)
    assert not agent.permits.may_start()
    agent.answer(A, 4, 7)
    assert agent.permits.may_start()
    assert agent.permits.revision == 7


def test_pushed_withdrawal_ends_all_permits_until_a_higher_revision() -> None:
    """Guards against a withdrawal that is undone by an answer of the same revision on its way."""
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


def test_entry_without_contact_ends_only_its_own_permit() -> None:
    """Guards against one entry that lost the store stopping agents that others permit."""
    agent = Agent()
    agent.answer(A, 1, 5)
    agent.answer(B, 2, 5)
    agent.answer(B, 3, 5, accepting=False)
    assert agent.permits.may_start()
    agent.permits.entry_gone(A)
    assert not agent.permits.may_start()
