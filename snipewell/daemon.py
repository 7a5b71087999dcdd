"""Shared parts of the job daemons: the task that owns a core, the log, metrics and signals.

A core is the state machine of a daemon, without any I/O.
"""

from __future__ import annotations

import gc
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from .clock import Clock
from .inbox import Inbox
from .log import Log
from .logbuffer import LogBuffer
from .metrics import Metrics
from .server import HttpServer, ServerLimits
from .signals import SignalQueue
from .web import Request, Response

TICK_MS = 20.0
"""Interval of the timer checks; short against the 60 ms that clients allow for dispatch."""
RELAXED_TICK_MS = 50.0
"""Interval of the timer checks while nothing waits for free capacity: short against heartbeats and
timeouts, which are then all that is due."""
IDLE_TICK_MS = 100.0
"""Interval of the timer checks in an idle process, where only heartbeats and timeouts of peers are
due."""
FLUSH_MS = 250.0
"""Interval at which buffered log lines are written."""
KEEPALIVE_TIMEOUT_MS = 2_000.0
"""Time without a response to keep-alive probes after which a connection is dropped. It is below the
sum of the clients' shortest deadline (1,500 ms) and their resend interval (1,300 ms)."""
STOP_RESERVE_MS = 400.0
"""Part of the grace period reserved to send responses and exit."""
MIN_SUSPENSION_MS = 50.0
"""Shortest suspension of the VM that is logged. The two clocks that show it are read one after the
other, so their difference varies a little."""
METRICS_LIMITS = ServerLimits(connections=16)


class CoreTask:
    """The single curio task that calls the methods of a core, in the order they were queued.

    ``perform`` is called after each batch of calls to carry out the effects of the core.
    """

    def __init__(self, clock: Clock, perform: Callable[[], Awaitable[None]], log: Log) -> None:
        self._clock = clock
        self._perform = perform
        self._log = log
        self._suspended_ms = clock.suspended_ms()
        self._inbox = Inbox()
        self._performed: list[curio.Event] = []
        """Callers of `call` to wake after the effects of this batch have been carried out."""

    async def put(self, method: Callable[..., Any], *args: Any) -> None:
        """Queue a call of ``method(*args, now_ms)`` for the task that owns the core."""
        await self._inbox.put(method, *args)

    async def run(self) -> None:
        """Process the queue; runs until the process ends."""
        while True:
            for method, args in await self._inbox.take():
                method(*args, self._clock.now_ms())
            await self._perform()
            performed, self._performed = self._performed, []
            for done in performed:
                await done.set()

    async def call(self, method: Callable[..., Any], *args: Any) -> None:
        """Queue a call like `put`, and wait until its effects have been carried out."""
        done = curio.Event()
        await self._inbox.put(method, *args)
        await self._inbox.put(lambda _now_ms: self._performed.append(done))
        await done.wait()

    async def run_ticks(
        self, tick: Callable[[float], None], interval_ms: Callable[[], float]
    ) -> None:
        """Queue a call of ``tick`` every ``interval_ms()``; runs until the process ends."""
        while True:
            self._log_suspension()
            await self.put(tick)
            await curio.sleep(interval_ms() / 1000)

    def _log_suspension(self) -> None:
        suspended_ms = self._clock.suspended_ms()
        for_ms = suspended_ms - self._suspended_ms
        if for_ms >= MIN_SUSPENSION_MS:
            self._suspended_ms = suspended_ms
            self._log.info("clock", "the VM was suspended", for_ms=round(for_ms))


async def flush_log(buffer: LogBuffer) -> None:
    """Write the buffered log lines every ``FLUSH_MS``; runs until the process ends."""
    while True:
        buffer.flush()
        await curio.sleep(FLUSH_MS / 1000)


async def serve_metrics(metrics: Metrics, host: str, port: int, log: Log) -> HttpServer:
    """Serve the metrics at ``host:port``.

    If the port is in use, log an error: the daemon runs on without a metrics endpoint.
    """

    async def handle(request: Request) -> Response:
        return Response(
            200, {"content-type": "text/plain; version=0.0.4"}, metrics.render().encode()
        )

    server = HttpServer(handle, METRICS_LIMITS)
    try:
        await server.start(host, port)
    except OSError as error:
        log.error("metrics", "metrics endpoint not served", host=host, port=port, reason=str(error))
    return server


async def wait_for_stop(reload: Callable[[], None]) -> None:
    """Return at SIGTERM or SIGINT; call ``reload`` at each SIGHUP.

    Afterwards the process ignores these signals, since it has requests to finish; only SIGKILL ends
    it sooner.
    """
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    async with SignalQueue(*numbers, ignore_afterwards=True) as signals:
        while await signals.get() is signal.SIGHUP:
            reload()


def freeze_memory() -> None:
    """Exempt the objects allocated during the start from garbage collection, and enable it.

    Every full collection would traverse them again.
    """
    gc.collect()
    gc.freeze()
    gc.enable()
