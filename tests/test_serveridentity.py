"""Tests of questions to servers which incarnation answers at their address."""

import asyncio
import contextlib
import unittest

from hypothesis import given
from hypothesis import strategies as st

from bergamothill.clock import SystemClock
from bergamothill.connection.pollconnection import PollReply
from bergamothill.errors import BergamothillError
from bergamothill.platform.serverreport import OTHER_SERVER, decode_start
from bergamothill.process.serveridentity import ServerIdentity
from tests.builders import backend, server_pool


class DecodeTest(unittest.TestCase):
    @given(st.integers(100, 599), st.binary(max_size=60), st.binary(max_size=8))
    def test_any_reply_gives_a_start_or_a_typed_error(self, status, body, instance):
        with contextlib.suppress(BergamothillError):
            decode_start(PollReply(status, body, {b"x-instance-id": instance}), "s1")

    def test_a_reply_of_another_server_is_no_start(self):
        self.assertEqual(OTHER_SERVER, decode_start(PollReply(421, b""), "s1"))
        other = PollReply(200, b'{"born": 7}', {b"x-instance-id": b"s2"})
        self.assertEqual(OTHER_SERVER, decode_start(other, "s1"))
        self.assertEqual(7, decode_start(PollReply(200, b'{"born": 7}'), "s1"))


class IdentityTest(unittest.IsolatedAsyncioTestCase):
    async def ask(self, count, *, delay_s=0.01):
        """Let several requests ask a server at once; return their results and the questions."""
        heard = []

        async def serve(reader, writer):
            heard.append(await reader.readuntil(b"\r\n\r\n"))
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(delay_s)
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{"born":7}')
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        entry = backend("s1", started_wall_ms=7, address=address)
        pool = server_pool(entry)
        pool.asks_servers = True
        pool.record_events_unread(address)
        identity = ServerIdentity(SystemClock(), pool)
        return await asyncio.gather(*(identity.identify(entry) for _ in range(count))), heard

    async def test_requests_at_the_same_time_share_a_question(self):
        results, heard = await self.ask(3)
        self.assertEqual([True, True, True], results)
        self.assertEqual(1, len(heard))
        self.assertIn(b"X-Expected-Instance: s1\r\n", heard[0])

    async def test_a_server_that_does_not_reply_in_time_is_not_identified(self):
        results, _ = await self.ask(1, delay_s=0.3)
        self.assertEqual([False], results)
