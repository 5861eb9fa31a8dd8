"""Rate-limited log lines on standard output that never block the process."""

from __future__ import annotations

import os
import sys
import threading
from collections import deque

import logbook

from bergamothill.clock import Clock

__all__ = ["RateLimitedHandler", "install_rate_limited_log", "reserve_last_lines"]

LINES_PER_S = 200
"""Sustained rate: 2 lines per request at this process's share of the load, times 2."""

BURST_LINES = 1_000
MAX_QUEUED_LINES = 2_000
FLUSH_INTERVAL_S = 0.05
_FORMAT = (
    "ts={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} "
    "part={record.channel} {record.message}"
)


class RateLimitedHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):
    """Writes lines from a background thread; lines above the rate limit are dropped and counted.

    :param clock: source of time
    :param level: minimum level to write
    """

    def __init__(self, clock: Clock, level: str) -> None:
        logbook.Handler.__init__(self, level.upper())
        logbook.StringFormatterHandlerMixin.__init__(self, _FORMAT)
        self._clock = clock
        self._queue: deque[str] = deque()
        self._tokens = float(BURST_LINES)
        self._refilled_ms = clock.now_ms()
        self._suppressed = 0
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record without blocking."""
        now_ms = self._clock.now_ms()
        refill = (now_ms - self._refilled_ms) * LINES_PER_S / 1_000
        if self._tokens < BURST_LINES:
            self._tokens = min(BURST_LINES, self._tokens + max(0.0, refill))
        self._refilled_ms = now_ms
        if self._tokens < 1 or len(self._queue) >= MAX_QUEUED_LINES:
            self._suppressed += 1
            return
        self._tokens -= 1
        self._queue_suppressed()
        self._queue.append(self.format(record))
        self._wake.set()

    def _queue_suppressed(self) -> None:
        if self._suppressed:
            self._queue.append(f"level=WARNING part=log event=suppressed count={self._suppressed}")
            self._suppressed = 0

    def reserve_lines(self) -> None:
        """Let the next lines pass, as many as the queue holds, whatever was logged before."""
        self._tokens = float(MAX_QUEUED_LINES)

    def close(self) -> None:
        """Write the queued lines and stop the thread."""
        self._queue_suppressed()
        self._stopped = True
        self._wake.set()
        self._thread.join(timeout=1)

    def _run(self) -> None:
        while not self._stopped or self._queue:
            self._wake.wait()
            self._wake.clear()
            pending = []
            while self._queue:
                pending.append(self._queue.popleft())
            if pending:
                self._write("\n".join(pending) + "\n")

    def _write(self, text: str) -> None:
        try:
            os.write(sys.stdout.fileno(), text.encode())
        except OSError:
            # The reader of standard output is gone, so the error cannot be reported.
            self._suppressed += text.count("\n")


def install_rate_limited_log(clock: Clock, level: str) -> RateLimitedHandler:
    """Install a handler that writes all log events of the process to standard output.

    :param clock: source of time
    :param level: minimum level to write
    """
    handler = RateLimitedHandler(clock, level)
    handler.push_application()
    return handler


def reserve_last_lines() -> None:
    """Reserve lines for requests that end together, as the process is about to exit."""
    for handler in logbook.Handler.stack_manager.iter_context_objects():
        if isinstance(handler, RateLimitedHandler):
            handler.reserve_lines()
