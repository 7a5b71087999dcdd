"""Length-prefixed frames over TCP, on curio: the transport between agents and entries for jobs.

An entry listens. Each agent connects to every entry and sends its name in the first frame. A frame
is its length in four bytes, followed by its content. Delivery is at most once and not guaranteed;
the sessions in `channel` number frames and retransmit them. Each connection has its own reading
task. Frames are collected and written to the socket together, when the caller has sent all frames
that it has; bytes that the kernel doesn't accept are buffered up to a limit.

The submission path uses ZeroMQ instead (`transport`). ZeroMQ does its I/O in a thread of its own.
For each message, this thread and the process wake each other, which took most of a daemon's system
calls on this path; see docs/design/platform.md.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any

import curio
import curio.io

from .address import split_address
from .errors import MessageError
from .keepalive import enable_keepalive
from .reading import read_when_ready

_LENGTH = struct.Struct(">I")
_READ_BYTES = 65_536
_NAME_BYTES = 256
"""Longest peer name in bytes; several times the name of a VM with an incarnation."""
_NAME_TIMEOUT_S = 5.0
"""Timeout for the first frame of a new connection, which holds its name; a healthy peer sends it at
once."""
_ACCEPT_PAUSE_S = 0.02
"""Pause after a failed accept, for example for lack of a file descriptor; one daemon tick."""

Deliver = Callable[[str, Any], Awaitable[None]]
"""Callback for received messages, with the name of the peer and the message."""
NotifyOpen = Callable[[str], Awaitable[None]]
"""Callback for a connection that was opened to the named peer."""
ReportEnd = Callable[[str, str], None]
"""Callback for a connection that ended, was refused or could not be opened, with the name of the
peer, or its address while the name is not known, and the reason. After a failed accept, the name is
``listener``."""


@dataclass(frozen=True, slots=True)
class Codec:
    """Encoding of messages; ``decode`` raises MessageError for malformed ones."""

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Limits of connections. Times are in milliseconds.

    ``frame_bytes`` limits the length of a frame; it is far above the longest job specification.
    ``pending_bytes`` limits the bytes buffered for a peer that doesn't read; beyond it, the
    connection is closed. ``connections`` is half of the file descriptors of an ordinary entry. The
    kernel drops a connection after ``keepalive_timeout_ms`` without an answer to its keep-alive
    probes; sessions detect silence sooner, so this only removes connections whose peer is gone.
    ``connect_timeout_ms`` is far above a round trip and below the second after which TCP repeats a
    lost connection request: a peer that was still starting is reached by the next attempt. An ended
    connection is reopened after ``reconnect_ms``, which doubles with each failed attempt up
    to ``reconnect_max_ms``.
    """

    frame_bytes: int = 4 * 1024 * 1024
    pending_bytes: int = 4 * 1024 * 1024
    connections: int = 2_000
    keepalive_timeout_ms: float = 10_000
    connect_timeout_ms: float = 250
    reconnect_ms: float = 50
    reconnect_max_ms: float = 200


class FrameBuffer:
    """Decoder that splits a stream of bytes into frames."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add ``data`` and return the completed frames; raise MessageError if one is too long."""
        self._data += data
        frames = []
        while len(self._data) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._data)
            if size > self._max_bytes:
                raise MessageError(
                    f"frame of {size} bytes exceeds the limit of {self._max_bytes} bytes"
                )
            end = _LENGTH.size + size
            if len(self._data) < end:
                break
            frames.append(bytes(self._data[_LENGTH.size : end]))
            del self._data[:end]
        return frames


class _Stream:
    """One connection; any task may write frames to it, and one task reads."""

    def __init__(self, sock: curio.io.Socket, limits: StreamLimits) -> None:
        self._sock = sock
        self._limits = limits
        self._buffer = FrameBuffer(limits.frame_bytes)
        self._pending = bytearray()
        self._blocked = curio.Event()
        self._open = True
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        enable_keepalive(sock, limits.keepalive_timeout_ms)

    def write(self, content: bytes) -> bool:
        """Buffer a frame until `flush`; return False if the connection ended."""
        if not self._open:
            return False
        self._pending += _LENGTH.pack(len(content)) + content
        if len(self._pending) > self._limits.pending_bytes:
            self.abort()
        return self._open

    async def flush(self) -> None:
        """Write the buffered frames to the socket; what it doesn't accept follows later."""
        if self._pending and not self._blocked.is_set():
            self._send_pending()
            if self._pending:
                await self._blocked.set()

    def _send_pending(self) -> None:
        """Write as many buffered bytes to the socket as the kernel accepts without blocking."""
        try:
            sent = self._sock._socket.send(self._pending)
        except BlockingIOError:
            return
        except OSError:
            self.abort()
            return
        del self._pending[:sent]

    def abort(self) -> None:
        """Shut the connection down and drop buffered bytes; its reading task then ends."""
        self._open = False
        self._pending.clear()
        try:
            self._sock._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The socket was already disconnected.
            pass

    async def _flush_blocked(self) -> None:
        """Send buffered bytes whenever the socket becomes writable, until the connection ends."""
        while True:
            await self._blocked.wait()
            try:
                while self._pending:
                    sent = await self._sock.send(bytes(self._pending[:_READ_BYTES]))
                    del self._pending[:sent]
            except OSError:
                # The reading task gets the error of the socket and reports it.
                self.abort()
            self._blocked.clear()

    async def read(self) -> list[bytes]:
        """Wait for data and return the frames it completes.

        Raise EOFError if the peer closed the connection, OSError if it failed, and MessageError for
        a frame that is too long.
        """
        data = await read_when_ready(self._sock, _READ_BYTES)
        if not data:
            raise EOFError("the peer closed the connection")
        return self._buffer.feed(data)

    async def run(self, on_frames: Callable[[list[bytes]], Awaitable[None]]) -> str:
        """Pass all frames to ``on_frames`` until the connection ends; return the reason."""
        flusher = await curio.spawn(self._flush_blocked, daemon=True)
        try:
            while True:
                frames = await self.read()
                if frames:
                    await on_frames(frames)
        except (EOFError, OSError, MessageError) as error:
            return str(error) or type(error).__name__
        finally:
            self._open = False
            await flusher.cancel()
            await self._sock.close()


class _Connections:
    """Open connections by peer name; base class of the listening and the connecting side."""

    def __init__(
        self, codec: Codec, deliver: Deliver, report: ReportEnd, limits: StreamLimits
    ) -> None:
        self._codec = codec
        self._deliver = deliver
        self._report = report
        self._limits = limits
        self._streams: dict[str, _Stream] = {}

    async def _deliver_frames(self, peer: str, frames: list[bytes]) -> None:
        for frame in frames:
            await self._deliver(peer, self._codec.decode(frame))

    async def send(self, peer: str, message: Any) -> bool:
        """Send ``message`` to ``peer``; return False if it isn't connected."""
        return await self.send_all([(peer, message)])

    async def send_all(self, messages: Iterable[tuple[str, Any]]) -> bool:
        """Send messages to their peers, with one write for each peer.

        Return False if a peer isn't connected; the others get their messages.
        """
        written: dict[str, _Stream] = {}
        complete = True
        for peer, message in messages:
            stream = self._streams.get(peer)
            if stream is not None and stream.write(self._codec.encode(message)):
                written[peer] = stream
            else:
                complete = False
        for stream in written.values():
            await stream.flush()
        return complete


class StreamServer(_Connections):
    """Listening side; sends to every peer that has connected and sent its name.

    For example ``server = StreamServer(listener, codec, deliver, report)``, then
    ``await server.start()`` and ``await server.send("agent-1+cd", message)``.
    """

    def __init__(
        self,
        listener: socket.socket,
        codec: Codec,
        deliver: Deliver,
        report: ReportEnd,
        limits: StreamLimits | None = None,
    ) -> None:
        super().__init__(codec, deliver, report, limits or StreamLimits())
        host, port = listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self._listener = curio.io.Socket(listener)
        self._tasks: set[curio.Task] = set()

    async def start(self) -> None:
        """Start to accept connections."""
        self._accepting = await curio.spawn(self._accept, daemon=True)

    async def _accept(self) -> None:
        while True:
            try:
                sock, address = await self._listener.accept()
            except OSError as error:
                # No file descriptor was left, or the peer reset the connection: neither may end the
                # server.
                self._report("listener", str(error))
                await curio.sleep(_ACCEPT_PAUSE_S)
                continue
            if len(self._tasks) >= self._limits.connections:
                self._report(
                    f"{address[0]}:{address[1]}",
                    f"too many connections: the limit is {self._limits.connections}",
                )
                await sock.close()
                continue
            self._tasks.add(await curio.spawn(self._serve, sock, address, daemon=True))

    async def _serve(self, sock: curio.io.Socket, address: tuple[str, int]) -> None:
        stream = _Stream(sock, self._limits)
        peer = f"{address[0]}:{address[1]}"
        try:
            try:
                async with curio.timeout_after(_NAME_TIMEOUT_S):
                    frames: list[bytes] = []
                    while not frames:
                        frames = await stream.read()
                peer = _parse_name(frames.pop(0))
            except (EOFError, OSError, MessageError, curio.TaskTimeout) as error:
                self._report(peer, f"no name: {error or type(error).__name__}")
                await sock.close()
                return
            older = self._streams.get(peer)
            if older is not None:
                older.abort()
            self._streams[peer] = stream
            await self._deliver_frames(peer, frames)
            reason = await stream.run(lambda more: self._deliver_frames(peer, more))
            self._report(peer, reason)
        finally:
            if self._streams.get(peer) is stream:
                del self._streams[peer]
            self._tasks.discard(await curio.current_task())

    async def close(self) -> None:
        """Close the listener and all connections."""
        await self._accepting.cancel()
        await self._listener.close()
        for task in list(self._tasks):
            await task.cancel()


def _parse_name(frame: bytes) -> str:
    if not 0 < len(frame) <= _NAME_BYTES or not frame.isascii():
        raise MessageError(f"got {len(frame)} bytes, expected 1 to {_NAME_BYTES} of ASCII")
    return frame.decode()


class StreamClients(_Connections):
    """Connecting side; keeps one connection to each listening peer and reopens it when it ends."""

    def __init__(
        self,
        name: str,
        codec: Codec,
        deliver: Deliver,
        report: ReportEnd,
        limits: StreamLimits | None = None,
        notify_open: NotifyOpen | None = None,
    ) -> None:
        self._name = name
        super().__init__(codec, deliver, report, limits or StreamLimits())
        self._notify_open = notify_open
        self._tasks: dict[str, curio.Task] = {}
        self._addresses: dict[str, str] = {}

    def peers(self) -> dict[str, str]:
        """Return the address of each peer to which a connection is open or being opened."""
        return dict(self._addresses)

    async def connect(self, peer: str, address: str) -> None:
        """Keep a connection to ``peer`` at ``address`` (``ip:port``) instead of any other address.

        A peer under another name with the same address is disconnected, because it must be gone.
        Raise ValueError for a malformed address.
        """
        target = split_address(address)
        if self._addresses.get(peer) == address:
            return
        for other in [other for other, used in self._addresses.items() if used == address]:
            await self.disconnect(other)
        await self.disconnect(peer)
        self._addresses[peer] = address
        self._tasks[peer] = await curio.spawn(self._maintain, peer, target, daemon=True)

    async def disconnect(self, peer: str) -> None:
        """Close the connection to ``peer``, if there is one."""
        self._addresses.pop(peer, None)
        task = self._tasks.pop(peer, None)
        if task is not None:
            await task.cancel()
        self._streams.pop(peer, None)

    async def replace(self, peer: str) -> None:
        """Replace the connection to ``peer`` by a new one, after it timed out."""
        address = self._addresses.get(peer)
        if address is not None:
            await self.disconnect(peer)
            await self.connect(peer, address)

    async def _maintain(self, peer: str, target: tuple[str, int]) -> None:
        pause_ms = self._limits.reconnect_ms
        while True:
            reason = await self._open(peer, target)
            if reason:
                if pause_ms == self._limits.reconnect_ms:
                    self._report(peer, reason)
                pause_ms = min(2 * pause_ms, self._limits.reconnect_max_ms)
            else:
                pause_ms = self._limits.reconnect_ms
            await curio.sleep(pause_ms / 1000)

    async def _open(self, peer: str, target: tuple[str, int]) -> str:
        """Open a connection and serve it until it ends; return the reason if it can't be opened.

        Return an empty string after a connection that had been opened.
        """
        sock = curio.io.Socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            async with curio.timeout_after(self._limits.connect_timeout_ms / 1000):
                await sock.connect(target)
        except (OSError, curio.TaskTimeout) as error:
            await sock.close()
            if isinstance(error, curio.TaskTimeout):
                return f"no connection within {self._limits.connect_timeout_ms:.0f} ms"
            return str(error) or type(error).__name__
        except BaseException:
            await sock.close()
            raise
        stream = _Stream(sock, self._limits)
        self._streams[peer] = stream
        stream.write(self._name.encode())
        await stream.flush()
        if self._notify_open is not None:
            await self._notify_open(peer)
        self._report(peer, await stream.run(lambda frames: self._deliver_frames(peer, frames)))
        return ""

    async def close(self) -> None:
        """Close all connections."""
        for peer in list(self._tasks):
            await self.disconnect(peer)
