"""Resource use of each role against its load, measured on the real code.

``python -m bench.capacity`` fits a line to each figure and prints one table, in under 90 s on two
cores. ``--json`` prints JSON, and ``--only TEXT`` runs only the areas whose names contain ``TEXT``.
The capacity calculations in docs/CAPACITY.md use the slopes.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable, Iterable

import msgspec

from bench import capacity_core, capacity_process
from bench.capacity_row import Row
from snipewell.texttable import format_table

MEASUREMENTS: tuple[tuple[str, Callable[[], Iterable[Row]]], ...] = (
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
    ("process path", capacity_process.measure_end_to_end),
    ("process store", capacity_process.measure_store_calls),
)


def main() -> None:
    """Run the selected measurements and print their rows."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    rows: list[Row] = []
    began_s = time.monotonic()
    for area, measure in MEASUREMENTS:
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
