"""Limits that servers name for the requests of all entry instances together; no I/O and no clock.

The instances divide a limit without agreement: the first of them by rendezvous hashing may send,
each an equal share. Few may, as each may send one request at any moment, whatever its share.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from bergamothill.ids import RequestId, ServerId, ServiceName
from bergamothill.logs import EventLog
from bergamothill.process.backends import BackendServer
from bergamothill.process.coldservers import ColdBounds, ColdServers
from bergamothill.process.coldshare import ColdShare, divide_cold_rate
from bergamothill.process.instanceroster import InstanceRoster
from bergamothill.process.limitevidence import LimitEvidence, ServerLimit
from bergamothill.process.limitreport import LimitReport, ReportedLimit
from bergamothill.process.rendezvous import rendezvous
from bergamothill.process.serverpace import ServerPaces
from bergamothill.request.callerrequest import RequestLimit
from bergamothill.request.tokenbucket import TokenBucket
from bergamothill.version.routetable import Service

__all__ = ["LimitChange", "ServerLimits", "log_limit_change"]

_log = EventLog("gateway")

EXTRA_SENDERS = 3
"""Instances that may send to a server beside one for each request a second of its limit."""

MIN_RATE_PER_S = 0.2
"""Rate at which a server is tried that takes fewer requests, to learn when its limit ends."""

BURST_MS = 500
"""Time for which an instance may save up its share of a high limit."""

REPORT_DELAY_MS = 1_000
"""Longest time that a datagram is assumed to take."""

LIFTED_REPORT_MS = 10_000
"""Time for which peers are told that a limit has ended."""

STALE_AFTER_MS = 60_000
"""Time without news of a limit after which instances without a share try the server, too."""

SPENT_TTL_MS = 1_000
"""Time for which a counted request may wait for its connection; opening one takes less."""

PACE_RISES_MS = 200
"""Time after which an instance without a share in a slow start asks again."""

MS_PER_S = 1_000

Incarnation = tuple[ServerId, int]


@dataclass(frozen=True, slots=True)
class LimitChange:
    """Change of the limit of a server, for the log.

    :param server: server
    :param per_s: requests per second for all entry instances together; None without a limit
    :param share_per_s: those that this instance may send
    :param senders: number of instances that may send
    :param instances: number of instances
    """

    server: ServerId
    per_s: float | None
    share_per_s: float
    senders: int
    instances: int


class _LimitedServer:
    """Limit and tokens of one incarnation of a server."""

    def __init__(self, now_ms: int) -> None:
        self.limit = ServerLimit()
        self.bucket = TokenBucket(now_ms)
        self.own: LimitEvidence | None = None
        self.heard_ms = now_ms
        self.senders = 0
        self.divided_by: tuple[int, float | None, bool, bool] | None = None


class ServerLimits:
    """Limits of all servers, and the share of this entry instance in each.

    :param roster: entry instances that share the limits
    """

    def __init__(self, roster: InstanceRoster) -> None:
        self.roster = roster
        self._servers: dict[Incarnation, _LimitedServer] = {}
        self.cold = ColdServers()
        self.pace = ServerPaces()
        self._services: Mapping[ServiceName, Service] = {}
        self._cold_shares: dict[ServerId, ColdShare] = {}
        """By server: what was sent as its process restarted may have reached the new one."""

        self._ranks: dict[ServerId, tuple[int, int]] = {}

        self.report_revision = 0
        """Increases when peers should get a report at once."""

        self.on_news: Callable[[], None] = _do_nothing
        """Called when it has increased."""

    # What is known.

    def record_answer(
        self, server: BackendServer, limit: RequestLimit | None, sent_ms: int, now_ms: int
    ) -> LimitChange | None:
        """Record the head of an answer; return the change of the limit, if any.

        :param limit: limit that the answer names; None if it names none
        :param sent_ms: time before the request was sent
        """
        state = self._servers.get(server.incarnation)
        if state is None and (limit is None or limit.per_s is None):
            return None
        if state is None:
            state = self._servers[server.incarnation] = _LimitedServer(now_ms)
        state.heard_ms = now_ms
        if limit is not None and limit.per_s is None:
            state.limit.confirm(now_ms)
            return None
        evidence = LimitEvidence(None if limit is None else limit.per_s, sent_ms, now_ms)
        has_changed = state.limit.apply(evidence)
        if state.limit.per_s == evidence.per_s:
            state.own = evidence
        if not has_changed:
            return None
        self.report_revision += 1
        self.on_news()
        return self._change(server.incarnation, state, now_ms)

    def merge(self, report: LimitReport, now_ms: int) -> list[LimitChange]:
        """Merge the report of a peer; return the changes of limits."""
        changes = []
        for row in report.limits:
            key = (row.server, row.started_wall_ms)
            state = self._servers.get(key)
            if state is None:
                if row.per_s is None:
                    continue
                state = self._servers[key] = _LimitedServer(now_ms)
            state.heard_ms = now_ms
            evidence = LimitEvidence(
                row.per_s, now_ms - row.sent_age_ms, now_ms - row.answered_age_ms
            )
            if state.limit.apply(evidence, delay_ms=REPORT_DELAY_MS):
                changes.append(self._change(key, state, now_ms))
        return changes

    def report(self, now_ms: int) -> LimitReport:
        """Return what answers to this instance told, for the peers."""
        rows = []
        for (server, started_wall_ms), state in self._servers.items():
            own = state.own
            if own is None or own.per_s != state.limit.per_s:
                continue
            sent_age_ms, answered_age_ms = now_ms - own.sent_ms, now_ms - own.answered_ms
            if own.per_s is not None or sent_age_ms <= LIFTED_REPORT_MS:
                row = ReportedLimit(
                    server, started_wall_ms, own.per_s, sent_age_ms, answered_age_ms
                )
                rows.append(row)
        return LimitReport(self.roster.own, tuple(rows))

    def retain(self, servers: Iterable[BackendServer]) -> None:
        """Forget all servers but these."""
        kept = {server.incarnation for server in servers}
        for key in self._servers.keys() - kept:
            del self._servers[key]
        for server in self._cold_shares.keys() - {server for server, _ in kept}:
            del self._cold_shares[server]
        self._ranks = {s: rank for s, rank in self._ranks.items() if s in self._cold_shares}

    def record_check(self, passed_ms: int, now_ms: int) -> None:
        """Record a periodic check.

        :param passed_ms: time since the one before; a long one shows a pause of this process
        """
        self.roster.record_pause(passed_ms, now_ms)
        self.cold.record_check(passed_ms, now_ms)

    def set_services(self, services: Mapping[ServiceName, Service]) -> None:
        """Set the services, from the configuration in force."""
        self._services = services
        self.cold.set_services(services)
        self.pace.set_services(services, names_bound=self.cold.bounds.is_named)

    def set_bounds(self, bounds: ColdBounds) -> None:
        """Set the bounds of cold servers, from the settings."""
        self.cold.bounds = bounds
        self.set_services(self._services)

    # What may be sent.

    def limit_per_s(self, server: BackendServer) -> float | None:
        """Return the limit of a server, for all instances together; None without one."""
        state = self._servers.get(server.incarnation)
        return None if state is None else state.limit.per_s

    @property
    def has_any(self) -> bool:
        """Whether any server is known to have named a limit, may be cold or is in slow start."""
        return bool(self._servers) or self.cold.has_any or self.pace.has_any

    def is_limited(self, server: BackendServer, now_ms: int) -> bool:
        """Return whether a server has a limit now: it named one, is cold or in slow start."""
        is_cold = self.cold.left_ms(server, now_ms) > 0
        is_paced = self.pace.rate_per_s(server, now_ms) is not None
        return is_cold or is_paced or self.limit_per_s(server) is not None

    def spend(self, server: BackendServer, now_ms: int) -> int | None:
        """Count one request against the limit of a server, for which :meth:`wait_ms` was 0.

        :returns: the current time; None without a limit
        """
        state = self._divided(server, now_ms)
        share = self._cold_share(server, now_ms)
        if share is not None:
            share.spend(now_ms)
        if state is None:
            return None
        state.bucket.try_spend(now_ms)
        return now_ms

    def may_send(self, server: BackendServer, spent_ms: int | None, now_ms: int) -> bool:
        """Return whether a request may be sent now; counts it unless that was done lately.

        The limit may have become known, or the share smaller, since the server was chosen.

        :param spent_ms: time at which the request was counted; None if it was not
        """
        if not self._may_write_cold(server, now_ms):
            return False
        state = self._divided(server, now_ms)
        if state is None or (spent_ms is not None and now_ms - spent_ms <= SPENT_TTL_MS):
            return True
        return state.bucket.try_spend(now_ms)

    def wait_ms(self, server: BackendServer, now_ms: int) -> int | None:
        """Return the time until a request may be sent to a server; None if none may be."""
        state = self._divided(server, now_ms)
        wait_ms = 0 if state is None else state.bucket.wait_ms(now_ms)
        share = self._cold_share(server, now_ms)
        if share is None or wait_ms is None:
            return wait_ms
        # A server without a share takes requests again when it is warm, or its pace has risen.
        left_ms = self.cold.left_ms(server, now_ms) or PACE_RISES_MS
        share_wait_ms = share.wait_ms(now_ms)
        return max(wait_ms, left_ms if share_wait_ms is None else min(left_ms, share_wait_ms))

    def share_per_s(self, server: BackendServer, now_ms: int) -> float | None:
        """Return the requests a second that this instance may send; None without a limit."""
        state = self._divided(server, now_ms)
        share = self._cold_share(server, now_ms)
        rates = [] if state is None else [state.bucket.rate_per_s]
        rates += [] if share is None else [share.rate_per_s]
        return min(rates, default=None)

    def _cold_share(self, server: BackendServer, now_ms: int) -> ColdShare | None:
        """Return the share in a server that is cold or in slow start, up to date; else None."""
        is_cold = self.cold.has_any and self.cold.left_ms(server, now_ms) > 0
        pace = self.pace.rate_per_s(server, now_ms)
        if not is_cold and pace is None:
            return None
        share = self._cold_shares.setdefault(server.server, ColdShare(now_ms))
        if is_cold and not self.roster.is_settled(now_ms):
            share.clear_rate()
            return share
        # In steps of a tenth, as the rate is divided anew at each.
        pace = math.inf if pace is None else float(f"{pace:.1e}")
        most_per_s = self.cold.rate_per_s(server) if is_cold else pace
        if is_cold:
            self.pace.hold_below(server, most_per_s, now_ms)
        has_to_try = not is_cold and self.pace.is_unheard(server, now_ms)
        divided_by = (self.roster.revision, most_per_s, pace, self.cold.bounds, has_to_try)
        if share.divided_by != divided_by:
            # The senders of a cold server must be the same everywhere, whatever the pace.
            bound = self.cold.bounds.per_second(most_per_s)
            terms = divide_cold_rate(most_per_s, bound, len(self.roster.members))
            terms = replace(terms, per_s=min(terms.per_s, pace / terms.senders))
            share.set_rate(terms, 0 if has_to_try else self._rank(server.server), divided_by)
        return share

    def _rank(self, server: ServerId) -> int:
        """Return the rank of this instance among those that share the rate of a server."""
        revision, rank = self._ranks.get(server, (-1, 0))
        if revision != self.roster.revision:
            rank = rendezvous(server, self.roster.members).index(self.roster.own)
            self._ranks[server] = (self.roster.revision, rank)
        return rank

    def _may_write_cold(self, server: BackendServer, now_ms: int) -> bool:
        """Return whether a request may be written to a server, by whether it is cold."""
        share = self._cold_share(server, now_ms)
        if share is not None:
            return share.try_write(now_ms)
        if self.cold.rate_per_s(server) is not None:
            share = self._cold_shares.setdefault(server.server, ColdShare(now_ms))
            share.record_write(now_ms)
        return True

    def _divided(self, server: BackendServer, now_ms: int) -> _LimitedServer | None:
        """Return a server that has a limit, with its tokens up to date; None without a limit."""
        key = server.incarnation
        state = self._servers.get(key)
        if state is None or state.limit.per_s is None:
            return None
        self._divide(key, state, now_ms)
        return state

    def _divide(self, key: Incarnation, state: _LimitedServer, now_ms: int) -> None:
        """Set the rate of this instance by the limit and the instances that share it."""
        members = self.roster.members
        has_joined = self.roster.has_joined(now_ms)
        is_stale = now_ms - state.heard_ms > STALE_AFTER_MS
        divided_by = (self.roster.revision, state.limit.per_s, has_joined, is_stale)
        if divided_by == state.divided_by:
            return
        state.divided_by = divided_by
        limit = state.limit.per_s
        state.senders = min(len(members), int(limit) + EXTRA_SENDERS)
        is_sender = self.roster.own in rendezvous(key[0], members)[: state.senders]
        if not has_joined:
            rate = 0.0
        elif is_sender:
            rate = max(limit, MIN_RATE_PER_S) / state.senders
        else:
            rate = MIN_RATE_PER_S / len(members) if is_stale else 0.0
        saved = min(rate * BURST_MS / MS_PER_S, (limit + EXTRA_SENDERS) / state.senders)
        state.bucket.set_rate(rate, max(1.0, saved), now_ms)
        if not rate:
            state.bucket.empty(now_ms)

    def _change(self, key: Incarnation, state: _LimitedServer, now_ms: int) -> LimitChange:
        members = self.roster.members
        if state.limit.per_s is None:
            return LimitChange(key[0], None, 0.0, 0, len(members))
        self._divide(key, state, now_ms)
        rate = state.bucket.rate_per_s
        return LimitChange(key[0], state.limit.per_s, rate, state.senders, len(members))


def _do_nothing() -> None:
    return


def log_limit_change(change: LimitChange, *, request: RequestId | None = None) -> None:
    """Log a change of the limit of a server.

    :param request: request whose answer told it; None if a peer did
    """
    request = request or RequestId("-")
    if change.per_s is None:
        _log.info("server_limit_lifted", server=change.server, request=request)
        return
    _log.info(
        "server_names_limit",
        server=change.server,
        request=request,
        per_s=f"{change.per_s:g}",
        share_per_s=f"{change.share_per_s:.3g}",
        senders=change.senders,
        instances=change.instances,
    )
