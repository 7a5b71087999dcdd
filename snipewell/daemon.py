"""What the daemons of the job path share: the task that owns a core, log, metrics and signals."""

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
"""Pause between two looks at timers; short against the 60 ms that callers leave for dispatch."""
IDLE_TICK_MS = 100.0
"""The same in a process without work, where only beats and silences are watched."""
FLUSH_MS = 250.0
"""Pause between two writes of the log."""
SILENCE_MS = 2_000.0
"""Silence after which keep-alive probes drop a connection, below the clients' shortest deadline
and resend interval together (1,500 ms and 1,300 ms)."""
STOP_RESERVE_MS = 400.0
"""Part of the grace period kept to answer and exit."""
METRICS_LIMITS = ServerLimits(connections=16)


class CoreTask:
    """The one task that owns a core. Others hand it events, which it takes in order.

    ``perform`` carries out the effects after each batch.
    """

    def __init__(self, clock: Clock, perform: Callable[[], Awaitable[None]]) -> None:
        self._clock = clock
        self._perform = perform
        self._inbox = Inbox()

    async def put(self, method: Callable[..., Any], *args: Any) -> None:
        """Have ``method(*args, now_ms)`` called by the task that owns the core."""
        await self._inbox.put(method, *args)

    async def run(self) -> None:
        """Take events for the life of the process."""
        while True:
            for method, args in await self._inbox.take():
                method(*args, self._clock.now_ms())
            await self._perform()

    async def run_ticks(
        self, tick: Callable[[float], None], is_idle: Callable[[], bool] = lambda: False
    ) -> None:
        """Have ``tick`` called every ``TICK_MS``, less often while ``is_idle()``."""
        while True:
            await self.put(tick)
            await curio.sleep((IDLE_TICK_MS if is_idle() else TICK_MS) / 1000)


async def flush_log(buffer: LogBuffer) -> None:
    """Write the log for the life of the process."""
    while True:
        buffer.flush()
        await curio.sleep(FLUSH_MS / 1000)


async def serve_metrics(metrics: Metrics, host: str, port: int, log: Log) -> HttpServer:
    """Serve the metrics at ``host:port``; a taken port is logged, and the daemon runs on."""

    async def handle(request: Request) -> Response:
        return Response(
            200, {"content-type": "text/plain; version=0.0.4"}, metrics.render().encode()
        )

    server = HttpServer(handle, METRICS_LIMITS)
    try:
        await server.start(host, port)
    except OSError as error:
        log.error("metrics", "not served", host=host, port=port, reason=str(error))
    return server


async def wait_for_stop(reload: Callable[[], None]) -> None:
    """Return at SIGTERM or SIGINT; call ``reload`` at each SIGHUP."""
    async with SignalQueue(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        while await signals.get() is signal.SIGHUP:
            reload()


def freeze_memory() -> None:
    """Exempt what the start has allocated from garbage collection, which would walk it again."""
    gc.collect()
    gc.freeze()
