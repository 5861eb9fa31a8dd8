"""Follows all keys under a prefix of the key-value service.

The prefix is polled with linearizable reads, whose results are at least as recent as the time at
which the read was sent. A watch that reports no event does not prove that the keys are unchanged,
so the watch only triggers the next read earlier.

Where the instances of a zone share their reads, the results of another instance's reads are applied
in the same way, and this instance reads only when it is to read.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.kvs import KeyValueEntry, KeyValueService
from bergamothill.errors import BergamothillError
from bergamothill.ids import EntryInstanceId
from bergamothill.logs import EventLog
from bergamothill.process.prefixshare import PrefixShare
from bergamothill.process.readorder import AppliedRead
from bergamothill.process.readtimes import ReadTimes, poll_interval_ms
from bergamothill.process.supervisor import Guard

__all__ = ["PrefixFollower", "Snapshot", "poll_interval_ms"]

RETRY_INTERVAL_MS = 150
WATCH_TIMEOUT_MS = 15_000
WATCH_RETRY_INTERVAL_MS = 1_000

SHARED_READ_ATTEMPTS = 2
"""A read during which that of another instance was applied is not known to be later; read again."""

SHARED_WATCH_PAUSE_MS = 100
"""Changes that follow each other closely cost a reader one watch and one read together."""

_log = EventLog("store")


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Result of one read of the prefix.

    :param entries: all entries under the prefix
    :param sent_ms: time at which the read was sent
    :param source: instance that read it; None for this one
    """

    entries: tuple[KeyValueEntry, ...]
    sent_ms: int
    source: EntryInstanceId | None = None


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
    :param share: shares the reads with other instances; None to read always
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
        share: PrefixShare | None = None,
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
        self._share = share
        if share is not None:
            share.on_read, share.wake = self._apply_shared, self.wake
        self._is_connected: bool | None = None
        self._is_served_by_peer = False
        self._connection_lock = threading.Lock()
        self._newest_revision = 0
        self._wake = threading.Event()
        self._must_read = threading.Event()
        self._stopped = threading.Event()

    def set_shared_times(self, times: ReadTimes) -> None:
        """Change the times by which the reads are shared."""
        if self._share is not None:
            self._share.set_times(times)

    def start(self) -> None:
        """Start the background threads."""
        for target in (self._poll_loop, self._watch_loop):
            run = self._guard(f"follow {self._prefix}{target.__name__}", target)
            threading.Thread(target=run, name=f"follow {self._prefix}", daemon=True).start()

    def wake(self) -> None:
        """Read the prefix again at once."""
        self._wake.set()

    def read_now(self) -> None:
        """Read the prefix at once, also where another instance reads it."""
        self._must_read.set()
        self._wake.set()

    def stop(self) -> None:
        """Stop the background threads."""
        self._stopped.set()
        self._wake.set()

    def _poll_loop(self) -> None:
        while not self._stopped.is_set():
            started_ms = self._clock.now_ms()
            interval_ms = self.interval_ms
            is_asked = self._must_read.is_set()
            self._must_read.clear()
            must_read = is_asked or self._should_read()
            if must_read and not self._read() and not self._is_served():
                interval_ms = RETRY_INTERVAL_MS
            elapsed_ms = self._clock.now_ms() - started_ms
            self._wake.wait(ms_to_seconds(max(20, interval_ms - elapsed_ms)))
            self._wake.clear()

    def _should_read(self) -> bool:
        return self._share is None or self._share.should_read()

    def _is_served(self) -> bool:
        """Return whether another instance reads the prefix while this one can't."""
        return self._is_served_by_peer and self._share is not None and self._share.is_fresh()

    def _read(self) -> bool:
        sent_ms = self._clock.now_ms()
        share = self._share
        try:
            if self._before_first_read is not None:
                self._before_first_read()
                self._before_first_read = None
            if share is None:
                entries = self._kvs.scan(self._prefix)
            else:
                self._read_for_share(share)
        except BergamothillError as error:
            if share is not None:
                share.record_failure()
            if not self._is_served():
                self._set_connected(False, str(error))
            return False
        self._set_connected(True, "")
        if share is None:
            self._apply(Snapshot(entries, sent_ms))
        return True

    def _read_for_share(self, share: PrefixShare) -> None:
        for _ in range(SHARED_READ_ATTEMPTS):
            era_before, sent_ms = share.era, self._clock.now_ms()
            if share.record_read(self._kvs.scan(self._prefix), era_before, sent_ms):
                return

    def _apply_shared(self, read: AppliedRead) -> None:
        """Apply a read in the order in which they are to be applied, whoever made it."""
        self._is_served_by_peer = read.is_told
        if read.follows_outage:
            self._set_connected(False, f"outage seen by {read.source}")
        self._set_connected(True, "")
        source = read.source if read.is_told else None
        self._apply(Snapshot(read.entries, read.sent_ms, source))

    def _apply(self, snapshot: Snapshot) -> None:
        revisions = (entry.mod_revision for entry in snapshot.entries)
        self._newest_revision = max(self._newest_revision, *revisions, 0)
        self._on_snapshot(snapshot)

    def _watch_loop(self) -> None:
        after = 0
        while not self._stopped.is_set():
            after = max(after, self._newest_revision)
            if not self._is_connected or after == 0 or not self._should_read():
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
            if self._share is not None and self._share.is_sharing:
                self._stopped.wait(ms_to_seconds(SHARED_WATCH_PAUSE_MS))

    def _set_connected(self, is_connected: bool, detail: str) -> None:
        with self._connection_lock:
            if is_connected is self._is_connected:
                return
            self._is_connected = is_connected
            event = "dependency_back" if is_connected else "dependency_lost"
            _log.warning(
                event, dependency="key-value service", prefix=self._prefix, detail=detail or "-"
            )
            self._on_connection_change(is_connected)
