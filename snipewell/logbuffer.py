"""Log output that never blocks the process.

Lines are collected in a bounded buffer and written only as far as the pipe accepts them without
blocking. When the buffer is full, lines are dropped and counted; once it has drained to half its
size, a line with the number of dropped lines is appended.
"""

from __future__ import annotations

import os
import select
from collections import deque
from collections.abc import Mapping

import msgspec

MAX_BYTES = 4 * 1024 * 1024
"""Size limit of the buffered lines while the reader of the pipe is slow."""
CHUNK_BYTES = 4_096
"""``PIPE_BUF`` of Linux: a pipe that polls as writable accepts this many bytes without blocking."""


class LogBuffer:
    """Log destination that writes to the file descriptor ``fileno`` when ``flush`` is called.

    For example ``log = Log("info", buffer.add)`` with regular calls of ``buffer.flush()``.
    """

    def __init__(self, fileno: int, max_bytes: int = MAX_BYTES) -> None:
        self._fileno = fileno
        self._max_bytes = max_bytes
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self.dropped = 0
        self._unreported_drops = 0

    def add(self, message: Mapping[str, object]) -> None:
        """Append ``message`` as one line of JSON, or drop it if the buffer is full."""
        line = self._encoder.encode(message) + b"\n"
        if self._bytes + len(line) > self._max_bytes:
            self.dropped += 1
            self._unreported_drops += 1
            return
        self._lines.append(line)
        self._bytes += len(line)

    def flush(self) -> None:
        """Write as many buffered lines as possible without blocking."""
        if self._unreported_drops and self._bytes < self._max_bytes // 2:
            drops, self._unreported_drops = self._unreported_drops, 0
            self.add({"level": "error", "message": "log: lines dropped", "count": drops})
        while self._lines and self._is_writable():
            chunk = self._take_chunk()
            try:
                written = os.write(self._fileno, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed the pipe, so there is nowhere to report the error.
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
