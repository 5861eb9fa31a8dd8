from __future__ import annotations

import json
import unittest
from types import MappingProxyType

from bergamothill.clock import ManualClock
from bergamothill.errors import ProtocolError
from bergamothill.ids import BrandName, EntryInstanceId, ZoneName
from bergamothill.process.burn import (
    Alert,
    BurnLine,
    BurnReport,
    ObjectiveKind,
    build_burn_report,
    render_json,
    render_text,
)
from bergamothill.process.burnpage import render_html
from bergamothill.process.metrics import Recorder, StatsdMetrics, decode_snapshot, encode_snapshot
from bergamothill.version.config import BrandConfig, Configuration, ExceptionRecord, Objectives

HUTS = BrandName("huts")
ZONE = ZoneName("a")
HOUR_MS = 3_600_000
STRICT = ExceptionRecord("bench waits", Objectives(ttft_ms=100, ttft_share=0.9))
CONFIGURATION = Configuration(
    brands=MappingProxyType(
        {HUTS: BrandConfig(HUTS, exceptions=MappingProxyType({"objectives": STRICT}))}
    )
)


def line(report: BurnReport, kind: ObjectiveKind, brand: str = HUTS) -> BurnLine:
    return next(
        each
        for each in report.lines
        if each.brand == brand and each.zone == "*" and each.objective is kind
    )


class BurnTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(10 * HOUR_MS)
        self.recorders = [
            Recorder(EntryInstanceId(name), self.clock) for name in ("entry-1", "entry-2")
        ]

    def record(self, recorder: Recorder, count: int, ttft_ms: int) -> None:
        for _ in range(count):
            recorder.record_request(HUTS, ZONE, ttft_ms, 100, 1_000, True)

    def report(self) -> BurnReport:
        snapshots = [decode_snapshot(encode_snapshot(each.snapshot())) for each in self.recorders]
        expected = [EntryInstanceId(f"entry-{index}") for index in (1, 2, 3)]
        return build_burn_report(snapshots, expected, CONFIGURATION, self.clock.wall_ms())

    def test_merges_entries_under_the_brands_own_objective(self) -> None:
        self.record(self.recorders[0], 70, 50)
        self.record(self.recorders[1], 30, 200)
        first_token = line(self.report(), ObjectiveKind.FIRST_TOKEN)
        self.assertEqual((30, 100), (first_token.windows[0].bad, first_token.windows[0].total))
        self.assertAlmostEqual(3.0, first_token.windows[0].burn)
        fleet = line(self.report(), ObjectiveKind.FIRST_TOKEN, "*")
        self.assertEqual(0.0, fleet.windows[0].burn)
        recomputed = line(self.report(), ObjectiveKind.RECOMPUTED)
        self.assertAlmostEqual(0.5, recomputed.windows[0].burn)

    def test_fast_alert_ends_with_the_short_window(self) -> None:
        self.record(self.recorders[0], 100, 200)
        self.assertIs(Alert.FAST, line(self.report(), ObjectiveKind.FIRST_TOKEN).alert)
        self.clock.advance_ms(15 * 60_000)
        self.record(self.recorders[0], 100, 50)
        self.assertIs(Alert.SLOW, line(self.report(), ObjectiveKind.FIRST_TOKEN).alert)

    def test_old_buckets_are_merged_into_hours_and_expire_after_three_days(self) -> None:
        self.record(self.recorders[0], 10, 200)
        self.clock.advance_ms(6 * 60_000)
        self.record(self.recorders[0], 10, 200)
        self.clock.advance_ms(9 * HOUR_MS)
        self.record(self.recorders[0], 1, 50)
        windows = line(self.report(), ObjectiveKind.FIRST_TOKEN).windows
        self.assertEqual([1, 1, 1, 21], [window.total for window in windows])
        self.assertEqual(2, len(self.recorders[0].snapshot().rows))
        self.clock.advance_ms(80 * HOUR_MS)
        self.assertEqual((), self.report().lines)

    def test_the_snapshot_of_a_stopping_entry_is_merged(self) -> None:
        self.record(self.recorders[0], 5, 50)
        self.recorders[1].merge_snapshot(self.recorders[0].snapshot())
        self.assertEqual(5, self.recorders[1].snapshot().rows[0].requests)

    def test_each_format_names_missing_entries(self) -> None:
        self.record(self.recorders[0], 5, 50)
        report = self.report()
        self.assertEqual(("entry-3",), report.missing)
        self.assertIn("missing from this report: entry-3", render_text(report))
        self.assertEqual(["entry-3"], json.loads(render_json(report))["missing"])
        page = render_html(report)
        self.assertIn("Missing from this report: entry-3", page)
        self.assertIn("<svg", page)
        self.assertNotIn("http", page)

    def test_invalid_snapshots_raise_protocol_error(self) -> None:
        for encoded in (b"", b"[]", b'{"rows":[{}]}'):
            with self.assertRaises(ProtocolError):
                decode_snapshot(encoded)


class StatsdMetricsTests(unittest.TestCase):
    def test_labels_are_part_of_the_name(self) -> None:
        sent: list[str] = []

        class Sink:
            def incr(self, stat: str, count: int = 1) -> None:
                sent.append(f"{stat}={count}")

        StatsdMetrics(Sink(), ZoneName("nz.a")).incr("request", BrandName("kit makers"))
        self.assertEqual(["request.zone.nz_a.brand.kit_makers=1"], sent)
