"""Parser of the requests of one connection, which judges them while they arrive.

A request is rejected as soon as its parsed parts exceed a limit, and nothing of it is kept then.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

import httptools

from bergamothill.request.blockbody import BlockBody
from bergamothill.request.callerrequest import Header, RawRequest
from bergamothill.version.routetable import CallerLimits

__all__ = ["ParsedRequest", "ReceiveProgress", "RequestParser", "RequestSink"]

MAX_BODY_FRAMING_BYTES = 16_384
"""Maximum size of the chunk headers of a request with an empty body."""

FIELD_BYTES = 256
"""Memory of a header field beside its text: two strings, their pair, and copies of both."""

REQUEST_BYTES = 1_024
"""Memory of a request beside its target, fields and body."""

MAX_BODY_FRAMING_RATIO = 8
"""Framing allowed for each byte of a body; a chunk of one byte has five bytes of framing."""


class ParsedRequest(NamedTuple):
    """Complete request of a connection.

    :param request: request as read; None if it is to be refused, as there is no room for it
    :param memory_bytes: memory that it takes
    :param keep_alive: whether the caller lets the connection stay open
    """

    request: RawRequest | None
    memory_bytes: int
    keep_alive: bool


class ReceiveProgress(NamedTuple):
    """Progress of a request that is being received.

    :param body_bytes: size of its body so far
    :param framing_bytes: size of the chunk headers
    """

    body_bytes: int
    framing_bytes: int


class RequestSink(Protocol):
    """Receives the requests of a connection."""

    def on_request_begin(self) -> int:
        """Handle the first byte of a request; return its arrival time in milliseconds."""

    def on_request_head(self, body_bytes: int, *, expects_continue: bool) -> int:
        """Handle the end of a request head that is within the limits.

        :param body_bytes: length of the body; 0 if it is not known
        :param expects_continue: whether the caller waits before it sends the body
        :returns: status to refuse the request with; 0 to receive the body
        """

    def on_request(self, request: ParsedRequest) -> None:
        """Handle a complete request."""


class RequestParser:
    """Parses requests and checks them against the limits of the configuration.

    :param sink: receives the requests
    :param limits: returns the limits in force
    """

    def __init__(self, sink: RequestSink, limits: Callable[[], CallerLimits]) -> None:
        self._sink = sink
        self._limits = limits
        # Refers to this object, until it is released.
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self.is_receiving = False
        """Whether a request has begun and is not complete."""

        self.head_received = False
        """Whether its head is complete."""

        self._target = b""
        self._headers: list[Header] = []
        self._body = BlockBody()
        self._head_bytes = 0
        self._field_bytes = 0
        self._framing_bytes = 0
        self._error_status = 0
        self._arrived_ms = 0

    @property
    def body_bytes(self) -> int:
        """Size of the body received so far."""
        return len(self._body)

    @property
    def progress(self) -> ReceiveProgress:
        """What was received of the body so far."""
        body_bytes = len(self._body)
        framing_bytes = max(0, self._framing_bytes + MAX_BODY_FRAMING_RATIO * body_bytes)
        return ReceiveProgress(body_bytes, framing_bytes)

    @property
    def memory_bytes(self) -> int:
        """Memory that the request received so far takes; 0 if there is none."""
        if not self.is_receiving:
            return 0
        fields = self._field_bytes + FIELD_BYTES * len(self._headers)
        # Until the head is complete, a part of what was received is kept by the parser as well.
        unparsed = 0 if self.head_received else self._head_bytes
        text = len(self._target) + unparsed
        return REQUEST_BYTES + text + fields + self._body.memory_bytes

    def release(self) -> None:
        """Discard what was received; nothing is parsed from now on."""
        self._parser = None
        if self.is_receiving:
            self._reset()

    def feed(self, data: bytes | memoryview) -> int:
        """Parse received bytes.

        :param data: next bytes of the connection
        :returns: status to reject the request with; 0 if it is within the limits so far
        """
        if self._parser is None:
            return 0
        if self.head_received:
            self._framing_bytes += len(data)
        else:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The offer is ignored, but what follows may be in the other protocol.
            return 400
        except httptools.HttpParserError:
            return self._error_status or 400
        if not self.head_received and self._head_bytes > self._limits().header_bytes:
            return 431
        return 400 if self._framing_bytes > MAX_BODY_FRAMING_BYTES else 0

    # Events of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self.is_receiving = True
        self._head_bytes = 0
        self._max_header_bytes = self._limits().header_bytes
        self._arrived_ms = self._sink.on_request_begin()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; reject malformed fields, too many of them, and trailers."""
        if self.head_received:
            self._reject(400, "trailer fields are not supported")
        if not name or name[-1:].isspace() or b"\n" in value or b"\r" in value or b"\0" in value:
            self._reject(400, "malformed header field")
        self._field_bytes += len(name) + len(value) + 4
        if self._field_bytes > self._max_header_bytes:
            self._reject(431, "request head is too large")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the limits of the request head."""
        self.head_received = True
        limits = self._limits()
        if len(self._target) + self._field_bytes > limits.header_bytes:
            self._reject(431, "request head is too large")
        body_bytes, expects_continue = 0, False
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"content-length":
                body_bytes = int(value)
                if body_bytes > limits.body_bytes:
                    self._reject(413, "request body is too large")
            if lower == b"expect" and value.lower() == b"100-continue":
                expects_continue = True
        status = self._sink.on_request_head(body_bytes, expects_continue=expects_continue)
        if status:
            self._reject(status, "request is refused")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._framing_bytes -= (1 + MAX_BODY_FRAMING_RATIO) * len(body)
        if len(self._body) + len(body) > self._limits().body_bytes:
            self._reject(413, "request body is too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Pass the request on."""
        request = RawRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=self._body,
            arrived_ms=self._arrived_ms,
        )
        keep_alive = self._parser.should_keep_alive()
        parsed = ParsedRequest(request, self.memory_bytes, keep_alive)
        self._reset()
        self._sink.on_request(parsed)

    def _reject(self, status: int, reason: str) -> None:
        self._error_status = status
        raise ValueError(reason)
