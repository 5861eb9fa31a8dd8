"""Tests of where a resumed stream has to go on, by the origin or by evidence of all streams."""

import asyncio
import unittest
from dataclasses import replace

from bergamothill.clock import ManualClock
from bergamothill.process.softwareversions import LOOKBACK_MS
from bergamothill.process.streamresumption import (
    LIST_TIMEOUT_MS,
    LocalOrigins,
    StreamResumption,
)
from bergamothill.version.routetable import ServiceShare
from tests.builders import backend, caller_request, routing_config, server_pool

CONFIG = routing_config()
LLM = CONFIG.services["llm"]
ROUTE = next(route for route in CONFIG.routes if route.shares[0].service == "llm")
SPLIT = replace(ROUTE, shares=(*ROUTE.shares, ServiceShare("bookings", 1.0)))


class Evidence:
    is_certain = True

    def __init__(self, only):
        self.only, self.routes = only, []

    async def only_origin(self, route, _give_up_ms):
        self.routes.append(route)
        return self.only


class ResolveTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        clock = ManualClock(1_000)
        pool = server_pool(backend("s1", service="llm", software_version="v1"))
        pool.only_version = lambda _service, _now_ms: "v1"
        pool.has_list_since = lambda _sent_ms: True
        self.resumption = StreamResumption(clock, pool, LocalOrigins(clock))

    async def resolve(self, route=ROUTE, resumes=""):
        request = replace(caller_request(), last_event_id="3", resumes=resumes)
        resumed = await self.resumption.resolve(request, "b1", route, LLM, 9_000)
        return (resumed.service, resumed.version)

    async def test_without_the_first_request_the_only_version_counts(self):
        self.assertEqual(("llm", "v1"), await self.resolve())

    async def test_a_list_from_before_the_request_does_not_show_the_only_version(self):
        # ORDER: an instance that was cut off or stood still had a list of up to 2.4 s ago, without
        # the version that had joined since and had begun the stream.
        clock = ManualClock(0)
        pool = server_pool(min_entry_life_ms=2_400)
        resumption = StreamResumption(clock, pool, LocalOrigins(clock))
        old = backend("s1", service="llm", software_version="v1")
        joined = backend("s2", service="llm", software_version="v2")
        for sent_ms in range(0, LOOKBACK_MS + 1, 400):
            clock.advance_ms(sent_ms - clock.now_ms())
            pool.apply_list([old], sent_ms, sent_ms)
        request = replace(caller_request(), last_event_id="3")

        async def resolve(next_list):
            clock.advance_ms(1_000)
            search = asyncio.ensure_future(resumption.resolve(request, "b1", ROUTE, LLM, 900_000))
            await asyncio.sleep(0.1)
            clock.advance_ms(300)
            if next_list is not None:
                pool.apply_list(next_list, clock.now_ms(), clock.now_ms())
            else:
                clock.advance_ms(LIST_TIMEOUT_MS)
            return (await search).version

        self.assertEqual("v1", await resolve([old]))
        self.assertIsNone(await resolve(None))
        self.assertIsNone(await resolve([old, joined]))

    async def test_a_route_with_several_services_tells_no_version(self):
        # The service follows from the id of the first request, which is not named.
        self.assertEqual(("llm", None), await self.resolve(SPLIT))

    async def test_evidence_counts_if_the_origin_is_not_known(self):
        self.resumption.evidence = evidence = Evidence(("llm", "v2"))
        self.assertEqual(("llm", "v2"), await self.resolve(resumes="r1"))
        self.assertEqual(("llm", "v2"), await self.resolve())
        self.assertEqual([ROUTE.name] * 2, evidence.routes)
        evidence.only = None
        self.assertEqual(("llm", None), await self.resolve())

    async def test_a_known_origin_needs_no_evidence(self):
        self.resumption.evidence = evidence = Evidence(("llm", "v2"))
        begun = replace(caller_request(), request_id="r1")
        entry = backend("s1", service="llm", software_version="v1")
        checks = self.resumption.checks(None)
        self.resumption.record_begin(begun, "b1", entry, checks, is_identified=True)
        self.assertEqual(("llm", "v1"), await self.resolve(resumes="r1"))
        self.assertEqual([], evidence.routes)
