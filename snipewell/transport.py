"""ZeroMQ sockets on curio: messages between entries and agents.

An entry binds one `Router`; agents and peer entries hold `Dealers`, one socket for each entry.
curio can't wait on a ZeroMQ socket, only on the descriptor ``zmq.FD``, which is edge triggered and
may become quiet when any call on the socket consumes the edge. Therefore one task owns each
socket: it takes outgoing messages from a queue, and checks ``zmq.EVENTS`` after every send before
it goes to sleep.

Delivery is at most once and not guaranteed: a message for a peer that is away is reported to the
``undelivered`` callback, and one that was handed to ZeroMQ may still be lost with the connection.
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
"""Called by the task that owns the socket with the sender's identity and its message."""
Undelivered = Callable[[str, Message], None]
"""Called with a peer's identity and a message that ZeroMQ did not accept for it."""

_MAX_ROUTES = 65_536
"""Peers whose latest connection a router remembers; one that speaks again is learnt again."""
_BATCH = 256
"""Messages sent and received in one turn, after which other tasks run."""


@dataclass(frozen=True, slots=True)
class TransportLimits:
    """Bounds of a socket. ``queue_messages`` holds for each peer and direction.

    ZeroMQ pings a connection every ``ping_ms`` and drops it after ``silence_ms`` without traffic.
    """

    queue_messages: int = 20_000
    max_message_bytes: int = 128 * 1024 * 1024
    ping_ms: int = 500
    silence_ms: int = 1_500
    reconnect_ms: int = 50
    reconnect_max_ms: int = 500


@dataclass(frozen=True, slots=True)
class CurveKeys:
    """CurveZMQ keys in Z85: this process's key pair, and for a dealer the router's public key."""

    public: bytes
    secret: bytes
    server_public: bytes | None = None


@dataclass(slots=True)
class TransportCounters:
    """Messages since the start. ``undelivered`` were not accepted by ZeroMQ or by the queue."""

    sent: int = 0
    received: int = 0
    malformed: int = 0
    undelivered: int = 0


def agent_identity(agent: AgentId, incarnation: Incarnation) -> str:
    """Return the ZeroMQ identity of one life of an agent; an entry's identity is its EntryId."""
    return f"{agent}+{incarnation}"


def parse_agent_identity(identity: str) -> tuple[AgentId, Incarnation] | None:
    """Return the agent and incarnation that ``identity`` names, or None if it is an entry's."""
    agent, plus, incarnation = identity.rpartition("+")
    return (AgentId(agent), Incarnation(incarnation)) if plus else None


class _Routes:
    """The latest connection of each peer of a router.

    Each connection has a ZeroMQ identity of its own, the peer's identity with a number that rises.
    A peer has two connections while it replaces a silent one. Under one identity they would need
    ROUTER_HANDOVER and take the identity from each other at every reconnect; with handover and
    heartbeats together, libzmq 4.3.5 aborts the process ("Assertion failed: !_io_error").
    """

    def __init__(self) -> None:
        self._latest: dict[str, int] = {}

    def learn(self, connection: str) -> str:
        """Return the peer of ``connection`` and use it for the peer unless a later one spoke."""
        peer, _, number = connection.rpartition("/")
        if not peer or not number.isascii() or not number.isdigit():
            raise MessageError(f"a connection without a number: {connection[:80]!r}")
        if int(number) > self._latest.get(peer, -1):
            self._latest[peer] = int(number)
            if len(self._latest) > _MAX_ROUTES:
                del self._latest[next(iter(self._latest))]
        return peer

    def find(self, peer: str) -> str:
        """Return the identity of the peer's latest connection, one nobody has if none spoke."""
        return f"{peer}/{self._latest.get(peer, '')}"


@dataclass(slots=True)
class _Owner:
    """The state of the one task that owns ``socket``.

    ``peer`` is the identity at the other end of a dealer, or empty for a router, whose frames name
    the connection.
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
        """Send and receive until cancelled. Only this task calls methods of the socket."""
        watcher = await curio.spawn(self._watch, self.socket.fileno())
        try:
            while True:
                self.wake.clear()
                while await self._turn():
                    await curio.sleep(0)
                if not self.armed.is_set():
                    await self.armed.set()
                await self.wake.wait()
        finally:
            await watcher.cancel()
            self.socket.close(linger=0)

    async def _watch(self, descriptor: int) -> None:
        """Wake the owner when the descriptor becomes readable, once for each time it is armed."""
        while True:
            await self.armed.wait()
            await _read_wait(descriptor)
            self.armed.clear()
            await self.wake.set()

    async def _turn(self) -> bool:
        """Send and receive one batch; return whether there is more to do."""
        for _ in range(min(len(self.outbox), _BATCH)):
            self._send(*self.outbox.popleft())
        for _ in range(_BATCH):
            if not int(self.socket.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
                return bool(self.outbox)
            await self._receive()
        return True

    def _send(self, peer: str, message: Message) -> None:
        frames = [encode(message)]
        if not self.peer:
            frames.insert(0, self.routes.find(peer).encode())
        try:
            self.socket.send_multipart(frames, zmq.DONTWAIT)
        except zmq.ZMQError as error:
            # EHOSTUNREACH: no such peer. EAGAIN: its queue is full, or a dealer isn't connected.
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
                raise MessageError(f"{len(frames)} frames")
            peer = self.peer or self.routes.learn(frames[0].decode())
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
    socket.setsockopt(zmq.HEARTBEAT_IVL, limits.ping_ms)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, limits.silence_ms)
    socket.setsockopt(zmq.HEARTBEAT_TTL, limits.silence_ms)
    socket.setsockopt(zmq.RECONNECT_IVL, limits.reconnect_ms)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, limits.reconnect_max_ms)
    socket.setsockopt(zmq.IDENTITY, identity.encode())
    return socket


class Router:
    """The socket that an entry binds; it reaches every peer that has connected to it.

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
        """Bind to ``address``, ``ip:port`` with port 0 for a free one.

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
        """The ``ip:port`` bound."""
        self._owner = _Owner(socket, "", deliver, undelivered, limits, self.counters)

    async def start(self) -> None:
        """Start the task that owns the socket."""
        await self._owner.start()

    async def send(self, peer: str, message: Message) -> bool:
        """Queue ``message`` for ``peer``; return False if the queue is full.

        A peer that is not connected is reported to the ``undelivered`` callback.
        """
        return await self._owner.put(peer, message)

    async def close(self) -> None:
        """Stop the task and close the socket; queued messages are dropped."""
        await self._owner.close()


class Dealers:
    """One socket to each entry, named by its EntryId, connected and replaced at run time."""

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
        self._owners: dict[str, _Owner] = {}
        self._addresses: dict[str, tuple[str, CurveKeys | None]] = {}

    def peers(self) -> dict[str, str]:
        """Return the address of each peer that has a socket."""
        return {peer: address for peer, (address, _) in self._addresses.items()}

    async def connect(self, peer: str, address: str, curve: CurveKeys | None = None) -> None:
        """Open a socket to ``peer`` at ``address`` (``ip:port``).

        Nothing happens if there is one to that address; one to another address is replaced. A
        socket of another peer to the same address is closed: that peer is gone, and both sockets
        would take the identity from each other for ever. Raise zmq.ZMQError for a bad address.
        """
        if peer in self._owners:
            if self._addresses[peer] == (address, curve):
                return
            await self.disconnect(peer)
        for other, (used, _) in list(self._addresses.items()):
            if used == address:
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
        owner = _Owner(socket, peer, self._deliver, self._undelivered, self._limits, self.counters)
        self._owners[peer] = owner
        self._addresses[peer] = (address, curve)
        await owner.start()

    async def disconnect(self, peer: str) -> None:
        """Close the socket to ``peer``; messages still queued are reported as undelivered."""
        owner = self._owners.pop(peer, None)
        if owner is None:
            return
        del self._addresses[peer]
        await owner.close()
        for _, message in owner.outbox:
            self.counters.undelivered += 1
            if self._undelivered is not None:
                self._undelivered(peer, message)

    async def replace(self, peer: str) -> None:
        """Use a fresh socket to ``peer``, because the present connection went silent."""
        if peer in self._addresses:
            address, curve = self._addresses[peer]
            await self.disconnect(peer)
            await self.connect(peer, address, curve)

    async def send(self, peer: str, message: Message) -> bool:
        """Queue ``message`` for ``peer``; return False without a socket or if its queue is full.

        A peer that can't be reached is reported to the ``undelivered`` callback.
        """
        owner = self._owners.get(peer)
        if owner is None:
            self.counters.undelivered += 1
            return False
        return await owner.put(peer, message)

    async def close(self) -> None:
        """Close all sockets; queued messages are dropped."""
        for peer in list(self._owners):
            await self.disconnect(peer)
