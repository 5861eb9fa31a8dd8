"""Options and state of TCP sockets that asyncio's transports don't offer."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

__all__ = ["set_user_timeout", "unacknowledged_bytes"]


def set_user_timeout(sock: socket.socket, timeout_ms: int) -> None:
    """Limit the time without progress of written bytes, where the platform can.

    :param sock: connected socket
    :param timeout_ms: limit in milliseconds; 0 for the kernel's own
    """
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if option is not None:
        sock.setsockopt(socket.IPPROTO_TCP, option, timeout_ms)


def unacknowledged_bytes(sock: socket.socket) -> int | None:
    """Return how many written bytes the peer's machine has not acknowledged; None if not known."""
    try:
        found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * struct.calcsize("i"))
    except OSError:
        return None
    return struct.unpack("i", found)[0]
