"""Guards against all entries selecting one upstream, and against tasks on unsuitable upstreams."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

from snipewell.agentview import AgentView
from snipewell.channel import Channel
from snipewell.ids import UpstreamId
from snipewell.job import ResourceVector, StepSpec
from snipewell.matching import Candidate, CandidatePool, TaskRequirements, may_run
from snipewell.runmessage import UpstreamReport

STEP = StepSpec(1, ResourceVector(1_000, 10), 300.0)


def view(
    name: str, free: int = 10_000, labels: tuple[str, ...] = (), slowness: float = 1.0
) -> AgentView:
    report = UpstreamReport(
        name,
        "svc",
        "z1",
        ResourceVector(10_000, 100),
        ResourceVector(free, 100),
        list(labels),
        slowness=slowness,
    )
    made = AgentView(name, name, Channel("s", 0.0), report)
    made.apply_report(report, 0)
    return made


def pool(*views: AgentView, seed: int = 1) -> CandidatePool:
    return CandidatePool([Candidate.from_view(each) for each in views], Random(seed))


def name_of(candidate: Candidate | None) -> str:
    return candidate.view.upstream if candidate is not None else ""


def test_the_upstream_where_the_task_ends_first_is_chosen() -> None:
    for seed in range(20):
        both = pool(view("slow", slowness=3.0), view("fast"), seed=seed)
        assert name_of(both.find(TaskRequirements(STEP))) == "fast"


def test_a_slower_upstream_is_taken_when_the_fast_ones_are_full() -> None:
    both = pool(view("slow", slowness=3.0), view("fast", 900))
    assert name_of(both.find(TaskRequirements(STEP))) == "slow"


def test_a_task_is_not_started_where_it_ends_too_late() -> None:
    both = pool(view("slow", slowness=3.0), view("fast", 900))
    assert both.find(TaskRequirements(STEP, max_duration_ms=899.0)) is None
    assert name_of(both.find(TaskRequirements(STEP, max_duration_ms=900.0))) == "slow"


def test_without_candidates_nothing_is_chosen() -> None:
    assert pool().find(TaskRequirements(STEP)) is None


def test_entries_with_the_same_view_spread_over_equal_upstreams() -> None:
    """All starts but one would be rejected if all entries selected the least loaded upstream."""
    equal = pool(*(view(f"u{number}") for number in range(8)), seed=3)
    counts = Counter(name_of(equal.find(TaskRequirements(STEP))) for _ in range(800))
    assert len(counts) == 8
    assert max(counts.values()) < 200


def test_small_differences_of_measured_speed_do_not_concentrate_tasks() -> None:
    """Otherwise the upstream that appears fastest would get the tasks of all entries."""
    rng = Random(5)
    views = [view(f"u{number}", slowness=rng.uniform(0.8, 1.2)) for number in range(60)]
    counts = Counter(
        name_of(pool(*views, seed=seed).find(TaskRequirements(STEP))) for seed in range(600)
    )
    assert len(counts) >= 15
    assert max(counts.values()) < 100


def test_the_less_loaded_of_two_samples_is_selected() -> None:
    """With many samples of two upstreams, both are sampled in nearly every round."""
    counts = Counter(
        name_of(pool(view("full", 1_000), view("empty"), seed=seed).find(TaskRequirements(STEP)))
        for seed in range(200)
    )
    assert counts["empty"] > 140


def test_each_start_of_a_round_reduces_the_available_capacity() -> None:
    """Guards against placing all tasks of a job on the last free capacity of one upstream."""
    round_pool = pool(view("only", 2_500))
    for _ in range(2):
        choice = round_pool.find(TaskRequirements(STEP))
        assert choice is not None
        round_pool.allocate(choice, STEP.resources)
    assert round_pool.find(TaskRequirements(STEP)) is None


def test_late_work_leaves_a_reserve() -> None:
    assert pool(view("u", 2_900)).find(TaskRequirements(STEP, require_reserve=True)) is None
    assert name_of(pool(view("u", 3_000)).find(TaskRequirements(STEP, require_reserve=True))) == "u"


def test_an_upstream_that_failed_the_task_is_avoided_unless_all_did() -> None:
    avoid = {UpstreamId("u1")}
    for seed in range(20):
        assert (
            name_of(pool(view("u1"), view("u2"), seed=seed).find(TaskRequirements(STEP, avoid)))
            == "u2"
        )
    assert pool(view("u1"), view("u2", 0)).find(TaskRequirements(STEP, avoid)) is None
    assert name_of(pool(view("u1")).find(TaskRequirements(STEP, avoid))) == "u1"


def test_a_task_needs_capacity_and_its_label() -> None:
    step = StepSpec(1, ResourceVector(2_000, 10), 100.0, label="b")
    assert may_run(view("u", labels=("a", "b")), step, ResourceVector(2_000, 10))
    assert not may_run(view("u", labels=("a",)), step, ResourceVector(2_000, 10))
    assert not may_run(view("u", labels=("b",)), step, ResourceVector(1_999, 10))
    assert pool(view("u", labels=("a",))).find(TaskRequirements(step)) is None
    assert pool(view("u", 1_999, labels=("b",))).find(TaskRequirements(step)) is None
    assert name_of(pool(view("u", 2_000, labels=("b",))).find(TaskRequirements(step))) == "u"


def test_the_expected_duration_decides_where_a_task_ends_too_late() -> None:
    """A task that takes longer than estimated would be started where it ends too late."""
    both = pool(view("slow", slowness=3.0), view("fast", 900))
    corrected = TaskRequirements(STEP, max_duration_ms=1_799.0, expected_factor=2.0)
    assert both.find(corrected) is None
    assert name_of(both.find(replace(corrected, max_duration_ms=1_800.0))) == "slow"
