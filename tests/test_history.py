"""Invalid histories that the checker must reject, and valid ones that it must accept."""

from __future__ import annotations

import pytest

from snipewell.message import TaskState
from snipewell.outcome import Complete, Failed, NotRun, Step, Unknown
from tests.history import (
    CHECKS,
    Answered,
    ConfigurationAccepted,
    ConfigurationInForce,
    Ended,
    Event,
    Invoked,
    ProcessExited,
    ProcessStarted,
    Started,
    UpstreamChanged,
    ZoneChanged,
    check_history,
)


def invoke(at_ms: float, request: str, tasks: int = 1, job: bool = True, **kw: object) -> Invoked:
    return Invoked(at_ms, request, "annex/k", tasks, bool(kw.get("idempotent")), job, "e1")


def start(at_ms: float, task: int = 0, agent: str = "a1") -> Started:
    return Started(at_ms, "annex/k", task, agent, "patan", "runner-1")


def ok(at_ms: float, task: int = 0, body: bytes = b"r0", agent: str = "a1") -> Ended:
    return Ended(at_ms, "annex/k", task, agent, TaskState.OK, body)


VALID: list[Event] = [
    ProcessStarted(0, "e1"),
    ConfigurationAccepted(0, 1),
    ConfigurationInForce(1, "e1", 1),
    invoke(1, "r1", tasks=2),
    start(2),
    start(2, task=1, agent="a2"),
    ok(5),
    ok(6, task=1, body=b"r1", agent="a2"),
    Answered(7, "r1", Complete([b"r0", b"r1"])),
    ZoneChanged(8, "patan", False),
    UpstreamChanged(8, "runner-1", False),
    ProcessExited(9, "e1", True),
    ConfigurationInForce(20_000, "e2", 1),
]

INVALID: list[tuple[str, str, list[Event]]] = [
    ("at-most-once", "second agent", [invoke(0, "r1"), start(1), start(9, agent="a2")]),
    ("at-most-once", "idempotent job", [invoke(0, "r1", idempotent=True), start(1), start(9)]),
    ("at-most-once", "never requested", [start(1)]),
    ("non-idempotent", "single request", [invoke(0, "r1", job=False), start(1), start(2)]),
    (
        "whole-or-failed",
        "result missing",
        [invoke(0, "r1", 2), start(1), ok(2), Answered(3, "r1", Complete([b"r0"]))],
    ),
    (
        "whole-or-failed",
        "task still running",
        [invoke(0, "r1"), start(1), Answered(3, "r1", Complete([b"r0"])), ok(4)],
    ),
    (
        "own-answer",
        "another body",
        [invoke(0, "r1"), start(1), ok(2), Answered(3, "r1", Complete([b"x"]))],
    ),
    (
        "own-answer",
        "results crossed",
        [
            invoke(0, "r1", 2),
            start(1),
            start(1, task=1),
            ok(2),
            ok(2, task=1, body=b"r1"),
            Answered(3, "r1", Complete([b"r1", b"r0"])),
        ],
    ),
    (
        "own-answer",
        "two answers",
        [
            invoke(0, "r1"),
            Answered(3, "r1", Failed(Step.UPSTREAM, "a1", "x")),
            Answered(4, "r1", Failed(Step.UPSTREAM, "a1", "x")),
        ],
    ),
    ("own-answer", "unknown request", [Answered(3, "r9", Unknown(Step.START, "a1", "x"))]),
    ("not-run-true", "ran before", [invoke(0, "r1"), start(1), Answered(2, "r1", NotRun("x", 10))]),
    ("not-run-true", "ran after", [invoke(0, "r1"), Answered(2, "r1", NotRun("x", 10)), start(11)]),
    ("zone-stop", "late start", [ZoneChanged(0, "patan", False), invoke(0, "r1"), start(3_001)]),
    (
        "zone-stop",
        "taken out twice",
        [
            ZoneChanged(0, "patan", False),
            ZoneChanged(2_000, "patan", False),
            invoke(0, "r1"),
            start(3_500),
        ],
    ),
    (
        "leaving-upstream",
        "late start",
        [UpstreamChanged(0, "runner-1", False), invoke(0, "r1"), start(3_001)],
    ),
    ("clean-shutdown", "request cut off", [invoke(0, "r1"), ProcessExited(5, "e1", True)]),
    (
        "clean-shutdown",
        "task cut off",
        [invoke(0, "r1"), start(1), ProcessExited(5, "a1", True), ok(6)],
    ),
    (
        "config-forward",
        "reverted",
        [ConfigurationInForce(1, "e1", 2), ConfigurationInForce(2, "e1", 1)],
    ),
    (
        "config-forward",
        "too late",
        [
            ProcessStarted(0, "e1"),
            ConfigurationAccepted(1, 2),
            ConfigurationInForce(2, "e1", 1),
            ConfigurationInForce(19_002, "e1", 2),
        ],
    ),
]


def test_valid_history_is_accepted() -> None:
    """Guards against a checker that reports violations in a valid history."""
    assert check_history(VALID) == []


def test_retry_of_idempotent_single_request_is_accepted() -> None:
    """Guards against a violation reported for the one permitted retry.

    A single request that is idempotent may start its task again.
    """
    assert check_history([invoke(0, "r1", job=False, idempotent=True), start(1), start(2)]) == []


@pytest.mark.parametrize(("invariant", "case", "events"), INVALID)
def test_invalid_history_is_rejected(invariant: str, case: str, events: list[Event]) -> None:
    """Guards against a checker that misses the violation of an invariant."""
    assert invariant in {violation.invariant for violation in check_history(events)}, case


def test_every_invariant_has_an_invalid_history() -> None:
    """Guards against an invariant whose check has never been shown to fail."""
    assert {invariant for invariant, _, _ in INVALID} == set(CHECKS)
