"""Check histories of a run against the invariants that the design guarantees.

A history is a list of events in order of time, all on one clock in milliseconds. Simulations and
runs with real processes record the same events and share this checker.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from snipewell.message import TaskState
from snipewell.outcome import Complete, NotRun, Outcome


@dataclass(frozen=True, slots=True)
class Event:
    at_ms: float


@dataclass(frozen=True, slots=True)
class Invoked(Event):
    """A client sent a request to ``entry``.

    ``entry`` is the incarnation of the entry, and empty if the entry is unknown because the request
    went through the balancer, or if the entry refused the connection.
    """

    request: str
    key: str
    tasks: int
    idempotent: bool
    job: bool
    entry: str = ""


@dataclass(frozen=True, slots=True)
class Granted(Event):
    key: str
    task: int
    agent: str
    entry: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Started(Event):
    """The first byte of a task was sent to its upstream."""

    key: str
    task: int
    agent: str
    zone: str = ""
    upstream: str = ""


@dataclass(frozen=True, slots=True)
class Ended(Event):
    key: str
    task: int
    agent: str
    state: TaskState
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Answered(Event):
    """The outcome of a request reached the client.

    In the simulation, ``at_ms`` is the time at which the partition's leader sent the outcome, if a
    leader did. Otherwise, it is the time at which the client received the outcome.
    """

    request: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class ZoneChanged(Event):
    zone: str
    in_service: bool


@dataclass(frozen=True, slots=True)
class UpstreamChanged(Event):
    upstream: str
    in_service: bool


@dataclass(frozen=True, slots=True)
class ConfigurationAccepted(Event):
    """An operator received the confirmation that ``revision`` is stored."""

    revision: int


@dataclass(frozen=True, slots=True)
class ConfigurationInForce(Event):
    process: str
    revision: int


@dataclass(frozen=True, slots=True)
class ProcessStarted(Event):
    process: str


@dataclass(frozen=True, slots=True)
class ProcessExited(Event):
    """A process exited, by a graceful shutdown or because of a failure."""

    process: str
    graceful: bool


@dataclass(frozen=True, slots=True)
class Violation:
    invariant: str
    at_ms: float
    text: str


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits within which operators' changes must take effect, as the design guarantees."""

    zone_stop_ms: float = 3_000
    leaving_ms: float = 3_000
    configuration_ms: float = 19_000


@dataclass
class _Index:
    events: list[Event]
    bounds: Bounds
    invoked: dict[str, Invoked] = field(default_factory=dict)
    starts: dict[tuple[str, int], list[Started]] = field(default_factory=lambda: defaultdict(list))
    ended: dict[tuple[str, int], list[Ended]] = field(default_factory=lambda: defaultdict(list))
    answers: dict[str, list[Answered]] = field(default_factory=lambda: defaultdict(list))
    key_starts: dict[str, list[Started]] = field(default_factory=lambda: defaultdict(list))
    first_invoked: dict[str, Invoked] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for event in self.events:
            match event:
                case Invoked():
                    self.invoked[event.request] = event
                    self.first_invoked.setdefault(event.key, event)
                case Started():
                    self.starts[event.key, event.task].append(event)
                    self.key_starts[event.key].append(event)
                case Ended():
                    self.ended[event.key, event.task].append(event)
                case Answered():
                    self.answers[event.request].append(event)


def _check_at_most_once(index: _Index) -> Iterator[Violation]:
    """Check that every task starts at most once, and only for a known request.

    The task of a single request (not a job) that is idempotent may start more than once.
    """
    for (key, task), starts in index.starts.items():
        first = index.first_invoked.get(key)
        if first is None:
            yield Violation(
                "at-most-once", starts[0].at_ms, f"{key}/{task}: started without a request"
            )
        elif len(starts) > 1 and not (first.idempotent and not first.job):
            agents = [start.agent for start in starts]
            yield Violation("at-most-once", starts[1].at_ms, f"{key}/{task} started at {agents}")


def _check_non_idempotent(index: _Index) -> Iterator[Violation]:
    """Check that a task that is not idempotent starts at most once."""
    for (key, task), starts in index.starts.items():
        first = index.first_invoked.get(key)
        if len(starts) > 1 and first is not None and not first.idempotent:
            yield Violation("non-idempotent", starts[1].at_ms, f"{key}/{task} ran {len(starts)}x")


def _check_whole_or_failed(index: _Index) -> Iterator[Violation]:
    """Check that a complete outcome has one result for each task, all of which succeeded before."""
    for request, answers in index.answers.items():
        invocation = index.invoked.get(request)
        for answer in answers:
            if invocation is None or not isinstance(answer.outcome, Complete):
                continue
            count = len(answer.outcome.results)
            if count != invocation.tasks:
                text = f"{request}: {count} results of {invocation.tasks}"
                yield Violation("whole-or-failed", answer.at_ms, text)
            for task in range(invocation.tasks):
                ends = index.ended[invocation.key, task]
                if not any(e.state is TaskState.OK and e.at_ms <= answer.at_ms for e in ends):
                    text = f"{request}: complete, but task {task} has not succeeded"
                    yield Violation("whole-or-failed", answer.at_ms, text)


def _check_own_answer(index: _Index) -> Iterator[Violation]:
    """Check that a request gets at most one outcome, with results of runs of its own tasks.

    An outcome of an unknown request is a violation too.
    """
    for request, answers in index.answers.items():
        invocation = index.invoked.get(request)
        if invocation is None or len(answers) > 1:
            text = f"{request}: {len(answers)} answers, known request: {invocation is not None}"
            yield Violation("own-answer", answers[0].at_ms, text)
            continue
        outcome = answers[0].outcome
        if isinstance(outcome, Complete):
            for task, body in enumerate(outcome.results):
                if body not in [e.body for e in index.ended[invocation.key, task]]:
                    text = f"{request}: result {task} is of no run of the task: {body!r}"
                    yield Violation("own-answer", answers[0].at_ms, text)


def _check_not_run_true(index: _Index) -> Iterator[Violation]:
    """Check that no task starts before the retry time given by an outcome ``NotRun``.

    Starts before the outcome count too, because it states that no task has run.
    """
    for request, answers in index.answers.items():
        invocation = index.invoked.get(request)
        for answer in answers:
            if invocation is None or not isinstance(answer.outcome, NotRun):
                continue
            until_ms = answer.at_ms + answer.outcome.retry_after_ms
            for start in index.key_starts[invocation.key]:
                if start.at_ms < until_ms:
                    text = f"{request}: refused as not run at {answer.at_ms:.0f} ms, but started"
                    yield Violation("not-run-true", start.at_ms, text)
                    break


def _check_out_of_service(
    invariant: str,
    events: Iterable[Event],
    bound_ms: float,
    changed: Callable[[Event], tuple[str, bool] | None],
    place: Callable[[Started], str],
) -> Iterator[Violation]:
    out_since: dict[str, float] = {}
    for event in events:
        change = changed(event)
        if change is not None:
            name, in_service = change
            if in_service:
                out_since.pop(name, None)
            else:
                out_since.setdefault(name, event.at_ms)
        elif isinstance(event, Started):
            since_ms = out_since.get(place(event))
            if since_ms is not None and event.at_ms > since_ms + bound_ms:
                late_ms = event.at_ms - since_ms
                text = (
                    f"{event.key}/{event.task} started {late_ms:.0f} ms after"
                    f" {place(event)} went out of service"
                )
                yield Violation(invariant, event.at_ms, text)


def _check_zone_stop(index: _Index) -> Iterator[Violation]:
    return _check_out_of_service(
        "zone-stop",
        index.events,
        index.bounds.zone_stop_ms,
        lambda e: (e.zone, e.in_service) if isinstance(e, ZoneChanged) else None,
        lambda start: start.zone,
    )


def _check_leaving_upstream(index: _Index) -> Iterator[Violation]:
    return _check_out_of_service(
        "leaving-upstream",
        index.events,
        index.bounds.leaving_ms,
        lambda e: (e.upstream, e.in_service) if isinstance(e, UpstreamChanged) else None,
        lambda start: start.upstream,
    )


def _check_clean_shutdown(index: _Index) -> Iterator[Violation]:
    """Check that a graceful exit leaves no request of the process in flight and no task running."""
    for event in index.events:
        if not isinstance(event, ProcessExited) or not event.graceful:
            continue
        for request, invocation in index.invoked.items():
            if invocation.entry == event.process and invocation.at_ms <= event.at_ms:
                answers = index.answers.get(request, [])
                if not any(answer.at_ms <= event.at_ms for answer in answers):
                    text = f"{event.process} exited with {request} in flight"
                    yield Violation("clean-shutdown", event.at_ms, text)
        for (key, task), starts in index.starts.items():
            running = [s for s in starts if s.agent == event.process and s.at_ms <= event.at_ms]
            ends = [
                e
                for e in index.ended[key, task]
                if e.agent == event.process and e.at_ms <= event.at_ms
            ]
            if len(running) > len(ends):
                text = f"{event.process} exited while {key}/{task} ran"
                yield Violation("clean-shutdown", event.at_ms, text)


def _check_config_forward(index: _Index) -> Iterator[Violation]:
    """Check that processes never revert to an older revision and reach accepted ones in time."""
    in_force: dict[str, list[ConfigurationInForce]] = defaultdict(list)
    alive: dict[str, tuple[float, float]] = {}
    last_ms = index.events[-1].at_ms if index.events else 0.0
    for event in index.events:
        match event:
            case ProcessStarted(at_ms=at_ms, process=process):
                alive[process] = (at_ms, float("inf"))
            case ProcessExited(at_ms=at_ms, process=process) if process in alive:
                alive[process] = (alive[process][0], at_ms)
            case ConfigurationInForce(process=process, revision=revision):
                if in_force[process] and in_force[process][-1].revision > revision:
                    text = f"{process} reverted to revision {revision}"
                    yield Violation("config-forward", event.at_ms, text)
                in_force[process].append(event)
    for event in index.events:
        if not isinstance(event, ConfigurationAccepted):
            continue
        due_ms = event.at_ms + index.bounds.configuration_ms
        for process, (since_ms, until_ms) in alive.items():
            if since_ms > event.at_ms or until_ms < due_ms or due_ms > last_ms:
                continue
            seen = [e for e in in_force[process] if e.at_ms <= due_ms]
            if not any(e.revision >= event.revision for e in seen):
                text = f"{process} has not reached revision {event.revision}"
                yield Violation("config-forward", due_ms, text)


CHECKS: dict[str, Callable[[_Index], Iterator[Violation]]] = {
    "at-most-once": _check_at_most_once,
    "whole-or-failed": _check_whole_or_failed,
    "zone-stop": _check_zone_stop,
    "own-answer": _check_own_answer,
    "not-run-true": _check_not_run_true,
    "non-idempotent": _check_non_idempotent,
    "leaving-upstream": _check_leaving_upstream,
    "clean-shutdown": _check_clean_shutdown,
    "config-forward": _check_config_forward,
}


def check_history(events: Iterable[Event], bounds: Bounds | None = None) -> list[Violation]:
    """Return every violation of an invariant in ``events``, in order of time."""
    ordered = sorted(events, key=lambda event: event.at_ms)
    index = _Index(ordered, bounds or Bounds())
    found = [violation for check in CHECKS.values() for violation in check(index)]
    return sorted(found, key=lambda violation: violation.at_ms)
