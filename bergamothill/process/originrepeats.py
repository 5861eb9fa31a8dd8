"""Origins of streams that peers are told a second time, as datagrams may be lost; no I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from bergamothill.ids import EntryInstanceId
from bergamothill.process.originreport import MAX_ORIGINS
from bergamothill.request.streamorigin import StreamOrigin

__all__ = ["OriginRepeats", "RepeatedNotice"]

REPEAT_DELAY_MS = 100

MAX_PENDING = 1_000
"""The oldest beyond these are not repeated."""


@dataclass(frozen=True, slots=True)
class RepeatedNotice:
    """Notice that is sent again.

    :param entries: receivers
    :param origins: what they were told before, in one or several notices
    """

    entries: tuple[EntryInstanceId, ...]
    origins: tuple[StreamOrigin, ...]


@dataclass(frozen=True, slots=True)
class _Pending:
    origin: StreamOrigin
    entries: tuple[EntryInstanceId, ...]
    due_ms: int


class OriginRepeats:
    """Origins that were told once."""

    def __init__(self) -> None:
        self._pending: deque[_Pending] = deque(maxlen=MAX_PENDING)

    @property
    def is_empty(self) -> bool:
        """Whether nothing is left to repeat."""
        return not self._pending

    def add(self, origin: StreamOrigin, entries: tuple[EntryInstanceId, ...], now_ms: int) -> None:
        """Add an origin that was just told.

        :param origin: where a stream began
        :param entries: instances that were told
        :param now_ms: current time
        """
        self._pending.append(_Pending(origin, entries, now_ms + REPEAT_DELAY_MS))

    def take_due(self, now_ms: int) -> Iterator[RepeatedNotice]:
        """Return the notices that are due, each origin once to each of its receivers."""
        due: list[StreamOrigin] = []
        numbers: dict[EntryInstanceId, list[int]] = {}
        while self._pending and self._pending[0].due_ms <= now_ms:
            pending = self._pending.popleft()
            for entry in pending.entries:
                numbers.setdefault(entry, []).append(len(due))
            due.append(pending.origin)
        # Instances that were told the same share a notice, so that it is encoded once.
        receivers: dict[tuple[int, ...], list[EntryInstanceId]] = {}
        for entry, chosen in numbers.items():
            receivers.setdefault(tuple(chosen), []).append(entry)
        for chosen, entries in receivers.items():
            for start in range(0, len(chosen), MAX_ORIGINS):
                origins = tuple(due[number] for number in chosen[start : start + MAX_ORIGINS])
                yield RepeatedNotice(tuple(entries), origins)
