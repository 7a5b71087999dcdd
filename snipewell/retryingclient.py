"""HTTP client for the entries that retries safe requests with jittered exponential backoff."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from urllib.parse import quote

import curio

from .client import ExchangeError, HttpPool, NotSentError
from .clock import Clock, SystemClock
from .outcome import SnipewellError, Step
from .web import Request, Response


class UnreachableError(SnipewellError):
    """No request can have had an effect.

    No byte of any attempt has left this process, or the request was a read (`Watch`).
    """


class LostAnswerError(SnipewellError):
    """An attempt may have reached the cluster, but no response arrived in time."""


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Number of attempts, backoff and timeouts.

    The pause after attempt ``n``, counted from 0, is random, up to ``base_ms * 2**n`` and at most
    ``max_ms``; a ``Retry-After`` is added to it. An attempt may take ``grace_ms`` longer than half
    of the time left.
    """

    attempts: int = 6
    base_ms: float = 50
    max_ms: float = 2_000
    grace_ms: float = 3_000
    connect_ms: float = 1_000


@dataclass(frozen=True, slots=True)
class CallResult:
    """The last response; if ``lost``, an earlier attempt without one may have had an effect."""

    response: Response
    lost: bool


class RetryingClient:
    """Client that sends requests to entries or a load balancer, with retries and failover.

    After each attempt without a response, the next address is used. The requests must be
    idempotent: submissions with a key, or declarations of a desired state.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        headers: dict[str, str],
        limits: RetryLimits | None = None,
        clock: Clock | None = None,
        rng: Random | None = None,
        connections: int = 60,
    ) -> None:
        if not addresses:
            raise ValueError("expected at least one address")
        self.limits = limits or RetryLimits()
        self.clock = clock or SystemClock()
        self._headers = headers
        self._rng = rng or Random()
        self._pools = [HttpPool(address, connections, step=Step.EDGE) for address in addresses]
        self._next = 0

    @property
    def address(self) -> str:
        """Address of the next attempt."""
        return self._pools[self._next % len(self._pools)].address

    async def call(
        self,
        request: Request,
        time_ms: float,
        deadline_header: str = "",
        retry_statuses: Sequence[int] = (503,),
    ) -> CallResult:
        """Return the last response; retry after lost responses and ``retry_statuses``.

        ``time_ms`` is the time for all attempts together; the remaining time is sent in
        ``deadline_header``. An attempt times out after half of the remaining time, plus
        ``grace_ms``, because the connection may be broken without notice. Raises UnreachableError,
        or LostAnswerError if a response was lost and none followed.
        """
        end_ms = self.clock.now_ms() + time_ms
        request.headers = {**self._headers, **request.headers}
        lost, last_reason, response = False, "no time left", None
        for attempt in range(self.limits.attempts):
            left_ms = end_ms - self.clock.now_ms()
            if left_ms <= 0:
                break
            if deadline_header:
                request.headers[deadline_header] = str(max(1, int(left_ms)))
            pause_ms = 0.0
            try:
                pool = self._pools[self._next % len(self._pools)]
                response = await pool.request(request, left_ms / 2 + self.limits.grace_ms)
                if response.status not in retry_statuses:
                    return CallResult(response, lost)
                pause_ms = _retry_after_ms(response)
            except NotSentError as error:
                last_reason = error.reason
                self._next += 1
            except ExchangeError as error:
                # The response to an earlier attempt is not valid for this one.
                lost, last_reason, response = True, error.reason, None
                self._next += 1
            backoff_ms = min(self.limits.base_ms * 2**attempt, self.limits.max_ms)
            pause_ms += self._rng.uniform(0, backoff_ms)
            if attempt + 1 == self.limits.attempts or self.clock.now_ms() + pause_ms >= end_ms:
                break
            await curio.sleep(pause_ms / 1000)
        if response is not None:
            return CallResult(response, lost)
        raise (LostAnswerError if lost else UnreachableError)(Step.EDGE, self.address, last_reason)

    async def stream(self, request: Request, silence_ms: float) -> Response:
        """Return a response with its stream; raise NotSentError or ExchangeError.

        The stream fails after ``silence_ms`` without data.
        """
        request.headers = {**self._headers, **request.headers}
        pool = self._pools[self._next % len(self._pools)]
        return await pool.stream(request, self.limits.connect_ms, silence_ms)

    async def close(self) -> None:
        """Close the connections to all addresses."""
        for pool in self._pools:
            await pool.close()


def _retry_after_ms(response: Response) -> float:
    try:
        seconds = float(response.headers.get("retry-after", "0"))
    except ValueError:
        return 0.0
    return seconds * 1000 if math.isfinite(seconds) and 0 < seconds < 3_600 else 0.0


def escape(name: str) -> str:
    """Percent-encode ``name`` as one segment of a path."""
    return quote(name, safe="")
