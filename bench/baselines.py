"""Policies that the bench compares with the product's, and the product's own variants."""

from __future__ import annotations

from random import Random

from bench.simulation import WorldConfig
from snipewell.placement import Binding, ExpectedFinish, Option, Policy, Scored

EARLY = Binding(queue=2, share_queue=0, bulk_reserve=0.0, pressed_reserve=0.0)
PLAIN = Binding(bulk_reserve=0.0, pressed_reserve=0.0)
LATE = Binding()
PRODUCT = "expected finish, late"


def random_policy(binding: Binding, seed: int = 3) -> Scored:
    """Return the policy that takes any open agent."""
    rng = Random(seed)
    return Scored("random", lambda _: rng.random(), binding)


def round_robin(binding: Binding) -> Scored:
    """Return the policy that takes the open agent that was granted to least recently."""
    return Scored("round robin", lambda option: option.state.last_grant, binding)


def slots_in_use(option: Option) -> float:
    """Return the share of the slots that are taken, as far as the entry knows."""
    return option.state.load() / option.state.view.slots


def least_in_flight(binding: Binding) -> Scored:
    """Return the policy that takes the agent with the fewest tasks for its slots."""
    return Scored("least in flight", slots_in_use, binding)


def two_choices(binding: Binding) -> Scored:
    """Return the policy that takes the less loaded of two random agents."""
    return Scored("two choices", slots_in_use, binding, sample=2)


def world_configs() -> dict[str, WorldConfig]:
    """Return the systems that are compared, by name, the product's default last but one.

    The last is the product's policy with one entry and current views: what the workload and the
    fleet leave possible without the delay of information.
    """
    policies: dict[str, Policy] = {
        "random, early": random_policy(EARLY),
        "random, late": random_policy(LATE),
        "round robin, late": round_robin(LATE),
        "two choices, early": two_choices(EARLY),
        "two choices, late": two_choices(LATE),
        "least in flight, early": least_in_flight(EARLY),
        "least in flight, late": least_in_flight(LATE),
        "expected finish, early": ExpectedFinish(EARLY),
        "expected finish, no reserve": ExpectedFinish(PLAIN),
        PRODUCT: ExpectedFinish(),
    }
    configs = {name: WorldConfig(policy) for name, policy in policies.items()}
    configs["one entry, current views"] = WorldConfig(
        ExpectedFinish(), entries=1, current_views=True
    )
    return configs
