"""Load of upstreams that leave at short notice with all their runs.

Guards against runs that are lost although their task could have ended elsewhere, runs that are
stopped in vain, and tasks that run twice at the same time.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from snipewell.channel import Frame
from snipewell.departure import projected_rest_ms, time_left_ms
from snipewell.job import ResourceVector, RunEnd
from snipewell.platform.upstream import decode_heartbeat
from snipewell.runmessage import RunSlow, StartRun, decode_agent_frame, encode_frame
from snipewell.upstreamcall import RunRow

from .test_executor import UPSTREAM, ExecutorHarness
from .test_platform import HEARTBEAT, encode
from .test_scheduler import FakeAgent, Harness

ESTIMATE_MS = 1_500.0
NOTICE_MS = 1_900.0


def make_slow(run: StartRun, elapsed: float, left: float, notice: float = NOTICE_MS) -> RunSlow:
    return RunSlow(run.task, run.attempt, elapsed, left, True, notice)


def start_leaving(harness: Harness, cpu: int = 1_000) -> tuple[FakeAgent, StartRun]:
    """Start a task on an upstream, which then drains."""
    harness.submit(estimate=ESTIMATE_MS, cpu=cpu)
    agent, run = harness.only_start()
    agent.change(draining=True)
    return agent, run


def stays(harness: Harness) -> list[object]:
    text = "a run stays on a leaving upstream"
    return [line.fields["reason"] for line in harness.log_records if line.text == text]


def test_the_agent_reports_each_run_that_outlasts_the_notice_once() -> None:
    """Guards against the loss of the tail, which estimates don't show, and of runs just started."""
    harness = ExecutorHarness()
    harness.open_session()
    rows = {"j/0/tail": 1.0, "j/0/usual": 20.0, "j/0/late": 0.0}
    for task in ("j/0/tail", "j/0/usual"):
        harness.send(StartRun(task, 1, "spec", ResourceVector(1_000, 10), ESTIMATE_MS))
        harness.answer(harness.calls[-1])  # type: ignore[arg-type]
    harness.advance(300, running=tuple(RunRow(t, 1, rows[t]) for t in ("j/0/tail", "j/0/usual")))
    harness.send(StartRun("j/0/late", 1, "spec", ResourceVector(1_000, 10), ESTIMATE_MS))
    harness.answer(harness.calls[-1])  # type: ignore[arg-type]

    def reported() -> list[str]:
        return [b.task for b in harness.bodies if isinstance(b, RunSlow) and b.leaving]

    listed = tuple(RunRow(task, 1, percent) for task, percent in rows.items())
    leaving = replace(UPSTREAM, draining=True, remaining_ms=NOTICE_MS)
    harness.core.on_heartbeat(leaving, harness.now)
    harness.advance(60, running=listed)
    assert reported() == ["j/0/tail"]
    # The same heartbeat, 700 ms old: the run that has made no progress doesn't end in 1,200 ms.
    harness.advance(640, running=(*listed[:1], RunRow("j/0/usual", 1, 66.0), *listed[2:]))
    assert reported() == ["j/0/tail", "j/0/late"]


def test_the_time_left_is_that_of_the_heartbeat_less_its_age() -> None:
    """Guards against a decision on an old notice, and on the 0 of a heartbeat without one."""
    leaving = {**HEARTBEAT, "state": "draining", "remainingMs": NOTICE_MS}
    upstream, _ = decode_heartbeat("i-1", encode(leaving))
    upstream = replace(upstream, heartbeat_ms=1_000.0)
    assert time_left_ms(upstream, 1_400.0) == 1_500.0
    assert time_left_ms(upstream, 9_000.0) == 0.0
    for other in ({**leaving, "state": "ready"}, {**HEARTBEAT, "state": "draining"}):
        assert time_left_ms(decode_heartbeat("i-1", encode(other))[0], 0.0) is None


def test_the_rest_is_projected_from_progress_once_there_is_some() -> None:
    """Guards against the report of every young run, whose progress is still 0 percent."""
    assert projected_rest_ms(50.0, 0.0, ESTIMATE_MS) == 1_450.0
    assert projected_rest_ms(300.0, 19.0, ESTIMATE_MS) == 1_200.0
    assert projected_rest_ms(300.0, 1.0, ESTIMATE_MS) == 14_700.0


class EarlierRunSlow(msgspec.Struct, tag="slow", frozen=True):
    """The message as an earlier version declares it."""

    task: str
    attempt: int
    elapsed_ms: float
    left_ms: float


def test_processes_of_an_earlier_version_understand_the_notice() -> None:
    """Guards against connections that end during an update of the fleet."""
    notice = Frame("s", 1, 0, 0.0, RunSlow("j/0/0", 1, 100.0, 500.0, True, 900.0))
    earlier = Frame("s", 1, 0, 0.0, EarlierRunSlow("j/0/0", 1, 100.0, 500.0))
    decoded = msgspec.msgpack.decode(encode_frame(notice), type=Frame[EarlierRunSlow])
    assert decoded == earlier
    received = decode_agent_frame(msgspec.msgpack.encode(earlier))
    assert received.body == RunSlow("j/0/0", 1, 100.0, 500.0)


def test_a_run_of_the_tail_is_moved_once() -> None:
    """Guards against the loss of a run, and against a move that counts twice."""
    harness = Harness()
    agent, run = start_leaving(harness)
    agent.change(draining=True, slowness=6.0)
    agent.send(make_slow(run, 300.0, 9_000.0))
    # The agent may also report the run as slow before the stop arrives.
    agent.send(RunSlow(run.task, run.attempt, 300.0, 9_000.0))
    assert [stop.attempt for stop in agent.stops] == [1]
    agent.end(run, RunEnd.STOPPED)
    [other] = [each for each in harness.agents.values() if each is not agent]
    assert [start.attempt for start in other.starts] == [2]
    counters = harness.core.counters
    assert (counters.leaving_moves, counters.lost_runs) == (1, 0)


def test_a_stop_without_an_answer_starts_nothing_before_the_run_has_ended() -> None:
    """Guards against a task that runs twice at the same time."""
    harness = Harness()
    agent, run = start_leaving(harness)
    agent.send(make_slow(run, 300.0, 9_000.0))
    harness.advance(3_000)
    assert len(harness.starts()) == 1
    agent.end(run, RunEnd.LOST)
    assert len(harness.starts()) == 2


def test_all_runs_of_an_upstream_do_not_move_to_one_free_place() -> None:
    """Guards against stopping runs for which there is no room, or room that others wait for."""
    harness = Harness(1, cpu=4_000)
    agent = harness.agents["a0"]
    harness.submit(tasks=4, estimate=ESTIMATE_MS)
    runs = list(agent.starts)
    agent.change(draining=True)
    agent.send(make_slow(runs[0], 300.0, 9_000.0))
    other = FakeAgent(harness, "b", cpu=1_000)
    for run in runs[1:]:
        agent.send(make_slow(run, 300.0, 9_000.0))
    assert [stop.task for stop in agent.stops] == [runs[1].task]
    assert stays(harness) == ["no room elsewhere"] * 3
    agent.end(runs[1], RunEnd.STOPPED)
    assert [start.task for start in other.starts] == [runs[1].task]


@pytest.mark.parametrize(
    ("elapsed_ms", "left_ms", "notice_ms", "slowness", "reason"),
    [
        (300.0, 1_200.0, NOTICE_MS, 1.0, "it ends before the departure"),
        # Stopping takes longer than the loss leaves.
        (300.0, 1_200.0, 50.0, 1.0, "no earlier end elsewhere"),
        # The only place free now takes three times as long as usual.
        (600.0, 900.0, 800.0, 3.0, "no earlier end elsewhere"),
    ],
)
def test_a_run_stays_if_a_move_gains_nothing(
    elapsed_ms: float, left_ms: float, notice_ms: float, slowness: float, reason: str
) -> None:
    """Guards against work thrown away for an end that is no earlier."""
    harness = Harness(1, cpu=4_000)
    agent, run = start_leaving(harness)
    for number in range(2):
        full = FakeAgent(harness, f"full{number}", cpu=4_000)
        full.change(free=ResourceVector(0 if slowness > 1 else 4_000, 1_000))
    FakeAgent(harness, "free").change(slowness=slowness)
    agent.send(make_slow(run, elapsed_ms, left_ms, notice_ms))
    assert (agent.stops, stays(harness)) == ([], [reason])


def test_a_run_is_not_stopped_if_its_job_could_not_start_again_in_time() -> None:
    """Late work needs a reserve, so the task of a stopped run might wait until its job expires."""
    harness = Harness()
    harness.submit(estimate=ESTIMATE_MS)
    agent, run = harness.only_start()
    agent.change(draining=True)
    FakeAgent(harness, "other", 2_900)
    # The job expires 7,380 ms after its arrival; a restart would need 1,500 ms of that.
    harness.now += 6_000
    agent.send(make_slow(run, 6_000.0, 3_000.0))
    assert stays(harness) == ["too late to start again"]
    assert not agent.stops
