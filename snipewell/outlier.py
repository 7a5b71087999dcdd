"""Outlier detection: ejection and probing of upstreams that fail or become very slow.

An upstream that fails all of its tasks quickly appears idle and attracts load. It is ejected when
its failures clearly exceed those of the same services on other upstreams. A service that fails
everywhere raises the expected failures of all upstreams and so ejects none. Failures of one key (of
one submission or job) count at most once for each upstream, so a job with invalid payloads ejects
none either.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from statistics import median

from .ids import ScopedKey, ServiceName, UpstreamId


class Health(Enum):
    """Health of an upstream: it gets work as usual, none, or only a few probes."""

    ACTIVE = "active"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclass(frozen=True, slots=True)
class OutlierLimits:
    """Thresholds for the ejection and the return of upstreams. Times are in milliseconds.

    Failures are counted over the last ``window`` results, with exponential decay. An upstream is
    ejected when its failures exceed the expected number by ``min_excess`` plus ``deviations`` times
    the square root of that number: after three in a row if no others fail. It is also ejected when
    it is ``slow_factor`` times as slow as the median upstream. The first ejection lasts
    ``eject_ms`` and each further one twice as long, up to ``max_eject_ms``. ``required_probes``
    successful tasks in a row that were not slow on average end the probing. After ``healthy_ms``
    without ejection the next one lasts ``eject_ms`` again. At most ``max_compared`` other upstreams
    are sampled for the expected failures.

    At most the share ``eject_share`` of the known upstreams is ejected or probed at a time. An
    upstream is not ejected as slow on fewer than ``min_slow_samples`` samples. Two probes of an
    upstream are at least ``probe_gap_ms`` apart, and a task of a job serves as a probe only after
    ``job_probe_delay_ms`` without one. The last ``max_failed_keys`` keys that failed on an upstream
    are stored, so that a failure of one counts only once.
    """

    eject_share: float = 0.3
    window: int = 8
    min_excess: float = 2.5
    deviations: float = 3.0
    slow_factor: float = 4.0
    min_slow_samples: float = 4.0
    eject_ms: float = 5_000
    max_eject_ms: float = 300_000
    required_probes: int = 3
    probe_gap_ms: float = 250
    job_probe_delay_ms: float = 10_000
    healthy_ms: float = 60_000
    max_failed_keys: int = 32
    max_compared: int = 64


@dataclass(slots=True)
class _ResultCount:
    total: float = 0.0
    failed: float = 0.0

    def decay(self, decay_factor: float) -> None:
        self.total *= decay_factor
        self.failed *= decay_factor


@dataclass(slots=True)
class _UpstreamRecord:
    health: Health = Health.ACTIVE
    counts: dict[ServiceName, _ResultCount] = field(default_factory=dict)
    failed_keys: OrderedDict[ScopedKey, None] = field(default_factory=OrderedDict)
    excess: float = 0.0
    """Number of recent failures above the expected number."""
    until_ms: float = 0.0
    ejections: int = 0
    good_probes: int = 0
    slowness: float = 0.0
    reinstated_ms: float = 0.0
    probed_ms: float = float("-inf")
    reason: str = ""


class OutlierDetector:
    """Health of the upstreams as observed by one entry."""

    def __init__(self, rng: Random, limits: OutlierLimits | None = None) -> None:
        self._rng = rng
        self._limits = limits or OutlierLimits()
        self._eject_share = self._limits.eject_share
        self._records: dict[UpstreamId, _UpstreamRecord] = {}
        self.ejections = 0

    def set_eject_share(self, share: float) -> None:
        """Set the maximum share of the known upstreams that may be ejected (rounded down)."""
        self._eject_share = share

    def add(self, upstream: UpstreamId) -> None:
        """Register ``upstream`` unless it is known."""
        self._records.setdefault(upstream, _UpstreamRecord())

    def remove(self, upstream: UpstreamId) -> None:
        """Remove an upstream that has left the fleet."""
        self._records.pop(upstream, None)

    def health(self, upstream: UpstreamId) -> Health:
        """Return the health of ``upstream``; unknown ones count as active."""
        record = self._records.get(upstream)
        return record.health if record else Health.ACTIVE

    def reason(self, upstream: UpstreamId) -> str:
        """Return the reason of the last ejection, for the log and the status of the resource."""
        record = self._records.get(upstream)
        return record.reason if record else ""

    def ejected(self) -> list[UpstreamId]:
        """Return the upstreams that are ejected or being probed."""
        return [name for name, r in self._records.items() if r.health is not Health.ACTIVE]

    def excess_failure_rate(self, upstream: UpstreamId) -> float:
        """Return the recent rate of failures above the expected ones, from 0 to 1.

        It lowers the preference for an upstream that can't be ejected because the maximum share is
        ejected already.
        """
        record = self._records.get(upstream)
        return min(1.0, record.excess / self._limits.window) if record else 0.0

    def may_probe(
        self, upstream: UpstreamId, running: int, now_ms: float, single: bool = True
    ) -> bool:
        """Return whether an upstream in probing with ``running`` tasks may get another one now.

        ``single`` is True for a submission of one task. Probes are preferably such requests, so
        that a failed probe affects no job; a task of a job is accepted if there was no probe for
        ``job_probe_delay_ms``. Callers that don't make this distinction leave ``single`` True.
        """
        record = self._records[upstream]
        waited_ms = now_ms - max(record.until_ms, record.probed_ms)
        if not single and waited_ms < self._limits.job_probe_delay_ms:
            return False
        return running == 0 and now_ms - record.probed_ms >= self._limits.probe_gap_ms

    def on_probe(self, upstream: UpstreamId, now_ms: float) -> None:
        """Record that a probe was granted."""
        self._records[upstream].probed_ms = now_ms

    def on_end(
        self,
        upstream: UpstreamId,
        service: ServiceName,
        key: ScopedKey,
        ok: bool,
        now_ms: float,
        slowness: float = 1.0,
    ) -> None:
        """Record the result of a task of ``key`` on ``upstream``.

        ``slowness`` is its duration relative to the expected one on an ordinary upstream.
        """
        record = self._records.get(upstream)
        if record is None:
            return
        if not ok:
            if key in record.failed_keys:
                return
            record.failed_keys[key] = None
            if len(record.failed_keys) > self._limits.max_failed_keys:
                record.failed_keys.popitem(last=False)
        if record.health is Health.PROBING:
            self._on_probe_end(record, ok, slowness, now_ms)
            return
        decay_factor = 1.0 - 1.0 / self._limits.window
        for count in record.counts.values():
            count.decay(decay_factor)
        record.excess *= decay_factor
        own = record.counts.setdefault(service, _ResultCount())
        own.total += 1.0
        if not ok:
            own.failed += 1.0
            self._check_failures(record, now_ms)

    def tick(
        self, slowness_samples: Mapping[UpstreamId, tuple[float, float]], now_ms: float
    ) -> None:
        """Start probing after ejections that ended, and eject very slow upstreams.

        ``slowness_samples`` holds the slowness and the number of its samples for each upstream.
        """
        for record in self._records.values():
            if record.health is Health.EJECTED and now_ms >= record.until_ms:
                record.health = Health.PROBING
                record.until_ms = now_ms
                record.good_probes = 0
                record.slowness = 0.0
        known = [
            upstream_slowness
            for upstream_slowness, samples in slowness_samples.values()
            if samples >= 1
        ]
        if len(known) < 3:
            # Too few upstreams to compare with the median.
            return
        median_slowness = median(known)
        for name, (upstream_slowness, samples) in slowness_samples.items():
            slow = self._records.get(name)
            if slow is None or slow.health is not Health.ACTIVE:
                continue
            limits = self._limits
            if (
                samples >= limits.min_slow_samples
                and upstream_slowness >= limits.slow_factor * median_slowness
            ):
                self._eject(
                    slow,
                    f"{upstream_slowness / median_slowness:.1f} times as slow as the median",
                    now_ms,
                )

    def _check_failures(self, record: _UpstreamRecord, now_ms: float) -> None:
        failed = expected = 0.0
        others = [other for other in self._records.values() if other is not record]
        if len(others) > self._limits.max_compared:
            others = self._rng.sample(others, self._limits.max_compared)
        for service, own in record.counts.items():
            elsewhere = [other.counts[service] for other in others if service in other.counts]
            total = sum(count.total for count in elsewhere)
            failed += own.failed
            # As if the others had three more results without failure, so that a failure among few
            # results raises the expected number only a little.
            expected += own.total * sum(count.failed for count in elsewhere) / (total + 3.0)
        record.excess = max(0.0, failed - expected)
        bound = self._limits.min_excess + self._limits.deviations * math.sqrt(expected)
        if record.health is Health.ACTIVE and record.excess >= bound:
            total = sum(own.total for own in record.counts.values())
            self._eject(record, f"{failed:.1f} of the last {total:.1f} failed", now_ms)

    def _on_probe_end(
        self, record: _UpstreamRecord, ok: bool, slowness: float, now_ms: float
    ) -> None:
        if not ok:
            self._eject(record, "a probe failed", now_ms)
            return
        record.good_probes += 1
        record.slowness += slowness / self._limits.required_probes
        if record.good_probes < self._limits.required_probes:
            return
        if record.slowness >= self._limits.slow_factor:
            self._eject(record, f"probes took {record.slowness:.1f} times as long", now_ms)
            return
        record.health = Health.ACTIVE
        record.reinstated_ms = now_ms
        record.counts.clear()
        record.excess = 0.0
        record.failed_keys.clear()

    def _eject(self, record: _UpstreamRecord, reason: str, now_ms: float) -> None:
        limits = self._limits
        others = sum(
            r.health is not Health.ACTIVE for r in self._records.values() if r is not record
        )
        if others + 1 > int(self._eject_share * len(self._records) + 1e-9):
            return
        if record.health is Health.ACTIVE and now_ms - record.reinstated_ms > limits.healthy_ms:
            record.ejections = 0
        self.ejections += 1
        record.ejections += 1
        record.health = Health.EJECTED
        record.reason = reason
        doublings = min(record.ejections - 1, 30)
        lasts_ms = min(limits.max_eject_ms, limits.eject_ms * 2.0**doublings)
        record.until_ms = now_ms + lasts_ms * self._rng.uniform(0.9, 1.1)
