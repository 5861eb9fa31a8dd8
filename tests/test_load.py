from __future__ import annotations

import unittest

from bergamothill.connection.engine import EngineLoad, EngineState
from bergamothill.ids import Incarnation, ServerId, ZoneName
from bergamothill.request.load import LoadEstimator
from bergamothill.request.routing import EngineView

SERVER = ServerId("engine-1")
ZONE = ZoneName("a")
STATE = EngineState(Incarnation(1), False, frozenset())


def load(age_ms: int, queued_tokens: int) -> EngineLoad:
    return EngineLoad(age_ms, queued_tokens, 0, 10_000, 1_000_000, 0, 0, STATE)


def view(subject: LoadEstimator, now_ms: int) -> EngineView:
    return subject.views({SERVER: 0}, now_ms)[0]


class LoadEstimatorTests(unittest.TestCase):
    def test_the_reported_queue_drains_and_own_sends_are_added(self) -> None:
        subject = LoadEstimator()
        subject.report(SERVER, ZONE, load(100, 3_000), 1_000)
        subject.record_send(SERVER, 5_000, 0, 1_000)
        self.assertEqual(7_000, view(subject, 1_000).queued_tokens)
        self.assertEqual(6_000, view(subject, 1_100).queued_tokens)

    def test_a_report_replaces_the_sends_that_it_has_seen(self) -> None:
        subject = LoadEstimator()
        subject.report(SERVER, ZONE, load(0, 0), 0)
        subject.record_send(SERVER, 5_000, 0, 100)
        subject.record_send(SERVER, 4_000, 0, 200)
        subject.report(SERVER, ZONE, load(50, 4_500), 200)
        self.assertEqual(8_000, view(subject, 200).queued_tokens)

    def test_sends_of_peers_count(self) -> None:
        peer, subject = LoadEstimator(), LoadEstimator()
        for estimator in (peer, subject):
            estimator.report(SERVER, ZONE, load(0, 0), 0)
        peer.record_send(SERVER, 5_000, 2_000_000, 100)
        subject.apply_delta(peer.take_delta(200), 200)
        self.assertEqual(4_000, view(subject, 200).queued_tokens)
        self.assertEqual(1_900_000, view(subject, 200).link_queued_bytes)
        self.assertIsNone(peer.take_delta(300))

    def test_finished_transfers_correct_the_link_speed(self) -> None:
        subject = LoadEstimator()
        subject.report(SERVER, ZONE, load(0, 0), 0)
        for now_ms in range(1, 20):
            subject.record_transfer(SERVER, 1_000_000, 10_000, now_ms)
        self.assertLess(view(subject, 20).link_bytes_per_s, 110_000)
