"""Tests of the report of lost worth."""

import unittest

from scripts.account import format_page, format_text, late_share_floor, read_journal_entry

DIGEST = """day                  own/srv  score
quiet-1                 7/23   1.00  0.668
worth 0.668 = whole day 0.900 (weight 0.32)
  -0.0088  392.0 machine-seconds

class                asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
long-quote             110     681    169      25      5       10  0.600    213.9   3830.5

clients' zone        asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
zone-a                1888    1718    123       6     16       25  0.918     81.0   2083.1
"""
DAY = {
    "name": "quiet-1",
    "G": 0.668,
    "parts": [["whole day", 0.5, 0.9], ["worst windows", 0.5, 0.6]],
    "prices": [["orders", 1.0, 0.01], ["probes", 0.0, -0.0]],
    "by_class": [0.6, None, 0.9],
}


def make_account(digest=DIGEST):
    (account,) = read_journal_entry(
        {"site": "desk", "days": [DAY], "digest": digest}, {}, ("a", "b", "c")
    )
    return account


class AccountTest(unittest.TestCase):
    def test_loss_of_a_kind_is_split_by_cause(self):
        (kind,) = make_account().kinds
        self.assertEqual("long-quote", kind.kind)
        self.assertEqual((0.4, 0.25, 0.05), (kind.lost, kind.refused, kind.failed))
        self.assertAlmostEqual(0.1, kind.late)

    def test_kinds_come_from_the_sheet_without_a_table(self):
        self.assertEqual(["a", "c"], [kind.kind for kind in make_account(digest="").kinds])

    def test_losses_are_sorted_largest_first_and_zero_prices_are_omitted(self):
        self.assertEqual("worst windows", make_account().parts[0][0])
        self.assertAlmostEqual(0.2, make_account().parts[0][1])
        self.assertEqual((("orders", 0.01),), make_account().prices)

    def test_text_and_page_contain_every_kind_part_and_price(self):
        for shown in (format_text(make_account()), format_page([make_account()])):
            for name in ("long-quote", "worst windows", "orders"):
                self.assertIn(name, shown)
        self.assertNotIn("src=", format_page([make_account()]))

    def test_floor_is_the_share_that_an_idle_engine_answers_late(self):
        engine = {"setup_ms": 2.0, "first_ms": 5.0, "step_ms": 3.0, "prefill_tokens_per_ms": 100.0}
        prompt = {"mean": 1_000.0, "spread": 0.7, "max": 50_000.0}
        row = {"name": "k", "service": "llm", "stream": {"prompt_tokens": prompt}}
        services = [{"name": "llm", "model": "llm", "llm": engine}]
        shares = [
            late_share_floor({"services": services, "classes": [{**row, "aim_ms": aim_ms}]})["k"]
            for aim_ms in (9, 20, 5_000)
        ]
        self.assertEqual((1.0, 0.0), (shares[0], shares[2]))
        self.assertTrue(0.2 < shares[1] < 0.5)
