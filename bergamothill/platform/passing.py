"""Encoding of requests that are passed to another entry instance, and decoding of its answers."""

from __future__ import annotations

from dataclasses import replace

from bergamothill.ids import RequestId
from bergamothill.platform.headers import connection_fields, decode_answer
from bergamothill.request.callerrequest import CallerRequest, Header, ResponseHead

__all__ = ["MAX_ADDED_BYTES", "PASS_REFUSED", "decode_passed_answer", "encode_passed"]

PASS_REFUSED = b"Bergamothill-Pass-Refused"
"""Field of a refusal by an instance that cannot help; it goes to no caller."""

MAX_ADDED_BYTES = 256
"""By how much the head of a request may grow."""

_REPLACED_FIELDS = frozenset((b"x-deadline-milliseconds",))


def encode_passed(request: CallerRequest, time_left_ms: int) -> list[bytes]:
    """Encode a request with the fields of its caller, in pieces.

    :param request: caller's request
    :param time_left_ms: time until the caller needs an answer
    """
    raw = request.raw
    dropped = connection_fields(raw.headers) | _REPLACED_FIELDS
    lines = [b"%s %s HTTP/1.1" % (raw.method, raw.target)]
    lines.extend(b"%s: %s" % (n, v) for n, v in raw.headers if n.lower() not in dropped)
    lines.append(b"X-Deadline-Milliseconds: %d" % max(1, time_left_ms))
    if raw.body or raw.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(raw.body))
    lines.append(b"Connection: close")
    return [b"\r\n".join(lines) + b"\r\n\r\n", *raw.body.blocks()]


def decode_passed_answer(request_id: RequestId, status: int, headers: list[Header]) -> ResponseHead:
    """Decode the head of an answer that came through another instance.

    An answer without the signature of a server is the instance's own, and has no id. It is passed
    on like that of a server, except for a refusal of an instance that cannot help.

    :param request_id: id of the request
    :param status: HTTP status
    :param headers: header fields in the order received
    """
    head = decode_answer(status, headers)
    if head.has_server_signature:
        return replace(head, is_not_executed=False)
    is_refused = any(name.lower() == PASS_REFUSED.lower() for name, _ in headers)
    return replace(head, request_id=request_id, is_not_executed=status == 503 and is_refused)
