import unittest
from dataclasses import replace

from bergamothill.clock import ManualClock
from bergamothill.connection.bus import Scope
from bergamothill.connection.engine import EngineLoad, EngineState
from bergamothill.connection.instancelist import Instance, InstanceKind, InstanceState
from bergamothill.connection.memorybus import MemoryNetwork
from bergamothill.connection.outgoingqueue import OutgoingQueue
from bergamothill.connection.peerclock import PeerClock
from bergamothill.errors import PeerUnreachableError
from bergamothill.process.pollplan import PollPlan
from bergamothill.process.rendezvous import rendezvous
from bergamothill.process.serverpoll import ServerPoller
from bergamothill.process.servers import ServerTable
from tests.proof.harness import check_proof
from tests.proof.leavingworld import InlineExecutor
from tests.proof.proof_leaving import PROOFS
from tests.test_peer import Number

ENGINE = Instance("e1", InstanceKind.ENGINE, "a", "127.0.0.1:1", 1, InstanceState.LIVE)
BOOKING = Instance("s1", InstanceKind.SERVICE, "a", "127.0.0.1:2", 1, InstanceState.LIVE, "booking")
STORE = Instance("k1", InstanceKind.STORE, "a", "127.0.0.1:3", 1, InstanceState.LIVE)
LOAD = EngineLoad(0, 5, 1, 1_000, 1_000, 0, 0, EngineState(1, False, frozenset({"m:v"})))


class LeavingProofTests(unittest.TestCase):
    def test_leaving_servers(self):
        check_proof(self, PROOFS[0])


class ServerTableTests(unittest.TestCase):
    def setUp(self):
        self.table = ServerTable()
        self.table.apply_instance_list((ENGINE, BOOKING, STORE), 0, 0)

    def test_lists_servers_that_accept_work(self):
        self.assertEqual(self.table.services("booking"), (BOOKING,))
        self.assertEqual(self.table.services("other"), ())
        self.assertEqual(self.table.stores(), (STORE,))
        self.assertIsNone(self.table.engines()[0].load)

    def test_an_answer_expires_after_its_maximum_age(self):
        self.assertFalse(self.table.may_send("e1", 0))
        self.table.apply_engine_load("e1", LOAD, 0, 10)
        self.assertTrue(self.table.may_send("e1", 4_000))
        self.assertFalse(self.table.may_send("e1", 4_001))
        self.assertEqual(self.table.engines()[0].load, LOAD)

    def test_leaving_overrides_an_outdated_list_until_the_next_incarnation(self):
        self.table.apply_instance_list((replace(ENGINE, state=InstanceState.LEAVING),), 1, 1)
        self.table.apply_instance_list((ENGINE,), 2, 2)
        self.table.apply_engine_load("e1", LOAD, 3, 3)
        self.assertFalse(self.table.may_send("e1", 3))
        self.assertTrue(self.table.engines()[0].leaving)
        second = replace(LOAD, state=replace(LOAD.state, incarnation=2))
        self.table.apply_engine_load("e1", second, 4, 4)
        self.assertFalse(self.table.may_send("e1", 4))
        self.table.apply_instance_list((replace(ENGINE, incarnation=2),), 5, 5)
        self.table.apply_engine_load("e1", second, 5, 5)
        self.assertTrue(self.table.may_send("e1", 5))

    def test_list_and_server_number_incarnations_independently(self):
        own = replace(LOAD, state=replace(LOAD.state, incarnation=1_000))
        self.table.apply_engine_load("e1", own, 1, 1)
        self.assertTrue(self.table.may_send("e1", 1))
        self.table.apply_instance_list((replace(ENGINE, state=InstanceState.LEAVING),), 2, 2)
        self.assertFalse(self.table.may_send("e1", 2))
        self.table.apply_instance_list((replace(ENGINE, incarnation=2),), 3, 3)
        self.table.apply_engine_load("e1", own, 3, 3)
        self.assertTrue(self.table.may_send("e1", 3))
        leaving = replace(own, state=replace(own.state, leaving=True))
        self.table.apply_engine_load("e1", leaving, 4, 4)
        self.assertFalse(self.table.may_send("e1", 4))

    def test_an_unreachable_server_is_polled_again_before_use(self):
        self.table.apply_engine_load("e1", LOAD, 0, 0)
        self.table.mark_unreachable("e1")
        self.assertFalse(self.table.may_send("e1", 0))
        self.table.apply_engine_load("e1", LOAD, 1, 1)
        self.assertTrue(self.table.may_send("e1", 1))

    def test_an_unlisted_server_is_removed_once_it_stops_answering(self):
        self.table.apply_instance_list((), 1, 1)
        self.assertEqual(len(self.table.status(1)), 3)
        self.table.apply_instance_list((), 40_000, 40_000)
        self.assertEqual(self.table.status(40_000), ())


class FakeEngine:
    def __init__(self):
        self.calls = 0
        self.failure = None

    def load(self):
        self.calls += 1
        if self.failure:
            raise self.failure
        return LOAD


class FakeList:
    def instances(self):
        return (ENGINE, BOOKING)


class ServerPollerTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.network = MemoryNetwork()
        self.engine = FakeEngine()
        self.tables = {}
        self.pollers = {name: self.make(name) for name in ("a1", "a2")}

    def make(self, name):
        bus = self.network.join(name, "a")
        self.tables[name] = ServerTable()
        poller = ServerPoller(
            FakeList(),
            lambda instance: self.engine,
            bus,
            self.tables[name],
            self.clock,
            name,
            "a",
            pool=InlineExecutor(),
        )
        self.addCleanup(poller.close)
        return poller

    def run_cycle(self):
        for poller in self.pollers.values():
            poller.run_cycle()
        self.clock.advance_ms(250)

    def test_one_instance_polls_and_both_receive_the_result(self):
        for _ in range(8):
            self.run_cycle()
        before = self.engine.calls
        for _ in range(8):
            self.run_cycle()
        self.assertEqual(self.engine.calls - before, 4)
        now_ms = self.clock.now_ms()
        for table in self.tables.values():
            self.assertTrue(table.may_send("e1", now_ms))
            self.assertTrue(table.may_send("s1", now_ms))

    def test_confirm_marks_an_engine_that_does_not_answer(self):
        self.run_cycle()
        self.engine.failure = PeerUnreachableError("gone", step="engine.load", peer="e1")
        self.clock.advance_ms(60_000)
        self.assertFalse(self.pollers["a1"].confirm("e1"))
        self.assertFalse(self.tables["a1"].engines()[0].reachable)
        self.engine.failure = None
        self.assertTrue(self.pollers["a1"].confirm("e1"))


class PollPlanTests(unittest.TestCase):
    def test_the_second_in_rank_polls_when_the_first_does_not(self):
        live = tuple(f"a{n}" for n in range(8))
        first, second, *_ = rendezvous("e1", live)
        tick_ms = PollPlan(first, "a").tick_ms(live)
        self.assertTrue(PollPlan(first, "a").should_poll("e1", live, 0))
        self.assertFalse(PollPlan(second, "a").should_poll("e1", live, tick_ms))
        self.assertTrue(PollPlan(second, "a").should_poll("e1", live, 2 * tick_ms))

    def test_the_instance_list_is_read_in_turns(self):
        live = tuple(f"a{n}" for n in range(8))
        plans = [PollPlan(name, "a") for name in live]
        for slot in range(50):
            readers = [p.should_read_list(slot * 2_000, live, 0, 60_000) for p in plans]
            self.assertEqual(sum(readers), 1)
        self.assertTrue(all(p.should_read_list(0, live, 3_600, 60_000) for p in plans))


class RendezvousTests(unittest.TestCase):
    def test_removing_a_member_moves_only_its_own_keys(self):
        members = [f"m{n}" for n in range(9)]
        for key in map(str, range(200)):
            ranked = rendezvous(key, members)
            left = rendezvous(key, [m for m in members if m != "m4"])
            self.assertEqual([m for m in ranked if m != "m4"], list(left))


class PeerClockTests(unittest.TestCase):
    def test_a_delayed_report_is_not_considered_fresh(self):
        clock = PeerClock()
        self.assertIsNone(clock.to_local_ms(5, 5))
        clock.observe(echo_ms=100, echo_received_ms=9_100, now_ms=100)
        self.assertEqual(clock.to_local_ms(9_200, 60_000), 200 - 59_900 // 2_000)
        self.assertEqual(clock.to_local_ms(99_999, 60_000), 60_000)

    def test_an_echo_from_the_future_is_ignored(self):
        clock = PeerClock()
        clock.observe(echo_ms=101, echo_received_ms=0, now_ms=100)
        self.assertIsNone(clock.to_local_ms(5, 100))


class OutgoingQueueTests(unittest.TestCase):
    def test_the_oldest_droppable_frames_are_dropped_first(self):
        queue = OutgoingQueue(max_frames=3, max_bytes=10)
        self.assertTrue(queue.put(b"keep", droppable=False))
        self.assertTrue(queue.put(b"old", droppable=True))
        self.assertTrue(queue.put(b"new", droppable=True))
        self.assertTrue(queue.put(b"nxt", droppable=True))
        self.assertFalse(queue.put(b"too long by far", droppable=False))
        queue.close(discard=False)
        self.assertFalse(queue.put(b"x", droppable=True))
        self.assertEqual([queue.get() for _ in range(4)], [b"keep", b"new", b"nxt", None])


class MemoryBusTests(unittest.TestCase):
    def test_scopes_and_cuts(self):
        network = MemoryNetwork()
        buses = {name: network.join(name, name[0]) for name in ("a1", "a2", "b1")}
        received = []
        for name, bus in buses.items():
            bus.subscribe(Number, lambda sender, m, to=name: received.append(to))
        buses["a1"].publish(Number(1), Scope.ZONE)
        buses["a1"].publish(Number(1), Scope.EVERYWHERE)
        self.assertEqual(received, ["a2", "a2", "b1"])
        network.cut("a1", "a2")
        self.assertEqual(buses["a1"].live_peers(), ("a1",))
        with self.assertRaises(PeerUnreachableError):
            buses["a1"].request("a2", Number(1), timeout_ms=1)
