"""Listening sockets, opened before the other modules of a daemon are imported.

The import takes a few hundred milliseconds. Connections that arrive meanwhile wait in the kernel's
accept queue; without a listening socket they would be reset.
"""

from __future__ import annotations

import socket

BACKLOG = 1_024
"""Length of the accept queue in connections; Linux caps it at ``net.core.somaxconn``."""


def open_listener(host: str, port: int) -> socket.socket:
    """Return a socket listening on ``host:port``; port 0 picks a free port. Raises OSError."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
