"""The handler of the calls by which the upstream on this VM registers with its agent."""

from __future__ import annotations

from typing import Protocol

from ..log import Log
from ..upstreamcall import Upstream
from ..web import Request, Response
from .jobs import encode_error
from .upstream import RegistrationError, decode_heartbeat, split_registration


class Agent(Protocol):
    """What the handler needs of the agent."""

    async def on_upstream(self, upstream: Upstream) -> None:
        """Take in what the upstream says of itself."""
        ...

    async def on_upstream_gone(self, reason: str) -> None:
        """Take in that the upstream has left."""
        ...


class Registrar:
    """Takes heartbeats in order; one that was overtaken by a newer life or number is ignored."""

    def __init__(self, agent: Agent, log: Log) -> None:
        self._agent = agent
        self._log = log
        self._latest: tuple[int, str, int] = (-1, "", -1)
        """Birth, id and number of the newest heartbeat."""

    async def handle(self, request: Request) -> Response:
        """Answer an upstream's call."""
        named = split_registration(request.path)
        if named is None or request.method != "POST":
            return encode_error(404, "no such resource")
        upstream, call = named
        if call == "deregister":
            if upstream == self._latest[1]:
                await self._agent.on_upstream_gone("it has left")
            return Response.from_json(200, {})
        try:
            described, sequence = decode_heartbeat(upstream, request.body)
        except RegistrationError as error:
            self._log.error(
                "upstream", "heartbeat can't be read", upstream=upstream, why=str(error)
            )
            return encode_error(400, str(error))
        if self._is_overtaken(described, sequence):
            self._log.info("upstream", "late heartbeat ignored", upstream=upstream)
            return Response.from_json(200, {})
        self._latest = (described.born_ms, upstream, sequence)
        await self._agent.on_upstream(described)
        return Response.from_json(200, {})

    def _is_overtaken(self, described: Upstream, sequence: int) -> bool:
        born_ms, upstream, latest = self._latest
        if described.born_ms != born_ms:
            return described.born_ms < born_ms
        return described.upstream == upstream and sequence <= latest
