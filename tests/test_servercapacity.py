"""Tests of the capacity of servers, and of what callers get when it is short."""

import unittest
from dataclasses import replace

from bergamothill.process.servercapacity import ServerCapacity
from tests.builders import backend, caller_request, routing_config, server_pool
from tests.capacityload import PLAIN_ROUTE, STREAM_ROUTE, engine_world, plain_world

SUKSAWAT = replace(PLAIN_ROUTE, target_ms=385)
MTKVARI = replace(PLAIN_ROUTE, target_ms=408)


class NoCapacity(ServerCapacity):
    """Chooses by the number of requests that is known, and holds none."""

    def has_slot(self, state, traits, in_progress):
        return True

    def choose_plain(self, servers, usable, request, now_ms):
        def cost(state):
            reported = self._peer_loads.load_on(state.entry.server).in_progress
            return (state.in_progress + reported, state.entry.server)

        return min(servers, key=cost)


def turn_off(instance):
    pool = instance.pool
    pool.capacity = NoCapacity("zone-a", instance.loads, pool.speeds, instance.roster)
    pool.next_waiting_request = lambda _service: None


def run_plain(per_s, configure=None, *, many=False, burst_per_s=0, prepare=None):
    """Return a world after 12 s, the last 4 s of them perhaps with a burst."""
    if many:
        options = {"instances": 90, "work_ms": 80, "report_ms": 360}
    else:
        options = {"instances": 7, "work_ms": 90}
    world, servers = plain_world(configure=configure, **options)
    route = SUKSAWAT if many else MTKVARI
    world.add_calls("call", route, per_s, 12_000)
    if burst_per_s:
        world.add_calls("call", route, burst_per_s, 11_000, from_ms=8_000)
    if prepare is not None:
        prepare(world)
    world.run(14_000)
    return world, servers


def lose_reports(world):
    world.at(8_000, lambda: setattr(world.instances[0], "loses_reports", True))


def kill_one(world):
    world.at(8_000, lambda: setattr(world.instances[0], "is_dead", True))


class PlainServersTest(unittest.TestCase):
    """Load: calls at four plain servers with 6 slots each, which take 267 or 300 per second."""

    def compare(self, per_s, **options):
        """Return the share of calls in time and the rejections, with capacity on and off."""
        results = []
        for configure in (None, turn_off):
            world, servers = run_plain(per_s, configure, **options)
            results.append((world.good_share("call", 4_000), sum(s.rejected for s in servers)))
        return results

    def test_below_capacity_nobody_is_held_or_refused(self):
        for many in (False, True):
            world, servers = run_plain(221, many=many)
            self.assertEqual(0, sum(c.held_ms > 0 or bool(c.refusals) for c in world.calls))
            self.assertEqual(0, sum(server.rejected for server in servers))

    def test_old_reports_do_not_send_all_calls_to_one_server(self):
        (good, _), (before, _) = self.compare(221, many=True)
        self.assertGreaterEqual(good, before)
        self.assertGreater(good, 0.99)

    def test_in_a_burst_calls_wait_here_and_more_are_in_time(self):
        for many in (False, True):
            (good, rejected), (before, rejected_before) = self.compare(
                221, burst_per_s=130, many=many
            )
            self.assertGreater(good, before + 0.05)
            self.assertLess(rejected, rejected_before / 4)

    def test_callers_lose_nothing_where_reports_of_an_instance_are_lost(self):
        (good, _), (before, _) = self.compare(221, burst_per_s=80, prepare=lose_reports)
        self.assertGreaterEqual(good, before)

    def test_callers_lose_nothing_where_an_instance_is_killed(self):
        (good, _), (before, _) = self.compare(221, burst_per_s=80, prepare=kill_one)
        self.assertGreaterEqual(good, before)

    def test_servers_that_take_more_than_their_slots_are_used(self):
        """Guards against waits where the entries of servers name fewer slots than they have."""

        def prepare(world):
            for server in world.instances[0].servers.values():
                server.entry = replace(server.entry, slots=12)

        world, _ = plain_world(instances=7, work_ms=90)
        prepare(world)
        world.add_calls("call", MTKVARI, 440, 8_000)
        world.run(9_000)
        self.assertGreater(world.good_share("call", 2_000), 0.99)


class FastServersTest(unittest.TestCase):
    def test_servers_that_answer_within_the_resolution_of_the_clock_are_chosen(self):
        # LOST: the median of such answers is 0 ms, and every request of the service got 503 by a
        # division by it.
        pool = server_pool(backend("s1", service="bookings", weights={}))
        service = routing_config().services["bookings"]
        request = caller_request(model=None)
        for now_ms in range(60):
            server, terms = pool.choose(service, request, None, (), 0, now_ms)
            pool.request_started(server.server, 0, 0, now_ms)
            pool.record_service_time(server, terms, 0, now_ms)
            pool.request_ended(server.server, 0)
        self.assertEqual("s1", server.server)


class EnginesTest(unittest.TestCase):
    """Load: short prompts at two engines with 12 slots each."""

    def run_engines(self, per_s, configure=None):
        world, engines = engine_world(2, 7, slots=12, configure=configure)
        for engine in engines:
            engine.entry = replace(engine.entry, slots=12)
        world.add_calls(
            "short", replace(STREAM_ROUTE, target_ms=308), per_s, 15_000, prompt=(650, 177)
        )
        world.run(17_000)
        return world

    def test_below_capacity_nobody_is_held_or_refused(self):
        world = self.run_engines(18)
        self.assertEqual(0, sum(c.held_ms > 0 or bool(c.refusals) for c in world.calls))

    def test_prompts_beyond_the_slots_wait_here(self):
        good = self.run_engines(60).good_share("short", 3_000)
        before = self.run_engines(60, turn_off).good_share("short", 3_000)
        self.assertGreaterEqual(good, before)
