"""Tests of chats and service calls while stores, platform services or callers fail."""

import json
import signal
import socket
import time

from bergamothill.errors import BergamothillError
from bergamothill.ids import BrandName
from bergamothill.version.change import AddBrand
from scripts.deployment import DeploymentShape, bearer_key, wait_until
from tests.failureworld import (
    ENGINE_OPTIONS,
    QUESTION,
    RECEIVE_BUFFER_BYTES,
    SILENT_CONNECTIONS,
    FailureTestCase,
    long_prompt,
)


class StoreFaultTests(FailureTestCase):
    shape = DeploymentShape(
        zones=2,
        entries=2,
        engines=2,
        stores=1,
        engine_options=("--answer-tokens", "4", "--decode-ms", "5"),
        drain_notice_ms=0,
    )

    def tearDown(self):
        if self.deployment.stores[0].process.poll() is None:
            self.deployment.stores[0].signal(signal.SIGCONT)
            self.deployment.stores[0].json("POST", "/wipe", {})
        super().tearDown()

    def keep_at_store_only(self, name, blocks=3):
        """Leave the blocks of a prompt at the store only; return the prompt and its answer."""
        prompt = long_prompt(name, blocks)
        before = self.deployment.stored_blocks()
        first = self.ask(messages=prompt)
        self.assertTrue(first.is_whole)
        blocks_stored = lambda: self.deployment.stored_blocks() >= before + blocks  # noqa: E731
        wait_until(blocks_stored, "the blocks are stored")
        self.deployment.evict_all()
        return prompt, first.text

    def assert_recomputed(self, prompt, expected):
        """Repeat the prompt in the other zone, which knows nothing of the engines' caches."""
        answer = self.ask(1, messages=prompt)
        self.assertEqual((True, expected), (answer.is_whole, answer.text), answer.error)
        self.assertEqual(0, answer.cached_tokens)
        self.assertTrue(all(run["intact"] for run in self.runs()))
        return answer

    def test_kept_blocks_are_restored_without_a_fault(self):
        prompt, expected = self.keep_at_store_only("healthy")
        answer = self.ask(1, messages=prompt)
        self.assertEqual(expected, answer.text)
        self.assertGreater(answer.cached_tokens, 0)

    def test_full_store_costs_recomputation_only(self):
        self.deployment.stores[0].set_faults(full=True)
        prompt = long_prompt("full", 2)
        first = self.ask(messages=prompt)
        self.deployment.evict_all()
        self.assert_recomputed(prompt, first.text)

    def test_partly_written_blocks_are_not_used(self):
        self.deployment.stores[0].set_faults(partial_put_bytes=100)
        prompt = long_prompt("partial", 2)
        first = self.ask(messages=prompt)
        put_calls = lambda: self.deployment.stores[0].json("GET", "/stats").get("put", 0)  # noqa: E731
        wait_until(put_calls, "a put was attempted")
        self.deployment.evict_all()
        self.assert_recomputed(prompt, first.text)

    def test_stalled_import_is_given_up_for_recomputation(self):
        prompt, expected = self.keep_at_store_only("stalled")
        self.deployment.stores[0].set_faults(read_bytes_per_s=1_000, path="/objects/")
        self.assert_recomputed(prompt, expected)

    def test_store_stopped_before_the_look_up_costs_recomputation_only(self):
        prompt, expected = self.keep_at_store_only("stopped")
        self.deployment.stores[0].signal(signal.SIGSTOP)
        self.assert_recomputed(prompt, expected)

    def test_z_store_killed_between_look_up_and_import_costs_recomputation_only(self):
        prompt, expected = self.keep_at_store_only("zz-killed")
        store = self.deployment.stores[0]
        lists = store.json("GET", "/stats").get("list", 0)
        store.set_faults(read_bytes_per_s=1_000, path="/none")
        answers = []
        thread = self.ask_in_thread(answers, entry=1, messages=prompt)
        wait_until(lambda: self.looked_up(lists), "the blocks are looked up")
        store.kill()
        thread.join()
        self.assertEqual((True, expected), (answers[0].is_whole, answers[0].text))
        self.assertTrue(all(run["intact"] for run in self.runs()))

    def looked_up(self, lists):
        stats = self.deployment.stores[0].json("GET", "/stats")
        return stats.get("list", 0) > lists and stats.get("get", 0) > 0


class PlatformFaultTests(FailureTestCase):
    shape = DeploymentShape(
        zones=1,
        entries=2,
        engines=1,
        stores=0,
        engine_options=("--answer-tokens", "4", "--decode-ms", "5"),
        drain_notice_ms=0,
    )

    def assert_serving(self, entry=0):
        answer = self.ask(entry)
        self.assertTrue(answer.is_whole, answer.error)
        for path in ("/healthz", "/readyz"):
            self.assertEqual(200, self.deployment.caller(entry).request("GET", path).status)

    def effects(self):
        return len(self.deployment.booking.json("GET", "/effects"))

    def test_stopped_key_value_service_leaves_chats_alone_and_refuses_keyed_calls(self):
        self.deployment.kvs.signal(signal.SIGSTOP)
        before = self.effects()
        for entry in (0, 1):
            self.assert_serving(entry)
        caller = self.deployment.caller(0)
        path = "/v1/services/booking/pickups"
        reply = caller.request("POST", path, b"{}", Idempotency_Key="frozen")
        error = json.loads(reply.body)["error"]
        self.assertEqual((503, "not_run"), (reply.status, error["execution"]))
        self.assertIsNotNone(error["retry_after_ms"])
        self.assertEqual(before, self.effects())
        self.assertEqual(201, caller.request("POST", path, b"{}").status)
        self.deployment.kvs.signal(signal.SIGCONT)
        time.sleep(0.5)
        self.assertEqual(before + 1, self.effects())

    def test_entry_started_in_an_outage_takes_its_configuration_from_a_peer(self):
        revision = self.deployment.status(0)["revision"]
        self.deployment.kvs.set_faults(outage=True, path="/")
        entry = self.deployment.start_entry(len(self.deployment.entries))
        entry.wait_ready()
        number = len(self.deployment.entries) - 1
        status = self.deployment.status(number)
        self.assertEqual((revision, False), (status["revision"], status["kvs_reachable"]))
        wait_until(lambda: self.ask(number).is_whole, "the new entry serves")

    def test_restored_key_value_service_is_refused_and_reported(self):
        self.deployment.kvs.json("POST", "/snapshot", {})
        newer = self.deployment.submit(AddBrand(BrandName("newcomer")))
        wait_until(lambda: self.revisions() == {newer}, "the change is in force")
        self.deployment.kvs.set_faults(outage=True, path="/v1/kv")
        self.deployment.kvs.json("POST", "/restore", {})
        self.deployment.kvs.set_faults(outage=True, path="/none")
        seen = set()

        def is_reported():
            for number in range(len(self.deployment.entries)):
                seen.add(self.deployment.status(number)["refused_reason"])
            self.assertEqual({newer}, self.revisions())
            return "rolled_back" in seen or self.has_logged_refusal()

        wait_until(is_reported, "an entry instance reports the older state")
        self.assert_serving()
        self.assertEqual({newer}, self.revisions())

    def has_logged_refusal(self):
        """Search the logs, as the status shows a refusal only until the state is written back."""
        numbers = range(len(self.deployment.entries))
        logs = (self.deployment.log_path(f"entry-{number}").read_text() for number in numbers)
        return any("configuration_refused" in log and "rolled_back" in log for log in logs)

    def revisions(self):
        return {self.deployment.status(number)["revision"] for number in (0, 1)}

    def test_instance_list_away_leaves_requests_alone(self):
        self.deployment.instance_list.set_faults(outage=True, path="/instances")
        time.sleep(1.0)
        for entry in (0, 1):
            self.assert_serving(entry)
        self.deployment.kvs.signal(signal.SIGSTOP)
        self.assert_serving()


class CallerFaultTests(FailureTestCase):
    shape = DeploymentShape(
        zones=1,
        entries=1,
        engines=1,
        stores=0,
        engine_options=ENGINE_OPTIONS,
        drain_notice_ms=0,
    )

    def open_stream(self, max_tokens):
        """Send a chat on a raw socket with a small receive buffer, and read nothing."""
        host, _, port = self.deployment.entries[0].address.rpartition(":")
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.connect((host, int(port)))
        self.addCleanup(connection.close)
        document = {"model": "manual", "messages": QUESTION, "stream": True}
        body = json.dumps({**document, "max_tokens": max_tokens}).encode()
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
            f"Authorization: Bearer {bearer_key('kowhai')}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        connection.sendall(head.encode() + body)
        return connection

    def in_progress(self):
        return self.deployment.status(0)["in_progress"]

    def test_callers_that_read_nothing_hold_up_no_other(self):
        expected = self.expected_text()
        for _ in range(20):
            self.open_stream(400)
        wait_until(lambda: self.in_progress() >= 20, "the streams are open")
        answer = self.ask()
        self.assertEqual((True, expected), (answer.is_whole, answer.text))

    def test_caller_that_leaves_in_mid_stream_can_come_back_for_the_rest(self):
        expected = self.expected_text()
        counts = self.run_counts()
        part = []

        def leave(answer):
            if len(answer.event_ids) == 20:
                part.append((answer.event_ids[-1], answer.text))
                raise BergamothillError("leaving", step="test")

        with self.assertRaises(BergamothillError):
            self.ask(on_event=leave)
        wait_until(lambda: self.in_progress() == 0, "the entry instance drops the stream")
        event_id, text = part[0]
        rest = self.deployment.caller(0).resume(event_id)
        self.assertEqual((True, expected), (rest.is_whole, text + rest.text), rest.error)
        self.assertEqual(sum(counts) + 1, sum(self.run_counts()))

    def test_silent_connections_keep_neither_health_checks_nor_chats_out(self):
        host, _, port = self.deployment.entries[0].address.rpartition(":")
        for number in range(SILENT_CONNECTIONS):
            connection = socket.create_connection((host, int(port)))
            self.addCleanup(connection.close)
            if number % 2:
                connection.sendall(b"GET /healthz HTTP/1.1\r\n")
        for path in ("/healthz", "/readyz"):
            with self.subTest(path):
                reply = self.deployment.caller(0).request("GET", path)
                self.assertEqual(200, reply.status)
        answer = self.ask()
        self.assertTrue(answer.is_whole, answer.error)
