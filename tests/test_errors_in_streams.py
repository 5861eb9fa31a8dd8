"""Tests of streams that break off and whose next server answers with an error."""

import re
import time

from tests.builders import await_true, operator_config, routing_config
from tests.gatewayworld import (
    PROMPT_HEADERS,
    STREAM_HEAD,
    GatewayCase,
    answer,
    chunk,
    event,
    read_all,
    request,
)

ERROR = b"<h1>broken down</h1> data: nonsense"
SIGNED = b"X-Server-Signature: sig\r\n"
NO_FRAMING = {"framing": b""}
CHUNKED = {"framing": b"Transfer-Encoding: chunked\r\n"}
JSON = b'{"error": "' + ERROR + b'"}'
EVENT_STREAM = SIGNED + b"Content-Type: text/event-stream\r\n"

BREAKS = {
    "after an event": chunk(event(1)),
    "inside an event": chunk(event(1) + b"id: 2\nda"),
    "inside a chunk": chunk(event(1)) + b"20\r\nid: 2\n",
    "inside the head of a chunk": chunk(event(1)) + b"2",
    "after the head of a chunk": chunk(event(1)) + b"20\r\n",
}
ERRORS = {
    f"{status[:3].decode()} {framing} {prefix[9:12].decode()}".strip(): prefix
    + answer(body, status=status, headers=headers, **changes)
    for status, headers in (
        (b"500 Broken", SIGNED),
        (b"500 Broken", EVENT_STREAM),
        (b"404 None", SIGNED),
        (b"400 Bad", b""),
        (b"504 Late", SIGNED),
        (b"503 Busy", SIGNED + b"X-Not-Executed: 1\r\n"),
        (b"302 Found", SIGNED + b"Location: /x\r\n"),
        (b"200 OK", SIGNED + b"Content-Type: application/json\r\n"),
        (b"200 OK", EVENT_STREAM),
        (b"200 OK", b""),
    )
    for framing, body, changes in (
        ("length", JSON, {}),
        ("no framing", ERROR, NO_FRAMING),
        ("chunks", chunk(JSON) + b"0\r\n\r\n", CHUNKED),
        ("broken chunks", chunk(ERROR), CHUNKED),
        ("empty", b"", {}),
    )
    for prefix in (b"", b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n")
}
ERRORS["no answer"] = ERROR
ERRORS["a head that breaks off"] = b"HTTP/1.1 500 Broken\r\nX-Req"
ERRORS["the events from the beginning"] = STREAM_HEAD + chunk(event(1)) + b"0\r\n\r\n"
ERRORS["an event within the error"] = answer(b"oh\n\n" + event(2) + ERROR, status=b"500 Broken")


def fails(first, error):
    """Return the script of a server that breaks a first run off and answers resumed ones so."""

    def script(connection, sent):
        connection.sendall(error if b"Last-Event-Id" in sent else STREAM_HEAD + first)
        time.sleep(0.01)
        connection.shutdown(2)

    return script


class ErrorCase(GatewayCase):
    HEADERS = PROMPT_HEADERS

    def stream(self, script):
        """Return what a caller of a stream gets from servers with a script."""
        world = self.world(engines=[script, script])
        return self.receive(world, b"/quote/1")

    def receive(self, world, path):
        with world.connect() as connection:
            connection.sendall(request(path, headers=self.HEADERS + b"Connection: close\r\n"))
            found = read_all(connection)
        world.close()
        return found

    def assert_broken_off(self, found):
        self.assertTrue(found.startswith(b"HTTP/1.1 200 "), found)
        self.assertEqual(1, found.count(b"HTTP/1.1"), found)
        events = re.findall(rb"id: (\d+)\n", found)
        self.assertEqual([b"1"], events, found)
        self.assertNotIn(b"broken down", found)
        self.assertNotIn(b"nonsense", found)
        self.assertNotIn(b"\r\n0\r\n\r\n", found)


class EngineErrorTest(ErrorCase):
    def test_no_error_gets_into_a_stream_nor_completes_it(self):
        for name, error in ERRORS.items():
            with self.subTest(name):
                self.assert_broken_off(self.stream(fails(BREAKS["after an event"], error)))

    def test_wherever_the_stream_breaks(self):
        for place, first in BREAKS.items():
            for name in ("500 length", "404 no framing", "200 chunks", "500 chunks 100"):
                with self.subTest(f"{name} {place}"):
                    self.assert_broken_off(self.stream(fails(first, ERRORS[name])))


class PlainErrorTest(ErrorCase):
    """Streams of a service without engine, whose servers are confirmed by lists."""

    HEADERS = b""

    def stream(self, script):
        world = self.world(plain=[script, script])
        config = operator_config(version=8)
        config["routes"].append(
            config["routes"][0] | {"name": "notes", "prefix": "/notes/", "service": "bookings"}
        )
        pool = world.server_pool
        pool._min_entry_life_ms = 2_400
        for server in ("p0", "p1"):
            pool.server_state(server).is_followed = False
        await_true(lambda: pool.listed_ms > 0)
        world.config.apply(routing_config(**config), 2, world.clock.now_ms())
        return self.receive(world, b"/notes/1")

    def test_no_error_gets_into_a_stream_nor_completes_it(self):
        for name, error in ERRORS.items():
            if not name.endswith(("100", "103")):
                with self.subTest(name):
                    self.assert_broken_off(self.stream(fails(BREAKS["after an event"], error)))

    def test_a_stream_goes_on(self):
        # LOST: streams of services without engine were never resumed.
        rest = STREAM_HEAD + chunk(event(2)) + b"0\r\n\r\n"
        found = self.stream(fails(BREAKS["inside an event"], rest))
        body = found.partition(b"\r\n\r\n")[2]
        self.assertEqual(chunk(event(1)) + chunk(event(2)) + b"0\r\n\r\n", body)


del ErrorCase, GatewayCase
