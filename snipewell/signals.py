"""Operating system signals for curio tasks, as curio 1.6 has no support for them."""

from __future__ import annotations

import signal
import socket
from types import TracebackType
from typing import Any

import curio.io


class SignalQueue:
    """Queue of received signals, for use as an async context manager in the main thread.

    For example ``async with SignalQueue(signal.SIGTERM) as signals: await signals.get()``.

    The signals have their earlier handlers again after the context; with ``ignore_afterwards``,
    they are ignored instead, so that they can't end a process that is shutting down.
    """

    def __init__(self, *signals: signal.Signals, ignore_afterwards: bool = False) -> None:
        self._signals = signals
        self._ignore_afterwards = ignore_afterwards
        self._previous: dict[signal.Signals, Any] = {}
        self._previous_descriptor = -1

    async def __aenter__(self) -> SignalQueue:
        receiving, self._sending = socket.socketpair()
        self._sending.setblocking(False)
        self._receiving = curio.io.Socket(receiving)
        self._previous_descriptor = signal.set_wakeup_fd(self._sending.fileno())
        for number in self._signals:
            self._previous[number] = signal.signal(number, lambda *_: None)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for number, handler in self._previous.items():
            signal.signal(number, signal.SIG_IGN if self._ignore_afterwards else handler)
        signal.set_wakeup_fd(self._previous_descriptor)
        await self._receiving.close()
        self._sending.close()

    async def get(self) -> signal.Signals:
        """Wait for the next signal and return it."""
        while True:
            number = signal.Signals((await self._receiving.recv(1))[0])
            if number in self._signals:
                return number
