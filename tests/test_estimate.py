from __future__ import annotations

from random import Random

import pytest

from snipewell.estimate import Estimator
from snipewell.ids import ServiceName, UpstreamId

DYE, BOOK = ServiceName("dye-test"), ServiceName("book")
FAST, SLOW = UpstreamId("fast"), UpstreamId("slow")


def add_samples(estimator: Estimator, count: int, seed: int = 1) -> float:
    """Add samples of 100 to 300 ms on ``FAST`` and twice that on ``SLOW``; return the time.

    On ``FAST``, 2% of the tasks take 2 to 5 s.
    """
    rng = Random(seed)
    now = 0.0
    for _ in range(count):
        now += 10
        task_ms = rng.uniform(2_000, 5_000) if rng.random() < 0.02 else rng.uniform(100, 300)
        estimator.learn(DYE, FAST, task_ms, now)
        estimator.learn(DYE, SLOW, 2 * rng.uniform(100, 300), now)
    return now


def test_wrong_declared_time_is_ignored_after_a_few_samples() -> None:
    """Guards against wrong declared times that affect placement for long."""
    estimator = Estimator()
    estimator.declare({DYE: 60_000})
    assert estimator.expect_ms(DYE, FAST, 0.0) == 60_000
    for _ in range(5):
        estimator.learn(DYE, FAST, 200.0, 1.0)
    assert estimator.expect_ms(DYE, FAST, 100.0) == pytest.approx(200, rel=0.1)


def test_few_long_tasks_hardly_change_the_slowness_of_an_upstream() -> None:
    """Guards against ranking upstreams by the number of long tasks that they happened to get."""
    estimator = Estimator()
    now = add_samples(estimator, 100)
    ratio = estimator.factor(SLOW, now)[0] / estimator.factor(FAST, now)[0]
    assert ratio == pytest.approx(2.0, rel=0.2)


def test_pair_without_samples_is_estimated_from_its_upstream() -> None:
    """Guards against sending a new service to slow upstreams until it has samples there too."""
    estimator = Estimator()
    now = add_samples(estimator, 100)
    estimator.learn(BOOK, FAST, 50.0, now)
    assert estimator.expect_ms(BOOK, SLOW, now) > 1.5 * estimator.expect_ms(BOOK, FAST, now)


def test_slow_upstream_without_recent_samples_is_tried_again() -> None:
    """Guards against never detecting that a slow upstream has recovered.

    Without recent samples it counts as an average one, which is slower than ``FAST``.
    """
    estimator = Estimator()
    now = add_samples(estimator, 20)
    before = estimator.expect_ms(DYE, SLOW, now) / estimator.expect_ms(DYE, FAST, now)
    for step in range(400):
        estimator.learn(DYE, FAST, 200.0, now + 300 * step)
    later = now + 120_000
    after = estimator.expect_ms(DYE, SLOW, later) / estimator.expect_ms(DYE, FAST, later)
    assert after < 1.4 < 1.8 < before


def test_overdue_tasks_raise_the_estimate_before_they_end() -> None:
    """Guards against a straggler getting more work until its first results arrive."""
    estimator = Estimator()
    now = add_samples(estimator, 20)
    before = estimator.expect_ms(DYE, FAST, now)
    for _ in range(4):
        estimator.learn_overdue(DYE, FAST, 2_000.0, now)
    assert estimator.expect_ms(DYE, FAST, now + 60) > 1.3 * before
