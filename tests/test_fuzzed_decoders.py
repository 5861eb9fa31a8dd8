"""Tests that malformed messages of any kind give a typed error, and never any other one."""

import json
import math
import tempfile
import unittest
from pathlib import Path

import cbor2
from hypothesis import example, given, settings
from hypothesis import strategies as st

from bergamothill.connection.pollconnection import PollReply
from bergamothill.errors import BergamothillError, InvalidRequestError, ProtocolError, SettingsError
from bergamothill.platform.cachedcontext import decode_events
from bergamothill.platform.config import decode_config, decode_target
from bergamothill.platform.headers import decode_answer, decode_request
from bergamothill.platform.servers import decode_server
from bergamothill.platform.settings import load_node_settings
from bergamothill.platform.versionrecord import decode_record
from bergamothill.process.limitreport import (
    LimitReport,
    ReportedLimit,
    decode_limit_report,
    encode_limit_report,
)
from bergamothill.process.loadreport import LoadReport, ServerLoad, decode_report, encode_report
from bergamothill.process.originreport import (
    OriginNotice,
    OriginQuery,
    OriginReply,
    decode_origin_message,
    encode_origin_message,
)
from bergamothill.process.quarantinecodec import (
    decode_quarantine_report,
    decode_stored,
    encode_quarantine_report,
    encode_stored,
)
from bergamothill.process.registry import decode_peer
from bergamothill.request.blockbody import BlockBody
from bergamothill.request.callerrequest import RawRequest
from bergamothill.request.partquarantine import StoredQuarantine
from bergamothill.request.streamorigin import StreamKey, StreamOrigin
from tests import test_quarantinecodec
from tests.builders import NODE_SETTINGS, operator_config

WALL_MS = 1_700_000_000_000
DIGITS = "9" * 5_000
NESTED = b"\x81" * 5_000 + b"\x00"

ODD = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=4),
    st.binary(max_size=4),
    st.sampled_from((math.inf, -math.inf, math.nan, 10**400, -1, "\ud800", DIGITS, [], {}, [[]])),
)
TAGS = st.builds(cbor2.CBORTag, st.integers(0, 300), ODD)

ORIGIN = StreamOrigin(StreamKey("b1", "r1"), "llm", "v1", "s1", 1, 2)
STORED = StoredQuarantine(test_quarantinecodec.report().verdicts, (test_quarantinecodec.crash(),))
DATAGRAMS = (
    (decode_report, encode_report(LoadReport("e1", 7, {"s1": ServerLoad(1, 2, 3)}))),
    (
        decode_limit_report,
        encode_limit_report(LimitReport("e1", (ReportedLimit("s1", 1, 2.5, 3, 4),))),
    ),
    (decode_origin_message, encode_origin_message(OriginNotice("e1", (ORIGIN,)))),
    (decode_origin_message, encode_origin_message(OriginQuery("e1", 3, ORIGIN.key))),
    (decode_origin_message, encode_origin_message(OriginReply("e1", 3, ORIGIN, False))),
    (decode_quarantine_report, encode_quarantine_report(test_quarantinecodec.report())),
    (lambda value: decode_stored(value, WALL_MS), encode_stored(STORED, WALL_MS)),
    (lambda value: decode_peer("entries/zone-a/e1", value), cbor2.dumps(["e1", "10.0.0.1", 80])),
)
SERVER = {
    "address": "10.0.0.1:80",
    "service": "llm",
    "zone": "zone-a",
    "slots": 4,
    "state": "ready",
    "version": "v1",
    "born": 7,
    "models": [{"name": "m1", "version": 1}],
}
EVENTS = {"epoch": 1, "next": 2, "lost": False, "events": [[1, "+", "s", "p", 4, "m1"]]}
RECORD = {"era": 1, "settled": True, "services": {"llm": ["v1"]}, "routes": {"quote": ["llm"]}}
DOCUMENTS = (
    (lambda value: decode_server("servers/s1", value), SERVER),
    (decode_config, operator_config()),
    (decode_target, {"model": "m1", "version": 1}),
    (decode_record, RECORD),
    (lambda value: decode_events(PollReply(200, value)), EVENTS),
)


def replaced(value, number, odd):
    """Return a copy of a value in which one of its parts, by number, is an odd one."""
    count = 0

    def copy(part):
        nonlocal count
        count += 1
        if count == number:
            return odd
        if isinstance(part, dict):
            return {copy_key(key): copy(item) for key, item in part.items()}
        if isinstance(part, list):
            return [copy(item) for item in part]
        return part

    def copy_key(key):
        return key

    return copy(value)


def encodable(value):
    try:
        return cbor2.dumps(value)
    except (ValueError, cbor2.CBOREncodeError):
        return b""


class DatagramTest(unittest.TestCase):
    def assert_typed(self, decode, encoded):
        try:
            decode(encoded)
        except ProtocolError:
            return

    @settings(max_examples=800, deadline=None)
    @given(st.sampled_from(range(len(DATAGRAMS))), st.integers(1, 30), ODD | TAGS)
    def test_a_valid_message_with_one_odd_part(self, which, number, odd):
        decode, encoded = DATAGRAMS[which]
        self.assert_typed(decode, encodable(replaced(cbor2.loads(encoded), number, odd)))

    @settings(max_examples=800, deadline=None)
    @given(st.integers(0, 200), st.binary(max_size=5), st.integers(0, 4))
    def test_a_valid_message_with_other_bytes(self, at, inserted, dropped):
        for decode, encoded in DATAGRAMS:
            self.assert_typed(decode, encoded[:at] + inserted + encoded[at + dropped :])

    @settings(max_examples=800, deadline=None)
    @given(st.binary(max_size=60))
    @example(NESTED)
    @example(b"\x9b" + b"\x7f" + b"\xff" * 7)
    @example(b"\x83\x61e\x01\x9b" + b"\x7f" + b"\xff" * 7)
    @example(b"\x5b" + b"\x7f" + b"\xff" * 7)
    @example(b"\xd8\x1e\x82\x01\x00")
    @example(b"\xd8\x23\x61(")
    @example(b"\xa1\x81\x01\x01")
    @example(cbor2.dumps(["e1", "10.0.0.1", math.inf]))
    @example(cbor2.dumps(["e1", 1, [["s1", math.inf, 0, 0]]]))
    def test_raw_bytes(self, encoded):
        for decode, _ in DATAGRAMS:
            self.assert_typed(decode, encoded)


class DocumentTest(unittest.TestCase):
    @settings(max_examples=800, deadline=None)
    @given(st.sampled_from(range(len(DOCUMENTS))), st.integers(1, 90), ODD)
    def test_a_valid_document_with_one_odd_part(self, which, number, odd):
        decode, document = DOCUMENTS[which]
        if isinstance(odd, bytes):
            odd = odd.decode("latin-1")
        try:
            decode(json.dumps(replaced(document, number, odd)).encode())
        except BergamothillError:
            return
        except ValueError as error:
            self.assertIn("integer string conversion", str(error))  # of the encoder here

    @settings(max_examples=800, deadline=None)
    @given(st.binary(max_size=60))
    @example(b"[" * 50_000)
    @example(b'{"version":' + DIGITS.encode() + b"}")
    def test_raw_bytes(self, encoded):
        for decode, _ in DOCUMENTS:
            try:
                decode(encoded)
            except BergamothillError:
                continue

    @settings(max_examples=200, deadline=None)
    @given(st.integers(0, len(NODE_SETTINGS)), st.text(max_size=6), st.integers(0, 6))
    @example(0, "\x00", 0)
    def test_settings(self, at, inserted, dropped):
        text = NODE_SETTINGS[:at] + inserted + NODE_SETTINGS[at + dropped :]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "node.toml")
            path.write_bytes(text.encode("utf-8", "surrogatepass"))
            try:
                load_node_settings(str(path))
            except ExceptionGroup as group:
                self.assertIsNone(group.split(SettingsError)[1])


NAMES = st.sampled_from(
    (b"X-Token-Counts", b"X-Prompt-Prefix", b"X-Deadline-Milliseconds", b"Authorization")
    + (b"X-Weight-Versions", b"Retry-After", b"Server-Limit", b"Connection", b"X-Request-Id")
)
VALUES = st.binary(max_size=8) | st.sampled_from((DIGITS.encode(), b"1e400", b"\xb2", b"-1", b""))


class HeaderTest(unittest.TestCase):
    @settings(max_examples=800, deadline=None)
    @given(st.lists(st.tuples(NAMES, VALUES), max_size=5), st.integers(100, 599))
    @example([(b"X-Weight-Versions", DIGITS.encode())], 200)
    @example([(b"Retry-After", b"9" * 20)], 503)
    def test_fields_of_requests_and_answers(self, headers, status):
        decode_answer(status, headers)
        try:
            decode_request(RawRequest(b"POST", b"/quote/1", headers, BlockBody(), 0))
        except InvalidRequestError:
            return
