"""Peer mesh: message bus between entry instances over WebSockets, with CBOR frames."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any, TypeVar

from websockets.sync.connection import Connection
from websockets.sync.server import Server, serve

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.bus import PeerBus, Scope, message
from bergamothill.connection.codec import decode_message, encode_message
from bergamothill.connection.frames import Frame, FrameKind, PeerIdentity
from bergamothill.connection.instancelist import Instance
from bergamothill.connection.link import (
    CLOSE_TIMEOUT_MS,
    MAX_FRAME_BYTES,
    TRANSPORT_LOGGER,
    PeerLink,
    accept_link,
    dial_link,
)
from bergamothill.connection.liveness import LivenessBounds
from bergamothill.connection.relay import RelayFilter
from bergamothill.errors import BergamothillError, PeerUnreachableError, UnavailableError
from bergamothill.ids import EntryInstanceId, Incarnation, ZoneName
from bergamothill.logs import EventLog
from bergamothill.process.membership import Membership, PeerView
from bergamothill.process.membershipevents import (
    CloseLink,
    Dial,
    DialFailed,
    Effect,
    Event,
    GoodbyeReceived,
    InstancesListed,
    LinkClosed,
    LinkDataReceived,
    LinkDataSent,
    LinkId,
    LinkOpened,
    PeerChanged,
    SendHeartbeat,
    Tick,
)

__all__ = ["PeerMesh"]

M = TypeVar("M")

TICK_INTERVAL_MS = 250
DIAL_TIMEOUT_MS = 800
DIAL_WORKERS = 64
REQUEST_WORKERS = 16
LINK_DRAIN_TIMEOUT_MS = 1_000
LINK_DRAIN_POLL_MS = 20
STEP = "peer.mesh"

log = EventLog("peer")


@message("batch")
@dataclass(frozen=True, slots=True)
class _Batch:
    """Several encoded messages in one frame."""

    bodies: tuple[bytes, ...]


class PeerMesh(PeerBus):
    """Message bus with a full mesh of links inside the availability zone.

    A few links lead to other availability zones; messages for those are relayed.

    Handlers of published messages run in the thread that reads the link and must not block;
    handlers of requests run in a thread pool.

    :param entry_id: this entry instance
    :param zone: its availability zone
    :param incarnation: its incarnation
    :param listen_address: ``host:port`` to accept connections at; port 0 selects a free port
    :param clock: clock of this process
    :param secret: secret shared by all entry instances
    :param bounds: liveness bounds of each connection
    """

    def __init__(
        self,
        entry_id: EntryInstanceId,
        zone: ZoneName,
        incarnation: Incarnation,
        listen_address: str,
        clock: Clock,
        secret: str,
        bounds: LivenessBounds = LivenessBounds(),  # noqa: B008 - immutable
    ) -> None:
        self._identity = PeerIdentity(entry_id, zone, incarnation, listen_address)
        self._clock = clock
        self._secret = secret.encode()
        self._membership = Membership(entry_id, zone, incarnation, bounds)
        self._relay = RelayFilter(entry_id, incarnation)
        self._lock = threading.Lock()
        self._links: dict[LinkId, PeerLink] = {}
        self._link_ids: dict[PeerLink, LinkId] = {}
        self._last_link_id = 0
        self._handlers: dict[type, Callable[[EntryInstanceId, Any], Any]] = {}
        self._stopping = threading.Event()
        self._server: Server | None = None
        self._link_pool = ThreadPoolExecutor(max_workers=4_096, thread_name_prefix="peer-link")
        self._dial_pool = ThreadPoolExecutor(DIAL_WORKERS, thread_name_prefix="peer-dial")
        self._request_pool = ThreadPoolExecutor(REQUEST_WORKERS, thread_name_prefix="peer-request")
        self._closed_bytes_sent = 0
        self._closed_bytes_received = 0

    @property
    def address(self) -> str:
        """Address at which this instance accepts connections, known after :meth:`start`."""
        return self._identity.address

    def start(self) -> None:
        """Start accepting connections and dialing peers."""
        host, _, port = self._identity.address.rpartition(":")
        self._server = serve(
            self._accept,
            host,
            int(port),
            compression=None,
            open_timeout=ms_to_seconds(DIAL_TIMEOUT_MS),
            ping_interval=None,
            close_timeout=ms_to_seconds(CLOSE_TIMEOUT_MS),
            max_size=MAX_FRAME_BYTES,
            logger=TRANSPORT_LOGGER,
        )
        bound_port = self._server.socket.getsockname()[1]
        identity = self._identity
        self._identity = PeerIdentity(
            identity.entry, identity.zone, identity.incarnation, f"{host}:{bound_port}"
        )
        self._link_pool.submit(self._server.serve_forever)
        self._link_pool.submit(self._tick_forever)

    def close(self) -> None:
        """Notify the peers, close all links and stop."""
        self.leave()
        self._stopping.set()
        if self._server is not None:
            self._server.shutdown()
        with self._lock:
            links = list(self._links.values())
        for link in links:
            link.close()
        self._drain_links()
        for pool in (self._dial_pool, self._request_pool, self._link_pool):
            pool.shutdown(wait=False, cancel_futures=True)

    def _drain_links(self) -> None:
        """Wait for the links to send their queued frames, then abort those that are still open."""
        deadline_ms = self._clock.now_ms() + LINK_DRAIN_TIMEOUT_MS
        while self.links() and self._clock.now_ms() < deadline_ms:
            self._clock.sleep_ms(LINK_DRAIN_POLL_MS)
        for link in self.links():
            link.abort()

    def leave(self) -> None:
        """Notify the peers that this instance is leaving; links stay open to hand over streams."""
        with self._lock:
            links = list(self._links.values())
        for link in links:
            link.send(FrameKind.GOODBYE, droppable=False)

    def update_instances(self, instances: tuple[Instance, ...]) -> None:
        """Update the membership from the instance list.

        :param instances: all instances as last read
        """
        self._handle_event(InstancesListed(instances))

    def subscribe(
        self, message_type: type[M], handler: Callable[[EntryInstanceId, M], Any]
    ) -> None:
        """Register the handler of a message type; see the class for the thread that runs it."""
        self._handlers[message_type] = handler

    def publish(self, message: object, scope: Scope) -> None:
        """Send a message to every instance in scope without waiting."""
        self._publish_body(encode_message(message), scope)

    def _publish_body(self, body: bytes, scope: Scope) -> None:
        if scope is Scope.EVERYWHERE:
            self._flood(self._relay.number_message(body), None)
            return
        for link in self._zone_links():
            self._send(link, FrameKind.PUBLISH, body=body)

    def publish_batch(self, messages: Iterable[object], scope: Scope) -> None:
        """Send several messages in one frame without waiting."""
        bodies = tuple(encode_message(item) for item in messages)
        if len(bodies) == 1:
            self._publish_body(bodies[0], scope)
        elif bodies:
            self._publish_body(encode_message(_Batch(bodies)), scope)

    def request(self, peer: EntryInstanceId, message: object, *, timeout_ms: int) -> Any:
        """Send a request to one entry instance and return the result of its handler.

        A peer without a link, such as one in another zone, is dialed first.

        :raises PeerUnreachableError: the peer is unknown or could not be reached
        :raises PeerTimeoutError: no reply within the timeout
        :raises UnavailableError: the peer's handler raised an exception; the outcome is unknown
        """
        started_ms = self._clock.now_ms()
        link = self._link_to(peer) or self._dial_known_peer(peer)
        left_ms = max(1, timeout_ms - (self._clock.now_ms() - started_ms))
        reply = link.request(encode_message(message), timeout_ms=left_ms)
        if reply.kind is FrameKind.FAILURE:
            raise UnavailableError(reply.body.decode(errors="replace"), step=STEP, peer=peer)
        return decode_message(reply.body) if reply.body else None

    def live_peers(self) -> tuple[EntryInstanceId, ...]:
        """Return the live entry instances of this zone, itself included, in name order."""
        with self._lock:
            return self._membership.live_peers()

    def peers(self) -> tuple[PeerView, ...]:
        """Return all known peers with their status, for ``status``."""
        with self._lock:
            return self._membership.peers()

    def to_local_ms(self, peer: EntryInstanceId, peer_ms: int) -> int | None:
        """Convert a time on a peer's clock to the local clock; None without a link to the peer."""
        now_ms = self._clock.now_ms()
        if peer == self._identity.entry:
            return min(peer_ms, now_ms)
        link = self._link_to(peer)
        return None if link is None else link.peer_clock.to_local_ms(peer_ms, now_ms)

    def bytes_total(self) -> tuple[int, int]:
        """Return the payload bytes sent and received over all links so far."""
        with self._lock:
            links = list(self._links.values())
            sent = self._closed_bytes_sent + sum(link.bytes_sent for link in links)
            received = self._closed_bytes_received + sum(link.bytes_received for link in links)
        return sent, received

    def links(self) -> tuple[PeerLink, ...]:
        """Return the open links, for reading their statistics."""
        with self._lock:
            return tuple(self._links.values())

    def _link_to(self, peer: EntryInstanceId) -> PeerLink | None:
        with self._lock:
            link_id = self._membership.link_of(peer)
            return None if link_id is None else self._links.get(link_id)

    def _zone_links(self) -> list[PeerLink]:
        with self._lock:
            links = list(self._links.values())
        return [link for link in links if link.identity.zone == self._identity.zone]

    def _send(self, link: PeerLink, kind: FrameKind, **fields: Any) -> None:
        link.send(kind, **fields)
        with self._lock:
            link_id = self._link_ids.get(link)
            if link_id is not None:
                self._membership.handle(LinkDataSent(link_id), self._clock.now_ms())

    def _flood(self, frame: Frame, source: PeerLink | None) -> None:
        """Send a message of scope ``EVERYWHERE`` on each link that may reach new receivers."""
        with self._lock:
            links = list(self._links.values())
        for link in links:
            if source is None or self._relay.should_forward(frame, source.identity, link.identity):
                self._send(
                    link,
                    FrameKind.PUBLISH,
                    body=frame.body,
                    origin=frame.origin,
                    origin_incarnation=frame.origin_incarnation,
                    counter=frame.counter,
                    hops=frame.hops,
                )

    def _handle_event(self, event: Event) -> None:
        with self._lock:
            effects = self._membership.handle(event, self._clock.now_ms())
        for effect in effects:
            self._apply_effect(effect)

    @singledispatchmethod
    def _apply_effect(self, effect: Effect) -> None:
        raise TypeError(f"unknown membership effect {type(effect).__name__}")

    @_apply_effect.register
    def _(self, effect: Dial) -> None:
        with suppress(RuntimeError):  # the pool rejects tasks after close()
            self._dial_pool.submit(self._dial_peer, effect.peer, effect.address)

    @_apply_effect.register
    def _(self, effect: CloseLink) -> None:
        with self._lock:
            link = self._links.get(effect.link)
        if link is not None:
            log.info("link_replaced", peer=link.identity.entry)
            link.abort()

    @_apply_effect.register
    def _(self, effect: SendHeartbeat) -> None:
        with self._lock:
            link = self._links.get(effect.link)
        if link is not None:
            link.send(FrameKind.HEARTBEAT)

    @_apply_effect.register
    def _(self, effect: PeerChanged) -> None:
        log.info("peer_changed", peer=effect.peer, status=effect.status.value)

    def _tick_forever(self) -> None:
        while not self._stopping.wait(ms_to_seconds(TICK_INTERVAL_MS)):
            self._handle_event(Tick())

    def _dial_peer(self, peer: EntryInstanceId, address: str) -> None:
        try:
            self._open_link(peer, address)
        except BergamothillError as error:
            log.info("dial_failed", peer=peer, address=address, reason=error.message)
            self._handle_event(DialFailed(peer))

    def _open_link(self, peer: EntryInstanceId, address: str) -> PeerLink:
        link = dial_link(peer, address, self._identity, self._secret, self._clock, DIAL_TIMEOUT_MS)
        self._link_pool.submit(self._serve_link, link, self._register_link(link))
        return link

    def _dial_known_peer(self, peer: EntryInstanceId) -> PeerLink:
        with self._lock:
            view = {item.peer: item for item in self._membership.peers()}.get(peer)
        if view is None:
            raise PeerUnreachableError("unknown peer", step=STEP, peer=peer)
        return self._open_link(peer, view.address)

    def _accept(self, connection: Connection) -> None:
        try:
            link = accept_link(
                connection, self._identity, self._secret, self._clock, DIAL_TIMEOUT_MS
            )
        except BergamothillError as error:
            log.warning("peer_refused", peer=error.peer, reason=error.message)
            return
        except Exception as error:  # noqa: BLE001 - the dialer may have disconnected
            log.info("peer_refused", reason=type(error).__name__)
            return
        self._serve_link(link, self._register_link(link))

    def _register_link(self, link: PeerLink) -> LinkId:
        """Register an open link and report it to the membership."""
        identity = link.identity
        with self._lock:
            self._last_link_id += 1
            link_id = LinkId(self._last_link_id)
            self._links[link_id] = link
            self._link_ids[link] = link_id
        self._link_pool.submit(link.write_frames)
        self._handle_event(
            LinkOpened(
                link_id,
                identity.entry,
                identity.zone,
                identity.address,
                identity.incarnation,
                link.dialed,
            )
        )
        link.send(FrameKind.HEARTBEAT)
        return link_id

    def _serve_link(self, link: PeerLink, link_id: LinkId) -> None:
        """Read frames from a link until it closes, then unregister the link."""
        try:
            link.read_frames(lambda _, frame: self._on_frame(link, link_id, frame))
        except BergamothillError as error:
            log.warning(
                "link_closed", peer=link.identity.entry, step=error.step, reason=error.message
            )
        except Exception as error:  # noqa: BLE001 - a faulty link must not terminate the process
            log.error("link_failed", peer=link.identity.entry, reason=repr(error))
        with self._lock:
            self._links.pop(link_id, None)
            self._link_ids.pop(link, None)
            self._closed_bytes_sent += link.bytes_sent
            self._closed_bytes_received += link.bytes_received
        if not self._stopping.is_set():
            self._handle_event(LinkClosed(link_id))

    def _on_frame(self, link: PeerLink, link_id: LinkId, frame: Frame) -> None:
        self._handle_event(LinkDataReceived(link_id))
        if link.claim_first_echo():
            link.send(FrameKind.HEARTBEAT)
        match frame.kind:
            case FrameKind.PUBLISH:
                self._on_publish(link, frame)
            case FrameKind.REQUEST:
                with suppress(RuntimeError):  # the pool rejects tasks after close()
                    self._request_pool.submit(self._reply_to, link, frame)
            case FrameKind.GOODBYE:
                identity = link.identity
                self._handle_event(GoodbyeReceived(identity.entry, identity.incarnation))
            case _:
                pass

    def _on_publish(self, link: PeerLink, frame: Frame) -> None:
        if frame.counter == 0:
            self._deliver(link.identity.entry, frame.body)
            return
        forwarded = self._relay.accept_once(frame)
        if forwarded is not None:
            self._deliver(frame.origin, frame.body)
            self._flood(forwarded, link)

    def _deliver(self, sender: EntryInstanceId, body: bytes) -> Any:
        """Return the result of the message's handler, or the exception that the handler raised."""
        message = decode_message(body)
        if isinstance(message, _Batch):
            for item in message.bodies:
                self._deliver(sender, item)
            return None
        handler = self._handlers.get(type(message))
        if handler is None:
            return None
        try:
            return handler(sender, message)
        except Exception as error:  # noqa: BLE001 - a failed handler must not close the link
            log.error("handler_failed", message=type(message).__name__, reason=repr(error))
            return error

    def _reply_to(self, link: PeerLink, frame: Frame) -> None:
        try:
            result = self._deliver(link.identity.entry, frame.body)
            failure = str(result) if isinstance(result, Exception) else ""
        except BergamothillError as error:
            result, failure = None, str(error)
        if failure:
            kind, body = FrameKind.FAILURE, failure.encode()
        else:
            kind, body = FrameKind.REPLY, b"" if result is None else encode_message(result)
        link.send(kind, body=body, droppable=False, correlation=frame.correlation)
