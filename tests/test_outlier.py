from __future__ import annotations

from random import Random

from snipewell.ids import ScopedKey, ServiceName, UpstreamId
from snipewell.outlier import Health, OutlierDetector

DYE, BOOK = ServiceName("dye-test"), ServiceName("book")
NAMES = [UpstreamId(f"u{number}") for number in range(10)]


def make_detector() -> OutlierDetector:
    detector = OutlierDetector(Random(5))
    for name in NAMES:
        detector.add(name)
    for number in range(20):
        for name in NAMES:
            detector.on_end(name, DYE, ScopedKey(f"t/{name}{number}"), True, 0.0)
            detector.on_end(name, BOOK, ScopedKey(f"t/{name}{number}b"), True, 0.0)
    return detector


def fail(detector: OutlierDetector, name: UpstreamId, count: int, now_ms: float = 1.0) -> None:
    for number in range(count):
        detector.on_end(name, DYE, ScopedKey(f"t/{name}-{now_ms}-{number}"), False, now_ms)


def test_three_failures_in_a_row_eject_where_no_others_fail() -> None:
    """Guards against an upstream that fails all tasks quickly and so attracts load."""
    detector = make_detector()
    fail(detector, NAMES[0], 2)
    assert detector.health(NAMES[0]) is Health.ACTIVE
    assert detector.excess_failure_rate(NAMES[0]) > 0.1
    fail(detector, NAMES[0], 1, 2.0)
    assert detector.ejected() == [NAMES[0]]


def test_a_service_that_fails_everywhere_ejects_no_upstream() -> None:
    """Guards against attributing the failures of a broken service to upstreams."""
    detector = make_detector()
    rng = Random(6)
    for number in range(400):
        name = rng.choice(NAMES)
        detector.on_end(name, DYE, ScopedKey(f"t/d{number}"), False, 1.0)
        detector.on_end(name, BOOK, ScopedKey(f"t/b{number}"), True, 1.0)
    assert detector.ejected() == []


def test_one_job_with_bad_payloads_ejects_no_upstream() -> None:
    """Guards against a job of one client account that removes upstreams for all others."""
    detector = make_detector()
    for _ in range(50):
        detector.on_end(NAMES[0], DYE, ScopedKey("t/bad"), False, 1.0)
    assert detector.ejected() == []


def test_never_more_than_the_share_is_ejected() -> None:
    """Guards against ejecting so many upstreams that the rest are overloaded."""
    detector = make_detector()
    for name in NAMES:
        fail(detector, name, 20)
        factors = {other: (50.0 if other == name else 1.0, 30.0) for other in NAMES}
        detector.tick(factors, 2.0)
        assert len(detector.ejected()) <= 3
    small = OutlierDetector(Random(5))
    for name in NAMES[:3]:
        small.add(name)
    fail(small, NAMES[0], 50)
    assert small.ejected() == []


def test_a_slow_upstream_is_ejected_and_returns_only_when_its_probes_are_fast() -> None:
    """Guards against reinstating a slow upstream because its probes succeed, if slowly."""
    detector = make_detector()
    factors = {name: (10.0 if name == NAMES[0] else 1.0, 30.0) for name in NAMES}
    detector.tick(factors, 1.0)
    assert detector.health(NAMES[0]) is Health.EJECTED
    ordinary = dict.fromkeys(NAMES, (1.0, 30.0))
    for now_ms, slowness, health in (
        (7_000.0, 10.0, Health.EJECTED),
        (30_000.0, 1.0, Health.ACTIVE),
    ):
        detector.tick(ordinary, now_ms)
        assert detector.health(NAMES[0]) is Health.PROBING
        assert detector.may_probe(NAMES[0], 0, now_ms)
        assert not detector.may_probe(NAMES[0], 0, now_ms, single=False)
        assert detector.may_probe(NAMES[0], 0, now_ms + 20_000, single=False)
        detector.on_probe(NAMES[0], now_ms)
        assert not detector.may_probe(NAMES[0], 0, now_ms + 10)
        for number in range(3):
            key = ScopedKey(f"t/p{number}")
            detector.on_end(NAMES[0], DYE, key, True, now_ms, slowness)
        assert detector.health(NAMES[0]) is health
