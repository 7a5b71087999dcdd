"""Real processes under kill, pause, store faults and zone moves; the checker judges the history."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests import faults
from tests.faults import Fault, run_faults
from tests.history import ProcessExited
from tests.processes import Cluster

SCHEDULES: dict[str, list[Fault]] = {
    # Guards against a second start when a home dies, and against a lost or partial answer.
    "home killed": [faults.kill("e0"), faults.kill("e1")],
    # Guards against a paused home that wakes up and starts tasks its successor also starts.
    "home paused": [faults.pause("e0", 4.0), faults.pause("e1", 1.0)],
    # Guards against tasks of a dead agent being started again.
    "agents killed": [faults.kill("a0"), faults.kill("a1"), faults.pause("a2", 3.0)],
    # Guards against a stop of all work, or a reverted configuration, when the store is away.
    "store away": [
        faults.store_fault("down", 3.0, down="refuse"),
        faults.store_fault("loses answers", 2.0, lose_answers=3),
    ],
    # Guards against starts in a zone or at an upstream that was taken out.
    "zone and upstream out": [faults.zone_out("zone-a", 4.0), faults.upstream_out("u1", 4.0)],
    # Guards against a withdrawn zone that goes on because an entry or agent did not hear of it.
    "zone out, entry paused": [
        faults.pause("e2", 0.3),
        faults.zone_out("zone-b", 4.0),
        faults.store_fault("slow", 2.0, slow_ms=300),
    ],
    # Guards against crossed, truncated and silent upstream answers reaching a caller.
    "upstream answers badly": [
        faults.upstream_fault("u0", 1.0, wrong_id=True),
        faults.upstream_fault("u1", 1.0, truncate=True),
        faults.upstream_fault("u2", 1.0, hang=True),
        faults.upstream_fault("u3", 1.0, close=True),
    ],
}


@pytest.mark.parametrize("name", SCHEDULES)
def test_promises_hold_with_real_processes(name: str, tmp_path: Path) -> None:
    with Cluster(tmp_path) as cluster:
        run = run_faults(cluster, seed=1, faults=SCHEDULES[name])
    assert run.violations == []
    assert run.complete > 0


def test_rolling_replacement_cuts_off_no_request(tmp_path: Path) -> None:
    """Guards against requests that get no answer when processes are replaced one by one."""
    schedule = [faults.replace(name) for name in ("e0", "a0", "e1", "a1", "e2")]
    with Cluster(tmp_path) as cluster:
        run = run_faults(cluster, seed=1, faults=schedule, via_balancer=True)
        graceful = [e.graceful for e in run.events if isinstance(e, ProcessExited)]
    assert run.unanswered == []
    assert run.violations == []
    assert graceful == [True] * len(schedule)
