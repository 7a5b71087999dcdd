"""Guards against entries that all choose one upstream, and against tasks where they can't run."""

from __future__ import annotations

from collections import Counter
from random import Random

from snipewell.agentview import AgentView
from snipewell.channel import Channel
from snipewell.job import Room, StepSpec
from snipewell.matching import Candidate, choose, may_run
from snipewell.order import UpstreamReport


def view(name: str, free: int = 10_000, labels: tuple[str, ...] = ()) -> AgentView:
    report = UpstreamReport(name, "svc", "z1", Room(10_000, 100), Room(free, 100), list(labels))
    made = AgentView(name, name, Channel("s", 0.0), report)
    made.take_report(report, 0)
    return made


def test_the_upstream_where_the_task_ends_first_is_chosen() -> None:
    slow, fast = Candidate(view("slow"), 900.0), Candidate(view("fast"), 300.0)
    assert choose([slow, fast], Random(1)) is fast


def test_without_candidates_nothing_is_chosen() -> None:
    assert choose([], Random(1)) is None


def test_entries_with_the_same_view_spread_over_equal_upstreams() -> None:
    """All but one of them would be rejected if they all took the emptiest."""
    candidates = [Candidate(view(f"u{number}"), 300.0) for number in range(8)]
    rng = Random(3)
    counts = Counter(choose(candidates, rng).view.upstream for _ in range(800))  # type: ignore[union-attr]
    assert len(counts) == 8
    assert max(counts.values()) < 200


def test_of_two_the_emptier_is_taken() -> None:
    empty, full = Candidate(view("empty"), 300.0), Candidate(view("full", 1_000), 300.0)
    assert all(choose([full, empty], Random(seed)) is empty for seed in range(10))


def test_a_task_needs_room_and_its_label() -> None:
    step = StepSpec(1, Room(2_000, 10), 100.0, label="b")
    assert may_run(view("u", labels=("a", "b")), step, Room(2_000, 10))
    assert not may_run(view("u", labels=("a",)), step, Room(2_000, 10))
    assert not may_run(view("u", labels=("b",)), step, Room(1_999, 10))
