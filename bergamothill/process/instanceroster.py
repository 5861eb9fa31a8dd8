"""Entry instances among which the rate of a limited server is divided; no I/O and no clock.

An instance that stops, or that others no longer hear of, keeps its place until its requests must
have ended, and a new one begins when all others must know of it. So no two divisions in use at the
same time grant more than the whole.
"""

from __future__ import annotations

from collections.abc import Iterable

from bergamothill.ids import EntryInstanceId

__all__ = ["InstanceRoster"]

DEPARTURE_MS = 6_000
"""Time for which an instance that is no longer registered nor heard keeps its place at least."""

DISCOVERY_MS = 5_000
"""Time in which the others learn of a new instance; two reads of the registrations."""

RETURN_MS = 9_000
"""Time without a read after which others may drop an instance; its registration lasts 10 s."""


class InstanceRoster:
    """Entry instances known to one of them.

    Without a successful read of the registrations nobody joins or leaves: an instance that is cut
    off from them keeps its share, and does not take those of instances that it no longer hears.

    :param own: this entry instance
    """

    def __init__(self, own: EntryInstanceId) -> None:
        self.own = own
        self.revision = 0
        """Increases with each change of the members."""

        self._joins_ms: int | None = None
        self._read_ms = 0
        self._settles_ms: int | None = None
        self._registered: frozenset[EntryInstanceId] = frozenset()
        self._seen_ms: dict[EntryInstanceId, int] = {}
        self._members: frozenset[EntryInstanceId] = frozenset({own})

    @property
    def members(self) -> frozenset[EntryInstanceId]:
        """All instances that may be sending, including this one."""
        return self._members

    def set_registered(self, entries: Iterable[EntryInstanceId], now_ms: int) -> None:
        """Set the other instances that are registered, as this one is, by a read just made."""
        if self._joins_ms is None:
            self._joins_ms = now_ms + DISCOVERY_MS
        if self._settles_ms is None or now_ms - self._read_ms > RETURN_MS:
            self._settles_ms = now_ms + DISCOVERY_MS
        self._read_ms = now_ms
        before, self._registered = self._registered, frozenset(entries)
        for entry in before - self._registered:
            self._seen_ms[entry] = now_ms
        for entry, seen_ms in list(self._seen_ms.items()):
            if now_ms - seen_ms > DEPARTURE_MS:
                del self._seen_ms[entry]
        self._update()

    def record_heard(self, entry: EntryInstanceId, now_ms: int) -> None:
        """Record a datagram from another instance."""
        self._seen_ms[entry] = now_ms
        if entry not in self._members:
            self._update()

    def heard_ms(self, entry: EntryInstanceId) -> int | None:
        """Return when another instance was last heard, or left; None if it was not heard."""
        return self._seen_ms.get(entry)

    def record_pause(self, duration_ms: int, now_ms: int) -> None:
        """Join anew after a pause of this process in which its place may have been given away."""
        if duration_ms >= DEPARTURE_MS and self._joins_ms is not None:
            self._joins_ms = now_ms + DISCOVERY_MS

    def has_joined(self, now_ms: int) -> bool:
        """Return whether all others must know of this instance."""
        return self._joins_ms is not None and now_ms >= self._joins_ms

    def is_settled(self, now_ms: int) -> bool:
        """Return whether no other instance can divide what this one counts on.

        Others drop an instance once its registration has lapsed, and one that is new begins after
        :data:`DISCOVERY_MS`. So an instance whose last read of the registrations is older than that
        may not count on its place, nor one that has returned until the others know of it.
        """
        is_recent = now_ms - self._read_ms <= DISCOVERY_MS
        return self.has_joined(now_ms) and is_recent and now_ms >= self._settles_ms

    def _update(self) -> None:
        members = self._registered | self._seen_ms.keys() | {self.own}
        if members != self._members:
            self._members = members
            self.revision += 1
