"""Tests of the instance list."""

import unittest
from dataclasses import replace

from bergamothill.clock import ManualClock
from bergamothill.connection.instancelist import (
    HttpInstanceList,
    Instance,
    InstanceKind,
    InstanceState,
    MemoryInstanceList,
    decode_instance,
    encode_instance,
)
from bergamothill.errors import ProtocolError
from scripts.processes import StandInProcess

ENGINE = Instance("e1", InstanceKind.ENGINE, "zone-a", "127.0.0.1:1", 1, InstanceState.LIVE)
BOOKING = replace(ENGINE, instance_id="b1", kind=InstanceKind.SERVICE, group="booking")


class MemoryInstanceListTest(unittest.TestCase):
    def test_changes_are_visible_after_the_lag(self):
        clock = ManualClock()
        instances = MemoryInstanceList([ENGINE], clock=clock, lag_ms=100)
        instances.register(replace(ENGINE, state=InstanceState.LEAVING))
        clock.advance_ms(50)
        instances.register(BOOKING)
        self.assertEqual((ENGINE,), instances.instances())
        clock.advance_ms(50)
        self.assertEqual(
            [InstanceState.LEAVING], [instance.state for instance in instances.instances()]
        )
        clock.advance_ms(50)
        instances.remove("e1")
        self.assertEqual(["b1", "e1"], [instance.instance_id for instance in instances.instances()])

    def test_malformed_instance_raises_protocol_error(self):
        for fields in ({}, None, {**encode_instance(ENGINE), "kind": "boat"}):
            with self.subTest(fields=fields), self.assertRaises(ProtocolError):
                decode_instance(fields, peer="list")


class HttpInstanceListTest(unittest.TestCase):
    def test_registered_instances_are_listed(self):
        with StandInProcess("instancelist") as standin:
            instances = HttpInstanceList(standin.client)
            for instance in (ENGINE, BOOKING):
                standin.json("PUT", f"/instances/{instance.instance_id}", encode_instance(instance))
            self.assertEqual((BOOKING, ENGINE), instances.instances())
            standin.json("DELETE", "/instances/e1")
            self.assertEqual((BOOKING,), instances.instances())
            standin.set_faults(lag_ms=60_000)
            self.assertNotIn(BOOKING, instances.instances())
