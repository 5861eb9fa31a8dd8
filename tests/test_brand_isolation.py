"""Tests of the separation of cached context when the operator changes which brands are isolated."""

import json
import re
import threading
from unittest import mock

from bergamothill.connection.kvs import KeyValueEntry
from bergamothill.platform.config import CONFIG_KEY
from bergamothill.process.prefixfollower import Snapshot
from bergamothill.version.cachenamespace import BrandIsolation
from tests.builders import await_true, backend, caller_request, operator_config, routing_config
from tests.gatewayworld import (
    PROMPT_HEADERS,
    STREAM_HEAD,
    TIMEOUT_S,
    GatewayCase,
    chunk,
    event,
    read_all,
    request,
)
from tests.test_platform_node import NodeCase

KEYS = {"alpha": "key-a", "bravo": "key-b", "cedar": "key-c"}


def tenants(*isolated, names=tuple(KEYS), without_keys=()):
    """Return the tenants of a configuration."""
    return [
        {
            "name": name,
            "apiKeys": [] if name in without_keys else [KEYS[name]],
            "isolated": name in isolated,
        }
        for name in names
    ]


class IsolationCase(NodeCase):
    def setUp(self):
        super().setUp()
        self.node._context.listener = mock.Mock()
        self.node._server_pool.apply_list([backend("s1")], 0, 0)
        self.version = 0

    def apply(self, rows):
        """Let the instance read a new configuration with some tenants."""
        self.version += 1
        document = operator_config(version=self.version, tenants=rows)
        entry = KeyValueEntry(CONFIG_KEY, json.dumps(document).encode(), self.version)
        self.node._operator.apply(Snapshot((entry,), self.clock.now_ms()))

    def admitted(self, name):
        """Return the brand of a request that is admitted now."""
        admission = self.node._config.admit("desk.example", "/quote/2f", KEYS[name], 0)
        self.assertIsNotNone(admission.brand)
        return admission.brand

    def choose(self, brand):
        service = self.node._config.table.config.services["llm"]
        return self.node._server_pool.choose(service, caller_request(), brand, (), 0, 0)

    def salt(self, name):
        """Return the namespace that a prompt of a tenant gets."""
        return self.choose(self.admitted(name))[1].cache_salt


class IsolationChangeTest(IsolationCase):
    def test_context_made_before_a_brand_became_isolated_is_not_used_by_others(self):
        # WALL: the namespace shared by all other brands stayed the same, so that they went on
        # using what the brand had made in it.
        self.apply(tenants())
        made_in = self.salt("alpha")
        self.assertEqual(made_in, self.salt("bravo"))
        self.apply(tenants("alpha"))
        self.assertNotIn(self.salt("bravo"), (made_in, self.salt("alpha")))
        self.assertEqual(self.salt("bravo"), self.salt("cedar"))

    def test_no_two_sets_of_isolated_brands_have_a_shared_namespace_in_common(self):
        seen = {}
        for isolated in ((), ("alpha",), ("bravo",), ("alpha", "bravo"), ()):
            self.apply(tenants(*isolated))
            self.assertEqual(isolated, seen.setdefault(self.salt("cedar"), isolated))
        self.assertEqual(4, len(seen))

    def test_a_brand_without_keys_is_still_isolated(self):
        self.apply(tenants("alpha"))
        shared = self.salt("bravo")
        self.apply(tenants("alpha", without_keys=("alpha",)))
        self.assertEqual(shared, self.salt("bravo"))

    def test_a_brand_that_is_not_isolated_comes_and_goes_without_a_new_namespace(self):
        self.apply(tenants("alpha"))
        shared = self.salt("bravo")
        self.apply(tenants("alpha", names=("alpha", "bravo")))
        self.assertEqual(shared, self.salt("bravo"))

    def test_an_instance_that_saw_no_earlier_configuration_uses_the_same_namespace(self):
        self.apply(tenants())
        self.apply(tenants("alpha", "bravo"))
        shared = self.salt("cedar")
        other = IsolationCase()
        other.setUp()
        self.addCleanup(other.doCleanups)
        other.apply(tenants("bravo", "alpha"))
        self.assertEqual(shared, other.salt("cedar"))

    def test_a_brand_named_twice_is_isolated_if_one_entry_says_so(self):
        self.apply([*tenants("alpha"), {"name": "alpha", "apiKeys": ["key-2"], "isolated": False}])
        second = self.node._config.admit("desk.example", "/quote/2f", "key-2", 0).brand
        self.assertEqual(self.salt("alpha"), self.choose(second)[1].cache_salt)


class RequestInProgressTest(IsolationCase):
    """Requests that were admitted under an earlier configuration."""

    def test_a_request_placed_after_its_brand_became_isolated_shares_nothing(self):
        self.apply(tenants())
        brand = self.admitted("alpha")
        self.apply(tenants("alpha"))
        self.assertEqual(self.salt("alpha"), self.choose(brand)[1].cache_salt)

    def test_a_request_placed_after_its_isolated_brand_was_left_out_shares_nothing(self):
        self.apply(tenants("alpha"))
        brand = self.admitted("alpha")
        self.apply(tenants(names=("bravo", "cedar")))
        self.assertNotEqual(self.salt("bravo"), self.choose(brand)[1].cache_salt)

    def test_a_request_is_not_written_with_a_shared_namespace_of_an_earlier_configuration(self):
        self.apply(tenants())
        server, terms = self.choose(self.admitted("bravo"))
        pool = self.node._server_pool
        self.assertTrue(pool.may_serve(server, terms, None))
        self.apply(tenants("alpha"))
        self.assertFalse(pool.may_serve(server, terms, None))

    def test_a_request_of_a_brand_that_is_isolated_no_longer_may_be_written(self):
        self.apply(tenants("alpha"))
        server, terms = self.choose(self.admitted("alpha"))
        self.apply(tenants())
        self.assertTrue(self.node._server_pool.may_serve(server, terms, None))


class WaitingPromptTest(GatewayCase):
    """Prompts that were written under a namespace that has gone out of use."""

    def play(self, first, *, may_retry=True):
        """Change the set of isolated brands while an engine works on a prompt.

        :param first: bytes of the engine's first answer before the change
        :returns: what the caller got, and the namespaces of the requests at the engines
        """
        changed = threading.Event()

        def script(connection, _request):
            if len(self.sent()) > 1:
                connection.sendall(STREAM_HEAD + chunk(event(1)) + b"0\r\n\r\n")
                return
            connection.sendall(first)
            changed.wait(TIMEOUT_S)
            if first or not may_retry:
                rest = b"" if first else STREAM_HEAD + chunk(event(1))
                connection.sendall(rest + chunk(event(2)) + b"0\r\n\r\n")

        world = self.world(engines=[script, script])
        config = operator_config(version=8)
        config["routes"][0]["resumable"] = may_retry
        world.config.apply(routing_config(**config), 2, world.clock.now_ms())
        # As of an engine that is busy, whose events arrive.
        world.server_pool.has_stalled = lambda _server, _now_ms: False

        def change():
            isolation = BrandIsolation(frozenset({"cedar"}))
            world.server_pool._planner.set_isolation(isolation, world.clock.now_ms())
            world.gateway.isolation_changed()
            world._loop.call_later(0.1, changed.set)

        with world.connect() as connection:
            data = request(b"/quote/1", headers=PROMPT_HEADERS + b"Connection: close\r\n")
            connection.sendall(data)
            await_true(self.sent)
            if first:
                connection.recv(1)
            world._loop.call_soon_threadsafe(change)
            found = read_all(connection)
        return found, [re.search(rb"X-Cache-Salt: (\S+)", sent)[1] for sent in self.sent()]

    def test_a_prompt_that_waits_is_sent_anew_under_the_namespace_in_force(self):
        # WALL: an engine that read the prompt later found what a brand had made that was isolated
        # by then.
        found, (before, after) = self.play(b"")
        self.assertIn(event(1), found)
        self.assertNotEqual(before, after)

    def test_an_answer_that_has_begun_goes_on(self):
        found, namespaces = self.play(STREAM_HEAD + chunk(event(1)))
        self.assertIn(event(2), found)
        self.assertEqual(1, len(namespaces))

    def test_a_prompt_that_may_not_run_again_is_left_alone(self):
        found, namespaces = self.play(b"", may_retry=False)
        self.assertIn(event(2), found)
        self.assertEqual(1, len(namespaces))
