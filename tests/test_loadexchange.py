"""Tests of load reports, the retry share, the registry and the bounded log."""

import contextlib
import io
import os
import threading
import unittest

import cbor2
import logbook
from hypothesis import given
from hypothesis import strategies as st

from bergamothill.clock import ManualClock
from bergamothill.connection.kvs import ABSENT
from bergamothill.errors import ProtocolError
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.loadreport import (
    REPORT_TTL_MS,
    LoadReport,
    PeerLoads,
    ServerLoad,
    decode_report,
    encode_report,
)
from bergamothill.process.ratelimitedlog import BURST_LINES, RateLimitedHandler
from bergamothill.process.registry import Peer, Registry
from bergamothill.request.windowedbudget import SAFETY_FACTOR, WindowedRetryBudget
from tests.builders import FaultyKeyValueService


class LoadReportTest(unittest.TestCase):
    def report(self, number=1, tokens=10, entry="e1"):
        return LoadReport(entry, number, {"s1": ServerLoad(1, tokens, 5)})

    def test_round_trip(self):
        self.assertEqual(self.report(), decode_report(encode_report(self.report())))

    @given(st.binary(max_size=60))
    def test_invalid_datagrams_raise_only_protocol_errors(self, datagram):
        try:
            decode_report(datagram)
        except ProtocolError:
            return

    def test_reports_are_summed_and_older_ones_ignored(self):
        loads = PeerLoads()
        loads.add_report(self.report(number=2, tokens=10), 0)
        loads.add_report(self.report(number=1, tokens=99), 0)
        loads.add_report(self.report(entry="e2", tokens=7), 0)
        self.assertEqual(17, loads.load_on("s1").tokens)
        self.assertEqual(0, loads.load_on("s2").tokens)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["e1", "e2", "e3"]),
                st.integers(1, 6),
                st.dictionaries(
                    st.sampled_from(["s1", "s2"]),
                    st.builds(ServerLoad, st.integers(0, 3), st.integers(0, 9), st.integers(0, 9)),
                ),
                st.sampled_from([0, 50, REPORT_TTL_MS, REPORT_TTL_MS + 1]),
            ),
            max_size=12,
        )
    )
    def test_totals_are_the_sum_of_the_latest_reports_that_have_not_expired(self, steps):
        loads, latest, now_ms = PeerLoads(), {}, 0
        for entry, number, by_server, passed_ms in steps:
            now_ms += passed_ms
            loads.expire_reports(now_ms)
            latest = {
                name: (at_ms, report)
                for name, (at_ms, report) in latest.items()
                if now_ms - at_ms <= REPORT_TTL_MS
            }
            report = LoadReport(entry, number, by_server)
            loads.add_report(report, now_ms)
            if entry not in latest or latest[entry][1].sequence_number < number:
                latest[entry] = (now_ms, report)
            for server in ("s1", "s2"):
                expected = ServerLoad()
                for _, known in latest.values():
                    expected.add(known.loads.get(server, ServerLoad()))
                self.assertEqual(expected, loads.load_on(server))

    def test_a_report_without_load_from_two_senders_can_be_replaced(self):
        loads = PeerLoads()
        idle = {"s1": ServerLoad()}
        loads.add_report(LoadReport("e1", 1, idle), 0)
        loads.add_report(LoadReport("e2", 1, idle), 0)
        loads.add_report(LoadReport("e1", 2, {}), 0)
        loads.add_report(LoadReport("e2", 2, {}), 0)
        self.assertEqual(ServerLoad(), loads.load_on("s1"))

    def test_a_report_expires_after_its_ttl(self):
        loads = PeerLoads()
        loads.add_report(self.report(), 0)
        loads.expire_reports(REPORT_TTL_MS)
        self.assertEqual(10, loads.load_on("s1").tokens)
        loads.expire_reports(REPORT_TTL_MS + 1)
        self.assertEqual(0, loads.load_on("s1").tokens)


class RetryShareTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 400), st.booleans()), max_size=200))
    def test_repeats_stay_within_ratio_and_slack_in_every_window(self, steps):
        share, now_ms = WindowedRetryBudget(0.2, 4, 10_000, started_ms=-10_001), 0
        arrivals, repeats = [], []
        for gap_ms, repeats_now in steps:
            now_ms += gap_ms
            if not repeats_now:
                share.record_request(now_ms)
                arrivals.append(now_ms)
            elif share.try_spend(now_ms):
                repeats.append(now_ms)
                window = [t for t in repeats if t >= now_ms - 10_000]
                requests = [t for t in arrivals if t >= now_ms - 10_000]
                self.assertLessEqual(len(window), SAFETY_FACTOR * (0.2 * len(requests) + 4))


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.kvs = FaultyKeyValueService(self.clock)
        self.seen = []

    def registry(self, name):
        own = Peer(name, "10.0.0.1", 7700)
        return Registry(self.kvs, self.clock, own, lambda peers: self.seen.append(peers))

    def test_instances_see_each_other_until_they_leave(self):
        first, second = self.registry("e1"), self.registry("e2")
        first._register_and_read_peers()
        second._register_and_read_peers()
        self.assertEqual(["e1"], [peer.entry for peer in self.seen[-1]])
        second._deregister()
        first._register_and_read_peers()
        self.assertEqual((), self.seen[-1])

    def test_peers_of_earlier_builds_have_no_zone(self):
        host = ("10.0.0.1", 7700)
        self.kvs.put_if("entries/e1", cbor2.dumps(["e1", *host]), expected=ABSENT)
        named = Peer("e2", *host, zone="zone-a")
        Registry(self.kvs, self.clock, named, lambda _: None)._register_and_read_peers()
        linked = Peer("e4", *host, zone="zone-a", link_mbps=200)
        Registry(self.kvs, self.clock, linked, lambda _: None)._register_and_read_peers()
        self.registry("e3")._register_and_read_peers()
        self.assertEqual({Peer("e1", *host), named, linked}, set(self.seen[-1]))

    def test_an_entry_of_an_earlier_start_is_taken_over(self):
        self.registry("e1")._register_and_read_peers()
        again = self.registry("e1")
        again._register_and_read_peers()
        self.clock.advance_ms(9_000)
        again._register_and_read_peers()
        self.clock.advance_ms(9_000)
        again._register_and_read_peers()
        self.registry("e2")._register_and_read_peers()
        self.assertEqual(["e1"], [peer.entry for peer in self.seen[-1]])

    def test_a_lapsed_entry_is_written_again(self):
        registry = self.registry("e1")
        registry._register_and_read_peers()
        self.clock.advance_ms(60_000)
        registry._register_and_read_peers()
        self.registry("e2")._register_and_read_peers()
        self.assertEqual(["e1"], [peer.entry for peer in self.seen[-1]])


class BoundedLogTest(unittest.TestCase):
    def test_suppressed_lines_are_counted(self):
        read_end, write_end = os.pipe()
        pieces = []
        reader = threading.Thread(
            target=lambda: pieces.extend(iter(lambda: os.read(read_end, 65_536), b""))
        )
        reader.start()  # the output exceeds the pipe's capacity, so a thread reads it
        clock = ManualClock()
        with os.fdopen(write_end, "w") as out, contextlib.redirect_stdout(out):
            handler = RateLimitedHandler(clock, "info")
            logger = logbook.Logger("part")
            with handler.applicationbound():
                for number in range(BURST_LINES + 50):
                    logger.info(f"event=n number={number}")
                clock.advance_ms(1_000)
                logger.info("event=last")
            handler.close()
        reader.join()
        os.close(read_end)
        text = b"".join(pieces).decode()
        self.assertIn("event=suppressed count=", text)
        self.assertIn("event=last", text)
        self.assertLessEqual(text.count("\n"), BURST_LINES + 2)

    def test_a_closed_output_does_not_raise(self):
        with contextlib.redirect_stdout(io.StringIO()):
            handler = RateLimitedHandler(ManualClock(), "info")
            with handler.applicationbound():
                logbook.Logger("part").info("event=x")
            handler.close()


class MetricsTest(unittest.TestCase):
    def test_text_has_counters_and_quantiles(self):
        metrics = GatewayMetrics()
        metrics.count("requests", outcome="answered")
        metrics.observe("first_byte_ms", 20, rule="stream")
        text = metrics.text()
        self.assertIn('bergamothill_requests{outcome="answered"} 1', text)
        self.assertIn('bergamothill_first_byte_ms{rule="stream",quantile="0.5"} 20', text)
        self.assertIn('bergamothill_first_byte_ms_count{rule="stream"} 1', text)
