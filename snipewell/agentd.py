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
from .ledger import CallEnd, CallUpstream, CutCall, LedgerLimits, Send
from .log import Log
from .message import AnyMessage, Message
from .outcome import SnipewellError
from .record import RecordLimits
from .settings import AgentSettings
from .signals import SignalQueue
from .transport import Dealers, agent_identity
from .web import Request, Response

_TICK_S = 0.05
"""Queued tasks expire and heartbeats go out with this precision."""
_FETCH_TIMEOUT_MS = 1_000
_GONE_MS = 5_000
"""An entry that is not listed is kept while it answers, as a list may come from an outdated one."""
_SETTLE_S = 2.0
"""For results and the last heartbeat to reach the entries after the last call has ended."""
_MAX_BODY_BYTES = 4 * 1024 * 1024
_MAX_REASON = 200
_HEADER_SAFE = "".join(
    char for char in string.printable if char not in string.whitespace and char != "%"
)


class _Listed(msgspec.Struct, frozen=True):
    entry: EntryId
    message_address: str


class _Listing(msgspec.Struct, frozen=True):
    """What the agent reads of ``GET /v1/entries``."""

    entries: list[_Listed]


def _info_of(settings: AgentSettings) -> AgentInfo:
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


def _limits_of(settings: AgentSettings) -> AgentLimits:
    records = RecordLimits(settings.records, settings.result_bytes, settings.record_window_ms)
    return AgentLimits(
        LedgerLimits(settings.slots, settings.queue, records),
        settings.heartbeat_interval_ms,
        settings.permit_ttl_ms,
    )


class AgentDaemon:
    """One agent process, within a running curio kernel."""

    def __init__(self, settings: AgentSettings, log: Log | None = None) -> None:
        self.agent = Agent(_info_of(settings), SystemClock(), _limits_of(settings))
        self.cut = 0
        """Calls that were cut at shutdown."""
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
        self._stops = 0
        self._cutting = False

    def stop(self) -> None:
        """Drain and end; the second call cuts off what still runs."""
        self._stops += 1

    async def run(self) -> int:
        """Run until stopped; return 0, or 1 if calls were cut off at the end."""
        self._log.info("agent", "started", incarnation=self.agent.info.incarnation)
        refresh = await curio.spawn(self._refresh_forever, daemon=True)
        try:
            while not self._stops:
                await self._tick()
            await self._drain()
        finally:
            await refresh.cancel()
            await self._dealers.close()
            await self._upstream.close()
            self._context.destroy(linger=0)
        return 1 if self.cut else 0

    async def _tick(self) -> None:
        await self._apply(self.agent.tick())
        await curio.sleep(_TICK_S)

    async def _drain(self) -> None:
        """Let running calls end within the limit, cut the rest, and settle with the entries."""
        self._log.info("agent", "draining", running=len(self.agent.ledger.running))
        limit_ms = self._clock.now_ms() + self.settings.drain_limit_ms
        await self._apply(self.agent.drain())
        while self.agent.ledger.running and self._stops < 2 and self._clock.now_ms() < limit_ms:
            await self._tick()
        self._cutting = True
        for (key, task), call in list(self._calls.items()):
            self.cut += 1
            self._log.error("agent", "call cut off at shutdown", key=key, task=task)
            await call.cancel()
        last = self.agent.sequence + 1
        settle_ms = self._clock.now_ms() + _SETTLE_S * 1000
        while self._clock.now_ms() < settle_ms and not self._is_settled(last):
            await self._tick()
        self._log.info("agent", "ended", cut=self.cut)

    def _is_settled(self, last: int) -> bool:
        """Return whether the entries answered a heartbeat that was sent after all results."""
        answered = self.agent.answered
        return self.agent.is_drained() and all(
            answered.get(EntryId(entry), 0) >= last
            for entry in self._dealers.peers()
            if self.agent.silent_ms(EntryId(entry)) < self.agent.limits.silence_ms
        )

    async def _refresh_forever(self) -> None:
        while True:
            try:
                await self._refresh()
            except (SnipewellError, msgspec.MsgspecError) as error:
                # The balancer may be away for long; the known entries stay in use.
                self._log.debug("agent", "no list of entries", reason=str(error))
            await curio.sleep(self.settings.entries_interval_ms / 1000)

    async def _refresh(self) -> None:
        response = await fetch(
            self.settings.balancer, Request("GET", "/v1/entries"), _FETCH_TIMEOUT_MS
        )
        if response.status != 200:
            return
        listing = msgspec.json.decode(response.body, type=_Listing)
        listed = {item.entry: item.message_address for item in listing.entries}
        for entry, address in listed.items():
            try:
                await self._dealers.connect(entry, address)
            except zmq.ZMQError as error:
                self._log.error("agent", "bad address", address=address, reason=str(error))
        for peer in list(self._dealers.peers()):
            if peer not in listed and self.agent.silent_ms(EntryId(peer)) > _GONE_MS:
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
                case CutCall():
                    call = self._calls.get((action.key, action.task))
                    if call is not None:
                        await call.cancel(blocking=False)
                case Reconnect():
                    self._log.info("agent", "connection replaced", entry=action.entry)
                    await self._dealers.replace(action.entry)

    async def _call(self, call: CallUpstream) -> None:
        """Call the upstream once and report the end, whatever it is."""
        end, body, reason = CallEnd.UNKNOWN, b"", ""
        try:
            end, body, reason = await self._exchange(call)
        except curio.TaskCancelled:
            reason = "cut off at shutdown" if self._cutting else "cancelled"
            end = CallEnd.UNKNOWN if self._cutting else CallEnd.CUT
        except Exception as error:
            # Without an end the slot would stay occupied for ever.
            reason = f"internal error: {error!r}"
        self._calls.pop((call.key, call.task), None)
        if end not in (CallEnd.OK, CallEnd.CUT):
            self._log.info(
                "agent", "call ended badly", key=call.key, task=call.task, end=end.value, why=reason
            )
        # A cut that came too late must not interrupt the report, nor the starts that follow it.
        async with curio.disable_cancellation():
            await self._apply(self.agent.on_upstream_end(call.key, call.task, end, body, reason))

    async def _exchange(self, call: CallUpstream) -> tuple[CallEnd, bytes, str]:
        """Return how a call ended, with the body of the answer or the reason."""
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
        text = response.body[:_MAX_REASON].decode(errors="replace")
        return CallEnd.FAILED, b"", f"status {response.status}: {text}"


async def run_agent(settings: AgentSettings, log: Log | None = None) -> int:
    """Run an agent until SIGTERM or SIGINT; return the exit status.

    The first signal drains: no new starts, running calls end, results are delivered. The second
    signal, or the drain limit of ``settings``, cuts off what still runs, and the status is 1.
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
