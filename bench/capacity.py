"""Slopes of what each role costs, measured with the real code: ``python -m bench.capacity``.

Prints one table, in under 90 s on two cores. ``--json`` prints JSON, ``--only TEXT`` limits
the rows to areas that contain it. docs/CAPACITY.md works with the slopes.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable, Iterable

import msgspec

from bench import capacity_core, capacity_process
from bench.capacity_row import Row
from snipewell.table import format_table

MEASURES: tuple[tuple[str, Callable[[], Iterable[Row]]], ...] = (
    ("entry", capacity_core.measure_entry),
    ("partitions", capacity_core.measure_partitions),
    ("peers", capacity_core.measure_peers),
    ("configuration", capacity_core.measure_configuration),
    ("submissions", capacity_core.measure_submissions),
    ("placement", capacity_core.measure_placement),
    ("agent", capacity_core.measure_agent),
    ("log", capacity_core.measure_log),
    ("process entry", capacity_process.measure_entry_process),
    ("process agent", capacity_process.measure_agent_process),
    ("process path", capacity_process.measure_path),
    ("process store", capacity_process.measure_store_calls),
)


def main() -> None:
    """Measure and print everything."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    rows: list[Row] = []
    began_s = time.monotonic()
    for area, measure in MEASURES:
        if options.only in area:
            rows += measure()
            print(f"{area}: {time.monotonic() - began_s:.0f} s", file=sys.stderr)
    if options.json:
        print(msgspec.json.encode([row.report() for row in rows]).decode())
        return
    header = ["AREA", "FIGURE", "UNIT", "AGAINST", "RAW", "SLOPE", "BASE"]
    print(format_table(header, [row.cells() for row in rows]))


if __name__ == "__main__":
    main()
