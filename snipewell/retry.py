"""Retries that cannot add much load: a budget tied to new work, and jittered backoff."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from .ids import ServiceName


class RetryBudget:
    """Allows retries up to ``ratio`` of new work, plus a small reserve when there is little.

    Without a budget, retries multiply the load exactly when upstreams fail because of it.
    """

    def __init__(self, ratio: float, reserve: float = 10.0) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def set_ratio(self, ratio: float) -> None:
        """Use another ratio of retries to new work."""
        self._ratio = ratio

    def on_new_work(self, tasks: int = 1) -> None:
        """Count ``tasks`` that were admitted for the first time."""
        self._tokens = min(self._reserve + 100 * self._ratio, self._tokens + self._ratio * tasks)

    def take(self) -> bool:
        """Return whether one retry may happen now, and count it if so."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryBudgets:
    """One budget for each service, so that a failing service leaves the others theirs."""

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def set_ratio(self, ratio: float) -> None:
        """Use another ratio of retries to new work for all services."""
        self._ratio = ratio
        for budget in self._budgets.values():
            budget.set_ratio(ratio)

    def on_new_work(self, service: ServiceName, tasks: int = 1) -> None:
        """Count ``tasks`` of ``service`` that were admitted for the first time."""
        self._of(service).on_new_work(tasks)

    def take(self, service: ServiceName) -> bool:
        """Return whether one retry of ``service`` may happen now, and count it if so."""
        return self._of(service).take()

    def _of(self, service: ServiceName) -> RetryBudget:
        return self._budgets.setdefault(service, RetryBudget(self._ratio))


@dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential backoff between ``base_ms`` and ``max_ms`` with full jitter."""

    base_ms: float = 20.0
    max_ms: float = 5_000.0

    def delay_ms(self, attempt: int, rng: Random) -> float:
        """Return the wait before retry ``attempt`` (the first is 1), in milliseconds.

        The wait is uniform between half and the whole of the exponential bound: the lower half is
        left out because an immediate retry meets the same fault.
        """
        bound = min(self.max_ms, self.base_ms * 2.0 ** (min(attempt, 30) - 1))
        return rng.uniform(bound / 2, bound)
