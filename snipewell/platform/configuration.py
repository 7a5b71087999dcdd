"""The operator's configuration: the keys under ``op/``, as the product's `Catalog` and zones."""

from __future__ import annotations

import msgspec

from ..desired import CatalogError, OperatorKeys
from ..ids import Revision, ServiceName
from ..job import Catalog, Queue, QueueName

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"


class _Route(msgspec.Struct):
    """A queue, which the platform calls a route. Of several names, only those used are listed."""

    name: str
    pathPrefix: str  # noqa: N815
    service: str
    host: str = ""
    priority: int = 0
    maxAttempts: int = 1  # noqa: N815
    stretchFactor: float = 1.0  # noqa: N815
    targetLatencyMs: float = 0.0  # noqa: N815
    recommendation: msgspec.Raw = msgspec.Raw(b"null")


class _Limits(msgspec.Struct, frozen=True):
    maxHeaderBytes: int = 16_384  # noqa: N815
    maxBodyBytes: int = 262_144  # noqa: N815


class _Configuration(msgspec.Struct):
    version: int | str
    routes: list[_Route]
    limits: _Limits = _Limits()


def decode_catalog(value: bytes, revision: Revision) -> Catalog:
    """Return the catalog stored under ``CONFIGURATION_KEY``; raise CatalogError."""
    try:
        configuration = msgspec.json.decode(value, type=_Configuration)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise CatalogError(str(error)) from error
    queues = tuple(_decode_queue(route) for route in configuration.routes)
    limits = configuration.limits
    return Catalog(
        revision, str(configuration.version), queues, limits.maxBodyBytes, limits.maxHeaderBytes
    )


def _decode_queue(route: _Route) -> Queue:
    advised = bytes(route.recommendation) not in (b"null", b"{}", b"")
    return Queue(
        QueueName(route.name),
        ServiceName(route.service),
        route.host.lower(),
        route.pathPrefix,
        route.priority,
        max(1, route.maxAttempts),
        route.stretchFactor,
        route.targetLatencyMs,
        "queues with recommendations" if advised else "",
    )


def evacuated_zone(key: str) -> str:
    """Return the availability zone that ``key`` takes out of service, empty for other keys."""
    return key.removeprefix(EVACUATION_PREFIX) if key.startswith(EVACUATION_PREFIX) else ""


OPERATOR_KEYS = OperatorKeys(OPERATOR_PREFIX, CONFIGURATION_KEY, decode_catalog, evacuated_zone)
"""What an entry follows."""
EVACUATION_KEYS = OperatorKeys(EVACUATION_PREFIX, CONFIGURATION_KEY, decode_catalog, evacuated_zone)
"""What an agent follows: the zones alone."""
