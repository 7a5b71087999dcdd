"""Estimates of the service time of each pair of service and upstream.

The estimate is the service's mean time on an upstream of average speed, multiplied by the slowness
factor of the upstream and by a correction factor for the pair. The factors are exponentially
decayed means, shrunk towards 1 in so far as their samples are few or old; the service's mean
replaces its declared time over the first ``declared_samples`` samples. A pair without samples is
therefore estimated from its service and its upstream, and a slow upstream that got no work for a
while is tried again. Factors are means of logarithms, which a few tasks of several seconds hardly
change.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from .ids import ServiceName, UpstreamId

# Lifetime of a cached estimate.
_CACHE_MS = 50.0
# Maximum number of cached estimates; when it is reached, the cache is cleared.
_CACHE_SIZE = 20_000
# Bound of the logarithm of one sample's slowness: a factor of 100 either way.
_MAX_LOG_RATIO = math.log(100.0)


@dataclass(frozen=True, slots=True)
class EstimateLimits:
    """Parameters of the estimates.

    ``window`` limits the number of samples in a mean, and ``half_life_ms`` is the age at which
    samples have half their weight. A mean of ``prior_samples`` samples has the same weight as its
    prior. After ``declared_samples`` samples, the declared time of a service is ignored, however
    wrong it is. ``default_ms`` is the expected time of a service without a declared time.
    """

    window: int = 64
    half_life_ms: float = 15_000
    prior_samples: float = 4.0
    declared_samples: int = 5
    default_ms: float = 200.0


class DecayedMean:
    """Mean and mean absolute deviation, with samples decaying by number and by age."""

    __slots__ = ("_at_ms", "mean", "samples", "spread")

    def __init__(self) -> None:
        self.mean = 0.0
        self.spread = 0.0
        self.samples = 0.0
        self._at_ms = 0.0

    def count(self, now_ms: float, half_life_ms: float) -> float:
        """Return the effective number of samples, with older ones weighted less."""
        age_ms = now_ms - self._at_ms
        if age_ms < half_life_ms / 16:  # the decay is below 5% and is skipped
            return self.samples
        return float(self.samples * 0.5 ** (age_ms / half_life_ms))

    def add(self, value: float, now_ms: float, window: int, half_life_ms: float) -> None:
        """Add a sample."""
        count = min(self.count(now_ms, half_life_ms), window - 1) + 1
        deviation = value - self.mean if count > 1 else 0.0
        self.mean += (value - self.mean) / count
        self.spread += (abs(deviation) - self.spread) / count
        self.samples = count
        self._at_ms = now_ms


class Estimator:
    """Service time estimates of one entry. Times are in milliseconds."""

    def __init__(self, limits: EstimateLimits | None = None) -> None:
        self._limits = limits or EstimateLimits()
        self._declared: dict[ServiceName, float] = {}
        self._means: dict[ServiceName, DecayedMean] = {}
        # Means of the logarithms of run times on an upstream of average speed.
        self._log_service_times: dict[ServiceName, DecayedMean] = {}
        # Means of the logarithms of the slowness of an upstream.
        self._log_factors: dict[UpstreamId, DecayedMean] = {}
        # Means of the logarithms of the correction factor of a pair.
        self._log_corrections: dict[tuple[ServiceName, UpstreamId], DecayedMean] = {}
        self._cache: dict[tuple[ServiceName, UpstreamId], tuple[float, float]] = {}

    def declare(self, declared: Mapping[ServiceName, float]) -> None:
        """Set the expected times declared by operators, used until there are enough samples."""
        self._declared = dict(declared)

    def learn(
        self, service: ServiceName, upstream: UpstreamId, elapsed_ms: float, now_ms: float
    ) -> None:
        """Add the run time of a successful task."""
        elapsed_ms = max(elapsed_ms, 0.1)
        factor = math.exp(self._shrunken_mean(self._log_factors.get(upstream), now_ms))
        mean = self._means.setdefault(service, DecayedMean())
        self._add(mean, elapsed_ms / factor, now_ms)
        self._learn_factor(service, upstream, elapsed_ms, now_ms)

    def learn_overdue(
        self, service: ServiceName, upstream: UpstreamId, age_ms: float, now_ms: float
    ) -> None:
        """Add the age of a task that is overdue and still running.

        A slow upstream returns its results late and would get more work in the meantime. The age
        is ignored until a task of the service has succeeded, because it is compared with the
        service's mean.
        """
        if service in self._log_service_times:
            self._learn_factor(service, upstream, age_ms, now_ms)

    def expect_service_ms(self, service: ServiceName) -> float:
        """Return the expected time of a task of ``service`` on an upstream of average speed."""
        mean = self._means.get(service)
        declared = self._declared.get(service, self._limits.default_ms)
        if mean is None:
            return declared
        share = min(1.0, mean.samples / self._limits.declared_samples)
        return share * mean.mean + (1 - share) * declared

    def expect_ms(self, service: ServiceName, upstream: UpstreamId, now_ms: float) -> float:
        """Return the expected time of a task of ``service`` on ``upstream``.

        Placement calls this very often, so the value is cached for 50 ms.
        """
        cached = self._cache.get((service, upstream))
        if cached is not None and cached[1] > now_ms:
            return cached[0]
        log_factor = self._shrunken_mean(self._log_factors.get(upstream), now_ms)
        log_correction = self._shrunken_mean(self._log_corrections.get((service, upstream)), now_ms)
        value = self.expect_service_ms(service) * math.exp(log_factor + log_correction)
        if len(self._cache) >= _CACHE_SIZE:
            self._cache.clear()
        self._cache[service, upstream] = value, now_ms + _CACHE_MS
        return value

    def spread_ms(self, service: ServiceName) -> float:
        """Return the mean absolute deviation of the service's times."""
        mean = self._means.get(service)
        return mean.spread if mean else 0.0

    def factor(self, upstream: UpstreamId, now_ms: float) -> tuple[float, float]:
        """Return the slowness of ``upstream`` relative to an average one, and the sample count."""
        mean = self._log_factors.get(upstream)
        if mean is None:
            return 1.0, 0.0
        return math.exp(mean.mean), mean.count(now_ms, self._limits.half_life_ms)

    def forget(self, upstream: UpstreamId) -> None:
        """Delete the samples of an upstream, for instance when it restarts."""
        self._log_factors.pop(upstream, None)
        for pair in [pair for pair in self._log_corrections if pair[1] == upstream]:
            del self._log_corrections[pair]

    def _learn_factor(
        self, service: ServiceName, upstream: UpstreamId, elapsed_ms: float, now_ms: float
    ) -> None:
        log = math.log(elapsed_ms)
        log_factor = self._log_factors.setdefault(upstream, DecayedMean())
        log_service_time = self._log_service_times.setdefault(service, DecayedMean())
        shrunk = self._shrunken_mean(log_factor, now_ms)
        self._add(log_service_time, log - shrunk, now_ms)
        relative = min(max(log - log_service_time.mean, -_MAX_LOG_RATIO), _MAX_LOG_RATIO)
        self._add(log_factor, relative, now_ms)
        log_correction = self._log_corrections.setdefault((service, upstream), DecayedMean())
        self._add(log_correction, relative - shrunk, now_ms)

    def _add(self, mean: DecayedMean, value: float, now_ms: float) -> None:
        mean.add(value, now_ms, self._limits.window, self._limits.half_life_ms)

    def _shrunken_mean(self, mean: DecayedMean | None, now_ms: float) -> float:
        """Return ``mean`` shrunk towards 0 in so far as its samples are few or old."""
        if mean is None:
            return 0.0
        count = mean.count(now_ms, self._limits.half_life_ms)
        return mean.mean * count / (count + self._limits.prior_samples)
