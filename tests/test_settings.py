"""Settings: defaults, rejected values, and errors that locate the mistake."""

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

ENTRY_SETTINGS = """{
  // The entry of the demo.
  name: "e1", zone: "patan", host: "127.0.0.1",
  "store": "127.0.0.1:7000",
  %s
}"""
AGENT_SETTINGS = """{
  name: "a1", zone: "patan", rack: "r1", host: "127.0.0.1", upstream: "u1",
  upstream_address: "127.0.0.1:9000", balancer: "127.0.0.1:8000", services: ["dye-test"],
  %s
}"""


def test_comments_and_defaults() -> None:
    """Guards against rejecting settings files with comments or without optional fields."""
    settings = parse_settings(ENTRY_SETTINGS % "http: {connections: 5}, // few", EntrySettings)
    assert settings.http.connections == 5
    assert settings.permit_ttl_ms == 1_500
    assert parse_settings(AGENT_SETTINGS % "", AgentSettings).slots == 8


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        ("{", EntrySettings),
        (ENTRY_SETTINGS % "typo_ms: 5", EntrySettings),
        (ENTRY_SETTINGS % 'http: {\n    body_bytes: "many"\n  }', EntrySettings),
        (ENTRY_SETTINGS % "http: {\n    body: 5\n  }", EntrySettings),
        (ENTRY_SETTINGS % "permit_ttl_ms: 400", EntrySettings),
        (ENTRY_SETTINGS % "permit_ttl_ms: 2000", EntrySettings),
        (ENTRY_SETTINGS % "lease_ms: 1000", EntrySettings),
        (ENTRY_SETTINGS % "store_wait_ms: 1000", EntrySettings),
        (ENTRY_SETTINGS % "peer_silent_ms: 100", EntrySettings),
        (ENTRY_SETTINGS % "heartbeat_interval_ms: 0", EntrySettings),
        (ENTRY_SETTINGS % "drain_limit_ms: -1", EntrySettings),
        (ENTRY_SETTINGS % 'log: {level: "loud"}', EntrySettings),
        (ENTRY_SETTINGS.replace("127.0.0.1:7000", "store.local:7000") % "", EntrySettings),
        (ENTRY_SETTINGS.replace('"127.0.0.1"', '"localhost"') % "", EntrySettings),
        (ENTRY_SETTINGS.replace("patan", "Patan!") % "", EntrySettings),
        ("{host: '127.0.0.1', port: 70000}", StoreSettings),
        ("{port: 7000}", StoreSettings),
        ("[]", StoreSettings),
        (AGENT_SETTINGS % "connections: 4", AgentSettings),
        (AGENT_SETTINGS.replace('["dye-test"]', "[]") % "", AgentSettings),
        (AGENT_SETTINGS % "worker: {cores: 'four'}", AgentSettings),
    ],
)
def test_refusals(text: str, kind: type[Settings], snapshot: SnapshotAssertion) -> None:
    """Guards against accepting a mistake, or reporting it without file, line and field."""
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, kind, "entry.json")
    assert str(caught.value) == snapshot


def test_unreadable_file_is_named(tmp_path: Path) -> None:
    """Guards against a traceback instead of a SettingsError for a missing or binary file."""
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
def test_insecure_token_file_is_rejected(
    tmp_path: Path, mode: int, token: str, expected: str
) -> None:
    """Guards against an operators' token that other users of the host can read, write or guess."""
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
    """Guards against a setting that is not documented in docs/settings.md."""
    page = (Path(__file__).parent.parent / "docs" / "settings.md").read_text()
    assert [f.name for f in fields(kind) if f"`{f.name}`" not in page] == []
