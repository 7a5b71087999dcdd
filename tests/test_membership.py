from typing import Any

import msgspec

from snipewell.clock import ManualClock
from snipewell.effect import LogRecord
from snipewell.ids import AgentId, Incarnation, RackId, Revision, ServiceName, UpstreamId, ZoneId
from snipewell.membership import AgentsRemoved, HeartbeatAccepted, Membership
from snipewell.message import Heartbeat, Load, Resources
from snipewell.resource import Kind

ZONE = ZoneId("pos-east")


def make_heartbeat(agent: str, sequence: int, incarnation: str = "i1", **changes: Any) -> Heartbeat:
    heartbeat = Heartbeat(
        agent=AgentId(agent),
        incarnation=Incarnation(incarnation),
        sequence=sequence,
        upstream=UpstreamId(agent),
        zone=ZONE,
        rack=RackId("r1"),
        address=f"127.0.0.1:{7000 + sum(agent.encode())}",
        slots=8,
        connections=60,
        worker=Resources(16, 32_768, 0),
        services=[ServiceName("answer")],
        draining=False,
        revision=Revision(1),
        load=Load(),
    )
    return msgspec.structs.replace(heartbeat, **changes)


class Harness:
    def __init__(self) -> None:
        self.clock = ManualClock(1_000)
        self.zones_out: set[ZoneId] = set()
        self.membership = Membership(self.clock, lambda zone, _: zone not in self.zones_out)

    def removed(self) -> list[AgentsRemoved]:
        return [e for e in self.membership.tick() if isinstance(e, AgentsRemoved)]


def log_texts(events: list[Any]) -> list[str]:
    return [event.text for event in events if isinstance(event, LogRecord)]


def test_heartbeat_timeout_removes_an_agent_once() -> None:
    """Guards against tasks granted to an agent that died, and against two reports of its death."""
    harness = Harness()
    harness.membership.on_heartbeat(make_heartbeat("a1", 1))
    harness.membership.on_heartbeat(make_heartbeat("a2", 1, rack=RackId("r2")))
    harness.clock.advance(1_499)
    harness.membership.on_heartbeat(make_heartbeat("a2", 2, rack=RackId("r2")))
    assert harness.removed() == []
    harness.clock.advance(1)
    (removed,) = harness.removed()
    assert [c.agent for c in removed.agents] == ["a1"]
    assert harness.removed() == []
    assert [view.agent for view in harness.membership.agents()] == ["a2"]


def test_the_loss_of_a_rack_is_one_event() -> None:
    """Guards against a separate alarm and recovery pass for each agent of a lost rack."""
    harness = Harness()
    for name in ("a1", "a2", "a3"):
        harness.membership.on_heartbeat(make_heartbeat(name, 1))
        harness.clock.advance(160)
    harness.membership.on_heartbeat(make_heartbeat("b1", 1, rack=RackId("r2")))
    harness.clock.advance(1_500 - 3 * 160)
    (removed,) = harness.removed()
    assert [c.agent for c in removed.agents] == ["a1", "a2", "a3"]
    assert removed.rack == "r1"


def test_a_restart_replaces_the_old_incarnation() -> None:
    """Guards against tasks waiting for a process that restarted within the heartbeat timeout."""
    harness = Harness()
    harness.membership.on_heartbeat(make_heartbeat("a1", 7))
    harness.clock.advance(800)
    removed, seen = harness.membership.on_heartbeat(make_heartbeat("a1", 1, "i2"))
    assert isinstance(removed, AgentsRemoved) and isinstance(seen, HeartbeatAccepted)
    assert removed.agents[0].incarnation == "i1" and seen.joined
    delayed = harness.membership.on_heartbeat(make_heartbeat("a1", 8, "i1"))
    assert len(log_texts(delayed)) == 1
    view = harness.membership.view(AgentId("a1"))
    assert view is not None and view.incarnation == "i2"


def test_two_processes_with_one_id_do_not_replace_each_other() -> None:
    """Guards against grants that alternate between two processes that claim one agent id."""
    harness = Harness()
    log_lines = []
    for sequence in range(1, 9):
        harness.membership.on_heartbeat(make_heartbeat("a1", sequence))
        harness.clock.advance(250)
        events = harness.membership.on_heartbeat(
            make_heartbeat("a1", sequence, "i2", address="127.0.0.1:1")
        )
        log_lines += log_texts(events)
        harness.clock.advance(250)
    view = harness.membership.view(AgentId("a1"))
    assert view is not None and view.incarnation == "i1"
    assert len(log_lines) == 1 and "claim one agent id" in log_lines[0]
    harness.clock.advance(1_500)
    harness.membership.tick()
    (seen,) = harness.membership.on_heartbeat(make_heartbeat("a1", 10, "i2", address="127.0.0.1:1"))
    assert isinstance(seen, HeartbeatAccepted) and seen.joined


def test_a_new_agent_at_the_address_of_an_unresponsive_one_replaces_it() -> None:
    """Guards against counting the slots of a VM twice after it was replaced."""
    harness = Harness()
    harness.membership.on_heartbeat(make_heartbeat("a1", 1, address="127.0.0.1:9"))
    harness.clock.advance(1_000)
    removed, _ = harness.membership.on_heartbeat(make_heartbeat("a2", 1, address="127.0.0.1:9"))
    assert isinstance(removed, AgentsRemoved) and removed.agents[0].agent == "a1"
    assert [view.agent for view in harness.membership.agents()] == ["a2"]


def test_the_backoff_of_a_flapping_agent_doubles_up_to_a_limit() -> None:
    """Guards against sending tasks repeatedly to an agent that dies whenever it gets some."""
    harness = Harness()
    in_service_at_ms = []
    for number in range(11):
        harness.membership.on_heartbeat(make_heartbeat("a1", 1, f"i{number}"))
        for _ in range(1_000):
            view = harness.membership.view(AgentId("a1"))
            if view is None or view.in_service:
                break
            harness.clock.advance(100)
        in_service_at_ms.append(harness.clock.now_ms())
        harness.clock.advance(1_500)
        assert len(harness.removed()) == 1
    lengths = [b - a - 1_500 for a, b in zip(in_service_at_ms, in_service_at_ms[1:], strict=False)]
    assert lengths[:5] == [0, 0, 5_000, 10_000, 20_000]
    assert max(lengths) <= 60_000


def test_a_reordered_heartbeat_is_ignored() -> None:
    """Guards against ZeroMQ delivering a queued heartbeat, and its load, after a newer one."""
    harness = Harness()
    harness.membership.on_heartbeat(make_heartbeat("a1", 5, load=Load(8, 0)))
    assert harness.membership.on_heartbeat(make_heartbeat("a1", 4, load=Load(0, 0))) == []


def test_a_zone_that_returns_is_ramped_up() -> None:
    """Guards against full load at once on the cold upstreams of a zone that returns to service."""
    harness = Harness()
    slots = []
    for sequence in range(1, 60):
        harness.zones_out = {ZONE} if 5 <= sequence < 10 else set()
        harness.membership.on_heartbeat(make_heartbeat("a1", sequence))
        harness.membership.tick()
        view = harness.membership.view(AgentId("a1"))
        assert view is not None and view.in_service == (ZONE not in harness.zones_out)
        slots.append(view.slots)
        harness.clock.advance(500)
    assert slots[0] == 8 and slots[9] == 2 and slots[-1] == 8
    assert slots[9:] == sorted(slots[9:])


def test_a_zone_is_idle_only_without_tasks() -> None:
    """Guards against reporting a zone as drained while tasks still run or wait in it."""
    harness = Harness()
    harness.membership.on_heartbeat(make_heartbeat("a1", 1, load=Load(2, 1)))
    (condition,) = harness.membership.conditions(Kind.ZONE, ZONE)
    assert not condition.status and condition.reason == "3 tasks on 1 agents"
    assert harness.membership.conditions(Kind.UPSTREAM, "a2")[0].status
    assert harness.membership.conditions(Kind.TEAM, "a1") == []
