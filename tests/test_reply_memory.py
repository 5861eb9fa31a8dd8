"""Tests of the memory that bytes of a faulty server take, whatever they are made of."""

import asyncio
import gc
import itertools
import tracemalloc
import unittest

from bergamothill.connection.http import HttpClient
from bergamothill.connection.pollconnection import PollConnection
from bergamothill.errors import BergamothillError
from bergamothill.platform.cachedcontext import decode_events, list_stored_parts
from bergamothill.platform.engines import fetch_swap_state
from bergamothill.version.weightswap import SwapEngine
from tests.gatewayworld import ScriptedServer

MAX_PEAK_BYTES = 24 << 20
"""A sixth of the smallest memory of a deployment, 150 MB, of which a process at rest takes half."""

TIMEOUT_MS = 10_000
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def endless(first, blocks):
    """Return the script of a server that sends blocks until its connection is closed."""

    def script(connection, _request):
        try:
            connection.sendall(first)
            for block in blocks():
                connection.sendall(block)
        except OSError:
            return

    return script


def fields():
    """Return blocks of header fields with a short name each, all different."""
    numbers = itertools.count()
    return (b"".join(b"%x:\r\n" % next(numbers) for _ in range(5_000)) for _ in numbers)


def repeated(block):
    """Return a function that returns the same block again and again."""
    return lambda: itertools.repeat(block)


def complete(body):
    """Return the script of a server that sends a complete reply."""
    return endless(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body, lambda: ())


def array(element, size_bytes):
    """Return a JSON array of one element that is repeated."""
    return b"[" + (element + b",") * (size_bytes // (len(element) + 1)) + element + b"]"


ENDLESS = {
    "fields": endless(HEAD, fields),
    "trailers": endless(CHUNKED + b"0\r\n", fields),
    "short chunks": endless(CHUNKED, repeated(b"2\r\nab\r\n" * 5_000)),
    "a body": endless(HEAD + b"\r\n", repeated(b"x" * 65_536)),
}


class ReplyMemoryTest(unittest.TestCase):
    """An instance ran out of memory by replies to its own calls, and all its requests ended."""

    def assert_bounded(self, script, call):
        """Check that a call fails, and the memory that it takes meanwhile."""
        server = ScriptedServer(script)
        self.addCleanup(server.close)
        tracemalloc.start()
        try:
            with self.assertRaises(BergamothillError):
                call(server.address)
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        self.assertLess(peak_bytes, MAX_PEAK_BYTES)

    @staticmethod
    def poll(address):
        async def read():
            connection = PollConnection("test", address)
            try:
                return await connection.read(
                    b"GET / HTTP/1.1\r\n\r\n", step="p", timeout_ms=TIMEOUT_MS
                )
            finally:
                connection.close()

        return decode_events(asyncio.run(read()))

    @staticmethod
    def read_report(address):
        return fetch_swap_state(SwapEngine("s1", 1, address, "m1", 1))

    @staticmethod
    def request(address):
        client = HttpClient("test", address)
        return client.request("GET", "/", step="r", timeout_ms=TIMEOUT_MS)

    def test_endless_replies_to_polls(self):
        for name, script in ENDLESS.items():
            with self.subTest(name):
                self.assert_bounded(script, self.poll)

    def test_replies_that_were_given_up_are_released_at_once(self):
        # A protocol and its parser refer to each other, so that what they held stayed until the
        # next full collection of garbage: 1 GB in 10 s, as polls are repeated four times a second.
        def poll_often(address):
            for _ in range(39):
                with self.assertRaises(BergamothillError):
                    self.poll(address)
            self.poll(address)

        gc.disable()
        self.addCleanup(gc.enable)
        for name in ("fields", "a body"):
            with self.subTest(name):
                self.assert_bounded(ENDLESS[name], poll_often)

    def test_endless_replies_to_reports_and_listings(self):
        for name, script in ENDLESS.items():
            for call in (self.read_report, list_stored_parts):
                with self.subTest(name, call=call.__name__):
                    self.assert_bounded(script, call)

    def test_replies_that_take_far_more_memory_once_they_are_decoded(self):
        for element in (b"[]", b"{}", b'"ab"', b"1.5", b"[1]"):
            body = array(element, 4_000_000)
            for call in (self.poll, self.read_report, list_stored_parts):
                with self.subTest(element, call=call.__name__):
                    self.assert_bounded(complete(body), call)

    def test_a_long_listing_is_read(self):
        row = b'["m1~1~alpha","5c1e07a2",8610,"m1"]'
        body = b'{"epoch":1,"next":2,"held":' + array(row, 1_500_000) + b"}"
        server = ScriptedServer(complete(body))
        self.addCleanup(server.close)
        self.assertGreater(len(list_stored_parts(server.address).keys), 40_000)
