"""Base of the stand-ins: a threaded HTTP server with fault switches.

``PUT /faults`` replaces the switches with those of a JSON object; ``GET /faults`` returns them.
Each stand-in is a process, started with ``python -m standins.<name> --port N ...``, and listens on
127.0.0.1 only.
"""

from __future__ import annotations

import json
import logging
import signal
import socket
import struct
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.serving import ThreadedWSGIServer, WSGIRequestHandler
from werkzeug.wrappers import Request, Response

HOST = "127.0.0.1"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Faults:
    """Named fault switches; an unset switch reads as its default.

    Switches of every stand-in, for requests whose path starts with ``path`` (default all):

    - ``outage``: reset the connection without handling the request
    - ``delay_ms``: wait before handling the request
    - ``reply_delay_ms``: wait after handling the request, before the reply
    - ``lose_reply``: number of replies to lose after their requests have taken effect
    - ``silent``: hold the reply back while the switch is set, with the connection open
    """

    def __init__(self) -> None:
        self._values: dict[str, Any] = {}
        self._lock = threading.Lock()

    def get(self, name: str, default: Any = None) -> Any:
        """Return a switch, or the default where it is not set."""
        with self._lock:
            return self._values.get(name, default)

    def replace(self, values: dict[str, Any]) -> None:
        """Replace all switches."""
        with self._lock:
            self._values = dict(values)

    def as_dict(self) -> dict[str, Any]:
        """Return the switches that are set."""
        with self._lock:
            return dict(self._values)

    def consume(self, name: str) -> bool:
        """Decrement a counted switch; return False if it was already zero."""
        with self._lock:
            remaining = int(self._values.get(name, 0))
            if remaining <= 0:
                return False
            self._values[name] = remaining - 1
            return True


class DropConnection(Exception):
    """Raised by a view to reset the connection without a reply."""


class Handler(WSGIRequestHandler):
    """Request handler that keeps connections alive and logs nothing."""

    protocol_version = "HTTP/1.1"
    wbufsize = 65_536

    def setup(self) -> None:
        """Disable Nagle's algorithm, so that small writes are sent at once."""
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def log(self, type: str, message: str, *args: Any) -> None:
        """Discard access log lines."""

    def make_environ(self) -> dict[str, Any]:
        """Pass the socket to the application, so that it can reset the connection."""
        environ = super().make_environ()
        environ["standin.socket"] = self.connection
        return environ


class StandIn:
    """HTTP application of one stand-in; subclasses add routes with :meth:`route`."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._url_map = Map()
        self._views: dict[str, Callable[..., Response]] = {}
        self.route("/faults", self._handle_faults, ["GET", "PUT"])

    def route(self, path: str, view: Callable[..., Response], methods: list[str]) -> None:
        """Register a view for a path.

        :param path: werkzeug rule; path variables become keyword arguments
        :param view: called with the request
        :param methods: HTTP methods
        """
        endpoint = f"{','.join(methods)} {path}"
        self._url_map.add(Rule(path, endpoint=endpoint, methods=methods))
        self._views[endpoint] = view

    def _handle_faults(self, request: Request) -> Response:
        if request.method == "PUT":
            self.faults.replace(json.loads(request.get_data()))
        return json_response(self.faults.as_dict())

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Any:
        """Serve one request (WSGI)."""
        request = Request(environ)
        try:
            response = self._dispatch(request)
        except DropConnection:
            reset_connection(environ["standin.socket"])
            raise ConnectionResetError("dropped by a fault switch") from None
        return response(environ, start_response)

    def _dispatch(self, request: Request) -> Response:
        adapter = self._url_map.bind_to_environ(request.environ)
        try:
            endpoint, arguments = adapter.match()
            if request.path == "/faults":
                return self._views[endpoint](request, **arguments)
            affected = request.path.startswith(self.faults.get("path", "/"))
            request.get_data()
            if affected:
                self._apply_request_faults()
            response = self._views[endpoint](request, **arguments)
            if affected:
                self._apply_reply_faults()
            return response
        except HTTPException as error:
            return json_response({"error": error.description}, error.code or 500)

    def _apply_request_faults(self) -> None:
        if self.faults.get("outage"):
            raise DropConnection
        while self.faults.get("silent"):
            time.sleep(0.1)
        time.sleep(self.faults.get("delay_ms", 0) / 1000)

    def _apply_reply_faults(self) -> None:
        time.sleep(self.faults.get("reply_delay_ms", 0) / 1000)
        if self.faults.consume("lose_reply"):
            raise DropConnection

    def serve(self, port: int) -> None:
        """Serve until SIGTERM; print one ready line with the port.

        :param port: TCP port; 0 picks a free one
        """
        logging.getLogger("werkzeug").setLevel(logging.ERROR)
        server = Server(HOST, port, self, Handler)
        stop = lambda *_: threading.Thread(target=server.shutdown).start()  # noqa: E731
        signal.signal(signal.SIGTERM, stop)
        signal.signal(signal.SIGINT, stop)
        print(f"ready port={server.server_port}", flush=True)
        server.serve_forever(poll_interval=0.1)
        sys.exit(0)


class Server(ThreadedWSGIServer):
    """Threaded server with a listen backlog large enough for bursts of connections."""

    request_queue_size = 512
    daemon_threads = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore errors while serving a request, such as a connection closed by the client."""


def reset_connection(connection: socket.socket) -> None:
    """Close a connection with a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.shutdown(socket.SHUT_RDWR)


def json_response(value: Any, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(json.dumps(value), status, content_type="application/json")
