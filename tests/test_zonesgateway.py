"""Tests that the gateway keeps to evacuated zones, cold servers and home regions."""

from bergamothill.version.homes import RegionMap
from tests.builders import joined_roster, operator_config, routing_config
from tests.gatewayworld import GatewayCase, answer, replies, request


class ZonesGatewayTest(GatewayCase):
    def configure(self, world, *, tenant_regions=None, **service):
        document = operator_config()
        document["services"][0] |= service
        document["tenants"][0]["allowedRegions"] = tenant_regions
        config = routing_config(**{**document, "version": 8})
        world.config.apply(config, 2, world.clock.now_ms())
        world.server_pool.limits.set_services(config.services)

    def test_a_server_whose_answer_says_that_it_is_cold_gets_few_requests(self):
        cold = answer(headers=b"X-Server-Signature: sig\r\nX-Cold-Milliseconds: 60000\r\n")
        world = self.world(plain=[replies(cold)])
        self.configure(world, coldStartS=3, coldPerS=0.5)
        now_ms = world.clock.now_ms()
        world.server_pool.limits.roster = joined_roster("front-a-1", (), now_ms)
        self.assertIn(b" 200 ", world.exchange(request()))
        refused = world.exchange(request())
        self.assertIn(b" 503 ", refused)
        self.assertIn(b"Retry-After: ", refused)
        self.assertEqual(1, len(self.sent()))

    def test_callers_are_refused_while_the_zone_of_all_servers_is_evacuated(self):
        world = self.world(plain=[replies(answer())])
        now_ms = world.clock.now_ms()
        world.server_pool.apply_evacuation({"zone-a"}, now_ms, now_ms, is_trusted=True)
        self.assertIn(b" 503 ", world.exchange(request()))
        world.server_pool.apply_evacuation((), now_ms + 1, now_ms + 1, is_trusted=True)
        self.assertIn(b" 200 ", world.exchange(request()))
        self.assertEqual(1, len(self.sent()))

    def test_a_request_of_a_tenant_reaches_only_its_home_regions(self):
        world = self.world(plain=[replies(answer())])
        world.server_pool._planner.regions = RegionMap("north", {"zone-a": "north"})
        for regions, status in ((["south"], b" 503 "), (["north"], b" 200 ")):
            world.config.table = None
            self.configure(world, tenant_regions=regions)
            self.assertIn(status, world.exchange(request()))
        self.assertEqual(1, len(self.sent()))
