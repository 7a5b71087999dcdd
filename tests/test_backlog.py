from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from snipewell.backlog import Backlog
from snipewell.effect import TaskReady
from snipewell.ids import ScopedKey, TeamName
from tests.test_dispatch import make_tasks


def make_backlog() -> Backlog:
    return Backlog(ageing=0.1, bulk_tasks=32)


def put(backlog: Backlog, tasks: list[TaskReady], at_ms: float = 0.0, ms: float = 100.0) -> None:
    for task in tasks:
        backlog.put(task, at_ms, ms)


def take(backlog: Backlog, count: int, ms: float = 100.0) -> list[ScopedKey]:
    keys = []
    for _ in range(count):
        batch = backlog.best((), 0.0)
        assert batch is not None
        keys.append(backlog.take(batch, ms).key)
    return keys


def test_single_request_overtakes_a_bulk_job_of_the_same_client_account() -> None:
    """Guards against single requests waiting for the end of a bulk job of the same account."""
    backlog = make_backlog()
    put(backlog, make_tasks("rebuild", 500, ["a"]))
    take(backlog, 100)
    put(backlog, make_tasks("one", 1, ["a"]), 1_000.0)
    assert "annex/one" in take(backlog, 2)


def test_stream_of_single_requests_does_not_starve_a_bulk_job() -> None:
    """Guards against starvation of a long job by a stream of short ones."""
    backlog = make_backlog()
    put(backlog, make_tasks("rebuild", 100, ["a"]))
    for number in range(2_000):
        put(backlog, make_tasks(f"one-{number}", 1, ["a"]), float(number))
    assert take(backlog, 1_000).count(ScopedKey("annex/rebuild")) == 100


def test_started_job_is_finished_before_another_of_the_same_length() -> None:
    """Guards against jobs of equal length alternating task by task, so that all end late."""
    backlog = make_backlog()
    put(backlog, make_tasks("x", 50, ["a"], team="left"))
    put(backlog, make_tasks("y", 50, ["a"], team="right"))
    keys = take(backlog, 50)
    assert len(set(keys)) == 1


def test_client_accounts_get_capacity_by_weight() -> None:
    """Guards against an account getting more than its share by submitting more work."""
    backlog = make_backlog()
    backlog.set_weight(TeamName("heavy"), 3)
    for number in range(600):
        put(backlog, make_tasks(f"h{number}", 1, ["a"], team="heavy"))
        put(backlog, make_tasks(f"l{number}", 1, ["a"], team="light"))
    heavy = sum(key.startswith("heavy") for key in take(backlog, 400))
    assert 290 <= heavy <= 310


def test_too_long_declared_times_do_not_reduce_the_share_of_a_client_account() -> None:
    """Guards against charging an account the declared run time instead of the actual one."""
    backlog = make_backlog()
    for number in range(40):
        put(backlog, make_tasks(f"w{number}", 1, ["a"], team="wrong"), ms=400.0)
        put(backlog, make_tasks(f"r{number}", 1, ["a"], team="right"), ms=100.0)
    granted = []
    for _ in range(60):
        batch = backlog.best((), 0.0)
        assert batch is not None
        expected_ms = batch.expected_ms
        granted.append(backlog.take(batch, expected_ms).team)
        backlog.adjust_charge(batch.team, 1, expected_ms, 100.0)
    assert granted.count(TeamName("wrong")) >= 25


def test_many_cancellations_leave_no_tasks_or_counts_behind() -> None:
    """Guards against withdrawn tasks that stay in the counts or are granted later."""
    backlog = make_backlog()
    for number in range(10_000):
        put(backlog, make_tasks(f"k{number}", 1, ["a"], team=f"t{number % 1_100}"))
    put(backlog, make_tasks("kept", 2, ["a"]))
    assert sum(backlog.withdraw(ScopedKey(f"t{n % 1_100}/k{n}")) for n in range(10_000)) == 10_000
    assert (backlog.waiting, backlog.work_ms) == (2, 200.0)
    assert set(take(backlog, 2)) == {"annex/kept"}
    assert backlog.best((), 0.0) is None


def test_job_past_its_deadline_is_not_granted() -> None:
    """Guards against running tasks for a client that has already received its answer."""
    backlog = make_backlog()
    put(backlog, make_tasks("late", 3, ["a"], deadline_at_ms=50.0))
    assert backlog.best((), 60.0) is None
    assert backlog.waiting == 0


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["put", "take", "withdraw"]), st.integers(0, 5), st.integers(1, 40)
        ),
        max_size=60,
    )
)
def test_every_task_is_taken_or_withdrawn_exactly_once(steps: list[tuple[str, int, int]]) -> None:
    """Guards against tasks that are lost or granted twice, for any sequence of operations."""
    backlog = make_backlog()
    waiting: set[tuple[str, int]] = set()
    for number, (step, which, count) in enumerate(steps):
        if step == "put":
            key = f"{which}-{number}"
            put(backlog, make_tasks(key, count, ["a"], team=f"t{which % 3}"), ms=10.0 * count)
            waiting |= {(f"t{which % 3}/{key}", task) for task in range(count)}
        elif step == "withdraw" and waiting:
            key = sorted(waiting)[0][0]
            gone = {place for place in waiting if place[0] == key}
            assert backlog.withdraw(ScopedKey(key)) == len(gone)
            waiting -= gone
        else:
            batch = backlog.best((), 0.0)
            assert (batch is None) == (not waiting)
            if batch is not None:
                task = backlog.take(batch, 25.0)
                waiting.remove((task.key, task.task))
        assert backlog.waiting == len(waiting)
