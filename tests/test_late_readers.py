"""Tests of sound servers that fall silent, or read nothing, for a second on a kept connection."""

import asyncio
import socket
import time
import unittest
from unittest import mock

from bergamothill.connection import backendconnection
from tests.builders import operator_config, routing_config
from tests.gatewayworld import answer, request
from tests.keptcase import KEEPS, OPEN, Keeps, KeptCase, good

SILENCE_S = 1.2
BODY = b"x" * 60_000
RECEIVE_BUFFER_BYTES = 4_096
"""Less than the body, so that the window of the connection closes."""


def is_silent(connection, sent):
    time.sleep(SILENCE_S)
    good(connection, sent)


def is_silent_in_its_answer(connection, _sent):
    whole = answer(b"r1", headers=KEEPS)
    connection.sendall(whole[:-1])
    time.sleep(SILENCE_S)
    connection.sendall(whole[-1:])


def reads_late(connection, sent):
    good(connection, sent)
    time.sleep(SILENCE_S)


def listen(*arguments, create=socket.create_server):
    listener = create(*arguments)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return listener


class SilentSecondTest(KeptCase):
    def assert_waits(self, *steps, body=b"{}"):
        """Check that the second request ends well on the connection of the first one."""
        script = Keeps(*steps)
        self.start(script)
        config = operator_config(version=9)
        config["limits"]["maxBodyBytes"] = 2 * len(BODY)
        traffic = [{"service": "bookings", "weight": 1}]
        config["routes"][2] |= {"timeoutMs": 4_000, "trafficSplit": traffic}
        self.now.config.apply(routing_config(**config), 3, self.now.clock.now_ms())
        self.ask("a")
        self.assert_own("r1", self.now.exchange(request(OPEN, body=body)))
        self.assertEqual([["a", "r1"]], script.connections)
        self.assert_blameless()

    def test_before_an_answer(self):
        self.assert_waits(good, is_silent)

    def test_in_an_answer(self):
        self.assert_waits(good, is_silent_in_its_answer)

    def test_before_it_reads_a_large_request(self):
        with mock.patch.object(socket, "create_server", listen):
            self.assert_waits(reads_late, good, body=BODY)


class UserTimeoutTest(unittest.IsolatedAsyncioTestCase):
    async def test_it_ends_with_the_first_acknowledgement(self):
        loop, option = asyncio.get_running_loop(), (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        done, sink = loop.create_future(), mock.Mock()
        connection = backendconnection.BackendConnection(sink, done, is_head=False)
        self.enterContext(mock.patch.object(backendconnection, "ACKNOWLEDGEMENT_CHECK_MS", 5))
        state = mock.patch.object(backendconnection, "unacknowledged_bytes")
        unacknowledged = self.enterContext(state)
        listener = self.enterContext(socket.create_server(("127.0.0.1", 0)))
        await loop.create_connection(lambda: connection, *listener.getsockname())
        connection.reuse(sink, done, is_head=False, request_id=b"r1")
        connection.send([b"request"])
        own = connection.transport.get_extra_info("socket")
        for unacknowledged.return_value, timeout_ms in ((7, 300), (None, 300), (6, 0)):
            await asyncio.sleep(0.1)
            self.assertEqual(timeout_ms, own.getsockopt(*option))
        connection.abort()
