"""Text tables for the terminal, with columns aligned by spaces."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from .operate import SystemStatus, WriteResponse
from .resource import Document, Kind, Status

COLUMN_SEPARATOR = "  "


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a text table without trailing spaces; numeric columns are right-aligned."""
    cells = [list(row) for row in rows]
    texts = [list(header), *([_format_cell(cell) for cell in row] for row in cells)]
    widths = [max(len(row[i]) for row in texts) for i in range(len(header))]
    right_aligned = [
        bool(cells) and all(type(row[i]) in (int, float) for row in cells)
        for i in range(len(header))
    ]
    lines = [
        COLUMN_SEPARATOR.join(
            cell.rjust(width) if align_right else cell.ljust(width)
            for cell, width, align_right in zip(row, widths, right_aligned, strict=True)
        ).rstrip()
        for row in texts
    ]
    return "\n".join(lines)


def format_documents(kind: Kind, documents: Sequence[Document]) -> str:
    """Return a table of resources of one kind: main fields, version and status."""
    specs = [msgspec.json.decode(document.spec) for document in documents]
    fields = [key for key in _COLUMNS[kind] if any(key in spec for spec in specs)]
    header = ["NAME", *(field.upper() for field in fields), "VERSION", "IN FORCE", "ENTRIES"]
    rows = [
        [document.name, *(spec.get(f) for f in fields), document.resource_version]
        + _status_cells(document.status)
        for document, spec in zip(documents, specs, strict=True)
    ]
    return format_table(header, rows)


def format_status(status: SystemStatus) -> str:
    """Return tables of the entries, the zones, and the upstreams declared as resources."""
    entries = [
        [
            state.entry,
            state.zone,
            state.http_address,
            "yes" if state.reachable else "NO",
            "yes" if state.ready else "NO",
        ]
        for state in status.entries
    ]
    sections = [
        f"revision {status.revision}",
        format_table(["ENTRY", "ZONE", "ADDRESS", "REACHABLE", "READY"], entries),
        format_documents(Kind.ZONE, status.zones),
    ]
    if status.upstreams:
        sections.append(format_documents(Kind.UPSTREAM, status.upstreams))
    return "\n\n".join(sections)


def format_writes(written: Sequence[WriteResponse]) -> str:
    """Return a table with the result of each resource of one or more writes."""
    rows = [
        [f"{result.kind.value}/{result.name}", result.state, result.resource_version]
        for response in written
        for result in response.results
    ]
    return format_table(["RESOURCE", "STATE", "VERSION"], rows)


_COLUMNS: dict[Kind, tuple[str, ...]] = {
    Kind.SERVICE: ("idempotent", "zones", "upstreams", "deadline_ms", "max_tasks"),
    Kind.ZONE: ("in_service",),
    Kind.UPSTREAM: ("in_service",),
    Kind.TEAM: ("max_tasks_in_flight", "weight"),
    Kind.CONFIGURATION: ("resubmission_window_ms", "eject_share", "retry_ratio"),
}


def _status_cells(status: Status | None) -> list[object]:
    if status is None:
        return ["-", "-"]
    in_force = any(c.type == "InForce" and c.status for c in status.conditions)
    # The first condition is InForce, which is shown as yes or NO.
    problems = [f"not {c.type}: {c.reason}" for c in status.conditions[1:] if not c.status]
    text = "; ".join(["yes" if in_force else "NO", *problems])
    return [text, f"{status.entries_at_revision}/{status.entries}"]


def _format_cell(cell: object) -> str:
    match cell:
        case bool():
            return "yes" if cell else "no"
        case None:
            return "-"
        case list():
            return ",".join(_format_cell(part) for part in cell) or "all"
    return str(cell)
