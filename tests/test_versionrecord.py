"""Tests of the record of versions, by which streams go on after all entry instances have ended."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from bergamothill.clock import ManualClock
from bergamothill.connection.kvs import ABSENT
from bergamothill.errors import ProtocolError, UnavailableError
from bergamothill.platform.versionrecord import RECORD_KEY, decode_record, encode_record
from bergamothill.process.instanceroster import InstanceRoster
from bergamothill.process.versionrecorder import VersionRecorder
from bergamothill.version.versionrecord import (
    FORGET_MS,
    MAX_GAP_MS,
    SETTLE_MS,
    RecordItem,
    RecordKeeper,
    VersionRecord,
)
from tests.builders import backend, routing_config

V1, V2 = (RecordItem.of_version("llm", version) for version in ("v1", "v2"))
ROUTE = RecordItem.of_route("quote", "llm")
TEXTS = st.text(st.characters(codec="utf-8"), max_size=4)
ITEMS = st.frozensets(st.builds(RecordItem, st.sampled_from(("service", "route")), TEXTS, TEXTS))


class Service:
    """Record in the key-value service, and the instances that share it."""

    def __init__(self):
        self.record, self.era, self.writes, self.now_ms = None, 1, 0, 0

    def step(self, keeper, items, *, is_first=True, may_write=True):
        """Let an instance read a list and the record, and write what it should."""
        keeper.apply_list(items, self.now_ms)
        keeper.apply_record(self.record, self.era, self.now_ms)
        record = keeper.next_record(self.now_ms, is_first=is_first)
        if record is not None and may_write:
            self.record, self.writes = record, self.writes + 1
            keeper.apply_record(record, self.era, self.now_ms)

    def run(self, keeper, items, duration_ms):
        for _ in range(0, duration_ms, MAX_GAP_MS):
            self.now_ms += MAX_GAP_MS
            self.step(keeper, items)

    def only_origin(self):
        return self.record.only_origin("quote", self.era)


class KeeperTest(unittest.TestCase):
    def setUp(self):
        self.service, self.keeper = Service(), RecordKeeper()
        self.service.step(self.keeper, {V1, ROUTE})

    def test_a_record_tells_the_version_once_older_streams_are_over(self):
        service = self.service
        self.assertIsNone(service.only_origin())
        service.run(self.keeper, {V1, ROUTE}, SETTLE_MS + MAX_GAP_MS)
        self.assertEqual(("llm", "v1"), service.only_origin())
        self.assertEqual(2, service.writes)
        service.run(self.keeper, {V1, ROUTE}, 2 * FORGET_MS)
        self.assertEqual(2, service.writes)

    def test_no_stream_begins_at_a_version_that_a_settled_record_lacks(self):
        service = self.service
        service.run(self.keeper, {V1, ROUTE}, SETTLE_MS + MAX_GAP_MS)
        service.step(self.keeper, {V1, V2, ROUTE}, may_write=False)
        self.assertTrue(self.keeper.may_begin(V1, service.now_ms))
        self.assertFalse(self.keeper.may_begin(V2, service.now_ms))
        service.step(self.keeper, {V1, V2, ROUTE})
        self.assertTrue(self.keeper.may_begin(V2, service.now_ms))
        self.assertIsNone(service.only_origin())

    def test_a_version_is_forgotten_long_after_its_last_server(self):
        service = self.service
        service.step(self.keeper, {V1, V2, ROUTE})
        service.run(self.keeper, {V2, ROUTE}, FORGET_MS - MAX_GAP_MS)
        self.assertIn(V1, service.record.items)
        service.run(self.keeper, {V2, ROUTE}, 2 * MAX_GAP_MS)
        self.assertEqual(("llm", "v2"), service.only_origin())
        self.assertEqual(4, service.writes)

    def test_a_version_that_was_away_is_looked_up_again(self):
        service, other = self.service, RecordKeeper()
        service.step(other, {V1, V2, ROUTE})
        other.apply_list({V1, ROUTE}, service.now_ms)
        service.run(self.keeper, {V1, ROUTE}, FORGET_MS + 2 * MAX_GAP_MS)
        self.assertNotIn(V2, service.record.items)
        other.apply_list({V1, V2, ROUTE}, service.now_ms)
        self.assertTrue(other.must_read)
        other.apply_record(service.record, service.era, service.now_ms)
        self.assertFalse(other.may_begin(V2, service.now_ms))

    def test_a_restored_service_tells_nothing_until_the_record_has_settled_anew(self):
        service = self.service
        service.run(self.keeper, {V1, ROUTE}, SETTLE_MS + MAX_GAP_MS)
        older = service.record
        service.step(self.keeper, {V1, V2, ROUTE})
        service.record, service.era = older, 2
        self.assertIsNone(service.only_origin())
        self.keeper.handle_restore()
        self.assertTrue(self.keeper.may_begin(V2, service.now_ms))
        service.run(self.keeper, {V1, ROUTE}, SETTLE_MS)
        self.assertIsNone(service.only_origin())
        service.run(self.keeper, {V1, ROUTE}, MAX_GAP_MS)
        self.assertEqual(("llm", "v1"), service.only_origin())

    def test_several_services_of_a_route_tell_nothing(self):
        other = RecordItem.of_route("quote", "chat")
        record = VersionRecord(1, True, frozenset({V1, ROUTE, other}))
        self.assertIsNone(record.only_origin("quote", 1))

    @given(st.builds(VersionRecord, st.integers(0, 99), st.booleans(), ITEMS))
    def test_records_are_encoded(self, record):
        self.assertEqual(record, decode_record(encode_record(record)))

    @given(st.binary(max_size=80))
    def test_any_other_value_is_a_typed_error(self, encoded):
        try:
            decode_record(encoded)
        except ProtocolError:
            return


class Store:
    """One key of a key-value service, and the calls that it got."""

    def __init__(self):
        self.value, self.revision, self.calls, self.is_down = None, 0, [], False

    def get(self, key):
        self.calls.append("get")
        if self.is_down:
            raise UnavailableError("down", step="kvs.get")
        return None if self.value is None else self

    @property
    def mod_revision(self):
        return self.revision

    def put_if(self, key, value, *, expected):
        assert (key, expected) == (RECORD_KEY, self.revision or ABSENT)
        self.calls.append("put")
        self.value, self.revision = value, self.revision + 1


class RecorderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store, self.clock = Store(), ManualClock(10_000)

    def recorder(self, number, count):
        roster = InstanceRoster(f"n{number}")
        roster.set_registered({f"n{n}" for n in range(count)} - {roster.own}, 0)
        recorder = VersionRecorder(
            self.store, lambda: 1, self.clock, roster, lambda: None, delay_per_rank_ms=1
        )
        recorder.set_routes(routing_config().routes)
        recorder.apply_list([backend(service="llm", software_version="v1")])
        return recorder

    async def test_each_change_is_written_once_by_all_instances_together(self):
        for count in (6, 33, 90):
            with self.subTest(count):
                self.store = Store()
                recorders = [self.recorder(n, count) for n in range(count)]
                for recorder in sorted(recorders, key=lambda r: r.rank()):
                    await recorder.update()
                self.assertEqual(1, self.store.calls.count("put"))
                self.assertLessEqual(self.store.calls.count("get"), count + 1)

    async def test_without_the_service_nothing_is_known(self):
        recorder = self.recorder(0, 1)
        await recorder.update()
        self.store.is_down = True
        self.assertIsNone(await recorder.only_origin("quote", self.clock.now_ms() + 900))

    async def test_a_resumption_reads_what_another_instance_has_written(self):
        recorder = self.recorder(0, 1)
        await recorder.update()
        settled = VersionRecord(1, True, frozenset({V1, ROUTE}))
        self.store.value = encode_record(settled)
        give_up_ms = self.clock.now_ms() + 900
        self.assertEqual(("llm", "v1"), await recorder.only_origin("quote", give_up_ms))
        self.clock.advance_ms(1_000)
        self.store.value = encode_record(VersionRecord(1, True, settled.items | {V2}))
        give_up_ms = self.clock.now_ms() + 900
        self.assertIsNone(await recorder.only_origin("quote", give_up_ms))
