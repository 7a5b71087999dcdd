"""Messages that another writer sends to an agent or stores among the entries' registrations.

They resemble those of an upstream or an entry, with something wrong: a field is missing or of
another type, a state or service is unknown, or the bytes can't be read.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

WRONG_VALUES: Mapping[type, tuple[object, ...]] = {
    str: (7, None, [], {}),
    int: ("7", 1.5, None, [1], {}, True),
    list: ("a", 7, None, [7], {"a": 1}),
    dict: ("a", 7, None, []),
}
"""Values of other types, by the type of the right one."""


def vary_fields(message: Mapping[str, Any], optional: frozenset[str]) -> Iterator[tuple[str, Any]]:
    """Yield copies of ``message`` in which a field, also a nested one, is missing or mistyped.

    Each has a label. ``optional`` holds the names of the fields that may be missing.
    """
    for name, value in message.items():
        if name not in optional:
            yield f"no {name}", {key: other for key, other in message.items() if key != name}
        for wrong in WRONG_VALUES[type(value)]:
            if not (isinstance(wrong, float) and name in FRACTIONAL_FIELDS):
                yield f"{name} is {wrong!r}", {**message, name: wrong}
        if isinstance(value, dict):
            for label, varied in vary_fields(value, optional):
                yield f"{name}: {label}", {**message, name: varied}


FRACTIONAL_FIELDS = frozenset({"coldRemainingMs", "clockMs", "remainingMs"})
"""Fields in milliseconds that may have a fraction."""
OPTIONAL_FIELDS = frozenset({"clockMs", "machineId", "remainingMs"})
"""Fields of a heartbeat that may be missing."""


NESTING = 100_000
"""Depth beyond what any decoder supports."""
NESTED = b"[" * NESTING + b"]" * NESTING
HUGE_NUMBERS = (b"1" + b"0" * 5_000, b"1e400", b"-1e400")


def odd_registrations(registration: Mapping[str, Any]) -> list[tuple[str, bytes]]:
    """Return odd variants of an entry's ``registration``, each with a label."""
    encoded = msgspec.json.encode(registration)
    odd = [
        ("deeply nested", NESTED),
        ("deeply nested field", encoded[:-1] + b',"more":' + NESTED + b"}"),
        ("not an object", b"[]"),
        ("truncated", encoded[:-9]),
        ("empty", b""),
        ("invalid UTF-8", encoded.replace(b'"entry"', b'"ent\xff"')),
    ]
    for number in HUGE_NUMBERS:
        label = number[:8].decode()
        odd.append((f"entry is {label}", b'{"entry":' + number + b"}"))
        odd.append((f"more is {label}", encoded[:-1] + b',"zone":' + number + b"}"))
    odd += [
        (label, msgspec.json.encode(varied))
        for label, varied in vary_fields(registration, frozenset({"zone"}))
    ]
    return odd


def odd_addresses() -> list[str]:
    """Return addresses to which no connection can be opened."""
    return [
        "",
        "127.0.0.1",
        "127.0.0.1:",
        ":80",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:99999",
        "127.0.0.1:-1",
        "127.0.0.1:1" + "0" * 5_000,
        "127.0.0.1:\u0663\u0663",
        "127.0.0.1\x00:80",
        "no-such-host:80",
        "x" * 300 + ":80",
        "a..b:80",
        "256.0.0.1:80",
    ]


def odd_heartbeats(heartbeat: Mapping[str, Any]) -> list[tuple[str, bytes]]:
    """Return the odd variants of ``heartbeat``, each with a label."""
    encoded = msgspec.json.encode(heartbeat)
    odd = [
        ("unknown state", msgspec.json.encode({**heartbeat, "state": "resting"})),
        ("unknown service", msgspec.json.encode({**heartbeat, "service": "no-such-service"})),
        ("truncated", encoded[:-9]),
        ("invalid UTF-8", encoded.replace(b"ready", b"re\xff\xfey")),
        ("invalid escape", encoded.replace(b"ready", b"re\\x")),
        ("empty", b""),
        ("not an object", b"[]"),
    ]
    odd += [
        (label, msgspec.json.encode(varied))
        for label, varied in vary_fields(heartbeat, OPTIONAL_FIELDS)
    ]
    return odd
