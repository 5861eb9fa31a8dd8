"""Tests that a stop leaves no request undecided and no answer behind, with processes that end."""

import re
import signal
import time
from dataclasses import replace

from scripts.platformfleet import FleetShape, RequestKind
from tests.gatewayworld import read_all
from tests.stopcase import TIMEOUT_S, StopCase, encoded

DRAIN_S = 2.3
RESUMED_FIELDS = b"\r\nLast-Event-Id: 3\r\nResumes: a0\r\n\r\n"

STREAM = RequestKind("stream", "streaming", 15, 10, 100, 12_000, 600)
ORDER = RequestKind("order", "unsafe", 0, 100, 0, 12_000, 400)
SLOW_ORDER = RequestKind("slow-order", "unsafe", 0, 9_000, 0, 12_000, 400)
LARGE_ORDER = RequestKind("large-order", "unsafe", 0, 2_500, 0, 12_000, 400, size=150_000)
HUGE_ORDER = RequestKind("huge-order", "unsafe", 0, 100, 0, 12_000, 400, size=6_000_000)

SHAPE = FleetShape(
    zones=("zone-a",),
    nodes=5,
    engines=1,
    plain_servers=1,
    kinds=(STREAM, ORDER, SLOW_ORDER, LARGE_ORDER, HUGE_ORDER),
    grace_s=3,
)


class StopDecisionTest(StopCase):
    SHAPE = SHAPE

    def send(self, data):
        """Send requests on a connection of small segments, as over a network."""
        connection = self.connect(has_small_segments=True)
        connection.sendall(data)
        return connection

    def test_resumed_streams_behind_a_request_that_outlasts_the_stop_are_answered(self):
        for peer in self.nodes:
            peer.signal(signal.SIGSTOP)
            self.addCleanup(peer.signal, signal.SIGCONT)
        resumed = [
            encoded(STREAM, request).replace(b"\r\n\r\n", RESUMED_FIELDS, 1)
            for request in ("a2", "a3")
        ]
        connection = self.send(encoded(SLOW_ORDER, "a1") + b"".join(resumed))
        time.sleep(0.2)
        self.node.terminate()
        received = read_all(connection)
        self.assertEqual([b"502", b"503", b"503"], re.findall(rb"HTTP/1.1 (\d+)", received))

    def test_answers_that_come_as_the_drain_ends_are_whole(self):
        connections = [self.send(encoded(LARGE_ORDER, f"b{number}")) for number in range(4)]
        time.sleep(0.2)
        self.node.terminate()
        time.sleep(DRAIN_S - 0.2)
        self.node.signal(signal.SIGSTOP)
        time.sleep(0.5)
        self.node.signal(signal.SIGCONT)
        self.node.process.wait(TIMEOUT_S)
        answers = [read_all(connection) for connection in connections]
        begun = [answer.count(b"x") for answer in answers if b"HTTP/1.1 502 " not in answer]
        self.assertEqual([LARGE_ORDER.size] * len(begun), begun)

    def test_an_answer_is_not_lost_to_a_request_that_is_sent_before_it_is_read(self):
        self.send(encoded(SLOW_ORDER, "d1"))
        connection = self.send(encoded(replace(LARGE_ORDER, first_ms=100), "d2"))
        time.sleep(0.4)
        self.node.terminate()
        time.sleep(DRAIN_S - 0.4)
        connection.sendall(encoded(ORDER, "d3"))
        self.assertIsNone(self.node.process.poll())
        time.sleep(0.1)
        received = read_all(connection)
        self.assertEqual(LARGE_ORDER.size, received.count(b"x"))

    def test_a_request_behind_an_answer_that_is_not_read_has_a_line(self):
        self.send(encoded(HUGE_ORDER, "c1") + encoded(ORDER, "c2"))
        time.sleep(0.3)
        self.node.terminate()
        self.node.process.wait(TIMEOUT_S)
        self.assertIn("event=request_dropped request=c2", self.node.log_path.read_text())
