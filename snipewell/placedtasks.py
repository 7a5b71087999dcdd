"""Selection of upstreams for tasks with a place, without any I/O.

`locality` decides; this module provides its inputs from the sessions and the runs of the entry, and
selects the upstream for the decision. All state beyond one round of placement is in the tasks.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, replace
from random import Random

from .duration import DurationModel
from .forecast import UpstreamForecast, median_slowness
from .ids import UpstreamId
from .jobstate import Task
from .locality import (
    FarPlace,
    Group,
    GroupRack,
    GroupSplit,
    NearPlace,
    PlaceDecision,
    PlacedTask,
    Reason,
    StartFar,
    StartNear,
    WaitNear,
    choose_group,
    decide_place,
    rack_labels,
    tail_ms,
    wait_cost,
)
from .matching import RESERVE_SHARE, Candidate, CandidatePool, TaskRequirements
from .placeround import PlaceRound

FindProbe = Callable[[TaskRequirements], Candidate | None]


class PlacedTasks:
    """Selects upstreams for the waiting tasks that name a place.

    ``runs`` holds the runs in progress, ``durations`` the corrections and place factors of the
    queues, and ``log`` writes a decision to the log. Without ``waits``, no task waits for its near
    rack while a far place is free.
    """

    def __init__(
        self,
        runs: Mapping[tuple[str, int], Task],
        durations: DurationModel,
        waits: bool,
        log: Callable[..., None],
    ) -> None:
        self.held: set[str] = set()
        """Names of the tasks that wait by decision, as of the last round of their service."""
        self._has_probes = False
        self._runs = runs
        self._durations = durations
        self._waits = waits
        self._log = log
        self._round = PlaceRound(CandidatePool([], Random(0)), float("-inf"), runs)

    def begin_round(self, pool: CandidatePool, has_probes: bool, now_ms: float) -> None:
        """Begin a round of placement with the candidates in ``pool``.

        ``has_probes`` tells whether upstreams outside the pool need a probe.
        """
        self._has_probes = has_probes
        self._round = PlaceRound(pool, now_ms, self._runs)

    def find_full(self, task: Task) -> set[UpstreamId]:
        """Return the upstreams with as many tasks of the step as its anti-affinity permits."""
        limit = task.job.spec.steps[task.step].max_per_upstream
        counts = self._round.count_runs(task)
        return {upstream for upstream, count in counts.items() if count >= limit}

    def on_start(self, task: Task, candidate: Candidate, now_ms: float) -> None:
        """Update the state of the round and of the task for its start on ``candidate``."""
        step = task.name.rpartition("/")[0]
        if step in self._round.step_runs:
            self._round.step_runs[step][candidate.view.upstream] += 1
        factor = self._factor(task) if task.near is False else 1.0
        expected_ms = self._expected_ms(task) * candidate.slowness * factor
        task.expected_end_ms = now_ms + expected_ms
        forecast = self._round.forecasts.get(candidate.view.peer)
        if forecast is not None:
            forecast.claim(task.resources.cpu_milli, now_ms, task.expected_end_ms - now_ms)

    def order(self, tasks: list[Task]) -> list[Task]:
        """Return ``tasks`` with those that want the same rack in the order of what a wait costs.

        They exchange their positions among each other only.
        """
        if not any(task.job.spec.steps[task.step].has_place() for task in tasks):
            return tasks
        racks: dict[str, list[int]] = {}
        for position, task in enumerate(tasks):
            has_place = task.job.spec.steps[task.step].has_place()
            # The order of tasks doesn't matter while none of them can start.
            if not has_place or not self._round.pool.may_fit(task.resources):
                continue
            rack = self._near_rack(task)
            if rack:
                racks.setdefault(rack, []).append(position)
        ordered = list(tasks)
        for positions in racks.values():
            if len(positions) > 1:
                by_cost = sorted(positions, key=lambda position: -self._wait_cost(tasks[position]))
                for position, source in zip(positions, by_cost, strict=True):
                    ordered[position] = tasks[source]
        return ordered

    def _near_rack(self, task: Task) -> str:
        """Return the near rack of a task, or an empty string."""
        step = task.job.spec.steps[task.step]
        group = self._choose_group(task)
        return group.rack if isinstance(group, GroupRack) else step.near_rack

    def _wait_cost(self, task: Task) -> float:
        candidates = self._round.pool.candidates
        slowness = candidates[len(candidates) // 2].slowness if candidates else 1.0
        return wait_cost(self._summarize(task), slowness, self._round.load, self._round.now_ms)

    def find(
        self, task: Task, requirements: TaskRequirements, probe: FindProbe
    ) -> Candidate | None:
        """Return the upstream on which a task with a place starts now, or None if it waits.

        ``requirements`` are those of a task without a place. ``probe`` claims an upstream that
        needs a probe. Sets ``task.near`` for the start.
        """
        pool, now_ms = self._round.pool, self._round.now_ms
        task.near = None
        if not pool.may_fit(requirements.step.resources) and not self._has_probes:
            return None
        group = self._choose_group(task)
        rack = group.rack if isinstance(group, GroupRack) else requirements.step.near_rack
        if not rack and group is None:
            # No upstream has the label of a rack, so the group can't be placed by racks.
            return probe(requirements) or pool.find(requirements)
        if requirements.max_duration_ms < float("inf"):
            # A task may be late on both places; the decision weighs the due time.
            expiry_ms = task.job.timing.expiry_ms - self._tail_ms(task)
            due_in_ms = requirements.max_duration_ms - self._tail_ms(task)
            bounded = replace(requirements, max_duration_ms=expiry_ms - now_ms)
        else:
            due_in_ms, bounded = float("inf"), requirements
        if isinstance(group, GroupSplit):
            return self._find_split(task, bounded, due_in_ms, group, probe)
        near_requirements = replace(bounded, rack=rack)
        probed = probe(near_requirements)
        near = probed or pool.find(near_requirements)
        far = None
        factor = self._factor(task)
        fastest = pool.candidates[0].slowness if pool.candidates else 1.0
        if near is None or (probed is None and near.slowness > factor * fastest):
            far = self._find_far(task, bounded, due_in_ms, rack, factor)
        far_probe = None
        if near is None and far is None:
            far_probe = probe(replace(bounded, away_from=rack, duration_factor=factor))
            far = far_probe
        placed = self._summarize(task)
        forecasts = self._round.forecast_all(pool.on_rack(rack), requirements)
        place = self._describe_near(placed, requirements, near, forecasts)
        place = replace(place, contended=rack in self._round.contended)
        far_place = FarPlace(far.slowness, self._round.load) if far is not None else None
        decision = decide_place(placed, place, far_place, now_ms, self._waits)
        if far_probe is not None:
            # The upstream is claimed for this task, and a probe without a run would be lost.
            decision = StartFar(Reason.PROBE, decision.inputs)
        self._record(task, rack, decision, placed, forecasts)
        match decision:
            case StartNear():
                task.near = True
                return near
            case StartFar():
                task.near = False
                return far
        if self._wait_cost(task) > 0:
            self._round.contended.add(rack)
        return None

    def _find_far(
        self,
        task: Task,
        bounded: TaskRequirements,
        due_in_ms: float,
        rack: str,
        factor: float,
    ) -> Candidate | None:
        """Return an upstream of another rack.

        A task that would be late there needs an upstream with a reserve, like other late work,
        unless its job has started.
        """
        pool = self._round.pool
        far = replace(bounded, away_from=rack, duration_factor=factor)
        in_time = replace(far, max_duration_ms=min(due_in_ms, far.max_duration_ms))
        late = replace(far, require_reserve=far.require_reserve or not task.job.started)
        found = None
        if pool.has_reserve() or not in_time.require_reserve:
            found = pool.find(in_time)
        if found is None and due_in_ms < float("inf"):
            found = pool.find(late) if pool.has_reserve() or not late.require_reserve else None
        return found

    def _find_split(
        self,
        task: Task,
        bounded: TaskRequirements,
        due_in_ms: float,
        split: GroupSplit,
        probe: FindProbe,
    ) -> Candidate | None:
        """Return an upstream on the first of the racks of the split that has room."""
        step_tasks = task.job.tasks[task.step]
        used = [
            rack
            for other in step_tasks
            if other.view is not None
            for rack in rack_labels(other.view.report.labels)
        ]
        factor = self._factor(task)
        requirements = replace(bounded, duration_factor=factor)
        if not task.job.started and due_in_ms < float("inf"):
            late = self._round.pool.find(replace(requirements, max_duration_ms=due_in_ms)) is None
            requirements = replace(
                requirements, require_reserve=requirements.require_reserve or late
            )
        found = None
        for rack in dict.fromkeys([*used, *split.racks]):
            found = self._round.pool.find(replace(requirements, rack=rack))
            if found is not None:
                break
        found = found or probe(requirements) or self._round.pool.find(requirements)
        if found is not None:
            task.near = False
            self._log(
                "place decided",
                job=task.job.spec.job,
                task=task.name,
                decision="StartFar",
                reason=Reason.SPLIT.value,
                racks=list(split.racks[:4]),
                used=sorted(set(used)),
                load=round(self._round.load, 2),
                factor=factor,
            )
        return found

    def _describe_near(
        self,
        placed: PlacedTask,
        requirements: TaskRequirements,
        near: Candidate | None,
        forecasts: Sequence[UpstreamForecast],
    ) -> NearPlace:
        """Return the near rack as input of the decision."""
        now_ms = self._round.now_ms
        if near is not None:
            return NearPlace(True, now_ms, near.slowness)
        if not forecasts:
            return NearPlace(False, float("inf"), usable=False)
        start_ms = min(each.start_ms(self._cpu(requirements, each), now_ms) for each in forecasts)
        if start_ms <= now_ms:
            # CPU is free, but the task can't start for a cause that isn't forecast.
            start_ms = float("inf")
        return NearPlace(False, start_ms, median_slowness(forecasts))

    @staticmethod
    def _cpu(requirements: TaskRequirements, forecast: UpstreamForecast) -> int:
        """Return the CPU that must be free on an upstream for the task to start."""
        reserve = RESERVE_SHARE * forecast.capacity if requirements.require_reserve else 0
        return max(requirements.step.resources.cpu_milli, round(reserve))

    def _record(
        self,
        task: Task,
        rack: str,
        decision: PlaceDecision,
        placed: PlacedTask,
        forecasts: Sequence[UpstreamForecast],
    ) -> None:
        """Log a new decision, and reserve the expected capacity for a task that waits."""
        now_ms = self._round.now_ms
        if isinstance(decision, WaitNear):
            if decision.reason is not Reason.NO_FAR_PLACE:
                self.held.add(task.name)
                if task.near_wait_since_ms is None:
                    task.near_wait_since_ms = now_ms
                chosen = min(forecasts, key=lambda each: each.start_ms(placed.cpu_milli, now_ms))
                start_ms = chosen.start_ms(placed.cpu_milli, now_ms)
                if start_ms < float("inf"):
                    duration_ms = placed.estimate_ms * chosen.slowness
                    chosen.claim(placed.cpu_milli, start_ms, duration_ms)
            if task.near_wait_reason == decision.reason.value:
                return
            task.near_wait_reason = decision.reason.value
        inputs = {name: round(value, 2) for name, value in asdict(decision.inputs).items()}
        self._log(
            "place decided",
            job=task.job.spec.job,
            task=task.name,
            rack=rack,
            decision=type(decision).__name__,
            reason=decision.reason.value,
            factor=placed.factor,
            waited_ms=round(now_ms - placed.wait_began_ms),
            **inputs,
        )

    def _choose_group(self, task: Task) -> GroupRack | GroupSplit | None:
        """Return the rack or the split of a step with ``sameRack``, None for any other step.

        The choice is made anew in each round until a task of the step has started, and again when
        none is running or done any more.
        """
        step = task.job.spec.steps[task.step]
        if not step.same_rack or step.count < 2:
            return None
        key = task.name.rpartition("/")[0]
        tasks = task.job.tasks[task.step]
        active = [other for other in tasks if other.view is not None or other.done]
        if active:
            rack = task.job.step_racks.get(task.step, "")
            if rack and all(other.near for other in active):
                return GroupRack(rack, self._round.now_ms)
            return GroupSplit(self._racks_by_room())
        if key not in self._round.groups:
            self._round.groups[key] = self._choose_rack(task)
        choice = self._round.groups[key]
        task.job.step_racks[task.step] = choice.rack if isinstance(choice, GroupRack) else ""
        return choice

    def _racks_by_room(self) -> tuple[str, ...]:
        """Return the racks, those with the most free CPU first."""
        room: Counter[str] = Counter()
        for candidate in self._round.pool.candidates:
            for rack in rack_labels(candidate.view.report.labels):
                room[rack] += max(0, candidate.available.cpu_milli)
        return tuple(rack for rack, _ in room.most_common())

    def _choose_rack(self, task: Task) -> GroupRack | GroupSplit | None:
        step = task.job.spec.steps[task.step]
        candidates: dict[str, list[Candidate]] = {}
        for candidate in self._round.pool.candidates:
            for rack in rack_labels(candidate.view.report.labels):
                if not step.near_rack or rack == step.near_rack:
                    candidates.setdefault(rack, []).append(candidate)
        if not candidates:
            return GroupRack(step.near_rack, self._round.now_ms) if step.near_rack else None
        requirements = TaskRequirements(step)
        racks = {
            rack: self._round.forecast_all(each, requirements) for rack, each in candidates.items()
        }
        group = Group(
            self._summarize(task),
            step.count,
            self._round.load,
            step.max_per_upstream,
            self._round.count_runs(task) if step.max_per_upstream else {},
        )
        return choose_group(racks, group, self._round.now_ms, self._waits)

    def _factor(self, task: Task) -> float:
        return self._durations.place_factor(task.job.queue.name)

    def _expected_ms(self, task: Task) -> float:
        """Return the expected duration of ``task`` on its near rack, at a slowness of 1.0."""
        estimate_ms = task.job.spec.steps[task.step].estimate_ms
        return estimate_ms * self._durations.correction(task.job.queue.name)

    def _tail_ms(self, task: Task) -> float:
        correction = self._durations.correction(task.job.queue.name)
        return tail_ms(task.job.spec.steps, task.step) * correction

    def _summarize(self, task: Task) -> PlacedTask:
        """Return the input of the decision for ``task``."""
        step, timing, tail = task.job.spec.steps[task.step], task.job.timing, self._tail_ms(task)
        since_ms = task.near_wait_since_ms
        return PlacedTask(
            self._expected_ms(task),
            step.resources.cpu_milli,
            self._factor(task),
            timing.due_ms - tail,
            timing.expiry_ms - tail,
            self._round.now_ms if since_ms is None else since_ms,
            step.count if step.same_rack else 1,
        )
