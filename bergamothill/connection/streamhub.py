"""One thread that reads all streamed replies of the process.

With a thread per stream, the threads would switch the GIL several times for each event.
Instead, one thread runs an event loop over all streams, and the thread that requested a stream
waits until it ends. Callbacks run in the reading thread and must not block.
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
POLL_TIMEOUT_WITHOUT_TRANSFERS_S = 1.0
IDLE_CHECK_INTERVAL_S = 0.25

_BYTE_COUNTERS = (pycurl.SIZE_UPLOAD, pycurl.HEADER_SIZE, pycurl.SIZE_DOWNLOAD)
_POLL_MASKS = {
    pycurl.POLL_IN: select.EPOLLIN,
    pycurl.POLL_OUT: select.EPOLLOUT,
    pycurl.POLL_INOUT: select.EPOLLIN | select.EPOLLOUT,
}


@dataclass(slots=True)
class _Transfer:
    """Transfer in progress, with the time of its last activity."""

    idle_timeout_s: float
    future: Future[None] = field(default_factory=Future)
    transferred_bytes: float = -1
    last_activity_s: float = 0.0

    def is_idle(self, curl: pycurl.Curl, now_s: float) -> bool:
        """Record any activity since the last call; return whether the idle timeout has passed."""
        transferred_bytes = sum(map(curl.getinfo, _BYTE_COUNTERS))
        if transferred_bytes != self.transferred_bytes:
            self.transferred_bytes = transferred_bytes
            self.last_activity_s = now_s
        return now_s - self.last_activity_s >= self.idle_timeout_s


class StreamHub:
    """Runs transfers in one thread, which is started with the first transfer."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._thread: threading.Thread | None = None
        self._added: deque[tuple[pycurl.Curl, _Transfer]] = deque()
        self._transfers: dict[pycurl.Curl, _Transfer] = {}
        self._idle_check_due_s = 0.0
        self._registered: set[int] = set()
        self._timer_due_s: float | None = None

    def perform(self, curl: pycurl.Curl, *, idle_timeout_ms: int) -> None:
        """Run a prepared transfer and wait until it ends.

        libcurl's low-speed limit cannot replace the idle timeout: it averages over several seconds
        and detected a stalled transfer 6 s late.

        :param curl: handle of the transfer; its callbacks run in the hub's thread
        :param idle_timeout_ms: maximum time without data, in milliseconds
        :raises pycurl.error: the transfer failed, as raised by ``Curl.perform``
        """
        transfer = _Transfer(idle_timeout_ms / MILLIS_PER_SECOND)
        with self._lock:
            if self._thread is None:
                self._start()
            self._added.append((curl, transfer))
        os.eventfd_write(self._wake_fd, 1)
        transfer.future.result()

    def _start(self) -> None:
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._epoll = select.epoll()
        self._epoll.register(self._wake_fd, select.EPOLLIN)
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._update_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._thread = threading.Thread(target=self._run, name="stream-hub", daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while True:
            for descriptor, mask in self._epoll.poll(self._poll_timeout_s()):
                if descriptor == self._wake_fd:
                    os.eventfd_read(self._wake_fd)
                else:
                    self._handle_ready(descriptor, mask)
            self._start_added()
            if self._timer_due_s is not None and time.monotonic() >= self._timer_due_s:
                self._timer_due_s = None
                self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
            self._complete_finished()
            self._abort_idle()

    def _poll_timeout_s(self) -> float:
        longest_s = IDLE_CHECK_INTERVAL_S if self._transfers else POLL_TIMEOUT_WITHOUT_TRANSFERS_S
        if self._timer_due_s is None:
            return longest_s
        return min(longest_s, max(0.0, self._timer_due_s - time.monotonic()))

    def _handle_ready(self, descriptor: int, mask: int) -> None:
        flags = 0
        if mask & (select.EPOLLIN | select.EPOLLHUP):
            flags |= pycurl.CSELECT_IN
        if mask & select.EPOLLOUT:
            flags |= pycurl.CSELECT_OUT
        if mask & select.EPOLLERR:
            flags |= pycurl.CSELECT_ERR
        self._multi.socket_action(descriptor, flags)

    def _start_added(self) -> None:
        while self._added:
            curl, transfer = self._added.popleft()
            self._transfers[curl] = transfer
            self._multi.add_handle(curl)

    def _complete_finished(self) -> None:
        _, succeeded, failed = self._multi.info_read()
        for curl in succeeded:
            self._remove(curl).set_result(None)
        for curl, code, text in failed:
            self._remove(curl).set_exception(pycurl.error(code, text))

    def _abort_idle(self) -> None:
        now_s = time.monotonic()
        if now_s < self._idle_check_due_s:
            return
        self._idle_check_due_s = now_s + IDLE_CHECK_INTERVAL_S
        idle = [curl for curl, transfer in self._transfers.items() if transfer.is_idle(curl, now_s)]
        for curl in idle:
            error = pycurl.error(
                pycurl.E_OPERATION_TIMEDOUT, "no data received or sent within the idle timeout"
            )
            self._remove(curl).set_exception(error)

    def _remove(self, curl: pycurl.Curl) -> Future[None]:
        self._multi.remove_handle(curl)
        return self._transfers.pop(curl).future

    def _update_socket(self, what: int, descriptor: int, *_: object) -> None:
        if what == pycurl.POLL_REMOVE:
            self._registered.discard(descriptor)
            try:
                self._epoll.unregister(descriptor)
            except OSError:
                return  # Already closed, which also removed it from the epoll set.
            return
        mask = _POLL_MASKS[what]
        if descriptor in self._registered:
            self._epoll.modify(descriptor, mask)
            return
        self._registered.add(descriptor)
        self._epoll.register(descriptor, mask)

    def _set_timer(self, timeout_ms: int) -> None:
        if timeout_ms < 0:
            self._timer_due_s = None
        else:
            self._timer_due_s = time.monotonic() + timeout_ms / MILLIS_PER_SECOND


STREAM_HUB = StreamHub()
"""Hub shared by all clients of the process."""
