"""Chunked response body that never blocks the thread which reads the streams.

What the caller's socket does not take at once is held, up to a bound, and a thread of a small
pool sends it when the socket is ready.
"""

from __future__ import annotations

import os
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

from bergamothill.logs import EventLog

__all__ = ["ChunkWriter"]

MAX_HELD_BYTES = 1_000_000
FLUSH_THREADS = 16

_log = EventLog("chunkwriter")
_flushers = ThreadPoolExecutor(FLUSH_THREADS, thread_name_prefix="flush")


class ChunkWriter:
    """Writes chunks to a caller's socket; safe for concurrent use.

    :param connection: the caller's socket, with a timeout set
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._descriptor = connection.fileno()
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._held = bytearray()
        self._is_flushing = False
        self._failure: OSError | None = None

    def write(self, data: bytes) -> None:
        """Send a chunk, or hold it while the socket is busy.

        :param data: content of the chunk; not empty
        :raises ConnectionError: the caller is gone, or takes too little
        """
        chunk = b"%x\r\n%b\r\n" % (len(data), data)
        with self._lock:
            if self._failure is not None:
                raise ConnectionAbortedError(str(self._failure))
            if not self._held:
                chunk = chunk[self._send_now(chunk) :]
                if not chunk:
                    return
            self._hold(chunk)

    def finish(self) -> None:
        """Wait until what is held is sent, or the socket's timeout has passed.

        :raises OSError: the caller is gone, or takes too little
        """
        with self._changed:
            self._changed.wait_for(lambda: not self._is_flushing)
            if self._failure is not None:
                raise self._failure

    def _send_now(self, chunk: bytes) -> int:
        try:
            return os.write(self._descriptor, chunk)
        except BlockingIOError:
            return 0

    def _hold(self, chunk: bytes) -> None:
        if len(self._held) + len(chunk) > MAX_HELD_BYTES:
            raise ConnectionAbortedError("the caller takes too little")
        self._held += chunk
        if not self._is_flushing:
            self._is_flushing = True
            _flushers.submit(self._flush)

    def _flush(self) -> None:
        """Send what is held, in pieces, so that the reading thread may add to it meanwhile."""
        try:
            while piece := self._held_now():
                sent = self._connection.send(piece)
                with self._lock:
                    del self._held[:sent]
        except OSError as error:
            self._end_flush(error)
            _log.info("caller_gone", reason=str(error))

    def _held_now(self) -> bytes:
        with self._lock:
            if not self._held:
                self._is_flushing = False
                self._changed.notify_all()
            return bytes(self._held)

    def _end_flush(self, error: OSError) -> None:
        with self._lock:
            self._failure = error
            self._held.clear()
            self._is_flushing = False
            self._changed.notify_all()
