"""The stream of changes of one kind of resources, as JSON lines."""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator, Callable

import curio
import msgspec

from .clock import Clock
from .group import Item
from .ids import Revision
from .resource import Document

POLL_MS = 50
KEEPALIVE_MS = 2_000
"""An empty line this often lets a client tell a quiet stream from a silent connection."""
MAX_STREAM_MS = 600_000


class WatchEvent(msgspec.Struct, frozen=True):
    """One line: ``type`` is ``put``, ``delete``, or ``synced`` after the first list."""

    type: str
    revision: Revision
    name: str = ""
    resource: Document | None = None


class WatchStream(AsyncIterator[bytes]):
    """Streams every resource of a kind, then each change that comes into force on this entry.

    The stream ends after ``MAX_STREAM_MS``; clients then open another one.
    """

    def __init__(
        self,
        clock: Clock,
        revision: Callable[[], Revision],
        items: Callable[[], dict[str, Item]],
        describe: Callable[[str, Item], Document],
        on_end: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._revision = revision
        self._items = items
        self._describe = describe
        self._on_end: Callable[[], None] | None = on_end
        self._end_ms = clock.now_ms() + MAX_STREAM_MS
        self._sent: dict[str, int] = {}
        self._seen = Revision(-1)
        self._lines: deque[bytes] = deque()

    async def __anext__(self) -> bytes:
        quiet_until_ms = self._clock.now_ms() + KEEPALIVE_MS
        while not self._lines:
            now = self._clock.now_ms()
            if now >= self._end_ms or self._on_end is None:
                await self.aclose()
                raise StopAsyncIteration
            if self._revision() != self._seen:
                self._collect()
            elif now >= quiet_until_ms:
                return b"\n"
            else:
                await curio.sleep(POLL_MS / 1000)
        lines = b"".join(self._lines)
        self._lines.clear()
        return lines

    async def aclose(self) -> None:
        """End the stream."""
        if self._on_end is not None:
            on_end, self._on_end = self._on_end, None
            on_end()

    def _collect(self) -> None:
        first, self._seen = self._seen < 0, self._revision()
        items = self._items()
        for name in sorted(self._sent.keys() - items.keys()):
            self._add(WatchEvent("delete", self._seen, name))
        for name, item in sorted(items.items()):
            if self._sent.get(name) != item.version:
                self._add(WatchEvent("put", self._seen, name, self._describe(name, item)))
        self._sent = {name: item.version for name, item in items.items()}
        if first:
            self._add(WatchEvent("synced", self._seen))

    def _add(self, event: WatchEvent) -> None:
        self._lines.append(msgspec.json.encode(event) + b"\n")
