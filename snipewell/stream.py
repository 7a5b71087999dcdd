"""Frames over TCP on curio: between the agents and the entries of the job path.

An entry listens, and each agent connects to every entry and names itself in the first frame. A
frame is its length in four bytes and its content. Delivery is at most once and not guaranteed:
sessions (`channel`) number frames and repeat them. Each connection is read by a task of its own;
frames are handed to the kernel at once, and what it doesn't on_frames waits up to a bound.

ZeroMQ carries the submission path (`transport`). Its thread wakes the process and is woken for
each message, which took most of a daemon's system calls here; see docs/design/platform.md.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio
import curio.io

from .errors import MessageError
from .keepalive import probe_silence

_LENGTH = struct.Struct(">I")
_READ_BYTES = 65_536
_NAME_BYTES = 256
"""Longest name: several times that of a VM with an incarnation."""
_NAME_TIMEOUT_S = 5.0
"""Time for a new connection to name itself; a healthy one does at once."""
_ACCEPT_PAUSE_S = 0.02
"""Pause after no connection could be accepted, as without a free descriptor: one tick."""

Deliver = Callable[[str, Any], Awaitable[None]]
"""Called with the peer's name and its message."""
ReportEnd = Callable[[str, str], None]
"""Called with the peer's name, or its address, and why its connection ended or can't be opened."""


@dataclass(frozen=True, slots=True)
class Codec:
    """How messages are turned into bytes; ``decode`` raises MessageError."""

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Bounds of connections. Times are in milliseconds.

    ``pending_bytes`` may wait for a peer that doesn't read; beyond that its connection is closed.
    The kernel drops a connection after ``silence_ms`` without an answer to its probes; sessions
    notice silence sooner, so this only clears away connections whose peer is gone. The bound on
    frames is far above a job's longest specification, that on connections half of the descriptors
    of an ordinary entry.
    """

    frame_bytes: int = 4 * 1024 * 1024
    pending_bytes: int = 4 * 1024 * 1024
    connections: int = 2_000
    silence_ms: float = 10_000
    connect_timeout_ms: float = 1_000
    reconnect_ms: float = 50
    reconnect_max_ms: float = 400


class FrameBuffer:
    """Cuts a stream of bytes into frames."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the frames that ``data`` completes; raise MessageError if one is too long."""
        self._data += data
        frames = []
        while len(self._data) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._data)
            if size > self._max_bytes:
                raise MessageError(f"a frame of {size} bytes, at most {self._max_bytes} are taken")
            end = _LENGTH.size + size
            if len(self._data) < end:
                break
            frames.append(bytes(self._data[_LENGTH.size : end]))
            del self._data[:end]
        return frames


class _Stream:
    """One connection: frames are written by any task and read by one."""

    def __init__(self, sock: curio.io.Socket, limits: StreamLimits) -> None:
        self._sock = sock
        self._limits = limits
        self._buffer = FrameBuffer(limits.frame_bytes)
        self._pending = bytearray()
        self._blocked = curio.Event()
        self._open = True
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        probe_silence(sock, limits.silence_ms)

    async def write(self, content: bytes) -> bool:
        """Send a frame now, or when the peer reads; return False if the connection has ended."""
        if not self._open:
            return False
        self._pending += _LENGTH.pack(len(content)) + content
        if not self._blocked.is_set():
            self._send_pending()
            if self._pending:
                await self._blocked.set()
        if len(self._pending) > self._limits.pending_bytes:
            self.abort()
        return self._open

    def _send_pending(self) -> None:
        """Hand the kernel what it takes at once."""
        try:
            sent = self._sock._socket.send(self._pending)
        except BlockingIOError:
            return
        except OSError:
            self.abort()
            return
        del self._pending[:sent]

    def abort(self) -> None:
        """End the connection; the task that reads it notices."""
        self._open = False
        self._pending.clear()
        try:
            self._sock._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # It was not connected any more.
            pass

    async def _flush_blocked(self) -> None:
        """Send what had to wait, for the life of the connection."""
        while True:
            await self._blocked.wait()
            try:
                while self._pending:
                    sent = await self._sock.send(bytes(self._pending[:_READ_BYTES]))
                    del self._pending[:sent]
            except OSError:
                # The reading task learns why, and reports it.
                self.abort()
            self._blocked.clear()

    async def read(self) -> list[bytes]:
        """Wait for data and return the frames it completes.

        Raise EOFError at the end, OSError or MessageError.
        """
        data = await self._sock.recv(_READ_BYTES)
        if not data:
            raise EOFError("the peer closed the connection")
        return self._buffer.feed(data)

    async def run(self, on_frames: Callable[[list[bytes]], Awaitable[None]]) -> str:
        """Hand all frames to ``on_frames`` until the connection ends; return why it ended."""
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
    """The open connections by the names of the peers."""

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
        """Send ``message``; return False if ``peer`` isn't connected."""
        stream = self._streams.get(peer)
        return stream is not None and await stream.write(self._codec.encode(message))


class StreamServer(_Connections):
    """The listening side; it reaches every peer that has connected.

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
        """Begin to accept connections."""
        self._accepting = await curio.spawn(self._accept, daemon=True)

    async def _accept(self) -> None:
        while True:
            try:
                sock, address = await self._listener.accept()
            except OSError as error:
                # Out of descriptors, or the peer reset: neither may end the server.
                self._report("listener", str(error))
                await curio.sleep(_ACCEPT_PAUSE_S)
                continue
            if len(self._tasks) >= self._limits.connections:
                self._report(f"{address[0]}:{address[1]}", "too many connections")
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
        raise MessageError(f"a name of {len(frame)} bytes")
    return frame.decode()


class StreamClients(_Connections):
    """One connection to each listening peer, opened again whenever it ends."""

    def __init__(
        self,
        name: str,
        codec: Codec,
        deliver: Deliver,
        report: ReportEnd,
        limits: StreamLimits | None = None,
    ) -> None:
        self._name = name
        super().__init__(codec, deliver, report, limits or StreamLimits())
        self._tasks: dict[str, curio.Task] = {}
        self._addresses: dict[str, str] = {}

    def peers(self) -> dict[str, str]:
        """Return the address of each peer that is connected or being connected."""
        return dict(self._addresses)

    async def connect(self, peer: str, address: str) -> None:
        """Keep a connection to ``peer`` at ``address`` (``ip:port``), instead of one elsewhere.

        A peer that had the address before is gone. Raise ValueError for a malformed address.
        """
        host, _, port = address.rpartition(":")
        target = (host, int(port))
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
        """Use a fresh connection to ``peer``, because the present one went silent."""
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
        """Hold one connection until it ends; return why it couldn't be opened."""
        sock = curio.io.Socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            async with curio.timeout_after(self._limits.connect_timeout_ms / 1000):
                await sock.connect(target)
        except (OSError, curio.TaskTimeout) as error:
            await sock.close()
            return str(error) or "no connection in time"
        except BaseException:
            await sock.close()
            raise
        stream = _Stream(sock, self._limits)
        self._streams[peer] = stream
        await stream.write(self._name.encode())
        self._report(peer, await stream.run(lambda frames: self._deliver_frames(peer, frames)))
        return ""

    async def close(self) -> None:
        """Close all connections."""
        for peer in list(self._tasks):
            await self.disconnect(peer)
