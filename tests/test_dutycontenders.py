"""Tests of which instances contend for the lease on a duty."""

import unittest

from bergamothill.clock import ManualClock
from bergamothill.process.dutycontenders import CONTENDERS, LIVE_MS, DutyContenders
from bergamothill.process.instanceroster import InstanceRoster

NAMES = [f"e{number}" for number in range(10)]
HEARD_MS = 20_000


class DutyContendersTest(unittest.TestCase):
    """Guards against a duty that nobody takes, and against all instances asking for it."""

    def setUp(self):
        self.clock = ManualClock(HEARD_MS)
        self.rosters = {}
        for name in NAMES:
            roster = self.rosters[name] = InstanceRoster(name)
            roster.set_registered(set(NAMES) - {name}, HEARD_MS)
            for other in set(NAMES) - {name}:
                roster.record_heard(other, HEARD_MS)

    def contending(self):
        return {
            name
            for name, roster in self.rosters.items()
            if DutyContenders(roster, "weights", self.clock).may_contend()
        }

    def test_only_the_first_contend_while_they_are_heard(self):
        self.assertEqual(CONTENDERS, len(self.contending()))

    def test_the_next_contend_when_the_first_are_silent(self):
        silent = self.contending()
        self.clock.advance_ms(LIVE_MS + 1_000)
        for name, roster in self.rosters.items():
            for other in set(NAMES) - silent - {name}:
                roster.record_heard(other, self.clock.now_ms())
        self.assertEqual(CONTENDERS, len(self.contending() - silent))

    def test_an_instance_that_hears_nobody_contends(self):
        self.clock.advance_ms(LIVE_MS + 1_000)
        self.assertEqual(set(NAMES), self.contending())
        alone = DutyContenders(InstanceRoster("e1"), "weights", self.clock)
        self.assertTrue(alone.may_contend())
