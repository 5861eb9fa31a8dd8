"""Listens to the events of engines and stores, one task for each, and keeps the index."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from bergamothill.clock import Clock, seconds
from bergamothill.connection.pollconnection import PollConnection
from bergamothill.errors import BergamothillError
from bergamothill.logs import EventLog
from bergamothill.platform.keptcontext import decode_events, encode_events_read
from bergamothill.version.keptindex import KeptIndex

__all__ = ["KeptListener"]

WAIT_MS = 700  # long enough not to count as a probe, short enough to notice a restart
REPLY_SLACK_MS = 500
FAULT_PAUSE_MS = 250

_log = EventLog("kept")


class KeptListener:
    """Follows a changing set of engines and stores.

    :param index: index to keep
    :param clock: source of time
    :param on_reply: told the address of each engine or store that answered
    :param on_link: told when the connection to an address is lost (False) or back (True)
    """

    def __init__(
        self,
        index: KeptIndex,
        clock: Clock,
        on_reply: Callable[[str], None],
        on_link: Callable[[str, bool], None],
    ) -> None:
        self._on_link = on_link
        self._index = index
        self._clock = clock
        self._on_reply = on_reply
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def follow(self, addresses: Iterable[str]) -> None:
        """Set the engines and stores to listen to.

        :param addresses: their addresses
        """
        wanted = set(addresses)
        for address in set(self._tasks) - wanted:
            self._tasks.pop(address).cancel()
            self._index.forget(address)
        for address in wanted - set(self._tasks):
            task = asyncio.get_running_loop().create_task(self._listen(address))
            self._tasks[address] = task

    def stop(self) -> None:
        """Stop listening."""
        self.follow(())

    async def _listen(self, address: str) -> None:
        connection = PollConnection("kept context", address)
        is_linked: bool | None = None
        try:
            while True:
                try:
                    await self._read(connection, address)
                except BergamothillError as error:
                    if is_linked is not False:
                        _log.info("source_lost", address=address, reason=error.message)
                        self._on_link(address, False)
                    is_linked = False
                    await asyncio.sleep(seconds(FAULT_PAUSE_MS))
                else:
                    if is_linked is False:
                        _log.info("source_back", address=address)
                        self._on_link(address, True)
                    is_linked = True
        finally:
            connection.close()

    async def _read(self, connection: PollConnection, address: str) -> None:
        source = self._index.source(address)
        sent_ms = self._clock.now_ms()
        head = encode_events_read(address, source.next_number, WAIT_MS)
        reply = await connection.read(head, step="kept.events", timeout_ms=WAIT_MS + REPLY_SLACK_MS)
        self._on_reply(address)
        epoch = source.epoch
        batch = decode_events(reply)
        has_gap = source.apply(batch, sent_ms, self._clock.now_ms())
        if has_gap or batch.epoch != epoch:
            _log.info(
                "source_epoch", address=address, epoch=batch.epoch, before=epoch, has_gap=has_gap
            )
