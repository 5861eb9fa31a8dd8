"""Tells and asks the other entry instances where streams began, on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import singledispatchmethod
from itertools import count

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.ids import EntryInstanceId
from bergamothill.logs import EventLog
from bergamothill.process.instanceroster import InstanceRoster
from bergamothill.process.loadexchange import LoadExchange
from bergamothill.process.originholders import holders
from bergamothill.process.originrepeats import OriginRepeats
from bergamothill.process.originreport import (
    OriginMessage,
    OriginNotice,
    OriginQuery,
    OriginReply,
    decode_origin_message,
    encode_origin_message,
    is_origin_message,
)
from bergamothill.process.originsearch import OriginSearch
from bergamothill.process.wakeup import wait_until_set
from bergamothill.request.streamorigin import (
    KnownOrigin,
    StreamKey,
    StreamOrigin,
    StreamOrigins,
    may_record,
)

__all__ = ["FIND_TIMEOUT_MS", "OriginExchange"]

REPEAT_INTERVAL_MS = 50
ASK_AGAIN_MS = 40
FIND_TIMEOUT_MS = 150
MAX_OPEN_SEARCHES = 1_000

_log = EventLog("streams")


@dataclass(frozen=True, slots=True, eq=False)
class _OpenSearch:
    search: OriginSearch
    ended: asyncio.Event = field(default_factory=asyncio.Event)


class OriginExchange:
    """Tells the holders of a stream where it began, and asks them when it is taken up.

    :param clock: source of time
    :param origins: what this entry instance knows itself
    :param load_exchange: its socket carries the messages
    :param roster: all entry instances
    :param on_report: called with the sender after each received message
    """

    def __init__(
        self,
        clock: Clock,
        origins: StreamOrigins,
        load_exchange: LoadExchange,
        roster: InstanceRoster,
        on_report: Callable[[EntryInstanceId], None],
    ) -> None:
        self._clock = clock
        self._origins = origins
        self._load_exchange = load_exchange
        self._roster = roster
        self._on_report = on_report
        self._repeats = OriginRepeats()
        self._repeat_turns = count(1)
        self._wake = asyncio.Event()
        # Replies to an earlier process of this instance must not match.
        self._query_ids = count(clock.wall_ms() << 16)
        self._searches: dict[int, _OpenSearch] = {}
        self.confirms: Callable[[StreamOrigin, int], bool] = lambda _origin, _since_ms: False
        """Tells whether a presumed origin is certain by now, from when this instance knew it."""

        load_exchange.add_kind(is_origin_message, decode_origin_message, self._on_origin_message)

    async def run(self) -> None:
        """Repeat what was told until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while not self._repeats.is_empty:
                await asyncio.sleep(ms_to_seconds(REPEAT_INTERVAL_MS))
                for notice in self._repeats.take_due(self._clock.now_ms()):
                    self._send_notice(notice.entries, notice.origins, is_repeat=True)

    def tell(self, origin: StreamOrigin) -> None:
        """Record where a stream began and tell the other holders before returning.

        :param origin: where it began
        """
        now_ms = self._clock.now_ms()
        self._origins.record(origin, now_ms)
        told = self._other_holders(origin.key) if may_record(origin.key) else ()
        if told:
            self._send_notice(told, (origin,))
            self._repeats.add(origin, told, now_ms)
            self._wake.set()

    async def find(self, key: StreamKey, give_up_ms: int) -> KnownOrigin | None:
        """Return where a stream began; None if no holder knows it or it is ambiguous.

        :param key: identifies the stream
        :param give_up_ms: time after which the answer is of no use
        """
        started_ms = self._clock.now_ms()
        search = OriginSearch(key)
        search.look_up(self._origins, started_ms)
        until_ms = min(give_up_ms, started_ms + FIND_TIMEOUT_MS)
        has_room = len(self._searches) < MAX_OPEN_SEARCHES
        if search.outcome is None and may_record(key) and has_room and until_ms > started_ms:
            await self._ask_holders(search, until_ms)
            search.look_up(self._origins, self._clock.now_ms())
        search.give_up()
        _log_search(search, self._clock.now_ms() - started_ms)
        known = search.known
        return self._settle(known) if known is not None and known.source is None else known

    def _settle(self, known: KnownOrigin) -> KnownOrigin:
        """Return what this instance knows, as certain if that is shown by now."""
        origin = known.origin
        if origin.is_presumed and self.confirms(origin, self._clock.now_ms() - known.age_ms):
            return replace(known, origin=replace(origin, is_presumed=False))
        return known

    async def _ask_holders(self, search: OriginSearch, until_ms: int) -> None:
        query_id = next(self._query_ids)
        query = encode_origin_message(OriginQuery(self._roster.own, query_id, search.key))
        opened = self._searches[query_id] = _OpenSearch(search)
        try:
            asked = self._load_exchange.send_to(self._other_holders(search.key), query)
            search.record_asked(asked)
            ask_again_ms = min(until_ms, self._clock.now_ms() + ASK_AGAIN_MS)
            await self._wait(opened, ask_again_ms)
            if search.outcome is None and ask_again_ms < until_ms:
                self._load_exchange.send_to(search.unanswered, query)
                await self._wait(opened, until_ms)
        finally:
            del self._searches[query_id]

    async def _wait(self, opened: _OpenSearch, until_ms: int) -> None:
        if opened.search.outcome is None:
            await wait_until_set(opened.ended, until_ms - self._clock.now_ms())

    def _other_holders(self, key: StreamKey) -> tuple[EntryInstanceId, ...]:
        own = self._roster.own
        return tuple(entry for entry in holders(key, self._roster.members) if entry != own)

    def _send_notice(
        self,
        entries: tuple[EntryInstanceId, ...],
        origins: tuple[StreamOrigin, ...],
        *,
        is_repeat: bool = False,
    ) -> None:
        notice = encode_origin_message(OriginNotice(self._roster.own, origins))
        # The second time others pass it on, as one of the first may have stopped.
        turn = next(self._repeat_turns) if is_repeat else 0
        self._load_exchange.share(entries, notice, turn, is_repeat=is_repeat)

    def _on_origin_message(self, message: OriginMessage) -> None:
        self._on_message(message)
        self._on_report(message.entry)

    @singledispatchmethod
    def _on_message(self, message: OriginMessage) -> None:
        raise TypeError(type(message).__name__)

    @_on_message.register
    def _(self, message: OriginNotice) -> None:
        now_ms = self._clock.now_ms()
        for origin in message.origins:
            self._origins.record(origin, now_ms)

    @_on_message.register
    def _(self, message: OriginQuery) -> None:
        now_ms = self._clock.now_ms()
        known = self._origins.find(message.key, now_ms)
        origin = None if known is None else self._settle(known).origin
        is_ambiguous = self._origins.is_ambiguous(message.key, now_ms)
        reply = OriginReply(self._roster.own, message.query_id, origin, is_ambiguous)
        self._load_exchange.send_to((message.entry,), encode_origin_message(reply))

    @_on_message.register
    def _(self, message: OriginReply) -> None:
        opened = self._searches.get(message.query_id)
        if opened is None:
            return
        search = opened.search
        search.on_reply(message, self._clock.wall_ms())
        if search.known is not None:
            self._origins.record(search.known.origin, self._clock.now_ms())
        if search.outcome is not None:
            opened.ended.set()


def _log_search(search: OriginSearch, took_ms: int) -> None:
    known = search.known
    source = "-" if known is None else known.source or "own"
    _log.info(
        "stream_origin",
        request=search.key.request,
        brand=search.key.brand or "-",
        outcome=search.outcome.value,
        version="-" if known is None else known.origin.version,
        source=source,
        age_ms="-" if known is None else known.age_ms,
        asked=len(search.asked),
        replied=len(search.replied),
        took_ms=took_ms,
    )
