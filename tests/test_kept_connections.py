"""Tests of kept connections to backend servers, over real sockets with scripted servers."""

import asyncio
import contextlib
import re
import socket
import struct
import threading
import time
from unittest import mock

from bergamothill.connection.backendconnection import BackendConnection
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


class ReuseTest(KeptCase):
    def assert_reused(self, step, **changes):
        script = Keeps(step)
        self.start(script)
        found = self.ask("a", "b", "c", **changes)
        self.assertTrue(found.startswith(b"HTTP/1.1 200 "), found)
        self.assertEqual([["a", "b", "c"]], script.connections)
        self.assertEqual((1, 2), (self.count("new"), self.count("reused")))
        self.assertNotIn(b"Connection: close", b"".join(script.sent))
        return found

    def test_answers_with_a_length(self):
        self.assert_own("c", self.assert_reused(good))

    def test_chunked_answers(self):
        def step(connection, sent):
            own = request_id(sent)
            head = answer(b"", request_id=own, headers=KEEPS, framing=CHUNKED)
            connection.sendall(head + chunk(own) + b"0\r\n\r\n")

        self.assert_own("c", self.assert_reused(step))

    def test_answers_to_head(self):
        def step(connection, sent):
            framing = b"Content-Length: 500\r\n"
            connection.sendall(
                answer(b"", request_id=request_id(sent), headers=KEEPS, framing=framing)
            )

        self.assert_reused(step, method=b"HEAD")

    def test_answers_after_informational_ones(self):
        def step(connection, sent):
            connection.sendall(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
            good(connection, sent)

        self.assert_own("c", self.assert_reused(step))

    def test_answers_without_a_body(self):
        def step(connection, sent):
            own = request_id(sent)
            status = b"204 No Content"
            connection.sendall(
                answer(b"", request_id=own, headers=KEEPS, status=status, framing=b"")
            )

        script = Keeps(step)
        self.start(script)
        self.ask("a", "b")
        self.assertEqual([["a", "b"]], script.connections)

    def test_streams(self):
        def step(connection, sent):
            head = STREAM_HEAD.replace(b"Id: r1", b"Id: " + request_id(sent))
            connection.sendall(head + chunk(event(1)) + b"0\r\n\r\n")

        script = Keeps(step)
        self.start(engines=[script])
        for own in ("a", "b"):
            with self.now.connect() as connection:
                headers = PROMPT_HEADERS + b"Connection: close\r\n"
                connection.sendall(self.data(own, STREAM, headers=headers))
                self.assertIn(event(1), read_all(connection))
        self.assertEqual([["a", "b"]], script.connections)

    def test_an_unsafe_request_gets_a_new_connection_that_is_kept_for_safe_ones(self):
        script = Keeps()
        self.start(script)
        self.ask("a", "b", path=UNSAFE)
        self.ask("c")
        self.assertEqual([["a"], ["b", "c"]], script.connections)

    def test_a_small_deployment_opens_a_connection_for_each_request(self):
        script = Keeps()
        self.start(script, instances=2)
        self.ask("a", "b")
        self.assertEqual([["a"], ["b"]], script.connections)
        self.assertTrue(all(b"\r\nConnection: close\r\n" in sent for sent in script.sent))


class NotKeptTest(KeptCase):
    def assert_not_reused(self, *steps, **changes):
        """Check that the second request gets a connection of its own, and return the script."""
        script = Keeps(*steps)
        self.start(script)
        self.ask("a", **changes)
        self.assert_own("b", self.ask("b"))
        self.assertEqual("b", script.connections[1][0])
        self.assertEqual(1, len(script.connections[0]))
        return script

    def test_bytes_behind_a_whole_answer(self):
        for extra in (b"x", b"\r\n", answer(b"two", request_id=b"b")):
            with self.subTest(extra):
                self.assert_not_reused(lambda c, s, extra=extra: c.sendall(
                    answer(request_id(s), request_id=request_id(s), headers=KEEPS) + extra
                ))  # fmt: skip

    def test_bytes_on_an_idle_connection_close_it(self):
        late = answer(b"late", request_id=b"a", headers=KEEPS)
        script = Keeps(sends(late, pause_s=0.1))
        self.start(script)
        self.ask("a")
        self.assertTrue(script.closed.acquire(timeout=2))
        self.assertEqual(0, self.now.kept.idle_count)
        self.assert_own("b", self.ask("b"))
        self.assertEqual(0, self.retries_spent())

    def test_an_answer_that_ends_with_its_connection(self):
        def step(connection, sent):
            good(connection, sent, framing=b"")
            connection.shutdown(socket.SHUT_WR)

        self.assert_not_reused(step)

    def test_an_answer_that_says_close(self):
        self.assert_not_reused(lambda c, s: good(c, s, framing=b"Connection: close\r\n"
                                                 b"Content-Length: 1\r\n"))  # fmt: skip

    def test_an_answer_of_a_server_that_is_leaving(self):
        def step(connection, sent):
            good(connection, sent, framing=b"Server-Leaving: 1\r\nContent-Length: 1\r\n")

        script = Keeps(step)
        self.start(script)
        self.ask("a")
        self.assertTrue(script.closed.acquire(timeout=2))

    def test_an_answer_that_was_not_executed(self):
        refusal = answer(b"", status=b"503 Busy", headers=b"X-Not-Executed: 1\r\n", request_id=b"a")
        script = Keeps(lambda connection, _sent: connection.sendall(refusal))
        self.start(script)
        self.ask("a")
        self.assertTrue(all(len(served) == 1 for served in script.connections))

    def test_requests_without_an_id_never_use_a_kept_connection(self):
        def nameless(connection, _sent):
            connection.sendall(answer(b"done", headers=KEEPS).replace(b"X-Request-Id: r1\r\n", b""))

        script = Keeps(nameless)
        self.start(script)
        self.assert_own("done", self.ask("", ""))
        self.assertEqual([[""], [""]], script.connections)

    def test_a_second_request_with_the_same_id(self):
        script = Keeps()
        self.start(script)
        self.ask("a", "a")
        self.assertEqual([["a"], ["a"]], script.connections)

    def test_a_request_that_could_not_be_repeated_within_the_budget(self):
        script = Keeps()
        self.start(script, age_ms=0)
        self.ask("a", "b")
        self.assertEqual([["a"], ["b"]], script.connections)

    def test_keep_alive_expires(self):
        script = Keeps()
        self.start(script)
        self.ask("a")
        self.now.clock.advance_ms(4_000)
        self.ask("b")
        self.assertEqual([["a"], ["b"]], script.connections)

    def test_without_a_stated_time_it_is_kept_for_less_than_300_ms(self):
        script = Keeps(lambda c, s: c.sendall(answer(request_id(s), request_id=request_id(s))))
        self.start(script)
        self.ask("a")
        self.assertEqual(1, self.now.kept.idle_count)
        self.now.clock.advance_ms(200)
        self.ask("b")
        self.assertEqual([["a"], ["b"]], script.connections)

    def test_a_connection_that_the_server_closed_in_good_order_is_not_used(self):
        script = Keeps(lambda c, s: (good(c, s), c.shutdown(socket.SHUT_RDWR)))
        self.start(script)
        self.ask("a", "b")
        self.assertEqual([["a"], ["b"]], script.connections)
        self.assertEqual(0, self.retries_spent())

    def test_a_connection_with_bytes_or_an_end_that_were_not_read_yet(self):
        async def main(ends):
            loop = asyncio.get_running_loop()
            connection = BackendConnection(mock.Mock(), loop.create_future(), is_head=False)
            with socket.create_server(("127.0.0.1", 0)) as listener:
                await loop.create_connection(lambda: connection, *listener.getsockname())
                peer, _ = listener.accept()
            with peer:
                self.assertTrue(connection.may_carry(b"a"))
                connection.reuse(mock.Mock(), connection.done, is_head=False, request_id=b"z")
                option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
                own = connection.transport.get_extra_info("socket")
                self.assertEqual(300, own.getsockopt(*option))
                ends(peer)
                time.sleep(0.05)  # the event loop stands still
                self.assertFalse(connection.may_carry(b"a"))
            connection.abort()

        for ends in (lambda p: p.send(b"x"), lambda p: p.shutdown(2), lambda p: resets(p, b"")):
            asyncio.run(main(ends))

    def test_idle_connections_close_when_the_server_leaves_or_is_replaced_and_at_the_stop(self):
        def leaves(world):
            world.server_pool.record_leaving(world._servers[0])

        def is_replaced(world):
            world.server_pool.mark_replaced("p0")

        def stops(world):
            world._loop.call_soon_threadsafe(world.kept.stop)

        def is_gone(world):
            world._servers.clear()

        for ends in (leaves, is_replaced, is_gone, stops):
            with self.subTest(ends.__name__):
                script = Keeps()
                self.start(script)
                self.ask("a")
                ends(self.now)
                self.assertTrue(script.closed.acquire(timeout=2))
                self.assertEqual(0, self.now.kept.idle_count)

    def test_a_cancelled_request_closes_its_connection_at_once(self):
        script = Keeps(good, lambda *_: None)
        self.start(script)
        self.ask("a")
        with self.now.connect() as connection:
            connection.sendall(self.data("b"))
            await_true(lambda: script.connections == [["a", "b"]])
        self.assertTrue(script.closed.acquire(timeout=1))
        self.assert_own("c", self.ask("c"))
        self.assertEqual([["a", "b"], ["c"]], script.connections)

    def test_a_connection_whose_reading_was_paused(self):
        def step(connection, sent):
            self.now._loop.call_soon_threadsafe(lambda: [(f.pause(), f.resume()) for f in flows])
            time.sleep(0.05)
            good(connection, sent)

        script, flows = Keeps(step, good), []
        self.start(script)
        create = self.now.gateway._create_run

        async def spy(connection, *arguments):
            flows.append(connection.flow)
            return await create(connection, *arguments)

        self.now.gateway._create_run = spy
        self.ask("a", "b")
        self.assertEqual([["a"], ["b"]], script.connections)


class ClosedWithoutNoticeTest(KeptCase):
    def test_a_safe_request_is_repeated_once_and_charged_and_the_server_not_blamed(self):
        script = Keeps(good, resets)
        self.start(script)
        self.assert_own("b", self.ask("a", "b"))
        self.assertEqual([["a", "b"], ["b"]], script.connections)
        self.assertEqual((1, 1), (self.retries_spent(), self.count("stale")))
        self.assert_blameless()

    def test_it_is_repeated_on_a_new_connection_even_if_others_are_kept(self):
        started = threading.Barrier(2)

        def together(connection, sent):
            started.wait(5)
            good(connection, sent)

        script = Keeps(together, resets)
        self.start(script)
        threads = [threading.Thread(target=self.ask, args=(own,)) for own in "ab"]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(2, self.now.kept.idle_count)
        started.reset()
        threading.Thread(target=lambda: started.wait(5), daemon=True).start()
        self.assert_own("c", self.ask("c"))
        self.assertEqual(["c"], script.connections[2])
        self.assertEqual(0, sum("c" in served for served in script.connections) - 2)

    def test_a_stream_is_repeated_at_the_same_engine(self):
        def step(connection, sent):
            head = STREAM_HEAD.replace(b"Id: r1", b"Id: " + request_id(sent))
            connection.sendall(head + chunk(event(1)) + b"0\r\n\r\n")

        scripts = [Keeps(step, resets), Keeps(step, resets)]
        self.start(engines=scripts)
        for own in ("a", "b"):
            with self.now.connect() as connection:
                headers = PROMPT_HEADERS + b"Connection: close\r\n"
                connection.sendall(self.data(own, STREAM, headers=headers))
                self.assertIn(event(1), read_all(connection))
        self.assertEqual([0, 2], sorted(len(script.connections) for script in scripts))
        for server in ("s0", "s1"):
            self.assert_blameless(server)

    def test_a_reset_after_the_first_byte_is_a_failure_of_the_server(self):
        def breaks(connection, _sent):
            connection.sendall(b"HTTP/1.1 200")
            time.sleep(0.05)
            resets(connection, b"")

        self.start(Keeps(good, breaks))
        self.ask("a", "b")
        self.assertGreater(self.now.server_pool.server_state("p0").backoff_until_ms, 0)

    def test_an_unsafe_request_is_not_repeated(self):
        script = Keeps(resets)
        self.start(script)
        self.assertIn(b" 502 ", self.ask("a", path=UNSAFE))
        self.assertEqual([["a"]], script.connections)


class LateCopyTest(KeptCase):
    """A server sends an answer once more, in whole or in part, on a connection in use again."""

    def assert_kept_apart(self, copy, *, rest=True):
        def step(connection, sent):
            connection.sendall(copy)
            if rest:
                good(connection, sent)

        script = Keeps(good, step)
        self.start(script)
        self.assert_own("b", self.ask("a", "b"))
        self.assertEqual([["a", "b"], ["b"]], script.connections)
        self.assertEqual(1, self.retries_spent())
        self.assert_blameless()

    def copy(self, **changes):
        return answer(b"a", **{"request_id": b"a", "headers": KEEPS, **changes})

    def test_a_whole_copy_before_or_instead_of_the_answer(self):
        for rest in (True, False):
            self.assert_kept_apart(self.copy(), rest=rest)

    def test_a_copy_of_a_failure_or_of_a_refusal(self):
        self.assert_kept_apart(self.copy(status=b"500 Broken"))
        self.assert_kept_apart(self.copy(status=b"503 Busy", headers=b"X-Not-Executed: 1\r\n"))

    def test_a_copy_without_an_id(self):
        nameless = self.copy().replace(b"X-Request-Id: a\r\n", b"")
        self.assert_kept_apart(nameless)
        self.assert_kept_apart(nameless.replace(b"200 OK", b"421 Other"))

    def test_a_copy_with_two_ids(self):
        self.assert_kept_apart(self.copy(headers=KEEPS + b"X-Request-Id: b\r\n"))

    def test_the_end_of_a_copy(self):
        self.assert_kept_apart(self.copy()[-20:])

    def test_the_beginning_of_a_copy_at_any_length(self):
        # A copy that broke off in its head must not lend the next answer its status or fields.
        copy = self.copy(status=b"404 None")
        for length in (9, 12, 13, 17, copy.index(b"Request-Id"), copy.index(b" a\r\n") + 1):
            with self.subTest(copy[:length]):
                self.assert_kept_apart(copy[:length])

    def test_a_copy_that_arrives_with_the_answer_in_front_of_it(self):
        def step(connection, sent):
            own = request_id(sent)
            connection.sendall(answer(own, request_id=own, headers=KEEPS) + self.copy())

        script = Keeps(good, step)
        self.start(script)
        self.assert_own("b", self.ask("a", "b"))
        self.assert_own("c", self.ask("c"))
        self.assertEqual([["a", "b"], ["c"]], script.connections)

    def test_a_copy_inside_a_chunked_answer_breaks_it(self):
        def step(connection, sent):
            own = request_id(sent)
            head = answer(b"", request_id=own, headers=KEEPS, framing=CHUNKED)
            connection.sendall(head + chunk(b"x") + self.copy())

        script = Keeps(good, step)
        self.start(script)
        self.assert_own("b", self.ask("a", "b"))
        self.assertEqual([["a", "b"], ["b"]], script.connections)
