"""Gateway that keeps its connections to scripted servers, for tests."""

import contextlib
import re
import socket
import struct
import threading
import time

from tests.builders import await_true, operator_config, routing_config
from tests.gatewayworld import (
    LONG_RUNNING_MS,
    PROMPT_HEADERS,
    STREAM_HEAD,
    GatewayCase,
    answer,
    chunk,
    event,
    read_all,
    read_message,
    request,
)

OPEN, UNSAFE, STREAM = b"/book/open/1", b"/book/1", b"/quote/1"
KEEPS = b"X-Server-Signature: sig\r\nKeep-Alive: timeout=5\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def request_id(sent):
    found = re.search(rb"X-Request-Id: (\w+)", sent)
    return found[1] if found else b""


def good(connection, sent, **changes):
    """Answer a request under its id, with the id as the body."""
    own = request_id(sent)
    connection.sendall(answer(own, request_id=own, headers=KEEPS, **changes))


def sends(*pieces, pause_s=0.0, **changes):
    """Return a step that answers with the given bytes after its own whole answer."""

    def step(connection, sent):
        good(connection, sent, **changes)
        time.sleep(pause_s)
        connection.sendall(b"".join(pieces))

    return step


def streams(connection, sent):
    """Answer a prompt with one event."""
    head = STREAM_HEAD.replace(b"Id: r1", b"Id: " + request_id(sent))
    connection.sendall(head + chunk(event(1)) + b"0\r\n\r\n")


def resets(connection, _sent):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class Keeps:
    """Script of a server that serves many requests on a connection, each by its own step.

    :param steps: what it does with the first, second... request of a connection; the last one
        with all further ones
    """

    def __init__(self, *steps):
        self.connections = []
        self.sent = []
        self.closed = threading.Semaphore(0)
        self._steps = steps or (good,)

    def __call__(self, connection, sent):
        served = []
        self.connections.append(served)
        with contextlib.suppress(OSError):
            while sent:
                served.append(request_id(sent).decode())
                self.sent.append(sent)
                self._steps[min(len(served), len(self._steps)) - 1](connection, sent)
                sent = read_message(connection)
        self.closed.release()


class KeptCase(GatewayCase):
    def start(self, *scripts, engines=(), instances=7, age_ms=LONG_RUNNING_MS):
        self.now = self.world(plain=scripts, engines=engines, instances=instances, age_ms=age_ms)
        config = operator_config(version=8)
        config["routes"][2]["trafficSplit"] = [{"service": "bookings", "weight": 1}]
        self.now.config.apply(routing_config(**config), 2, self.now.clock.now_ms())

    def data(self, own, path=OPEN, *, method=b"POST", headers=b""):
        field = b"X-Request-Id: %s\r\n" % own.encode() if own else b""
        data = request(path, method=method, headers=headers)
        return data.replace(b"X-Request-Id: r1\r\n", field)

    def ask(self, *owns, path=OPEN, **changes):
        """Send requests with these ids one by one; return the last answer."""
        for own in owns:
            found = self.now.exchange(self.data(own, path, **changes))
            await_true(lambda: self.now.in_progress() == 0)
        return found

    def ask_streams(self, *owns):
        for own in owns:
            with self.now.connect() as connection:
                headers = PROMPT_HEADERS + b"Connection: close\r\n"
                connection.sendall(self.data(own, STREAM, headers=headers))
                self.assertIn(event(1), read_all(connection))

    def assert_own(self, own, found):
        self.assertTrue(found.startswith(b"HTTP/1.1 200 "), found)
        self.assertTrue(found.endswith(b"\r\n\r\n" + own.encode()), found)

    def count(self, kind):
        text = self.now.metrics.text()
        found = re.search(f'server_connections{{kind="{kind}"}} ([0-9]+)', text)
        return int(found[1]) if found else 0

    def retries_spent(self):
        return len(self.now.gateway.retry_budget("bookings")._retries)

    def assert_blameless(self, server="p0"):
        state = self.now.server_pool.server_state(server)
        self.assertEqual((0, 0, None), (state.failures, state.backoff_until_ms, state.failed_ms))
        self.assertNotIn("part_suspected", self.now.metrics.text())
