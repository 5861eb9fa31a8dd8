"""Bounded queue of outgoing frames, one per link, so that a slow peer does not delay the others."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass

__all__ = ["OutgoingQueue"]

MAX_FRAMES = 512
MAX_BYTES = 2_000_000


@dataclass(frozen=True, slots=True)
class _QueuedFrame:
    data: bytes
    droppable: bool


class OutgoingQueue:
    """Bounded queue with many producers and one consumer.

    :param max_frames: maximum number of queued frames
    :param max_bytes: maximum total size of the queued frames
    """

    def __init__(self, max_frames: int = MAX_FRAMES, max_bytes: int = MAX_BYTES) -> None:
        self._max_frames = max_frames
        self._max_bytes = max_bytes
        self._frames: deque[_QueuedFrame] = deque()
        self._queued_bytes = 0
        self._closed = False
        self._not_empty = threading.Condition()
        self.dropped = 0

    def put(self, data: bytes, *, droppable: bool) -> bool:
        """Queue a frame, dropping the oldest droppable frames if the queue is full.

        :param data: encoded frame
        :param droppable: the frame may be dropped when the queue is full
        :returns: False when the frame does not fit or the queue is closed
        """
        with self._not_empty:
            if self._closed or not self._make_room(len(data)):
                self.dropped += 1
                return False
            self._frames.append(_QueuedFrame(data, droppable))
            self._queued_bytes += len(data)
            self._not_empty.notify()
            return True

    def get(self) -> bytes | None:
        """Wait for the next frame.

        :returns: the frame, or None when the queue is closed and empty
        """
        with self._not_empty:
            while not self._frames:
                if self._closed:
                    return None
                self._not_empty.wait()
            frame = self._frames.popleft()
            self._queued_bytes -= len(frame.data)
            return frame.data

    def close(self, *, discard: bool) -> None:
        """Close the queue to further frames.

        :param discard: drop the queued frames
        """
        with self._not_empty:
            self._closed = True
            if discard:
                self._frames.clear()
                self._queued_bytes = 0
            self._not_empty.notify_all()

    def _fits(self, size: int) -> bool:
        return len(self._frames) < self._max_frames and self._queued_bytes + size <= self._max_bytes

    def _make_room(self, size: int) -> bool:
        if size > self._max_bytes:
            return False
        while not self._fits(size):
            evicted = next((frame for frame in self._frames if frame.droppable), None)
            if evicted is None:
                return False
            self._frames.remove(evicted)
            self._queued_bytes -= len(evicted.data)
            self.dropped += 1
        return True
