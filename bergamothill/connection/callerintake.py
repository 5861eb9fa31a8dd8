"""What the connections of callers share: memory, buffers, and the order in which they yield."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from bergamothill.clock import Clock
from bergamothill.connection.readturns import TURN_BYTES, ReadTurns
from bergamothill.request.connectiontable import ConnectionTable
from bergamothill.request.memoryaccount import Holding, MemoryAccount, Share, caller_memory_bytes

__all__ = [
    "MIN_RETRY_AFTER_MS",
    "REFUSAL_BY_STATUS",
    "CallerIntake",
    "Refusal",
    "YieldingConnection",
]

READ_BYTES = 65_536
"""Maximum bytes of a connection to parse before other connections get their turn."""

MIN_RETRY_AFTER_MS = 500
"""Shortest time after which a caller that found no room may come back."""

DEFAULT_MEMORY_MB = 256

DEFAULT_DESCRIPTORS = 512

RESERVE_BYTES = 1_048_576
"""Room for the head of a large request, its connection, and a block that is not full."""


class Refusal(Enum):
    """Why a caller was refused before its request was handled."""

    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    HEAD_TIMEOUT = "head_timeout"
    MEMORY = "memory"
    """There is no room for it in the account."""

    STALLED = "stalled"
    """It yielded to another one, as it had made the least progress."""

    CONNECTIONS = "connections"
    """There are too many connections."""


REFUSAL_BY_STATUS = {
    400: Refusal.MALFORMED,
    408: Refusal.HEAD_TIMEOUT,
    413: Refusal.BODY_TOO_LARGE,
    431: Refusal.HEAD_TOO_LARGE,
    503: Refusal.MEMORY,
}
"""Reason for each status of a request that is refused unparsed."""


class YieldingConnection(Protocol):
    """Connection that can give up what it holds."""

    def give_way(self, refusal: Refusal) -> None:
        """Release all memory at once, and end.

        :param refusal: reason to record
        """


class CallerIntake:
    """Shared by all connections of an event loop.

    :param clock: source of time
    :param account: memory that may be held for callers
    :param on_refusal: called with each refusal and the address of the caller
    :param max_descriptors: descriptors for the connections, and for those to the servers that
        answer their requests
    """

    def __init__(
        self,
        clock: Clock,
        account: MemoryAccount | None = None,
        on_refusal: Callable[[Refusal, str], None] = lambda _refusal, _peer: None,
        max_descriptors: int = DEFAULT_DESCRIPTORS,
    ) -> None:
        self.account = account or MemoryAccount(caller_memory_bytes(DEFAULT_MEMORY_MB))
        self.table: ConnectionTable[YieldingConnection] = ConnectionTable()
        self.read_buffer = bytearray(READ_BYTES)
        """Buffer for the bytes of the connection that is being read."""

        self.turn_buffer = memoryview(self.read_buffer)[:TURN_BYTES]
        self.turns = ReadTurns()
        self._on_refusal = on_refusal
        self.max_descriptors = max_descriptors
        self._clock = clock

    def record_refusal(self, refusal: Refusal, transport: asyncio.BaseTransport) -> None:
        """Record that a caller was refused.

        :param refusal: reason
        :param transport: transport of its connection
        """
        address = transport.get_extra_info("peername")
        self._on_refusal(refusal, address[0] if address else "")

    def has_descriptors(self, connection: YieldingConnection) -> bool:
        """Return whether a connection may be used; unused ones yield to it if it may not."""
        return _yield_until(
            lambda: self.table.descriptors <= self.max_descriptors,
            lambda: self.table.next_to_close(connection, self._clock.now_ms()),
            Refusal.CONNECTIONS,
        )

    def make_room(
        self, connection: YieldingConnection, holding: Holding, size_bytes: int, share: Share
    ) -> bool:
        """Resize what a connection holds; others yield to it if they have made no progress.

        :returns: whether there was room
        """
        is_large = share is Share.LARGE_BODIES
        return _yield_until(
            lambda: holding.try_resize(size_bytes, share),
            lambda: self._next_to_yield(connection, is_large=is_large),
            Refusal.STALLED,
        )

    @property
    def max_body_bytes(self) -> int:
        """Largest body for which there is room while nothing else is held."""
        return self.account.limit_bytes(Share.LARGE_BODIES) - RESERVE_BYTES

    def has_room(self, connection: YieldingConnection, size_bytes: int) -> bool:
        """Return whether a large body can be received now, if its caller sends it at once."""
        return size_bytes <= self.max_body_bytes and _yield_until(
            lambda: self.account.has_room(size_bytes, Share.LARGE_BODIES),
            lambda: self._next_to_yield(connection, is_large=True),
            Refusal.STALLED,
        )

    def status_without_room(self, body_bytes: int) -> int:
        """Return the status for a request that finds no room now, or never would."""
        return 413 if body_bytes > self.max_body_bytes else 503

    def _next_to_yield(
        self, connection: YieldingConnection, *, is_large: bool
    ) -> YieldingConnection | None:
        return self.table.next_to_yield(connection, self._clock.now_ms(), is_large=is_large)


def _yield_until(
    has_room: Callable[[], bool],
    next_to_yield: Callable[[], YieldingConnection | None],
    refusal: Refusal,
) -> bool:
    """Let connections give way until there is room; return False if none is left to do so."""
    while not has_room():
        yielding = next_to_yield()
        if yielding is None:
            return False
        yielding.give_way(refusal)
    return True
