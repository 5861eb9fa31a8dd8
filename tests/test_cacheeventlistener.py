"""Tests of following cache events: sources that are full, lost and back."""

import asyncio
import json
import unittest
from unittest import mock

from bergamothill.clock import ManualClock, SystemClock
from bergamothill.connection.pollconnection import PollReply
from bergamothill.errors import PeerUnreachableError
from bergamothill.process import cacheeventlistener
from bergamothill.process.cacheeventlistener import (
    BEHIND_MS,
    FULL_SOURCE_RETRY_MS,
    HISTORIES_AT_A_TIME,
    LONG_POLL_MS,
    RECONNECT_DELAY_MS,
    CacheEventListener,
    poll_interval_ms,
)
from bergamothill.process.serversilence import STALL_SILENCE_MS
from bergamothill.version.cacheindex import CacheIndex

ADDRESS = "10.0.0.1:80"
SOURCES = [f"10.0.0.{n}:80" for n in range(12)]
EVENTS = PollReply(200, json.dumps({"epoch": 1, "next": 0, "lost": False, "events": []}).encode())
FULL = PollReply(429, b"{}")
LOST = PeerUnreachableError("refused", step="kept.events")


class ScriptedPolls:
    """Connection whose reads give scripted replies; the last one stops the listener."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.closed = 0

    async def read(self, request, *, step, timeout_ms, max_ms=None):
        if not self.replies:
            raise asyncio.CancelledError
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply

    def close(self):
        self.closed += 1


class ListenerTest(unittest.TestCase):
    def listen(self, *replies, instances=1):
        """Run the listener over the replies; return the delays in ms and the changes it told."""
        delays_ms, changes, self.full = [], [], []
        self.connection = ScriptedPolls(replies)

        async def sleep(duration_s):
            delays_ms.append(duration_s * 1_000)

        async def main():
            listener = CacheEventListener(
                CacheIndex(),
                ManualClock(0),
                lambda address, is_leaving: None,
                self.full.append,
                lambda address, is_connected: changes.append(is_connected),
            )
            listener.instance_count = instances
            await listener._listen(ADDRESS)

        with (
            mock.patch.object(cacheeventlistener, "PollConnection", lambda *_: self.connection),
            mock.patch.object(cacheeventlistener.asyncio, "sleep", sleep),
            self.assertRaises(asyncio.CancelledError),
        ):
            asyncio.run(main())
        return delays_ms, changes

    def test_a_source_with_all_the_readers_it_admits_is_left_alone_and_not_taken_for_lost(self):
        delays_ms, changes = self.listen(EVENTS, FULL, FULL)
        self.assertEqual([], changes)
        self.assertEqual(2, len(delays_ms))
        for delay_ms in delays_ms:
            self.assertGreaterEqual(delay_ms, FULL_SOURCE_RETRY_MS / 2)
        self.assertGreaterEqual(self.connection.closed, 2)
        self.assertEqual([ADDRESS, ADDRESS], self.full)

    def test_delays_are_spread(self):
        delays_ms, _ = self.listen(FULL, FULL, FULL, FULL)
        self.assertEqual(4, len(set(delays_ms)))

    def test_the_tries_of_all_instances_together_do_not_grow_with_their_number(self):
        # 74 instances without a place at 70 engines made 173 connections a second.
        for instances, factor in ((16, 1), (90, 90 / 16)):
            (delay_ms,), _ = self.listen(FULL, instances=instances)
            self.assertTrue(0.5 <= delay_ms / FULL_SOURCE_RETRY_MS / factor <= 1.5, delay_ms)

    def test_a_source_that_is_full_after_it_was_lost_is_back(self):
        _, changes = self.listen(LOST, FULL)
        self.assertEqual([False, True], changes)

    def test_many_sources_are_polled_less_often_but_before_they_count_as_silent(self):
        self.assertLessEqual(30 * 1_000 / poll_interval_ms(30), 125)
        self.assertLessEqual(34 * 1_000 / poll_interval_ms(34), 340)
        self.assertLess(poll_interval_ms(1_000), STALL_SILENCE_MS)

    def most_reads_at_a_time(self, index):
        """Return how many of twelve sources are read at the same time as they are followed."""
        reading, most = set(), []

        class History(ScriptedPolls):
            async def read(self, request, **_terms):
                if b"Wait-Ms: %d\r\n" % LONG_POLL_MS in request and len(most) >= 12:
                    await asyncio.sleep(60)
                reading.add(request)
                most.append(len(reading))
                await asyncio.sleep(0.01)
                reading.discard(request)
                body = {"epoch": 1, "next": 3_000, "lost": False, "events": []}
                return PollReply(200, json.dumps(body).encode())

        async def main():
            listener = CacheEventListener(
                index, SystemClock(), lambda *_: None, lambda *_: None, lambda *_: None
            )
            listener.follow(SOURCES)
            while len(most) < 12 or reading:
                await asyncio.sleep(0.01)
            listener.stop()

        with mock.patch.object(cacheeventlistener, "PollConnection", lambda *_: History(())):
            asyncio.run(asyncio.wait_for(main(), 5))
        return max(most)

    def test_histories_are_not_all_read_at_the_same_time(self):
        self.assertLessEqual(self.most_reads_at_a_time(CacheIndex()), HISTORIES_AT_A_TIME)

    def test_what_came_in_a_cut_is_not_all_read_at_the_same_time(self):
        for behind_ms, most in ((BEHIND_MS, HISTORIES_AT_A_TIME), (500, len(SOURCES))):
            index, now_ms = CacheIndex(), SystemClock().now_ms()
            for source in map(index.source, SOURCES):
                source.epoch, source.answered_ms = 1, now_ms - behind_ms
            self.assertLessEqual(self.most_reads_at_a_time(index), most)

    def test_a_lost_source_is_tried_again_soon(self):
        delays_ms, changes = self.listen(EVENTS, LOST, LOST, EVENTS)
        self.assertEqual([RECONNECT_DELAY_MS] * 2, delays_ms)
        self.assertEqual([False, True], changes)

    def test_a_source_that_was_lost_is_back_though_it_was_not_followed_meanwhile(self):
        changes = []

        async def main():
            listener = CacheEventListener(
                CacheIndex(),
                ManualClock(0),
                lambda address, is_leaving: None,
                lambda address: None,
                lambda address, is_connected: changes.append(is_connected),
            )
            for replies in ([LOST], [EVENTS]):
                self.connection = ScriptedPolls(replies)
                listener.follow([ADDRESS])
                while self.connection.replies:
                    await asyncio.sleep(0)
                await asyncio.sleep(0)
                listener.follow([])

        with mock.patch.object(cacheeventlistener, "PollConnection", lambda *_: self.connection):
            asyncio.run(main())
        self.assertTrue(changes[-1], changes)
