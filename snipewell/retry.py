"""Retry budgets proportional to new work, and exponential backoff with jitter."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from .ids import ServiceName


class RetryBudget:
    """Token bucket that limits retries to a ``ratio`` of new work plus a small reserve.

    The reserve allows retries when there is little new work. Beyond it, the bucket holds at most
    the tokens of 100 new tasks. Without a budget, retries would multiply the load just when
    upstreams fail because of overload.
    """

    def __init__(self, ratio: float, reserve: float = 10.0) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def set_ratio(self, ratio: float) -> None:
        """Change the ratio of retries to new work."""
        self._ratio = ratio

    def on_new_work(self, tasks: int = 1) -> None:
        """Count ``tasks`` that were admitted for the first time."""
        self._tokens = min(self._reserve + 100 * self._ratio, self._tokens + self._ratio * tasks)

    def take(self) -> bool:
        """Consume a token for one retry; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryBudgets:
    """One retry budget for each service, so that a failing service cannot use up the others'."""

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def set_ratio(self, ratio: float) -> None:
        """Change the ratio of retries to new work for all services."""
        self._ratio = ratio
        for budget in self._budgets.values():
            budget.set_ratio(ratio)

    def on_new_work(self, service: ServiceName, tasks: int = 1) -> None:
        """Count ``tasks`` of ``service`` that were admitted for the first time."""
        self._of(service).on_new_work(tasks)

    def take(self, service: ServiceName) -> bool:
        """Consume a token for one retry of ``service``; return False if there is none."""
        return self._of(service).take()

    def _of(self, service: ServiceName) -> RetryBudget:
        return self._budgets.setdefault(service, RetryBudget(self._ratio))


@dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential backoff from ``base_ms`` up to ``max_ms``, with jitter over the upper half."""

    base_ms: float = 20.0
    max_ms: float = 5_000.0

    def delay_ms(self, attempt: int, rng: Random) -> float:
        """Return the delay before retry ``attempt`` (the first is 1), in milliseconds.

        The delay is uniformly distributed between half of the exponential bound and the bound. The
        lower half is excluded because an immediate retry would meet the same fault.
        """
        bound = min(self.max_ms, self.base_ms * 2.0 ** (min(attempt, 30) - 1))
        return rng.uniform(bound / 2, bound)
