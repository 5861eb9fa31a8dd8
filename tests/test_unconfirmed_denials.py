"""Tests of requests that the configuration in force does not know, but a newer one may."""

import json
import time

from tests.builders import operator_config
from tests.gatewayworld import GatewayCase, answer, replies, request
from tests.platformworld import PlatformWorldCase

APPLY_MS = 2_000
"""Bound of the settings in which every instance applies a configuration."""

REVOCATION_MS = 5_000

UNKNOWN_ROUTE = request(b"/added/2f")
UNKNOWN_KEY = request(key=b"key-added")


class UnconfirmedDenialTest(GatewayCase):
    def status_at(self, age_ms, data):
        """Return the status of a request to an instance whose configuration has some age."""
        world = self.world(plain=[replies(answer())])
        world.clock.advance_ms(age_ms)
        return world.exchange(data)[9:12]

    def test_a_configuration_that_may_lack_a_route_does_not_deny_it(self):
        for age_ms in (APPLY_MS, APPLY_MS + 1_300, REVOCATION_MS, 60_000):
            self.assertEqual(b"503", self.status_at(age_ms, UNKNOWN_ROUTE), age_ms)

    def test_a_configuration_that_may_lack_a_key_does_not_deny_it(self):
        for age_ms in (APPLY_MS, APPLY_MS + 1_300, REVOCATION_MS, 60_000):
            self.assertEqual(b"503", self.status_at(age_ms, UNKNOWN_KEY), age_ms)

    def test_a_configuration_within_its_bound_denies_at_once(self):
        self.assertEqual(b"404", self.status_at(APPLY_MS - 500, UNKNOWN_ROUTE))
        self.assertEqual(b"401", self.status_at(APPLY_MS - 500, UNKNOWN_KEY))

    def test_known_routes_are_served_by_an_older_configuration(self):
        self.assertEqual(b"200", self.status_at(60_000, request()))


class RejectedInstancesTest(PlatformWorldCase):
    """A store that turns the instances away and serves the operator."""

    PLAIN = 2

    def add_route(self, version):
        """Write a configuration with a route of its own; return the path of the route."""
        kvs = self.world.store.service
        config = operator_config(version=version)
        name = f"added{version}"
        config["routes"].append(config["routes"][1] | {"name": name, "prefix": f"/{name}/"})
        revision = kvs.get("op/config").mod_revision
        kvs.put_if("op/config", json.dumps(config).encode(), expected=revision)
        return f"/{name}/1"

    def statuses(self, path):
        """Return the statuses of one request at each instance."""
        return {self.world.ask_plain(path, node=n).status for n in range(len(self.world.nodes))}

    def test_no_instance_denies_a_route_that_was_added_while_it_could_not_read(self):
        self.world.store.faults.replace({"busy": True})
        path = self.add_route(20)
        time.sleep(APPLY_MS / 1_000)
        ends_s = time.monotonic() + REVOCATION_MS / 1_000
        while time.monotonic() < ends_s:
            self.assertEqual({503}, self.statuses(path))
            time.sleep(0.1)
        self.world.store.faults.replace({})
        time.sleep(APPLY_MS / 1_000)
        self.assertEqual({200}, self.statuses(path))
