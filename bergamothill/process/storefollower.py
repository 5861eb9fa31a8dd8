"""Follows a prefix of the key-value service.

Reads are linearizable and repeated, since their send times are what the freshness of keys counts
from; a silent watch would prove nothing. A watch only makes the next read come sooner.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from bergamothill.clock import Clock, seconds
from bergamothill.connection.kvs import KeyValueEntry, KeyValueService
from bergamothill.errors import BergamothillError
from bergamothill.logs import EventLog

__all__ = ["Snapshot", "StoreFollower"]

POLL_INTERVAL_MS = 900  # half of the shortest bound that counts from a change, 2 s, less a call
RETRY_INTERVAL_MS = 150
WATCH_WAIT_MS = 15_000
WATCH_RETRY_MS = 1_000

_log = EventLog("store")


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Result of one read of the prefix.

    :param entries: all entries below it
    :param sent_ms: when the read was sent
    """

    entries: tuple[KeyValueEntry, ...]
    sent_ms: int


class StoreFollower:
    """Reads a prefix again and again, in threads of its own.

    :param kvs: key-value service
    :param clock: source of time
    :param prefix: prefix to read
    :param on_snapshot: takes a snapshot; called in a thread
    :param on_link: told when the service is lost (False) or back (True)
    """

    def __init__(
        self,
        kvs: KeyValueService,
        clock: Clock,
        prefix: str,
        on_snapshot: Callable[[Snapshot], None],
        on_link: Callable[[bool], None],
    ) -> None:
        self._kvs = kvs
        self._clock = clock
        self._prefix = prefix
        self._on_snapshot = on_snapshot
        self._on_link = on_link
        self._is_linked: bool | None = None
        self._newest_revision = 0
        self._wake = threading.Event()
        self._stopped = threading.Event()

    def start(self) -> None:
        """Begin to follow."""
        for target in (self._poll, self._watch):
            threading.Thread(target=target, name=f"follow {self._prefix}", daemon=True).start()

    def stop(self) -> None:
        """Stop following."""
        self._stopped.set()
        self._wake.set()

    def _poll(self) -> None:
        while not self._stopped.is_set():
            started_ms = self._clock.now_ms()
            interval_ms = POLL_INTERVAL_MS if self._read() else RETRY_INTERVAL_MS
            passed_ms = self._clock.now_ms() - started_ms
            self._wake.wait(seconds(max(20, interval_ms - passed_ms)))
            self._wake.clear()

    def _read(self) -> bool:
        sent_ms = self._clock.now_ms()
        try:
            entries = self._kvs.scan(self._prefix)
        except BergamothillError as error:
            self._note_link(False, str(error))
            return False
        self._note_link(True, "")
        revisions = (entry.mod_revision for entry in entries)
        self._newest_revision = max(self._newest_revision, *revisions, 0)
        self._on_snapshot(Snapshot(entries, sent_ms))
        return True

    def _watch(self) -> None:
        after = 0
        while not self._stopped.is_set():
            after = max(after, self._newest_revision)
            if not self._is_linked or after == 0:
                self._stopped.wait(seconds(WATCH_RETRY_MS))
                continue
            try:
                found = self._kvs.wait_change(self._prefix, after=after, timeout_ms=WATCH_WAIT_MS)
            except BergamothillError as error:
                _log.info("watch_ended", prefix=self._prefix, reason=error.message)
                self._stopped.wait(seconds(WATCH_RETRY_MS))
                continue
            if found == 0:
                _log.info("watch_ended", prefix=self._prefix, reason="history is gone")
                self._stopped.wait(seconds(WATCH_RETRY_MS))
            after = max(after, found)
            self._wake.set()

    def _note_link(self, is_linked: bool, detail: str) -> None:
        if is_linked is self._is_linked:
            return
        self._is_linked = is_linked
        event = "dependency_back" if is_linked else "dependency_lost"
        _log.warning(
            event, dependency="key-value service", prefix=self._prefix, detail=detail or "-"
        )
        self._on_link(is_linked)
