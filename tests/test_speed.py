"""Guards against tasks on an upstream that became slow, and against one wrong estimate."""

from __future__ import annotations

from random import Random

from snipewell.speed import SAMPLE_LIFETIME_MS, SlownessEstimator


def test_an_unknown_upstream_counts_as_ordinary() -> None:
    assert SlownessEstimator().slowness([], 0.0) == 1.0


def test_runs_in_progress_show_an_upstream_that_turned_slow_before_any_ends() -> None:
    """Runs that take six times as long would end only seconds later."""
    speed = SlownessEstimator()
    for number in range(12):
        speed.add_sample(1.0, float(number))
    assert speed.slowness([6.0] * 10, 100.0) > 4.0


def test_one_job_with_a_bad_estimate_does_not_make_an_upstream_slow() -> None:
    speed = SlownessEstimator()
    for ratio in (1.0, 1.1, 5.0, 0.9):
        speed.add_sample(ratio, 0.0)
    assert speed.slowness([], 1.0) <= 1.2


def test_an_upstream_that_was_slow_is_tried_again() -> None:
    speed = SlownessEstimator()
    for _ in range(12):
        speed.add_sample(6.0, 0.0)
    assert speed.slowness([], 1.0) > 5.0
    assert speed.slowness([], SAMPLE_LIFETIME_MS + 1.0) == 1.0


def test_the_median_finds_the_slowness_under_rough_estimates() -> None:
    rng = Random(5)
    speed = SlownessEstimator()
    for _ in range(12):
        speed.add_sample(1.8 * rng.lognormvariate(0.0, 0.4), 0.0)
    assert 1.2 <= speed.slowness([], 1.0) <= 2.6


def test_a_restarted_upstream_counts_as_ordinary() -> None:
    speed = SlownessEstimator()
    speed.add_sample(9.0, 0.0)
    speed.clear()
    assert speed.slowness([], 0.0) == 1.0
