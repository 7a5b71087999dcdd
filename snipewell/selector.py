"""Selector for curio kernels that makes fewer system calls than those of the standard library.

A daemon handles many small messages, each with several system calls. Two kinds of them are saved:

- The kernel of curio polls before each cycle of ready tasks. A message takes two or three cycles:
  one task reads it and others process it. Polls without a wait seldom find anything between them,
  so a few in a row are skipped.
- A task that ends or waits for something else unregisters its socket, and the next task registers
  it again. Here a socket stays in the set of the operating system until it becomes ready while
  nothing waits for it.
"""

from __future__ import annotations

import math
import select
from collections.abc import Mapping
from dataclasses import dataclass
from selectors import EVENT_READ, EVENT_WRITE, BaseSelector, SelectorKey
from typing import Any

MAX_SKIPPED_POLLS = 3
"""Number of polls without a wait that are skipped in a row. It bounds the delay of I/O in a process
that always has a ready task."""


@dataclass(frozen=True, slots=True)
class _Watched:
    """A file in the set of the operating system, with the events that are reported for it."""

    fileobj: object
    events: int


class LazySelector(BaseSelector):
    """Epoll selector that skips polls and keeps unregistered sockets in the set of the system.

    For example ``curio.run(main, selector=LazySelector())``. A file object may be kept only if it
    is told apart from another one with the same descriptor, which isn't so for plain integers:
    these are removed at once.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._keys: dict[int, SelectorKey] = {}
        self._watched: dict[int, _Watched] = {}
        self._skipped = 0

    def register(self, fileobj: Any, events: int, data: Any = None) -> SelectorKey:
        """Wait for ``events`` of ``fileobj``; raise KeyError if it is registered already."""
        descriptor = _find_descriptor(fileobj)
        if descriptor in self._keys:
            raise KeyError(f"{fileobj!r} (descriptor {descriptor}) is already registered")
        self._watch(descriptor, fileobj, events)
        key = SelectorKey(fileobj, descriptor, events, data)
        self._keys[descriptor] = key
        return key

    def _watch(self, descriptor: int, fileobj: object, events: int) -> None:
        watched = self._watched.get(descriptor)
        mask = (select.EPOLLIN if events & EVENT_READ else 0) | (
            select.EPOLLOUT if events & EVENT_WRITE else 0
        )
        if watched is None or watched.fileobj is not fileobj:
            # The system removes a descriptor by itself when its file is closed.
            try:
                self._epoll.register(descriptor, mask)
            except FileExistsError:
                self._epoll.modify(descriptor, mask)
        elif watched.events != events:
            self._epoll.modify(descriptor, mask)
        else:
            return
        self._watched[descriptor] = _Watched(fileobj, events)

    def unregister(self, fileobj: Any) -> SelectorKey:
        """Stop waiting for ``fileobj``; raise KeyError if it isn't registered."""
        key = self._keys.pop(_find_descriptor(fileobj))
        if isinstance(fileobj, int):
            self._forget(key.fd)
        return key

    def modify(self, fileobj: Any, events: int, data: Any = None) -> SelectorKey:
        """Replace the events and the data of a registered file; raise KeyError if it isn't."""
        key = self.get_key(fileobj)
        self._watch(key.fd, fileobj, events)
        self._keys[key.fd] = SelectorKey(fileobj, key.fd, events, data)
        return self._keys[key.fd]

    def _forget(self, descriptor: int) -> None:
        self._watched.pop(descriptor, None)
        try:
            self._epoll.unregister(descriptor)
        except OSError:
            # The file was closed, which removed it.
            pass

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Return the ready files with their events; none if the poll is skipped.

        ``timeout`` is in seconds; None waits without a limit, and 0 doesn't wait.
        """
        if timeout is not None and timeout <= 0 and self._skipped < MAX_SKIPPED_POLLS:
            self._skipped += 1
            return []
        self._skipped = 0
        # Rounded up to the resolution of epoll, so that it doesn't return before the timeout.
        wait_s = -1.0 if timeout is None else max(0.0, math.ceil(timeout * 1e3) * 1e-3)
        ready = []
        try:
            reported = self._epoll.poll(wait_s, max(len(self._watched), 1))
        except InterruptedError:
            return []
        for descriptor, mask in reported:
            key = self._keys.get(descriptor)
            if key is None:
                self._forget(descriptor)
                continue
            events = (EVENT_WRITE if mask & ~select.EPOLLIN else 0) | (
                EVENT_READ if mask & ~select.EPOLLOUT else 0
            )
            if events & key.events:
                ready.append((key, events & key.events))
        return ready

    def get_key(self, fileobj: Any) -> SelectorKey:
        """Return the registration of ``fileobj``; raise KeyError if it isn't registered."""
        return self._keys[_find_descriptor(fileobj)]

    def get_map(self) -> Mapping[Any, SelectorKey]:
        """Return the registrations by file object."""
        return {key.fileobj: key for key in self._keys.values()}

    def close(self) -> None:
        """Close the set of the operating system."""
        self._keys.clear()
        self._watched.clear()
        self._epoll.close()


def _find_descriptor(fileobj: Any) -> int:
    return fileobj if isinstance(fileobj, int) else int(fileobj.fileno())
