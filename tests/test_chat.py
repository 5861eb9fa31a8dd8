import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamothill.connection.engine import EventKind, StreamEvent
from bergamothill.errors import InvalidRequestError
from bergamothill.request.chat import ChunkEncoder, Usage, parse_chat

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["model", "messages", "role", "content", "type", "stream", "n"]), inner
        )
    ),
    max_leaves=12,
)


def body(**changes):
    document = {"model": "m:a", "messages": [{"role": "user", "content": "hi"}], **changes}
    return json.dumps(document).encode()


class ParseChatTests(unittest.TestCase):
    def test_adapter_is_named_after_the_model(self):
        request = parse_chat(body(max_completion_tokens=7, stream=True))
        self.assertEqual(
            ("m", "a", 7, True),
            (
                request.model,
                request.adapter,
                request.max_tokens,
                request.is_stream,
            ),
        )

    def test_each_fault_is_a_typed_error(self):
        faults = [
            b"{",
            b"[]",
            b"[" * 100_000,
            body(messages=[]),
            body(messages=[{"role": "king", "content": "x"}]),
            body(messages=[{"role": "user", "content": 3}]),
            body(messages=[{"role": "user", "content": [{"type": "image_url"}]}]),
            body(model=3),
            body(max_tokens=0),
            body(max_tokens=True),
            body(stream="yes"),
            body(n=2),
        ]
        for fault in faults:
            with self.subTest(fault[:60]), self.assertRaises(InvalidRequestError):
                parse_chat(fault)

    @settings(derandomize=True, database=None, deadline=None, max_examples=300)
    @given(JSON)
    def test_no_json_raises_anything_else(self, document):
        try:
            parse_chat(json.dumps(document).encode())
        except InvalidRequestError:
            return


class ChunkEncoderTests(unittest.TestCase):
    def test_each_event_is_json_with_the_token_as_its_id(self):
        encoder = ChunkEncoder("r1", "m", 1, "tok")
        events = [
            StreamEvent(0, EventKind.START),
            StreamEvent(1, EventKind.TOKEN, text='quote " and\nline'),
            StreamEvent(2, EventKind.END, finish_reason="stop"),
        ]
        chunks = [encoder.encode(event, Usage(3, 2, 1)) for event in events]
        lines = [chunk.decode().split("\n") for chunk in chunks]
        self.assertEqual(["id: tok.0", "id: tok.1", "id: tok.2"], [line[0] for line in lines])
        documents = [json.loads(line[1].removeprefix("data: ")) for line in lines]
        self.assertEqual('quote " and\nline', documents[1]["choices"][0]["delta"]["content"])
        self.assertEqual(2, documents[2]["usage"]["prompt_tokens_details"]["cached_tokens"])
        self.assertTrue(chunks[2].endswith(b"data: [DONE]\n\n"))
