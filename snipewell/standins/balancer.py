"""Stand-in for the platform's load balancer: relays TCP connections to ready entries."""

from __future__ import annotations

import signal
from typing import Any

import curio
from curio import socket

from ..address import split_address
from ..client import HttpPool
from ..outcome import SnipewellError
from ..settings import BalancerSettings
from ..signals import SignalQueue
from ..web import Request

_CHUNK_BYTES = 65_536
_CONNECT_TIMEOUT_S = 1.0
_CHECK_TIMEOUT_MS = 500


class Balancer:
    """Round-robin TCP load balancer of the entries, on one address.

    An entry gets new connections while its ``/readyz`` returns 200. Relayed connections stay open
    until either side closes. A connection that arrives while no entry is ready is closed.
    """

    def __init__(self, settings: BalancerSettings) -> None:
        self.settings = settings
        self.address = ""
        self.ready: list[str] = []
        self._entries = list(settings.entries)
        self._pools: dict[str, HttpPool] = {}
        self._next = 0
        self._open_connections = 0
        self._listener: Any = None
        self._tasks = curio.TaskGroup()

    def set_entries(self, entries: list[str]) -> None:
        """Replace the addresses (``ip:port``) whose readiness is checked."""
        self._entries = list(entries)
        self.ready = [entry for entry in self.ready if entry in entries]

    async def start(self) -> None:
        """Listen and start the readiness checks; raise OSError if the address is in use."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.settings.host, self.settings.port))
        listener.listen(1024)
        self._listener = listener
        host, port = listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        await self._tasks.spawn(self._accept)
        await self._tasks.spawn(self._check_readiness)

    async def stop(self) -> None:
        """Stop the checks and close the listener; relayed connections stay open."""
        await self._tasks.cancel_remaining()
        if self._listener is not None:
            await self._listener.close()
        for pool in self._pools.values():
            await pool.close()

    async def _check_readiness(self) -> None:
        while True:
            async with curio.TaskGroup() as checks:
                for entry in self._entries:
                    await checks.spawn(self._check_entry, entry)
            await curio.sleep(self.settings.check_interval_ms / 1000)

    async def _check_entry(self, entry: str) -> None:
        pool = self._pools.setdefault(entry, HttpPool(entry, 1))
        try:
            response = await pool.request(Request("GET", "/readyz"), _CHECK_TIMEOUT_MS)
            is_ready = response.status == 200
        except SnipewellError:
            is_ready = False
        if is_ready and entry not in self.ready and entry in self._entries:
            self.ready.append(entry)
        elif not is_ready and entry in self.ready:
            self.ready.remove(entry)

    async def _accept(self) -> None:
        while True:
            try:
                client, _ = await self._listener.accept()
            except OSError:
                await curio.sleep(0.02)
                continue
            if self._open_connections >= self.settings.connections:
                await client.close()
            else:
                await curio.spawn(self._relay_connection, client, daemon=True)

    async def _relay_connection(self, client: Any) -> None:
        """Relay a connection until either direction has ended."""
        self._open_connections += 1
        entry = None
        try:
            entry = await self._connect()
            if entry is not None:
                async with curio.TaskGroup(wait=any) as relay:
                    await relay.spawn(_forward, client, entry)
                    await relay.spawn(_forward, entry, client)
        finally:
            self._open_connections -= 1
            await client.close()
            if entry is not None:
                await entry.close()

    async def _connect(self) -> Any:
        """Return a connection to the next ready entry, or None if there is none."""
        for _ in range(len(self.ready)):
            if not self.ready:
                break
            self._next = (self._next + 1) % len(self.ready)
            entry = self.ready[self._next]
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await curio.timeout_after(_CONNECT_TIMEOUT_S, sock.connect, split_address(entry))
            except (OSError, curio.TaskTimeout):
                await sock.close()
                continue
            return sock
        return None


async def _forward(source: Any, target: Any) -> None:
    try:
        while data := await source.recv(_CHUNK_BYTES):
            await target.sendall(data)
    except OSError:
        pass


async def run_balancer(settings: BalancerSettings) -> int:
    """Relay connections until SIGTERM or SIGINT; print the address first."""
    balancer = Balancer(settings)
    async with SignalQueue(signal.SIGTERM, signal.SIGINT) as signals:
        await balancer.start()
        print(f"balancer listens on {balancer.address}", flush=True)
        await signals.get()
        await balancer.stop()
    return 0
