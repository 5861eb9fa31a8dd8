"""Tests of callers' requests around SIGTERM, with entry instances as separate processes."""

import signal
import socket
import time
import unittest

from scripts.callerload import CallerHabit, CallerRecord, encode_request
from scripts.platformfleet import FleetShape, PlatformFleet, RequestKind
from scripts.processes import ProcessGroup
from tests.gatewayworld import read_all

GRACE_S = 4
NOTICE_S = GRACE_S / 2
TIMEOUT_S = 10

SHORT_STREAM = RequestKind("short", "streaming", 25, 10, 100, 12_000, 600)
LONG_STREAM = RequestKind("long", "streaming", 60, 10, 100, 12_000, 600)
ORDER = RequestKind("order", "unsafe", 0, 200, 0, 2_500, 400)
QUICK_ORDER = RequestKind("quick-order", "unsafe", 0, 200, 0, 800, 400)
SLOW_ORDER = RequestKind("slow-order", "unsafe", 0, 9_000, 0, 12_000, 400)
LARGE_ORDER = RequestKind("large-order", "unsafe", 0, 400, 0, 12_000, 400, size=4_000_000)

SHAPE = FleetShape(
    zones=("zone-a",),
    nodes=6,
    engines=1,
    plain_servers=1,
    kinds=(SHORT_STREAM, LONG_STREAM, ORDER, QUICK_ORDER, SLOW_ORDER, LARGE_ORDER),
    grace_s=GRACE_S,
)


def encoded(kind, request):
    return encode_request(CallerRecord(request, kind, CallerHabit.KEEPS, ""))


def read_until(connection, mark):
    data = b""
    while mark not in data:
        received = connection.recv(65_536)
        if not received:
            raise AssertionError(f"closed before {mark!r}: {data[-200:]!r}")
        data += received
    return data


def statuses(data):
    return [int(part[:3]) for part in data.split(b"HTTP/1.1 ")[1:]]


class StopTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        group = ProcessGroup()
        cls.addClassCleanup(group.__exit__)
        cls.fleet = PlatformFleet.start(group, SHAPE)
        cls.nodes = cls.fleet.nodes

    def connect(self, receive_buffer=None):
        self.node = self.nodes.pop()
        connection = self.enterContext(socket.socket())
        if receive_buffer is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.settimeout(TIMEOUT_S)
        connection.connect(self.node.caller_address)
        return connection

    def connect_past_notice(self, request):
        """Return a connection that a stream has kept open until late in the stop."""
        connection = self.connect()
        connection.sendall(encoded(SHORT_STREAM, request))
        read_until(connection, b"id: 1\n")
        self.node.terminate()
        read_until(connection, b"0\r\n\r\n")
        return connection

    def test_a_stream_asked_for_on_a_kept_connection_during_the_stop_is_not_cut(self):
        connection = self.connect_past_notice("a1")
        connection.sendall(encoded(LONG_STREAM, "a2"))
        second = read_all(connection)
        self.assertEqual([503], statuses(second), second[-200:])
        self.assertIn(b"Connection: close", second)

    def test_an_order_asked_for_late_in_the_stop_is_refused_and_not_run(self):
        # LOST: it was passed on, and answered 502 at the end of the stop.
        connection = self.connect_past_notice("f1")
        connection.sendall(encoded(SLOW_ORDER, "f2"))
        started_s = time.monotonic()
        found = read_all(connection)
        self.assertEqual([503], statuses(found), found[-200:])
        self.assertIn(b"Retry-After: ", found)
        self.assertLess(time.monotonic() - started_s, 1)
        self.assertNotIn("f2", self.fleet.seen())

    def test_pipelined_requests_are_answered_before_a_stopping_instance_closes(self):
        connection = self.connect()
        self.node.terminate()
        time.sleep(0.1)
        connection.sendall(encoded(ORDER, "b1") + encoded(ORDER, "b2"))
        answers = read_all(connection)
        self.assertEqual([200, 200], statuses(answers), answers[-200:])
        self.assertEqual(1, answers.count(b"Connection: close"))

    def test_requests_that_outlast_the_stop_get_answers(self):
        connection = self.connect()
        connection.sendall(encoded(SLOW_ORDER, "c1") + encoded(ORDER, "c2"))
        time.sleep(0.2)
        self.node.terminate()
        answer = read_all(connection)
        self.assertEqual([502, 503], statuses(answer), answer[-200:])

    def test_a_request_that_arrives_as_the_listener_closes_is_answered(self):
        self.node = self.nodes.pop()
        self.node.terminate()
        time.sleep(NOTICE_S - 0.3)
        self.node.signal(signal.SIGSTOP)
        with socket.create_connection(self.node.caller_address, TIMEOUT_S) as connection:
            connection.sendall(encoded(QUICK_ORDER, "e1"))
            time.sleep(0.5)
            self.node.signal(signal.SIGCONT)
            self.assertEqual([200], statuses(read_all(connection)))

    def test_an_answer_is_not_lost_to_bytes_that_arrive_while_it_is_sent(self):
        connection = self.connect(receive_buffer=4_096)
        connection.sendall(encoded(LARGE_ORDER, "d1"))
        self.node.terminate()
        time.sleep(1)
        connection.sendall(b"\r\n")
        time.sleep(0.2)
        received = read_all(connection)
        self.assertEqual(LARGE_ORDER.size, received.count(b"x"), received[-20:])
