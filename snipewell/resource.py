"""Resources that operators write: kinds, specs and status.

An operator writes a ``spec``; the system reports a ``status``. Every kind is a msgspec struct that
rejects unknown fields, so that a misspelt field is an error and not a default.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from .ids import ServiceName, TeamName, UpstreamId, ZoneId
from .message import Resources

PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]


class Kind(Enum):
    """Kinds of resources; the value is the plural used in paths and store keys."""

    SERVICE = "services"
    ZONE = "zones"
    UPSTREAM = "upstreams"
    TEAM = "teams"
    CONFIGURATION = "configurations"


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service: where its tasks may run, whether they are idempotent, and its limits.

    Empty ``zones`` or ``upstreams`` allow all. ``resources`` is what a task asks of a worker unless
    the submission says otherwise. Times are in milliseconds, sizes in bytes.
    """

    name: ServiceName
    idempotent: bool = False
    zones: list[ZoneId] = []
    upstreams: list[UpstreamId] = []
    deadline_ms: PositiveInt = 10_000
    max_tasks: PositiveInt = 1_300
    max_payload_bytes: PositiveInt = 65_536
    resources: Resources = Resources()
    expected_ms: PositiveInt = 200


class ZoneSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An availability zone, in or out of service."""

    name: ZoneId
    in_service: bool = True


class UpstreamSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An upstream, in service or leaving. An upstream without a resource is in service."""

    name: UpstreamId
    in_service: bool = True


class TeamSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team's quota: tasks waiting or running at once, and its share under contention."""

    name: TeamName
    max_tasks_in_flight: PositiveInt = 10_000
    weight: PositiveInt = 1


class ConfigurationSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings in force for the whole system; the one named ``default`` is used."""

    name: str = "default"
    resubmission_window_ms: PositiveInt = 600_000
    eject_share: Annotated[float, msgspec.Meta(ge=0, le=0.5)] = 0.3
    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1


Spec = ServiceSpec | ZoneSpec | UpstreamSpec | TeamSpec | ConfigurationSpec

SPEC_TYPES: dict[Kind, type[Spec]] = {
    Kind.SERVICE: ServiceSpec,
    Kind.ZONE: ZoneSpec,
    Kind.UPSTREAM: UpstreamSpec,
    Kind.TEAM: TeamSpec,
    Kind.CONFIGURATION: ConfigurationSpec,
}
