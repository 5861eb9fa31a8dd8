import unittest

from bergamothill.connection.sse import SseEvent, SseParser, encode_sse

STREAM = encode_sse("one", event_id="1") + b": comment\n\n" + encode_sse("a\nb", name="note")
EVENTS = [SseEvent("1", "one"), SseEvent("", "a\nb", "note")]


class SseTests(unittest.TestCase):
    def parse(self, *chunks):
        parser = SseParser()
        return [event for chunk in chunks for event in parser.feed(chunk)]

    def test_encoded_events_are_parsed(self):
        self.assertEqual(self.parse(STREAM), EVENTS)

    def test_chunk_boundaries_do_not_change_the_events(self):
        for line_ending in (b"\n", b"\r\n", b"\r"):
            stream = STREAM.replace(b"\n", line_ending)
            for position in range(len(stream)):
                with self.subTest(line_ending=line_ending, position=position):
                    # A final CR may be part of a CR LF, so another byte must follow it.
                    events = self.parse(stream[:position], stream[position:], b": end")
                    self.assertEqual(events, EVENTS)

    def test_multibyte_character_may_be_split_across_chunks(self):
        stream = encode_sse("Kōwhai")
        chunks = [stream[index : index + 1] for index in range(len(stream))]
        self.assertEqual(self.parse(*chunks), [SseEvent("", "Kōwhai")])

    def test_incomplete_event_is_not_returned(self):
        self.assertEqual(self.parse(b"data: half"), [])
