"""The log: one eliot message for each line, a short sentence with a fixed prefix.

Messages carry their ids as fields. eliot's actions are not used, because their context does not
follow curio tasks.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import IO

from eliot import FileDestination, log_message

from .settings import LogSettings

Destination = Callable[[dict[str, object]], None]
# curio warns of every operation that ended just after its time limit, which is no fault.
logging.getLogger("curio.time").setLevel(logging.ERROR)

_LEVELS = {"debug": 0, "info": 1, "error": 2, "off": 3}


class _Sink:
    """An eliot logger with a destination and common fields of its own."""

    def __init__(self, destination: Destination, common: dict[str, object]) -> None:
        self.destination = destination
        self.common = common

    def write(self, dictionary: dict[str, object], serializer: object = None) -> None:
        """Write one message; a broken destination never breaks the caller."""
        try:
            self.destination({**self.common, **dictionary})
        except (OSError, TypeError, ValueError):
            pass


class Log:
    """Writes lines at or above a level.

    For example ``log.info("place", "task granted", task=3, agent="a1")`` writes a JSON line whose
    message is ``place: task granted``.
    """

    def __init__(
        self, level: str = "off", destination: Destination | None = None, **common: object
    ) -> None:
        self._level = _LEVELS[level] if destination is not None else _LEVELS["off"]
        self._sink = _Sink(destination, common) if destination is not None else None

    @classmethod
    def from_config(cls, settings: LogSettings, **common: object) -> Log:
        """Return the log that ``settings`` ask for; ``common`` fields go into every line.

        Raises OSError if the file cannot be opened.
        """
        if settings.level == "off":
            return cls("off")
        file: IO[str] = sys.stderr
        if settings.file is not None:
            # Line buffered: a process that dies keeps the lines before its death.
            file = open(settings.file, "a", encoding="utf-8", buffering=1)  # noqa: SIM115
        return cls(settings.level, FileDestination(file=file), **common)

    def debug(self, part: str, text: str, **fields: object) -> None:
        """Write what helps to find a fault."""
        self._write("debug", part, text, fields)

    def info(self, part: str, text: str, **fields: object) -> None:
        """Write a decision or a change of state."""
        self._write("info", part, text, fields)

    def error(self, part: str, text: str, **fields: object) -> None:
        """Write what an operator should look at."""
        self._write("error", part, text, fields)

    def is_enabled(self, level: str) -> bool:
        """Return whether lines of ``level`` are written."""
        return _LEVELS[level] >= self._level and self._level < _LEVELS["off"]

    def _write(self, level: str, part: str, text: str, fields: dict[str, object]) -> None:
        if self._sink is not None and self.is_enabled(level):
            line = {**fields, "level": level, "message": f"{part}: {text}"}
            log_message(part, __eliot_logger__=self._sink, **line)
