"""Stand-in for a model engine of the users' platform, registered in the store stand-in.

An engine that begins an answer on a crashing part, or runs a request on a crashing path, ends as a
process does: all of its connections are reset, and it refuses new ones until it is back, under a
new id unless it keeps its own. With no events in its answers it stands for a server of a plain
service.
"""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time
from dataclasses import dataclass

from bergamothill.connection.kvs import ABSENT, KeyValueService
from standins.base import HOST, reset_connection

__all__ = ["EngineArrival", "PlatformEngineStandIn"]

CRASH_DELAY_S = 0.05
EVENT_INTERVAL_S = 0.03
EVENTS_POLL_S = 0.5
MAX_HEAD_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class EngineArrival:
    """Request that reached an engine.

    :param request_id: id of the request
    :param path: its path
    :param parts: names of the parts of its prompt
    :param at_s: monotonic time of its arrival
    :param last_event_id: last event that its sender has; empty for a new answer
    :param version: version of the engine's software
    """

    request_id: str
    path: str
    parts: tuple[str, ...]
    at_s: float
    last_event_id: str
    version: str


@dataclass(frozen=True, slots=True)
class _Incarnation:
    server: str
    version: str
    number: int
    born_ms: int
    listener: socket.socket


class PlatformEngineStandIn:
    """One engine, through all of its incarnations.

    :param kvs: service in which it registers
    :param name: prefix of its ids
    :param crashing_parts: names of the parts that end it
    :param crashing_paths: paths of the requests that end it
    :param service: service that it belongs to
    :param model: model that it serves
    :param zone: availability zone
    :param down_s: time from a crash to the next start
    :param events: number of events of an answer; 0 for a plain answer
    :param version: version of its software
    :param keeps_id: whether all of its incarnations have the same id and address
    """

    def __init__(
        self,
        kvs: KeyValueService,
        name: str,
        *,
        crashing_parts: frozenset[str] = frozenset(),
        crashing_paths: frozenset[str] = frozenset(),
        service: str = "llm",
        model: str = "m1",
        zone: str = "zone-a",
        down_s: float = 1.0,
        events: int = 12,
        version: str = "v1",
        keeps_id: bool = False,
    ) -> None:
        self.version = version
        """Version of its software from its next start on."""

        self.limit_per_s: float | None = None
        """Requests a second that it takes from all instances together, as its answers say."""

        self.reads_bodies = False
        """Whether it reads the body of a request before it answers."""

        self.answer_bytes = 4
        """Size of a plain answer."""

        self.answer_delay_s = 0.0
        """Time from a request to its answer."""

        self.admits_event_readers = True
        self.reports = 0
        """Number of questions who it is."""

        self.arrivals: list[EngineArrival] = []
        self.crashes_s: list[float] = []
        self._kvs = kvs
        self._name = name
        self._crashing_parts = crashing_parts
        self._crashing_paths = crashing_paths
        self._entry = {"service": service, "zone": zone, "slots": 64}
        self._model = model
        self._down_s = down_s
        self._events = events
        self._lock = threading.Lock()
        self._keeps_id = keeps_id
        self._starts = 0
        self._born_ms = 0
        self._silent_until_s = 0.0
        self._is_stopped = False
        self._incarnation: _Incarnation | None = None
        self._connections: set[socket.socket] = set()
        # Keeps other processes from the port between two incarnations.
        self._reserved_port = socket.socket()
        self._reserved_port.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved_port.bind((HOST, 0))

    @property
    def server(self) -> str:
        """Id of its latest incarnation."""
        return f"{self._name}-{1 if self._keeps_id else self._starts}"

    def start(self) -> None:
        """Start a new incarnation and register it."""
        with self._lock:
            if self._is_stopped:
                return
            self._starts += 1
            self._born_ms = max(self._born_ms + 1, time.time_ns() // 1_000_000)
            port = self._reserved_port.getsockname()[1] if self._keeps_id else 0
            listener = socket.create_server((HOST, port), backlog=512)
            incarnation = _Incarnation(
                self.server, self.version, self._starts, self._born_ms, listener
            )
            self._incarnation = incarnation
            threading.Thread(target=self._accept, args=(incarnation,), daemon=True).start()
            entry = self._entry | {
                "address": f"{HOST}:{listener.getsockname()[1]}",
                "version": incarnation.version,
                "state": "ready",
                "born": self._born_ms,
                "models": self._models(),
                "sequenceNumber": 1,
            }
            key = f"servers/{incarnation.server}"
            self._kvs.put_if(key, json.dumps(entry).encode(), expected=ABSENT)

    def _models(self) -> list[dict[str, object]]:
        return [{"name": self._model, "version": 1, "adapters": []}] if self._events else []

    def stop(self) -> None:
        """Stop for good."""
        self._is_stopped = True
        self._end()
        with self._lock:
            self._reserved_port.close()

    def restart(self) -> None:
        """End the incarnation as a crash does, and start the next one at once."""
        self._end()
        self.start()

    def fall_silent(self, duration_s: float) -> None:
        """Send nothing on any connection for some time, then go on where it was."""
        self._silent_until_s = time.monotonic() + duration_s

    def _crash(self) -> None:
        if self._end():
            self.crashes_s.append(time.monotonic())
            timer = threading.Timer(self._down_s, self.start)
            timer.daemon = True
            timer.start()

    def _end(self) -> bool:
        with self._lock:
            incarnation, self._incarnation = self._incarnation, None
            if incarnation is None:
                return False
            incarnation.listener.shutdown(socket.SHUT_RDWR)
            incarnation.listener.close()
            for connection in self._connections:
                with contextlib.suppress(OSError):  # closed by its peer
                    reset_connection(connection)
            key = f"servers/{incarnation.server}"
            entry = self._kvs.get(key)
            if entry is not None:
                self._kvs.delete_if(key, expected=entry.mod_revision)
            return True

    def _accept(self, incarnation: _Incarnation) -> None:
        while True:
            try:
                connection, _ = incarnation.listener.accept()
            except OSError:
                return
            with self._lock:
                if incarnation is not self._incarnation:
                    connection.close()
                    return
                self._connections.add(connection)
            arguments = (connection, incarnation)
            threading.Thread(target=self._serve, args=arguments, daemon=True).start()

    def _serve(self, connection: socket.socket, incarnation: _Incarnation) -> None:
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            path, headers, body_bytes = _read_head(connection)
            if self.reads_bodies:
                _skip_body(connection, int(headers.get("content-length", 0)) - body_bytes)
            if path.startswith("/kv-events"):
                self._send_events(connection, incarnation)
            elif path == "/report":
                self._send_report(connection, incarnation)
            elif path:
                self._answer(connection, incarnation, path, headers)
        except OSError:
            pass  # the peer left, or this incarnation has ended
        finally:
            with self._lock:
                self._connections.discard(connection)
                connection.close()

    def _send(self, connection: socket.socket, data: bytes) -> None:
        while (wait_s := self._silent_until_s - time.monotonic()) > 0:
            time.sleep(wait_s)
        connection.sendall(data)

    def _send_events(self, connection: socket.socket, incarnation: _Incarnation) -> None:
        if not self.admits_event_readers:
            self._send(connection, b"HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n")
            return
        time.sleep(EVENTS_POLL_S)
        self._send_json(
            connection, {"epoch": incarnation.number, "next": 0, "lost": False, "events": []}
        )

    def _send_report(self, connection: socket.socket, incarnation: _Incarnation) -> None:
        self.reports += 1
        self._send_json(connection, {"models": self._models(), "born": incarnation.born_ms})

    def _send_json(self, connection: socket.socket, value: object) -> None:
        body = json.dumps(value).encode()
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body)
        self._send(connection, head + body)

    def _answer(
        self,
        connection: socket.socket,
        incarnation: _Incarnation,
        path: str,
        headers: dict[str, str],
    ) -> None:
        prefix = headers.get("x-prompt-prefix", "")
        parts = tuple(entry.partition(":")[0] for entry in prefix.split(",") if entry)
        request_id = headers.get("x-request-id", "")
        last_event_id = headers.get("last-event-id", "")
        version = incarnation.version
        self.arrivals.append(
            EngineArrival(request_id, path, parts, time.monotonic(), last_event_id, version)
        )
        time.sleep(CRASH_DELAY_S)
        if incarnation is not self._incarnation:
            return
        if path in self._crashing_paths or self._crashing_parts.intersection(parts[:-1]):
            self._crash()
            return
        limit_per_s = self.limit_per_s
        limit = "" if limit_per_s is None else f"Server-Limit: {limit_per_s:g}\r\n"
        head = b"HTTP/1.1 200 OK\r\nX-Server-Signature: sig\r\n"
        head += (
            f"{limit}X-Request-Id: {request_id}\r\nX-Instance-Id: {incarnation.server}\r\n".encode()
        )
        time.sleep(self.answer_delay_s)
        if not self._events:
            body = b"done".ljust(self.answer_bytes, b".")
            self._send(connection, head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
            return
        head += b"Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n"
        self._send(connection, head + b"Transfer-Encoding: chunked\r\n\r\n")
        first = int(last_event_id or 0)
        for number in range(first + 1, self._events + 1):
            event = b"id: %d\ndata: t%d %s\n\n" % (number, number, version.encode())
            self._send(connection, b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(EVENT_INTERVAL_S)
        self._send(connection, b"0\r\n\r\n")


def _skip_body(connection: socket.socket, size_bytes: int) -> None:
    """Read the rest of a body."""
    while size_bytes > 0 and (received := connection.recv(MAX_HEAD_BYTES)):
        size_bytes -= len(received)


def _read_head(connection: socket.socket) -> tuple[str, dict[str, str], int]:
    """Read a request head and the beginning of the body, whose size is returned as well.

    The path is empty if the peer closed the connection before the end of the head.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(MAX_HEAD_BYTES)
        if not received or len(data) > MAX_HEAD_BYTES:
            return "", {}, 0
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:])
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return lines[0].split(" ")[1], headers, len(body)
