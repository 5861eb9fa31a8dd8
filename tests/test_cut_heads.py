"""Tests of answers whose head breaks off: nobody gets a success that is made from a part."""

import asyncio
import itertools
import random
import socket
import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial

from bergamothill.connection.http import HttpClient
from bergamothill.connection.pollconnection import PollConnection
from bergamothill.errors import PeerTimeoutError
from tests.builders import await_true
from tests.gatewayworld import (
    PROMPT_HEADERS,
    STREAM_HEAD,
    ScriptedServer,
    answer,
    chunk,
    event,
    read_all,
)
from tests.keptcase import (
    CHUNKED,
    KEEPS,
    OPEN,
    STREAM,
    UNSAFE,
    Keeps,
    KeptCase,
    good,
    request_id,
    resets,
    streams,
)

SEED = 58
END_BYTES = 5
SAMPLE = 2
PAUSE_S = 0.03
WORKERS = 6
TIMEOUT_MS = 5_000
BEHIND_SAMPLE = 40
KINDS = [
    (UNSAFE, False, 1),
    *itertools.product((OPEN, STREAM), (False, True), (1, 2)),
]
"""Routes, whether the connection is a kept one, and how many answers are cut."""

FAILURES = (b"HTTP/1.1 502 ", b"HTTP/1.1 504 ")
EARLY = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
LENGTH = b"Content-Length: 18\r\n"
POLL = b"GET /report HTTP/1.1\r\nHost: a\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Form:
    """Form of an answer.

    :param head: head, with informational ones before it
    :param needs_body: whether the head alone is no whole answer
    """

    head: bytes
    needs_body: bool = True

    def places(self, draw):
        """Return all places of the end of the head, and some before it."""
        end = len(self.head) + self.needs_body
        marked = [self.head.find(text) + 1 for text in (b"\r\n", b"\n", b"-Request", b"r1")]
        return [*range(end - END_BYTES, end), *marked, *draw.sample(range(end), SAMPLE)]


def head(framing, **changes):
    return answer(b"", headers=KEEPS, framing=framing, **changes)


FORMS = {
    "length": Form(head(LENGTH)),
    "chunks": Form(head(CHUNKED)),
    "neither": Form(head(b""), needs_body=False),
    "events": Form(head(b"Content-Type: text/event-stream\r\n" + CHUNKED)),
    "empty": Form(head(b"Content-Length: 0\r\n"), needs_body=False),
    "after 103": Form(EARLY + head(LENGTH)),
    "no fields": Form(b"HTTP/1.1 200 OK\r\n\r\n", needs_body=False),
}


def closes(connection, _sent):
    connection.close()


def closes_its_side(connection, _sent):
    connection.shutdown(socket.SHUT_WR)


def pauses_and_closes(connection, _sent):
    time.sleep(PAUSE_S)
    connection.close()


def fails(connection, _sent):
    failure = answer(b"error", status=b"500 Broken", headers=KEEPS)
    connection.sendall(failure)


ENDS = (closes, closes_its_side, resets, pauses_and_closes)


@dataclass(frozen=True, slots=True)
class Case:
    """Request whose answer is cut.

    :param data: bytes before the end
    :param end: ends the connection
    :param path: path of the request, which tells its route
    :param is_kept: whether the first answer is cut on a connection that has carried another
    :param times: number of runs whose answer is cut
    :param first: what the first run brings instead, before its connection closes
    """

    data: bytes
    end: Callable
    path: bytes
    is_kept: bool
    times: int
    first: bytes = b""


class Cuts:
    """Step of a server that answers all requests well but the first runs of ``r1``."""

    def __init__(self, case):
        self.runs = 0
        self._case = case

    def __call__(self, connection, sent):
        case, own = self._case, request_id(sent)
        self.runs += own == b"r1"
        if own == b"r1" and self.runs == 1 and case.first:
            connection.sendall(case.first)
            closes(connection, sent)
        elif own == b"r1" and self.runs <= case.times:
            connection.sendall(case.data)
            case.end(connection, sent)
        elif b"/quote/" in sent:
            streams(connection, sent)
        else:
            good(connection, sent)


class CutHeadCase(KeptCase):
    def ask_cut(self, case):
        """Return the caller's answer and the number of runs, after others if it is kept."""
        step = Cuts(case)
        scripts, is_stream = [Keeps(step), Keeps(step)], case.path == STREAM
        self.start(*([] if is_stream else scripts), engines=scripts if is_stream else ())
        for own in ("a", "b") if case.is_kept else ():
            self.ask_on(own, case.path)
        found = self.ask_on("r1", case.path)
        carried = [ids for script in scripts for ids in script.connections if "r1" in ids]
        self.assertEqual(case.is_kept, any(len(ids) > 1 for ids in carried))
        self.assertNotIn("internal_error", self.now.metrics.text())
        return found, step.runs

    def ask_on(self, own, path):
        headers = (PROMPT_HEADERS if path == STREAM else b"") + b"Connection: close\r\n"
        with self.now.connect() as connection:
            connection.sendall(self.data(own, path, headers=headers))
            found = read_all(connection)
        await_true(lambda: self.now.in_progress() == 0)
        return found

    @classmethod
    def ask_apart(cls, case):
        """Ask in a test case of its own, as many are asked at the same time."""
        own = cls()
        try:
            return own.ask_cut(case)
        finally:
            own.doCleanups()

    def ask_all(self, cases):
        """Yield the cases, each with the caller's answer and the number of runs."""
        cases = list(cases)
        with ThreadPoolExecutor(WORKERS) as pool:
            for case, (found, runs) in zip(cases, pool.map(self.ask_apart, cases), strict=True):
                yield case, found, runs

    def assert_whole(self, case, found):
        body = chunk(event(1)) + chunk(b"") if case.path == STREAM else b"r1"
        self.assertTrue(found.startswith(b"HTTP/1.1 200 "), (case, found))
        self.assertTrue(found.endswith(b"\r\n\r\n" + body), (case, found))

    def assert_no_parts(self, cases):
        for case, found, runs in self.ask_all(cases):
            if case.times == 1 and case.path != UNSAFE:
                self.assert_whole(case, found)
            else:
                self.assertTrue(found.startswith(FAILURES), (case, found))
            self.assertEqual(1 if case.path == UNSAFE else 2, runs, (case, found))


class CutHeadTest(CutHeadCase):
    def assert_no_parts_of(self, name):
        form, draw = FORMS[name], random.Random(f"{SEED} {name}")
        cuts, kinds = itertools.product(form.places(draw), ENDS), itertools.cycle(KINDS)
        self.assert_no_parts(Case(form.head[:place], end, *next(kinds)) for place, end in cuts)

    def test_with_a_length(self):
        self.assert_no_parts_of("length")

    def test_with_chunks(self):
        self.assert_no_parts_of("chunks")

    def test_with_neither(self):
        self.assert_no_parts_of("neither")

    def test_of_events(self):
        self.assert_no_parts_of("events")

    def test_of_an_empty_body(self):
        self.assert_no_parts_of("empty")

    def test_after_an_informational_one(self):
        self.assert_no_parts_of("after 103")

    def test_without_fields(self):
        self.assert_no_parts_of("no fields")

    def test_of_a_resumed_run(self):
        form, ends = FORMS["events"], itertools.cycle(ENDS)
        first = STREAM_HEAD + chunk(event(1))
        cases = (
            Case(form.head[:place], next(ends), STREAM, False, 2, first)
            for place in form.places(random.Random(SEED))
        )
        for case, found, runs in self.ask_all(cases):
            body = found.partition(b"\r\n\r\n")[2].replace(b"<reset>", b"")
            self.assertEqual((chunk(event(1)), 2), (body, runs), case)


class AnswerBehindCutHeadTest(CutHeadCase):
    """The next answer follows a head that has broken off, so that its status line is inside it."""

    def test_the_own_answer_behind_a_late_one_on_a_kept_connection(self):
        late = head(b"X-Late: 1\r\n" + LENGTH, status=b"201 Created", request_id=b"b")
        places = random.Random(SEED).sample(range(len(late) + 1), BEHIND_SAMPLE)
        cases = (Case(late[:place], good, OPEN, True, 1) for place in places)
        for case, found, _runs in self.ask_all(cases):
            self.assert_whole(case, found)
            self.assertNotIn(b"X-Late", found, case)

    def test_a_failure_of_the_same_request(self):
        whole, kinds = FORMS["length"].head, itertools.cycle(KINDS)
        places = random.Random(SEED).sample(range(1, len(whole)), BEHIND_SAMPLE)
        self.assert_no_parts(Case(whole[:place], fails, *next(kinds)) for place in places)


class CutPollTest(unittest.TestCase):
    """A reply to a poll whose head breaks off is no reply."""

    async def read(self, data, end, count):
        """Read some times on one connection; return the last reply, if it comes, or the runs."""

        def cuts(connection, sent):
            connection.sendall(data)
            end(connection, sent)

        script = Keeps(*[good, cuts][-count:])
        server = ScriptedServer(script)
        self.addCleanup(server.close)
        connection = PollConnection("test", server.address)
        try:
            for _ in range(count):
                self.assertEqual([], script.connections[1:])
                reply = await connection.read(POLL, step="poll", timeout_ms=TIMEOUT_MS)
        except PeerTimeoutError:
            return len(script.sent)
        finally:
            connection.close()
        return reply

    def assert_no_replies(self, cuts):
        limit = asyncio.Semaphore(WORKERS)

        async def read(cut):
            async with limit:
                return await self.read(*cut)

        async def read_each():
            return await asyncio.gather(*map(read, cuts))

        replies = zip(cuts, asyncio.run(read_each()), strict=True)
        self.assertEqual([], [(cut, found) for cut, found in replies if found != cut[-1]])

    def test_at_the_end_and_before(self):
        draw, counts = random.Random(SEED), itertools.cycle((1, 2, 2))
        cuts = [
            (form.head[:place], end, next(counts))
            for form in FORMS.values()
            for place, end in itertools.product(form.places(draw), ENDS)
        ]
        self.assert_no_replies(cuts)

    def test_a_reply_behind_it_is_no_reply(self):
        whole, counts = FORMS["length"].head, itertools.cycle((1, 2))
        cuts = [(whole[:place], fails, next(counts)) for place in range(1, len(whole))]
        self.assert_no_replies(cuts)


class CutClientTest(unittest.TestCase):
    """The client of the store, of engines and of plain services of the other processes."""

    def call(self, cut):
        """Call once, or twice on one connection; return the last reply, if it is no failure."""
        data, end, is_new = cut

        def cuts(connection, sent):
            connection.sendall(data)
            end(connection, sent)

        server = ScriptedServer(Keeps(*[good, cuts][is_new:]))
        self.addCleanup(server.close)
        client = HttpClient("peer", server.address)
        self.addCleanup(client.close)
        call = partial(client.request, "GET", "/", step="test", timeout_ms=TIMEOUT_MS)
        headers = {"X-Request-Id": "r1"}
        try:
            if is_new:
                return call(headers=headers, new_connection=True)
            call(headers=headers)
            reply = call(headers=headers)
        except PeerTimeoutError:
            return None
        # libcurl may have sent it again on another connection.
        return None if (reply.status, reply.body) == (200, b"r1") else reply

    def assert_no_replies(self, cuts):
        cuts = [(*cut, is_new) for cut in cuts for is_new in (True, False)]
        with ThreadPoolExecutor(WORKERS) as pool:
            replies = zip(cuts, pool.map(self.call, cuts), strict=True)
            self.assertEqual([], [(cut, found) for cut, found in replies if found])

    def test_at_the_end_and_before(self):
        draw, ends = random.Random(SEED), itertools.cycle(ENDS)
        places = [(form.head, place) for form in FORMS.values() for place in form.places(draw)]
        self.assert_no_replies((text[:place], next(ends)) for text, place in places)

    def test_a_reply_behind_it_is_no_reply(self):
        whole = FORMS["length"].head
        self.assert_no_replies((whole[:place], fails) for place in range(1, len(whole)))
