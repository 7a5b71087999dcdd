"""Extracts the events of one job from the logs of entries and agents, in chronological order."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

_OMITTED_FIELDS = frozenset(
    {"node", "message", "timestamp", "level", "task_uuid", "task_level", "message_type", "job"}
)


@dataclass(frozen=True, slots=True)
class Line:
    """Log line; ``at_s`` is the writer's time of day in seconds since the Unix epoch."""

    at_s: float
    node: str
    text: str
    fields: dict[str, object]

    def __str__(self) -> str:
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items() if value != "")
        return f"{self.node}: {self.text} {fields}".rstrip()


def parse_line(raw: bytes) -> dict[str, object] | None:
    """Parse a log line into its fields; return None for other lines, such as those of a traceback.

    Text before the JSON object, such as a prefix of a log collector, is skipped.
    """
    start = raw.find(b"{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(raw[start:])
    except msgspec.DecodeError:
        return None
    return fields if isinstance(fields, dict) and "message" in fields else None


def find_lines(job: str, logs: Iterable[bytes]) -> list[Line]:
    """Return the log lines on ``job``, sorted by time.

    The clocks of different VMs may differ by milliseconds, so the order is approximate.
    """
    found = list(_select_lines(job, logs))
    found.sort(key=lambda line: line.at_s)
    return found


def _select_lines(job: str, logs: Iterable[bytes]) -> Iterator[Line]:
    for raw in logs:
        fields = parse_line(raw) if job.encode() in raw else None
        if fields is None:
            continue
        if fields.get("job") != job and str(fields.get("task", "")).split("/")[0] != job:
            continue
        at_s = fields.get("timestamp")
        yield Line(
            float(at_s) if isinstance(at_s, int | float) else 0.0,
            str(fields.get("node", "")),
            str(fields["message"]),
            {name: value for name, value in fields.items() if name not in _OMITTED_FIELDS},
        )


def explain(job: str, logs: Iterable[bytes]) -> list[str]:
    """Format the events of ``job``, one line each, with the time since the first event.

    For example ``+  688 ms entry-1: scheduler: job ended outcome=JobRefused ...``.
    """
    lines = find_lines(job, logs)
    if not lines:
        return [f"no line on {job}"]
    first_s = lines[0].at_s
    return [f"+{1000 * (line.at_s - first_s):6.0f} ms {line}" for line in lines]
