"""Tests of the answer relay and of the event stream splitter."""

import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamothill.connection.ssesplitter import MAX_EVENT_BYTES, EventSplitter
from bergamothill.errors import ProtocolError
from bergamothill.platform.headers import decode_answer
from bergamothill.request.answerrelay import AnswerRelay, AttemptVerdict
from bergamothill.request.bufferbudget import UNRESERVED_BYTES, BufferBudget

SIGNED = [(b"X-Request-Id", b"r1"), (b"X-Server-Signature", b"s"), (b"Connection", b"close")]


class Caller:
    def __init__(self):
        self.calls = []

    def send_response(self, status, headers, body):
        self.calls.append(("answer", status, headers, body))

    def start_chunked_response(self, status, headers, first):
        self.calls.append(("start", status, headers, first))

    def send_chunk(self, piece):
        self.calls.append(("send", piece))

    def end_chunked_response(self):
        self.calls.append(("end",))


class RelayTest(unittest.TestCase):
    def setUp(self):
        self.budget = BufferBudget(1_000_000)

    def relay(self, is_stream=True):
        self.caller = Caller()
        return AnswerRelay(
            self.caller,
            "r1",
            is_stream=is_stream,
            budget=self.budget,
            decode=decode_answer,
        )

    def test_whole_events_only(self):
        relay = self.relay()
        relay.on_head(200, SIGNED)
        relay.on_body(b"id: 1\ndata: a\n\nid: 2\nda")
        self.assertEqual("1", relay.last_event_id)
        self.assertFalse(relay.is_whole)
        self.assertEqual([("start", 200, SIGNED[:2], b"id: 1\ndata: a\n\n")], self.caller.calls)

    def test_unfinished_events_share_the_memory_for_unfinished_answers(self):
        # Each stream could hold an event of 256 KiB, whatever the others held.
        relays, refused = [self.relay() for _ in range(40)], 0
        for relay in relays:
            relay.on_head(200, SIGNED)
            try:
                relay.on_body(b"data: " + b"x" * 200_000)
            except ProtocolError:
                refused += 1
        self.assertEqual(40 - 1_000_000 // (200_006 - UNRESERVED_BYTES), refused)
        relays[0].on_body(b"\n\n")
        relay = self.relay()
        relay.on_head(200, SIGNED)
        relay.on_body(b"data: " + b"x" * 200_000)
        for each in (*relays, relay):
            each.discard_body()
        self.assertEqual(0, self.budget.reserved_bytes)

    def test_a_further_attempt_goes_on_under_the_head_of_the_first(self):
        relay = self.relay()
        relay.on_head(200, SIGNED)
        relay.on_body(b"id: 1\ndata: a\n\nid: 2\nda")
        relay.begin_attempt()
        relay.on_head(200, [(b"X-Request-Id", b"r1"), (b"X-Server-Signature", b"t")])
        relay.on_body(b"id: 2\ndata: b\n\n")
        relay.deliver()
        self.assertEqual([("send", b"id: 2\ndata: b\n\n"), ("end",)], self.caller.calls[1:])
        self.assertTrue(relay.is_whole)

    def test_an_answer_to_another_request_is_not_delivered(self):
        for headers in ([(b"X-Request-Id", b"r2"), SIGNED[1]], [SIGNED[0]], []):
            with self.subTest(headers):
                relay = self.relay()
                self.assertIsNone(relay.on_head(200, headers))
                self.assertIs(AttemptVerdict.UNVERIFIED, relay.verdict)
                self.assertEqual([], self.caller.calls)

    def test_refusals(self):
        for status, headers in ((503, [(b"X-Not-Executed", b"1")]), (421, [])):
            relay = self.relay()
            self.assertIsNone(relay.on_head(status, headers))
            self.assertIs(AttemptVerdict.NOT_RUN, relay.verdict)

    def test_a_server_s_failure_is_kept_until_it_is_delivered(self):
        relay = self.relay(is_stream=False)
        relay.on_head(500, SIGNED)
        relay.on_body(b"no")
        self.assertEqual([], self.caller.calls)
        relay.deliver()
        self.assertEqual([("answer", 500, SIGNED[:2], b"no")], self.caller.calls)

    def test_a_truncated_plain_answer_is_not_delivered(self):
        relay = self.relay(is_stream=False)
        relay.on_head(200, SIGNED)
        relay.on_body(b"half")
        self.assertEqual([], self.caller.calls)


class SplitterTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(st.sampled_from(["a", "b c", "id: no"]), min_size=1, max_size=6),
        st.sampled_from([b"\n", b"\r\n"]),
        st.lists(st.integers(1, 9), max_size=30),
    )
    def test_pieces_of_any_size_give_the_same_bytes(self, payloads, newline, sizes):
        events = [
            newline.join([b"id: %d" % n, b"data: " + p.encode(), b"", b""])
            for n, p in enumerate(payloads, 1)
        ]
        stream = b"".join(events)
        splitter, out, rest = EventSplitter(), b"", stream
        for size in [*sizes, len(stream)]:
            piece, rest = rest[:size], rest[size:]
            out += splitter.feed(piece)
            whole = [b"".join(events[:n]) for n in range(len(events) + 1)]
            self.assertIn(out, whole)
        self.assertEqual(stream, out)
        self.assertEqual(str(len(payloads)), splitter.last_event_id)
        self.assertFalse(splitter.has_partial_event)

    def test_an_event_that_arrives_byte_by_byte_takes_linear_time(self):
        splitter, started_s = EventSplitter(), time.process_time()
        for _ in range(MAX_EVENT_BYTES):
            splitter.feed(b"x")
        self.assertLess(time.process_time() - started_s, 2)
        with self.assertRaises(ProtocolError):
            splitter.feed(b"x")
