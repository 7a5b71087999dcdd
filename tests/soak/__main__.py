"""Run the soak test: ``python -m tests.soak --first 1 --seeds 50 --report soak.html``."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from .runner import run_seed
from .timeline import render_page

REGRESSIONS = {
    6: "clients gave up after six attempts during three outages of all processes in a row",
    12: "as seed 6, with one entry killed, paused, blocked by relays and shut down in turn",
}
"""Seeds that failed once with the default options, and why; ``--regressions`` runs them."""


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds to run")
    parser.add_argument(
        "--seconds", type=float, default=12.0, help="period in which faults begin, in seconds"
    )
    parser.add_argument("--faults", type=int, default=10, help="number of faults per seed")
    parser.add_argument("--entries", type=int, default=2, help="number of entries")
    parser.add_argument("--agents", type=int, default=3, help="number of agents and upstreams")
    parser.add_argument("--per-s", type=float, default=8.0, help="jobs per second")
    parser.add_argument(
        "--report", type=Path, help="write an HTML page with a timeline of each run"
    )
    parser.add_argument("--regressions", action="store_true", help="run the seeds that failed once")
    options = parser.parse_args()
    seeds = list(range(options.first, options.first + options.seeds))
    results = []
    for seed in list(REGRESSIONS) if options.regressions else seeds:
        result = run_seed(
            seed,
            options.seconds,
            options.faults,
            options.per_s,
            options.entries,
            options.agents,
        )
        results.append(result)
        total = len(result.answers)
        print(f"seed {seed}: {total} jobs, {result.completed} completed", flush=True)
        for text in result.violations:
            print(f"  {text}", flush=True)
        if result.violations:
            for fault in result.faults:
                print(f"  fault at {fault.at_s:.2f} s for {fault.duration_s:.2f} s: {fault.text}")
        if options.report:
            options.report.write_text(render_page(results), encoding="utf-8")
    failed = sum(bool(result.violations) for result in results)
    print(f"{len(results) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
