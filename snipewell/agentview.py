"""What an entry knows of one agent and the upstream beside it."""

from __future__ import annotations

from dataclasses import dataclass, field

from .channel import Channel
from .ids import UpstreamId
from .job import Room
from .order import AgentBody, EntryBody, UpstreamReport


@dataclass(slots=True)
class AgentView:
    """The state of one session with an agent.

    ``free`` is the room in the agent's last report. ``unreflected`` holds the starts, by frame
    number, that the report can't include yet.
    """

    peer: str
    agent: str
    channel: Channel[EntryBody, AgentBody]
    report: UpstreamReport
    free: Room = field(default_factory=Room)
    unreflected: dict[int, Room] = field(default_factory=dict)
    runs: int = 0
    """Starts that were ordered in the session and whose end isn't known."""
    busy_since_ms: float = float("-inf")
    """When the first of them was ordered."""
    suspect: bool = False
    """The agent is silent; it gets no frames until it speaks again or its runs are given up."""
    refused_until_ms: float = float("-inf")
    """No starts are sent before, because the agent rejected one for another reason than room."""

    @property
    def upstream(self) -> UpstreamId:
        """The upstream's id; empty if the agent has none to use."""
        return UpstreamId(self.report.upstream)

    def take_report(self, report: UpstreamReport, acked: int) -> None:
        """Take in a report sent after the agent had received the frames up to ``acked``."""
        self.report = report
        self.take_free(report.free, acked)

    def take_free(self, free: Room, acked: int) -> None:
        """Take in the free room as of the frames up to ``acked``."""
        self.free = free
        for number in [number for number in self.unreflected if number <= acked]:
            del self.unreflected[number]

    def room(self) -> Room:
        """Return the free room less the starts that the last report doesn't include."""
        free = self.free
        for resources in self.unreflected.values():
            free = free.minus(resources)
        return free

    def is_usable(self, service: str, zones_out: frozenset[str], now_ms: float) -> bool:
        """Return whether runs of ``service`` may be ordered from this agent."""
        report = self.report
        return (
            bool(report.upstream)
            and report.service == service
            and not report.draining
            and report.healthy
            and not self.suspect
            and report.zone not in zones_out
            and now_ms >= self.refused_until_ms
        )
