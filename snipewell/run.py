"""State of one run of a task at its agent, without any I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .entrysession import STOP_MARGIN_MS, STOP_REPEAT_MS, STOP_RETRY_MS
from .job import ResourceVector, RunEnd
from .runmessage import StartRun

SLOW_FACTOR = 2.0
"""Ratio of projected to expected duration from which a run is reported as slow. Expected durations
are rarely off by more (clients state durations within about 40%)."""
MIN_SLOW_ELAPSED_MS = 100.0
"""Shortest run time after which a run can be reported as slow, because its duration can then be
projected from its progress."""
MIN_SLOW_ELAPSED_SHARE = 0.1
"""Run time, as a share of the expected duration, after which a run can be reported as slow: the
time in which a run of the expected speed advances by ten percent. The longer of the two applies."""
MIN_PROJECTED_PERCENT = 10.0
"""Progress in percent from which the projected duration of a run counts in the slowness of the
upstream; the projection is then accurate to within a tenth, because progress is reported in whole
percents."""
MAX_FACTOR = 100.0
"""Bound of the ratio of the expected duration to the estimate, in both directions; one beyond it is
malformed and ignored."""
SLOW_REPORT_MS = 300.0
"""Shortest interval between two reports of the same slow run."""


class RunState(Enum):
    """State of a start order and its run.

    ``INDETERMINATE`` is a start whose answer is missing; the upstream's list of runs will decide
    it.
    """

    STARTING = "starting"
    INDETERMINATE = "unclear"
    RUNNING = "running"


@dataclass(slots=True)
class Run:
    """A run that the entry ``peer`` ordered in ``session``; times are monotonic milliseconds."""

    peer: str
    session: str
    order: StartRun
    resources: ResourceVector
    state: RunState
    start_sent_ms: float
    fence: int
    last_progress_ms: float
    """Time of the last progress or, until there is any, of the confirmation of the start."""
    percent: float = -1.0
    """Progress in percent, -1 until the upstream lists the run."""
    slow_reported_ms: float = float("-inf")
    """Time of the last report of the run as slow."""
    leaving_reported: bool = False
    """Whether the run was reported as one that outlasts the departure of the upstream."""
    retried: bool = False
    end_if_unlisted: RunEnd = RunEnd.REJECTED
    """How the run ends if its start is indeterminate and the upstream doesn't list it."""
    in_crash: bool = False
    """True after the crash of the incarnation that ran it was reported, until another lists it."""
    stop_reason: str = ""
    stop_sent_ms: float = float("-inf")
    stop_requested_ms: float = float("-inf")
    """Time at which the run was to be stopped."""
    stop_orders: int = 0
    """Number of stop orders sent to the upstream."""
    stop_answered: bool = False
    """Whether the upstream answered the latest stop order."""

    def is_certain(self) -> bool:
        """Return whether the upstream was running it, as far as its last answers tell."""
        return self.state is RunState.RUNNING and not self.stop_answered

    def is_stop_due(self, now_ms: float) -> bool:
        """Return whether a stop order should be sent again, because the run hasn't ended."""
        in_margin = now_ms - self.stop_requested_ms < STOP_MARGIN_MS
        wait_ms = STOP_REPEAT_MS if in_margin and not self.stop_answered else STOP_RETRY_MS
        return now_ms - self.stop_sent_ms >= wait_ms

    @property
    def expected_ms(self) -> float:
        """Duration of the run that its entry expects on an ordinary upstream."""
        factor = self.order.expected_factor
        # The comparison is false for NaN too.
        return self.order.estimate_ms * (factor if 1 / MAX_FACTOR <= factor <= MAX_FACTOR else 1.0)

    def projected_duration_ms(self, now_ms: float) -> float:
        """Return the total duration of the run, projected from its progress.

        Progress is reported in whole percents, so the run may be almost one percent further.
        """
        return 100.0 * (now_ms - self.start_sent_ms) / (self.percent + 1.0)

    def is_slow(self, now_ms: float) -> bool:
        """Return whether the run will take at least ``SLOW_FACTOR`` times its expected duration."""
        expected_ms = self.expected_ms
        early = now_ms - self.start_sent_ms < max(
            MIN_SLOW_ELAPSED_MS, MIN_SLOW_ELAPSED_SHARE * expected_ms
        )
        if early or self.stop_reason:
            return False
        return self.projected_duration_ms(now_ms) >= SLOW_FACTOR * expected_ms
