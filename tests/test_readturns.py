"""Tests of connections that are read in turns."""

import asyncio
import unittest

from bergamothill.connection.readturns import ReadTurns


class Source:
    """Connection that always has bytes to read."""

    def __init__(self, turns):
        self.reads = 0
        self.is_paused = False
        self._turns = turns

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False
        self.reads += 1
        self._turns.wait(self)


class ReadTurnsTest(unittest.IsolatedAsyncioTestCase):
    async def test_one_connection_reads_in_each_turn_of_the_loop(self):
        turns = ReadTurns()
        sources = [Source(turns) for _ in range(5)]
        for source in sources:
            turns.wait(source)
        for turn in range(1, 21):
            await asyncio.sleep(0)
            self.assertLessEqual(sum(source.reads for source in sources), turn)
        self.assertLessEqual(max(s.reads for s in sources) - min(s.reads for s in sources), 1)
        self.assertGreater(sources[0].reads, 2)
