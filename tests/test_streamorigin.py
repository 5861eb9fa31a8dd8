"""Tests of the records of where streams began."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from bergamothill.process.originholders import MAX_HOLDERS, holders
from bergamothill.process.originreport import (
    MAX_ORIGINS,
    OriginNotice,
    OriginQuery,
    OriginReply,
    decode_origin_message,
    encode_origin_message,
    is_origin_message,
)
from bergamothill.request.streamorigin import (
    ENTRY_BYTES,
    MAX_REQUEST_ID_CHARS,
    MAX_RESUME_MS,
    StreamKey,
    StreamOrigin,
    StreamOrigins,
)
from tests.builders import stream_origin

BRANDS = (None, "a", "b")
TEXTS = st.text(max_size=30)
NUMBERS = st.integers(0, 1 << 45)
KEYS = st.builds(StreamKey, st.none() | TEXTS, TEXTS)
ORIGINS = st.builds(StreamOrigin, KEYS, TEXTS, TEXTS, TEXTS, NUMBERS, NUMBERS)
MESSAGES = (
    st.builds(OriginNotice, TEXTS, st.lists(ORIGINS, max_size=MAX_ORIGINS).map(tuple))
    | st.builds(OriginQuery, TEXTS, NUMBERS, KEYS)
    | st.builds(OriginReply, TEXTS, NUMBERS, st.none() | ORIGINS, st.booleans())
)
RECORDS = st.tuples(
    st.sampled_from(BRANDS),
    st.integers(0, 5),
    st.sampled_from(["v1", "v1", "v1", "v2"]),
    st.integers(0, MAX_RESUME_MS // 4),
    st.integers(0, MAX_RESUME_MS * 2),
)


class OriginOracle:
    """All that was recorded, without any bound on memory."""

    def __init__(self):
        self.records = []

    def record(self, origin, now_ms, ttl_ms):
        self.records.append((origin, now_ms, now_ms + min(ttl_ms, MAX_RESUME_MS)))

    def find(self, key, now_ms):
        """Return the first origin and the set of versions of the latest unbroken period."""
        first, versions, end_ms = None, set(), 0
        for origin, recorded_ms, expires_ms in self.records:
            if origin.key != key:
                continue
            if recorded_ms >= end_ms:
                first, versions, end_ms = origin, set(), expires_ms
            versions.add(origin.version)
            end_ms = max(end_ms, expires_ms)
        return (None, set()) if now_ms >= end_ms else (first, versions)


class StreamOriginsTest(unittest.TestCase):
    @given(st.lists(RECORDS, max_size=40))
    def test_a_key_leads_to_its_only_version_until_it_expires(self, steps):
        origins, oracle, now_ms = StreamOrigins(), OriginOracle(), 0
        for brand, request, version, wait_ms, ttl_ms in steps:
            now_ms += wait_ms
            origin = stream_origin(f"r{request}", brand=brand, version=version)
            origins.record(origin, now_ms, ttl_ms)
            oracle.record(origin, now_ms, ttl_ms)
            for key in {record[0].key for record in oracle.records}:
                first, versions = oracle.find(key, now_ms)
                found = origins.find(key, now_ms)
                self.assertEqual(len(versions) > 1, origins.is_ambiguous(key, now_ms))
                self.assertEqual(first if len(versions) == 1 else None, found and found.origin)

    @given(
        st.lists(st.tuples(st.sampled_from(BRANDS), st.integers(1, 190)), max_size=80),
        st.integers(3, 12),
    )
    def test_a_brand_within_an_equal_part_of_the_memory_loses_nothing(self, steps, room):
        max_bytes = room * (ENTRY_BYTES + 200)
        origins, recorded = StreamOrigins(max_bytes), {brand: [] for brand in BRANDS}
        for number, (brand, length) in enumerate(steps):
            origin = stream_origin(f"{number:03}".ljust(length, "x"), brand=brand)
            origins.record(origin, number)
            recorded[brand].append(origin.key)
            self.assertLessEqual(origins.size, max_bytes)
            self.assertIsNotNone(origins.find(origin.key, number))
        for keys in recorded.values():
            kept = [key for key in keys if origins.find(key, len(steps))]
            self.assertEqual(keys[len(keys) - len(kept) :], kept, "the oldest go first")
            if len(keys) * (ENTRY_BYTES + 200) <= max_bytes // len(BRANDS):
                self.assertEqual(len(keys), len(kept))

    def test_the_latest_of_a_brand_stay_and_a_repeated_one_is_the_latest(self):
        origins = StreamOrigins(3 * ENTRY_BYTES)
        for now_ms, request in enumerate(["r1", "r2", "r1", "r3"]):
            origins.record(stream_origin(request), now_ms)
        found = [origins.find(stream_origin(f"r{n}").key, 9) for n in (1, 2, 3)]
        self.assertEqual([7, None, 6], [known and known.age_ms for known in found])

    def test_expired_records_of_idle_brands_are_removed(self):
        origins = StreamOrigins()
        for number in range(100):
            origins.record(stream_origin("r", brand=f"b{number}"), 0)
        size = origins.size
        for number in range(101):
            origins.record(stream_origin("r", brand="busy"), MAX_RESUME_MS + number)
        self.assertLess(origins.size, size / 50)

    def test_requests_without_an_id_or_with_a_long_one_are_not_recorded(self):
        origins = StreamOrigins()
        for request in ("", "x" * (MAX_REQUEST_ID_CHARS + 1)):
            origins.record(stream_origin(request), 0)
        self.assertEqual(0, origins.size)


class OriginReportTest(unittest.TestCase):
    @given(MESSAGES)
    def test_messages_survive_the_datagram(self, message):
        datagram = encode_origin_message(message)
        self.assertTrue(is_origin_message(datagram))
        self.assertEqual(message, decode_origin_message(datagram))


class OriginHoldersTest(unittest.TestCase):
    def test_few_instances_all_hold_and_of_many_a_few_that_all_agree_on(self):
        key = StreamKey("a", "r1")
        few = [f"e{n}" for n in range(MAX_HOLDERS)]
        self.assertEqual(tuple(few), holders(key, reversed(few)))
        many = [f"e{n}" for n in range(60)]
        held = [holders(StreamKey("a", f"r{n}"), many) for n in range(1_000)]
        self.assertEqual({MAX_HOLDERS}, {len(set(chosen)) for chosen in held})
        counts = [sum(entry in chosen for chosen in held) for entry in many]
        self.assertLess(max(counts), 2 * 1_000 * MAX_HOLDERS / len(many))
        without = holders(key, set(many) - {holders(key, many)[0]})
        self.assertEqual(holders(key, many)[1:], without[:-1])
        self.assertNotEqual(holders(key, many), holders(StreamKey("b", "r1"), many))
