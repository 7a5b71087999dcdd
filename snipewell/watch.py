"""Watch stream: the resources of one kind and their changes, as JSON lines."""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator, Callable

import curio
import msgspec

from .clock import Clock
from .group import StoredResource
from .ids import Revision
from .resource import Document

POLL_MS = 50
"""Interval of checks for a new revision of the configuration."""
KEEPALIVE_MS = 2_000
"""Interval of empty lines, by which a client distinguishes an idle stream from a dead one."""
MAX_STREAM_MS = 600_000
"""Longest duration of one stream."""


class WatchEvent(msgspec.Struct, frozen=True):
    """One line of the stream.

    ``type`` is ``put``, ``delete``, or ``synced`` after the initial list of all resources.
    """

    type: str
    revision: Revision
    name: str = ""
    resource: Document | None = None


class WatchStream(AsyncIterator[bytes]):
    """Stream of all resources of a kind, then of their changes as applied on this entry.

    Changes of one resource between two checks are combined into one event or none. The stream
    ends after ``MAX_STREAM_MS``; clients then open another one.
    """

    def __init__(
        self,
        clock: Clock,
        revision: Callable[[], Revision],
        items: Callable[[], dict[str, StoredResource]],
        describe: Callable[[str, StoredResource], Document],
        on_end: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._revision = revision
        self._items = items
        self._describe = describe
        self._on_end: Callable[[], None] | None = on_end
        self._end_ms = clock.now_ms() + MAX_STREAM_MS
        self._sent_versions: dict[str, int] = {}
        self._sent_revision = Revision(-1)
        self._lines: deque[bytes] = deque()

    async def __anext__(self) -> bytes:
        keepalive_due_ms = self._clock.now_ms() + KEEPALIVE_MS
        while not self._lines:
            now = self._clock.now_ms()
            if now >= self._end_ms or self._on_end is None:
                await self.aclose()
                raise StopAsyncIteration
            if self._revision() != self._sent_revision:
                self._collect_changes()
            elif now >= keepalive_due_ms:
                return b"\n"
            else:
                await curio.sleep(POLL_MS / 1000)
        lines = b"".join(self._lines)
        self._lines.clear()
        return lines

    async def aclose(self) -> None:
        """End the stream and call ``on_end`` once."""
        if self._on_end is not None:
            on_end, self._on_end = self._on_end, None
            on_end()

    def _collect_changes(self) -> None:
        is_first, self._sent_revision = self._sent_revision < 0, self._revision()
        items = self._items()
        for name in sorted(self._sent_versions.keys() - items.keys()):
            self._add_event(WatchEvent("delete", self._sent_revision, name))
        for name, item in sorted(items.items()):
            if self._sent_versions.get(name) != item.version:
                self._add_event(
                    WatchEvent("put", self._sent_revision, name, self._describe(name, item))
                )
        self._sent_versions = {name: item.version for name, item in items.items()}
        if is_first:
            self._add_event(WatchEvent("synced", self._sent_revision))

    def _add_event(self, event: WatchEvent) -> None:
        self._lines.append(msgspec.json.encode(event) + b"\n")
