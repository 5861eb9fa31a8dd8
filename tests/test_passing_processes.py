"""Tests of requests that instances without a way to the servers pass on, with real processes."""

import os
import socket
import time

from standins.links import LinkState
from tests.builders import await_true
from tests.recovercase import CutCase, encode, read_answer

CUTS = (LinkState.HANG, LinkState.RESET, LinkState.REFUSE)
NOTICE_S = 0.5
RETURN_S = 2.0
STABILITY_WINDOW_S = 3.0
FIRST_PEER_PORT = 7700
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
DEADLINE_MS = 5_000
OPAQUE_FIELDS = {
    "X_Model": "m1",
    "X_Token_Counts": "1200,7",
    "X_Prompt_Prefix": "a1:900,b2:300",
    "X_Deadline_Milliseconds": str(DEADLINE_MS),
    "X_Custom": 'a,  b;c="d"',
    "Content_Type": "application/octet-stream",
}
BODY = bytes(range(256)) * 40


def head_fields(head):
    """Return the fields of a head as they were written, in order."""
    return [tuple(line.split(": ", 1)) for line in head.split("\r\n")[1:] if line]


def processor_s(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        user, system = file.read().rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


class PassedRequestTest(CutCase):
    def check_received(self, node, target, fields):
        """Return what a server received, by name, after a check of the answer's origin."""
        request = self.new_id()
        answer = self.ask(node, target, request=request, body=BODY, **fields)
        ((server, (head, body)),) = self.fleet.received(request).items()
        self.assertTrue(answer.is_whole)
        self.assertEqual(f"sig.{server}", answer.fields["x-server-signature"])
        self.assertEqual(server, answer.fields["x-instance-id"])
        self.assertEqual(request, answer.fields["x-request-id"])
        self.assertEqual(BODY, body.encode("latin-1"))
        received = dict(head_fields(head))
        self.assertEqual(request, received.pop("X-Request-Id"))
        left_ms = int(received.pop("X-Deadline-Milliseconds"))
        self.assertTrue(DEADLINE_MS - 1_000 < left_ms <= DEADLINE_MS, left_ms)
        received.pop("X-Expected-Instance", None)
        received.pop("Host", None)
        return answer, head.split("\r\n")[0], received

    def test_request_and_answer_arrive_as_they_were_made(self):
        targets = (
            ("/stream/a%20b/c?events=7&bytes=50&gap=5&x=%C3%A9&y=", 200),
            ("/order/a;b/../c?bytes=3000&status=409&q=1+2", 409),
            ("/order/d?bytes=0&status=201", 201),
            ("/order/e?bytes=4000000", 200),
            ("/order/f?status=503", 503),
            ("/stream/g?status=500", 500),
        )
        for number, how in enumerate(CUTS):
            node = self.cut(number, how)
            for target, status in targets:
                with self.subTest(how=how.value, target=target):
                    answer, line, fields = self.check_received(node, target, OPAQUE_FIELDS)
                    plain, plain_line, plain_fields = self.check_received(
                        self.nodes[3], target, OPAQUE_FIELDS
                    )
                    self.assertEqual(status, answer.status)
                    self.assertEqual(f"POST {target} HTTP/1.1", line)
                    self.assertEqual(plain_line, line)
                    self.assertEqual(plain_fields, fields)
                    self.assertEqual(plain.body, answer.body)
                    self.assertEqual(plain.fields.keys(), answer.fields.keys())
            self.fleet.set_links(number, LinkState.OPEN)
            self.await_local(node)

    def test_an_instance_that_is_cut_again_right_after_its_return_passes_on(self):
        # RECOVER: event connections that were not back yet counted for nothing.
        node = self.cut(0, LinkState.HANG)
        self.fleet.set_links(0, LinkState.OPEN)
        await_true(lambda: self.is_local(node))
        self.fleet.set_links(0, LinkState.HANG)
        started_s = time.monotonic()
        while self.ask(node, "/lookup/a", X_Deadline_Milliseconds="500").status != 200:
            self.assertLess(time.monotonic() - started_s, STABILITY_WINDOW_S)
        self.assertTrue(self.is_passing(node))

    def test_a_server_sees_that_the_caller_has_left(self):
        node = self.cut(0, LinkState.HANG)
        for target in ("/stream/a?events=60&gap=100", "/order/a?first=5000"):
            with self.subTest(target=target):
                request = self.new_id()
                connection = self.connect(node)
                connection.sendall(encode(target, request))
                await_true(lambda request=request: request in self.fleet.seen())
                time.sleep(0.3)
                left_ms = time.monotonic() * 1_000
                connection.close()
                time.sleep(NOTICE_S)
                seen = self.fleet.seen()[request]
                self.assertEqual("left", seen["outcome"])
                self.assertLess(seen["ended_ms"] - left_ms, NOTICE_S * 1_000)

    def test_requests_are_served_here_again_after_the_return_and_streams_end_whole(self):
        for how in CUTS:
            with self.subTest(how=how.value):
                self.await_local(self.nodes[0])
                node, request = self.cut(0, how), self.new_id()
                connection = self.connect(node)
                started_s = time.monotonic()
                connection.sendall(encode("/stream/a?events=40&gap=100&bytes=10", request))
                await_true(lambda request=request: request in self.fleet.seen())
                self.fleet.set_links(0, LinkState.OPEN)
                time.sleep(RETURN_S)
                self.assertTrue(self.is_local(node))
                answer = read_answer(connection, started_s)
                self.assertTrue(answer.is_whole)
                numbers = [
                    int(line[4:]) for line in answer.body.split(b"\n") if line.startswith(b"id: ")
                ]
                self.assertEqual(list(range(1, 41)), numbers)
                self.assertEqual(1, self.fleet.run_counts()[request])

    def test_strangers_at_the_port_between_instances_get_nothing(self):
        node = self.nodes[1]
        address = (node.caller_address[0], FIRST_PEER_PORT)
        before_s, requests = processor_s(node.pid), set()
        for _ in range(300):
            requests.add(request := self.new_id())
            with socket.create_connection(address, 1) as connection:
                connection.settimeout(1)
                try:
                    connection.sendall(encode("/order/a", request))
                    self.assertEqual(b"", connection.recv(100))
                except ConnectionError:
                    pass
        self.assertLess(processor_s(node.pid) - before_s, 1.0)
        answer = self.ask(node, "/lookup/a")
        self.assertEqual(200, answer.status)
        self.assertLess(answer.duration_s, 0.5)
        self.assertFalse(requests & self.fleet.seen().keys())
