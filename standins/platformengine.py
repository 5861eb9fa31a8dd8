"""Stand-in for a model engine of the users' platform, registered in the store stand-in.

An engine that begins an answer on a crashing part, or runs a request on a crashing path, ends as a
process does: all of its connections are reset, and it refuses new ones until it is back under a new
id. With no events in its answers it stands for a server of a plain service.
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
    """

    request_id: str
    path: str
    parts: tuple[str, ...]
    at_s: float


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
    ) -> None:
        self.limit_per_s: float | None = None
        """Requests a second that it takes from all instances together, as its answers say."""

        self.arrivals: list[EngineArrival] = []
        self.crashes_s: list[float] = []
        self._kvs = kvs
        self._name = name
        self._crashing_parts = crashing_parts
        self._crashing_paths = crashing_paths
        self._entry = {"service": service, "zone": zone, "version": "v1", "slots": 64}
        self._model = model
        self._down_s = down_s
        self._events = events
        self._lock = threading.Lock()
        self._starts = 0
        self._is_stopped = False
        self._listener: socket.socket | None = None
        self._connections: set[socket.socket] = set()
        self._server = ""

    def start(self) -> None:
        """Start a new incarnation and register it."""
        with self._lock:
            if self._is_stopped:
                return
            self._starts += 1
            self._server = f"{self._name}-{self._starts}"
            self._listener = socket.create_server((HOST, 0), backlog=512)
            threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()
            entry = self._entry | {
                "address": f"{HOST}:{self._listener.getsockname()[1]}",
                "state": "ready",
                "born": time.time_ns() // 1_000_000,
                "models": self._models(),
                "sequenceNumber": 1,
            }
            key = f"servers/{self._server}"
            self._kvs.put_if(key, json.dumps(entry).encode(), expected=ABSENT)

    def _models(self) -> list[dict[str, object]]:
        return [{"name": self._model, "version": 1, "adapters": []}] if self._events else []

    def stop(self) -> None:
        """Stop for good."""
        self._is_stopped = True
        self._end()

    def _crash(self) -> None:
        if self._end():
            self.crashes_s.append(time.monotonic())
            timer = threading.Timer(self._down_s, self.start)
            timer.daemon = True
            timer.start()

    def _end(self) -> bool:
        with self._lock:
            listener, self._listener = self._listener, None
            if listener is None:
                return False
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()
            for connection in self._connections:
                with contextlib.suppress(OSError):  # closed by its peer
                    reset_connection(connection)
            key = f"servers/{self._server}"
            entry = self._kvs.get(key)
            if entry is not None:
                self._kvs.delete_if(key, expected=entry.mod_revision)
            return True

    def _accept(self, listener: socket.socket) -> None:
        server = self._server
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                if listener is not self._listener:
                    connection.close()
                    return
                self._connections.add(connection)
            arguments = (connection, listener, server)
            threading.Thread(target=self._serve, args=arguments, daemon=True).start()

    def _serve(self, connection: socket.socket, listener: socket.socket, server: str) -> None:
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            path, headers = _read_head(connection)
            if path.startswith("/kv-events"):
                self._send_events(connection)
            elif path:
                self._answer(connection, listener, server, path, headers)
        except OSError:
            pass  # the peer left, or this incarnation has ended
        finally:
            with self._lock:
                self._connections.discard(connection)
                connection.close()

    def _send_events(self, connection: socket.socket) -> None:
        time.sleep(EVENTS_POLL_S)
        events = {"epoch": self._starts, "next": 0, "lost": False, "events": []}
        body = json.dumps(events).encode()
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body)
        connection.sendall(head + body)

    def _answer(
        self,
        connection: socket.socket,
        listener: socket.socket,
        server: str,
        path: str,
        headers: dict[str, str],
    ) -> None:
        prefix = headers.get("x-prompt-prefix", "")
        parts = tuple(entry.partition(":")[0] for entry in prefix.split(",") if entry)
        request_id = headers.get("x-request-id", "")
        self.arrivals.append(EngineArrival(request_id, path, parts, time.monotonic()))
        time.sleep(CRASH_DELAY_S)
        if listener is not self._listener:
            return
        if path in self._crashing_paths or self._crashing_parts.intersection(parts[:-1]):
            self._crash()
            return
        limit_per_s = self.limit_per_s
        limit = "" if limit_per_s is None else f"Server-Limit: {limit_per_s:g}\r\n"
        head = b"HTTP/1.1 200 OK\r\nX-Server-Signature: sig\r\n"
        head += f"{limit}X-Request-Id: {request_id}\r\nX-Instance-Id: {server}\r\n".encode()
        if not self._events:
            connection.sendall(head + b"Content-Length: 4\r\n\r\ndone")
            return
        connection.sendall(
            head + b"Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        first = int(headers.get("last-event-id", "0"))
        for number in range(first + 1, self._events + 1):
            event = b"id: %d\ndata: t%d\n\n" % (number, number)
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(EVENT_INTERVAL_S)
        connection.sendall(b"0\r\n\r\n")


def _read_head(connection: socket.socket) -> tuple[str, dict[str, str]]:
    """Read a request head; the path is empty if the peer closed the connection before its end."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(MAX_HEAD_BYTES)
        if not received or len(data) > MAX_HEAD_BYTES:
            return "", {}
        data += received
    lines = data.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:])
    return lines[0].split(" ")[1], {name.lower(): value.strip() for name, _, value in pairs}
