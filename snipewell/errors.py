"""Exceptions that can be raised before the larger modules are imported."""

from __future__ import annotations


class SettingsError(Exception):
    """Invalid settings; the message states file, line, field and expected value."""

    def __init__(self, file: str, line: int | None, field: str, reason: str) -> None:
        location = f"{file}:{line}" if line is not None else file
        super().__init__(f"{location}: {field}: {reason}" if field else f"{location}: {reason}")
        self.file = file
        self.line = line
        self.field = field
        self.reason = reason


class MessageError(Exception):
    """A received message is malformed, of an unknown type, or of another protocol version."""
