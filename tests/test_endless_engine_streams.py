"""Tests of answer streams of model engines that do not end where they should."""

import time
import unittest

from bergamothill.connection.engine import EventKind, StreamEvent
from bergamothill.connection.enginewire import encode_event
from bergamothill.connection.http import HttpClient
from bergamothill.connection.httpengine import HttpModelEngine
from bergamothill.errors import ProtocolError
from tests.gatewayworld import EndlessAnswer, ScriptedServer, chunk

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BLOCK = b"x" * 65_536
MAX_DURATION_S = 2.0

EVENTS = (
    StreamEvent(0, EventKind.START, weight_version="v1"),
    StreamEvent(1, EventKind.END, finish_reason="stop"),
)


class EndlessEngineStreamTest(unittest.TestCase):
    def resume(self, first, block):
        """Resume the stream of an engine; check that it ends soon, and return its events."""
        endless, events = EndlessAnswer(HEAD + first, block), []
        server = ScriptedServer(endless)
        self.addCleanup(server.close)
        engine = HttpModelEngine(HttpClient("e1", server.address))
        started_s = time.monotonic()
        try:
            engine.resume("s1", -1, events.append, idle_timeout_ms=1_000)
        finally:
            self.assertLess(time.monotonic() - started_s, MAX_DURATION_S)
            self.assertTrue(endless.was_closed.wait(1))
        return tuple(events)

    def test_an_endless_event_is_malformed(self):
        with self.assertRaises(ProtocolError):
            self.resume(chunk(encode_event(EVENTS[0]) + b"data: "), chunk(BLOCK))

    def test_bytes_after_the_final_event_end_the_stream(self):
        whole = chunk(b"".join(map(encode_event, EVENTS)))
        self.assertEqual(EVENTS, self.resume(whole, chunk(BLOCK)))

    def test_events_after_the_final_event_end_the_stream_in_time(self):
        late = StreamEvent(2, EventKind.TOKEN, "x" * 10_000)
        events = self.resume(chunk(b"".join(map(encode_event, EVENTS))), chunk(encode_event(late)))
        self.assertEqual((*EVENTS, late), events[:3])
        self.assertLess(len(events), 50)
