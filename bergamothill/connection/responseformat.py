"""Encoding of responses to callers."""

from __future__ import annotations

import random

from bergamothill.clock import ms_to_seconds
from bergamothill.request.callerrequest import Header

__all__ = ["encode_chunk", "encode_head", "spread_retry_after"]

_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def encode_head(status: int, headers: list[Header], framing: bytes, *, keep_alive: bool) -> bytes:
    """Encode a response head.

    :param status: HTTP status
    :param headers: header fields, without those about the connection and the body's length
    :param framing: header field that frames the body; empty for none
    :param keep_alive: whether the connection stays open
    """
    lines = [b"HTTP/1.1 %d %s" % (status, _REASONS.get(status, b"Status"))]
    lines.extend(b"%s: %s" % header for header in headers)
    if not keep_alive:
        lines.append(b"Connection: close")
    if framing:
        lines.append(framing)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_chunk(piece: bytes) -> bytes:
    """Encode a chunk of a body; the end of the body is not encoded."""
    return b"%x\r\n%s\r\n" % (len(piece), piece) if piece else b""


def spread_retry_after(min_ms: int) -> Header:
    """Return the field that tells a caller when to come back, spread so that not all come at once.

    :param min_ms: shortest time until then; the longest is nearly twice as long
    """
    wait_ms = min_ms + random.randrange(min_ms)
    return (b"Retry-After", b"%.3f" % ms_to_seconds(wait_ms))
