"""Tests of reports of operators of similar systems: (a) copied answers, (b) stops."""

import asyncio
import base64
import json
import socket
import time
import unittest

from bergamothill.clock import SystemClock
from bergamothill.connection.callerhttp import CallerConnection
from bergamothill.connection.callerlistener import CallerListener
from bergamothill.connection.http import HttpClient, HttpReply
from bergamothill.connection.pollconnection import PollConnection
from bergamothill.errors import ProtocolError
from bergamothill.platform.kvs import PlatformKeyValueService
from bergamothill.process.readiness import ReadinessHandler
from tests.gatewayworld import ScriptedServer, answer

LATE_S = 0.1


def reads_head(connection):
    data = b""
    while not data.endswith(b"\r\n\r\n"):
        received = connection.recv(65_536)
        if not received:
            return False
        data += received
    return True


def copies_first(connection, _data):
    """Answer twice; the second copy comes late, beside the answer to the next request."""
    connection.sendall(answer(b"first"))
    if reads_head(connection):
        connection.sendall(answer(b"first") + answer(b"second"))


def copies_at_once(connection, _data):
    """Answer twice; the second copy comes before the next request."""
    connection.sendall(answer(b"first"))
    time.sleep(LATE_S / 2)
    connection.sendall(answer(b"copy"))
    if reads_head(connection):
        connection.sendall(answer(b"second"))


class PollTest(unittest.TestCase):
    def read(self, script, count):
        server = ScriptedServer(script)
        self.addCleanup(server.close)

        async def main():
            connection = PollConnection("test", server.address)
            bodies = []
            for _ in range(count):
                reply = await connection.read(
                    b"GET / HTTP/1.1\r\n\r\n", step="poll", timeout_ms=2_000
                )
                bodies.append(reply.body)
                await asyncio.sleep(LATE_S)
            connection.close()
            return bodies

        return asyncio.run(main())

    def test_a_copy_between_two_polls_is_no_reply_to_the_second(self):
        self.assertEqual([b"first"] * 2, self.read(copies_at_once, 2))

    def test_a_late_copy_does_not_shift_the_replies_after_it(self):
        # Polls are repeated reads: a copy of the latest reply tells nothing new.
        self.assertEqual([b"first"] * 3, self.read(copies_first, 3))


class ClientTest(unittest.TestCase):
    def test_a_copy_between_two_calls_is_no_reply_to_the_second(self):
        server = ScriptedServer(copies_at_once)
        self.addCleanup(server.close)
        client = HttpClient("peer", server.address)
        for _ in range(2):
            reply = client.request("GET", "/", step="test", timeout_ms=2_000)
            self.assertEqual(b"first", reply.body)
            time.sleep(LATE_S)


class CopiedReplies:
    """Client that gets a late copy of the reply to another call."""

    peer = "key-value service"

    def request(self, _method, _path, **_options):
        value = base64.b64encode(b"value").decode()
        item = {"key": "op/config", "value": value, "revision": 3}
        body = {"items": [item], "hasMore": False, **item}
        return HttpReply(200, {}, json.dumps(body).encode())


class KeyValueServiceTest(unittest.TestCase):
    """The reply to a call for one key is not taken for that of another."""

    def setUp(self):
        self.kvs = PlatformKeyValueService(CopiedReplies())

    def test_own_replies(self):
        self.assertEqual("op/config", self.kvs.get("op/config").key)
        self.assertEqual(1, len(self.kvs.scan("op/")))

    def test_replies_to_other_calls(self):
        for call in (lambda: self.kvs.get("stream-versions"), lambda: self.kvs.scan("servers/")):
            with self.assertRaisesRegex(ProtocolError, "reply to another call"):
                call()


class ListenQueueTest(unittest.IsolatedAsyncioTestCase):
    """Report (b): connections that wait in the listen queue as an instance stops."""

    async def test_connections_in_the_listen_queue_are_served_after_the_listener_closed(self):
        served = asyncio.Event()

        class Answers(asyncio.Protocol):
            def connection_made(self, transport):
                self.transport = transport

            def data_received(self, _data):
                self.transport.write(b"answer")
                self.transport.close()
                served.set()

        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            address = free.getsockname()
        listener = CallerListener(f"{address[0]}:{address[1]}", Answers)
        await listener.start()
        # The loop does not run in between, so that the connection is not accepted yet.
        with socket.create_connection(address, 2) as connection:
            connection.sendall(b"request")
            listener.close()
            async with asyncio.timeout(2):
                await served.wait()
            self.assertEqual(b"answer", connection.recv(100))


class HalfReadTest(unittest.IsolatedAsyncioTestCase):
    """Report (b): half of a request has arrived when an instance closes idle connections."""

    async def test_a_request_of_which_half_was_read_is_answered(self):
        opened = []
        handler = ReadinessHandler(lambda: True, lambda: "")

        def on_connection(connection, is_open):
            if is_open:
                opened.append(connection)

        server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(handler, SystemClock(), on_connection), "127.0.0.1", 0
        )
        self.addCleanup(server.close)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(b"GET /readiness HTTP/1.1\r\nHos")
        await asyncio.sleep(LATE_S)
        opened[0].close_if_idle()
        writer.write(b"t: h\r\nConnection: close\r\n\r\n")
        self.assertIn(b" 200 ", await asyncio.wait_for(reader.read(), 2))
        writer.close()
