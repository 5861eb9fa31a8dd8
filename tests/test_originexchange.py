"""Tests of how entry instances tell and ask each other where streams began."""

import asyncio
import unittest
from unittest import mock

import logbook
from hypothesis import given
from hypothesis import strategies as st

from bergamothill.process import originexchange
from bergamothill.process.loadreport import LoadReport, ServerLoad, encode_report
from bergamothill.process.originexchange import OriginExchange
from bergamothill.process.originrepeats import MAX_PENDING, REPEAT_DELAY_MS, OriginRepeats
from bergamothill.process.originreport import MAX_ORIGINS, OriginReply, encode_origin_message
from bergamothill.process.originsearch import OriginSearch, SearchOutcome
from bergamothill.request.streamorigin import StreamOrigins
from tests.builders import joined_roster, server_pool, stream_origin
from tests.exchangecase import ExchangeCase

ORIGIN = stream_origin()
ASKED = ("e1", "e2", "e3")
REPLIES = st.tuples(
    st.sampled_from((*ASKED, "not asked")),
    st.sampled_from([None, None, ORIGIN, stream_origin(version="v2"), stream_origin("r2")]),
    st.sampled_from([False, False, True]),
)
TELLS = st.tuples(
    st.integers(0, REPEAT_DELAY_MS),
    st.lists(st.sampled_from(ASKED), min_size=1, unique=True).map(tuple),
    st.integers(1, 2 * MAX_ORIGINS),
)


class OriginSearchTest(unittest.TestCase):
    @given(st.lists(REPLIES, max_size=8))
    def test_the_first_that_knows_ends_a_search_and_else_the_last_to_reply(self, replies):
        search, replied, expected = OriginSearch(ORIGIN.key), set(), (None, None)
        search.record_asked(ASKED)
        for entry, origin, is_ambiguous in replies:
            search.on_reply(OriginReply(entry, 1, origin, is_ambiguous), 10)
            is_for_it = entry in ASKED and origin != stream_origin("r2")
            if expected == (None, None) and is_for_it:
                replied.add(entry)
                if is_ambiguous:
                    expected = (SearchOutcome.AMBIGUOUS, None)
                elif origin is not None:
                    expected = (SearchOutcome.KNOWN, (origin, 8, entry))
                elif len(replied) == len(ASKED):
                    expected = (SearchOutcome.UNKNOWN, None)
            known = search.known
            found = known and (known.origin, known.age_ms, known.source)
            self.assertEqual(expected, (search.outcome, found))

    def test_what_was_told_here_meanwhile_counts_against_the_replies(self):
        for told, reply, expected in (
            (["v1"], None, SearchOutcome.KNOWN),
            (["v1", "v2"], ORIGIN, SearchOutcome.AMBIGUOUS),
            ([], ORIGIN, SearchOutcome.KNOWN),
        ):
            origins, search = StreamOrigins(), OriginSearch(ORIGIN.key)
            search.record_asked(["e1"])
            for version in told:
                origins.record(stream_origin(version=version), 0)
            search.on_reply(OriginReply("e1", 1, reply, False), 10)
            search.look_up(origins, 0)
            self.assertEqual(expected, search.outcome)
            self.assertEqual(expected is SearchOutcome.KNOWN, search.known is not None)


class OriginRepeatsTest(unittest.TestCase):
    @given(st.lists(TELLS, max_size=20))
    def test_each_receiver_is_told_each_origin_again_once_and_in_time(self, tells):
        repeats, now_ms, due, got = OriginRepeats(), 0, [], []

        def take():
            for notice in repeats.take_due(now_ms):
                self.assertLessEqual(len(notice.origins), MAX_ORIGINS)
                got.extend((entry, o) for entry in notice.entries for o in notice.origins)

        for step, (wait_ms, entries, number) in enumerate(tells):
            now_ms += wait_ms
            for origin in (stream_origin(f"r{step}-{n}") for n in range(number)):
                repeats.add(origin, entries, now_ms)
                due += [(now_ms + REPEAT_DELAY_MS, (entry, origin)) for entry in entries]
            take()
            self.assertCountEqual([told for due_ms, told in due if due_ms <= now_ms], got)
        now_ms += REPEAT_DELAY_MS
        take()
        self.assertCountEqual([told for _, told in due], got)
        self.assertTrue(repeats.is_empty)

    def test_what_waits_to_be_repeated_is_bounded(self):
        repeats = OriginRepeats()
        for number in range(2 * MAX_PENDING):
            repeats.add(stream_origin(f"r{number}"), ("e1",), 0)
        notices = list(repeats.take_due(REPEAT_DELAY_MS))
        self.assertEqual(MAX_PENDING, sum(len(notice.origins) for notice in notices))


class OriginExchangeTest(ExchangeCase):
    """Three instances, and one that is registered and silent."""

    INSTANCES = 3
    SILENT_INSTANCES = 1
    TIMES = {"ASK_AGAIN_MS": 300, "FIND_TIMEOUT_MS": 1_000}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.enterContext(mock.patch.multiple(originexchange, **self.TIMES))
        self.origins = [StreamOrigins() for _ in self.peers]
        self.exchanges, self.carriers, self.heard, runs = [], [], set(), []
        for number, peer in enumerate(self.peers[: self.INSTANCES]):
            carrier = self.carrier(number, server_pool())
            names = [other.entry for other in self.others(number)]
            roster = joined_roster(peer.entry, names, self.clock.now_ms())
            exchange = OriginExchange(
                self.clock, self.origins[number], carrier, roster, self.heard.add
            )
            runs += [carrier.run(peer.host, peer.port), exchange.run()]
            self.exchanges.append(exchange)
            self.carriers.append(carrier)
        await self.start(*runs)
        self.log = logbook.TestHandler()
        self.enterContext(self.log.threadbound())

    def record(self, number, origin=ORIGIN):
        self.origins[number].record(origin, self.clock.now_ms())

    def knows(self, number, origin=ORIGIN):
        known = self.origins[number].find(origin.key, self.clock.now_ms())
        return known is not None and known.origin == origin

    def lose_next(self, number, count):
        """Lose the next datagrams that an instance sends by name, at all receivers."""
        send_to, left = self.carriers[number].send_to, iter(range(count))

        def lossy_send_to(entries, datagram):
            return tuple(entries) if next(left, None) is not None else send_to(entries, datagram)

        self.carriers[number].send_to = lossy_send_to

    async def find(self, number, key=ORIGIN.key, give_up_ms=1_000):
        """Return the log line of a search and what it found."""
        found = await self.exchanges[number].find(key, self.clock.now_ms() + give_up_ms)
        words = self.log.records[-1].message.split()
        line = dict(word.split("=") for word in words)
        self.assertEqual(found is not None, line["outcome"] == "known")
        return line, found

    async def test_all_instances_are_told_and_told_again_and_know_it_when_the_first_is_gone(self):
        for is_lost in (False, True):
            origin = stream_origin(f"lost-{is_lost}")
            if is_lost:
                self.lose_next(0, 1)
            self.exchanges[0].tell(origin)
            await self.await_true(lambda origin=origin: all(self.knows(n, origin) for n in (1, 2)))
        self.tasks[0].cancel()
        line, found = await self.find(2, origin.key)
        self.assertEqual(origin, found.origin)
        self.assertEqual(("own", "v1", "0"), (line["source"], line["version"], line["asked"]))
        self.assertEqual({"e0"}, self.heard)

    async def test_one_that_knows_is_found_beside_a_silent_one_also_after_a_loss(self):
        for finder, lost in ((1, 0), (2, 1)):
            origin = stream_origin(f"r{finder}")
            self.record(0, origin)
            self.lose_next(finder, lost)
            line, found = await self.find(finder, origin.key)
            self.assertEqual((origin, "e0"), (found.origin, found.source))
            self.assertEqual(("e0", "3"), (line["source"], line["asked"]))
            self.assertEqual(lost, int(line["took_ms"]) >= self.TIMES["ASK_AGAIN_MS"])
            self.assertTrue(self.knows(finder, origin))

    async def test_what_nobody_knows_ends_with_the_last_reply_or_in_time(self):
        timeout_ms = self.TIMES["FIND_TIMEOUT_MS"]
        line, _ = await self.find(0, give_up_ms=60_000)
        self.assertEqual(("unknown", "2"), (line["outcome"], line["replied"]))
        self.assertIn(int(line["took_ms"]), range(timeout_ms, 2 * timeout_ms))
        line, _ = await self.find(0, give_up_ms=10)
        self.assertIn(int(line["took_ms"]), range(10, timeout_ms))
        self.carriers[0].set_peers(tuple(self.peers[1 : self.INSTANCES]))
        line, _ = await self.find(0)
        self.assertEqual(("unknown", "2"), (line["outcome"], line["replied"]))
        self.assertLess(int(line["took_ms"]), timeout_ms)
        for give_up_ms, key in ((0, ORIGIN.key), (1_000, stream_origin("x" * 500).key)):
            line, _ = await self.find(0, key, give_up_ms)
            self.assertEqual(("unknown", "0"), (line["outcome"], line["asked"]))

    async def test_an_id_of_two_versions_leads_nowhere_and_not_to_another_brand(self):
        for version in ("v1", "v2"):
            self.record(0, stream_origin(version=version))
        line, _ = await self.find(1)
        self.assertEqual("ambiguous", line["outcome"])
        self.record(0, stream_origin("r2"))
        line, _ = await self.find(1, stream_origin("r2", brand="b").key)
        self.assertEqual("unknown", line["outcome"])

    async def test_beyond_a_number_of_open_searches_others_end_at_once(self):
        keys = [stream_origin(f"r{n}").key for n in range(originexchange.MAX_OPEN_SEARCHES + 1)]
        until_ms = self.clock.now_ms() + 60_000
        await asyncio.gather(*(self.exchanges[0].find(key, until_ms) for key in keys))
        lines = [record.message for record in self.log.records]
        self.assertEqual(1, sum("asked=0" in line for line in lines))
        self.assertTrue(all("outcome=unknown" in line for line in lines))

    async def test_other_datagrams_and_unreadable_ones_are_handled_beside(self):
        load = LoadReport("origins", 1, {"s1": ServerLoad(3, 2, 1)})
        stray = encode_origin_message(OriginReply("e9", 7, ORIGIN, False))
        await self.send_raw(1, b"\x85\x67origins\xff", stray, encode_report(load))
        await self.await_true(lambda: self.loads[1].load_on("s1").in_progress == 3)
        self.assertFalse(self.knows(1))
        self.assertEqual({"e9"}, self.heard)
