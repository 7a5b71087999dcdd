"""Run long fault-injection tests of the submission path with real processes.

For example ``python -m tests.submission_soak --seeds 5``.
"""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
from pathlib import Path

from tests.faults import draw_fault, run_faults
from tests.processes import Cluster


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds to run")
    parser.add_argument("--faults", type=int, default=8, help="number of faults per seed")
    options = parser.parse_args()
    failed_seeds = 0
    for seed in range(options.first, options.first + options.seeds):
        with tempfile.TemporaryDirectory() as directory, Cluster(Path(directory)) as cluster:
            rng = random.Random(seed)
            faults = [draw_fault(rng, cluster) for _ in range(options.faults)]
            run = run_faults(cluster, seed, faults)
        print(f"seed {seed}: {run.answered} answers, {run.complete} complete, {run.faults}")
        for violation in run.violations:
            print(f"  {violation.invariant} at {violation.at_ms:.0f} ms: {violation.text}")
        failed_seeds += bool(run.violations)
    print(f"{options.seeds - failed_seeds} passed, {failed_seeds} failed")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
