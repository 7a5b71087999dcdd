"""Agents that announce themselves by heartbeat, and what placement may use of them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from .clock import Clock
from .effect import Note
from .ids import AgentId, Incarnation, RackId, Revision, UpstreamId, ZoneId
from .message import Candidate, Heartbeat
from .resource import Condition, Kind
from .view import AgentView

Accepts = Callable[[ZoneId, UpstreamId], bool]


@dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Times in ms and bounds of the membership.

    ``rack_silence_ms`` is two heartbeats of 500 ms: when one agent of a rack reaches
    ``silence_ms`` and all others missed two heartbeats, the rack is reported as lost at once.
    ``restart_silence_ms`` tells a restart at the same address from a second process that claims it.
    """

    silence_ms: float = 1_500
    rack_silence_ms: float = 1_000
    restart_silence_ms: float = 750
    flap_window_ms: float = 60_000
    flap_count: int = 3
    quiet_ms: float = 5_000
    max_quiet_ms: float = 60_000
    ramp_ms: float = 10_000
    ramp_start: float = 0.25
    max_agents: int = 20_000
    scan_ms: float = 500


@dataclass(frozen=True, slots=True)
class AgentSeen:
    """A heartbeat was accepted; ``joined`` marks the first one of an incarnation."""

    view: AgentView
    joined: bool


@dataclass(frozen=True, slots=True)
class AgentsGone:
    """Agents fell silent or were replaced; ``rack`` is set if a whole rack was lost at once."""

    agents: tuple[Candidate, ...]
    reason: str
    zone: ZoneId
    rack: RackId | None = None


MembershipEvent = AgentSeen | AgentsGone | Note


@dataclass(slots=True)
class _History:
    """What outlives an agent's incarnation: departures, quiet time, and incarnations replaced."""

    departures: deque[float] = field(default_factory=lambda: deque(maxlen=16))
    quiet_until_ms: float = float("-inf")
    retired: deque[Incarnation] = field(default_factory=lambda: deque(maxlen=4))
    clash_noted: bool = False


@dataclass(slots=True)
class _Member:
    heartbeat: Heartbeat
    seen_ms: float


class Membership:
    """The agents heard from.

    ``accepts`` says whether a zone and upstream are in service, ``Configuration.accepts`` in an
    entry. Receipt times are right here: lateness only makes an agent look alive for longer, and the
    agent itself decides on each start.
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
        self._zone_usable: dict[ZoneId, bool] = {}
        self._ramps: dict[ZoneId, float] = {}
        self._full_noted = False
        self._next_scan_ms = clock.now_ms()

    def on_heartbeat(self, heartbeat: Heartbeat) -> list[MembershipEvent]:
        """Take one heartbeat; return what changed, an ``AgentSeen`` if it was accepted."""
        agent = heartbeat.agent
        history = self._history.get(agent)
        if history is not None and heartbeat.incarnation in history.retired:
            return self._note_clash(heartbeat, "a replaced process is still alive")
        member = self._members.get(agent)
        if member is not None and member.heartbeat.incarnation == heartbeat.incarnation:
            if heartbeat.sequence <= member.heartbeat.sequence:
                return []
            return [*self._move(member, heartbeat), self._accept(member, heartbeat, joined=False)]
        events: list[MembershipEvent] = []
        if member is not None:
            if not self._may_replace(member, heartbeat):
                return self._note_clash(heartbeat, "two processes claim one agent id")
            events.append(self._drop([agent], "replaced by a new incarnation"))
            self._history[agent].retired.append(member.heartbeat.incarnation)
        elif len(self._members) >= self._limits.max_agents:
            return self._note_full(agent)
        return events + self._join(heartbeat)

    def tick(self) -> list[MembershipEvent]:
        """Drop agents that fell silent, a whole rack in one event, and forget old history."""
        now = self._clock.now_ms()
        silent: list[AgentId] = []
        for agent, member in self._members.items():  # in the order in which they were last seen
            if now - member.seen_ms < self._limits.silence_ms:
                break
            silent.append(agent)
        events: list[MembershipEvent] = []
        for agent in silent:
            if agent not in self._members:
                continue
            member = self._members[agent]
            place = (member.heartbeat.zone, member.heartbeat.rack)
            rack = self._racks[place]
            whole = len(rack) > 1 and all(
                now - self._members[a].seen_ms >= self._limits.rack_silence_ms for a in rack
            )
            if whole:
                events.append(self._drop(sorted(rack), "the whole rack fell silent", place[1]))
            else:
                events.append(self._drop([agent], "no heartbeat"))
        if now >= self._next_scan_ms:
            self._next_scan_ms = now + self._limits.scan_ms
            self._watch_zones(now)
            self._forget(now)
        return events

    def agents(self) -> list[AgentView]:
        """Return all agents heard from, in and out of service."""
        now = self._clock.now_ms()
        return [self._view(member, now) for member in self._members.values()]

    def view(self, agent: AgentId) -> AgentView | None:
        """Return one agent, or None if it is not heard from."""
        member = self._members.get(agent)
        return None if member is None else self._view(member, self._clock.now_ms())

    def agents_at(self, revision: Revision) -> int:
        """Return how many agents reported ``revision`` or a later one."""
        return sum(m.heartbeat.revision >= revision for m in self._members.values())

    def conditions(self, kind: Kind, name: str) -> list[Condition]:
        """Return whether the agents of a zone or upstream are idle, as they reported last."""
        if kind not in (Kind.ZONE, Kind.UPSTREAM):
            return []
        beats = [member.heartbeat for member in self._members.values()]
        beats = [b for b in beats if name == (b.zone if kind is Kind.ZONE else b.upstream)]
        tasks = sum(beat.load.busy + beat.load.queued for beat in beats)
        reason = f"{tasks} tasks on {len(beats)} agents" if tasks else ""
        return [Condition("Idle", tasks == 0, reason)]

    def __len__(self) -> int:
        return len(self._members)

    def _may_replace(self, member: _Member, heartbeat: Heartbeat) -> bool:
        silent_ms = self._clock.now_ms() - member.seen_ms
        same_address = member.heartbeat.address == heartbeat.address
        limit = self._limits.restart_silence_ms if same_address else self._limits.silence_ms
        return silent_ms >= limit

    def _join(self, heartbeat: Heartbeat) -> list[MembershipEvent]:
        events: list[MembershipEvent] = []
        now = self._clock.now_ms()
        other = self._addresses.get(heartbeat.address)
        if other is not None and other != heartbeat.agent:
            if now - self._members[other].seen_ms >= self._limits.restart_silence_ms:
                events.append(self._drop([other], "another agent announced its address"))
            else:
                events += self._note_clash(heartbeat, f"its address is that of agent {other}")
        history = self._history.setdefault(heartbeat.agent, _History())
        recent = sum(now - at <= self._limits.flap_window_ms for at in history.departures)
        if recent >= self._limits.flap_count:
            factor = 2 ** (recent - self._limits.flap_count)
            quiet_ms = min(self._limits.quiet_ms * factor, self._limits.max_quiet_ms)
            history.quiet_until_ms = now + quiet_ms
            fields: dict[str, object] = {"agent": heartbeat.agent, "departures": recent}
            events.append(Note("membership", f"flapping: no work for {quiet_ms:.0f} ms", fields))
        member = _Member(heartbeat, now)
        self._racks.setdefault((heartbeat.zone, heartbeat.rack), set()).add(heartbeat.agent)
        self._addresses.setdefault(heartbeat.address, heartbeat.agent)
        events.append(self._accept(member, heartbeat, joined=True))
        return events

    def _move(self, member: _Member, heartbeat: Heartbeat) -> list[MembershipEvent]:
        """Note a change of place within one incarnation, which no agent does; two processes do."""
        old = member.heartbeat
        if (old.zone, old.rack, old.address) == (heartbeat.zone, heartbeat.rack, heartbeat.address):
            return []
        self._unplace(heartbeat.agent, old)
        self._racks.setdefault((heartbeat.zone, heartbeat.rack), set()).add(heartbeat.agent)
        self._addresses.setdefault(heartbeat.address, heartbeat.agent)
        return self._note_clash(heartbeat, "one incarnation announced two places")

    def _accept(self, member: _Member, heartbeat: Heartbeat, joined: bool) -> AgentSeen:
        member.heartbeat = heartbeat
        member.seen_ms = now = self._clock.now_ms()
        self._members.pop(heartbeat.agent, None)
        self._members[heartbeat.agent] = member
        if self._accepts(heartbeat.zone, heartbeat.upstream):
            self._set_usable(heartbeat.zone, True, now)
        return AgentSeen(self._view(member, now), joined)

    def _drop(self, agents: list[AgentId], reason: str, rack: RackId | None = None) -> AgentsGone:
        now = self._clock.now_ms()
        gone: list[Candidate] = []
        zone = self._members[agents[0]].heartbeat.zone
        for agent in agents:
            heartbeat = self._members.pop(agent).heartbeat
            self._unplace(agent, heartbeat)
            history = self._history[agent]
            history.clash_noted = False
            if not heartbeat.draining:
                history.departures.append(now)
            gone.append(Candidate(agent, heartbeat.incarnation))
        return AgentsGone(tuple(gone), reason, zone, rack)

    def _unplace(self, agent: AgentId, heartbeat: Heartbeat) -> None:
        place = (heartbeat.zone, heartbeat.rack)
        self._racks[place].discard(agent)
        if not self._racks[place]:
            del self._racks[place]
        if self._addresses.get(heartbeat.address) == agent:
            del self._addresses[heartbeat.address]

    def _watch_zones(self, now: float) -> None:
        usable = dict.fromkeys(self._zone_usable, False)
        for (zone, _), agents in self._racks.items():
            if not usable.get(zone, False):
                beats = (self._members[agent].heartbeat for agent in agents)
                usable[zone] = any(self._accepts(zone, beat.upstream) for beat in beats)
        for zone, is_usable in usable.items():
            self._set_usable(zone, is_usable, now)

    def _set_usable(self, zone: ZoneId, is_usable: bool, now: float) -> None:
        """Start a ramp if ``zone`` returns; a zone that was never usable before needs none."""
        if is_usable and self._zone_usable.get(zone) is False:
            self._ramps[zone] = now
        if is_usable or zone in self._zone_usable:
            self._zone_usable[zone] = is_usable

    def _share(self, zone: ZoneId, now: float) -> float:
        since = self._ramps.get(zone)
        if since is None:
            return 1.0
        part = (now - since) / self._limits.ramp_ms
        if part >= 1:
            del self._ramps[zone]
            return 1.0
        return self._limits.ramp_start + (1 - self._limits.ramp_start) * part

    def _view(self, member: _Member, now: float) -> AgentView:
        beat = member.heartbeat
        quiet = now < self._history[beat.agent].quiet_until_ms
        return AgentView(
            agent=beat.agent,
            incarnation=beat.incarnation,
            upstream=beat.upstream,
            zone=beat.zone,
            rack=beat.rack,
            slots=max(1, int(beat.slots * self._share(beat.zone, now))),
            worker=beat.worker,
            services=frozenset(beat.services),
            draining=beat.draining,
            load=beat.load,
            in_service=not quiet and self._accepts(beat.zone, beat.upstream),
            last_seen_ms=member.seen_ms,
            address=beat.address,
            revision=beat.revision,
        )

    def _note_clash(self, heartbeat: Heartbeat, text: str) -> list[MembershipEvent]:
        history = self._history.setdefault(heartbeat.agent, _History())
        if history.clash_noted:
            return []
        history.clash_noted = True
        fields: dict[str, object] = {
            "agent": heartbeat.agent,
            "address": heartbeat.address,
            "incarnation": heartbeat.incarnation,
        }
        return [Note("membership", f"ALARM {text}", fields)]

    def _note_full(self, agent: AgentId) -> list[MembershipEvent]:
        if self._full_noted:
            return []
        self._full_noted = True
        fields: dict[str, object] = {"agent": agent, "limit": self._limits.max_agents}
        return [Note("membership", "ALARM the limit of agents is reached", fields)]

    def _forget(self, now: float) -> None:
        keep_ms = self._limits.flap_window_ms + self._limits.max_quiet_ms
        old = [
            agent
            for agent, history in self._history.items()
            if agent not in self._members
            and (not history.departures or now - history.departures[-1] > keep_ms)
        ]
        for agent in old:
            del self._history[agent]
