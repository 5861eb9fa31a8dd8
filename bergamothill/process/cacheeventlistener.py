"""Follows the cache events of engines and stores, one task for each, and updates the index.

A source admits a limited number of readers. With more entry instances than that, some know less of
what it has cached; they do not take it for unreachable.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from functools import partial

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.pollconnection import PollConnection
from bergamothill.errors import BergamothillError, OverloadedError
from bergamothill.logs import EventLog
from bergamothill.platform.cachedcontext import (
    decode_events,
    encode_event_poll,
    is_source_leaving,
)
from bergamothill.version.cacheindex import CacheIndex

__all__ = ["CacheEventListener", "poll_interval_ms"]

LONG_POLL_MS = 700  # long enough not to count as a probe, short enough to notice a restart
REPLY_MARGIN_MS = 500
MAX_READ_MS = 5_000
"""Longest read while bytes arrive: a history of events takes long on a narrow link."""

BEHIND_MS = 2_000
"""Time without a reply after which a source is expected to have a history of events."""

HISTORY_POLL_MS = 200
"""Wait of a read of a history, as others wait for its end; shorter ones count as probes."""

HISTORIES_AT_A_TIME = 2
"""An instance reads this many histories at a time, which leaves other replies room on its link."""

RECONNECT_DELAY_MS = 250

INTERVAL_PER_SOURCE_MS = 8
"""Limits an instance to 125 polls a second: under load each reply has events and comes at once."""

MAX_POLL_INTERVAL_MS = 250
"""Longest time between two polls; a server that answers no polls counts as silent after 600 ms."""

FULL_SOURCE_RETRY_MS = 30_000
"""Mean delay before a source that has as many readers as it admits is tried again.

Each try costs a connection and a request at the source. A place becomes free only when another
entry instance stops.
"""

FULL_RETRY_INSTANCES = 16
"""Number of entry instances above which that delay grows in proportion.

So the tries of all instances together do not grow, and a free place is taken as soon as before.
"""

RANKED_RETRY_MS = 2_000
"""Mean delay where only as many instances try as a source admits: one of the others is leaving."""

StartTask = Callable[[str, Callable[[], Awaitable[None]]], asyncio.Task[None]]

_log = EventLog("kept")


def poll_interval_ms(source_count: int) -> int:
    """Return the shortest time between two polls of a source.

    :param source_count: number of engines and stores that are followed
    """
    return min(MAX_POLL_INTERVAL_MS, INTERVAL_PER_SOURCE_MS * source_count)


def _start_task(_name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
    return asyncio.get_running_loop().create_task(run())


class CacheEventListener:
    """Follows the cache events of a changing set of engines and stores.

    :param index: index of cached context to update
    :param clock: source of time
    :param on_reply: called after each reply with the address of the engine or store, and with
        whether it says that it is leaving
    :param on_full: called with an address that admits no further reader
    :param on_connection_change: called with an address when its connection is lost (False) or
        restored (True)
    :param on_failure: called with an address each time that it can't be read
    :param start_task: starts a task, and again after each error
    """

    def __init__(
        self,
        index: CacheIndex,
        clock: Clock,
        on_reply: Callable[[str, bool], None],
        on_full: Callable[[str], None],
        on_connection_change: Callable[[str, bool], None],
        start_task: StartTask | None = None,
        on_failure: Callable[[str], None] = lambda _address: None,
    ) -> None:
        self._start_task = start_task or _start_task
        self._on_full = on_full
        self._on_failure = on_failure
        self._on_connection_change = on_connection_change
        self._index = index
        self._clock = clock
        self._on_reply = on_reply
        self.instance_count = 1
        """Number of entry instances that may try to read a source."""

        self.has_ranked_readers = False
        """Whether only as many instances try to read a source as it admits."""

        self.replies = 0
        """Number of reads that returned."""

        self._histories = asyncio.Semaphore(HISTORIES_AT_A_TIME)
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._lost: set[str] = set()
        self._full: set[str] = set()

    def follow(self, addresses: Iterable[str], others: Iterable[str] = ()) -> None:
        """Set the engines and stores to follow.

        :param addresses: their addresses
        :param others: addresses of those that other entry instances follow
        """
        current = dict.fromkeys(addresses)
        for address in others:
            self._on_full(address)
        for address in self._tasks.keys() - current:
            self._tasks.pop(address).cancel()
            self._index.forget(address)
            self._full.discard(address)
        for address in [address for address in current if address not in self._tasks]:
            self._tasks[address] = self._start_task("events", partial(self._listen, address))

    def retry_full(self) -> None:
        """Try the sources again that were full, as others may have stopped reading them."""
        for address in self._full & self._tasks.keys():
            self._tasks.pop(address).cancel()
            self._tasks[address] = self._start_task("events", partial(self._listen, address))
        self._full.clear()

    def stop(self) -> None:
        """Stop following all engines and stores."""
        self.follow(())

    async def _listen(self, address: str) -> None:
        connection = PollConnection("cached context", address)
        # A source may be followed again after its connection was lost.
        is_connected = False if address in self._lost else None
        try:
            while True:
                polled_ms = self._clock.now_ms()
                try:
                    await self._read_next(connection, address)
                except OverloadedError:
                    connection.close()
                    delay_ms = self._full_retry_ms() * (0.5 + random.random())
                    _log.info("source_full", address=address, retry_ms=int(delay_ms))
                    if is_connected is False:
                        self._tell_connection(address, is_connected=True)
                    is_connected = None
                    self._on_full(address)
                    self._full.add(address)
                    await asyncio.sleep(ms_to_seconds(delay_ms))
                    self._full.discard(address)
                except BergamothillError as error:
                    if is_connected is not False:
                        _log.info("source_lost", address=address, reason=error.message)
                        self._tell_connection(address, is_connected=False)
                    is_connected = False
                    self._on_failure(address)
                    await asyncio.sleep(ms_to_seconds(RECONNECT_DELAY_MS))
                else:
                    if is_connected is False:
                        _log.info("source_back", address=address)
                        self._tell_connection(address, is_connected=True)
                    is_connected = True
                    await self._pause(polled_ms)
        finally:
            connection.close()

    async def _pause(self, polled_ms: int) -> None:
        """Wait until a source may be polled again; events that come meanwhile are read together.

        :param polled_ms: time of the poll before
        """
        pause_ms = poll_interval_ms(len(self._tasks)) - (self._clock.now_ms() - polled_ms)
        if pause_ms > 0:
            await asyncio.sleep(ms_to_seconds(pause_ms))

    def _full_retry_ms(self) -> float:
        if self.has_ranked_readers:
            return RANKED_RETRY_MS
        return FULL_SOURCE_RETRY_MS * max(1.0, self.instance_count / FULL_RETRY_INSTANCES)

    def _tell_connection(self, address: str, *, is_connected: bool) -> None:
        if is_connected:
            self._lost.discard(address)
        else:
            self._lost.add(address)
        self._on_connection_change(address, is_connected)

    async def _read_next(self, connection: PollConnection, address: str) -> None:
        """Read the next events of a source, or all that came in a long time without a reply."""
        source = self._index.source(address)
        if source.epoch and self._clock.now_ms() - source.answered_ms < BEHIND_MS:
            await self._read_events(connection, address, LONG_POLL_MS)
            return
        async with self._histories:
            await self._read_events(connection, address, HISTORY_POLL_MS)

    async def _read_events(self, connection: PollConnection, address: str, wait_ms: int) -> None:
        source = self._index.source(address)
        sent_ms = self._clock.now_ms()
        head = encode_event_poll(address, source.next_sequence_number, wait_ms)
        reply = await connection.read(
            head, step="kept.events", timeout_ms=wait_ms + REPLY_MARGIN_MS, max_ms=MAX_READ_MS
        )
        self.replies += 1
        self._on_reply(address, is_source_leaving(reply))
        epoch = source.epoch
        batch = decode_events(reply)
        has_gap = source.apply(batch, sent_ms, self._clock.now_ms())
        if has_gap or batch.epoch != epoch:
            _log.info(
                "source_epoch", address=address, epoch=batch.epoch, before=epoch, has_gap=has_gap
            )
