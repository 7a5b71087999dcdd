"""Core of the agent, without any I/O: executes runs of tasks on the upstream on the same VM.

Each entry orders runs within a session of its own. The executor makes the final decision on a
start: it rejects a task that doesn't fit or of which another attempt is still running, and all
tasks while the agent is draining or the upstream is missing, draining, unhealthy or in an
availability zone that is out of service. Orders of ended sessions are ignored. It stops the runs of
an entry whose session timed out, and renews the lease at the upstream only while there are runs.

The upstream may execute an order of the executor seconds later, even if it didn't answer it. Every
order to the upstream therefore carries the executor's fencing token, and the upstream ignores
orders with a lower token than the highest it has seen. After an unanswered start, the executor
raises the token and fetches the upstream's list of runs: once it has the list, the start has either
been executed or never will be.

A heartbeat of another incarnation doesn't show that the registered one is gone: it may have been
delayed, or sent by another writer. The executor therefore asks the address of the upstream for the
lists of that incarnation first, which any other one refuses.

A deregistration shows that the upstream is about to end, not that its runs have ended: it goes on
until it has the answer, and for seconds if the answer is lost. The executor stops the runs; the
lists of the upstream or the expiry of the lease show their ends.

If the address of the upstream refuses a connection, no process listens there. The runs whose start
was sent before that call have ended with the process, and the executor polls for the next
incarnation.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from .departure import projected_rest_ms, time_left_ms
from .entrysession import STOP_MARGIN_MS, EntrySessions, SendFrame
from .forecast import find_soonest_ends
from .ids import UpstreamId
from .job import ResourceVector, RunEnd
from .lease import LeaseClock
from .run import MIN_PROJECTED_PERCENT, Run, RunState
from .runmessage import (
    BUSY_TASK,
    NO_CAPACITY,
    NO_UPSTREAM,
    STEP_LIMIT,
    SUSPECT_RUNNING,
    EntryFrame,
    RunEnded,
    RunSlow,
    StartRun,
    StopRun,
    UpstreamCrash,
    UpstreamReport,
    ZoneNotice,
)
from .runspeed import RunSpeed, is_stalled, notice_if_slow
from .upstreamcall import (
    CallHold,
    CallStart,
    CallStop,
    EndRow,
    RunLists,
    RunRow,
    StartResult,
    Upstream,
    is_same_incarnation,
    is_same_upstream,
)

ORDER_TIMEOUT_MS = 120.0
"""Timeout of a start order to the upstream, which answers within a few milliseconds. If a start
that was executed times out, one more request for the lists of runs shows that it was."""
STOP_TIMEOUT_MS = 40.0
"""Timeout of a stop order, which is repeated if it gets no answer: each waiting order keeps one of
the connections to the upstream."""
POLL_RETRY_MS = 150.0
"""Wait before an unanswered request for the list of runs is repeated."""
HOLD_WAIT_MS = 100
"""Long-poll time of a ``hold`` call: the upstream waits at most this long for the next ended run
before it answers. A tenth of the longest lease (``maxHoldMs``), which the call renews. If an answer
is lost, the agent receives ended runs with the next call, so this also bounds their delay."""
HOLD_TIMEOUT_MARGIN_MS = 60.0
"""Timeout of a ``hold`` call beyond its long-poll time; short because the upstream is on the same
VM."""
IDLE_POLL_MS = 1_000.0
"""Interval between requests for the lists of an idle upstream, which keep the estimate of its clock
within 20 ms."""
UPSTREAM_SILENCE_MS = 400.0
"""Time without an answer after which the lease is no longer renewed and no task is started: two or
three calls in a row were lost then. A call without an answer may still have renewed the lease, so
the runs of an upstream that is gone could never be given up if the renewal went on."""
TICK_GAP_MS = 300.0
"""Gap between two ticks from which the process counts as stalled: several times their longest
interval."""
UNHEALTHY_MS = 1_000.0
"""Time for which an upstream is reported as unhealthy after it refused a start as unhealthy or as
addressed to another instance, a start could not be sent, or the lease expired without an answer."""
PLACED_REPORT_MS = 10_000.0
"""Time after a start with a place for which reports carry the expected ends of runs."""
FENCING_TOKEN_STEP = 600_000
"""Added to a fencing token that the upstream refused, doubled each time. Tokens start at the time
of day in milliseconds; the step is ten minutes, which is more than the time of day jumps between
two incarnations of an agent."""


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Effect: write a log line with the message ``text`` and ``fields``."""

    text: str
    fields: Mapping[str, object]


ExecutorEffect = CallStart | CallStop | CallHold | SendFrame | LogRecord


@dataclass(slots=True)
class ExecutorCounters:
    """Event counts since the start of the process, for the metrics."""

    started: int = 0
    rejected: int = 0
    indeterminate: int = 0
    stalled: int = 0
    slow_stops: int = 0
    """Runs that ended more than `STOP_MARGIN_MS` after they were to be stopped."""
    timed_out_sessions: int = 0
    crashes: int = 0
    """Crashes of the upstream."""
    ends: dict[str, int] = field(default_factory=dict)


class Executor:
    """State machine for the runs of one agent.

    Methods append to ``effects``, which the daemon removes and performs. ``fence`` is the first
    fencing token, ``max_lease_ms`` the longest lease that the upstream grants.
    """

    def __init__(self, agent: str, incarnation: str, fence: int, max_lease_ms: float) -> None:
        self.effects: list[ExecutorEffect] = []
        self.counters = ExecutorCounters()
        self.entries = EntrySessions(
            agent, incarnation, self._describe, self.effects.append, self._on_session_end
        )
        self._fence = fence
        self._fence_step = FENCING_TOKEN_STEP
        self._max_lease_ms = max_lease_ms
        self._upstream: Upstream | None = None
        self._successor: Upstream | None = None
        """Incarnation that sent a heartbeat and replaces ``_upstream`` once it answers a call."""
        self._successor_poll_sent_ms = float("-inf")
        self._departure_reason = ""
        """Reason of the deregistration of ``_upstream``, which is removed when all of its runs have
        ended; empty if it hasn't deregistered."""
        self._reconciled = False
        self._lease = LeaseClock()
        self._speed = RunSpeed()
        self._placed_ms = float("-inf")
        """Time of the last start with a place."""
        self._acked = 0
        self._ack_due = False
        self._runs: dict[tuple[str, int], Run] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._zones_revision = -1
        self._draining = False
        self._unhealthy_until_ms = float("-inf")
        self._poll_sent_ms = float("-inf")
        self._answered_ms = float("-inf")
        self._unanswered_since_ms = float("inf")
        """Time at which the first call since the last answer of the upstream was sent."""
        self._silence_noted = False
        self._last_tick_ms = float("inf")
        self._resumed_ms = float("-inf")
        """Time at which the last stall of the process was noticed."""
        self._expired: list[StartRun] = []
        """Orders of the runs that were ended by the expiry of the lease of the present incarnation,
        of which it isn't known yet whether it has crashed."""
        self._down_since_ms: float | None = None
        """Time at which the address of the upstream was found to refuse connections, or None."""

    @property
    def upstream(self) -> Upstream | None:
        """Registered upstream, or None."""
        return self._upstream

    @property
    def zones_out(self) -> frozenset[str]:
        """Availability zones out of service, as far as the agent knows."""
        return self._zones_out

    @property
    def running(self) -> int:
        """Number of runs that occupy resources of the upstream, indeterminate starts included."""
        return len(self._runs)

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream has deregistered and not all of its runs have ended."""
        return bool(self._departure_reason)

    @property
    def awaits_stop(self) -> bool:
        """Whether a stop order has no answer yet, so that it may have to be repeated soon."""
        return any(run.stop_reason and not run.stop_answered for run in self._runs.values())

    # Upstream registration and lists of runs.

    def on_heartbeat(self, upstream: Upstream, now_ms: float) -> None:
        """Update the registration of the upstream from its heartbeat.

        The heartbeat of another incarnation than the registered one takes effect when that
        incarnation has answered a call.
        """
        previous = self._upstream
        upstream = replace(upstream, heartbeat_ms=now_ms)
        if previous is None:
            self._on_new_incarnation(upstream, now_ms)
        elif not is_same_upstream(previous, upstream):
            self._on_successor(upstream, now_ms)
        elif previous.address != upstream.address:
            self._on_new_incarnation(upstream, now_ms)
        else:
            if upstream.draining and not previous.draining:
                self._note(
                    "the upstream is draining",
                    upstream=upstream.upstream,
                    remaining_ms=upstream.remaining_ms,
                    runs=len(self._runs),
                )
            self._upstream = upstream
        self.entries.report(now_ms)

    def on_deregistration(self, upstream: UpstreamId, reason: str, now_ms: float) -> None:
        """Stop the runs of ``upstream``, which is leaving, and remove it when they have ended.

        The call doesn't name the incarnation that sent it, but every incarnation drains first. One
        that doesn't drain has not sent it.
        """
        successor, registered = self._successor, self._upstream
        if successor is not None and successor.upstream == upstream and successor.draining:
            self._successor = None
        if registered is None or registered.upstream != upstream or self.is_leaving:
            return
        if not registered.draining:
            self._note(
                "deregistration of another incarnation ignored",
                upstream=upstream,
                born_ms=registered.born_ms,
                runs=len(self._runs),
            )
            return
        self._note("upstream deregistered", upstream=upstream, reason=reason, runs=len(self._runs))
        self._departure_reason = reason
        for key in list(self._runs):
            self._stop(key, reason, now_ms)
        self._remove_if_left(now_ms)
        self.entries.report(now_ms)

    def _remove_if_left(self, now_ms: float) -> None:
        """Remove the upstream if it has deregistered and all of its runs have ended."""
        if self._upstream is None or not self.is_leaving or self._runs:
            return
        self._note("upstream removed", upstream=self._upstream.upstream)
        self._upstream = None
        self._departure_reason = ""
        self._down_since_ms = None
        self._expired.clear()
        if self._successor is not None:
            self._on_new_incarnation(self._successor, now_ms)
        self.entries.report(now_ms)

    def _on_successor(self, upstream: Upstream, now_ms: float) -> None:
        """Request the lists of runs of another incarnation, to learn whether it is the one here."""
        if self._successor is None or not is_same_upstream(self._successor, upstream):
            self._note(
                "heartbeat of another incarnation; asking the upstream",
                upstream=upstream.upstream,
                born_ms=upstream.born_ms,
            )
        self._successor = upstream
        self._poll_successor(now_ms)

    def _poll_successor(self, now_ms: float) -> None:
        assert self._successor is not None
        self._successor_poll_sent_ms = now_ms
        self.effects.append(CallHold(self._successor, None, self._fence, 0, 0, now_ms))

    def _is_successor_call(self, call: CallHold) -> bool:
        """Return whether ``call`` asked the incarnation that may replace the registered one."""
        return is_same_incarnation(call, self._successor)

    def _on_successor_lists(self, runs: RunLists, now_ms: float) -> None:
        """Register the successor if it is the incarnation that answered."""
        assert self._successor is not None and self._upstream is not None
        successor = self._successor
        if runs.born_ms is None:
            # Only the times of the heartbeats tell two incarnations under one id apart.
            same_id = successor.upstream == self._upstream.upstream
            confirmed = not same_id or successor.born_ms > self._upstream.born_ms
        else:
            confirmed = runs.born_ms == successor.born_ms
        if confirmed:
            self._on_new_incarnation(successor, now_ms)
        else:
            self._refute_successor("another incarnation answers", runs.born_ms)

    def _refute_successor(self, reason: str, born_ms: int | None = None) -> None:
        assert self._successor is not None
        self._note(
            "registration ignored",
            upstream=self._successor.upstream,
            born_ms=self._successor.born_ms,
            reason=reason,
            answering_born_ms=born_ms,
        )
        self._successor = None

    def _on_new_incarnation(self, upstream: Upstream, now_ms: float) -> None:
        self._note(
            "new incarnation of the upstream",
            upstream=upstream.upstream,
            born_ms=upstream.born_ms,
            service=upstream.service,
            address=upstream.address,
            draining=upstream.draining,
            previous="" if self._upstream is None else self._upstream.upstream,
            runs=len(self._runs),
        )
        self._reconciled = False
        if self._upstream is not None and self._is_crash(self._upstream, upstream):
            self.counters.crashes += 1
            self._on_crash(list(self._runs.values()), now_ms)
        if self._upstream is not None and self._upstream.upstream == upstream.upstream:
            # A start may have reached the new incarnation before its first heartbeat came here.
            for run in self._runs.values():
                run.state = RunState.INDETERMINATE
                run.end_if_unlisted = RunEnd.LOST
        else:
            self._drop_runs("a new life of the upstream", now_ms)
        self._upstream = upstream
        self._successor = None
        self._departure_reason = ""
        # Invalidates orders to an earlier incarnation that this one may still execute.
        self._fence += 1
        self._lease.reset()
        self._speed.clear()
        self._acked = 0
        self._ack_due = False
        self._unhealthy_until_ms = float("-inf")
        self._unanswered_since_ms = float("inf")
        self._down_since_ms = None
        self._expired.clear()
        self._poll_runs(now_ms)

    def _is_crash(self, previous: Upstream, upstream: Upstream) -> bool:
        """Return whether ``previous`` crashed, and that is new, if ``upstream`` replaces it."""
        same = (previous.upstream, previous.born_ms) == (upstream.upstream, upstream.born_ms)
        return not same and not previous.draining and self._down_since_ms is None

    def _on_crash(self, runs: list[Run], now_ms: float) -> None:
        """Report the crash of the present incarnation, which ended ``runs``."""
        assert self._upstream is not None
        upstream = self._upstream
        fresh = [run for run in runs if not run.in_crash]
        silent = self._is_silent(now_ms)
        confirmed = {run.order.task for run in fresh if run.is_certain() and not silent}
        orders = [*self._expired, *(run.order for run in fresh)]
        for run in fresh:
            run.in_crash = True
        self._expired.clear()
        tasks = sorted(confirmed)
        unconfirmed = sorted({order.task for order in orders} - confirmed)
        suspects = sorted({order.task for order in orders if order.crashes})
        self._note(
            "upstream crashed",
            upstream=upstream.upstream,
            born_ms=upstream.born_ms,
            runs=len(tasks),
            unconfirmed=len(unconfirmed),
            suspects=suspects,
        )
        name = f"{upstream.upstream}@{upstream.born_ms}"
        crash = UpstreamCrash(name, tasks, suspects, unconfirmed)
        self.entries.report_crash(crash, now_ms)

    def _drop_runs(self, reason: str, now_ms: float) -> None:
        for key in list(self._runs):
            self._finish(key, RunEnd.LOST, reason, now_ms)

    def _poll_runs(self, now_ms: float) -> None:
        """Request the lists of runs at once, in parallel to a long poll that may be in progress."""
        assert self._upstream is not None
        self._poll_sent_ms = now_ms
        self.effects.append(
            CallHold(self._upstream, None, self._fence, self._acked, 0, now_ms),
        )

    def next_hold(self, now_ms: float) -> CallHold | None:
        """Return the next call that renews the lease and long-polls for ended runs.

        Return None while there is nothing to renew, acknowledge or refresh, or before the lists of
        runs have been reconciled.
        """
        if self._upstream is None or not self._reconciled or not self._lease.is_synced:
            return None
        if self._down_since_ms is not None:
            return None
        has_runs = bool(self._runs)
        if not has_runs and not self._ack_due and now_ms - self._answered_ms < IDLE_POLL_MS:
            return None
        # The lease bounds the time for which a run goes on whose stop orders are all late.
        is_needed = any(not run.stop_reason for run in self._runs.values())
        renews = is_needed and not self._is_silent(now_ms)
        deadline_ms = (
            self._lease.request_deadline_ms(self._max_lease_ms, now_ms) if renews else None
        )
        wait_ms = HOLD_WAIT_MS if has_runs else 0
        return CallHold(self._upstream, deadline_ms, self._fence, self._acked, wait_ms, now_ms)

    def on_hold(self, call: CallHold, runs: RunLists | None, now_ms: float) -> None:
        """Reconcile the runs with the upstream's lists in the answer to ``call``.

        ``runs`` is None if the call failed or got no answer.
        """
        if self._is_successor_call(call):
            if runs is not None:
                self._on_successor_lists(runs, now_ms)
            return
        if self._upstream is None or not is_same_incarnation(call, self._upstream):
            return
        if runs is None:
            self._unanswered_since_ms = min(self._unanswered_since_ms, call.sent_ms)
            self.entries.report(now_ms)
            return
        self._unanswered_since_ms = float("inf")
        if runs.born_ms is not None and runs.born_ms != self._upstream.born_ms:
            self._on_upstream_restart(runs.born_ms, now_ms)
            return
        if self._down_since_ms is not None:
            if call.sent_ms > self._down_since_ms:
                self._on_listener_back(now_ms)
            return
        if runs.born_ms is not None:
            self._expired.clear()
        first = not self._lease.is_synced
        self._lease.observe(runs.clock_ms, now_ms)
        if first:
            # Runs that are already on the upstream may be under a lease of full length.
            self._lease.request_deadline_ms(self._max_lease_ms, now_ms)
        self._answered_ms = now_ms
        if call.acked >= self._acked:
            self._ack_due = False
        for end in runs.ended:
            self._on_end(end, now_ms)
        listed = {(row.task, row.attempt): row for row in runs.running}
        orphans = [row for key, row in listed.items() if key not in self._runs]
        for row in orphans:
            self._stop_orphan(row)
        for key, run in list(self._runs.items()):
            self._reconcile_run(key, run, listed.get(key), call, now_ms)
        if not self._reconciled and call.fence == self._fence and not orphans:
            self._reconciled = True
            self.entries.report(now_ms)
        self._remove_if_left(now_ms)

    def on_hold_refused(self, call: CallHold, now_ms: float) -> None:
        """Process a ``call`` that the upstream's address refused.

        A successor may register before it listens, so it is asked again later.
        """
        if self._upstream is None or not is_same_incarnation(call, self._upstream):
            return
        if self._may_be_starting_or_leaving(self._upstream):
            self.on_hold(call, None, now_ms)
        else:
            self._on_no_listener(call.sent_ms, now_ms)

    def _may_be_starting_or_leaving(self, upstream: Upstream) -> bool:
        """Return whether an upstream without a listener may be alive.

        It may register before it listens, and stop listening before its last runs have ended.
        """
        return upstream.draining or not self._lease.is_synced

    def _on_no_listener(self, sent_ms: float, now_ms: float) -> None:
        """End the runs of an upstream whose address refused a call sent at ``sent_ms``.

        A start that was sent later may have reached the next incarnation; its own answer decides,
        as that of a start in progress does.
        """
        assert self._upstream is not None
        lost = [
            key
            for key, run in self._runs.items()
            if run.start_sent_ms < sent_ms and run.state is not RunState.STARTING
        ]
        first = self._down_since_ms is None
        if first:
            self.counters.crashes += 1
            self._down_since_ms = now_ms
        if first or lost:
            self._on_crash([self._runs[key] for key in lost], now_ms)
        self._unanswered_since_ms = float("inf")
        for key in lost:
            self._finish(key, RunEnd.LOST, "no listener at the upstream", now_ms)
        self.entries.report(now_ms)

    def _on_listener_back(self, now_ms: float) -> None:
        """Reconcile the runs again after the same incarnation answered a later call."""
        assert self._upstream is not None
        self._note("upstream answers again", upstream=self._upstream.upstream, runs=len(self._runs))
        self._down_since_ms = None
        self._reconciled = False
        self._fence += 1
        self._poll_runs(now_ms)
        self.entries.report(now_ms)

    def on_hold_elsewhere(self, call: CallHold, now_ms: float) -> None:
        """Process a ``call`` that was refused by an upstream with another id than intended."""
        if self._is_successor_call(call):
            self._refute_successor("an upstream with another id answers")
        else:
            self.on_hold(call, None, now_ms)

    def on_hold_fenced(self, call: CallHold, now_ms: float) -> None:
        """Raise the fencing token after the upstream refused ``call`` for a token below its own."""
        if self._is_successor_call(call):
            # An upstream with another id would have refused the call for that reason.
            assert self._successor is not None
            self._on_new_incarnation(self._successor, now_ms)
            return
        self._unanswered_since_ms = float("inf")
        if call.fence == self._fence and self._upstream is not None:
            self._raise_fence()
            self._poll_runs(now_ms)

    def _is_silent(self, now_ms: float) -> bool:
        """Return whether the upstream has answered nothing for `UPSTREAM_SILENCE_MS`."""
        return now_ms - self._unanswered_since_ms >= UPSTREAM_SILENCE_MS

    def _raise_fence(self) -> None:
        self._fence += self._fence_step
        self._fence_step *= 2
        self._note("fencing token below the upstream's; raised", fence=self._fence)

    def _on_upstream_restart(self, born_ms: int, now_ms: float) -> None:
        assert self._upstream is not None
        previous = self._upstream
        self._on_new_incarnation(
            Upstream(
                previous.upstream,
                born_ms,
                previous.service,
                previous.zone,
                previous.address,
                previous.capacity,
                previous.labels,
                previous.draining,
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
            elif (
                how is RunEnd.STOPPED
                and self.is_leaving
                and run.stop_reason == self._departure_reason
            ):
                how = RunEnd.LOST
            self._finish(key, how, run.stop_reason, now_ms)

    def _stop_orphan(self, row: RunRow) -> None:
        """Stop a run of an earlier incarnation of this agent, or one that was given up."""
        assert self._upstream is not None
        self._note("stopping orphaned run", task=row.task, attempt=row.attempt)
        self.effects.append(CallStop(self._upstream, row.task, row.attempt, self._fence))

    def _reconcile_run(
        self,
        key: tuple[str, int],
        run: Run,
        row: RunRow | None,
        call: CallHold,
        now_ms: float,
    ) -> None:
        """Update a run from its ``row`` in the upstream's list, or end it if it isn't listed.

        A run whose start is indeterminate ends only by a list that was requested with a higher
        fencing token than the start carried, because an older list may precede the start.
        """
        if row is not None:
            if run.state is not RunState.RUNNING:
                run.state = RunState.RUNNING
                run.in_crash = False
                run.last_progress_ms = now_ms
            if row.percent > run.percent:
                run.percent = row.percent
                run.last_progress_ms = now_ms
            slow = notice_if_slow(run, now_ms)
            if slow is not None:
                self.entries.send(run.peer, run.session, slow, now_ms)
            self._report_if_leaving(key, run, now_ms)
            return
        if run.state is RunState.INDETERMINATE and call.fence > run.fence:
            self._finish(key, run.end_if_unlisted, "the upstream doesn't list the run", now_ms)
        # A list that was requested before the start was confirmed may lack the run.
        elif run.state is RunState.RUNNING and call.sent_ms > run.last_progress_ms:
            self._finish(key, RunEnd.LOST, "the upstream doesn't list the run", now_ms)

    def _report_if_leaving(self, key: tuple[str, int], run: Run, now_ms: float) -> None:
        """Report a run once to its entry if it will outlast the departure of the upstream."""
        assert self._upstream is not None
        left_ms = time_left_ms(self._upstream, now_ms)
        if left_ms is None or run.leaving_reported or run.stop_reason:
            return
        elapsed_ms = now_ms - run.start_sent_ms
        expected_ms = run.expected_ms * self._speed.slowness(self._runs.values(), now_ms)
        rest_ms = projected_rest_ms(elapsed_ms, run.percent, expected_ms)
        if rest_ms <= left_ms:
            return
        run.leaving_reported = True
        self._note(
            "run outlasts the departure of the upstream",
            task=key[0],
            attempt=key[1],
            time_left_ms=round(left_ms),
            rest_ms=round(rest_ms),
            percent=run.percent,
        )
        slow = RunSlow(key[0], key[1], elapsed_ms, rest_ms, True, left_ms)
        self.entries.send(run.peer, run.session, slow, now_ms)

    # Orders of entries.

    def leave_entry(self, peer: str, now_ms: float) -> None:
        """End the session with the entry ``peer`` unless it has runs here, which go first."""
        if not any(run.peer == peer for run in self._runs.values()):
            self.entries.leave(peer, now_ms)

    def drain(self, now_ms: float) -> None:
        """Reject further starts; runs in progress continue to their end."""
        self._draining = True
        self.entries.report(now_ms)

    def on_frame(self, peer: str, frame: EntryFrame, now_ms: float) -> None:
        """Process the messages in a frame from the entry ``peer``."""
        for body in self.entries.receive(peer, frame, now_ms):
            match body:
                case StartRun():
                    self._on_start(peer, frame.session, body, now_ms)
                case StopRun():
                    self._on_stop(peer, body, now_ms)
                case ZoneNotice():
                    self.set_zones_out(body.revision, frozenset(body.zones_out), now_ms)

    def _on_session_end(self, peer: str, session: str, reason: str, now_ms: float) -> None:
        """Stop the runs of an ended session."""
        owned = [key for key, run in self._runs.items() if run.session == session]
        for key in owned:
            self._stop(key, reason, now_ms)
        self._note("session ended", peer=peer, session=session, reason=reason, stopped=len(owned))

    def set_zones_out(self, revision: int, zones: frozenset[str], now_ms: float) -> None:
        """Set the availability zones out of service as of ``revision``; ignore older revisions."""
        if revision <= self._zones_revision:
            return
        self._zones_revision = revision
        if zones != self._zones_out:
            self._note("zones out of service", zones=sorted(zones), revision=revision)
            self._zones_out = zones
            self.entries.report(now_ms)

    def _find_rejection_reason(self, order: StartRun, now_ms: float) -> str:
        upstream = self._upstream
        if upstream is None or not self._reconciled:
            return "no upstream"
        if upstream.draining or self._draining:
            return "draining"
        if upstream.zone in self._zones_out:
            return "the zone is out of service"
        if now_ms < self._unhealthy_until_ms or self._down_since_ms is not None:
            return "the upstream is unhealthy"
        if self._is_silent(now_ms):
            return "the upstream doesn't answer"
        if any(task == order.task for task, _ in self._runs):
            return BUSY_TASK
        if order.apart and any(run.order.crashes for run in self._runs.values()):
            # A crash would not show which of the two caused it.
            return SUSPECT_RUNNING
        if order.max_per_upstream:
            step = order.task.rpartition("/")[0]
            runs = sum(task.rpartition("/")[0] == step for task, _ in self._runs)
            if runs >= order.max_per_upstream:
                return STEP_LIMIT
        if not order.resources.fits(self._free()):
            return NO_CAPACITY
        return ""

    def _on_start(self, peer: str, session: str, order: StartRun, now_ms: float) -> None:
        reason = self._find_rejection_reason(order, now_ms)
        if reason:
            # A new order for the task shows that an attempt in progress is no longer wanted, for
            # example because the client resubmitted the job to another entry while the entry of
            # that attempt was partitioned from this agent.
            for key in [key for key in self._runs if key[0] == order.task]:
                self._stop(key, "superseded", now_ms)
            self._reject(peer, session, order, reason, now_ms)
            return
        if order.placed:
            self._placed_ms = now_ms
        self.entries.use_offer(peer, order.resources)
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
        run.start_sent_ms = now_ms
        deadline_ms = self._lease.request_deadline_ms(self._max_lease_ms, now_ms)
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
        """Process the upstream's answer to a start order.

        ``clock_ms`` is the upstream's clock, or None if the answer didn't carry it.
        """
        if clock_ms is not None and call.upstream == self._upstream:
            self._lease.observe(clock_ms, now_ms)
            self._unanswered_since_ms = float("inf")
        key = (call.task, call.attempt)
        run = self._runs.get(key)
        if run is None or run.state is not RunState.STARTING:
            return
        match result:
            case StartResult.STARTED:
                self.counters.started += 1
                run.state = RunState.RUNNING
                run.last_progress_ms = now_ms
                if run.stop_reason:
                    self._call_stop(run, now_ms)
            case StartResult.UNANSWERED:
                self._on_unanswered_start(run, now_ms)
            case StartResult.FENCED | StartResult.LATE if self._may_retry(run, now_ms):
                if result is StartResult.FENCED and call.fence == self._fence:
                    self._raise_fence()
                run.retried = True
                self._call_start(run, now_ms)
            case (
                StartResult.UNHEALTHY
                | StartResult.OTHER_INSTANCE
                | StartResult.NO_LISTENER
                | StartResult.NOT_SENT
            ):
                self._unhealthy_until_ms = now_ms + UNHEALTHY_MS
                self._finish(key, RunEnd.REJECTED, result.value, now_ms)
                self.entries.report(now_ms)
                if result is StartResult.NO_LISTENER:
                    self._on_start_refused(call, run, now_ms)
            case _:
                self._finish(key, RunEnd.REJECTED, result.value, now_ms)

    def _on_start_refused(self, call: CallStart, run: Run, now_ms: float) -> None:
        upstream = self._upstream
        if upstream is None or not is_same_incarnation(call, upstream):
            return
        if not self._may_be_starting_or_leaving(upstream):
            self._on_no_listener(run.start_sent_ms, now_ms)

    def _may_retry(self, run: Run, now_ms: float) -> bool:
        """Return whether a refused start may be sent again: once, within ``ORDER_TIMEOUT_MS``.

        If this process was suspended before it sent the start, the entry has given the run up by
        now, so the start must not be repeated.
        """
        fresh = now_ms - run.start_sent_ms < ORDER_TIMEOUT_MS
        return fresh and not run.retried and not run.stop_reason

    def _on_unanswered_start(self, run: Run, now_ms: float) -> None:
        self.counters.indeterminate += 1
        self._unanswered_since_ms = min(self._unanswered_since_ms, run.start_sent_ms)
        run.state = RunState.INDETERMINATE
        if run.fence >= self._fence:
            self._fence += 1
        self._note("start order got no answer", task=run.order.task, attempt=run.order.attempt)
        self._poll_runs(now_ms)

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
        run.stop_requested_ms = now_ms
        self._note("stopping run", task=key[0], attempt=key[1], reason=reason)
        if run.state is RunState.RUNNING:
            self._call_stop(run, now_ms)

    def _call_stop(self, run: Run, now_ms: float) -> None:
        assert self._upstream is not None
        run.stop_sent_ms = now_ms
        run.stop_orders += 1
        run.stop_answered = False
        self.effects.append(
            CallStop(self._upstream, run.order.task, run.order.attempt, self._fence)
        )

    def on_stop_answer(self, call: CallStop, answered: bool, now_ms: float) -> None:
        """Process the upstream's answer to a stop order, or its absence."""
        run = self._runs.get((call.task, call.attempt))
        if run is not None and answered and is_same_incarnation(call, self._upstream):
            run.stop_answered = True

    def _finish(self, key: tuple[str, int], how: RunEnd, reason: str, now_ms: float) -> None:
        run = self._runs.pop(key)
        self.counters.ends[how.value] = self.counters.ends.get(how.value, 0) + 1
        elapsed_ms = 0.0 if how is RunEnd.REJECTED else now_ms - run.start_sent_ms
        if how is RunEnd.DONE:
            self._speed.add_done(run, elapsed_ms, now_ms)
        stopping_ms = now_ms - run.stop_requested_ms if run.stop_reason else 0.0
        if stopping_ms > STOP_MARGIN_MS:
            self.counters.slow_stops += 1
        if how is not RunEnd.DONE or run.stop_reason:
            self._note(
                "run ended",
                task=key[0],
                attempt=key[1],
                how=how.value,
                reason=reason,
                elapsed_ms=round(elapsed_ms),
                stopping_ms=round(stopping_ms),
                stop_orders=run.stop_orders,
            )
        self.entries.offer(now_ms)
        free = self.entries.free_for(run.peer, self._free(), now_ms)
        ended = RunEnded(key[0], key[1], how.value, elapsed_ms, reason, free)
        self.entries.send(run.peer, run.session, ended, now_ms)
        self.entries.report(now_ms)

    # Timers.

    def tick(self, now_ms: float) -> None:
        """Process timeouts of sessions, orders and leases, and repeat unacknowledged messages."""
        if now_ms - self._last_tick_ms >= TICK_GAP_MS:
            self._resumed_ms = now_ms
        self._last_tick_ms = now_ms
        self._check_upstream(now_ms)
        for key, run in list(self._runs.items()):
            self._check_run(key, run, now_ms)
        sessions_with_runs = {(run.peer, run.session) for run in self._runs.values()}
        self.counters.timed_out_sessions += self.entries.tick(sessions_with_runs, now_ms)
        self.entries.offer(now_ms)
        self.entries.report(now_ms)

    def _check_upstream(self, now_ms: float) -> None:
        if self._upstream is None:
            return
        if self._is_silent(now_ms) is not self._silence_noted:
            self._silence_noted = not self._silence_noted
            text = (
                "upstream silent; lease not renewed"
                if self._silence_noted
                else "upstream answers again"
            )
            self._note(text, upstream=self._upstream.upstream, runs=len(self._runs))
            self.entries.report(now_ms)
        needs_poll = (
            not self._reconciled
            or self._down_since_ms is not None
            or any(run.state is RunState.INDETERMINATE for run in self._runs.values())
        )
        if needs_poll and now_ms - self._poll_sent_ms >= POLL_RETRY_MS:
            self._poll_runs(now_ms)
        if self._successor is not None and now_ms - self._successor_poll_sent_ms >= POLL_RETRY_MS:
            self._poll_successor(now_ms)
        # If the VM was suspended, the clock of the upstream may have stood still as well.
        answer_by_ms = self._resumed_ms + UPSTREAM_SILENCE_MS
        if self._runs and now_ms > max(self._lease.expired_by_ms(), answer_by_ms):
            self._unhealthy_until_ms = now_ms + UNHEALTHY_MS
            self._expired += [run.order for run in self._runs.values()]
            self._drop_runs("the upstream doesn't answer and its lease has expired", now_ms)
        self._remove_if_left(now_ms)

    def _check_run(self, key: tuple[str, int], run: Run, now_ms: float) -> None:
        if run.state is not RunState.RUNNING:
            return
        if run.stop_reason:
            if run.is_stop_due(now_ms):
                self._call_stop(run, now_ms)
            return
        if is_stalled(run, self._answered_ms):
            self.counters.stalled += 1
            self._stop(key, RunEnd.STALLED.value, now_ms)

    # Reports to entries.

    def _free(self) -> ResourceVector:
        if self._upstream is None:
            return ResourceVector()
        free = self._upstream.capacity
        for run in self._runs.values():
            free = free.minus(run.resources)
        return free

    def _describe(self, now_ms: float) -> UpstreamReport:
        upstream = self._upstream
        if upstream is None or not self._reconciled:
            return NO_UPSTREAM
        return UpstreamReport(
            upstream.upstream,
            upstream.service,
            upstream.zone,
            upstream.capacity,
            self._free(),
            list(upstream.labels),
            upstream.draining or self._draining or upstream.zone in self._zones_out,
            now_ms >= self._unhealthy_until_ms
            and self._down_since_ms is None
            and not self._is_silent(now_ms),
            self.entries.open_count,
            self._speed.slowness(self._runs.values(), now_ms),
            self._find_ends(now_ms),
        )

    def _find_ends(self, now_ms: float) -> list[tuple[int, float]]:
        """Return the soonest expected ends of runs while entries need them."""
        if now_ms - self._placed_ms >= PLACED_REPORT_MS:
            return []
        ends: list[tuple[int, float]] = []
        for run in self._runs.values():
            duration_ms = run.expected_ms
            if run.percent >= MIN_PROJECTED_PERCENT:
                duration_ms = run.projected_duration_ms(now_ms)
            ends.append((run.resources.cpu_milli, run.start_sent_ms + duration_ms))
        return find_soonest_ends(ends, now_ms)

    def _note(self, text: str, **fields: object) -> None:
        self.effects.append(LogRecord(text, fields))
