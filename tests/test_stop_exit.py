"""Tests of callers' requests in the last moments of a stop, with processes that end."""

import re
import signal
import socket
import time

from bergamothill.process.platformnode import METRICS_PORT
from scripts.callerload import CallerHabit, CallerRecord, encode_request
from scripts.platformfleet import FleetShape, RequestKind
from tests.builders import await_true
from tests.gatewayworld import read_all
from tests.stopcase import TIMEOUT_S, StopCase, encoded

BODY_BYTES = 4_000_000
DRAIN_S = 2.3

STREAM = RequestKind("stream", "streaming", 15, 10, 100, 12_000, 600, size=20_000)
LARGE_ORDER = RequestKind("large-order", "unsafe", 0, 100, 0, 12_000, 400, size=300_000)
ORDER = RequestKind("order", "unsafe", 0, 2_500, 0, 12_000, 400)
SHORT_ORDER = RequestKind("short-order", "unsafe", 0, 1_000, 0, 12_000, 400)
QUICK_ORDER = RequestKind("quick-order", "unsafe", 0, 45, 0, 2_500, 400)
SLOW_ORDER = RequestKind("slow-order", "unsafe", 0, 9_000, 0, 12_000, 400)
HEAD = (
    b"POST /order/a HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\n"
    b"Authorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n"
)

SHAPE = FleetShape(
    zones=("zone-a",),
    nodes=6,
    engines=1,
    plain_servers=1,
    kinds=(STREAM, LARGE_ORDER, ORDER, SHORT_ORDER, QUICK_ORDER, SLOW_ORDER),
    memory_mb=112,
    grace_s=3,
)


class LastMomentsTest(StopCase):
    SHAPE = SHAPE

    def send(self, kind, request):
        """Send a request on a connection of small segments, as over a network."""
        connection = self.connect(has_small_segments=True)
        connection.sendall(encoded(kind, request))
        return connection

    def read_after_exit(self, kind, request):
        connection = self.send(kind, request)
        time.sleep(0.3)
        self.node.terminate()
        self.node.process.wait(TIMEOUT_S)
        return read_all(connection)

    def test_an_answer_that_is_read_after_the_exit_is_whole(self):
        received = self.read_after_exit(LARGE_ORDER, "a1")
        self.assertEqual(LARGE_ORDER.size, received.count(b"x"))

    def test_a_stream_that_is_read_after_the_exit_is_whole(self):
        received = self.read_after_exit(STREAM, "b1")
        self.assertEqual(b"0\r\n\r\n", received[-5:], len(received))
        self.assertEqual(STREAM.events, received.count(b"id: "))

    def test_requests_get_answers_after_a_pause_as_the_drain_ends(self):
        connection = self.send(SLOW_ORDER, "c1")
        self.pause_as_the_drain_ends()
        self.assertIn(b"HTTP/1.1 502", read_all(connection))

    def test_answers_that_came_in_a_pause_as_the_drain_ends_are_passed_on(self):
        connections = [self.send(ORDER, f"d{number}") for number in range(20)]
        self.pause_as_the_drain_ends()
        heads = {read_all(connection)[:12] for connection in connections}
        self.assertEqual({b"HTTP/1.1 200"}, heads)

    def test_a_request_behind_another_one_is_answered_though_memory_is_short(self):
        self.node.terminate()
        for _ in range(5):
            held = self.enterContext(socket.create_connection(self.node.caller_address, TIMEOUT_S))
            held.sendall(HEAD % (b"held", BODY_BYTES) + b"x" * (BODY_BYTES - 1))
        await_true(lambda: self.held_bytes() > 5 * BODY_BYTES)
        connection = self.send(SHORT_ORDER, "e1")
        behind = encode_request(CallerRecord("e2", QUICK_ORDER, CallerHabit.KEEPS, ""))
        connection.sendall(behind + HEAD % (b"e3", BODY_BYTES))
        received = read_all(connection)
        self.assertEqual([b"200", b"503"], re.findall(rb"HTTP/1.1 (\d+)", received))

    def test_signals_as_the_process_ends_do_not_cut_its_log(self):
        self.node.terminate()
        while self.node.process.poll() is None:
            self.node.signal(signal.SIGHUP)
            self.node.signal(signal.SIGTERM)
            time.sleep(0.002)
        self.assertEqual(0, self.node.process.returncode)
        self.assertIn("event=stopped", self.node.log_path.read_text())

    def held_bytes(self):
        address = (self.node.caller_address[0], METRICS_PORT)
        with socket.create_connection(address, TIMEOUT_S) as connection:
            connection.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            found = re.search(rb"client_memory_bytes (\d+)", read_all(connection))
        return int(found[1])

    def pause_as_the_drain_ends(self):
        time.sleep(0.2)
        self.node.terminate()
        time.sleep(DRAIN_S - 0.2)
        self.node.signal(signal.SIGSTOP)
        time.sleep(0.5)
        self.node.signal(signal.SIGCONT)
