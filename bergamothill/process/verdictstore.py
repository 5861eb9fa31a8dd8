"""Keeps verdicts and crash reports in the key-value service, for instances that start later.

The service is called only when one is new or settled or a verdict is long in use, and when they may
have been missed: at the start, after a pause of the process and after a restoration of the service.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import replace

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.kvs import ABSENT, KeyValueEntry, KeyValueService
from bergamothill.errors import BergamothillError, ConflictError, ProtocolError
from bergamothill.logs import EventLog
from bergamothill.process.quarantinecodec import decode_stored, encode_stored
from bergamothill.request.partquarantine import ReportedCrash, StoredQuarantine, Verdict

__all__ = ["VERDICTS_KEY", "VerdictStore"]

VERDICTS_KEY = "quarantine/parts"

STORED_TTL_MS = 600_000
REFRESH_MS = 300_000
"""A verdict in use is written again before its stored copy expires."""

RETRY_MS = 500
CONFLICT_RETRY_MS = 50
IDLE_WAIT_MS = 5_000

_log = EventLog("quarantine")


class VerdictStore:
    """Reads and writes the stored verdicts; :meth:`run` is to be called in a separate thread.

    :param kvs: key-value service
    :param clock: source of time
    :param merge: called after each read with what is stored, in the same thread; adds it to what is
        known here and returns what is to be stored
    """

    def __init__(
        self,
        kvs: KeyValueService,
        clock: Clock,
        merge: Callable[[StoredQuarantine], StoredQuarantine],
    ) -> None:
        self._kvs = kvs
        self._clock = clock
        self._merge = merge
        self._lock = threading.Lock()
        self._is_read_requested = True
        self._write_due_ms: int | None = None
        self._must_replace = False
        self._stored = StoredQuarantine()
        self._stored_wall_ms = 0
        self._last_failure = ""
        self._wake = threading.Event()
        self._is_stopped = False

    def run(self) -> None:
        """Read and write until stopped."""
        while not self._is_stopped:
            wait_ms = self.step()
            self._wake.wait(ms_to_seconds(wait_ms))
            self._wake.clear()

    def stop(self) -> None:
        """Stop :meth:`run`."""
        self._is_stopped = True
        self._wake.set()

    def request_read(self) -> None:
        """Read the verdicts as soon as possible."""
        with self._lock:
            self._is_read_requested = True
        self._wake.set()

    def handle_restore(self) -> None:
        """Read again, and write what is missing, as the service was restored from an old copy."""
        with self._lock:
            self._stored = StoredQuarantine()
            self._is_read_requested = True
            self._write_due_ms = self._clock.now_ms()
        self._wake.set()

    def record(self, known: StoredQuarantine, *, delay_ms: int, is_own: bool) -> None:
        """Write what is known here, if the service lacks any of it.

        :param known: verdicts and crash reports
        :param delay_ms: time in which another entry instance may write them first
        :param is_own: whether they changed by evidence of this instance, which then also removes
            what it knows to be outdated
        """
        with self._lock:
            must_replace = is_own and self._is_outdated(known)
            if not (must_replace or self._is_lacking(known)):
                return
            self._must_replace |= must_replace
            due_ms = self._clock.now_ms() + delay_ms
            if self._write_due_ms is None or due_ms < self._write_due_ms:
                self._write_due_ms = due_ms
        self._wake.set()

    def step(self) -> int:
        """Make the calls that are due; return after how many milliseconds to step again."""
        try:
            self._read_if_requested()
            wait_ms = self._write_if_due()
            self._last_failure = ""
            return wait_ms
        except ConflictError:
            return CONFLICT_RETRY_MS
        except BergamothillError as error:
            if error.message != self._last_failure:
                _log.warning("verdicts_failed", step=error.step, reason=error.message)
            self._last_failure = error.message
            return RETRY_MS

    def _is_lacking(self, known: StoredQuarantine) -> bool:
        """Return whether the service lacks a verdict, its recent use, or news of a crash."""
        passed_ms = self._clock.wall_ms() - self._stored_wall_ms
        idle_ms = {v.parts: v.idle_ms + passed_ms for v in self._stored.verdicts}
        if any(
            idle_ms.get(verdict.parts, REFRESH_MS) - verdict.idle_ms >= REFRESH_MS
            for verdict in known.verdicts
        ):
            return True
        stored = {row.report.report_id: row for row in self._stored.crashes}
        return any(_is_news(row, stored.get(row.report.report_id)) for row in known.crashes)

    def _is_outdated(self, known: StoredQuarantine) -> bool:
        """Return whether the service has a verdict that does not hold here."""
        parts = {verdict.parts for verdict in known.verdicts}
        return any(verdict.parts not in parts for verdict in self._stored.verdicts)

    def _read_if_requested(self) -> None:
        with self._lock:
            is_requested, self._is_read_requested = self._is_read_requested, False
        if not is_requested:
            return
        try:
            stored = self._decode(self._kvs.get(VERDICTS_KEY))
            self._merge(stored)
        except BergamothillError:
            with self._lock:
                self._is_read_requested = True
            raise
        _log.info("verdicts_read", count=len(stored.verdicts), crashes=len(stored.crashes))

    def _write_if_due(self) -> int:
        with self._lock:
            due_ms = self._write_due_ms
            if due_ms is None:
                return IDLE_WAIT_MS
            wait_ms = due_ms - self._clock.now_ms()
            if wait_ms > 0:
                return wait_ms
        entry = self._kvs.get(VERDICTS_KEY)
        known = self._merge(self._decode(entry))
        with self._lock:
            must_replace = self._must_replace and self._is_outdated(known)
            must_write = must_replace or self._is_lacking(known)
        if must_write:
            self._put(known, ABSENT if entry is None else entry.mod_revision)
        with self._lock:
            if self._write_due_ms == due_ms:
                self._write_due_ms, self._must_replace = None, False
        return IDLE_WAIT_MS if self._write_due_ms is None else 0

    def _put(self, known: StoredQuarantine, expected: int) -> None:
        wall_ms = self._clock.wall_ms()
        self._kvs.put_if(VERDICTS_KEY, encode_stored(known, wall_ms), expected=expected)
        with self._lock:
            self._stored, self._stored_wall_ms = known, wall_ms
        _log.info("verdicts_written", count=len(known.verdicts), crashes=len(known.crashes))

    def _decode(self, entry: KeyValueEntry | None) -> StoredQuarantine:
        """Decode what was read and remember it; an unreadable value counts as none."""
        wall_ms = self._clock.wall_ms()
        try:
            stored = StoredQuarantine() if entry is None else decode_stored(entry.value, wall_ms)
        except ProtocolError as error:
            _log.warning("entry_unreadable", key=VERDICTS_KEY, error=error.message)
            stored = StoredQuarantine()
        with self._lock:
            self._stored, self._stored_wall_ms = stored, wall_ms
        return replace(stored, verdicts=tuple(v for v in stored.verdicts if _is_recent(v)))


def _is_recent(verdict: Verdict) -> bool:
    return verdict.idle_ms <= STORED_TTL_MS


def _is_news(row: ReportedCrash, stored: ReportedCrash | None) -> bool:
    """Return whether the service should get a crash report.

    :param stored: what it has of the report; None if it lacks it
    """
    if stored is None:
        return not row.is_settled
    return not stored.is_settled and row.has_more_than(stored)
