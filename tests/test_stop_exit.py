"""Tests of callers' requests in the last moments of a stop, with processes that end."""

import signal
import socket
import time
import unittest

from scripts.callerload import CallerHabit, CallerRecord, encode_request
from scripts.platformfleet import FleetShape, PlatformFleet, RequestKind
from scripts.processes import ProcessGroup
from tests.gatewayworld import read_all

TIMEOUT_S = 10
DRAIN_S = 2.3
SEGMENT_BYTES = 1_448
RECEIVE_BUFFER_BYTES = 4_096

STREAM = RequestKind("stream", "streaming", 15, 10, 100, 12_000, 600, size=20_000)
LARGE_ORDER = RequestKind("large-order", "unsafe", 0, 100, 0, 12_000, 400, size=300_000)
SLOW_ORDER = RequestKind("slow-order", "unsafe", 0, 9_000, 0, 12_000, 400)

SHAPE = FleetShape(
    zones=("zone-a",),
    nodes=3,
    engines=1,
    plain_servers=1,
    kinds=(STREAM, LARGE_ORDER, SLOW_ORDER),
    grace_s=3,
)


class LastMomentsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        group = ProcessGroup()
        cls.addClassCleanup(group.__exit__)
        cls.fleet = PlatformFleet.start(group, SHAPE)
        cls.nodes = cls.fleet.nodes

    def setUp(self):
        self.node = self.nodes.pop()

    def send(self, kind, request):
        """Send a request on a connection of small segments, as over a network."""
        connection = self.enterContext(socket.socket())
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.settimeout(TIMEOUT_S)
        connection.connect(self.node.caller_address)
        connection.sendall(encode_request(CallerRecord(request, kind, CallerHabit.KEEPS, "")))
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
        time.sleep(0.2)
        self.node.terminate()
        time.sleep(DRAIN_S - 0.2)
        self.node.signal(signal.SIGSTOP)
        time.sleep(0.5)
        self.node.signal(signal.SIGCONT)
        self.assertIn(b"HTTP/1.1 502", read_all(connection))
