"""The handler of clients' requests: finds the queue, decodes the job and encodes its outcome."""

from __future__ import annotations

from typing import Protocol

from ..daemon import SILENCE_MS
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
    split_path,
)

MAX_CLIENT_WAIT_MS = 600_000.0
"""Bound on the wait of a client that doesn't say how long it waits."""
CLIENT_LIMITS = ServerLimits(
    connections=3_000, body_bytes=1_048_576, idle_timeout_ms=120_000, silence_ms=SILENCE_MS
)
"""Connections stay below the 3,900 descriptors that the platform leaves for sockets."""


class Entry(Protocol):
    """What the handler needs of the entry."""

    @property
    def catalog(self) -> Catalog | None:
        """The catalog in force, None before the first."""
        ...

    @property
    def is_ready(self) -> bool:
        """Whether new connections should be sent here."""
        ...

    def count_pending(self, queue: QueueName) -> int:
        """Return the number of jobs of ``queue`` for which no task has started."""
        ...

    async def submit(self, queue: Queue, spec: JobSpec, client_wait_ms: float) -> JobOutcome:
        """Return the outcome of a job."""
        ...


class Front:
    """Serves the clients' and the balancer's requests."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry

    async def handle_readiness(self, request: Request) -> Response:
        """Answer the balancer's question."""
        return Response(200 if self._entry.is_ready else 503)

    async def handle(self, request: Request) -> Response:
        """Answer a client."""
        catalog = self._entry.catalog
        if catalog is None:
            return encode_error(503, "no configuration yet")
        host = request.headers.get("host", "").partition(":")[0].lower()
        queue = catalog.find(host, request.path)
        if queue is None:
            return encode_error(404, "no such queue")
        job = split_path(request.path, queue.path_prefix)
        match request.method:
            case "POST" if job is not None:
                return await self._submit(queue, job, request, catalog)
            case "GET" if request.path == queue.path_prefix:
                return encode_pending(self._entry.count_pending(queue.name))
            case "GET" | "DELETE" if job is not None:
                # Only jobs that are kept can be asked for, and none is.
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
        client_wait_ms = decode_client_wait_ms(request) or MAX_CLIENT_WAIT_MS
        return encode_outcome(await self._entry.submit(queue, spec, client_wait_ms))
