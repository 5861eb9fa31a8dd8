import unittest

from bergamothill.connection.sse import SseEvent, SseParser, encode_sse

STREAM = encode_sse("one", event_id="1") + b": comment\n\n" + encode_sse("a\nb", name="note")
EVENTS = [SseEvent("1", "one"), SseEvent("", "a\nb", "note")]


class SseTests(unittest.TestCase):
    def parse(self, *chunks):
        parser = SseParser()
        return [event for chunk in chunks for event in parser.feed(chunk)]

    def test_reads_what_was_encoded(self):
        self.assertEqual(self.parse(STREAM), EVENTS)

    def test_any_split_gives_the_same_events(self):
        for line_end in (b"\n", b"\r\n", b"\r"):
            stream = STREAM.replace(b"\n", line_end)
            for position in range(len(stream)):
                with self.subTest(line_end=line_end, position=position):
                    # A final CR may be half of a CR LF, so that the next byte decides.
                    events = self.parse(stream[:position], stream[position:], b": end")
                    self.assertEqual(events, EVENTS)

    def test_text_beyond_ascii_may_be_split_inside_a_character(self):
        stream = encode_sse("Kōwhai")
        chunks = [stream[index : index + 1] for index in range(len(stream))]
        self.assertEqual(self.parse(*chunks), [SseEvent("", "Kōwhai")])

    def test_event_without_its_end_is_held_back(self):
        self.assertEqual(self.parse(b"data: half"), [])
