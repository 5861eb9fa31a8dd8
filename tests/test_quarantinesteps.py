"""Tests of how a request tells the quarantine of its runs, and of its refusal."""

import json
import time
import unittest

from bergamothill.connection.backendhttp import ExchangeEnd, ExchangeResult
from bergamothill.process.quarantinesteps import classify_run_end
from bergamothill.request.crashevidence import PartId
from bergamothill.request.partquarantine import RunEnd, StoredQuarantine, Verdict
from tests.builders import await_true
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
    resets,
)

PROMPT = request(b"/quote/2f", headers=PROMPT_HEADERS)
CLOSE_DELIMITED_HEAD = answer(b"", framing=b"Connection: close\r\n")
WHOLE_STREAM = STREAM_HEAD + chunk(event(1)) + b"0\r\n\r\n"
VERDICT = Verdict(frozenset({PartId("m1", "a"), PartId("m1", "b")}), 0)


class RunEndTest(unittest.TestCase):
    def end(self, outcome, end, *, was_closed=False, has_begun=True):
        return classify_run_end(outcome, ExchangeResult(end, "", was_closed), has_begun=has_begun)

    def test_only_a_connection_that_the_server_closed_or_reset_is_a_crash(self):
        self.assertIs(RunEnd.CRASHED, self.end("broken", ExchangeEnd.BROKEN, was_closed=True))
        for outcome, end in (
            ("broken", ExchangeEnd.BROKEN),  # stalled, or the network failed
            ("broken", ExchangeEnd.MALFORMED),
            ("broken", ExchangeEnd.STOPPED),
            ("broken", ExchangeEnd.COMPLETE),  # chunked, and ended inside an event
            ("refused", ExchangeEnd.STOPPED),
            ("not_sent", ExchangeEnd.NOT_SENT),
            ("not_connected", ExchangeEnd.NOT_CONNECTED),
        ):
            with self.subTest(outcome=outcome, end=end):
                self.assertIs(RunEnd.OTHER, self.end(outcome, end))

    def test_an_answer_that_ends_with_its_connection_clears_no_part_of_its_prompt(self):
        closed = {"end": ExchangeEnd.COMPLETE, "was_closed": True}
        self.assertIs(RunEnd.OTHER, self.end("success", **closed))
        self.assertIs(RunEnd.CRASHED, self.end("success", **closed, has_begun=False))
        self.assertIs(RunEnd.CRASHED, self.end("broken", **closed))

    def test_a_whole_answer_that_reports_a_failure_is_no_crash(self):
        self.assertIs(RunEnd.FAILED, self.end("failure", ExchangeEnd.COMPLETE))
        self.assertIs(RunEnd.OTHER, self.end("failure", ExchangeEnd.COMPLETE, was_closed=True))

    def test_a_whole_answer_is_complete(self):
        self.assertIs(RunEnd.COMPLETE, self.end("success", ExchangeEnd.COMPLETE))


class QuarantineTest(GatewayCase):
    """Quarantine at one gateway; the last part of each prompt is its own."""

    def ask(self, world, data=PROMPT):
        with world.connect() as connection:
            connection.sendall(data.replace(b"HTTP/1.1\r\n", b"HTTP/1.1\r\nConnection: close\r\n"))
            return read_all(connection)

    def decisions(self, world):
        lines = world.metrics.text().splitlines()
        return {line.split('"')[1]: int(line.split()[-1]) for line in lines if "decision=" in line}

    def convict(self, world):
        """Crash engines until the prompts are refused; return the refusal."""
        deadline_s, number = time.monotonic() + TIMEOUT_S, 0
        while time.monotonic() < deadline_s:
            number += 1
            other = PROMPT.replace(b"Id: r1", b"Id: c%d" % number)
            found = self.ask(world, other.replace(b"/quote/2f", b"/quote/%x" % number))
            if b" 503 " in found and b"prompt_part_quarantined" in found:
                break
            time.sleep(0.1)
        return found

    def test_a_prompt_whose_parts_crash_engines_is_refused_with_its_cause(self):
        world = self.world(engines=[resets() for _ in range(6)])
        found = self.convict(world)
        head, _, body = found.partition(b"\r\n\r\n")
        self.assertIn(b"Retry-After: 30.", head)
        self.assertIn(b"Content-Type: application/json", head)
        error = json.loads(body)["error"]
        self.assertEqual(("prompt_part_quarantined", ["a", "b"]), (error["type"], error["part"]))
        sent = len(self.sent())
        self.assertLessEqual(sent, 5)
        self.assertIn(b" 503 ", self.ask(world))
        self.assertEqual(sent, len(self.sent()))
        self.assertEqual(1, self.decisions(world)["part_quarantined"])

    def test_a_plain_request_and_another_prompt_are_served_beside_it(self):
        world = self.world(engines=[resets() for _ in range(6)], plain=[replies(answer(b"booked"))])
        self.convict(world)
        self.assertIn(b"booked", self.ask(world, request()))
        for engine in self.engines:
            engine._script = replies(WHOLE_STREAM)
        other = PROMPT.replace(b"a:10,b:10", b"a:10,d:10")
        self.assertIn(b"data: t1", self.ask(world, other))

    def test_an_answer_clears_the_parts_of_a_run_that_broke_for_another_reason(self):
        world = self.world(engines=[resets(), resets()])
        self.ask(world)
        for engine in self.engines:
            engine._script = replies(WHOLE_STREAM)
        for _ in range(3):
            self.assertIn(b"data: t1", self.ask(world))
        decisions = self.decisions(world)
        self.assertEqual(1, decisions["part_cleared"])
        self.assertNotIn("part_quarantined", decisions)

    def test_a_stalled_engine_is_no_evidence(self):
        world = self.world(engines=[lambda *_: None, lambda *_: None])
        self.assertIn(b" 50", self.ask(world))
        self.assertEqual({}, self.decisions(world))

    def test_an_empty_answer_that_ends_with_its_connection_is_a_crash(self):
        def closes(connection, _request):
            connection.sendall(CLOSE_DELIMITED_HEAD)
            connection.shutdown(2)

        world = self.world(engines=[closes])
        self.ask(world)
        await_true(lambda: "part_suspected" in self.decisions(world))

    def test_a_prompt_is_not_written_once_its_part_is_convicted(self):
        world = self.world(engines=[replies(WHOLE_STREAM)])
        gate = world.gateway._gate

        def convict_while_connecting(send_request, send, now_ms):
            run = begin_run(send_request, send, now_ms)
            gate.add_stored(StoredQuarantine((VERDICT,)))
            return run

        begin_run, gate.begin_run = gate.begin_run, convict_while_connecting
        self.assertIn(b" 503 ", self.ask(world))
        self.assertEqual([], self.sent())

    def test_prompts_wait_after_a_pause_until_the_verdicts_are_read(self):
        world = self.world(engines=[replies(WHOLE_STREAM)])
        gate = world.gateway._gate
        gate.record_check()
        gate.on_pause = lambda: gate.add_stored(StoredQuarantine((VERDICT,)))
        world.clock.advance_ms(4_000)
        self.assertIn(b" 503 ", self.ask(world))
        self.assertEqual([], self.sent())

    def test_no_prompt_is_refused_after_a_pause_if_the_verdicts_cannot_be_read(self):
        world = self.world(engines=[replies(WHOLE_STREAM)])
        world.gateway._gate.record_check()
        world.clock.advance_ms(4_000)
        self.assertIn(b"data: t1", self.ask(world))
