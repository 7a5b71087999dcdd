"""Guards against crashes of upstreams that are counted wrongly or not at all."""

from __future__ import annotations

import msgspec

from snipewell.crashes import (
    CRASH_RETENTION_MS,
    MAX_ANNOUNCED_CRASHES,
    MAX_COUNTED_TASKS,
    MAX_CRASHES,
    MAX_CRASHES_ALONE,
    MAX_CRASHES_IN_ALL,
    CrashCounts,
    RecentCrashes,
)
from snipewell.job import ResourceVector
from snipewell.runmessage import Hello, Report, StartRun, UpstreamCrash, UpstreamReport

REPORT = UpstreamReport("u1", "svc", "z1", ResourceVector(10, 10), ResourceVector(10, 10), [])


def test_a_repeated_crash_counts_once() -> None:
    """Guards against jobs that fail because a crash was announced in several sessions."""
    counts = CrashCounts()
    for _ in range(MAX_CRASHES):
        counts.add(UpstreamCrash("u1@1", ["a"]), 0.0)
    assert counts.count("a", 0.0) == 1
    assert counts.add(UpstreamCrash("u1@1", ["a", "b"]), 0.0) == ["b"]


def test_the_only_suspect_is_given_up_earlier() -> None:
    """Guards against a task that crashes one more upstream although no other can be the cause."""
    counts = CrashCounts()
    counts.add(UpstreamCrash("u1@1", ["a", "b"]), 0.0)
    counts.add(UpstreamCrash("u2@1", ["a", "b", "c"], ["a"]), 0.0)
    assert counts.count("a", 0.0) == MAX_CRASHES_ALONE
    assert counts.is_exhausted("a", 0.0)
    assert not counts.is_exhausted("b", 0.0)
    assert not counts.is_exhausted("c", 0.0)


def test_the_crashes_of_a_known_cause_count_against_no_other_task() -> None:
    """Guards against a job that fails because its task ran beside two causes, one after another."""
    counts = CrashCounts()
    counts.add(UpstreamCrash("u1@1", ["a", "b"]), 0.0)
    counts.add(UpstreamCrash("u2@1", ["a", "c"], ["a"]), 0.0)
    assert counts.count("b", 0.0) == counts.count("c", 0.0) == 0
    counts.add(UpstreamCrash("u3@1", ["b", "d"]), 0.0)
    assert not counts.is_exhausted("b", 0.0)
    assert counts.is_exhausted("a", 0.0)


def test_crashes_of_other_causes_count_in_the_end() -> None:
    """Guards against a task that goes on crashing upstreams beside one that was blamed for it."""
    counts = CrashCounts()
    for number in range(MAX_CRASHES_IN_ALL - 1):
        counts.add(UpstreamCrash(f"u{number}@1", ["a", "b"], ["a"]), 0.0)
    assert not counts.is_exhausted("b", 0.0)
    counts.add(UpstreamCrash("u9@1", ["a", "b"], ["a"]), 0.0)
    assert counts.is_exhausted("b", 0.0)


def test_a_task_that_may_not_have_run_is_not_given_up_earlier() -> None:
    """Guards against a job that fails though its task reached no upstream before it crashed."""
    counts = CrashCounts()
    for number in range(MAX_CRASHES_IN_ALL - 1):
        counts.add(UpstreamCrash(f"u{number}@1", [], ["a"], unconfirmed=["a"]), 0.0)
    assert not counts.is_exhausted("a", 0.0)
    counts.add(UpstreamCrash("u9@1", [], ["a"], unconfirmed=["a"]), 0.0)
    assert counts.is_exhausted("a", 0.0)


def test_one_of_two_suspects_is_not_given_up_earlier() -> None:
    """Guards against an innocent task that is given up for another one's second crash."""
    counts = CrashCounts()
    counts.add(UpstreamCrash("u1@1", ["a", "b"]), 0.0)
    counts.add(UpstreamCrash("u2@1", ["a", "b"], ["a", "b"]), 0.0)
    assert not counts.is_exhausted("a", 0.0)


def test_crashes_are_forgotten_after_the_retention_time() -> None:
    """Guards against jobs that fail for the crashes of a job submitted long before."""
    counts, recent = CrashCounts(), RecentCrashes()
    for number in range(MAX_CRASHES):
        crash = UpstreamCrash(f"u1@{number}", ["a"])
        counts.add(crash, 0.0)
        recent.add(crash, 0.0)
    assert counts.is_exhausted("a", CRASH_RETENTION_MS - 1)
    assert not counts.is_exhausted("a", CRASH_RETENTION_MS)
    assert len(recent.list_recent(CRASH_RETENTION_MS - 1)) == MAX_CRASHES
    assert recent.list_recent(CRASH_RETENTION_MS) == []


def test_the_records_are_bounded() -> None:
    """Guards against memory that grows with the number of crashes."""
    counts, recent = CrashCounts(), RecentCrashes()
    for number in range(MAX_COUNTED_TASKS + 1):
        crash = UpstreamCrash(f"u1@{number}", [f"task{number}"])
        counts.add(crash, 0.0)
        recent.add(crash, 0.0)
    assert counts.count("task0", 0.0) == 0
    assert counts.count("task1", 0.0) == 1
    assert len(recent.list_recent(0.0)) == MAX_ANNOUNCED_CRASHES


class EarlierHello(msgspec.Struct, tag="hello", frozen=True):
    """The message without crashes."""

    agent: str
    report: UpstreamReport


class EarlierReport(msgspec.Struct, tag="report", frozen=True):
    """The message without crashes."""

    report: UpstreamReport


def test_an_entry_of_an_earlier_version_reads_messages_with_crashes() -> None:
    """Guards against sessions that end again and again while processes are upgraded."""
    crash = UpstreamCrash("u1@1", ["a"])
    decoder = msgspec.msgpack.Decoder(EarlierHello | EarlierReport)
    encode = msgspec.msgpack.encode
    assert decoder.decode(encode(Hello("a1", REPORT, [crash]))) == EarlierHello("a1", REPORT)
    assert decoder.decode(encode(Report(REPORT, [crash]))) == EarlierReport(REPORT)


def test_an_agent_of_an_earlier_version_reports_no_crashes() -> None:
    """Guards against messages of an earlier version that an entry can't decode."""
    encoded = msgspec.msgpack.encode(EarlierHello("a1", REPORT))
    assert msgspec.msgpack.decode(encoded, type=Hello) == Hello("a1", REPORT)


class EarlierStartRun(msgspec.Struct, tag="start", frozen=True):
    """The message without the number of crashes."""

    task: str
    attempt: int
    specification: str
    resources: ResourceVector
    estimate_ms: float


def test_an_agent_of_an_earlier_version_starts_a_suspect() -> None:
    """Guards against orders that an agent of an earlier version can't decode."""
    resources = ResourceVector(1, 1)
    encoded = msgspec.msgpack.encode(StartRun("a", 1, "spec", resources, 10.0, 2))
    expected = EarlierStartRun("a", 1, "spec", resources, 10.0)
    assert msgspec.msgpack.decode(encoded, type=EarlierStartRun) == expected
