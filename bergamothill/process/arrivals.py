"""Accepted connections whose request head has not arrived: they wait here without a thread."""

from __future__ import annotations

import contextlib
import os
import selectors
import socket
import threading
from collections import deque
from collections.abc import Callable

from bergamothill.clock import Clock, SystemClock, seconds

__all__ = ["Arrivals", "is_head_complete"]

HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 16_384
MAX_WAITING = 1_024
WAIT_TIMEOUT_MS = 30_000
TICK_MS = 100

Serve = Callable[[socket.socket, object], None]


def is_head_complete(connection: socket.socket) -> bool:
    """Tell whether a request's head can be read without waiting, and leave it in place.

    :param connection: accepted connection
    :raises ConnectionError: the other side has closed it
    """
    try:
        head = connection.recv(MAX_HEAD_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    if not head:
        raise ConnectionResetError("closed before a request")
    return HEAD_END in head or len(head) == MAX_HEAD_BYTES


class _Waiting:
    """One connection that waits, and since when."""

    def __init__(self, connection: socket.socket, address: object, since_ms: int) -> None:
        self.connection = connection
        self.address = address
        self.since_ms = since_ms


class Arrivals:
    """Hands each connection on once its request's head is there; one thread for all of them.

    The oldest give way when too many wait, and each is closed after a bounded time.

    :param serve: takes a connection and its address; must not block
    :param clock: source of time
    """

    def __init__(self, serve: Serve, clock: Clock | None = None) -> None:
        self._serve = serve
        self._clock = clock or SystemClock()
        self._added: deque[_Waiting] = deque()
        self._waiting: dict[int, _Waiting] = {}
        self._partial: set[int] = set()
        self._selector = selectors.DefaultSelector()
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._selector.register(self._wake, selectors.EVENT_READ)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="arrivals", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Close what waits and end the thread."""
        self._stopping.set()
        os.eventfd_write(self._wake, 1)
        self._thread.join()

    def add(self, connection: socket.socket, address: object) -> None:
        """Take a connection.

        :param connection: accepted connection
        :param address: address of the other side
        """
        self._added.append(_Waiting(connection, address, self._clock.now_ms()))
        os.eventfd_write(self._wake, 1)

    def _run(self) -> None:
        while not self._stopping.is_set():
            ready = [key.fd for key, _ in self._selector.select(seconds(TICK_MS))]
            if self._wake in ready:
                os.eventfd_read(self._wake)
            self._take_added()
            for descriptor in [*ready, *self._partial]:
                self._check(descriptor)
            self._close_expired()
        for descriptor in list(self._waiting):
            _close(self._remove(descriptor).connection)

    def _take_added(self) -> None:
        while self._added:
            waiting = self._added.popleft()
            descriptor = waiting.connection.fileno()
            self._waiting[descriptor] = waiting
            self._selector.register(descriptor, selectors.EVENT_READ)

    def _check(self, descriptor: int) -> None:
        waiting = self._waiting.get(descriptor)
        if waiting is None:
            return
        try:
            if not is_head_complete(waiting.connection):
                self._set_aside(descriptor)
                return
        except OSError:
            _close(self._remove(descriptor).connection)
            return
        self._remove(descriptor)
        self._serve(waiting.connection, waiting.address)

    def _set_aside(self, descriptor: int) -> None:
        """Look at a part of a head again at the next tick: its bytes would keep the poll busy."""
        if descriptor not in self._partial:
            self._selector.unregister(descriptor)
            self._partial.add(descriptor)

    def _close_expired(self) -> None:
        bound_ms = self._clock.now_ms() - WAIT_TIMEOUT_MS
        for descriptor, waiting in list(self._waiting.items()):
            if waiting.since_ms > bound_ms and len(self._waiting) <= MAX_WAITING:
                return
            _close(self._remove(descriptor).connection)

    def _remove(self, descriptor: int) -> _Waiting:
        if descriptor in self._partial:
            self._partial.discard(descriptor)
        else:
            self._selector.unregister(descriptor)
        return self._waiting.pop(descriptor)


def _close(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.close()
