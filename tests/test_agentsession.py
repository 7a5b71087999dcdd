"""Guards against starting a task again while its run may go on at an agent that is out of touch."""

from __future__ import annotations

from snipewell.agentsession import (
    AGENT_SILENCE_MS,
    STOP_MARGIN_MS,
    AgentLost,
    AgentRunEnded,
    AgentSessions,
    SendAgent,
)
from snipewell.channel import Channel
from snipewell.entrysession import OWNER_SILENCE_MS
from snipewell.job import Room
from snipewell.order import (
    AgentBody,
    EntryBody,
    Goodbye,
    Hello,
    Notice,
    Report,
    RunEnded,
    StartRun,
    UpstreamReport,
)

REPORT = UpstreamReport("u1", "svc", "z1", Room(10, 10), Room(10, 10), [])
NO_UPSTREAM = UpstreamReport("", "", "", Room(), Room(), [])


class Bench:
    def __init__(self) -> None:
        self.sent: list[SendAgent] = []
        self.sessions = AgentSessions(self.sent.append)
        self.now = 1_000.0

    def open(
        self, peer: str, session: str = "s1", agent: str = "a1", report: UpstreamReport = REPORT
    ) -> Channel[AgentBody, EntryBody]:
        channel: Channel[AgentBody, EntryBody] = Channel(session, self.now)
        frame = channel.send(Hello(agent, report), self.now)
        self.events = self.sessions.on_frame(peer, frame, self.now)
        return channel


def test_a_hello_opens_a_session_and_is_answered_at_once() -> None:
    bench = Bench()
    bench.open("p1")
    assert [view.upstream for view in bench.sessions.views()] == ["u1"]
    assert bench.sent[0].frame.acked == 0


def test_a_frame_of_an_unknown_session_is_answered_with_goodbye() -> None:
    """The entry was restarted; the agent's runs for it have no owner any more."""
    bench = Bench()
    channel: Channel[AgentBody, EntryBody] = Channel("old", 0.0)
    order = Channel[EntryBody, AgentBody]("old", 0.0).send(Notice(1, []), 0.0)
    channel.receive(order, 0.0)
    bench.sessions.on_frame("p1", channel.send(Report(REPORT), 0.0), 0.0)
    assert isinstance(bench.sent[-1].frame.body, Goodbye)
    assert bench.sessions.views() == []


def test_a_session_whose_first_frame_was_lost_is_not_refused() -> None:
    """The connection was still being opened; the first frame comes again within 30 ms."""
    bench = Bench()
    channel: Channel[AgentBody, EntryBody] = Channel("s1", bench.now)
    channel.send(Hello("a1", NO_UPSTREAM), bench.now)
    report = channel.send(Report(REPORT), bench.now)
    bench.sessions.on_frame("p1", report, bench.now)
    assert bench.sent == []
    for frame in channel.resend(bench.now + 30.0):
        bench.sessions.on_frame("p1", frame, bench.now + 30.0)
    assert [view.upstream for view in bench.sessions.views()] == ["u1"]


def test_a_silent_agent_is_given_up_only_after_its_own_limit_has_run_out() -> None:
    bench = Bench()
    bench.open("p1")
    last_sent = bench.now
    lost_at = None
    while lost_at is None and bench.now < 10_000:
        bench.now += 20.0
        before = len(bench.sent)
        events = bench.sessions.tick(bench.now)
        if len(bench.sent) > before:
            last_sent = bench.now
        if any(isinstance(event, AgentLost) for event in events):
            lost_at = bench.now
    assert lost_at is not None
    assert lost_at >= last_sent + OWNER_SILENCE_MS + STOP_MARGIN_MS
    assert last_sent < 1_000.0 + AGENT_SILENCE_MS


def test_an_agent_that_speaks_again_in_time_keeps_its_session() -> None:
    bench = Bench()
    channel = bench.open("p1")
    bench.now += AGENT_SILENCE_MS + 50
    bench.sessions.tick(bench.now)
    view = bench.sessions.views()[0]
    assert view.suspect
    bench.sessions.on_frame("p1", channel.send(None, bench.now), bench.now)
    assert not view.suspect
    assert bench.sessions.tick(bench.now) == []


def test_orders_to_a_suspect_agent_wait_until_it_speaks() -> None:
    """A frame sent now would keep the agent's runs alive beyond the time the entry counts on."""
    bench = Bench()
    channel = bench.open("p1")
    bench.now += AGENT_SILENCE_MS + 50
    bench.sessions.tick(bench.now)
    before = len(bench.sent)
    view = bench.sessions.views()[0]
    bench.sessions.send(view, StartRun("j/0/0", 1, "", Room(1, 1), 10.0), bench.now)
    assert len(bench.sent) == before
    bench.now += 200
    bench.sessions.on_frame("p1", channel.send(None, bench.now), bench.now)
    assert any(isinstance(effect.frame.body, StartRun) for effect in bench.sent[before:])


def test_a_new_session_of_an_agent_ends_the_old_one() -> None:
    bench = Bench()
    bench.open("p1", "s1")
    bench.open("p1", "s2")
    assert [type(event) for event in bench.events] == [AgentLost]
    assert len(bench.sessions.views()) == 1


def test_a_restarted_agent_ends_its_last_life_once_it_has_an_upstream() -> None:
    """Before, runs of the last life may still go on."""
    bench = Bench()
    bench.open("p1", "s1")
    channel = bench.open("p2", "s2", report=NO_UPSTREAM)
    assert bench.events == []
    frame = channel.send(Report(REPORT), bench.now)
    events = bench.sessions.on_frame("p2", frame, bench.now)
    assert [type(event) for event in events] == [AgentLost]


def test_ends_update_the_room_and_are_handed_on() -> None:
    bench = Bench()
    channel = bench.open("p1")
    ended = RunEnded("j/0/0", 1, "done", 5.0, "", Room(7, 7))
    events = bench.sessions.on_frame("p1", channel.send(ended, bench.now), bench.now)
    assert [type(event) for event in events] == [AgentRunEnded]
    assert bench.sessions.views()[0].room() == Room(7, 7)


def test_room_counts_starts_that_the_last_report_does_not_include() -> None:
    """Otherwise a burst of placements would go to one upstream before it reports again."""
    bench = Bench()
    bench.open("p1")
    view = bench.sessions.views()[0]
    bench.sessions.send(view, StartRun("j/0/0", 1, "", Room(4, 1), 10.0), bench.now)
    assert view.room() == Room(6, 9)
    view.take_free(Room(6, 9), 1)
    assert view.room() == Room(6, 9)


def test_agents_are_told_the_zones_out_and_old_news_is_not_sent() -> None:
    bench = Bench()
    bench.open("p1")
    bench.sessions.set_zones_out(Notice(5, ["z1"]), bench.now)
    bench.sessions.set_zones_out(Notice(4, []), bench.now)
    notices = [e.frame.body for e in bench.sent if isinstance(e.frame.body, Notice)]
    assert notices == [Notice(5, ["z1"])]
    bench.open("p2", "s2", agent="a2")
    assert isinstance(bench.sent[-1].frame.body, Notice)


def test_a_first_frame_that_a_partition_held_up_does_not_bring_an_old_session_back() -> None:
    """The runs of the present session would count as ended and start again elsewhere."""
    bench = Bench()
    old: Channel[AgentBody, EntryBody] = Channel("life.1", bench.now)
    late = old.send(Hello("a1", REPORT), bench.now)
    bench.open("p1", "life.2")
    assert bench.sessions.on_frame("p1", late, bench.now + 500) == []
    assert [view.channel.session for view in bench.sessions.views()] == ["life.2"]
    bench.open("p1", "life.3")
    assert [view.channel.session for view in bench.sessions.views()] == ["life.3"]


def test_an_idle_agent_may_be_quiet_for_longer_in_a_large_fleet() -> None:
    """Guards against agents that count as silent between two beats of an idle session."""
    bench = Bench()
    bench.open(
        "p1", report=UpstreamReport("u1", "svc", "z1", Room(9, 9), Room(9, 9), [], entries=11)
    )
    bench.now += AGENT_SILENCE_MS + 50
    bench.sessions.tick(bench.now)
    (view,) = bench.sessions.views()
    assert not view.suspect
    bench.sessions.send(view, StartRun("t", 1, "", Room(1, 1), 100.0), bench.now)
    bench.sessions.tick(bench.now + AGENT_SILENCE_MS - 1)
    assert not view.suspect
    bench.sessions.tick(bench.now + AGENT_SILENCE_MS)
    assert view.suspect
