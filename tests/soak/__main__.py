"""Run the soak: ``python -m tests.soak --first 1 --seeds 50 --report soak.html``."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from .picture import draw_page
from .play import play

REGRESSIONS = {
    6: "clients gave up after six sends while all processes were away three times in a row",
    12: "the same, with one entry killed, paused, held and stopped in turn",
}
"""Seeds that failed once at the default options, and why; ``--regressions`` plays them."""


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=3, help="how many seeds to run")
    parser.add_argument("--seconds", type=float, default=12.0, help="time in which faults begin")
    parser.add_argument("--faults", type=int, default=10, help="faults for each seed")
    parser.add_argument("--report", type=Path, help="write a page with a picture of each run")
    parser.add_argument("--regressions", action="store_true", help="seeds that failed once")
    options = parser.parse_args()
    seeds = list(range(options.first, options.first + options.seeds))
    verdicts = []
    for seed in list(REGRESSIONS) if options.regressions else seeds:
        verdict = play(seed, options.seconds, options.faults)
        verdicts.append(verdict)
        total = len(verdict.answers)
        print(f"seed {seed}: {total} jobs, {verdict.completed} completed", flush=True)
        for text in verdict.broken:
            print(f"  {text}", flush=True)
        if verdict.broken:
            for fault in verdict.faults:
                print(f"  fault at {fault.at_s:.2f} s for {fault.for_s:.2f} s: {fault.text}")
        if options.report:
            options.report.write_text(draw_page(verdicts), encoding="utf-8")
    failed = sum(bool(verdict.broken) for verdict in verdicts)
    print(f"{len(verdicts) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
