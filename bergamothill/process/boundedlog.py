"""Log lines on standard output that are bounded in rate and never block the process."""

from __future__ import annotations

import os
import sys
import threading
from collections import deque

import logbook

from bergamothill.clock import Clock

__all__ = ["BoundedHandler", "install_bounded_log"]

LINES_PER_S = 200
"""Lines a second that one process writes, over time: 2 for each request of its share, twice."""

BURST_LINES = 1_000
MAX_PENDING = 2_000
FLUSH_INTERVAL_S = 0.05
_FORMAT = (
    "ts={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} "
    "part={record.channel} {record.message}"
)


class BoundedHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):
    """Writes lines from a thread of its own; what exceeds the rate is counted and left out.

    :param clock: source of time
    :param level: least severe level that is written
    """

    def __init__(self, clock: Clock, level: str) -> None:
        logbook.Handler.__init__(self, level.upper())
        logbook.StringFormatterHandlerMixin.__init__(self, _FORMAT)
        self._clock = clock
        self._lines: deque[str] = deque()
        self._allowed = float(BURST_LINES)
        self._refilled_ms = clock.now_ms()
        self._suppressed = 0
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def emit(self, record: logbook.LogRecord) -> None:
        """Take a record; returns at once."""
        now_ms = self._clock.now_ms()
        earned = (now_ms - self._refilled_ms) * LINES_PER_S / 1_000
        self._allowed = min(BURST_LINES, self._allowed + max(0.0, earned))
        self._refilled_ms = now_ms
        if self._allowed < 1 or len(self._lines) >= MAX_PENDING:
            self._suppressed += 1
            return
        self._allowed -= 1
        if self._suppressed:
            self._lines.append(f"level=WARNING part=log event=suppressed count={self._suppressed}")
            self._suppressed = 0
        self._lines.append(self.format(record))
        self._wake.set()

    def close(self) -> None:
        """Write what is pending and stop."""
        self._stopped = True
        self._wake.set()
        self._thread.join(timeout=1)

    def _run(self) -> None:
        while not self._stopped or self._lines:
            self._wake.wait()
            self._wake.clear()
            pending = []
            while self._lines:
                pending.append(self._lines.popleft())
            if pending:
                self._write("\n".join(pending) + "\n")

    def _write(self, text: str) -> None:
        try:
            os.write(sys.stdout.fileno(), text.encode())
        except OSError:
            # Nowhere to report it: the reader of standard output is gone.
            self._suppressed += text.count("\n")


def install_bounded_log(clock: Clock, level: str) -> BoundedHandler:
    """Send all events of the process to standard output.

    :param clock: source of time
    :param level: least severe level that is written
    """
    handler = BoundedHandler(clock, level)
    handler.push_application()
    return handler
