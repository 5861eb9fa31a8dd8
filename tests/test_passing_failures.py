"""Tests of requests that are passed on while instances stop, are killed or are cut too."""

import random
import re
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from standins.links import LinkState
from tests.builders import await_true
from tests.recovercase import CutCase, encode, read_answer

REFUSAL_S = 0.3
SETTLE_S = 2.0
PAUSE_S = 1.5
STABILITY_WINDOW_S = 3.0
CALLERS = 16
SEEDS = (1,)
ROUNDS = 2


class KilledHelperTest(CutCase):
    def restart(self, number):
        self.nodes[number].kill()
        self.nodes[number] = self.fleet.start_node(number)

    def send_orders(self, seed, stopped, answers):
        draw = random.Random(seed)
        while not stopped.is_set():
            request = f"{seed}-{draw.getrandbits(40):010x}"
            node = draw.choice(self.nodes)
            answers[request] = self.ask(
                node,
                f"/order/a?first={draw.choice((0, 30, 200, 1_000))}",
                request=request,
                X_Deadline_Milliseconds="2500",
            )
            time.sleep(draw.uniform(0, 0.05))

    def disturb(self, draw):
        numbers = draw.sample(range(4), 3)
        for number in numbers[:2]:
            how = draw.choice((LinkState.HANG, LinkState.RESET, LinkState.REFUSE))
            self.fleet.set_links(number, how)
            time.sleep(draw.uniform(0, 1))
        time.sleep(draw.uniform(0, 1))
        self.restart(numbers[2])
        time.sleep(draw.uniform(0, 1))
        for number in numbers[:2]:
            self.fleet.set_links(number, LinkState.OPEN)
        self.nodes[numbers[2]].wait_ready()

    def test_an_order_never_runs_twice_and_a_refusal_is_true(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                answers, stopped = {}, threading.Event()
                with ThreadPoolExecutor(CALLERS) as pool:
                    for caller in range(CALLERS):
                        pool.submit(self.send_orders, 100 * seed + caller, stopped, answers)
                    try:
                        draw = random.Random(seed)
                        for _ in range(ROUNDS):
                            self.disturb(draw)
                    finally:
                        stopped.set()
                time.sleep(1.5)  # requests that were held back on links reach servers
                runs = self.fleet.run_counts()
                self.assertEqual({}, {r: runs[r] for r in answers if runs[r] > 1})
                refused = [r for r, answer in answers.items() if answer.status == 503]
                self.assertEqual([], [r for r in refused if runs[r]])
                served = [r for r, answer in answers.items() if answer.status == 200]
                self.assertEqual([], [r for r in served if not runs[r]])
                self.assertGreater(len(served), 100)
                self.assertTrue(any(self.was_passed_on(node, answers) for node in self.nodes))

    def was_passed_on(self, node, requests):
        log = node.log_path.read_text(encoding="utf-8", errors="replace")
        passed = re.findall(r"request=(\S+) outcome=answered_elsewhere status=200", log)
        return not requests.keys().isdisjoint(passed)


class NobodyHelpsTest(CutCase):
    def check_refused(self, node):
        request = self.new_id()
        answer = self.ask(node, "/order/a", request=request)
        self.assertEqual(503, answer.status, node.name)
        self.assertIn("retry-after", answer.fields)
        self.assertLess(answer.duration_s, REFUSAL_S, node.name)
        return request

    def test_two_cut_instances_refuse_at_once_when_nobody_helps(self):
        for stopped in (2, 3):
            self.nodes[stopped].signal(signal.SIGSTOP)
            self.addCleanup(self.nodes[stopped].signal, signal.SIGCONT)
        for how in (LinkState.REFUSE, LinkState.RESET, LinkState.HANG):
            with self.subTest(how=how.value):
                self.cut(0, how)
                self.fleet.set_links(1, how)
                time.sleep(SETTLE_S)
                requests = [self.check_refused(node) for node in self.nodes[:2]]
                for number in (0, 1):
                    self.fleet.set_links(number, LinkState.OPEN)
                for node in self.nodes[:2]:
                    self.await_local(node)
                self.assertFalse(self.fleet.run_counts().keys() & requests)

    def test_requests_outlast_a_pause_of_the_only_instance_that_helps(self):
        # RECOVER: all of them were broken off after a second, though no other instance helped.
        for stopped in (2, 3):
            self.nodes[stopped].signal(signal.SIGSTOP)
            self.addCleanup(self.nodes[stopped].signal, signal.SIGCONT)
        node = self.cut(0, LinkState.RESET)
        time.sleep(SETTLE_S)
        with ThreadPoolExecutor(CALLERS) as pool:
            asked = [pool.submit(self.ask, node, "/lookup/a?first=300") for _ in range(CALLERS)]
            time.sleep(0.2)
            self.nodes[1].signal(signal.SIGSTOP)
            time.sleep(PAUSE_S)
            self.nodes[1].signal(signal.SIGCONT)
            self.assertEqual([200] * CALLERS, [future.result().status for future in asked])


class StopDuringCutTest(CutCase):
    def begin(self, node):
        """Send a stream and an order and return what reads their answers."""
        started_s, readers = time.monotonic(), []
        for target in ("/stream/a?events=12&gap=100", "/order/a?first=600"):
            connection, request = self.connect(node), self.new_id()
            connection.sendall(encode(target, request))
            readers.append(lambda connection=connection: read_answer(connection, started_s))
            await_true(lambda request=request: request in self.fleet.seen())
        return readers

    def check(self, how, stopped):
        """Cut an instance, stop it or its helper, and check what its callers get."""
        node = self.cut(0, how)
        self.fleet.store.set_faults(silent=True)
        try:
            readers = self.begin(node)
            self.nodes[stopped].terminate()
            for target in ("/lookup/a", "/order/a"):
                request = self.new_id()
                answer = self.ask(node, target, request=request)
                found = (answer.status, answer.is_whole)
                self.assertEqual((200, True), found, self.log_line(node, request))
            for read in readers:
                answer = read()
                self.assertEqual((200, True), (answer.status, answer.is_whole))
            self.nodes[stopped].process.wait(10)
        finally:
            self.fleet.store.set_faults()
        self.nodes[stopped] = self.fleet.start_node(stopped)
        self.nodes[stopped].wait_ready()
        self.open_links()

    def test_an_instance_that_has_just_started_is_helped_with_a_silent_store(self):
        self.nodes[0].terminate()
        self.nodes[0].process.wait(10)
        node = self.nodes[0] = self.fleet.start_node(0)
        node.wait_ready()
        self.fleet.store.set_faults(silent=True)
        self.addCleanup(self.fleet.store.set_faults)
        self.fleet.set_links(0, LinkState.RESET)
        started_s = time.monotonic()
        while self.ask(node, "/lookup/a").status != 200:
            self.assertLess(time.monotonic() - started_s, STABILITY_WINDOW_S)
            time.sleep(0.05)

    def test_a_cut_instance_stops_with_a_silent_store(self):
        for how in (LinkState.HANG, LinkState.RESET):
            with self.subTest(how=how.value):
                self.check(how, 0)

    def test_the_instance_that_helps_stops_with_a_silent_store(self):
        for how in (LinkState.RESET, LinkState.REFUSE):
            with self.subTest(how=how.value):
                self.check(how, 2)
