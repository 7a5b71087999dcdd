"""Guards against tasks that end because a connection to a malformed address raises."""

from __future__ import annotations

import curio
import pytest

from snipewell.address import split_address
from snipewell.client import NotSentError, fetch
from snipewell.directory import Directory
from snipewell.ids import Revision
from snipewell.platform.upstream import RegistrationError, decode_heartbeat
from snipewell.store import Listing, Value
from snipewell.web import Request

from .oddmessages import odd_addresses
from .test_platform import HEARTBEAT, encode


@pytest.mark.parametrize("address", odd_addresses())
def test_a_malformed_address_is_rejected(address: str) -> None:
    with pytest.raises(ValueError):
        split_address(address)


@pytest.mark.parametrize("address", ["127.0.0.1:1", "10.2.0.101:65535"])
def test_an_address_is_split(address: str) -> None:
    host, port = split_address(address)
    assert f"{host}:{port}" == address


@pytest.mark.parametrize("address", odd_addresses())
def test_a_registration_with_a_malformed_address_names_no_entry(address: str) -> None:
    """Guards against connections that are never opened again, and lookups that block an agent."""
    directory = Directory()
    value = encode({"entry": "e1", "address": address, "incarnation": "i"})
    directory.apply(
        Listing(0.0, Revision(1), {"snipewell/entries/e1": Value(Revision(1), value)}), 0
    )
    assert directory.entries(0.0) == {}
    assert directory.unreadable == ["snipewell/entries/e1"]


@pytest.mark.parametrize("address", odd_addresses())
def test_a_heartbeat_with_a_malformed_address_is_rejected(address: str) -> None:
    with pytest.raises(RegistrationError):
        decode_heartbeat("i-1", encode({**HEARTBEAT, "address": address}))


@pytest.mark.parametrize(
    "address", [address for address in odd_addresses() if "127.0.0.1" in address]
)
def test_a_request_to_a_malformed_address_is_not_sent(address: str) -> None:
    """Guards against a task that ends because it calls an address out of range."""
    with pytest.raises(NotSentError):
        curio.run(fetch, address, Request("GET", "/"), 500)
