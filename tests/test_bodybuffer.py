"""Tests of the buffer for bodies and of its budget."""

import unittest

from bergamothill.errors import ProtocolError
from bergamothill.request.bodybuffer import MAX_BODY_BYTES, BodyBuffer
from bergamothill.request.bufferbudget import UNRESERVED_BYTES, BufferBudget


class BodyBufferTest(unittest.TestCase):
    def test_a_body_up_to_the_limit_is_kept_whole(self):
        buffer = BodyBuffer(BufferBudget(MAX_BODY_BYTES))
        for _ in range(8):
            buffer.append(b"x" * (MAX_BODY_BYTES // 8))
        self.assertEqual(b"x" * MAX_BODY_BYTES, buffer.content())
        with self.assertRaises(ProtocolError):
            buffer.append(b"x")

    def test_a_large_body_is_refused_while_others_hold_the_budget(self):
        budget = BufferBudget(100_000)
        first, second = BodyBuffer(budget), BodyBuffer(budget)
        first.append(b"x" * (UNRESERVED_BYTES + 100_000))
        with self.assertRaises(ProtocolError):
            second.append(b"x" * (UNRESERVED_BYTES + 1))
        first.clear()
        second.append(b"x" * (UNRESERVED_BYTES + 1))
        self.assertEqual(1, budget.reserved_bytes)

    def test_ordinary_bodies_do_not_depend_on_the_budget(self):
        buffer = BodyBuffer(BufferBudget(0))
        buffer.append(b"x" * UNRESERVED_BYTES)
        self.assertEqual(UNRESERVED_BYTES, len(buffer.content()))
