"""Reads of the key-value service shared by the instances of a zone; no I/O and no clock.

Followers ask the readers, which answer with the age and the digest of their last read and with the
content that the follower lacks. A read counts from when the query was sent, less its age: it was
sent no earlier, however late the datagrams arrive and however long either process was paused.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import singledispatchmethod

from bergamothill.errors import ProtocolError
from bergamothill.ids import EntryInstanceId, ZoneName
from bergamothill.process.readcontent import (
    NO_BASE,
    ContentBudget,
    ContentCache,
    Entries,
    decode_content,
    digest_entries,
)
from bergamothill.process.readmessages import (
    Confirmation,
    ContentPiece,
    ReadAnswer,
    ReadMessage,
    ReadNotice,
    ReadQuery,
    WantedPrefix,
)
from bergamothill.process.readorder import AppliedRead, ReadOrder, SeenRead
from bergamothill.process.readoutages import ReadOutages
from bergamothill.process.readtimes import ReadTimes
from bergamothill.process.registry import Peer
from bergamothill.process.zonereaders import READERS_PER_ZONE, ReadRole, ZoneReaders

__all__ = ["SharedReads"]

QUERY_INTERVAL_MS = 500
QUERIES_PER_SILENCE = 2
QUERY_TTL_MS = 5_000
SOURCE_TTL_MS = 4_000
"""Longer than the interval of any reads, with which those that took over make themselves known."""

MAX_OPEN_QUERIES = 256

FETCH_REPEAT_MS = 60
FETCH_TIMEOUT_MS = 500
"""Time without the content of a newer read after which an instance reads for itself."""

PIECES_PER_QUERY = 16
MAX_FAILURE_NOTICES = 6
"""Instances of a zone that tell of failed reads; the others read once no confirmations come."""

CONFIRM_STEP_MS = 300
"""Unchanged content is applied again once it is known to be newer by this much."""

ROUNDING_MS = 1


@dataclass(frozen=True, slots=True)
class _OwnRead:
    """The last read that this instance made itself."""

    number: int
    era: int
    digest: bytes
    sent_ms: int
    done_ms: int


@dataclass(slots=True)
class _Fetch:
    """Content that is being fetched, with the read that returned it."""

    read: SeenRead
    era: int
    outage_ms: int | None
    started_ms: int
    asked_ms: int
    base: bytes = NO_BASE
    count: int = 0
    pieces: dict[int, bytes] = field(default_factory=dict)

    @property
    def missing(self) -> tuple[int, ...]:
        """Numbers of the pieces that are missing, as far as their count is known."""
        return tuple(index for index in range(self.count) if index not in self.pieces)


@dataclass(slots=True)
class _Prefix:
    order: ReadOrder = field(default_factory=ReadOrder)
    contents: ContentCache = field(default_factory=ContentCache)
    own: _OwnRead | None = None
    is_failing: bool = False
    notice: bytes | None = None
    failed_notice_ms: int = 0
    outages: ReadOutages = field(default_factory=ReadOutages)
    told_ms: int = 0
    fetch: _Fetch | None = None
    has_stuck_fetch: bool = False


@dataclass(frozen=True, slots=True)
class _OpenQuery:
    entry: EntryInstanceId
    sent_ms: int


class SharedReads:
    """State machine of one instance.

    :param own: this entry instance
    :param zone: its availability zone
    :param first_number: number of its first read and query; higher than those of earlier processes
    """

    def __init__(self, own: EntryInstanceId, zone: ZoneName, first_number: int) -> None:
        self._own = own
        self.readers = ZoneReaders(own, zone)
        self.era = 0
        """Newest era of the service known here; reads of earlier ones do not count."""

        self._number = first_number
        self._prefixes: dict[str, _Prefix] = {}
        self._budget = ContentBudget()
        self._queries: OrderedDict[int, _OpenQuery] = OrderedDict()
        self._heard_ms: dict[EntryInstanceId, int] = {}
        self._queried_ms: dict[EntryInstanceId, int] = {}
        self._outgoing: list[tuple[tuple[EntryInstanceId, ...], ReadMessage]] = []

    def set_times(self, prefix: str, times: ReadTimes) -> None:
        """Set the times of a prefix; the first call adds the prefix."""
        self.readers.set_times(prefix, times)
        self._prefixes.setdefault(prefix, _Prefix())

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Set the other registered instances."""
        self.readers.set_peers(peers)

    def take_outgoing(self) -> list[tuple[tuple[EntryInstanceId, ...], ReadMessage]]:
        """Return the messages that are to be sent, with their receivers."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def role(self, prefix: str, now_ms: int) -> ReadRole:
        """Return why this instance reads a prefix now, or that it follows."""
        state = self._prefixes[prefix]
        role = self.readers.role(prefix, now_ms)
        if role is ReadRole.FOLLOWER and (state.own is None or state.has_stuck_fetch):
            return ReadRole.ALONE
        return role

    def should_read(self, prefix: str, now_ms: int) -> bool:
        """Return whether this instance reads a prefix itself."""
        return self.role(prefix, now_ms) is not ReadRole.FOLLOWER

    def is_fresh(self, prefix: str, now_ms: int) -> bool:
        """Return whether a read that is at most one interval old was applied, whoever made it."""
        age_ms = now_ms - self._prefixes[prefix].order.sent_ms
        return age_ms <= self.readers.times(prefix).interval_ms

    # Own reads.

    def on_read(
        self, prefix: str, entries: Entries, era: int | None, sent_ms: int, now_ms: int
    ) -> AppliedRead | None:
        """Process the result of an own read.

        :param era: era in which it was read; None if that is not certain, so that it is not told
        :returns: the content, unless a later read was applied meanwhile
        """
        state = self._prefixes[prefix]
        self._number += 1
        digest, times = digest_entries(entries), self.readers.times(prefix)
        read = SeenRead(self._own, self._number, digest, sent_ms, now_ms)
        last_ms = state.order.last_ms
        follows_outage = state.outages.on_own_read(sent_ms, last_ms, times.interval_ms)
        state.is_failing = False
        self.readers.record_success(prefix, self._own)
        state.has_stuck_fetch, state.fetch = False, None
        if era is not None and era < self.era:
            return None
        if era is not None:
            self.era = max(self.era, era)
            state.own = _OwnRead(self._number, era, digest, sent_ms, now_ms)
            state.contents.add(digest, entries)
            self._tell(prefix, digest, now_ms)
        era = self.era if era is None else era
        return self._apply(prefix, read, era, entries, follows_outage)

    def on_read_failed(self, prefix: str, now_ms: int) -> None:
        """Process the failure of an own read."""
        state = self._prefixes[prefix]
        is_first = not state.is_failing
        state.is_failing = True
        state.outages.record_own_failure(now_ms)
        self.readers.record_failure(prefix, self._own, now_ms)
        if is_first or now_ms - state.failed_notice_ms >= QUERY_INTERVAL_MS:
            state.failed_notice_ms = now_ms
            self._tell(prefix, b"", now_ms)

    def _tell(self, prefix: str, digest: bytes, now_ms: int) -> None:
        state, role = self._prefixes[prefix], self.role(prefix, now_ms)
        if role in (ReadRole.ALONE, ReadRole.FOLLOWER):
            return
        # The readers are asked regularly; others become known by their notices.
        is_news = digest != state.notice or not digest or role is not ReadRole.READER
        # While the service is away nobody can read, and not all need to tell all others.
        may_tell = bool(digest) or self._own in self.readers.ranking[:MAX_FAILURE_NOTICES]
        if is_news and may_tell:
            state.notice = digest
            self._send(self.readers.others, ReadNotice(self._own, prefix, digest))

    def _apply(
        self, prefix: str, read: SeenRead, era: int, entries: Entries, follows_outage: bool
    ) -> AppliedRead | None:
        state = self._prefixes[prefix]
        order = state.order
        if not order.may_apply(read, era):
            return None
        is_step = (
            read.source == self._own
            or read.digest != order.digest
            or read.sent_ms >= state.told_ms + CONFIRM_STEP_MS
        )
        order.apply(read, era)
        state.contents.add(read.digest, entries)
        self.readers.record_read(prefix, order.sent_ms)
        if not is_step:
            return None
        state.told_ms = order.sent_ms
        is_told = read.source != self._own
        return AppliedRead(
            prefix, entries, order.sent_ms, era, read.source, follows_outage, is_told
        )

    # Queries.

    def tick(self, now_ms: int) -> None:
        """Ask the readers if that is due; call it several times in a query interval."""
        if not self.readers.is_sharing:
            return
        fetched_from = set()
        for state in self._prefixes.values():
            fetch = state.fetch
            if fetch is None:
                continue
            if now_ms - fetch.started_ms >= FETCH_TIMEOUT_MS:
                state.fetch, state.has_stuck_fetch = None, True
            elif now_ms - fetch.asked_ms >= FETCH_REPEAT_MS:
                fetch.asked_ms = now_ms
                fetched_from.add(fetch.read.source)
        for entry in fetched_from:
            self._query(entry, now_ms)
        if not self._needs_answers:
            return
        sources, interval_ms = self._sources(now_ms), self._query_interval_ms
        self._queried_ms = {e: at for e, at in self._queried_ms.items() if e in sources}
        for entry in sources:
            queried_ms = self._queried_ms.get(entry)
            if queried_ms is None or now_ms - queried_ms >= interval_ms:
                self._query(entry, now_ms)

    def is_fetching(self) -> bool:
        """Return whether content of another instance's read is being fetched."""
        return any(state.fetch is not None for state in self._prefixes.values())

    @property
    def _needs_answers(self) -> bool:
        is_reader = self._own in self.readers.ranking[:READERS_PER_ZONE]
        return not is_reader or any(state.is_failing for state in self._prefixes.values())

    @property
    def _query_interval_ms(self) -> int:
        silences = (self.readers.times(prefix).silence_ms for prefix in self._prefixes)
        return min(QUERY_INTERVAL_MS, min(silences) // QUERIES_PER_SILENCE)

    def _sources(self, now_ms: int) -> tuple[EntryInstanceId, ...]:
        """Return the readers and the two that told last that they read as well."""
        for entry, heard_ms in list(self._heard_ms.items()):
            if now_ms - heard_ms >= SOURCE_TTL_MS:
                del self._heard_ms[entry]
        readers = [e for e in self.readers.ranking[:READERS_PER_ZONE] if e != self._own]
        latest = sorted(self._heard_ms.keys() - set(readers), key=self._heard_ms.__getitem__)
        return (*readers, *latest[-READERS_PER_ZONE:])

    def _query(self, entry: EntryInstanceId, now_ms: int) -> None:
        self._number += 1
        for query_id, query in list(self._queries.items()):
            is_old = now_ms - query.sent_ms >= QUERY_TTL_MS
            if not is_old and len(self._queries) < MAX_OPEN_QUERIES:
                break
            del self._queries[query_id]
        self._queries[self._number] = _OpenQuery(entry, now_ms)
        self._queried_ms[entry] = now_ms
        wanted = []
        for prefix, state in self._prefixes.items():
            fetch = state.fetch
            is_fetched = fetch is not None and fetch.read.source == entry and fetch.count
            wanted.append(
                WantedPrefix(
                    prefix,
                    state.order.digest or b"",
                    fetch.read.digest if is_fetched else b"",
                    fetch.missing[:PIECES_PER_QUERY] if is_fetched else (),
                )
            )
        self._send((entry,), ReadQuery(self._own, self._number, tuple(wanted)))

    def _send(self, entries: tuple[EntryInstanceId, ...], message: ReadMessage) -> None:
        self._outgoing.append((entries, message))

    # Messages.

    def on_message(self, message: ReadMessage, now_ms: int) -> list[AppliedRead]:
        """Process a message of another instance.

        :returns: content to apply, in this order
        """
        applied = self._on_message(message, now_ms)
        return [read for read in applied if read is not None]

    @singledispatchmethod
    def _on_message(self, message: ReadMessage, now_ms: int) -> list[AppliedRead | None]:
        raise TypeError(type(message).__name__)

    @_on_message.register
    def _(self, message: ReadNotice, now_ms: int) -> list[AppliedRead | None]:
        state = self._prefixes.get(message.prefix)
        if state is None or message.entry not in self.readers.ranking:
            return []
        if not message.digest:
            self._record_failure(message.prefix, message.entry, now_ms)
            return []
        self.readers.record_success(message.prefix, message.entry)
        self._heard_ms[message.entry] = now_ms
        fetched = None if state.fetch is None else state.fetch.read.digest
        is_news = message.digest not in (state.order.digest, fetched)
        is_older = now_ms - state.order.sent_ms >= CONFIRM_STEP_MS
        if self.readers.is_sharing and self._needs_answers and (is_news or is_older):
            self._query(message.entry, now_ms)
        return []

    def _record_failure(self, prefix: str, entry: EntryInstanceId, now_ms: int) -> None:
        self._prefixes[prefix].outages.record_failure(now_ms)
        self.readers.record_failure(prefix, entry, now_ms)

    @_on_message.register
    def _(self, message: ReadQuery, now_ms: int) -> list[AppliedRead | None]:
        confirmations = []
        for wanted in message.wanted:
            state = self._prefixes.get(wanted.prefix)
            own = None if state is None else state.own
            if state is None or own is None or own.era != self.era:
                continue
            outage_ms = state.outages.ended_ms
            confirmations.append(
                Confirmation(
                    wanted.prefix,
                    own.era,
                    own.number,
                    now_ms - own.sent_ms,
                    now_ms - own.done_ms,
                    own.digest,
                    None if outage_ms is None else now_ms - outage_ms,
                    state.is_failing,
                )
            )
        answer = ReadAnswer(self._own, message.query_id, tuple(confirmations))
        self._send((message.entry,), answer)
        for wanted in message.wanted:
            self._send_content(message.entry, wanted, now_ms)
        return []

    def _send_content(self, entry: EntryInstanceId, wanted: WantedPrefix, now_ms: int) -> None:
        state = self._prefixes.get(wanted.prefix)
        own = None if state is None else state.own
        if state is None or own is None or own.era != self.era or own.digest == wanted.digest:
            return
        base = wanted.digest if wanted.digest in state.contents else NO_BASE
        pieces = state.contents.encode(own.digest, base)
        indexes: Iterable[int] = range(min(len(pieces), PIECES_PER_QUERY))
        if wanted.fetched == own.digest:
            indexes = [index for index in wanted.missing if index < len(pieces)]
        for index in list(indexes)[:PIECES_PER_QUERY]:
            if not self._budget.try_spend(len(pieces[index]), now_ms):
                return
            place = (own.digest, base, index, len(pieces))
            self._send((entry,), ContentPiece(self._own, wanted.prefix, *place, pieces[index]))

    @_on_message.register
    def _(self, message: ReadAnswer, now_ms: int) -> list[AppliedRead | None]:
        query = self._queries.pop(message.query_id, None)
        if query is None or query.entry != message.entry:
            return []
        return [
            self._on_confirmation(row, query, now_ms)
            for row in message.confirmations
            if row.prefix in self._prefixes
        ]

    def _on_confirmation(
        self, row: Confirmation, query: _OpenQuery, now_ms: int
    ) -> AppliedRead | None:
        state = self._prefixes[row.prefix]
        if row.is_failing:
            self._record_failure(row.prefix, query.entry, now_ms)
            return None
        self.readers.record_success(row.prefix, query.entry)
        # The first content is an own read, as what was applied before cannot be compared with it.
        if row.era < self.era or state.order.digest is None:
            return None
        self.era = row.era
        sent_ms = query.sent_ms - row.sent_age_ms - ROUNDING_MS
        done_ms = now_ms - row.done_age_ms + ROUNDING_MS
        read = SeenRead(query.entry, row.number, row.digest, sent_ms, done_ms)
        age_ms = row.outage_age_ms
        outage_ms = None if age_ms is None else query.sent_ms - age_ms - ROUNDING_MS
        if not state.order.may_apply(read, row.era):
            return None
        entries = state.contents.get(row.digest)
        if entries is None:
            self._begin_fetch(state, read, row.era, outage_ms, query, now_ms)
            return None
        return self._apply_told(row.prefix, read, row.era, outage_ms, entries, now_ms)

    def _begin_fetch(
        self,
        state: _Prefix,
        read: SeenRead,
        era: int,
        outage_ms: int | None,
        query: _OpenQuery,
        now_ms: int,
    ) -> None:
        fetch = state.fetch
        if fetch is None:
            # The pieces follow the answer; what does not arrive is asked for again.
            state.fetch = _Fetch(read, era, outage_ms, query.sent_ms, now_ms)
        elif fetch.read.digest == read.digest and fetch.read.source == read.source:
            fetch.read, fetch.era, fetch.outage_ms = read, era, outage_ms
        elif fetch.read.source == read.source or not fetch.pieces:
            state.fetch = _Fetch(read, era, outage_ms, fetch.started_ms, now_ms)

    def _apply_told(
        self,
        prefix: str,
        read: SeenRead,
        era: int,
        outage_ms: int | None,
        entries: Entries,
        now_ms: int,
    ) -> AppliedRead | None:
        state = self._prefixes[prefix]
        interval_ms, last_ms = self.readers.times(prefix).interval_ms, state.order.last_ms
        follows_outage = state.outages.on_told_read(read.sent_ms, outage_ms, last_ms, interval_ms)
        applied = self._apply(prefix, read, era, entries, follows_outage)
        fetch = state.fetch
        if fetch is not None and not state.order.may_apply(fetch.read, fetch.era):
            state.fetch = fetch = None
        if fetch is not None and fetch.read.digest == state.order.digest:
            state.fetch = None
        # Content that differs from what is in force shows no working reader until it is fetched.
        if state.order.digest == read.digest:
            self.readers.record_confirmation(prefix, read.source, read.sent_ms, now_ms)
            if self.readers.role(prefix, now_ms) is ReadRole.FOLLOWER:
                state.is_failing = False
        return applied

    @_on_message.register
    def _(self, message: ContentPiece, now_ms: int) -> list[AppliedRead | None]:
        state = self._prefixes.get(message.prefix)
        fetch = None if state is None else state.fetch
        if state is None or fetch is None or message.digest != fetch.read.digest:
            return []
        if (message.base, message.count) != (fetch.base, fetch.count):
            fetch.base, fetch.count, fetch.pieces = message.base, message.count, {}
        fetch.pieces[message.index] = message.content
        if fetch.missing:
            return []
        base = () if not fetch.base else state.contents.get(fetch.base)
        state.fetch = None
        if base is None:
            return []
        try:
            entries = decode_content((fetch.pieces[i] for i in range(fetch.count)), base)
        except ProtocolError:
            entries = None
        if entries is None or digest_entries(entries) != fetch.read.digest:
            state.has_stuck_fetch = True
            return []
        if fetch.era < self.era or not state.order.may_apply(fetch.read, fetch.era):
            return []
        read = fetch.read
        return [self._apply_told(message.prefix, read, fetch.era, fetch.outage_ms, entries, now_ms)]
