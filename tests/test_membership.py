from typing import Any

import msgspec

from snipewell.clock import ManualClock
from snipewell.effect import Note
from snipewell.ids import AgentId, Incarnation, RackId, Revision, ServiceName, UpstreamId, ZoneId
from snipewell.membership import AgentSeen, AgentsGone, Membership
from snipewell.message import Heartbeat, Load, Resources
from snipewell.resource import Kind

ZONE = ZoneId("pos-east")


def beat(agent: str, sequence: int, incarnation: str = "i1", **changes: Any) -> Heartbeat:
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


class World:
    def __init__(self) -> None:
        self.clock = ManualClock(1_000)
        self.out: set[ZoneId] = set()
        self.membership = Membership(self.clock, lambda zone, _: zone not in self.out)

    def gone(self) -> list[AgentsGone]:
        return [e for e in self.membership.tick() if isinstance(e, AgentsGone)]


def notes(events: list[Any]) -> list[str]:
    return [event.text for event in events if isinstance(event, Note)]


def test_silence_ends_a_membership_once() -> None:
    """Guards against granting to a dead agent, and against reporting its end twice."""
    world = World()
    world.membership.on_heartbeat(beat("a1", 1))
    world.membership.on_heartbeat(beat("a2", 1, rack=RackId("r2")))
    world.clock.advance(1_499)
    world.membership.on_heartbeat(beat("a2", 2, rack=RackId("r2")))
    assert world.gone() == []
    world.clock.advance(1)
    (gone,) = world.gone()
    assert [c.agent for c in gone.agents] == ["a1"]
    assert world.gone() == []
    assert [view.agent for view in world.membership.agents()] == ["a2"]


def test_a_rack_that_dies_is_one_event() -> None:
    """Guards against one alarm and one recovery pass for each of a rack's agents."""
    world = World()
    for name in ("a1", "a2", "a3"):
        world.membership.on_heartbeat(beat(name, 1))
        world.clock.advance(160)
    world.membership.on_heartbeat(beat("b1", 1, rack=RackId("r2")))
    world.clock.advance(1_500 - 3 * 160)
    (gone,) = world.gone()
    assert [c.agent for c in gone.agents] == ["a1", "a2", "a3"]
    assert gone.rack == "r1"


def test_a_restart_replaces_the_old_incarnation() -> None:
    """Guards against tasks waiting for a process that restarted within the silence."""
    world = World()
    world.membership.on_heartbeat(beat("a1", 7))
    world.clock.advance(800)
    gone, seen = world.membership.on_heartbeat(beat("a1", 1, "i2"))
    assert isinstance(gone, AgentsGone) and isinstance(seen, AgentSeen)
    assert gone.agents[0].incarnation == "i1" and seen.joined
    late = world.membership.on_heartbeat(beat("a1", 8, "i1"))
    assert len(notes(late)) == 1
    view = world.membership.view(AgentId("a1"))
    assert view is not None and view.incarnation == "i2"


def test_two_processes_with_one_id_do_not_take_turns() -> None:
    """Guards against grants that go back and forth between two agents that claim one id."""
    world = World()
    reported = []
    for sequence in range(1, 9):
        world.membership.on_heartbeat(beat("a1", sequence))
        world.clock.advance(250)
        events = world.membership.on_heartbeat(beat("a1", sequence, "i2", address="127.0.0.1:1"))
        reported += notes(events)
        world.clock.advance(250)
    view = world.membership.view(AgentId("a1"))
    assert view is not None and view.incarnation == "i1"
    assert len(reported) == 1 and "claim one agent id" in reported[0]
    world.clock.advance(1_500)
    world.membership.tick()
    (seen,) = world.membership.on_heartbeat(beat("a1", 10, "i2", address="127.0.0.1:1"))
    assert isinstance(seen, AgentSeen) and seen.joined


def test_a_new_agent_at_the_address_of_a_silent_one_replaces_it() -> None:
    """Guards against counting the slots of a replaced worker twice."""
    world = World()
    world.membership.on_heartbeat(beat("a1", 1, address="127.0.0.1:9"))
    world.clock.advance(1_000)
    gone, _ = world.membership.on_heartbeat(beat("a2", 1, address="127.0.0.1:9"))
    assert isinstance(gone, AgentsGone) and gone.agents[0].agent == "a1"
    assert [view.agent for view in world.membership.agents()] == ["a2"]


def test_a_flapping_agent_waits_longer_each_time_up_to_a_cap() -> None:
    """Guards against work sent again and again to an agent that dies as soon as it has some."""
    world = World()
    waits = []
    for life in range(11):
        world.membership.on_heartbeat(beat("a1", 1, f"i{life}"))
        for _ in range(1_000):
            view = world.membership.view(AgentId("a1"))
            if view is None or view.in_service:
                break
            world.clock.advance(100)
        waits.append(world.clock.now_ms())
        world.clock.advance(1_500)
        assert len(world.gone()) == 1
    lengths = [b - a - 1_500 for a, b in zip(waits, waits[1:], strict=False)]
    assert lengths[:5] == [0, 0, 5_000, 10_000, 20_000]
    assert max(lengths) <= 60_000


def test_a_late_heartbeat_does_not_bring_back_old_load() -> None:
    """Guards against ZeroMQ delivering a queued heartbeat after a newer one."""
    world = World()
    world.membership.on_heartbeat(beat("a1", 5, load=Load(8, 0)))
    assert world.membership.on_heartbeat(beat("a1", 4, load=Load(0, 0))) == []


def test_a_zone_that_returns_is_ramped_up() -> None:
    """Guards against a returning zone with cold upstreams getting its full share at once."""
    world = World()
    slots = []
    for sequence in range(1, 60):
        world.out = {ZONE} if 5 <= sequence < 10 else set()
        world.membership.on_heartbeat(beat("a1", sequence))
        world.membership.tick()
        view = world.membership.view(AgentId("a1"))
        assert view is not None and view.in_service == (ZONE not in world.out)
        slots.append(view.slots)
        world.clock.advance(500)
    assert slots[0] == 8 and slots[9] == 2 and slots[-1] == 8
    assert slots[9:] == sorted(slots[9:])


def test_a_zone_is_idle_only_without_tasks() -> None:
    """Guards against a drain that ends while tasks still run."""
    world = World()
    world.membership.on_heartbeat(beat("a1", 1, load=Load(2, 1)))
    (condition,) = world.membership.conditions(Kind.ZONE, ZONE)
    assert not condition.status and condition.reason == "3 tasks on 1 agents"
    assert world.membership.conditions(Kind.UPSTREAM, "a2")[0].status
    assert world.membership.conditions(Kind.TEAM, "a1") == []
