"""Tests of rule RECOVER with entry instances as processes whose links to all servers are cut.

They guard against callers of an instance that reaches no server getting errors or no answer, while
other instances reach the servers.
"""

import asyncio
import random
import unittest

from scripts.platformfleet import FleetShape, PlatformFleet, RequestKind
from scripts.processes import ProcessGroup
from scripts.recoversoak import CALLERS, CutScope, Recovery
from standins.links import LinkState

CUT_S = 7.0

SHAPE = FleetShape(
    zones=("zone-a", "zone-b", "zone-c"),
    nodes=6,
    engines=3,
    plain_servers=3,
    kinds=(
        RequestKind("stream", "streaming", 6, 50, 30, 1_500, 300, is_resumable=True),
        RequestKind("order", "unsafe", 0, 45, 0, 1_500, 200),
        RequestKind("lookup", "safe", 0, 45, 0, 1_500, 200),
    ),
)


class RecoverTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        group = ProcessGroup()
        cls.addClassCleanup(group.__exit__)
        cls.fleet = PlatformFleet.start(group, SHAPE, has_links=True)

    def check(self, seed, scope, how):
        recovery = Recovery(self.fleet, random.Random(seed))
        (figures,) = asyncio.run(recovery.run(scope, how, 1, CUT_S, CALLERS))
        self.assertGreater(figures.others_tries, 30)
        self.assertGreaterEqual(figures.others_served, 0.95 * figures.others_tries, str(figures))
        self.assertFalse(figures.is_broken, str(figures))

    def test_callers_are_served_while_the_links_hang(self):
        self.check(1, CutScope.ONE_PER_ZONE, LinkState.HANG)

    def test_callers_are_served_while_the_links_are_reset_and_refused(self):
        self.check(2, CutScope.ZONE, LinkState.RESET)

    def test_callers_are_served_while_open_links_live_on_and_new_ones_are_refused(self):
        self.check(3, CutScope.ONE, LinkState.REFUSE)
