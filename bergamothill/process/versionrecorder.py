"""Reads and writes the record of the versions that services have had, on the event loop.

It is read when this instance starts, when something new is listed, and for a resumption whose
origin no instance knows; there is no periodic read. Each change is written once: the instances wait
by rank before they write, and read again first.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.kvs import ABSENT, KeyValueService
from bergamothill.errors import BergamothillError, ProtocolError
from bergamothill.ids import ServiceName, SoftwareVersion
from bergamothill.logs import EventLog
from bergamothill.platform.versionrecord import RECORD_KEY, decode_record, encode_record
from bergamothill.process.backends import BackendServer
from bergamothill.process.instanceroster import InstanceRoster
from bergamothill.process.recordhistory import HistoryReader, items_of_lists, read_past
from bergamothill.process.rendezvous import rendezvous
from bergamothill.process.wakeup import wait_until_set
from bergamothill.version.routetable import Route
from bergamothill.version.versionrecord import RecordItem, RecordKeeper

__all__ = ["VersionRecorder"]

CHECK_INTERVAL_MS = 5_000
RETRY_MS = 200
DELAY_PER_RANK_MS = 30
MAX_DELAY_MS = 300
MIN_READ_GAP_MS = 100
"""Resumptions that arrive meanwhile share the next read."""

FIND_TIMEOUT_MS = 500

FIRST_ERAS = (0, 1)
"""Eras of a service that was never restored; the first is that of one that names none."""

MAX_PAST_READS = 5

_log = EventLog("streams")


class VersionRecorder:
    """Keeps what begins streams in the record, and tells what it shows.

    :param kvs: key-value service
    :param era: returns the current era of the service
    :param clock: source of time
    :param roster: all entry instances
    :param on_change: called when streams may begin at further versions
    :param history: reads the changes that came before the record; None to wait until no stream
        from before can be taken up
    :param delay_per_rank_ms: time that an instance leaves to each one of lower rank
    """

    is_certain = True
    """Where streams wait for the record, it tells of all of them."""

    def __init__(
        self,
        kvs: KeyValueService,
        era: Callable[[], int],
        clock: Clock,
        roster: InstanceRoster,
        on_change: Callable[[], None],
        history: HistoryReader | None = None,
        delay_per_rank_ms: int = DELAY_PER_RANK_MS,
    ) -> None:
        self._delay_per_rank_ms = delay_per_rank_ms
        self._kvs = kvs
        self._era = era
        self._clock = clock
        self._roster = roster
        self._on_change = on_change
        self._keeper = RecordKeeper()
        self._wake = asyncio.Event()
        self._routes: tuple[Route, ...] = ()
        self._servers: tuple[BackendServer, ...] = ()
        self._history = history
        self._past_reads_left = MAX_PAST_READS
        self._calls = ThreadPoolExecutor(max_workers=1, thread_name_prefix="stream-versions")
        self._lock = asyncio.Lock()
        self._next_read: asyncio.Task[None] | None = None
        self._last_read_ms = 0
        self.calls = 0
        """Number of calls to the service."""

    def set_routes(self, routes: Iterable[Route]) -> None:
        """Set the routes in force."""
        self._routes = tuple(routes)
        self._apply_list()

    def apply_list(self, servers: Iterable[BackendServer]) -> None:
        """Apply a list of servers."""
        self._servers = tuple(servers)
        self._apply_list()

    def _apply_list(self) -> None:
        items = items_of_lists(self._routes, self._servers)
        self._keeper.apply_list(items, self._clock.now_ms())
        if self._keeper.must_read:
            self._wake.set()

    def handle_restore(self) -> None:
        """Write again what a restored service may have lost."""
        self._keeper.handle_restore()
        self._wake.set()

    def may_begin_at(self, server: BackendServer) -> bool:
        """Return whether streams may begin at a server, as its version is in the record."""
        item = RecordItem.of_version(server.service, server.software_version)
        return not server.weights or self._keeper.may_begin(item, self._clock.now_ms())

    async def only_origin(
        self, route: str, give_up_ms: int
    ) -> tuple[ServiceName, SoftwareVersion] | None:
        """Return where all streams of a route began, by a read sent now; None if unknown.

        :param give_up_ms: time after which the answer is of no use
        """
        if self._next_read is None:
            self._next_read = asyncio.get_running_loop().create_task(self._read_next())
            self._next_read.add_done_callback(_discard_error)
        wait_ms = min(FIND_TIMEOUT_MS, give_up_ms - self._clock.now_ms())
        try:
            async with asyncio.timeout(ms_to_seconds(max(0, wait_ms))):
                await asyncio.shield(self._next_read)
        except (TimeoutError, BergamothillError):
            return None
        record = self._keeper.record
        return None if record is None else record.only_origin(route, self._era())

    async def _read_next(self) -> None:
        wait_ms = self._last_read_ms + MIN_READ_GAP_MS - self._clock.now_ms()
        await asyncio.sleep(ms_to_seconds(max(0, wait_ms)))
        async with self._lock:
            self._next_read = None  # who comes after this read was sent needs a later one
            await self._read()

    async def run(self) -> None:
        """Keep the record complete until cancelled."""
        wait_ms = CHECK_INTERVAL_MS
        while True:
            await wait_until_set(self._wake, wait_ms)
            self._wake.clear()
            try:
                async with self._lock:
                    await self.update()
                wait_ms = RETRY_MS if self._keeper.must_read else CHECK_INTERVAL_MS
            except BergamothillError as error:
                _log.info("version_record_failed", step=error.step, reason=error.message)
                wait_ms = RETRY_MS

    async def update(self) -> None:
        """Read the record if it is not known, and write it if it lacks what is in use."""
        keeper, rank = self._keeper, self.rank()
        if keeper.must_read:
            await self._read()
        if rank == 0:
            await self._read_past()
        if keeper.next_record(self._clock.now_ms(), is_first=rank == 0) is None:
            return
        await asyncio.sleep(ms_to_seconds(min(MAX_DELAY_MS, rank * self._delay_per_rank_ms)))
        revision = await self._read()
        record = keeper.next_record(self._clock.now_ms(), is_first=rank == 0)
        if record is None:
            return
        self.calls += 1
        await self._call(
            lambda: self._kvs.put_if(RECORD_KEY, encode_record(record), expected=revision)
        )
        keeper.apply_record(record, self._era(), self._clock.now_ms())
        self._on_change()
        _log.info(
            "versions_recorded",
            settled=record.is_settled,
            items=" ".join(f"{i.name}:{i.value}" for i in sorted(record.items)),
        )

    async def _read_past(self) -> None:
        """Read what came before the record, which is settled then."""
        is_first_era = self._era() in FIRST_ERAS
        if self._history is None or not (is_first_era and self._keeper.lacks_past):
            return
        if self._past_reads_left == 0:
            return
        self._past_reads_left -= 1
        self.calls += 1
        history, servers = self._history, self._servers
        items = await self._call(lambda: read_past(history, servers))
        _log.info("versions_past_read", is_known=items is not None)
        if items is None:
            self._past_reads_left = 0
        elif self._era() in FIRST_ERAS:
            self._keeper.apply_past(items)

    async def _read(self) -> int:
        """Read the record and return its revision."""
        self.calls += 1
        self._last_read_ms = self._clock.now_ms()
        entry = await self._call(lambda: self._kvs.get(RECORD_KEY))
        record = None
        if entry is not None:
            try:
                record = decode_record(entry.value)
            except ProtocolError as error:
                _log.warning("entry_unreadable", key=RECORD_KEY, error=error.message)
        self._keeper.apply_record(record, self._era(), self._clock.now_ms())
        self._on_change()
        return ABSENT if entry is None else entry.mod_revision

    async def _call(self, call: Callable[[], object]) -> object:
        return await asyncio.get_running_loop().run_in_executor(self._calls, call)

    def rank(self) -> int:
        """Return how many instances write before this one."""
        ranked = rendezvous(RECORD_KEY, self._roster.members)
        own = self._roster.own
        return ranked.index(own) if own in ranked else len(ranked)


def _discard_error(task: asyncio.Task[None]) -> None:
    """Mark the error of a read as seen, as nobody may be waiting for it any more."""
    if not task.cancelled():
        task.exception()
