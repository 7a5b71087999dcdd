"""Guards against runs that start twice, outlive their owner or start where they must not."""

from __future__ import annotations

from dataclasses import replace

import pytest

from snipewell.channel import Channel
from snipewell.entrysession import OWNER_SILENCE_MS, STOP_RETRY_MS, SendFrame
from snipewell.executor import IDLE_POLL_MS, STALL_MS, Executor
from snipewell.ids import UpstreamId
from snipewell.job import Room, RunEnd
from snipewell.order import (
    BUSY_TASK,
    NO_ROOM,
    AgentBody,
    EntryBody,
    Goodbye,
    Hello,
    Notice,
    Report,
    RunEnded,
    RunSlow,
    StartRun,
    StopRun,
)
from snipewell.upstreamcall import (
    CallHold,
    CallStart,
    CallStop,
    EndRow,
    RunRow,
    Runs,
    StartResult,
    Upstream,
)

UPSTREAM = Upstream(
    UpstreamId("u1"), 1_000, "svc", "z1", "127.0.0.1:1", Room(10_000, 1_000), ("a",)
)


class Bench:
    """An executor with one entry, and an upstream that does as the test says."""

    def __init__(self) -> None:
        self.now = 1_000.0
        self.core = Executor("agent-1", "life-1", 100, 1_000.0)
        self.calls: list[CallStart | CallStop | CallHold] = []
        self.bodies: list[AgentBody] = []
        self.channel: Channel[EntryBody, AgentBody] | None = None
        self.ended: list[EndRow] = []

    def take(self) -> None:
        effects, self.core.effects[:] = list(self.core.effects), []
        for effect in effects:
            match effect:
                case SendFrame():
                    if self.channel is None or effect.frame.session != self.channel.session:
                        self.channel = Channel(effect.frame.session, self.now)
                    self.bodies += self.channel.receive(effect.frame, self.now)
                case CallStart() | CallStop() | CallHold():
                    self.calls.append(effect)

    def boot(self) -> None:
        self.core.on_upstream(UPSTREAM, self.now)
        self.take()
        self.look()
        self.core.entries.connect("entry-1", self.now)
        self.take()

    def look(self, running: tuple[RunRow, ...] = ()) -> None:
        """Answer the latest call for the lists of runs."""
        call = next(call for call in reversed(self.calls) if isinstance(call, CallHold))
        runs = Runs(self.now, UPSTREAM.born_ms, running, tuple(self.ended))
        self.core.on_hold(call, runs, self.now)
        self.take()

    def hold(self, running: tuple[RunRow, ...] = ()) -> None:
        """Perform the next regular call."""
        call = self.core.next_hold(self.now)
        assert call is not None
        runs = Runs(self.now, UPSTREAM.born_ms, running, tuple(self.ended))
        self.core.on_hold(call, runs, self.now)
        self.take()

    def send(self, body: EntryBody) -> None:
        assert self.channel is not None
        self.core.on_frame("entry-1", self.channel.send(body, self.now), self.now)
        self.take()

    def beat(self) -> None:
        assert self.channel is not None
        self.core.on_frame("entry-1", self.channel.send(None, self.now), self.now)

    def start(self, task: str = "j/0/0", attempt: int = 1, cpu: int = 4_000) -> CallStart:
        self.send(StartRun(task, attempt, "spec", Room(cpu, 10), 400.0))
        call = self.calls[-1]
        assert isinstance(call, CallStart)
        return call

    def answer(self, call: CallStart, result: StartResult = StartResult.STARTED) -> None:
        self.core.on_start_answer(call, result, self.now, self.now)
        self.take()

    def advance(self, by_ms: float, beat: bool = True, running: tuple[RunRow, ...] = ()) -> None:
        until = self.now + by_ms
        while self.now < until:
            self.now += 20.0
            if beat:
                self.beat()
            if self.core.next_hold(self.now) is not None:
                self.hold(running)
            self.core.tick(self.now)
            self.take()

    def ends(self) -> list[tuple[str, int, str, str]]:
        return [
            (b.task, b.attempt, b.how, b.reason) for b in self.bodies if isinstance(b, RunEnded)
        ]


@pytest.fixture
def bench() -> Bench:
    bench = Bench()
    bench.boot()
    return bench


def test_a_run_goes_from_its_order_to_its_end(bench: Bench) -> None:
    call = bench.start()
    bench.answer(call)
    bench.ended.append(EndRow(1, "j/0/0", 1, RunEnd.DONE))
    bench.hold()
    assert bench.ends() == [("j/0/0", 1, "done", "")]
    assert bench.core.running == 0


def test_an_end_is_acknowledged_even_when_nothing_else_runs(bench: Bench) -> None:
    bench.answer(bench.start())
    bench.ended.append(EndRow(7, "j/0/0", 1, RunEnd.DONE))
    bench.hold()
    call = bench.core.next_hold(bench.now)
    assert call is not None
    assert (call.acked, call.deadline_ms) == (7, None)


def test_a_start_that_does_not_fit_is_rejected_without_a_call(bench: Bench) -> None:
    bench.answer(bench.start(cpu=8_000))
    bench.send(StartRun("j/0/1", 1, "spec", Room(4_000, 10), 400.0))
    assert bench.ends() == [("j/0/1", 1, "rejected", NO_ROOM)]
    assert len([call for call in bench.calls if isinstance(call, CallStart)]) == 1


def test_a_draining_upstream_gets_no_start(bench: Bench) -> None:
    bench.core.on_upstream(replace(UPSTREAM, draining=True), bench.now)
    bench.send(StartRun("j/0/0", 1, "spec", Room(1, 1), 400.0))
    assert bench.ends()[0][2] == "rejected"


def test_a_zone_out_of_service_gets_no_start_and_old_news_does_not_bring_it_back(
    bench: Bench,
) -> None:
    bench.send(Notice(5, ["z1"]))
    bench.send(Notice(4, []))
    bench.send(StartRun("j/0/0", 1, "spec", Room(1, 1), 400.0))
    assert bench.ends() == [("j/0/0", 1, "rejected", "the zone is out of service")]


def test_runs_of_a_silent_entry_are_stopped_before_a_client_sends_its_job_again(
    bench: Bench,
) -> None:
    """The owner died: its client sends the job to another entry after 1,300 ms."""
    bench.answer(bench.start())
    rows = (RunRow("j/0/0", 1, 1.0),)
    bench.advance(OWNER_SILENCE_MS + 40, beat=False, running=rows)
    assert any(isinstance(call, CallStop) for call in bench.calls)
    assert bench.now - 1_000.0 < 1_300.0 - STOP_RETRY_MS


def test_orders_of_an_ended_session_start_nothing(bench: Bench) -> None:
    """A frame that a partition held up arrives after the session was given up."""
    assert bench.channel is not None
    old = bench.channel
    late = old.send(StartRun("j/0/9", 1, "spec", Room(1, 1), 400.0), bench.now)
    bench.advance(2 * OWNER_SILENCE_MS + 100, beat=False)
    before = len(bench.calls)
    bench.core.on_frame("entry-1", late, bench.now)
    bench.take()
    assert not [call for call in bench.calls[before:] if isinstance(call, CallStart)]


def test_a_new_session_begins_only_after_the_runs_of_the_last_have_ended(bench: Bench) -> None:
    """A new session tells the entry that nothing of the old one goes on."""
    bench.answer(bench.start())
    rows = (RunRow("j/0/0", 1, 1.0),)
    hellos = sum(isinstance(body, Hello) for body in bench.bodies)
    bench.advance(OWNER_SILENCE_MS + 200, beat=False, running=rows)
    assert sum(isinstance(body, Hello) for body in bench.bodies) == hellos
    bench.ended.append(EndRow(1, "j/0/0", 1, RunEnd.STOPPED))
    bench.advance(100, beat=False)
    assert sum(isinstance(body, Hello) for body in bench.bodies) == hellos + 1


def test_an_entry_that_does_not_know_the_session_ends_it(bench: Bench) -> None:
    """A restarted entry knows nothing of its runs; they must not go on without an owner."""
    bench.answer(bench.start())
    assert bench.channel is not None
    goodbye = Channel[EntryBody, AgentBody](bench.channel.session, bench.now)
    frame = goodbye.send(None, bench.now)
    frame.body = Goodbye()
    bench.core.on_frame("entry-1", frame, bench.now)
    bench.take()
    assert isinstance(bench.calls[-1], CallStop)


def test_an_unanswered_start_is_voided_by_a_higher_token(bench: Bench) -> None:
    """The order may be carried out seconds later, when the task runs elsewhere."""
    call = bench.start()
    bench.answer(call, StartResult.UNANSWERED)
    look = bench.calls[-1]
    assert isinstance(look, CallHold)
    assert look.fence > call.fence
    assert bench.ends() == []
    bench.look()
    assert bench.ends() == [("j/0/0", 1, "rejected", "the upstream doesn't list the run")]


def test_an_unanswered_start_that_happened_goes_on(bench: Bench) -> None:
    call = bench.start()
    bench.answer(call, StartResult.UNANSWERED)
    bench.look((RunRow("j/0/0", 1, 3.0),))
    assert bench.ends() == []
    assert bench.core.running == 1


def test_a_list_asked_for_with_the_old_token_settles_nothing(bench: Bench) -> None:
    """The list may be older than the start."""
    waiting = bench.core.next_hold(bench.now + IDLE_POLL_MS)
    assert waiting is not None
    call = bench.start()
    bench.answer(call, StartResult.UNANSWERED)
    bench.core.on_hold(waiting, Runs(bench.now, UPSTREAM.born_ms, (), ()), bench.now)
    bench.take()
    assert bench.ends() == []


def test_a_start_fenced_by_the_raised_token_is_sent_again(bench: Bench) -> None:
    first = bench.start("j/0/0")
    second = bench.start("j/0/1")
    bench.answer(first, StartResult.UNANSWERED)
    bench.answer(second, StartResult.FENCED)
    again = bench.calls[-1]
    assert isinstance(again, CallStart)
    assert (again.task, again.fence > second.fence) == ("j/0/1", True)


def test_a_new_life_of_the_agent_stops_what_the_last_one_left(bench: Bench) -> None:
    """Runs without an owner would meet their job's next start."""
    late = Bench()
    late.core.on_upstream(UPSTREAM, late.now)
    late.take()
    late.look((RunRow("old/0/0", 1, 50.0),))
    assert isinstance(late.calls[-1], CallStop)
    late.core.entries.connect("entry-1", late.now)
    late.take()
    hello = late.bodies[-1]
    assert isinstance(hello, Hello)
    assert hello.report.upstream == ""
    late.now += STOP_RETRY_MS
    late.core.tick(late.now)
    late.take()
    late.look()
    report = late.bodies[-1]
    assert isinstance(report, Report)
    assert report.report.upstream == "u1"


def test_a_reborn_upstream_runs_nothing_and_gets_a_higher_token(bench: Bench) -> None:
    """An order to the last life may still be carried out in the new one."""
    call = bench.start()
    bench.answer(call)
    bench.core.on_upstream(replace(UPSTREAM, born_ms=2_000), bench.now)
    bench.take()
    look = bench.calls[-1]
    assert isinstance(look, CallHold)
    assert look.fence > call.fence
    runs = Runs(10.0, 2_000, (), ())
    bench.core.on_hold(look, runs, bench.now)
    bench.take()
    assert bench.ends() == [("j/0/0", 1, "lost", "the upstream doesn't list the run")]


def test_a_start_that_reached_a_new_life_unknown_to_the_agent_goes_on(bench: Bench) -> None:
    """It must not be given up as lost with the old life and be started elsewhere beside it."""
    bench.answer(bench.start())
    bench.core.on_upstream(replace(UPSTREAM, born_ms=2_000), bench.now)
    bench.take()
    look = bench.calls[-1]
    assert isinstance(look, CallHold)
    bench.core.on_hold(look, Runs(10.0, 2_000, (RunRow("j/0/0", 1, 3.0),), ()), bench.now)
    bench.take()
    assert bench.ends() == []
    assert bench.core.running == 1


def test_an_upstream_that_does_not_answer_loses_its_runs_when_the_lease_has_expired(
    bench: Bench,
) -> None:
    bench.answer(bench.start())
    began = bench.now
    while not bench.ends() and bench.now < began + 3_000:
        bench.now += 20
        bench.beat()
        bench.core.tick(bench.now)
        bench.take()
    assert bench.ends()[0][2] == "lost"
    assert bench.now - began >= 1_000.0


def test_a_run_without_progress_is_stopped(bench: Bench) -> None:
    """A task that stands still would hold its job and its room for ever."""
    bench.answer(bench.start())
    bench.advance(STALL_MS + 100, running=(RunRow("j/0/0", 1, 12.0),))
    assert any(isinstance(call, CallStop) for call in bench.calls)
    bench.ended.append(EndRow(1, "j/0/0", 1, RunEnd.STOPPED))
    bench.advance(40)
    assert bench.ends()[0][2] == "stalled"


def test_a_run_is_not_taken_for_stalled_while_the_upstream_leaves_calls_unanswered(
    bench: Bench,
) -> None:
    """Calls for the lists may be lost as well; the run may have gone on."""
    bench.answer(bench.start())
    bench.hold((RunRow("j/0/0", 1, 12.0),))
    until = bench.now + STALL_MS + 100
    while bench.now < until:
        bench.now += 20
        bench.beat()
        bench.core.tick(bench.now)
        bench.take()
    assert not any(isinstance(call, CallStop) for call in bench.calls)


def test_a_stop_without_effect_is_repeated(bench: Bench) -> None:
    """The stop itself may be among the orders that are carried out late."""
    bench.answer(bench.start())
    bench.send(StopRun("j/0/0", 1))
    bench.advance(STOP_RETRY_MS + 40, running=(RunRow("j/0/0", 1, 12.0),))
    assert len([call for call in bench.calls if isinstance(call, CallStop)]) == 2


def test_a_run_stopped_while_it_starts_is_stopped_once_it_has_started(bench: Bench) -> None:
    call = bench.start()
    bench.send(StopRun("j/0/0", 1))
    bench.answer(call)
    assert isinstance(bench.calls[-1], CallStop)


def test_another_attempt_of_a_running_task_supersedes_it(bench: Bench) -> None:
    """The job was sent again to another entry while its first owner is cut off."""
    bench.answer(bench.start(attempt=1))
    bench.send(StartRun("j/0/0", 2, "spec", Room(1, 1), 400.0))
    assert bench.ends() == [("j/0/0", 2, "rejected", BUSY_TASK)]
    assert isinstance(bench.calls[-1], CallStop)


def test_a_start_that_was_sent_after_a_standstill_is_not_sent_again(bench: Bench) -> None:
    """The process was frozen with the order in hand; its entry has started the task elsewhere."""
    call = bench.start()
    bench.now += 3_000.0
    bench.answer(call, StartResult.LATE)
    assert bench.ends()[0][2] == "rejected"


def test_a_run_that_makes_little_progress_is_reported(bench: Bench) -> None:
    """A straggler must be known before it ends, or its upstream goes on getting work."""
    bench.answer(bench.start())
    bench.advance(260, running=(RunRow("j/0/0", 1, 5.0),))
    slow = [body for body in bench.bodies if isinstance(body, RunSlow)]
    assert len(slow) == 1
    assert slow[0].left_ms > 800.0


def test_a_token_that_the_upstream_refuses_is_raised(bench: Bench) -> None:
    """The time of day of the last life was ahead."""
    call = bench.start()
    bench.answer(call, StartResult.FENCED)
    again = bench.calls[-1]
    assert isinstance(again, CallStart)
    assert again.fence >= call.fence + 600_000
