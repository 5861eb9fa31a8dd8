"""Tests of the limits that servers name: their decoding, and the order of what answers say."""

import unittest

from bergamothill.errors import ProtocolError
from bergamothill.platform.headers import decode_answer
from bergamothill.process.limitevidence import LimitEvidence, ServerLimit
from bergamothill.process.limitreport import (
    LimitReport,
    ReportedLimit,
    decode_limit_report,
    encode_limit_report,
    is_limit_report,
)
from bergamothill.request.callerrequest import RequestLimit
from tests.gatewayworld import GatewayCase, answer, replies, request


def decoded(*values):
    return decode_answer(200, [(b"Server-Limit", value) for value in values]).limit


class DecodeTest(unittest.TestCase):
    def test_an_answer_without_the_field_names_no_limit(self):
        self.assertIsNone(decoded())

    def test_decimal_numbers(self):
        cases = ((b"2.7", 2.7), (b" 4 ", 4.0), (b".5", 0.5), (b"0", 0.0), (b"1e2", 100.0))
        for value, expected in cases:
            with self.subTest(value):
                self.assertEqual(RequestLimit(expected), decoded(value))

    def test_values_that_are_no_rate_name_a_limit_that_cannot_be_read(self):
        for value in (b"nan", b"inf", b"-1", b"1e400", b"", b"x", b"1_0", b"1" * 50, b"\xb2"):
            with self.subTest(value):
                self.assertEqual(RequestLimit(None), decoded(value))

    def test_the_lowest_of_several_values_holds(self):
        self.assertEqual(RequestLimit(2.0), decoded(b"3", b"2"))
        self.assertEqual(RequestLimit(2.0), decoded(b"x, 2"))


class EvidenceTest(unittest.TestCase):
    def setUp(self):
        self.limit = ServerLimit()
        self.limit.apply(LimitEvidence(3.0, sent_ms=900, answered_ms=1_000))

    def test_an_answer_to_an_earlier_request_neither_lifts_nor_raises_the_limit(self):
        for per_s in (None, 9.0):
            self.assertFalse(self.limit.apply(LimitEvidence(per_s, 999, 1_200)))
        self.assertEqual(3.0, self.limit.per_s)

    def test_an_answer_to_a_later_request_lifts_or_raises_the_limit(self):
        self.assertTrue(self.limit.apply(LimitEvidence(9.0, 1_000, 1_200)))
        self.assertEqual(9.0, self.limit.per_s)
        self.assertTrue(self.limit.apply(LimitEvidence(None, 1_200, 1_300)))
        self.assertIsNone(self.limit.per_s)

    def test_a_lower_limit_holds_at_once(self):
        self.assertTrue(self.limit.apply(LimitEvidence(1.0, 100, 1_001)))
        self.assertEqual(1.0, self.limit.per_s)

    def test_an_answer_older_than_the_request_that_lifted_the_limit_does_not_bring_it_back(self):
        self.limit.apply(LimitEvidence(None, 1_100, 1_200))
        self.limit.apply(LimitEvidence(3.0, 900, 1_050))
        self.assertIsNone(self.limit.per_s)
        self.limit.apply(LimitEvidence(3.0, 1_150, 1_250))
        self.assertEqual(3.0, self.limit.per_s)

    def test_a_report_that_may_have_been_delayed_lifts_the_limit_later(self):
        evidence = LimitEvidence(None, 1_900, 2_000)
        self.assertFalse(self.limit.apply(evidence, delay_ms=1_000))
        self.assertTrue(self.limit.apply(evidence, delay_ms=900))

    def test_a_value_that_cannot_be_read_keeps_the_limit(self):
        self.limit.confirm(1_500)
        self.assertFalse(self.limit.apply(LimitEvidence(None, 1_400, 1_600)))
        self.assertEqual(3.0, self.limit.per_s)


class ReportCodecTest(unittest.TestCase):
    def test_a_report_is_decoded_as_it_was_encoded(self):
        rows = (ReportedLimit("s1", 7, 2.7, 300, 200), ReportedLimit("s2", 8, None, 30, 20))
        report = LimitReport("front-a-1", rows)
        datagram = encode_limit_report(report)
        self.assertTrue(is_limit_report(datagram))
        self.assertEqual(report, decode_limit_report(datagram))

    def test_what_is_no_report_is_a_protocol_error(self):
        rows = (ReportedLimit("s1", 7, float("nan"), 300, 200),)
        for datagram in (b"", b"\x84", encode_limit_report(LimitReport("a", rows)), b"\xff"):
            with self.subTest(datagram), self.assertRaises(ProtocolError):
                decode_limit_report(datagram)


def limited(value):
    return replies(answer(headers=b"X-Server-Signature: sig\r\nServer-Limit: " + value + b"\r\n"))


class GatewayLimitTest(GatewayCase):
    def limit(self, world):
        servers = [state.entry for state in world.server_pool.usable("bookings", 0)]
        return [world.server_pool.limits.limit_per_s(server) for server in servers]

    def test_the_limit_that_an_answer_names_is_known_after_it(self):
        world = self.world(plain=[limited(b"2.5")])
        world.exchange(request())
        self.assertEqual([2.5], self.limit(world))

    def test_an_answer_of_another_request_names_no_limit(self):
        foreign = answer(
            headers=b"X-Server-Signature: sig\r\nServer-Limit: 1\r\n", request_id=b"r9"
        )
        world = self.world(plain=[replies(foreign)])
        world.exchange(request())
        self.assertEqual([None], self.limit(world))
