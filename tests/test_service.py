"""Tests of the clients of a plain service."""

import unittest
from dataclasses import replace

from bergamothill.connection.service import HttpPlainService, MemoryPlainService, ServiceCall
from bergamothill.errors import PeerTimeoutError, PeerUnreachableError
from scripts.processes import StandInProcess

CALL = ServiceCall("r1", "mend", "POST", "pickups?day=1", b"pack", "text/plain", "", 2_000)


class MemoryPlainServiceTest(unittest.TestCase):
    def test_repeated_call_runs_again(self):
        service = MemoryPlainService()
        self.assertEqual(200, service.call(CALL).status)
        service.call(CALL)
        self.assertEqual((CALL, CALL), service.effects)


class HttpPlainServiceTest(unittest.TestCase):
    def setUp(self):
        self.standin = StandInProcess("service", "--name", "booking")
        self.addCleanup(self.standin.stop)
        self.service = HttpPlainService(self.standin.client)

    def effects(self):
        return self.standin.json("GET", "/effects")

    def test_call_is_transmitted_completely_and_get_has_no_effect(self):
        self.assertEqual(201, self.service.call(replace(CALL, idempotency_key="k1")).status)
        self.assertEqual(200, self.service.call(replace(CALL, method="GET", body=b"")).status)
        (effect,) = self.effects()
        self.assertEqual(("r1", "mend", "k1"), tuple(effect.values())[:3])
        self.assertEqual(("POST", "pickups", "pack"), tuple(effect.values())[3:])

    def test_call_with_a_lost_reply_times_out_and_is_not_resent(self):
        self.standin.set_faults(path="/pickups", lose_reply=1)
        with self.assertRaises(PeerTimeoutError):
            self.service.call(CALL)
        self.assertEqual(1, len(self.effects()))

    def test_call_may_take_effect_after_the_timeout(self):
        self.standin.set_faults(path="/pickups", effect_delay_ms=100)
        with self.assertRaises(PeerTimeoutError):
            self.service.call(replace(CALL, timeout_ms=20))
        self.standin.set_faults()
        self.service.call(replace(CALL, request_id="r2", timeout_ms=5_000))
        self.assertIn("r2", [effect["request_id"] for effect in self.effects()])

    def test_refused_connection_raises_peer_unreachable(self):
        self.standin.stop()
        with self.assertRaises(PeerUnreachableError):
            self.service.call(CALL)
