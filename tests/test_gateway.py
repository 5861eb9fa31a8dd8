"""Tests of forwarding over real sockets: callers, gateway and scripted servers."""

import re
import threading
import time

from tests.builders import await_true, routing_config
from tests.gatewayworld import (
    PROMPT_HEADERS,
    STREAM_HEAD,
    TIMEOUT_S,
    GatewayCase,
    answer,
    chunk,
    event,
    read_all,
    read_message,
    replies,
    request,
    resets,
)


class PlainTest(GatewayCase):
    def test_request_and_answer_are_forwarded_unchanged(self):
        world = self.world(plain=[replies(answer(b"booked"))])
        found = world.exchange(request(headers=b"X-Own: 1\r\n", body=b'{"a": 1}'))
        self.assertTrue(found.startswith(b"HTTP/1.1 200 OK\r\n"), found)
        self.assertIn(b"X-Server-Signature: sig", found)
        self.assertTrue(found.endswith(b"\r\n\r\nbooked"))
        (sent,) = self.sent()
        self.assertTrue(sent.startswith(b"POST /book/2f HTTP/1.1\r\n"))
        self.assertTrue(sent.endswith(b'\r\n\r\n{"a": 1}'))
        for field in (b"X-Own: 1", b"X-Tenant: kowhai", b"X-Expected-Instance: p0"):
            self.assertIn(field, sent)
        self.assertNotIn(b"key-1", sent)

    def test_reserved_and_hop_by_hop_request_headers_are_removed(self):
        world = self.world(plain=[replies(answer())])
        forged = b"".join(
            b"%s: forged\r\n" % name
            for name in (b"X-Tenant", b"x-cache-salt", b"X-Hold", b"Kv-From", b"X-Kv-Backup",
                         b"X-Pin-Milliseconds", b"X-Expected-Instance", b"X-Request-Urgency")
        )  # fmt: skip
        world.exchange(
            request(headers=forged + b"Connection: x-request-id, x-other\r\nX-Other: 1\r\n")
        )
        (sent,) = self.sent()
        self.assertNotIn(b"forged", sent)
        self.assertNotIn(b"X-Other", sent)
        self.assertIn(b"X-Request-Id: r1", sent)

    def test_chunked_bodies(self):
        world = self.world(plain=[replies(answer())])
        head = request(body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        world.exchange(head + chunk(b"ab") + chunk(b"cd") + b"0\r\n\r\n")
        (sent,) = self.sent()
        self.assertTrue(sent.endswith(b"Connection: close\r\n\r\nabcd"), sent)

    def test_an_answer_to_head_has_no_body_whatever_its_length_says(self):
        head = answer(b"", framing=b"Content-Length: 500\r\n")
        world = self.world(plain=[replies(head)])
        with world.connect() as connection:
            open_path = b"/book/open/2f"
            connection.sendall(request(open_path, method=b"HEAD", body=b""))
            first = read_message(connection)
            connection.sendall(request(open_path, method=b"HEAD", body=b""))
            second = read_message(connection)
        for found in (first, second):
            self.assertIn(b" 200 ", found)
            self.assertTrue(found.endswith(b"\r\n\r\n"))

    def test_pipelined_requests_are_answered_in_order(self):
        world = self.world(plain=[replies(answer(b"one"))])
        with world.connect() as connection:
            connection.sendall(request() + request())
            first = read_message(connection)
            rest = first.partition(b"one")[2] or read_message(connection)
            self.assertIn(b"one", first)
            self.assertIn(b"200 OK", rest)

    def test_an_unsafe_request_is_not_retried_after_a_lost_answer(self):
        world = self.world(plain=[resets(), resets()])
        self.assertIn(b" 502 ", world.exchange(request()))
        self.assertEqual(1, len(self.sent()))

    def test_a_safe_request_is_retried_on_another_server(self):
        world = self.world(plain=[resets(), replies(answer())])
        found = [world.exchange(request(b"/book/open/2f", method=b"GET")) for _ in range(2)]
        self.assertTrue(all(b" 200 " in answer for answer in found), found)

    def test_a_refused_unsafe_request_is_retried_on_another_server(self):
        refusal = answer(status=b"503 Busy", headers=b"X-Not-Executed: 1\r\n")
        world = self.world(plain=[replies(refusal), replies(answer())])
        self.assertIn(b" 200 ", world.exchange(request()))
        self.assertEqual(2, len(self.sent()))

    def test_nothing_is_retried_on_the_slack_just_after_the_start(self):
        refusal = answer(status=b"503 Busy", headers=b"X-Not-Executed: 1\r\n")
        world = self.world(plain=[replies(refusal), replies(refusal)], age_ms=0)
        self.assertIn(b" 503 ", world.exchange(request()))
        self.assertEqual(1, len(self.sent()))
        world.clock.advance_ms(10_001)
        world.config.apply(routing_config(), 1, world.clock.now_ms())
        self.assertIn(b" 503 ", world.exchange(request()))
        self.assertGreater(len(self.sent()), 2)

    def test_refusal_by_all_servers_is_503_with_retry_after(self):
        refusal = answer(status=b"503 Busy", headers=b"X-Not-Executed: 1\r\n")
        world = self.world(plain=[replies(refusal)])
        found = world.exchange(request())
        self.assertIn(b" 503 ", found)
        self.assertIn(b"Retry-After: 0.", found)

    def test_a_success_with_another_request_id_or_no_signature_is_not_forwarded(self):
        for bad in (answer(request_id=b"r2"), answer(headers=b"")):
            world = self.world(plain=[replies(bad)])
            self.assertIn(b" 502 ", world.exchange(request()))

    def test_bytes_after_an_answer_are_not_forwarded(self):
        world = self.world(plain=[replies(answer(b"one") + answer(b"two"))])
        with world.connect() as connection:
            connection.sendall(request(headers=b"Connection: close\r\n"))
            self.assertNotIn(b"two", read_all(connection))

    def test_a_large_body_that_arrives_with_its_head_does_not_count_as_head(self):
        world = self.world(plain=[replies(answer(b"x" * 1_000_000))])
        for _ in range(5):
            found = world.exchange(request())
            self.assertTrue(found.startswith(b"HTTP/1.1 200 "), found[:80])
            self.assertTrue(found.endswith(b"\r\n\r\n" + b"x" * 1_000_000))

    def test_a_request_head_that_stalls_behind_another_request_times_out(self):
        def answer_late(connection, _request):
            time.sleep(0.1)
            connection.sendall(answer())

        world = self.world(plain=[answer_late])
        with world.connect() as connection:
            connection.sendall(request() + request()[:20])
            self.assertIn(b" 200 ", read_message(connection))
            connection.settimeout(4)
            self.assertIn(b" 408 ", read_message(connection))

    def test_an_answer_without_a_length_ends_when_its_connection_closes(self):
        def script(connection, _request):
            connection.sendall(answer(b"whole", framing=b""))
            connection.shutdown(1)

        world = self.world(plain=[script])
        self.assertTrue(world.exchange(request()).endswith(b"Content-Length: 5\r\n\r\nwhole"))

    def test_a_truncated_answer_is_not_forwarded(self):
        world = self.world(plain=[resets(answer(b"half", framing=b"Content-Length: 9\r\n"))])
        found = world.exchange(request())
        self.assertIn(b" 502 ", found)
        self.assertNotIn(b"half", found)

    def test_a_request_without_an_answer_gets_504_at_the_route_s_timeout(self):
        world = self.world(plain=[lambda *_: time.sleep(4)])
        started = time.monotonic()
        self.assertIn(b" 504 ", world.exchange(request()))
        self.assertGreaterEqual(time.monotonic() - started, 1.9)

    def test_a_request_is_cancelled_when_its_caller_disconnects(self):
        world = self.world(plain=[lambda *_: None])
        connection = world.connect()
        connection.sendall(request())
        await_true(lambda: self.sent())
        connection.close()
        self.assertTrue(self.plain[0].left.wait(10))
        await_true(lambda: world.in_progress() == 0)

    def test_keys_and_routes(self):
        world = self.world(plain=[replies(answer())])
        self.assertIn(b" 401 ", world.exchange(request(key=b"other")))
        self.assertIn(b" 404 ", world.exchange(request(b"/none/")))
        self.assertEqual([], self.sent())


class InstanceCountTest(GatewayCase):
    def test_the_number_of_instances_never_falls(self):
        gateway = self.world().gateway
        shares = []
        for peers in (14, 2, 15, 2):
            gateway.set_instance_count(peers)
            shares.append(gateway.retry_budget("bookings").slack)
        self.assertEqual(sorted(shares, reverse=True), shares)
        self.assertEqual(shares[2], shares[3])


class FramingTest(GatewayCase):
    def assert_rejected(self, data, status):
        world = self.world(plain=[replies(answer())])
        with world.connect() as connection:
            connection.sendall(data)
            found = read_all(connection)
        self.assertTrue(found.startswith(b"HTTP/1.1 %d " % status), found)
        self.assertEqual([], self.sent())

    def test_two_framings(self):
        self.assert_rejected(request(headers=b"Transfer-Encoding: chunked\r\n"), 400)

    def test_two_lengths(self):
        self.assert_rejected(request(headers=b"Content-Length: 9\r\n"), 400)

    def test_an_unknown_transfer_coding(self):
        self.assert_rejected(
            request(body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: x"), 400
        )

    def test_a_folded_header_field(self):
        self.assert_rejected(request(headers=b"X-A: 1\r\n 2\r\n"), 400)

    def test_white_space_before_a_colon(self):
        self.assert_rejected(request(headers=b"X-A : 1\r\n"), 400)

    def test_trailer_fields(self):
        head = request(body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        self.assert_rejected(head + chunk(b"ab") + b"0\r\nX-A: 1\r\n\r\n", 400)

    def test_two_hosts(self):
        self.assert_rejected(request(headers=b"Host: other.example\r\n"), 400)

    def test_a_large_head(self):
        self.assert_rejected(request(headers=b"X-A: %s\r\n" % (b"a" * 5_000)), 431)

    def test_a_large_body(self):
        self.assert_rejected(request(body=b"a" * 10_001), 413)

    def test_a_large_chunked_body(self):
        head = request(body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        self.assert_rejected(head + chunk(b"a" * 10_001), 413)

    def test_bytes_that_are_not_http(self):
        self.assert_rejected(b"\x16\x03\x01 nonsense\r\n\r\n", 400)


LEAVING = b"X-Server-Signature: sig\r\nServer-Leaving: 1\r\n"
NOT_RUN = b"X-Not-Executed: 1\r\n"


def busy(retry_after, headers=NOT_RUN):
    """Return a refusal that asks for a pause."""
    return answer(b"", status=b"503 Busy", headers=headers + b"Retry-After: %s\r\n" % retry_after)


class ServerSaysTest(GatewayCase):
    """Servers say in their answers that they are leaving, or that they want a pause."""

    def paths(self):
        return [len(server.requests) for server in self.plain]

    def test_a_server_that_says_it_is_leaving_gets_nothing_more(self):
        world = self.world(plain=[replies(answer(headers=LEAVING)), replies(answer())])
        for _ in range(4):
            self.assertTrue(world.exchange(request()).startswith(b"HTTP/1.1 200"))
        self.assertEqual([1, 3], self.paths())

    def test_leaving_in_the_head_of_a_refusal_is_believed(self):
        refusal = answer(b"", status=b"503 Leaving", headers=LEAVING + NOT_RUN)
        world = self.world(plain=[replies(refusal), replies(answer())])
        for _ in range(3):
            self.assertTrue(world.exchange(request()).startswith(b"HTTP/1.1 200"))
        self.assertEqual([1, 3], self.paths())

    def test_another_server_at_the_address_does_not_speak_for_the_expected_one(self):
        other = answer(
            b"", status=b"421 Other", headers=LEAVING + b"X-Instance-Id: p9\r\n" + NOT_RUN
        )
        world = self.world(plain=[replies(other), replies(answer())])
        world.exchange(request())
        self.assertEqual(0, world.server_pool.server_state("p0").leaving_answers)

    def test_an_answer_to_another_request_says_nothing(self):
        stray = answer(headers=LEAVING, request_id=b"r9")
        world = self.world(plain=[replies(stray)])
        world.exchange(request())
        self.assertEqual(0, world.server_pool.server_state("p0").leaving_answers)

    def test_a_refusal_of_another_request_asks_for_no_pause(self):
        stray = answer(
            b"", status=b"503 Busy", headers=NOT_RUN + b"Retry-After: 60\r\n", request_id=b"r9"
        )
        world = self.world(plain=[replies(stray)])
        world.exchange(request())
        self.assertEqual(0, world.server_pool.server_state("p0").quiet_until_ms)

    def test_a_malformed_answer_changes_nothing_lasting(self):
        garbled = answer(headers=LEAVING, framing=b"Transfer-Encoding: chunked\r\n") + b"zz\r\n"
        world = self.world(plain=[replies(garbled)])
        world.exchange(request())
        self.assertEqual(0, world.server_pool.server_state("p0").leaving_answers)

    def test_a_server_that_asks_for_quiet_is_left_alone_and_others_take_the_work(self):
        world = self.world(plain=[replies(busy(b"62.5")), replies(answer())])
        for _ in range(4):
            self.assertTrue(world.exchange(request()).startswith(b"HTTP/1.1 200"))
        self.assertEqual([1, 4], self.paths())

    def test_when_all_ask_for_quiet_callers_are_refused_at_once_with_the_time_left(self):
        world = self.world(plain=[replies(busy(b"62.5")), replies(busy(b"99"))])
        world.exchange(request())
        found = world.exchange(request())
        self.assertTrue(found.startswith(b"HTTP/1.1 503"), found)
        retry_after_s = float(re.search(rb"Retry-After: ([0-9.]+)", found)[1])
        self.assertTrue(0 < retry_after_s <= 62.5 + 0.35, retry_after_s)
        self.assertEqual([1, 1], self.paths())

    def test_a_pause_in_a_failure_that_ran_is_kept_and_the_failure_delivered(self):
        ran = busy(b"60", headers=b"X-Server-Signature: sig\r\n")
        world = self.world(plain=[replies(ran)])
        self.assertIn(b"X-Server-Signature", world.exchange(request()))
        self.assertTrue(world.exchange(request()).startswith(b"HTTP/1.1 503"))
        self.assertEqual([1], self.paths())

    def test_a_malformed_pause_is_an_ordinary_refusal(self):
        for text in (b"soon", b"-1", b"inf", b"nan", b"1e9", b"0"):
            with self.subTest(text):
                world = self.world(plain=[replies(busy(text))])
                world.exchange(request())
                self.assertEqual(0, world.server_pool.server_state("p0").quiet_until_ms)


class StreamTest(GatewayCase):
    def prompt(self, headers=b""):
        return request(b"/quote/2f", headers=PROMPT_HEADERS + headers + b"Connection: close\r\n")

    def ask(self, world):
        with world.connect() as connection:
            connection.sendall(self.prompt())
            return read_all(connection)

    def test_an_engine_that_says_it_is_leaving_is_left_out_while_its_stream_goes_on(self):
        head = answer(b"", headers=LEAVING, framing=b"Transfer-Encoding: chunked\r\n")
        resumed = threading.Event()

        def stream(connection, _request):
            connection.sendall(head + chunk(event(1)))
            resumed.wait(TIMEOUT_S)
            connection.sendall(chunk(event(2)) + chunk(b""))

        world = self.world(engines=[stream])
        with world.connect() as connection:
            connection.sendall(self.prompt())
            received = connection.recv(65_536)
            while b"t1" not in received:
                received += connection.recv(65_536)
            self.assertTrue(self.ask(world).startswith(b"HTTP/1.1 503"))
            resumed.set()
            self.assertIn(b"t2", received + read_all(connection))
        self.assertEqual(1, len(self.sent()))

    def test_events_are_forwarded_as_they_arrive(self):
        def script(connection, _request):
            connection.sendall(STREAM_HEAD + chunk(event(1)))
            time.sleep(0.2)
            connection.sendall(chunk(event(2)) + b"0\r\n\r\n")

        found = self.ask(self.world(engines=[script]))
        self.assertIn(chunk(event(1)) + chunk(event(2)) + b"0\r\n\r\n", found)

    def test_request_headers_of_a_prompt(self):
        world = self.world(engines=[replies(STREAM_HEAD + chunk(event(1)) + b"0\r\n\r\n")])
        self.ask(world)
        (sent,) = self.sent()
        for field in (
            b"X-Expected-Version: 1",
            b"X-Cache-Salt: m1~1",
            b"X-Request-Urgency: 5",
            b"X-Model: m1",
            b"X-Prompt-Prefix: a:10,b:10,c:10",
        ):
            self.assertIn(field, sent)

    def test_a_broken_stream_resumes_on_another_server_without_a_gap(self):
        def first(connection, _request):
            connection.sendall(STREAM_HEAD + chunk(event(1) + b"id: 2\nda"))
            time.sleep(0.05)
            connection.shutdown(2)

        def second(connection, sent):
            start = 2 if b"Last-Event-Id: 1\r\n" in sent else 1
            events = b"".join(chunk(event(n)) for n in range(start, 4))
            connection.sendall(STREAM_HEAD + events + b"0\r\n\r\n")

        def either(connection, sent):
            (second if b"Last-Event-Id" in sent else first)(connection, sent)

        found = self.ask(self.world(engines=[either, either]))
        body = found.partition(b"\r\n\r\n")[2]
        expected = b"".join(chunk(event(n)) for n in (1, 2, 3)) + b"0\r\n\r\n"
        self.assertEqual(expected, body)
        self.assertEqual(2, len(self.sent()))

    def test_a_stream_that_cannot_be_finished_is_not_terminated_normally(self):
        world = self.world(engines=[resets(STREAM_HEAD + chunk(event(1)))])
        found = self.ask(world)
        self.assertIn(event(1), found)
        self.assertNotIn(b"\r\n0\r\n\r\n", found)
        self.assertNotIn(b"HTTP/1.1 5", found)

    def test_the_time_limit_in_mid_stream_adds_no_second_answer(self):
        def script(connection, _request):
            connection.sendall(STREAM_HEAD + chunk(event(1)))
            for number in range(2, 60):
                time.sleep(0.1)
                connection.sendall(chunk(event(number)))

        found = self.ask(self.world(engines=[script]))
        self.assertEqual(1, found.count(b"HTTP/1.1"))
        self.assertNotIn(b"\r\n0\r\n\r\n", found)

    def test_a_stream_of_a_stalled_engine_resumes_on_another(self):
        def script(connection, sent):
            if b"Last-Event-Id" not in sent:
                connection.sendall(STREAM_HEAD + chunk(event(1)))
                time.sleep(3)
                return
            connection.sendall(STREAM_HEAD + chunk(event(2)) + b"0\r\n\r\n")

        found = self.ask(self.world(engines=[script, script]))
        self.assertTrue(found.endswith(chunk(event(1)) + chunk(event(2)) + b"0\r\n\r\n"), found)

    def test_a_stream_goes_on_at_its_engine_after_a_pause_of_this_process(self):
        thawed = threading.Event()

        def script(connection, sent):
            connection.sendall(STREAM_HEAD)
            if b"Last-Event-Id" not in sent:
                connection.sendall(chunk(event(1)))
                thawed.wait(TIMEOUT_S)
            connection.sendall(chunk(event(2)) + b"0\r\n\r\n")

        world = self.world(engines=[script, script])
        with world.connect() as connection:
            connection.sendall(self.prompt())
            received = b""
            while b"t1" not in received:
                received += connection.recv(65_536)
            world.clock.advance_ms(1_500)
            time.sleep(0.4)
            thawed.set()
            self.assertIn(b"t2", received + read_all(connection))
        self.assertEqual(1, len(self.sent()))
