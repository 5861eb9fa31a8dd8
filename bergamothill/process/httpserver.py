"""HTTP server for callers and operators: the werkzeug server with bounded thread pools."""

from __future__ import annotations

import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

from bergamothill.logs import EventLog
from bergamothill.process.pendingconnections import PendingConnections, is_head_complete

__all__ = ["OVERLOADED_KEY", "HttpServer"]

OVERLOADED_KEY = "bergamothill.overloaded"
RESERVE_THREADS = 8
BACKLOG = 512
SOCKET_TIMEOUT_S = 30
WRITE_BUFFER_BYTES = 16_384
POLL_INTERVAL_S = 0.1

_log = EventLog("httpserver")


class _Handler(WSGIRequestHandler):
    """Request handler with buffered writes, TCP_NODELAY and a timeout for silent callers."""

    protocol_version = "HTTP/1.1"
    timeout = SOCKET_TIMEOUT_S
    wbufsize = WRITE_BUFFER_BYTES

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def make_environ(self) -> dict[str, Any]:
        environ = super().make_environ()
        environ[OVERLOADED_KEY] = self.server.is_reserve_thread()
        return environ

    def log(self, type: str, message: str, *args: Any) -> None:
        """Log nothing: the application logs requests, and failed connections need no log line."""


class HttpServer(BaseWSGIServer):
    """Serves a WSGI application with a bounded number of threads.

    When all workers are busy, a few reserve threads serve requests with :data:`OVERLOADED_KEY` set
    in the WSGI environment, so that health checks and refusals never wait behind long streams. A
    connection gets a thread only when its request head is complete, so that idle connections
    occupy none.

    :param address: ``host:port`` to listen on
    :param application: WSGI application
    :param worker_threads: maximum number of concurrent requests
    """

    request_queue_size = BACKLOG
    allow_reuse_address = True

    def __init__(self, address: str, application: Any, worker_threads: int) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(host.strip("[]"), int(port), application, _Handler)
        self._idle_workers = threading.Semaphore(worker_threads)
        self._workers = ThreadPoolExecutor(worker_threads, thread_name_prefix="request")
        self._reserve = ThreadPoolExecutor(RESERVE_THREADS, thread_name_prefix="reserve")
        self._pending = PendingConnections(self._dispatch)
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start serving in a background thread."""
        self._pending.start()
        self._thread = threading.Thread(
            target=self.serve_forever, args=(POLL_INTERVAL_S,), name="accept", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop listening, then wait for the requests in progress."""
        self.shutdown()
        self.server_close()
        self._pending.stop()
        self._workers.shutdown(wait=True)
        self._reserve.shutdown(wait=True)

    def is_reserve_thread(self) -> bool:
        """Return whether this is a reserve thread, which serves while all workers are busy."""
        return threading.current_thread().name.startswith("reserve")

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve an accepted connection, at once or when its request head is complete."""
        if is_head_complete(request):
            self._dispatch(request, client_address)
        else:
            self._pending.add(request, client_address)

    def _dispatch(self, request: Any, client_address: Any) -> None:
        """Submit a connection to a worker, or to a reserve thread if all workers are busy."""
        if self._idle_workers.acquire(blocking=False):
            self._workers.submit(self._serve_as_worker, request, client_address)
        else:
            self._reserve.submit(self._serve, request, client_address)

    def _serve_as_worker(self, request: Any, client_address: Any) -> None:
        try:
            self._serve(request, client_address)
        finally:
            self._idle_workers.release()

    def _serve(self, request: Any, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except OSError:
            pass
        except Exception as error:  # noqa: BLE001 - a worker thread must survive any request
            _log.error("connection_failed", error=repr(error))
        finally:
            self.shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Do nothing: :meth:`_serve` logs errors."""
