"""Tests of changes of the configuration while requests are in progress."""

import contextlib
import threading

from tests.builders import await_true, operator_config, routing_config
from tests.gatewayworld import (
    PROMPT_HEADERS,
    STREAM_HEAD,
    TIMEOUT_S,
    GatewayCase,
    answer,
    chunk,
    event,
    read_all,
    request,
)

CLOSE = b"Connection: close\r\n"
PLAIN = request(headers=CLOSE)
PROMPT = request(b"/quote/2f", headers=PROMPT_HEADERS + CLOSE)
EVENTS = chunk(event(1)) + chunk(event(2)) + chunk(b"")


def changed_routes(**changes):
    return [{**route, **changes} for route in operator_config()["routes"]]


CHANGES = {
    "routes removed": {"routes": []},
    "routes moved": {"routes": changed_routes(service="other")},
    "routes split": {"routes": changed_routes(trafficSplit=[{"service": "other", "weight": 9}])},
    "timeouts": {"routes": changed_routes(timeoutMs=1)},
    "attempts": {"routes": changed_routes(maxAttempts=1, resumable=False, kind="unsafe")},
    "brands": {"tenants": [{"name": "other", "apiKeys": ["key-9"], "isolated": True}]},
    "services removed": {"services": []},
    "limits": {
        "limits": {
            "maxHeaderBytes": 64,
            "maxBodyBytes": 0,
            "headerTimeoutMs": 1,
            "idleTimeoutMs": 1,
        }
    },
}


class ConfigChangeTest(GatewayCase):
    def test_requests_are_answered_whatever_changes_meanwhile(self):
        for number, (kind, change) in enumerate(CHANGES.items()):
            with self.subTest(kind), contextlib.ExitStack() as stack:
                config = routing_config(version=8 + number, **change)
                plain, stream, queued, received = self.answers_beside(config, stack)
                self.assertTrue(plain.startswith(b"HTTP/1.1 200 "), plain)
                self.assertTrue(plain.endswith(b"booked"), plain)
                for found in (stream, queued):
                    self.assertTrue(found.startswith(b"HTTP/1.1 200 "), found)
                    self.assertTrue(found.endswith(EVENTS), found)
                self.assertTrue(received.startswith(b"HTTP/1.1 "), received)

    def answers_beside(self, config, stack):
        """Return the answers to a request at a server, a stream, one queued, and one received."""
        may_go_on = threading.Event()
        self.addCleanup(may_go_on.set)

        def serve_plain(connection, _request):
            may_go_on.wait(TIMEOUT_S)
            connection.sendall(answer(b"booked"))

        def serve_stream(connection, _request):
            connection.sendall(STREAM_HEAD + chunk(event(1)))
            may_go_on.wait(TIMEOUT_S)
            connection.sendall(chunk(event(2)) + chunk(b""))

        world = self.world(engines=[serve_stream], plain=[serve_plain])
        waiting = world.gateway.admission_queue("llm").requests
        callers = [stack.enter_context(world.connect()) for _ in range(4)]
        callers[0].sendall(PLAIN)
        callers[1].sendall(PROMPT)
        await_true(lambda: len(self.sent()) == 2)
        world.server_pool.request_started("s0", 95_000, 0, world.clock.now_ms())
        callers[2].sendall(PROMPT)
        callers[3].sendall(PLAIN[:-1])
        await_true(lambda: len(waiting))
        world.config.apply(config, 2, world.clock.now_ms())
        callers[3].sendall(PLAIN[-1:])
        world.server_pool.request_ended("s0", 95_000)
        await_true(lambda: len(self.sent()) >= 3)
        may_go_on.set()
        return [read_all(caller) for caller in callers]
