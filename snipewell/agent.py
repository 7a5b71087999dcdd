"""The core of an agent, which combines its task tracker and its permits.

An agent runs beside one upstream, owns its slots, and makes the final decision to start a task. The
core does no I/O: the daemon passes it messages, ends of calls and the time, and carries out the
actions that it returns.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass

from .clock import Clock
from .ids import (
    AgentId,
    EntryId,
    Incarnation,
    RackId,
    ScopedKey,
    ServiceName,
    TaskIndex,
    UpstreamId,
    ZoneId,
)
from .message import (
    AnyMessage,
    Cancel,
    Collect,
    Forget,
    Heartbeat,
    Message,
    Permit,
    Query,
    Resources,
    Result,
    Start,
)
from .permit import MAX_TTL_MS, Permits
from .tasktracker import CallEnd, Send, TaskTracker, TaskTrackerAction, TaskTrackerLimits

_MAX_UNDELIVERED = 1_000
"""Undelivered results buffered for each entry; a leader requests older ones by a Query."""


@dataclass(frozen=True, slots=True)
class AgentInfo:
    """Identity and capacity that an agent announces; ``address`` is its upstream's ``ip:port``."""

    agent: AgentId
    incarnation: Incarnation
    upstream: UpstreamId
    zone: ZoneId
    rack: RackId
    address: str
    connections: int
    worker: Resources
    services: tuple[ServiceName, ...]


@dataclass(frozen=True, slots=True)
class AgentLimits:
    """Bounds and intervals of an agent.

    A connection to an entry that sent nothing for ``silence_ms`` is replaced. After a call to the
    upstream that could not be sent, starts are refused for ``retry_ms``, doubled each time up to
    ``max_retry_ms``.
    """

    task_tracker: TaskTrackerLimits = TaskTrackerLimits()
    heartbeat_ms: float = 500
    permit_ttl_ms: float = MAX_TTL_MS
    silence_ms: float = 2_000
    retry_ms: float = 100
    max_retry_ms: float = 2_000


@dataclass(frozen=True, slots=True)
class Reconnect:
    """Replace the connection to ``entry``, which sent nothing for too long."""

    entry: EntryId


AgentAction = TaskTrackerAction | Reconnect


class Agent:
    """Core of one agent: heartbeats, permits, and starts and results of tasks."""

    def __init__(self, info: AgentInfo, clock: Clock, limits: AgentLimits | None = None) -> None:
        self.info = info
        self.limits = limits or AgentLimits()
        self.permits = Permits(clock, self.limits.permit_ttl_ms)
        self.task_tracker = TaskTracker(
            info.agent, info.incarnation, clock, self.limits.task_tracker
        )
        self.sequence = 0
        """Sequence number of the latest heartbeat."""
        self.answered_sequences: dict[EntryId, int] = {}
        """Highest heartbeat sequence that each entry has answered."""
        self._clock = clock
        self._connected_ms: dict[EntryId, float] = {}
        self._last_seen_ms: dict[EntryId, float] = {}
        self._undelivered: dict[EntryId, deque[Result]] = {}
        self._next_heartbeat_ms = 0.0
        self._failures = 0

    def on_entries(self, entries: Collection[EntryId]) -> None:
        """Set the connected entries; drop the state of all others."""
        for entry in list(self._connected_ms):
            if entry not in entries:
                del self._connected_ms[entry], self._last_seen_ms[entry]
                self._undelivered.pop(entry, None)
                self.answered_sequences.pop(entry, None)
                self.permits.remove_entry(entry)
        for entry in entries:
            if entry not in self._connected_ms:
                self._connected_ms[entry] = self._last_seen_ms[entry] = self._clock.now_ms()
                self._next_heartbeat_ms = 0.0

    def silent_ms(self, entry: EntryId) -> float:
        """Return the time since a connected entry sent its last message, in milliseconds."""
        return self._clock.now_ms() - self._last_seen_ms.get(entry, 0.0)

    def on_message(self, entry: EntryId, message: AnyMessage) -> list[AgentAction]:
        """Process a message from ``entry``; message types not meant for agents are dropped."""
        if entry in self._last_seen_ms:
            self._last_seen_ms[entry] = self._clock.now_ms()
        match message:
            case Permit():
                return self._on_permit(entry, message)
            case Start():
                # The earlier incarnation for which it was meant may have started the task already.
                if message.incarnation not in ("", self.info.incarnation):
                    return []
                return [*self.task_tracker.on_start(message, self.permits.may_start())]
            case Cancel():
                return [*self.task_tracker.on_cancel(message)]
            case Query():
                return [*self.task_tracker.on_query(entry, message)]
            case Collect():
                return [*self.task_tracker.on_collect(entry, message)]
            case Forget():
                self.task_tracker.on_forget(message)
        return []

    def _on_permit(self, entry: EntryId, permit: Permit) -> list[AgentAction]:
        """Apply a permit; after a withdrawal, refuse the queued tasks at once."""
        if permit.entry != entry or entry not in self._connected_ms:
            return []
        self.permits.on_permit(permit)
        self.answered_sequences[entry] = max(permit.sequence, self.answered_sequences.get(entry, 0))
        results = self._undelivered.pop(entry, ())
        resent: list[AgentAction] = [Send(entry, result) for result in results]
        return [*resent, *self.task_tracker.tick(self.permits.may_start())]

    def on_undelivered(self, entry: EntryId, message: Message) -> None:
        """Buffer a result for an unreachable entry until that entry answers again.

        Other messages are dropped: a late refusal could be taken for the refusal of a newer grant,
        and leaders request the rest again.
        """
        if isinstance(message, Result) and entry in self._connected_ms:
            buffered = self._undelivered.setdefault(entry, deque(maxlen=_MAX_UNDELIVERED))
            buffered.append(message)

    def may_send(self) -> bool:
        """Return whether a valid permit allows the first byte of a call to be sent now."""
        return self.permits.may_start()

    def on_upstream_end(
        self, key: ScopedKey, task: TaskIndex, end: CallEnd, body: bytes = b"", reason: str = ""
    ) -> list[AgentAction]:
        """Process the end of a call to the upstream; back off if it could not be sent."""
        if end is CallEnd.NOT_SENT:
            backoff_ms = self.limits.retry_ms * 2 ** min(self._failures, 16)
            self._failures += 1
            until_ms = self._clock.now_ms() + min(backoff_ms, self.limits.max_retry_ms)
            self.task_tracker.suspend(until_ms)
        elif end in (CallEnd.OK, CallEnd.FAILED):
            self._failures = 0
        may_start = self.permits.may_start()
        return [*self.task_tracker.on_upstream_end(key, task, end, may_start, body, reason)]

    def tick(self) -> list[AgentAction]:
        """Send due heartbeats, refuse expired tasks, and replace connections that timed out."""
        self.permits.tick()
        actions: list[AgentAction] = [*self.task_tracker.tick(self.permits.may_start())]
        now_ms = self._clock.now_ms()
        if now_ms >= self._next_heartbeat_ms:
            self._next_heartbeat_ms = now_ms + self.limits.heartbeat_ms
            actions += self._heartbeats()
        for entry, connected_ms in self._connected_ms.items():
            silent_ms = min(self.silent_ms(entry), now_ms - connected_ms)
            if silent_ms >= self.limits.silence_ms:
                self._connected_ms[entry] = now_ms
                actions.append(Reconnect(entry))
        return actions

    def _heartbeats(self) -> list[AgentAction]:
        self.sequence += 1
        info = self.info
        heartbeat = Heartbeat(
            agent=info.agent,
            incarnation=info.incarnation,
            sequence=self.sequence,
            upstream=info.upstream,
            zone=info.zone,
            rack=info.rack,
            address=info.address,
            slots=self.limits.task_tracker.slots,
            connections=info.connections,
            worker=info.worker,
            services=list(info.services),
            draining=self.task_tracker.draining,
            revision=self.permits.revision,
            load=self.task_tracker.load(),
        )
        for entry in self._connected_ms:
            self.permits.heartbeat_sent(entry, self.sequence)
        return [Send(entry, heartbeat) for entry in self._connected_ms]

    def drain(self) -> list[AgentAction]:
        """Refuse the queued and all further tasks, and send heartbeats that say so at once."""
        self._next_heartbeat_ms = 0.0
        return [*self.task_tracker.drain(), *self.tick()]

    def is_drained(self) -> bool:
        """Return whether every call has ended and every result has been delivered."""
        return (
            self.task_tracker.draining and not self.task_tracker.running and not self._undelivered
        )
