"""Tests of requests in progress while the machine is suspended, or its drain ends."""

import asyncio
import re
import threading
import time
from unittest import mock

from bergamothill.connection import backendhttp
from bergamothill.process import admissionqueue, gateway
from bergamothill.process.drainperiod import DrainPeriod
from bergamothill.version.weighttarget import WeightTarget
from tests.builders import await_true
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
)


class SuspendTest(GatewayCase):
    """The machine is suspended, which the clock of the event loop does not count."""

    def end_by_suspend(self, world, data, is_waiting, expired=1):
        """Suspend the machine past the deadline of a request; return its response."""
        with world.connect() as connection:
            connection.sendall(data)
            await_true(is_waiting)
            resumed_s = time.monotonic()
            world.clock.advance_ms(5_000)
            found = read_message(connection)
            self.assertLess(time.monotonic() - resumed_s, 1)
        await_true(lambda: world.in_progress() == 0)
        (count,) = re.findall(
            r'requests\{outcome="expired",rule="\w+"\} (.*)', world.metrics.text()
        )
        self.assertEqual(expired, int(count))
        return found

    def test_a_request_at_a_server_gets_504_once_its_timeout_passed_in_a_suspend(self):
        world = self.world(plain=[lambda *_: None])
        self.assertIn(b" 504 ", self.end_by_suspend(world, request(), self.sent))
        self.assertTrue(self.plain[0].left.wait(TIMEOUT_S))

    def test_a_check_in_each_iteration_of_the_loop_ends_each_request_once(self):
        self.enterContext(mock.patch.object(gateway, "STALL_CHECK_INTERVAL_MS", 0))
        world = self.world(plain=[lambda *_: None])
        for n in (1, 2):
            found = self.end_by_suspend(world, request(), lambda n=n: len(self.sent()) == n, n)
            self.assertIn(b" 504 ", found)

    def test_a_request_in_the_queue_gets_503_once_its_timeout_passed_in_a_suspend(self):
        self.enterContext(mock.patch.object(admissionqueue, "MAX_WAIT_MS", 60_000))
        world = self.world(engines=[replies(answer())])
        world.server_pool.request_started("s0", 95_000, 0, world.clock.now_ms())
        waiting = world.gateway.admission_queue("llm").requests
        prompt = request(b"/quote/2f", headers=PROMPT_HEADERS)
        found = self.end_by_suspend(world, prompt, lambda: len(waiting))
        self.assertIn(b" 503 ", found)
        self.assertIn(b"Retry-After: ", found)
        self.assertEqual((0, []), (len(waiting), self.sent()))


class EndOfDrainTest(GatewayCase):
    """The drain of the instance ends while a request is in progress."""

    def end_drain(self, world):
        world._loop.call_soon_threadsafe(world.gateway.end_drain)

    def test_a_request_in_the_queue_gets_503_at_the_end_of_the_drain(self):
        self.enterContext(mock.patch.object(admissionqueue, "MAX_WAIT_MS", 60_000))
        world = self.world(engines=[replies(answer())])
        world.server_pool.request_started("s0", 95_000, 0, world.clock.now_ms())
        waiting = world.gateway.admission_queue("llm").requests
        with world.connect() as connection:
            connection.sendall(request(b"/quote/2f", headers=PROMPT_HEADERS))
            await_true(lambda: len(waiting))
            self.end_drain(world)
            self.assertIn(b" 503 ", read_message(connection))
        self.assertEqual([], self.sent())

    def test_a_request_in_the_queue_is_refused_once_its_answer_would_come_too_late(self):
        # It was sent whenever there was room, and cut at the end of the drain.
        self.enterContext(mock.patch.object(admissionqueue, "MAX_WAIT_MS", 60_000))
        world = self.world(engines=[replies(answer())])
        world.server_pool.request_started("s0", 95_000, 0, world.clock.now_ms())
        waiting = world.gateway.admission_queue("llm").requests
        for left_ms, is_refused in ((60_000, False), (1_500, True)):
            now_ms = world.clock.now_ms()
            period = DrainPeriod(notice_ends_ms=now_ms, ends_ms=now_ms + left_ms)
            with world.connect() as connection:
                connection.sendall(request(b"/quote/2f", headers=PROMPT_HEADERS))
                await_true(lambda: len(waiting))
                world._loop.call_soon_threadsafe(world.gateway.start_drain, period)
                started_s = time.monotonic()
                world._loop.call_soon_threadsafe(world.gateway.end_notice)
                self.assertIn(b" 503 ", read_message(connection))
                self.assertEqual(is_refused, time.monotonic() - started_s < 0.2)
            world.gateway._drain = None
        self.assertEqual([], self.sent())

    def test_a_request_whose_stream_is_still_searched_for_gets_503_at_the_end(self):
        # LOST: it counted as no request in progress until its origin was known, and its connection
        # was closed without an answer.
        world = self.world(engines=[replies(answer())])
        searched = threading.Event()

        async def find(_key, _give_up_ms):
            searched.set()
            await asyncio.sleep(TIMEOUT_S)

        world.gateway.resumption._directory.find = find
        headers = PROMPT_HEADERS + b"Last-Event-Id: 3\r\nResumes: r0\r\n"
        with world.connect() as connection:
            connection.sendall(request(b"/quote/2f", headers=headers))
            self.assertTrue(searched.wait(TIMEOUT_S))
            self.end_drain(world)
            started_s = time.monotonic()
            self.assertIn(b" 503 ", read_message(connection))
            self.assertLess(time.monotonic() - started_s, 1)
        self.assertEqual([], self.sent())

    def test_a_search_for_the_origin_of_a_stream_ends_with_the_time_of_its_caller(self):
        # What cannot be answered within it is to be refused at once.
        world, given_up_ms = self.world(engines=[replies(answer())]), []

        async def find(_key, give_up_ms):
            given_up_ms.append(give_up_ms)

        world.gateway.resumption._directory.find = find
        headers = PROMPT_HEADERS + b"Last-Event-Id: 3\r\nResumes: r0\r\n"
        self.assertIn(b" 503 ", world.exchange(request(b"/quote/2f", headers=headers)))
        self.assertLessEqual(given_up_ms[0] - world.clock.now_ms(), 3_000)

    def test_a_stream_that_has_begun_is_not_terminated_normally_at_the_end_of_the_drain(self):
        def script(connection, _request):
            connection.sendall(STREAM_HEAD + chunk(event(1)))

        world = self.world(engines=[script])
        with world.connect() as connection:
            connection.sendall(request(b"/quote/2f", headers=PROMPT_HEADERS))
            received = b""
            while b"t1" not in received:
                received += connection.recv(65_536)
            self.end_drain(world)
            received += read_all(connection)
        self.assertTrue(received.endswith(chunk(event(1))), received)


class WeightDeadlineTest(GatewayCase):
    """A prompt is chosen for an engine whose weights fall due before the prompt is sent."""

    def test_a_prompt_is_not_sent_on_weights_that_fell_due_while_its_connection_opened(self):
        world = self.world(engines=[replies(answer())])
        now_ms = world.clock.now_ms()
        for version in (1, 2):
            target = WeightTarget("m1", version)
            world.server_pool.set_weight_target(target, now_ms, set_after_ms=now_ms)
        open_connection = backendhttp.open_connection

        async def open_slowly(*args, **options):
            opened = await open_connection(*args, **options)
            world.clock.advance_ms(4_500)
            return opened

        self.enterContext(mock.patch.object(backendhttp, "open_connection", open_slowly))
        prompt = request(
            b"/quote/2f", headers=PROMPT_HEADERS + b"X-Deadline-Milliseconds: 9000\r\n"
        )
        found = world.exchange(prompt.replace(b"X-Deadline-Milliseconds: 3000\r\n", b""))
        self.assertIn(b" 503 ", found)
        self.assertEqual([], [r for r in self.sent() if b"/quote/" in r])
