"""HTTP handler of the registration calls that the upstream on this VM makes to its agent."""

from __future__ import annotations

from typing import Protocol

from ..log import Log
from ..upstreamcall import Upstream
from ..web import Request, Response
from .jobs import encode_error
from .upstream import RegistrationError, decode_heartbeat, parse_registration_path


class Agent(Protocol):
    """Interface of the agent that the handler depends on."""

    async def on_heartbeat(self, upstream: Upstream) -> None:
        """Process a heartbeat, which describes the upstream."""
        ...

    async def on_deregistration(self, reason: str) -> None:
        """Process the deregistration of the upstream."""
        ...


class Registrar:
    """Handles registration calls and keeps heartbeats in order.

    A heartbeat that arrives after one of a newer incarnation or with a higher sequence number is
    ignored.
    """

    def __init__(self, agent: Agent, log: Log) -> None:
        self._agent = agent
        self._log = log
        self._newest: tuple[int, str, int] = (-1, "", -1)
        """Start time (``born``), ID and sequence number of the newest heartbeat."""

    async def handle(self, request: Request) -> Response:
        """Respond to a heartbeat or a deregistration."""
        named = parse_registration_path(request.path)
        if named is None or request.method != "POST":
            return encode_error(404, "no such resource")
        upstream, call = named
        if call == "deregister":
            if upstream == self._newest[1]:
                await self._agent.on_deregistration("it has left")
            return Response.from_json(200, {})
        try:
            description, sequence = decode_heartbeat(upstream, request.body)
        except RegistrationError as error:
            self._log.error("upstream", "malformed heartbeat", upstream=upstream, why=str(error))
            return encode_error(400, str(error))
        if self._is_stale(description, sequence):
            self._log.info("upstream", "stale heartbeat ignored", upstream=upstream)
            return Response.from_json(200, {})
        self._newest = (description.born_ms, upstream, sequence)
        await self._agent.on_heartbeat(description)
        return Response.from_json(200, {})

    def _is_stale(self, description: Upstream, sequence: int) -> bool:
        born_ms, upstream, newest_sequence = self._newest
        if description.born_ms != born_ms:
            return description.born_ms < born_ms
        return description.upstream == upstream and sequence <= newest_sequence
