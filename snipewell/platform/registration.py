"""HTTP handler of the registration calls that the upstream on this VM makes to its agent."""

from __future__ import annotations

from collections import OrderedDict
from typing import Protocol

from ..ids import UpstreamId
from ..log import Log
from ..upstreamcall import Upstream
from ..web import Request, Response
from .jobs import encode_error
from .upstream import (
    ExpectedUpstream,
    RegistrationError,
    decode_heartbeat,
    parse_registration_path,
)

MAX_ORDERED_INCARNATIONS = 16
"""Number of incarnations whose heartbeats are kept in order. Heartbeats of an earlier incarnation
may be delayed by seconds, in which few others start."""


class Agent(Protocol):
    """Interface of the agent that the handler depends on."""

    async def on_heartbeat(self, upstream: Upstream) -> None:
        """Process a heartbeat, which describes the upstream."""
        ...

    async def on_deregistration(self, upstream: UpstreamId, reason: str) -> None:
        """Process the deregistration of ``upstream``."""
        ...


class Registrar:
    """Handles registration calls and keeps the heartbeats of each incarnation in order.

    A heartbeat that arrives after one of the same incarnation with a higher sequence number is
    ignored. Which incarnation is the present one is up to the agent.
    """

    def __init__(self, agent: Agent, log: Log, expected: ExpectedUpstream | None = None) -> None:
        self._agent = agent
        self._log = log
        self._expected = expected or ExpectedUpstream()
        self._sequences: OrderedDict[tuple[UpstreamId, int], int] = OrderedDict()
        """Highest sequence number by ID and start time (``born``) of the latest incarnations."""

    async def handle(self, request: Request) -> Response:
        """Respond to a heartbeat or a deregistration."""
        named = parse_registration_path(request.path)
        if named is None or request.method != "POST":
            return encode_error(404, "no such resource")
        upstream, call = named
        if call == "deregister":
            await self._agent.on_deregistration(UpstreamId(upstream), "it has left")
            return Response.from_json(200, {})
        try:
            description, sequence = decode_heartbeat(upstream, request.body, self._expected)
        except RegistrationError as error:
            self._log.error("upstream", "malformed heartbeat", upstream=upstream, why=str(error))
            return encode_error(400, str(error))
        if self._is_stale(description, sequence):
            self._log.info("upstream", "stale heartbeat ignored", upstream=upstream)
            return Response.from_json(200, {})
        await self._agent.on_heartbeat(description)
        return Response.from_json(200, {})

    def _is_stale(self, description: Upstream, sequence: int) -> bool:
        """Return whether a later heartbeat of the incarnation was seen; else record this one."""
        incarnation = (description.upstream, description.born_ms)
        if sequence <= self._sequences.get(incarnation, -1):
            return True
        self._sequences[incarnation] = sequence
        self._sequences.move_to_end(incarnation)
        if len(self._sequences) > MAX_ORDERED_INCARNATIONS:
            self._sequences.popitem(last=False)
        return False
