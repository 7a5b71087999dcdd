from __future__ import annotations

from random import Random

from snipewell.clock import ManualClock
from snipewell.dispatch import Dispatcher, DispatchLimits, Grant
from snipewell.effect import TaskReady
from snipewell.ids import (
    AgentId,
    Incarnation,
    RackId,
    ScopedKey,
    ServiceName,
    TaskIndex,
    TeamName,
    UpstreamId,
    ZoneId,
)
from snipewell.message import Load, RefusalReason, Resources, TaskRecord, TaskState
from snipewell.placement import ExpectedFinish
from snipewell.view import AgentView

DYE = ServiceName("dye-test")


def make_view(name: str, incarnation: str = "1", slots: int = 2, **changes: object) -> AgentView:
    values: dict[str, object] = {
        "agent": AgentId(name),
        "incarnation": Incarnation(incarnation),
        "upstream": UpstreamId(name),
        "zone": ZoneId("patan"),
        "rack": RackId("r1"),
        "slots": slots,
        "vm_resources": Resources(64, 128_000, 0),
        "services": frozenset(),
        "draining": False,
        "load": Load(),
        "in_service": True,
        "last_seen_ms": 0.0,
    }
    return AgentView(**{**values, **changes})  # type: ignore[arg-type]


def make_tasks(
    key: str, count: int, agents: list[str], team: str = "annex", **changes: object
) -> list[TaskReady]:
    values: dict[str, object] = {
        "service": DYE,
        "team": TeamName(team),
        "resources": Resources(),
        "deadline_at_ms": 10_000.0,
        "job_size": count,
        "candidates": frozenset(map(AgentId, agents)),
    }
    return [
        TaskReady(key=ScopedKey(f"{team}/{key}"), task=TaskIndex(i), **{**values, **changes})  # type: ignore[arg-type]
        for i in range(count)
    ]


def make_dispatcher(clock: ManualClock, *views: AgentView) -> Dispatcher:
    dispatcher = Dispatcher(clock, Random(7), ZoneId("patan"), ExpectedFinish(), DispatchLimits())
    for view in views:
        dispatcher.on_agent(view)
    return dispatcher


def finish(dispatcher: Dispatcher, grant: Grant, load: Load | None = None) -> None:
    dispatcher.on_result(grant.agent, grant.key, grant.task, TaskState.OK, 100.0, load or Load())


def test_grants_only_free_slots_and_the_rest_when_slots_free() -> None:
    """Guards against grants beyond the free slots, which the agent would refuse or queue."""
    clock = ManualClock()
    dispatcher = make_dispatcher(clock, make_view("a"), make_view("b"))
    dispatcher.enqueue(make_tasks("job", 6, ["a", "b"]))
    first = dispatcher.next_grants()
    assert sorted(grant.agent for grant in first) == ["a", "a", "b", "b"]
    assert dispatcher.next_grants() == []
    clock.advance(100)
    finish(dispatcher, first[0], Load(busy=1))
    assert [grant.agent for grant in dispatcher.next_grants()] == [first[0].agent]
    assert (dispatcher.waiting(), dispatcher.running()) == (1, 4)


def test_each_task_is_granted_once() -> None:
    """Guards against granting a task again while it runs, and against losing a refused task."""
    dispatcher = make_dispatcher(ManualClock(), make_view("a", slots=8))
    tasks = make_tasks("job", 3, ["a"])
    dispatcher.enqueue(tasks)
    grants = dispatcher.next_grants()
    assert sorted(grant.task for grant in grants) == [0, 1, 2]
    assert dispatcher.next_grants() == []
    dispatcher.on_refused(
        AgentId("a"), tasks[1].key, tasks[1].task, RefusalReason.BUSY, Load(busy=8)
    )
    dispatcher.enqueue([tasks[1]])
    assert dispatcher.next_grants() == []
    finish(dispatcher, grants[0], Load(busy=1))
    assert [grant.task for grant in dispatcher.next_grants()] == [1]


def test_agents_draining_out_of_service_or_excluded_get_no_grants() -> None:
    """Guards against new work on an upstream that is draining, out of service or excluded."""
    dispatcher = make_dispatcher(
        ManualClock(),
        make_view("a", draining=True),
        make_view("b", in_service=False),
        make_view("c"),
        make_view("d"),
    )
    excluded = frozenset({AgentId("c")})
    dispatcher.enqueue(make_tasks("one", 1, ["a", "b", "c"], excluded=excluded))
    assert dispatcher.next_grants() == []


def test_agent_restart_frees_the_slots_of_the_previous_incarnation() -> None:
    """Guards against slots that stay counted as used after an agent restarts."""
    dispatcher = make_dispatcher(ManualClock(), make_view("a", slots=1))
    dispatcher.enqueue(make_tasks("one", 1, ["a"]) + make_tasks("two", 1, ["a"]))
    assert len(dispatcher.next_grants()) == 1
    dispatcher.on_agent(make_view("a", incarnation="2", slots=1))
    assert [grant.incarnation for grant in dispatcher.next_grants()] == ["2"]


def test_task_without_reported_end_frees_its_slot_after_its_deadline() -> None:
    """Guards against leaked slots when a result is lost and the leader ends the task otherwise."""
    clock = ManualClock()
    dispatcher = make_dispatcher(clock, make_view("a", slots=1))
    dispatcher.enqueue(make_tasks("lost", 1, ["a"]))
    assert len(dispatcher.next_grants()) == 1
    clock.advance(20_000)
    dispatcher.on_agent(make_view("a", slots=1))
    dispatcher.enqueue(make_tasks("next", 1, ["a"], deadline_at_ms=60_000.0))
    assert [grant.key for grant in dispatcher.next_grants()] == ["annex/next"]


def test_task_ended_by_a_query_reply_frees_its_slot() -> None:
    """Guards against slots that stay in use or are counted twice after a lost result or refusal."""
    clock = ManualClock()
    dispatcher = make_dispatcher(clock, make_view("a", slots=1), make_view("b", slots=1))
    dispatcher.enqueue(make_tasks("job", 3, ["a", "b"]))
    first, second = dispatcher.next_grants()
    running = TaskRecord(first.key, first.task, TaskState.RUNNING)
    dispatcher.on_query_reply(first.agent, [running])
    elsewhere = TaskRecord(first.key, first.task, TaskState.OK)
    dispatcher.on_query_reply(second.agent, [elsewhere])
    assert dispatcher.running() == 2
    not_started = TaskRecord(first.key, first.task, TaskState.NOT_STARTED)
    dispatcher.on_query_reply(first.agent, [not_started])
    assert dispatcher.running() == 1
    assert [grant.agent for grant in dispatcher.next_grants()] == [first.agent]


def test_bulk_job_leaves_slots_on_fast_upstreams_to_single_requests() -> None:
    """Guards against single requests queueing behind a bulk job on every fast upstream."""
    clock = ManualClock()
    agents = ["a", "b", "c"]
    dispatcher = make_dispatcher(clock, *(make_view(name, slots=8) for name in agents))
    for number, name in enumerate(agents):
        for sample in range(20):
            key = f"learn-{name}-{sample}"
            dispatcher.enqueue(make_tasks(key, 1, [name], deadline_at_ms=1e6))
            (grant,) = dispatcher.next_grants()
            clock.advance(50)
            dispatcher.on_result(
                grant.agent, grant.key, grant.task, TaskState.OK, 100.0 * (number + 1), Load()
            )
    clock.advance(200)
    dispatcher.enqueue(make_tasks("rebuild", 40, agents, deadline_at_ms=1e6))
    granted = [grant.agent for grant in dispatcher.next_grants()]
    assert [granted.count(AgentId(name)) for name in agents] == [5, 8, 8]
    dispatcher.enqueue(make_tasks("one", 1, agents, deadline_at_ms=1e6))
    assert [grant.agent for grant in dispatcher.next_grants()] == ["a"]


def test_entries_with_the_same_view_select_different_agents() -> None:
    """Guards against several entries granting tasks to the same agent at the same time."""
    chosen = set()
    for seed in range(12):
        views = [make_view(name, slots=8) for name in "abcdef"]
        dispatcher = Dispatcher(
            ManualClock(), Random(seed), ZoneId("patan"), ExpectedFinish(), DispatchLimits()
        )
        for view in views:
            dispatcher.on_agent(view)
        dispatcher.enqueue(make_tasks("one", 1, list("abcdef")))
        chosen.add(dispatcher.next_grants()[0].agent)
    assert len(chosen) >= 4


def test_task_waits_for_a_vm_with_enough_free_resources() -> None:
    """Guards against grants that use more cores than a VM has."""
    dispatcher = make_dispatcher(ManualClock(), make_view("a", slots=8))
    dispatcher.enqueue(make_tasks("wide", 3, ["a"], resources=Resources(cores=30)))
    assert len(dispatcher.next_grants()) == 2


def test_job_is_spread_over_racks() -> None:
    """Guards against placing all tasks of a job on one rack although others are as fast."""
    for seed in range(20):
        dispatcher = Dispatcher(
            ManualClock(), Random(seed), ZoneId("patan"), ExpectedFinish(), DispatchLimits()
        )
        for name in "abcd":
            dispatcher.on_agent(make_view(name, slots=8, rack=RackId("r1" if name < "c" else "r2")))
        dispatcher.enqueue(make_tasks("job", 8, list("abcd")))
        on_first = sum(grant.agent < "c" for grant in dispatcher.next_grants())
        assert 3 <= on_first <= 5
