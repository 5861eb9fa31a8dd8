"""Tests of the connection for polls against servers that send too much."""

import asyncio
import time
import unittest
from unittest import mock

from bergamothill.connection import pollconnection
from bergamothill.connection.pollconnection import PollConnection
from bergamothill.errors import PeerTimeoutError
from tests.gatewayworld import EndlessAnswer, ScriptedServer, answer, replies

REQUEST = b"GET /events HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TIMEOUT_MS = 5_000
BLOCK = b"x" * 65_536


class PollConnectionTest(unittest.TestCase):
    def setUp(self):
        self.enterContext(mock.patch.object(pollconnection, "MAX_REPLY_BYTES", 1_000_000))

    def server(self, script):
        server = ScriptedServer(script)
        self.addCleanup(server.close)
        return server

    def read(self, server, count=1, pause_s=0.0):
        """Read some times on one connection, and return the last reply."""

        async def main():
            connection = PollConnection("test", server.address)
            try:
                for _ in range(count):
                    reply = await connection.read(REQUEST, step="poll", timeout_ms=TIMEOUT_MS)
                    await asyncio.sleep(pause_s)
            finally:
                connection.close()
            return reply

        return asyncio.run(main())

    def assert_given_up(self, first, block):
        endless = EndlessAnswer(first, block)
        started_s = time.monotonic()
        with self.assertRaises(PeerTimeoutError):
            self.read(self.server(endless))
        self.assertLess(time.monotonic() - started_s, 2)
        self.assertTrue(endless.was_closed.wait(2))

    def test_a_reply_is_read_for_as_long_as_its_bytes_arrive(self):
        def drip(connection, _request):
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n")
            for _ in range(8):
                time.sleep(0.1)
                connection.sendall(b"x")

        async def read(max_ms):
            connection = PollConnection("test", self.server(drip).address)
            try:
                return await connection.read(REQUEST, step="poll", timeout_ms=400, max_ms=max_ms)
            finally:
                connection.close()

        self.assertEqual(b"x" * 8, asyncio.run(read(TIMEOUT_MS)).body)
        for max_ms in (None, 500):
            with self.assertRaises(PeerTimeoutError):
                asyncio.run(read(max_ms))

    def test_an_endless_head(self):
        self.assert_given_up(b"HTTP/1.1 200 OK\r\nX-Long: ", BLOCK)

    def test_endless_fields(self):
        self.assert_given_up(b"HTTP/1.1 200 OK\r\n", b"X-Field: value\r\n" * 4_000)

    def test_endless_informational_replies(self):
        self.assert_given_up(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1_000)

    def test_an_endless_body(self):
        self.assert_given_up(b"HTTP/1.1 200 OK\r\n\r\n", BLOCK)

    def test_a_body_with_a_great_length(self):
        self.assert_given_up(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", BLOCK)

    def test_an_endless_chunk_extension(self):
        self.assert_given_up(CHUNKED + b"1;", BLOCK)

    def test_an_endless_trailer(self):
        self.assert_given_up(CHUNKED + b"0\r\nX-Trailer: ", BLOCK)

    def test_bytes_after_a_complete_reply_close_the_connection(self):
        endless = EndlessAnswer(answer(b"whole"), b"HTTP/1.1 200 OK\r\n\r\n" + BLOCK)
        reply = self.read(self.server(endless), pause_s=0.5)
        self.assertEqual(b"whole", reply.body)
        self.assertTrue(endless.was_closed.is_set())

    def test_an_informational_reply_is_not_the_reply(self):
        early = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        reply = self.read(self.server(replies(early + answer(b"whole"))))
        self.assertEqual((200, b"whole"), (reply.status, reply.body))
        self.assertNotIn(b"link", reply.headers)
