"""Tests of the header fields of requests on the platform."""

import unittest

from bergamothill.platform.headers import decode_request, encode_forward
from bergamothill.request.blockbody import BlockBody
from bergamothill.request.callerrequest import ForwardTerms, RawRequest


class ForwardTest(unittest.TestCase):
    def test_an_event_id_is_forwarded_with_the_bytes_of_the_caller(self):
        raw = RawRequest(b"GET", b"/quote/2f", [(b"Last-Event-Id", b"caf\xe9")], BlockBody(), 0)
        request = decode_request(raw)
        terms = ForwardTerms("s1", 100, brand="Rātā", last_event_id=request.last_event_id)
        lines = b"".join(encode_forward(request, terms)).split(b"\r\n")
        self.assertEqual(1, lines.count(b"Last-Event-Id: caf\xe9"))
        self.assertEqual(1, lines.count("X-Tenant: Rātā".encode()))


class PromptTest(unittest.TestCase):
    def test_counts_with_absurd_digits_are_malformed(self):
        for digits, is_valid in ((b"999999999", True), (b"9" * 10, False), (b"9" * 5_000, False)):
            headers = [(b"X-Token-Counts", digits + b",9"), (b"X-Prompt-Prefix", b"a:" + digits)]
            request = decode_request(RawRequest(b"POST", b"/quote/2f", headers, BlockBody(), 0))
            found = (request.prompt_tokens, request.max_output_tokens, len(request.parts))
            self.assertEqual((999_999_999, 9, 1) if is_valid else (0, 0, 0), found)
