"""Backlog of the tasks waiting at their leader: weighted fair queueing and withdrawal.

Each client account (team) has three flows: single requests, small jobs and bulk jobs. Flows share
capacity by weight, in the order of their virtual finish times, the times at which their first jobs
would end if all flows ran at once. Each grant advances the flow's virtual time by the expected work
divided by its weight, and the flow with the smallest sum of virtual time and weighted remaining
work of its first job goes first. A job has no value until its last task ends, so a job that has
started is finished before the next one of the same length. No flow gets less than its share in the
long run. A flow that was idle starts at the system's virtual time, which each grant advances by its
work divided by the weight of all waiting flows.

Within a flow, the job with the lowest rank goes first: its arrival time plus ``ageing`` times its
expected remaining work. A job is thus overtaken only by shorter jobs that arrive before the time of
its rank.

Tasks are grouped by placement class, the set of tasks that may run on the same agents. When no
agent is available for a class, all its tasks are skipped in one step, regardless of the number of
accounts and jobs.
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

# Maximum virtual time by which ``adjust_charge`` may move a flow ahead of the system's.
_MAX_LEAD_MS = 500.0
# Tolerance for rounding errors when virtual times are compared.
_EPSILON_MS = 1e-6
# Maximum number of interned placement classes; when it is reached, all are dropped.
_MAX_INTERNED = 4_096


class Size(Enum):
    """Size class of a job; single requests, small jobs and bulk jobs are placed differently."""

    SINGLE = "single"
    SMALL = "small"
    BULK = "bulk"


# Weights of the flows of one client account.
SIZE_WEIGHTS = {Size.SINGLE: 8, Size.SMALL: 4, Size.BULK: 2}
# Lower bound of the finish time by which a job is ordered, relative to the system's virtual time.
# It keeps a larger job that is behind its share from preceding, at once, shorter work that is
# within its own share. For comparison, a single request of 200 ms takes 25 ms of virtual time.
_CATCH_UP_DELAY_MS = {Size.SINGLE: 0.0, Size.SMALL: 100.0, Size.BULK: 200.0}


@dataclass(frozen=True, slots=True, eq=False)
class PlacementClass:
    """Properties of tasks that may run on the same agents.

    Instances are compared by identity; the backlog interns them, so equal values share one object.
    """

    service: ServiceName
    resources: Resources
    candidates: frozenset[AgentId]
    excluded: frozenset[AgentId]
    size: Size


@dataclass(slots=True)
class Batch:
    """The waiting tasks of one key and one placement class."""

    key: ScopedKey
    team: TeamName
    placement: PlacementClass
    arrived_ms: float
    expected_ms: float
    deadline_at_ms: float
    tasks: deque[TaskReady] = field(default_factory=deque)

    def rank(self, ageing: float) -> float:
        """Return the sort key, in milliseconds, among the jobs of a flow; the lowest goes first."""
        return self.arrived_ms + ageing * len(self.tasks) * self.expected_ms


@dataclass(slots=True)
class Flow:
    """The waiting jobs of one size class of a client account.

    ``work_ms`` is the expected work of its waiting tasks. ``virtual_ms`` is the flow's virtual
    time: the work charged for its grants, divided by its weight.
    """

    weight: float
    waiting: int = 0
    work_ms: float = 0.0
    virtual_ms: float = 0.0


class TeamShare:
    """Weight and flows of one client account."""

    def __init__(self) -> None:
        self.weight = 1
        self.waiting = 0
        self.flows = {size: Flow(SIZE_WEIGHTS[size]) for size in Size}

    def set_weight(self, weight: int) -> None:
        """Set the account's weight under contention, and the weights of its flows."""
        self.weight = weight
        for size, flow in self.flows.items():
            flow.weight = weight * SIZE_WEIGHTS[size]

    def work_ms(self) -> float:
        """Return the expected work of all waiting tasks of the account."""
        return sum(flow.work_ms for flow in self.flows.values())


@dataclass(slots=True)
class _ClassQueue:
    """The waiting batches of one placement class, by client account.

    ``teams`` is a heap of the accounts, ordered by the virtual finish time of their first jobs. A
    heap item is valid only if its number equals the account's number in ``current``; an account
    whose virtual finish time decreases gets a new item.
    """

    teams: list[tuple[float, int, TeamName]] = field(default_factory=list)
    current: dict[TeamName, int] = field(default_factory=dict)
    batches: dict[TeamName, list[tuple[float, int, Batch]]] = field(default_factory=dict)


class Backlog:
    """The waiting tasks in the order in which to place them.

    A job may be overtaken by shorter jobs of its flow that arrive up to ``ageing`` milliseconds
    later for each millisecond of its expected remaining work; 0 gives first in, first out.
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
        """Return the size class of a job with ``job_size`` tasks."""
        if job_size == 1:
            return Size.SINGLE
        return Size.BULK if job_size >= self._bulk_tasks else Size.SMALL

    def set_weight(self, team: TeamName, weight: int) -> None:
        """Set the weight of ``team`` under contention."""
        share = self._share(team)
        if share.waiting:
            self._active_weight += weight - share.weight
        before = sum(flow.weight for flow in share.flows.values() if flow.waiting)
        share.set_weight(weight)
        after = sum(flow.weight for flow in share.flows.values() if flow.waiting)
        self._flow_weight += after - before

    def waiting_of(self, team: TeamName) -> int:
        """Return the number of waiting tasks of ``team``."""
        share = self._teams.get(team)
        return share.waiting if share else 0

    def work_until_end_ms(self, team: TeamName, job_size: int, work_ms: float) -> float:
        """Return the work done until a new job of ``work_ms`` ends, including the job itself.

        Other flows of the account, and other accounts, precede the job only up to their shares.
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
        """Add a task that arrived at ``arrived_ms`` and is expected to run for ``expected_ms``."""
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
        """Remove the waiting tasks of ``key`` and return their number.

        The cost does not depend on the number of tasks: the batch is cleared here, and its heap
        item is removed when it next reaches the top.
        """
        removed = 0
        for batch in self._keys.pop(key, ()):
            removed += self._clear_batch(batch)
        return removed

    def best(self, blocked: Container[PlacementClass], now_ms: float) -> Batch | None:
        """Return the batch to place next, or None.

        Batches of the placement classes in ``blocked`` are skipped.
        """
        best: Batch | None = None
        best_order = (0.0, 0.0)
        empty = []
        for placement, queue in self._classes.items():
            if placement in blocked:
                continue
            batch = self._head(queue, now_ms)
            if batch is None:
                empty.append(placement)
                continue
            end_ms = self._virtual_finish(batch)
            order = (max(end_ms, self._virtual_ms + _CATCH_UP_DELAY_MS[placement.size]), end_ms)
            if best is None or order < best_order:
                best, best_order = batch, order
        for placement in empty:
            del self._classes[placement]
        return best

    def take(self, batch: Batch, expected_ms: float) -> TaskReady:
        """Remove and return the first task of ``batch``, and charge its flow ``expected_ms``."""
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
            self._remove_batch(batch)
        return task

    def adjust_charge(
        self, team: TeamName, job_size: int, expected_ms: float, actual_ms: float
    ) -> None:
        """Replace the expected time charged to a flow by the actual run time of the task.

        Without this, an account whose services declare far too long times would get less than its
        share. Without the bound on the charge, a flow that used otherwise idle capacity would have
        to wait until all other flows have used as much.
        """
        size = self.size_of(job_size)
        flow = self._share(team).flows[size]
        ahead_ms = flow.virtual_ms + (actual_ms - expected_ms) / flow.weight
        flow.virtual_ms = min(ahead_ms, max(flow.virtual_ms, self._virtual_ms + _MAX_LEAD_MS))
        if actual_ms < expected_ms and flow.waiting:
            for placement, queue in self._classes.items():
                if placement.size is size and queue.batches.get(team):
                    self._push_team(queue, team, self._virtual_finish(queue.batches[team][0][2]))

    def _flow(self, batch: Batch) -> Flow:
        return self._teams[batch.team].flows[batch.placement.size]

    def _virtual_finish(self, batch: Batch) -> float:
        """Return the virtual finish time of the job: its end if all flows ran at once."""
        flow = self._flow(batch)
        return flow.virtual_ms + len(batch.tasks) * batch.expected_ms / flow.weight

    def _push_team(self, queue: _ClassQueue, team: TeamName, end_ms: float) -> None:
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
            self._push_team(queue, batch.team, self._virtual_finish(batch))

    def _head(self, queue: _ClassQueue, now_ms: float) -> Batch | None:
        """Return the batch in ``queue`` with the earliest virtual finish time, or None."""
        while queue.teams:
            end_ms, number, team = queue.teams[0]
            if queue.current.get(team) != number:
                heapq.heappop(queue.teams)
                continue
            heap = queue.batches[team]
            self._refresh_top(heap, now_ms)
            if not heap:
                heapq.heappop(queue.teams)
                del queue.batches[team], queue.current[team]
                continue
            present_ms = self._virtual_finish(heap[0][2])
            if present_ms <= end_ms + _EPSILON_MS:
                return heap[0][2]
            heapq.heapreplace(queue.teams, (present_ms, number, team))
        return None

    def _refresh_top(self, heap: list[tuple[float, int, Batch]], now_ms: float) -> None:
        """Remove withdrawn and expired batches from the top of ``heap`` and refresh the top's rank.

        A job whose deadline has passed is removed from the backlog; its leader answers the client.
        """
        while heap:
            rank, sequence, batch = heap[0]
            if batch.tasks and batch.deadline_at_ms <= now_ms:
                self._clear_batch(batch)
                self._remove_batch(batch)
            if not batch.tasks:
                heapq.heappop(heap)
                continue
            present = batch.rank(self._ageing)
            if present <= rank:
                return
            heapq.heapreplace(heap, (present, sequence, batch))

    def _clear_batch(self, batch: Batch) -> int:
        removed = len(batch.tasks)
        batch.tasks = deque()
        self._count(batch, -removed, -removed * batch.expected_ms)
        return removed

    def _count(self, batch: Batch, tasks: int, work_ms: float) -> None:
        """Add ``tasks`` and ``work_ms``, which may be negative, to the counts of waiting work."""
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

    def _remove_batch(self, batch: Batch) -> None:
        batches = self._keys.get(batch.key)
        if batches is not None:
            batches[:] = [other for other in batches if other is not batch]
            if not batches:
                del self._keys[batch.key]
