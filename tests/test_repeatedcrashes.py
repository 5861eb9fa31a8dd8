"""Tests of entry instances whose callers repeat a request that crashes each server that runs it."""

import time

from tests.platformworld import CRASHING_PATH, PlatformWorldCase

STABILITY_WINDOW_S = 3.0
COUNTED_CRASHES = 3
MAX_SENT_AFTER_WINDOW = 3
SOUND_SUBJECTS = 10
SOUND_GAP_S = 0.05
CRASHING_GAP_S = 0.7
TRAFFIC_S = 14.0
MIN_SERVED_SHARE = 0.9


class RepeatedCrashTest(PlatformWorldCase):
    """The same request comes at all instances in turn, beside sound ones on its route."""

    PLAIN = 4

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        world = cls.world
        started_s = time.monotonic()
        next_crashing_s = started_s + 1
        sent = 0
        while (now_s := time.monotonic()) < started_s + TRAFFIC_S:
            sent += 1
            world.ask_plain_in_thread(f"/poll/{sent % SOUND_SUBJECTS}")
            if now_s >= next_crashing_s:
                next_crashing_s += CRASHING_GAP_S
                world.ask_plain_in_thread(CRASHING_PATH)
            time.sleep(SOUND_GAP_S)
        world.finish_traffic()
        cls.counted_s = world.crashes_s()[:COUNTED_CRASHES][-1]

    def test_a_request_that_crashed_servers_is_not_sent_to_further_ones_while_it_comes(self):
        limit_s = self.counted_s + STABILITY_WINDOW_S
        arrivals = (arrival for server in self.world.plain for arrival in server.arrivals)
        late = [a for a in arrivals if a.path == CRASHING_PATH and a.at_s > limit_s]
        crashes = f"{len(self.world.crashes_s())} servers crashed"
        self.assertLessEqual(len(late), MAX_SENT_AFTER_WINDOW, crashes)

    def test_sound_requests_of_the_route_are_served_meanwhile(self):
        from_s = self.counted_s + 2 * STABILITY_WINDOW_S
        sound = [
            outcome.status == 200
            for outcome in self.world.outcomes
            if outcome.path != CRASHING_PATH and outcome.sent_s > from_s
        ]
        self.assertGreaterEqual(sum(sound), MIN_SERVED_SHARE * len(sound))
