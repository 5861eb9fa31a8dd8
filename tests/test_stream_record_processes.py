"""Tests of streams after all entry instances, as processes, were killed at once."""

import json
import threading
import time

from bergamothill.connection.kvs import ABSENT
from bergamothill.platform.versionrecord import RECORD_KEY
from tests.builders import await_true
from tests.platformworld import SHARED_PARTS, PlatformWorldCase

STREAMS = 30
BREAK_S = 0.25
MIN_SHARE = 0.9
RETRY_S = 0.5


class RecordCase(PlatformWorldCase):
    """Three instances that trust the record; streams are broken by the end of all of them."""

    USE = "trust"
    IS_SETTLED = True
    """Whether the record has settled before the instances start; otherwise there is none."""

    MAX_TRIES = 8

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        world = cls.world
        for node in world.nodes:
            node.kill()
            node.add_settings(f'[streams]\nversionRecord = "{cls.USE}"\n')
        if cls.IS_SETTLED:
            cls.write_record()
        world.start_nodes()
        await_true(lambda: world.ask(SHARED_PARTS).is_whole)
        cls.tries = cls.break_and_resume()

    @classmethod
    def write_record(cls):
        world = cls.world
        versions = sorted(set(cls.VERSIONS))
        era = world.store.era
        record = {"era": era, "settled": True, "services": {"llm": versions}}
        record["routes"] = {name: ["llm"] for name in ("quote", "draft", "ask")}
        service = world.store.service
        before = service.get(RECORD_KEY)
        expected = ABSENT if before is None else before.mod_revision
        service.put_if(RECORD_KEY, json.dumps(record).encode(), expected=expected)

    @classmethod
    def break_and_resume(cls):
        world, first = cls.world, []
        callers = [
            threading.Thread(target=lambda: first.append(world.ask(SHARED_PARTS)))
            for _ in range(STREAMS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(BREAK_S)
        for node in world.nodes:
            node.kill()
        for caller in callers:
            caller.join()
        world.start_nodes()
        return [cls.resume(outcome) for outcome in first if outcome.has_begun]

    @classmethod
    def resume(cls, outcome):
        tries = [outcome]
        while not tries[-1].is_whole and len(tries) < cls.MAX_TRIES:
            if len(tries) > 1:
                time.sleep(RETRY_S)
            tries.append(cls.world.resume(outcome))
        return tries

    def test_no_stream_has_events_of_two_versions(self):
        self.assertLess(STREAMS // 3, len(self.tries))
        for tries in self.tries:
            self.assertEqual(1, len(set().union(*(outcome.versions for outcome in tries))))


class OneVersionTest(RecordCase):
    def test_streams_go_on_after_all_instances_were_killed(self):
        gone_on = sum(tries[-1].is_whole for tries in self.tries)
        self.assertGreaterEqual(gone_on, MIN_SHARE * len(self.tries))


class FirstStartTest(OneVersionTest):
    """By default the record settles as the first instances start, from the history of the store."""

    USE = "observe"
    IS_SETTLED = False


class TwoVersionsTest(RecordCase):
    VERSIONS = ("v1", "v1.1")
    MAX_TRIES = 2

    def test_streams_are_refused(self):
        statuses = {outcome.status for tries in self.tries for outcome in tries[1:2]}
        self.assertEqual({503}, statuses)


class TwoVersionsFirstStartTest(TwoVersionsTest):
    USE = "observe"
    IS_SETTLED = False


del PlatformWorldCase, RecordCase
