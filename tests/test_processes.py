"""Check the histories of real processes under kills, pauses, store faults and zone changes."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests import faults
from tests.faults import Fault, run_faults
from tests.history import ProcessExited
from tests.processes import Cluster

SCHEDULES: dict[str, list[Fault]] = {
    # Guards against a second start of a task when a leader crashes, and against lost or partial
    # outcomes.
    "leader killed": [faults.kill("e0"), faults.kill("e1")],
    # Guards against a paused leader that resumes and starts tasks that its successor starts too.
    "leader paused": [faults.pause("e0", 4.0), faults.pause("e1", 1.0)],
    # Guards against a second start of tasks whose agent crashed.
    "agents killed": [faults.kill("a0"), faults.kill("a1"), faults.pause("a2", 3.0)],
    # Guards against a halt of all work, or a reverted configuration, during a store outage.
    "store unavailable": [
        faults.store_fault("down", 3.0, down="refuse"),
        faults.store_fault("loses answers", 2.0, lose_answers=3),
    ],
    # Guards against starts in an availability zone or on an upstream that is out of service.
    "zone and upstream out": [faults.zone_out("zone-a", 4.0), faults.upstream_out("u1", 4.0)],
    # Guards against starts in an availability zone that is out of service, by an entry or agent
    # that missed the change.
    "zone out, entry paused": [
        faults.pause("e2", 0.3),
        faults.zone_out("zone-b", 4.0),
        faults.store_fault("slow", 2.0, slow_ms=300),
    ],
    # Guards against a result for the client from an upstream response that is for another task,
    # truncated or missing.
    "upstream responses faulty": [
        faults.upstream_fault("u0", 1.0, wrong_id=True),
        faults.upstream_fault("u1", 1.0, truncate=True),
        faults.upstream_fault("u2", 1.0, hang=True),
        faults.upstream_fault("u3", 1.0, close=True),
    ],
}


@pytest.mark.parametrize("name", SCHEDULES)
def test_invariants_hold_with_real_processes(name: str, tmp_path: Path) -> None:
    with Cluster(tmp_path) as cluster:
        run = run_faults(cluster, seed=1, faults=SCHEDULES[name])
    assert run.violations == []
    assert run.complete > 0


def test_rolling_restart_leaves_no_request_unanswered(tmp_path: Path) -> None:
    """Guards against requests that get no outcome while processes are restarted one by one."""
    schedule = [faults.restart(name) for name in ("e0", "a0", "e1", "a1", "e2")]
    with Cluster(tmp_path) as cluster:
        run = run_faults(cluster, seed=1, faults=schedule, via_balancer=True)
        graceful = [e.graceful for e in run.events if isinstance(e, ProcessExited)]
    assert run.unanswered == []
    assert run.violations == []
    assert graceful == [True] * len(schedule)
