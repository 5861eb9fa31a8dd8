"""Tests of the CBOR form of quarantine reports and of stored verdicts."""

import unittest
from dataclasses import replace

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from bergamothill.connection.datagrams import MAX_DATAGRAM_BYTES
from bergamothill.errors import ProtocolError
from bergamothill.process.loadreport import LoadReport, ServerLoad, decode_report, encode_report
from bergamothill.process.quarantinecodec import (
    MAX_STORED_BYTES,
    decode_quarantine_report,
    decode_stored,
    encode_quarantine_report,
    encode_stored,
    is_quarantine_report,
)
from bergamothill.request.crashevidence import CrashReport, PartId, ReportId, ServerIncarnation
from bergamothill.request.partquarantine import (
    PeerTrial,
    QuarantineReport,
    ReportedCrash,
    StoredQuarantine,
    Verdict,
)

WALL_MS = 1_700_000_000_000


def parts(*names):
    return frozenset(PartId("m1", name) for name in names)


def crash_report(number=1, suspects=("a", "b")):
    server = ServerIncarnation("s1", 1_700_000_000_000)
    report_id, tried = ReportId("e1", number), parts(*suspects[:1])
    return CrashReport(report_id, f"r{number}", server, parts(*suspects), tried)


def crash(number=1, age_ms=100, suspects=("a", "b")):
    return ReportedCrash(crash_report(number, suspects), age_ms, parts("a"), parts("b"), False)


def report(**changes):
    values = {
        "entry": "e1",
        "sequence_number": 7,
        "crashes": (crash(),),
        "trials": (PeerTrial(parts("b"), "s2"), PeerTrial(parts("c"), None)),
        "verdicts": (Verdict(parts("d", "e"), 40, frozenset({crash_report(), crash_report(3)})),),
        **changes,
    }
    return QuarantineReport(**values)


class DatagramTest(unittest.TestCase):
    def test_round_trip(self):
        self.assertEqual(report(), decode_quarantine_report(encode_quarantine_report(report())))

    def test_the_two_kinds_of_datagrams_are_not_confused(self):
        load = encode_report(LoadReport("quarantine", 1, {"s1": ServerLoad(1, 2, 3)}))
        self.assertFalse(is_quarantine_report(load))
        encoded = encode_quarantine_report(report())
        self.assertTrue(is_quarantine_report(encoded))
        with self.assertRaises(ProtocolError):  # as a build without quarantine reads it
            decode_report(encoded)

    @given(st.binary(max_size=60))
    def test_invalid_datagrams_raise_only_protocol_errors(self, tail):
        encoded = encode_quarantine_report(report(crashes=()))
        for datagram in (tail, encoded[:12] + tail, encoded[: len(encoded) - len(tail)] + tail):
            try:
                decode_quarantine_report(datagram)
            except ProtocolError:
                continue

    def test_a_report_that_is_too_large_keeps_the_verdicts_and_the_newest_crashes(self):
        crashes = [crash(n, age_ms=n, suspects=(f"{n:x}" * 60,)) for n in range(1_000)]
        encoded = encode_quarantine_report(report(crashes=tuple(crashes)))
        self.assertLessEqual(len(encoded), MAX_DATAGRAM_BYTES)
        found = decode_quarantine_report(encoded)
        self.assertEqual(report().verdicts, found.verdicts)
        self.assertEqual(0, min(item.age_ms for item in found.crashes))
        self.assertEqual(len(found.crashes) - 1, max(item.age_ms for item in found.crashes))

    def test_verdicts_alone_are_cut_to_the_size_of_a_datagram(self):
        verdicts = tuple(Verdict(parts(f"{n}" * 50), n) for n in range(2_000))
        encoded = encode_quarantine_report(report(crashes=(), verdicts=verdicts))
        self.assertLessEqual(len(encoded), MAX_DATAGRAM_BYTES)
        self.assertEqual(verdicts[0], decode_quarantine_report(encoded).verdicts[0])

    def test_trials_of_parts_with_long_names_are_cut_to_the_size_of_a_datagram(self):
        trials = tuple(PeerTrial(parts(f"{n}" * 2_000), None) for n in range(100))
        encoded = encode_quarantine_report(report(trials=trials))
        self.assertLessEqual(len(encoded), MAX_DATAGRAM_BYTES)


class StoredQuarantineTest(unittest.TestCase):
    def decode(self, stored, passed_ms=0):
        return decode_stored(encode_stored(stored, WALL_MS), WALL_MS + passed_ms)

    def test_round_trip(self):
        verdict = Verdict(parts("a"), 40, frozenset({crash_report(3), crash_report(5)}))
        void = replace(crash(2), is_void=True)
        stored = StoredQuarantine((verdict,), (crash(), void))
        self.assertEqual(stored, self.decode(stored))

    def test_idle_time_and_age_go_on_while_stored(self):
        found = self.decode(StoredQuarantine((Verdict(parts("a"), 40),), (crash(),)), 1_000)
        self.assertEqual((1_040, 1_100), (found.verdicts[0].idle_ms, found.crashes[0].age_ms))

    def test_a_reader_whose_clock_is_behind_takes_all_as_new(self):
        found = self.decode(StoredQuarantine((Verdict(parts("a"), 0),), (crash(),)), -9_000)
        self.assertEqual((0, 0), (found.verdicts[0].idle_ms, found.crashes[0].age_ms))

    def test_the_stored_value_is_bounded(self):
        verdicts = tuple(Verdict(parts(f"{n}" * 100), n) for n in range(9_000))
        crashes = tuple(crash(n, suspects=(f"{n:x}" * 200,)) for n in range(2_000))
        encoded = encode_stored(StoredQuarantine(verdicts, crashes), WALL_MS)
        self.assertLessEqual(len(encoded), MAX_STORED_BYTES)
        self.assertIn(verdicts[0], decode_stored(encoded, WALL_MS).verdicts)

    def test_reports_that_an_earlier_build_stored_are_read(self):
        report_row = ["e1", 1, "r1", "s1", 1_700_000_000_000, [0, 1], [0]]
        encoded = cbor2.dumps([[[["m1", "a"], ["m1", "b"]], [report_row]], [[[], WALL_MS, [0]]]])
        expected = ReportedCrash(crash_report(), age_ms=0)
        self.assertEqual((expected,), decode_stored(encoded, WALL_MS).crashes)

    def test_an_earlier_build_reads_the_reports_as_a_verdict_on_no_parts(self):
        encoded = encode_stored(StoredQuarantine((), (crash(),)), WALL_MS)
        _, ((row_parts, time_ms, reports, *_),) = cbor2.loads(encoded)
        self.assertEqual(([], WALL_MS, [0]), (row_parts, time_ms, reports))

    @given(st.binary(max_size=60))
    def test_invalid_values_raise_only_protocol_errors(self, tail):
        encoded = encode_stored(StoredQuarantine((), (crash(),)), WALL_MS)
        for value in (tail, encoded[:12] + tail, encoded[: len(encoded) - len(tail)] + tail):
            try:
                decode_stored(value, WALL_MS)
            except ProtocolError:
                continue
