"""Tests that each request that was read whole is answered or refused."""

import time
from itertools import chain, repeat
from unittest import mock

from bergamothill.connection.callerhttp import MAX_PIPELINED_BYTES, CallerConnection
from bergamothill.process import gateway, serverattempt
from bergamothill.process.requestrun import RequestRun
from bergamothill.process.serverpool import ServerPool
from bergamothill.request.requestqueue import MIN_ADMISSIONS
from tests.builders import await_true, backend, routing_config
from tests.gatewayworld import (
    PROMPT_HEADERS,
    STREAM_HEAD,
    GatewayCase,
    answer,
    chunk,
    event,
    read_all,
    read_message,
    replies,
    request,
)

PROMPT = request(b"/quote/2f", headers=PROMPT_HEADERS)
ANSWER_TIMEOUT_S = 1.5


class UnansweredRequestCase(GatewayCase):
    def first_bytes(self, world, data):
        """Send a request and return the first bytes that come back; none if it is closed."""
        with world.connect() as connection:
            connection.settimeout(ANSWER_TIMEOUT_S)
            connection.sendall(data)
            try:
                return connection.recv(65_536)
            except ConnectionResetError:
                return b"<reset>"
            except TimeoutError:
                self.fail("neither answered nor closed")


class InternalErrorTest(UnansweredRequestCase):
    """An error in this process ends the handling of a request."""

    def fail_in(self, method, owner=ServerPool):
        fault = mock.patch.object(owner, method, side_effect=RuntimeError("fault"))
        self.enterContext(fault)

    def test_a_request_that_was_not_sent_is_refused(self):
        for owner, method in ((gateway, "decode_request"), (ServerPool, "choose")):
            world = self.world(plain=[replies(answer())])
            self.fail_in(method, owner)
            found = self.first_bytes(world, request())
            self.assertTrue(found.startswith(b"HTTP/1.1 503 "), found)
            self.assertIn(b"Retry-After: ", found)
            self.assertEqual([], self.sent())

    def test_a_request_whose_final_answer_fails_is_closed(self):
        world = self.world(plain=[replies(answer())])
        self.fail_in("send_response", CallerConnection)
        self.assertIn(self.first_bytes(world, request()), (b"", b"<reset>"))

    def test_a_server_whose_attempts_fail_here_is_not_preferred(self):
        world = self.world(plain=[replies(answer())] * 2)
        encode, servers = serverattempt.encode_forward, []

        def fail_at_first_server(request, terms):
            servers.append(terms.server)
            if terms.server == servers[0]:
                raise RuntimeError("fault")
            return encode(request, terms)

        self.enterContext(mock.patch.object(serverattempt, "encode_forward", fail_at_first_server))
        statuses = [self.first_bytes(world, request())[9:12] for _ in range(2)]
        self.assertEqual([b"502", b"200"], statuses, servers)

    def test_a_request_that_may_have_run_is_not_reported_as_not_run(self):
        world = self.world(plain=[replies(answer())])
        self.fail_in("request_succeeded")
        found = self.first_bytes(world, request())
        self.assertTrue(found.startswith(b"HTTP/1.1 502 "), found)

    def test_a_stream_that_has_begun_is_not_terminated_normally(self):
        stream = STREAM_HEAD + chunk(event(1)) + chunk(b"")
        world = self.world(engines=[replies(stream)])
        self.fail_in("stream_ended")
        with world.connect() as connection:
            connection.settimeout(ANSWER_TIMEOUT_S)
            connection.sendall(PROMPT)
            try:
                found = read_all(connection)
            except TimeoutError:
                self.fail("neither ended nor closed")
        self.assertIn(chunk(event(1)), found)
        self.assertNotIn(b"\r\n0\r\n\r\n", found)

    def test_an_error_in_a_periodic_check_does_not_end_the_checks(self):
        world = self.world(plain=[lambda *_: None])
        check = mock.patch.object(
            RequestRun, "check_for_stall", side_effect=chain([RuntimeError("fault")], repeat(None))
        )
        checked = self.enterContext(check)
        with world.connect() as connection:
            connection.settimeout(ANSWER_TIMEOUT_S)
            connection.sendall(request())
            await_true(lambda: checked.called)
            world.clock.advance_ms(5_000)
            try:
                found = connection.recv(65_536)
            except TimeoutError:
                self.fail("not answered at the deadline")
        self.assertTrue(found.startswith(b"HTTP/1.1 504 "), found)


class UnusualValueTest(UnansweredRequestCase):
    """A header field, a registration or the configuration has an unusual value."""

    def assert_answered(self, world, data=None, statuses=(b"200",)):
        status = self.first_bytes(world, data or request())[9:12]
        self.assertIn(status, statuses)

    def test_a_brand_whose_name_is_not_latin_comes_into_force(self):
        world = self.world(plain=[replies(answer())])
        brands = [{"name": "Rātā", "apiKeys": ["key-1"]}]
        world.config.apply(routing_config(version=8, tenants=brands), 2, world.clock.now_ms())
        self.assert_answered(world)
        self.assertIn("X-Tenant: Rātā\r\n".encode(), self.sent()[0])

    def test_a_server_is_listed_with_a_port_or_host_that_does_not_exist(self):
        world = self.world(plain=[replies(answer())])
        addresses = ("127.0.0.1:99999", "a..b:80", self.plain[0].address)
        servers = [
            backend(f"p{n}", address=address, service="bookings", weights={})
            for n, address in enumerate(addresses)
        ]
        now_ms = world.clock.now_ms()
        world.server_pool.apply_list(servers, now_ms, now_ms)
        self.assert_answered(world)

    def assert_counts_answered(self, counts=b"30,9", prefix=b"a:10,b:10"):
        world = self.world(engines=[replies(answer(b""))])
        config = routing_config(version=8, limits={"maxHeaderBytes": 16_384})
        world.config.apply(config, 2, world.clock.now_ms())
        headers = b"X-Model: m1\r\nX-Token-Counts: %s\r\nX-Prompt-Prefix: %s\r\n" % (counts, prefix)
        self.assert_answered(world, request(b"/quote/2f", headers=headers))
        self.assertEqual(1, len(self.sent()))

    def test_a_token_count_has_hundreds_of_digits(self):
        self.assert_counts_answered(counts=b"9" * 400 + b",9")

    def test_a_token_count_has_thousands_of_digits(self):
        self.assert_counts_answered(counts=b"9" * 5_000 + b",9")

    def test_the_length_of_a_prompt_part_has_thousands_of_digits(self):
        self.assert_counts_answered(prefix=b"a:" + b"9" * 5_000 + b",b:10")

    def test_another_request_in_the_queue_has_a_token_count_of_hundreds_of_digits(self):
        world = self.world(engines=[replies(answer(b""))])
        now_ms = world.clock.now_ms()
        world.server_pool.request_started("s0", 95_000, 0, now_ms)
        waiting = world.gateway.admission_queue("llm").requests
        for _ in range(MIN_ADMISSIONS):
            waiting.record_admission(100, now_ms)
        with world.connect() as connection:
            connection.sendall(PROMPT.replace(b": 30,9", b": " + b"9" * 400 + b",9"))
            time.sleep(0.1)
            self.assert_answered(world, PROMPT, (b"503",))


class ConnectionTest(UnansweredRequestCase):
    """The connection of the caller, rather than its request, meets something unusual."""

    def test_a_request_that_offers_an_upgrade_is_answered(self):
        world = self.world(plain=[replies(answer())])
        offer = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n"
        found = self.first_bytes(world, request(headers=offer) + b"another protocol")
        self.assertEqual(b"200", found[9:12])
        found = self.first_bytes(world, b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\nanother protocol")
        self.assertEqual(b"404", found[9:12])

    def test_requests_that_are_followed_by_one_that_is_refused_are_answered(self):
        world = self.world(plain=[lambda *args: time.sleep(0.2) or replies(answer())(*args)])
        too_large = request(body=b"x" * (MAX_PIPELINED_BYTES + 1))
        huge_head = request(headers=b"X-Filler: %s\r\n" % (b"x" * 20_000))
        for rest in (b"malformed\r\n\r\n", huge_head, too_large):
            for count in (1, 3):
                with self.subTest(rest[:20], count=count), world.connect() as connection:
                    connection.sendall(count * request() + rest)
                    found = read_all(connection)
                    self.assertEqual(count, found.count(b"HTTP/1.1 200 OK"))
                    self.assertEqual(count, found.count(b"HTTP/1.1 "))
                    self.assertIn(b"Connection: close", found)
                    self.assertNotIn(b"<reset>", found)

    def test_a_request_that_arrives_while_the_loop_is_busy_outlives_the_timers(self):
        world = self.world(plain=[replies(answer())])
        limits = {"headerTimeoutMs": 300, "idleTimeoutMs": 300}
        world.config.apply(routing_config(version=8, limits=limits), 2, world.clock.now_ms())
        connection = self.enterContext(world.connect())
        for size in (0, 40):
            connection.sendall(request()[:size])
            time.sleep(0.1)
            world._loop.call_soon_threadsafe(time.sleep, 0.6)
            time.sleep(0.4)
            connection.sendall(request()[size:])
            self.assertEqual(b"200", read_message(connection)[9:12])

    def test_a_connection_may_be_idle_for_as_long_as_a_limit_that_the_caller_knows_allows(self):
        world = self.world(plain=[replies(answer())])
        connection = self.enterContext(world.connect())
        for version, limit_ms, idle_s in ((8, 400, 0), (9, 4_000, 0.8), (10, 400, 0.8)):
            limits = {"idleTimeoutMs": limit_ms}
            config = routing_config(version=version, limits=limits)
            time.sleep(0.1)
            world.config.apply(config, version, world.clock.now_ms())
            time.sleep(idle_s)
            connection.sendall(request())
            self.assertEqual(b"200", read_message(connection)[9:12])
