"""Message transport between entries and agents: ZeroMQ sockets on curio.

An entry binds one `Router`; agents and peer entries use `Dealers`, with one socket for each entry.
curio can't wait on a ZeroMQ socket, only on the file descriptor ``zmq.FD``. That descriptor is edge
triggered, and any call on the socket may consume the edge, after which the descriptor does not
become readable for input that has already arrived. Therefore each socket is owned by a single task,
which takes outgoing messages from a queue, and checks ``zmq.EVENTS`` after sending and before it
waits.

Delivery is at most once and not guaranteed: a message for a disconnected peer is reported to the
``undelivered`` callback, and one that ZeroMQ accepted may still be lost with the connection.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio
import zmq
from curio.traps import _read_wait

from .ids import AgentId, Incarnation
from .message import AnyMessage, Message, MessageError, decode, encode

Deliver = Callable[[str, AnyMessage], Awaitable[None] | None]
"""Callback for a received message, with the sender's identity; runs in the socket's task."""
Undelivered = Callable[[str, Message], None]
"""Callback for a queued message that was not sent, with the identity of its receiver."""

_MAX_ROUTES = 65_536
"""Most peers whose latest connection a router stores.

The one stored first is evicted; the next message from it stores it again.
"""
_BATCH_MESSAGES = 256
"""Most messages sent, and most received, before the socket's task yields to other tasks."""


@dataclass(frozen=True, slots=True)
class TransportLimits:
    """Limits of a socket.

    ``queue_messages`` limits ZeroMQ's queue for each peer and direction, and also the queue of the
    socket's task, which a router uses for all its peers together. ZeroMQ sends a heartbeat on each
    connection every ``heartbeat_interval_ms``, and drops the connection after
    ``heartbeat_timeout_ms`` without traffic.
    """

    queue_messages: int = 20_000
    max_message_bytes: int = 128 * 1024 * 1024
    heartbeat_interval_ms: int = 500
    heartbeat_timeout_ms: int = 1_500
    reconnect_ms: int = 50
    reconnect_max_ms: int = 500


@dataclass(frozen=True, slots=True)
class CurveKeys:
    """CurveZMQ keys in Z85: the local key pair and, for a dealer, the router's public key."""

    public: bytes
    secret: bytes
    server_public: bytes | None = None


@dataclass(slots=True)
class TransportCounters:
    """Message counts since the start.

    ``undelivered`` counts messages that were rejected by ZeroMQ or by a full queue, that were sent
    to a peer without a socket, or that were still queued when a dealer's socket was closed.
    """

    sent: int = 0
    received: int = 0
    malformed: int = 0
    undelivered: int = 0


def agent_identity(agent: AgentId, incarnation: Incarnation) -> str:
    """Return the peer identity of an agent's incarnation; that of an entry is its EntryId."""
    return f"{agent}+{incarnation}"


def parse_agent_identity(identity: str) -> tuple[AgentId, Incarnation] | None:
    """Return the agent and incarnation of ``identity``, or None if it identifies an entry."""
    agent, plus, incarnation = identity.rpartition("+")
    return (AgentId(agent), Incarnation(incarnation)) if plus else None


class _Routes:
    """Routing table of a router: the latest connection of each peer.

    Each connection has its own ZeroMQ identity, the peer's identity with an increasing number. A
    peer has two connections while it replaces an unresponsive one. If both had the same identity,
    they would need ROUTER_HANDOVER and take it over from each other at every reconnect; with
    handover and heartbeats together, libzmq 4.3.5 aborts the process ("Assertion failed:
    !_io_error").
    """

    def __init__(self) -> None:
        self._latest: dict[str, int] = {}

    def update(self, connection: str) -> str:
        """Return the peer of ``connection``, and route to it unless a later one sent a message."""
        peer, _, number = connection.rpartition("/")
        if not peer or not number.isascii() or not number.isdigit():
            raise MessageError(f"connection identity without a number: {connection[:80]!r}")
        if int(number) > self._latest.get(peer, -1):
            self._latest[peer] = int(number)
            if len(self._latest) > _MAX_ROUTES:
                del self._latest[next(iter(self._latest))]
        return peer

    def lookup(self, peer: str) -> str:
        """Return the identity of the peer's latest connection.

        For an unknown peer, it is an identity that no connection has.
        """
        return f"{peer}/{self._latest.get(peer, '')}"


@dataclass(slots=True)
class _SocketTask:
    """The single task that uses ``socket``, with its queue and state.

    ``peer`` is the identity of a dealer's remote end. It is empty for a router, whose messages have
    a first frame with the identity of the connection.
    """

    socket: zmq.Socket[bytes]
    peer: str
    deliver: Deliver
    undelivered: Undelivered | None
    limits: TransportLimits
    counters: TransportCounters
    routes: _Routes = field(default_factory=_Routes)
    outbox: deque[tuple[str, Message]] = field(default_factory=deque)
    wake: curio.Event = field(default_factory=curio.Event)
    armed: curio.Event = field(default_factory=curio.Event)
    task: curio.Task | None = None

    async def put(self, peer: str, message: Message) -> bool:
        """Queue ``message``; return False if the queue is full."""
        if len(self.outbox) >= self.limits.queue_messages:
            self.counters.undelivered += 1
            return False
        self.outbox.append((peer, message))
        if not self.wake.is_set():
            await self.wake.set()
        return True

    async def start(self) -> None:
        self.task = await curio.spawn(self._run)

    async def _run(self) -> None:
        """Send and receive until cancelled. Only this task may call methods of the socket."""
        watcher = await curio.spawn(self._watch, self.socket.fileno())
        try:
            while True:
                self.wake.clear()
                while await self._process_batch():
                    await curio.sleep(0)
                if not self.armed.is_set():
                    await self.armed.set()
                await self.wake.wait()
        finally:
            await watcher.cancel()
            self.socket.close(linger=0)

    async def _watch(self, descriptor: int) -> None:
        """Set ``wake`` when the descriptor becomes readable, once each time ``armed`` is set."""
        while True:
            await self.armed.wait()
            await _read_wait(descriptor)
            self.armed.clear()
            await self.wake.set()

    async def _process_batch(self) -> bool:
        """Send and receive one batch; return whether messages remain."""
        for _ in range(min(len(self.outbox), _BATCH_MESSAGES)):
            self._send(*self.outbox.popleft())
        for _ in range(_BATCH_MESSAGES):
            if not int(self.socket.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
                return bool(self.outbox)
            await self._receive()
        return True

    def _send(self, peer: str, message: Message) -> None:
        frames = [encode(message)]
        if not self.peer:
            frames.insert(0, self.routes.lookup(peer).encode())
        try:
            self.socket.send_multipart(frames, zmq.DONTWAIT)
        except zmq.ZMQError as error:
            # EHOSTUNREACH: unknown peer. EAGAIN: its queue is full, or a dealer is not connected.
            if error.errno not in (zmq.EHOSTUNREACH, zmq.EAGAIN):
                raise
            self.counters.undelivered += 1
            if self.undelivered is not None:
                self.undelivered(peer, message)
        else:
            self.counters.sent += 1

    async def _receive(self) -> None:
        try:
            frames = self.socket.recv_multipart(zmq.DONTWAIT)
        except zmq.Again:
            return
        try:
            if len(frames) != (1 if self.peer else 2):
                raise MessageError(
                    f"{len(frames)} frames, expected 1 from a router or 2 from a dealer"
                )
            peer = self.peer or self.routes.update(frames[0].decode())
            message = decode(frames[-1])
        except (MessageError, UnicodeDecodeError):
            self.counters.malformed += 1
            return
        self.counters.received += 1
        result = self.deliver(peer, message)
        if result is not None:
            await result

    async def close(self) -> None:
        if self.task is not None:
            await self.task.cancel()
            self.task = None


def _open(
    context: zmq.Context[zmq.Socket[bytes]], kind: int, identity: str, limits: TransportLimits
) -> zmq.Socket[bytes]:
    socket = context.socket(kind)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.IMMEDIATE, 1)
    socket.setsockopt(zmq.SNDHWM, limits.queue_messages)
    socket.setsockopt(zmq.RCVHWM, limits.queue_messages)
    socket.setsockopt(zmq.MAXMSGSIZE, limits.max_message_bytes)
    socket.setsockopt(zmq.HEARTBEAT_IVL, limits.heartbeat_interval_ms)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, limits.heartbeat_timeout_ms)
    socket.setsockopt(zmq.HEARTBEAT_TTL, limits.heartbeat_timeout_ms)
    socket.setsockopt(zmq.RECONNECT_IVL, limits.reconnect_ms)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, limits.reconnect_max_ms)
    socket.setsockopt(zmq.IDENTITY, identity.encode())
    return socket


class Router:
    """Socket that an entry binds; it can send to every peer that has connected to it.

    For example ``router = Router(context, "e1.ab", "127.0.0.1:0", deliver)``, then
    ``await router.start()`` and ``await router.send("agent-1+cd", message)``.
    """

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        identity: str,
        address: str,
        deliver: Deliver,
        undelivered: Undelivered | None = None,
        limits: TransportLimits | None = None,
        curve: CurveKeys | None = None,
    ) -> None:
        """Bind to ``address`` (``ip:port``); port 0 picks a free port.

        Raise zmq.ZMQError if the address is in use.
        """
        limits = limits or TransportLimits()
        self.counters = TransportCounters()
        socket = _open(context, zmq.ROUTER, identity, limits)
        socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        if curve is not None:
            socket.setsockopt(zmq.CURVE_SERVER, 1)
            socket.setsockopt(zmq.CURVE_SECRETKEY, curve.secret)
        try:
            socket.bind(f"tcp://{address}")
        except zmq.ZMQError:
            socket.close(linger=0)
            raise
        self.address = socket.getsockopt_string(zmq.LAST_ENDPOINT).removeprefix("tcp://")
        """The ``ip:port`` that the socket is bound to."""
        self._socket_task = _SocketTask(socket, "", deliver, undelivered, limits, self.counters)

    async def start(self) -> None:
        """Start the socket's task."""
        await self._socket_task.start()

    async def send(self, peer: str, message: Message) -> bool:
        """Queue ``message`` for ``peer``; return False if the queue is full.

        If the peer is not connected, the message is reported to the ``undelivered`` callback.
        """
        return await self._socket_task.put(peer, message)

    async def close(self) -> None:
        """Stop the socket's task and close the socket; queued messages are dropped."""
        await self._socket_task.close()


class Dealers:
    """Sockets to the entries, one for each EntryId, connected and replaced at run time."""

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        identity: str,
        deliver: Deliver,
        undelivered: Undelivered | None = None,
        limits: TransportLimits | None = None,
    ) -> None:
        self.counters = TransportCounters()
        self._context = context
        self._identity = identity
        self._deliver = deliver
        self._undelivered = undelivered
        self._limits = limits or TransportLimits()
        self._opened = 0
        self._socket_tasks: dict[str, _SocketTask] = {}
        self._addresses: dict[str, tuple[str, CurveKeys | None]] = {}

    def peers(self) -> dict[str, str]:
        """Return the address of each peer that has a socket."""
        return {peer: address for peer, (address, _) in self._addresses.items()}

    async def connect(self, peer: str, address: str, curve: CurveKeys | None = None) -> None:
        """Open a socket to ``peer`` at ``address`` (``ip:port``).

        A socket to the same address is kept; one to another address is replaced. A socket of
        another peer to the same address is closed: that peer no longer exists, and the two sockets
        would take over the identity from each other endlessly. Raise zmq.ZMQError for an invalid
        address.
        """
        if peer in self._socket_tasks:
            if self._addresses[peer] == (address, curve):
                return
            await self.disconnect(peer)
        for other, (other_address, _) in list(self._addresses.items()):
            if other_address == address:
                await self.disconnect(other)
        self._opened += 1
        identity = f"{self._identity}/{self._opened}"
        socket = _open(self._context, zmq.DEALER, identity, self._limits)
        if curve is not None:
            socket.setsockopt(zmq.CURVE_PUBLICKEY, curve.public)
            socket.setsockopt(zmq.CURVE_SECRETKEY, curve.secret)
            socket.setsockopt(zmq.CURVE_SERVERKEY, curve.server_public or b"")
        try:
            socket.connect(f"tcp://{address}")
        except zmq.ZMQError:
            socket.close(linger=0)
            raise
        socket_task = _SocketTask(
            socket, peer, self._deliver, self._undelivered, self._limits, self.counters
        )
        self._socket_tasks[peer] = socket_task
        self._addresses[peer] = (address, curve)
        await socket_task.start()

    async def disconnect(self, peer: str) -> None:
        """Close the socket to ``peer``; report messages still queued as undelivered."""
        socket_task = self._socket_tasks.pop(peer, None)
        if socket_task is None:
            return
        del self._addresses[peer]
        await socket_task.close()
        for _, message in socket_task.outbox:
            self.counters.undelivered += 1
            if self._undelivered is not None:
                self._undelivered(peer, message)

    async def replace(self, peer: str) -> None:
        """Replace the socket to ``peer``, whose current connection is unresponsive."""
        if peer in self._addresses:
            address, curve = self._addresses[peer]
            await self.disconnect(peer)
            await self.connect(peer, address, curve)

    async def send(self, peer: str, message: Message) -> bool:
        """Queue ``message`` for ``peer``; return False if it has no socket or its queue is full.

        If the peer is unreachable, the message is reported to the ``undelivered`` callback.
        """
        socket_task = self._socket_tasks.get(peer)
        if socket_task is None:
            self.counters.undelivered += 1
            return False
        return await socket_task.put(peer, message)

    async def close(self) -> None:
        """Close all sockets; queued messages are reported as undelivered."""
        for peer in list(self._socket_tasks):
            await self.disconnect(peer)
