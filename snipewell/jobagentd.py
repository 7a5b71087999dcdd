"""Daemon of the agent: curio tasks that connect the `Executor` to its upstream and the entries."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable, Collection, Mapping
from dataclasses import dataclass
from random import Random
from typing import Protocol

import curio

from .clock import Clock
from .daemon import (
    IDLE_TICK_MS,
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
from .directory import JOB_ENTRIES_PREFIX, Directory, EntryAddress
from .entrysession import SendFrame
from .executor import (
    HOLD_TIMEOUT_MARGIN_MS,
    ORDER_TIMEOUT_MS,
    STOP_TIMEOUT_MS,
    Executor,
    LogRecord,
)
from .ids import UpstreamId, new_incarnation
from .log import Log
from .logbuffer import LogBuffer
from .metrics import Metrics
from .reach import select_wide
from .runmessage import EntryFrame, decode_entry_frame, encode_frame
from .server import HttpServer, ServerLimits
from .store import Changes, Listing, Watchable
from .storetask import watch_prefix
from .stream import Codec, StreamClients
from .subset import find_surplus, select_entries
from .upstreamcall import CallHold, CallStart, CallStop, RunLists, StartResult, Upstream
from .web import Request, Response

AGENT_CODEC = Codec(encode_frame, decode_entry_frame)
HOLD_RETRY_MS = 40.0
"""Delay before the next regular ``hold`` call after a failed ``hold`` call; without it, calls to an
unreachable upstream would follow one another without a pause."""
DEPARTURE_WAIT_MS = 500.0
"""Longest delay of the answer to a deregistration, until the runs that it stopped have ended. The
upstream waits a second for the answer; a stop takes up to 50 ms (``stopGraceMs``)."""
RECONCILE_INTERVAL_MS = 500.0
"""Longest interval between two comparisons of the connections with the registered entries; each
change of the registrations and each session that timed out leads to one at once."""


class UpstreamCalls(Protocol):
    """Interface of the HTTP client that the daemon calls its upstream with."""

    async def start(self, call: CallStart, timeout_ms: float) -> tuple[StartResult, float | None]:
        """Start a run; return the result and the upstream's clock, None if the clock is unknown."""
        ...

    async def stop(self, call: CallStop, timeout_ms: float) -> bool:
        """Stop a run; return True if the upstream acknowledged the call."""
        ...

    async def hold(self, call: CallHold, timeout_ms: float) -> RunLists | StartResult:
        """Renew the lease and return the lists of runs, or the reason why they are missing."""
        ...


@dataclass(frozen=True, slots=True)
class JobAgentSettings:
    """Settings of the daemon.

    ``max_lease_ms`` is the longest lease that the upstream grants, ``grace_ms`` the time from
    SIGTERM to SIGKILL.
    """

    name: str
    zone: str
    metrics_port: int
    max_lease_ms: float
    grace_ms: float


class JobAgent:
    """Daemon of the agent.

    ``upstream`` is the client of the upstream on this VM, ``store`` the client of the platform's
    metadata store.
    """

    def __init__(
        self,
        settings: JobAgentSettings,
        store: Watchable,
        keys: OperatorKeys,
        upstream: UpstreamCalls,
        clock: Clock,
        rng: Random,
        log: Log,
        buffer: LogBuffer,
    ) -> None:
        self.metrics = Metrics()
        self._settings = settings
        self._store = store
        self._keys = keys
        self._upstream = upstream
        self._clock = clock
        self._rng = rng
        self._log = log
        self._buffer = buffer
        self._incarnation = new_incarnation()
        # The wall clock gives a restarted agent a higher fencing token than before; the core
        # raises a token that is too low.
        fence = clock.wall_ms()
        self._core = Executor(settings.name, self._incarnation, fence, settings.max_lease_ms)
        self._task = CoreTask(clock, self._perform, log)
        self._desired = DesiredState(keys)
        self._directory = Directory()
        name = f"{settings.name}+{self._incarnation}"
        self._connections = StreamClients(
            name,
            AGENT_CODEC,
            self._on_frame,
            self._on_connection_end,
            notify_open=self._on_connection_open,
        )
        self._wide: set[str] = set()
        """Wide entries that were last selected beyond the subset."""
        self._entries_changed = curio.Event()
        self._hold_outstanding = False
        self._next_hold_at_ms = 0.0
        self._declare_metrics()

    async def on_heartbeat(self, upstream: Upstream) -> None:
        """Pass a heartbeat of the upstream to the executor."""
        await self._task.put(self._core.on_heartbeat, upstream)

    async def on_deregistration(self, upstream: UpstreamId, reason: str) -> None:
        """Pass the deregistration of ``upstream`` to the executor, and wait until its runs end.

        The upstream ends when it receives the answer, so it lists the ends only until then.
        """
        await self._task.call(self._core.on_deregistration, upstream, reason)
        until_ms = self._clock.now_ms() + DEPARTURE_WAIT_MS
        while self._core.is_leaving and self._clock.now_ms() < until_ms:
            await curio.sleep(TICK_MS / 1000)

    def _declare_metrics(self) -> None:
        core, counters = self._core, self._core.counters
        self.metrics.gauge("runs", lambda: core.running)
        self.metrics.gauge("sessions", lambda: core.entries.open_count)
        self.metrics.gauge("starts", lambda: counters.started)
        self.metrics.gauge("rejected_starts", lambda: counters.rejected)
        self.metrics.gauge("unclear_starts", lambda: counters.indeterminate)
        self.metrics.gauge("stalled_runs", lambda: counters.stalled)
        self.metrics.gauge("slow_stops", lambda: counters.slow_stops)
        self.metrics.gauge("upstream_crashes", lambda: counters.crashes)
        self.metrics.gauge("silent_owners", lambda: counters.timed_out_sessions)
        self.metrics.gauge("dropped_log_lines", lambda: self._buffer.dropped)

    def _tick_interval_ms(self) -> float:
        if not self._core.running:
            return IDLE_TICK_MS
        urgent = self._core.entries.has_demand or self._core.awaits_stop
        return TICK_MS if urgent else RELAXED_TICK_MS

    async def _perform(self) -> None:
        """Carry out the effects of the core, and renew the lease of the runs at the upstream."""
        now_ms = self._clock.now_ms()
        if not self._hold_outstanding and now_ms >= self._next_hold_at_ms:
            hold = self._core.next_hold(now_ms)
            if hold is not None:
                self._hold_outstanding = True
                await curio.spawn(self._hold, hold, True, daemon=True)
        effects, self._core.effects[:] = list(self._core.effects), []
        frames = [
            (effect.peer, effect.frame) for effect in effects if isinstance(effect, SendFrame)
        ]
        if frames:
            await self._connections.send_all(frames)
        for effect in effects:
            match effect:
                case CallStart():
                    await curio.spawn(self._start, effect, daemon=True)
                case CallStop():
                    await curio.spawn(self._stop, effect, daemon=True)
                case CallHold():
                    await curio.spawn(self._hold, effect, False, daemon=True)
                case LogRecord():
                    self._log.info("executor", effect.text, **effect.fields)
        if self._core.entries.has_timed_out:
            await self._entries_changed.set()

    async def _start(self, call: CallStart) -> None:
        began_ms = self._clock.now_ms()
        result, clock_ms = await self._upstream.start(call, ORDER_TIMEOUT_MS)
        elapsed_ms = self._clock.now_ms() - began_ms
        self.metrics.observe_ms("start_call", elapsed_ms, result=result.value)
        await self._task.put(self._core.on_start_answer, call, result, clock_ms)

    async def _stop(self, call: CallStop) -> None:
        answered = await self._upstream.stop(call, STOP_TIMEOUT_MS)
        if not answered:
            self._log.info(
                "executor", "stop not acknowledged", task=call.task, attempt=call.attempt
            )
        await self._task.put(self._core.on_stop_answer, call, answered)

    async def _hold(self, call: CallHold, regular: bool) -> None:
        """Perform a ``hold`` call.

        Regular calls, which `Executor.next_hold` returns, follow one another, one at a time. The
        other ones, which request the lists of runs at once, are sent beside them.
        """
        answer = await self._upstream.hold(call, HOLD_TIMEOUT_MARGIN_MS)
        if regular:
            self._hold_outstanding = False
        match answer:
            case RunLists():
                await self._task.put(self._core.on_hold, call, answer)
            case StartResult.FENCED:
                await self._task.put(self._core.on_hold_fenced, call)
            case StartResult.NO_LISTENER:
                self._next_hold_at_ms = self._clock.now_ms() + HOLD_RETRY_MS
                await self._task.put(self._core.on_hold_refused, call)
            case _:
                if regular or answer is not StartResult.OTHER_INSTANCE:
                    self._next_hold_at_ms = self._clock.now_ms() + HOLD_RETRY_MS
                self._log.info("executor", "no lists of runs received", reason=answer.value)
                if answer is StartResult.OTHER_INSTANCE:
                    await self._task.put(self._core.on_hold_elsewhere, call)
                else:
                    await self._task.put(self._core.on_hold, call, None)

    async def _on_connection_open(self, entry: str) -> None:
        await self._task.put(self._core.entries.on_connected, entry)

    def _on_connection_end(self, entry: str, reason: str) -> None:
        self._log.info("entries", "connection ended", entry=entry, reason=reason)

    async def _on_frame(self, peer: str, frame: EntryFrame) -> None:
        await self._task.put(self._core.on_frame, peer, frame)

    async def _on_zones(self, update: Listing | Changes) -> None:
        if self._desired.apply(update):
            desired = self._desired
            revision = int(desired.revision)
            await self._task.call(self._core.set_zones_out, revision, desired.zones_out)
            await self._entries_changed.set()

    async def _on_entries(self, update: Listing | Changes) -> None:
        self._directory.apply(update, self._clock.now_ms())
        await self._entries_changed.set()
        for key in self._directory.unreadable:
            self._log.error("store", "malformed registration", key=key)

    async def _reconcile_connections(self) -> None:
        """Reconcile the connections and sessions with the registered entries."""
        while True:
            # Cleared first, so that a change during the calls leads to another round at once.
            self._entries_changed.clear()
            now_ms = self._clock.now_ms()
            entries = self._directory.entries(now_ms)
            subset = select_entries(
                self._settings.name,
                self._settings.zone,
                {name: entry.zone for name, entry in entries.items()},
                self._core.entries.find_failed(now_ms),
                self._core.zones_out,
            )
            self._select_wide(entries, subset)
            for name in sorted(subset | self._wide):
                await self._connect(entries[name])
            await self._leave_surplus(entries, subset)
            for name in self._connections.peers().keys() - self._core.entries.peers():
                await self._connections.disconnect(name)
            for name in self._core.entries.take_timed_out():
                await self._connections.replace(name)
            await curio.ignore_after(RECONCILE_INTERVAL_MS / 1000, self._entries_changed.wait)

    def _select_wide(self, entries: Mapping[str, EntryAddress], subset: Collection[str]) -> None:
        """Select the wide entries beyond ``subset``, and log a change of the selection."""
        wide = {name for name, entry in entries.items() if entry.wide}
        connected = self._core.entries.peers()
        selected = select_wide(self._settings.name, subset, wide, connected, len(entries))
        if selected != self._wide:
            self._log.info(
                "entries",
                "wide entries selected",
                added=sorted(selected - self._wide),
                dropped=sorted(self._wide - selected),
                wide=len(wide),
                sessions=len(connected),
            )
        self._wide = selected

    async def _connect(self, entry: EntryAddress) -> None:
        """Keep a connection to ``entry``, and a session on it."""
        name = entry.entry
        if self._connections.peers().get(name) == entry.address:
            return
        try:
            await self._connections.connect(name, entry.address)
        except ValueError as error:
            self._log.error("entries", "invalid address", entry=name, reason=str(error))
            return
        self._log.info("entries", "connecting", entry=name, address=entry.address)
        await self._task.call(self._core.entries.connect, name)

    async def _leave_surplus(
        self, entries: Mapping[str, EntryAddress], subset: Collection[str]
    ) -> None:
        """Close the sessions with entries that have gone or that left the subset."""
        now_ms = self._clock.now_ms()
        sessions = self._core.entries
        connected = sessions.peers()
        responsive = {name for name in connected if sessions.is_responsive(name, now_ms)}
        for name in sorted(connected - entries.keys() - responsive):
            self._log.info("entries", "entry removed", entry=name)
            await self._task.call(sessions.disconnect, name)
        # An entry that lost its registration alone, during an outage of the store, stays.
        registered = connected & entries.keys()
        for name in find_surplus(registered, subset, responsive, self._wide):
            self._log.info("entries", "entry left the subset", entry=name, sessions=len(connected))
            await self._task.call(self._core.leave_entry, name)

    async def run(
        self,
        handle_registration: Callable[[Request], Awaitable[Response]],
        listener: socket.socket,
    ) -> None:
        """Run until SIGTERM, then wait for the runs that end within the grace period.

        ``listener`` is the socket that serves the registration calls of the upstream.
        """
        settings = self._settings
        host = listener.getsockname()[0]
        registration = HttpServer(handle_registration, ServerLimits(connections=64))
        await registration.serve(listener)
        tasks = [
            await curio.spawn(self._task.run, daemon=True),
            await curio.spawn(
                self._task.run_ticks, self._core.tick, self._tick_interval_ms, daemon=True
            ),
            await curio.spawn(flush_log, self._buffer, daemon=True),
            await curio.spawn(self._reconcile_connections, daemon=True),
            await curio.spawn(
                watch_prefix,
                self._store,
                JOB_ENTRIES_PREFIX,
                self._on_entries,
                self._log,
                self._rng,
                daemon=True,
            ),
            await curio.spawn(
                watch_prefix,
                self._store,
                self._keys.prefix,
                self._on_zones,
                self._log,
                self._rng,
                daemon=True,
            ),
        ]
        await serve_metrics(self.metrics, host, settings.metrics_port, self._log)
        self._log.info("agent", "start", zone=settings.zone, incarnation=self._incarnation)
        freeze_memory()
        await wait_for_stop(lambda: self._log.info("agent", "reload"))
        await self._drain()
        for task in tasks:
            await task.cancel()
        await self._connections.close()
        self._buffer.flush()

    async def _drain(self) -> None:
        """Reject new runs and wait for the present ones to end."""
        until_ms = self._clock.now_ms() + self._settings.grace_ms - STOP_RESERVE_MS
        self._log.info("agent", "stop", runs=self._core.running)
        await self._task.put(self._core.drain)
        await curio.sleep(2 * TICK_MS / 1000)
        while self._core.running and self._clock.now_ms() < until_ms:
            await curio.sleep(TICK_MS / 1000)
        self._log.info("agent", "stopped", runs=self._core.running)
