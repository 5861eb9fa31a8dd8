"""Asking a backend server which incarnation answers at its address, or whether any does."""

from __future__ import annotations

from bergamothill.connection.pollconnection import PollReply
from bergamothill.errors import ProtocolError
from bergamothill.ids import ServerId
from bergamothill.platform.fields import Fields

__all__ = [
    "NO_START",
    "OTHER_SERVER",
    "decode_start",
    "encode_health_check",
    "encode_start_query",
]

NO_START = 0
"""Start of a server whose reports do not name it."""

OTHER_SERVER = -1
"""Stands for the start when a server with another id answers."""

_STEP = "server.identify"


def encode_start_query(address: str, server: ServerId) -> bytes:
    """Encode the question.

    :param address: ``host:port`` of the server
    :param server: id that it is expected to have
    """
    return (
        f"GET /report HTTP/1.1\r\nHost: {address}\r\nX-Expected-Instance: {server}\r\n\r\n"
    ).encode()


def encode_health_check(address: str, path: str) -> bytes:
    """Encode a health check.

    :param address: ``host:port`` of the server
    :param path: path of the health checks of its service
    """
    return f"GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode()


def decode_start(reply: PollReply, server: ServerId) -> int:
    """Return the start of the incarnation that replied, in milliseconds since the epoch.

    :param reply: reply of a server
    :param server: id that it is expected to have
    :returns: ``NO_START`` if the report does not name it, ``OTHER_SERVER`` if another server
        replied
    :raises ProtocolError: the reply is not a valid report
    """
    instance = reply.headers.get(b"x-instance-id")
    if reply.status == 421 or (instance and instance.decode("latin-1").strip() != server):
        return OTHER_SERVER
    if reply.status != 200:
        raise ProtocolError(f"unexpected status {reply.status}", step=_STEP)
    start_ms = Fields.from_json(reply.body, step=_STEP).bounded_integer("born", NO_START)
    if start_ms < 0:
        raise ProtocolError(f"start is negative: {start_ms}", step=_STEP)
    return start_ms
