"""Tests of answers with neither a length nor chunks, which end with their connection."""

import socket
import struct
import time

from tests.gatewayworld import (
    PROMPT_HEADERS,
    GatewayCase,
    answer,
    chunk,
    event,
    read_all,
    replies,
    request,
)

PLAIN_HEAD = answer(b"", framing=b"")
OPEN_PATH = b"/book/open/2f"


def closes(data):
    """Return the script of a server that closes its side in good order after some bytes."""

    def script(connection, _request):
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)

    return script


def aborts(data):
    """Return the script of a server that resets the connection after some bytes."""

    def script(connection, _request):
        connection.sendall(data)
        time.sleep(0.05)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()

    return script


def resumes(first, last=b""):
    """Return the script of an engine that ends a first run by a script and a resumed one well.

    :param first: script of a run from the beginning
    :param last: bytes of a resumed run; by default event 2
    """

    def script(connection, sent):
        if b"Last-Event-Id" in sent:
            closes(PLAIN_HEAD + (last or event(2)))(connection, sent)
        else:
            first(connection, sent)

    return script


class PlainEndTest(GatewayCase):
    def test_a_body_that_ends_in_good_order_is_whole(self):
        world = self.world(plain=[closes(PLAIN_HEAD + b"whole")])
        self.assertTrue(world.exchange(request()).endswith(b"Content-Length: 5\r\n\r\nwhole"))

    def test_an_empty_body_that_ends_in_good_order_is_whole(self):
        world = self.world(plain=[closes(PLAIN_HEAD)])
        found = world.exchange(request())
        self.assertTrue(found.startswith(b"HTTP/1.1 200 "), found)

    def test_a_body_that_ends_by_a_reset_is_not_delivered(self):
        world = self.world(plain=[aborts(PLAIN_HEAD + b"half")])
        self.assertTrue(world.exchange(request()).startswith(b"HTTP/1.1 502 "))
        self.assertEqual(1, world.server_pool.server_state("p0").failures)

    def test_a_failure_that_ends_by_a_reset_is_not_delivered(self):
        head = answer(b"", status=b"500 Broken", framing=b"")
        world = self.world(plain=[aborts(head + b"half")])
        self.assertTrue(world.exchange(request()).startswith(b"HTTP/1.1 502 "))

    def test_a_safe_request_is_sent_elsewhere_after_a_reset(self):
        world = self.world(plain=[aborts(PLAIN_HEAD + b"half"), replies(answer(b"sound"))])
        for _ in range(3):
            found = world.exchange(request(OPEN_PATH, method=b"GET", body=b""))
            self.assertTrue(found.endswith(b"sound"), found)

    def test_a_head_that_breaks_off_is_no_answer(self):
        world = self.world(plain=[closes(PLAIN_HEAD[:-2])])
        self.assertTrue(world.exchange(request()).startswith(b"HTTP/1.1 502 "))


class StreamEndTest(GatewayCase):
    def ask(self, *engines):
        self.running = self.world(engines=engines)
        with self.running.connect() as connection:
            connection.sendall(
                request(b"/quote/2f", headers=PROMPT_HEADERS + b"Connection: close\r\n")
            )
            return read_all(connection)

    def assert_whole(self, found, *numbers):
        expected = b"".join(chunk(event(n)) for n in numbers) + b"0\r\n\r\n"
        self.assertTrue(found.startswith(b"HTTP/1.1 200 "), found)
        self.assertEqual(expected, found.partition(b"\r\n\r\n")[2])

    def assert_broken(self, found, *numbers):
        self.assertEqual(
            b"".join(chunk(event(n)) for n in numbers),
            found.partition(b"\r\n\r\n")[2].replace(b"<reset>", b""),
        )
        self.assertGreaterEqual(self.running.server_pool.server_state("s0").failures, 1)

    def test_at_the_end_of_an_event_it_is_whole(self):
        self.assert_whole(self.ask(closes(PLAIN_HEAD + event(1))), 1)

    def test_inside_an_event_it_is_broken(self):
        script = resumes(closes(PLAIN_HEAD + event(1) + event(2)[:-1]), last=event(2)[:-1])
        self.assert_broken(self.ask(script), 1)

    def test_inside_an_event_it_resumes_elsewhere(self):
        script = resumes(closes(PLAIN_HEAD + event(1) + event(2)[:-1]))
        self.assert_whole(self.ask(script, script), 1, 2)

    def test_before_its_first_event_it_is_broken(self):
        found = self.ask(closes(PLAIN_HEAD))
        self.assertTrue(found.startswith(b"HTTP/1.1 502 "), found)
        self.assertGreaterEqual(self.running.server_pool.server_state("s0").failures, 1)

    def test_before_its_first_event_it_is_run_elsewhere(self):
        runs = []

        def script(connection, sent):
            runs.append(sent)
            data = PLAIN_HEAD + (event(1) if len(runs) == 2 else b"")
            closes(data)(connection, sent)

        self.assert_whole(self.ask(script, script), 1)

    def test_a_resumed_run_without_an_event_is_broken(self):
        script = resumes(closes(PLAIN_HEAD + event(1) + b"id: 2\n"), last=b"id: 2\n")
        self.assert_broken(self.ask(script, script), 1)

    def test_a_resumed_run_that_ends_with_its_head_is_broken(self):
        def script(connection, sent):
            is_resumed = b"Last-Event-Id" in sent
            data = PLAIN_HEAD + (b"" if is_resumed else event(1) + b"id: 2\n")
            closes(data)(connection, sent)

        self.assert_broken(self.ask(script, script), 1)

    def test_by_a_reset_at_the_end_of_an_event_it_is_broken(self):
        script = resumes(aborts(PLAIN_HEAD + event(1)), last=event(2)[:-1])
        self.assert_broken(self.ask(script), 1)

    def test_by_a_reset_it_resumes_elsewhere(self):
        script = resumes(aborts(PLAIN_HEAD + event(1)))
        self.assert_whole(self.ask(script, script), 1, 2)
