"""Tests that requests with home regions and their cached context stay there."""

import json
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from bergamothill.platform.config import decode_config
from bergamothill.platform.settings import load_node_settings
from bergamothill.request.callerrequest import ForwardTerms
from bergamothill.request.forwarding import Finish, Forwarding, Reason
from bergamothill.request.windowedbudget import WindowedRetryBudget
from bergamothill.version.cachenamespace import namespace, version_of
from bergamothill.version.homes import RegionMap, home_regions
from bergamothill.version.routetable import Brand
from tests.builders import (
    NODE_SETTINGS,
    backend,
    caller_request,
    operator_config,
    routing_config,
    server_pool,
)

CONFIG = routing_config()
LLM = CONFIG.services["llm"]
REGIONS = RegionMap("north", {"zone-a": "north", "zone-b": "south"})
SOUTH = frozenset({"south"})


def regions_of(route_regions, tenant_regions):
    document = operator_config()
    document["routes"][0]["allowedRegions"] = route_regions
    document["tenants"][0]["allowedRegions"] = tenant_regions
    config = decode_config(json.dumps(document).encode())
    return home_regions(config.routes[0], config.brands["key-1"])


class HomeRegionsTest(unittest.TestCase):
    def test_lists_of_route_and_tenant_both_apply(self):
        self.assertIsNone(regions_of(None, []))
        self.assertEqual({"north"}, regions_of(["north"], None))
        self.assertEqual({"south"}, regions_of(["north", "south"], ["south", "east"]))
        self.assertEqual(frozenset(), regions_of(["north"], ["south"]))
        self.assertEqual(frozenset(), regions_of([7], None))  # still restricted

    def test_a_zone_that_is_not_listed_is_in_no_home_region(self):
        text = NODE_SETTINGS.replace(
            "[listenAddresses]",
            'region = "north"\n[zones]\nzone-a = "north"\nzone-c = 7\n[listenAddresses]',
        )
        with TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(text)
            regions = load_node_settings(str(path)).regions
        self.assertEqual(RegionMap("north", {"zone-a": "north"}), regions)
        self.assertFalse(regions.is_home("zone-c", frozenset({"north"})))
        self.assertTrue(regions.is_home("zone-c", None))

    def test_context_of_some_regions_is_not_shared_with_requests_of_others(self):
        names = {
            namespace("m1", 1, brand, REGIONS.namespace_of(homes))
            for brand in (None, Brand("b", is_isolated=True))
            for homes in (None, SOUTH)
        }
        self.assertEqual(4, len(names))
        self.assertEqual({1}, {version_of(name, "m1") for name in names})
        self.assertEqual("", REGIONS.namespace_of(SOUTH | {"north"}))


class HomeServersTest(unittest.TestCase):
    def setUp(self):
        self.servers = [backend("s1"), backend("s2", zone="zone-b"), backend("s3", zone="zone-c")]
        self.pool = server_pool(*self.servers)
        self.pool._planner.regions = REGIONS
        self.pool._planner.set_stores(CONFIG.stores)  # in zone-a

    def choose(self, request, avoided=()):
        return self.pool.choose(LLM, request, None, avoided, 0, 0)

    def test_a_request_reaches_only_servers_in_its_home_regions(self):
        self.assertEqual("s1", self.choose(caller_request())[0].server)
        entry, terms = self.choose(caller_request(homes=SOUTH), ("s2",))
        self.assertEqual("s2", entry.server)
        may_serve = [self.pool.may_serve(server, terms, SOUTH) for server in self.servers]
        self.assertEqual([False, True, False], may_serve)

    def test_context_is_fetched_from_and_saved_to_the_home_regions_only(self):
        engines = [server.address for server in self.servers]
        planner = self.pool._planner
        homes = [planner.is_home(address, SOUTH) for address in (*engines, "127.0.0.1:19001")]
        self.assertEqual([False, True, False, False], homes)
        for field in ("fetch_from", "save_to"):
            terms = ForwardTerms("s2", 0, **{field: ("", engines[0])})
            self.assertFalse(self.pool.may_serve(self.servers[1], terms, SOUTH))
            self.assertTrue(self.pool.may_serve(self.servers[1], terms, None))

    def test_callers_are_refused_if_no_server_is_in_the_home_regions(self):
        request = caller_request(homes=frozenset({"east"}))
        budget = WindowedRetryBudget(0.1, 5, 10_000, started_ms=0)
        step = Forwarding(request, CONFIG.routes[0], LLM, None, self.pool, budget, 0.0).begin(0)
        self.assertIsInstance(step, Finish)
        self.assertEqual((503, Reason.NO_HOME_SERVER), (step.status, step.reason))
