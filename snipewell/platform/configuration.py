"""Decoder of the operator's keys under ``op/``: the `Catalog` and the zones out of service."""

from __future__ import annotations

import msgspec

from ..decoding import decode_json
from ..desiredstate import CatalogError, OperatorKeys
from ..errors import MessageError
from ..ids import Revision, ServiceName
from ..job import Catalog, Queue, QueueName

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
"""Prefix of the keys ``op/evacuate/ZONE``; each takes one availability zone out of service."""


class _Route(msgspec.Struct):
    """A queue, which the platform calls a route.

    Only the fields that the product uses are declared; the decoder ignores the others.
    """

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
    """Decode the catalog stored under ``CONFIGURATION_KEY``.

    Raise CatalogError if ``value`` is malformed.
    """
    try:
        configuration = decode_json(value, _Configuration)
    except MessageError as error:
        raise CatalogError(str(error)) from error
    queues = tuple(_decode_queue(route) for route in configuration.routes)
    limits = configuration.limits
    return Catalog(
        revision, str(configuration.version), queues, limits.maxBodyBytes, limits.maxHeaderBytes
    )


def _decode_queue(route: _Route) -> Queue:
    has_recommendation = bytes(route.recommendation) not in (b"null", b"{}", b"")
    return Queue(
        QueueName(route.name),
        ServiceName(route.service),
        route.host.lower(),
        route.pathPrefix,
        route.priority,
        max(1, route.maxAttempts),
        route.stretchFactor,
        route.targetLatencyMs,
        "queues with recommendations" if has_recommendation else "",
    )


def zone_out_of_service(key: str) -> str:
    """Return the zone that ``key`` takes out of service, or an empty string for other keys."""
    return key.removeprefix(EVACUATION_PREFIX) if key.startswith(EVACUATION_PREFIX) else ""


OPERATOR_KEYS = OperatorKeys(
    OPERATOR_PREFIX, CONFIGURATION_KEY, decode_catalog, zone_out_of_service
)
"""Keys that an entry watches: the catalog and the availability zones out of service."""
ZONE_KEYS = OperatorKeys(EVACUATION_PREFIX, CONFIGURATION_KEY, decode_catalog, zone_out_of_service)
"""Keys that an agent watches: the availability zones out of service alone."""
