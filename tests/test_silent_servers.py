"""Tests of streams whose engines fall silent for a moment and go on."""

import time

from tests.gatewayworld import (
    PROMPT_HEADERS,
    STREAM_HEAD,
    TIMEOUT_S,
    GatewayCase,
    answer,
    chunk,
    event,
    read_all,
    replies,
    request,
)

SILENCE_S = 1.4
EVENTS = 6
PROMPT = request(b"/quote/2f", headers=PROMPT_HEADERS + b"Connection: close\r\n").replace(
    b"X-Deadline-Milliseconds: 3000", b"X-Deadline-Milliseconds: 9000"
)


def falls_silent(silence_s=SILENCE_S, *, after=2):
    """Return the script of an engine that sends nothing for a while and then goes on."""

    def script(connection, data):
        head = data.partition(b"\r\n\r\n")[0].lower()
        first = int(head.partition(b"last-event-id: ")[2].partition(b"\r\n")[0] or 0) + 1
        try:
            if first > 1 or after:
                connection.sendall(STREAM_HEAD)
            for number in range(first, EVENTS + 1):
                if number == max(first, after + 1):
                    time.sleep(silence_s)
                    if first == 1 and not after:
                        connection.sendall(STREAM_HEAD)
                connection.sendall(chunk(event(number)))
            connection.sendall(b"0\r\n\r\n")
        except OSError:
            return

    return script


def breaks_off(connection, _data):
    """Begin an answer and close the connection."""
    connection.sendall(STREAM_HEAD)
    connection.shutdown(2)


FAILURE = replies(answer(b"no", status=b"500 Failed"))


class SilentServerTest(GatewayCase):
    def ask(self, world):
        with world.connect() as connection:
            connection.sendall(PROMPT)
            return read_all(connection)

    def assert_whole(self, world):
        received = self.ask(world)
        events = b"".join(chunk(event(number)) for number in range(1, EVENTS + 1))
        self.assertTrue(received.endswith(b"\r\n\r\n" + events + b"0\r\n\r\n"), received)

    def assert_whole_without_a_retry_budget(self, *, after):
        world = self.world(engines=[falls_silent(after=after), falls_silent(0)])
        world.server_pool.request_started("s1", 60_000, 0, world.clock.now_ms())
        budget = world.gateway.retry_budget("llm")
        budget.slack = budget.ratio = 0
        self.assert_whole(world)
        self.assertEqual(1, len(self.sent()))

    def test_an_answer_outlives_a_silence_of_its_server_without_a_retry_budget(self):
        self.assert_whole_without_a_retry_budget(after=2)

    def test_a_request_outlives_a_silence_before_its_first_event(self):
        self.assert_whole_without_a_retry_budget(after=0)

    def test_an_answer_outlives_a_silence_of_its_server_if_no_other_has_memory(self):
        world = self.world(engines=[falls_silent(2.6), falls_silent(0)])
        world.server_pool.request_started("s1", 95_000, 0, world.clock.now_ms())
        self.assert_whole(world)
        self.assertEqual(1, len(self.sent()))

    def test_an_answer_outlives_silences_of_all_servers_that_may_run_it(self):
        world = self.world(engines=[falls_silent(2.2), falls_silent(2.2)])
        self.assert_whole(world)
        self.assertEqual(2, len(self.sent()))

    def test_an_answer_outlives_a_silence_of_the_only_server(self):
        world = self.world(engines=[falls_silent()])
        self.assert_whole(world)
        self.assertEqual(1, len(self.sent()))

    def test_an_answer_moves_on_if_its_server_stays_silent(self):
        for after in (0, 2):
            world = self.world(engines=[falls_silent(8, after=after), falls_silent(0)])
            started_s = time.monotonic()
            self.assert_whole(world)
            self.assertLess(time.monotonic() - started_s, 3)
            self.assertEqual(2, len(self.sent()))
            self.assertTrue(self.engines[0].left.wait(TIMEOUT_S))

    def test_a_failure_or_break_of_the_second_server_ends_no_answer(self):
        for second in (FAILURE, breaks_off):
            world = self.world(engines=[falls_silent(2), second, falls_silent(0)])
            world.server_pool.request_started("s2", 10, 0, world.clock.now_ms())
            self.assert_whole(world)
            self.assertEqual(2, len(self.sent()))

    def test_a_failure_of_the_silent_server_does_not_end_the_second_attempt(self):
        def fails_late(connection, data):
            time.sleep(SILENCE_S)
            FAILURE(connection, data)

        world = self.world(engines=[fails_late, falls_silent(0.8, after=0)])
        self.assert_whole(world)

    def test_a_failure_of_the_next_server_does_not_end_a_stream_as_complete(self):
        def breaks_off_later(connection, _data):
            connection.sendall(STREAM_HEAD + chunk(event(1)))
            connection.shutdown(2)

        world = self.world(engines=[breaks_off_later, FAILURE])
        self.assertTrue(self.ask(world).endswith(chunk(event(1))))
