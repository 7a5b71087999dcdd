"""Guards against runs that start twice, continue without their entry, or start where forbidden."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from snipewell.channel import Channel, session_number
from snipewell.entrysession import (
    MAX_HANDSHAKE_MS,
    SESSION_TIMEOUT_MS,
    STOP_MARGIN_MS,
    STOP_RETRY_MS,
    SendFrame,
)
from snipewell.executor import (
    IDLE_POLL_MS,
    POLL_RETRY_MS,
    UPSTREAM_SILENCE_MS,
    Executor,
    LogRecord,
)
from snipewell.ids import UpstreamId
from snipewell.job import ResourceVector, RunEnd
from snipewell.runmessage import (
    BUSY_TASK,
    NO_CAPACITY,
    STEP_LIMIT,
    SUSPECT_RUNNING,
    AgentBody,
    EntryBody,
    Goodbye,
    Hello,
    Report,
    RunEnded,
    RunSlow,
    StartRun,
    StopRun,
    UpstreamCrash,
    UpstreamReport,
    ZoneNotice,
)
from snipewell.runspeed import STALL_MS
from snipewell.upstreamcall import (
    CallHold,
    CallStart,
    CallStop,
    EndRow,
    RunLists,
    RunRow,
    StartResult,
    Upstream,
)

UPSTREAM = Upstream(
    UpstreamId("u1"), 1_000, "svc", "z1", "127.0.0.1:1", ResourceVector(10_000, 1_000), ("a",)
)


class ExecutorHarness:
    """An executor with one entry and an upstream whose answers the test gives."""

    def __init__(self) -> None:
        self.now = 1_000.0
        self.core = Executor("agent-1", "life-1", 100, 1_000.0)
        self.calls: list[CallStart | CallStop | CallHold] = []
        self.bodies: list[AgentBody] = []
        self.channel: Channel[EntryBody, AgentBody] | None = None
        self.ended: list[EndRow] = []
        self.logs: list[LogRecord] = []

    def collect_effects(self) -> None:
        effects, self.core.effects[:] = list(self.core.effects), []
        for effect in effects:
            match effect:
                case SendFrame():
                    if self.channel is None or effect.frame.session != self.channel.session:
                        self.channel = Channel(effect.frame.session, self.now)
                    self.bodies += self.channel.receive(effect.frame, self.now)
                case CallStart() | CallStop() | CallHold():
                    self.calls.append(effect)
                case LogRecord():
                    self.logs.append(effect)

    def open_session(self) -> None:
        self.core.on_heartbeat(UPSTREAM, self.now)
        self.collect_effects()
        self.answer_poll()
        self.core.entries.connect("entry-1", self.now)
        self.collect_effects()

    def restart_upstream(self, born_ms: int) -> None:
        """Let the next incarnation of the upstream send a heartbeat and confirm that it is there.

        Its answer to the poll that follows is up to the test.
        """
        self.core.on_heartbeat(replace(UPSTREAM, born_ms=born_ms), self.now)
        self.collect_effects()
        probe = self.calls[-1]
        assert isinstance(probe, CallHold)
        assert probe.upstream.born_ms == born_ms
        self.core.on_hold(probe, RunLists(10.0, born_ms, (), ()), self.now)
        self.collect_effects()

    def answer_poll(self, running: tuple[RunRow, ...] = ()) -> None:
        """Answer the latest request for the lists of runs."""
        call = next(call for call in reversed(self.calls) if isinstance(call, CallHold))
        runs = RunLists(self.now, UPSTREAM.born_ms, running, tuple(self.ended))
        self.core.on_hold(call, runs, self.now)
        self.collect_effects()

    def answer_hold(self, running: tuple[RunRow, ...] = ()) -> None:
        """Answer the next long-poll call."""
        call = self.core.next_hold(self.now)
        assert call is not None
        runs = RunLists(self.now, UPSTREAM.born_ms, running, tuple(self.ended))
        self.core.on_hold(call, runs, self.now)
        self.collect_effects()

    def send(self, body: EntryBody) -> None:
        assert self.channel is not None
        self.core.on_frame("entry-1", self.channel.send(body, self.now), self.now)
        self.collect_effects()

    def heartbeat(self) -> None:
        assert self.channel is not None
        self.core.on_frame("entry-1", self.channel.send(None, self.now), self.now)

    def start(
        self, task: str = "j/0/0", attempt: int = 1, cpu: int = 4_000, factor: float = 1.0
    ) -> CallStart:
        order = StartRun(task, attempt, "spec", ResourceVector(cpu, 10), 400.0)
        self.send(msgspec.structs.replace(order, expected_factor=factor))
        call = self.calls[-1]
        assert isinstance(call, CallStart)
        return call

    def answer(self, call: CallStart, result: StartResult = StartResult.STARTED) -> None:
        self.core.on_start_answer(call, result, self.now, self.now)
        self.collect_effects()

    def answer_stop(self) -> None:
        """Answer the latest stop order."""
        call = next(call for call in reversed(self.calls) if isinstance(call, CallStop))
        self.core.on_stop_answer(call, True, self.now)

    def advance(
        self, by_ms: float, heartbeat: bool = True, running: tuple[RunRow, ...] = ()
    ) -> None:
        until = self.now + by_ms
        while self.now < until:
            self.now += 20.0
            if heartbeat:
                self.heartbeat()
            if self.core.next_hold(self.now) is not None:
                self.answer_hold(running)
            self.core.tick(self.now)
            self.collect_effects()

    def take_logs(self, text: str) -> list[dict[str, object]]:
        """Return the fields of the logged lines with the message ``text``."""
        return [dict(record.fields) for record in self.logs if record.text == text]

    def ends(self) -> list[tuple[str, int, str, str]]:
        return [
            (b.task, b.attempt, b.how, b.reason) for b in self.bodies if isinstance(b, RunEnded)
        ]


@pytest.fixture
def harness() -> ExecutorHarness:
    harness = ExecutorHarness()
    harness.open_session()
    return harness


def test_a_run_is_started_and_its_end_is_reported(harness: ExecutorHarness) -> None:
    call = harness.start()
    harness.answer(call)
    harness.ended.append(EndRow(1, "j/0/0", 1, RunEnd.DONE))
    harness.answer_hold()
    assert harness.ends() == [("j/0/0", 1, "done", "")]
    assert harness.core.running == 0


def test_runs_that_are_being_stopped_count_against_a_capacity_that_shrank(
    harness: ExecutorHarness,
) -> None:
    """A start that brings an upstream over its capacity, if it doesn't check that itself."""
    harness.answer(harness.start("j/0/0", cpu=4_000))
    harness.send(StopRun("j/0/0", 1))
    harness.core.on_heartbeat(replace(UPSTREAM, capacity=ResourceVector(6_000, 1_000)), harness.now)
    harness.send(StartRun("j/0/1", 1, "spec", ResourceVector(3_000, 10), 400.0))
    assert harness.ends() == [("j/0/1", 1, "rejected", NO_CAPACITY)]
    harness.ended.append(EndRow(1, "j/0/0", 1, RunEnd.STOPPED))
    harness.answer_hold()
    harness.answer(harness.start("j/0/2", cpu=6_000))
    harness.core.on_heartbeat(UPSTREAM, harness.now)
    harness.answer(harness.start("j/0/3", cpu=4_000))
    assert harness.core.running == 2


def test_an_ended_run_is_acknowledged_when_no_other_run_is_left(harness: ExecutorHarness) -> None:
    harness.answer(harness.start())
    harness.ended.append(EndRow(7, "j/0/0", 1, RunEnd.DONE))
    harness.answer_hold()
    call = harness.core.next_hold(harness.now)
    assert call is not None
    assert (call.acked, call.deadline_ms) == (7, None)


def test_a_start_that_does_not_fit_is_rejected_without_a_call(harness: ExecutorHarness) -> None:
    harness.answer(harness.start(cpu=8_000))
    harness.send(StartRun("j/0/1", 1, "spec", ResourceVector(4_000, 10), 400.0))
    assert harness.ends() == [("j/0/1", 1, "rejected", NO_CAPACITY)]
    assert len([call for call in harness.calls if isinstance(call, CallStart)]) == 1


def test_a_draining_upstream_gets_no_start(harness: ExecutorHarness) -> None:
    harness.core.on_heartbeat(replace(UPSTREAM, draining=True), harness.now)
    harness.send(StartRun("j/0/0", 1, "spec", ResourceVector(1, 1), 400.0))
    assert harness.ends()[0][2] == "rejected"


def test_a_zone_out_of_service_gets_no_start_and_an_older_revision_is_ignored(
    harness: ExecutorHarness,
) -> None:
    harness.send(ZoneNotice(5, ["z1"]))
    harness.send(ZoneNotice(4, []))
    harness.send(StartRun("j/0/0", 1, "spec", ResourceVector(1, 1), 400.0))
    assert harness.ends() == [("j/0/0", 1, "rejected", "the zone is out of service")]


def test_runs_of_a_silent_entry_are_stopped_before_a_client_resends_its_job(
    harness: ExecutorHarness,
) -> None:
    """After its entry failed, a client resends the job to another entry after 1,300 ms."""
    harness.answer(harness.start())
    rows = (RunRow("j/0/0", 1, 1.0),)
    harness.advance(SESSION_TIMEOUT_MS + 40, heartbeat=False, running=rows)
    assert any(isinstance(call, CallStop) for call in harness.calls)
    assert harness.now - 1_000.0 < 1_300.0 - STOP_RETRY_MS


def refuse_poll(harness: ExecutorHarness) -> CallHold:
    """Refuse the connection of the latest request for the lists of runs."""
    call = next(call for call in reversed(harness.calls) if isinstance(call, CallHold))
    harness.core.on_hold_refused(call, harness.now)
    harness.collect_effects()
    return call


def refuse_hold(harness: ExecutorHarness) -> CallHold:
    """Refuse the connection of the next long-poll call."""
    call = harness.core.next_hold(harness.now)
    assert call is not None
    harness.core.on_hold_refused(call, harness.now)
    harness.collect_effects()
    return call


def last_report(harness: ExecutorHarness) -> UpstreamReport:
    return next(b.report for b in reversed(harness.bodies) if isinstance(b, Report))


def test_runs_of_an_upstream_without_a_listener_end_at_once(harness: ExecutorHarness) -> None:
    """Guards against tasks that wait for the lease of an upstream that has crashed."""
    harness.answer(harness.start())
    harness.now += 40.0
    refuse_hold(harness)
    assert harness.ends() == [("j/0/0", 1, "lost", "no listener at the upstream")]
    assert not last_report(harness).healthy
    assert harness.core.next_hold(harness.now) is None
    harness.advance(2_000.0)
    refuse_poll(harness)
    assert not last_report(harness).healthy
    harness.send(StartRun("j/0/1", 1, "spec", ResourceVector(1, 1), 400.0))
    assert harness.ends()[-1][2:] == ("rejected", "the upstream is unhealthy")
    harness.restart_upstream(5_000)
    call = next(call for call in reversed(harness.calls) if isinstance(call, CallHold))
    harness.core.on_hold(call, RunLists(harness.now, 5_000, (), ()), harness.now)
    harness.collect_effects()
    harness.advance(20.0)
    assert last_report(harness).healthy


def test_a_refused_call_to_an_earlier_incarnation_ends_no_run(harness: ExecutorHarness) -> None:
    """Guards against runs of a restarted upstream that are ended by a late result."""
    harness.answer(harness.start())
    harness.now += 40.0
    late = harness.core.next_hold(harness.now)
    assert late is not None
    harness.restart_upstream(5_000)
    harness.core.on_hold_refused(late, harness.now)
    harness.collect_effects()
    assert harness.ends() == []
    assert harness.core.running == 1


def test_a_start_sent_after_a_refused_call_waits_for_its_own_answer(
    harness: ExecutorHarness,
) -> None:
    """Guards against overlapping runs when the next incarnation has taken the later start."""
    harness.answer(harness.start("j/0/0", cpu=1_000))
    harness.now += 40.0
    call = harness.core.next_hold(harness.now)
    assert call is not None
    harness.now += 5.0
    later = harness.start("j/0/1", cpu=1_000)
    harness.core.on_hold_refused(call, harness.now)
    harness.collect_effects()
    assert [end[0] for end in harness.ends()] == ["j/0/0"]
    harness.answer(later)
    assert harness.core.running == 1


def test_a_refused_start_is_rejected_and_ends_the_earlier_runs(harness: ExecutorHarness) -> None:
    """Guards against a start counted as lost on an upstream that it can't have reached."""
    harness.answer(harness.start("j/0/0", cpu=1_000))
    harness.now += 40.0
    harness.answer(harness.start("j/0/1", cpu=1_000), StartResult.NO_LISTENER)
    assert [(task, how) for task, _, how, _ in harness.ends()] == [
        ("j/0/1", "rejected"),
        ("j/0/0", "lost"),
    ]


def test_runs_of_a_draining_upstream_without_a_listener_keep_their_lease(
    harness: ExecutorHarness,
) -> None:
    """Guards against overlapping runs if a leaving upstream closes its listener first."""
    harness.answer(harness.start())
    harness.core.on_heartbeat(replace(UPSTREAM, draining=True), harness.now)
    harness.now += 40.0
    refuse_hold(harness)
    assert harness.ends() == []


def test_an_upstream_that_answers_again_is_reconciled_first(harness: ExecutorHarness) -> None:
    """Guards against starts beside runs that were ended although their upstream lived on."""
    harness.answer(harness.start())
    harness.now += 40.0
    early = harness.core.next_hold(harness.now)
    assert early is not None
    refuse_hold(harness)
    rows = (RunRow("j/0/0", 1, 1.0),)
    harness.core.on_hold(early, RunLists(harness.now, 1_000, rows, ()), harness.now)
    harness.collect_effects()
    assert harness.core.next_hold(harness.now) is None
    harness.advance(160.0)
    harness.answer_poll(rows)
    harness.answer_poll(rows)
    assert isinstance(harness.calls[-1], CallStop)
    harness.send(StartRun("j/0/1", 1, "spec", ResourceVector(1, 1), 400.0))
    assert harness.ends()[-1][2:] == ("rejected", "no upstream")


def crashes(harness: ExecutorHarness) -> list[UpstreamCrash]:
    """Return the crashes reported to the entry."""
    return [crash for b in harness.bodies if isinstance(b, Report) for crash in b.crashes]


def test_a_crash_is_reported_before_the_ends_of_its_runs(harness: ExecutorHarness) -> None:
    """Guards against a task that starts again before its entry knows of the crash."""
    harness.answer(harness.start("j/0/0", cpu=1_000))
    harness.answer(harness.start("j/0/1", cpu=1_000))
    harness.answer(harness.start("j/0/2", cpu=1_000), StartResult.UNANSWERED)
    harness.now += 40.0
    refuse_hold(harness)
    assert crashes(harness) == [UpstreamCrash("u1@1000", ["j/0/0", "j/0/1"], unconfirmed=["j/0/2"])]
    kinds = [type(body) for body in harness.bodies if isinstance(body, Report | RunEnded)]
    assert kinds[-4:] == [Report, RunEnded, RunEnded, RunEnded]
    assert isinstance(harness.bodies[-1], RunEnded)


def test_a_crash_is_reported_once(harness: ExecutorHarness) -> None:
    """Guards against a crash that counts again when the next incarnation registers."""
    harness.answer(harness.start())
    harness.now += 40.0
    refuse_hold(harness)
    harness.advance(200.0)
    refuse_poll(harness)
    harness.restart_upstream(5_000)
    assert len(crashes(harness)) == 1
    assert harness.core.counters.crashes == 1


def test_a_new_incarnation_shows_the_crash_of_the_last_one(harness: ExecutorHarness) -> None:
    """Guards against crashes that go unseen because the upstream was back before any call."""
    harness.answer(harness.start())
    harness.restart_upstream(5_000)
    harness.restart_upstream(6_000)
    assert crashes(harness) == [UpstreamCrash("u1@1000", ["j/0/0"]), UpstreamCrash("u1@5000", [])]


@pytest.mark.parametrize("deregisters", [False, True])
def test_an_upstream_that_leaves_has_not_crashed(
    harness: ExecutorHarness, deregisters: bool
) -> None:
    """Guards against tasks blamed for an upstream that was stopped on purpose."""
    harness.answer(harness.start())
    harness.core.on_heartbeat(replace(UPSTREAM, draining=True), harness.now)
    if deregisters:
        harness.core.on_deregistration(UPSTREAM.upstream, "it has left", harness.now)
        harness.collect_effects()
    harness.restart_upstream(5_000)
    assert crashes(harness) == []


@pytest.mark.parametrize("restarted", [False, True])
def test_tasks_of_a_silent_upstream_are_blamed_only_after_its_restart(
    harness: ExecutorHarness, restarted: bool
) -> None:
    """Guards against tasks blamed for an upstream that was only suspended."""
    harness.answer(harness.start())
    for _ in range(80):
        harness.now += 20.0
        harness.heartbeat()
        harness.core.tick(harness.now)
        harness.collect_effects()
    assert harness.ends()[-1][2] == "lost"
    assert crashes(harness) == []
    if not restarted:
        harness.answer_hold()
    harness.restart_upstream(5_000)
    blamed = ["j/0/0"] if restarted else []
    assert crashes(harness) == [UpstreamCrash("u1@1000", [], unconfirmed=blamed)]


def test_a_new_session_begins_with_the_recent_crashes(harness: ExecutorHarness) -> None:
    """Guards against an entry that gets a job without knowing of the crashes under it."""
    harness.answer(harness.start())
    harness.now += 40.0
    refuse_hold(harness)
    harness.core.entries.connect("entry-2", harness.now)
    effect = harness.core.effects[-1]
    assert isinstance(effect, SendFrame)
    assert isinstance(effect.frame.body, Hello)
    assert effect.frame.body.crashes == [UpstreamCrash("u1@1000", ["j/0/0"])]


def test_one_suspect_runs_at_a_time(harness: ExecutorHarness) -> None:
    """Guards against a crash that doesn't show which of two suspects caused it."""
    size = ResourceVector(1_000, 10)
    harness.send(StartRun("j/0/0", 1, "spec", size, 400.0, crashes=1, apart=True))
    harness.send(StartRun("j/0/1", 1, "spec", size, 400.0, crashes=1, apart=True))
    harness.send(StartRun("j/0/2", 1, "spec", size, 400.0))
    for call in [call for call in harness.calls if isinstance(call, CallStart)]:
        harness.answer(call)
    assert harness.ends() == [("j/0/1", 1, "rejected", SUSPECT_RUNNING)]
    harness.now += 40.0
    refuse_hold(harness)
    assert crashes(harness) == [UpstreamCrash("u1@1000", ["j/0/0", "j/0/2"], ["j/0/0"])]


def test_a_suspect_that_has_waited_runs_beside_another_one(harness: ExecutorHarness) -> None:
    """Guards against suspects that wait for one another after the loss of many upstreams."""
    size = ResourceVector(1_000, 10)
    harness.send(StartRun("j/0/0", 1, "spec", size, 400.0, crashes=1, apart=True))
    harness.send(StartRun("j/0/1", 1, "spec", size, 400.0, crashes=1, apart=False))
    assert harness.ends() == []
    assert harness.core.running == 2


def test_orders_of_an_ended_session_start_nothing(harness: ExecutorHarness) -> None:
    """A frame delayed by a network partition arrives after its session has ended."""
    assert harness.channel is not None
    old = harness.channel
    late = old.send(StartRun("j/0/9", 1, "spec", ResourceVector(1, 1), 400.0), harness.now)
    harness.advance(2 * SESSION_TIMEOUT_MS + 100, heartbeat=False)
    before = len(harness.calls)
    harness.core.on_frame("entry-1", late, harness.now)
    harness.collect_effects()
    assert not [call for call in harness.calls[before:] if isinstance(call, CallStart)]


def test_a_new_session_begins_only_after_the_runs_of_the_last_have_ended(
    harness: ExecutorHarness,
) -> None:
    """A new session guarantees to the entry that no run of the old one continues."""
    harness.answer(harness.start())
    rows = (RunRow("j/0/0", 1, 1.0),)
    hellos = sum(isinstance(body, Hello) for body in harness.bodies)
    harness.advance(SESSION_TIMEOUT_MS + 200, heartbeat=False, running=rows)
    assert sum(isinstance(body, Hello) for body in harness.bodies) == hellos
    harness.ended.append(EndRow(1, "j/0/0", 1, RunEnd.STOPPED))
    harness.advance(100, heartbeat=False)
    assert sum(isinstance(body, Hello) for body in harness.bodies) == hellos + 1


def test_a_session_that_is_unknown_to_its_entry_ends(harness: ExecutorHarness) -> None:
    """A restarted entry has no record of its runs; they must not continue as orphans."""
    harness.answer(harness.start())
    assert harness.channel is not None
    goodbye = Channel[EntryBody, AgentBody](harness.channel.session, harness.now)
    frame = goodbye.send(None, harness.now)
    frame.body = Goodbye()
    harness.core.on_frame("entry-1", frame, harness.now)
    harness.collect_effects()
    assert isinstance(harness.calls[-1], CallStop)


def test_an_unanswered_start_is_fenced_by_a_higher_token(harness: ExecutorHarness) -> None:
    """The upstream may execute the order seconds later, when the task runs elsewhere."""
    call = harness.start()
    harness.answer(call, StartResult.UNANSWERED)
    poll = harness.calls[-1]
    assert isinstance(poll, CallHold)
    assert poll.fence > call.fence
    assert harness.ends() == []
    harness.answer_poll()
    assert harness.ends() == [("j/0/0", 1, "rejected", "the upstream doesn't list the run")]


def test_an_unanswered_start_that_was_executed_continues(harness: ExecutorHarness) -> None:
    call = harness.start()
    harness.answer(call, StartResult.UNANSWERED)
    harness.answer_poll((RunRow("j/0/0", 1, 3.0),))
    assert harness.ends() == []
    assert harness.core.running == 1


def test_a_list_requested_with_the_old_token_decides_nothing(harness: ExecutorHarness) -> None:
    """The list may precede the start."""
    waiting = harness.core.next_hold(harness.now + IDLE_POLL_MS)
    assert waiting is not None
    call = harness.start()
    harness.answer(call, StartResult.UNANSWERED)
    harness.core.on_hold(waiting, RunLists(harness.now, UPSTREAM.born_ms, (), ()), harness.now)
    harness.collect_effects()
    assert harness.ends() == []


def test_a_start_fenced_by_the_raised_token_is_sent_again(harness: ExecutorHarness) -> None:
    first = harness.start("j/0/0")
    second = harness.start("j/0/1")
    harness.answer(first, StartResult.UNANSWERED)
    harness.answer(second, StartResult.FENCED)
    again = harness.calls[-1]
    assert isinstance(again, CallStart)
    assert (again.task, again.fence > second.fence) == ("j/0/1", True)


def test_a_restarted_agent_stops_the_runs_of_its_last_incarnation(harness: ExecutorHarness) -> None:
    """Orphaned runs would execute beside the next attempt of the same task."""
    late = ExecutorHarness()
    late.core.on_heartbeat(UPSTREAM, late.now)
    late.collect_effects()
    late.answer_poll((RunRow("old/0/0", 1, 50.0),))
    assert isinstance(late.calls[-1], CallStop)
    late.core.entries.connect("entry-1", late.now)
    late.collect_effects()
    hello = late.bodies[-1]
    assert isinstance(hello, Hello)
    assert hello.report.upstream == ""
    late.now += STOP_RETRY_MS
    late.core.tick(late.now)
    late.collect_effects()
    late.answer_poll()
    report = late.bodies[-1]
    assert isinstance(report, Report)
    assert report.report.upstream == "u1"


def test_a_session_closed_on_purpose_says_goodbye_and_ignores_later_orders(
    harness: ExecutorHarness,
) -> None:
    """The entry places its tasks elsewhere, so an order on its way must not start anything."""
    calls = len(harness.calls)
    harness.core.leave_entry("entry-1", harness.now)
    harness.collect_effects()
    assert isinstance(harness.bodies[-1], Goodbye)
    harness.send(StartRun("j/0/0", 1, "spec", ResourceVector(1_000, 10), 400.0))
    assert len(harness.calls) == calls
    assert harness.core.entries.peers() == set()


def test_a_session_with_runs_is_not_closed_on_purpose(harness: ExecutorHarness) -> None:
    call = harness.start()
    harness.answer(call)
    harness.core.leave_entry("entry-1", harness.now)
    harness.collect_effects()
    assert harness.core.entries.peers() == {"entry-1"}
    assert not any(isinstance(body, Goodbye) for body in harness.bodies)


def test_a_session_with_an_entry_that_was_removed_has_a_higher_number(
    harness: ExecutorHarness,
) -> None:
    """An entry ignores a session with a lower number than it has seen from the agent."""
    assert harness.channel is not None
    before = session_number(harness.channel.session)
    harness.core.entries.disconnect("entry-1", harness.now)
    harness.core.entries.connect("entry-1", harness.now)
    harness.collect_effects()
    assert session_number(harness.channel.session) > before


def test_a_session_is_opened_anew_when_its_connection_is_open_at_last() -> None:
    """After a loss of power the agent is up before the entry, and connects only later.

    The entry places tasks in the session at once; they would be lost with a session that is too
    old for its answer.
    """
    harness = ExecutorHarness()
    harness.open_session()
    harness.now += MAX_HANDSHAKE_MS + 50.0
    harness.core.entries.on_connected("entry-1", harness.now)
    harness.collect_effects()
    harness.answer(harness.start())
    assert harness.core.running == 1
    assert harness.core.entries.is_responsive("entry-1", harness.now)


def test_an_established_session_survives_a_new_connection(harness: ExecutorHarness) -> None:
    harness.answer(harness.start())
    harness.core.entries.on_connected("entry-1", harness.now)
    harness.collect_effects()
    assert harness.core.running == 1
    assert harness.ends() == []


def test_an_entry_that_does_not_respond_counts_as_failed_only_after_the_session_timeout(
    harness: ExecutorHarness,
) -> None:
    harness.heartbeat()
    assert harness.channel is not None
    assert harness.core.entries.find_failed(harness.now) == set()
    harness.core.entries.connect("entry-2", harness.now)
    assert harness.core.entries.find_failed(harness.now + SESSION_TIMEOUT_MS - 1) == set()
    harness.now += SESSION_TIMEOUT_MS
    harness.core.on_frame("entry-1", harness.channel.send(None, harness.now), harness.now)
    assert harness.core.entries.find_failed(harness.now) == {"entry-2"}


def let_holds_fail(harness: ExecutorHarness, for_ms: float) -> None:
    """Advance the time while the upstream answers nothing and the daemon repeats its calls."""
    until = harness.now + for_ms
    while harness.now < until:
        call = harness.core.next_hold(harness.now)
        harness.now += 200.0
        if call is not None:
            harness.core.on_hold(call, None, harness.now)
        harness.heartbeat()
        harness.core.tick(harness.now)
        harness.collect_effects()


def test_the_runs_of_a_dead_upstream_end_although_the_agent_goes_on_calling(
    harness: ExecutorHarness,
) -> None:
    """An unanswered call may renew the lease, so calls that go on doing so keep it in doubt."""
    harness.answer(harness.start())
    let_holds_fail(harness, UPSTREAM_SILENCE_MS + 1_000.0 / 0.98 + 400.0)
    assert [how for _, _, how, _ in harness.ends()] == ["lost"]


def test_a_start_that_a_dead_upstream_does_not_answer_ends(harness: ExecutorHarness) -> None:
    call = harness.start()
    harness.now += 120.0
    harness.answer(call, StartResult.UNANSWERED)
    let_holds_fail(harness, UPSTREAM_SILENCE_MS + 1_000.0 / 0.98 + 400.0)
    assert [how for _, _, how, _ in harness.ends()] == ["lost"]


def test_a_silent_upstream_gets_no_starts_until_it_answers(harness: ExecutorHarness) -> None:
    """Entries would wait for the lease to expire before they could place the tasks elsewhere."""
    harness.answer(harness.start())
    let_holds_fail(harness, UPSTREAM_SILENCE_MS + 200.0)
    report = next(body for body in reversed(harness.bodies) if isinstance(body, Report))
    assert not report.report.healthy
    starts = sum(isinstance(call, CallStart) for call in harness.calls)
    harness.send(StartRun("k/0/0", 1, "spec", ResourceVector(1_000, 10), 400.0))
    assert sum(isinstance(call, CallStart) for call in harness.calls) == starts
    harness.answer_hold((RunRow("j/0/0", 1, 50.0),))
    harness.send(StartRun("k/0/0", 2, "spec", ResourceVector(1_000, 10), 400.0))
    assert sum(isinstance(call, CallStart) for call in harness.calls) == starts + 1


def test_a_single_lost_answer_does_not_end_the_renewal_of_the_lease(
    harness: ExecutorHarness,
) -> None:
    harness.answer(harness.start())
    let_holds_fail(harness, 200.0)
    call = harness.core.next_hold(harness.now)
    assert call is not None
    assert call.deadline_ms is not None


def probe_other_incarnation(harness: ExecutorHarness, other: Upstream) -> CallHold:
    """Let another incarnation send a heartbeat; return the call that asks for it."""
    harness.core.on_heartbeat(other, harness.now)
    harness.collect_effects()
    probe = harness.calls[-1]
    assert isinstance(probe, CallHold)
    assert probe.upstream == other
    assert (probe.deadline_ms, probe.acked) == (None, 0)
    return probe


@pytest.mark.parametrize("other_id", [False, True])
def test_a_heartbeat_of_an_incarnation_that_is_not_there_ends_no_run(
    harness: ExecutorHarness, other_id: bool
) -> None:
    """Guards against tasks that run twice after a heartbeat of another writer (review/2)."""
    harness.answer(harness.start())
    other = replace(UPSTREAM, born_ms=9_000)
    if other_id:
        other = replace(other, upstream=UpstreamId("u-other"))
    probe = probe_other_incarnation(harness, other)
    assert harness.ends() == []
    if other_id:
        harness.core.on_hold_elsewhere(probe, harness.now)
    else:
        harness.core.on_hold(probe, RunLists(harness.now, UPSTREAM.born_ms, (), ()), harness.now)
    harness.collect_effects()
    assert harness.core.upstream == UPSTREAM
    assert (harness.ends(), crashes(harness)) == ([], [])
    assert harness.logs[-1].text == "registration ignored"
    # The agent goes on: it renews the lease of the run and takes others.
    harness.now += 20.0
    harness.answer_hold((RunRow("j/0/0", 1, 5.0),))
    harness.answer(harness.start("j/0/1"))
    assert harness.core.running == 2


def test_a_delayed_heartbeat_of_an_earlier_incarnation_changes_nothing(
    harness: ExecutorHarness,
) -> None:
    """It may arrive after its sender has crashed and another incarnation has registered."""
    harness.answer(harness.start())
    earlier = replace(UPSTREAM, born_ms=UPSTREAM.born_ms - 1, draining=True)
    probe = probe_other_incarnation(harness, earlier)
    harness.core.on_hold(probe, RunLists(harness.now, None, (), ()), harness.now)
    harness.collect_effects()
    assert harness.core.upstream == UPSTREAM
    assert (harness.ends(), crashes(harness)) == ([], [])


def test_an_upstream_whose_clock_went_back_replaces_the_last_one(harness: ExecutorHarness) -> None:
    """Guards against an upstream without work because its start time lies before the last one's."""
    harness.answer(harness.start())
    restarted = replace(UPSTREAM, upstream=UpstreamId("u2"), born_ms=UPSTREAM.born_ms - 500)
    probe = probe_other_incarnation(harness, restarted)
    harness.core.on_hold(probe, RunLists(0.0, restarted.born_ms, (), ()), harness.now)
    harness.collect_effects()
    assert harness.core.upstream == restarted
    assert harness.ends() == [("j/0/0", 1, "lost", "a new life of the upstream")]


def test_a_new_incarnation_that_does_not_listen_yet_is_asked_again(
    harness: ExecutorHarness,
) -> None:
    """An upstream may register before it listens."""
    restarted = replace(UPSTREAM, upstream=UpstreamId("u2"), born_ms=5_000)
    probe = probe_other_incarnation(harness, restarted)
    harness.core.on_hold_refused(probe, harness.now)
    harness.advance(POLL_RETRY_MS + 20.0)
    again = harness.calls[-1]
    assert isinstance(again, CallHold)
    assert again.upstream == restarted
    harness.core.on_hold(again, RunLists(0.0, 5_000, (), ()), harness.now)
    assert harness.core.upstream == restarted


def test_a_new_incarnation_with_a_higher_fencing_token_is_registered(
    harness: ExecutorHarness,
) -> None:
    """Only the upstream with the intended id compares the tokens."""
    restarted = replace(UPSTREAM, upstream=UpstreamId("u2"), born_ms=5_000)
    harness.core.on_hold_fenced(probe_other_incarnation(harness, restarted), harness.now)
    assert harness.core.upstream == restarted


def test_a_refused_token_confirms_no_earlier_incarnation(harness: ExecutorHarness) -> None:
    """Guards against a late heartbeat that displaces the incarnation which is there.

    A refusal for a low token shows the id of the upstream, not its incarnation.
    """
    earlier = replace(UPSTREAM, born_ms=UPSTREAM.born_ms - 500)
    harness.core.on_hold_fenced(probe_other_incarnation(harness, earlier), harness.now)
    assert harness.core.upstream == UPSTREAM


def test_only_the_registered_upstream_can_deregister(harness: ExecutorHarness) -> None:
    harness.answer(harness.start())
    harness.core.on_deregistration(UpstreamId("u-other"), "it has left", harness.now)
    assert harness.core.upstream == UPSTREAM
    probe_other_incarnation(harness, replace(UPSTREAM, upstream=UpstreamId("u2"), born_ms=5_000))
    harness.core.on_deregistration(UpstreamId("u2"), "it has left", harness.now)
    assert harness.core.upstream == UPSTREAM
    harness.core.on_heartbeat(replace(UPSTREAM, draining=True), harness.now)
    assert not harness.core.is_leaving
    harness.core.on_deregistration(UPSTREAM.upstream, "it has left", harness.now)
    assert harness.core.is_leaving


def leave_with_a_run(harness: ExecutorHarness) -> None:
    """Let the upstream drain and deregister while it runs a task."""
    harness.answer(harness.start())
    harness.core.on_heartbeat(replace(UPSTREAM, draining=True), harness.now)
    harness.core.on_deregistration(UPSTREAM.upstream, "it has left", harness.now)
    harness.collect_effects()
    assert isinstance(harness.calls[-1], CallStop)
    harness.answer_hold(running=(RunRow("j/0/0", 1, 12.0),))
    assert harness.ends() == []
    assert harness.core.is_leaving


def test_a_run_on_an_upstream_that_deregistered_ends_when_it_is_listed(
    harness: ExecutorHarness,
) -> None:
    """Guards against a next attempt while the upstream is still there (review/6)."""
    leave_with_a_run(harness)
    harness.ended.append(EndRow(1, "j/0/0", 1, RunEnd.STOPPED))
    harness.answer_hold()
    assert [end[2:] for end in harness.ends()] == [("lost", "it has left")]
    assert harness.core.upstream is None
    assert not harness.core.is_leaving


def test_a_run_on_an_upstream_that_deregistered_ends_with_its_lease(
    harness: ExecutorHarness,
) -> None:
    """Guards against a run that is taken for ended because its upstream doesn't answer."""
    leave_with_a_run(harness)
    left_at_ms = harness.now
    while not harness.ends():
        harness.now += 20.0
        harness.heartbeat()
        harness.core.tick(harness.now)
        harness.collect_effects()
        call = harness.core.next_hold(harness.now)
        assert call is None or call.deadline_ms is None
    assert harness.now - left_at_ms >= 1_000.0
    assert harness.ends()[-1][2] == "lost"
    assert harness.core.upstream is None


def test_a_late_deregistration_of_the_last_incarnation_ends_no_run(
    harness: ExecutorHarness,
) -> None:
    """Guards against runs of an upstream that is back under its id (review/8)."""
    harness.core.on_heartbeat(replace(UPSTREAM, draining=True), harness.now)
    harness.restart_upstream(5_000)
    runs = RunLists(10.0, 5_000, (), ())
    harness.core.on_hold(harness.calls[-1], runs, harness.now)  # type: ignore[arg-type]
    harness.answer(harness.start())
    calls = list(harness.calls)
    harness.core.on_deregistration(UPSTREAM.upstream, "it has left", harness.now)
    harness.collect_effects()
    assert harness.calls == calls
    assert harness.ends() == []
    assert not harness.core.is_leaving
    assert harness.core.upstream == replace(UPSTREAM, born_ms=5_000, heartbeat_ms=harness.now)


def test_a_late_deregistration_keeps_the_heartbeat_of_the_next_incarnation(
    harness: ExecutorHarness,
) -> None:
    """Guards against a next incarnation that is unknown until its second heartbeat."""
    harness.core.on_heartbeat(replace(UPSTREAM, draining=True), harness.now)
    harness.core.on_heartbeat(replace(UPSTREAM, born_ms=5_000), harness.now)
    harness.core.on_deregistration(UPSTREAM.upstream, "it has left", harness.now)
    assert harness.core.upstream == replace(UPSTREAM, born_ms=5_000, heartbeat_ms=harness.now)


def test_a_restarted_upstream_has_no_runs_and_gets_a_higher_token(harness: ExecutorHarness) -> None:
    """An order to the last incarnation may still be executed by the new one."""
    call = harness.start()
    harness.answer(call)
    harness.restart_upstream(2_000)
    poll = harness.calls[-1]
    assert isinstance(poll, CallHold)
    assert poll.fence > call.fence
    runs = RunLists(10.0, 2_000, (), ())
    harness.core.on_hold(poll, runs, harness.now)
    harness.collect_effects()
    assert harness.ends() == [("j/0/0", 1, "lost", "the upstream doesn't list the run")]


def test_a_start_that_reached_a_restarted_upstream_before_its_heartbeat_continues(
    harness: ExecutorHarness,
) -> None:
    """The run must not be reported as lost with the old incarnation and also started elsewhere."""
    harness.answer(harness.start())
    harness.restart_upstream(2_000)
    poll = harness.calls[-1]
    assert isinstance(poll, CallHold)
    harness.core.on_hold(poll, RunLists(10.0, 2_000, (RunRow("j/0/0", 1, 3.0),), ()), harness.now)
    harness.collect_effects()
    assert harness.ends() == []
    assert harness.core.running == 1


def test_an_upstream_that_does_not_answer_loses_its_runs_when_the_lease_has_expired(
    harness: ExecutorHarness,
) -> None:
    harness.answer(harness.start())
    began = harness.now
    while not harness.ends() and harness.now < began + 3_000:
        harness.now += 20
        harness.heartbeat()
        harness.core.tick(harness.now)
        harness.collect_effects()
    assert harness.ends()[0][2] == "lost"
    assert harness.now - began >= 1_000.0


def test_a_run_without_progress_is_stopped(harness: ExecutorHarness) -> None:
    """A stalled task would block its job and occupy resources for ever."""
    harness.answer(harness.start())
    harness.advance(STALL_MS + 100, running=(RunRow("j/0/0", 1, 12.0),))
    assert any(isinstance(call, CallStop) for call in harness.calls)
    harness.ended.append(EndRow(1, "j/0/0", 1, RunEnd.STOPPED))
    harness.advance(40)
    assert harness.ends()[0][2] == "stalled"


def test_a_run_is_not_considered_stalled_while_the_upstream_leaves_calls_unanswered(
    harness: ExecutorHarness,
) -> None:
    """Requests for the lists may be lost as well; the run may have made progress."""
    harness.answer(harness.start())
    harness.answer_hold((RunRow("j/0/0", 1, 12.0),))
    until = harness.now + STALL_MS + 100
    while harness.now < until:
        harness.now += 20
        harness.heartbeat()
        harness.core.tick(harness.now)
        harness.collect_effects()
    assert not any(isinstance(call, CallStop) for call in harness.calls)


def test_a_stop_without_effect_is_repeated(harness: ExecutorHarness) -> None:
    """The upstream may execute a stop order only after a delay."""
    harness.answer(harness.start())
    harness.send(StopRun("j/0/0", 1))
    harness.answer_stop()
    harness.advance(STOP_RETRY_MS, running=(RunRow("j/0/0", 1, 12.0),))
    harness.answer_stop()
    harness.advance(40, running=(RunRow("j/0/0", 1, 12.0),))
    assert len([call for call in harness.calls if isinstance(call, CallStop)]) == 2


def test_an_unanswered_stop_is_repeated_ten_times_before_the_task_starts_elsewhere(
    harness: ExecutorHarness,
) -> None:
    """Two stop orders without an answer let a run go on beside the next attempt of its task."""
    harness.answer(harness.start())
    harness.send(StopRun("j/0/0", 1))
    # The last stop that counts leaves the upstream its stopGraceMs of 50 ms.
    harness.advance(STOP_MARGIN_MS - 100, running=(RunRow("j/0/0", 1, 12.0),))
    orders = [call for call in harness.calls if isinstance(call, CallStop)]
    assert len(orders) >= 1 + 10
    assert harness.core.awaits_stop


def test_the_lease_is_not_renewed_for_runs_that_are_being_stopped(
    harness: ExecutorHarness,
) -> None:
    """A run whose stop orders are all carried out late went on without any limit."""
    harness.answer(harness.start("j/0/0", cpu=1_000))
    harness.answer(harness.start("j/0/1", cpu=1_000))
    harness.send(StopRun("j/0/0", 1))
    call = harness.core.next_hold(harness.now)
    assert call is not None and call.deadline_ms is not None
    harness.send(StopRun("j/0/1", 1))
    call = harness.core.next_hold(harness.now)
    assert call is not None and call.deadline_ms is None
    assert call.wait_ms > 0


def test_runs_are_not_given_up_before_the_upstream_could_answer_after_a_stall(
    harness: ExecutorHarness,
) -> None:
    """A lease may not have expired if the upstream stood still together with its agent."""
    harness.answer(harness.start())
    rows = (RunRow("j/0/0", 1, 1.0),)
    harness.advance(200.0, running=rows)
    harness.now += 3_000.0
    harness.core.tick(harness.now)
    harness.collect_effects()
    assert harness.core.running == 1
    # A working upstream answers within this time; one that doesn't has lost its runs.
    for _ in range(int(UPSTREAM_SILENCE_MS / 20) + 2):
        harness.now += 20.0
        harness.core.tick(harness.now)
    assert harness.core.running == 0


def test_an_answered_stop_of_an_earlier_incarnation_does_not_count(
    harness: ExecutorHarness,
) -> None:
    """Answers on different connections may arrive after the upstream has restarted."""
    harness.answer(harness.start())
    harness.send(StopRun("j/0/0", 1))
    call = harness.calls[-1]
    assert isinstance(call, CallStop)
    earlier = replace(call, upstream=replace(UPSTREAM, born_ms=1))
    harness.core.on_stop_answer(earlier, True, harness.now)
    assert harness.core.awaits_stop


def test_a_stop_before_the_answer_to_the_start_is_sent_after_it(harness: ExecutorHarness) -> None:
    call = harness.start()
    harness.send(StopRun("j/0/0", 1))
    harness.answer(call)
    assert isinstance(harness.calls[-1], CallStop)


def test_another_attempt_of_a_running_task_supersedes_it(harness: ExecutorHarness) -> None:
    """The job was resent to another entry while the first one is partitioned from the agent."""
    harness.answer(harness.start(attempt=1))
    harness.send(StartRun("j/0/0", 2, "spec", ResourceVector(1, 1), 400.0))
    assert harness.ends() == [("j/0/0", 2, "rejected", BUSY_TASK)]
    assert isinstance(harness.calls[-1], CallStop)


def test_a_start_sent_after_a_suspension_is_not_sent_again(harness: ExecutorHarness) -> None:
    """The process was suspended before sending; its entry has started the task elsewhere."""
    call = harness.start()
    harness.now += 3_000.0
    harness.answer(call, StartResult.LATE)
    assert harness.ends()[0][2] == "rejected"


def test_a_run_with_little_progress_is_reported_as_slow(harness: ExecutorHarness) -> None:
    """A straggler must be reported before its end, or its upstream continues to get tasks."""
    harness.answer(harness.start())
    harness.advance(260, running=(RunRow("j/0/0", 1, 5.0),))
    slow = [body for body in harness.bodies if isinstance(body, RunSlow)]
    assert len(slow) == 1
    assert slow[0].left_ms > 800.0


def test_a_token_that_the_upstream_refuses_is_raised(harness: ExecutorHarness) -> None:
    """The time of day was ahead during the last incarnation of the agent."""
    call = harness.start()
    harness.answer(call, StartResult.FENCED)
    again = harness.calls[-1]
    assert isinstance(again, CallStart)
    assert again.fence >= call.fence + 600_000


def test_the_time_that_a_stop_takes_is_logged(harness: ExecutorHarness) -> None:
    """A run that went on after its entry was given up left no trace of when and why."""
    harness.answer(harness.start())
    rows = (RunRow("j/0/0", 1, 1.0),)
    harness.send(StopRun("j/0/0", 1))
    stopped_at = harness.now
    harness.advance(STOP_MARGIN_MS + 60, running=rows)
    harness.ended.append(EndRow(1, "j/0/0", 1, RunEnd.DONE))
    harness.answer_hold()
    [line] = harness.take_logs("run ended")
    assert line["how"] == "done"
    assert line["stopping_ms"] == harness.now - stopped_at
    orders = [call for call in harness.calls if isinstance(call, CallStop)]
    assert line["stop_orders"] == len(orders) > 1
    assert harness.core.counters.slow_stops == 1


def test_runs_that_take_as_long_as_expected_do_not_make_the_upstream_look_slow(
    harness: ExecutorHarness,
) -> None:
    """Runs far from their data were taken for stalled or slow ones, and their upstream for slow."""
    for number in range(3):
        harness.answer(harness.start(f"j/0/{number}", cpu=1_000, factor=5.0))
    for percent in (30.0, 60.0, 90.0):
        rows = tuple(RunRow(f"j/0/{number}", 1, percent) for number in range(3))
        harness.advance(STALL_MS + 100, running=rows)
    harness.ended += [EndRow(number + 1, f"j/0/{number}", 1, RunEnd.DONE) for number in range(3)]
    harness.advance(200)
    assert [end[2] for end in harness.ends()] == ["done"] * 3
    assert not any(isinstance(body, RunSlow) for body in harness.bodies)
    assert not any(isinstance(call, CallStop) for call in harness.calls)
    reports = [body.report for body in harness.bodies if isinstance(body, Report)]
    assert max(report.slowness for report in reports) < 1.25


@pytest.mark.parametrize("factor", [0.0, -1.0, float("inf"), float("nan"), 1e300])
def test_a_malformed_expected_factor_is_ignored(factor: float) -> None:
    """Guards against arithmetic errors that would end the task of the core."""
    harness = ExecutorHarness()
    harness.open_session()
    order = StartRun("j/0/0", 1, "spec", ResourceVector(1_000, 10), 100.0, expected_factor=factor)
    harness.send(order)
    harness.answer(harness.calls[-1])  # type: ignore[arg-type]
    leaving = replace(UPSTREAM, draining=True, remaining_ms=100.0)
    harness.core.on_heartbeat(leaving, harness.now)
    harness.advance(300, running=(RunRow("j/0/0", 1, 5.0),))
    assert harness.core.running == 1


def test_the_anti_affinity_of_a_step_holds_over_entries() -> None:
    """Tasks of a resubmitted job started beside runs that another entry was stopping."""
    harness = ExecutorHarness()
    harness.open_session()
    for task in ("j/0/0", "j/0/1", "j/1/0"):
        order = StartRun(task, 1, "spec", ResourceVector(1_000, 10), 100.0, max_per_upstream=1)
        harness.send(order)
    rejected = [body for body in harness.bodies if isinstance(body, RunEnded)]
    assert [(body.task, body.reason) for body in rejected] == [("j/0/1", STEP_LIMIT)]
    assert harness.core.running == 2
