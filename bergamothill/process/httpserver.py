"""HTTP server for callers and operators: werkzeug's server on bounded thread pools."""

from __future__ import annotations

import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

from bergamothill.logs import EventLog
from bergamothill.process.arrivals import Arrivals, is_head_complete

__all__ = ["OVERLOADED_KEY", "HttpServer"]

OVERLOADED_KEY = "bergamothill.overloaded"
RESERVE_THREADS = 8
BACKLOG = 512
SOCKET_TIMEOUT_S = 30
WRITE_BUFFER_BYTES = 16_384
POLL_INTERVAL_S = 0.1

_log = EventLog("httpserver")


class _Handler(WSGIRequestHandler):
    """Handler with one write a chunk, and silent callers timed out."""

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
        """Leave logging to the application; a failed connection is no event."""


class HttpServer(BaseWSGIServer):
    """Serves a WSGI application with a bounded number of threads.

    When all workers are busy, a few reserve threads answer, with the environment's
    :data:`OVERLOADED_KEY` set, so that health checks and refusals never wait behind long streams.
    A connection gets a thread only when the head of its request is there, so that connections
    which send nothing take none.

    :param address: ``host:port`` to listen on
    :param application: WSGI application
    :param worker_threads: most requests in progress at once
    """

    request_queue_size = BACKLOG
    allow_reuse_address = True

    def __init__(self, address: str, application: Any, worker_threads: int) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(host.strip("[]"), int(port), application, _Handler)
        self._free_workers = threading.Semaphore(worker_threads)
        self._workers = ThreadPoolExecutor(worker_threads, thread_name_prefix="request")
        self._reserve = ThreadPoolExecutor(RESERVE_THREADS, thread_name_prefix="reserve")
        self._arrivals = Arrivals(self._assign)
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Serve in a thread of its own."""
        self._arrivals.start()
        self._thread = threading.Thread(
            target=self.serve_forever, args=(POLL_INTERVAL_S,), name="accept", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and wait for the requests in progress."""
        self.shutdown()
        self.server_close()
        self._arrivals.stop()
        self._workers.shutdown(wait=True)
        self._reserve.shutdown(wait=True)

    def is_reserve_thread(self) -> bool:
        """Tell whether the calling thread serves while all workers are busy."""
        return threading.current_thread().name.startswith("reserve")

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve an accepted connection now or once the head of its request is there."""
        if is_head_complete(request):
            self._assign(request, client_address)
        else:
            self._arrivals.add(request, client_address)

    def _assign(self, request: Any, client_address: Any) -> None:
        """Hand a connection to a worker, or to a reserve thread."""
        if self._free_workers.acquire(blocking=False):
            self._workers.submit(self._serve_as_worker, request, client_address)
        else:
            self._reserve.submit(self._serve, request, client_address)

    def _serve_as_worker(self, request: Any, client_address: Any) -> None:
        try:
            self._serve(request, client_address)
        finally:
            self._free_workers.release()

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
        """Stay quiet; :meth:`_serve` has logged what matters."""
