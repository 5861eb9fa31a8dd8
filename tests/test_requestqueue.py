"""Tests of the queue for engine memory, and of its effect under overload."""

import unittest
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from bergamothill.process.serverpool import ServerPool
from bergamothill.request.requestqueue import QueuedRequest, RequestQueue
from bergamothill.request.serverchoice import NoFreeMemory
from tests.builders import backend, caller_request, routing_config, server_pool

LLM = routing_config().services["llm"]


def waiting(urgency=0, arrived_ms=0, tokens=1_000, on_time_until_ms=10**9, give_up_ms=2_000):
    return QueuedRequest(urgency, arrived_ms, tokens, on_time_until_ms, give_up_ms)


class QueueTest(unittest.TestCase):
    def test_urgency_first_then_arrival(self):
        queue = RequestQueue()
        late, early, urgent = waiting(2, 9), waiting(2, 1), waiting(0, 20)
        for request in (late, early, urgent):
            self.assertTrue(queue.enqueue(request, 20))
        order = []
        while (head := queue.peek(20)) is not None:
            order.append(head)
            queue.discard(head)
        self.assertEqual([urgent, early, late], order)

    def test_who_is_late_anyway_comes_after_those_who_are_not(self):
        queue = RequestQueue()
        late, timely = waiting(arrived_ms=1, on_time_until_ms=400), waiting(arrived_ms=300)
        queue.enqueue(late, 300)
        queue.enqueue(timely, 300)
        self.assertIs(late, queue.peek(400))
        self.assertIs(timely, queue.peek(401))
        queue.enqueue(waiting(urgency=1, arrived_ms=300), 401)
        queue.discard(timely)
        self.assertIs(late, queue.peek(401))

    def test_a_request_that_would_time_out_in_the_queue_is_refused(self):
        queue = RequestQueue()
        for now_ms in range(0, 2_000, 100):
            queue.record_admission(100, now_ms)
        self.assertTrue(queue.enqueue(waiting(tokens=1_500, arrived_ms=1, give_up_ms=9_000), 2_000))
        self.assertTrue(queue.enqueue(waiting(arrived_ms=2, give_up_ms=9_000), 2_000))
        self.assertFalse(queue.enqueue(waiting(arrived_ms=3, give_up_ms=2_500), 2_000))
        self.assertTrue(queue.enqueue(waiting(urgency=-1, arrived_ms=4, give_up_ms=2_500), 2_000))

    def test_without_a_measured_rate_all_requests_may_wait(self):
        queue = RequestQueue()
        self.assertTrue(queue.enqueue(waiting(), 0))
        self.assertTrue(queue.enqueue(waiting(arrived_ms=1, give_up_ms=10), 0))

    @given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=60))
    def test_length_counts_those_that_wait(self, steps):
        queue, inside = RequestQueue(), []
        for number, (urgency, leaves) in enumerate(steps):
            if leaves and inside:
                queue.discard(inside.pop(0))
            else:
                request = waiting(urgency, number, give_up_ms=10**9)
                queue.enqueue(request, number)
                inside.append(request)
            self.assertEqual(len(inside), len(queue))


@dataclass
class Run:
    """Run on a simulated engine.

    :param prefill_left: prompt tokens still to be prefilled
    :param decode_left: tokens still to be generated
    """

    arrived_ms: int
    tokens: int
    prefill_left: int
    decode_left: int
    first_ms: int | None = None


class Engine:
    """Simulated engine: prefills one prompt at a time and decodes for all running prompts.

    When its memory is full, it preempts the newest run, whose prompt is then prefilled again.
    """

    STEP_MS = 25
    PREFILL_TOKENS = 2_048

    def __init__(self, memory_tokens):
        self.memory_tokens = memory_tokens
        self.running: list[Run] = []
        self.waiting: list[Run] = []
        self.preempted = 0

    def step(self, now_ms):
        while self.waiting and self.used() < self.memory_tokens:
            self.running.append(self.waiting.pop(0))
        prefilling = next((run for run in self.running if run.prefill_left > 0), None)
        if prefilling is not None:
            prefilling.prefill_left -= self.PREFILL_TOKENS
        for run in self.running:
            if run.prefill_left <= 0:
                run.decode_left -= 1
                run.first_ms = run.first_ms if run.first_ms is not None else now_ms
        done = [run for run in self.running if run.decode_left <= 0]
        self.running = [run for run in self.running if run.decode_left > 0]
        while self.used() > self.memory_tokens and len(self.running) > 1:
            newest = self.running.pop()
            newest.prefill_left = newest.tokens
            self.waiting.append(newest)
            self.preempted += 1
        return done

    def used(self):
        return sum(run.tokens - max(0, run.prefill_left) for run in self.running)


def simulate_burst(pool: ServerPool, uses_queue, length_ms=30_000):
    """Simulate a burst that fills the engines, followed by normal load.

    :returns: share of the normal load that got a first token in time, and number of preempted runs
    """
    engines = {f"s{n}": Engine(LLM.engine.memory_tokens) for n in (1, 2)}
    server_by_run: dict[int, str] = {}
    queue: list[Run] = []
    in_time = offered = 0
    due = 0.0
    for now_ms in range(0, length_ms, Engine.STEP_MS):
        due += Engine.STEP_MS / 1_000 * (30 if now_ms < 4_000 else 6)
        while due >= 1:
            due -= 1
            queue.append(Run(now_ms, 12_000, 12_000, 80))
            offered += now_ms >= 10_000
        queue = [run for run in queue if now_ms - run.arrived_ms < 2_100]
        while queue:
            request = caller_request(parts=(), prompt_tokens=12_000, arrived_ms=now_ms)
            for server_id in ("s1", "s2"):
                pool.record_bytes(server_id, now_ms)
            choice = pool.choose(LLM, request, None, (), 0, now_ms)
            if isinstance(choice, NoFreeMemory):
                if uses_queue:
                    break
                server = min(engines, key=lambda s: len(engines[s].running + engines[s].waiting))
            else:
                server = choice[0].server
            run = queue.pop(0)
            pool.request_started(server, run.tokens, run.tokens, now_ms)
            engines[server].waiting.append(run)
            server_by_run[id(run)] = server
        for name, engine in engines.items():
            for run in engine.step(now_ms):
                pool.request_ended(name, run.tokens)
                pool.prompt_prefilled(name, run.tokens)
                if run.arrived_ms >= 10_000 and run.first_ms - run.arrived_ms < 2_400:
                    in_time += 1
    return in_time / offered, sum(engine.preempted for engine in engines.values())


class OverloadTest(unittest.TestCase):
    """Load: a burst of four times the capacity of the engines' memory, then normal load.

    Without a queue the burst makes engines preempt runs, and first tokens stay late after it.
    """

    def test_after_a_burst_callers_get_their_first_tokens_again(self):
        with_queue, preempted = simulate_burst(
            server_pool(backend("s1"), backend("s2")), uses_queue=True
        )
        without_queue, preempted_without = simulate_burst(
            server_pool(backend("s1"), backend("s2")), uses_queue=False
        )
        self.assertGreater(with_queue, 0.8)
        self.assertGreater(with_queue, without_queue + 0.3)
        self.assertEqual(0, preempted)
        self.assertGreater(preempted_without, 10)
