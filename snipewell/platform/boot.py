"""The settings file of the platform: lines of the form ``a.b=value``, lists joined by commas."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from ..errors import SettingsError

FILE_VARIABLE = "SNIPEWELL_BOOT"


@dataclass(frozen=True, slots=True)
class Boot:
    """What a process learns of its VM. Addresses are ``ip:port``, empty where they don't apply."""

    name: str
    zone: str
    ip: str
    client_address: str
    """Where clients connect (``listenAddresses.frontend``)."""
    readiness_address: str
    registration_address: str
    """Where the upstream on this VM registers (``listenAddresses.controlPlane``)."""
    upstream_address: str
    """Where the upstream on this VM takes orders (``app``)."""
    store_address: str
    first_port: int
    max_hold_ms: float
    """Longest lease that an upstream grants (``bounds.maxHoldMs``)."""
    grace_ms: float
    """Time between SIGTERM and SIGKILL."""
    orders_by_call: bool
    """True if the upstream is called with orders, false if it fetches them by its heartbeats."""


def parse_boot(text: str, file: str = "settings") -> Boot:
    """Return the settings written as ``text``; raise SettingsError with the line and the field."""
    fields: dict[str, tuple[int, str]] = {}
    for number, line in enumerate(text.splitlines(), 1):
        name, equals, value = line.partition("=")
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        if not equals:
            raise SettingsError(file, number, line[:40], "expected name=value")
        fields[name.strip()] = (number, value.strip())

    def text_of(name: str, default: str | None = None) -> str:
        if name in fields:
            return fields[name][1]
        if default is None:
            raise SettingsError(file, None, name, "expected a value, it is missing")
        return default

    def number_of(name: str, default: float) -> float:
        line, value = fields.get(name, (0, ""))
        try:
            return float(value) if value else default
        except ValueError:
            raise SettingsError(file, line, name, f"expected a number, got {value!r}") from None

    ports = text_of("internalPortRange").split(",")
    if len(ports) != 2 or not all(port.strip().isdigit() for port in ports):
        number = fields["internalPortRange"][0]
        raise SettingsError(file, number, "internalPortRange", "expected two ports")
    return Boot(
        name=text_of("nodeName"),
        zone=text_of("zone"),
        ip=text_of("ip"),
        client_address=text_of("listenAddresses.frontend", ""),
        readiness_address=text_of("listenAddresses.readiness", ""),
        registration_address=text_of("listenAddresses.controlPlane", ""),
        upstream_address=text_of("app", ""),
        store_address=text_of("platform.address"),
        first_port=int(ports[0]),
        max_hold_ms=number_of("bounds.maxHoldMs", 1_000),
        grace_ms=1_000 * number_of("bounds.gracePeriodS", 6),
        orders_by_call=text_of("orders", "call") == "call",
    )


def read_boot(file: str = "") -> Boot:
    """Read ``file``, or the settings file that the environment names; raise SettingsError."""
    file = file or os.environ.get(FILE_VARIABLE, "")
    if not file:
        raise SettingsError(FILE_VARIABLE, None, "", "the variable doesn't name a settings file")
    try:
        text = Path(file).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(file, None, "", f"cannot be read: {error}") from error
    return parse_boot(text, file)
