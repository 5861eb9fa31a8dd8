"""Tests of which requests a draining instance accepts."""

import unittest

from bergamothill.process.drainperiod import DrainPeriod

PERIOD = DrainPeriod(notice_ends_ms=2_800, ends_ms=7_300)


class DrainPeriodTest(unittest.TestCase):
    def test_streams_that_may_outlast_the_drain_are_refused_once_the_balancer_has_noticed(self):
        self.assertFalse(PERIOD.is_too_late(14_799, 2_799))
        self.assertTrue(PERIOD.is_too_late(14_800, 2_800))

    def test_streams_that_end_in_time_are_accepted(self):
        self.assertFalse(PERIOD.is_too_late(7_300, 4_800))

    def test_no_request_is_accepted_late_whose_answer_may_not_come_before_the_end(self):
        # LOST: plain requests were accepted until the end, whatever their time limit; those at work
        # at the end got 502, also those that may not be repeated.
        self.assertFalse(PERIOD.is_too_late(14_799, 2_799))
        self.assertFalse(PERIOD.is_too_late(7_300, 2_800))
        self.assertTrue(PERIOD.is_too_late(7_301, 2_800))
        self.assertTrue(PERIOD.is_too_late(7_301, 7_300))
