"""Tests of entry instances whose callers send a part that crashes each engine it runs on."""

import time

from bergamothill.process.quarantinegate import PEER_WRITE_DELAY_MS
from bergamothill.process.verdictstore import VERDICTS_KEY
from tests.builders import await_true
from tests.platformworld import CRASHING_PART, CRASHING_PARTS, PlatformWorldCase

STABILITY_WINDOW_S = 3.0
COUNTED_CRASHES = 5
MAX_SENT_AFTER_WINDOW = 3
MIN_SOUND_REQUESTS = 20
CALM_S = 2.0
CRASHING_S = 13.0
SOUND_GAP_S = 0.06
CRASHING_GAP_S = 0.4
PAUSE_S = 1.0


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
        late = [a for a in self.world.arrivals_of(CRASHING_PART) if a.at_s > limit_s]
        crashes = f"{len(self.world.crashes_s())} engines crashed"
        self.assertLessEqual(len(late), MAX_SENT_AFTER_WINDOW, crashes)

    def test_requests_that_share_all_but_the_crashing_part_are_served_meanwhile(self):
        calm = self.begun(until_s=self.calm_until_s)
        later = self.begun(from_s=self.last_counted_s + 2 * STABILITY_WINDOW_S)
        self.assertGreaterEqual(len(later), MIN_SOUND_REQUESTS)
        self.assertGreaterEqual(sum(later) / len(later), 0.5 * sum(calm) / len(calm))


class KnownVerdictTest(PlatformWorldCase):
    """Instances that were not running when a part was convicted, and a store that lost it."""

    def convict(self, part, nodes=(0, 1, 2)):
        """Let instances convict a part; return how many requests with it reached engines."""
        self.world.convict(part, nodes)
        name = part.encode()
        await_true(lambda: name in self.stored())
        return len(self.world.arrivals_of(part))

    def stored(self):
        entry = self.world.store.service.get(VERDICTS_KEY)
        return b"" if entry is None else entry.value

    def assert_refused(self, part, sent):
        for number in range(len(self.world.nodes)):
            outcome = self.world.ask((part,), node=number)
            self.assertEqual(503, outcome.status)
            self.assertIn(b"prompt_part_quarantined", outcome.answer)
        self.assertEqual(sent, len(self.world.arrivals_of(part)))

    def test_an_instance_that_was_paused_sends_no_request_that_came_meanwhile(self):
        part, paused = CRASHING_PARTS[1], self.world.nodes[2]
        paused.pause()
        try:
            sent = self.convict(part, nodes=(0, 1))
            self.world.ask_in_thread((part,), node=2)
            time.sleep(PAUSE_S)
        finally:
            paused.resume()
        self.world.finish_traffic()
        self.assertEqual(503, self.world.outcomes[-1].status)
        await_true(paused.is_ready)  # its configuration may have become outdated
        self.assert_refused(part, sent)

    def test_a_verdict_is_stored_again_after_the_store_lost_it(self):
        part, copy = CRASHING_PARTS[2], self.world.store.service.snapshot()
        sent = self.convict(part)
        time.sleep(2 * PEER_WRITE_DELAY_MS / 1_000)  # until no instance is about to write it anyway
        self.world.store.restore(copy)
        self.assertNotIn(part.encode(), self.stored())
        await_true(lambda: part.encode() in self.stored())
        self.assert_refused(part, sent)

    def test_instances_that_all_start_again_know_the_verdict_before_they_are_ready(self):
        part = CRASHING_PARTS[3]
        sent = self.convict(part)
        for node in self.world.nodes:
            node.kill()
        self.world.start_nodes()
        self.assert_refused(part, sent)
