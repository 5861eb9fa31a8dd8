import unittest

from bergamothill.connection.engine import BlockRef
from bergamothill.request.placement import RESTORE_TIMEOUT_MS, restore_timeout_ms
from bergamothill.request.routing import EngineView

MB = 1_000_000


def view(link_bytes_per_s=100 * MB, link_queued_bytes=0, prefill_tokens_per_s=8_000):
    return EngineView(
        "e1", "zone-a", 0, 0, prefill_tokens_per_s, link_bytes_per_s, link_queued_bytes, 0
    )


def blocks(count):
    return [BlockRef(f"k{number}", "g", 2 * MB, "d", 2_000) for number in range(count)]


class RestoreBoundTests(unittest.TestCase):
    def test_stalled_import_costs_the_transfer_and_the_prefill_that_it_was_to_save(self):
        transfer_ms, prefill_ms = 3 * 20, 3 * 250
        timeout_ms = restore_timeout_ms(view(), blocks(3))
        self.assertGreater(timeout_ms, transfer_ms)
        self.assertLessEqual(timeout_ms, transfer_ms + prefill_ms + 100)

    def test_queue_on_the_link_is_waited_for(self):
        busy_view = view(link_queued_bytes=50 * MB)
        self.assertEqual(
            500, restore_timeout_ms(busy_view, blocks(1)) - restore_timeout_ms(view(), blocks(1))
        )

    def test_no_restore_takes_longer_than_the_protocol_allows(self):
        self.assertEqual(
            RESTORE_TIMEOUT_MS, restore_timeout_ms(view(link_bytes_per_s=1), blocks(3))
        )
