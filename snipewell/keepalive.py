"""Keep-alive probes: the only sign of a connection that went silent while both ends live."""

from __future__ import annotations

import socket
from typing import Any


def probe_silence(sock: Any, silence_ms: float) -> None:
    """Have the kernel drop the connection of ``sock`` after about ``silence_ms`` of silence.

    ``sock`` is a TCP socket of the standard library or of curio.
    """
    probes = max(1, round(silence_ms / 1000) - 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(silence_ms))
