"""Guards against jobs lost, answered twice, wrongly refused or run by a failing upstream."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from snipewell.agentsession import SendAgent
from snipewell.channel import Channel
from snipewell.crashes import MAX_CRASHES
from snipewell.duration import MIN_CORRECTED_JOBS, SAMPLE_LIFETIME_MS, UPDATE_INTERVAL_MS
from snipewell.ids import ServiceName
from snipewell.job import (
    Catalog,
    JobEnded,
    JobId,
    JobOutcome,
    JobRefused,
    JobSpec,
    JobState,
    JobUnknown,
    Queue,
    QueueName,
    ResourceVector,
    RunEnd,
    StepSpec,
)
from snipewell.placer import CAPACITY_GROWTH_GRACE_MS, MAX_APART_MS, MIN_SATURATION_MS
from snipewell.runmessage import (
    NO_CAPACITY,
    SUSPECT_RUNNING,
    AgentBody,
    EntryBody,
    Hello,
    Report,
    RunEnded,
    RunSlow,
    StartRun,
    StopRun,
    UpstreamCrash,
    UpstreamReport,
)
from snipewell.scheduler import (
    MAX_LOST_RUNS,
    PROCESS_STALL_MS,
    STALL_RECOVERY_PAUSE_MS,
    SUSPECT_PAUSE_MS,
    Answer,
    LogRecord,
    Scheduler,
)

QUEUE = Queue(
    QueueName("q"), ServiceName("svc"), "h", "/p/", 0, max_attempts=2, stretch=1.6, latency_ms=60
)


class FakeAgent:
    """Agent that records the start and stop requests of one session; the test sends its replies."""

    def __init__(self, harness: Harness, name: str, cpu: int = 10_000, zone: str = "z1") -> None:
        self.harness = harness
        self.name = name
        self.channel: Channel[AgentBody, EntryBody] = Channel(f"session-{name}", harness.now)
        capacity = ResourceVector(cpu, 1_000)
        self.report = UpstreamReport(f"u-{name}", "svc", zone, capacity, capacity, ["a"])
        self.starts: list[StartRun] = []
        self.stops: list[StopRun] = []
        harness.agents[name] = self
        self.send(Hello(name, self.report))

    def send(self, body: AgentBody | None) -> None:
        frame = self.channel.send(body, self.harness.now)
        self.harness.core.on_frame(self.name, frame, self.harness.now)
        self.harness.perform_effects()

    def receive(self, effect: SendAgent) -> None:
        for body in self.channel.receive(effect.frame, self.harness.now):
            match body:
                case StartRun():
                    self.starts.append(body)
                case StopRun():
                    self.stops.append(body)

    def end(self, run: StartRun, how: RunEnd = RunEnd.DONE, reason: str = "") -> None:
        capacity = self.report.capacity
        self.send(RunEnded(run.task, run.attempt, how.value, 100.0, reason, capacity))

    def change(self, **fields: object) -> None:
        self.report = UpstreamReport(**{**asdict(self.report), **fields})  # type: ignore[arg-type]
        self.send(Report(self.report))


def asdict(report: UpstreamReport) -> dict[str, object]:
    return {name: getattr(report, name) for name in report.__struct_fields__}


class Harness:
    def __init__(self, agents: int = 2, cpu: int = 10_000) -> None:
        self.now = 10_000.0
        self.core = Scheduler(Random(1))
        self.core.set_catalog(Catalog(1, "1", (QUEUE,)))
        self.answers: dict[int, list[JobOutcome]] = {}
        self.log_records: list[LogRecord] = []
        self.agents: dict[str, FakeAgent] = {}
        self.requests = 0
        for number in range(agents):
            FakeAgent(self, f"a{number}", cpu)

    def perform_effects(self) -> None:
        self.core.place(self.now)
        effects, self.core.effects[:] = list(self.core.effects), []
        for effect in effects:
            match effect:
                case SendAgent():
                    if effect.peer in self.agents:
                        self.agents[effect.peer].receive(effect)
                case Answer():
                    self.answers.setdefault(effect.request, []).append(effect.outcome)
                case LogRecord():
                    self.log_records.append(effect)

    def submit(
        self,
        job: str = "j1",
        tasks: int = 1,
        cpu: int = 1_000,
        estimate: float = 100.0,
        steps: tuple[StepSpec, ...] = (),
        wait_ms: float = 10_000.0,
        durable: bool = False,
        label: str = "",
    ) -> int:
        self.requests += 1
        steps = steps or (StepSpec(tasks, ResourceVector(cpu, 10), estimate, label=label),)
        spec = JobSpec(JobId(job), "spec", steps, durable)
        self.core.submit(self.requests, QUEUE, spec, wait_ms, self.now)
        self.perform_effects()
        return self.requests

    def advance(self, by_ms: float) -> None:
        until = self.now + by_ms
        while self.now < until:
            self.now += 20.0
            for agent in self.agents.values():
                agent.send(None)
            self.core.tick(self.now)
            self.perform_effects()

    def starts(self) -> list[tuple[FakeAgent, StartRun]]:
        return [(agent, run) for agent in self.agents.values() for run in agent.starts]

    def only_start(self) -> tuple[FakeAgent, StartRun]:
        ((agent, run),) = self.starts()
        return agent, run


@pytest.fixture
def harness() -> Harness:
    return Harness()


def test_a_job_is_answered_once_when_its_last_task_is_done(harness: Harness) -> None:
    request = harness.submit(tasks=3)
    runs = harness.starts()
    assert len(runs) == 3
    for agent, run in runs[:2]:
        agent.end(run)
    assert request not in harness.answers
    agent, run = runs[2]
    agent.end(run)
    agent.end(run)
    assert harness.answers[request] == [JobEnded(JobState.COMPLETED)]
    assert harness.core.open_jobs == 0


def test_a_step_starts_after_the_steps_before_it(harness: Harness) -> None:
    steps = (
        StepSpec(2, ResourceVector(100, 1), 50.0),
        StepSpec(1, ResourceVector(100, 1), 50.0, after=(0,)),
    )
    request = harness.submit(steps=steps)
    first = harness.starts()
    assert {run.task for _, run in first} == {"j1/0/0", "j1/0/1"}
    first[0][0].end(first[0][1])
    assert len(harness.starts()) == 2
    first[1][0].end(first[1][1])
    agent, run = next((a, r) for a, r in harness.starts() if r.task == "j1/1/0")
    agent.end(run)
    assert harness.answers[request] == [JobEnded(JobState.COMPLETED)]


def test_a_failed_task_is_tried_elsewhere_and_fails_its_job_at_the_last_attempt(
    harness: Harness,
) -> None:
    request = harness.submit()
    agent, run = harness.only_start()
    agent.end(run, RunEnd.FAILED)
    other, again = harness.starts()[1] if harness.starts()[0][0] is agent else harness.starts()[0]
    assert (other is agent, again.attempt) == (False, 2)
    other.end(again, RunEnd.FAILED)
    (outcome,) = harness.answers[request]
    assert isinstance(outcome, JobEnded)
    assert outcome.state is JobState.FAILED


def test_a_lost_run_does_not_count_as_a_failed_attempt(harness: Harness) -> None:
    request = harness.submit()
    for _ in range(4):
        agent, run = harness.starts()[-1]
        agent.starts.remove(run)
        agent.end(run, RunEnd.LOST)
    assert request not in harness.answers


def test_a_job_that_keeps_losing_its_runs_is_abandoned(harness: Harness) -> None:
    request = harness.submit()
    for _ in range(MAX_LOST_RUNS):
        agent, run = next((a, a.starts.pop()) for a in harness.agents.values() if a.starts)
        agent.end(run, RunEnd.LOST)
    assert isinstance(harness.answers[request][0], JobUnknown)


def crash_under(agent: FakeAgent, run: StartRun, crash: str) -> None:
    """Report a crash of the upstream that ran only ``run``, and the end of the run."""
    agent.send(Report(agent.report, [UpstreamCrash(crash, [run.task])]))
    agent.end(run, RunEnd.LOST)


def test_a_job_fails_when_too_many_upstreams_crashed_under_its_task(harness: Harness) -> None:
    """Guards against a task that crashes one upstream after the other without an end."""
    request = harness.submit()
    for number in range(MAX_CRASHES):
        assert request not in harness.answers
        agent, run = harness.starts()[-1]
        agent.starts.remove(run)
        crash_under(agent, run, f"u@{number}")
    (outcome,) = harness.answers[request]
    assert outcome == JobEnded(JobState.FAILED, "3 upstreams crashed under task j1/0/0")
    assert harness.starts() == []
    assert harness.core.counters.crashing == 1


def test_a_job_whose_task_crashed_upstreams_at_another_entry_does_not_start(
    harness: Harness,
) -> None:
    """Guards against a task that goes on crashing upstreams when its entry has been replaced."""
    crashes = [UpstreamCrash(f"u@{number}", ["j1/0/0"]) for number in range(MAX_CRASHES)]
    agent = next(iter(harness.agents.values()))
    agent.send(Report(agent.report, crashes))
    request = harness.submit()
    (outcome,) = harness.answers[request]
    assert isinstance(outcome, JobEnded)
    assert outcome.state is JobState.FAILED
    assert harness.starts() == []


def make_suspects(harness: Harness, *tasks: str) -> None:
    """Report a crash under ``tasks``, which have not been submitted yet."""
    agent = next(iter(harness.agents.values()))
    agent.send(Report(agent.report, [UpstreamCrash("u@1", list(tasks))]))


def test_suspects_start_on_different_upstreams(harness: Harness) -> None:
    """Guards against a crash that doesn't show which of two suspects caused it."""
    make_suspects(harness, "j1/0/0", "j1/0/1", "j1/0/2")
    harness.submit(tasks=3)
    assert [len(agent.starts) for agent in harness.agents.values()] == [1, 1]
    assert {run.crashes for _, run in harness.starts()} == {1}
    agent, run = harness.starts()[0]
    agent.end(run)
    assert len(agent.starts) == 2


def test_no_suspect_waits_long_for_an_upstream_of_its_own(harness: Harness) -> None:
    """Guards against tasks that queue behind one another after the loss of many upstreams."""
    make_suspects(harness, "j1/0/0", "j1/0/1", "j1/0/2", "j1/0/3")
    harness.submit(tasks=4)
    assert len(harness.starts()) == 2
    harness.advance(MAX_APART_MS - 40)
    assert len(harness.starts()) == 2
    harness.advance(80)
    assert len(harness.starts()) == 4
    assert [run.apart for _, run in sorted(harness.starts(), key=lambda s: s[1].task)] == [
        True,
        True,
        False,
        False,
    ]


def test_a_suspect_rejected_beside_another_one_starts_elsewhere_at_once() -> None:
    """Guards against an upstream that gets no work because it runs a suspect of another entry."""
    harness = Harness()
    make_suspects(harness, "j1/0/0")
    harness.submit()
    agent, run = harness.only_start()
    agent.end(run, RunEnd.REJECTED, SUSPECT_RUNNING)
    other, again = next((a, r) for a, r in harness.starts() if r is not run)
    assert other is not agent
    other.end(again, RunEnd.REJECTED, SUSPECT_RUNNING)
    assert len(harness.starts()) == 2
    harness.submit("j2", tasks=6)
    assert len(agent.starts) > 1
    assert len(other.starts) > 1
    harness.advance(SUSPECT_PAUSE_MS + 20)
    assert [run.attempt for _, run in harness.starts() if run.task == "j1/0/0"][-1] == 3


def test_a_job_fails_early_when_its_task_was_the_only_suspect(harness: Harness) -> None:
    """Guards against a task that crashes one more upstream although no other can be the cause."""
    request = harness.submit()
    agent, run = harness.only_start()
    crash_under(agent, run, "u@1")
    other, again = next((a, r) for a, r in harness.starts() if r is not run)
    assert again.crashes == 1
    other.send(Report(other.report, [UpstreamCrash("u@2", [again.task, "j9/0/0"], [again.task])]))
    assert harness.answers[request] == [
        JobEnded(JobState.FAILED, "2 upstreams crashed under task j1/0/0")
    ]


def test_a_job_resubmitted_while_it_is_open_runs_once(harness: Harness) -> None:
    """The client resubmits because its first connection is silent; both get the outcome."""
    first, second = harness.submit(), harness.submit()
    agent, run = harness.only_start()
    agent.end(run)
    assert harness.answers[first] == harness.answers[second] == [JobEnded(JobState.COMPLETED)]


def test_a_job_resubmitted_after_its_answer_does_not_run_again(harness: Harness) -> None:
    """The client resubmits because the answer was lost with the connection."""
    harness.submit()
    agent, run = harness.only_start()
    agent.end(run)
    again = harness.submit()
    assert harness.answers[again] == [JobEnded(JobState.COMPLETED)]
    assert len(harness.starts()) == 1


def test_runs_are_stopped_when_the_client_disconnects(harness: Harness) -> None:
    request = harness.submit(tasks=2)
    harness.core.on_client_disconnect(request, harness.now)
    harness.perform_effects()
    assert sum(len(agent.stops) for agent in harness.agents.values()) == 2
    assert harness.core.open_jobs == 0


def test_a_job_continues_while_one_of_its_requests_is_open(harness: Harness) -> None:
    first = harness.submit()
    harness.submit()
    harness.core.on_client_disconnect(first, harness.now)
    harness.perform_effects()
    assert all(not agent.stops for agent in harness.agents.values())


def test_a_resubmitted_job_waits_for_its_stopped_runs_and_uses_the_next_attempt_number(
    harness: Harness,
) -> None:
    """Guards against a start of a task while its previous run is still being stopped."""
    request = harness.submit()
    agent, run = harness.only_start()
    harness.core.on_client_disconnect(request, harness.now)
    harness.perform_effects()
    harness.submit()
    assert len(harness.starts()) == 1
    agent.end(run, RunEnd.STOPPED)
    assert sorted(start.attempt for _, start in harness.starts()) == [1, 2]


def test_a_durable_job_is_refused_and_does_not_start(harness: Harness) -> None:
    request = harness.submit(durable=True)
    (outcome,) = harness.answers[request]
    assert isinstance(outcome, JobRefused)
    assert not harness.starts()


def test_a_job_that_fits_no_upstream_is_refused_at_once(harness: Harness) -> None:
    assert isinstance(harness.answers[harness.submit("big", cpu=11_000)][0], JobRefused)
    assert isinstance(harness.answers[harness.submit("odd", label="gpu")][0], JobRefused)


def test_a_rejected_start_is_placed_again_at_once(harness: Harness) -> None:
    """Another entry has used the capacity in the meantime."""
    harness.submit()
    agent, run = harness.only_start()
    agent.end(run, RunEnd.REJECTED, NO_CAPACITY)
    assert sorted(start.attempt for _, start in harness.starts()) == [1, 2]


def test_no_start_goes_to_a_zone_out_of_service_or_a_draining_upstream() -> None:
    harness = Harness(0)
    out = FakeAgent(harness, "out", zone="z2")
    leaving = FakeAgent(harness, "leaving")
    good = FakeAgent(harness, "good")
    harness.core.set_zones_out(5, frozenset(["z2"]), harness.now)
    leaving.change(draining=True)
    for number in range(4):
        harness.submit(f"j{number}")
    assert (out.starts, leaving.starts, len(good.starts)) == ([], [], 4)


def test_tasks_start_on_the_faster_upstream() -> None:
    harness = Harness(0)
    slow, fast = FakeAgent(harness, "slow"), FakeAgent(harness, "fast")
    slow.change(slowness=3.0)
    for number in range(4):
        harness.submit(f"j{number}")
    assert (len(slow.starts), len(fast.starts)) == (0, 4)


def test_a_run_on_an_upstream_that_turned_slow_is_moved(harness: Harness) -> None:
    harness.submit()
    agent, run = harness.only_start()
    agent.change(slowness=6.0)
    agent.send(RunSlow(run.task, run.attempt, 100.0, 500.0))
    assert [stop.attempt for stop in agent.stops] == [1]
    agent.end(run, RunEnd.STOPPED)
    other = next(a for a in harness.agents.values() if a is not agent)
    assert [start.attempt for start in other.starts] == [2]


def test_a_long_run_on_an_ordinary_upstream_is_not_moved(harness: Harness) -> None:
    """The client's estimate was wrong; the run would take as long on any upstream."""
    harness.submit()
    agent, run = harness.only_start()
    agent.send(RunSlow(run.task, run.attempt, 100.0, 500.0))
    assert not agent.stops


def test_an_upstream_that_fails_all_it_starts_gets_no_more_work() -> None:
    """An upstream whose runs fail at once always has free capacity and would attract all tasks."""
    harness = Harness(6)
    bad = harness.agents["a0"]
    for number in range(120):
        harness.submit(f"j{number}")
        for agent in harness.agents.values():
            while agent.starts:
                run = agent.starts.pop()
                agent.end(run, RunEnd.FAILED if agent is bad else RunEnd.DONE)
        harness.advance(20)
    unanswered_starts = len(bad.starts)
    placed = [record for record in harness.log_records if record.text == "task placed"][-60:]
    assert sum(record.fields["upstream"] == "u-a0" for record in placed) <= 3
    assert unanswered_starts == 0


def test_nothing_starts_right_after_a_process_stall(harness: Harness) -> None:
    """Clients that disconnected during the stall may have submitted their jobs to another entry."""
    harness.advance(40)
    harness.now += PROCESS_STALL_MS + 100
    for agent in harness.agents.values():
        agent.send(None)
    harness.core.tick(harness.now)
    harness.perform_effects()
    harness.submit()
    assert harness.starts() == []
    harness.advance(STALL_RECOVERY_PAUSE_MS + 40)
    assert len(harness.starts()) == 1


def test_a_job_that_cannot_be_served_is_refused_with_a_retry_delay() -> None:
    harness = Harness(1, cpu=1_000)
    harness.advance(CAPACITY_GROWTH_GRACE_MS + 40)
    requests = [harness.submit(f"j{number}", estimate=200.0) for number in range(12)]
    harness.advance(MIN_SATURATION_MS + 400)
    refused = [harness.answers[r][0] for r in requests if r in harness.answers]
    assert refused
    assert all(isinstance(outcome, JobRefused) and outcome.busy for outcome in refused)
    assert all(outcome.retry_after_ms >= 200 for outcome in refused)  # type: ignore[union-attr]
    assert harness.core.counters.starts == 1


def test_a_refused_job_never_starts(harness: Harness) -> None:
    """A refusal asserts that the job has not run, so it must not start later either."""
    small = Harness(1, cpu=1_000)
    small.advance(CAPACITY_GROWTH_GRACE_MS + 40)
    requests = [small.submit(f"j{number}", estimate=200.0) for number in range(12)]
    small.advance(MIN_SATURATION_MS + 400)
    refused = {f"j{i}" for i, r in enumerate(requests) if r in small.answers}
    agent, run = small.only_start()
    agent.end(run)
    small.advance(2_000)
    assert not {start.task.split("/")[0] for start in agent.starts} & refused


def test_nothing_is_refused_while_upstreams_are_registering() -> None:
    """Agents register one by one after a power failure."""
    harness = Harness(0)
    requests = [harness.submit(f"j{number}", estimate=900.0) for number in range(4)]
    harness.advance(300)
    assert not any(request in harness.answers for request in requests)
    FakeAgent(harness, "first")
    assert len(harness.starts()) == 4


def test_pending_counts_jobs_without_a_start() -> None:
    harness = Harness(1, cpu=1_000)
    harness.submit("j1", estimate=5_000.0)
    harness.submit("j2", estimate=5_000.0)
    assert harness.core.count_pending(QUEUE.name) == 1


def test_a_catalog_of_a_lower_revision_is_ignored(harness: Harness) -> None:
    harness.core.set_catalog(Catalog(7, "3", ()))
    harness.core.set_catalog(Catalog(6, "2", (QUEUE,)))
    assert harness.core.catalog is not None
    assert harness.core.catalog.revision == 7


def test_the_runs_of_a_lost_agent_start_elsewhere(harness: Harness) -> None:
    harness.submit()
    agent, _ = harness.only_start()
    del harness.agents[agent.name]
    harness.advance(3_000)
    (other,) = harness.agents.values()
    assert [start.attempt for start in other.starts] == [2]


def test_a_job_ends_at_the_timeout_of_its_client(harness: Harness) -> None:
    request = harness.submit(wait_ms=500.0)
    harness.advance(600)
    assert isinstance(harness.answers[request][0], JobUnknown)
    assert sum(len(agent.stops) for agent in harness.agents.values()) == 1


def test_every_job_that_is_not_completed_has_a_logged_reason(harness: Harness) -> None:
    harness.submit("j1", durable=True)
    request = harness.submit("j2")
    harness.core.on_client_disconnect(request, harness.now)
    harness.perform_effects()
    explained = {
        record.fields.get("job"): record
        for record in harness.log_records
        if "reason" in record.fields
    }
    assert set(explained) == {"j1", "j2"}


def test_queues_of_an_unsupported_kind_are_refused(harness: Harness) -> None:
    queue = replace(QUEUE, unsupported="queues with recommendations")
    spec = JobSpec(JobId("j1"), "s", (StepSpec(1, ResourceVector(1, 1), 10.0),), False)
    harness.core.submit(99, queue, spec, 1_000.0, harness.now)
    harness.perform_effects()
    assert isinstance(harness.answers[99][0], JobRefused)


def test_the_correction_of_a_queue_reaches_the_agents_and_the_plan() -> None:
    """Tasks that take twice as long as estimated were started where they end too late."""
    harness = Harness(agents=4)
    for number in range(MIN_CORRECTED_JOBS):
        harness.submit(f"j{number}", estimate=50.0)
    for agent in harness.agents.values():
        for run in agent.starts:
            agent.end(run)
    harness.advance(UPDATE_INTERVAL_MS)
    (fields,) = [
        record.fields
        for record in harness.log_records
        if record.text == "correction of a queue changed"
    ]
    assert fields["queue"] == "q"
    assert (fields["correction"], fields["samples"], fields["upstreams"]) == (
        2.0,
        MIN_CORRECTED_JOBS,
        4,
    )
    assert harness.core.corrections == {"q": 2.0}
    for agent in harness.agents.values():
        agent.starts.clear()
        agent.change(free=ResourceVector(2_000, 100))
    # Its due time is 700 ms away and its expected duration 800 ms, so it counts as late and waits
    # for a reserve. By the estimate alone, it would be started as timely.
    harness.submit("late", estimate=400.0)
    assert not any(agent.starts for agent in harness.agents.values())
    harness.agents["a0"].change(free=ResourceVector(10_000, 100))
    (order,) = harness.agents["a0"].starts
    assert (order.estimate_ms, order.expected_factor) == (400.0, 2.0)
    for agent in harness.agents.values():
        agent.change(free=ResourceVector())
    harness.agents["a1"].change(free=ResourceVector(10_000, 100), slowness=1.5)
    harness.submit("short", estimate=50.0)  # Due in 140 ms; it would take 150 ms on a1.
    assert not harness.agents["a1"].starts
    harness.now += SAMPLE_LIFETIME_MS
    harness.core.tick(harness.now)
    assert harness.core.corrections == {}
