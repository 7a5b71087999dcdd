"""Parser of the platform's settings file: lines ``a.b=value``, with lists joined by commas."""

from __future__ import annotations

import os
import re
from dataclasses import dataclass
from pathlib import Path

from ..errors import SettingsError

SETTINGS_FILE_VARIABLE = "SNIPEWELL_BOOT"
"""Environment variable that holds the path of the settings file."""
_PORT = re.compile(r"[0-9]{1,5}")


@dataclass(frozen=True, slots=True)
class BootSettings:
    """Settings of a daemon and its VM.

    Addresses are ``ip:port``, empty where they don't apply to the daemon's role.
    """

    name: str
    zone: str
    ip: str
    client_address: str
    """Address that clients connect to (``listenAddresses.frontend``)."""
    readiness_address: str
    """Address that the balancer checks for readiness (``listenAddresses.readiness``)."""
    registration_address: str
    """Address that the upstream on this VM registers at (``listenAddresses.controlPlane``)."""
    upstream_address: str
    """Address that the upstream on this VM accepts calls at (``app``)."""
    service: str
    """Service of the upstream on this VM."""
    store_address: str
    """Address of the metadata store (``platform.address``)."""
    first_port: int
    """Port at which an entry listens for agents: the lowest one of ``internalPortRange``."""
    max_lease_ms: float
    """Longest lease that an upstream grants (``bounds.maxHoldMs``)."""
    grace_ms: float
    """Time between SIGTERM and SIGKILL (``bounds.gracePeriodS``)."""
    spread_factor: float
    """Ratio of the duration of a task on a rack other than that of its data to its duration there
    (``bounds.spreadFactor``)."""
    upstream_accepts_calls: bool
    """True if the agent calls the upstream to start and stop runs, false if the upstream polls for
    these orders with its heartbeats (``orders``)."""


def parse_boot_settings(text: str, file: str = "settings") -> BootSettings:
    """Parse the content of a settings file.

    ``file`` is the name to use in errors. Raise SettingsError with the line and the field.
    """
    fields: dict[str, tuple[int, str]] = {}
    for number, line in enumerate(text.splitlines(), 1):
        name, equals, value = line.partition("=")
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        if not equals:
            raise SettingsError(file, number, line[:40], "expected name=value")
        fields[name.strip()] = (number, value.strip())

    def get_text(name: str, default: str | None = None) -> str:
        if name in fields:
            return fields[name][1]
        if default is None:
            raise SettingsError(file, None, name, "required setting is missing")
        return default

    def get_number(name: str, default: float) -> float:
        line, value = fields.get(name, (0, ""))
        try:
            return float(value) if value else default
        except ValueError:
            raise SettingsError(file, line, name, f"expected a number, got {value!r}") from None

    ports = get_text("internalPortRange").split(",")
    if len(ports) != 2 or not all(_PORT.fullmatch(port.strip()) for port in ports):
        number = fields["internalPortRange"][0]
        raise SettingsError(
            file,
            number,
            "internalPortRange",
            f"expected two ports, got {fields['internalPortRange'][1]!r}",
        )
    return BootSettings(
        name=get_text("nodeName"),
        zone=get_text("zone"),
        ip=get_text("ip"),
        client_address=get_text("listenAddresses.frontend", ""),
        readiness_address=get_text("listenAddresses.readiness", ""),
        registration_address=get_text("listenAddresses.controlPlane", ""),
        upstream_address=get_text("app", ""),
        service=get_text("service", ""),
        store_address=get_text("platform.address"),
        first_port=int(ports[0]),
        max_lease_ms=get_number("bounds.maxHoldMs", 1_000),
        grace_ms=1_000 * get_number("bounds.gracePeriodS", 6),
        spread_factor=get_number("bounds.spreadFactor", 1.0),
        upstream_accepts_calls=get_text("orders", "call") == "call",
    )


def read_boot_settings(file: str = "") -> BootSettings:
    """Read and parse ``file``, by default the one that ``SETTINGS_FILE_VARIABLE`` names.

    Raise SettingsError if it can't be read or is invalid.
    """
    file = file or os.environ.get(SETTINGS_FILE_VARIABLE, "")
    if not file:
        raise SettingsError(
            SETTINGS_FILE_VARIABLE, None, "", "must be set to the path of a settings file"
        )
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(file, None, "", f"cannot be read: {error}") from error
    return parse_boot_settings(text, file)
