"""Chunked response body that never blocks the thread that reads the engines' streams.

Data that the caller's socket does not accept immediately is buffered, up to a limit, and sent by a
small thread pool as the socket becomes writable.
"""

from __future__ import annotations

import os
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

from bergamothill.logs import EventLog

__all__ = ["ChunkWriter"]

MAX_BUFFERED_BYTES = 1_000_000
FLUSH_THREADS = 16

_log = EventLog("chunkwriter")
_flush_pool = ThreadPoolExecutor(FLUSH_THREADS, thread_name_prefix="flush")


class ChunkWriter:
    """Writes chunks to a caller's socket; safe for concurrent use.

    :param connection: the caller's socket, with a timeout set
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._descriptor = connection.fileno()
        self._lock = threading.Lock()
        self._flush_ended = threading.Condition(self._lock)
        self._buffer = bytearray()
        self._is_flushing = False
        self._failure: OSError | None = None

    def write(self, data: bytes) -> None:
        """Send a chunk, or buffer it while the socket is not writable.

        :param data: content of the chunk; not empty
        :raises ConnectionError: the caller disconnected or reads too slowly
        """
        chunk = b"%x\r\n%b\r\n" % (len(data), data)
        with self._lock:
            if self._failure is not None:
                raise ConnectionAbortedError(str(self._failure))
            if not self._buffer:
                chunk = chunk[self._try_send(chunk) :]
                if not chunk:
                    return
            self._append(chunk)

    def finish(self) -> None:
        """Wait until the buffer is sent, or sending it has failed or timed out.

        :raises OSError: the caller disconnected or reads too slowly
        """
        with self._flush_ended:
            self._flush_ended.wait_for(lambda: not self._is_flushing)
            if self._failure is not None:
                raise self._failure

    def _try_send(self, chunk: bytes) -> int:
        try:
            return os.write(self._descriptor, chunk)
        except BlockingIOError:
            return 0

    def _append(self, chunk: bytes) -> None:
        if len(self._buffer) + len(chunk) > MAX_BUFFERED_BYTES:
            raise ConnectionAbortedError("caller reads too slowly: send buffer is full")
        self._buffer += chunk
        if not self._is_flushing:
            self._is_flushing = True
            _flush_pool.submit(self._flush)

    def _flush(self) -> None:
        """Send the buffer piece by piece, so that the reading thread can append to it meanwhile."""
        try:
            while data := self._next_data_or_end_flush():
                sent = self._connection.send(data)
                with self._lock:
                    del self._buffer[:sent]
        except OSError as error:
            self._record_failure(error)
            _log.info("caller_gone", reason=str(error))

    def _next_data_or_end_flush(self) -> bytes:
        with self._lock:
            if not self._buffer:
                self._is_flushing = False
                self._flush_ended.notify_all()
            return bytes(self._buffer)

    def _record_failure(self, error: OSError) -> None:
        with self._lock:
            self._failure = error
            self._buffer.clear()
            self._is_flushing = False
            self._flush_ended.notify_all()
