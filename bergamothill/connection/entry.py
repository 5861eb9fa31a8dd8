"""Client of the operator API of entry instances, over HTTP."""

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

__all__ = ["EntryResult", "EntryClient", "EntryStatus", "call_all", "has_revision", "wait_until"]

CALL_TIMEOUT_MS = 3_000
STATUS_PATH = "/operator/status"
DRAIN_PATH = "/operator/drain"
BURN_PATH = "/operator/burn"
MAX_CONCURRENT_CALLS = 32
POLL_INTERVAL_MS = 250

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """Status of an entry instance, and its view of the deployment.

    :param entry: entry instance
    :param zone: its availability zone
    :param incarnation: increases with each start
    :param revision: revision of the active configuration; 0 for none
    :param configuration_age_ms: time since ``revision`` was last confirmed as the latest; None
        if it never was
    :param draining: a graceful shutdown is in progress
    :param refused_revision: latest stored revision if the instance rejects it; 0 for none
    :param refused_reason: why the revision is rejected
    :param kvs_reachable: whether its last call to the key-value service succeeded
    :param holds_watch: whether it watches the key-value service on behalf of its zone
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
class EntryResult:
    """Result of a call to one entry instance.

    :param address: ``host:port`` of the entry instance
    :param value: result of the call; None if it failed
    :param error: error of a failed call
    """

    address: str
    value: Any = None
    error: BergamothillError | None = None


class EntryClient:
    """Client of the operator API of one entry instance.

    :param address: ``host:port``
    :param operator_key: operator key, sent as a bearer token
    """

    def __init__(self, address: str, operator_key: str) -> None:
        self.address = address
        self._http = HttpClient(address, address)
        self._headers = {"Authorization": f"Bearer {operator_key}"}

    def status(self) -> EntryStatus:
        """Return the status of the entry instance.

        :raises PeerUnreachableError: the entry instance could not be reached
        :raises PeerTimeoutError: it did not reply in time
        :raises AuthenticationError: the operator key is wrong
        """
        return self._get(EntryStatus, STATUS_PATH, "operator.status")

    def burn(self) -> MetricSnapshot:
        """Return the metrics for the burn report; raises the same errors as :meth:`status`."""
        return decode_snapshot(self._send("GET", BURN_PATH, "operator.burn").body)

    def drain(self) -> None:
        """Start a graceful shutdown; no effect on an instance that is already draining.

        :raises PeerUnreachableError: the entry instance could not be reached; it is not draining
        :raises PeerTimeoutError: the reply was lost; the call may be repeated
        :raises AuthenticationError: the operator key is wrong
        """
        self._send("POST", DRAIN_PATH, "operator.drain")

    def _get(self, cls: type, path: str, step: str) -> Any:
        reply = self._send("GET", path, step)
        plain = decode_json(reply, step=step, peer=self.address)
        try:
            field_names = {item.name for item in dataclasses.fields(cls)}
            return from_plain(cls, {name: plain[name] for name in plain if name in field_names})
        except (InvalidRequestError, TypeError) as error:
            raise ProtocolError(
                f"malformed reply: {error}", step=step, peer=self.address
            ) from error

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
            raise self._http_error(reply, step)
        return reply

    def _http_error(self, reply: HttpReply, step: str) -> BergamothillError:
        text = reply.body[:200].decode("utf-8", "replace")
        if reply.status in (401, 403):
            return AuthenticationError(
                f"the operator key was rejected: {text}", step=step, peer=self.address
            )
        cls = UnavailableError if reply.status >= 500 else ProtocolError
        return cls(f"status {reply.status}: {text}", step=step, peer=self.address)


def call_all(
    clients: Iterable[EntryClient], call: Callable[[EntryClient], T]
) -> tuple[EntryResult, ...]:
    """Call entry instances concurrently.

    :param clients: clients of the entry instances
    :param call: call to make with each client
    :returns: results in the order of the clients
    """

    def call_one(client: EntryClient) -> EntryResult:
        try:
            return EntryResult(client.address, call(client))
        except BergamothillError as error:
            return EntryResult(client.address, error=error)

    clients = tuple(clients)
    if not clients:
        return ()
    with ThreadPoolExecutor(min(MAX_CONCURRENT_CALLS, len(clients))) as pool:
        return tuple(pool.map(call_one, clients))


def wait_until(
    clients: Iterable[EntryClient],
    clock: Clock,
    is_done: Callable[[EntryResult], bool],
    *,
    timeout_ms: int,
    on_progress: Callable[[int, int], None] = lambda done, total: None,
) -> bool:
    """Poll the status of entry instances until each has satisfied a condition.

    :param clients: clients of the entry instances to poll
    :param clock: source of time
    :param is_done: returns whether a result satisfies the condition
    :param timeout_ms: maximum wait, in milliseconds
    :param on_progress: called with the number that satisfy it and the total, on each change
    :returns: whether all satisfied the condition in time
    """
    waiting = list(clients)
    total = len(waiting)
    deadline_ms = clock.now_ms() + timeout_ms
    reported = -1
    while True:
        results = call_all(waiting, EntryClient.status)
        waiting = [c for c, r in zip(waiting, results, strict=True) if not is_done(r)]
        if total - len(waiting) != reported:
            reported = total - len(waiting)
            on_progress(reported, total)
        if not waiting:
            return True
        if clock.now_ms() >= deadline_ms:
            return False
        clock.sleep_ms(POLL_INTERVAL_MS)


def has_revision(revision: Revision) -> Callable[[EntryResult], bool]:
    """Return a condition for :func:`wait_until`: at least this revision is active."""

    def check(result: EntryResult) -> bool:
        status: EntryStatus | None = result.value
        return status is not None and status.revision >= revision

    return check
