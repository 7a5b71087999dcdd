"""A complete system on loopback in one curio kernel, for tests, demo and benchmarks.

It runs the real entries and agents with stand-ins for the store, the upstreams and the balancer,
each on a free port.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import curio
import msgspec

from ..agentd import AgentDaemon
from ..client import HttpPool
from ..entryd import EntryDaemon
from ..log import Log
from ..outcome import Step
from ..settings import (
    AgentSettings,
    BalancerSettings,
    EntrySettings,
    LogSettings,
    StoreSettings,
    UpstreamSettings,
)
from ..web import Request, Response
from .balancer import Balancer
from .store import StoreServer, StoreStandIn
from .upstream import Upstream

HOST = "127.0.0.1"
_READY_TIMEOUT_S = 20.0


class Cluster:
    """A cluster of entries, agents and upstreams, with a store and a load balancer.

    For example ``cluster = Cluster([entry_settings("e1", "zone-c")], [agent_settings("a1",
    "zone-c")])``, then ``await cluster.start()``, ``await cluster.put("zones", "zone-c", {})`` and
    ``await cluster.request(Request("GET", "/readyz"))``. Addresses in the settings are filled in
    on start; each agent gets an upstream with the name in its settings.
    """

    def __init__(
        self,
        entries: Sequence[EntrySettings],
        agents: Sequence[AgentSettings] = (),
        upstreams: Sequence[UpstreamSettings] = (),
        store: StoreSettings | None = None,
        log: Callable[[str], Log] | None = None,
    ) -> None:
        self._entry_settings = {settings.name: settings for settings in entries}
        self._agent_settings = {settings.name: settings for settings in agents}
        self._upstream_settings = {settings.name: settings for settings in upstreams}
        self._new_log = log or (lambda name: Log())
        settings = store or StoreSettings(host=HOST, port=0)
        self.store = StoreStandIn(settings=settings)
        self._store_server = StoreServer(self.store, settings.host, settings.port)
        self._store_task: curio.Task | None = None
        self.entries: dict[str, EntryDaemon] = {}
        self.agents: dict[str, AgentDaemon] = {}
        self._agent_tasks: dict[str, curio.Task] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.balancer = Balancer(BalancerSettings(host=HOST, port=0, check_interval_ms=50))
        self._pool: HttpPool | None = None

    async def start(self) -> None:
        """Start all daemons and stand-ins; return when they are connected.

        That is the case when the balancer uses every entry, and the membership of every entry
        includes all agents and entries. Raises TimeoutError if either takes longer than 20 s.
        """
        await self._store_server.start()
        self._store_task = await curio.spawn(self._store_server.run)
        for name in self._entry_settings:
            await self.start_entry(name)
        await self.balancer.start()
        self._pool = HttpPool(self.balancer.address, 500, step=Step.EDGE)
        await self.wait_until(lambda: len(self.balancer.ready) == len(self.entries), "entries")
        for name in self._agent_settings:
            await self.start_agent(name)
        await self.wait_until(self.is_membership_complete, "agents")

    def is_membership_complete(self) -> bool:
        """Return whether every entry has all agents and all entries in its membership."""
        return all(
            len(daemon.core.membership) == len(self.agents)
            and len(daemon.core.entries) == len(self.entries)
            for daemon in self.entries.values()
        )

    async def stop(self, grace_ms: float = 10_000) -> int:
        """Stop all daemons and stand-ins, the entries gracefully.

        Return how many requests were aborted.
        """
        aborted = 0
        for name in list(self.entries):
            aborted += await self.stop_entry(name, grace_ms)
        for name in list(self.agents):
            await self.kill_agent(name)
        for upstream in self.upstreams.values():
            await upstream.stop()
        await self.balancer.stop()
        if self._pool is not None:
            await self._pool.close()
        if self._store_task is not None:
            await self._store_task.cancel()
        return aborted

    async def start_entry(self, name: str) -> EntryDaemon:
        """Start the entry ``name``, or restart it after it was stopped or killed."""
        host, port = self._store_server.address
        settings = msgspec.structs.replace(self._entry_settings[name], store=f"{host}:{port}")
        daemon = EntryDaemon(settings, log=self._new_log(name))
        await daemon.start()
        self.entries[name] = daemon
        self._update_balancer()
        return daemon

    async def stop_entry(self, name: str, grace_ms: float = 10_000) -> int:
        """Stop an entry gracefully; return how many requests were aborted."""
        aborted = await self.entries[name].drain(grace_ms)
        del self.entries[name]
        self._update_balancer()
        return aborted

    async def kill_entry(self, name: str) -> None:
        """Stop an entry without notifying any other daemon, to simulate a crash."""
        await self.entries.pop(name).kill()

    async def start_agent(self, name: str) -> AgentDaemon:
        """Start the agent ``name``, and its upstream if that is not running."""
        settings = self._agent_settings[name]
        if settings.upstream not in self.upstreams:
            default = UpstreamSettings(name=settings.upstream, host=HOST, port=0)
            upstream = Upstream(self._upstream_settings.get(settings.upstream, default))
            await upstream.start()
            self.upstreams[settings.upstream] = upstream
        settings = msgspec.structs.replace(
            settings,
            balancer=self.balancer.address,
            upstream_address=self.upstreams[settings.upstream].address,
        )
        daemon = AgentDaemon(settings, self._new_log(name))
        self.agents[name] = daemon
        self._agent_tasks[name] = await curio.spawn(daemon.run)
        return daemon

    async def stop_agent(self, name: str) -> int:
        """Stop an agent gracefully; return how many upstream calls were aborted."""
        daemon = self.agents.pop(name)
        daemon.stop()
        await self._agent_tasks.pop(name).join()
        return daemon.aborted_calls

    async def kill_agent(self, name: str) -> None:
        """Cancel the task of an agent at once; its upstream keeps running."""
        del self.agents[name]
        await self._agent_tasks.pop(name).cancel()

    async def request(self, request: Request, timeout_ms: float = 30_000) -> Response:
        """Send one request through the balancer; raise NotSentError or ExchangeError."""
        assert self._pool is not None
        return await self._pool.request(request, timeout_ms)

    async def put(self, kind: str, name: str, spec: dict[str, object]) -> Response:
        """Write a resource as an operator; the response has status 200 once it is in force."""
        body = msgspec.json.encode({"spec": spec})
        return await self.request(Request("PUT", f"/v1/{kind}/{name}", body=body))

    async def wait_until(self, condition: Callable[[], bool], awaited: str) -> None:
        """Wait until ``condition`` is true; raise TimeoutError with ``awaited`` after 20 s."""
        for _ in range(int(_READY_TIMEOUT_S / 0.01)):
            if condition():
                return
            await curio.sleep(0.01)
        raise TimeoutError(f"not ready after {_READY_TIMEOUT_S:g} s: {awaited}")

    def _update_balancer(self) -> None:
        self.balancer.set_entries([daemon.http_address for daemon in self.entries.values()])


def agent_settings(name: str, zone: str, **changes: object) -> AgentSettings:
    """Return settings of an agent with its own upstream; ``changes`` override single fields."""
    settings = AgentSettings(
        name=name,
        zone=zone,
        rack=f"{zone}-r1",
        host=HOST,
        upstream=f"u-{name}",
        upstream_address=f"{HOST}:1",
        balancer=f"{HOST}:1",
        services=["resize"],
        log=LogSettings(level="off"),
    )
    return msgspec.structs.replace(settings, **changes)


def entry_settings(name: str, zone: str, **changes: object) -> EntrySettings:
    """Return settings of an entry on free loopback ports; ``changes`` override single fields."""
    settings = EntrySettings(
        name=name,
        zone=zone,
        host=HOST,
        store=f"{HOST}:1",
        http_port=0,
        message_port=0,
        drain_settle_ms=100,
        log=LogSettings(level="off"),
    )
    return msgspec.structs.replace(settings, **changes)
