"""Baseline policies of the benchmark, and variants of the default policy."""

from __future__ import annotations

from random import Random

from bench.simulation import WorldConfig
from snipewell.placement import Binding, ExpectedFinish, Option, Policy, Scored

EARLY_BINDING = Binding(queue=2, fair_share_queue=0, bulk_reserve=0.0, overload_reserve=0.0)
NO_RESERVE = Binding(bulk_reserve=0.0, overload_reserve=0.0)
LATE_BINDING = Binding()
PRODUCT = "expected finish, late"


def random_policy(binding: Binding, seed: int = 3) -> Scored:
    """Return the policy that selects a random agent among those available."""
    rng = Random(seed)
    return Scored("random", lambda _: rng.random(), binding)


def round_robin(binding: Binding) -> Scored:
    """Return the policy that selects the available agent with the least recent grant."""
    return Scored("round robin", lambda option: option.state.last_grant, binding)


def slots_in_use(option: Option) -> float:
    """Return the fraction of slots in use, as seen by the entry."""
    return option.state.load() / option.state.view.slots


def least_in_flight(binding: Binding) -> Scored:
    """Return the policy that selects the agent with the fewest tasks for each of its slots."""
    return Scored("least in flight", slots_in_use, binding)


def two_choices(binding: Binding) -> Scored:
    """Return the policy that selects the less loaded of two random agents."""
    return Scored("two choices", slots_in_use, binding, sample=2)


def world_configs() -> dict[str, WorldConfig]:
    """Return the compared system configurations by name, with the default policy last but one.

    The last one is the default policy with one entry and undelayed agent views: the best result
    that the workload and the fleet allow without delayed information.
    """
    policies: dict[str, Policy] = {
        "random, early": random_policy(EARLY_BINDING),
        "random, late": random_policy(LATE_BINDING),
        "round robin, late": round_robin(LATE_BINDING),
        "two choices, early": two_choices(EARLY_BINDING),
        "two choices, late": two_choices(LATE_BINDING),
        "least in flight, early": least_in_flight(EARLY_BINDING),
        "least in flight, late": least_in_flight(LATE_BINDING),
        "expected finish, early": ExpectedFinish(EARLY_BINDING),
        "expected finish, no reserve": ExpectedFinish(NO_RESERVE),
        PRODUCT: ExpectedFinish(),
    }
    configs = {name: WorldConfig(policy) for name, policy in policies.items()}
    configs["one entry, current views"] = WorldConfig(
        ExpectedFinish(), entries=1, current_views=True
    )
    return configs
