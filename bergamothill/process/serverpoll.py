"""Poller of backend servers: shares the work in the zone, reports what changed."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Executor, Future, ThreadPoolExecutor
from contextlib import suppress

from bergamothill.clock import Clock, seconds
from bergamothill.connection.bus import PeerBus, Scope
from bergamothill.connection.engine import EngineLoad, ModelEngine
from bergamothill.connection.instancelist import Instance, InstanceKind, InstanceList
from bergamothill.errors import BergamothillError
from bergamothill.ids import EntryInstanceId, ServerId, ZoneName
from bergamothill.logs import EventLog
from bergamothill.process.pollplan import FULL_REPORT_TICKS, TICK_MIN_MS, PollPlan
from bergamothill.process.servermessages import (
    InstanceChanges,
    LeavingNotice,
    LeavingQuery,
    ServerNews,
    ServerReport,
    ZoneSummary,
    figures_of,
)
from bergamothill.process.servers import EngineRecord, ServerTable

__all__ = ["EngineFactory", "ServerPoller"]

EngineFactory = Callable[[Instance], ModelEngine]

BEAT_MS = 250
POLL_WORKERS = 16
SYNC_PEERS = 2
SYNC_TIMEOUT_MS = 400
SUMMARY_ENGINES = 8
STEP = "servers.poll"

log = EventLog("servers")


class ServerPoller:
    """Feeds a server table from the instance list, the engines and the peers.

    :param instance_list: client of the instance list
    :param engine_factory: makes the client of an engine
    :param bus: messages to the other entry instances
    :param table: table to feed
    :param clock: clock of this process
    :param entry_id: this entry instance
    :param zone: its availability zone
    :param on_instances: receives the instances whenever they changed
    :param pool: runs the blocking calls; None makes one
    :param tick_min_ms: least time between two polls of an engine, in milliseconds
    :param extras: messages to the zone that go out with each report, in the same frame
    """

    def __init__(
        self,
        instance_list: InstanceList,
        engine_factory: EngineFactory,
        bus: PeerBus,
        table: ServerTable,
        clock: Clock,
        entry_id: EntryInstanceId,
        zone: ZoneName,
        on_instances: Callable[[tuple[Instance, ...]], None] = lambda instances: None,
        pool: Executor | None = None,
        tick_min_ms: int = TICK_MIN_MS,
        extras: Callable[[], Iterable[object]] = tuple,
    ) -> None:
        self._instance_list = instance_list
        self._engine_factory = engine_factory
        self._bus = bus
        self._table = table
        self._clock = clock
        self._entry_id = entry_id
        self._zone = zone
        self._on_instances = on_instances
        self._extras = extras
        self._tick_min_ms = tick_min_ms
        self._plan = PollPlan(entry_id, zone, tick_min_ms)
        self._listing: dict[str, Instance] = {}
        self._engines: dict[ServerId, tuple[Instance, ModelEngine]] = {}
        self._running: dict[ServerId, Future[bool]] = {}
        self._news: dict[ServerId, tuple[int, EngineLoad]] = {}
        self._reported: dict[ServerId, EngineLoad] = {}
        self._failing: set[ServerId] = set()
        self._list_failing = False
        self._lock = threading.RLock()
        self._list_lock = threading.RLock()
        self._next_tick_ms = 0
        self._report_due = False
        self._tick_count = 0
        self._next_summary_ms = 0
        self._list_started_ms = -(1 << 60)
        self._list_future: Future[None] | None = None
        self._stopping = threading.Event()
        self._pool = pool or ThreadPoolExecutor(POLL_WORKERS, thread_name_prefix="server-poll")
        self._loop = ThreadPoolExecutor(1, thread_name_prefix="server-beat")
        bus.subscribe(ServerReport, self._on_report)
        bus.subscribe(LeavingNotice, self._on_notice)
        bus.subscribe(LeavingQuery, self._on_query)
        bus.subscribe(InstanceChanges, self._on_changes)
        bus.subscribe(ZoneSummary, self._on_summary)

    def start(self) -> None:
        """Read the instance list once, then poll in the background."""
        self._read_list()
        self._loop.submit(self._run)

    def close(self) -> None:
        """Stop polling; calls under way are not waited for."""
        self._stopping.set()
        self._loop.shutdown(wait=False, cancel_futures=True)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def confirm(self, server: ServerId) -> bool:
        """Confirm what is too old to send on; blocks for the calls that are needed.

        Ask :meth:`ServerTable.may_send` again right before the send.

        :param server: backend server
        :returns: whether new work may be sent now
        """
        if self._table.may_send(server, self._clock.now_ms()):
            return True
        if not self._table.announcements_young(self._clock.now_ms()):
            self._confirm_announcements()
        instance = self._table.instance(server)
        if instance is None or self._table.is_listed_leaving(server):
            return False
        if instance.kind is InstanceKind.ENGINE and not self._poll_once(server):
            return False
        return self._table.may_send(server, self._clock.now_ms())

    def beat(self) -> None:
        """Do what is due now without waiting for it; the background loop calls it."""
        now_ms = self._clock.now_ms()
        live = self._bus.live_peers()
        self._table.take_peers(len(live) - 1)
        self._start_list_read(now_ms, live)
        if self._report_due:
            self._report_due = False
            self._report(now_ms)
        if now_ms >= self._next_tick_ms:
            self._next_tick_ms = now_ms + self._plan.tick_ms(live, self._tick_min_ms)
            self._report_due = True
            self._start_polls(now_ms, live)
        if now_ms >= self._next_summary_ms:
            self._summarize(now_ms, live)
        self._announce(now_ms)

    def _run(self) -> None:
        while not self._stopping.wait(seconds(BEAT_MS)):
            try:
                self.beat()
            except Exception as error:  # noqa: BLE001 - the loop must outlive one bad beat
                log.error("beat_failed", reason=repr(error))

    def _submit(self, work: Callable[..., object], *arguments: object) -> Future | None:
        with suppress(RuntimeError):  # the pool refuses work after close()
            return self._pool.submit(work, *arguments)
        return None

    def _start_list_read(self, now_ms: int, live: tuple[EntryInstanceId, ...]) -> None:
        if self._list_future is not None and not self._list_future.done():
            return
        age_ms = now_ms - self._table.list_tried_ms()
        own_age_ms = now_ms - self._list_started_ms
        if self._plan.reads_list(self._clock.wall_ms(), live, age_ms, own_age_ms):
            self._list_started_ms = now_ms
            self._list_future = self._submit(self._read_list)

    def _read_list(self) -> None:
        asked_ms = self._clock.now_ms()
        try:
            instances = self._instance_list.instances()
        except BergamothillError as error:
            if not self._list_failing:
                log.warning("list_failed", step=error.step, reason=error.message)
            self._list_failing = True
            self._table.take_list_failure(asked_ms)
            return
        if self._list_failing:
            log.info("list_back")
        self._list_failing = False
        with self._list_lock:
            is_first = not self._listing
            changed, removed = self._replace_listing(instances)
            if is_first or changed or removed:
                self._on_instances(instances)
        self._table.take_list(instances, asked_ms, self._clock.now_ms())
        digest = self._table.leaving_digest()
        self._bus.publish(InstanceChanges(asked_ms, digest, changed, removed), Scope.ZONE)
        self._announce(self._clock.now_ms())

    def _replace_listing(
        self, instances: tuple[Instance, ...]
    ) -> tuple[tuple[Instance, ...], tuple[str, ...]]:
        """Replace what is known of the list; return what changed and what was removed.

        A first read changes nothing: the peers know the list, and the whole of it is large.
        """
        new = {i.instance_id: i for i in instances}
        old, self._listing = self._listing, new
        if not old:
            return (), ()
        changed = tuple(i for i in instances if old.get(i.instance_id) != i)
        return changed, tuple(sorted(old.keys() - new.keys()))

    def _on_changes(self, sender: EntryInstanceId, changes: InstanceChanges) -> None:
        self._table.take_changes(
            changes, lambda ms: self._bus.local_ms(sender, ms), self._clock.now_ms()
        )
        self._log_learned(sender)
        if changes.changed or changes.removed:
            self._apply_changes(changes)

    def _apply_changes(self, changes: InstanceChanges) -> None:
        """Bring the listing up to date; before the first read there is none."""
        with self._list_lock:
            if not self._listing:
                return
            self._listing.update({i.instance_id: i for i in changes.changed})
            for name in changes.removed:
                self._listing.pop(name, None)
            self._on_instances(tuple(self._listing.values()))

    def _start_polls(self, now_ms: int, live: tuple[EntryInstanceId, ...]) -> None:
        records = self._zone_engines()
        names = {ServerId(record.instance.instance_id) for record in records}
        self._plan.forget(names)
        for server in names:
            age_ms = now_ms - self._table.confirmed_ms(server)
            if server not in self._running and self._plan.polls(server, live, age_ms):
                self._submit(self._poll_once, server)

    def _zone_engines(self) -> list[EngineRecord]:
        return [r for r in self._table.engines() if r.instance.zone == self._zone]

    def _poll_once(self, server: ServerId) -> bool:
        """Ask an engine for its state; concurrent callers share one call.

        :returns: whether it answered
        """
        with self._lock:
            shared = self._running.get(server)
            mine = shared is None
            if mine:
                shared = self._running[server] = Future()
        if not mine:
            return shared.result()
        answered = False
        try:
            answered = self._ask_engine(server)
        finally:
            with self._lock:
                del self._running[server]
            shared.set_result(answered)
        return answered

    def _ask_engine(self, server: ServerId) -> bool:
        instance = self._table.instance(server)
        if instance is None:
            return False
        asked_ms = self._clock.now_ms()
        try:
            load = self._engine(instance).load()
        except BergamothillError as error:
            if server not in self._failing:
                log.warning("poll_failed", server=server, reason=error.message)
            self._failing.add(server)
            self._table.mark_unreachable(server)
            return False
        self._failing.discard(server)
        self._table.take_answer(server, load, asked_ms, self._clock.now_ms())
        with self._lock:
            self._news[server] = (asked_ms - load.age_ms, load)
        if load.state.leaving:
            self._announce(self._clock.now_ms())
        return True

    def _engine(self, instance: Instance) -> ModelEngine:
        server = ServerId(instance.instance_id)
        with self._lock:
            known = self._engines.get(server)
            if known is None or known[0].address != instance.address:
                known = (instance, self._engine_factory(instance))
                self._engines[server] = known
            return known[1]

    def _report(self, now_ms: int) -> None:
        """Publish what was polled since the last report; unchanged parts are left out."""
        with self._lock:
            polled, self._news = self._news, {}
        self._tick_count += 1
        whole = self._tick_count % FULL_REPORT_TICKS == 0
        news = tuple(self._one_news(s, asked, load, whole) for s, (asked, load) in polled.items())
        report = ServerReport(
            made_ms=self._clock.now_ms(),
            leaving_digest=self._table.leaving_digest(),
            list_read_ms=max(-1, self._table.list_read_ms()),
            news=news,
        )
        self._bus.publish_batch((report, *self._extras()), Scope.ZONE)

    def _one_news(
        self, server: ServerId, asked_ms: int, load: EngineLoad, whole: bool
    ) -> ServerNews:
        last = self._reported.get(server)
        self._reported[server] = load
        figures, state = figures_of(load), load.state
        same_figures = not whole and last is not None and figures_of(last) == figures
        same_state = not whole and last is not None and last.state == state
        return ServerNews(
            server,
            state.incarnation,
            asked_ms,
            None if same_figures else figures,
            None if same_state and not state.leaving else state,
        )

    def _on_report(self, sender: EntryInstanceId, report: ServerReport) -> None:
        agreed = self._table.take_report(
            report, lambda ms: self._bus.local_ms(sender, ms), self._clock.now_ms()
        )
        self._log_learned(sender)
        if not agreed:
            self._submit(self._ask_peer, sender)

    def _ask_peer(self, peer: EntryInstanceId) -> bool:
        """Fetch a peer's leaving servers.

        :returns: whether it answered
        """
        try:
            answer = self._bus.request(peer, LeavingQuery(), timeout_ms=SYNC_TIMEOUT_MS)
        except BergamothillError as error:
            log.info("leaving_query_failed", peer=peer, reason=error.message)
            return False
        if not isinstance(answer, LeavingNotice):
            return False
        self._table.take_whole_set(
            answer, lambda ms: self._bus.local_ms(peer, ms), self._clock.now_ms()
        )
        return True

    def _confirm_announcements(self) -> None:
        """Ask peers, then the instance list, for what this instance may have missed."""
        asked_ms = self._clock.now_ms()
        peers = [peer for peer in self._bus.live_peers() if peer != self._entry_id]
        if not any(self._ask_peer(peer) for peer in peers[:SYNC_PEERS]):
            self._table.take_no_peer_answer(asked_ms)
        if asked_ms - self._table.list_tried_ms() > 0:
            self._read_list()

    def _on_notice(self, sender: EntryInstanceId, notice: LeavingNotice) -> None:
        self._table.take_notice(notice, self._clock.now_ms())
        self._log_learned(sender)

    def _on_query(self, sender: EntryInstanceId, query: LeavingQuery) -> LeavingNotice:
        now_ms = self._clock.now_ms()
        list_read_ms = max(-1, self._table.list_read_ms())
        return LeavingNotice(self._table.leaving(now_ms), now_ms, list_read_ms)

    def _announce(self, now_ms: int) -> None:
        """Tell all zones of leaving servers that were not learned from a peer."""
        learned = self._log_learned(self._entry_id)
        if learned:
            list_read_ms = max(-1, self._table.list_read_ms())
            self._bus.publish(LeavingNotice(learned, now_ms, list_read_ms), Scope.EVERYWHERE)

    def _log_learned(self, source: EntryInstanceId) -> tuple:
        learned = self._table.take_learned()
        for leaving in learned:
            log.info(
                "server_leaving",
                server=leaving.server,
                incarnation=leaving.incarnation,
                source=source,
            )
        return learned

    def _summarize(self, now_ms: int, live: tuple[EntryInstanceId, ...]) -> None:
        with self._list_lock:
            zones = {instance.zone for instance in self._listing.values()} | {self._zone}
        self._next_summary_ms = now_ms + self._plan.summary_ms(live, len(zones))
        if len(zones) == 1 or not self._plan.summarizes(live):
            return
        known = [r for r in self._zone_engines() if r.load is not None and r.reachable]
        known.sort(key=lambda record: (record.load.queued_tokens, record.load.running))
        news = tuple(_summary_news(record, now_ms) for record in known[:SUMMARY_ENGINES])
        self._bus.publish(ZoneSummary(self._zone, news), Scope.EVERYWHERE)

    def _on_summary(self, sender: EntryInstanceId, summary: ZoneSummary) -> None:
        if summary.zone != self._zone:
            self._table.take_summary(summary, self._clock.now_ms())


def _summary_news(record: EngineRecord, now_ms: int) -> ServerNews:
    load = record.load
    return ServerNews(
        ServerId(record.instance.instance_id),
        load.state.incarnation,
        now_ms,
        figures_of(load),
        load.state,
    )
