"""Guards against input that raises anything but the error which the callers of a decoder expect."""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from snipewell.configuration import Configuration
from snipewell.decoding import decode_json
from snipewell.desiredstate import CatalogError
from snipewell.directory import Directory
from snipewell.errors import MessageError
from snipewell.group import VOTERS_KEY, decode_part
from snipewell.ids import Revision
from snipewell.job import JobSpec
from snipewell.message import PROTOCOL_VERSION, decode
from snipewell.partition import PartitionTable
from snipewell.platform.configuration import decode_catalog
from snipewell.platform.jobs import JobFormatError, decode_job
from snipewell.platform.upstream import RegistrationError, decode_heartbeat
from snipewell.runmessage import decode_agent_frame, decode_entry_frame
from snipewell.store import Listing, Value

from .oddmessages import HUGE_NUMBERS, NESTED, NESTING
from .test_platform import CONFIGURATION, HEARTBEAT, JOB, JOB_ID

Decode = Callable[[bytes], object]

JSON_DECODERS: dict[str, tuple[Decode, type[Exception], bytes]] = {
    "heartbeat": (
        lambda data: decode_heartbeat("i-1", data),
        RegistrationError,
        msgspec.json.encode(HEARTBEAT),
    ),
    "job": (lambda data: decode_job(JOB_ID, data), JobFormatError, msgspec.json.encode(JOB)),
    "catalog": (
        lambda data: decode_catalog(data, Revision(1)),
        CatalogError,
        msgspec.json.encode(CONFIGURATION),
    ),
    "part of the configuration": (decode_part, MessageError, b"{}"),
    "partition table": (lambda data: PartitionTable.from_json(data, 1), ValueError, b"[]"),
}
"""Decoders with the error that they raise, and a valid message."""
FRAME_DECODERS: dict[str, Decode] = {
    "frame of an agent": decode_agent_frame,
    "frame of an entry": decode_entry_frame,
    "message": lambda data: decode(bytes((PROTOCOL_VERSION,)) + data),
}
NESTED_ARRAYS = b"\x91" * NESTING + b"\x90"
"""Deeply nested arrays in MessagePack."""


@pytest.mark.parametrize("name", JSON_DECODERS)
def test_deeply_nested_json_is_malformed(name: str) -> None:
    """Guards against a task of a daemon that one message ends."""
    decode_message, error, valid = JSON_DECODERS[name]
    decode_message(valid)
    field = valid[:-1] + (b"," if len(valid) > 2 else b"") + b'"more":' + NESTED + b"}"
    for data in (NESTED, field) if valid.startswith(b"{") else (NESTED,):
        with pytest.raises(error):
            decode_message(data)


@pytest.mark.parametrize("number", HUGE_NUMBERS)
@pytest.mark.parametrize("field", ["born", "slots", "coldRemainingMs", "clockMs"])
def test_a_heartbeat_with_a_huge_number_is_malformed(field: str, number: bytes) -> None:
    value = msgspec.json.encode({**HEARTBEAT, field: msgspec.Raw(number)})
    with pytest.raises(RegistrationError):
        decode_heartbeat("i-1", value)


@pytest.mark.parametrize("name", FRAME_DECODERS)
def test_deeply_nested_frames_are_malformed(name: str) -> None:
    with pytest.raises(MessageError):
        FRAME_DECODERS[name](NESTED_ARRAYS)


def test_deeply_nested_voters_leave_the_last_ones_in_force() -> None:
    configuration = Configuration()
    before = configuration.voters
    configuration.apply(VOTERS_KEY, NESTED, Revision(5))
    assert configuration.voters == before


def test_a_deeply_nested_registration_hides_no_other() -> None:
    directory = Directory()
    good = b'{"entry":"e1","address":"127.0.0.1:1","incarnation":"i"}'
    values = {
        key: Value(Revision(1), value)
        for key, value in {"snipewell/entries/e0": NESTED, "snipewell/entries/e1": good}.items()
    }
    directory.apply(Listing(0.0, Revision(1), values), 0.0)
    assert list(directory.entries(0.0)) == ["e1"]
    assert directory.unreadable == ["snipewell/entries/e0"]


@given(st.binary(max_size=200))
def test_random_bytes_raise_only_the_expected_error(data: bytes) -> None:
    for decode_message in (
        decode_agent_frame,
        decode_entry_frame,
        lambda value: decode_json(value, dict[str, int]),
    ):
        try:
            decode_message(data)
        except MessageError:
            pass


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda children: (
        st.lists(children, max_size=3) | st.dictionaries(st.text(max_size=4), children, max_size=3)
    ),
    max_leaves=6,
)


def replace_at(message: object, path: tuple[object, ...], value: object) -> object:
    """Return ``message`` with ``value`` in the place that ``path`` names."""
    if not path:
        return value
    match message:
        case dict():
            return {**message, path[0]: replace_at(message[path[0]], path[1:], value)}
        case list():
            number = path[0]
            assert isinstance(number, int)
            items = list(message)
            items[number] = replace_at(items[number], path[1:], value)
            return items
    raise AssertionError(f"no place {path} in {message!r}")


def places(message: object) -> list[tuple[object, ...]]:
    """Return the paths of all values in ``message``."""
    match message:
        case dict():
            inner = [(name, *path) for name, value in message.items() for path in places(value)]
        case list():
            inner = [(n, *path) for n, value in enumerate(message) for path in places(value)]
        case _:
            inner = []
    return [(), *inner]


@pytest.mark.parametrize("name", ["heartbeat", "job", "catalog"])
@given(data=st.data())
def test_a_message_with_one_value_replaced_raises_only_the_expected_error(
    name: str, data: st.DataObject
) -> None:
    """Guards against values that pass a decoder and raise where they are used."""
    decode_message, error, valid = JSON_DECODERS[name]
    message = msgspec.json.decode(valid)
    path = data.draw(st.sampled_from(places(message)))
    value = data.draw(JSON_VALUES)
    encoded = msgspec.json.encode(replace_at(message, path, value))
    try:
        decoded = decode_message(encoded)
    except error:
        return
    if isinstance(decoded, JobSpec):
        assert math.isfinite(decoded.chain_ms())
        assert all(
            max(step.resources.cpu_milli, step.resources.memory_mb) <= 2**53
            for step in decoded.steps
        )
