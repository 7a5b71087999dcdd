"""Errors that are raised before the larger modules are loaded."""

from __future__ import annotations


class SettingsError(Exception):
    """Settings that cannot be used; the text names file, line, field and what was expected."""

    def __init__(self, file: str, line: int | None, field: str, reason: str) -> None:
        place = f"{file}:{line}" if line is not None else file
        super().__init__(f"{place}: {field}: {reason}" if field else f"{place}: {reason}")
        self.file = file
        self.line = line
        self.field = field
        self.reason = reason


class MessageError(Exception):
    """A message that is malformed, of an unknown kind, or of another protocol version."""
