"""Follows the key-value service: configuration, weight goals and backend servers.

Reads are linearizable and repeated, since their send times are what the freshness of keys counts
from; a silent watch would prove nothing.
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

POLL_INTERVAL_MS = 400  # a quarter of the shortest bound that counts from a change, 1.5 s
RETRY_INTERVAL_MS = 150

_log = EventLog("store")


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Result of one read of a prefix.

    :param prefix: prefix that was read
    :param entries: all entries below it
    :param sent_ms: when the read was sent
    """

    prefix: str
    entries: tuple[KeyValueEntry, ...]
    sent_ms: int


class StoreFollower:
    """Reads prefixes again and again in a thread of its own.

    :param kvs: key-value service
    :param clock: source of time
    :param prefixes: prefixes to read
    :param on_snapshot: takes a snapshot; called in the thread
    :param on_link: told when the service is lost (False) or back (True)
    """

    def __init__(
        self,
        kvs: KeyValueService,
        clock: Clock,
        prefixes: tuple[str, ...],
        on_snapshot: Callable[[Snapshot], None],
        on_link: Callable[[bool], None],
    ) -> None:
        self._kvs = kvs
        self._clock = clock
        self._prefixes = prefixes
        self._on_snapshot = on_snapshot
        self._on_link = on_link
        self._is_linked: bool | None = None
        self._stopped = threading.Event()

    def run(self) -> None:
        """Poll until stopped."""
        while not self._stopped.is_set():
            started_ms = self._clock.now_ms()
            is_linked = all([self._read(prefix) for prefix in self._prefixes])
            interval_ms = POLL_INTERVAL_MS if is_linked else RETRY_INTERVAL_MS
            passed_ms = self._clock.now_ms() - started_ms
            self._stopped.wait(seconds(max(20, interval_ms - passed_ms)))

    def stop(self) -> None:
        """Stop polling."""
        self._stopped.set()

    def _read(self, prefix: str) -> bool:
        sent_ms = self._clock.now_ms()
        try:
            entries = self._kvs.scan(prefix)
        except BergamothillError as error:
            self._note_link(False, prefix, str(error))
            return False
        self._note_link(True, prefix, "")
        self._on_snapshot(Snapshot(prefix, entries, sent_ms))
        return True

    def _note_link(self, is_linked: bool, prefix: str, detail: str) -> None:
        if is_linked is self._is_linked:
            return
        self._is_linked = is_linked
        event = "dependency_back" if is_linked else "dependency_lost"
        _log.warning(event, dependency="key-value service", read=prefix, detail=detail)
        self._on_link(is_linked)
