from __future__ import annotations

from random import Random

from snipewell.retry import Backoff, RetryBudget


def test_retries_stay_within_the_budget() -> None:
    """Guards against retries multiplying the load when all tasks fail."""
    budget = RetryBudget(0.1, reserve=5.0)
    retried = 0
    for _ in range(1_000):
        budget.on_new_work()
        retried += budget.take()
    assert retried <= 105


def test_backoff_grows_to_its_limit_with_jitter() -> None:
    """Guards against clients retrying in step, and against overflow after many attempts."""
    rng = Random(9)
    backoff = Backoff(20.0, 5_000.0)
    assert all(10 <= backoff.delay_ms(1, rng) <= 20 for _ in range(50))
    late = [backoff.delay_ms(5_000, rng) for _ in range(50)]
    assert min(late) >= 2_500 and max(late) <= 5_000 and len(set(late)) > 40
