"""Listening sockets that are opened before the rest of a daemon is loaded.

Loading takes a few hundred milliseconds. Meanwhile connections wait in the kernel's queue, where
they would be reset without a listener.
"""

from __future__ import annotations

import socket

BACKLOG = 1_024
"""Connections that may wait to be accepted; Linux bounds it by ``net.core.somaxconn``."""


def open_listener(host: str, port: int) -> socket.socket:
    """Return a socket that listens on ``host:port``; port 0 takes a free one. Raises OSError."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
