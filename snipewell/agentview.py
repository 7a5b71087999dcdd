"""State of the session of an entry with an agent, and of the upstream beside the agent."""

from __future__ import annotations

from dataclasses import dataclass, field

from .channel import Channel
from .ids import UpstreamId
from .job import ResourceVector
from .runmessage import AgentBody, EntryBody, UpstreamReport


@dataclass(slots=True)
class AgentView:
    """State of one session of the entry with an agent.

    ``agent`` is the id of the agent and ``peer`` the name of one incarnation of it. ``free`` is the
    free capacity in the agent's last report. ``unreported_starts`` holds, by frame number, the
    resources of the starts that were sent after the frames covered by that report.
    """

    peer: str
    agent: str
    channel: Channel[EntryBody, AgentBody]
    report: UpstreamReport
    free: ResourceVector = field(default_factory=ResourceVector)
    unreported_starts: dict[int, ResourceVector] = field(default_factory=dict)
    report_ms: float = float("-inf")
    """Time at which the last report arrived."""
    runs: int = 0
    """Number of starts sent in the session of which the end hasn't been reported."""
    busy_since_ms: float = float("-inf")
    """Time of the start at which ``runs`` last rose from 0."""
    suspect: bool = False
    """Set when the agent is silent for too long or the channel is full. No frames are sent until
    one arrives that was sent less than `SUSPECT_AFTER_MS` ago, or the session is closed."""
    rejected_until_ms: float = float("-inf")
    """Time before which no starts are sent, because the agent rejected one for a reason other than
    lack of capacity."""
    no_suspects_until_ms: float = float("-inf")
    """Time before which no starts of suspects are sent, because the agent rejected one beside
    another suspect."""

    @property
    def upstream(self) -> UpstreamId:
        """Id of the upstream; empty if the agent has none that can be used."""
        return UpstreamId(self.report.upstream)

    def apply_report(self, report: UpstreamReport, acked: int) -> None:
        """Apply a report, which covers the frames up to ``acked``."""
        self.report = report
        self.apply_free(report.free, acked)

    def apply_free(self, free: ResourceVector, acked: int) -> None:
        """Apply the free capacity as of the frames up to ``acked``."""
        self.free = free
        for number in [number for number in self.unreported_starts if number <= acked]:
            del self.unreported_starts[number]

    def available(self) -> ResourceVector:
        """Return the free capacity less the starts that the last report doesn't include."""
        free = self.free
        for resources in self.unreported_starts.values():
            free = free.minus(resources)
        return free

    def is_usable(self, service: str, zones_out: frozenset[str], now_ms: float) -> bool:
        """Return whether runs of ``service`` may be started through this agent."""
        report = self.report
        return (
            bool(report.upstream)
            and report.service == service
            and not report.draining
            and report.healthy
            and not self.suspect
            and report.zone not in zones_out
            and now_ms >= self.rejected_until_ms
        )
