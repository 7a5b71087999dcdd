"""Agent side of the sessions with the entries, without any I/O.

The agent opens a session with each registered entry. It ends a session when the entry has been
silent for the session timeout or answers that the session is unknown to it. It opens the next
session with an entry only after all runs of the previous one have ended, so the first frame of a
session guarantees to the entry that no run of an earlier session continues.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from msgspec.structs import replace

from .channel import Channel, ChannelFullError, name_session
from .crashes import RecentCrashes
from .job import ResourceVector
from .offers import Offers
from .runmessage import (
    NO_UPSTREAM,
    AgentBody,
    AgentFrame,
    CapacityDemand,
    EntryBody,
    EntryFrame,
    Goodbye,
    Hello,
    Report,
    UpstreamCrash,
    UpstreamReport,
)

HEARTBEAT_MS = 200.0
"""Heartbeat interval of a session with runs: longest interval between two frames. It is about a
quarter of ``SESSION_TIMEOUT_MS``."""
AGENT_IDLE_FRAMES_PER_S = 13.0
"""Heartbeats per second that an agent sends on all its sessions without runs together; they cost as
much as one or two tasks."""
MAX_IDLE_HEARTBEAT_MS = 600.0
"""Upper bound of the heartbeat interval of a session without runs; a third of its session timeout,
which is twice ``SESSION_TIMEOUT_MS``."""
SESSION_TIMEOUT_MS = 900.0
"""Session timeout: the runs of an entry that was silent for this long are stopped. A client
resubmits its job 1,300 ms after a lost answer (``resendIntervalMs``), which leaves 400 ms to
stop the runs, `STOP_MARGIN_MS` of it for orders without an answer."""
STOP_REPEAT_MS = 20.0
"""Wait before a stop order without an answer is repeated. The upstream answers within a few
milliseconds, and a repeated stop does no harm."""
STOP_RETRY_MS = 150.0
"""Wait before a stop order that was answered is repeated, if the run hasn't ended; three times the
upstream's ``stopGraceMs``. Also the wait after `STOP_MARGIN_MS` without an answer."""
STOP_MARGIN_MS = 300.0
"""Time for an agent to stop the runs of a silent entry, including several unanswered stop orders.
The entry starts their tasks elsewhere after it."""
MAX_HANDSHAKE_MS = 250.0
"""Largest age of a session at which the first frame of the entry is accepted, which bounds the
error in the age of later frames. If the frame arrives later, the session is replaced at once, which
costs one round trip."""
MIN_REPORT_INTERVAL_MS = 10.0
"""Shortest interval between two reports to an entry, which bounds their number."""
REPORT_REFRESH_MS = 2_000.0
"""Interval after which an unchanged report is repeated, in case the last one was lost."""
SCARCE_SHARE = 0.3
"""Resources are scarce while less than this share of the cores is free: as much as three tasks
of ordinary size, which other entries may start between two reports."""
SCARCE_REPORT_SHARE = 0.3
"""Shortest interval between two reports of scarce resources, as a share of the idle heartbeat
interval: 60 ms with few entries, the time that clients allow for dispatch. Resources that
aren't scarce are reported once per heartbeat interval. An offer of resources is reported at once to
the entry that requested them."""


def idle_heartbeat_ms(sessions: int, frames_per_s: float = AGENT_IDLE_FRAMES_PER_S) -> float:
    """Return the heartbeat interval of a session without runs.

    It grows with the number of ``sessions``, so that all idle sessions together send
    ``frames_per_s``, within the bounds ``HEARTBEAT_MS`` and ``MAX_IDLE_HEARTBEAT_MS``.
    """
    return min(max(HEARTBEAT_MS, 1_000 * sessions / frames_per_s), MAX_IDLE_HEARTBEAT_MS)


@dataclass(frozen=True, slots=True)
class SendFrame:
    """Effect: send a frame to the entry ``peer``."""

    peer: str
    frame: AgentFrame


@dataclass(slots=True)
class _Peer:
    """State for one entry; ``channel`` is None while runs of the last session are being stopped.

    ``added_ms`` is the time when the entry was added, ``reported`` the last report sent.
    """

    added_ms: float

    channel: Channel[AgentBody, EntryBody] | None = None
    reported: UpstreamReport = NO_UPSTREAM
    reported_ms: float = float("-inf")


class EntrySessions:
    """All sessions of one agent, by entry name.

    ``describe`` returns the current report on the upstream, ``send`` is called with each frame to
    send, and ``on_end`` with the entry, the session, the reason and the time when a session ends.
    """

    def __init__(
        self,
        agent: str,
        incarnation: str,
        describe: Callable[[float], UpstreamReport],
        send: Callable[[SendFrame], None],
        on_end: Callable[[str, str, str, float], None],
    ) -> None:
        self._agent = agent
        self._incarnation = incarnation
        self._describe = describe
        self._send_frame = send
        self._on_end = on_end
        self._offers = Offers()
        self._crashes = RecentCrashes()
        self._peers: dict[str, _Peer] = {}
        self._silent: list[str] = []
        self._opened = 0
        """Number of sessions opened so far. It is common to all entries, because an entry that was
        removed and comes back ignores a session with a lower number than it has seen."""

    @property
    def open_count(self) -> int:
        """Number of open sessions."""
        return sum(state.channel is not None for state in self._peers.values())

    @property
    def has_demand(self) -> bool:
        """Whether an entry has waiting tasks, so that free resources are offered."""
        return self._offers.has_demand

    @property
    def has_timed_out(self) -> bool:
        """Whether `take_timed_out` has an entry to return."""
        return bool(self._silent)

    def connect(self, peer: str, now_ms: float) -> None:
        """Add the entry ``peer`` and open a session with it; no effect on a present entry."""
        if peer not in self._peers:
            self._peers[peer] = _Peer(now_ms)
            self._open(peer, now_ms)

    def on_connected(self, peer: str, now_ms: float) -> None:
        """Open the session anew when a connection is open and nothing has come through before.

        The answer of the entry is refused if the session is older than `MAX_HANDSHAKE_MS`, and the
        tasks that the entry has placed by then are lost.
        """
        state = self._peers.get(peer)
        if state is not None and state.channel is not None and not state.channel.is_established:
            self._open(peer, now_ms)

    def disconnect(self, peer: str, now_ms: float) -> None:
        """Remove an entry that left the directory, and end its session."""
        if peer in self._peers:
            self._end(peer, "the entry was removed", now_ms)
            del self._peers[peer]

    def leave(self, peer: str, now_ms: float) -> None:
        """End the session with an entry on purpose, and remove the entry.

        The caller makes sure that no run of the entry is in progress. An order that is on its way
        belongs to an ended session when it arrives, so it is ignored and the entry may place its
        task elsewhere as soon as it has received the goodbye.
        """
        state = self._peers.get(peer)
        if state is not None and state.channel is not None:
            self._send(peer, Goodbye(), now_ms)
        self.disconnect(peer, now_ms)

    def peers(self) -> set[str]:
        """Return the entries that were added and not removed."""
        return set(self._peers)

    def is_responsive(self, peer: str, now_ms: float) -> bool:
        """Return whether the entry ``peer`` sent a frame within the session timeout."""
        state = self._peers.get(peer)
        channel = state.channel if state is not None else None
        return (
            channel is not None
            and channel.is_established
            and now_ms - channel.last_seen_ms < SESSION_TIMEOUT_MS
        )

    def find_failed(self, now_ms: float) -> set[str]:
        """Return the entries without a session that works, apart from those just added."""
        return {
            peer
            for peer, state in self._peers.items()
            if now_ms - state.added_ms >= SESSION_TIMEOUT_MS
            and (state.channel is None or not state.channel.is_established)
        }

    def take_timed_out(self) -> list[str]:
        """Return and clear the entries whose session timed out, so their connection is replaced."""
        silent, self._silent = self._silent, []
        return silent

    def _open(self, peer: str, now_ms: float) -> None:
        state = self._peers[peer]
        self._opened += 1
        state.channel = Channel(name_session(self._incarnation, self._opened), now_ms)
        state.reported = replace(self._describe(now_ms), free=ResourceVector())
        state.reported_ms = now_ms
        crashes = self._crashes.list_recent(now_ms)
        self._send(peer, Hello(self._agent, state.reported, crashes), now_ms)

    def _end(self, peer: str, reason: str, now_ms: float) -> None:
        state = self._peers[peer]
        if state.channel is not None:
            session, state.channel = state.channel.session, None
            self._offers.remove_entry(peer)
            self._on_end(peer, session, reason, now_ms)

    def receive(self, peer: str, frame: EntryFrame, now_ms: float) -> list[EntryBody]:
        """Process a frame from the entry ``peer`` and return its messages.

        Frames of ended sessions are ignored. A frame that is too old ends its session.
        """
        state = self._peers.get(peer)
        if state is None or state.channel is None or frame.session != state.channel.session:
            return []
        if isinstance(frame.body, Goodbye):
            # It is unnumbered: an entry that lacks the session has no frame numbers to continue.
            self._end(peer, "the entry doesn't know the session", now_ms)
            return []
        limit_ms = SESSION_TIMEOUT_MS if state.channel.is_established else MAX_HANDSHAKE_MS
        if state.channel.age_ms(frame, now_ms) >= limit_ms:
            # This agent was suspended or the link stalled; the entry has ended the session or will
            # do so soon.
            self._end(peer, "a frame was held up for too long", now_ms)
            return []
        bodies = state.channel.receive(frame, now_ms)
        for body in bodies:
            if isinstance(body, CapacityDemand):
                self._offers.set_demand(peer, body.cpu_milli)
                self.offer(now_ms)
        return bodies

    def send(self, peer: str, session: str, body: AgentBody, now_ms: float) -> None:
        """Send ``body`` to the entry ``peer``, unless ``session`` has ended."""
        state = self._peers.get(peer)
        if state is not None and state.channel is not None and state.channel.session == session:
            self._send(peer, body, now_ms)

    def _send(self, peer: str, body: AgentBody | None, now_ms: float) -> None:
        channel = self._peers[peer].channel
        if channel is None:
            return
        try:
            self._send_frame(SendFrame(peer, channel.send(body, now_ms)))
        except ChannelFullError as error:
            self._end(peer, str(error), now_ms)

    def report(self, now_ms: float) -> None:
        """Send a report to each entry for which the state of the upstream changed.

        Changes of load alone (free resources and slowness) are reported at longer intervals.
        """
        report: UpstreamReport | None = None
        heartbeat_ms = idle_heartbeat_ms(len(self._peers))
        for peer, state in self._peers.items():
            elapsed_ms = now_ms - state.reported_ms
            if state.channel is None or elapsed_ms < MIN_REPORT_INTERVAL_MS:
                continue
            report = report or self._describe(now_ms)
            previous = state.reported
            scarce = report.free.cpu_milli < SCARCE_SHARE * report.capacity.cpu_milli
            interval_ms = heartbeat_ms * (SCARCE_REPORT_SHARE if scarce else 1.0)
            if elapsed_ms >= interval_ms or not report.equals_except_load(previous):
                update = replace(report, free=self._find_free(peer, report.free, now_ms))
                if update != previous or elapsed_ms >= REPORT_REFRESH_MS:
                    self._send_report(peer, update, now_ms)

    def _find_free(self, peer: str, free: ResourceVector, now_ms: float) -> ResourceVector:
        """Return the resources to report to ``peer``: none until the entry has answered.

        All entries would start tasks on the same resources of an upstream that has just joined.
        Those with waiting tasks answer with their demand and get an offer.
        """
        channel = self._peers[peer].channel
        if channel is None or not channel.is_established:
            return ResourceVector()
        return self._offers.free_for(peer, free, now_ms)

    def _send_report(self, peer: str, report: UpstreamReport, now_ms: float) -> None:
        """Send a report; acknowledged delivery is used only if more than the load changed."""
        state = self._peers[peer]
        previous, state.reported = state.reported, report
        state.reported_ms = now_ms
        if state.channel is not None and report.equals_except_load(previous):
            self._send_frame(SendFrame(peer, state.channel.send_unreliable(Report(report), now_ms)))
        else:
            self._send(peer, Report(report), now_ms)

    def report_crash(self, crash: UpstreamCrash, now_ms: float) -> None:
        """Report a crash of the upstream and its state to all entries.

        New sessions within the retention time begin with the crash, so that an entry which starts
        later or gets a job of another entry knows it.
        """
        self._crashes.add(crash, now_ms)
        report = self._describe(now_ms)
        for peer, state in self._peers.items():
            if state.channel is not None:
                free = self._find_free(peer, report.free, now_ms)
                state.reported, state.reported_ms = replace(report, free=free), now_ms
                self._send(peer, Report(state.reported, [crash]), now_ms)

    def use_offer(self, peer: str, resources: ResourceVector) -> None:
        """Deduct ``resources`` from the offer to the entry ``peer``, which has started a task."""
        self._offers.take(peer, resources)

    def offer(self, now_ms: float) -> None:
        """Offer the free resources to the entry with the highest unmet demand, and report it."""
        report = self._describe(now_ms)
        peer = self._offers.offer(report.free, now_ms) if report.accepts_tasks() else None
        if peer is not None:
            free = self._offers.free_for(peer, report.free, now_ms)
            self._send_report(peer, replace(report, free=free), now_ms)

    def free_for(self, peer: str, free: ResourceVector, now_ms: float) -> ResourceVector:
        """Return the part of ``free`` that the entry ``peer`` may use, given all open offers."""
        return self._offers.free_for(peer, free, now_ms)

    def tick(self, sessions_with_runs: Collection[tuple[str, str]], now_ms: float) -> int:
        """Send due heartbeats and repeated frames, and end sessions that timed out.

        ``sessions_with_runs`` holds the entry and the session of each run. Return the number of
        timed-out sessions with runs.
        """
        return sum(self._check_peer(peer, sessions_with_runs, now_ms) for peer in list(self._peers))

    def _check_peer(
        self, peer: str, sessions_with_runs: Collection[tuple[str, str]], now_ms: float
    ) -> bool:
        channel = self._peers[peer].channel
        if channel is None:
            if not any(owner == peer for owner, _ in sessions_with_runs):
                self._open(peer, now_ms)
            return False
        silent_ms = now_ms - channel.last_seen_ms
        has_runs = (peer, channel.session) in sessions_with_runs
        # Idle heartbeats are up to ``MAX_IDLE_HEARTBEAT_MS`` apart.
        if silent_ms >= (SESSION_TIMEOUT_MS if has_runs else 2 * SESSION_TIMEOUT_MS):
            self._silent.append(peer)
            self._end(peer, f"the entry was silent for {silent_ms:.0f} ms", now_ms)
            return has_runs
        for frame in channel.resend(now_ms):
            self._send_frame(SendFrame(peer, frame))
        busy = has_runs or channel.ack_pending
        if now_ms - channel.sent_ms >= (
            HEARTBEAT_MS if busy else idle_heartbeat_ms(len(self._peers))
        ):
            self._send(peer, None, now_ms)
        return False
