"""Policies that the bench compares with the product's, and the product's own variants."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from bench.simulation import WorldConfig
from snipewell.dispatch import DispatchLimits
from snipewell.placement import Binding, ExpectedFinish, LeastInFlight, Option, Policy, Scored

EARLY = Binding(queue=2)
LATE = Binding(share_queue=1)
PRODUCT = "expected finish, late"


def random_policy(binding: Binding, seed: int = 3) -> Scored:
    """Return the policy that takes any open agent."""
    rng = Random(seed)
    return Scored("random", lambda _: rng.random(), binding)


def round_robin(binding: Binding) -> Scored:
    """Return the policy that takes the open agent that was granted to least recently."""
    return Scored("round robin", lambda option: option.state.last_grant, binding)


def expected_time(option: Option) -> float:
    """Return the learned time alone, without queue, distance or failures."""
    return option.expected_ms


def product_policy() -> Policy:
    """Return the default policy of the product."""
    return ExpectedFinish(Binding(share_queue=1, bulk_reserve=0.38))


def world_configs() -> dict[str, WorldConfig]:
    """Return the systems that are compared, by name, the product's default last but one.

    The last is the product's policy with one entry and current views: what the workload and the
    fleet leave possible without the delay of information.
    """
    policies: dict[str, Policy] = {
        "random, early": random_policy(EARLY),
        "random, late": random_policy(LATE),
        "round robin, late": round_robin(LATE),
        "two choices, early": LeastInFlight(EARLY, sample=2),
        "two choices, late": LeastInFlight(LATE, sample=2),
        "least in flight, early": LeastInFlight(EARLY),
        "least in flight, late": LeastInFlight(LATE),
        "expected finish, early": ExpectedFinish(EARLY),
        PRODUCT: product_policy(),
    }
    configs = {name: WorldConfig(policy) for name, policy in policies.items()}
    configs["one entry, current views"] = WorldConfig(
        product_policy(), entries=1, current_views=True
    )
    return configs


def with_limits(config: WorldConfig, **changes: object) -> WorldConfig:
    """Return ``config`` with other dispatch limits."""
    return replace(config, limits=replace(DispatchLimits(), **changes))  # type: ignore[arg-type]
