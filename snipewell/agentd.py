"""The agent daemon: curio tasks that connect the agent's core to entries and to its upstream."""

from __future__ import annotations

import signal
import string
from collections.abc import Iterable
from urllib.parse import quote

import curio
import msgspec
import zmq

from .agent import Agent, AgentAction, AgentInfo, AgentLimits, Reconnect
from .client import ExchangeError, HttpPool, NotSentError, fetch
from .clock import SystemClock
from .decoding import decode_json
from .errors import MessageError
from .ids import (
    AgentId,
    EntryId,
    RackId,
    ScopedKey,
    ServiceName,
    TaskIndex,
    UpstreamId,
    ZoneId,
    new_incarnation,
)
from .log import Log
from .message import AnyMessage, Message
from .outcome import SnipewellError
from .record import RecordLimits
from .settings import AgentSettings
from .signals import SignalQueue
from .tasktracker import AbortCall, CallEnd, CallUpstream, Send, TaskTrackerLimits
from .transport import Dealers, agent_identity
from .web import Request, Response

_TICK_S = 0.05
"""Interval between ticks, and so the precision with which tasks expire and heartbeats are sent."""
_FETCH_TIMEOUT_MS = 1_000
"""Timeout of a request for the list of entries."""
_UNLISTED_TIMEOUT_MS = 5_000
"""Time without a message after which the agent disconnects from an entry missing from the list.

While the entry sends messages its connection is kept, because the list may come from an outdated
entry.
"""
_SETTLE_S = 2.0
"""Time for results and the last heartbeat to reach the entries after the last call has ended."""
_MAX_BODY_BYTES = 4 * 1024 * 1024
"""Largest response body that is accepted from the upstream."""
_MAX_REASON_BYTES = 200
"""Length of the part of a failed response's body that is included in the reason."""
_HEADER_SAFE = "".join(
    char for char in string.printable if char not in string.whitespace and char != "%"
)
"""Characters of a key that are not percent-encoded in a header."""


class _Listed(msgspec.Struct, frozen=True):
    entry: EntryId
    message_address: str


class _Listing(msgspec.Struct, frozen=True):
    """The fields of the response to ``GET /v1/entries`` that the agent reads."""

    entries: list[_Listed]


def _agent_info(settings: AgentSettings) -> AgentInfo:
    return AgentInfo(
        agent=AgentId(settings.name),
        incarnation=new_incarnation(),
        upstream=UpstreamId(settings.upstream),
        zone=ZoneId(settings.zone),
        rack=RackId(settings.rack),
        address=settings.upstream_address,
        connections=settings.connections,
        worker=settings.worker,
        services=tuple(ServiceName(name) for name in settings.services),
    )


def _agent_limits(settings: AgentSettings) -> AgentLimits:
    records = RecordLimits(settings.records, settings.result_bytes, settings.record_window_ms)
    return AgentLimits(
        TaskTrackerLimits(settings.slots, settings.queue, records),
        settings.heartbeat_interval_ms,
        settings.permit_ttl_ms,
    )


class AgentDaemon:
    """One agent process, within a running curio kernel."""

    def __init__(self, settings: AgentSettings, log: Log | None = None) -> None:
        self.agent = Agent(_agent_info(settings), SystemClock(), _agent_limits(settings))
        self.aborted_calls = 0
        """Number of calls aborted at shutdown."""
        self.settings = settings
        self._log = log or Log()
        self._clock = SystemClock()
        self._upstream = HttpPool(
            settings.upstream_address,
            settings.connections,
            _MAX_BODY_BYTES,
            connect_timeout_ms=settings.connect_timeout_ms,
        )
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        identity = agent_identity(self.agent.info.agent, self.agent.info.incarnation)
        self._dealers = Dealers(self._context, identity, self._on_message, self._on_undelivered)
        self._calls: dict[tuple[ScopedKey, TaskIndex], curio.Task] = {}
        self._call_count = 0
        self._stop_requests = 0
        self._aborting = False

    def stop(self) -> None:
        """Request a graceful stop; the second request aborts the calls that still run."""
        self._stop_requests += 1

    async def run(self) -> int:
        """Run until stopped; return 0, or 1 if calls were aborted at shutdown."""
        self._log.info("agent", "agent started", incarnation=self.agent.info.incarnation)
        refresh = await curio.spawn(self._refresh_forever, daemon=True)
        try:
            while not self._stop_requests:
                await self._tick()
            await self._drain()
        finally:
            await refresh.cancel()
            await self._dealers.close()
            await self._upstream.close()
            self._context.destroy(linger=0)
        return 1 if self.aborted_calls else 0

    async def _tick(self) -> None:
        await self._apply(self.agent.tick())
        await curio.sleep(_TICK_S)

    async def _drain(self) -> None:
        """Wait for running calls up to the limit, abort the rest, and deliver the last results."""
        self._log.info("agent", "draining", running=len(self.agent.task_tracker.running))
        stop_at_ms = self._clock.now_ms() + self.settings.drain_limit_ms
        await self._apply(self.agent.drain())
        while (
            self.agent.task_tracker.running
            and self._stop_requests < 2
            and self._clock.now_ms() < stop_at_ms
        ):
            await self._tick()
        self._aborting = True
        for (key, task), call in list(self._calls.items()):
            self.aborted_calls += 1
            self._log.error("agent", "call cut off at shutdown", key=key, task=task)
            await call.cancel()
        first_sequence = self.agent.sequence + 1
        settled_by_ms = self._clock.now_ms() + _SETTLE_S * 1000
        while self._clock.now_ms() < settled_by_ms and not self._is_settled(first_sequence):
            await self._tick()
        self._log.info("agent", "agent stopped", cut=self.aborted_calls)

    def _is_settled(self, first_sequence: int) -> bool:
        """Return whether all results are delivered and every entry answered a heartbeat since.

        ``first_sequence`` is that of the first heartbeat sent after all results. Entries that timed
        out don't count.
        """
        answered_sequences = self.agent.answered_sequences
        return self.agent.is_drained() and all(
            answered_sequences.get(EntryId(entry), 0) >= first_sequence
            for entry in self._dealers.peers()
            if self.agent.silent_ms(EntryId(entry)) < self.agent.limits.silence_ms
        )

    async def _refresh_forever(self) -> None:
        while True:
            try:
                await self._refresh()
            except (SnipewellError, MessageError) as error:
                # The balancer may be unavailable for long; the known entries stay in use.
                self._log.debug("agent", "cannot fetch the list of entries", reason=str(error))
            await curio.sleep(self.settings.entries_interval_ms / 1000)

    async def _refresh(self) -> None:
        response = await fetch(
            self.settings.balancer, Request("GET", "/v1/entries"), _FETCH_TIMEOUT_MS
        )
        if response.status != 200:
            return
        listing = decode_json(response.body, _Listing)
        listed = {item.entry: item.message_address for item in listing.entries}
        for entry, address in listed.items():
            try:
                await self._dealers.connect(entry, address)
            except zmq.ZMQError as error:
                self._log.error(
                    "agent", "invalid entry address", address=address, reason=str(error)
                )
        for peer in list(self._dealers.peers()):
            if peer not in listed and self.agent.silent_ms(EntryId(peer)) > _UNLISTED_TIMEOUT_MS:
                await self._dealers.disconnect(peer)
        self.agent.on_entries([EntryId(peer) for peer in self._dealers.peers()])

    async def _on_message(self, peer: str, message: AnyMessage) -> None:
        await self._apply(self.agent.on_message(EntryId(peer), message))

    def _on_undelivered(self, peer: str, message: Message) -> None:
        self.agent.on_undelivered(EntryId(peer), message)

    async def _apply(self, actions: Iterable[AgentAction]) -> None:
        for action in actions:
            match action:
                case Send():
                    if not await self._dealers.send(action.entry, action.message):
                        self.agent.on_undelivered(action.entry, action.message)
                case CallUpstream():
                    task = await curio.spawn(self._call, action, daemon=True)
                    self._calls[action.key, action.task] = task
                case AbortCall():
                    call = self._calls.get((action.key, action.task))
                    if call is not None:
                        await call.cancel(blocking=False)
                case Reconnect():
                    self._log.info(
                        "agent", "replacing a connection that timed out", entry=action.entry
                    )
                    await self._dealers.replace(action.entry)

    async def _call(self, call: CallUpstream) -> None:
        """Call the upstream once and report the end of the call, also after an exception."""
        end, body, reason = CallEnd.UNKNOWN, b"", ""
        try:
            end, body, reason = await self._exchange(call)
        except curio.TaskCancelled:
            reason = "cut off at shutdown" if self._aborting else "cancelled"
            end = CallEnd.UNKNOWN if self._aborting else CallEnd.ABORTED
        except Exception as error:
            # Without a report of the end, the slot would stay occupied for ever.
            reason = f"internal error: {error!r}"
        self._calls.pop((call.key, call.task), None)
        if end not in (CallEnd.OK, CallEnd.ABORTED):
            self._log.info(
                "agent",
                "upstream call did not succeed",
                key=call.key,
                task=call.task,
                end=end.value,
                why=reason,
            )
        # The call has ended: a late abort must interrupt neither the report of its end nor the
        # calls that `_apply` starts in the freed slot.
        async with curio.disable_cancellation():
            await self._apply(self.agent.on_upstream_end(call.key, call.task, end, body, reason))

    async def _exchange(self, call: CallUpstream) -> tuple[CallEnd, bytes, str]:
        """Send a call to the upstream; return how it ended, the response body and the reason.

        The body is empty unless the call succeeded, the reason is empty if it did.
        """
        self._call_count += 1
        task_id = f"{self.agent.info.incarnation}-{self._call_count}"
        headers = {
            "content-type": "application/octet-stream",
            "snipewell-key": quote(call.key, safe=_HEADER_SAFE),
            "snipewell-task": str(call.task),
            "snipewell-task-id": task_id,
        }
        request = Request("POST", f"/tasks/{quote(call.service)}", {}, headers, call.payload)
        permitted = True

        def may_send() -> bool:
            nonlocal permitted
            permitted = self.agent.may_send()
            return permitted

        def is_expected(response: Response) -> bool:
            return response.headers.get("snipewell-task-id", task_id) == task_id

        left_ms = call.deadline_at_ms - self._clock.now_ms()
        try:
            response = await self._upstream.request(request, left_ms, may_send, is_expected)
        except NotSentError as error:
            end = CallEnd.NOT_SENT if permitted else CallEnd.NOT_PERMITTED
            if permitted and self._clock.now_ms() >= call.deadline_at_ms:
                end = CallEnd.EXPIRED
            return end, b"", error.reason
        except ExchangeError as error:
            return CallEnd.UNKNOWN, b"", error.reason
        if response.status == 200:
            return CallEnd.OK, response.body, ""
        text = response.body[:_MAX_REASON_BYTES].decode(errors="replace")
        return CallEnd.FAILED, b"", f"status {response.status}: {text}"


async def run_agent(settings: AgentSettings, log: Log | None = None) -> int:
    """Run an agent until SIGTERM or SIGINT; return the exit status.

    The first signal starts a graceful stop: no task is started, running calls end, results are
    delivered. The second signal, or the drain limit of ``settings``, aborts the calls that still
    run, and the status is 1.
    """
    daemon = AgentDaemon(settings, log or Log.from_config(settings.log, agent=settings.name))
    async with SignalQueue(signal.SIGTERM, signal.SIGINT) as signals:
        stopper = await curio.spawn(_stop_on, signals, daemon, daemon=True)
        status = await daemon.run()
        await stopper.cancel()
    return status


async def _stop_on(signals: SignalQueue, daemon: AgentDaemon) -> None:
    while True:
        await signals.get()
        daemon.stop()
