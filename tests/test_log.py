"""Log: format and levels of the lines, and failures of the destination."""

from __future__ import annotations

import json
from pathlib import Path

from snipewell.log import Log
from snipewell.settings import LogSettings


def test_lines_have_prefix_level_and_fields(tmp_path: Path) -> None:
    """Guards against lines without component or fields, and lines below the configured level."""
    path = tmp_path / "log"
    log = Log.from_config(LogSettings(level="info", file=str(path)), entry="e1")
    log.debug("edge", "refused a request")
    log.info("place", "granted a task", task=3)
    Log.from_config(LogSettings(level="off", file=str(path))).error("edge", "failed")
    (line,) = [json.loads(text) for text in path.read_text().splitlines()]
    assert (line["message"], line["level"]) == ("place: granted a task", "info")
    assert (line["task"], line["entry"]) == (3, "e1")


def test_destination_error_is_not_raised() -> None:
    """Guards against a full disk, or a field that is not JSON, that ends the task that logs.

    In an entry that task runs the core, so a failed write of a log line would stop the entry.
    """

    def refuse(message: dict[str, object]) -> None:
        raise OSError("no space left")

    Log("info", refuse).info("home", "began")
