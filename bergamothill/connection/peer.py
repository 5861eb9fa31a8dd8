"""Peer mesh: the bus between entry instances over websockets with CBOR frames."""

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

from bergamothill.clock import Clock, seconds
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
    LinkHeard,
    LinkId,
    LinkOpened,
    LinkSent,
    PeerChanged,
    SendHeartbeat,
    Tick,
)

__all__ = ["PeerMesh"]

M = TypeVar("M")

TICK_MS = 250
DIAL_TIMEOUT_MS = 800
DIAL_WORKERS = 64
REQUEST_WORKERS = 16
CLOSE_LINKS_MS = 1_000
CLOSE_STEP_MS = 20
STEP = "peer.mesh"

log = EventLog("peer")


@message("batch")
@dataclass(frozen=True, slots=True)
class _Batch:
    """Several encoded messages in one frame."""

    bodies: tuple[bytes, ...]


class PeerMesh(PeerBus):
    """Full mesh inside the availability zone, a few relayed links to the others.

    Handlers of published messages run in the thread that reads the link and must not block;
    handlers of requests run in a pool.

    :param entry_id: this entry instance
    :param zone: its availability zone
    :param incarnation: its incarnation
    :param listen_address: ``host:port`` to accept connections at; port 0 picks one
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
        self._next_link = 0
        self._handlers: dict[type, Callable[[EntryInstanceId, Any], Any]] = {}
        self._stopping = threading.Event()
        self._server: Server | None = None
        self._threads = ThreadPoolExecutor(max_workers=4_096, thread_name_prefix="peer-link")
        self._dialers = ThreadPoolExecutor(DIAL_WORKERS, thread_name_prefix="peer-dial")
        self._requests = ThreadPoolExecutor(REQUEST_WORKERS, thread_name_prefix="peer-request")
        self._closed_bytes_sent = 0
        self._closed_bytes_received = 0

    @property
    def address(self) -> str:
        """Address at which this instance accepts connections, known after :meth:`start`."""
        return self._identity.address

    def start(self) -> None:
        """Start to accept connections and to dial peers."""
        host, _, port = self._identity.address.rpartition(":")
        self._server = serve(
            self._accept,
            host,
            int(port),
            compression=None,
            open_timeout=seconds(DIAL_TIMEOUT_MS),
            ping_interval=None,
            close_timeout=seconds(CLOSE_TIMEOUT_MS),
            max_size=MAX_FRAME_BYTES,
            logger=TRANSPORT_LOGGER,
        )
        bound_port = self._server.socket.getsockname()[1]
        identity = self._identity
        self._identity = PeerIdentity(
            identity.entry, identity.zone, identity.incarnation, f"{host}:{bound_port}"
        )
        self._threads.submit(self._server.serve_forever)
        self._threads.submit(self._tick_forever)

    def close(self) -> None:
        """Say goodbye to the peers, close all connections and stop."""
        self.leave()
        self._stopping.set()
        if self._server is not None:
            self._server.shutdown()
        with self._lock:
            links = list(self._links.values())
        for link in links:
            link.close()
        self._await_links_closed()
        for pool in (self._dialers, self._requests, self._threads):
            pool.shutdown(wait=False, cancel_futures=True)

    def _await_links_closed(self) -> None:
        """Give the links time to send what is queued, then end those whose peer reads nothing."""
        deadline_ms = self._clock.now_ms() + CLOSE_LINKS_MS
        while self.links() and self._clock.now_ms() < deadline_ms:
            self._clock.sleep_ms(CLOSE_STEP_MS)
        for link in self.links():
            link.abort()

    def leave(self) -> None:
        """Tell the peers that this instance leaves; links stay open for streams handed over."""
        with self._lock:
            links = list(self._links.values())
        for link in links:
            link.send(FrameKind.GOODBYE, droppable=False)

    def update_instances(self, instances: tuple[Instance, ...]) -> None:
        """Take in the instance list as last read.

        :param instances: all instances
        """
        self._feed(InstancesListed(instances))

    def subscribe(
        self, message_type: type[M], handler: Callable[[EntryInstanceId, M], Any]
    ) -> None:
        """Register the handler of a message type; see the class on threads."""
        self._handlers[message_type] = handler

    def publish(self, message: object, scope: Scope) -> None:
        """Send to all in scope without waiting."""
        self._publish_body(encode_message(message), scope)

    def _publish_body(self, body: bytes, scope: Scope) -> None:
        if scope is Scope.EVERYWHERE:
            self._spread(self._relay.originate(body), None)
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
        """Send to one entry instance and wait for what its handler returns.

        A peer of another zone without a link is dialed first.

        :raises PeerUnreachableError: no open link to the peer
        :raises PeerTimeoutError: no reply in time
        :raises UnavailableError: the peer's handler failed; the effect is unknown
        """
        started_ms = self._clock.now_ms()
        link = self._link_to(peer) or self._dial_now(peer)
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

    def local_ms(self, peer: EntryInstanceId, peer_ms: int) -> int | None:
        """Convert an instant on a peer's clock; None without a link to the peer."""
        now_ms = self._clock.now_ms()
        if peer == self._identity.entry:
            return min(peer_ms, now_ms)
        link = self._link_to(peer)
        return None if link is None else link.peer_clock.local_ms(peer_ms, now_ms)

    def bytes_total(self) -> tuple[int, int]:
        """Return the payload bytes sent and received over all links so far."""
        with self._lock:
            links = list(self._links.values())
            sent = self._closed_bytes_sent + sum(link.bytes_sent for link in links)
            received = self._closed_bytes_received + sum(link.bytes_received for link in links)
        return sent, received

    def links(self) -> tuple[PeerLink, ...]:
        """Return the open links, for their counters."""
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
                self._membership.handle(LinkSent(link_id), self._clock.now_ms())

    def _spread(self, frame: Frame, source: PeerLink | None) -> None:
        """Send a message for everywhere over each link that may lead to who has not seen it."""
        with self._lock:
            links = list(self._links.values())
        for link in links:
            if source is None or self._relay.leads_on(frame, source.identity, link.identity):
                self._send(
                    link,
                    FrameKind.PUBLISH,
                    body=frame.body,
                    origin=frame.origin,
                    origin_incarnation=frame.origin_incarnation,
                    counter=frame.counter,
                    hops=frame.hops,
                )

    def _feed(self, event: Event) -> None:
        with self._lock:
            effects = self._membership.handle(event, self._clock.now_ms())
        for effect in effects:
            self._carry_out(effect)

    @singledispatchmethod
    def _carry_out(self, effect: Effect) -> None:
        raise TypeError(f"{type(effect).__name__} is no effect of membership")

    @_carry_out.register
    def _(self, effect: Dial) -> None:
        with suppress(RuntimeError):  # the pool refuses work after close()
            self._dialers.submit(self._dial, effect.peer, effect.address)

    @_carry_out.register
    def _(self, effect: CloseLink) -> None:
        with self._lock:
            link = self._links.get(effect.link)
        if link is not None:
            log.info("link_replaced", peer=link.identity.entry)
            link.abort()

    @_carry_out.register
    def _(self, effect: SendHeartbeat) -> None:
        with self._lock:
            link = self._links.get(effect.link)
        if link is not None:
            link.send(FrameKind.HEARTBEAT)

    @_carry_out.register
    def _(self, effect: PeerChanged) -> None:
        log.info("peer_changed", peer=effect.peer, status=effect.status.value)

    def _tick_forever(self) -> None:
        while not self._stopping.wait(seconds(TICK_MS)):
            self._feed(Tick())

    def _dial(self, peer: EntryInstanceId, address: str) -> None:
        try:
            self._open(peer, address)
        except BergamothillError as error:
            log.info("dial_failed", peer=peer, address=address, reason=error.message)
            self._feed(DialFailed(peer))

    def _open(self, peer: EntryInstanceId, address: str) -> PeerLink:
        link = dial_link(peer, address, self._identity, self._secret, self._clock, DIAL_TIMEOUT_MS)
        self._threads.submit(self._serve_link, link, self._admit(link))
        return link

    def _dial_now(self, peer: EntryInstanceId) -> PeerLink:
        with self._lock:
            known = {view.peer: view for view in self._membership.peers()}.get(peer)
        if known is None:
            raise PeerUnreachableError("peer is not known", step=STEP, peer=peer)
        return self._open(peer, known.address)

    def _accept(self, connection: Connection) -> None:
        try:
            link = accept_link(
                connection, self._identity, self._secret, self._clock, DIAL_TIMEOUT_MS
            )
        except BergamothillError as error:
            log.warning("peer_refused", peer=error.peer, reason=error.message)
            return
        except Exception as error:  # noqa: BLE001 - a dialer that went away is no fault of ours
            log.info("peer_refused", reason=type(error).__name__)
            return
        self._serve_link(link, self._admit(link))

    def _admit(self, link: PeerLink) -> LinkId:
        """Make a link usable and tell membership of it."""
        identity = link.identity
        with self._lock:
            self._next_link += 1
            link_id = LinkId(self._next_link)
            self._links[link_id] = link
            self._link_ids[link] = link_id
        self._threads.submit(link.write_frames)
        self._feed(
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
        """Read a link until it closes."""
        try:
            link.read_frames(lambda _, frame: self._on_frame(link, link_id, frame))
        except BergamothillError as error:
            log.warning(
                "link_closed", peer=link.identity.entry, step=error.step, reason=error.message
            )
        except Exception as error:  # noqa: BLE001 - one bad link must not end the process
            log.error("link_failed", peer=link.identity.entry, reason=repr(error))
        with self._lock:
            self._links.pop(link_id, None)
            self._link_ids.pop(link, None)
            self._closed_bytes_sent += link.bytes_sent
            self._closed_bytes_received += link.bytes_received
        if not self._stopping.is_set():
            self._feed(LinkClosed(link_id))

    def _on_frame(self, link: PeerLink, link_id: LinkId, frame: Frame) -> None:
        self._feed(LinkHeard(link_id))
        if link.greet_once():
            link.send(FrameKind.HEARTBEAT)
        match frame.kind:
            case FrameKind.PUBLISH:
                self._on_publish(link, frame)
            case FrameKind.REQUEST:
                with suppress(RuntimeError):  # the pool refuses work after close()
                    self._requests.submit(self._answer, link, frame)
            case FrameKind.GOODBYE:
                identity = link.identity
                self._feed(GoodbyeReceived(identity.entry, identity.incarnation))
            case _:
                pass

    def _on_publish(self, link: PeerLink, frame: Frame) -> None:
        if frame.counter == 0:
            self._deliver(link.identity.entry, frame.body)
            return
        passed_on = self._relay.receive(frame)
        if passed_on is not None:
            self._deliver(frame.origin, frame.body)
            self._spread(passed_on, link)

    def _deliver(self, sender: EntryInstanceId, body: bytes) -> Any:
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
        except Exception as error:  # noqa: BLE001 - a handler's fault must not close the link
            log.error("handler_failed", message=type(message).__name__, reason=repr(error))
            return error

    def _answer(self, link: PeerLink, frame: Frame) -> None:
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
