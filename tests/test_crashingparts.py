"""Tests of entry instances whose callers send a part that crashes each engine it runs on."""

from tests.platformworld import CRASHING_PART, PlatformWorldCase

STABILITY_WINDOW_S = 3.0
COUNTED_CRASHES = 5
MAX_SENT_AFTER_WINDOW = 3
MIN_SOUND_REQUESTS = 20
CALM_S = 2.0
CRASHING_S = 13.0
SOUND_GAP_S = 0.06
CRASHING_GAP_S = 0.4


class CrashingPartTest(PlatformWorldCase):
    """Requests with the part come at all instances, beside sound ones that share all else."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        world = cls.world
        world.run_traffic(CALM_S, sound_gap_s=SOUND_GAP_S, crashing_gap_s=0)
        cls.calm_until_s = max(outcome.sent_s for outcome in world.outcomes)
        world.run_traffic(CRASHING_S, sound_gap_s=SOUND_GAP_S, crashing_gap_s=CRASHING_GAP_S)
        world.finish_traffic()
        cls.last_counted_s = world.crashes_s()[:COUNTED_CRASHES][-1]

    def begun(self, *, from_s=0.0, until_s=float("inf")):
        """Return for each sound request of a time span whether its answer began."""
        return [
            outcome.has_begun
            for outcome in self.world.outcomes
            if from_s < outcome.sent_s <= until_s and CRASHING_PART not in outcome.parts
        ]

    def test_a_part_that_crashed_engines_is_not_sent_to_further_ones_while_requests_come(self):
        limit_s = self.last_counted_s + STABILITY_WINDOW_S
        late = [a for a in self.world.crashing_arrivals() if a.at_s > limit_s]
        crashes = f"{len(self.world.crashes_s())} engines crashed"
        self.assertLessEqual(len(late), MAX_SENT_AFTER_WINDOW, crashes)

    def test_requests_that_share_all_but_the_crashing_part_are_served_meanwhile(self):
        calm = self.begun(until_s=self.calm_until_s)
        later = self.begun(from_s=self.last_counted_s + 2 * STABILITY_WINDOW_S)
        self.assertGreaterEqual(len(later), MIN_SOUND_REQUESTS)
        self.assertGreaterEqual(sum(later) / len(later), 0.5 * sum(calm) / len(calm))
