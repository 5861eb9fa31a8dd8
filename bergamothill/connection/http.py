"""HTTP client based on ``pycurl`` that distinguishes unsent requests from unknown outcomes."""

from __future__ import annotations

import json
import select
import threading
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import pycurl

from bergamothill.connection.boundedjson import load_json
from bergamothill.connection.brokenhead import has_status_line
from bergamothill.connection.streamhub import STREAM_HUB
from bergamothill.errors import PeerTimeoutError, PeerUnreachableError, ProtocolError

__all__ = ["CONTROL_TRAFFIC", "HttpClient", "HttpReply", "TrafficCounter", "decode_json"]

CONNECT_TIMEOUT_MS = 1_000
MAX_IDLE_HANDLES = 32

MAX_REPLY_BYTES = 16_777_216
"""Largest body that is collected by default; libcurl bounds the size of heads and trailers."""

_NOT_SENT_CODES = frozenset({pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST})


class TrafficCounter:
    """Thread-safe counter of bytes sent and received."""

    def __init__(self) -> None:
        self._total_bytes = 0
        self._lock = threading.Lock()

    @property
    def total_bytes(self) -> int:
        """Bytes sent and received so far, including header fields."""
        return self._total_bytes

    def add(self, size_bytes: int) -> None:
        """Add bytes to the total."""
        with self._lock:
            self._total_bytes += size_bytes


CONTROL_TRAFFIC = TrafficCounter()
"""Traffic of completed requests; streams and requests on new connections are not counted."""


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Reply of an HTTP peer.

    :param status: HTTP status
    :param headers: header fields by lowercase name
    :param body: reply body; empty for a streamed reply of status 200
    """

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


def decode_json(reply: HttpReply, *, step: str, peer: str) -> Any:
    """Decode a JSON body.

    :param reply: reply to decode
    :param step: step to name in the error
    :param peer: peer to name in the error
    :raises ProtocolError: the body is not valid JSON
    """
    try:
        return load_json(reply.body)
    except (ValueError, RecursionError) as error:
        raise ProtocolError(f"reply is not valid JSON: {error}", step=step, peer=peer) from error


class _ReplyCollector:
    """Collects one reply; with ``on_chunk``, the body of a status 200 reply is passed to it."""

    def __init__(
        self, on_chunk: Callable[[bytes], None] | None, max_body_bytes: int = MAX_REPLY_BYTES
    ) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.callback_error: BaseException | None = None
        self._is_head_whole = False
        self._on_chunk = on_chunk
        self._max_body_bytes = max_body_bytes

    @property
    def is_too_large(self) -> bool:
        """Whether more was received than is collected."""
        return len(self.body) > self._max_body_bytes

    @property
    def is_head_whole(self) -> bool:
        """Whether the head of the final reply has ended; libcurl takes a close for its end."""
        return self._is_head_whole and self.status >= 200

    def on_header_line(self, line: bytes) -> int | None:
        if has_status_line(line[1:]):
            return -1
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.status = int(text.split(" ", 2)[1])
            self.headers.clear()
            self._is_head_whole = False
            return None
        self._is_head_whole |= line in (b"\r\n", b"\n")
        name, separator, value = text.partition(":")
        if separator:
            self.headers[name.strip().lower()] = value.strip()
        return None

    def on_body_chunk(self, chunk: bytes) -> int | None:
        if self._on_chunk is None or self.status != 200:
            self.body += chunk
            return -1 if self.is_too_large else None
        try:
            self._on_chunk(chunk)
        except BaseException as error:  # noqa: BLE001 - a pycurl callback must not raise
            self.callback_error = error
            return -1
        return None


class HttpClient:
    """HTTP client of one peer with a small pool of keep-alive connections.

    :param peer: name of the peer to use in errors
    :param address: ``host:port`` of the peer
    """

    def __init__(self, peer: str, address: str) -> None:
        self.peer = peer
        self.address = address
        self._idle: deque[tuple[pycurl.Curl, int]] = deque()
        self._lock = threading.Lock()

    def request(
        self,
        method: str,
        path: str,
        *,
        step: str,
        timeout_ms: int,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        new_connection: bool = False,
        max_body_bytes: int = MAX_REPLY_BYTES,
    ) -> HttpReply:
        """Send one request and return the complete reply.

        :param method: HTTP method
        :param path: path and query, with a leading slash
        :param step: step to name in errors
        :param timeout_ms: maximum duration of the exchange, in milliseconds
        :param body: request body
        :param headers: request header fields
        :param new_connection: use a new connection and close it afterwards; otherwise libcurl may
            resend the request on a new connection if a pooled one turns out to be closed
        :param max_body_bytes: largest body of a reply; the exchange fails beyond it
        :raises PeerUnreachableError: no connection could be opened; nothing was sent
        :raises PeerTimeoutError: the exchange failed afterwards; the outcome is unknown
        """
        collector = _ReplyCollector(None, max_body_bytes)
        curl = self._prepare(method, path, body, headers, new_connection, collector)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, timeout_ms))
        self._perform(curl, collector, step, new_connection)
        return HttpReply(collector.status, collector.headers, bytes(collector.body))

    def request_json(
        self, method: str, path: str, *, step: str, timeout_ms: int, body: Any = None
    ) -> HttpReply:
        """Send a request with a JSON body; see :meth:`request`."""
        encoded = None if body is None else json.dumps(body).encode()
        headers = {"Content-Type": "application/json"}
        return self.request(
            method, path, step=step, timeout_ms=timeout_ms, body=encoded, headers=headers
        )

    def stream(
        self,
        method: str,
        path: str,
        *,
        step: str,
        on_chunk: Callable[[bytes], None],
        idle_timeout_ms: int,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpReply:
        """Send one request on a new connection and stream the body of the reply to a callback.

        An exception raised by ``on_chunk`` closes the connection and is re-raised unchanged.
        ``on_chunk`` runs in the thread that reads all streams and must not block.

        :param on_chunk: called with each chunk of the body of a status 200 reply
        :param idle_timeout_ms: longest time without data, in ms; detected up to 250 ms late
        :returns: the reply; its body is filled only when the status is not 200
        :raises PeerUnreachableError: no connection could be opened; nothing was sent
        :raises PeerTimeoutError: the exchange failed or became idle afterwards
        """
        collector = _ReplyCollector(on_chunk)
        curl = self._prepare(method, path, body, headers, True, collector)
        perform = partial(STREAM_HUB.perform, idle_timeout_ms=idle_timeout_ms)
        self._perform(curl, collector, step, True, perform)
        return HttpReply(collector.status, collector.headers, bytes(collector.body))

    def close(self) -> None:
        """Close the pooled connections."""
        with self._lock:
            idle = list(self._idle)
            self._idle.clear()
        for curl, _ in idle:
            curl.close()

    def _prepare(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str] | None,
        new_connection: bool,
        collector: _ReplyCollector,
    ) -> pycurl.Curl:
        curl = pycurl.Curl() if new_connection else self._acquire_handle()
        curl.setopt(pycurl.URL, f"http://{self.address}{path}")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        fields = [f"{name}: {value}" for name, value in (headers or {}).items()]
        fields.append("Expect:")
        curl.setopt(pycurl.HTTPHEADER, fields)
        if body is not None:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, body)
        if method == "HEAD":
            curl.setopt(pycurl.NOBODY, 1)
        if new_connection:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.HEADERFUNCTION, collector.on_header_line)
        curl.setopt(pycurl.WRITEFUNCTION, collector.on_body_chunk)
        return curl

    def _perform(
        self,
        curl: pycurl.Curl,
        collector: _ReplyCollector,
        step: str,
        new_connection: bool,
        perform: Callable[[pycurl.Curl], None] = pycurl.Curl.perform,
    ) -> None:
        try:
            perform(curl)
        except pycurl.error as error:
            sent = curl.getinfo(pycurl.CONNECT_TIME) > 0 or curl.getinfo(pycurl.REQUEST_SIZE) > 0
            curl.close()
            if collector.callback_error is not None:
                raise collector.callback_error from None
            if collector.is_too_large:
                raise PeerTimeoutError("reply is too large", step=step, peer=self.peer) from None
            raise self._error(error, step, sent) from None
        if not collector.is_head_whole:
            curl.close()
            raise PeerTimeoutError("head of the reply broke off", step=step, peer=self.peer)
        self._release_handle(curl, new_connection)

    def _error(
        self, error: pycurl.error, step: str, sent: bool
    ) -> PeerUnreachableError | PeerTimeoutError:
        code, text = error.args[0], str(error.args[1])
        if code in _NOT_SENT_CODES or not sent:
            return PeerUnreachableError(text, step=step, peer=self.peer)
        return PeerTimeoutError(text, step=step, peer=self.peer)

    def _acquire_handle(self) -> pycurl.Curl:
        while True:
            with self._lock:
                if not self._idle:
                    return pycurl.Curl()
                curl, descriptor = self._idle.pop()
            if not _has_input(descriptor):
                return curl
            # libcurl would take a second copy of an earlier reply for the reply to the next call.
            curl.close()

    def _release_handle(self, curl: pycurl.Curl, new_connection: bool) -> None:
        if new_connection:
            curl.close()
            return
        received = curl.getinfo(pycurl.HEADER_SIZE) + curl.getinfo(pycurl.SIZE_DOWNLOAD)
        sent = curl.getinfo(pycurl.REQUEST_SIZE) + curl.getinfo(pycurl.SIZE_UPLOAD)
        CONTROL_TRAFFIC.add(int(received + sent))
        descriptor = curl.getinfo(pycurl.ACTIVESOCKET)
        curl.reset()
        with self._lock:
            if len(self._idle) < MAX_IDLE_HANDLES:
                self._idle.append((curl, descriptor))
                return
        curl.close()


def _has_input(descriptor: int) -> bool:
    """Return whether bytes, or the end, of a connection have arrived that nobody asked for.

    :param descriptor: socket of an idle connection; -1 if it was closed
    """
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))
