"""Tasks that wait at their home: order between teams and jobs, withdrawal, bounds.

The single requests, small jobs and bulk jobs of a team are one flow each. Flows share capacity by
weight, in the order in which their first jobs would end if all flows ran at once: each grant
advances the flow's virtual time by the expected work over its weight, and the flow with the least
virtual time plus work left in its first job goes first. A job, once begun, is therefore finished
before the next of the same length, since it is worth nothing until its last task ends, and no flow
gets less than its share in the long run. The virtual time at which a flow that was idle starts
rises by each grant's work over the weight of all waiting flows.

Within a flow, the job with the least expected work left goes first. Its rank is its arrival time
plus ``ageing`` times the work left, so jobs that arrived more than that later cannot overtake it.

Tasks are kept by placement class, the set of tasks that may run on the same agents. When a class
finds no agent, all its tasks are passed over in one step, however many teams and jobs they have.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Container
from dataclasses import dataclass, field
from enum import Enum
from itertools import count

from .effect import TaskReady
from .ids import AgentId, ScopedKey, ServiceName, TeamName
from .message import Resources

_MAX_LEAD_MS = 500.0
_EPSILON_MS = 1e-6
_MAX_INTERNED = 4_096


class Size(Enum):
    """How large a job is: placement treats single requests, small jobs and bulk jobs apart."""

    SINGLE = "single"
    SMALL = "small"
    BULK = "bulk"


SIZE_WEIGHTS = {Size.SINGLE: 8, Size.SMALL: 4, Size.BULK: 2}
# A larger job that is behind its share still lets shorter work within its share go first. In
# virtual time; a single request of 200 ms takes 25.
_BEHIND_SHORT_MS = {Size.SINGLE: 0.0, Size.SMALL: 100.0, Size.BULK: 200.0}


@dataclass(frozen=True, slots=True, eq=False)
class PlacementClass:
    """Tasks that may run on the same agents. The backlog makes one object for equal values."""

    service: ServiceName
    resources: Resources
    candidates: frozenset[AgentId]
    excluded: frozenset[AgentId]
    size: Size


@dataclass(slots=True)
class Batch:
    """Waiting tasks of one key and one placement class."""

    key: ScopedKey
    team: TeamName
    placement: PlacementClass
    arrived_ms: float
    expected_ms: float
    deadline_at_ms: float
    tasks: deque[TaskReady] = field(default_factory=deque)

    def rank(self, ageing: float) -> float:
        """Return the batch's place in its team's order; lower goes first. In milliseconds."""
        return self.arrived_ms + ageing * len(self.tasks) * self.expected_ms


@dataclass(slots=True)
class Flow:
    """The waiting jobs of one size in a team; virtual time is expected work over weight."""

    weight: float
    waiting: int = 0
    work_ms: float = 0.0
    virtual_ms: float = 0.0


class TeamShare:
    """A team's weight and flows."""

    def __init__(self) -> None:
        self.weight = 1
        self.waiting = 0
        self.flows = {size: Flow(SIZE_WEIGHTS[size]) for size in Size}

    def set_weight(self, weight: int) -> None:
        """Set the team's share under contention."""
        self.weight = weight
        for size, flow in self.flows.items():
            flow.weight = weight * SIZE_WEIGHTS[size]

    def work_ms(self) -> float:
        """Return the expected work that waits."""
        return sum(flow.work_ms for flow in self.flows.values())


@dataclass(slots=True)
class _ClassQueue:
    """The waiting batches of one placement class, by team.

    ``teams`` orders the teams by the virtual end of their first job; an entry counts only if its
    number is the team's in ``current``, so a team whose order falls gets a new entry.
    """

    teams: list[tuple[float, int, TeamName]] = field(default_factory=list)
    current: dict[TeamName, int] = field(default_factory=dict)
    batches: dict[TeamName, list[tuple[float, int, Batch]]] = field(default_factory=dict)


class Backlog:
    """Waiting tasks in the order in which they should be placed.

    ``ageing`` is how many milliseconds of later arrivals may overtake a job for each millisecond of
    its expected work; 0 gives the order of arrival.
    """

    def __init__(self, ageing: float, bulk_tasks: int) -> None:
        self._ageing = ageing
        self._bulk_tasks = bulk_tasks
        self._classes: dict[PlacementClass, _ClassQueue] = {}
        self._interned: dict[tuple[object, ...], PlacementClass] = {}
        self._keys: dict[ScopedKey, list[Batch]] = {}
        self._teams: dict[TeamName, TeamShare] = {}
        self._virtual_ms = 0.0
        self._sequence = count()
        self._active_weight = 0
        self._flow_weight = 0.0
        self.waiting = 0
        self.work_ms = 0.0

    def size_of(self, job_size: int) -> Size:
        """Return the size band of a job with ``job_size`` tasks."""
        if job_size == 1:
            return Size.SINGLE
        return Size.BULK if job_size >= self._bulk_tasks else Size.SMALL

    def set_weight(self, team: TeamName, weight: int) -> None:
        """Set the team's share under contention."""
        share = self._share(team)
        if share.waiting:
            self._active_weight += weight - share.weight
        before = sum(flow.weight for flow in share.flows.values() if flow.waiting)
        share.set_weight(weight)
        after = sum(flow.weight for flow in share.flows.values() if flow.waiting)
        self._flow_weight += after - before

    def waiting_of(self, team: TeamName) -> int:
        """Return how many tasks of ``team`` wait."""
        share = self._teams.get(team)
        return share.waiting if share else 0

    def work_before_ms(self, team: TeamName, job_size: int, work_ms: float) -> float:
        """Return the work that is done by the time a new job of ``work_ms`` is, its own included.

        Others of the team and other teams come first only as far as their shares allow.
        """
        size = self.size_of(job_size)
        share = self._teams.get(team) or TeamShare()
        own = share.flows[size]
        need_ms = work_ms + own.work_ms
        team_ms = need_ms + sum(
            min(other.work_ms, need_ms * other.weight / own.weight)
            for other in share.flows.values()
            if other is not own
        )
        others_ms = max(0.0, self.work_ms - share.work_ms())
        others_weight = self._active_weight - (share.weight if share.waiting else 0)
        return team_ms + min(others_ms, team_ms * others_weight / share.weight)

    def put(self, task: TaskReady, arrived_ms: float, expected_ms: float) -> None:
        """Add ``task``, which arrived at ``arrived_ms`` and should run for ``expected_ms``."""
        share = self._share(task.team)
        batch = self._batch_of(task, arrived_ms, expected_ms)
        flow = share.flows[batch.placement.size]
        if not flow.waiting:
            flow.virtual_ms = max(flow.virtual_ms, self._virtual_ms)
        batch.tasks.append(task)
        self._count(batch, 1, batch.expected_ms)
        if len(batch.tasks) == 1:
            self._push(batch)

    def withdraw(self, key: ScopedKey) -> int:
        """Remove the waiting tasks of ``key`` and return how many they were.

        The cost does not depend on the number of tasks: the batch is emptied here and its place in
        the order is dropped when it is next reached.
        """
        removed = 0
        for batch in self._keys.pop(key, ()):
            removed += self._empty(batch)
        return removed

    def best(self, blocked: Container[PlacementClass], now_ms: float) -> Batch | None:
        """Return the batch whose task should be placed next, outside ``blocked``, or None."""
        best: Batch | None = None
        best_order = (0.0, 0.0)
        drained = []
        for placement, queue in self._classes.items():
            if placement in blocked:
                continue
            batch = self._head(queue, now_ms)
            if batch is None:
                drained.append(placement)
                continue
            end_ms = self._virtual_end(batch)
            order = (max(end_ms, self._virtual_ms + _BEHIND_SHORT_MS[placement.size]), end_ms)
            if best is None or order < best_order:
                best, best_order = batch, order
        for placement in drained:
            del self._classes[placement]
        return best

    def take(self, batch: Batch, expected_ms: float) -> TaskReady:
        """Remove and return the first task of ``batch`` and charge its team ``expected_ms``."""
        self._count(batch, 0, (expected_ms - batch.expected_ms) * len(batch.tasks))
        batch.expected_ms = expected_ms
        task = batch.tasks.popleft()
        flow = self._flow(batch)
        self._virtual_ms += expected_ms / max(flow.weight, self._flow_weight)
        flow.virtual_ms += expected_ms / flow.weight
        self._count(batch, -1, -expected_ms)
        if batch.tasks:
            heap = self._classes[batch.placement].batches[batch.team]
            heapq.heapreplace(heap, (batch.rank(self._ageing), heap[0][1], batch))
        else:
            self._forget(batch)
        return task

    def correct(self, team: TeamName, job_size: int, expected_ms: float, actual_ms: float) -> None:
        """Charge a flow the time that a task took instead of what was expected.

        Without this, a team whose services declare times that are far too long would be kept from
        its share. The charge is bounded: a flow that used capacity which nobody else wanted would
        otherwise wait until all others have used as much.
        """
        size = self.size_of(job_size)
        flow = self._share(team).flows[size]
        ahead_ms = flow.virtual_ms + (actual_ms - expected_ms) / flow.weight
        flow.virtual_ms = min(ahead_ms, max(flow.virtual_ms, self._virtual_ms + _MAX_LEAD_MS))
        if actual_ms < expected_ms and flow.waiting:
            for placement, queue in self._classes.items():
                if placement.size is size and queue.batches.get(team):
                    self._place_team(queue, team, self._virtual_end(queue.batches[team][0][2]))

    def _flow(self, batch: Batch) -> Flow:
        return self._teams[batch.team].flows[batch.placement.size]

    def _virtual_end(self, batch: Batch) -> float:
        """Return the virtual time at which the job would end if all flows ran at once."""
        flow = self._flow(batch)
        return flow.virtual_ms + len(batch.tasks) * batch.expected_ms / flow.weight

    def _place_team(self, queue: _ClassQueue, team: TeamName, end_ms: float) -> None:
        number = queue.current[team] = next(self._sequence)
        heapq.heappush(queue.teams, (end_ms, number, team))

    def _share(self, team: TeamName) -> TeamShare:
        share = self._teams.get(team)
        if share is None:
            share = self._teams[team] = TeamShare()
        return share

    def _batch_of(self, task: TaskReady, arrived_ms: float, expected_ms: float) -> Batch:
        batches = self._keys.setdefault(task.key, [])
        for batch in batches:
            own = batch.placement
            if own.excluded == task.excluded and own.candidates == task.candidates:
                return batch
        placement = self._intern(task)
        batch = Batch(task.key, task.team, placement, arrived_ms, expected_ms, task.deadline_at_ms)
        batches.append(batch)
        return batch

    def _intern(self, task: TaskReady) -> PlacementClass:
        size = self.size_of(task.job_size)
        values = (task.service, task.resources, task.candidates, task.excluded, size)
        placement = self._interned.get(values)
        if placement is None:
            if len(self._interned) >= _MAX_INTERNED:
                self._interned.clear()
            placement = self._interned[values] = PlacementClass(*values)
        return placement

    def _push(self, batch: Batch) -> None:
        queue = self._classes.setdefault(batch.placement, _ClassQueue())
        heap = queue.batches.setdefault(batch.team, [])
        heapq.heappush(heap, (batch.rank(self._ageing), next(self._sequence), batch))
        if heap[0][2] is batch:
            self._place_team(queue, batch.team, self._virtual_end(batch))

    def _head(self, queue: _ClassQueue, now_ms: float) -> Batch | None:
        """Return the first batch of the team whose job would end first in ``queue``."""
        while queue.teams:
            end_ms, number, team = queue.teams[0]
            if queue.current.get(team) != number:
                heapq.heappop(queue.teams)
                continue
            heap = queue.batches[team]
            self._drop_ended(heap, now_ms)
            if not heap:
                heapq.heappop(queue.teams)
                del queue.batches[team], queue.current[team]
                continue
            present_ms = self._virtual_end(heap[0][2])
            if present_ms <= end_ms + _EPSILON_MS:
                return heap[0][2]
            heapq.heapreplace(queue.teams, (present_ms, number, team))
        return None

    def _drop_ended(self, heap: list[tuple[float, int, Batch]], now_ms: float) -> None:
        """Correct the top of ``heap``: no withdrawn or expired batch, and its present rank.

        A job whose deadline has passed leaves the backlog; its home answers the caller.
        """
        while heap:
            rank, sequence, batch = heap[0]
            if batch.tasks and batch.deadline_at_ms <= now_ms:
                self._empty(batch)
                self._forget(batch)
            if not batch.tasks:
                heapq.heappop(heap)
                continue
            present = batch.rank(self._ageing)
            if present <= rank:
                return
            heapq.heapreplace(heap, (present, sequence, batch))

    def _empty(self, batch: Batch) -> int:
        removed = len(batch.tasks)
        batch.tasks = deque()
        self._count(batch, -removed, -removed * batch.expected_ms)
        return removed

    def _count(self, batch: Batch, tasks: int, work_ms: float) -> None:
        """Add to the waiting tasks and their expected work, or take away."""
        share = self._teams[batch.team]
        own = share.flows[batch.placement.size]
        waited, own_waited = share.waiting, own.waiting
        share.waiting += tasks
        own.waiting += tasks
        own.work_ms = own.work_ms + work_ms if own.waiting else 0.0
        self.waiting += tasks
        self.work_ms = self.work_ms + work_ms if self.waiting else 0.0
        if bool(waited) != bool(share.waiting):
            self._active_weight += share.weight if share.waiting else -share.weight
        if bool(own_waited) != bool(own.waiting):
            self._flow_weight += own.weight if own.waiting else -own.weight

    def _forget(self, batch: Batch) -> None:
        batches = self._keys.get(batch.key)
        if batches is not None:
            batches[:] = [other for other in batches if other is not batch]
            if not batches:
                del self._keys[batch.key]
