"""Tests of the exchange of loads by zone."""

import unittest

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from bergamothill.errors import ProtocolError
from bergamothill.process.loadreport import LoadReport, ServerLoad, decode_report, encode_report
from bergamothill.process.zonereport import (
    KIND,
    ZoneForward,
    ZoneHello,
    ZonePass,
    ZoneReport,
    ZoneSum,
    append_zone,
    decode_zone_message,
    encode_zone_message,
    is_zone_message,
    read_zone,
)
from tests.builders import server_pool
from tests.exchangecase import ExchangeCase
from tests.proof.harness import check_proof
from tests.proof.proof_zoneloads import PROOFS
from tests.proof.zoneworld import SERVERS, ZoneWorld

LOAD = ServerLoad(3, 12_000, 700)
STARTED_MS = 3_000
MESSAGES = (
    ZoneReport("e1", "z1", 2**63, {7: LOAD}),
    ZoneSum("e1", "z1", 2**63, 40, 9, (1, 2**32 - 1), (5, 6), b"abcd", (1, 2, 3)),
    ZoneSum("e1", "z1", 2**63, 40, 9, (), (), b"", (1, 2, 3)),
    ZoneForward("e1", ((20, b"x"), (0, b""))),
    ZoneHello("e1", "z1"),
    ZonePass("", (8,), b"\x00"),
)
cbor_values = st.recursive(
    st.none() | st.integers() | st.binary(max_size=9) | st.text(max_size=3) | st.floats(),
    lambda inner: st.lists(inner, max_size=8),
    max_leaves=12,
)


class ZoneMessageTest(unittest.TestCase):
    def test_messages_survive_the_round_trip(self):
        for message in MESSAGES:
            with self.subTest(type(message).__name__):
                datagram = encode_zone_message(message)
                self.assertTrue(is_zone_message(datagram))
                self.assertEqual(message, decode_zone_message(datagram))

    @given(st.integers(0, 6), st.lists(cbor_values, max_size=8) | cbor_values, st.binary())
    def test_invalid_datagrams_raise_only_protocol_errors(self, kind, body, raw):
        whole = cbor2.dumps([KIND, 1, "e1", kind, body])
        for datagram in (whole, whole[:-2], raw, encode_zone_message(MESSAGES[1])[:-3] + raw):
            try:
                decode_zone_message(datagram)
            except ProtocolError:
                continue

    @given(st.binary())
    def test_a_zone_appended_to_a_report_does_not_hide_it_from_former_builds(self, end):
        report = LoadReport("e1", 4, {"s1": LOAD})
        encoded = append_zone(encode_report(report), "zone-a")
        self.assertEqual((report, "zone-a"), (decode_report(encoded), read_zone(encoded)))
        self.assertIsNone(read_zone(encode_report(report)))
        read_zone(end + encoded[-4:])


class ZoneLoadsTest(unittest.TestCase):
    def world(self, *sizes, former=0):
        world = ZoneWorld(sizes, former=former)
        world.run_for(STARTED_MS)
        world.counted.clear()
        return world

    def seen_after_ms(self, world, instance, limit_ms):
        """Return the time after which all of the zone see the load, and all others."""
        world.set_load(instance, {SERVERS[0]: LOAD})
        started_ms, latest = world.now_ms, {}
        others = [each for each in world.live() if each is not instance]
        while len(latest) < len(others) and world.now_ms - started_ms < limit_ms:
            world.run_for(1)
            for each in others:
                if each.loads.load_on(SERVERS[0]) == LOAD:
                    latest.setdefault(each.peer.entry, world.now_ms - started_ms)
        self.assertEqual(len(others), len(latest), "not all see the load")
        is_inside = {each.peer.entry: each.peer.zone == instance.peer.zone for each in others}
        inside = max((ms for name, ms in latest.items() if is_inside[name]), default=0)
        return inside, max(latest.values())

    def test_loads_are_seen_within_their_bounds(self):
        """Guards against loads that reach other zones or large zones later than they may."""
        for sizes, inside_ms, all_ms in (((8, 8, 8, 9), 50, 128), ((75, 75), 296, 300)):
            world = self.world(*sizes)
            world.max_delay_ms = 1
            for number in range(0, len(world.instances), 11):
                instance = list(world.instances.values())[number]
                with self.subTest(sizes=sizes, instance=instance.peer.entry):
                    inside, outside = self.seen_after_ms(world, instance, 2 * all_ms)
                    self.assertLessEqual(inside, inside_ms + 3)
                    self.assertLessEqual(outside, all_ms)
                world.set_load(instance, {})
                world.run_for(700)

    def test_below_nine_instances_only_former_reports_are_sent(self):
        world = self.world(4, 4)
        sent = []
        world.arrive = lambda _receiver, datagram: sent.append(datagram)
        world.run_for(1_000)
        self.assertFalse([data for data in sent if is_zone_message(data) or read_zone(data)])

    def test_instances_that_are_not_registered_are_heard_in_sums(self):
        """Guards against the share of a limit being given away while its instance is alive."""
        world = self.world(5, 5)
        del world.registered["e0-0"]
        for each in world.live():
            world.update_peers(each)
        world.run_for(2_000)
        heard = world.instances["e4-1"].subject.take_heard(world.now_ms)
        self.assertIn("e0-0", heard)

    def test_other_datagrams_reach_all_once_by_few_between_zones(self):
        for former in (0, 2):
            for is_urgent, times, across in ((False, {1}, 3), (True, {1, 2}, 6)):
                with self.subTest(former=former, is_urgent=is_urgent):
                    world = self.world(8, 8, 8, 9, former=former)
                    sender = world.instances["e3-1"]
                    world.counted.clear()
                    world.pass_to_all(sender, b"other", is_urgent=is_urgent)
                    self.assertEqual(across, world.counted["across"])
                    world.run_for(40)
                    received = {len(each.passed) for each in world.live() if each is not sender}
                    self.assertEqual(times, received)

    def test_some_get_a_datagram_once_and_one_of_another_zone_its_repetition(self):
        """Guards against holders of the origin of a stream that are not told."""
        world = self.world(3, 3, 3)
        sender, chosen = world.instances["e0-0"], {"e1-0", "e1-1", "e2-1", "e0-2"}
        for is_repeat, expected in ((False, chosen), (True, {"e1-0", "e2-1"})):
            outgoing = sender.subject.passes.to_some(
                b"other", sorted(chosen), 1, is_repeat=is_repeat
            )
            world.send(sender, outgoing)
            world.run_for(40)
            reached = [name for name, each in world.instances.items() for _ in each.passed]
            self.assertEqual(sorted(expected), sorted(reached))
            for each in world.live():
                each.passed.clear()

    def test_a_relay_that_was_paused_passes_nothing_on(self):
        """Guards against limits and trials that are told anew after seconds."""
        world = self.world(5, 5)
        relay = world.relays("z1")[0]
        world.freeze(relay)
        sender = world.instances["e0-0"]
        world.pass_to_all(sender, b"other", is_urgent=True)
        world.run_for(600)
        for each in world.live():
            each.passed.clear()
        world.wake(relay)
        world.run_for(600)
        self.assertEqual([], [each for each in world.live() if each.passed and each is not relay])

    def test_proof(self):
        for proof in PROOFS:
            check_proof(self, proof, operations=600)


class ZoneExchangeTest(ExchangeCase):
    INSTANCES = 10

    async def test_loads_are_counted_over_sockets(self):
        self.peers = [
            type(peer)(peer.entry, peer.host, peer.port, f"z{number % 2}")
            for number, peer in enumerate(self.peers)
        ]
        pools = [server_pool() for _ in self.peers]
        for pool in pools:
            pool.own_loads = lambda: {"s1": ServerLoad(2, 20, 1)}
        carriers = [self.carrier(number, pool) for number, pool in enumerate(pools)]
        await self.start(
            *(c.run(peer.host, peer.port) for c, peer in zip(carriers, self.peers, strict=True))
        )
        expected = ServerLoad(18, 180, 9)
        await self.await_true(lambda: all(x.load_on("s1") == expected for x in self.loads))
