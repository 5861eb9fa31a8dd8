"""Tests of request bodies in blocks."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from bergamothill.request.blockbody import BLOCK_BYTES, BlockBody

PIECES = st.lists(st.integers(0, BLOCK_BYTES), max_size=6)


class BlockBodyTest(unittest.TestCase):
    @given(PIECES)
    def test_no_byte_is_lost_or_moved(self, sizes):
        body, whole = BlockBody(), b""
        for number, size in enumerate(sizes):
            piece = bytes([number]) * size
            body.append(piece)
            whole += piece
        blocks = body.blocks()
        self.assertEqual(whole, b"".join(blocks))
        self.assertEqual(len(whole), len(body))
        self.assertTrue(all(len(block) == BLOCK_BYTES for block in blocks[:-1]))
        self.assertGreaterEqual(body.memory_bytes, len(whole))

    def test_a_body_in_one_piece_is_not_copied(self):
        piece = b"x" * 1_000
        self.assertIs(piece, BlockBody(piece).blocks()[0])
