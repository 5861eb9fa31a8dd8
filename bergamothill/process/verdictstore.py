"""Keeps the verdicts on prompt parts in the key-value service, for instances that start later.

The service is called only when a verdict is new or long in use, and when verdicts may have been
missed: at the start, after a pause of the process and after a restoration of the service.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.kvs import ABSENT, KeyValueEntry, KeyValueService
from bergamothill.errors import BergamothillError, ConflictError, ProtocolError
from bergamothill.logs import EventLog
from bergamothill.process.quarantinecodec import decode_verdicts, encode_verdicts
from bergamothill.request.crashevidence import CrashReport, PartId
from bergamothill.request.partquarantine import Verdict

__all__ = ["VERDICTS_KEY", "VerdictStore"]

VERDICTS_KEY = "quarantine/parts"

STORED_TTL_MS = 600_000
REFRESH_MS = 300_000
"""A verdict in use is written again before its stored copy expires."""

RETRY_MS = 500
CONFLICT_RETRY_MS = 50
IDLE_WAIT_MS = 5_000

_log = EventLog("quarantine")


@dataclass(frozen=True, slots=True)
class _Use:
    """Last use of a verdict, and the crash reports that it rests on."""

    last_wall_ms: int
    reports: frozenset[CrashReport]


_Uses = dict[frozenset[PartId], _Use]


class VerdictStore:
    """Reads and writes the stored verdicts; :meth:`run` is to be called in a separate thread.

    :param kvs: key-value service
    :param clock: source of time
    :param on_read: called with the stored verdicts after each read that was requested
    """

    def __init__(
        self,
        kvs: KeyValueService,
        clock: Clock,
        on_read: Callable[[tuple[Verdict, ...]], None],
    ) -> None:
        self._kvs = kvs
        self._clock = clock
        self._on_read = on_read
        self._lock = threading.Lock()
        self._is_read_requested = True
        self._own: _Uses = {}
        self._write_due_ms: int | None = None
        self._stored: _Uses = {}
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
            self._stored = {}
            self._is_read_requested = True
            if self._own:
                self._write_due_ms = self._clock.now_ms()
        self._wake.set()

    def record(self, verdicts: Iterable[Verdict], *, delay_ms: int) -> None:
        """Record the verdicts in force, to be written if the service lacks one.

        :param delay_ms: time in which another entry instance may write them first
        """
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        with self._lock:
            self._own = _uses(verdicts, wall_ms)
            if not self._must_write():
                return
            due_ms = now_ms + delay_ms
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

    def _must_write(self) -> bool:
        return any(
            parts not in self._stored
            or use.last_wall_ms - self._stored[parts].last_wall_ms >= REFRESH_MS
            for parts, use in self._own.items()
        )

    def _read_if_requested(self) -> None:
        with self._lock:
            is_requested, self._is_read_requested = self._is_read_requested, False
        if not is_requested:
            return
        try:
            verdicts = self._decode(self._kvs.get(VERDICTS_KEY))
        except BergamothillError:
            with self._lock:
                self._is_read_requested = True
            raise
        _log.info("verdicts_read", count=len(verdicts))
        self._on_read(verdicts)

    def _write_if_due(self) -> int:
        with self._lock:
            due_ms = self._write_due_ms
            if due_ms is None:
                return IDLE_WAIT_MS
            wait_ms = due_ms - self._clock.now_ms()
            if wait_ms > 0:
                return wait_ms
        entry = self._kvs.get(VERDICTS_KEY)
        self._decode(entry)
        with self._lock:
            merged = _merge(self._stored, self._own)
            is_needed = self._must_write()
        if is_needed:
            self._put(merged, ABSENT if entry is None else entry.mod_revision)
        with self._lock:
            self._write_due_ms = None
        return IDLE_WAIT_MS

    def _put(self, merged: _Uses, expected: int) -> None:
        wall_ms = self._clock.wall_ms()
        verdicts = [
            Verdict(parts, max(0, wall_ms - use.last_wall_ms), use.reports)
            for parts, use in merged.items()
            if wall_ms - use.last_wall_ms <= STORED_TTL_MS
        ]
        self._kvs.put_if(VERDICTS_KEY, encode_verdicts(verdicts, wall_ms), expected=expected)
        with self._lock:
            self._stored = merged
        _log.info("verdicts_written", count=len(verdicts))

    def _decode(self, entry: KeyValueEntry | None) -> tuple[Verdict, ...]:
        """Decode what was read and remember it; an unreadable value counts as none."""
        wall_ms = self._clock.wall_ms()
        try:
            verdicts = () if entry is None else decode_verdicts(entry.value, wall_ms)
        except ProtocolError as error:
            _log.warning("entry_unreadable", key=VERDICTS_KEY, error=error.message)
            verdicts = ()
        with self._lock:
            self._stored = _uses(verdicts, wall_ms)
        return verdicts


def _uses(verdicts: Iterable[Verdict], wall_ms: int) -> _Uses:
    return {v.parts: _Use(wall_ms - v.idle_ms, v.reports) for v in verdicts}


def _merge(stored: _Uses, own: _Uses) -> _Uses:
    """Return the union, each with the time of its latest use."""
    merged = dict(stored)
    for parts, use in own.items():
        known = stored.get(parts, use)
        last_wall_ms = max(use.last_wall_ms, known.last_wall_ms)
        merged[parts] = _Use(last_wall_ms, known.reports)
    return merged
