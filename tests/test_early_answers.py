"""Tests of answers that come before the upload has ended, and of statuses that are none."""

import asyncio
import socket
import time
import unittest
from unittest import mock

from bergamothill.connection.backendconnection import BackendConnection
from tests import gatewayworld
from tests.builders import operator_config, routing_config
from tests.gatewayworld import (
    GatewayCase,
    answer,
    chunk,
    read_all,
    replies,
    request,
)
from tests.keptcase import resets as reset

BODY = b"x" * 4_194_304
PART = answer(b"", framing=b"") + b"a part"
SAFE, UNSAFE = b"/book/open/2f", b"/book/2f"
RESET_DELAY_S = 0.05
TRIES = 8


def read_head(connection):
    """Read the head of a request, and leave its body unread."""
    data = b""
    while b"\r\n\r\n" not in data and (received := connection.recv(4_096)):
        data += received
    return data


def resets(connection):
    connection.sendall(PART)
    time.sleep(RESET_DELAY_S)
    reset(connection, b"")


def ends_and_resets(connection):
    connection.sendall(PART)
    connection.shutdown(socket.SHUT_WR)
    time.sleep(RESET_DELAY_S)
    reset(connection, b"")


def ends_and_closes_unread(connection):
    connection.sendall(PART)
    connection.shutdown(socket.SHUT_WR)
    time.sleep(RESET_DELAY_S)
    connection.close()


def reads_some_and_resets(connection):
    for _ in range(10):
        connection.recv(65_536)
    ends_and_resets(connection)


def ends_and_reads_on(connection):
    connection.sendall(PART)
    connection.shutdown(socket.SHUT_WR)
    while connection.recv(65_536):
        pass


def answers_and_reads_on(framed):
    def script(connection):
        connection.sendall(framed)
        while connection.recv(65_536):
            pass

    return script


class EarlyAnswerTest(GatewayCase):
    def ask(self, script, path):
        """Upload to a server, and return the answer."""
        self.enterContext(mock.patch.object(gatewayworld, "read_message", read_head))
        world = self.world(plain=[lambda connection, _request: script(connection)])
        limits = operator_config()["limits"] | {"maxBodyBytes": len(BODY)}
        config = operator_config(version=8, limits=limits)
        config["routes"][2]["trafficSplit"] = [{"service": "bookings", "weight": 1}]
        world.config.apply(routing_config(**config), 2, world.clock.now_ms())
        with world.connect() as connection:
            connection.sendall(request(path, body=BODY, headers=b"Connection: close\r\n"))
            found = read_all(connection)
        self.assertTrue(self.sent())
        self.assertNotIn("internal_error", world.metrics.text())
        return found

    def test_a_part_is_never_passed_on_as_whole(self):
        scripts = (resets, ends_and_resets, ends_and_closes_unread, reads_some_and_resets)
        for script in scripts:
            for number in range(TRIES):
                path = (SAFE, UNSAFE)[number % 2]
                with self.subTest(script.__name__, path=path, number=number):
                    found = self.ask(script, path)
                    self.assertTrue(found.startswith((b"HTTP/1.1 502 ", b"HTTP/1.1 504 ")), found)

    def test_an_early_answer_is_passed_on_if_the_upload_is_taken(self):
        framed = (
            answer(b"a part"),
            answer(b"", framing=b"Transfer-Encoding: chunked\r\n") + chunk(b"a part") + chunk(b""),
        )
        for script in (ends_and_reads_on, *map(answers_and_reads_on, framed)):
            for path in (SAFE, UNSAFE):
                with self.subTest(script.__name__, path=path):
                    found = self.ask(script, path)
                    self.assertTrue(found.startswith(b"HTTP/1.1 200 "), found)
                    self.assertTrue(found.endswith(b"a part"), found)


class LostConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A transport whose connection is lost has no event loop any more."""

    async def test_a_lost_connection_to_a_server_is_not_aborted(self):
        done = asyncio.get_running_loop().create_future()
        connection, transport = BackendConnection(mock.Mock(), done, is_head=False), mock.Mock()
        connection.connection_made(transport)
        connection.connection_lost(None)
        connection.abort()
        transport.abort.assert_not_called()


class StatusTest(GatewayCase):
    def test_a_number_that_is_no_status_is_no_answer(self):
        for status in (b"000", b"0", b"00", b"099", b"600", b"700", b"999"):
            for path in (SAFE, UNSAFE):
                with self.subTest(status, path=path):
                    world = self.world(plain=[replies(answer(status=status + b" Status"))])
                    found = world.exchange(request(path))
                    self.assertTrue(found.startswith(b"HTTP/1.1 502 "), found)
                    self.assertGreater(world.server_pool.server_state("p0").failures, 0)

    def test_unusual_statuses_are_passed_on(self):
        for status in (b"207", b"299", b"418", b"451"):
            with self.subTest(status):
                world = self.world(plain=[replies(answer(status=status + b" Status"))])
                found = world.exchange(request())
                self.assertTrue(found.startswith(b"HTTP/1.1 %s " % status), found)
