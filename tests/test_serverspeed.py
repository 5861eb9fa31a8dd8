"""Tests of the estimates of the speed of servers, and of what callers get by them."""

import unittest
from dataclasses import replace

from bergamothill.request.serverspeed import (
    MIN_SERVICE_SAMPLES,
    SERVER_SAMPLE_TTL_MS,
    PromptWork,
    ServerSpeeds,
)
from tests.capacityload import STREAM_ROUTE, engine_world

LONG = replace(STREAM_ROUTE, target_ms=619)
SHORT = replace(STREAM_ROUTE, target_ms=308)


class ModelTest(unittest.TestCase):
    def setUp(self):
        self.speeds = ServerSpeeds()

    def record(self, count=128, server="s1", tokens_per_ms=20.0, factor=1.0, late_every=0):
        for n in range(count):
            work = PromptWork(500 + 97 * (n % 50), 300 * (n % 7), n % 11)
            took_ms = (work.tokens + work.beside_tokens) / tokens_per_ms
            took_ms = factor * (took_ms + 2.0 * (work.beside_requests + 1))
            if late_every and n % late_every == 0:
                took_ms += 3_000
            self.speeds.record_first_token("llm", (server, 1), work, took_ms, n)

    def first_ms(self, server="s1", now_ms=200):
        work = PromptWork(2_000, 1_000, 9)
        return self.speeds.engine("llm", (server, 1), now_ms).first_token_ms(work)

    def test_the_model_is_learned_and_late_answers_do_not_change_it(self):
        self.record(late_every=5)
        self.assertAlmostEqual(170, self.first_ms(), delta=17)

    def test_few_answers_do_not_change_what_is_assumed(self):
        self.record(MIN_SERVICE_SAMPLES - 1)
        self.assertEqual(35, self.first_ms())

    def test_a_new_incarnation_begins_with_the_speed_of_its_service(self):
        self.record()
        self.assertAlmostEqual(1, self.first_ms("s2") / self.first_ms("s1"), delta=0.01)

    def test_a_slow_server_is_told_from_the_others_until_its_answers_are_old(self):
        self.record()
        self.record(6, "s2", factor=2.5)
        self.assertAlmostEqual(2.5, self.first_ms("s2") / self.first_ms("s1"), delta=0.4)
        later_ms = SERVER_SAMPLE_TTL_MS + 10
        again = self.first_ms("s2", later_ms) / self.first_ms("s1", later_ms)
        self.assertAlmostEqual(1, again, delta=0.01)

    def test_one_late_answer_does_not_make_a_server_slow(self):
        self.record()
        self.record(1, "s2", factor=4)
        self.assertAlmostEqual(1, self.first_ms("s2") / self.first_ms("s1"), delta=0.05)

    def test_incarnations_that_ended_are_forgotten(self):
        self.record()
        self.record(6, "s2", factor=2.5)
        self.speeds.retain([("s1", 1)])
        self.assertAlmostEqual(1, self.first_ms("s2") / self.first_ms("s1"), delta=0.01)

    def test_time_in_a_slot_and_its_spread(self):
        self.assertIsNone(self.speeds.service_time("bookings"))
        for n in range(100):
            took_ms = 90 + n % 10 if n % 2 else 2 * (90 + n % 10)  # half find all slots taken
            beside = 3 if n % 2 else 11
            self.speeds.record_service_time("bookings", ("s1", 1), beside, 6, took_ms, n)
        time = self.speeds.service_time("bookings")
        self.assertAlmostEqual(95, time.median_ms, delta=2)
        self.assertAlmostEqual(98, time.late_ms, delta=2)
        for n in range(6):
            self.speeds.record_service_time("bookings", ("s2", 1), 0, 6, 200, n)
        self.assertEqual(200, self.speeds.slot_ms("bookings", ("s2", 1), 100))


class NeverLearns(ServerSpeeds):
    def record_first_token(self, *args):
        pass


def run_engines(speeds, *, slow=(), frozen_ms=None):
    """Return a world of engines of which two are slower, after 30 s of a quiet day."""

    def configure(instance):
        instance.pool.speeds = instance.pool.selector._speeds = speeds()

    world, engines = engine_world(configure=configure)
    for number in slow:
        engines[number].tokens_per_ms /= 2.5
    if frozen_ms is not None:
        world.at(frozen_ms, lambda: setattr(engines[0], "is_frozen", True))
        world.at(frozen_ms + 3_000, lambda: setattr(engines[0], "is_frozen", False))
    world.add_calls("long", LONG, 9, 30_000, prompt=(9_122, 2_870))
    world.add_calls("short", SHORT, 40, 30_000, prompt=(650, 177))
    world.run(30_000)
    return world


class LoadTest(unittest.TestCase):
    """Load: long and short prompts at six engines; some are slower than the others."""

    def good(self, world):
        return [world.good_share(kind, 10_000, 29_000) for kind in ("long", "short")]

    def test_callers_get_first_tokens_earlier_where_engines_differ(self):
        learned = self.good(run_engines(ServerSpeeds, slow=(0, 1)))
        assumed = self.good(run_engines(NeverLearns, slow=(0, 1)))
        self.assertGreater(learned[0], assumed[0])
        self.assertGreaterEqual(learned[1], assumed[1] - 0.01)

    def test_callers_lose_nothing_where_engines_are_equal(self):
        learned = self.good(run_engines(ServerSpeeds))
        assumed = self.good(run_engines(NeverLearns))
        for share, before in zip(learned, assumed, strict=True):
            self.assertGreaterEqual(share, before - 0.01)

    def test_an_engine_that_was_frozen_is_used_again(self):
        world = run_engines(ServerSpeeds, frozen_ms=12_000)
        first = world.good_share("short", 5_000, 12_000)
        self.assertGreaterEqual(world.good_share("short", 18_000, 29_000), first - 0.02)
