"""Sharing of scarce capacity between queues and job sizes, without any I/O.

The rules apply only in a shortage, when not all waiting jobs can start by their latest start. Each
job that has not started must be able to start all its tasks in time, and a size class that was
served in time much less often than its whole queue comes before other jobs. With the rule
``priority``, each queue is guaranteed half of an equal share of the started work, and the value of
other jobs is weighted by the priority of their queue. All state is kept by the entry in memory; an
entry without history guarantees equal shares and protects no size class.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

GUARANTEED_SHARE = 0.5
"""Part of an equal share of the capacity that each queue with waiting timely work keeps."""
PRIORITY_WEIGHT = 2.0
"""Factor of the value of a job for each step of priority above another queue. With a strict order,
large jobs of an urgent queue displaced so many small ones that fewer jobs were in time at a load of
0.9 than with this factor."""
SHARE_TIME_MS = 1_000.0
"""Time constant of the started work of a queue, as long as the window of the start rate."""
OUTCOME_HALF_LIFE_MS = 10_000.0
"""Age at which an outcome has half its weight. The largest tenth of a queue has few outcomes."""
MIN_OUTCOMES = 3.0
"""Weight of the outcomes of a size class from which it can be protected."""
MIN_SERVED_RATIO = 0.5
"""Share of jobs in time, relative to that of the queue, below which a size class is protected."""
RECENT_SIZES = 100
"""Number of recent jobs of a queue that define its size classes."""
MAX_QUEUES = 256
"""Number of queues with a history; that of the queue which came first is dropped beyond it."""
MAX_PRIORITY = 50
"""Priority from which a further step makes no difference."""
MIN_SIZES = 20
"""Number of recent jobs from which a size class is assigned: two of them are in the largest
tenth."""


class SizeClass(Enum):
    """Size of a job relative to the recent jobs of its queue."""

    LARGEST = "largest tenth"
    LARGE = "fifth below"
    REST = "rest"


class RefusalCause(Enum):
    """Why a job was refused for lack of capacity.

    ``PRIORITY`` and ``SIZE`` mean that the job would have been kept if jobs were ordered by their
    value alone.
    """

    PRIORITY = "priority"
    SIZE = "size"
    ROOM = "room"


@dataclass(frozen=True, slots=True)
class SharingRules:
    """Rules in force.

    ``priority`` is off because it made the test load worse off, see `docs/design/sharing.md`.
    """

    priority: bool = False
    size: bool = True
    whole: bool = True


NO_RULES = SharingRules(priority=False, size=False, whole=False)
"""Rules of an entry unless others are passed to its `Placer`; `docs/design/sharing.md` has why."""


@dataclass(frozen=True, slots=True)
class Claim:
    """Properties of a waiting job on which its share of the capacity depends."""

    queue: str = ""
    priority: int = 0
    size: SizeClass = SizeClass.REST


@dataclass(frozen=True, slots=True)
class Demand:
    """One waiting job in a shortage; ``value_density`` is its value per unit of ``work``.

    ``timely`` is whether the job can still start by its latest start.
    """

    claim: Claim
    work: float
    value_density: float
    timely: bool


Rank = tuple[float, int, float]
"""Rank of a job in a shortage: the unused part of its queue's guaranteed share, 0 if the share is
used up, whether its size class is protected, and its weighted value per unit of work."""


@dataclass(slots=True)
class _Decayed:
    """Sum of which each part loses half its weight in ``half_life_ms``."""

    half_life_ms: float
    total: float = 0.0
    at_ms: float = 0.0

    def add(self, amount: float, now_ms: float) -> None:
        self.total = self.read(now_ms) + amount
        self.at_ms = now_ms

    def read(self, now_ms: float) -> float:
        return self.total * 0.5 ** (max(0.0, now_ms - self.at_ms) / self.half_life_ms)


class _Outcomes:
    """Recent outcomes of the jobs of one queue or size class."""

    def __init__(self) -> None:
        self._all = _Decayed(OUTCOME_HALF_LIFE_MS)
        self._in_time = _Decayed(OUTCOME_HALF_LIFE_MS)

    def add(self, in_time: bool, now_ms: float) -> None:
        self._all.add(1.0, now_ms)
        self._in_time.add(float(in_time), now_ms)

    def count(self, now_ms: float) -> float:
        return self._all.read(now_ms)

    def share(self, now_ms: float) -> float:
        return self._in_time.read(now_ms) / max(self._all.read(now_ms), 1e-9)


def _weigh(priority: int) -> float:
    return PRIORITY_WEIGHT ** -min(max(priority, 0), MAX_PRIORITY)


class Sharing:
    """Recent work, sizes and outcomes of each queue, and the ranks derived from them."""

    def __init__(self, rules: SharingRules | None = None) -> None:
        self.rules = rules or SharingRules()
        self._started: dict[str, _Decayed] = {}
        self._sizes: dict[str, deque[float]] = {}
        self._outcomes: dict[tuple[str, SizeClass | None], _Outcomes] = {}

    def add_arrival(self, queue: str, work: float) -> SizeClass:
        """Add a job of ``queue`` with ``work`` core-milliseconds, and return its size class."""
        sizes = self._find_sizes(queue)
        sizes.append(work)
        if len(sizes) < MIN_SIZES:
            return SizeClass.REST
        # Jobs of equal size count as larger, so a queue with equal jobs has no large ones.
        share = sum(1 for size in sizes if size >= work) / len(sizes)
        if share <= 0.1:
            return SizeClass.LARGEST
        return SizeClass.LARGE if share <= 0.3 else SizeClass.REST

    def _find_sizes(self, queue: str) -> deque[float]:
        """Return the recent sizes of ``queue``, and drop the oldest of too many histories.

        Names of queues change with the configuration.
        """
        if queue not in self._sizes:
            if len(self._sizes) >= MAX_QUEUES:
                oldest = next(iter(self._sizes))
                del self._sizes[oldest]
                self._started.pop(oldest, None)
                for size in (None, *SizeClass):
                    self._outcomes.pop((oldest, size), None)
            self._sizes[queue] = deque(maxlen=RECENT_SIZES)
        return self._sizes[queue]

    def add_start(self, queue: str, work: float, now_ms: float) -> None:
        """Add the start of a task of ``queue`` with ``work`` core-milliseconds."""
        self._find_sizes(queue)
        # A sum with the time constant T has the half-life T ln 2.
        started = self._started.setdefault(queue, _Decayed(SHARE_TIME_MS * 0.693))
        started.add(work, now_ms)

    def add_outcome(self, queue: str, size: SizeClass, in_time: bool, now_ms: float) -> None:
        """Add a job that ended or was refused; ``in_time`` is whether it met its objective."""
        self._find_sizes(queue)
        for key in ((queue, None), (queue, size)):
            self._outcomes.setdefault(key, _Outcomes()).add(in_time, now_ms)

    def is_protected(self, queue: str, size: SizeClass, now_ms: float) -> bool:
        """Return whether jobs of the size class were served too rarely."""
        outcomes = self._outcomes.get((queue, size))
        if not self.rules.size or outcomes is None or outcomes.count(now_ms) < MIN_OUTCOMES:
            return False
        whole = self._outcomes[queue, None].share(now_ms)
        return outcomes.share(now_ms) < MIN_SERVED_RATIO * whole

    def rank(self, demands: Sequence[Demand], rate: float, now_ms: float) -> list[Rank] | None:
        """Return the ranks of the waiting jobs, or None if their value alone orders them.

        The guaranteed shares are used up in the order of the ranks within each queue. A queue
        whose started work is below its guarantee may exceed it by one job, which counts against
        its later jobs.
        """
        timely = [each for each in demands if each.timely]
        by_priority = self.rules.priority and len({each.claim.priority for each in timely}) > 1
        protected = {
            (each.claim.queue, each.claim.size)
            for each in timely
            if self.is_protected(each.claim.queue, each.claim.size, now_ms)
        }
        if not by_priority and not protected:
            return None
        ranks: list[Rank] = [
            (
                0.0,
                int((each.claim.queue, each.claim.size) in protected),
                each.value_density * (_weigh(each.claim.priority) if by_priority else 1.0),
            )
            for each in demands
        ]
        if by_priority:
            queues = {each.claim.queue for each in timely}
            guaranteed = GUARANTEED_SHARE * rate * SHARE_TIME_MS / len(queues)
            budgets = {queue: guaranteed - self._read_started(queue, now_ms) for queue in queues}
            for number in sorted(range(len(demands)), key=lambda i: ranks[i], reverse=True):
                demand = demands[number]
                if demand.timely and budgets[demand.claim.queue] > 0:
                    unused = budgets[demand.claim.queue] / guaranteed
                    budgets[demand.claim.queue] -= demand.work
                    ranks[number] = (unused, *ranks[number][1:])
        return ranks

    def _read_started(self, queue: str, now_ms: float) -> float:
        return self._started[queue].read(now_ms) if queue in self._started else 0.0

    def explain(self, displaced: Claim, kept: Sequence[Claim]) -> RefusalCause:
        """Return why a job is infeasible that its value alone would have kept.

        ``kept`` are the jobs that are kept although their value alone would not have done so.
        """
        if self.rules.priority and any(claim.priority != displaced.priority for claim in kept):
            return RefusalCause.PRIORITY
        return RefusalCause.SIZE
