"""Guards against restarting a task while its run may continue at an unreachable agent."""

from __future__ import annotations

from snipewell.agentsession import (
    STOP_MARGIN_MS,
    SUSPECT_AFTER_MS,
    AgentRunEnded,
    AgentSessionEnded,
    AgentSessions,
    SendAgent,
)
from snipewell.channel import Channel
from snipewell.entrysession import SESSION_TIMEOUT_MS
from snipewell.job import ResourceVector
from snipewell.runmessage import (
    AgentBody,
    EntryBody,
    Goodbye,
    Hello,
    Report,
    RunEnded,
    StartRun,
    UpstreamReport,
    ZoneNotice,
)

REPORT = UpstreamReport("u1", "svc", "z1", ResourceVector(10, 10), ResourceVector(10, 10), [])
NO_UPSTREAM = UpstreamReport("", "", "", ResourceVector(), ResourceVector(), [])


class Harness:
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
    harness = Harness()
    harness.open("p1")
    assert [view.upstream for view in harness.sessions.views()] == ["u1"]
    assert harness.sent[0].frame.acked == 0


def test_a_frame_of_an_unknown_session_is_answered_with_goodbye() -> None:
    """After a restart of the entry, the agent's runs for it have no owner any more."""
    harness = Harness()
    channel: Channel[AgentBody, EntryBody] = Channel("old", 0.0)
    order = Channel[EntryBody, AgentBody]("old", 0.0).send(ZoneNotice(1, []), 0.0)
    channel.receive(order, 0.0)
    harness.sessions.on_frame("p1", channel.send(Report(REPORT), 0.0), 0.0)
    assert isinstance(harness.sent[-1].frame.body, Goodbye)
    assert harness.sessions.views() == []


def test_a_hello_repeated_to_a_restarted_entry_is_answered_with_goodbye() -> None:
    """The agent has received frames of the entry's earlier incarnation in this session.

    It would take the first frames of the new one for duplicates and drop the orders in them.
    """
    harness = Harness()
    channel: Channel[AgentBody, EntryBody] = Channel("s1", harness.now)
    channel.send(Hello("a1", REPORT), harness.now)
    earlier = Channel[EntryBody, AgentBody]("s1", harness.now)
    channel.receive(earlier.send(ZoneNotice(1, []), harness.now), harness.now)
    for frame in channel.resend(harness.now + 30.0):
        harness.sessions.on_frame("p1", frame, harness.now + 30.0)
    assert isinstance(harness.sent[-1].frame.body, Goodbye)
    assert harness.sessions.views() == []


def test_a_session_closed_by_its_agent_ends_at_once() -> None:
    """An agent that leaves on purpose has no runs, so waiting for its timeout would be idle."""
    harness = Harness()
    channel = harness.open("p1")
    frame = channel.send(Goodbye(), harness.now)
    events = harness.sessions.on_frame("p1", frame, harness.now)
    assert [type(event) for event in events] == [AgentSessionEnded]
    assert harness.sessions.views() == []


def test_a_session_whose_first_frame_was_lost_is_not_refused() -> None:
    """The connection was still being opened; the first frame is repeated within 30 ms."""
    harness = Harness()
    channel: Channel[AgentBody, EntryBody] = Channel("s1", harness.now)
    channel.send(Hello("a1", NO_UPSTREAM), harness.now)
    report = channel.send(Report(REPORT), harness.now)
    harness.sessions.on_frame("p1", report, harness.now)
    assert harness.sent == []
    for frame in channel.resend(harness.now + 30.0):
        harness.sessions.on_frame("p1", frame, harness.now + 30.0)
    assert [view.upstream for view in harness.sessions.views()] == ["u1"]


def test_a_silent_agents_session_ends_only_after_the_agents_timeout_for_the_entry() -> None:
    harness = Harness()
    harness.open("p1")
    last_sent = harness.now
    lost_at = None
    while lost_at is None and harness.now < 10_000:
        harness.now += 20.0
        before = len(harness.sent)
        events = harness.sessions.tick(harness.now)
        if len(harness.sent) > before:
            last_sent = harness.now
        if any(isinstance(event, AgentSessionEnded) for event in events):
            lost_at = harness.now
    assert lost_at is not None
    assert lost_at >= last_sent + SESSION_TIMEOUT_MS + STOP_MARGIN_MS
    assert last_sent < 1_000.0 + SUSPECT_AFTER_MS


def test_an_agent_that_responds_in_time_keeps_its_session() -> None:
    harness = Harness()
    channel = harness.open("p1")
    harness.now += SUSPECT_AFTER_MS + 50
    harness.sessions.tick(harness.now)
    view = harness.sessions.views()[0]
    assert view.suspect
    harness.sessions.on_frame("p1", channel.send(None, harness.now), harness.now)
    assert not view.suspect
    assert harness.sessions.tick(harness.now) == []


def test_frames_to_a_suspect_agent_wait_until_it_responds() -> None:
    """A frame sent now would restart the agent's timeout for the entry.

    Its runs would then end later than the entry assumes.
    """
    harness = Harness()
    channel = harness.open("p1")
    harness.now += SUSPECT_AFTER_MS + 50
    harness.sessions.tick(harness.now)
    before = len(harness.sent)
    view = harness.sessions.views()[0]
    harness.sessions.send(view, StartRun("j/0/0", 1, "", ResourceVector(1, 1), 10.0), harness.now)
    assert len(harness.sent) == before
    harness.now += 200
    harness.sessions.on_frame("p1", channel.send(None, harness.now), harness.now)
    assert any(isinstance(effect.frame.body, StartRun) for effect in harness.sent[before:])


def test_a_new_session_of_an_agent_ends_the_old_one() -> None:
    harness = Harness()
    harness.open("p1", "s1")
    harness.open("p1", "s2")
    assert [type(event) for event in harness.events] == [AgentSessionEnded]
    assert len(harness.sessions.views()) == 1


def test_a_restarted_agent_ends_its_earlier_session_once_it_has_an_upstream() -> None:
    """Until then, runs of the earlier incarnation may still be in progress."""
    harness = Harness()
    harness.open("p1", "s1")
    channel = harness.open("p2", "s2", report=NO_UPSTREAM)
    assert harness.events == []
    frame = channel.send(Report(REPORT), harness.now)
    events = harness.sessions.on_frame("p2", frame, harness.now)
    assert [type(event) for event in events] == [AgentSessionEnded]


def test_ended_runs_update_the_free_capacity_and_are_returned() -> None:
    harness = Harness()
    channel = harness.open("p1")
    ended = RunEnded("j/0/0", 1, "done", 5.0, "", ResourceVector(7, 7))
    events = harness.sessions.on_frame("p1", channel.send(ended, harness.now), harness.now)
    assert [type(event) for event in events] == [AgentRunEnded]
    assert harness.sessions.views()[0].available() == ResourceVector(7, 7)


def test_available_capacity_excludes_starts_not_in_the_last_report() -> None:
    """Otherwise a burst of tasks would be placed on one upstream before its next report."""
    harness = Harness()
    harness.open("p1")
    view = harness.sessions.views()[0]
    harness.sessions.send(view, StartRun("j/0/0", 1, "", ResourceVector(4, 1), 10.0), harness.now)
    assert view.available() == ResourceVector(6, 9)
    view.apply_free(ResourceVector(6, 9), 1)
    assert view.available() == ResourceVector(6, 9)


def test_agents_are_notified_of_zones_out_and_old_notices_are_dropped() -> None:
    harness = Harness()
    harness.open("p1")
    harness.sessions.set_zones_out(ZoneNotice(5, ["z1"]), harness.now)
    harness.sessions.set_zones_out(ZoneNotice(4, []), harness.now)
    notices = [e.frame.body for e in harness.sent if isinstance(e.frame.body, ZoneNotice)]
    assert notices == [ZoneNotice(5, ["z1"])]
    harness.open("p2", "s2", agent="a2")
    assert isinstance(harness.sent[-1].frame.body, ZoneNotice)


def test_a_first_frame_delayed_by_a_partition_does_not_reopen_an_old_session() -> None:
    """Otherwise the runs of the present session would count as lost and be restarted elsewhere."""
    harness = Harness()
    old: Channel[AgentBody, EntryBody] = Channel("life.1", harness.now)
    late = old.send(Hello("a1", REPORT), harness.now)
    harness.open("p1", "life.2")
    assert harness.sessions.on_frame("p1", late, harness.now + 500) == []
    assert [view.channel.session for view in harness.sessions.views()] == ["life.2"]
    harness.open("p1", "life.3")
    assert [view.channel.session for view in harness.sessions.views()] == ["life.3"]


def test_an_idle_agent_may_be_silent_for_longer_in_a_large_fleet() -> None:
    """Guards against suspecting agents between two heartbeats of an idle session."""
    harness = Harness()
    harness.open(
        "p1",
        report=UpstreamReport(
            "u1", "svc", "z1", ResourceVector(9, 9), ResourceVector(9, 9), [], entries=11
        ),
    )
    harness.now += SUSPECT_AFTER_MS + 50
    harness.sessions.tick(harness.now)
    (view,) = harness.sessions.views()
    assert not view.suspect
    harness.sessions.send(view, StartRun("t", 1, "", ResourceVector(1, 1), 100.0), harness.now)
    harness.sessions.tick(harness.now + SUSPECT_AFTER_MS - 1)
    assert not view.suspect
    harness.sessions.tick(harness.now + SUSPECT_AFTER_MS)
    assert view.suspect
