"""Daemon of an entry for jobs: curio tasks that connect the `Scheduler` to clients and agents."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import curio

from .address import split_address
from .agentsession import SendAgent
from .clock import Clock
from .daemon import (
    RELAXED_TICK_MS,
    STOP_RESERVE_MS,
    TICK_MS,
    CoreTask,
    flush_log,
    freeze_memory,
    serve_metrics,
    wait_for_stop,
)
from .desiredstate import DesiredState, OperatorKeys
from .directory import JOB_ENTRIES_PREFIX, EntryAddress
from .ids import new_incarnation
from .job import Catalog, JobEnded, JobOutcome, JobRefused, JobSpec, Queue, QueueName
from .listener import open_listener
from .log import Log
from .logbuffer import LogBuffer
from .metrics import Metrics
from .runmessage import AgentFrame, decode_agent_frame, encode_frame
from .scheduler import Answer, LogRecord, PlacedStart, Scheduler, SetWide
from .server import HttpServer, ServerLimits
from .store import Changes, Listing
from .storetask import LeasedStore, Registration, watch_prefix
from .stream import Codec, StreamServer
from .web import Request, Response

ENTRY_CODEC = Codec(encode_frame, decode_agent_frame)
DRAIN_NOTICE_MS = 2_500.0
"""How long a stopping entry still accepts requests. The balancer checks readiness once a second and
removes an entry after two failed checks."""
CATALOG_WAIT_MS = 400.0
"""How long a starting entry waits for the catalog before it serves clients without one. A healthy
store responds within a few milliseconds."""
CATALOG_POLL_MS = 10.0
"""Interval of the checks for the catalog during that wait."""


@dataclass(frozen=True, slots=True)
class JobEntrySettings:
    """Settings of the daemon. Addresses are ``ip:port``.

    ``agent_address`` is the address that agents connect to. ``grace_ms`` is the time from SIGTERM
    to SIGKILL. ``spread_factor`` is the declared place factor of `duration`.
    """

    name: str
    zone: str
    readiness_address: str
    agent_address: str
    metrics_port: int
    grace_ms: float
    spread_factor: float = 1.0


class JobEntry:
    """Daemon of an entry.

    ``store`` is the client of the platform's metadata store, ``keys`` the operator's keys in it.
    """

    def __init__(
        self,
        settings: JobEntrySettings,
        store: LeasedStore,
        keys: OperatorKeys,
        clock: Clock,
        rng: Random,
        log: Log,
        buffer: LogBuffer,
    ) -> None:
        self.metrics = Metrics()
        self._settings = settings
        self._store = store
        self._keys = keys
        self._clock = clock
        self._rng = rng
        self._log = log
        self._buffer = buffer
        self._core = Scheduler(rng, settings.spread_factor)
        self._task = CoreTask(clock, self._perform, log)
        self._desired = DesiredState(keys)
        self._replies: dict[int, curio.Queue] = {}
        self._requests = 0
        self._stopping = False
        self._agents: StreamServer | None = None
        self._registration: Registration | None = None
        self._declare_metrics()

    @property
    def catalog(self) -> Catalog | None:
        """Catalog in force, or None until the first one has been read."""
        return self._core.catalog

    @property
    def is_ready(self) -> bool:
        """True if the balancer should route new connections to this entry."""
        return self._core.catalog is not None and not self._stopping

    @property
    def is_stopping(self) -> bool:
        """True from the receipt of SIGTERM on."""
        return self._stopping

    def count_pending(self, queue: QueueName) -> int:
        """Return the number of jobs of ``queue`` of which no task has started."""
        return self._core.count_pending(queue)

    async def submit(self, queue: Queue, spec: JobSpec, client_wait_ms: float) -> JobOutcome:
        """Schedule a job and return its outcome.

        The cancellation of the calling task means that the client has disconnected.
        """
        self._requests += 1
        request = self._requests
        began_ms = self._clock.now_ms()
        reply: curio.Queue = curio.Queue(1)
        self._replies[request] = reply
        try:
            await self._task.put(self._core.submit, request, queue, spec, client_wait_ms)
            outcome: JobOutcome = await reply.get()
        except curio.CancelledError:
            await self._task.put(self._core.on_client_disconnect, request)
            raise
        finally:
            del self._replies[request]
        self._count(outcome, queue, self._clock.now_ms() - began_ms)
        return outcome

    def _count(self, outcome: JobOutcome, queue: Queue, elapsed_ms: float) -> None:
        match outcome:
            case JobEnded():
                name = outcome.state.value
            case JobRefused():
                name = "refused"
                if outcome.cause:
                    self.metrics.count("refused", reason=outcome.cause, queue=queue.name)
            case _:
                name = "unknown"
        self.metrics.count("jobs", outcome=name, priority=str(queue.priority))
        self.metrics.observe_ms("job_duration", elapsed_ms, outcome=name)

    def _count_placed(self, start: PlacedStart) -> None:
        self.metrics.count("near_starts" if start.near else "far_starts", queue=start.queue)
        if start.waited_ms is not None:
            self.metrics.count("waited_starts", queue=start.queue)
            self.metrics.observe_ms("place_wait", start.waited_ms, queue=start.queue)

    def _declare_metrics(self) -> None:
        core, counters = self._core, self._core.counters
        self.metrics.gauge("open_jobs", lambda: core.open_jobs)
        self.metrics.gauge("waiting_tasks", lambda: core.waiting_tasks)
        self.metrics.gauge("agents", lambda: len(core.sessions.views()))
        self.metrics.gauge("starts", lambda: counters.starts)
        self.metrics.gauge("rejected_starts", lambda: counters.rejected_starts)
        self.metrics.gauge("lost_runs", lambda: counters.lost_runs)
        self.metrics.gauge("wide", lambda: int(core.is_wide))
        self.metrics.gauge("leaving_moves", lambda: counters.leaving_moves)
        self.metrics.gauge("crashing_jobs", lambda: counters.crashing)
        self.metrics.gauge("dropped_log_lines", lambda: self._buffer.dropped)
        self.metrics.gauges("queue_correction", "queue", lambda: core.corrections.items())

    def _tick_interval_ms(self) -> float:
        return TICK_MS if self._core.waiting_tasks else RELAXED_TICK_MS

    async def _perform(self) -> None:
        """Carry out the effects of the core."""
        self._core.place(self._clock.now_ms())
        effects, self._core.effects[:] = list(self._core.effects), []
        frames = [
            (effect.peer, effect.frame) for effect in effects if isinstance(effect, SendAgent)
        ]
        if frames and self._agents is not None:
            await self._agents.send_all(frames)
        for effect in effects:
            match effect:
                case Answer():
                    reply = self._replies.get(effect.request)
                    if reply is not None:
                        await reply.put(effect.outcome)
                case SetWide() if self._registration is not None:
                    await self._registration.set_wide(effect.wide)
                case LogRecord():
                    self._log.info("scheduler", effect.text, **effect.fields)
                case PlacedStart():
                    self._count_placed(effect)

    async def _on_frame(self, peer: str, frame: AgentFrame) -> None:
        await self._task.put(self._core.on_frame, peer, frame)

    async def _on_desired(self, update: Listing | Changes) -> None:
        desired = self._desired
        if not desired.apply(update):
            return
        if desired.error:
            self._log.error("scheduler", "catalog not in force", reason=desired.error)
        await self._task.put(self._apply_desired)

    def _apply_desired(self, now_ms: float) -> None:
        if self._desired.catalog is not None:
            self._core.set_catalog(self._desired.catalog)
        self._core.set_zones_out(self._desired.revision, self._desired.zones_out, now_ms)

    def _reload(self) -> None:
        self._log.info("entry", "reload", applied="none: no setting can change at run time")

    async def run(
        self,
        handle: Callable[[Request], Awaitable[Response]],
        handle_readiness: Callable[[Request], Awaitable[Response]],
        client_limits: ServerLimits,
        listener: socket.socket,
    ) -> None:
        """Serve until SIGTERM, then finish the requests in flight.

        ``listener`` is the socket that clients connect to.
        """
        settings = self._settings
        incarnation = new_incarnation()
        self._agents = StreamServer(
            open_listener(*split_address(settings.agent_address)),
            ENTRY_CODEC,
            self._on_frame,
            self._on_connection_end,
        )
        address = EntryAddress(settings.name, self._agents.address, incarnation, settings.zone)
        registration = Registration(self._store, address, self._clock, self._log, self._rng)
        self._registration = registration
        clients = HttpServer(handle, client_limits, self._on_error)
        readiness = HttpServer(handle_readiness, ServerLimits(connections=64))
        tasks = [
            await curio.spawn(self._task.run, daemon=True),
            await curio.spawn(
                self._task.run_ticks, self._core.tick, self._tick_interval_ms, daemon=True
            ),
            await curio.spawn(flush_log, self._buffer, daemon=True),
            await curio.spawn(
                watch_prefix,
                self._store,
                self._keys.prefix,
                self._on_desired,
                self._log,
                self._rng,
                daemon=True,
            ),
            await curio.spawn(registration.run, daemon=True),
            await curio.spawn(
                watch_prefix,
                self._store,
                JOB_ENTRIES_PREFIX + settings.name,
                registration.on_own_key,
                self._log,
                self._rng,
                daemon=True,
            ),
        ]
        await self._agents.start()
        await self._wait_for_catalog()
        await clients.serve(listener)
        await readiness.start(*split_address(settings.readiness_address))
        host = listener.getsockname()[0]
        await serve_metrics(self.metrics, host, settings.metrics_port, self._log)
        self._log.info("entry", "start", zone=settings.zone, incarnation=incarnation)
        freeze_memory()
        await wait_for_stop(self._reload)
        await self._stop(clients, registration)
        for task in tasks:
            await task.cancel()
        await self._agents.close()
        self._buffer.flush()

    async def _wait_for_catalog(self) -> None:
        """Wait for the first catalog, at most ``CATALOG_WAIT_MS``.

        Connections queue in the kernel meanwhile, instead of being refused for lack of a catalog.
        """
        until_ms = self._clock.now_ms() + CATALOG_WAIT_MS
        while self._core.catalog is None and self._clock.now_ms() < until_ms:
            await curio.sleep(CATALOG_POLL_MS / 1000)

    async def _stop(self, clients: HttpServer, registration: Registration) -> None:
        """Fail the readiness checks, finish the requests in flight and deregister."""
        began_ms = self._clock.now_ms()
        self._stopping = True
        self._log.info("entry", "stop", open_jobs=self._core.open_jobs)
        clients.draining = True
        await curio.sleep(DRAIN_NOTICE_MS / 1000)
        left_ms = self._settings.grace_ms - STOP_RESERVE_MS - (self._clock.now_ms() - began_ms)
        aborted_requests = await clients.stop(left_ms)
        await registration.withdraw()
        self._log.info("entry", "stopped", cut_requests=aborted_requests)

    def _on_connection_end(self, peer: str, reason: str) -> None:
        self._log.info("agents", "connection ended", peer=peer, reason=reason)

    def _on_error(self, where: str, error: BaseException) -> None:
        self._log.error("entry", "handler failed", where=where, error=repr(error))
