"""Parser of addresses of the form ``ip:port``."""

from __future__ import annotations

import socket

_PORT_DIGITS = 5


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``; raise ValueError if ``address`` is malformed.

    The host has to be an IP address: the lookup of a name would block the process. For example
    ``split_address("10.0.0.1:80")`` returns ``("10.0.0.1", 80)``.
    """
    host, colon, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= _PORT_DIGITS
    if not colon or not is_number or not 0 < int(port) < 65_536:
        raise ValueError(f"expected ip:port, got {address[:60]!r}")
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except (OSError, ValueError):
        raise ValueError(f"expected ip:port, got {address[:60]!r}") from None
    return host, int(port)
