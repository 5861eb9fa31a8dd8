"""Tests that each request that was read ends in one log line, with processes that end."""

import re
import signal
import time

from scripts.platformfleet import FleetShape, RequestKind
from tests.gatewayworld import read_all
from tests.stopcase import TIMEOUT_S, StopCase, encoded

LINE = re.compile(r"event=request(?:_denied|_dropped)? request=(\S+)")

STREAM = RequestKind("stream", "streaming", 60, 10, 100, 12_000, 600)
ORDER = RequestKind("order", "unsafe", 0, 100, 0, 2_500, 400)
SLOW_ORDER = RequestKind("slow-order", "unsafe", 0, 9_000, 0, 12_000, 400)
UNKNOWN = RequestKind("unknown", "safe", 0, 0, 0, 2_500, 400)

SHAPE = FleetShape(
    zones=("zone-a",),
    nodes=4,
    engines=1,
    plain_servers=1,
    kinds=(STREAM, ORDER, SLOW_ORDER),
    grace_s=3,
)


class LastLinesTest(StopCase):
    SHAPE = SHAPE

    def logged(self):
        """Return the ids of the requests that have a line, sorted, once the process has ended."""
        self.node.process.wait(TIMEOUT_S)
        return sorted(LINE.findall(self.node.log_path.read_text()))

    def test_requests_behind_a_stream_that_is_cut_have_a_line(self):
        connection = self.connect()
        connection.sendall(b"".join((encoded(STREAM, "a1"), encoded(ORDER, "a2"))))
        time.sleep(0.3)
        self.node.terminate()
        read_all(connection)
        self.assertEqual(["a1", "a2"], self.logged())

    def test_a_request_whose_caller_leaves_during_the_search_for_its_origin_has_a_line(self):
        for peer in self.nodes:
            peer.signal(signal.SIGSTOP)
            self.addCleanup(peer.signal, signal.SIGCONT)
        connection = self.connect()
        resumed = encoded(STREAM, "b1").replace(
            b"\r\n\r\n", b"\r\nLast-Event-Id: 3\r\nResumes: b0\r\n\r\n", 1
        )
        connection.sendall(resumed)
        time.sleep(0.05)
        connection.close()
        time.sleep(0.5)
        self.node.terminate()
        self.assertEqual(["b1"], self.logged())

    def test_the_last_requests_have_lines_whatever_was_logged_before(self):
        crowd = self.connect()
        for _ in range(30):
            crowd.sendall(encoded(UNKNOWN, "crowd") * 50)
        orders = [f"c{number}" for number in range(500)]
        connections = [self.connect() for _ in orders]
        for connection, order in zip(connections, orders, strict=True):
            connection.sendall(encoded(SLOW_ORDER, order))
        time.sleep(0.2)
        self.node.terminate()
        for connection in connections:
            self.assertIn(b"HTTP/1.1 50", read_all(connection))
        lines = [request for request in self.logged() if request != "crowd"]
        self.assertEqual(sorted(orders), lines)

    def test_lines_are_written_before_a_kill_that_follows_the_answer(self):
        connection = self.connect()
        connection.sendall(encoded(ORDER, "d1"))
        connection.recv(65_536)
        time.sleep(0.2)
        self.node.kill()
        self.assertEqual(["d1"], self.logged())
