"""Decoding and encoding of the header fields of requests and answers."""

from __future__ import annotations

import math
import re

from bergamothill.errors import InvalidRequestError
from bergamothill.ids import ModelName, RequestId
from bergamothill.platform.fields import log_ignored_value
from bergamothill.request.callerrequest import (
    CallerRequest,
    ForwardTerms,
    Header,
    PromptPart,
    RawRequest,
    RequestLimit,
    ResponseHead,
)

__all__ = [
    "connection_fields",
    "decode_answer",
    "decode_request",
    "encode_forward",
    "says_leaving",
]

MS_PER_S = 1_000
MAX_COUNT_DIGITS = 9
MAX_PAUSE_DIGITS = 20
MAX_LIMIT_CHARACTERS = 40
MAX_COLD_MS = 3_600_000

_LIMIT_PATTERN = re.compile(r"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]+)?|\.[0-9]+([eE][+-]?[0-9]+)?")

_STEP = "request.decode"

# Not forwarded: hop-by-hop fields, and Content-Length and Expect, which belong to one exchange.
_HOP_BY_HOP_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)

_RESERVED_FIELDS = frozenset(
    (
        b"authorization",
        b"x-deadline-milliseconds",
        b"x-tenant",
        b"x-cache-salt",
        b"x-expected-instance",
        b"x-expected-version",
        b"x-request-urgency",
        b"x-kv-fetch-source",
        b"x-kv-save-target",
        b"x-kv-until",
        b"x-kv-backup",
        b"kv-from",
        b"x-hold",
        b"x-pin-milliseconds",
        b"x-not-executed",
    )
)
"""Set only by the system; these fields are removed from a caller's request."""


def decode_request(raw: RawRequest) -> CallerRequest:
    """Decode a caller's request.

    :param raw: request as read
    :raises InvalidRequestError: a singleton header field has two different values
    """
    first_values: dict[bytes, bytes] = {}
    for name, value in raw.headers:
        lower_name = name.lower()
        if (
            lower_name in first_values
            and lower_name in _SINGLETON_FIELDS
            and first_values[lower_name] != value
        ):
            raise InvalidRequestError(
                f"conflicting values of header field {lower_name.decode('latin-1')}", step=_STEP
            )
        first_values.setdefault(lower_name, value)
    dropped = connection_fields(raw.headers) | _RESERVED_FIELDS
    prompt_tokens, max_output_tokens = _parse_token_counts(first_values.get(b"x-token-counts"))
    model = first_values.get(b"x-model")
    return CallerRequest(
        raw=raw,
        request_id=RequestId(_decode_text(first_values.get(b"x-request-id"))),
        host=_decode_text(first_values.get(b"host")),
        key=_parse_bearer_key(first_values.get(b"authorization")),
        caller_timeout_ms=_parse_milliseconds(first_values.get(b"x-deadline-milliseconds")),
        model=None if model is None else ModelName(_decode_text(model)),
        parts=_parse_prompt_parts(first_values.get(b"x-prompt-prefix")),
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output_tokens,
        last_event_id=_decode_text(first_values.get(b"last-event-id")),
        resumes=RequestId(_decode_text(first_values.get(b"resumes"))),
        forwarded_headers=[(n, v) for n, v in raw.headers if n.lower() not in dropped],
    )


def decode_request_id(raw: RawRequest) -> RequestId:
    """Decode the id of a request; empty if it has none."""
    values = (value for name, value in raw.headers if name.lower() == b"x-request-id")
    return RequestId(_decode_text(next(values, None)))


def connection_fields(headers: list[Header]) -> frozenset[bytes]:
    """Return the lowercase names of the fields that concern only the connection of a request.

    A caller cannot remove a field that routing depends on by listing it in Connection.

    :param headers: header fields of the request
    """
    fields = set(_HOP_BY_HOP_FIELDS)
    for name, value in headers:
        if name.lower() == b"connection":
            fields.update(token.strip().lower() for token in value.split(b","))
    return frozenset(fields - _SINGLETON_FIELDS)


_SINGLETON_FIELDS = frozenset(
    (
        b"host",
        b"x-request-id",
        b"authorization",
        b"x-model",
        b"x-token-counts",
        b"x-prompt-prefix",
        b"x-deadline-milliseconds",
        b"last-event-id",
        b"resumes",
    )
)


def encode_forward(request: CallerRequest, terms: ForwardTerms) -> list[bytes]:
    """Encode the forwarded request to a backend server, head and body.

    :param request: caller's request
    :param terms: values of the fields that the system sets
    :returns: the request in pieces; the blocks of a large body are not copied
    """
    raw = request.raw
    lines = [b"%s %s HTTP/1.1" % (raw.method, raw.target)]
    is_resumed = bool(terms.last_event_id)
    for name, value in request.forwarded_headers:
        if is_resumed and name.lower() == b"last-event-id":
            continue
        lines.append(b"%s: %s" % (name, value))
    lines.extend(f"{name}: {value}".encode() for name, value in _forward_fields(terms))
    if is_resumed:
        lines.append(b"Last-Event-Id: " + terms.last_event_id.encode("latin-1"))
    if raw.body or raw.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(raw.body))
    if terms.closes_connection:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    blocks = raw.body.blocks()
    return [head, *blocks] if len(blocks) > 1 else [head + b"".join(blocks)]


def _forward_fields(terms: ForwardTerms) -> list[tuple[str, object]]:
    fields: list[tuple[str, object]] = [
        ("X-Deadline-Milliseconds", max(1, terms.time_left_ms)),
        ("X-Expected-Instance", terms.server),
    ]
    if terms.brand is not None:
        fields.append(("X-Tenant", terms.brand))
    if terms.urgency is not None:
        fields.append(("X-Request-Urgency", terms.urgency))
    if terms.weight_version is not None:
        fields.append(("X-Expected-Version", terms.weight_version))
    if terms.cache_salt:
        fields.append(("X-Cache-Salt", terms.cache_salt))
    if any(terms.fetch_from):
        fields.append(("X-Kv-Fetch-Source", _join_addresses(terms.fetch_from)))
    if terms.fetch_until_ms:
        fields.append(("X-Kv-Until", terms.fetch_until_ms))
    if any(terms.save_to):
        fields.append(("X-Kv-Save-Target", _join_addresses(terms.save_to)))
    return fields


def _join_addresses(addresses: tuple[str, ...]) -> str:
    return ",".join(address or "-" for address in addresses)


def decode_answer(status: int, headers: list[Header]) -> ResponseHead:
    """Decode the head of an answer.

    :param status: HTTP status
    :param headers: header fields in the order received
    """
    first_values: dict[bytes, bytes] = {}
    for name, value in headers:
        first_values.setdefault(name.lower(), value)
    versions = _decode_text(first_values.get(b"x-weight-versions"))
    dropped = {token.strip().lower() for token in first_values.get(b"connection", b"").split(b",")}
    dropped |= _HOP_BY_HOP_FIELDS
    return ResponseHead(
        status=status,
        request_id=RequestId(_decode_text(first_values.get(b"x-request-id"))),
        has_server_signature=b"x-server-signature" in first_values,
        is_not_executed=b"x-not-executed" in first_values or status == 421,
        weight_version=_parse_count(versions),
        instance=_decode_text(first_values.get(b"x-instance-id")),
        headers=[(n, v) for n, v in headers if n.lower() not in dropped],
        is_leaving=says_leaving(first_values.get(b"server-leaving")),
        quiet_ms=_parse_pause(first_values.get(b"retry-after")) if status == 503 else None,
        limit=_parse_limit([v for n, v in headers if n.lower() == b"server-limit"]),
        cold_ms=_parse_cold([v for n, v in headers if n.lower() == b"x-cold-milliseconds"]),
    )


def says_leaving(value: bytes | None) -> bool:
    """Return whether a value of the field ``Server-Leaving`` says that the server is leaving."""
    return value is not None and value.strip() == b"1"


def _parse_pause(value: bytes | None) -> int | None:
    """Return the milliseconds of a pause given in seconds; None if it is missing or malformed."""
    text = _decode_text(value)
    whole, point, fraction = text.partition(".")
    is_number = whole.isdecimal() and (not point or fraction.isdecimal()) and text.isascii()
    if not is_number or len(text) > MAX_PAUSE_DIGITS:
        return None
    return math.ceil(float(text) * MS_PER_S) or None


def _parse_limit(values: list[bytes]) -> RequestLimit | None:
    """Return the lowest of the limits that an answer names; None if it names none."""
    if not values:
        return None
    texts = (text.strip() for value in values for text in value.decode("latin-1").split(","))
    limits = [limit for text in texts if (limit := _parse_rate(text)) is not None]
    return RequestLimit(min(limits, default=None))


def _parse_rate(text: str) -> float | None:
    if len(text) > MAX_LIMIT_CHARACTERS or not _LIMIT_PATTERN.fullmatch(text):
        return None
    rate = float(text)
    return rate if math.isfinite(rate) else None


def _parse_cold(values: list[bytes]) -> int | None:
    """Return the time for which a server will be cold; None if it is missing or implausible."""
    if not values:
        return None
    cold_ms = _parse_milliseconds(values[0])
    if len(values) == 1 and cold_ms is not None and cold_ms <= MAX_COLD_MS:
        return cold_ms
    log_ignored_value("X-Cold-Milliseconds", values)
    return None


def _decode_text(value: bytes | None) -> str:
    return "" if value is None else value.decode("latin-1").strip()


def _parse_bearer_key(value: bytes | None) -> str | None:
    scheme, _, key = _decode_text(value).partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None


def _parse_milliseconds(value: bytes | None) -> int | None:
    return _parse_count(_decode_text(value))


def _parse_count(text: str) -> int | None:
    return int(text) if text.isdecimal() and len(text) <= MAX_COUNT_DIGITS else None


def _parse_token_counts(value: bytes | None) -> tuple[int, int]:
    """Return the tokens of prompt and answer; 0 for a malformed value."""
    counts = [_parse_count(text.strip()) for text in _decode_text(value).split(",")]
    if len(counts) != 2 or None in counts:
        return (0, 0)
    return (counts[0], counts[1])


def _parse_prompt_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; none for a malformed value, which only prevents reuse."""
    parts = []
    for entry in _decode_text(value).split(","):
        name, separator, digits = entry.strip().partition(":")
        tokens = _parse_count(digits)
        if not separator or tokens is None:
            return ()
        parts.append(PromptPart(name, tokens))
    return tuple(parts)
