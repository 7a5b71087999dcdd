from __future__ import annotations

from random import Random

import pytest

from snipewell.admission import AdmissionLimits, jittered_retry_after_ms
from snipewell.clock import ManualClock
from snipewell.dispatch import Dispatcher
from snipewell.effect import Submission
from snipewell.ids import Digest, EntryId, RequestId, ScopedKey, ServiceName, TeamName, ZoneId
from snipewell.message import Resources
from snipewell.outcome import Impossible, NotRun
from snipewell.resource import ConfigurationSpec, ServiceSpec, TeamSpec
from tests.test_dispatch import DYE, make_dispatcher, make_tasks, make_view


def make_submission(count: int = 1, **changes: object) -> Submission:
    values: dict[str, object] = {
        "request": RequestId("r"),
        "origin": EntryId("e.1"),
        "key": ScopedKey("annex/k"),
        "digest": Digest(""),
        "service": DYE,
        "team": TeamName("annex"),
        "tasks": [b""] * count,
        "deadline_at_ms": 20_000.0,
        "job": count > 1,
        "idempotent": False,
        "resources": Resources(),
    }
    return Submission(**{**values, **changes})  # type: ignore[arg-type]


def make_ready_dispatcher() -> Dispatcher:
    clock = ManualClock()
    dispatcher = make_dispatcher(clock, make_view("a"), make_view("b"))
    dispatcher.on_configuration(
        [
            ServiceSpec(DYE, max_tasks=100, expected_ms=200),
            ServiceSpec(ServiceName("lost"), zones=[ZoneId("nowhere")]),
        ],
        [TeamSpec(TeamName("annex"), max_tasks_in_flight=150)],
        [ZoneId("patan")],
        ConfigurationSpec(),
    )
    clock.advance(3_000)
    return dispatcher


@pytest.mark.parametrize(
    "submission",
    [
        make_submission(resources=Resources(cores=65)),
        make_submission(resources=Resources(memory_mb=200_000)),
        make_submission(resources=Resources(accelerators=1)),
        make_submission(service=ServiceName("lost")),
        make_submission(101),
        make_submission(0),
    ],
)
def test_job_that_can_never_run_is_impossible(submission: Submission) -> None:
    """Guards against jobs waiting until their deadline for a VM that does not exist."""
    assert isinstance(make_ready_dispatcher().admit(submission), Impossible)


def test_no_job_is_impossible_for_lack_of_vms_during_the_startup_grace_period() -> None:
    """Guards against a final answer from an entry without heartbeats from all agents yet."""
    clock = ManualClock()
    dispatcher = make_dispatcher(clock, make_view("a"))
    submission = make_submission(resources=Resources(accelerators=1), deadline_at_ms=90_000.0)
    assert not isinstance(dispatcher.admit(submission), Impossible)
    clock.advance(3_000)
    assert isinstance(dispatcher.admit(submission), Impossible)


def test_vm_that_has_just_gone_still_counts_as_available() -> None:
    """Guards against rejecting a job as impossible while its only suitable VM restarts."""
    clock = ManualClock()
    big = make_view("big", vm_resources=Resources(64, 128_000, 8))
    dispatcher = make_dispatcher(clock, make_view("a"), big)
    clock.advance(3_000)
    dispatcher.on_agent_gone(big.agent)
    submission = make_submission(resources=Resources(accelerators=8), deadline_at_ms=90_000.0)
    assert dispatcher.admit(submission) is None


def test_submission_that_would_miss_its_deadline_is_refused_immediately() -> None:
    """Guards against admitting work that is discarded at its deadline."""
    dispatcher = make_ready_dispatcher()
    assert dispatcher.admit(make_submission()) is None
    refusal = dispatcher.admit(make_submission(100, deadline_at_ms=4_000.0))
    assert isinstance(refusal, NotRun)
    assert refusal.retry_after_ms >= AdmissionLimits().min_retry_after_ms


def test_quota_counts_waiting_and_running_tasks() -> None:
    """Guards against one client account filling the backlog of an entry."""
    dispatcher = make_ready_dispatcher()
    dispatcher.enqueue(make_tasks("job", 100, ["a", "b"], deadline_at_ms=60_000.0))
    assert len(dispatcher.next_grants()) > 0
    refusal = dispatcher.admit(make_submission(60, deadline_at_ms=60_000.0))
    assert isinstance(refusal, NotRun) and refusal.quota
    assert dispatcher.admit(make_submission(40, deadline_at_ms=60_000.0)) is None


def test_retry_after_of_refused_clients_is_jittered() -> None:
    """Guards against refused clients all retrying at the same time."""
    rng = Random(8)
    delays_ms = sorted(jittered_retry_after_ms(2_000, AdmissionLimits(), rng) for _ in range(1_000))
    assert delays_ms[0] >= 2_000 and delays_ms[-1] <= 6_000
    assert (
        max(sum(low <= r < low + 400 for r in delays_ms) for low in range(2_000, 6_000, 400)) < 200
    )


def test_submissions_of_a_service_share_their_candidates() -> None:
    """Guards against one placement class for each submission, which makes every decision slow."""
    dispatcher = make_dispatcher(ManualClock(), *(make_view(f"a{n}") for n in range(600)))
    first = dispatcher.candidates(make_submission())
    assert len(first) == 256
    assert dispatcher.candidates(make_submission()) == first
    dispatcher.on_agent(make_view(first[0].agent, draining=True))
    assert first[0] not in dispatcher.candidates(make_submission())
