"""Configure deterministic Hypothesis runs and deselect the known failures."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.register_profile("long", settings.get_profile("fixed"), max_examples=20_000)
settings.load_profile("fixed")

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red() -> list[str]:
    """Return the node ids that KNOWN-RED.txt lists."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return [line.removeprefix("test:").strip() for line in lines if line.startswith("test:")]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect exactly the tests that KNOWN-RED.txt lists."""
    known = set(read_known_red())
    deselected = [item for item in items if item.nodeid in known]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in known]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the deselected tests."""
    for nodeid in read_known_red():
        terminalreporter.write_line(f"KNOWN-RED (not run): {nodeid}")
