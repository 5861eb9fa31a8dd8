"""Entry instances as processes whose links to servers are cut, for tests of passing on."""

from __future__ import annotations

import http.client
import itertools
import re
import socket
import time
import unittest
from dataclasses import dataclass

from scripts.platformfleet import API_KEY, HOST, EntryNode, FleetShape, PlatformFleet, RequestKind
from scripts.processes import ProcessGroup
from standins.links import LinkState
from tests.builders import await_true

__all__ = ["Answer", "CutCase", "SHAPE"]

TIMEOUT_S = 10
LOG_TAIL_CHARS = 4_000

SHAPE = FleetShape(
    zones=("zone-a", "zone-b"),
    nodes=4,
    engines=2,
    plain_servers=2,
    kinds=(
        RequestKind("stream", "streaming", 10, 50, 100, 8_000, 600),
        RequestKind("order", "unsafe", 0, 100, 0, 6_000, 400),
        RequestKind("lookup", "safe", 0, 50, 0, 2_500, 400),
    ),
)


@dataclass(frozen=True)
class Answer:
    """What a caller got; status 0 without an answer.

    :param status: status
    :param fields: fields of its head, names in lower case
    :param body: body as far as it came
    :param is_whole: whether it came to its end
    :param duration_s: time from the request to its end
    """

    status: int
    fields: dict[str, str]
    body: bytes
    is_whole: bool
    duration_s: float


class CutCase(unittest.TestCase):
    """Test case whose tests share one deployment, with links that can be cut."""

    @classmethod
    def setUpClass(cls) -> None:
        """Start the deployment."""
        group = ProcessGroup()
        cls.addClassCleanup(group.__exit__)
        cls.fleet = PlatformFleet.start(group, SHAPE, has_links=True)
        cls.numbers = itertools.count()

    def setUp(self) -> None:
        """Open all links after the test."""
        self.nodes = self.fleet.nodes
        self.addCleanup(self.open_links)

    def open_links(self) -> None:
        """Open all links and wait until all instances serve by themselves."""
        for number in range(len(self.nodes)):
            self.fleet.set_links(number, LinkState.OPEN)
        for node in self.nodes:
            self.await_local(node)
            await_true(lambda node=node: self.knows_all(node))

    def cut(self, number: int, how: LinkState) -> EntryNode:
        """Cut an instance and wait until its callers are served; return it.

        :param number: its position
        """
        self.fleet.set_links(number, how)
        node = self.nodes[number]
        deadline_s, answers = time.monotonic() + TIMEOUT_S, []
        while not answers or answers[-1].status != 200 or not self.is_passing(node):
            if time.monotonic() > deadline_s:
                tail = self.log(node)[-LOG_TAIL_CHARS:]
                raise AssertionError(f"{node.name} does not pass on: {answers[-3:]} {tail}")
            answers.append(self.ask(node, "/lookup/a"))
        return node

    def log(self, node: EntryNode) -> str:
        """Return the log of an instance since its last start."""
        text = node.log_path.read_text(encoding="utf-8", errors="replace")
        return text.rpartition("event=started ")[2]

    def is_passing(self, node: EntryNode) -> bool:
        """Return whether an instance says that it passes requests on."""
        log = self.log(node)
        return log.rfind("passing_begins") > log.rfind("passing_ends")

    def await_local(self, node: EntryNode) -> None:
        """Wait until an instance serves requests by itself and reads the events of all engines."""
        await_true(lambda: self.is_local(node) and self.reads_events(node))

    def knows_all(self, node: EntryNode) -> bool:
        """Return whether an instance has read the registrations of all others."""
        lists = re.findall(r"event=peers_changed peers=(.*)", self.log(node))
        others = {other.name for other in self.nodes} - {node.name}
        return bool(lists) and others <= set(lists[-1].strip('"').split())

    def reads_events(self, node: EntryNode) -> bool:
        """Return whether an instance has lost no event connection that is not back."""
        changes = re.findall(r"event=source_(lost|back) address=(\S+)", self.log(node))
        return "lost" not in {address: state for state, address in changes}.values()

    def is_local(self, node: EntryNode) -> bool:
        """Return whether an instance serves a request by itself."""
        request = self.new_id()
        if self.ask(node, "/lookup/a", request=request).status != 200:
            return False
        await_true(lambda: self.log_line(node, request))
        return "passed_to" not in self.log_line(node, request)

    def log_line(self, node: EntryNode, request: str) -> str:
        """Return the line of a request in the log of an instance; empty if there is none."""
        lines = (line for line in self.log(node).splitlines() if f"request={request} " in line)
        return next((line for line in lines if "outcome=" in line), "")

    def new_id(self) -> str:
        """Return an id that no request has had."""
        return f"{self.id().rsplit('.', 1)[1][-20:]}-{next(self.numbers)}"

    def connect(self, node: EntryNode) -> socket.socket:
        """Return a connection to an instance."""
        connection = socket.create_connection(node.caller_address, TIMEOUT_S)
        self.addCleanup(connection.close)
        return connection

    def ask(
        self, node: EntryNode, target: str, *, request: str = "", body: bytes = b"", **fields: str
    ) -> Answer:
        """Send a request once and return what came.

        :param target: its path and query; a lookup is a GET
        :param fields: fields of its head; underscores stand for hyphens
        """
        started_s = time.monotonic()
        try:
            with socket.create_connection(node.caller_address, TIMEOUT_S) as connection:
                connection.sendall(encode(target, request or self.new_id(), body, **fields))
                return read_answer(connection, started_s)
        except OSError:
            return Answer(0, {}, b"", False, time.monotonic() - started_s)


def encode(target: str, request: str, body: bytes = b"", **fields: str) -> bytes:
    """Encode a request.

    :param target: its path and query; a lookup is a GET
    :param fields: fields of its head; underscores stand for hyphens
    """
    method = "GET" if target.startswith("/lookup/") else "POST"
    if target.startswith("/stream/"):
        prompt = {"X_Model": "m1", "X_Token_Counts": "1000,10", "X_Prompt_Prefix": "a1:900"}
        fields = prompt | fields
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
    lines += [f"X-Request-Id: {request}", f"Authorization: Bearer {API_KEY}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def read_answer(connection: socket.socket, started_s: float) -> Answer:
    """Read one answer to its end.

    :param started_s: monotonic time of its request
    """
    response = http.client.HTTPResponse(connection)
    is_whole, body = False, b""
    try:
        response.begin()
        body = response.read()
        is_whole = True
    except http.client.IncompleteRead as error:
        body = error.partial
    except (OSError, http.client.HTTPException):
        pass
    fields = {name.lower(): value for name, value in response.msg.items()} if response.msg else {}
    status = response.status if isinstance(response.status, int) else 0
    return Answer(status, fields, body, is_whole, time.monotonic() - started_s)
