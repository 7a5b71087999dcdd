"""The agent's core: runs of tasks on the upstream beside it, without any I/O.

Entries order runs within a session each. The executor has the last word on a start: it rejects
what doesn't fit, what an upstream that leaves or a zone out of service may not take, and orders of
sessions that ended. It stops the runs of an entry that falls silent, and extends the upstream's
lease only for runs whose entry is alive.

An order to the upstream that gets no answer may be carried out seconds later. Every order carries
the executor's fencing token, and the upstream ignores orders with a lower one than it has seen.
After an unanswered start, the executor raises the token and looks at the upstream's list of runs:
from then on the start has either happened or never will.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .entrysession import STOP_RETRY_MS, EntrySessions, SendFrame
from .job import Room, RunEnd
from .lease import LeaseClock
from .order import (
    BUSY_TASK,
    NO_REPORT,
    NO_ROOM,
    EntryFrame,
    Notice,
    RunEnded,
    RunSlow,
    StartRun,
    StopRun,
    UpstreamReport,
)
from .run import MIN_PERCENT, SLOW_REPORT_MS, Run, RunState
from .speed import Speedometer
from .upstreamcall import (
    CallHold,
    CallStart,
    CallStop,
    EndRow,
    RunRow,
    Runs,
    StartResult,
    Upstream,
    is_same_life,
)

START_TIMEOUT_MS = 120.0
"""Wait for the answer to an order, which the upstream gives within a few milliseconds. Too short a
wait costs one look at the list of runs, which then tells that the start has happened."""
LOOK_RETRY_MS = 150.0
"""Wait before the list of runs is asked for again after no answer."""
HOLD_WAIT_MS = 100
"""Longest wait of a call for the next end; a tenth of the longest lease (``maxHoldMs``). While a
call remains without an answer, ends are not known, so it bounds how late they can be."""
HOLD_MARGIN_MS = 60.0
"""Wait for the answer beyond ``HOLD_WAIT_MS``; the upstream is on the same VM."""
IDLE_LOOK_MS = 1_000.0
"""Pause between looks at an idle upstream, which keep the estimate of its clock within 20 ms."""
STALL_MS = 500.0
STALL_SHARE = 0.35
"""A run is stopped after no progress for ``STALL_MS`` and this share of its expected duration. On a
sound upstream, 1% of progress shows within a hundredth of the duration."""
UNHEALTHY_MS = 1_000.0
"""How long an upstream that refused or did not answer a start is reported as unhealthy."""
FENCE_JUMP = 600_000
"""Added to a token that the upstream refused, in steps that double: ten minutes in milliseconds,
more than the time of day jumps between two lives of an agent."""


@dataclass(frozen=True, slots=True)
class NoteRun:
    """A decision to log: ``text`` with its ``fields``."""

    text: str
    fields: Mapping[str, object]


ExecutorEffect = CallStart | CallStop | CallHold | SendFrame | NoteRun


@dataclass(slots=True)
class ExecutorCounters:
    """Counts since the start, for the metrics."""

    started: int = 0
    rejected: int = 0
    unclear: int = 0
    stalled: int = 0
    silent_owners: int = 0
    ends: dict[str, int] = field(default_factory=dict)


class Executor:
    """All runs of one agent. Methods append to ``effects``, which the caller takes and performs."""

    def __init__(self, agent: str, incarnation: str, fence: int, max_hold_ms: float) -> None:
        self.effects: list[ExecutorEffect] = []
        self.counters = ExecutorCounters()
        self.entries = EntrySessions(
            agent, incarnation, self._describe, self.effects.append, self._on_session_end
        )
        self._fence = fence
        self._fence_jump = FENCE_JUMP
        self._max_hold_ms = max_hold_ms
        self._upstream: Upstream | None = None
        self._confirmed = False
        self._lease = LeaseClock()
        self._speed = Speedometer()
        self._acked = 0
        self._ack_due = False
        self._runs: dict[tuple[str, int], Run] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._zones_revision = -1
        self._draining = False
        self._unhealthy_until_ms = float("-inf")
        self._look_sent_ms = float("-inf")
        self._answered_ms = float("-inf")

    @property
    def upstream(self) -> Upstream | None:
        """The upstream in use, if any."""
        return self._upstream

    @property
    def running(self) -> int:
        """Number of runs that occupy room."""
        return len(self._runs)

    # The upstream.

    def on_upstream(self, upstream: Upstream, now_ms: float) -> None:
        """Take in what the upstream says of itself."""
        known = self._upstream
        if known is None or (known.upstream, known.born_ms, known.address) != (
            upstream.upstream,
            upstream.born_ms,
            upstream.address,
        ):
            self._begin_life(upstream, now_ms)
        elif known != upstream:
            if upstream.draining and not known.draining:
                self._note("the upstream is draining", upstream=upstream.upstream)
            self._upstream = upstream
        self.entries.report(now_ms)

    def on_upstream_gone(self, reason: str, now_ms: float) -> None:
        """Take in that the upstream has left, and what ran on it has ended."""
        if self._upstream is None:
            return
        self._note("the upstream is gone", upstream=self._upstream.upstream, reason=reason)
        self._upstream = None
        self._drop_runs(reason, now_ms)
        self.entries.report(now_ms)

    def _begin_life(self, upstream: Upstream, now_ms: float) -> None:
        self._note(
            "a new life of the upstream",
            upstream=upstream.upstream,
            born_ms=upstream.born_ms,
            draining=upstream.draining,
        )
        if self._upstream is not None and self._upstream.upstream == upstream.upstream:
            # A start may have reached the new life before this agent knew of it.
            for run in self._runs.values():
                run.state = RunState.UNCLEAR
                run.missing = RunEnd.LOST
        else:
            self._drop_runs("a new life of the upstream", now_ms)
        self._upstream = upstream
        # Voids orders to an earlier life that may still be carried out in this one.
        self._fence += 1
        self._confirmed = False
        self._lease.reset()
        self._speed.clear()
        self._acked = 0
        self._ack_due = False
        self._unhealthy_until_ms = float("-inf")
        self._look(now_ms)

    def _drop_runs(self, reason: str, now_ms: float) -> None:
        for key in list(self._runs):
            self._finish(key, RunEnd.LOST, reason, now_ms)

    def _look(self, now_ms: float) -> None:
        """Ask for the lists of runs at once, beside a call that may be waiting for an end."""
        assert self._upstream is not None
        self._look_sent_ms = now_ms
        self.effects.append(
            CallHold(self._upstream, None, self._fence, self._acked, 0, now_ms),
        )

    def next_hold(self, now_ms: float) -> CallHold | None:
        """Return the next call that extends the lease and waits for an end, or None if idle."""
        if self._upstream is None or not self._confirmed or not self._lease.known:
            return None
        alive = bool(self._runs)
        if not alive and not self._ack_due and now_ms - self._answered_ms < IDLE_LOOK_MS:
            return None
        deadline_ms = self._lease.deadline_ms(self._max_hold_ms, now_ms) if alive else None
        wait_ms = HOLD_WAIT_MS if alive else 0
        return CallHold(self._upstream, deadline_ms, self._fence, self._acked, wait_ms, now_ms)

    def on_hold(self, call: CallHold, runs: Runs | None, now_ms: float) -> None:
        """Take in the answer to ``call``; None if there was none."""
        if runs is None or self._upstream is None or not is_same_life(call, self._upstream):
            return
        if runs.born_ms is not None and runs.born_ms != self._upstream.born_ms:
            self._on_rebirth(runs.born_ms, now_ms)
            return
        first = not self._lease.known
        self._lease.observe(runs.clock_ms, now_ms)
        if first:
            # What the upstream already runs may hold a lease of full length.
            self._lease.deadline_ms(self._max_hold_ms, now_ms)
        self._answered_ms = now_ms
        if call.acked >= self._acked:
            self._ack_due = False
        for end in runs.ended:
            self._on_end(end, now_ms)
        listed = {(row.task, row.attempt): row for row in runs.running}
        unknown = [row for key, row in listed.items() if key not in self._runs]
        for row in unknown:
            self._stop_unknown(row)
        for key, run in list(self._runs.items()):
            self._settle(key, run, listed.get(key), call, now_ms)
        if not self._confirmed and call.fence == self._fence and not unknown:
            self._confirmed = True
            self.entries.report(now_ms)

    def on_hold_fenced(self, call: CallHold, now_ms: float) -> None:
        """Take in that the upstream has seen a higher token than ``call`` carried."""
        if call.fence == self._fence and self._upstream is not None:
            self._raise_fence()
            self._look(now_ms)

    def _raise_fence(self) -> None:
        self._fence += self._fence_jump
        self._fence_jump *= 2
        self._note("the upstream has seen a higher fencing token", fence=self._fence)

    def _on_rebirth(self, born_ms: int, now_ms: float) -> None:
        assert self._upstream is not None
        known = self._upstream
        self._begin_life(
            Upstream(
                known.upstream,
                born_ms,
                known.service,
                known.zone,
                known.address,
                known.capacity,
                known.labels,
                known.draining,
            ),
            now_ms,
        )

    def _on_end(self, end: EndRow, now_ms: float) -> None:
        if end.number <= self._acked:
            return
        self._acked = end.number
        self._ack_due = True
        key = (end.task, end.attempt)
        if key in self._runs:
            run = self._runs[key]
            how = end.end
            if how is RunEnd.STOPPED and run.stop_reason == RunEnd.STALLED.value:
                how = RunEnd.STALLED
            self._finish(key, how, run.stop_reason, now_ms)

    def _stop_unknown(self, row: RunRow) -> None:
        """Stop a run of an earlier life of this agent, or one that was given up."""
        assert self._upstream is not None
        self._note("stopping a run without an owner", task=row.task, attempt=row.attempt)
        self.effects.append(CallStop(self._upstream, row.task, row.attempt, self._fence))

    def _settle(
        self,
        key: tuple[str, int],
        run: Run,
        row: RunRow | None,
        call: CallHold,
        now_ms: float,
    ) -> None:
        """Compare a run with the upstream's list."""
        if row is not None:
            if run.state is not RunState.RUNNING:
                run.state = RunState.RUNNING
                run.progress_ms = now_ms
            if row.percent > run.percent:
                run.percent = row.percent
                run.progress_ms = now_ms
            self._judge_speed(key, run, now_ms)
            return
        if run.state is RunState.UNCLEAR and call.fence > run.fence:
            self._finish(key, run.missing, "the upstream doesn't list the run", now_ms)
        elif run.state is RunState.RUNNING and call.sent_ms > run.progress_ms:
            self._finish(key, RunEnd.LOST, "the upstream doesn't list the run", now_ms)

    def _judge_speed(self, key: tuple[str, int], run: Run, now_ms: float) -> None:
        """Report a run that will take far longer than expected."""
        if run.is_slow(now_ms) and now_ms - run.slow_ms >= SLOW_REPORT_MS:
            run.slow_ms = now_ms
            elapsed_ms = now_ms - run.ordered_ms
            slow = RunSlow(key[0], key[1], elapsed_ms, run.foresee_ms(now_ms) - elapsed_ms)
            self.entries.send(run.peer, run.session, slow, now_ms)

    # Orders.

    def drain(self, now_ms: float) -> None:
        """Take no more work; runs go on to their end."""
        self._draining = True
        self.entries.report(now_ms)

    def on_frame(self, peer: str, frame: EntryFrame, now_ms: float) -> None:
        """Take in a frame from the entry ``peer``."""
        for body in self.entries.receive(peer, frame, now_ms):
            match body:
                case StartRun():
                    self._on_start(peer, frame.session, body, now_ms)
                case StopRun():
                    self._on_stop(peer, body, now_ms)
                case Notice():
                    self.set_zones_out(body.revision, frozenset(body.zones_out), now_ms)

    def _on_session_end(self, peer: str, session: str, reason: str, now_ms: float) -> None:
        """Stop the runs of a session that has ended."""
        owned = [key for key, run in self._runs.items() if run.session == session]
        for key in owned:
            self._stop(key, reason, now_ms)
        self._note("session ended", peer=peer, session=session, reason=reason, stopped=len(owned))

    def set_zones_out(self, revision: int, zones: frozenset[str], now_ms: float) -> None:
        """Take in the zones out of service as of ``revision``; older news is ignored."""
        if revision <= self._zones_revision:
            return
        self._zones_revision = revision
        if zones != self._zones_out:
            self._note("zones out of service", zones=sorted(zones), revision=revision)
            self._zones_out = zones
            self.entries.report(now_ms)

    def _find_obstacle(self, order: StartRun, now_ms: float) -> str:
        upstream = self._upstream
        if upstream is None or not self._confirmed:
            return "no upstream"
        if upstream.draining or self._draining:
            return "draining"
        if upstream.zone in self._zones_out:
            return "the zone is out of service"
        if now_ms < self._unhealthy_until_ms:
            return "the upstream is unhealthy"
        if any(task == order.task for task, _ in self._runs):
            return BUSY_TASK
        if not order.resources.fits(self._free()):
            return NO_ROOM
        return ""

    def _on_start(self, peer: str, session: str, order: StartRun, now_ms: float) -> None:
        obstacle = self._find_obstacle(order, now_ms)
        if obstacle:
            for key in [key for key in self._runs if key[0] == order.task]:
                self._stop(key, "superseded", now_ms)
            self._reject(peer, session, order, obstacle, now_ms)
            return
        self.entries.take_offer(peer, order.resources)
        key = (order.task, order.attempt)
        self._runs[key] = Run(
            peer,
            session,
            order,
            order.resources,
            RunState.STARTING,
            now_ms,
            self._fence,
            now_ms,
        )
        self._call_start(self._runs[key], now_ms)
        self.entries.report(now_ms)

    def _call_start(self, run: Run, now_ms: float) -> None:
        assert self._upstream is not None
        run.fence = self._fence
        run.ordered_ms = now_ms
        deadline_ms = self._lease.deadline_ms(self._max_hold_ms, now_ms)
        order = run.order
        self.effects.append(
            CallStart(
                self._upstream,
                order.task,
                order.attempt,
                order.specification,
                deadline_ms,
                self._fence,
            )
        )

    def _reject(self, peer: str, session: str, order: StartRun, reason: str, now_ms: float) -> None:
        self.counters.rejected += 1
        self._note(
            "start rejected", task=order.task, attempt=order.attempt, peer=peer, reason=reason
        )
        free = self.entries.free_for(peer, self._free(), now_ms)
        ended = RunEnded(order.task, order.attempt, RunEnd.REJECTED.value, 0.0, reason, free)
        self.entries.send(peer, session, ended, now_ms)

    def on_start_answer(
        self, call: CallStart, result: StartResult, clock_ms: float | None, now_ms: float
    ) -> None:
        """Take in the upstream's answer to the order to start a run, and its clock if known."""
        if clock_ms is not None and call.upstream == self._upstream:
            self._lease.observe(clock_ms, now_ms)
        key = (call.task, call.attempt)
        run = self._runs.get(key)
        if run is None or run.state is not RunState.STARTING:
            return
        match result:
            case StartResult.STARTED:
                self.counters.started += 1
                run.state = RunState.RUNNING
                run.progress_ms = now_ms
                if run.stop_reason:
                    self._call_stop(run, now_ms)
            case StartResult.UNANSWERED:
                self._on_unclear_start(run, now_ms)
            case StartResult.FENCED | StartResult.LATE if self._may_retry(run, now_ms):
                if result is StartResult.FENCED and call.fence == self._fence:
                    self._raise_fence()
                run.retried = True
                self._call_start(run, now_ms)
            case StartResult.UNHEALTHY | StartResult.OTHER_INSTANCE | StartResult.NOT_SENT:
                self._unhealthy_until_ms = now_ms + UNHEALTHY_MS
                self._finish(key, RunEnd.REJECTED, result.value, now_ms)
                self.entries.report(now_ms)
            case _:
                self._finish(key, RunEnd.REJECTED, result.value, now_ms)

    def _may_retry(self, run: Run, now_ms: float) -> bool:
        """Return whether a refused start may be sent again.

        If this process stood still before it sent the start, the entry has given the run up.
        """
        fresh = now_ms - run.ordered_ms < START_TIMEOUT_MS
        return fresh and not run.retried and not run.stop_reason

    def _on_unclear_start(self, run: Run, now_ms: float) -> None:
        self.counters.unclear += 1
        run.state = RunState.UNCLEAR
        if run.fence >= self._fence:
            self._fence += 1
        self._note("a start got no answer", task=run.order.task, attempt=run.order.attempt)
        self._look(now_ms)

    def _on_stop(self, peer: str, order: StopRun, now_ms: float) -> None:
        key = (order.task, order.attempt)
        run = self._runs.get(key)
        if run is not None and run.peer == peer:
            self._stop(key, "stopped by its entry", now_ms)

    def _stop(self, key: tuple[str, int], reason: str, now_ms: float) -> None:
        run = self._runs[key]
        if run.stop_reason:
            return
        run.stop_reason = reason
        self._note("stopping a run", task=key[0], attempt=key[1], reason=reason)
        if run.state is RunState.RUNNING:
            self._call_stop(run, now_ms)

    def _call_stop(self, run: Run, now_ms: float) -> None:
        assert self._upstream is not None
        run.stop_sent_ms = now_ms
        self.effects.append(
            CallStop(self._upstream, run.order.task, run.order.attempt, self._fence)
        )

    def _finish(self, key: tuple[str, int], how: RunEnd, reason: str, now_ms: float) -> None:
        run = self._runs.pop(key)
        self.counters.ends[how.value] = self.counters.ends.get(how.value, 0) + 1
        elapsed_ms = 0.0 if how is RunEnd.REJECTED else now_ms - run.ordered_ms
        if how is RunEnd.DONE:
            self._speed.add_end(elapsed_ms / max(1.0, run.order.estimate_ms), now_ms)
        if how is not RunEnd.DONE:
            self._note(
                "run ended",
                task=key[0],
                attempt=key[1],
                how=how.value,
                reason=reason,
                elapsed_ms=round(elapsed_ms),
            )
        self.entries.offer(now_ms)
        free = self.entries.free_for(run.peer, self._free(), now_ms)
        ended = RunEnded(key[0], key[1], how.value, elapsed_ms, reason, free)
        self.entries.send(run.peer, run.session, ended, now_ms)
        self.entries.report(now_ms)

    # Time.

    def tick(self, now_ms: float) -> None:
        """Do what time demands: silent entries, unanswered orders, leases, repetitions."""
        self._watch_upstream(now_ms)
        for key, run in list(self._runs.items()):
            self._watch_run(key, run, now_ms)
        owners = {(run.peer, run.session) for run in self._runs.values()}
        self.counters.silent_owners += self.entries.tick(owners, now_ms)
        self.entries.offer(now_ms)
        self.entries.report(now_ms)

    def _watch_upstream(self, now_ms: float) -> None:
        if self._upstream is None:
            return
        unclear = not self._confirmed or any(
            run.state is RunState.UNCLEAR for run in self._runs.values()
        )
        if unclear and now_ms - self._look_sent_ms >= LOOK_RETRY_MS:
            self._look(now_ms)
        if self._runs and now_ms > self._lease.expired_by_ms():
            self._unhealthy_until_ms = now_ms + UNHEALTHY_MS
            self._drop_runs("the upstream doesn't answer and its lease has expired", now_ms)

    def _watch_run(self, key: tuple[str, int], run: Run, now_ms: float) -> None:
        if run.state is not RunState.RUNNING:
            return
        if run.stop_reason:
            if now_ms - run.stop_sent_ms >= STOP_RETRY_MS:
                self._call_stop(run, now_ms)
            return
        patience_ms = max(STALL_MS, STALL_SHARE * run.order.estimate_ms)
        # Without lists from the upstream, nothing is known of the run's progress.
        if self._answered_ms - run.progress_ms >= patience_ms:
            self.counters.stalled += 1
            self._stop(key, RunEnd.STALLED.value, now_ms)

    # Reports.

    def _free(self) -> Room:
        if self._upstream is None:
            return Room()
        free = self._upstream.capacity
        for run in self._runs.values():
            free = free.minus(run.resources)
        return free

    def _describe(self, now_ms: float) -> UpstreamReport:
        upstream = self._upstream
        if upstream is None or not self._confirmed:
            return NO_REPORT
        return UpstreamReport(
            upstream.upstream,
            upstream.service,
            upstream.zone,
            upstream.capacity,
            self._free(),
            list(upstream.labels),
            upstream.draining or self._draining or upstream.zone in self._zones_out,
            now_ms >= self._unhealthy_until_ms,
            self.entries.open_count,
            self._slowness(now_ms),
        )

    def _slowness(self, now_ms: float) -> float:
        foreseen = [
            run.foresee_ms(now_ms) / max(1.0, run.order.estimate_ms)
            for run in self._runs.values()
            if run.percent >= MIN_PERCENT
        ]
        return self._speed.slowness(foreseen, now_ms)

    def _note(self, text: str, **fields: object) -> None:
        self.effects.append(NoteRun(text, fields))
