"""Tests of when managed stores free the context that replaced sets of isolated brands left."""

import asyncio
import unittest
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

from bergamothill.clock import ManualClock
from bergamothill.process import sweepduty
from bergamothill.process.configstate import ConfigState
from bergamothill.process.sweepduty import SweepDuty
from bergamothill.request.contextplan import ContextPlanner
from bergamothill.version.cacheindex import CacheIndex, EventBatch, PartEvent, PartKey
from bergamothill.version.cachenamespace import BrandIsolation, namespace
from bergamothill.version.cachesweep import LISTING_RETRY_DELAY_MS, StoreListing
from bergamothill.version.routetable import Brand
from bergamothill.version.scopesweep import FETCH_HOLD_MS, FREE_TIMEOUT_MS, ScopeSweep, ScopeTask
from tests.builders import routing_config

STORE = "127.0.0.1:19001"
NONE, ALPHA = BrandIsolation(), BrandIsolation(frozenset({"alpha"}))
SETTLE_MS = 9_000


def key(isolation, brand=None):
    """Return the key of a part that a request makes under a set of isolated brands."""
    return PartKey(namespace("m1", 1, brand, isolation=isolation), "p")


KEYS = {
    "shared": key(NONE),
    "shared, alpha isolated": key(ALPHA),
    "own of alpha": key(ALPHA, Brand("alpha")),
    "not ours": PartKey("else", "p"),
}


class ScopeSweepTest(unittest.TestCase):
    def plan(self, sweep, isolation, now_ms, has_retired=True):
        return sweep.plan(isolation, [STORE], lambda _store: has_retired, SETTLE_MS, now_ms)

    def test_what_no_new_request_uses_is_retired(self):
        for isolation, retired in (
            (NONE, {"shared, alpha isolated", "own of alpha"}),
            (ALPHA, {"shared"}),
        ):
            keys = ScopeTask(STORE, isolation).retired(StoreListing(1, tuple(KEYS.values())))
            self.assertEqual({KEYS[name] for name in retired}, set(keys))

    def test_a_store_is_swept_once_requests_of_the_earlier_set_have_ended(self):
        sweep = ScopeSweep()
        self.assertEqual((), self.plan(sweep, NONE, 0))
        self.assertEqual((), self.plan(sweep, ALPHA, 5_000))
        self.assertEqual((), self.plan(sweep, ALPHA, 5_000 + SETTLE_MS - 1))
        self.assertEqual(1, len(self.plan(sweep, ALPHA, 5_000 + SETTLE_MS)))
        self.assertEqual((), self.plan(sweep, ALPHA, 5_000 + SETTLE_MS + 100))
        again_ms = 5_000 + SETTLE_MS + LISTING_RETRY_DELAY_MS
        self.assertEqual(1, len(self.plan(sweep, ALPHA, again_ms)))

    def test_a_store_without_retired_parts_is_not_listed(self):
        sweep = ScopeSweep()
        for now_ms in (0, SETTLE_MS, 10 * SETTLE_MS):
            self.assertEqual((), self.plan(sweep, ALPHA, now_ms, has_retired=False))


class FetchHoldTest(unittest.TestCase):
    def test_nothing_is_fetched_from_stores_right_after_the_set_changed(self):
        planner = ContextPlanner(CacheIndex())
        planner.set_stores(routing_config().stores)
        event = PartEvent(KEYS["shared"], 500)
        batch = EventBatch(1, 2, False, (event,), clock_ms=50_000)
        planner._index.source(STORE).apply(batch, 1_900, 1_900)
        planner.set_isolation(ALPHA, 0)
        planner.set_isolation(NONE, 1_000)
        planner.set_isolation(BrandIsolation(), 1_500)
        held = planner.stores_with(KEYS["shared"], 500, 1_000 + FETCH_HOLD_MS - 1)
        self.assertEqual([], held)
        self.assertTrue(planner.stores_with(KEYS["shared"], 500, 1_000 + FETCH_HOLD_MS))


class SweepDutyTest(unittest.TestCase):
    """The holder of the duty, with a store that has parts of all sets."""

    def setUp(self):
        self.clock = ManualClock(100_000)
        self.config = ConfigState(5_000, is_strict=True)
        self.apply(1, "alpha")
        index = CacheIndex()
        events = tuple(PartEvent(part, 500) for part in KEYS.values())
        index.source(STORE).apply(EventBatch(3, 9, False, events, 170_000), 99_990, 100_000)
        self.duty = SweepDuty(self.clock, lambda: True, lambda: ({}, ()), self.config, index, 0)
        self.freed = []
        patches = {
            "list_stored_parts": lambda _address: StoreListing(3, tuple(KEYS.values())),
            "free_parts": lambda *call: self.freed.append(call),
        }
        for name, double in patches.items():
            patch = mock.patch.object(sweepduty, name, double)
            patch.start()
            self.addCleanup(patch.stop)

    def apply(self, version, *isolated):
        tenants = [{"name": n, "apiKeys": [], "isolated": n in isolated} for n in ("alpha", "b")]
        config = routing_config(version=version, tenants=tenants)
        self.config.apply(config, version, self.clock.now_ms())

    def sweep(self, on_wait):
        """Sweep the retired scopes; call a function while the duty waits for a confirmation."""

        async def sleep(duration_s):
            self.clock.advance_ms(int(duration_s * 1_000))
            on_wait()

        with ThreadPoolExecutor(1) as pool, mock.patch.object(sweepduty.asyncio, "sleep", sleep):
            asyncio.run(self.duty._sweep_scopes(ScopeTask(STORE, ALPHA), pool))

    def test_retired_parts_are_freed_after_a_read_that_shows_no_newer_configuration(self):
        # Parts of a set that was replaced stayed in the stores for good and took their room.
        self.sweep(lambda: self.config.confirm(1, self.clock.now_ms()))
        ((address, keys, epoch, until_ms),) = self.freed
        self.assertEqual((STORE, [KEYS["shared"]], 3), (address, keys, epoch))
        self.assertEqual(self.clock.now_ms() + FREE_TIMEOUT_MS + 70_000, until_ms)

    def test_nothing_is_freed_without_such_a_read(self):
        self.sweep(lambda: self.config.confirm(1, 99_000))
        self.assertEqual([], self.freed)

    def test_nothing_is_freed_if_the_read_shows_another_set(self):
        self.sweep(lambda: self.apply(2))
        self.assertEqual([], self.freed)

    def test_stores_are_not_swept_where_keys_are_accepted_by_a_stale_configuration(self):
        for is_strict, is_planned in ((False, False), (True, True)):
            self.config.set_revocation_bound(5_000, is_strict=is_strict)
            self.duty._plan_scopes(200_000)
            self.assertEqual(is_planned, bool(self.duty._plan_scopes(300_000)))
