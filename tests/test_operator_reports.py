"""Tests of report (a) of operators: a second copy of an answer on a connection in use again.

Callers' requests use a new connection each; polls and calls to the key-value service do not.
"""

import asyncio
import base64
import json
import time
import unittest

from bergamothill.connection.http import HttpClient, HttpReply
from bergamothill.connection.pollconnection import PollConnection
from bergamothill.errors import ProtocolError
from bergamothill.platform.kvs import PlatformKeyValueService
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
