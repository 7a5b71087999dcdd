"""The queue of events in front of the task that owns an entry's core."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import curio

_BATCH = 256
_MAX_EVENTS = 50_000
_FULL_S = 0.005

Event = tuple[Callable[..., Any], tuple[Any, ...]]
"""A method of the core and its arguments."""


class Inbox:
    """Events for the task that owns the core, in order of arrival.

    Beyond a bound, ``put`` waits, so that the sockets stop reading and their peers' queues fill.
    """

    def __init__(self) -> None:
        self._events: deque[Event] = deque()
        self._wake = curio.Event()

    async def put(self, method: Callable[..., Any], *args: Any) -> None:
        """Add an event and wake the owner; not to be called by the owner, which it could block."""
        while len(self._events) >= _MAX_EVENTS:
            await curio.sleep(_FULL_S)
        self._events.append((method, args))
        if not self._wake.is_set():
            await self._wake.set()

    def append(self, method: Callable[..., Any], *args: Any) -> None:
        """Add an event without waking the owner, which sees it at its next tick."""
        self._events.append((method, args))

    async def take(self) -> list[Event]:
        """Wait for events and return a batch of them."""
        while not self._events:
            self._wake.clear()
            await self._wake.wait()
        return [self._events.popleft() for _ in range(min(len(self._events), _BATCH))]
