"""Tests of callers that read their answers slowly or not at all."""

import contextlib
import socket
import threading
import time
from unittest import mock

from bergamothill.connection import backlogwatch
from tests.builders import await_true
from tests.gatewayworld import (
    HOST,
    PROMPT_HEADERS,
    STREAM_HEAD,
    TIMEOUT_S,
    EndlessAnswer,
    GatewayCase,
    answer,
    chunk,
    event,
    read_all,
    replies,
    request,
)

RECEIVE_BUFFER_BYTES = 16_384
PROMPT = request(b"/quote/2f", headers=PROMPT_HEADERS + b"Connection: close\r\n")
LARGE_EVENT = b"data: %s\n\n" % (b"x" * 20_000)

EVENTS = 800
LARGE_BODY = b"x" * 8_000_000

BLOCKED_S = 0.5
"""Time without a byte sent after which a server counts as blocked."""


class SlowCallerCase(GatewayCase):
    def connect_slowly(self, world):
        """Open a caller's connection with a small receive buffer."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.settimeout(TIMEOUT_S)
        connection.connect((HOST, world.port))
        self.addCleanup(connection.close)
        return connection

    def await_blocked(self, endless):
        """Wait until a server can send no more."""
        deadline_s, seen = time.monotonic() + 2.5, -1
        while seen != endless.sent_bytes or not seen:
            self.assertLess(time.monotonic(), deadline_s, "the server was never blocked")
            seen = endless.sent_bytes
            time.sleep(BLOCKED_S)


class SlowStreamTest(SlowCallerCase):
    def test_the_backlog_of_a_caller_that_does_not_read_is_bounded(self):
        endless = EndlessAnswer(STREAM_HEAD, chunk(LARGE_EVENT))
        world = self.world(engines=[endless])
        self.connect_slowly(world).sendall(PROMPT)
        self.await_blocked(endless)

    def test_the_time_limit_ends_a_stream_that_is_not_read(self):
        endless = EndlessAnswer(STREAM_HEAD, chunk(LARGE_EVENT))
        world = self.world(engines=[endless])
        started_s = time.monotonic()
        self.connect_slowly(world).sendall(PROMPT)
        self.assertTrue(endless.was_closed.wait(TIMEOUT_S))
        self.assertTrue(2.5 < time.monotonic() - started_s < 4)
        await_true(lambda: world.in_progress() == 0)

    def test_a_caller_that_leaves_without_reading_ends_its_stream_at_once(self):
        endless = EndlessAnswer(STREAM_HEAD, chunk(LARGE_EVENT))
        world = self.world(engines=[endless])
        connection = self.connect_slowly(world)
        connection.sendall(PROMPT)
        self.await_blocked(endless)
        connection.close()
        self.assertTrue(endless.was_closed.wait(0.5))

    def test_a_stream_that_was_not_read_for_a_while_goes_on_at_its_engine(self):
        written = threading.Event()

        def script(connection, _request):
            with contextlib.suppress(OSError):
                for number in range(EVENTS):
                    connection.sendall(chunk(LARGE_EVENT if number else event(1)))
                connection.sendall(chunk(b""))
                written.set()

        engine = [lambda c, r: (c.sendall(STREAM_HEAD), script(c, r))]
        world = self.world(engines=engine * 2)
        connection = self.connect_slowly(world)
        connection.sendall(PROMPT.replace(b"Milliseconds: 3000", b"Milliseconds: 12000"))
        time.sleep(1.5)
        found = read_all(connection)
        self.assertTrue(written.is_set())
        self.assertEqual(EVENTS - 1, found.count(LARGE_EVENT))
        self.assertTrue(found.endswith(b"\r\n0\r\n\r\n"))
        self.assertEqual(1, len(self.sent()))


class SlowPlainTest(SlowCallerCase):
    def ask_slowly(self, headers=b""):
        """Request a large answer on a slow connection, and give it time to get stuck."""
        self.enterContext(mock.patch.object(backlogwatch, "BACKLOG_CHECK_MS", 1_000))
        world = self.world(plain=[replies(answer(LARGE_BODY))])
        connection = self.connect_slowly(world)
        connection.sendall(request(headers=headers))
        return connection

    def test_an_answer_that_is_not_read_is_given_up(self):
        for headers in (b"", b"Connection: close\r\n"):
            with self.subTest(headers):
                connection = self.ask_slowly(headers)
                time.sleep(2.5)
                found = read_all(connection)
                self.assertLess(len(found), len(LARGE_BODY))

    def test_an_answer_that_is_read_slowly_is_sent_to_its_end(self):
        for headers in (b"", b"Connection: close\r\n"):
            with self.subTest(headers):
                connection = self.ask_slowly(headers)
                found = connection.recv(65_536)
                whole = len(found.partition(b"\r\n\r\n")[0]) + 4 + len(LARGE_BODY)
                received = len(found)
                while received < whole:
                    time.sleep(0.001)
                    piece = connection.recv(65_536)
                    self.assertTrue(piece)
                    received += len(piece)

    def test_no_request_is_sent_while_the_answer_before_it_is_not_read(self):
        world = self.world(plain=[replies(answer(b"x" * 200_000))])
        connection = self.connect_slowly(world)
        connection.sendall(request() * 59 + request(headers=b"Connection: close\r\n"))
        time.sleep(2.2)
        found = read_all(connection)
        self.assertEqual(60, found.count(b"HTTP/1.1 "))
        self.assertEqual(len(self.sent()), found.count(b"HTTP/1.1 200 "))

    def test_a_malformed_request_behind_others_that_wait_is_not_answered_in_their_place(self):
        world = self.world(plain=[replies(answer(b"x" * 200_000))])
        connection = self.connect_slowly(world)
        connection.sendall(request() * 60)
        time.sleep(0.7)
        connection.sendall(b"malformed\r\n\r\n")
        self.assertNotIn(b"HTTP/1.1 400 ", read_all(connection))
