"""Tests of entry instances whose backend servers name a limit of requests a second."""

import time

from tests.platformworld import PlatformWorldCase

STABILITY_WINDOW_S = 3.0
WINDOW_S = 4.0
TOLD_S = 1.0
LIMIT_PER_S = 2.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
MIN_USED_SHARE = 0.7
SOUND_GAP_S = 0.025
CALM_S = 3.0
LIMITED_S = 11.0
LIFTED_S = 6.0


def most_in_window(arrivals_s, from_s):
    """Return the most arrivals in any window that ends later than a time."""
    counts = (
        sum(end_s - WINDOW_S < at_s <= end_s for at_s in arrivals_s)
        for end_s in arrivals_s
        if end_s > from_s
    )
    return max(counts, default=0)


class ServerLimitTest(PlatformWorldCase):
    """One of six engines names a limit far below its share of the traffic, then none."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        world = cls.world
        world.run_traffic(CALM_S, sound_gap_s=SOUND_GAP_S, crashing_gap_s=0)
        engine = world.engines[0]
        cls.named_s, engine.limit_per_s = time.monotonic(), LIMIT_PER_S
        world.run_traffic(LIMITED_S, sound_gap_s=SOUND_GAP_S, crashing_gap_s=0)
        cls.lifted_s, engine.limit_per_s = time.monotonic(), None
        world.run_traffic(LIFTED_S, sound_gap_s=SOUND_GAP_S, crashing_gap_s=0)
        world.finish_traffic()
        cls.arrivals_s = sorted(arrival.at_s for arrival in engine.arrivals)

    def limited_arrivals_s(self):
        return [at_s for at_s in self.arrivals_s if self.named_s + TOLD_S < at_s <= self.lifted_s]

    def test_all_instances_together_send_no_more_than_the_limit_that_a_server_names(self):
        most = most_in_window(self.limited_arrivals_s(), self.named_s + STABILITY_WINDOW_S)
        self.assertLessEqual(most, MAX_IN_WINDOW)

    def test_a_server_that_names_a_limit_gets_most_of_it(self):
        from_s = self.named_s + STABILITY_WINDOW_S
        sent = sum(at_s > from_s for at_s in self.limited_arrivals_s())
        self.assertGreaterEqual(sent, MIN_USED_SHARE * LIMIT_PER_S * (self.lifted_s - from_s))

    def test_requests_are_served_by_the_other_servers(self):
        self.assertEqual({200}, {outcome.status for outcome in self.world.outcomes})

    def test_a_limit_that_is_no_longer_named_ends(self):
        from_s = self.lifted_s + STABILITY_WINDOW_S
        sent = sum(at_s > from_s for at_s in self.arrivals_s)
        self.assertGreater(sent, 2 * LIMIT_PER_S * (LIFTED_S - STABILITY_WINDOW_S))
