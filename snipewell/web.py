"""HTTP requests and responses as data classes, shared by the server and the client."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import msgspec

_json = msgspec.json.Encoder()


@dataclass(slots=True)
class Request:
    """One HTTP request with its whole body.

    ``path`` excludes the query; header names are lower-case; ``peer`` is the ``host:port`` of the
    other end.
    """

    method: str
    path: str
    query: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    peer: str = ""


@dataclass(slots=True)
class Response:
    """One HTTP response: a whole ``body``, or a ``stream`` of parts sent with chunked encoding."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    stream: AsyncIterator[bytes] | None = None

    @classmethod
    def from_json(
        cls, status: int, value: object, headers: dict[str, str] | None = None
    ) -> Response:
        """Return a response whose body is ``value`` as JSON; msgspec structs are accepted."""
        return cls(
            status, {"content-type": "application/json", **(headers or {})}, _json.encode(value)
        )
