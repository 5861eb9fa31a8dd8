"""Incarnations of backend servers that left, and which of their entries may be trusted; no I/O.

A key-value service that was restored from an older copy lists servers again that left after the
copy was made. Their entries stay until they expire, as nobody renews them.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from bergamothill.ids import ServerId
from bergamothill.process.backends import BackendServer
from bergamothill.process.observedserver import ObservedServer

__all__ = ["Departures"]

MAX_DEPARTURES = 4_096
"""Bounds the memory; several times the number of servers that come and go in an hour."""


@dataclass(frozen=True, slots=True)
class _Departure:
    """How an incarnation left.

    :param had_left: whether it was known to be leaving; otherwise its entry was missing
    :param restore_count: number of restorations of the service seen before
    :param quiet_until_ms: end of the pause that it had asked for
    """

    had_left: bool
    restore_count: int
    quiet_until_ms: int


class Departures:
    """Incarnations that left since this process started; only the latest are kept.

    :param entry_expiry_ms: time without a sign of life after which a server's entry is removed
    """

    def __init__(self, entry_expiry_ms: int) -> None:
        self._entry_expiry_ms = entry_expiry_ms
        self._departed: OrderedDict[tuple[ServerId, int], _Departure] = OrderedDict()
        self._restore_count = 0
        self._copy_expires_ms = 0

    def record_restore(self, now_ms: int) -> None:
        """Record that the key-value service was restored from an older copy."""
        self._restore_count += 1
        self._copy_expires_ms = now_ms + self._entry_expiry_ms

    def record(self, state: ObservedServer) -> None:
        """Record that an incarnation is gone."""
        incarnation = state.entry.incarnation
        known = self._departed.get(incarnation)
        if known is None:
            known = _Departure(state.is_leaving, self._restore_count, state.quiet_until_ms)
        had_left = known.had_left or state.is_leaving
        quiet_until_ms = max(known.quiet_until_ms, state.quiet_until_ms)
        self._departed[incarnation] = replace(
            known, had_left=had_left, quiet_until_ms=quiet_until_ms
        )
        while len(self._departed) > MAX_DEPARTURES:
            self._departed.popitem(last=False)

    def forget(self, entry: BackendServer) -> None:
        """Forget that an incarnation was gone, as it is listed again; leaving stays final."""
        departure = self._departed.get(entry.incarnation)
        if departure is not None and not departure.had_left:
            del self._departed[entry.incarnation]

    def return_state(self, entry: BackendServer, listed_ms: int) -> ObservedServer:
        """Return the state of a server that is listed, with what its incarnation said before.

        :param entry: its entry
        :param listed_ms: time at which the read that returned the entry was sent
        """
        departure = self._departed.get(entry.incarnation)
        if departure is None:
            return ObservedServer(entry, listed_ms=listed_ms)
        self.forget(entry)
        entry = replace(entry, is_leaving=entry.is_leaving or departure.had_left)
        return ObservedServer(entry, listed_ms=listed_ms, quiet_until_ms=departure.quiet_until_ms)

    def is_outdated(self, entry: BackendServer, current_start_ms: int, sent_ms: int) -> bool:
        """Return whether an entry may be one that only the older copy still has.

        :param entry: entry that was read
        :param current_start_ms: start of the incarnation known by this id, in milliseconds since
            the epoch; 0 if none is known
        :param sent_ms: time at which the read was sent
        """
        departure = self._departed.get(entry.incarnation)
        is_restored_since = departure is None or departure.restore_count < self._restore_count
        if is_restored_since and sent_ms < self._copy_expires_ms:
            return departure is not None or entry.started_wall_ms < current_start_ms
        return False
