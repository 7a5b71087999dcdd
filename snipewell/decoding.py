"""Decoder of JSON and MessagePack from other processes, whatever they send."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from .errors import MessageError

T = TypeVar("T")


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode ``data`` as a ``kind``; raise MessageError if that isn't possible.

    For example ``decode_json(b"[1, 2]", list[int])`` returns ``[1, 2]``.
    """
    return decode_with(lambda: msgspec.json.decode(data, type=kind))


def decode_with(decode: Callable[[], T]) -> T:
    """Return the result of ``decode``, a call of a decoder of msgspec; raise MessageError.

    Besides its own errors, msgspec raises RecursionError for values that are nested too deeply.
    """
    try:
        return decode()
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(str(error)) from error
