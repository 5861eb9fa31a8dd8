"""Tests of the HTTP client against peers that send too much."""

import time
import unittest
from unittest import mock

from bergamothill.connection import http
from bergamothill.connection.http import HttpClient
from bergamothill.errors import PeerTimeoutError
from tests.gatewayworld import EndlessAnswer, ScriptedServer, answer, chunk, replies

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BLOCK = b"x" * 65_536
TIMEOUT_MS = 4_000
MAX_DURATION_S = 2.0


class HttpClientCase(unittest.TestCase):
    def setUp(self):
        self.enterContext(mock.patch.object(http, "MAX_REPLY_BYTES", 1_000_000))

    def client(self, script):
        server = ScriptedServer(script)
        self.addCleanup(server.close)
        return HttpClient("peer", server.address)

    def assert_given_up(self, first, block, call):
        """Check that a call to an endless peer fails soon and closes the connection."""
        endless = EndlessAnswer(first, block)
        client = self.client(endless)
        started_s = time.monotonic()
        with self.assertRaises(PeerTimeoutError):
            call(client)
        self.assertLess(time.monotonic() - started_s, MAX_DURATION_S)
        self.assertTrue(endless.was_closed.wait(1))


class RequestTest(HttpClientCase):
    def assert_lost(self, first, block):
        for new_connection in (False, True):
            self.assert_given_up(
                first,
                block,
                lambda client, is_new=new_connection: client.request(
                    "GET", "/", step="test", timeout_ms=TIMEOUT_MS, new_connection=is_new
                ),
            )

    def test_an_endless_field_value(self):
        self.assert_lost(b"HTTP/1.1 200 OK\r\nX-Long: ", BLOCK)

    def test_endless_fields(self):
        self.assert_lost(b"HTTP/1.1 200 OK\r\n", b"X-Field: value\r\n" * 4_000)

    def test_endless_informational_replies(self):
        self.assert_lost(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1_000)

    def test_an_endless_body(self):
        self.assert_lost(b"HTTP/1.1 200 OK\r\n\r\n", BLOCK)

    def test_an_endless_chunked_failure(self):
        self.assert_lost(CHUNKED.replace(b"200 OK", b"503 Busy"), chunk(BLOCK))

    def test_endless_trailers(self):
        self.assert_lost(CHUNKED + b"0\r\n", b"X-Trailer: value\r\n" * 4_000)

    def test_a_reply_up_to_the_limit_is_whole(self):
        client = self.client(replies(answer(b"x" * 1_000_000)))
        reply = client.request("GET", "/", step="test", timeout_ms=TIMEOUT_MS)
        self.assertEqual(1_000_000, len(reply.body))


class StreamTest(HttpClientCase):
    def assert_lost(self, first, block):
        self.assert_given_up(
            first,
            block,
            lambda client: client.stream(
                "GET", "/", step="test", on_chunk=lambda piece: None, idle_timeout_ms=500
            ),
        )

    def test_endless_informational_replies(self):
        self.assert_lost(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1_000)

    def test_an_endless_failure(self):
        self.assert_lost(CHUNKED.replace(b"200 OK", b"500 Broken"), chunk(BLOCK))

    def test_an_endless_chunk_extension(self):
        self.assert_lost(CHUNKED + b"1;", BLOCK)
