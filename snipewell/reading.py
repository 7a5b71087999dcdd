"""Reads from sockets on which data rarely waits already."""

from __future__ import annotations

import errno

import curio.io
from curio.traps import _read_wait


async def read_when_ready(sock: curio.io.Socket, max_bytes: int) -> bytes:
    """Wait for data on ``sock`` and return up to ``max_bytes``; empty at the end of the stream.

    curio's own ``recv`` first tries to read, which costs a system call that fails whenever the
    reader is ahead of its peer. Raise OSError if the connection failed.
    """
    if sock._socket is None:
        raise OSError(errno.EBADF, "the socket was closed")
    await _read_wait(sock._fileno)
    return bytes(await sock.recv(max_bytes))
