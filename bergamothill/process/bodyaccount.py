"""Account of the request bodies that the threads of a process have read."""

from __future__ import annotations

import io
import os
import threading
from typing import BinaryIO

from bergamothill.errors import OverloadedError
from bergamothill.request.memoryaccount import Holding, MemoryAccount, Share

__all__ = ["AccountedBody", "BodyAccount", "half_of_memory"]

COPIES = 4
"""Copies of a body that exist while it is read and decoded."""

RETRY_AFTER_MS = 1_000


def half_of_memory() -> int:
    """Return half of the memory of the machine, in bytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") // 2


class BodyAccount:
    """Memory that the bodies of all requests in progress may take together; thread-safe.

    :param max_bytes: its maximum
    """

    def __init__(self, max_bytes: int) -> None:
        self._account = MemoryAccount(max_bytes)
        self._lock = threading.Lock()

    def open(self, stream: BinaryIO) -> AccountedBody:
        """Return a stream that takes what is read of another one."""
        return AccountedBody(stream, Holding(self._account), self._lock)


class AccountedBody(io.RawIOBase):
    """Body of a request, counted as it is read.

    :param stream: body to read
    :param holding: what is taken of the account
    :param lock: protects the account
    """

    def __init__(self, stream: BinaryIO, holding: Holding, lock: threading.Lock) -> None:
        self._stream = stream
        self._holding = holding
        self._lock = lock

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: memoryview) -> int:
        """Read the next bytes.

        :raises OverloadedError: the bodies of all requests take too much memory
        """
        piece = self._stream.read(len(buffer))
        size_bytes = self._holding.size_bytes + COPIES * len(piece)
        with self._lock:
            has_room = self._holding.try_resize(size_bytes, Share.SMALL)
        if not has_room:
            raise OverloadedError(
                "the bodies of all requests take too much memory",
                step="request.read",
                retry_after_ms=RETRY_AFTER_MS,
            )
        buffer[: len(piece)] = piece
        return len(piece)

    def release(self) -> None:
        """Give back what was taken."""
        with self._lock:
            self._holding.release()
