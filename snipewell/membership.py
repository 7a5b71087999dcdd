"""Membership of agents, detected by heartbeats, and the views of them that placement uses."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from .clock import Clock
from .effect import LogRecord
from .ids import AgentId, Incarnation, RackId, Revision, UpstreamId, ZoneId
from .message import Candidate, Heartbeat
from .resource import Condition, Kind
from .view import AgentView

Accepts = Callable[[ZoneId, UpstreamId], bool]


@dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Timeouts, backoff and bounds of the membership of agents.

    Times are in ms. An agent without a heartbeat for ``heartbeat_timeout_ms`` is removed.
    ``rack_timeout_ms`` is two heartbeat intervals of 500 ms: when one agent of a rack reaches
    ``heartbeat_timeout_ms`` and all others missed two heartbeats, the whole rack is reported as
    lost in one event. A new process at the address of a member replaces it if the member sent no
    heartbeat for ``restart_timeout_ms``; before that, it is logged as a conflict. An agent that was
    removed ``flap_limit`` times within ``flap_window_ms`` without draining gets no tasks for
    ``backoff_ms`` after it joins again, doubled with each further removal up to ``max_backoff_ms``.
    A zone that has agents in service again, after it had none, starts with the share ``ramp_start``
    of its slots, which grows to all of them over ``ramp_ms``.

    New agents are rejected while there are ``max_agents``. Zones and old history are checked every
    ``scan_interval_ms``.
    """

    heartbeat_timeout_ms: float = 1_500
    rack_timeout_ms: float = 1_000
    restart_timeout_ms: float = 750
    flap_window_ms: float = 60_000
    flap_limit: int = 3
    backoff_ms: float = 5_000
    max_backoff_ms: float = 60_000
    ramp_ms: float = 10_000
    ramp_start: float = 0.25
    max_agents: int = 20_000
    scan_interval_ms: float = 500


@dataclass(frozen=True, slots=True)
class HeartbeatAccepted:
    """Event: a heartbeat was accepted; ``joined`` marks the first one of an incarnation."""

    view: AgentView
    joined: bool


@dataclass(frozen=True, slots=True)
class AgentsRemoved:
    """Event: agents timed out or were replaced; ``rack`` is set if a whole rack was lost."""

    agents: tuple[Candidate, ...]
    reason: str
    zone: ZoneId
    rack: RackId | None = None


MembershipEvent = HeartbeatAccepted | AgentsRemoved | LogRecord


@dataclass(slots=True)
class _History:
    """State of an agent id across its incarnations.

    Holds the times of removals without draining, the end of the backoff, and the incarnations that
    were replaced.
    """

    removal_times_ms: deque[float] = field(default_factory=lambda: deque(maxlen=16))
    backoff_until_ms: float = float("-inf")
    replaced_incarnations: deque[Incarnation] = field(default_factory=lambda: deque(maxlen=4))
    conflict_logged: bool = False


@dataclass(slots=True)
class _Member:
    heartbeat: Heartbeat
    last_seen_ms: float


class Membership:
    """The agents whose heartbeats arrive, and their zones and racks.

    ``accepts`` returns whether a zone and upstream are in service; an entry passes
    ``Configuration.accepts``. Timeouts count from the receipt of a heartbeat. This is safe because
    a delay only makes an agent look alive for longer, and the agent itself decides on each start.
    """

    def __init__(
        self, clock: Clock, accepts: Accepts, limits: MembershipLimits | None = None
    ) -> None:
        self._clock = clock
        self._accepts = accepts
        self._limits = limits or MembershipLimits()
        self._members: dict[AgentId, _Member] = {}
        self._history: dict[AgentId, _History] = {}
        self._addresses: dict[str, AgentId] = {}
        self._racks: dict[tuple[ZoneId, RackId], set[AgentId]] = {}
        self._usable_zones: dict[ZoneId, bool] = {}
        self._ramps: dict[ZoneId, float] = {}
        self._limit_logged = False
        self._next_scan_ms = clock.now_ms()

    def on_heartbeat(self, heartbeat: Heartbeat) -> list[MembershipEvent]:
        """Process one heartbeat; the events include ``HeartbeatAccepted`` if it was accepted."""
        agent = heartbeat.agent
        history = self._history.get(agent)
        if history is not None and heartbeat.incarnation in history.replaced_incarnations:
            return self._log_conflict(heartbeat, "a replaced process is still alive")
        member = self._members.get(agent)
        if member is not None and member.heartbeat.incarnation == heartbeat.incarnation:
            if heartbeat.sequence <= member.heartbeat.sequence:
                return []
            return [
                *self._update_location(member, heartbeat),
                self._accept(member, heartbeat, joined=False),
            ]
        events: list[MembershipEvent] = []
        if member is not None:
            if not self._may_replace(member, heartbeat):
                return self._log_conflict(heartbeat, "two processes claim one agent id")
            events.append(self._remove([agent], "replaced by a new incarnation"))
            self._history[agent].replaced_incarnations.append(member.heartbeat.incarnation)
        elif len(self._members) >= self._limits.max_agents:
            return self._log_limit_reached(agent)
        return events + self._join(heartbeat)

    def tick(self) -> list[MembershipEvent]:
        """Remove agents that timed out, a whole rack in one event, and discard old history."""
        now = self._clock.now_ms()
        timed_out: list[AgentId] = []
        for agent, member in self._members.items():  # ordered by last_seen_ms
            if now - member.last_seen_ms < self._limits.heartbeat_timeout_ms:
                break
            timed_out.append(agent)
        events: list[MembershipEvent] = []
        for agent in timed_out:
            if agent not in self._members:
                continue
            member = self._members[agent]
            location = (member.heartbeat.zone, member.heartbeat.rack)
            rack = self._racks[location]
            rack_lost = len(rack) > 1 and all(
                now - self._members[a].last_seen_ms >= self._limits.rack_timeout_ms for a in rack
            )
            if rack_lost:
                events.append(
                    self._remove(sorted(rack), "no heartbeat from the whole rack", location[1])
                )
            else:
                events.append(self._remove([agent], "no heartbeat"))
        if now >= self._next_scan_ms:
            self._next_scan_ms = now + self._limits.scan_interval_ms
            self._update_zones(now)
            self._discard_old_history(now)
        return events

    def agents(self) -> list[AgentView]:
        """Return the views of all members, in and out of service."""
        now = self._clock.now_ms()
        return [self._view(member, now) for member in self._members.values()]

    def view(self, agent: AgentId) -> AgentView | None:
        """Return the view of ``agent``, or None if it is not a member."""
        member = self._members.get(agent)
        return None if member is None else self._view(member, self._clock.now_ms())

    def agents_at(self, revision: Revision) -> int:
        """Return the number of agents that reported configuration ``revision`` or a later one."""
        return sum(m.heartbeat.revision >= revision for m in self._members.values())

    def conditions(self, kind: Kind, name: str) -> list[Condition]:
        """Return the condition ``Idle`` of a zone or upstream, from its agents' last heartbeats."""
        if kind not in (Kind.ZONE, Kind.UPSTREAM):
            return []
        heartbeats = [member.heartbeat for member in self._members.values()]
        heartbeats = [
            b for b in heartbeats if name == (b.zone if kind is Kind.ZONE else b.upstream)
        ]
        tasks = sum(heartbeat.load.busy + heartbeat.load.queued for heartbeat in heartbeats)
        reason = f"{tasks} tasks on {len(heartbeats)} agents" if tasks else ""
        return [Condition("Idle", tasks == 0, reason)]

    def __len__(self) -> int:
        return len(self._members)

    def _may_replace(self, member: _Member, heartbeat: Heartbeat) -> bool:
        since_heartbeat_ms = self._clock.now_ms() - member.last_seen_ms
        same_address = member.heartbeat.address == heartbeat.address
        limit = (
            self._limits.restart_timeout_ms if same_address else self._limits.heartbeat_timeout_ms
        )
        return since_heartbeat_ms >= limit

    def _join(self, heartbeat: Heartbeat) -> list[MembershipEvent]:
        events: list[MembershipEvent] = []
        now = self._clock.now_ms()
        other = self._addresses.get(heartbeat.address)
        if other is not None and other != heartbeat.agent:
            if now - self._members[other].last_seen_ms >= self._limits.restart_timeout_ms:
                events.append(self._remove([other], "another agent announced its address"))
            else:
                events += self._log_conflict(heartbeat, f"its address is that of agent {other}")
        history = self._history.setdefault(heartbeat.agent, _History())
        removal_count = sum(
            now - at <= self._limits.flap_window_ms for at in history.removal_times_ms
        )
        if removal_count >= self._limits.flap_limit:
            factor = 2 ** (removal_count - self._limits.flap_limit)
            backoff_ms = min(self._limits.backoff_ms * factor, self._limits.max_backoff_ms)
            history.backoff_until_ms = now + backoff_ms
            fields: dict[str, object] = {"agent": heartbeat.agent, "departures": removal_count}
            events.append(
                LogRecord("membership", f"flapping: no tasks for {backoff_ms:.0f} ms", fields)
            )
        member = _Member(heartbeat, now)
        self._racks.setdefault((heartbeat.zone, heartbeat.rack), set()).add(heartbeat.agent)
        self._addresses.setdefault(heartbeat.address, heartbeat.agent)
        events.append(self._accept(member, heartbeat, joined=True))
        return events

    def _update_location(self, member: _Member, heartbeat: Heartbeat) -> list[MembershipEvent]:
        """Update the zone, rack and address of a member, and log a conflict if they changed.

        An agent keeps them for the whole of an incarnation, so a change means that two processes
        use the same incarnation.
        """
        old = member.heartbeat
        if (old.zone, old.rack, old.address) == (heartbeat.zone, heartbeat.rack, heartbeat.address):
            return []
        self._remove_location(heartbeat.agent, old)
        self._racks.setdefault((heartbeat.zone, heartbeat.rack), set()).add(heartbeat.agent)
        self._addresses.setdefault(heartbeat.address, heartbeat.agent)
        return self._log_conflict(heartbeat, "one incarnation announced two places")

    def _accept(self, member: _Member, heartbeat: Heartbeat, joined: bool) -> HeartbeatAccepted:
        member.heartbeat = heartbeat
        member.last_seen_ms = now = self._clock.now_ms()
        self._members.pop(heartbeat.agent, None)
        self._members[heartbeat.agent] = member
        if self._accepts(heartbeat.zone, heartbeat.upstream):
            self._set_usable(heartbeat.zone, True, now)
        return HeartbeatAccepted(self._view(member, now), joined)

    def _remove(
        self, agents: list[AgentId], reason: str, rack: RackId | None = None
    ) -> AgentsRemoved:
        now = self._clock.now_ms()
        gone: list[Candidate] = []
        zone = self._members[agents[0]].heartbeat.zone
        for agent in agents:
            heartbeat = self._members.pop(agent).heartbeat
            self._remove_location(agent, heartbeat)
            history = self._history[agent]
            history.conflict_logged = False
            if not heartbeat.draining:
                history.removal_times_ms.append(now)
            gone.append(Candidate(agent, heartbeat.incarnation))
        return AgentsRemoved(tuple(gone), reason, zone, rack)

    def _remove_location(self, agent: AgentId, heartbeat: Heartbeat) -> None:
        location = (heartbeat.zone, heartbeat.rack)
        self._racks[location].discard(agent)
        if not self._racks[location]:
            del self._racks[location]
        if self._addresses.get(heartbeat.address) == agent:
            del self._addresses[heartbeat.address]

    def _update_zones(self, now: float) -> None:
        usable = dict.fromkeys(self._usable_zones, False)
        for (zone, _), agents in self._racks.items():
            if not usable.get(zone, False):
                heartbeats = (self._members[agent].heartbeat for agent in agents)
                usable[zone] = any(
                    self._accepts(zone, heartbeat.upstream) for heartbeat in heartbeats
                )
        for zone, is_usable in usable.items():
            self._set_usable(zone, is_usable, now)

    def _set_usable(self, zone: ZoneId, is_usable: bool, now: float) -> None:
        """Record whether ``zone`` has agents in service, and ramp it up when it has some again.

        A zone that was never usable before needs no ramp.
        """
        if is_usable and self._usable_zones.get(zone) is False:
            self._ramps[zone] = now
        if is_usable or zone in self._usable_zones:
            self._usable_zones[zone] = is_usable

    def _ramp_share(self, zone: ZoneId, now: float) -> float:
        since = self._ramps.get(zone)
        if since is None:
            return 1.0
        progress = (now - since) / self._limits.ramp_ms
        if progress >= 1:
            del self._ramps[zone]
            return 1.0
        return self._limits.ramp_start + (1 - self._limits.ramp_start) * progress

    def _view(self, member: _Member, now: float) -> AgentView:
        heartbeat = member.heartbeat
        in_backoff = now < self._history[heartbeat.agent].backoff_until_ms
        return AgentView(
            agent=heartbeat.agent,
            incarnation=heartbeat.incarnation,
            upstream=heartbeat.upstream,
            zone=heartbeat.zone,
            rack=heartbeat.rack,
            slots=max(1, int(heartbeat.slots * self._ramp_share(heartbeat.zone, now))),
            vm_resources=heartbeat.worker,
            services=frozenset(heartbeat.services),
            draining=heartbeat.draining,
            load=heartbeat.load,
            in_service=not in_backoff and self._accepts(heartbeat.zone, heartbeat.upstream),
            last_seen_ms=member.last_seen_ms,
            address=heartbeat.address,
            revision=heartbeat.revision,
        )

    def _log_conflict(self, heartbeat: Heartbeat, text: str) -> list[MembershipEvent]:
        history = self._history.setdefault(heartbeat.agent, _History())
        if history.conflict_logged:
            return []
        history.conflict_logged = True
        fields: dict[str, object] = {
            "agent": heartbeat.agent,
            "address": heartbeat.address,
            "incarnation": heartbeat.incarnation,
        }
        return [LogRecord("membership", f"ALARM {text}", fields)]

    def _log_limit_reached(self, agent: AgentId) -> list[MembershipEvent]:
        if self._limit_logged:
            return []
        self._limit_logged = True
        fields: dict[str, object] = {"agent": agent, "limit": self._limits.max_agents}
        return [LogRecord("membership", "ALARM the limit of agents is reached", fields)]

    def _discard_old_history(self, now: float) -> None:
        retention_ms = self._limits.flap_window_ms + self._limits.max_backoff_ms
        old = [
            agent
            for agent, history in self._history.items()
            if agent not in self._members
            and (not history.removal_times_ms or now - history.removal_times_ms[-1] > retention_ms)
        ]
        for agent in old:
            del self._history[agent]
