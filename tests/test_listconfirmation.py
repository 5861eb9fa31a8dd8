"""Tests of streams of servers without event connection, whose version later lists confirm."""

import asyncio
import unittest
from dataclasses import replace

from bergamothill.clock import ManualClock
from bergamothill.connection.storeera import REWRITE_MS
from bergamothill.process.listconfirmation import CHECK_INTERVAL_MS, MAX_DELAY_MS, MAX_GRACE_MS
from bergamothill.process.streamresumption import LocalOrigins, StreamResumption
from bergamothill.version.routetable import RetryPolicy
from tests.builders import backend, caller_request, routing_config, server_pool

HEARTBEAT_MS = 1_200
CONFIG = routing_config()
NOTES = CONFIG.services["bookings"]
ROUTE = replace(
    next(route for route in CONFIG.routes if route.shares[0].service == "bookings"),
    retry_policy=RetryPolicy.STREAM,
)
REQUEST = caller_request(model=None)


class PlainCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(10_000)
        self.servers = [self.plain("s1"), self.plain("s2")]
        self.pool = server_pool(min_entry_life_ms=2_400, heartbeat_interval_ms=HEARTBEAT_MS)
        self.resumption = StreamResumption(self.clock, self.pool, LocalOrigins(self.clock))
        for _ in range(3):
            self.clock.advance_ms(HEARTBEAT_MS)
            self.read_list()

    def plain(self, server, born=1, version="v1"):
        return backend(
            server,
            service="bookings",
            weights={},
            started_wall_ms=born,
            software_version=version,
        )

    def read_list(self):
        now_ms = self.clock.now_ms()
        self.pool.apply_list(self.servers, now_ms, now_ms)

    def begin(self, server=None):
        """Let a server bring the first event of a stream; return its version and the checks."""
        checks = self.resumption.checks(None)
        server = server or self.servers[0]
        begun = replace(REQUEST, request_id="r1")
        return self.resumption.record_begin(begun, "b1", server, checks, False), checks

    async def resolve(self, left_ms=90_000):
        request = replace(REQUEST, request_id="r2", resumes="r1", last_event_id="3")
        return await self.resumption.resolve(
            request, "b1", ROUTE, NOTES, self.clock.now_ms() + left_ms
        )

    def choose(self, version):
        now_ms = self.clock.now_ms()
        return self.pool.choose(NOTES, REQUEST, None, ("s1",), 0, now_ms, version=version)

    async def confirm(self, checks, version="v1", *, change=lambda: None, reads=True):
        """Return whether an answer of the second server is passed on, and after how long."""
        self.resumption.lists.read_list = self.read_list if reads else lambda: None
        written_ms = self.clock.now_ms()
        search = asyncio.ensure_future(checks.confirmation(self.servers[1], version)())
        await asyncio.sleep(0)
        change()
        while not search.done():
            self.clock.advance_ms(100)
            await asyncio.sleep(2 * CHECK_INTERVAL_MS / 1_000)
            if search.done() or self.clock.now_ms() > written_ms + 2 * HEARTBEAT_MS + MAX_DELAY_MS:
                break
        return await asyncio.wait_for(search, 3), self.clock.now_ms() - written_ms


class PlainStreamTest(PlainCase):
    async def test_a_stream_of_a_service_without_engine_goes_on_after_its_server_crashed(self):
        # LOST: the version of a plain server was never confirmed, so no stream of one was recorded,
        # resumed or taken up.
        version, _ = self.begin()
        self.assertEqual("v1", version)
        resumed = await self.resolve()
        self.assertEqual(("bookings", "v1"), (resumed.service, resumed.version))
        self.assertEqual("s2", self.choose("v1")[0].server)
        checks = self.resumption.checks(resumed)
        self.assertEqual(
            (True, True), ((await self.confirm(checks))[0], checks.presumed is not None)
        )

    def test_a_stream_does_not_go_on_at_another_version(self):
        self.servers[1] = self.plain("s2", 2, "v2")
        for _ in range(3):
            self.clock.advance_ms(HEARTBEAT_MS)
            self.read_list()
        self.assertEqual("s1", self.choose("v1")[0].server)
        self.assertIsNone(self.choose("v3"))

    def test_a_server_is_not_presumed_by_an_old_list(self):
        self.clock.advance_ms(2_401)
        self.assertIsNone(self.begin()[0])
        self.assertIsNone(self.choose("v1"))

    def test_a_server_that_broke_off_an_answer_takes_streams_over(self):
        # LOST: servers that broke off one answer each were out of use for streams for five seconds.
        for server in ("s1", "s2"):
            self.pool.request_failed(server, self.clock.now_ms())
        self.assertIsNotNone(self.choose("v1"))

    def test_a_server_is_not_presumed_before_it_is_listed(self):
        joined = self.plain("s3")
        self.assertIsNone(self.begin(joined)[0])
        self.servers.append(joined)
        self.read_list()
        self.assertEqual("v1", self.begin(joined)[0])


class ConfirmationTest(PlainCase):
    async def test_an_answer_waits_for_a_list_read_a_heartbeat_interval_later(self):
        is_confirmed, took_ms = await self.confirm(self.begin()[1])
        self.assertTrue(is_confirmed)
        self.assertGreaterEqual(took_ms, HEARTBEAT_MS)
        self.assertLessEqual(took_ms, HEARTBEAT_MS + MAX_DELAY_MS)

    async def test_an_answer_is_dropped_without_a_later_list(self):
        self.assertFalse((await self.confirm(self.begin()[1], reads=False))[0])

    async def test_a_stream_that_cannot_be_confirmed_in_time_is_refused_at_once(self):
        # Soon after an outage entries may be missing: lists confirm nothing before callers leave.
        self.begin()
        self.pool.kvs_recovered()
        self.read_list()
        self.assertIsNone((await self.resolve()).version)
        checks = self.resumption.checks(None)
        self.assertFalse(checks.may_send_to(self.servers[1], "v1"))
        self.assertTrue(checks.may_send_to(self.servers[1], None))
        self.clock.advance_ms(REWRITE_MS - HEARTBEAT_MS - MAX_GRACE_MS)
        self.assertTrue(checks.may_send_to(self.servers[1], "v1"))
        self.read_list()
        self.assertEqual("v1", (await self.resolve()).version)

    async def test_a_caller_with_too_little_time_is_refused_at_once(self):
        self.begin()
        self.assertIsNone((await self.resolve(HEARTBEAT_MS)).version)
        self.assertEqual("v1", (await self.resolve(HEARTBEAT_MS + 1)).version)

    async def test_an_answer_is_dropped_if_another_process_had_taken_the_id_of_the_server(self):
        # ORDER: a process of another version under the id of the listed one.
        def change():
            self.servers[1] = self.plain("s2", 2, "v2")

        self.assertFalse((await self.confirm(self.begin()[1], change=change))[0])

    async def test_an_answer_is_dropped_if_another_process_may_have_begun_the_stream(self):
        def change():
            self.servers[0] = self.plain("s1", 2, "v2")

        self.assertFalse((await self.confirm(self.begin()[1], change=change))[0])

    async def test_a_stream_whose_server_was_replaced_before_it_was_confirmed_is_refused(self):
        self.begin()
        self.servers[0] = self.plain("s1", 2, "v2")
        self.read_list()
        self.assertIsNone((await self.resolve()).version)

    async def test_engines_and_streams_that_begin_need_no_confirmation(self):
        checks = self.resumption.checks(None)
        self.assertIsNone(checks.confirmation(self.servers[1], None))
        self.assertIsNone(checks.confirmation(backend("s1"), "v1"))


class OriginConfirmationTest(PlainCase):
    def test_lists_from_a_heartbeat_interval_later_confirm_an_origin(self):
        begun_ms = self.clock.now_ms()
        origin = self.begin()[1].presumed
        self.clock.advance_ms(HEARTBEAT_MS - 1)
        self.read_list()
        self.assertFalse(self.pool.confirms(origin, begun_ms))
        self.clock.advance_ms(1)
        self.read_list()
        self.servers[0] = self.plain("s1", 2, "v2")
        self.read_list()
        self.assertTrue(self.pool.confirms(origin, begun_ms))

    def test_lists_soon_after_a_restoration_confirm_nothing(self):
        begun_ms = self.clock.now_ms()
        origin = self.begin()[1].presumed
        self.clock.advance_ms(HEARTBEAT_MS)
        self.pool.kvs_restored(self.clock.now_ms())
        self.read_list()
        self.assertFalse(self.pool.confirms(origin, begun_ms))


del PlainCase
