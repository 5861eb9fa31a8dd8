"""Callers of entry instances that record what became of each request, as seen on their sockets."""

from __future__ import annotations

import asyncio
import contextlib
import random
import select
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import httptools

from scripts.platformfleet import API_KEY, HOST, EntryNode, RequestKind

__all__ = [
    "Balancer",
    "CallerHabit",
    "CallerRecord",
    "Connection",
    "Ending",
    "ZoneBalancer",
    "run_caller",
]

MISSES_TO_LEAVE = 2
CHECK_INTERVAL_S = 1.0
CHECK_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 1.0
SLOW_PIECE_BYTES = 200
SLOW_PAUSE_S = 0.05
READ_BYTES = 65_536
CLOSE_POLL_S = 0.01
RECONNECT_PAUSE_S = 0.1
MAX_REFUSED_PAUSE_S = 0.5
SLOWNESS = (1, 1, 2, 3)
LARGENESS = (1, 10, 50)
MAX_LATENESS_S = 4.0
CHAIN_REQUESTS = 20
EVENT_FRAME_BYTES = 20


def now_ms() -> float:
    """Return the monotonic clock, which all processes of a machine share."""
    return time.monotonic() * 1_000


class Ending(Enum):
    """How a request ended for its caller."""

    WHOLE = "whole"
    CLOSED = "closed"
    RESET = "reset"
    NOT_CONNECTED = "not_connected"
    GIVEN_UP = "given_up"
    """The caller gave up at its time limit."""


class CallerHabit(Enum):
    """How a caller uses its connections."""

    KEEPS = "keeps"
    """Keeps its connection until it is closed, and sends each request right after an answer."""

    NEW = "new"
    """Opens a connection for each request."""

    SLOW = "slow"
    """Sends each request in small pieces."""

    PIPELINES = "pipelines"
    """Sends two requests at a time."""

    READS_SLOWLY = "reads_slowly"
    """Has a small receive window and sends its next request before it has read the answer."""

    READS_LATE = "reads_late"
    """Asks for large answers, and reads nothing of them for some seconds."""

    CHAINS = "chains"
    """Sends its next request as soon as only one is unanswered."""

    RESUMES = "resumes"
    """Leaves a stream after some events and takes it up on a new connection."""


@dataclass
class CallerRecord:
    """One request as its caller saw it; times are of the monotonic clock.

    :param request: request id
    :param kind: its kind
    :param habit: habit of the caller
    :param node: name of the entry instance
    :param slowness: factor on the time between the events of its answer
    :param size_factor: factor on the size of its answer
    :param resumes: request whose stream it takes up
    :param resumes_after: event of that stream after which it goes on
    :param behind: request before it on the connection that had no whole answer when it was sent
    :param sent_ms: when its last byte was sent
    :param ended_ms: when it ended
    :param ending: how it ended
    :param status: status of the answer; 0 for none
    :param received: bytes of the body received
    :param unread_ms: for how long its caller read nothing
    """

    request: str
    kind: RequestKind
    habit: CallerHabit
    node: str
    slowness: int = 1
    size_factor: int = 1
    resumes: str = ""
    resumes_after: int = 0
    behind: CallerRecord | None = field(default=None, repr=False)
    sent_ms: float = 0.0
    ended_ms: float = 0.0
    ending: Ending = Ending.GIVEN_UP
    status: int = 0
    received: int = 0
    unread_ms: float = 0.0
    said_close: bool = field(default=False, repr=False)


class Balancer:
    """Chooses the entry instance of each new connection, as the platform does.

    :param nodes: returns the entry instances
    """

    def __init__(self, nodes: Callable[[], list[EntryNode]]) -> None:
        self._nodes = nodes
        self._misses: dict[str, int] = {}

    def choose(self, draw: random.Random) -> EntryNode:
        """Return an instance that is in rotation, or any if none is."""
        nodes = self._nodes()
        ready = [node for node in nodes if self._misses.get(node.name, 0) < MISSES_TO_LEAVE]
        return draw.choice(ready or nodes)

    async def run(self) -> None:
        """Check the readiness of all instances every second."""
        while True:
            nodes = self._nodes()
            await asyncio.gather(*(self._check(node) for node in nodes))
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check(self, node: EntryNode) -> None:
        try:
            is_ready = await asyncio.wait_for(_is_ready(node.readiness_address), CHECK_TIMEOUT_S)
        except (OSError, TimeoutError):
            is_ready = False
        self._misses[node.name] = 0 if is_ready else self._misses.get(node.name, 0) + 1


class ZoneBalancer(Balancer):
    """Chooses the instance of each new connection of callers of one zone.

    :param nodes: returns the entry instances
    :param zone: zone of the callers
    """

    def __init__(self, nodes: Callable[[], list[EntryNode]], zone: str) -> None:
        super().__init__(nodes)
        self._zone = zone

    def choose(self, draw: random.Random) -> EntryNode:
        """Return an instance of the zone, or of another one if the zone has none in rotation."""
        nodes = self._nodes()
        own = [node for node in nodes if node.zone == self._zone]
        ready = [node for node in nodes if self._misses.get(node.name, 0) < MISSES_TO_LEAVE]
        ready_own = [node for node in own if node in ready]
        if not ready_own:
            return draw.choice(ready or nodes)
        return draw.choice(ready_own if 2 * len(ready_own) >= len(own) else own)


async def _is_ready(address: tuple[str, int]) -> bool:
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        return (await reader.readline()).startswith(b"HTTP/1.1 200")
    finally:
        writer.close()


class Connection:
    """Connection of a caller; answers are matched to requests in order.

    :param node: entry instance
    :param receive_buffer: size of the socket's receive buffer; None for the default
    """

    def __init__(self, node: EntryNode, receive_buffer: int | None = None) -> None:
        self.node = node
        self.is_open = False
        self._receive_buffer = receive_buffer
        self._closed_ms: float | None = None
        self._waiting: list[CallerRecord] = []
        self._parser = httptools.HttpResponseParser(self)

    async def open(self) -> None:
        """Connect to the instance.

        :raises OSError: it could not be reached
        """
        sock = socket.socket()
        sock.setblocking(False)
        if self._receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, self.node.caller_address)
        except (OSError, TimeoutError) as error:
            sock.close()
            raise ConnectionError(str(error)) from error
        self._sock = sock
        self.is_open = True

    async def send(self, record: CallerRecord, *, piece_bytes: int = 0) -> None:
        """Send a request, in pieces of a given size if it is not 0."""
        loop = asyncio.get_running_loop()
        encoded = encode_request(record)
        record.behind = self._waiting[-1] if self._waiting else None
        self._waiting.append(record)
        step = piece_bytes or len(encoded)
        for start in range(0, len(encoded), step):
            if start:
                await asyncio.sleep(SLOW_PAUSE_S)
            await loop.sock_sendall(self._sock, encoded[start : start + step])
            record.sent_ms = now_ms()

    async def receive(
        self, *, read_bytes: int = READ_BYTES, pause_s: float = 0.0, unanswered: int = 0
    ) -> None:
        """Read until the requests sent have ended; the slowest one's time limit applies.

        :param read_bytes: maximum to read at once
        :param pause_s: pause before each read
        :param unanswered: number of requests that may still be unanswered
        """
        if not self._waiting:
            return
        limit_s = max(record.kind.timeout_ms for record in self._waiting) / 1_000
        try:
            async with asyncio.timeout(limit_s):
                while len(self._waiting) > unanswered:
                    await asyncio.sleep(pause_s)
                    if not await self._read(read_bytes):
                        return
        except TimeoutError:
            self._end_all(Ending.GIVEN_UP)
            self.close()

    async def _read(self, read_bytes: int) -> bool:
        try:
            data = await asyncio.get_running_loop().sock_recv(self._sock, read_bytes)
        except OSError:
            self._end_all(Ending.RESET)
            self.close()
            return False
        if not data:
            self._end_all(Ending.CLOSED)
            self.close()
            return False
        self._parser.feed_data(data)
        return True

    async def wait_unread(self, duration_s: float) -> None:
        """Read nothing for some time; only note when the instance ends the connection."""
        poll = select.poll()
        poll.register(self._sock, select.POLLRDHUP)
        until_ms = now_ms() + 1_000 * duration_s
        while now_ms() < until_ms:
            if self._closed_ms is None and poll.poll(0):
                self._closed_ms = now_ms()
            await asyncio.sleep(CLOSE_POLL_S)

    async def receive_events(self, record: CallerRecord, size_bytes: int) -> None:
        """Read until an answer has brought some bytes of its body, or has ended."""
        while record in self._waiting and record.received < size_bytes:
            await self._read(READ_BYTES)

    @property
    def takes_requests(self) -> bool:
        """Whether the connection is open and no answer has announced its close."""
        return self.is_open and not any(record.said_close for record in self._waiting)

    def leave(self) -> None:
        """Close the connection though requests may be unanswered."""
        self._end_all(Ending.GIVEN_UP)
        self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.is_open:
            self.is_open = False
            self._sock.close()

    def _end_all(self, ending: Ending) -> None:
        ended_ms = now_ms() if self._closed_ms is None else self._closed_ms
        for record in self._waiting:
            record.ending, record.ended_ms = ending, ended_ms
        self._waiting.clear()

    # Callbacks of the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether the instance will close the connection."""
        if name.lower() == b"connection" and value.lower() == b"close":
            self._waiting[0].said_close = True

    def on_headers_complete(self) -> None:
        """Record the status."""
        self._waiting[0].status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Count the bytes of the body."""
        self._waiting[0].received += len(body)

    def on_message_complete(self) -> None:
        """Record that the answer is whole."""
        record = self._waiting.pop(0)
        record.ending, record.ended_ms = Ending.WHOLE, now_ms()
        if record.said_close and not self._waiting:
            self.close()


def encode_request(record: CallerRecord) -> bytes:
    """Encode a request with all headers that callers send."""
    kind = record.kind
    method = "GET" if kind.kind == "safe" else "POST"
    body = b"" if method == "GET" else b'{"note":"%s"}' % (b"x" * 200)
    target = (
        f"/{kind.name}/a?first={kind.first_ms}&gap={kind.gap_ms * record.slowness}"
        f"&events={kind.events}&bytes={kind.size * record.size_factor}"
    )
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {record.request}",
        f"Authorization: Bearer {API_KEY}",
        f"X-Deadline-Milliseconds: {kind.timeout_ms}",
    ]
    if kind.events:
        lines += ["X-Model: m1", f"X-Token-Counts: 1000,{kind.events}", "X-Prompt-Prefix: a1:900"]
    if record.resumes:
        lines += [f"Resumes: {record.resumes}", f"Last-Event-Id: {record.resumes_after}"]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def run_caller(
    habit: CallerHabit,
    kinds: list[RequestKind],
    balancer: Balancer,
    draw: random.Random,
    records: list[CallerRecord],
    stopped: asyncio.Event,
) -> None:
    """Send requests until told to stop.

    :param habit: how to use connections
    :param kinds: kinds of request to draw from
    :param balancer: chooses the instance of each new connection
    :param draw: source of randomness
    :param records: list to add to
    :param stopped: set when no more requests are to be sent
    """
    connection: Connection | None = None
    while not stopped.is_set():
        if connection is None or not connection.is_open:
            window = 4_096 if habit is CallerHabit.READS_SLOWLY else None
            connection = Connection(balancer.choose(draw), window)
            try:
                await connection.open()
            except ConnectionError:
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
        await _EXCHANGES.get(habit, _exchange)(connection, habit, kinds, draw, records)
        if records[-1].status >= 400:
            await asyncio.sleep(draw.uniform(0, MAX_REFUSED_PAUSE_S))
        if habit is CallerHabit.NEW:
            connection.close()
        if habit is CallerHabit.RESUMES:
            connection.leave()
    if connection is not None:
        connection.close()


async def _send(
    connection: Connection,
    habit: CallerHabit,
    kinds: list[RequestKind],
    draw: random.Random,
    records: list[CallerRecord],
    **changes: float | str,
) -> CallerRecord:
    """Send a request of a kind that is drawn; its time of sending is 0 if that failed."""
    request = f"{draw.getrandbits(64):016x}"
    kind, slowness = draw.choice(kinds), draw.choice(SLOWNESS)
    record = CallerRecord(request, kind, habit, connection.node.name, slowness, **changes)
    records.append(record)
    try:
        await connection.send(
            record, piece_bytes=SLOW_PIECE_BYTES if habit is CallerHabit.SLOW else 0
        )
    except OSError:
        record.sent_ms = 0.0  # not wholly sent
    return record


async def _exchange(
    connection: Connection,
    habit: CallerHabit,
    kinds: list[RequestKind],
    draw: random.Random,
    records: list[CallerRecord],
) -> None:
    count = 2 if habit in (CallerHabit.PIPELINES, CallerHabit.READS_SLOWLY) else 1
    for _ in range(count):
        await _send(connection, habit, kinds, draw, records)
    if habit is CallerHabit.READS_SLOWLY:
        await connection.receive(read_bytes=1_024, pause_s=0.02)
    else:
        await connection.receive()


async def _exchange_late(
    connection: Connection,
    habit: CallerHabit,
    kinds: list[RequestKind],
    draw: random.Random,
    records: list[CallerRecord],
) -> None:
    size_factor, late_s = draw.choice(LARGENESS), draw.uniform(0, MAX_LATENESS_S)
    changes = {"size_factor": size_factor, "unread_ms": late_s * 1_000}
    await _send(connection, habit, kinds, draw, records, **changes)
    await connection.wait_unread(late_s)
    await connection.receive()


async def _chain(
    connection: Connection,
    habit: CallerHabit,
    kinds: list[RequestKind],
    draw: random.Random,
    records: list[CallerRecord],
) -> None:
    for _ in range(CHAIN_REQUESTS):
        if not connection.takes_requests:
            break
        await _send(connection, habit, kinds, draw, records)
        await connection.receive(unanswered=1)
    await connection.receive()


async def _resume(
    connection: Connection,
    habit: CallerHabit,
    kinds: list[RequestKind],
    draw: random.Random,
    records: list[CallerRecord],
) -> None:
    """Take up the latest stream that such a caller has left, then leave one."""
    kinds = [kind for kind in kinds if kind.is_resumable] or [kind for kind in kinds if kind.events]
    left = [record for record in records if record.habit is habit and _event_of(record)]
    changes: dict[str, int | str] = {}
    if left:
        before = left[-1]
        changes = {"resumes": before.resumes or before.request, "resumes_after": _event_of(before)}
        kinds = [before.kind]
    first = await _send(connection, habit, kinds, draw, records, **changes)
    if draw.random() < 0.5:
        await connection.receive()
    else:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(first.kind.timeout_ms / 1_000):
                await connection.receive_events(first, 4 * first.kind.size)


def _event_of(record: CallerRecord) -> int:
    """Return the number of the last event of a stream that was left, 0 if there is none."""
    if record.ending is not Ending.GIVEN_UP or not record.ended_ms:
        return 0
    return record.resumes_after + record.received // (record.kind.size + EVENT_FRAME_BYTES)


_EXCHANGES = {
    CallerHabit.READS_LATE: _exchange_late,
    CallerHabit.CHAINS: _chain,
    CallerHabit.RESUMES: _resume,
}
