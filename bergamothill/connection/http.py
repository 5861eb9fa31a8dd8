"""HTTP client over ``pycurl`` that tells a call that was not sent from one of unknown outcome."""

from __future__ import annotations

import json
import threading
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import pycurl

from bergamothill.connection.streamhub import STREAM_HUB
from bergamothill.errors import PeerTimeoutError, PeerUnreachableError, ProtocolError

__all__ = ["CONTROL_TRAFFIC", "HttpClient", "HttpReply", "Traffic", "decode_json"]

CONNECT_TIMEOUT_MS = 1_000
MAX_IDLE_HANDLES = 32

_NOT_SENT_CODES = frozenset({pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST})


class Traffic:
    """Bytes exchanged, counted over all clients of the process."""

    def __init__(self) -> None:
        self._total_bytes = 0
        self._lock = threading.Lock()

    @property
    def total_bytes(self) -> int:
        """Bytes sent and received so far, header fields included."""
        return self._total_bytes

    def add(self, size_bytes: int) -> None:
        """Count bytes."""
        with self._lock:
            self._total_bytes += size_bytes


CONTROL_TRAFFIC = Traffic()
"""Traffic of the exchanges over kept connections: all but runs, streams and calls to services."""


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Reply of an HTTP peer.

    :param status: HTTP status
    :param headers: header fields by lower-case name
    :param body: reply body; empty for a streamed reply of status 200
    """

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


def decode_json(reply: HttpReply, *, step: str, peer: str) -> Any:
    """Decode a JSON body.

    :param reply: reply to decode
    :param step: step for the error
    :param peer: peer for the error
    :raises ProtocolError: the body is no JSON
    """
    try:
        return json.loads(reply.body)
    except ValueError as error:
        raise ProtocolError(f"reply is no JSON: {error}", step=step, peer=peer) from error


class _Exchange:
    """Collects one reply; body chunks of status 200 go to ``on_chunk`` when there is one."""

    def __init__(self, on_chunk: Callable[[bytes], None] | None) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.chunks: list[bytes] = []
        self.failure: BaseException | None = None
        self._on_chunk = on_chunk

    def header_line(self, line: bytes) -> None:
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.status = int(text.split(" ", 2)[1])
            self.headers.clear()
            return
        name, separator, value = text.partition(":")
        if separator:
            self.headers[name.strip().lower()] = value.strip()

    def body_chunk(self, chunk: bytes) -> int | None:
        if self._on_chunk is None or self.status != 200:
            self.chunks.append(chunk)
            return None
        try:
            self._on_chunk(chunk)
        except BaseException as error:  # noqa: BLE001 - a pycurl callback must not raise
            self.failure = error
            return -1
        return None


class HttpClient:
    """Client of one peer with a small pool of kept-alive connections.

    :param peer: name of the peer, for errors
    :param address: ``host:port`` of the peer
    """

    def __init__(self, peer: str, address: str) -> None:
        self.peer = peer
        self.address = address
        self._idle: deque[pycurl.Curl] = deque()
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
        fresh: bool = False,
    ) -> HttpReply:
        """Send one request and read the whole reply.

        :param method: HTTP method
        :param path: path and query, with a leading slash
        :param step: step for errors
        :param timeout_ms: longest duration of the exchange, in milliseconds
        :param body: request body
        :param headers: request header fields
        :param fresh: use a new connection and close it; without it libcurl may send again on a new
            connection when a kept one turns out dead
        :raises PeerUnreachableError: no connection could be opened; nothing was sent
        :raises PeerTimeoutError: the exchange failed later; the outcome is unknown
        """
        exchange = _Exchange(None)
        curl = self._prepare(method, path, body, headers, fresh, exchange)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, timeout_ms))
        self._perform(curl, exchange, step, fresh)
        return HttpReply(exchange.status, exchange.headers, b"".join(exchange.chunks))

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
        """Send one request on a fresh connection and hand on the reply's body as it arrives.

        An exception raised by ``on_chunk`` closes the connection and passes on unchanged.
        ``on_chunk`` runs in the thread that reads all streams and must not block.

        :param on_chunk: receives the body's chunks of a reply with status 200
        :param idle_timeout_ms: longest silence, in milliseconds; noticed up to 250 ms late
        :returns: the reply; its body holds the chunks when the status was not 200
        :raises PeerUnreachableError: no connection could be opened; nothing was sent
        :raises PeerTimeoutError: the exchange failed or fell silent later
        """
        exchange = _Exchange(on_chunk)
        curl = self._prepare(method, path, body, headers, True, exchange)
        perform = partial(STREAM_HUB.perform, idle_timeout_ms=idle_timeout_ms)
        self._perform(curl, exchange, step, True, perform)
        return HttpReply(exchange.status, exchange.headers, b"".join(exchange.chunks))

    def close(self) -> None:
        """Close the kept connections."""
        with self._lock:
            idle = list(self._idle)
            self._idle.clear()
        for curl in idle:
            curl.close()

    def _prepare(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str] | None,
        fresh: bool,
        exchange: _Exchange,
    ) -> pycurl.Curl:
        curl = pycurl.Curl() if fresh else self._take()
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
        if fresh:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.HEADERFUNCTION, exchange.header_line)
        curl.setopt(pycurl.WRITEFUNCTION, exchange.body_chunk)
        return curl

    def _perform(
        self,
        curl: pycurl.Curl,
        exchange: _Exchange,
        step: str,
        fresh: bool,
        perform: Callable[[pycurl.Curl], None] = pycurl.Curl.perform,
    ) -> None:
        try:
            perform(curl)
        except pycurl.error as error:
            sent = curl.getinfo(pycurl.CONNECT_TIME) > 0 or curl.getinfo(pycurl.REQUEST_SIZE) > 0
            curl.close()
            if exchange.failure is not None:
                raise exchange.failure from None
            raise self._error(error, step, sent) from None
        self._give_back(curl, fresh)

    def _error(
        self, error: pycurl.error, step: str, sent: bool
    ) -> PeerUnreachableError | PeerTimeoutError:
        code, text = error.args[0], str(error.args[1])
        if code in _NOT_SENT_CODES or not sent:
            return PeerUnreachableError(text, step=step, peer=self.peer)
        return PeerTimeoutError(text, step=step, peer=self.peer)

    def _take(self) -> pycurl.Curl:
        with self._lock:
            if self._idle:
                return self._idle.pop()
        return pycurl.Curl()

    def _give_back(self, curl: pycurl.Curl, fresh: bool) -> None:
        if fresh:
            curl.close()
            return
        received = curl.getinfo(pycurl.HEADER_SIZE) + curl.getinfo(pycurl.SIZE_DOWNLOAD)
        sent = curl.getinfo(pycurl.REQUEST_SIZE) + curl.getinfo(pycurl.SIZE_UPLOAD)
        CONTROL_TRAFFIC.add(int(received + sent))
        curl.reset()
        with self._lock:
            if len(self._idle) < MAX_IDLE_HANDLES:
                self._idle.append(curl)
                return
        curl.close()
