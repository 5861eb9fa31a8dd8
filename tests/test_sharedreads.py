"""Tests of shared reads: the election, the messages, the content and the exchange."""

import random
import unittest
from unittest.mock import Mock

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from bergamothill.clock import ManualClock
from bergamothill.connection.kvs import ABSENT, KeyValueEntry
from bergamothill.connection.kvs_memory import MemoryKeyValueService
from bergamothill.connection.storeera import StoreEra
from bergamothill.errors import PeerUnreachableError, ProtocolError
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.prefixfollower import PrefixFollower
from bergamothill.process.readcontent import (
    BUDGET_BURST_BYTES,
    NO_BASE,
    ContentBudget,
    decode_content,
    encode_content,
)
from bergamothill.process.readexchange import ReadExchange
from bergamothill.process.readmessages import (
    Confirmation,
    ContentPiece,
    ReadAnswer,
    ReadNotice,
    ReadQuery,
    WantedPrefix,
    decode_read_message,
    encode_read_message,
    is_read_message,
)
from bergamothill.process.readorder import AppliedRead
from bergamothill.process.readoutages import ReadOutages
from bergamothill.process.readtimes import ReadTimes
from bergamothill.process.registry import Peer, Registry
from bergamothill.process.sharedreads import FETCH_TIMEOUT_MS, SharedReads
from bergamothill.process.zonereaders import ReadRole, ZoneReaders
from tests.builders import server_pool
from tests.exchangecase import ExchangeCase

PREFIX = "op/"
TIMES = ReadTimes.of_bound(3_000)
NAMES = [f"e{number}" for number in range(6)]


def content(*values):
    return tuple(KeyValueEntry(f"op/{n}", v, n + 1) for n, v in enumerate(values))


class ZoneReadersTest(unittest.TestCase):
    def setUp(self):
        self.zones = {name: self.readers(name) for name in NAMES}
        self.ranking = self.zones["e0"].ranking

    def readers(self, own, names=NAMES):
        readers = ZoneReaders(own, "z")
        readers.set_times(PREFIX, TIMES)
        readers.set_peers(Peer(name, "h", 1, "z") for name in names if name != own)
        return readers

    def test_small_zones_and_instances_without_a_zone_read_for_themselves(self):
        self.assertIs(ReadRole.ALONE, self.readers("e0", ["e1"]).role(PREFIX, 0))
        other = ZoneReaders("e0", "z")
        other.set_times(PREFIX, TIMES)
        other.set_peers([Peer("e1", "h", 1), Peer("e2", "h", 1), Peer("e3", "h", 1, "y")])
        self.assertIs(ReadRole.ALONE, other.role(PREFIX, 0))

    def test_each_reads_until_it_hears_a_reader(self):
        last = self.zones[self.ranking[-1]]
        self.assertIs(ReadRole.ALONE, last.role(PREFIX, 0))
        last.record_confirmation(PREFIX, self.ranking[0], 0, 0)
        last.record_read(PREFIX, 0)
        self.assertIs(ReadRole.FOLLOWER, last.role(PREFIX, 0))
        self.assertIs(ReadRole.READER, self.zones[self.ranking[1]].role(PREFIX, 0))

    def test_others_take_over_in_turn_within_the_bound_and_stop_when_heard(self):
        taken_over_ms = []
        for name in self.ranking[2:]:
            readers = self.zones[name]
            readers.record_confirmation(PREFIX, self.ranking[0], 0, 0)
            readers.record_read(PREFIX, 0)
            taken_over_ms.append(
                next(ms for ms in range(3_000) if readers.role(PREFIX, ms) is ReadRole.TAKEOVER)
            )
        self.assertEqual(sorted(set(taken_over_ms)), taken_over_ms)
        self.assertEqual(TIMES.silence_ms, taken_over_ms[0])
        self.assertLessEqual(taken_over_ms[-1], TIMES.silence_ms + TIMES.spread_ms)
        first = self.zones[self.ranking[2]]
        first.record_confirmation(PREFIX, self.ranking[3], 2_000, 2_000)
        self.assertIs(ReadRole.TAKEOVER, first.role(PREFIX, 2_000))
        first.record_confirmation(PREFIX, self.ranking[1], 2_000, 2_000)
        first.record_read(PREFIX, 2_000)
        self.assertIs(ReadRole.FOLLOWER, first.role(PREFIX, 2_000))

    def test_the_next_in_rank_reads_at_once_when_a_read_failed(self):
        third, fourth = (self.zones[name] for name in self.ranking[2:4])
        for readers in (third, fourth):
            readers.record_confirmation(PREFIX, self.ranking[1], 0, 0)
            readers.record_read(PREFIX, 0)
            readers.record_failure(PREFIX, self.ranking[0], 10)
        self.assertIs(ReadRole.SUCCESSOR, third.role(PREFIX, 10))
        self.assertIs(ReadRole.FOLLOWER, fourth.role(PREFIX, 10))

    def test_the_times_fit_into_each_bound(self):
        for bound_ms in (1_000, 2_000, 3_000, 5_000):
            times = ReadTimes.of_bound(bound_ms)
            self.assertLess(times.silence_ms + times.spread_ms, bound_ms)
            self.assertLess(times.interval_ms, times.max_age_ms)


MESSAGES = (
    ReadNotice("e1", PREFIX, b"d"),
    ReadQuery("e1", 7, (WantedPrefix(PREFIX, b"d", b"f", (0, 2)),)),
    ReadAnswer("e1", 7, (Confirmation(PREFIX, 1, 2, 30, 20, b"d", None, False),)),
    ContentPiece("e1", PREFIX, b"d", NO_BASE, 0, 2, b"x"),
)


class MessageTest(unittest.TestCase):
    def test_round_trip(self):
        for message in MESSAGES:
            datagram = encode_read_message(message)
            self.assertTrue(is_read_message(datagram))
            self.assertEqual(message, decode_read_message(datagram))

    @given(st.sampled_from(MESSAGES), st.integers(0, 200), st.binary(max_size=8))
    def test_invalid_datagrams_raise_only_protocol_errors(self, message, at, noise):
        datagram = encode_read_message(message)
        for damaged in (datagram[:at] + noise + datagram[at + len(noise) :], noise):
            try:
                decoded = decode_read_message(damaged)
                reads = SharedReads("e0", "z", 1)
                reads.set_times(PREFIX, TIMES)
                reads.on_message(decoded, 0)
            except ProtocolError:
                continue

    @given(*2 * [st.dictionaries(st.text(max_size=3), st.binary(max_size=30_000), max_size=4)])
    def test_changes_lead_from_the_base_to_the_content(self, before, after):
        base, entries = (
            tuple(KeyValueEntry(key, values[key], 1) for key in sorted(values))
            for values in (before, after)
        )
        self.assertEqual(entries, decode_content(encode_content(entries, base), base))
        self.assertEqual(entries, decode_content(encode_content(entries, ()), ()))

    def test_the_content_that_a_reader_sends_is_bounded(self):
        budget, size = ContentBudget(), 8_000
        burst = sum(budget.try_spend(size, 1_000) for _ in range(100))
        later = sum(budget.try_spend(size, 1_000 + ms) for ms in range(0, 1_000, 10))
        self.assertLessEqual(burst * size, BUDGET_BURST_BYTES)
        self.assertLessEqual((burst + later) * size, BUDGET_BURST_BYTES + 250_000)
        self.assertGreater(later, 20)

    @given(st.binary(max_size=50))
    def test_malformed_content_raises_only_protocol_errors(self, piece):
        with self.assertRaises(ProtocolError):
            decode_content([piece], ())


class FetchTest(unittest.TestCase):
    """Guards against a follower that waits for content which never arrives."""

    def setUp(self):
        self.reads = {name: SharedReads(name, "z", 1_000) for name in NAMES}
        for name, reads in self.reads.items():
            reads.set_times(PREFIX, TIMES)
            reads.set_peers(Peer(other, "h", 1, "z") for other in NAMES if other != name)
            reads.on_read(PREFIX, content(b"a"), 1, 0, 1)
            reads.take_outgoing()
        ranking = self.reads["e0"].readers.ranking
        self.reader, self.follower = self.reads[ranking[0]], self.reads[ranking[-1]]

    def exchange(self, now_ms, loses=lambda message: False):
        """Deliver all messages and return what the follower applies."""
        applied = []
        pending = True
        while pending:
            pending = [
                (receiver, message)
                for reads in self.reads.values()
                for receivers, message in reads.take_outgoing()
                for receiver in receivers
                if not loses(message)
            ]
            for receiver, message in pending:
                result = self.reads[receiver].on_message(message, now_ms)
                applied += result if self.reads[receiver] is self.follower else []
        return applied

    def test_large_content_is_fetched_again_piece_by_piece(self):
        self.follower.tick(100)
        self.exchange(100)
        large = content(b"a", *random_values(20, 10_000))
        self.reader.on_read(PREFIX, large, 1, 200, 201)
        lost = {2, 5}

        def loses(message):
            is_lost = isinstance(message, ContentPiece) and message.index in lost
            lost.difference_update({message.index} if is_lost else ())
            return is_lost

        applied, now_ms = self.exchange(201, loses), 201
        while not applied and now_ms < 201 + FETCH_TIMEOUT_MS:
            now_ms += 50
            self.follower.tick(now_ms)
            applied = self.exchange(now_ms, loses)
        self.assertTrue(applied and set(applied[0].entries) == set(large))
        self.assertLessEqual(applied[0].sent_ms, 200)

    def test_an_instance_reads_itself_when_the_content_does_not_arrive(self):
        self.follower.tick(100)
        self.exchange(100)
        self.assertFalse(self.follower.should_read(PREFIX, 101))
        self.reader.on_read(PREFIX, content(b"b"), 1, 200, 201)
        for now_ms in range(201, 300 + FETCH_TIMEOUT_MS, 50):
            self.follower.tick(now_ms)
            self.exchange(now_ms, lambda message: isinstance(message, ContentPiece))
        self.assertTrue(self.follower.should_read(PREFIX, now_ms))
        self.follower.on_read(PREFIX, content(b"b"), 1, now_ms, now_ms + 5)
        self.assertFalse(self.follower.should_read(PREFIX, now_ms + 5))

    def test_a_late_answer_does_not_make_a_read_look_newer(self):
        self.follower.tick(100)
        query = next(m for _, m in self.follower.take_outgoing() if isinstance(m, ReadQuery))
        self.reader.on_message(query, 101)
        answer = next(m for _, m in self.reader.take_outgoing() if isinstance(m, ReadAnswer))
        (applied,) = self.follower.on_message(answer, 5_000) or [None]
        self.assertIsNone(applied)
        self.assertLessEqual(self.follower._prefixes[PREFIX].order.sent_ms, 0)


def random_values(count, size):
    """Return values that can't be compressed."""
    return [random.Random(number).randbytes(size) for number in range(count)]


class CountingService(MemoryKeyValueService):
    """Service that counts its scans, and rejects them while ``is_rejecting`` is set."""

    def __init__(self, clock):
        super().__init__(clock)
        self.scans, self.is_rejecting = 0, False

    def scan(self, prefix):
        self.scans += 1
        if self.is_rejecting:
            raise PeerUnreachableError("rejected", step="kvs.scan")
        return super().scan(prefix)


class ExchangeTest(ExchangeCase):
    """Three instances of one zone, with followers in their threads, on the loopback interface."""

    INSTANCES = 3

    async def test_a_follower_gets_changes_without_reading_and_reads_when_it_must(self):
        kvs = [CountingService(self.clock) for _ in self.peers]
        kvs[1]._entries = kvs[2]._entries = kvs[0]._entries
        peers = [Peer(peer.entry, peer.host, peer.port, "z") for peer in self.peers]
        snapshots, tasks, exchanges = [[] for _ in peers], [], []
        for number, peer in enumerate(peers):
            carrier = self.carrier(number, server_pool())
            era, metrics = StoreEra("store"), GatewayMetrics()
            exchange = ReadExchange(peer.entry, "z", self.clock, era, carrier, metrics)
            share = exchange.share(PREFIX, TIMES)
            follower = PrefixFollower(
                kvs[number],
                self.clock,
                PREFIX,
                TIMES.interval_ms,
                snapshots[number].append,
                lambda _is_connected: None,
                share=share,
            )
            exchange.set_peers(tuple(other for other in peers if other is not peer))
            tasks += [carrier.run(peer.host, peer.port), exchange.run()]
            exchanges.append(exchange)
            self.addCleanup(follower.stop)
            follower.start()
        await self.start(*tasks)
        ranking = exchanges[0]._reads.readers.ranking
        last = next(n for n, peer in enumerate(peers) if peer.entry == ranking[-1])
        await self.await_true(lambda: not exchanges[last].should_read(PREFIX))
        scans = kvs[last].scans
        kvs[0].put_if("op/1", b"x", expected=ABSENT)
        await self.await_true(lambda: snapshots[last][-1].entries)
        self.assertEqual(scans, kvs[last].scans)
        for number, service in enumerate(kvs):
            service.is_rejecting = number != last
        await self.await_true(lambda: kvs[last].scans > scans)


class RegistryTest(unittest.TestCase):
    """Guards against an instance that follows and loses its own registration."""

    def setUp(self):
        self.clock, self.seen = ManualClock(), []
        self.kvs = CountingService(self.clock)
        self.share = Mock(is_sharing=True, era=0)
        self.share.should_read.return_value = False
        own = Peer("e1", "10.0.0.1", 7700, "z")
        self.registry = Registry(self.kvs, self.clock, own, self.seen.append, self.share)

    def tell(self, entries, sent_ms):
        self.share.on_read(AppliedRead("entries/", entries, sent_ms, 0, "e2", False, True))

    def test_a_follower_renews_its_lease_and_does_not_list(self):
        for _ in range(20):
            self.registry._register_and_read_peers()
            self.clock.advance_ms(self.registry._wait_ms())
        self.assertEqual(0, self.kvs.scans)
        self.assertEqual(["entries/z/e1"], [entry.key for entry in self.kvs._entries.values()])

    def test_it_registers_again_when_a_later_read_lacks_it(self):
        self.clock.advance_ms(1_000)
        self.registry._register_and_read_peers()
        lease = self.registry._lease_id
        for sent_ms, is_new in ((999, False), (1_001, True)):
            self.tell((), sent_ms)
            self.registry._register_and_read_peers()
            self.assertIs(is_new, self.registry._lease_id != lease)

    def test_peers_come_from_the_reads_of_others(self):
        self.tell((KeyValueEntry("entries/z/e2", cbor2.dumps(["e2", "10.0.0.2", 7700]), 1),), 0)
        self.assertEqual([(Peer("e2", "10.0.0.2", 7700, "z"),)], self.seen)


class ReadOutagesTest(unittest.TestCase):
    """Guards against servers dropped after an outage that only the readers saw, or kept without."""

    def setUp(self):
        self.outages = ReadOutages()

    def test_an_outage_that_readers_told_of_is_known_when_the_next_read_succeeds(self):
        self.outages.record_failure(2_000)
        self.assertTrue(self.outages.on_own_read(4_000, 1_000, 1_400))
        self.assertEqual(4_000, self.outages.ended_ms)

    def test_a_reader_that_is_rejected_alone_makes_no_outage(self):
        self.outages.record_failure(2_000)
        self.assertFalse(self.outages.on_told_read(2_200, None, 1_000, 1_400))
        self.assertFalse(self.outages.on_own_read(9_000, 7_000, 1_400))

    def test_readers_that_stopped_make_no_outage(self):
        self.assertFalse(self.outages.on_own_read(4_000, 1_000, 1_400))
        self.assertIsNone(self.outages.ended_ms)

    def test_an_outage_told_by_two_readers_counts_once(self):
        self.assertTrue(self.outages.on_told_read(5_000, 4_900, 1_000, 1_400))
        self.assertFalse(self.outages.on_told_read(6_900, 5_100, 5_000, 1_400))
