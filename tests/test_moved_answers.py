"""Tests of answers whose servers are silent, break off, refuse or fail beside other attempts."""

import asyncio
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

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

EVENTS = 6
EVENT_GAP_S = 0.08
SETTLE_S = 0.25
WORLDS = 24
CALLERS = 5
BODY = b"whole answer"
REFUSAL = answer(b"", status=b"503 Full", headers=b"X-Not-Executed: 1\r\n")
FAILURE = answer(b"failed", status=b"500 Failed", headers=b"")
WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


def caller_request(path, method=b"POST"):
    """Encode a request whose answer ends the connection."""
    data = request(path, method=method, headers=PROMPT_HEADERS + b"Connection: close\r\n")
    return data.replace(b"X-Deadline-Milliseconds: 3000", b"X-Deadline-Milliseconds: 11000")


BAD_RUNS = ("broken:1", "failed")

PROMPT = caller_request(b"/quote/0")
PLAIN = caller_request(b"/book/open/0", b"GET")


class Left(OSError):
    """The gateway closed the connection."""


def wait(connection, duration_s):
    """Wait, unless the other side closes the connection meanwhile."""
    if duration_s <= 0:
        return
    connection.settimeout(duration_s)
    try:
        if connection.recv(1) == b"":
            raise Left
    except TimeoutError:
        return
    finally:
        connection.settimeout(TIMEOUT_S)


class Run:
    """One arrival of a request at an engine.

    :param server: number of the engine
    :param data: the request
    """

    def __init__(self, server, data):
        head = data.partition(b"\r\n\r\n")[0].lower()
        self.server = server
        self.call = int(data.split(b" ", 2)[1].rpartition(b"/")[2])
        self.is_plain = data.startswith(b"GET")
        self.first = int(head.partition(b"last-event-id: ")[2].partition(b"\r\n")[0] or 0) + 1
        self.end = "at work"
        self.ended_s = 0.0

    def pieces(self):
        """Return the parts of the whole answer."""
        if self.is_plain:
            return [answer(BODY)[:-7], BODY[-7:]]
        numbers = range(self.first, EVENTS + 1)
        return [STREAM_HEAD, *(chunk(event(number)) for number in numbers), b"0\r\n\r\n"]


def play(fate, run, connection, pause):
    """Answer a request as a fate says; return how that ended.

    :param fate: "whole", or how the answer goes wrong and after how many parts
    :param pause: waits before each part
    """
    kind, _, after = fate.partition(":")
    for number, piece in enumerate(run.pieces()):
        if kind != "whole" and number >= int(after or 0):
            wait(connection, SETTLE_S)
            pause(connection)
            bad = {"refused": REFUSAL, "failed": FAILURE}.get(kind, b"")
            if kind == "garbled":
                bad = piece + b"zz\r\n"
            connection.sendall(bad)
            if kind in ("broken", "garbled"):
                connection.shutdown(2)
            return kind
        pause(connection)
        connection.sendall(piece)
        wait(connection, EVENT_GAP_S)
    return "whole"


class Fleet:
    """Scripted engines of one gateway, and a record of the runs at them.

    :param fates: returns the fate of a run, given it and the number of earlier ones of its request
    :param silences: times between which each engine sends nothing, one list for each
    """

    def __init__(self, fates, silences):
        self.runs = []
        self.started_s = time.monotonic()
        self._fates = fates
        self._silences = silences
        self._lock = threading.Lock()

    def scripts(self):
        return [self._script(server) for server in range(len(self._silences))]

    def _script(self, server):
        def pause(connection):
            for start_s, end_s in self._silences[server]:
                now_s = time.monotonic() - self.started_s
                if start_s <= now_s < end_s:
                    wait(connection, end_s - now_s)

        def script(connection, data):
            run = Run(server, data)
            with self._lock:
                earlier = sum(r.call == run.call for r in self.runs)
                self.runs.append(run)
            try:
                end = play(self._fates(run, earlier), run, connection, pause)
            except OSError:
                end = "left"
            run.ended_s, run.end = time.monotonic(), end
            if end == "garbled":
                run.ended_s += SETTLE_S

        return script


def classify(received):
    """Return what a caller received: whole, cut, none, or the status."""
    head, _, body = received.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        return head[9:12].decode() or "none"
    if b"chunked" not in head:
        return "whole" if body == BODY else f"other body {body!r}"
    is_ended = body.endswith(b"0\r\n\r\n")
    events = b"".join(p for p in body.removesuffix(b"0\r\n\r\n").split(b"\r\n")[1::2])
    if not WHOLE.startswith(events):
        return f"other events {events!r}"
    if is_ended:
        return "whole" if events == WHOLE else f"ended after {events!r}"
    return "cut"


class MovedAnswersTest(GatewayCase):
    def start(self, fleet, *, full=(), retries=1_000):
        """Start a gateway before a fleet; all routes lead to engines and allow two servers."""
        world = self.world(engines=fleet.scripts())
        routes = operator_config()["routes"]
        for route in routes[:1] + routes[2:]:
            route.pop("trafficSplit", None)
            route.update(service="llm", timeoutMs=11_000, targetLatencyMs=1_500, maxAttempts=2)
        world.config.apply(routing_config(version=8, routes=routes), 8, world.clock.now_ms())
        for server in full:
            world.server_pool.request_started(server, 95_000, 0, world.clock.now_ms())
        world.gateway.retry_budget("llm").slack = retries
        fleet.started_s = time.monotonic()
        return world

    def call(self, world, data, leaves_after_s=None):
        """Send a request; return what came, or ``None`` if the caller left."""
        with world.connect() as connection:
            connection.sendall(data)
            if leaves_after_s is not None:
                connection.settimeout(leaves_after_s)
            try:
                return read_all(connection)
            except TimeoutError:
                return None if leaves_after_s is not None else b"<no end>"

    def check(self, fleet, call, received):
        """Compare what a caller received with the runs of its request."""
        runs = [run for run in fleet.runs if run.call == call]
        began = {run.server for run in runs if run.end != "refused"}
        story = [(run.server, run.first, run.end, run.ended_s - fleet.started_s) for run in runs]
        self.assertLessEqual(len(began), 2, f"sent to more servers than allowed: {story}")
        if received is None:
            return
        result = classify(received)
        if result == "whole":
            return
        self.assertIn(result, ("cut", "500", "502", "503"), story)
        if result == "503":
            self.assertEqual({"refused"}, {run.end for run in runs} | {"refused"}, story)
        bad_s = max((r.ended_s for r in runs if r.end not in ("left", "at work")), default=0.0)
        left = [run for run in runs if run.end == "at work" or run.end == "left"]
        closed = [run for run in left if run.end == "at work" or run.ended_s > bad_s]
        self.assertEqual([], closed, f"{result} though a server was at work: {story}")

    def check_released(self, world, full=()):
        """Check that nothing is left of the requests."""
        await_true(lambda: world.in_progress() == 0)
        await_true(lambda: len(asyncio.all_tasks(world._loop)) == len(world._tasks))
        for server in full:
            world.server_pool.request_ended(server, 95_000)
        for state in world.server_pool._observed.values():
            left = (state.in_progress, state.tokens, state.pending_prefill_tokens)
            self.assertEqual((0, 0, 0, 0, 0), (*left, state.streaming, state.unread))
        self.assertEqual(0, world.gateway.buffered_bytes)
        self.assertEqual(0, len(world.gateway.admission_queue("llm").requests))

    def play(self, *plans, data=PROMPT):
        """Play one request at each of some fleets at the same time; return what came."""
        fleets = [Fleet(lambda _run, n, fates=fates: fates[n], quiet) for fates, quiet in plans]
        worlds = [self.start(fleet) for fleet in fleets]
        with ThreadPoolExecutor(len(plans)) as pool:
            received = list(pool.map(lambda world: self.call(world, data), worlds))
        for fleet, world, answered in zip(fleets, worlds, received, strict=True):
            self.check(fleet, 0, answered)
            self.check_released(world)
        return [classify(answered) for answered in received]

    def test_random_silences_breaks_refusals_failures_and_leaving_callers(self):
        threads, plays, failures = [], [], []
        for number in range(WORLDS):
            draw = random.Random(number)
            fleet = Fleet(random_fates(number), [random_silences(draw) for _ in range(3)])
            full = ("s0", "s1", "s2")[3 - number % 3 :]
            world = self.start(fleet, full=full, retries=(1_000, 52)[number % 2])
            plays.append((fleet, world, full))
            for call in range(CALLERS):
                args = (fleet, world, call, random.Random(100 * number + call), failures)
                threads.append(threading.Thread(target=self.play_caller, args=args))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for _, world, full in plays:
            self.check_released(world, full)
        self.assertEqual([], failures[:3], f"{len(failures)} of {WORLDS * CALLERS}")

    def play_caller(self, fleet, world, call, draw, failures):
        time.sleep(draw.uniform(0, 1))
        data = (PROMPT if draw.random() < 0.7 else PLAIN).replace(b"/0 ", b"/%d " % call)
        leaves_after_s = draw.uniform(0.1, 3) if draw.random() < 0.2 else None
        received = self.call(world, data, leaves_after_s)
        time.sleep(SETTLE_S)
        try:
            self.check(fleet, call, received)
        except AssertionError as error:
            failures.append(str(error))

    def test_an_answer_outlives_the_failure_of_a_server_it_was_to_move_to(self):
        bad = (*BAD_RUNS, "refused")
        plans = [(("whole", f), [[(s, 1.8)], []]) for f in bad for s in (0.05, 0)]
        self.assertEqual(["whole"] * 6, self.play(*plans))

    def test_a_move_outlives_the_failure_of_the_server_it_leaves(self):
        plan = (("failed", "whole"), [[(0, 1.2)], [(0, 1.8)]])
        self.assertEqual(["whole"], self.play(plan))

    def test_a_failure_does_not_end_a_stream_that_has_begun_as_if_it_were_whole(self):
        self.assertEqual(["cut"], self.play((("broken:3", "failed"), [[], []])))

    def test_a_request_runs_on_no_third_server_while_the_first_is_silent(self):
        plans = [(("whole", fate, "whole"), [[(0.05, 2)], [], []]) for fate in BAD_RUNS]
        self.assertEqual(["whole", "whole"], self.play(*plans))

    def test_a_body_is_that_of_the_server_that_answered_after_two_moves(self):
        moves = (("refused", "whole", "whole"), [[(0, 1.2)], [(0, 4)], []])
        self.assertEqual(["whole"], self.play(moves, data=PLAIN))

    def test_a_move_that_did_not_begin_leaves_its_server_to_the_next_attempt(self):
        fates = ("broken:4", "whole")
        fleet = Fleet(lambda _run, earlier: fates[earlier], [[(0.05, 1)], []])
        world = self.start(fleet)

        def stall_and_go_on():
            world.server_pool._observed["s0"].last_received_ms -= 1_000
            for run in world.gateway._runs:
                run.check_for_stall(world.clock.now_ms())
                run._on_events(run._leading)

        threading.Timer(0.5, world._loop.call_soon_threadsafe, (stall_and_go_on,)).start()
        received = self.call(world, PROMPT)
        self.check(fleet, 0, received)
        self.assertEqual("whole", classify(received), [run.end for run in fleet.runs])
        self.check_released(world)


def random_silences(draw):
    """Return up to two silences of an engine."""
    start_s = draw.uniform(0, 1)
    first = (start_s, start_s + draw.uniform(0.7, 2.2))
    start_s = first[1] + draw.uniform(0.2, 0.8)
    return [first, (start_s, start_s + draw.uniform(0, 1.6))][: draw.randint(0, 2)]


def random_fates(number):
    """Return the fates of the runs of one fleet."""

    def fate(run, earlier):
        draw = random.Random(10_000 * number + 10 * run.call + earlier)
        if draw.random() < 0.55:
            return "whole"
        kind = draw.choice(["broken", "broken", "refused", "failed", "garbled"])
        return f"{kind}:{draw.randint(0, 5)}" if kind in ("broken", "garbled") else kind

    return fate
