"""Tests of requests that the configuration in force does not know, but a newer one may."""

import asyncio
import contextlib
import json
import time

from tests.builders import operator_config, routing_config
from tests.gatewayworld import GatewayCase, answer, read_message, replies, request
from tests.platformworld import PlatformWorldCase

APPLY_MS = 2_000
"""Bound of the settings in which every instance applies a configuration."""

REVOCATION_MS = 5_000

UNKNOWN_ROUTE = request(b"/added/2f")
ADDED_ROUTE = operator_config()["routes"][1] | {"name": "added", "prefix": "/added/"}
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

    def read_after(self, delay_s, config):
        """Answer a request for a new route by reading a configuration some time later."""
        world = self.world(plain=[replies(answer())])
        world.clock.advance_ms(APPLY_MS)

        def read_now():
            def apply():
                world.config.apply(config, 2, world.clock.now_ms())

            asyncio.get_running_loop().call_later(delay_s, apply)

        world.gateway.confirmation.read_now = read_now
        started_s = time.monotonic()
        status = world.exchange(UNKNOWN_ROUTE)[9:12]
        return status, time.monotonic() - started_s

    def test_a_request_is_served_once_a_read_shows_its_route(self):
        status, _ = self.read_after(0.05, routing_config(version=8, routes=[ADDED_ROUTE]))
        self.assertEqual(b"200", status)

    def test_a_request_is_denied_once_a_read_shows_that_its_route_does_not_exist(self):
        self.assertEqual(b"404", self.read_after(0.05, routing_config())[0])

    def test_a_request_does_not_wait_for_a_read_for_longer_than_half_a_second(self):
        status, took_s = self.read_after(2, routing_config())
        self.assertEqual(b"503", status)
        self.assertLess(took_s, 1)

    def test_a_request_does_not_wait_while_nobody_can_read(self):
        world = self.world(plain=[replies(answer())])
        world.clock.advance_ms(APPLY_MS)
        world.gateway.confirmation.is_readable = False
        asked = []
        world.gateway.confirmation.read_now = lambda: asked.append(1)
        self.assertEqual(b"503", world.exchange(UNKNOWN_ROUTE)[9:12])
        self.assertEqual([], asked)

    def test_requests_that_wait_share_their_reads(self):
        world = self.world(plain=[replies(answer())])
        world.clock.advance_ms(APPLY_MS)
        asked = []
        world.gateway.confirmation.read_now = lambda: asked.append(1)
        with contextlib.ExitStack() as stack:
            callers = [stack.enter_context(world.connect()) for _ in range(20)]
            for caller in callers:
                caller.sendall(UNKNOWN_ROUTE)
            self.assertEqual({b"503"}, {read_message(caller)[9:12] for caller in callers})
        self.assertLessEqual(len(asked), 4)

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
