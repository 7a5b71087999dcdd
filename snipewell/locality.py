"""Decision how long a task waits for its near rack, without any I/O.

A task that runs away from the rack of its data, or whose group is split over racks, takes a factor
longer (the place factor). A full near rack is therefore worth a wait, but only while the wait costs
less than a far start. Both are compared in core-milliseconds, and a far start is charged with what
its extra work costs the other tasks of a loaded fleet.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum

from .forecast import UpstreamForecast, median_slowness
from .ids import UpstreamId
from .job import StepSpec


class Reason(Enum):
    """Reason of a place decision, for the log."""

    FREE = "near rack has capacity"
    NO_FAR_PLACE = "no far place is free"
    FASTER = "far start ends earlier"
    UNUSABLE = "no usable upstream on the near rack"
    UNKNOWN = "no expected end of a run on the near rack"
    WAITS_OFF = "waits are switched off"
    LIMIT = "wait limit reached"
    BEYOND_LIMIT = "near rack frees after the wait limit"
    CONTENDED = "near rack is left to tasks that need it"
    DUE = "only this place meets the due time"
    COST = "lower cost"
    SPLIT = "group is split"
    PROBE = "probe of an upstream"


@dataclass(frozen=True, slots=True)
class PlaceInputs:
    """Inputs of a decision, for the log; times are durations from the decision."""

    near_start_in_ms: float
    near_end_in_ms: float
    far_end_in_ms: float
    others_cost: float
    """Cost of a far start for the other tasks, in core-milliseconds."""
    load: float
    limit_in_ms: float


@dataclass(frozen=True, slots=True)
class StartNear:
    """Start the task on its near rack now."""

    reason: Reason
    inputs: PlaceInputs


@dataclass(frozen=True, slots=True)
class StartFar:
    """Start the task on another rack now."""

    reason: Reason
    inputs: PlaceInputs


@dataclass(frozen=True, slots=True)
class WaitNear:
    """Leave the task waiting for its near rack, until ``until_ms`` at the latest."""

    reason: Reason
    inputs: PlaceInputs
    until_ms: float


PlaceDecision = StartNear | StartFar | WaitNear


@dataclass(frozen=True, slots=True)
class PlacedTask:
    """A waiting task with a near rack.

    ``due_ms`` and ``expiry_ms`` are the times by which the task must end for its job to meet its
    due and expiry time. ``wait_began_ms`` is the time of the first decision to wait, or the present
    time. ``group`` is the number of tasks that a far start makes slower: 1, or with ``sameRack``
    the tasks of the step.
    """

    estimate_ms: float
    cpu_milli: int
    factor: float
    due_ms: float
    expiry_ms: float
    wait_began_ms: float
    group: int = 1

    @property
    def work(self) -> float:
        """Work of the tasks that a far start makes slower, in core-milliseconds."""
        return self.estimate_ms * self.cpu_milli / 1000 * self.group

    def others_cost(self, load: float) -> float:
        """Return the cost of a far start for the others if the share ``load`` of CPU is in use."""
        return max(0.0, self.factor - 1) * self.work * load

    def wait_limit_ms(self, near_slowness: float, far_slowness: float, load: float) -> float:
        """Return the time at which a wait for the near rack ends.

        It is the latest start on the near rack that meets the due time or, for a wait that began
        after that, the latest useful start. A wait also never costs more than the far start that it
        avoids, so that predictions that fail again and again at most double the cost.
        """
        near_ms = self.estimate_ms * near_slowness
        latest_ms = self.due_ms - near_ms
        if self.wait_began_ms > latest_ms:
            latest_ms = self.expiry_ms - near_ms
        cores = max(self.cpu_milli, 1) / 1000
        saved_ms = (
            self.estimate_ms * self.factor * far_slowness
            - near_ms
            + self.others_cost(load) / cores / self.group
        )
        return min(latest_ms, self.wait_began_ms + max(0.0, saved_ms))


@dataclass(frozen=True, slots=True)
class NearPlace:
    """The near rack: ``start_ms`` is the expected start there, infinite if unknown.

    ``free`` means that the task can start there now. A rack that isn't ``usable`` has no upstream
    that may run the task. It is ``contended`` while a task waits for it that would be late anywhere
    else.
    """

    free: bool
    start_ms: float
    slowness: float = 1.0
    usable: bool = True
    contended: bool = False


@dataclass(frozen=True, slots=True)
class FarPlace:
    """An upstream of another rack on which the task can start now.

    ``load`` is the share of the fleet's CPU in use.
    """

    slowness: float
    load: float


def decide_place(
    task: PlacedTask, near: NearPlace, far: FarPlace | None, now_ms: float, waits: bool = True
) -> PlaceDecision:
    """Return whether ``task`` starts near, starts far or waits.

    ``far`` is None if no far place is free. Without ``waits``, a task starts at once where it can.
    """
    near_ms = task.estimate_ms * near.slowness
    near_in_ms = max(0.0, near.start_ms - now_ms)
    load = far.load if far is not None else 1.0
    far_slowness = far.slowness if far is not None else near.slowness
    limit_ms = task.wait_limit_ms(near.slowness, far_slowness, load)
    far_ms = task.estimate_ms * task.factor * far_slowness
    others_cost = task.others_cost(load)
    inputs = PlaceInputs(
        near_in_ms, near_in_ms + near_ms, far_ms, others_cost, load, limit_ms - now_ms
    )
    near_in_time = now_ms + near_in_ms + near_ms <= task.due_ms
    far_in_time = now_ms + far_ms <= task.due_ms
    cores = task.cpu_milli / 1000 * task.group
    near_cost = (near_in_ms + near_ms) * cores
    far_cost = far_ms * cores + others_cost
    prefers_near = near_in_time if near_in_time is not far_in_time else near_cost <= far_cost
    if near.free:
        if far is None or prefers_near:
            return StartNear(Reason.FREE, inputs)
        return StartFar(Reason.FASTER, inputs)
    if far is None:
        return WaitNear(Reason.NO_FAR_PLACE, inputs, float("inf"))
    refusal = _find_refusal(near, limit_ms, now_ms, waits)
    if refusal is not None:
        return StartFar(refusal, inputs)
    if near.contended and far_in_time:
        return StartFar(Reason.CONTENDED, inputs)
    reason = Reason.COST if near_in_time is far_in_time else Reason.DUE
    if prefers_near:
        return WaitNear(reason, inputs, limit_ms)
    return StartFar(reason, inputs)


def _find_refusal(near: NearPlace, limit_ms: float, now_ms: float, waits: bool) -> Reason | None:
    """Return why a task may not wait for the rack, whatever the costs, or None."""
    if not near.usable:
        return Reason.UNUSABLE
    if not waits:
        return Reason.WAITS_OFF
    if near.start_ms == float("inf"):
        return Reason.UNKNOWN
    if now_ms >= limit_ms:
        return Reason.LIMIT
    return Reason.BEYOND_LIMIT if near.start_ms > limit_ms else None


# Groups: steps with ``sameRack``.


def rack_labels(labels: Sequence[str]) -> Sequence[str]:
    """Return the labels of an upstream that name its racks.

    The first label is the kind of the upstream and is common to many racks; the others differ
    between upstreams. The platform doesn't mark racks in any other way.
    """
    return labels[1:]


@dataclass(frozen=True, slots=True)
class GroupRack:
    """The tasks of the step go to ``rack``, the last one at ``start_ms``."""

    rack: str
    start_ms: float


@dataclass(frozen=True, slots=True)
class GroupSplit:
    """The tasks of the step are split over ``racks``, which are filled in this order."""

    racks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Group:
    """The ``count`` waiting tasks of a step with ``sameRack``.

    ``per_upstream`` is the limit of tasks on one upstream, 0 for none; ``running`` the number of
    tasks of the step on each upstream, which count in it.
    """

    task: PlacedTask
    count: int
    load: float
    per_upstream: int = 0
    running: Mapping[UpstreamId, int] = field(default_factory=dict)

    def slots(self, forecast: UpstreamForecast, cpu_milli: int) -> int:
        """Return how many of the tasks fit on an upstream with ``cpu_milli`` free."""
        slots = max(0, cpu_milli) // max(1, self.task.cpu_milli)
        if self.per_upstream:
            slots = min(slots, self.per_upstream - self.running.get(forecast.upstream, 0))
        return max(0, slots)


def choose_group(
    racks: Mapping[str, Sequence[UpstreamForecast]],
    group: Group,
    now_ms: float,
    waits: bool = True,
) -> GroupRack | GroupSplit:
    """Return the rack that can hold all tasks soonest, or a split if that costs less.

    A split fills the racks with the most room first, so that they are as few as possible.
    """
    room = {
        rack: sum(group.slots(each, each.free) for each in forecasts)
        for rack, forecasts in racks.items()
    }
    by_room = sorted(racks, key=lambda rack: (-room[rack], rack))
    ends = {rack: _expect_group_end(racks[rack], group, now_ms) for rack in by_room}
    best = min(by_room, key=lambda rack: ends[rack][1], default=None)
    split = GroupSplit(tuple(by_room))
    if best is None or ends[best][1] == float("inf"):
        return split
    start_ms, end_ms = ends[best]
    if start_ms > now_ms:
        everywhere = {each.upstream: each for rack in by_room for each in racks[rack]}
        split_ms, split_end_ms = _expect_group_end(
            list(everywhere.values()), group, now_ms, group.task.factor
        )
        slowness = (median_slowness(racks[best]), median_slowness(everywhere.values()))
        limit_ms = group.task.wait_limit_ms(*slowness, group.load)
        cores = group.task.cpu_milli / 1000 * group.task.group
        split_cost = (split_end_ms - now_ms) * cores + group.task.others_cost(group.load)
        too_long = split_ms <= now_ms and (start_ms > limit_ms or not waits)
        if too_long or split_cost < (end_ms - now_ms) * cores:
            return split
    return GroupRack(best, start_ms)


def _expect_group_end(
    forecasts: Sequence[UpstreamForecast], group: Group, now_ms: float, factor: float = 1.0
) -> tuple[float, float]:
    """Return the expected start of the last task and its end on these upstreams.

    Both are infinite if the upstreams can't hold all tasks at once.
    """
    never = (float("inf"), float("inf"))
    if sum(group.slots(each, each.capacity) for each in forecasts) < group.count:
        return never
    task, last_ms, end_ms = group.task, now_ms, now_ms
    left = [group.slots(each, each.capacity) for each in forecasts]
    copies = [replace(each, ends=list(each.ends)) for each in forecasts]
    starts = [
        (each.start_ms(task.cpu_milli, now_ms), i) for i, each in enumerate(copies) if left[i]
    ]
    heapq.heapify(starts)
    for _ in range(group.count):
        if not starts or starts[0][0] == float("inf"):
            return never
        at_ms, chosen = heapq.heappop(starts)
        duration_ms = task.estimate_ms * factor * copies[chosen].slowness
        copies[chosen].claim(task.cpu_milli, at_ms, duration_ms)
        last_ms, end_ms = max(last_ms, at_ms), max(end_ms, at_ms + duration_ms)
        left[chosen] -= 1
        if left[chosen]:
            heapq.heappush(starts, (copies[chosen].start_ms(task.cpu_milli, now_ms), chosen))
    return last_ms, end_ms


# Order of tasks, remaining chain and anti-affinity.


def wait_cost(task: PlacedTask, slowness: float, load: float, now_ms: float) -> float:
    """Return what a wait for the near rack costs a task at most, relative to its work.

    A task that meets its due time on any rack loses nothing that its client notices. Any other is
    charged with its far start, which would be late. Tasks of equal cost keep the order of the plan,
    which is that of their latest starts.
    """
    if now_ms + task.estimate_ms * task.factor * slowness <= task.due_ms:
        return 0.0
    return max(0.0, task.factor - 1) * (1 + load)


def tail_ms(steps: Sequence[StepSpec], step: int) -> float:
    """Return the estimated duration of the longest chain of steps after ``step``."""
    tails = [0.0] * len(steps)
    for number in reversed(range(len(steps))):
        for earlier in steps[number].after:
            tails[earlier] = max(tails[earlier], steps[number].estimate_ms + tails[number])
    return tails[step]


def count_step_runs(runs: Iterable[tuple[str, UpstreamId]], step: str) -> Counter[UpstreamId]:
    """Return the number of runs of the step ``step`` on each upstream.

    ``runs`` holds the name of the task and the upstream of all runs that have not ended: also those
    being stopped, those of which the start has no answer, and those of an earlier submission.
    """
    return Counter(upstream for name, upstream in runs if name.rpartition("/")[0] == step)
