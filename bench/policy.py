"""Compare placement policies in the simulation: ``python -m bench.policy [--json] [--quick]``."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict

import msgspec

from bench.baselines import PRODUCT, world_configs
from bench.measure import PolicyFigures, run_load
from bench.scenarios import SCENARIOS, ScenarioFigures

# Offered load relative to the capacity of the fleet.
LOADS = (0.3, 0.7, 0.9, 2.0)
# Simulated duration of a run.
DURATION_MS = 60_000.0
# Simulated duration of a run with ``--quick``.
QUICK_MS = 20_000.0
# Processes in the pool that runs the simulations.
PROCESSES = 4
# Targets of docs/design.md, section 9.
# Response time over the ideal at load 0.7, median.
TARGET_P50 = 1.1
# Response time over the ideal at load 0.7, 99th percentile.
TARGET_P99 = 1.5
# Wasted messages per task at load 0.7.
TARGET_WASTED = 0.1
# Goodput at load 2.0 over its peak.
TARGET_GOODPUT = 0.9
# Work done while an availability zone is out of service, over the remaining capacity.
TARGET_ZONE_MOVE = 0.95


def run_policy(name: str, load: float, duration_ms: float) -> PolicyFigures:
    """Run the policy ``name`` at ``load``; called in a process of the pool."""
    return run_load(name, world_configs()[name], load, duration_ms)


def run_scenario(name: str) -> ScenarioFigures:
    """Run the scenario ``name``; called in a process of the pool."""
    return SCENARIOS[name]()


def print_table(rows: Sequence[PolicyFigures]) -> None:
    """Print a table with one line for each policy and load."""
    print(
        f"{'policy':<28}{'load':>5}{'p50':>7}{'p99':>8}{'1 p50':>7}{'1 p99':>8}{'n p50':>7}"
        f"{'n p99':>8}{'waste':>7}{'goodput':>8}{'done':>6}{'notrun':>7}{'late':>5}{'us/task':>8}"
    )
    for row in rows:
        print(
            f"{row.policy:<28}{row.load:>5.1f}{row.p50:>7.2f}{row.p99:>8.2f}"
            f"{row.single_p50:>7.2f}{row.single_p99:>8.2f}{row.job_p50:>7.2f}{row.job_p99:>8.2f}"
            f"{row.wasted:>7.3f}{row.goodput:>8.3f}{row.completed:>6.3f}{row.not_run:>7}{row.late:>5}"
            f"{row.decision_us:>8.0f}"
        )


def check_targets(
    rows: Sequence[PolicyFigures], scenarios: Sequence[ScenarioFigures]
) -> list[tuple[str, float, str, bool]]:
    """Check the default policy; return the name, figure, bound and pass flag of each target."""
    own = {row.load: row for row in rows if row.policy == PRODUCT}
    peak = max(row.goodput for row in own.values())
    zone = next(s for s in scenarios if s.name == "zone leaves and returns")
    goodput = own[2.0].goodput / peak
    move = zone.figures["work over remaining capacity"]
    p50, p99, wasted = own[0.7].p50, own[0.7].p99, own[0.7].wasted
    return [
        ("response over ideal p50 at 0.7", p50, f"<= {TARGET_P50}", p50 <= TARGET_P50),
        ("response over ideal p99 at 0.7", p99, f"<= {TARGET_P99}", p99 <= TARGET_P99),
        ("wasted messages a task at 0.7", wasted, f"< {TARGET_WASTED}", wasted < TARGET_WASTED),
        ("goodput at 2.0 over peak", goodput, f"> {TARGET_GOODPUT}", goodput > TARGET_GOODPUT),
        ("work during a zone move", move, f">= {TARGET_ZONE_MOVE}", move >= TARGET_ZONE_MOVE),
    ]


def main(arguments: Sequence[str] | None = None) -> int:
    """Run all policies and scenarios, and print their figures and the targets."""
    parser = argparse.ArgumentParser(prog="python -m bench.policy", description=__doc__)
    parser.add_argument("--json", action="store_true", help="print JSON instead of the table")
    parser.add_argument("--quick", action="store_true", help="shorter runs; figures are noisier")
    parser.add_argument(
        "--only", default="", help="run only policies whose name contains this text"
    )
    options = parser.parse_args(arguments)
    duration_ms = QUICK_MS if options.quick else DURATION_MS
    names = [name for name in world_configs() if options.only in name or name == PRODUCT]
    with ProcessPoolExecutor(PROCESSES) as pool:
        runs = [pool.submit(run_policy, n, load, duration_ms) for n in names for load in LOADS]
        others = [pool.submit(run_scenario, name) for name in SCENARIOS]
        rows = [run.result() for run in runs]
        scenarios = [run.result() for run in others]
    targets = check_targets(rows, scenarios)
    if options.json:
        result = {
            "policies": [asdict(row) for row in rows],
            "scenarios": [asdict(scenario) for scenario in scenarios],
            "targets": [
                {"name": name, "figure": figure, "target": bound, "met": met}
                for name, figure, bound, met in targets
            ],
        }
        print(msgspec.json.encode(result).decode())
        return 0
    print_table(rows)
    for scenario in scenarios:
        figures = ", ".join(f"{name} {value:g}" for name, value in scenario.figures.items())
        print(f"\n{scenario.name}: {figures}", end="")
    print("\n")
    for name, figure, bound, met in targets:
        print(f"{'ok  ' if met else 'MISS'} {name}: {figure:.3f} (target {bound})")
    return 0


if __name__ == "__main__":
    sys.exit(main())
