"""Resources that operators write: kinds, specs and status.

An operator writes a ``spec``; the system reports a ``status``. Every spec is a msgspec struct that
rejects unknown fields, so that a misspelt field is an error and does not silently become a default.
"""

from __future__ import annotations

import math
import re
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
    """A service: the zones and upstreams of its tasks, their idempotency, and its limits.

    Empty ``zones`` or ``upstreams`` allow all. ``resources`` are the amounts that a task requests
    of a VM unless the submission states others. Times are in milliseconds, sizes in bytes.
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
    """An upstream, in service or draining. An upstream without a resource is in service."""

    name: UpstreamId
    in_service: bool = True


class TeamSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client account's quota.

    ``max_tasks_in_flight`` bounds its tasks that wait or run at the same time; ``weight`` is its
    share under contention.
    """

    name: TeamName
    max_tasks_in_flight: PositiveInt = 10_000
    weight: PositiveInt = 1


class ConfigurationSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings in force for the whole system; only the resource named ``default`` is used."""

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


class Condition(msgspec.Struct, frozen=True):
    """One condition of a resource, such as ``InForce``, with the reason if it is not true."""

    type: str
    status: bool
    reason: str = ""


class Status(msgspec.Struct, frozen=True):
    """Observed status of a resource.

    ``entries_at_revision`` and ``agents_at_revision`` count the voters and live agents that have
    the resource's revision or a later one, out of ``entries`` and ``agents``. The entry that
    answers counts those from which it has received a report.
    """

    observed_generation: int
    conditions: list[Condition]
    entries_at_revision: int
    entries: int
    agents_at_revision: int
    agents: int


class Document(msgspec.Struct, frozen=True):
    """A resource as the API returns it.

    A client sends ``resource_version`` back with its next write, which then fails if another write
    came first.
    """

    kind: Kind
    name: str
    resource_version: int
    generation: int
    spec: msgspec.Raw
    status: Status | None = None


class SpecError(Exception):
    """A spec is invalid; ``field`` is the dotted path of the invalid field."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}" if field else reason)
        self.field = field
        self.reason = reason


def parse_spec(kind: Kind, value: object) -> Spec:
    """Convert ``value``, a JSON value as Python objects, to a spec of ``kind``.

    Raises SpecError, which names the invalid field and the expected value.
    """
    try:
        spec = msgspec.convert(value, SPEC_TYPES[kind])
    except msgspec.ValidationError as error:
        raise split_error(error) from None
    if re.match(NAME_PATTERN, spec.name) is None:
        raise SpecError("name", f"expected 1 to 63 of a-z, 0-9 and -, got {spec.name[:80]!r}")
    if isinstance(spec, ConfigurationSpec) and spec.name != "default":
        raise SpecError("name", f"expected 'default', the one that is used, got {spec.name!r}")
    if isinstance(spec, ServiceSpec):
        requested = spec.resources
        for name in ("cores", "memory_mb", "accelerators"):
            amount = getattr(requested, name)
            if not math.isfinite(amount) or amount < 0:
                raise SpecError(f"resources.{name}", f"expected at least 0, got {amount}")
    return spec


def split_error(error: msgspec.ValidationError) -> SpecError:
    """Convert msgspec's error to a SpecError with the field as a dotted path."""
    reason, _, path = str(error).partition(" - at ")
    field = path.strip("`").removeprefix("$").removeprefix(".")
    named = re.search(r"(?:unknown|required) field `(\w+)`", reason)
    if named is not None:
        field = f"{field}.{named[1]}" if field else named[1]
    return SpecError(field, reason[:1].lower() + reason[1:])
