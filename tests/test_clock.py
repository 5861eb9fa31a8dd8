import unittest

from bergamothill.clock import ManualClock, SystemClock


class ManualClockTests(unittest.TestCase):
    def test_advances_only_when_told(self):
        clock = ManualClock(start_ms=5)
        clock.sleep_ms(10)
        clock.advance_ms(-3)
        self.assertEqual(clock.now_ms(), 15)


class SystemClockTests(unittest.TestCase):
    def test_never_goes_backwards(self):
        clock = SystemClock()
        before = clock.now_ms()
        self.assertGreaterEqual(clock.now_ms(), before)
