"""Operators' client of an entry instance over HTTP."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any, TypeVar

from bergamothill.clock import Clock
from bergamothill.connection.http import HttpClient, HttpReply, decode_json
from bergamothill.errors import (
    AuthenticationError,
    BergamothillError,
    InvalidRequestError,
    ProtocolError,
    UnavailableError,
)
from bergamothill.ids import EntryInstanceId, Incarnation, Revision, ZoneName
from bergamothill.process.metrics import MetricSnapshot, decode_snapshot
from bergamothill.version.plain import from_plain

__all__ = ["EntryAnswer", "EntryClient", "EntryStatus", "ask_all", "has_revision", "wait_until"]

CALL_TIMEOUT_MS = 3_000
STATUS_PATH = "/operator/status"
DRAIN_PATH = "/operator/drain"
BURN_PATH = "/operator/burn"
MAX_CALLS_AT_ONCE = 32
POLL_INTERVAL_MS = 250

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """What an entry instance says of itself and of what it sees.

    :param entry: entry instance
    :param zone: its availability zone
    :param incarnation: grows at each start
    :param revision: configuration in force; 0 for none
    :param configuration_age_ms: time since it was confirmed as the latest; None for never
    :param draining: a graceful shutdown is under way
    :param refused_revision: head of the key-value service that it refuses; 0 for none
    :param refused_reason: why it refuses it
    :param kvs_reachable: its last call to the key-value service was answered
    :param holds_watch: it watches the key-value service for its zone
    :param peers: other entry instances as it sees them
    :param servers: backend servers, each with at least ``server``, ``zone`` and ``state``
    :param leases: duty leases that it holds
    :param stores: store instances
    """

    entry: EntryInstanceId
    zone: ZoneName
    incarnation: Incarnation
    revision: Revision
    configuration_age_ms: Any = None
    draining: bool = False
    refused_revision: Revision = Revision(0)
    refused_reason: str = ""
    kvs_reachable: bool = True
    holds_watch: bool = False
    peers: tuple[Any, ...] = ()
    servers: tuple[Mapping[str, Any], ...] = ()
    leases: tuple[Any, ...] = ()
    stores: tuple[Any, ...] = ()


@dataclass(frozen=True, slots=True)
class EntryAnswer:
    """What one entry instance answered.

    :param address: ``host:port`` that was asked
    :param value: the answer; None when there is none
    :param error: why there is none
    """

    address: str
    value: Any = None
    error: BergamothillError | None = None


class EntryClient:
    """Client of one entry instance.

    :param address: ``host:port``
    :param operator_key: operators' bearer key
    """

    def __init__(self, address: str, operator_key: str) -> None:
        self.address = address
        self._http = HttpClient(address, address)
        self._headers = {"Authorization": f"Bearer {operator_key}"}

    def status(self) -> EntryStatus:
        """Return the status.

        :raises PeerUnreachableError: the entry instance was not reached
        :raises PeerTimeoutError: it did not answer in time
        :raises AuthenticationError: the operators' key is wrong
        """
        return self._get(EntryStatus, STATUS_PATH, "operator.status")

    def burn(self) -> MetricSnapshot:
        """Return what it recorded for the burn report; raises as :meth:`status` does."""
        return decode_snapshot(self._send("GET", BURN_PATH, "operator.burn").body)

    def drain(self) -> None:
        """Start the graceful shutdown; an instance that drains already goes on.

        :raises PeerUnreachableError: the entry instance was not reached; it does not drain
        :raises PeerTimeoutError: the reply was lost; asking again is safe
        :raises AuthenticationError: the operators' key is wrong
        """
        self._send("POST", DRAIN_PATH, "operator.drain")

    def _get(self, cls: type, path: str, step: str) -> Any:
        reply = self._send("GET", path, step)
        plain = decode_json(reply, step=step, peer=self.address)
        try:
            known = {item.name for item in dataclasses.fields(cls)}
            return from_plain(cls, {name: plain[name] for name in plain if name in known})
        except (InvalidRequestError, TypeError) as error:
            raise ProtocolError(f"bad reply: {error}", step=step, peer=self.address) from error

    def _send(self, method: str, path: str, step: str) -> HttpReply:
        reply = self._http.request(
            method,
            path,
            step=step,
            timeout_ms=CALL_TIMEOUT_MS,
            body=b"" if method == "POST" else None,
            headers=self._headers,
        )
        if reply.status not in (200, 202):
            raise self._refusal(reply, step)
        return reply

    def _refusal(self, reply: HttpReply, step: str) -> BergamothillError:
        text = reply.body[:200].decode("utf-8", "replace")
        if reply.status in (401, 403):
            return AuthenticationError(
                f"the operators' key was refused: {text}", step=step, peer=self.address
            )
        cls = UnavailableError if reply.status >= 500 else ProtocolError
        return cls(f"status {reply.status}: {text}", step=step, peer=self.address)


def ask_all(
    clients: Iterable[EntryClient], call: Callable[[EntryClient], T]
) -> tuple[EntryAnswer, ...]:
    """Ask entry instances, all at once.

    :param clients: entry instances to ask
    :param call: what to ask each
    :returns: answers in the order of the clients
    """

    def ask(client: EntryClient) -> EntryAnswer:
        try:
            return EntryAnswer(client.address, call(client))
        except BergamothillError as error:
            return EntryAnswer(client.address, error=error)

    clients = tuple(clients)
    if not clients:
        return ()
    with ThreadPoolExecutor(min(MAX_CALLS_AT_ONCE, len(clients))) as pool:
        return tuple(pool.map(ask, clients))


def wait_until(
    clients: Iterable[EntryClient],
    clock: Clock,
    is_done: Callable[[EntryAnswer], bool],
    *,
    timeout_ms: int,
    on_progress: Callable[[int, int], None] = lambda done, total: None,
) -> bool:
    """Poll entry instances until each satisfies a condition.

    :param is_done: tells whether an answer satisfies it
    :param timeout_ms: longest wait, in milliseconds
    :param on_progress: called with the number done, and the total, when it changes
    :returns: whether all did in time
    """
    waiting = list(clients)
    total = len(waiting)
    deadline_ms = clock.now_ms() + timeout_ms
    shown = -1
    while True:
        answers = ask_all(waiting, EntryClient.status)
        waiting = [c for c, a in zip(waiting, answers, strict=True) if not is_done(a)]
        if total - len(waiting) != shown:
            shown = total - len(waiting)
            on_progress(shown, total)
        if not waiting:
            return True
        if clock.now_ms() >= deadline_ms:
            return False
        clock.sleep_ms(POLL_INTERVAL_MS)


def has_revision(revision: Revision) -> Callable[[EntryAnswer], bool]:
    """Return a condition: a configuration at least as new is in force."""

    def check(answer: EntryAnswer) -> bool:
        found: EntryStatus | None = answer.value
        return found is not None and found.revision >= revision

    return check
