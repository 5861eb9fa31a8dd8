"""Crowds of clients that do not behave, at a process with the limits of a small machine.

Whether a bound holds does not depend on the speed of the machine; no time and no share of served
requests is checked.
"""

import functools
import socket
import tempfile
import time
import unittest
from collections.abc import Iterator
from pathlib import Path

from tests.builders import await_true, operator_config
from tests.clientcrowd import Crowd, ProcessMeter
from tests.gatewayworld import TIMEOUT_S, read_all
from tests.platformworld import CALLER_PORT, READY_PORT, PlatformWorld

MEMORY_MB = 150
DESCRIPTORS = 700
DESCRIPTORS_FOR_FILES = 200
"""Descriptors of a machine that are not for sockets."""

MAX_BODY_BYTES = 4_194_304
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": MAX_BODY_BYTES,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
CROWD_S = 6.0
ANSWERED_WITHIN_S = 20
STOP_TIMEOUT_S = 60
CLIENTS = 60
CHUNKING_CLIENTS = 30
HEAD_CLIENTS = 300
OPEN_CONNECTIONS = 700
LARGE_ANSWER_BYTES = 8_000_000

LINE = b"POST /poll/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\n"
FIELDS = b"X-Request-Id: c\r\nX-Deadline-Milliseconds: 60000\r\n"
SIZED = LINE + FIELDS + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
CHUNKED = LINE + FIELDS + b"Transfer-Encoding: chunked\r\n\r\n"
PIPELINED = LINE.replace(b"POST", b"GET") + FIELDS + b"\r\n"


def _endless(first: bytes, block: bytes) -> Iterator[bytes]:
    yield first
    while True:
        yield block


def _pieces(first: bytes, piece: bytes, count: int) -> Iterator[bytes]:
    yield first
    for _ in range(count):
        yield piece


def _chunk(size: int) -> bytes:
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


class CrowdCase(unittest.TestCase):
    """Test case with one entry instance and one backend server."""

    CONFIG = {"limits": LIMITS}

    def setUp(self) -> None:
        """Start the deployment."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.world = world = PlatformWorld(
            Path(folder), entries=1, engines=0, plain=1, config=self.CONFIG
        )
        self.addCleanup(world.close)
        self.node = world.nodes[0]
        self.node.replace_settings("memoryMb = 300", f"memoryMb = {MEMORY_MB}")
        self.node.replace_settings("fileDescriptors = 4100", f"fileDescriptors = {DESCRIPTORS}")
        self.server = world.plain[0]
        self.server.reads_bodies = True
        self.server.start()
        world.start_nodes()
        await_true(self._is_served)

    def _is_served(self) -> bool:
        self.server.answer_bytes, self.server.answer_delay_s = 4, 0.0
        return self.world.ask_plain("/poll/1").status == 200

    def play(self, way, clients=CLIENTS, port=CALLER_PORT, **changes) -> None:
        """Let a crowd act, and check the bounds and that an ordinary request is answered."""
        crowd = Crowd((self.node.host, port), way, clients, **changes)
        with ProcessMeter(self.node.pid) as meter:
            crowd.run(CROWD_S)
            until_s = time.monotonic() + ANSWERED_WITHIN_S
            while not self.node.has_ended() and not (is_served := self._is_served()):
                if time.monotonic() > until_s:
                    break
        found = (
            f"{meter.peak_mb:.0f} MB, {meter.peak_descriptors} descriptors, "
            f"{meter.peak_sockets} sockets; {crowd.connections} connections, "
            f"{crowd.sent_bytes} bytes sent"
        )
        print(f"{self.id()}: {found}")
        self.assertFalse(self.node.has_ended(), found)
        self.assertLessEqual(meter.peak_mb, MEMORY_MB, found)
        self.assertLessEqual(meter.peak_descriptors, DESCRIPTORS, found)
        self.assertLessEqual(meter.peak_sockets, DESCRIPTORS - DESCRIPTORS_FOR_FILES, found)
        self.assertTrue(is_served, found)
        self.assertEqual(0, self.node.stop(STOP_TIMEOUT_S))


class HeadCrowdTest(CrowdCase):
    def test_small_fields_without_end(self):
        self.play(functools.partial(_endless, LINE, b"a: b\r\n" * 10_000))

    def test_a_field_without_end(self):
        self.play(functools.partial(_endless, LINE + b"X-Long: ", b"x" * 65_536))

    def test_a_target_without_end(self):
        self.play(functools.partial(_endless, b"GET /poll/", b"x" * 65_536))

    def test_empty_lines_without_end(self):
        self.play(functools.partial(_endless, b"", b"\r\n" * 32_768))

    def test_heads_of_small_fields_that_stop_short_of_the_limit(self):
        head = LINE + b"a:\r\n" * 3_200
        self.play(functools.partial(_pieces, head, b"", 0), HEAD_CLIENTS)


class BodyCrowdTest(CrowdCase):
    def test_bodies_that_stop_short_of_their_end(self):
        self.play(functools.partial(_pieces, SIZED, b"x" * (MAX_BODY_BYTES - 1), 1))

    def test_bodies_in_pieces_that_stop_short_of_their_end(self):
        self.play(functools.partial(_pieces, SIZED, b"x" * 8_191, 512))

    def test_whole_bodies(self):
        self.server.answer_delay_s = 2.0
        self.play(functools.partial(_pieces, SIZED, b"x" * MAX_BODY_BYTES, 1))


class ChunkCrowdTest(CrowdCase):
    def test_large_chunks_that_stop_short_of_their_end(self):
        self.play(functools.partial(_pieces, CHUNKED, _chunk(65_535), 64))

    def test_chunks_of_two_bytes_that_stop_short_of_their_end(self):
        count = MAX_BODY_BYTES // 2 // 8_192 - 1
        self.play(functools.partial(_pieces, CHUNKED, _chunk(2) * 8_192, count), CHUNKING_CLIENTS)


class ConnectionCrowdTest(CrowdCase):
    def test_connections_that_send_nothing(self):
        self.play(functools.partial(_pieces, b"", b"", 0), OPEN_CONNECTIONS, again=False)

    def test_connections_that_send_nothing_to_the_readiness_port(self):
        way = functools.partial(_pieces, b"", b"", 0)
        self.play(way, OPEN_CONNECTIONS, READY_PORT, again=False)

    def test_bodies_at_the_readiness_port_that_stop_short_of_their_end(self):
        way = functools.partial(_pieces, SIZED, b"x" * (MAX_BODY_BYTES - 1), 1)
        self.play(way, port=READY_PORT)

    def test_pipelined_requests(self):
        self.server.answer_delay_s = 2.0
        count = 250_000 // len(PIPELINED)
        way = functools.partial(_pieces, PIPELINED, PIPELINED * count, 1)
        self.play(way, again=False)

    def test_answers_that_are_not_read(self):
        self.server.answer_bytes = LARGE_ANSWER_BYTES
        self.play(functools.partial(_pieces, PIPELINED, b"", 0), reads=False)


class CalmTest(CrowdCase):
    """Single requests inside the limits; the configuration grants larger bodies than usual."""

    RAISED_BYTES = 16_777_216
    TOO_LARGE_BYTES = 120_000_000
    ROUTES = operator_config()["routes"]
    ROUTES[1]["timeoutMs"] = 60_000
    CONFIG = {"limits": LIMITS | {"maxBodyBytes": TOO_LARGE_BYTES}, "routes": ROUTES}

    def upload(self, size, *, pause_s=0.0, is_chunked=False):
        """Send a body in pieces and return the answer."""
        head = CHUNKED if is_chunked else LINE + FIELDS + b"Content-Length: %d\r\n\r\n" % size
        pieces = [b"x" * (size // 4)] * 4
        if is_chunked:
            pieces = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces] + [b"0\r\n\r\n"]
        with socket.create_connection((self.node.host, CALLER_PORT), TIMEOUT_S) as connection:
            connection.sendall(head.replace(b"X-Request-Id", b"Connection: close\r\nX-Request-Id"))
            for piece in pieces:
                time.sleep(pause_s)
                connection.sendall(piece)
            return read_all(connection)

    def test_the_largest_bodies_are_served(self):
        for changes in ({}, {"is_chunked": True}, {"pause_s": 1.5}):
            for size in (MAX_BODY_BYTES, self.RAISED_BYTES):
                with self.subTest(size=size, **changes), ProcessMeter(self.node.pid) as meter:
                    found = self.upload(size, **changes)
                    self.assertTrue(found.startswith(b"HTTP/1.1 200 "), found[:200])
                    self.assertLessEqual(meter.peak_mb, MEMORY_MB)

    def test_what_the_machine_cannot_hold_is_refused_and_logged(self):
        with socket.create_connection((self.node.host, CALLER_PORT), TIMEOUT_S) as connection:
            connection.sendall(SIZED.replace(b"%d" % MAX_BODY_BYTES, b"%d" % self.TOO_LARGE_BYTES))
            self.assertTrue(read_all(connection).startswith(b"HTTP/1.1 413 "))
        self.assertEqual(1, len(self.node.log_lines("event=body_limit_exceeds_memory")))
        self.assertTrue(self._is_served())
