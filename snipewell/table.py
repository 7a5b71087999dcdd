"""Tables for people: columns aligned with spaces."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from .operate import SystemStatus, Written
from .resource import Document, Kind, Status

GAP = "  "


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table without trailing spaces; numbers are aligned to the right."""
    body = [list(row) for row in rows]
    texts = [list(header), *([_text(cell) for cell in row] for row in body)]
    widths = [max(len(row[i]) for row in texts) for i in range(len(header))]
    right = [
        bool(body) and all(type(row[i]) in (int, float) for row in body) for i in range(len(header))
    ]
    lines = [
        GAP.join(
            cell.rjust(width) if flag else cell.ljust(width)
            for cell, width, flag in zip(row, widths, right, strict=True)
        ).rstrip()
        for row in texts
    ]
    return "\n".join(lines)


def format_documents(kind: Kind, documents: Sequence[Document]) -> str:
    """Return a table of resources of one kind with their main fields and their status."""
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
    """Return the state of the system: entries, zones and upstreams that have a resource."""
    entries = [
        [
            e.entry,
            e.zone,
            e.http_address,
            "yes" if e.reachable else "NO",
            "yes" if e.ready else "NO",
        ]
        for e in status.entries
    ]
    parts = [
        f"revision {status.revision}",
        format_table(["ENTRY", "ZONE", "ADDRESS", "REACHABLE", "READY"], entries),
        format_documents(Kind.ZONE, status.zones),
    ]
    if status.upstreams:
        parts.append(format_documents(Kind.UPSTREAM, status.upstreams))
    return "\n\n".join(parts)


def format_written(written: Sequence[Written]) -> str:
    """Return what became of each resource of one or more writes."""
    rows = [
        [f"{result.kind.value}/{result.name}", result.state, result.resource_version]
        for answer in written
        for result in answer.results
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
    others = [f"not {c.type}: {c.reason}" for c in status.conditions[1:] if not c.status]
    text = "; ".join(["yes" if in_force else "NO", *others])
    return [text, f"{status.entries_at_revision}/{status.entries}"]


def _text(cell: object) -> str:
    match cell:
        case bool():
            return "yes" if cell else "no"
        case None:
            return "-"
        case list():
            return ",".join(_text(part) for part in cell) or "all"
    return str(cell)
