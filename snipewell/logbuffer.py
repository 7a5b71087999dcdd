"""Log lines on standard output that never block the process.

Lines are collected in a bounded buffer and written only as far as the pipe takes them. When the
buffer is full, lines are dropped and counted, and the next line written tells how many.
"""

from __future__ import annotations

import os
import select
from collections import deque
from collections.abc import Mapping

import msgspec

MAX_BYTES = 4 * 1024 * 1024
"""Bound on what waits for a reader that is slow."""
CHUNK_BYTES = 4_096
"""``PIPE_BUF`` of Linux: a pipe that polls as writable takes this much without blocking."""


class LogBuffer:
    """A destination of the log that writes to the descriptor ``fileno`` when ``flush`` is called.

    For example ``log = Log("info", buffer.add)`` and ``buffer.flush()`` ten times a second.
    """

    def __init__(self, fileno: int, max_bytes: int = MAX_BYTES) -> None:
        self._fileno = fileno
        self._max_bytes = max_bytes
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self.dropped = 0
        self._untold = 0

    def add(self, message: Mapping[str, object]) -> None:
        """Append ``message`` as one line of JSON, or drop it if the buffer is full."""
        line = self._encoder.encode(message) + b"\n"
        if self._bytes + len(line) > self._max_bytes:
            self.dropped += 1
            self._untold += 1
            return
        self._lines.append(line)
        self._bytes += len(line)

    def flush(self) -> None:
        """Write what can be written without blocking."""
        if self._untold and self._bytes < self._max_bytes // 2:
            untold, self._untold = self._untold, 0
            self.add({"level": "error", "message": "log: lines dropped", "count": untold})
        while self._lines and self._is_writable():
            chunk = self._take_chunk()
            try:
                written = os.write(self._fileno, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads any more; there is no place left to report that.
                self._lines.clear()
                self._bytes = 0
                return
            if written < len(chunk):
                self._lines.appendleft(chunk[written:])
                self._bytes += len(chunk) - written

    def _is_writable(self) -> bool:
        return bool(select.select([], [self._fileno], [], 0)[1])

    def _take_chunk(self) -> bytes:
        parts = [self._lines.popleft()]
        size = len(parts[0])
        while self._lines and size + len(self._lines[0]) <= CHUNK_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        data = b"".join(parts)
        if size > CHUNK_BYTES:
            self._lines.appendleft(data[CHUNK_BYTES:])
            data = data[:CHUNK_BYTES]
        self._bytes -= len(data)
        return data
