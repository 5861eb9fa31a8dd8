"""Accepted connections that wait for a complete request head, without a thread for each."""

from __future__ import annotations

import contextlib
import os
import selectors
import socket
import threading
from collections import deque
from collections.abc import Callable

from bergamothill.clock import Clock, SystemClock, ms_to_seconds

__all__ = ["PendingConnections", "is_head_complete"]

HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 16_384
MAX_PENDING = 1_024
HEAD_TIMEOUT_MS = 30_000
SELECT_TIMEOUT_MS = 100

ServeConnection = Callable[[socket.socket, object], None]


def is_head_complete(connection: socket.socket) -> bool:
    """Return whether a complete request head can be read without blocking; consumes no data.

    A head that fills the limit counts as complete, since no more of it can be peeked at.

    :param connection: accepted connection
    :raises ConnectionError: the peer closed the connection
    """
    try:
        head = connection.recv(MAX_HEAD_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    if not head:
        raise ConnectionResetError("peer closed the connection before sending a request")
    return HEAD_END in head or len(head) == MAX_HEAD_BYTES


class _PendingConnection:
    """A connection that waits for its request head, and the time at which it was accepted."""

    def __init__(self, connection: socket.socket, address: object, since_ms: int) -> None:
        self.connection = connection
        self.address = address
        self.since_ms = since_ms


class PendingConnections:
    """Passes each connection on once its request head is complete; one thread serves all of them.

    Connections that exceed the timeout are closed, and the oldest when there are too many.

    :param serve: called with a connection and its peer address; must not block
    :param clock: source of time
    """

    def __init__(self, serve: ServeConnection, clock: Clock | None = None) -> None:
        self._serve = serve
        self._clock = clock or SystemClock()
        self._added: deque[_PendingConnection] = deque()
        self._pending: dict[int, _PendingConnection] = {}
        self._partial_heads: set[int] = set()
        self._selector = selectors.DefaultSelector()
        self._wakeup_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._selector.register(self._wakeup_fd, selectors.EVENT_READ)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="arrivals", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Close all pending connections and stop the thread."""
        self._stopping.set()
        os.eventfd_write(self._wakeup_fd, 1)
        self._thread.join()

    def add(self, connection: socket.socket, address: object) -> None:
        """Add a connection.

        :param connection: accepted connection
        :param address: address of the peer
        """
        self._added.append(_PendingConnection(connection, address, self._clock.now_ms()))
        os.eventfd_write(self._wakeup_fd, 1)

    def _run(self) -> None:
        while not self._stopping.is_set():
            ready = [key.fd for key, _ in self._selector.select(ms_to_seconds(SELECT_TIMEOUT_MS))]
            if self._wakeup_fd in ready:
                os.eventfd_read(self._wakeup_fd)
            self._register_added()
            for descriptor in [*ready, *self._partial_heads]:
                self._check_head(descriptor)
            self._close_expired()
        for descriptor in list(self._pending):
            _close(self._remove(descriptor).connection)

    def _register_added(self) -> None:
        while self._added:
            pending = self._added.popleft()
            descriptor = pending.connection.fileno()
            self._pending[descriptor] = pending
            self._selector.register(descriptor, selectors.EVENT_READ)

    def _check_head(self, descriptor: int) -> None:
        pending = self._pending.get(descriptor)
        if pending is None:
            return
        try:
            if not is_head_complete(pending.connection):
                self._defer_partial_head(descriptor)
                return
        except OSError:
            _close(self._remove(descriptor).connection)
            return
        self._remove(descriptor)
        self._serve(pending.connection, pending.address)

    def _defer_partial_head(self, descriptor: int) -> None:
        """Check a partial head by polling, since its unread bytes would keep the selector ready."""
        if descriptor not in self._partial_heads:
            self._selector.unregister(descriptor)
            self._partial_heads.add(descriptor)

    def _close_expired(self) -> None:
        oldest_allowed_ms = self._clock.now_ms() - HEAD_TIMEOUT_MS
        for descriptor, pending in list(self._pending.items()):
            if pending.since_ms > oldest_allowed_ms and len(self._pending) <= MAX_PENDING:
                return
            _close(self._remove(descriptor).connection)

    def _remove(self, descriptor: int) -> _PendingConnection:
        if descriptor in self._partial_heads:
            self._partial_heads.discard(descriptor)
        else:
            self._selector.unregister(descriptor)
        return self._pending.pop(descriptor)


def _close(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.close()
