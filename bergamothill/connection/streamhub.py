"""One thread that reads all streamed replies of the process.

A thread for each stream would hand the interpreter lock over several times for each event. Here
the events of all streams are read in turn by one thread; the thread that asked for a stream waits
for its end. Callbacks run in the reading thread and must not block.
"""

from __future__ import annotations

import os
import select
import threading
import time
from collections import deque
from concurrent.futures import Future
from dataclasses import dataclass, field

import pycurl

__all__ = ["STREAM_HUB", "StreamHub"]

MILLIS_PER_SECOND = 1_000
IDLE_WAIT_S = 1.0
SILENCE_CHECK_S = 0.25

_MOVED_BYTES = (pycurl.SIZE_UPLOAD, pycurl.HEADER_SIZE, pycurl.SIZE_DOWNLOAD)
_POLL_MASKS = {
    pycurl.POLL_IN: select.EPOLLIN,
    pycurl.POLL_OUT: select.EPOLLOUT,
    pycurl.POLL_INOUT: select.EPOLLIN | select.EPOLLOUT,
}


@dataclass(slots=True)
class _Transfer:
    """A transfer under way and when its last byte moved."""

    idle_timeout_s: float
    future: Future[None] = field(default_factory=Future)
    moved_bytes: float = -1
    active_s: float = 0.0

    def is_silent(self, curl: pycurl.Curl, now_s: float) -> bool:
        moved_bytes = sum(map(curl.getinfo, _MOVED_BYTES))
        if moved_bytes != self.moved_bytes:
            self.moved_bytes = moved_bytes
            self.active_s = now_s
        return now_s - self.active_s >= self.idle_timeout_s


class StreamHub:
    """Runs transfers on one thread, which starts with the first."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._thread: threading.Thread | None = None
        self._added: deque[tuple[pycurl.Curl, _Transfer]] = deque()
        self._transfers: dict[pycurl.Curl, _Transfer] = {}
        self._silence_due_s = 0.0
        self._watched: set[int] = set()
        self._timer_due_s: float | None = None

    def perform(self, curl: pycurl.Curl, *, idle_timeout_ms: int) -> None:
        """Run a prepared transfer and wait for its end.

        libcurl's own limit of the least speed is no substitute: it looks at the mean over several
        seconds, and noticed a silence 6 s late.

        :param curl: transfer; its callbacks run in the hub's thread
        :param idle_timeout_ms: longest silence, in milliseconds
        :raises pycurl.error: the transfer failed, as ``Curl.perform`` raises it
        """
        transfer = _Transfer(idle_timeout_ms / MILLIS_PER_SECOND)
        with self._lock:
            if self._thread is None:
                self._start()
            self._added.append((curl, transfer))
        os.eventfd_write(self._wake, 1)
        transfer.future.result()

    def _start(self) -> None:
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._epoll = select.epoll()
        self._epoll.register(self._wake, select.EPOLLIN)
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._thread = threading.Thread(target=self._run, name="stream-hub", daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while True:
            for descriptor, mask in self._epoll.poll(self._wait_s()):
                if descriptor == self._wake:
                    os.eventfd_read(self._wake)
                else:
                    self._act(descriptor, mask)
            self._take_added()
            if self._timer_due_s is not None and time.monotonic() >= self._timer_due_s:
                self._timer_due_s = None
                self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
            self._settle()
            self._end_silent()

    def _wait_s(self) -> float:
        longest_s = SILENCE_CHECK_S if self._transfers else IDLE_WAIT_S
        if self._timer_due_s is None:
            return longest_s
        return min(longest_s, max(0.0, self._timer_due_s - time.monotonic()))

    def _act(self, descriptor: int, mask: int) -> None:
        flags = 0
        if mask & (select.EPOLLIN | select.EPOLLHUP):
            flags |= pycurl.CSELECT_IN
        if mask & select.EPOLLOUT:
            flags |= pycurl.CSELECT_OUT
        if mask & select.EPOLLERR:
            flags |= pycurl.CSELECT_ERR
        self._multi.socket_action(descriptor, flags)

    def _take_added(self) -> None:
        while self._added:
            curl, transfer = self._added.popleft()
            self._transfers[curl] = transfer
            self._multi.add_handle(curl)

    def _settle(self) -> None:
        _, succeeded, failed = self._multi.info_read()
        for curl in succeeded:
            self._end(curl).set_result(None)
        for curl, code, text in failed:
            self._end(curl).set_exception(pycurl.error(code, text))

    def _end_silent(self) -> None:
        now_s = time.monotonic()
        if now_s < self._silence_due_s:
            return
        self._silence_due_s = now_s + SILENCE_CHECK_S
        silent = [
            curl for curl, transfer in self._transfers.items() if transfer.is_silent(curl, now_s)
        ]
        for curl in silent:
            error = pycurl.error(pycurl.E_OPERATION_TIMEDOUT, "no bytes within the idle timeout")
            self._end(curl).set_exception(error)

    def _end(self, curl: pycurl.Curl) -> Future[None]:
        self._multi.remove_handle(curl)
        return self._transfers.pop(curl).future

    def _on_socket(self, what: int, descriptor: int, *_: object) -> None:
        if what == pycurl.POLL_REMOVE:
            self._watched.discard(descriptor)
            try:
                self._epoll.unregister(descriptor)
            except OSError:
                return  # Closed already, which removes it from the set as well.
            return
        mask = _POLL_MASKS[what]
        if descriptor in self._watched:
            self._epoll.modify(descriptor, mask)
            return
        self._watched.add(descriptor)
        self._epoll.register(descriptor, mask)

    def _on_timer(self, timeout_ms: int) -> None:
        if timeout_ms < 0:
            self._timer_due_s = None
        else:
            self._timer_due_s = time.monotonic() + timeout_ms / MILLIS_PER_SECOND


STREAM_HUB = StreamHub()
"""Hub of the process."""
