"""What an entry knows of one agent: the input to placement."""

from __future__ import annotations

from dataclasses import dataclass

from .ids import AgentId, Incarnation, RackId, Revision, ServiceName, UpstreamId, ZoneId
from .message import Load, Resources


@dataclass(frozen=True, slots=True)
class AgentView:
    """One agent as last heard from.

    ``slots`` is what may be used now: fewer than the agent announced while its zone returns.
    ``load`` is what the agent reported at ``last_seen_ms`` on this entry's clock. ``services`` is
    what the upstream offers; empty means all. ``in_service`` is False while the agent's
    zone or upstream is out of service.
    """

    agent: AgentId
    incarnation: Incarnation
    upstream: UpstreamId
    zone: ZoneId
    rack: RackId
    slots: int
    worker: Resources
    services: frozenset[ServiceName]
    draining: bool
    load: Load
    in_service: bool
    last_seen_ms: float
    address: str = ""
    revision: Revision = Revision(0)

    def offers(self, service: ServiceName) -> bool:
        """Return whether the upstream offers ``service``."""
        return not self.services or service in self.services

    def can_take(self, service: ServiceName, resources: Resources) -> bool:
        """Return whether the agent may get tasks of ``service`` at all."""
        return (
            not self.draining
            and self.in_service
            and self.offers(service)
            and self.has_room_for(resources)
        )

    def traits(self) -> tuple[object, ...]:
        """Return the part of the view that decides what the agent can take."""
        return self.draining, self.in_service, self.services, self.worker, self.upstream

    def has_room_for(self, resources: Resources) -> bool:
        """Return whether the worker, when idle, has what ``resources`` asks for."""
        return fits(self.worker, resources)


def fits(worker: Resources, resources: Resources) -> bool:
    """Return whether ``worker`` has what ``resources`` asks for.

    A worker that reports no cores or no memory has not declared them and is not checked.
    """
    return (
        (not worker.cores or resources.cores <= worker.cores)
        and (not worker.memory_mb or resources.memory_mb <= worker.memory_mb)
        and resources.accelerators <= worker.accelerators
    )
