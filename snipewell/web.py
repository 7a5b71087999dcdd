"""Data classes for HTTP requests and responses, shared by the server and the client."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import msgspec

_json = msgspec.json.Encoder()


@dataclass(slots=True)
class Request:
    """An HTTP request with its complete body.

    ``path`` excludes the query; header names are lower-case; ``peer`` is the ``host:port`` of the
    client.
    """

    method: str
    path: str
    query: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    peer: str = ""


@dataclass(slots=True)
class Response:
    """An HTTP response: a complete ``body``, or a ``stream`` of parts sent in chunked encoding."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    stream: AsyncIterator[bytes] | None = None

    @classmethod
    def from_json(
        cls, status: int, value: object, headers: dict[str, str] | None = None
    ) -> Response:
        """Return a response with ``value`` encoded as JSON; ``value`` may be a msgspec struct."""
        return cls(
            status, {"content-type": "application/json", **(headers or {})}, _json.encode(value)
        )
