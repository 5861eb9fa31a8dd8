"""Follows all keys under a prefix of the key-value service.

The prefix is polled with linearizable reads, whose results are at least as recent as the time at
which the read was sent. A watch that reports no event does not prove that the keys are unchanged,
so the watch only triggers the next read earlier.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.kvs import KeyValueEntry, KeyValueService
from bergamothill.errors import BergamothillError
from bergamothill.logs import EventLog
from bergamothill.process.supervisor import Guard

__all__ = ["PrefixFollower", "Snapshot", "poll_interval_ms"]

POLLS_PER_BOUND = 2
READ_MARGIN_MS = 100
MIN_POLL_INTERVAL_MS = 200
RETRY_INTERVAL_MS = 150
WATCH_TIMEOUT_MS = 15_000
WATCH_RETRY_INTERVAL_MS = 1_000

_log = EventLog("store")


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Result of one read of the prefix.

    :param entries: all entries under the prefix
    :param sent_ms: time at which the read was sent
    """

    entries: tuple[KeyValueEntry, ...]
    sent_ms: int


def poll_interval_ms(bound_ms: int) -> int:
    """Return how often to read a prefix whose changes must be known in time without a watch.

    :param bound_ms: time within which a change must be known
    """
    return max(MIN_POLL_INTERVAL_MS, bound_ms // POLLS_PER_BOUND - READ_MARGIN_MS)


class PrefixFollower:
    """Polls and watches a prefix in background threads.

    :param kvs: key-value service
    :param clock: source of time
    :param prefix: prefix to follow
    :param interval_ms: time between two reads
    :param on_snapshot: called with each snapshot, in a background thread
    :param on_connection_change: called when the connection to the service is lost (False) or
        restored (True)
    :param before_first_read: called in the background thread before the first snapshot, again
        until it raises no error
    :param guard: restarts the background threads after errors
    """

    def __init__(
        self,
        kvs: KeyValueService,
        clock: Clock,
        prefix: str,
        interval_ms: int,
        on_snapshot: Callable[[Snapshot], None],
        on_connection_change: Callable[[bool], None],
        before_first_read: Callable[[], None] | None = None,
        guard: Guard | None = None,
    ) -> None:
        self._guard = guard or (lambda _name, run: run)
        self._kvs = kvs
        self._clock = clock
        self._prefix = prefix
        self.interval_ms = interval_ms
        self._on_snapshot = on_snapshot
        self._on_connection_change = on_connection_change
        self._before_first_read = before_first_read
        self._is_connected: bool | None = None
        self._newest_revision = 0
        self._wake = threading.Event()
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start the background threads."""
        for target in (self._poll_loop, self._watch_loop):
            run = self._guard(f"follow {self._prefix}{target.__name__}", target)
            threading.Thread(target=run, name=f"follow {self._prefix}", daemon=True).start()

    def wake(self) -> None:
        """Read the prefix again at once."""
        self._wake.set()

    def stop(self) -> None:
        """Stop the background threads."""
        self._stopped.set()
        self._wake.set()

    def _poll_loop(self) -> None:
        while not self._stopped.is_set():
            started_ms = self._clock.now_ms()
            interval_ms = self.interval_ms if self._read() else RETRY_INTERVAL_MS
            elapsed_ms = self._clock.now_ms() - started_ms
            self._wake.wait(ms_to_seconds(max(20, interval_ms - elapsed_ms)))
            self._wake.clear()

    def _read(self) -> bool:
        sent_ms = self._clock.now_ms()
        try:
            if self._before_first_read is not None:
                self._before_first_read()
                self._before_first_read = None
            entries = self._kvs.scan(self._prefix)
        except BergamothillError as error:
            self._set_connected(False, str(error))
            return False
        self._set_connected(True, "")
        revisions = (entry.mod_revision for entry in entries)
        self._newest_revision = max(self._newest_revision, *revisions, 0)
        self._on_snapshot(Snapshot(entries, sent_ms))
        return True

    def _watch_loop(self) -> None:
        after = 0
        while not self._stopped.is_set():
            after = max(after, self._newest_revision)
            if not self._is_connected or after == 0:
                self._stopped.wait(ms_to_seconds(WATCH_RETRY_INTERVAL_MS))
                continue
            try:
                changed_revision = self._kvs.wait_for_change(
                    self._prefix, after=after, timeout_ms=WATCH_TIMEOUT_MS
                )
            except BergamothillError as error:
                _log.info("watch_ended", prefix=self._prefix, reason=error.message)
                self._stopped.wait(ms_to_seconds(WATCH_RETRY_INTERVAL_MS))
                continue
            if changed_revision == 0:
                _log.info(
                    "watch_ended",
                    prefix=self._prefix,
                    reason="watch history is no longer available",
                )
                self._stopped.wait(ms_to_seconds(WATCH_RETRY_INTERVAL_MS))
            after = max(after, changed_revision)
            self._wake.set()

    def _set_connected(self, is_connected: bool, detail: str) -> None:
        if is_connected is self._is_connected:
            return
        self._is_connected = is_connected
        event = "dependency_back" if is_connected else "dependency_lost"
        _log.warning(
            event, dependency="key-value service", prefix=self._prefix, detail=detail or "-"
        )
        self._on_connection_change(is_connected)
