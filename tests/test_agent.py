from __future__ import annotations

from typing import Any

from snipewell.agent import Agent, AgentInfo, AgentLimits, Reconnect
from snipewell.clock import ManualClock
from snipewell.ids import (
    AgentId,
    EntryId,
    Epoch,
    Incarnation,
    Partition,
    RackId,
    Revision,
    ScopedKey,
    ServiceName,
    TaskIndex,
    TeamName,
    UpstreamId,
    ZoneId,
)
from snipewell.message import Heartbeat, Load, Permit, RefusalReason, Refused, Resources, Start
from snipewell.tasktracker import CallEnd, CallUpstream, Send, TaskTrackerLimits

E1, E2 = EntryId("e1.a"), EntryId("e2.a")
KEY = ScopedKey("team/k")
INFO = AgentInfo(
    AgentId("a"),
    Incarnation("i"),
    UpstreamId("u"),
    ZoneId("z"),
    RackId("r"),
    "127.0.0.1:1",
    60,
    Resources(),
    (ServiceName("s"),),
)


def start(task: int = 0, attempt: int = 1, incarnation: str = "i") -> Start:
    names = (Partition(0), Epoch(1), ServiceName("s"), TeamName("team"))
    return Start(
        KEY, TaskIndex(task), *names, b"", 60_000.0, False, E1, attempt, Incarnation(incarnation)
    )


class Driver:
    """An agent with one slot and two entries, whose clock moves in ticks of 20 ms."""

    def __init__(self) -> None:
        self.clock = ManualClock(1_000)
        self.agent = Agent(INFO, self.clock, AgentLimits(TaskTrackerLimits(slots=1)))
        self.agent.on_entries([E1, E2])

    def run_for(self, by_ms: float) -> list[Any]:
        actions = []
        for _ in range(int(by_ms // 20)):
            self.clock.advance(20)
            actions += self.agent.tick()
        return actions

    def permit(self, entry: EntryId = E1, revision: int = 1, accepting: bool = True) -> list[Any]:
        self.run_for(500)
        message = Permit(entry, self.agent.sequence, Revision(revision), accepting, 1_500)
        return self.agent.on_message(entry, message)


def reasons(actions: list[Any]) -> list[RefusalReason]:
    return [a.message.reason for a in actions if isinstance(a.message, Refused)]


def test_heartbeats_go_to_every_entry_and_permit_starts() -> None:
    """Guards against an agent that starts a task before any entry issued a permit."""
    driver = Driver()
    heartbeats = [a for a in driver.run_for(1_000) if isinstance(a, Send)]
    assert [a.entry for a in heartbeats] == [E1, E2, E1, E2]
    assert all(isinstance(a.message, Heartbeat) for a in heartbeats)
    assert reasons(driver.agent.on_message(E1, start())) == [RefusalReason.NO_PERMIT]
    driver.permit()
    assert isinstance(driver.agent.on_message(E1, start(0, 2))[0], CallUpstream)


def test_withdrawal_refuses_queued_tasks_at_once() -> None:
    """Guards against a queued task that starts, or delays its client, in a withdrawn zone."""
    driver = Driver()
    driver.permit()
    driver.agent.on_message(E1, start(0))
    assert driver.agent.on_message(E1, start(1)) == []
    pushed = Permit(E2, 0, Revision(2), False, 0)
    assert reasons(driver.agent.on_message(E2, pushed)) == [RefusalReason.NO_PERMIT]
    assert not driver.agent.may_send()


def test_expired_permit_stops_the_queue() -> None:
    """Guards against starts by an agent that lost contact with all entries."""
    driver = Driver()
    driver.permit()
    driver.agent.on_message(E1, start(0))
    driver.agent.on_message(E1, start(1))
    driver.clock.advance(900)
    driver.agent.tick()
    driver.clock.advance(700)
    ended = driver.agent.on_upstream_end(KEY, TaskIndex(0), CallEnd.OK)
    assert reasons(ended) == [RefusalReason.NO_PERMIT]


def test_start_for_an_earlier_incarnation_is_dropped() -> None:
    """Guards against a task that ran in an incarnation that crashed and runs again in the next."""
    driver = Driver()
    driver.permit()
    assert driver.agent.on_message(E1, start(incarnation="old")) == []
    assert not driver.agent.task_tracker.running


def test_result_that_could_not_be_sent_is_sent_when_the_entry_answers() -> None:
    """Guards against a result lost with a connection, and a refusal resent after a newer grant."""
    driver = Driver()
    driver.permit()
    driver.agent.on_message(E1, start())
    (sent,) = driver.agent.on_upstream_end(KEY, TaskIndex(0), CallEnd.OK, b"x")
    driver.agent.on_undelivered(E1, sent.message)
    refused = Refused(KEY, TaskIndex(1), RefusalReason.BUSY, Epoch(1), Load())
    driver.agent.on_undelivered(E1, refused)
    assert driver.permit(E1) == [sent]
    assert driver.permit(E1) == []


def test_unreachable_upstream_makes_the_agent_back_off() -> None:
    """Guards against an agent without an upstream that attracts and refuses all tasks."""
    driver = Driver()
    driver.permit()
    driver.agent.on_message(E1, start())
    refused = driver.agent.on_upstream_end(KEY, TaskIndex(0), CallEnd.NOT_SENT)
    assert refused[0].message.load.busy == 1
    assert reasons(driver.agent.on_message(E1, start(0, 2))) == [RefusalReason.BUSY]
    driver.run_for(100)
    assert isinstance(driver.agent.on_message(E1, start(0, 3))[0], CallUpstream)


def test_deadline_that_passed_before_sending_does_not_suspend_the_agent() -> None:
    """Guards against tasks that are about to expire and make the agent refuse all others."""
    driver = Driver()
    driver.permit()
    driver.agent.on_message(E1, start())
    expired = driver.agent.on_upstream_end(KEY, TaskIndex(0), CallEnd.EXPIRED)
    assert reasons(expired) == [RefusalReason.EXPIRED]
    assert isinstance(driver.agent.on_message(E1, start(1))[0], CallUpstream)


def test_silent_connection_is_replaced_once_per_silence() -> None:
    """Guards against an open connection that never delivers messages again."""
    driver = Driver()
    driver.permit(E1)
    driver.run_for(900)
    driver.permit(E1)
    replaced = [a for a in driver.run_for(300) if isinstance(a, Reconnect)]
    assert replaced == [Reconnect(E2)]
    assert [a for a in driver.run_for(1_000) if isinstance(a, Reconnect)] == []


def test_drained_only_when_calls_ended_and_results_are_delivered() -> None:
    """Guards against a shutdown that loses the result of the last task."""
    driver = Driver()
    driver.permit()
    driver.agent.on_message(E1, start())
    assert any(a.message.draining for a in driver.agent.drain())
    assert not driver.agent.is_drained()
    (sent,) = driver.agent.on_upstream_end(KEY, TaskIndex(0), CallEnd.OK)
    driver.agent.on_undelivered(E1, sent.message)
    assert not driver.agent.is_drained()
    driver.permit()
    assert driver.agent.is_drained()
