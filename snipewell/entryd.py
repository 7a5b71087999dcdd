"""The entry daemon: curio tasks that connect the core to its peers, the store and HTTP clients.

One task owns the core and all its state; every other task adds events to that task's queue.
"""

from __future__ import annotations

import signal
import traceback
from collections.abc import Awaitable, Callable, Iterable
from random import Random
from typing import Any

import curio
import zmq

from .client import HttpPool
from .clock import Clock, SystemClock
from .edge import CancelKey, CoreRequest, CoreResponse, Edge
from .effect import LogRecord, ProposeTable, ProposeVoters, Reply, SendAgent, SendEntry, Submission
from .entry import Entry, EntryEffect, LocalReply
from .ids import (
    AgentId,
    EntryId,
    Partition,
    RequestId,
    Revision,
    ServiceName,
    ZoneId,
    new_incarnation,
)
from .inbox import Inbox
from .log import Log
from .message import (
    AnyMessage,
    Collected,
    Heartbeat,
    Message,
    Progress,
    QueryReply,
    Refused,
    Result,
    TicketRequest,
)
from .metrics import Metrics
from .outcome import Invalid, Step
from .peer import EntryRecord
from .resource import ServiceSpec
from .resourceapi import ResourceApi, RevisionCounts
from .server import HttpServer, ServerLimits
from .settings import EntrySettings, HttpSettings, read_token
from .signals import SignalQueue
from .store import Store
from .storesync import StoreSync
from .transport import Dealers, Router, agent_identity, parse_agent_identity
from .voterapi import VoterApi
from .web import Request, Response

TICK_S = 0.02
"""Interval between ticks of the core."""
_FLUSH_S = 0.1
"""Time for the last messages to be sent before the sockets are closed."""
_RESTART_DELAY_S = 0.5
"""Delay before a task that failed is restarted."""
_LEAVE_TIMEOUT_MS = 1_000.0
"""Longest wait until the entry is out of the voter set; the other entries remove it otherwise."""


class _PendingRequest:
    """A request of the local HTTP server that waits for the core's response."""

    __slots__ = ("event", "response")

    def __init__(self) -> None:
        self.event = curio.Event()
        self.response: CoreResponse | None = None


class EntryDaemon:
    """One entry with its sockets, within a running curio kernel.

    ``start`` returns once the HTTP and message ports are bound. ``drain`` stops the entry
    gracefully, ``kill`` immediately.
    """

    def __init__(
        self, settings: EntrySettings, clock: Clock | None = None, log: Log | None = None
    ) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.incarnation = new_incarnation()
        self.id = EntryId(f"{settings.name}.{self.incarnation}")
        self.log = log or Log.from_config(settings.log, entry=self.id)
        self.metrics = Metrics()
        self.draining = False
        self.http_address = ""
        self._rng = Random()
        self._token = (
            read_token(settings.operator_token_file) if (settings.operator_token_file) else None
        )
        self._inbox = Inbox()
        self._pending_requests: dict[RequestId, _PendingRequest] = {}
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._tasks = curio.TaskGroup()
        self._server = HttpServer(self._handle, _server_limits(settings.http), self._on_exception)
        self._pool = HttpPool(settings.store, 8, step=Step.STORE)
        self.store = Store(self._pool, settings.store, self.clock, settings.store_timeout_ms)

    async def start(self) -> None:
        """Bind the ports and start all tasks; raise OSError if a port is in use."""
        settings = self.settings
        await self._server.start(settings.host, settings.http_port)
        self.http_address = "{}:{}".format(*self._server.address)
        address = f"{settings.host}:{settings.message_port}"
        try:
            self._router = Router(
                self._context, self.id, address, self._deliver, self._on_undelivered
            )
        except zmq.ZMQError as error:
            await self._server.stop(0)
            raise OSError(error.errno, f"cannot listen on {address}: {error}") from None
        self._dealers = Dealers(self._context, self.id, self._deliver, self._on_undelivered)
        record = EntryRecord(
            self.id, ZoneId(settings.zone), self.http_address, self._router.address
        )
        self.core = Entry(record, self.incarnation, settings, self.clock, self._rng)
        self._build_controllers(record)
        self._add_gauges()
        await self._router.start()
        for task in (self._run_core, self._tick, *self._store_sync.tasks()):
            await self._tasks.spawn(self._keep_running, task)
        self.log.info("edge", "entry started", http=self.http_address)

    def _build_controllers(self, record: EntryRecord) -> None:
        """Create the controllers between core and sockets; they need the bound addresses."""
        self._resources = ResourceApi(
            self.store,
            self.core.configuration,
            self.clock,
            self._rng,
            self._wait_in_force,
            self._counts_at,
            self._token,
            self.core.membership.conditions,
        )
        self._voter_api = VoterApi(
            self.store, self.core.configuration, lambda: self.core.peers.live().keys()
        )
        self._edge = Edge(
            self.id,
            self.settings,
            self._token,
            self,
            self.clock,
            self._rng,
            self.metrics,
            self.log,
            self._handle_resource,
        )
        self._store_sync = StoreSync(
            self.store, record, self.settings, self.core, self._inbox.put, self.log, self._rng
        )

    async def drain(self, limit_ms: float | None = None) -> int:
        """Finish requests, hand over partitions and stop; return the number of aborted requests.

        The number is at least 1 if a partition could not be handed over, because `run_entry`
        derives the exit status from it.
        """
        limit_ms = self.settings.drain_limit_ms if limit_ms is None else limit_ms
        end_ms = self.clock.now_ms() + limit_ms
        self.draining = True
        self.log.info("edge", "draining", limit_ms=limit_ms)
        await curio.sleep(min(self.settings.drain_settle_ms, limit_ms) / 1000)
        await self._inbox.put(self.core.drain)
        aborted = await self._server.stop(max(0.0, end_ms - self.clock.now_ms()))
        while not self.core.partition_manager.drained() and self.clock.now_ms() < end_ms:
            await curio.sleep(TICK_S)
        handed_over = self.core.partition_manager.drained()
        await self._store_sync.deregister()
        await self._leave_voters()
        await curio.sleep(_FLUSH_S)
        await self.kill()
        self.log.info("edge", "stopped", cut_requests=aborted, handed_over=handed_over)
        return aborted if handed_over else max(aborted, 1)

    async def _leave_voters(self) -> None:
        """Leave the voter set, and wait a limited time until that is in force.

        If the wait times out, the other entries remove this one later.
        """
        await self._inbox.put(self.core.leave)
        end_ms = self.clock.now_ms() + _LEAVE_TIMEOUT_MS
        while self.id in self.core.configuration.voters.voters:
            if self.clock.now_ms() >= end_ms:
                self.log.info("store", "still a voter at the stop; the other entries remove it")
                return
            await curio.sleep(TICK_S)

    async def kill(self) -> None:
        """Stop immediately, without notice to clients, peers or the store."""
        await self._tasks.cancel_remaining()
        await self._server.stop(0)
        await self._dealers.close()
        await self._router.close()
        await self._pool.close()
        self._context.destroy(linger=0)

    @property
    def waiting_count(self) -> int:
        """Number of local requests that wait for a response of the core."""
        return len(self._pending_requests)

    # Interface for the edge.

    async def ask(self, core_request: CoreRequest, timeout_ms: float) -> CoreResponse | None:
        """Pass a client's request to the core and return its response, None on a timeout.

        While ``waiting_requests`` others wait, the request is refused, which bounds the memory.
        """
        if len(self._pending_requests) >= self.settings.waiting_requests:
            return Invalid(503, "too many requests wait; this attempt was not accepted")
        pending = _PendingRequest()
        self._pending_requests[core_request.request] = pending
        try:
            match core_request:
                case Submission():
                    await self._inbox.put(self.core.on_submission, core_request)
                case CancelKey(request, key):
                    await self._inbox.put(self.core.on_cancel, request, key)
                case Progress(request, _, key):
                    await self._inbox.put(self.core.on_progress, request, key)
                case TicketRequest():
                    await self._inbox.put(self.core.on_tickets, core_request)
            await curio.timeout_after(timeout_ms / 1000, pending.event.wait)
        except curio.TaskTimeout:
            return None
        finally:
            del self._pending_requests[core_request.request]
            if pending.response is None:
                self._inbox.append(self.core.on_client_disconnect, core_request.request)
        return pending.response

    def find_service(self, name: ServiceName) -> ServiceSpec | None:
        """Return the service ``name`` of the configuration in force, None if there is none."""
        return self.core.configuration.service(name)

    def is_loaded(self) -> bool:
        """Return whether the configuration has been loaded."""
        return self.core.config_loaded

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new connections to this entry."""
        return self.core.is_ready() and not self.draining

    def list_entries(self) -> list[EntryRecord]:
        """Return the registered entries, this one first."""
        records = self.core.entries
        return sorted(records.values(), key=lambda record: (record.entry != self.id, record.entry))

    def choose_ticket_partition(self) -> Partition | None:
        """Choose the partition for new tickets, the keys that entries issue.

        It is chosen at random, among those that this entry leads if there are any.
        """
        partitions = self.core.own_partitions()
        if not partitions:
            return Partition(self._rng.randrange(self.settings.partitions))
        return self._rng.choice(partitions)

    # The task that owns the core.

    async def _run_core(self) -> None:
        while True:
            effects: list[EntryEffect] = []
            for method, args in await self._inbox.take():
                effects += self._process_event(method, args)
            effects += self._process_event(self.core.dispatch, ())
            for effect in effects:
                await self._perform(effect)

    def _process_event(
        self, method: Callable[..., Any], args: tuple[Any, ...]
    ) -> Iterable[EntryEffect]:
        """Pass one event to the core; an exception in one event must not stop all others."""
        try:
            return method(*args) or ()
        except Exception as error:
            self._on_exception(method.__name__, error)
            return ()

    async def _keep_running(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run ``task`` until it returns; restart it after an exception."""
        while True:
            try:
                await task()
                return
            except Exception as error:
                self._on_exception(getattr(task, "__name__", "task"), error)
                await curio.sleep(_RESTART_DELAY_S)

    def _on_exception(self, source: str, error: BaseException) -> None:
        self.metrics.count("internal_errors")
        trace = traceback.format_exception(error)
        self.log.error("edge", "internal error", where=source, trace="".join(trace)[-2_000:])

    async def _tick(self) -> None:
        while True:
            await curio.sleep(TICK_S)
            await self._inbox.put(self.core.tick)
            await self._sync_connections()

    async def _perform(self, effect: EntryEffect) -> None:
        match effect:
            case SendAgent(agent, message):
                view = self.core.membership.view(agent)
                identity = agent_identity(agent, view.incarnation) if view is not None else ""
                if not identity or not await self._router.send(identity, message):
                    self._inbox.append(self.core.on_agent_unsent, agent, message)
            case SendEntry(entry, message):
                if entry == self.id:
                    self._inbox.append(self.core.on_entry_message, entry, message)
                elif not await self._dealers.send(entry, message):
                    self._inbox.append(self.core.on_entry_unsent, entry, message)
            case Reply(request, _, outcome):
                await self._answer(request, outcome)
            case LocalReply(message):
                await self._answer(message.request, message)
            case LogRecord(part, text, fields):
                write = self.log.error if text.startswith("ALARM") else self.log.info
                write(part, text, **fields)
            case ProposeTable():
                await self._store_sync.propose(effect)
            case ProposeVoters():
                await self._store_sync.propose_voters(effect)

    async def _answer(self, request: RequestId, response: CoreResponse) -> None:
        pending = self._pending_requests.get(request)
        if pending is not None and pending.response is None:
            pending.response = response
            await pending.event.set()

    async def _sync_connections(self) -> None:
        """Keep one connection to each peer entry, and replace those that timed out."""
        addresses = {e: r.message_address for e, r in self.core.entries.items() if e != self.id}
        connected = self._dealers.peers()
        for entry, address in addresses.items():
            if connected.get(entry) != address:
                await self._dealers.connect(entry, address)
        live = self.core.peers.live()
        for lost_peer in connected.keys() - live.keys():
            await self._dealers.disconnect(lost_peer)
        for peer in self.core.peers.take_timed_out():
            self.log.info("membership", "replacing a connection that timed out", peer=peer)
            await self._dealers.replace(peer)

    # Callbacks of the sockets.

    async def _deliver(self, peer: str, message: AnyMessage) -> None:
        identity = parse_agent_identity(peer)
        from_agent = isinstance(message, Heartbeat | Refused | Result | QueryReply | Collected)
        if (identity is not None) != from_agent:
            self.metrics.count("misdirected_messages")
        elif identity is None:
            await self._inbox.put(self.core.on_entry_message, EntryId(peer), message)
        elif isinstance(message, Heartbeat) and (message.agent, message.incarnation) != identity:
            self.metrics.count("misdirected_messages")
        else:
            await self._inbox.put(self.core.on_agent_message, identity[0], message)

    def _on_undelivered(self, peer: str, message: Message) -> None:
        identity = parse_agent_identity(peer)
        if identity is None:
            self._inbox.append(self.core.on_entry_unsent, EntryId(peer), message)
        else:
            self._inbox.append(self.core.on_agent_unsent, AgentId(identity[0]), message)

    async def _handle(self, request: Request) -> Response:
        return await self._edge.handle(request)

    async def _handle_resource(self, request: Request) -> Response:
        if self._voter_api.serves(request):
            return await self._voter_api.handle(request)
        return await self._resources.handle(request)

    async def _wait_in_force(self, revision: Revision, wait_ms: float) -> bool:
        """Wait at most ``wait_ms`` until a majority of the voters has ``revision``.

        Return whether it has.
        """
        end_ms = self.clock.now_ms() + wait_ms
        while True:
            core = self.core
            if core.freshness.is_in_force(revision, core.configuration.revision):
                return True
            if self.clock.now_ms() >= end_ms:
                return False
            await curio.sleep(TICK_S)

    def _counts_at(self, revision: Revision) -> RevisionCounts:
        core = self.core
        return RevisionCounts(
            core.freshness.voters_at(revision, core.configuration.revision),
            len(core.configuration.voters.voters),
            core.membership.agents_at(revision),
            len(core.membership),
        )

    def _add_gauges(self) -> None:
        gauge = self.metrics.gauge
        gauge("waiting_requests", lambda: self.waiting_count)
        gauge("connections", lambda: self._server.connection_count)
        gauge("agents", lambda: len(self.core.membership))
        gauge("entries", lambda: len(self.core.entries))
        gauge("waiting_tasks", lambda: self.core.dispatcher.waiting())
        gauge("running_tasks", lambda: self.core.dispatcher.running())
        gauge("revision", lambda: self.core.configuration.revision)
        gauge("store_age_ms", self.core.freshness.store_age_ms)


def _server_limits(http: HttpSettings) -> ServerLimits:
    return ServerLimits(
        http.connections,
        http.header_bytes,
        http.body_bytes,
        http.head_timeout_ms,
        http.body_timeout_ms,
        http.idle_timeout_ms,
        http.write_timeout_ms,
    )


async def run_entry(settings: EntrySettings) -> int:
    """Run an entry until SIGTERM or SIGINT, and return the exit status.

    The first signal starts a graceful stop; a second one stops the entry immediately. The status is
    1 if a request was aborted or a partition could not be handed over; the log says which.
    """
    daemon = EntryDaemon(settings)
    async with SignalQueue(signal.SIGTERM, signal.SIGINT) as signals:
        await daemon.start()
        await signals.get()
        draining = await curio.spawn(daemon.drain)
        second = await curio.spawn(signals.get)
        async with curio.TaskGroup([draining, second], wait=any) as group:
            await group.join()
        if group.completed is draining:
            return 1 if draining.result else 0
        aborted = daemon.waiting_count
        daemon.log.error("edge", "stopped immediately by a second signal", cut_requests=aborted)
        await daemon.kill()
        return 1
