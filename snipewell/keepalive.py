"""TCP keep-alive probes, the only way to detect a dead connection between two live peers."""

from __future__ import annotations

import socket
from typing import Any


def enable_keepalive(sock: Any, keepalive_timeout_ms: float) -> None:
    """Have the kernel drop ``sock`` when probes get no answer for about ``keepalive_timeout_ms``.

    Probes start after 1 s without traffic and are repeated every second. ``sock`` is a TCP socket
    of the standard library or of curio.
    """
    probes = max(1, round(keepalive_timeout_ms / 1000) - 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(keepalive_timeout_ms))
