"""Asks other entry instances whether they reach servers, and answers them, on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod

from bergamothill.ids import EntryInstanceId
from bergamothill.process.loadexchange import LoadExchange
from bergamothill.process.reachmessages import (
    ReachMessage,
    ReachQuery,
    ReachReply,
    decode_reach_message,
    encode_reach_query,
    encode_reach_reply,
    is_reach_message,
)

__all__ = ["ReachExchange"]

MAX_REPLYING = 64
"""Questions that are being answered at a time; more are dropped, and asked again."""


class ReachExchange:
    """Carries questions and replies.

    :param own: this entry instance
    :param load_exchange: its socket carries the messages
    :param reaches: awaits whether this instance reaches servers
    :param describe: returns the reply of this instance, given whether it reaches servers
    :param on_reply: called with each reply
    """

    def __init__(
        self,
        own: EntryInstanceId,
        load_exchange: LoadExchange,
        reaches: Callable[[], asyncio.Future[bool]],
        describe: Callable[[bool], ReachReply],
        on_reply: Callable[[ReachReply], None],
    ) -> None:
        self._own = own
        self._load_exchange = load_exchange
        self._reaches = reaches
        self._describe = describe
        self._on_reply = on_reply
        self._replying: dict[EntryInstanceId, asyncio.Task[None]] = {}
        load_exchange.add_kind(is_reach_message, decode_reach_message, self._on_message)

    def ask(self, entries: list[EntryInstanceId]) -> None:
        """Ask some instances."""
        self._load_exchange.send_to(entries, encode_reach_query(ReachQuery(self._own)))

    @singledispatchmethod
    def _on_message(self, message: ReachMessage) -> None:
        raise TypeError(type(message).__name__)

    @_on_message.register
    def _(self, message: ReachQuery) -> None:
        entry = message.entry
        if entry in self._replying or len(self._replying) >= MAX_REPLYING:
            return
        task = asyncio.get_running_loop().create_task(self._reply(entry))
        self._replying[entry] = task
        task.add_done_callback(lambda _task: self._replying.pop(entry, None))

    async def _reply(self, entry: EntryInstanceId) -> None:
        reply = self._describe(await asyncio.shield(self._reaches()))
        self._load_exchange.send_to((entry,), encode_reach_reply(reply))

    @_on_message.register
    def _(self, message: ReachReply) -> None:
        self._on_reply(message)
