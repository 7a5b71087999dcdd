"""Structured log: each line is one eliot message, a component prefix and a short text.

Ids are logged as fields, not in the text. eliot's actions are not used, because their context is
not propagated to curio tasks.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import IO, TYPE_CHECKING

from eliot import FileDestination, log_message

if TYPE_CHECKING:
    # The daemons of the job path have no such settings and don't load their parser.
    from .settings import LogSettings

Destination = Callable[[dict[str, object]], None]
# curio logs a warning for each operation that completes just after its timeout, which is no fault.
logging.getLogger("curio.time").setLevel(logging.ERROR)

_LEVELS = {"debug": 0, "info": 1, "error": 2, "off": 3}


class _EliotLogger:
    """An eliot logger with its own destination and fields that it adds to every message."""

    def __init__(self, destination: Destination, common: dict[str, object]) -> None:
        self.destination = destination
        self.common = common

    def write(self, dictionary: dict[str, object], serializer: object = None) -> None:
        """Write one message; discard it if the destination or the encoding of a field fails.

        A full disk, for example, must not raise in the code that logs.
        """
        try:
            self.destination({**self.common, **dictionary})
        except (OSError, TypeError, ValueError):
            pass


class Log:
    """Writes log lines at or above a level.

    For example ``log.info("place", "task granted", task=3, agent="a1")`` writes a JSON line whose
    message is ``place: task granted``.
    """

    def __init__(
        self, level: str = "off", destination: Destination | None = None, **common: object
    ) -> None:
        self._level = _LEVELS[level] if destination is not None else _LEVELS["off"]
        self._logger = _EliotLogger(destination, common) if destination is not None else None

    @classmethod
    def from_config(cls, settings: LogSettings, **common: object) -> Log:
        """Return a log configured by ``settings``; ``common`` fields are added to every line.

        Raises OSError if the file cannot be opened.
        """
        if settings.level == "off":
            return cls("off")
        file: IO[str] = sys.stderr
        if settings.file is not None:
            # Line buffered, so that lines written before a crash are not lost.
            file = open(settings.file, "a", encoding="utf-8", buffering=1)  # noqa: SIM115
        return cls(settings.level, FileDestination(file=file), **common)

    def debug(self, component: str, text: str, **fields: object) -> None:
        """Write a line with details for debugging."""
        self._write("debug", component, text, fields)

    def info(self, component: str, text: str, **fields: object) -> None:
        """Write a line about a decision or a change of state."""
        self._write("info", component, text, fields)

    def error(self, component: str, text: str, **fields: object) -> None:
        """Write a line about a fault that needs an operator's attention."""
        self._write("error", component, text, fields)

    def is_enabled(self, level: str) -> bool:
        """Return whether lines of ``level`` are written."""
        return _LEVELS[level] >= self._level and self._level < _LEVELS["off"]

    def _write(self, level: str, component: str, text: str, fields: dict[str, object]) -> None:
        if self._logger is not None and self.is_enabled(level):
            line = {**fields, "level": level, "message": f"{component}: {text}"}
            log_message(component, __eliot_logger__=self._logger, **line)
