"""Keeps an entry instance's configuration current from the key-value service and from peers."""

from __future__ import annotations

import random
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.bus import PeerBus, Scope
from bergamothill.connection.kvs import KeyValueEntry, KeyValueService
from bergamothill.errors import BergamothillError, NotFoundError, UnavailableError
from bergamothill.ids import EntryInstanceId, Revision
from bergamothill.logs import EventLog
from bergamothill.process.rendezvous import rendezvous
from bergamothill.version.config import Configuration
from bergamothill.version.follower import (
    ConfigurationFollower,
    HeadVerdict,
    RefusalReason,
    Source,
    VerdictKind,
)
from bergamothill.version.record import EMPTY_HEAD, HEAD_KEY, Head, decode, encode
from bergamothill.version.recordstore import RecordStore
from bergamothill.version.repair import HeadRepair
from bergamothill.version.watchmessages import (
    NO_AGE,
    Announce,
    ContentReply,
    ContentRequest,
    HeadReply,
    HeadRequest,
)

__all__ = ["ConfigurationStatus", "ConfigurationWatcher"]

WATCHERS_PER_ZONE = 2
WATCH_KEY = "configuration-watch"
WATCH_TIMEOUT_MS = 2_500
# Half of the 6 s within which a change has to be active. The head is read at this interval even
# without a change of the watched revision, because a service restored from a backup may report the
# revision that was seen last.
HEAD_READ_INTERVAL_MS = 3_000
RETRY_DELAY_MS = 500
IDLE_DELAY_MS = 1_000
TICK_MS = 1_000
TICKS_PER_EXCHANGE = 5
TICKS_PER_REMOTE_ANNOUNCE = 4
CONFIRMATION_TIMEOUT_MS = 3_000
WATCH_TURN_MS = 1_000
PEER_TIMEOUT_MS = 1_000
START_GRACE_MS = 500
START_PEERS = 3

_log = EventLog("configuration")


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """Configuration status reported by an entry instance.

    :param revision: active revision; 0 before the first
    :param lineage: lineage of the active revision
    :param age_ms: time since it was confirmed as the latest, in milliseconds; None for never
    :param refused_revision: revision of the head that is refused; 0 for none
    :param reason: why that head was refused
    :param holds_watch: this instance watches the key-value service for its zone
    :param kvs_reachable: the last call to the key-value service was answered
    """

    revision: Revision
    lineage: str
    age_ms: int | None
    refused_revision: Revision
    reason: RefusalReason
    holds_watch: bool
    kvs_reachable: bool


class ConfigurationWatcher:
    """Feeds a :class:`ConfigurationFollower` from the key-value service and from peers.

    :param kvs: key-value service of the platform
    :param bus: message bus to the other entry instances
    :param clock: source of time
    :param entry_id: id of this entry instance
    :param on_apply: called with each configuration when it becomes active, one call at a time
    :param rng: source of random choices
    """

    def __init__(
        self,
        kvs: KeyValueService,
        bus: PeerBus,
        clock: Clock,
        entry_id: EntryInstanceId,
        on_apply: Callable[[Configuration], None],
        *,
        rng: random.Random | None = None,
    ) -> None:
        self._kvs = kvs
        self._records = RecordStore(kvs)
        self._repair = HeadRepair(kvs)
        self._bus = bus
        self._clock = clock
        self._entry_id = entry_id
        self._on_apply = on_apply
        self._random = rng or random.Random()
        self._follower = ConfigurationFollower(clock)
        self._lock = threading.RLock()
        self._apply_lock = threading.RLock()
        self._peers_ahead: deque[EntryInstanceId] = deque(maxlen=START_PEERS)
        self._wake = threading.Event()
        self._stop = threading.Event()
        self._initial_pull_done = threading.Event()
        self._pool: ThreadPoolExecutor | None = None
        self._watched_revision: int | None = None
        self._head_read_ms = 0
        self._kvs_has_active_head = False
        self._kvs_reachable = False
        self._refused_lineage = ""
        self._ticks = 0
        self._created_ms = clock.now_ms()
        bus.subscribe(Announce, self._on_announce)
        bus.subscribe(HeadRequest, self._on_head_request)
        bus.subscribe(ContentRequest, self._on_content_request)

    def start(self) -> None:
        """Start the background threads and return immediately."""
        self._pool = ThreadPoolExecutor(2, thread_name_prefix="configuration")
        self._pool.submit(self._loop, self._watch_loop_step)
        self._pool.submit(self._loop, self._peer_loop_step)

    def stop(self) -> None:
        """Stop the threads and wait for them, at most for the duration of one watch call."""
        self._stop.set()
        self._wake.set()
        if self._pool is not None:
            self._pool.shutdown(wait=True)

    def current(self) -> Configuration:
        """Return the active configuration.

        :raises UnavailableError: no configuration has been received yet
        """
        configuration = self._follower.configuration
        if configuration is None:
            raise UnavailableError(
                "no configuration has been received yet",
                step="configuration",
                retry_after_ms=TICK_MS,
            )
        return configuration

    def status(self) -> ConfigurationStatus:
        """Return the configuration status."""
        with self._lock:
            status = self._follower.status()
        return ConfigurationStatus(
            revision=status.revision,
            lineage=status.lineage,
            age_ms=status.age_ms,
            refused_revision=status.refused_revision,
            reason=status.reason,
            holds_watch=self.holds_watch(),
            kvs_reachable=self._kvs_reachable,
        )

    def holds_watch(self) -> bool:
        """Return whether this instance ranks high enough to watch the service for its zone."""
        return self._watch_rank()[0] < WATCHERS_PER_ZONE

    def start_from_peers(self) -> None:
        """Fetch the newest configuration from a few peers before the key-value service is read."""
        peers = self._other_peers()
        for peer in self._random.sample(peers, min(START_PEERS, len(peers))):
            self.pull(peer)

    def poll_service(self) -> int:
        """Wait for one change of the head in the key-value service, or read the head.

        :returns: delay before the next call, in milliseconds
        """
        if not self._should_watch():
            self._watched_revision = None
            return IDLE_DELAY_MS
        try:
            delay_ms = self._watch()
        except BergamothillError as error:
            self._watched_revision = None
            if self._kvs_reachable:
                _log.warning("kvs_lost", step=error.step, error=error.message)
            self._kvs_reachable = False
            return RETRY_DELAY_MS + self._random.randrange(RETRY_DELAY_MS)
        if not self._kvs_reachable:
            _log.info("kvs_reached", revision=self._follower.head.revision)
        self._kvs_reachable = True
        return delay_ms

    def sync_with_peers(self) -> None:
        """Pull from peers that are ahead, announce the active revision, and poll a random peer."""
        self._ticks += 1
        peers_ahead = list(self._peers_ahead)
        self._peers_ahead.clear()
        for peer in peers_ahead:
            self.pull(peer)
        if self.holds_watch():
            announce_everywhere = self._ticks % TICKS_PER_REMOTE_ANNOUNCE == 0
            self._announce(Scope.EVERYWHERE if announce_everywhere else Scope.ZONE)
        peers = self._other_peers()
        if peers and self._ticks % TICKS_PER_EXCHANGE == 0:
            self.pull(self._random.choice(peers))

    def pull(self, peer: EntryInstanceId) -> None:
        """Fetch and apply a peer's configuration if it is newer.

        :param peer: entry instance to query
        """
        request = HeadRequest(self._follower.head.revision)
        try:
            reply = self._bus.request(peer, request, timeout_ms=PEER_TIMEOUT_MS)
            if reply.value:
                self._process_peer_head(peer, reply)
        except BergamothillError as error:
            _log.debug("pull_failed", peer=peer, step=error.step, error=error.message)
            return
        self._confirm_announced(reply.announce)

    def _process_peer_head(self, peer: EntryInstanceId, reply: HeadReply) -> None:
        verdict = self._process_head(
            reply.value, Source.PEER, lambda d: self._fetch_from_peer(peer, d)
        )
        if verdict.kind is VerdictKind.REFUSED:
            self._refused_lineage = reply.announce.lineage
            _log.error(
                "peer_refused", peer=peer, revision=verdict.revision, reason=verdict.reason.value
            )

    def _loop(self, step: Callable[[], int]) -> None:
        while not self._stop.is_set():
            try:
                delay_ms = step()
            except Exception as error:  # noqa: BLE001 - the loop must survive any error in a step
                _log.error("step_failed", error=repr(error))
                delay_ms = IDLE_DELAY_MS
            if delay_ms:
                self._stop.wait(ms_to_seconds(delay_ms))

    def _watch_loop_step(self) -> int:
        if not self._initial_pull_done.wait(ms_to_seconds(PEER_TIMEOUT_MS * START_PEERS)):
            self._initial_pull_done.set()
        return self.poll_service()

    def _peer_loop_step(self) -> int:
        if not self._initial_pull_done.is_set():
            if not self._other_peers():
                self._stop.wait(ms_to_seconds(START_GRACE_MS))
            self.start_from_peers()
            self._initial_pull_done.set()
        self.sync_with_peers()
        self._wake.wait(ms_to_seconds(TICK_MS))
        self._wake.clear()
        return 0

    def _watch_rank(self) -> tuple[int, int]:
        """Return this instance's rank for the watch, from 0, and the number of ranked instances."""
        ranked = rendezvous(WATCH_KEY, {*self._bus.live_peers(), self._entry_id})
        return ranked.index(self._entry_id), len(ranked)

    def _should_watch(self) -> bool:
        """Return whether this instance should watch the key-value service now.

        The highest-ranked instances always watch. While no confirmation arrives, the others take
        turns, which limits their calls during an outage to those of two instances per zone.
        """
        rank, rank_count = self._watch_rank()
        if rank < WATCHERS_PER_ZONE:
            return True
        with self._lock:
            age_ms = self._follower.status().age_ms
        unconfirmed_ms = self._clock.now_ms() - self._created_ms if age_ms is None else age_ms
        turn = (unconfirmed_ms - CONFIRMATION_TIMEOUT_MS) // WATCH_TURN_MS + 1
        if turn < 1:
            return False
        return (rank - turn * WATCHERS_PER_ZONE) % rank_count < WATCHERS_PER_ZONE

    def _other_peers(self) -> list[EntryInstanceId]:
        return [peer for peer in self._bus.live_peers() if peer != self._entry_id]

    def _watch(self) -> int:
        started_ms = self._clock.now_ms()
        if (
            self._watched_revision is None
            or started_ms - self._head_read_ms >= HEAD_READ_INTERVAL_MS
        ):
            revision = self._kvs.wait_for_change(HEAD_KEY, after=0, timeout_ms=0)
            self._read_head()
            self._watched_revision = revision
            return 0 if revision else RETRY_DELAY_MS
        revision = self._kvs.wait_for_change(
            HEAD_KEY, after=self._watched_revision, timeout_ms=WATCH_TIMEOUT_MS
        )
        if revision != self._watched_revision:
            self._read_head()
            self._watched_revision = revision
            return 0
        if self._kvs_has_active_head:
            with self._lock:
                head = self._follower.head
                self._follower.confirm(head.revision, head.lineage, 0)
        returned_early = self._clock.now_ms() - started_ms < RETRY_DELAY_MS
        return RETRY_DELAY_MS if returned_early else 0

    def _read_head(self) -> None:
        self._head_read_ms = self._clock.now_ms()
        entry = self._kvs.get(HEAD_KEY)
        value = encode(EMPTY_HEAD) if entry is None else entry.value
        verdict = self._process_head(value, Source.KVS, self._records.read_content)
        self._kvs_has_active_head = verdict.kind in (VerdictKind.CURRENT, VerdictKind.READY)
        if verdict.kind is VerdictKind.REFUSED:
            self._on_refused(entry, decode(Head, value), verdict)

    def _on_refused(self, entry: KeyValueEntry | None, refused: Head, verdict: HeadVerdict) -> None:
        active_head = self._follower.head
        _log.error(
            "configuration_refused",
            revision=refused.revision,
            reason=verdict.reason.value,
            in_force=active_head.revision,
        )
        if not self._repair.is_due(refused, verdict):
            return
        with self._apply_lock:
            head_value, read_bucket = self._follower.head_value, self._follower.content
            is_replaced = self._repair.write_back(refused, entry, head_value, read_bucket)
        if is_replaced:
            _log.warning("configuration_written_back", revision=active_head.revision)

    def _process_head(
        self, value: bytes, source: Source, fetch: Callable[[str], bytes]
    ) -> HeadVerdict:
        """Offer a head to the follower, fetch the content it asks for, and apply a ready head."""
        with self._apply_lock:
            with self._lock:
                verdict = self._follower.offer_head(value, source)
            while verdict.kind is VerdictKind.FETCH:
                contents = {digest: fetch(digest) for digest in verdict.fetch}
                with self._lock:
                    for digest, content in contents.items():
                        self._follower.offer_content(digest, content)
                    verdict = self._follower.reevaluate() or verdict
            if verdict.kind is VerdictKind.READY:
                self._apply(source)
        return verdict

    def _apply(self, source: Source) -> None:
        # Decoding takes long with many brands, so it runs without self._lock, which the
        # threads of the peer links need to handle messages.
        prepared = self._follower.prepare()
        with self._lock:
            configuration = self._follower.commit(prepared)
        _log.info("configuration_applied", revision=configuration.revision, source=source.value)
        self._on_apply(configuration)
        self._announce(Scope.EVERYWHERE if source is Source.KVS else Scope.ZONE)

    def _fetch_from_peer(self, peer: EntryInstanceId, digest: str) -> bytes:
        reply = self._bus.request(peer, ContentRequest(digest), timeout_ms=PEER_TIMEOUT_MS)
        if not reply.value:
            raise NotFoundError(
                f"peer does not have content {digest}", step="configuration.pull", peer=peer
            )
        return reply.value

    def _announcement(self) -> Announce:
        status = self._follower.status()
        age_ms = NO_AGE if status.age_ms is None else status.age_ms
        return Announce(status.revision, status.lineage, age_ms)

    def _announce(self, scope: Scope) -> None:
        with self._lock:
            announcement = self._announcement()
        if self._follower.configuration is not None:
            self._bus.publish(announcement, scope)

    def _on_announce(self, sender: EntryInstanceId, announce: Announce) -> None:
        self._confirm_announced(announce)
        with self._lock:
            is_newer = self._follower.is_newer(Revision(announce.revision))
        if announce.lineage == self._refused_lineage:
            return
        # Only the instances that watch act on announcements from another zone; they then announce
        # the change within their own zone.
        if is_newer and (sender in self._bus.live_peers() or self._should_watch()):
            if sender not in self._peers_ahead:
                self._peers_ahead.append(sender)
            self._wake.set()

    def _confirm_announced(self, announce: Announce) -> None:
        if announce.age_ms == NO_AGE:
            return
        with self._lock:
            self._follower.confirm(Revision(announce.revision), announce.lineage, announce.age_ms)

    def _on_head_request(self, sender: EntryInstanceId, request: HeadRequest) -> HeadReply:
        with self._lock:
            is_newer = self._follower.head.revision > request.revision
            value = self._follower.head_value if is_newer else b""
            return HeadReply(self._announcement(), value)

    def _on_content_request(self, sender: EntryInstanceId, request: ContentRequest) -> ContentReply:
        with self._lock:
            return ContentReply(self._follower.content(request.digest) or b"")
