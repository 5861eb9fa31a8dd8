"""Bounded queue of outgoing frames, one for each link, so that a slow peer delays only itself."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass

__all__ = ["OutgoingQueue"]

MAX_FRAMES = 512
MAX_BYTES = 2_000_000


@dataclass(frozen=True, slots=True)
class _Entry:
    data: bytes
    droppable: bool


class OutgoingQueue:
    """Queue between many writers and one sender.

    :param max_frames: most frames that wait
    :param max_bytes: most bytes that wait
    """

    def __init__(self, max_frames: int = MAX_FRAMES, max_bytes: int = MAX_BYTES) -> None:
        self._max_frames = max_frames
        self._max_bytes = max_bytes
        self._entries: deque[_Entry] = deque()
        self._bytes = 0
        self._closed = False
        self._ready = threading.Condition()
        self.dropped = 0

    def put(self, data: bytes, *, droppable: bool) -> bool:
        """Queue a frame; the oldest droppable frames make room for it.

        :param data: encoded frame
        :param droppable: the frame may be dropped when the queue is full
        :returns: False when there is no room, or the queue is closed
        """
        with self._ready:
            if self._closed or not self._make_room(len(data)):
                self.dropped += 1
                return False
            self._entries.append(_Entry(data, droppable))
            self._bytes += len(data)
            self._ready.notify()
            return True

    def get(self) -> bytes | None:
        """Wait for the next frame.

        :returns: the frame, or None when the queue is closed and empty
        """
        with self._ready:
            while not self._entries:
                if self._closed:
                    return None
                self._ready.wait()
            entry = self._entries.popleft()
            self._bytes -= len(entry.data)
            return entry.data

    def close(self, *, discard: bool) -> None:
        """Refuse further frames.

        :param discard: drop the frames that wait
        """
        with self._ready:
            self._closed = True
            if discard:
                self._entries.clear()
                self._bytes = 0
            self._ready.notify_all()

    def _fits(self, size: int) -> bool:
        return len(self._entries) < self._max_frames and self._bytes + size <= self._max_bytes

    def _make_room(self, size: int) -> bool:
        if size > self._max_bytes:
            return False
        while not self._fits(size):
            victim = next((entry for entry in self._entries if entry.droppable), None)
            if victim is None:
                return False
            self._entries.remove(victim)
            self._bytes -= len(victim.data)
            self.dropped += 1
        return True
