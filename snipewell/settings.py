"""Settings of the daemons: JSON with comments, decoded into structs that reject unknown fields.

The names of durations end in ``_ms``, those of sizes in ``_bytes`` or ``_mb``. An error states the
file, the line if it can be located, the field and the expected value.
"""

from __future__ import annotations

import ipaddress
import os
import re
import stat
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec
import pyjson5

from .address import split_address
from .errors import SettingsError
from .message import Resources
from .resource import Name

ZONE_STOP_MS = 3_000
"""Bound of the zone-stop guarantee: no task starts in a zone later than this after operators took
it out of service."""

PositiveMs = Annotated[float, msgspec.Meta(gt=0, le=3_600_000)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000_000)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
S = TypeVar("S", bound="Settings")


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all settings structs; unknown fields are rejected."""


class LogSettings(Settings, frozen=True):
    """Level and destination of the log; without ``file`` lines are written to stderr."""

    level: Annotated[str, msgspec.Meta(pattern="^(off|error|info|debug)$")] = "info"
    file: str | None = None


class HttpSettings(Settings, frozen=True):
    """Limits of an HTTP server."""

    connections: Count = 2_000
    header_bytes: Count = 16_384
    body_bytes: Count = 4_194_304
    head_timeout_ms: PositiveMs = 5_000
    body_timeout_ms: PositiveMs = 10_000
    idle_timeout_ms: PositiveMs = 60_000
    write_timeout_ms: PositiveMs = 10_000


class EntrySettings(Settings, frozen=True):
    """Settings of ``snipewell entry``.

    ``host`` is the IP address at which clients, agents and peer entries reach this entry; port 0
    selects a free port. ``store`` is the ``ip:port`` of the platform's key-value service.

    - ``freshness_ms``: how long after its last contact with the store or with a majority of the
      voters the entry may grant permits.
    - ``peer_silent_ms``: time without a message from a peer after which its connection is replaced
      and, if it is not registered, it is no longer live.
    - ``lease_ms``, ``lease_renew_ms``: duration and renewal interval of the lease in the store
      under which the entry is registered.
    - ``store_wait_ms``: longest wait of a watch request to the store.
    - ``waiting_requests``: limit of requests that wait for the core; others are refused.
    - ``drain_settle_ms``: time between reporting not ready and closing the listener.
    """

    name: Name
    zone: Name
    host: str
    store: str
    http_port: Port = 8080
    message_port: Port = 8081
    partitions: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 64
    heartbeat_interval_ms: PositiveMs = 500
    permit_ttl_ms: Count = 1_500
    freshness_ms: PositiveMs = 1_000
    peer_heartbeat_interval_ms: PositiveMs = 250
    peer_silent_ms: PositiveMs = 1_500
    lease_ms: Count = 5_000
    lease_renew_ms: PositiveMs = 1_500
    store_wait_ms: PositiveMs = 250
    store_timeout_ms: PositiveMs = 1_000
    max_deadline_ms: Count = 600_000
    key_bytes: Count = 256
    waiting_requests: Count = 20_000
    drain_settle_ms: Annotated[float, msgspec.Meta(ge=0, le=600_000)] = 1_000
    drain_limit_ms: PositiveMs = 30_000
    operator_token_file: str | None = None
    http: HttpSettings = HttpSettings()
    log: LogSettings = LogSettings()

    def __post_init__(self) -> None:
        _require_ip("host", self.host)
        _require_address("store", self.store)
        # A permit is granted in reply to a heartbeat, and must last until the next one.
        _require(
            self.permit_ttl_ms > self.heartbeat_interval_ms,
            f"permit_ttl_ms: expected more than heartbeat_interval_ms "
            f"({self.heartbeat_interval_ms:g}), got {self.permit_ttl_ms:g}",
        )
        # Task starts in a zone stop within this time after it was taken out of service.
        _require(
            self.freshness_ms + self.permit_ttl_ms < ZONE_STOP_MS,
            f"permit_ttl_ms: expected freshness_ms + permit_ttl_ms below {ZONE_STOP_MS}, "
            f"got {self.freshness_ms + self.permit_ttl_ms:g}",
        )
        _require(
            self.lease_ms >= 2 * self.lease_renew_ms,
            f"lease_ms: expected at least twice lease_renew_ms ({self.lease_renew_ms:g}), "
            f"got {self.lease_ms:g}",
        )
        # A contact counts from the time at which the watch request was sent.
        _require(
            self.store_wait_ms < self.freshness_ms,
            f"store_wait_ms: expected less than freshness_ms ({self.freshness_ms:g}), "
            f"got {self.store_wait_ms:g}",
        )
        _require(
            self.peer_silent_ms > self.peer_heartbeat_interval_ms,
            f"peer_silent_ms: expected more than peer_heartbeat_interval_ms "
            f"({self.peer_heartbeat_interval_ms:g}), got {self.peer_silent_ms:g}",
        )


class AgentSettings(Settings, frozen=True):
    """Settings of ``snipewell agent``, which runs on the VM of one upstream.

    ``upstream_address`` is the upstream's ``ip:port`` on this VM, ``balancer`` the address at which
    ``GET /v1/entries`` lists the entries.

    - ``slots``, ``queue``: limits of the tasks that run at the same time and that are queued.
    - ``record_window_ms``: resubmission window, for which records of ended tasks are retained.
    - ``records``, ``result_bytes``: limits of the records and of the results kept in them.
    """

    name: Name
    zone: Name
    rack: Name
    host: str
    upstream: Name
    upstream_address: str
    balancer: str
    services: list[Name]
    slots: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 8
    connections: Annotated[int, msgspec.Meta(ge=1, le=65_535)] = 60
    queue: Annotated[int, msgspec.Meta(ge=0, le=4096)] = 4
    worker: Resources = Resources()
    heartbeat_interval_ms: PositiveMs = 500
    permit_ttl_ms: Count = 1_500
    entries_interval_ms: PositiveMs = 2_000
    connect_timeout_ms: PositiveMs = 1_000
    record_window_ms: Count = 600_000
    records: Count = 50_000
    result_bytes: Count = 8_388_608
    drain_limit_ms: PositiveMs = 30_000
    log: LogSettings = LogSettings()

    def __post_init__(self) -> None:
        _require_ip("host", self.host)
        _require_address("upstream_address", self.upstream_address)
        _require_address("balancer", self.balancer)
        _require(bool(self.services), "services: expected at least one service")
        _require(
            self.permit_ttl_ms > self.heartbeat_interval_ms,
            f"permit_ttl_ms: expected more than heartbeat_interval_ms "
            f"({self.heartbeat_interval_ms:g}), got {self.permit_ttl_ms:g}",
        )
        _require(
            self.connections >= self.slots,
            f"connections: expected at least slots ({self.slots}), got {self.connections}",
        )


class StoreSettings(Settings, frozen=True):
    """Settings of ``snipewell store``, the stand-in for the platform's key-value service."""

    host: str
    port: Port = 7000
    latency_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 2.0
    writes_per_s: Count = 500
    reads_per_s: Count = 2_000
    value_bytes: Count = 1_048_576

    def __post_init__(self) -> None:
        _require_ip("host", self.host)


class UpstreamSettings(Settings, frozen=True):
    """Settings of ``snipewell upstream``, the stand-in for an upstream.

    Service times are divided by ``speed``: 2 halves each of them.
    """

    name: Name
    host: str
    port: Port = 9000
    slots: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 8
    connections: Annotated[int, msgspec.Meta(ge=1, le=65_535)] = 60
    service_ms: PositiveMs = 50
    speed: Annotated[float, msgspec.Meta(gt=0, le=1_000)] = 1.0
    failure_share: Share = 0.0
    seed: int = 1

    def __post_init__(self) -> None:
        _require_ip("host", self.host)


class BalancerSettings(Settings, frozen=True):
    """Settings of ``snipewell balancer``, the stand-in for the platform's load balancer.

    ``entries`` are the ``ip:port`` of the entries' HTTP servers.
    """

    host: str
    port: Port = 8000
    entries: list[str] = []
    check_interval_ms: PositiveMs = 200
    connections: Count = 4_000

    def __post_init__(self) -> None:
        _require_ip("host", self.host)
        for entry in self.entries:
            _require_address("entries", entry)


def parse_settings(text: str, settings_type: type[S], file: str = "<settings>") -> S:
    """Return the settings in ``text``, JSON with comments; raise SettingsError.

    ``file`` is the file name in errors. For example ``parse_settings('{"host": "127.0.0.1"}',
    StoreSettings)`` returns settings with the default port.
    """
    try:
        value = pyjson5.decode(text)
    except pyjson5.Json5DecoderException as error:
        position = re.search(r"near (\d+)", str(error))
        line = text.count("\n", 0, int(position[1])) + 1 if position else None
        reason = re.sub(r"\s*near \d+|b(?=')", "", str(error.args[0]))
        raise SettingsError(file, line, "", f"expected JSON with comments: {reason}") from None
    try:
        return msgspec.convert(value, settings_type)
    except msgspec.ValidationError as error:
        field, reason = _split_error(str(error))
        raise SettingsError(file, _find_line(text, field), field, reason) from None


def load_settings(path: str | os.PathLike[str], settings_type: type[S]) -> S:
    """Return the settings in the file ``path``; raise SettingsError if unreadable or invalid."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), None, "", f"cannot be read: {error}") from None
    return parse_settings(text, settings_type, str(path))


def read_token(path: str) -> str:
    """Return the operators' token stored in the file ``path``.

    Raises SettingsError if other users can read or write the file, or if the token is shorter than
    16 characters.
    """
    try:
        mode = os.stat(path).st_mode
        token = Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = f"cannot be read: {error}"
        raise SettingsError(path, None, "operator_token_file", reason) from None
    if mode & (stat.S_IROTH | stat.S_IWOTH):
        reason = f"expected no access for other users, got mode {stat.S_IMODE(mode):04o}"
        raise SettingsError(path, None, "operator_token_file", reason)
    if len(token) < 16:
        reason = f"expected at least 16 characters, got {len(token)}"
        raise SettingsError(path, None, "operator_token_file", reason)
    return token


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise ValueError(message)


def _require_ip(field: str, host: str) -> None:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"{field}: expected an IP address, got {host!r}") from None


def _require_address(field: str, address: str) -> None:
    try:
        split_address(address)
    except ValueError:
        raise ValueError(f"{field}: expected ip:port, got {address!r}") from None


def _split_error(text: str) -> tuple[str, str]:
    """Return the field, as a dotted path, and the reason of a msgspec error message."""
    reason, _, path = text.partition(" - at ")
    field = path.strip("`").removeprefix("$").removeprefix(".")
    prefix = re.match(r"([a-z_]+): ", reason)
    if prefix is not None:
        field = f"{field}.{prefix[1]}" if field else prefix[1]
        reason = reason[prefix.end() :]
    quoted = re.search(r"field `(\w+)`", reason)
    if quoted is not None:
        field = f"{field}.{quoted[1]}" if field else quoted[1]
    return field, reason


def _find_line(text: str, field: str) -> int | None:
    """Return the line of the innermost key of the dotted path ``field`` found in ``text``."""
    position, found = 0, False
    for name in re.findall(r"[A-Za-z_]\w*", field):
        match = re.compile(rf"[\"']?\b{name}\b[\"']?\s*:").search(text, position)
        if match is None:
            break
        position, found = match.start(), True
    return text.count("\n", 0, position) + 1 if found else None
