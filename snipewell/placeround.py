"""State of one round of placement for tasks with a place, without any I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from functools import cached_property

from .agentsession import SUSPECT_AFTER_MS
from .forecast import UpstreamForecast, merge_ends
from .ids import UpstreamId
from .jobstate import Task
from .locality import GroupRack, GroupSplit, count_step_runs
from .matching import Candidate, CandidatePool, TaskRequirements


@dataclass
class PlaceRound:
    """State of one round of placement for one service, as far as its tasks need it."""

    pool: CandidatePool
    now_ms: float
    runs: Mapping[tuple[str, int], Task]
    forecasts: dict[str, UpstreamForecast] = field(default_factory=dict)
    groups: dict[str, GroupRack | GroupSplit | None] = field(default_factory=dict)
    step_runs: dict[str, Counter[UpstreamId]] = field(default_factory=dict)
    contended: set[str] = field(default_factory=set)
    """Racks for which a task waits that would be late anywhere else."""

    @cached_property
    def load(self) -> float:
        """Share of the CPU of the candidates in use at the first call of the round."""
        capacity = sum(each.view.report.capacity.cpu_milli for each in self.pool.candidates)
        free = sum(max(0, each.available.cpu_milli) for each in self.pool.candidates)
        return 1 - min(1.0, free / capacity) if capacity else 1.0

    @cached_property
    def own_ends(self) -> dict[str, list[tuple[float, int]]]:
        """Expected ends and CPU of the entry's own runs by the peer name of their agent."""
        ends: dict[str, list[tuple[float, int]]] = {}
        for task in self.runs.values():
            if task.view is not None:
                end = (task.expected_end_ms, task.resources.cpu_milli)
                ends.setdefault(task.view.peer, []).append(end)
        return ends

    def count_runs(self, task: Task) -> Counter[UpstreamId]:
        """Return the number of runs of the step of ``task`` on each upstream."""
        step = task.name.rpartition("/")[0]
        if step not in self.step_runs:
            runs = [
                (name, other.view.upstream)
                for (name, _), other in self.runs.items()
                if other.view is not None
            ]
            self.step_runs[step] = count_step_runs(runs, step)
        return self.step_runs[step]

    def forecast_all(
        self, candidates: Sequence[Candidate], requirements: TaskRequirements | None = None
    ) -> list[UpstreamForecast]:
        """Return the forecasts of the upstreams that may run the task, by recent reports."""
        found = []
        for candidate in candidates:
            view = candidate.view
            if self.now_ms - view.channel.last_seen_ms > SUSPECT_AFTER_MS:
                continue
            if requirements is not None and not requirements.permits(candidate):
                continue
            if view.peer not in self.forecasts:
                self.forecasts[view.peer] = self._forecast(candidate)
            found.append(self.forecasts[view.peer])
        return found

    def _forecast(self, candidate: Candidate) -> UpstreamForecast:
        view, now_ms = candidate.view, self.now_ms
        reported = [(view.report_ms + in_ms, cpu) for cpu, in_ms in view.report.ends]
        return UpstreamForecast.from_ends(
            view.upstream,
            view.report.capacity.cpu_milli,
            candidate.available.cpu_milli,
            candidate.slowness,
            merge_ends(reported, self.own_ends.get(view.peer, [])),
            now_ms,
        )
