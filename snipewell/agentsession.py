"""Sessions of an entry with the agents, without any I/O.

An agent opens a session with each entry. When an agent becomes silent, the entry stops sending to
it, so that the agent's timeout for silent entries (`SESSION_TIMEOUT_MS`) expires too. After that
timeout and the time to stop the runs, the agent has stopped all runs of the session even if the two
can't reach each other, so their tasks may be restarted.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .agentview import AgentView
from .channel import Channel, ChannelFullError, session_number
from .entrysession import HEARTBEAT_MS, SESSION_TIMEOUT_MS, STOP_MARGIN_MS, idle_heartbeat_ms
from .runmessage import (
    AgentBody,
    AgentFrame,
    CapacityDemand,
    EntryBody,
    EntryFrame,
    Goodbye,
    Hello,
    Report,
    RunEnded,
    RunSlow,
    StartRun,
    UpstreamCrash,
    ZoneNotice,
)

DEMAND_CLEAR_DELAY_MS = 300.0
"""Time without waiting tasks after which the agents are notified that there is no demand."""
MIN_DEMAND_INTERVAL_MS = 150.0
"""Shortest interval between two notifications of the demand."""
DEMAND_CHANGE_FACTOR = 2.0
"""Factor by which the demand must have changed since the last notification for another one."""
MISSED_HEARTBEATS = 3.0
"""Number of heartbeat intervals without a frame after which an agent is suspected to have failed
and gets no more work."""
SUSPECT_AFTER_MS = MISSED_HEARTBEATS * HEARTBEAT_MS
"""Silence after which an agent with runs becomes suspect. Its session ends later, when the agent
must have stopped its runs."""
ENTRY_IDLE_FRAMES_PER_S = 50.0
"""Target rate of empty frames on all sessions of an entry without runs together: it costs about
half a percent of a core."""
MAX_SESSION_NUMBERS = 10_000
"""Maximum number of agent incarnations whose latest session number is stored: several for each
agent of a large fleet."""


@dataclass(frozen=True, slots=True)
class SendAgent:
    """Effect that sends a frame to the agent ``peer``."""

    peer: str
    frame: EntryFrame


@dataclass(frozen=True, slots=True)
class AgentSessionEnded:
    """Event: a session ended, and so did all of its runs."""

    view: AgentView
    reason: str


@dataclass(frozen=True, slots=True)
class AgentRunEnded:
    """Event: a run of the session ended."""

    view: AgentView
    ended: RunEnded


@dataclass(frozen=True, slots=True)
class AgentRunSlow:
    """Event: a run of the session makes less progress than expected."""

    view: AgentView
    slow: RunSlow


@dataclass(frozen=True, slots=True)
class AgentUpstreamCrashed:
    """Event: the upstream of the agent crashed; the ends of its runs follow."""

    view: AgentView
    crash: UpstreamCrash


SessionEvent = AgentSessionEnded | AgentRunEnded | AgentRunSlow | AgentUpstreamCrashed


class AgentSessions:
    """Open sessions of an entry, keyed by the peer name of the agent.

    ``send`` is called for each frame to send.
    """

    def __init__(self, send: Callable[[SendAgent], None]) -> None:
        self._send = send
        self._views: dict[str, AgentView] = {}
        self._by_upstream: dict[str, AgentView] = {}
        self._session_numbers: dict[str, int] = {}
        """Latest session number of each agent incarnation, by peer name."""
        self._notice = ZoneNotice(-1, [])
        self._sent_demand = 0
        self._last_demand_ms = float("-inf")
        self._demand_sent_ms = float("-inf")

    def views(self) -> list[AgentView]:
        """Return the state of each session that has not ended."""
        return list(self._views.values())

    def set_zones_out(self, notice: ZoneNotice, now_ms: float) -> None:
        """Notify all agents of the zones out of service, unless ``notice`` is outdated."""
        if notice.revision <= self._notice.revision:
            return
        self._notice = notice
        for view in self._views.values():
            self.send(view, notice, now_ms)

    def set_demand(self, cpu_milli: int, now_ms: float) -> None:
        """Notify all agents of the demand of this entry if it has changed much.

        ``cpu_milli`` is the CPU needed by the waiting tasks of timely jobs and of late jobs that
        have started, in thousandths of a core.
        """
        if cpu_milli > 0:
            self._last_demand_ms = now_ms
        elif not self._sent_demand or now_ms - self._last_demand_ms < DEMAND_CLEAR_DELAY_MS:
            return
        changed = (
            cpu_milli >= DEMAND_CHANGE_FACTOR * self._sent_demand
            or self._sent_demand >= DEMAND_CHANGE_FACTOR * cpu_milli
        )
        if changed and now_ms - self._demand_sent_ms >= MIN_DEMAND_INTERVAL_MS:
            self._sent_demand = cpu_milli
            self._demand_sent_ms = now_ms
            for view in self._views.values():
                self.send(view, CapacityDemand(cpu_milli), now_ms)

    def send(self, view: AgentView, body: EntryBody, now_ms: float) -> None:
        """Send ``body`` in the session of ``view``.

        For a suspect agent the frame is queued until a frame arrives from it. If the channel is
        full, ``body`` is dropped and the agent becomes suspect.
        """
        try:
            # A queued frame doesn't advance ``sent_ms``, from which `tick` computes the time by
            # which the agent has stopped its runs.
            frame = view.channel.send(body, now_ms if not view.suspect else view.channel.sent_ms)
        except ChannelFullError:
            view.suspect = True
            return
        if isinstance(body, StartRun):
            view.unreported_starts[frame.number] = body.resources
            if not view.runs:
                view.busy_since_ms = now_ms
            view.runs += 1
        if not view.suspect:
            self._send(SendAgent(view.peer, frame))

    def on_frame(self, peer: str, frame: AgentFrame, now_ms: float) -> list[SessionEvent]:
        """Process a frame received from the agent ``peer`` and return the resulting events."""
        view = self._views.get(peer)
        events: list[SessionEvent] = []
        if view is None or view.channel.session != frame.session:
            if frame.acked > 0 or not isinstance(frame.body, Hello):
                # An agent that acknowledges frames received them from an earlier incarnation of
                # this entry, also if it repeats its first frame here.
                if frame.acked == 0:
                    # The agent has received nothing in this session yet: its first frame was lost.
                    return []
                goodbye = EntryFrame(frame.session, 0, 0, now_ms, Goodbye())
                self._send(SendAgent(peer, goodbye))
                return []
            if session_number(frame.session) < self._session_numbers.get(peer, 0):
                # Data delivered late by a connection that the agent abandoned during a partition.
                return []
            if view is not None:
                events.append(self._close(view, "the agent opened a new session"))
            view = self._open(peer, frame.session, frame.body, now_ms)
        for body in view.channel.receive(frame, now_ms):
            events += self._handle(view, body, frame.acked, now_ms)
        if view.suspect and now_ms - view.channel.last_seen_ms < SUSPECT_AFTER_MS:
            view.suspect = False
            view.channel.sent_ms = now_ms
            for repeated in view.channel.resend(now_ms):
                self._send(SendAgent(peer, repeated))
        return events

    def _open(self, peer: str, session: str, hello: Hello, now_ms: float) -> AgentView:
        channel: Channel[EntryBody, AgentBody] = Channel(session, now_ms)
        view = AgentView(peer, hello.agent, channel, hello.report)
        self._session_numbers[peer] = session_number(session)
        if len(self._session_numbers) > MAX_SESSION_NUMBERS:
            del self._session_numbers[next(iter(self._session_numbers))]
        self._views[peer] = view
        if self._notice.revision >= 0:
            self.send(view, self._notice, now_ms)
        else:
            self._send(SendAgent(peer, channel.send(None, now_ms)))
        if self._sent_demand:
            self.send(view, CapacityDemand(self._sent_demand), now_ms)
        return view

    def _handle(
        self, view: AgentView, body: object, acked: int, now_ms: float
    ) -> list[SessionEvent]:
        match body:
            case Hello() | Report():
                view.apply_report(body.report, acked)
                view.report_ms = now_ms
                crashes = [AgentUpstreamCrashed(view, crash) for crash in body.crashes]
                return [*crashes, *self._close_earlier_incarnations(view)]
            case RunEnded():
                view.runs -= 1
                if body.free is not None:
                    view.apply_free(body.free, acked)
                return [AgentRunEnded(view, body)]
            case RunSlow():
                return [AgentRunSlow(view, body)]
            case Goodbye():
                return [self._close(view, "the agent ended the session")]
        return []

    def _close_earlier_incarnations(self, view: AgentView) -> list[SessionEvent]:
        """Close the sessions of earlier incarnations of the agent.

        An agent reports an upstream only after it has stopped all runs that an earlier incarnation
        left behind.
        """
        if not view.upstream:
            return []
        older = [v for v in self._views.values() if v.agent == view.agent and v is not view]
        return [self._close(other, "the agent was restarted") for other in older]

    def _close(self, view: AgentView, reason: str) -> AgentSessionEnded:
        if self._views.get(view.peer) is view:
            del self._views[view.peer]
        return AgentSessionEnded(view, reason)

    def tick(self, now_ms: float) -> list[SessionEvent]:
        """Send due heartbeats and retransmissions, and close timed-out sessions."""
        events: list[SessionEvent] = []
        idle_ms = idle_heartbeat_ms(len(self._views), ENTRY_IDLE_FRAMES_PER_S)
        for view in list(self._views.values()):
            channel = view.channel
            silent_ms = now_ms - max(channel.last_seen_ms, view.busy_since_ms)
            if not view.suspect and silent_ms >= _silence_limit_ms(view):
                view.suspect = True
            if view.suspect:
                runs_stopped_ms = channel.sent_ms + SESSION_TIMEOUT_MS + STOP_MARGIN_MS
                if now_ms >= runs_stopped_ms:
                    events.append(self._close(view, f"silent for {silent_ms:.0f} ms"))
                continue
            for frame in channel.resend(now_ms):
                self._send(SendAgent(view.peer, frame))
            busy = view.runs > 0 or channel.ack_pending
            if now_ms - channel.sent_ms >= (HEARTBEAT_MS if busy else idle_ms):
                self._send(SendAgent(view.peer, channel.send(None, now_ms)))
        return events


def _silence_limit_ms(view: AgentView) -> float:
    """Return the silence after which an agent is suspected to have failed and gets no more work."""
    if view.runs:
        return SUSPECT_AFTER_MS
    # An agent without runs spreads its heartbeats over all entries, at its own rate
    # (`AGENT_IDLE_FRAMES_PER_S`).
    return MISSED_HEARTBEATS * idle_heartbeat_ms(view.report.entries)
