"""Tests of the platform adapter: decoding of configuration, servers, requests and settings."""

import json
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamothill.errors import InvalidRequestError, ProtocolError, SettingsError
from bergamothill.platform.config import decode_config, decode_target
from bergamothill.platform.headers import decode_request, encode_forward
from bergamothill.platform.servers import decode_server
from bergamothill.platform.settings import is_node_settings, load_node_settings
from bergamothill.process.daemon import main
from bergamothill.request.blockbody import BlockBody
from bergamothill.request.callerrequest import ForwardTerms, RawRequest
from bergamothill.version.routetable import RetryPolicy, RouteTable
from tests.builders import NODE_SETTINGS, operator_config, routing_config, server_entry

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(sorted(operator_config()) + ["name"]), inner, max_size=4)
    ),
    max_leaves=12,
)

INVALID_ADDRESSES = (
    "nowhere",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:" + 5_000 * "1",
    "127.0.0.1:٨٠",
    "a..b:80",
    "localhost:80",
    "127.0.0.1.5:80",
    ":80",
)


class ConfigTest(unittest.TestCase):
    def test_decodes_routes_services_stores_and_keys(self):
        config = routing_config()
        quote, book, public = config.routes
        self.assertEqual(7, config.version)
        self.assertEqual(RetryPolicy.STREAM, quote.retry_policy)
        self.assertTrue(quote.may_retry)
        self.assertFalse(book.may_retry)
        self.assertEqual([90, 10], [share.weight for share in public.shares])
        self.assertEqual({"llm", "bookings"}, set(config.services))
        self.assertEqual(["127.0.0.1:19001"], [store.address for store in config.stores])
        self.assertEqual("kowhai", config.brands["key-2"].name)
        self.assertTrue(config.brands["key-3"].is_isolated)
        self.assertEqual(4096, config.limits.header_bytes)

    def test_route_with_the_longest_prefix_is_found(self):
        table = RouteTable(routing_config())
        self.assertEqual("book", table.find("desk.example", "/book/x").name)
        self.assertEqual("open", table.find("DESK.example:80", "/book/open/x").name)
        self.assertIsNone(table.find("other.example", "/book/x"))
        self.assertIsNone(table.find("desk.example", "/booking/"))

    def test_unknown_route_kind_is_rejected(self):
        routes = operator_config()["routes"]
        routes[0]["kind"] = "other"
        with self.assertRaises(ProtocolError):
            routing_config(routes=routes)

    def test_text_that_utf_8_does_not_have_is_a_protocol_error(self):
        with self.assertRaises(ProtocolError):
            routing_config(tenants=[{"name": "\ud800", "apiKeys": ["key-1"]}])

    def test_numbers_that_are_not_finite_are_protocol_errors(self):
        for text in ("Infinity", "-Infinity", "NaN", "1" + 400 * "0"):
            encoded = json.dumps(operator_config()).replace(
                '"timeoutMs": ', f'"timeoutMs": {text}, "x": ', 1
            )
            with self.subTest(text[:20]), self.assertRaises(ProtocolError):
                decode_config(encoded.encode())

    def test_decodes_a_weight_goal(self):
        target = decode_target(b'{"model": "m1", "version": 3}')
        self.assertEqual(("m1", 3), (target.model, target.version))

    @settings(max_examples=300, deadline=None)
    @given(JSON_VALUES)
    def test_arbitrary_json_raises_only_protocol_error(self, value):
        for decode in (decode_config, decode_target):
            try:
                decode(json.dumps(value).encode())
            except ProtocolError:
                continue

    @settings(max_examples=200, deadline=None)
    @given(st.sampled_from(sorted(operator_config())), JSON_VALUES)
    def test_invalid_field_raises_only_protocol_error(self, name, value):
        try:
            routing_config(**{name: value})
        except ProtocolError:
            return


class ServerTest(unittest.TestCase):
    def decode(self, **changes):
        return decode_server("servers/i-1", json.dumps(server_entry(**changes)).encode())

    def test_decodes_a_server_entry(self):
        server = self.decode(state="draining")
        self.assertEqual("i-1", server.server)
        self.assertTrue(server.is_leaving)
        self.assertEqual({"m1": 1}, server.weights)
        self.assertEqual("v1", server.software_version)
        self.assertEqual(1_700_000_000_000, server.started_wall_ms)

    def test_invalid_server_entries_are_rejected(self):
        for changes in (
            {"state": "odd"},
            {"slots": "many"},
            {"service": None},
            {"version": None},
            {"version": 1},
            {"address": "nowhere"},
            *({"address": a} for a in INVALID_ADDRESSES),
            {"models": [{"name": "m1"}]},
        ):
            with self.subTest(changes), self.assertRaises(ProtocolError):
                self.decode(**changes)
        unversioned = server_entry()
        del unversioned["version"]
        for encoded in (b"\xff\xfe", json.dumps(unversioned).encode()):
            with self.assertRaises(ProtocolError):
                decode_server("servers/i-1", encoded)

    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(sorted(server_entry())), JSON_VALUES)
    def test_invalid_field_raises_only_protocol_error(self, name, value):
        try:
            self.decode(**{name: value})
        except ProtocolError:
            return


class RequestTest(unittest.TestCase):
    def test_the_stream_to_resume_is_decoded_and_forwarded_unchanged(self):
        field = (b"Resumes", b"r0")
        for headers, expected in (
            ([], ""),
            ([(b"Resumes", b"")], ""),
            ([field], "r0"),
            ([field, (b"resumes", b"r0")], "r0"),
            ([(b"Connection", b"resumes"), field], "r0"),
        ):
            with self.subTest(headers):
                request = decode_request(RawRequest(b"POST", b"/quote/1", headers, BlockBody(), 0))
                self.assertEqual(expected, request.resumes)
                terms = ForwardTerms("s1", 100, last_event_id="3")
                sent = b"".join(encode_forward(request, terms))
                self.assertEqual(
                    sum(name != b"Connection" for name, _ in headers),
                    sent.lower().count(b"\r\nresumes: "),
                )
        for other in (b"r1", b""):
            raw = RawRequest(b"POST", b"/quote/1", [field, (b"resumes", other)], BlockBody(), 0)
            with self.assertRaises(InvalidRequestError):
                decode_request(raw)


class SettingsTest(unittest.TestCase):
    def path(self, text):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(directory) / "node.toml"
        path.write_text(text, encoding="utf-8")
        return str(path)

    def test_loads_valid_settings(self):
        path = self.path(NODE_SETTINGS)
        self.assertTrue(is_node_settings(path))
        node = load_node_settings(path)
        self.assertEqual(
            ("front-a-1", 17700, 8000), (node.entry, node.peer_port, node.bounds.stop_grace_ms)
        )
        self.assertEqual(0, main(["--check", path]))

    def test_infinite_numbers_and_a_missing_port_range_are_faults(self):
        infinite = NODE_SETTINGS.replace("revokeMs = 5000", "revokeMs = inf")
        infinite = infinite.replace("budgetWindowS = 10", "budgetWindowS = nan")
        missing = "\n".join(
            line for line in NODE_SETTINGS.splitlines() if "internalPortRange" not in line
        )
        for text, keys in (
            (infinite, {"bounds.revokeMs", "bounds.budgetWindowS"}),
            (missing, {"internalPortRange"}),
        ):
            with self.assertRaises(ExceptionGroup) as caught:
                load_node_settings(self.path(text))
            self.assertEqual(keys, {fault.key for fault in caught.exception.exceptions})

    def test_all_faults_are_reported_together(self):
        text = NODE_SETTINGS.replace('"127.0.0.1:18005"', '"here"').replace("5000", '"soon"')
        with self.assertRaises(ExceptionGroup) as context:
            load_node_settings(self.path(text))
        keys = {fault.key for fault in context.exception.exceptions}
        self.assertEqual({"listenAddresses.front", "bounds.revokeMs"}, keys)
        self.assertTrue(
            all(isinstance(error, SettingsError) for error in context.exception.exceptions)
        )
        self.assertEqual(2, main(["--check", self.path(text)]))

    def test_recognizes_the_product_settings_layout(self):
        self.assertFalse(is_node_settings(self.path("[entry]\nid = 'x'\n")))
