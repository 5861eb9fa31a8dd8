"""The kernel's buffer of what a caller has still to read: its size, and its end."""

from __future__ import annotations

import asyncio
import contextlib
import socket

__all__ = ["end_output", "enlarge_send_buffer"]

SEND_BUFFER_BYTES = 1_048_576
"""Requested size; the kernel grants up to its own limit."""

USUAL_MAX_BYTES = 425_984
"""What kernels grant by default. A buffer that has grown beyond it could only become smaller."""


def enlarge_send_buffer(transport: asyncio.WriteTransport) -> None:
    """Let the kernel take what waits in a transport, as its peer does not keep up."""
    if not transport.get_write_buffer_size():
        return
    with contextlib.suppress(OSError):
        sock = transport.get_extra_info("socket")
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) < USUAL_MAX_BYTES:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def end_output(transport: asyncio.WriteTransport) -> None:
    """Close the sending side once all was sent; the connection ends if its peer has gone."""
    try:
        transport.write_eof()
    except OSError:
        transport.abort()
