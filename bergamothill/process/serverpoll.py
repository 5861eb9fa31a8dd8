"""Reads the instance list and polls engines; the zone's entry instances share both."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Executor, Future, ThreadPoolExecutor
from contextlib import suppress

from bergamothill.clock import Clock, ms_to_seconds
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
    PollResult,
    ServerReport,
    ZoneSummary,
    figures_of,
)
from bergamothill.process.servers import EngineRecord, ServerTable

__all__ = ["EngineFactory", "ServerPoller"]

EngineFactory = Callable[[Instance], ModelEngine]

LOOP_INTERVAL_MS = 250
POLL_WORKERS = 16
MAX_SYNC_PEERS = 2
SYNC_TIMEOUT_MS = 400
MAX_SUMMARY_ENGINES = 8

_log = EventLog("servers")


class ServerPoller:
    """Updates a server table from the instance list, the engines and the peers.

    :param instance_list: client of the instance list
    :param engine_factory: creates the client of an engine
    :param bus: message bus to the other entry instances
    :param table: table to update
    :param clock: clock of this process
    :param entry_id: this entry instance
    :param zone: its availability zone
    :param on_instances: called with all instances after each change
    :param pool: runs the blocking calls; None creates one
    :param tick_min_ms: minimum time between two polls of an engine, in milliseconds
    :param extra_messages: returns further messages to the zone, sent in the same frame as
        each report
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
        extra_messages: Callable[[], Iterable[object]] = tuple,
    ) -> None:
        self._instance_list = instance_list
        self._engine_factory = engine_factory
        self._bus = bus
        self._table = table
        self._clock = clock
        self._entry_id = entry_id
        self._zone = zone
        self._on_instances = on_instances
        self._extra_messages = extra_messages
        self._tick_min_ms = tick_min_ms
        self._plan = PollPlan(entry_id, zone, tick_min_ms)
        self._listed_instances: dict[str, Instance] = {}
        self._engine_clients: dict[ServerId, tuple[Instance, ModelEngine]] = {}
        self._polls_in_progress: dict[ServerId, Future[bool]] = {}
        self._unreported_polls: dict[ServerId, tuple[int, EngineLoad]] = {}
        self._last_reported: dict[ServerId, EngineLoad] = {}
        self._failing_engines: set[ServerId] = set()
        self._list_failing = False
        self._lock = threading.RLock()
        self._list_lock = threading.RLock()
        self._next_tick_ms = 0
        self._is_report_due = False
        self._tick_count = 0
        self._next_summary_ms = 0
        self._list_started_ms = -(1 << 60)
        self._list_future: Future[None] | None = None
        self._stopping = threading.Event()
        self._pool = pool or ThreadPoolExecutor(POLL_WORKERS, thread_name_prefix="server-poll")
        self._loop_executor = ThreadPoolExecutor(1, thread_name_prefix="server-beat")
        bus.subscribe(ServerReport, self._on_server_report)
        bus.subscribe(LeavingNotice, self._on_leaving_notice)
        bus.subscribe(LeavingQuery, self._on_leaving_query)
        bus.subscribe(InstanceChanges, self._on_instance_changes)
        bus.subscribe(ZoneSummary, self._on_zone_summary)

    def start(self) -> None:
        """Read the instance list once, then poll in the background."""
        self._read_list()
        self._loop_executor.submit(self._run_loop)

    def close(self) -> None:
        """Stop polling without waiting for calls in progress."""
        self._stopping.set()
        self._loop_executor.shutdown(wait=False, cancel_futures=True)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def confirm(self, server: ServerId) -> bool:
        """Refresh the state of a server where it is too old; blocks during the calls needed.

        Call :meth:`ServerTable.may_send` again right before the send.

        :param server: backend server
        :returns: whether new work may be sent now
        """
        if self._table.may_send(server, self._clock.now_ms()):
            return True
        if not self._table.announcements_are_fresh(self._clock.now_ms()):
            self._refresh_announcements()
        instance = self._table.instance(server)
        if instance is None or self._table.is_listed_leaving(server):
            return False
        if instance.kind is InstanceKind.ENGINE and not self._poll_coalesced(server):
            return False
        return self._table.may_send(server, self._clock.now_ms())

    def run_cycle(self) -> None:
        """Start the work that is due, without waiting for it; called by the background loop."""
        now_ms = self._clock.now_ms()
        live = self._bus.live_peers()
        self._table.set_peer_count(len(live) - 1)
        self._start_due_list_read(now_ms, live)
        if self._is_report_due:
            self._is_report_due = False
            self._publish_report(now_ms)
        if now_ms >= self._next_tick_ms:
            self._next_tick_ms = now_ms + self._plan.tick_ms(live, self._tick_min_ms)
            self._is_report_due = True
            self._start_due_polls(now_ms, live)
        if now_ms >= self._next_summary_ms:
            self._publish_summary(now_ms, live)
        self._announce_leaving(now_ms)

    def _run_loop(self) -> None:
        while not self._stopping.wait(ms_to_seconds(LOOP_INTERVAL_MS)):
            try:
                self.run_cycle()
            except Exception as error:  # noqa: BLE001 - one failed cycle must not end the loop
                _log.error("poll_cycle_failed", reason=repr(error))

    def _submit(self, work: Callable[..., object], *arguments: object) -> Future | None:
        with suppress(RuntimeError):  # the pool raises this after close()
            return self._pool.submit(work, *arguments)
        return None

    def _start_due_list_read(self, now_ms: int, live: tuple[EntryInstanceId, ...]) -> None:
        if self._list_future is not None and not self._list_future.done():
            return
        age_ms = now_ms - self._table.list_attempt_ms()
        own_age_ms = now_ms - self._list_started_ms
        if self._plan.should_read_list(self._clock.wall_ms(), live, age_ms, own_age_ms):
            self._list_started_ms = now_ms
            self._list_future = self._submit(self._read_list)

    def _read_list(self) -> None:
        sent_ms = self._clock.now_ms()
        try:
            instances = self._instance_list.instances()
        except BergamothillError as error:
            if not self._list_failing:
                _log.warning("list_failed", step=error.step, reason=error.message)
            self._list_failing = True
            self._table.record_list_failure(sent_ms)
            return
        if self._list_failing:
            _log.info("list_back")
        self._list_failing = False
        with self._list_lock:
            is_first = not self._listed_instances
            changed, removed = self._replace_listed_instances(instances)
            if is_first or changed or removed:
                self._on_instances(instances)
        self._table.apply_instance_list(instances, sent_ms, self._clock.now_ms())
        digest = self._table.leaving_digest()
        self._bus.publish(InstanceChanges(sent_ms, digest, changed, removed), Scope.ZONE)
        self._announce_leaving(self._clock.now_ms())

    def _replace_listed_instances(
        self, instances: tuple[Instance, ...]
    ) -> tuple[tuple[Instance, ...], tuple[str, ...]]:
        """Replace the stored list; return the changed instances and the names of removed ones.

        The first read reports no changes: the peers have the list already, and it is too large
        to send whole.
        """
        new = {i.instance_id: i for i in instances}
        old, self._listed_instances = self._listed_instances, new
        if not old:
            return (), ()
        changed = tuple(i for i in instances if old.get(i.instance_id) != i)
        return changed, tuple(sorted(old.keys() - new.keys()))

    def _on_instance_changes(self, sender: EntryInstanceId, changes: InstanceChanges) -> None:
        self._table.apply_instance_changes(
            changes, lambda ms: self._bus.to_local_ms(sender, ms), self._clock.now_ms()
        )
        self._pop_and_log_new_leaving(sender)
        if changes.changed or changes.removed:
            self._apply_to_listed_instances(changes)

    def _apply_to_listed_instances(self, changes: InstanceChanges) -> None:
        """Apply a peer's changes to the stored list; ignored before the first read."""
        with self._list_lock:
            if not self._listed_instances:
                return
            self._listed_instances.update({i.instance_id: i for i in changes.changed})
            for name in changes.removed:
                self._listed_instances.pop(name, None)
            self._on_instances(tuple(self._listed_instances.values()))

    def _start_due_polls(self, now_ms: int, live: tuple[EntryInstanceId, ...]) -> None:
        records = self._engines_in_zone()
        names = {ServerId(record.instance.instance_id) for record in records}
        self._plan.retain_ranks(names)
        for server in names:
            age_ms = now_ms - self._table.confirmed_ms(server)
            if server not in self._polls_in_progress and self._plan.should_poll(
                server, live, age_ms
            ):
                self._submit(self._poll_coalesced, server)

    def _engines_in_zone(self) -> list[EngineRecord]:
        return [r for r in self._table.engines() if r.instance.zone == self._zone]

    def _poll_coalesced(self, server: ServerId) -> bool:
        """Poll an engine for its state; concurrent polls of one engine share one call.

        :returns: whether the engine answered
        """
        with self._lock:
            poll = self._polls_in_progress.get(server)
            starts_poll = poll is None
            if starts_poll:
                poll = self._polls_in_progress[server] = Future()
        if not starts_poll:
            return poll.result()
        answered = False
        try:
            answered = self._poll_engine(server)
        finally:
            with self._lock:
                del self._polls_in_progress[server]
            poll.set_result(answered)
        return answered

    def _poll_engine(self, server: ServerId) -> bool:
        instance = self._table.instance(server)
        if instance is None:
            return False
        sent_ms = self._clock.now_ms()
        try:
            load = self._engine_client(instance).load()
        except BergamothillError as error:
            if server not in self._failing_engines:
                _log.warning("poll_failed", server=server, reason=error.message)
            self._failing_engines.add(server)
            self._table.mark_unreachable(server)
            return False
        self._failing_engines.discard(server)
        self._table.apply_engine_load(server, load, sent_ms, self._clock.now_ms())
        with self._lock:
            self._unreported_polls[server] = (sent_ms - load.age_ms, load)
        if load.state.leaving:
            self._announce_leaving(self._clock.now_ms())
        return True

    def _engine_client(self, instance: Instance) -> ModelEngine:
        server = ServerId(instance.instance_id)
        with self._lock:
            cached = self._engine_clients.get(server)
            if cached is None or cached[0].address != instance.address:
                cached = (instance, self._engine_factory(instance))
                self._engine_clients[server] = cached
            return cached[1]

    def _publish_report(self, now_ms: int) -> None:
        """Publish the results of polls since the last report, without unchanged parts."""
        with self._lock:
            polls, self._unreported_polls = self._unreported_polls, {}
        self._tick_count += 1
        is_full = self._tick_count % FULL_REPORT_TICKS == 0
        results = tuple(
            self._poll_result(s, observed_ms, load, is_full)
            for s, (observed_ms, load) in polls.items()
        )
        report = ServerReport(
            created_ms=self._clock.now_ms(),
            leaving_digest=self._table.leaving_digest(),
            list_read_ms=max(-1, self._table.list_read_ms()),
            poll_results=results,
        )
        self._bus.publish_batch((report, *self._extra_messages()), Scope.ZONE)

    def _poll_result(
        self, server: ServerId, observed_ms: int, load: EngineLoad, is_full: bool
    ) -> PollResult:
        last = self._last_reported.get(server)
        self._last_reported[server] = load
        figures, state = figures_of(load), load.state
        figures_unchanged = not is_full and last is not None and figures_of(last) == figures
        state_unchanged = not is_full and last is not None and last.state == state
        return PollResult(
            server,
            state.incarnation,
            observed_ms,
            None if figures_unchanged else figures,
            None if state_unchanged and not state.leaving else state,
        )

    def _on_server_report(self, sender: EntryInstanceId, report: ServerReport) -> None:
        sets_are_equal = self._table.apply_server_report(
            report, lambda ms: self._bus.to_local_ms(sender, ms), self._clock.now_ms()
        )
        self._pop_and_log_new_leaving(sender)
        if not sets_are_equal:
            self._submit(self._fetch_leaving_set, sender)

    def _fetch_leaving_set(self, peer: EntryInstanceId) -> bool:
        """Fetch a peer's set of leaving servers.

        :returns: whether the peer answered
        """
        try:
            answer = self._bus.request(peer, LeavingQuery(), timeout_ms=SYNC_TIMEOUT_MS)
        except BergamothillError as error:
            _log.info("leaving_query_failed", peer=peer, reason=error.message)
            return False
        if not isinstance(answer, LeavingNotice):
            return False
        self._table.apply_full_leaving_set(
            answer, lambda ms: self._bus.to_local_ms(peer, ms), self._clock.now_ms()
        )
        return True

    def _refresh_announcements(self) -> None:
        """Fetch missed announcements from the peers, then read the instance list if needed."""
        sent_ms = self._clock.now_ms()
        peers = [peer for peer in self._bus.live_peers() if peer != self._entry_id]
        if not any(self._fetch_leaving_set(peer) for peer in peers[:MAX_SYNC_PEERS]):
            self._table.record_no_peer_answer(sent_ms)
        if sent_ms - self._table.list_attempt_ms() > 0:
            self._read_list()

    def _on_leaving_notice(self, sender: EntryInstanceId, notice: LeavingNotice) -> None:
        self._table.apply_leaving_notice(notice, self._clock.now_ms())
        self._pop_and_log_new_leaving(sender)

    def _on_leaving_query(self, sender: EntryInstanceId, query: LeavingQuery) -> LeavingNotice:
        now_ms = self._clock.now_ms()
        list_read_ms = max(-1, self._table.list_read_ms())
        return LeavingNotice(self._table.leaving(now_ms), now_ms, list_read_ms)

    def _announce_leaving(self, now_ms: int) -> None:
        """Announce to all zones the leaving servers that were not learned from a peer."""
        new_leaving = self._pop_and_log_new_leaving(self._entry_id)
        if new_leaving:
            list_read_ms = max(-1, self._table.list_read_ms())
            self._bus.publish(LeavingNotice(new_leaving, now_ms, list_read_ms), Scope.EVERYWHERE)

    def _pop_and_log_new_leaving(self, source: EntryInstanceId) -> tuple:
        new_leaving = self._table.pop_new_leaving()
        for leaving in new_leaving:
            _log.info(
                "server_leaving",
                server=leaving.server,
                incarnation=leaving.incarnation,
                source=source,
            )
        return new_leaving

    def _publish_summary(self, now_ms: int, live: tuple[EntryInstanceId, ...]) -> None:
        with self._list_lock:
            zones = {instance.zone for instance in self._listed_instances.values()} | {self._zone}
        self._next_summary_ms = now_ms + self._plan.summary_interval_ms(live, len(zones))
        if len(zones) == 1 or not self._plan.should_summarize(live):
            return
        candidates = [r for r in self._engines_in_zone() if r.load is not None and r.reachable]
        candidates.sort(key=lambda record: (record.load.queued_tokens, record.load.running))
        results = tuple(
            _summary_poll_result(record, now_ms) for record in candidates[:MAX_SUMMARY_ENGINES]
        )
        self._bus.publish(ZoneSummary(self._zone, results), Scope.EVERYWHERE)

    def _on_zone_summary(self, sender: EntryInstanceId, summary: ZoneSummary) -> None:
        if summary.zone != self._zone:
            self._table.apply_zone_summary(summary, self._clock.now_ms())


def _summary_poll_result(record: EngineRecord, now_ms: int) -> PollResult:
    load = record.load
    return PollResult(
        ServerId(record.instance.instance_id),
        load.state.incarnation,
        now_ms,
        figures_of(load),
        load.state,
    )
