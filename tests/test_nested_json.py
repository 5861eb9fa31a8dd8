"""Tests of replies and stored entries whose JSON is nested too deeply to be decoded."""

import unittest

from bergamothill.connection.errorreply import raise_reply_error
from bergamothill.connection.http import HttpReply, decode_json
from bergamothill.connection.httpengine import _AnswerStreamReader
from bergamothill.errors import ProtocolError
from bergamothill.platform.fields import Fields

NESTED = b"[" * 100_000


class NestedJsonTest(unittest.TestCase):
    def test_in_a_reply(self):
        with self.assertRaises(ProtocolError):
            decode_json(HttpReply(200, body=NESTED), step="test", peer="p")

    def test_in_an_entry(self):
        with self.assertRaises(ProtocolError):
            Fields.from_json(NESTED, step="test")

    def test_in_the_body_of_a_failure(self):
        with self.assertRaises(ProtocolError):
            raise_reply_error(HttpReply(500, body=NESTED), step="test", peer="p")

    def test_in_an_event_of_a_stream(self):
        with self.assertRaises(ProtocolError):
            _AnswerStreamReader(lambda event: None, "test", "p").feed(b"data: " + NESTED + b"\n\n")
