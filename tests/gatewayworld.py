"""Runs a gateway on the loopback interface with scripted backend servers, for tests."""

from __future__ import annotations

import asyncio
import socket
import tempfile
import threading
import time
import unittest
from collections.abc import Callable
from functools import partial
from pathlib import Path

from bergamothill.clock import Millis, SystemClock
from bergamothill.connection.callerhttp import CallerConnection
from bergamothill.connection.keptconnections import KeptConnections
from bergamothill.platform.settings import load_node_settings
from bergamothill.process.configstate import ConfigState
from bergamothill.process.gateway import Gateway
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.quarantinegate import QuarantineGate
from bergamothill.process.streamresumption import LocalOrigins
from bergamothill.request.partquarantine import PartQuarantine
from tests.builders import NODE_SETTINGS, backend, routing_config, server_pool

HOST = "127.0.0.1"
TIMEOUT_S = 10
SEND_BUFFER_BYTES = 65_536
LONG_RUNNING_MS = 15_000
LIST_INTERVAL_S = 0.05


class ScriptedServer:
    """Backend server that handles each connection with a script.

    :param script: called with the connection and the bytes of the request
    """

    def __init__(self, script: Callable[[socket.socket, bytes], None]) -> None:
        self.requests: list[bytes] = []
        self.left = threading.Event()
        self._script = script
        self._listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.settimeout(TIMEOUT_S)
        with connection:
            request = read_message(connection)
            if not request:
                return
            self.requests.append(request)
            self._script(connection, request)
            try:
                if connection.recv(1) == b"":
                    self.left.set()
            except OSError:
                self.left.set()


def read_message(connection: socket.socket) -> bytes:
    """Read one HTTP message that has a ``Content-Length`` or no body."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(65_536)
        if not received:
            return data
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while len(body) < length:
        body += connection.recv(65_536)
    return head + b"\r\n\r\n" + body


def answer(
    body: bytes = b"done",
    *,
    status: bytes = b"200 OK",
    headers: bytes = b"X-Server-Signature: sig\r\n",
    request_id: bytes = b"r1",
    framing: bytes | None = None,
) -> bytes:
    """Encode the response of a backend server."""
    length = b"Content-Length: %d\r\n" % len(body) if framing is None else framing
    return b"HTTP/1.1 %s\r\nX-Request-Id: %s\r\n%s%s\r\n%s" % (
        status,
        request_id,
        headers,
        length,
        body,
    )


def chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


STREAM_HEAD = answer(b"", framing=b"Transfer-Encoding: chunked\r\n")


def event(number: int) -> bytes:
    """Encode one server-sent event."""
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def request(
    path: bytes = b"/book/2f",
    *,
    method: bytes = b"POST",
    body: bytes = b"{}",
    headers: bytes = b"",
    key: bytes = b"key-1",
) -> bytes:
    """Encode a caller's request."""
    return (
        b"%s %s HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r1\r\n"
        b"X-Deadline-Milliseconds: 3000\r\nAuthorization: Bearer %s\r\n%s"
        b"Content-Length: %d\r\n\r\n%s" % (method, path, key, headers, len(body), body)
    )


PROMPT_HEADERS = b"X-Model: m1\r\nX-Token-Counts: 30,9\r\nX-Prompt-Prefix: a:10,b:10,c:10\r\n"


class AdvancingClock(SystemClock):
    """System clock that can be advanced, as by a suspend, which the event loop's clock ignores."""

    def __init__(self) -> None:
        self._ahead_ms = 0

    def now_ms(self) -> Millis:
        """Return the system clock's time plus what it was advanced by."""
        return Millis(super().now_ms() + self._ahead_ms)

    def advance_ms(self, duration_ms: int) -> None:
        """Advance the clock."""
        self._ahead_ms += duration_ms


class GatewayWorld:
    """Runs a gateway and its event loop in a background thread.

    :param settings_path: path of a settings file
    :param engines: scripted model engines
    :param plain: scripted backend servers of the plain service
    :param instances: entry instances of its zone; with few each request has its own connection
    :param age_ms: how long ago the gateway was created; by default longer than the retry window
    """

    def __init__(
        self,
        settings_path: str,
        engines: list[ScriptedServer] = (),
        plain: list[ScriptedServer] = (),
        *,
        age_ms: int = LONG_RUNNING_MS,
        instances: int = 1,
    ) -> None:
        self.clock = AdvancingClock()
        bounds = load_node_settings(settings_path).bounds
        self.config = ConfigState.of_bounds(bounds)
        self.config.is_strict = False
        servers = [backend(f"s{n}", address=s.address) for n, s in enumerate(engines)]
        servers += [
            backend(f"p{n}", address=s.address, service="bookings", weights={})
            for n, s in enumerate(plain)
        ]
        self._servers = servers
        self.server_pool = server_pool(*servers)
        for server in servers:
            self.server_pool.record_reply_from(server.address, 0, is_leaving=False)
        self.metrics = GatewayMetrics()
        quarantine = PartQuarantine("front-a-1", self.clock.wall_ms())
        gate = QuarantineGate(self.clock, quarantine, self.metrics)
        self.kept = KeptConnections(
            self.clock, 64, lambda kind: self.metrics.count("server_connections", kind=kind)
        )
        self.kept.share.set_instances(["zone-a"] * instances)
        self.kept.share.set_services(routing_config().services.values())
        self.gateway = Gateway(
            self.clock,
            bounds,
            self.config,
            self.server_pool,
            self.metrics,
            gate,
            LocalOrigins(self.clock),
            self.kept,
        )
        self.clock.advance_ms(age_ms)
        self.config.apply(routing_config(), 1, self.clock.now_ms())
        self._loop = asyncio.new_event_loop()
        started = threading.Event()
        self._thread = threading.Thread(target=self._run, args=(started,), daemon=True)
        self._thread.start()
        started.wait(TIMEOUT_S)

    def _run(self, started: threading.Event) -> None:
        asyncio.set_event_loop(self._loop)
        factory = partial(CallerConnection, self.gateway, self.clock, lambda *_: None)
        server = self._loop.run_until_complete(self._loop.create_server(factory, HOST, 0))
        self.port = server.sockets[0].getsockname()[1]
        self._tasks = [
            self._loop.create_task(self.gateway.watch_for_stalls()),
            self._loop.create_task(self._read_lists()),
        ]
        started.set()
        self._loop.run_forever()
        server.close()
        for task in self._tasks:
            task.cancel()
        self._loop.run_until_complete(asyncio.gather(*self._tasks, return_exceptions=True))

    async def _read_lists(self) -> None:
        """Show now and then that the processes of all servers run still."""
        while True:
            await asyncio.sleep(LIST_INTERVAL_S)
            now_ms = self.clock.now_ms()
            self.server_pool.apply_list(self._servers, now_ms, now_ms)

    def connect(self) -> socket.socket:
        """Open a caller's connection."""
        return socket.create_connection((HOST, self.port), timeout=TIMEOUT_S)

    def exchange(self, data: bytes) -> bytes:
        """Send a request on a new connection and return the response message."""
        with self.connect() as connection:
            connection.sendall(data)
            return read_message(connection)

    def in_progress(self) -> int:
        """Return the number of requests in progress."""
        return self.gateway.in_progress

    def close(self) -> None:
        """Stop the event loop and wait for the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(TIMEOUT_S)


def read_all(connection: socket.socket) -> bytes:
    """Read until the connection is closed; a reset is appended as ``<reset>``."""
    data = b""
    try:
        while received := connection.recv(65_536):
            data += received
    except ConnectionResetError:
        data += b"<reset>"
    return data


def replies(data: bytes) -> Callable:
    """Return the script of a server that replies with the same bytes to each request."""
    return lambda connection, _request: connection.sendall(data)


def resets(data: bytes = b"") -> Callable:
    """Return the script of a server that ends each connection after some bytes."""

    def script(connection, _request):
        connection.sendall(data)
        time.sleep(0.05)
        connection.shutdown(2)

    return script


class EndlessAnswer:
    """Script of a server that sends bytes until the other side closes the connection.

    :param first: first bytes of each answer
    :param block: bytes that are repeated without end
    """

    def __init__(self, first: bytes, block: bytes) -> None:
        self.sent_bytes = 0
        self.was_closed = threading.Event()
        self._first = first
        self._block = block

    def __call__(self, connection: socket.socket, _request: bytes) -> None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        connection.sendall(self._first)
        try:
            while True:
                connection.sendall(self._block)
                self.sent_bytes += len(self._block)
        except TimeoutError:
            return
        except OSError:
            self.was_closed.set()


class GatewayCase(unittest.TestCase):
    """Test case with one gateway and its scripted servers."""

    def world(self, engines=(), plain=(), **changes):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder) / "node.toml"
        path.write_text(NODE_SETTINGS, encoding="utf-8")
        self.engines = [ScriptedServer(script) for script in engines]
        self.plain = [ScriptedServer(script) for script in plain]
        for server in (*self.engines, *self.plain):
            self.addCleanup(server.close)
        world = GatewayWorld(str(path), self.engines, self.plain, **changes)
        self.addCleanup(world.close)
        return world

    def sent(self):
        return [r for server in (*self.engines, *self.plain) for r in server.requests]
