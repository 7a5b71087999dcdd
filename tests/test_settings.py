"""Settings: what is refused, and whether the error leads an operator to the mistake."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from msgspec.structs import fields
from syrupy.assertion import SnapshotAssertion

from snipewell.settings import (
    AgentSettings,
    BalancerSettings,
    EntrySettings,
    HttpSettings,
    LogSettings,
    Settings,
    SettingsError,
    StoreSettings,
    UpstreamSettings,
    load_settings,
    parse_settings,
    read_token,
)

ENTRY = """{
  // The entry of the demo.
  name: "e1", zone: "patan", host: "127.0.0.1",
  "store": "127.0.0.1:7000",
  %s
}"""
AGENT = """{
  name: "a1", zone: "patan", rack: "r1", host: "127.0.0.1", upstream: "u1",
  upstream_address: "127.0.0.1:9000", balancer: "127.0.0.1:8000", services: ["dye-test"],
  %s
}"""


def test_comments_and_defaults() -> None:
    """Guards against settings files that only work without comments or with every field."""
    settings = parse_settings(ENTRY % "http: {connections: 5}, // few", EntrySettings)
    assert settings.http.connections == 5
    assert settings.permit_ttl_ms == 1_500
    assert parse_settings(AGENT % "", AgentSettings).slots == 8


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        ("{", EntrySettings),
        (ENTRY % "typo_ms: 5", EntrySettings),
        (ENTRY % 'http: {\n    body_bytes: "many"\n  }', EntrySettings),
        (ENTRY % "http: {\n    body: 5\n  }", EntrySettings),
        (ENTRY % "permit_ttl_ms: 400", EntrySettings),
        (ENTRY % "permit_ttl_ms: 2000", EntrySettings),
        (ENTRY % "lease_ms: 1000", EntrySettings),
        (ENTRY % "store_wait_ms: 1000", EntrySettings),
        (ENTRY % "peer_silent_ms: 100", EntrySettings),
        (ENTRY % "heartbeat_interval_ms: 0", EntrySettings),
        (ENTRY % "drain_limit_ms: -1", EntrySettings),
        (ENTRY % 'log: {level: "loud"}', EntrySettings),
        (ENTRY.replace("127.0.0.1:7000", "store.local:7000") % "", EntrySettings),
        (ENTRY.replace('"127.0.0.1"', '"localhost"') % "", EntrySettings),
        (ENTRY.replace("patan", "Patan!") % "", EntrySettings),
        ("{host: '127.0.0.1', port: 70000}", StoreSettings),
        ("{port: 7000}", StoreSettings),
        ("[]", StoreSettings),
        (AGENT % "connections: 4", AgentSettings),
        (AGENT.replace('["dye-test"]', "[]") % "", AgentSettings),
        (AGENT % "worker: {cores: 'four'}", AgentSettings),
    ],
)
def test_refusals(text: str, kind: type[Settings], snapshot: SnapshotAssertion) -> None:
    """Guards against a mistake that is accepted, or reported without file, line and field."""
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, kind, "entry.json")
    assert str(caught.value) == snapshot


def test_unreadable_file_is_named(tmp_path: Path) -> None:
    """Guards against a traceback in place of an error for a missing or binary file."""
    (tmp_path / "binary").write_bytes(b"\xff\xfe")
    for name in ("missing", "binary"):
        with pytest.raises(SettingsError, match=name):
            load_settings(tmp_path / name, EntrySettings)


@pytest.mark.parametrize(
    ("mode", "token", "expected"),
    [
        (0o604, "0123456789abcdef", "no access for other users"),
        (0o602, "0123456789abcdef", "no access for other users"),
        (0o600, "short", "at least 16"),
    ],
)
def test_key_file_is_refused(tmp_path: Path, mode: int, token: str, expected: str) -> None:
    """Guards against an operators' token that any user of the machine can read or guess."""
    path = tmp_path / "token"
    path.write_text(token)
    os.chmod(path, mode)
    with pytest.raises(SettingsError, match=expected):
        read_token(str(path))
    os.chmod(path, 0o640)
    path.write_text(f"{'k' * 16}\n")
    assert read_token(str(path)) == "k" * 16


@pytest.mark.parametrize(
    "kind",
    [EntrySettings, HttpSettings, LogSettings, AgentSettings, StoreSettings, UpstreamSettings]
    + [BalancerSettings],
)
def test_every_field_is_documented(kind: type[Settings]) -> None:
    """Guards against a setting that operators cannot find in docs/settings.md."""
    page = (Path(__file__).parent.parent / "docs" / "settings.md").read_text()
    assert [f.name for f in fields(kind) if f"`{f.name}`" not in page] == []
