"""Queue of events for the task that owns an entry's core."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import curio

_MAX_BATCH = 256
"""Most events returned by one ``take``."""
_MAX_EVENTS = 50_000
"""Queue length from which ``put`` waits."""
_POLL_S = 0.005
"""Interval at which ``put`` checks the length of a full queue."""

Event = tuple[Callable[..., Any], tuple[Any, ...]]
"""A method of the core and its arguments."""


class Inbox:
    """FIFO queue of events for the task that owns the core.

    While the queue is full, ``put`` waits. This applies backpressure: the sockets stop reading and
    their peers' queues fill.
    """

    def __init__(self) -> None:
        self._events: deque[Event] = deque()
        self._wake = curio.Event()

    async def put(self, method: Callable[..., Any], *args: Any) -> None:
        """Add an event and wake the owner; wait while the queue is full.

        The owner itself must not call it, because it would block on its own full queue.
        """
        while len(self._events) >= _MAX_EVENTS:
            await curio.sleep(_POLL_S)
        self._events.append((method, args))
        if not self._wake.is_set():
            await self._wake.set()

    def append(self, method: Callable[..., Any], *args: Any) -> None:
        """Add an event without waking the owner, which processes it at its next tick.

        It never waits, also if the queue is full.
        """
        self._events.append((method, args))

    async def take(self) -> list[Event]:
        """Wait for events and return a batch of them."""
        while not self._events:
            self._wake.clear()
            await self._wake.wait()
        return [self._events.popleft() for _ in range(min(len(self._events), _MAX_BATCH))]
