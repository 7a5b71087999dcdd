"""The log: lines that operators and tools can rely on."""

from __future__ import annotations

import json
from pathlib import Path

from snipewell.log import Log
from snipewell.settings import LogSettings


def test_lines_have_prefix_level_and_fields(tmp_path: Path) -> None:
    """Guards against lines without their component, and lines below the level."""
    path = tmp_path / "log"
    log = Log.from_config(LogSettings(level="info", file=str(path)), entry="e1")
    log.debug("edge", "refused a request")
    log.info("place", "granted a task", task=3)
    Log.from_config(LogSettings(level="off", file=str(path))).error("edge", "failed")
    (line,) = [json.loads(text) for text in path.read_text().splitlines()]
    assert (line["message"], line["level"]) == ("place: granted a task", "info")
    assert (line["task"], line["entry"]) == (3, "e1")


def test_broken_destination_breaks_no_decision() -> None:
    """Guards against a full disk, or a field that is no JSON, that ends the owner of the core."""

    def refuse(message: dict[str, object]) -> None:
        raise OSError("no space left")

    Log("info", refuse).info("home", "began")
