"""An entry's sessions with the agents, without any I/O.

An agent opens a session with each entry. When an agent falls silent, the entry sends it nothing
more, so that the agent's own limit on the silence of entries runs out too. After that limit and the
time to stop, its runs have ended on whichever side of a partition they were.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .agentview import AgentView
from .channel import Channel, ChannelFullError, session_number
from .entrysession import BEAT_MS, OWNER_SILENCE_MS, STOP_RETRY_MS, idle_beat_ms
from .order import (
    AgentBody,
    AgentFrame,
    EntryBody,
    EntryFrame,
    Goodbye,
    Hello,
    Notice,
    Report,
    RoomWanted,
    RunEnded,
    RunSlow,
    StartRun,
)

WANTED_HOLD_MS = 300.0
"""Time without waiting tasks after which agents are told that no room is wanted."""
WANTED_PAUSE_MS = 150.0
WANTED_FACTOR = 2.0
"""Agents are told again how much room is wanted when it has changed by this factor, at most so
often."""
SILENT_BEATS = 3.0
"""Beats that an agent misses before it gets no more work."""
AGENT_SILENCE_MS = SILENT_BEATS * BEAT_MS
"""The same for an agent with runs."""
IDLE_FRAMES_PER_S = 100.0
"""Frames without content that an entry sends on its sessions without runs, each second in all:
about 1% of a core."""
MAX_NUMBERS = 10_000
"""Lives of agents whose latest session is remembered, several for each agent of a large fleet."""
STOP_MARGIN_MS = 2 * STOP_RETRY_MS
"""Time for an agent to stop the runs of a silent entry, with one lost stop."""


@dataclass(frozen=True, slots=True)
class SendAgent:
    """Send a frame to the agent ``peer``."""

    peer: str
    frame: EntryFrame


@dataclass(frozen=True, slots=True)
class AgentLost:
    """The session ended; none of its runs goes on."""

    view: AgentView
    reason: str


@dataclass(frozen=True, slots=True)
class AgentRunEnded:
    """A run of the session ended."""

    view: AgentView
    ended: RunEnded


@dataclass(frozen=True, slots=True)
class AgentRunSlow:
    """A run of the session makes less progress than expected."""

    view: AgentView
    slow: RunSlow


SessionEvent = AgentLost | AgentRunEnded | AgentRunSlow


class AgentSessions:
    """The sessions by the peer names of the agents. ``send`` takes each frame to send."""

    def __init__(self, send: Callable[[SendAgent], None]) -> None:
        self._send = send
        self._views: dict[str, AgentView] = {}
        self._by_upstream: dict[str, AgentView] = {}
        self._numbers: dict[str, int] = {}
        """The number of the latest session of each life of an agent."""
        self._notice = Notice(-1, [])
        self._wanted = 0
        self._wanted_ms = float("-inf")
        self._told_ms = float("-inf")

    def views(self) -> list[AgentView]:
        """Return the sessions that haven't been given up."""
        return list(self._views.values())

    def set_zones_out(self, notice: Notice, now_ms: float) -> None:
        """Tell all agents which zones are out of service."""
        if notice.revision <= self._notice.revision:
            return
        self._notice = notice
        for view in self._views.values():
            self.send(view, notice, now_ms)

    def set_wanted(self, cpu_milli: int, now_ms: float) -> None:
        """Tell all agents for how many thousandths of a core tasks wait, if it has changed much."""
        if cpu_milli > 0:
            self._wanted_ms = now_ms
        elif not self._wanted or now_ms - self._wanted_ms < WANTED_HOLD_MS:
            return
        changed = (
            cpu_milli >= WANTED_FACTOR * self._wanted or self._wanted >= WANTED_FACTOR * cpu_milli
        )
        if changed and now_ms - self._told_ms >= WANTED_PAUSE_MS:
            self._wanted = cpu_milli
            self._told_ms = now_ms
            for view in self._views.values():
                self.send(view, RoomWanted(cpu_milli), now_ms)

    def send(self, view: AgentView, body: EntryBody, now_ms: float) -> None:
        """Send ``body`` in the session of ``view``; a suspect agent gets it when it is back."""
        try:
            frame = view.channel.send(body, now_ms if not view.suspect else view.channel.sent_ms)
        except ChannelFullError:
            view.suspect = True
            return
        if isinstance(body, StartRun):
            view.unreflected[frame.number] = body.resources
            if not view.runs:
                view.busy_since_ms = now_ms
            view.runs += 1
        if not view.suspect:
            self._send(SendAgent(view.peer, frame))

    def on_frame(self, peer: str, frame: AgentFrame, now_ms: float) -> list[SessionEvent]:
        """Take in a frame from the agent ``peer``."""
        view = self._views.get(peer)
        events: list[SessionEvent] = []
        if view is None or view.channel.session != frame.session:
            if not isinstance(frame.body, Hello):
                if frame.acked == 0:
                    # The agent has heard nothing in this session yet; its first frame was lost.
                    return []
                goodbye = EntryFrame(frame.session, 0, 0, now_ms, Goodbye())
                self._send(SendAgent(peer, goodbye))
                return []
            if session_number(frame.session) < self._numbers.get(peer, 0):
                # A connection that the agent gave up during a partition delivers its bytes late.
                return []
            if view is not None:
                events.append(self._drop(view, "the agent opened a new session"))
            view = self._open(peer, frame.session, frame.body, now_ms)
        for body in view.channel.receive(frame, now_ms):
            events += self._take(view, body, frame.acked, now_ms)
        if view.suspect and now_ms - view.channel.heard_ms < AGENT_SILENCE_MS:
            view.suspect = False
            view.channel.sent_ms = now_ms
            for repeated in view.channel.resend(now_ms):
                self._send(SendAgent(peer, repeated))
        return events

    def _open(self, peer: str, session: str, hello: Hello, now_ms: float) -> AgentView:
        channel: Channel[EntryBody, AgentBody] = Channel(session, now_ms)
        view = AgentView(peer, hello.agent, channel, hello.report)
        self._numbers[peer] = session_number(session)
        if len(self._numbers) > MAX_NUMBERS:
            del self._numbers[next(iter(self._numbers))]
        self._views[peer] = view
        if self._notice.revision >= 0:
            self.send(view, self._notice, now_ms)
        else:
            self._send(SendAgent(peer, channel.send(None, now_ms)))
        if self._wanted:
            self.send(view, RoomWanted(self._wanted), now_ms)
        return view

    def _take(self, view: AgentView, body: object, acked: int, now_ms: float) -> list[SessionEvent]:
        match body:
            case Hello():
                view.take_report(body.report, acked)
                return self._replace_older(view)
            case Report():
                view.take_report(body.report, acked)
                return self._replace_older(view)
            case RunEnded():
                view.runs -= 1
                if body.free is not None:
                    view.take_free(body.free, acked)
                return [AgentRunEnded(view, body)]
            case RunSlow():
                return [AgentRunSlow(view, body)]
            case Goodbye():
                return [self._drop(view, "the agent ended the session")]
        return []

    def _replace_older(self, view: AgentView) -> list[SessionEvent]:
        """Drop the session of an earlier life of the agent.

        An agent reports its upstream only after it has stopped what an earlier life left running.
        """
        if not view.upstream:
            return []
        older = [v for v in self._views.values() if v.agent == view.agent and v is not view]
        return [self._drop(other, "the agent was restarted") for other in older]

    def _drop(self, view: AgentView, reason: str) -> AgentLost:
        if self._views.get(view.peer) is view:
            del self._views[view.peer]
        return AgentLost(view, reason)

    def tick(self, now_ms: float) -> list[SessionEvent]:
        """Send what is due, and give up agents that are silent."""
        events: list[SessionEvent] = []
        idle_ms = idle_beat_ms(len(self._views), IDLE_FRAMES_PER_S)
        for view in list(self._views.values()):
            channel = view.channel
            silent_ms = now_ms - max(channel.heard_ms, view.busy_since_ms)
            if not view.suspect and silent_ms >= _longest_silence_ms(view):
                view.suspect = True
            if view.suspect:
                gone_ms = channel.sent_ms + OWNER_SILENCE_MS + STOP_MARGIN_MS
                if now_ms >= gone_ms:
                    events.append(self._drop(view, f"silent for {silent_ms:.0f} ms"))
                continue
            for frame in channel.resend(now_ms):
                self._send(SendAgent(view.peer, frame))
            busy = view.runs > 0 or channel.owes_ack
            if now_ms - channel.sent_ms >= (BEAT_MS if busy else idle_ms):
                self._send(SendAgent(view.peer, channel.send(None, now_ms)))
        return events


def _longest_silence_ms(view: AgentView) -> float:
    """Return how long the agent may be silent before it gets no more work."""
    if view.runs:
        return AGENT_SILENCE_MS
    return SILENT_BEATS * idle_beat_ms(view.report.entries)
