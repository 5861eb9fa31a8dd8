"""Tests of requests that are passed on through another entry instance: decisions and encoding."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from bergamothill.errors import ProtocolError
from bergamothill.platform.headers import decode_request
from bergamothill.platform.passing import (
    MAX_ADDED_BYTES,
    PASS_REFUSED,
    decode_passed_answer,
    encode_passed,
)
from bergamothill.process.reachmessages import (
    ReachQuery,
    ReachReply,
    decode_reach_message,
    encode_reach_query,
    encode_reach_reply,
    is_reach_message,
)
from bergamothill.process.registry import Peer
from bergamothill.request.blockbody import BlockBody
from bergamothill.request.callerrequest import RawRequest
from bergamothill.request.forwarding import AbortStream, Finish, Reason
from bergamothill.request.passedrequest import PassedRequest, PassOn
from bergamothill.request.windowedbudget import WindowedRetryBudget
from bergamothill.version.routetable import RetryPolicy
from tests.builders import route

PEERS = [Peer(f"e{n}", f"10.0.0.{n}", 7700, "a") for n in range(9)]
DUE_MS = 5_000


def choose(tried, _now_ms):
    return next((peer for peer in PEERS if peer.entry not in tried), None)


def passed(policy=RetryPolicy.IDEMPOTENT, *, slack=10.0, chooser=choose, **options):
    budget = WindowedRetryBudget(0.0, slack, 1_000, started_ms=-10_000)
    routed = route(retry_policy=policy, max_servers=2, is_resumable=True)
    return PassedRequest(routed, chooser, budget, 0.5, DUE_MS, **options)


class PassedRequestTest(unittest.TestCase):
    def test_instances_are_tried_in_turn_until_the_request_was_sent(self):
        state = passed(RetryPolicy.ONCE)
        entries = []
        step = state.begin(0)
        while isinstance(step, PassOn):
            self.assertEqual(DUE_MS, step.time_left_ms)
            entries.append(step.helper.entry)
            step = state.on_not_sent(0)
        self.assertEqual(["e0", "e1", "e2", "e3"], entries)
        self.assertEqual((503, Reason.NO_HELPER), (step.status, step.reason))
        self.assertGreater(step.retry_after_ms, 0)

    def test_without_an_instance_it_is_refused_at_once(self):
        step = passed(chooser=lambda _tried, _now_ms: None).begin(0)
        self.assertEqual(503, step.status)

    def test_a_lost_answer_of_a_request_that_may_run_once_is_an_unknown_outcome(self):
        state = passed(RetryPolicy.ONCE)
        state.begin(0)
        step = state.on_lost(0)
        self.assertEqual((502, None), (step.status, step.retry_after_ms))
        self.assertEqual(502, state.give_up(0, Reason.STOPPING).status)
        self.assertEqual(504, state.give_up(0, Reason.EXPIRED).status)

    def test_a_lost_answer_is_asked_for_once_more_if_the_route_and_the_budget_allow(self):
        state = passed()
        state.begin(0)
        self.assertEqual("e1", state.on_lost(0).helper.entry)
        self.assertEqual(502, state.on_lost(0).status)
        state = passed(slack=0.0)
        state.begin(0)
        self.assertEqual(Reason.BUDGET, state.on_lost(0).reason)

    def test_a_stream_that_has_begun_is_cut(self):
        state = passed(RetryPolicy.STREAM)
        state.begin(0)
        state.stream_started = True
        self.assertIsInstance(state.on_lost(0), AbortStream)

    def test_nothing_is_passed_on_at_the_deadline(self):
        self.assertEqual(Reason.EXPIRED, passed().begin(DUE_MS).reason)

    @given(st.booleans(), st.lists(st.sampled_from(["not_sent", "lost"])))
    def test_a_request_that_may_have_run_is_never_reported_as_not_run(self, has_run, ends):
        state = passed(may_have_run=has_run)
        step, may_have_run = state.begin(0), has_run
        for end in ends:
            if not isinstance(step, PassOn):
                break
            may_have_run |= end == "lost"
            step = state.on_lost(0) if end == "lost" else state.on_not_sent(0)
        if isinstance(step, Finish):
            self.assertEqual(may_have_run, step.status != 503)


class EncodingTest(unittest.TestCase):
    def request(self, *fields, method=b"POST", body=b"{}"):
        headers = [(b"Host", b"h"), (b"X-Request-Id", b"r1"), *fields]
        return decode_request(RawRequest(method, b"/a/b?c=%20d", headers, BlockBody(body), 0))

    def test_the_fields_of_the_caller_are_kept_but_those_of_its_connection(self):
        kept = [
            (b"authorization", b"Bearer k"),
            (b"X-Model", b"m1"),
            (b"X-Token-Counts", b"1,2"),
            (b"X-Prompt-Prefix", b"a:1"),
            (b"X-Hold", b"its own"),
            (b"Last-Event-Id", b"3"),
            (b"Resumes", b"r0"),
        ]
        dropped = [
            (b"Connection", b"x-mine, X-Model"),
            (b"X-Mine", b"1"),
            (b"Transfer-Encoding", b"chunked"),
            (b"Expect", b"100-continue"),
            (b"X-Deadline-Milliseconds", b"9000"),
        ]
        head, *body = encode_passed(self.request(*kept, *dropped), 1_234)
        first, *lines = head.split(b"\r\n")
        self.assertEqual(b"POST /a/b?c=%20d HTTP/1.1", first)
        expected = [b"Host: h", b"X-Request-Id: r1", *[b"%s: %s" % field for field in kept]]
        added = [b"X-Deadline-Milliseconds: 1234", b"Content-Length: 2", b"Connection: close"]
        self.assertEqual([*expected, *added, b"", b""], lines)
        self.assertEqual([b"{}"], body)
        self.assertLess(sum(map(len, added)), MAX_ADDED_BYTES)

    def test_a_request_without_a_body_has_no_length(self):
        head, *body = encode_passed(self.request(method=b"GET", body=b""), 0)
        self.assertNotIn(b"Content-Length", head)
        self.assertEqual([], body)

    def test_answers_are_of_a_server_or_of_the_instance(self):
        signed = [(b"X-Server-Signature", b"s"), (b"X-Request-Id", b"r1")]
        self.assertEqual("r1", decode_passed_answer("r1", 200, signed).request_id)
        other = [(b"X-Server-Signature", b"s"), (b"X-Request-Id", b"r2")]
        self.assertEqual("r2", decode_passed_answer("r1", 200, other).request_id)
        refusal = decode_passed_answer("r1", 503, [(b"Retry-After", b"1")])
        self.assertEqual(("r1", False), (refusal.request_id, refusal.is_not_executed))
        self.assertEqual([(b"Retry-After", b"1")], refusal.headers)
        self.assertTrue(decode_passed_answer("r1", 503, [(PASS_REFUSED, b"1")]).is_not_executed)
        signed_refusal = [*signed, (PASS_REFUSED, b"1")]
        self.assertFalse(decode_passed_answer("r1", 503, signed_refusal).is_not_executed)


class MessageTest(unittest.TestCase):
    def test_messages_are_decoded_as_they_were_sent(self):
        query, reply = ReachQuery("e1"), ReachReply("e2", True, False, 7, True)
        for message, datagram in (
            (query, encode_reach_query(query)),
            (reply, encode_reach_reply(reply)),
        ):
            self.assertTrue(is_reach_message(datagram))
            self.assertEqual(message, decode_reach_message(datagram))

    @given(st.binary(max_size=40))
    def test_other_bytes_are_a_protocol_error(self, data):
        prefix = encode_reach_query(ReachQuery("e1"))[:8]
        for datagram in (data, prefix + data):
            try:
                decode_reach_message(datagram)
            except ProtocolError:
                continue


if __name__ == "__main__":
    unittest.main()
