"""Tests of software versions of servers: a version is confirmed only while its process runs."""

import unittest
from dataclasses import replace

from hypothesis import example, given, settings
from hypothesis import strategies as st

from bergamothill.connection.storeera import REWRITE_MS
from bergamothill.process.serverpool import ServerPool
from bergamothill.process.softwareversions import (
    IDENTITY_MS,
    LOOKBACK_MS,
    MIN_RESTART_MS,
    VersionHistory,
)
from bergamothill.request.streamorigin import MAX_RESUME_MS
from tests.builders import backend, caller_request, routing_config, server_pool

LLM = routing_config().services["llm"]
HEARTBEAT_MS = 1_200
EXPIRY_MS = 3 * HEARTBEAT_MS
STEP_MS = 100
READ_INTERVAL_MS = 400
READ_STEPS = 2
EVENTS_INTERVAL_MS = 700
RECONNECT_INTERVAL_MS = 300
VERSIONS = ("v1", "v2")
MAX_UNCONFIRMED_MS = 3 * HEARTBEAT_MS + 1_500
MAX_UNCONFIRMED_WITHOUT_EVENTS_MS = EXPIRY_MS + HEARTBEAT_MS + 1_500
MAX_UNCONFIRMED_AFTER_OUTAGE_MS = MAX_UNCONFIRMED_WITHOUT_EVENTS_MS + REWRITE_MS

ACTIONS = st.one_of(
    st.tuples(st.just("wait"), st.integers(1, 60)),
    st.tuples(st.just("start"), st.integers(0, 2 * HEARTBEAT_MS // STEP_MS)),
    st.tuples(st.just("pause"), st.integers(5, 40)),
    st.tuples(
        st.sampled_from(
            ("end", "fail", "store_down", "store_up", "copy", "restore", "restart_instance")
        ),
        st.just(0),
    ),
)


class World:
    """One server id and address, whose processes come and go with one version or another.

    :param is_followed: whether the instance reads the cache events of the engine
    """

    def __init__(self, is_followed, pool_class=ServerPool):
        self.now_ms = 10_000
        self.pool_class = pool_class
        self.is_followed = is_followed
        self.process = self.entry = self.copy = None
        self.births = self.write_due_ms = self.entry_age_ms = self.events_due_ms = 0
        self.is_store_up = True
        self.calm_since_ms = self.now_ms
        self.ended_ms = 0
        self.max_unconfirmed_ms = MAX_UNCONFIRMED_WITHOUT_EVENTS_MS
        if is_followed:
            self.max_unconfirmed_ms = MAX_UNCONFIRMED_MS
        self.confirmations = 0
        self.do_restart_instance(0)
        self.do_start(0)

    def do(self, action, number):
        if action not in ("wait", "copy"):
            self.calm_since_ms = self.now_ms
        getattr(self, f"do_{action}")(number)

    def do_wait(self, steps):
        for _ in range(steps):
            self.now_ms += STEP_MS
            self.run_store(STEP_MS)
            self.run_observer()

    def do_pause(self, steps):
        """Let time pass unnoticed; after an odd number of steps the server has ended."""
        before = self.process
        if steps % 2 and before is not None:
            self.process, self.has_failed_since_end, self.ended_ms = None, False, self.now_ms
        self.now_ms += steps * STEP_MS
        self.calm_since_ms = self.now_ms
        if steps % 4 == 3 and self.now_ms - self.ended_ms >= MIN_RESTART_MS:
            self.do_start(steps)
        self.run_store(steps * STEP_MS)
        self.check_safety()
        if self.opened_to not in (None, self.process):
            self.set_connected(False)
        self.run_observer()

    def do_start(self, number):
        """Start a process that registers up to one heartbeat interval later."""
        self.do_wait(max(0, self.ended_ms + MIN_RESTART_MS - self.now_ms) // STEP_MS)
        if self.process is None:
            self.births += 1
            self.process = backend(
                "s1",
                started_wall_ms=self.births,
                software_version=VERSIONS[number % 2],
                service="llm",
            )
            self.write_due_ms = self.now_ms + number // 2 * STEP_MS

    def do_restart_instance(self, _number):
        self.pool = server_pool(
            pool_class=self.pool_class,
            min_entry_life_ms=2 * HEARTBEAT_MS,
            heartbeat_interval_ms=HEARTBEAT_MS,
        )
        self.pool.listed_ms = None
        self.is_connected = self.opened_to = self.read = None
        self.is_store_known_up = True
        self.has_failed_since_end = False
        self.next_read_ms = self.events_due_ms = self.now_ms

    def do_end(self, _number):
        if self.process is not None:
            self.process, self.has_failed_since_end = None, False
            self.ended_ms = self.now_ms
            if self.opened_to is not None:
                self.set_connected(False)

    def do_fail(self, _number):
        self.pool.request_failed("s1", self.now_ms)
        self.has_failed_since_end = self.pool.server_state("s1") is not None

    def do_store_down(self, _number):
        self.is_store_up = False

    def do_store_up(self, _number):
        if not self.is_store_up:
            self.is_store_up = True
            self.write_due_ms = self.now_ms + REWRITE_MS - STEP_MS
            self.max_unconfirmed_ms = MAX_UNCONFIRMED_AFTER_OUTAGE_MS

    def do_copy(self, _number):
        self.copy = self.entry

    def do_restore(self, _number):
        if self.is_store_up:
            self.entry, self.entry_age_ms, self.read = self.copy, 0, None
            self.max_unconfirmed_ms = MAX_UNCONFIRMED_AFTER_OUTAGE_MS
            self.pool.kvs_restored(self.now_ms)

    def run_store(self, passed_ms):
        if not self.is_store_up:
            return
        self.entry_age_ms += passed_ms
        if self.process is not None and self.now_ms >= self.write_due_ms:
            self.entry, self.entry_age_ms = self.process, 0
            self.write_due_ms = self.now_ms + HEARTBEAT_MS
        if self.entry_age_ms >= EXPIRY_MS:
            self.entry = None

    def run_observer(self):
        if self.is_followed and self.pool.server_state("s1") and self.now_ms >= self.events_due_ms:
            self.read_events()
        self.run_reads()
        if self.pool.server_state("s1") is None:
            self.is_connected = self.opened_to = (
                None  # the events of a server that is not listed are not read
            )
        self.pool.record_check(self.now_ms)
        self.check_safety()
        self.check_liveness()

    def read_events(self):
        if self.process is None:
            self.set_connected(False)
            return
        self.events_due_ms = self.now_ms + EVENTS_INTERVAL_MS
        if self.opened_to is not self.process:
            self.opened_to = self.process  # the first reply takes as long as the others
            return
        self.pool.record_reply_from(self.process.address, self.now_ms, is_leaving=False)
        self.set_connected(True)

    def set_connected(self, is_connected):
        if not is_connected:
            self.opened_to = None
            self.events_due_ms = self.now_ms + RECONNECT_INTERVAL_MS
        has_changed = self.is_connected is not is_connected
        if has_changed and (self.is_connected is not None or not is_connected):
            address = backend("s1").address
            self.pool.record_connection_change(address, is_connected, self.now_ms)
        self.is_connected = is_connected

    def run_reads(self):
        if self.read is not None and self.now_ms >= self.read[0] + READ_STEPS * STEP_MS:
            (sent_ms, entry), self.read = self.read, None
            self.pool.apply_list([entry] if entry else [], sent_ms, self.now_ms)
            if entry and not self.is_followed:
                self.pool.record_events_unread(entry.address)
        if self.read is None and self.now_ms >= self.next_read_ms:
            self.next_read_ms = self.now_ms + READ_INTERVAL_MS
            if self.is_store_up != self.is_store_known_up:
                self.is_store_known_up = self.is_store_up
                changed = self.pool.kvs_recovered if self.is_store_up else None
                (changed or self.pool.kvs_connection_lost)()
            if self.is_store_up:
                self.read = (self.now_ms, self.entry)

    def confirmed(self):
        """Return what is listed, and the version that is confirmed of it."""
        state = self.pool.server_state("s1")
        if state is None:
            return None, None
        return state.entry, self.pool.confirmed_version(state.entry, self.now_ms)

    def check_safety(self):
        entry, version = self.confirmed()
        for wanted in VERSIONS:
            choice = self.pool.choose(
                LLM, caller_request(model=None), None, (), 0, self.now_ms, version=wanted
            )
            if choice is not None:
                assert wanted == version, (wanted, version)
        if version is None or self.process is None or self.process == entry:
            return
        # The end of a server that is not followed is seen only by its requests, and by the list.
        assert not (self.is_followed or self.has_failed_since_end), f"{version} is not confirmed"

    def check_liveness(self):
        is_calm = self.now_ms - self.calm_since_ms >= self.max_unconfirmed_ms
        if is_calm and self.process is not None and self.is_store_up:
            self.confirmations += 1
            entry, version = self.confirmed()
            assert (entry, version) == (self.process, entry.software_version), self.now_ms
            assert self.pool.may_go_on_at(entry, version, self.now_ms)
            older = replace(entry, started_wall_ms=entry.started_wall_ms - 1)
            assert not self.pool.may_go_on_at(older, version, self.now_ms)


class ConfirmsByAnyList(ServerPool):
    def _confirmation_due_ms(self, state):
        return 0


class ConfirmsAfterHeartbeat(ServerPool):
    def __init__(self, **values):
        super().__init__(**values | {"entry_expiry_ms": HEARTBEAT_MS})


class BelievesFirstLists(ServerPool):
    def apply_list(self, entries, sent_ms, now_ms):
        known = {state.entry.incarnation for state in self._observed.values()}
        changes = super().apply_list(entries, sent_ms, now_ms)
        for state in self._observed.values():
            if state.entry.incarnation not in known:
                state.is_followed, state.reconnected_ms = True, None
        return changes

    def record_connection_change(self, address, is_connected, now_ms):
        super().record_connection_change(address, is_connected, now_ms)
        self._lost_addresses.clear()


RESTARTED_TWICE = [
    ("wait", 40),
    ("end", 0),
    ("start", 0),
    ("wait", 1),
    ("end", 0),
    ("start", 23),
    ("wait", 20),
]
RESTART_BEFORE_REGISTRATION = [
    ("wait", 40),
    ("end", 0),
    ("wait", 2),
    ("start", 23),
    ("wait", 80),
]
RESTART_AFTER_A_WHILE = [
    ("wait", 40),
    ("end", 0),
    ("fail", 0),
    ("wait", 25),
    ("start", 23),
    ("wait", 80),
]
FAILED_BEFORE_IT_WAS_LISTED = [
    ("wait", 1),
    ("pause", 5),
    ("start", 0),
    ("pause", 6),
    ("end", 0),
    ("fail", 0),
    ("wait", 17),
    ("start", 0),
    ("wait", 1),
]
SINGLE_FAILURES = [("wait", 60), *3 * [("fail", 0), ("wait", 80)]]
OLDER_COPY = [
    ("wait", 20),
    ("copy", 0),
    ("end", 0),
    ("fail", 0),
    ("wait", 10),
    ("restore", 0),
    ("wait", 30),
    ("start", 23),
    ("wait", 99),
]


def play(actions, is_followed, pool_class=ServerPool):
    world = World(is_followed, pool_class)
    for action in actions:
        world.do(*action)
    return world


class SoftwareVersionsTest(unittest.TestCase):
    @settings(max_examples=600, deadline=None)
    @given(st.lists(ACTIONS, max_size=25), st.booleans())
    @example(RESTART_BEFORE_REGISTRATION, True)
    @example(RESTART_AFTER_A_WHILE, False)
    @example(RESTARTED_TWICE, True)
    @example(FAILED_BEFORE_IT_WAS_LISTED, False)
    @example(OLDER_COPY, False)
    def test_no_version_is_confirmed_while_another_process_may_answer(self, actions, is_followed):
        play(actions, is_followed)

    def test_no_version_is_confirmed_after_a_pause_that_hides_a_restart(self):
        # ORDER: the end of an event connection reaches a machine that was suspended late, if at
        # all; the server had started anew under its id, at another version, in the pause.
        for paused_ms in (1_000, 5_000, 10_000):
            world = play([("wait", 60)], True)
            entry, version = world.confirmed()
            self.assertEqual("v1", version)
            world.now_ms += paused_ms
            world.calm_since_ms = world.now_ms
            world.pool.record_check(world.now_ms)
            self.assertIsNone(world.pool.confirmed_version(entry, world.now_ms))
            world.do_wait(30)
            self.assertEqual((entry, "v1"), world.confirmed())

    def test_a_server_is_confirmed_again_after_a_broken_answer(self):
        for is_followed in (True, False):
            world = play(SINGLE_FAILURES, is_followed)
            self.assertLess(0, world.confirmations)

    def test_weaker_evidence_does_not_show_that_a_process_runs_still(self):
        for actions, is_followed, pool_class in (
            (RESTART_BEFORE_REGISTRATION, True, ConfirmsByAnyList),
            (RESTART_AFTER_A_WHILE, False, ConfirmsAfterHeartbeat),
            (OLDER_COPY, False, ConfirmsByAnyList),
            (RESTARTED_TWICE, True, BelievesFirstLists),
        ):
            with self.subTest(pool_class), self.assertRaisesRegex(AssertionError, "not confirmed"):
                play(actions, is_followed, pool_class)

    def test_a_server_without_an_event_connection_is_never_confirmed(self):
        entry = backend("s1", weights={})
        pool = server_pool(entry)
        for now_ms in range(0, 60_000, 400):
            pool.apply_list([entry], now_ms, now_ms)
            self.assertIsNone(pool.confirmed_version(entry, now_ms))


class IdentityTest(unittest.TestCase):
    """A server whose events are not read may have restarted since the list was read."""

    def setUp(self):
        self.entry = backend("s1", service="llm", started_wall_ms=1, software_version="v1")
        self.pool = server_pool(self.entry, min_entry_life_ms=2 * HEARTBEAT_MS)
        self.pool.asks_servers = True
        self.pool.record_events_unread(self.entry.address)

    def choose(self, now_ms):
        request = caller_request(model=None)
        return self.pool.choose(LLM, request, None, (), 0, now_ms, version="v1")

    def may_go_on(self, now_ms):
        return self.pool.may_go_on_at(self.entry, "v1", now_ms)

    def test_a_stream_goes_on_at_an_unread_server_only_once_it_said_who_it_is(self):
        self.assertIsNotNone(self.choose(500))
        self.assertFalse(self.may_go_on(500))
        self.pool.record_identity(self.entry, 1, 500)
        self.assertTrue(self.may_go_on(500 + IDENTITY_MS - 1))
        self.assertFalse(self.may_go_on(500 + IDENTITY_MS))

    def test_a_server_whose_event_connection_is_lost_may_say_who_it_is(self):
        # LOST: the polls of all servers time out in a pause; until their connections were open
        # again, streams that began there were not recorded, and none could be taken up.
        self.pool.record_connection_change(self.entry.address, False, 500)
        self.assertFalse(self.may_go_on(510))
        self.assertTrue(self.pool.may_identify(self.entry, 510))
        self.pool.record_identity(self.entry, 1, 520)
        self.assertTrue(self.may_go_on(530))

    def test_a_server_that_names_another_start_is_replaced(self):
        self.pool.record_identity(self.entry, 2, 500)
        self.assertFalse(self.may_go_on(501))
        self.assertIsNone(self.choose(501))

    def test_without_starts_in_reports_a_recent_list_counts(self):
        self.pool.record_identity(self.entry, 0, 500)
        self.assertTrue(self.may_go_on(501))

    def test_a_failed_server_goes_on_at_once_when_it_says_who_it_is(self):
        self.pool.record_reply_from(self.entry.address, 400, is_leaving=False)
        self.pool.request_failed("s1", 500)
        self.assertFalse(self.may_go_on(510))
        self.pool.record_identity(self.entry, 1, 520)
        self.assertTrue(self.may_go_on(530))


class VersionHistoryTest(unittest.TestCase):
    def test_reads_have_to_cover_all_streams_that_may_be_taken_up(self):
        # With 15 s, one that began before a restart of everything went on at the next version.
        self.assertLessEqual(MAX_RESUME_MS, LOOKBACK_MS)

    def read(self, history, from_ms, until_ms, version="v1", gap_ms=400):
        for sent_ms in range(from_ms, until_ms + 1, gap_ms):
            history.record([backend(software_version=version)], sent_ms)

    def test_the_only_version_is_known_once_reads_cover_the_life_of_any_stream(self):
        history = VersionHistory(2_400)
        self.assertIsNone(history.only_version("llm", 0))
        self.read(history, 0, LOOKBACK_MS)
        self.assertIsNone(history.only_version("llm", LOOKBACK_MS - 1))
        self.assertEqual("v1", history.only_version("llm", LOOKBACK_MS))
        self.assertIsNone(history.only_version("bookings", LOOKBACK_MS))
        self.assertIsNone(history.only_version("llm", LOOKBACK_MS + 2_500))
        resumed_ms = LOOKBACK_MS + 2_500
        self.read(history, resumed_ms, resumed_ms + LOOKBACK_MS)
        self.assertIsNone(history.only_version("llm", resumed_ms + LOOKBACK_MS - 1))
        self.assertEqual("v1", history.only_version("llm", resumed_ms + LOOKBACK_MS))

    def test_a_second_version_is_not_forgotten(self):
        history = VersionHistory(2_400)
        self.read(history, 0, 400, "v2")
        self.read(history, 800, 800 + 4 * LOOKBACK_MS)
        self.assertIsNone(history.only_version("llm", 800 + 4 * LOOKBACK_MS))
