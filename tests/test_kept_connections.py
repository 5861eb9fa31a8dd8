"""Tests of when connections to backend servers are kept and used again, over real sockets."""

import asyncio
import socket
import time
from unittest import mock

from bergamothill.connection.backendconnection import BackendConnection
from tests.builders import await_true
from tests.gatewayworld import answer, chunk
from tests.keptcase import (
    CHUNKED,
    KEEPS,
    UNSAFE,
    Keeps,
    KeptCase,
    good,
    request_id,
    resets,
    sends,
    streams,
)


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
        script = Keeps(streams)
        self.start(engines=[script])
        self.ask_streams("a", "b")
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
