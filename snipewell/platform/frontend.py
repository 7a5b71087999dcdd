"""HTTP handler of client requests: finds the queue, decodes the job and encodes its outcome."""

from __future__ import annotations

from typing import Protocol

from ..daemon import KEEPALIVE_TIMEOUT_MS
from ..job import Catalog, JobId, JobOutcome, JobSpec, Queue, QueueName
from ..server import ServerLimits
from ..web import Request, Response
from .jobs import (
    JobFormatError,
    decode_client_wait_ms,
    decode_job,
    encode_error,
    encode_outcome,
    encode_pending,
    parse_job_path,
)

DEFAULT_CLIENT_WAIT_MS = 600_000.0
"""How long a client waits for the outcome of its job, if its request doesn't state it."""
CLIENT_LIMITS = ServerLimits(
    connections=3_000,
    body_bytes=1_048_576,
    idle_timeout_ms=120_000,
    keepalive_timeout_ms=KEEPALIVE_TIMEOUT_MS,
)
"""Limits of the server for clients. The connections stay below the 3,900 file descriptors that the
platform leaves for sockets."""


class Entry(Protocol):
    """Interface of the entry that the handler depends on."""

    @property
    def catalog(self) -> Catalog | None:
        """Catalog in force, or None until the first one has been read."""
        ...

    @property
    def is_ready(self) -> bool:
        """True if the balancer should route new connections to this entry."""
        ...

    def count_pending(self, queue: QueueName) -> int:
        """Return the number of jobs of ``queue`` of which no task has started."""
        ...

    async def submit(self, queue: Queue, spec: JobSpec, client_wait_ms: float) -> JobOutcome:
        """Schedule a job and return its outcome."""
        ...


class Frontend:
    """HTTP handlers for clients and for the readiness checks of the balancer."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry

    async def handle_readiness(self, request: Request) -> Response:
        """Respond to a readiness check: 200 if the entry is ready, otherwise 503."""
        return Response(200 if self._entry.is_ready else 503)

    async def handle(self, request: Request) -> Response:
        """Respond to a client: submit a job, or count the pending jobs of a queue."""
        catalog = self._entry.catalog
        if catalog is None:
            return encode_error(503, "no configuration yet")
        host = request.headers.get("host", "").partition(":")[0].lower()
        queue = catalog.find(host, request.path)
        if queue is None:
            return encode_error(404, "no such queue")
        job = parse_job_path(request.path, queue.path_prefix)
        match request.method:
            case "POST" if job is not None:
                return await self._submit(queue, job, request, catalog)
            case "GET" if request.path == queue.path_prefix:
                return encode_pending(self._entry.count_pending(queue.name))
            case "GET" | "DELETE" if job is not None:
                # Only durable jobs can be queried or cancelled, and this version accepts none.
                return encode_error(410, "no such job")
        return encode_error(404, "no such resource")

    async def _submit(
        self, queue: Queue, job: JobId, request: Request, catalog: Catalog
    ) -> Response:
        if len(request.body) > catalog.max_body_bytes:
            return encode_error(413, f"body: expected at most {catalog.max_body_bytes} bytes")
        try:
            spec = decode_job(job, request.body)
        except JobFormatError as error:
            return encode_error(400, str(error))
        client_wait_ms = decode_client_wait_ms(request) or DEFAULT_CLIENT_WAIT_MS
        return encode_outcome(await self._entry.submit(queue, spec, client_wait_ms))
