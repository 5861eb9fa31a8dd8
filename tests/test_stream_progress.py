"""Tests that the progress of a stream is its events by its own pauses, not its bytes."""

import contextlib
import time
import unittest

from bergamothill.connection.ssesplitter import has_event
from bergamothill.request.streamprogress import MIN_STALL_MS, STALL_FACTOR, StreamProgress
from tests.gatewayworld import PROMPT_HEADERS, STREAM_HEAD, GatewayCase, chunk, event, read_all
from tests.gatewayworld import request as encode_request

EVENTS = 4
TRICKLE_S = 0.05
PROMPT = encode_request(b"/quote/2f", headers=PROMPT_HEADERS + b"Connection: close\r\n").replace(
    b"X-Deadline-Milliseconds: 3000", b"X-Deadline-Milliseconds: 9000"
)


def sends(pieces, *, first=2, then=True):
    """Return the script of an engine that sends events, then other pieces for a long time."""

    def script(connection, data):
        head = data.partition(b"\r\n\r\n")[0].lower()
        number = int(head.partition(b"last-event-id: ")[2].partition(b"\r\n")[0] or 0)
        with contextlib.suppress(OSError):
            connection.sendall(STREAM_HEAD)
            is_first = number == 0
            for next_number in range(number + 1, EVENTS + 1):
                if is_first and next_number > first:
                    for _ in range(int(6 / TRICKLE_S)):
                        connection.sendall(chunk(pieces))
                        time.sleep(TRICKLE_S)
                connection.sendall(chunk(event(next_number)))
            connection.sendall(b"0\r\n\r\n")

    return script


class TrickleTest(GatewayCase):
    """A server that sends bytes but no events does not keep a stream from going on elsewhere."""

    def assert_goes_on(self, pieces):
        world = self.world(engines=[sends(pieces), sends(pieces)])
        started_s = time.monotonic()
        with world.connect() as connection:
            connection.sendall(PROMPT)
            received = read_all(connection)
        self.assertTrue(received.endswith(chunk(event(EVENTS)) + b"0\r\n\r\n"), received[-200:])
        self.assertLess(time.monotonic() - started_s, 4)
        self.assertEqual(2, len(self.sent()))

    def test_comments(self):
        self.assert_goes_on(b": alive\n\n")

    def test_single_bytes(self):
        self.assert_goes_on(b"x")


class ProgressTest(unittest.TestCase):
    def play(self, pauses_ms, event_gap_ms=300):
        """Return whether a stream ever counts as stalled before the last of its events."""
        progress, now_ms, stalled = StreamProgress(event_gap_ms), 0, False
        for pause_ms in pauses_ms:
            progress.record_event(now_ms)
            for _ in range(0, pause_ms, 100):
                now_ms += 100
                stalled |= progress.has_stalled(now_ms, is_unread=False)
        return stalled

    def test_a_slow_but_sound_stream_does_not_stall(self):
        self.assertFalse(self.play([1_500, 1_600, 5_900]))
        self.assertFalse(self.play([3_900], event_gap_ms=1_000))

    def test_a_pause_far_beyond_its_own_ones_is_a_stall(self):
        self.assertTrue(self.play([100, 200, MIN_STALL_MS]))
        self.assertTrue(self.play([1_000, STALL_FACTOR * 1_000]))

    def test_pauses_of_this_process_and_of_the_caller_do_not_count(self):
        progress = StreamProgress(300)
        progress.record_event(0)
        self.assertFalse(progress.has_stalled(100, is_unread=False))
        self.assertFalse(progress.has_stalled(5_000, is_unread=False))
        for now_ms in range(5_000, 9_000, 100):
            self.assertFalse(progress.has_stalled(now_ms, is_unread=True))

    def test_comments_are_no_events(self):
        self.assertFalse(has_event(b": alive\n\n:\r\n\r\n"))
        self.assertTrue(has_event(b": alive\n\ndata: x\n\n"))
