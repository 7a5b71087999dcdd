"""State of one agent as placement uses it on an entry."""

from __future__ import annotations

from dataclasses import dataclass

from .ids import AgentId, Incarnation, RackId, Revision, ServiceName, UpstreamId, ZoneId
from .message import Load, Resources


@dataclass(frozen=True, slots=True)
class AgentView:
    """State of one agent according to its last heartbeat.

    ``slots`` is the number of usable slots: fewer than the agent reported while its zone ramps up
    after it returned to service. ``load`` is the load that was reported at ``last_seen_ms`` on this
    entry's clock. ``services`` are the services that the upstream offers; empty means all.
    ``vm_resources`` are the resources of the VM. ``in_service`` is False while the agent's zone or
    upstream is out of service, or the agent is in backoff because it flapped.
    """

    agent: AgentId
    incarnation: Incarnation
    upstream: UpstreamId
    zone: ZoneId
    rack: RackId
    slots: int
    vm_resources: Resources
    services: frozenset[ServiceName]
    draining: bool
    load: Load
    in_service: bool
    last_seen_ms: float
    address: str = ""
    revision: Revision = Revision(0)

    def offers(self, service: ServiceName) -> bool:
        """Return whether the upstream offers ``service``; without a list it offers all."""
        return not self.services or service in self.services

    def can_run(self, service: ServiceName, resources: Resources) -> bool:
        """Return whether the agent may run tasks of ``service`` that request ``resources``.

        Its current load is not considered.
        """
        return (
            not self.draining
            and self.in_service
            and self.offers(service)
            and self.has_capacity_for(resources)
        )

    def eligibility_key(self) -> tuple[object, ...]:
        """Return the fields on which ``can_run`` depends, and the upstream, to detect changes."""
        return self.draining, self.in_service, self.services, self.vm_resources, self.upstream

    def has_capacity_for(self, resources: Resources) -> bool:
        """Return whether the VM has the requested ``resources`` when it is idle."""
        return fits(self.vm_resources, resources)


def fits(vm_resources: Resources, resources: Resources) -> bool:
    """Return whether a VM with ``vm_resources`` has the requested ``resources``.

    A VM that reports 0 cores or 0 MB of memory has not declared them, and that amount is not
    checked.
    """
    return (
        (not vm_resources.cores or resources.cores <= vm_resources.cores)
        and (not vm_resources.memory_mb or resources.memory_mb <= vm_resources.memory_mb)
        and resources.accelerators <= vm_resources.accelerators
    )
