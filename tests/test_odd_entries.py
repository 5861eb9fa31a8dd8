"""Tests of entries of another writer among those of the servers."""

import json
import unittest
from unittest import mock

from bergamothill.connection.kvs import KeyValueEntry
from bergamothill.errors import ProtocolError
from bergamothill.platform.fields import MAX_INTEGER, MAX_NAME_CHARS
from bergamothill.platform.servers import MAX_SLOTS, decode_server
from bergamothill.process.prefixfollower import Snapshot
from tests.builders import caller_request, operator_config, routing_config
from tests.test_platform_node import NodeCase

HUGE = 10**400
GOOD = {
    "service": "bookings",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "born": 5,
}
ODD = (
    {"slots": HUGE},
    {"slots": -HUGE},
    {"slots": MAX_SLOTS + 1},
    {"born": HUGE},
    {"born": MAX_INTEGER + 1},
    {"models": [{"name": "m1", "version": HUGE}]},
    {"models": [{"name": "m" * (MAX_NAME_CHARS + 1), "version": 1}]},
    {"version": "v" * (MAX_NAME_CHARS + 1)},
    {"zone": "z" * 900_000},
    {"service": "s" * 900_000},
    {"address": "10.0.0.1:65536"},
    {"address": "10.0.0.1:0"},
    {"address": "10.0.0.1:" + "9" * 5_000},
)


def encode(changes):
    return json.dumps(GOOD | changes).encode()


class DecodeTest(unittest.TestCase):
    def test_figures_and_names_out_of_range_are_a_typed_error(self):
        for changes in ODD:
            with self.subTest(str(changes)[:60]), self.assertRaises(ProtocolError):
                decode_server("servers/s1", encode(changes))

    def test_figures_at_the_bounds_are_decoded(self):
        changes = {"slots": MAX_SLOTS, "born": MAX_INTEGER, "version": "v" * MAX_NAME_CHARS}
        self.assertEqual(MAX_SLOTS, decode_server("servers/s1", encode(changes)).slots)


class ListTest(NodeCase):
    """Instances that read an odd entry among the others, on their first list or a later one."""

    def setUp(self):
        super().setUp()
        self.node._context.listener = mock.Mock()

    def read(self, *entries):
        """Let the instance read a list of servers."""
        self.clock.advance_ms(900)
        written = [("s1", encode({})), ("s2", encode({"address": "10.0.0.2:80"})), *entries]
        entries = [KeyValueEntry(f"servers/{n}", v, 1) for n, v in written]
        self.node._apply_server_list(Snapshot(tuple(entries), self.clock.now_ms()))

    def serve(self):
        """Choose servers for some requests at the same time, of known duration."""
        now_ms, pool = self.clock.now_ms(), self.node._server_pool
        service = routing_config().services["bookings"]
        chosen = set()
        for _ in range(12):
            server, terms = pool.choose(service, caller_request(model=None), None, (), 0, now_ms)
            pool.request_started(server.server, 0, 0, now_ms)
            pool.record_service_time(server, terms, 40, now_ms)
            chosen.add(server.server)
        for server in list(chosen):
            for _ in range(12):
                pool.request_ended(server, 0)
        return chosen

    def test_requests_are_served_by_the_others(self):
        # LOST: slots of 400 digits do not fit into a float, so every request of the service failed.
        document = json.dumps(operator_config()).encode()
        self.node._operator.apply(Snapshot((KeyValueEntry("op/config", document, 1),), 0))
        odd = [(f"x{number}", encode(changes)) for number, changes in enumerate(ODD)]
        odd += [("deep", b"[" * 100_000), ("bytes", b"\xff\x00"), ("list", b"[]")]
        for entries in (odd, [], *([entry] for entry in odd)):
            self.read(*entries)
            with self.subTest(str(entries)[:60]):
                self.assertEqual({"s1", "s2"}, self.serve())

    def test_the_list_is_followed_beside_an_odd_entry(self):
        for name, value in (("deep", b"[" * 100_000), ("x", encode({"slots": HUGE}))):
            self.read((name, value))
            self.read((name, value), ("s3", encode({"address": "10.0.0.3:80"})))
            self.assertIsNotNone(self.node._server_pool.server_state("s3"))
