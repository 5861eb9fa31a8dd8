"""Tests of the account of callers' memory, and of which connections yield."""

import errno
import unittest
from unittest import mock

from bergamothill.clock import ManualClock
from bergamothill.connection.callerhttp import CallerConnection
from bergamothill.connection.callerintake import CallerIntake
from bergamothill.process.nodeintakes import max_caller_descriptors
from bergamothill.request.connectiontable import STALL_MS, ConnectionTable, Phase
from bergamothill.request.memoryaccount import (
    BYTES_PER_MB,
    Holding,
    MemoryAccount,
    Share,
    caller_memory_bytes,
)
from bergamothill.version.routetable import CallerLimits


class LingerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_caller_that_has_gone_does_not_make_the_end_of_its_connection_fail(self):
        handler = mock.Mock(intake=CallerIntake(ManualClock(0)))
        handler.is_draining.return_value = True
        handler.limits.return_value = CallerLimits()
        connection = CallerConnection(handler, ManualClock(0), lambda *_: None)
        transport = mock.Mock(**{"write_eof.side_effect": OSError(errno.ENOTCONN, "gone")})
        transport.get_write_buffer_size.return_value = 0
        connection.connection_made(transport)
        connection.send_response(200, [], b"")
        transport.abort.assert_called_once_with()
        connection.connection_lost(None)


class MemoryAccountTest(unittest.TestCase):
    def test_large_bodies_leave_room_to_answers_and_both_to_small_requests(self):
        account = MemoryAccount(1_000)
        taken = []
        for share in (Share.LARGE_BODIES, Share.ANSWERS, Share.SMALL):
            while account.try_take(10, share):
                taken.append(share)
        self.assertEqual([70, 15, 15], [taken.count(share) for share in Share])
        self.assertEqual(1_000, account.used_bytes)

    def test_a_holding_takes_all_or_nothing_and_gives_back(self):
        account = MemoryAccount(1_000)
        first, second = Holding(account), Holding(account)
        self.assertTrue(first.try_resize(800, Share.SMALL))
        self.assertFalse(second.try_resize(300, Share.SMALL))
        self.assertEqual((800, 0), (account.used_bytes, second.size_bytes))
        self.assertTrue(first.try_resize(500, Share.LARGE_BODIES))
        self.assertTrue(second.try_resize(300, Share.SMALL))
        first.release()
        second.release()
        self.assertEqual(0, account.used_bytes)

    def test_some_memory_is_for_callers_however_small_the_machine(self):
        for memory_mb in (1, 64, 100, 150, 300, 10_000):
            caller_bytes = caller_memory_bytes(memory_mb)
            self.assertTrue(0 < caller_bytes < memory_mb * BYTES_PER_MB)


class ConnectionTableTest(unittest.TestCase):
    def setUp(self):
        self.table = ConnectionTable()

    def next_to_yield(self, now_ms, *, is_large):
        return self.table.next_to_yield("asking", now_ms, is_large=is_large)

    def test_the_upload_with_the_least_progress_yields_once_it_has_stalled(self):
        for now_ms, name in enumerate(("a", "asking", "b", "a")):
            self.table.set_phase(name, Phase.UPLOADING, now_ms)
        self.assertIsNone(self.next_to_yield(STALL_MS + 1, is_large=True))
        self.assertEqual("b", self.next_to_yield(STALL_MS + 2, is_large=True))
        self.table.remove("b")
        self.assertEqual("a", self.next_to_yield(STALL_MS + 3, is_large=True))
        self.assertEqual(2, len(self.table))

    def test_small_requests_and_idle_connections_yield_to_small_ones_only(self):
        self.table.set_phase("idle", Phase.IDLE, 0)
        self.table.set_phase("small", Phase.RECEIVING, 0)
        self.assertIsNone(self.next_to_yield(STALL_MS, is_large=True))
        self.assertEqual("idle", self.next_to_yield(0, is_large=False))
        self.assertEqual("small", self.next_to_yield(STALL_MS, is_large=False))

    def test_a_request_in_progress_never_yields(self):
        self.table.set_phase("busy", Phase.ANSWERING, 0)
        for is_large in (False, True):
            self.assertIsNone(self.next_to_yield(10 * STALL_MS, is_large=is_large))

    def test_unused_connections_yield_their_descriptors_first(self):
        self.table.set_phase("stalled", Phase.RECEIVING, 0)
        self.table.set_phase("idle", Phase.IDLE, STALL_MS)
        self.table.set_phase("closing", Phase.CLOSING, STALL_MS)
        self.table.set_phase("busy", Phase.ANSWERING, 0)
        self.table.set_phase("asking", Phase.IDLE, STALL_MS)
        self.assertEqual(6, self.table.descriptors)
        closed = []
        while (found := self.table.next_to_close("asking", STALL_MS)) is not None:
            closed.append(found)
            self.table.remove(found)
        self.assertEqual(["closing", "idle", "stalled"], closed)

    def test_callers_have_descriptors_however_few_there_are(self):
        for descriptors, idle in ((64, 16), (700, 150), (4_100, 300), (1_048_576, 4_000)):
            found = max_caller_descriptors(descriptors, idle)
            self.assertGreater(found, 0)
            if descriptors >= 700:
                self.assertLess(found + idle + 200, descriptors)
