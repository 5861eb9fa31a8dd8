"""When servers have started or recovered, and so begin slowly; no I/O and no clock."""

from __future__ import annotations

from collections.abc import Iterable

from bergamothill.ids import ServerId
from bergamothill.process.backends import BackendServer
from bergamothill.process.loadreport import PeerLoads
from bergamothill.process.observedserver import ObservedServer
from bergamothill.process.serverlimits import ServerLimits
from bergamothill.process.serversilence import STALL_SILENCE_MS
from bergamothill.process.softwareversions import SoftwareVersions
from bergamothill.request.callerrequest import CallerRequest

__all__ = ["ServerRecoveries"]

REPEATED_MS = 300
"""Time in which further failures and rejections are of requests sent before the first."""


class ServerRecoveries(SoftwareVersions):
    """Tells the limits of servers that are cold, and which have started or recovered.

    The parameters are those of :class:`SoftwareVersions`; subclasses set the attributes.
    """

    limits: ServerLimits
    _peer_loads: PeerLoads

    def apply_list(self, entries: Iterable[BackendServer], sent_ms: int, now_ms: int) -> list[str]:
        """Apply a newly read list of servers; see :class:`ServerList`."""
        is_first = self.listed_ms is None
        before = {
            state.entry.incarnation: state.gone_after_ms is None
            for state in self._observed.values()
        }
        changes = super().apply_list(entries, sent_ms, now_ms)
        states = list(self._observed.values())
        listed = [state.entry for state in states if state.listed_ms == sent_ms]
        self.limits.cold.record_list(listed, sent_ms, now_ms, self._entry_expiry_ms)
        for tracker in (self.limits.cold, self.limits.pace):
            tracker.retain(state.entry for state in states)
        for entry in () if is_first else listed:
            was_listed = before.get(entry.incarnation)
            if not was_listed:
                self._begin_slowly(entry, "start" if was_listed is None else "listed", now_ms)
        return changes

    def record_connection_change(self, address: str, is_connected: bool, now_ms: int) -> None:
        """Record a change of an event connection; see :class:`SoftwareVersions`."""
        was_lost = address in self._lost_addresses
        super().record_connection_change(address, is_connected, now_ms)
        for state in self._at_address(address) if was_lost or not is_connected else ():
            self.limits.cold.record_doubt(state.entry, now_ms)

    def record_bytes(self, server: ServerId, now_ms: int) -> None:
        """Record that bytes were received from a server."""
        if self.silence_ms(server, now_ms) >= STALL_SILENCE_MS:
            self._begin_slowly(self._observed[server].entry, "silence", now_ms)
        super().record_bytes(server, now_ms)

    def record_quiet(self, server: BackendServer, quiet_ms: int, now_ms: int) -> None:
        """Record that a server wants no requests from this instance for some time."""
        super().record_quiet(server, quiet_ms, now_ms)
        state = self._state_of(server)
        if state is not None:
            self._begin_slowly(state.entry, "quiet", max(now_ms, state.quiet_until_ms))

    def _record_failure(self, state: ObservedServer, now_ms: int) -> None:
        self.limits.cold.record_doubt(state.entry, now_ms)
        self.limits.pace.record_failure(state.entry, now_ms - REPEATED_MS, now_ms)
        self._begin_slowly(state.entry, "backoff", state.backoff_until_ms)

    def trial_passed(self, server: BackendServer, now_ms: int) -> None:
        """Record that a server has answered a trial, for which others had avoided it."""
        state = self._state_of(server)
        if state is not None:
            self._begin_slowly(state.entry, "trial", now_ms)

    def _record_rejection(self, state: ObservedServer, now_ms: int) -> None:
        self.limits.pace.record_rejection(state.entry, now_ms - REPEATED_MS, now_ms)

    def _begin_slowly(self, server: BackendServer, reason: str, at_ms: int) -> None:
        paced, others = self._split_by_pace(server, at_ms)
        self.limits.pace.begin(server, reason, at_ms, len(paced), len(others))

    def _split_by_pace(
        self, server: BackendServer, now_ms: int
    ) -> tuple[list[ObservedServer], list[ObservedServer]]:
        """Return the other usable servers of a service, in slow start and not."""
        known = self.limits.pace.paced()
        states = [b for b in self.usable(server.service, now_ms) if b.entry.server != server.server]
        paced = [b for b in states if b.entry.incarnation in known]
        return (paced, [b for b in states if b.entry.incarnation not in known])

    def record_check(self, now_ms: int) -> None:
        """Record a periodic check; ends slow starts of servers that are as busy as others."""
        super().record_check(now_ms)
        for incarnation in self.limits.pace.paced():
            state = self._observed.get(incarnation[0])
            if state is not None and state.entry.incarnation == incarnation:
                self.limits.share_per_s(state.entry, now_ms)  # lets a cold phase hold the pace
                _, others = self._split_by_pace(state.entry, now_ms)
                mean = sum(map(self._load_on, others)) / len(others) if others else 0.0
                self.limits.pace.end_if_busy(state.entry, self._load_on(state), mean, now_ms)

    def _load_on(self, state: ObservedServer) -> int:
        return state.in_progress + self._peer_loads.load_on(state.entry.server).in_progress

    def _of_known_pace(
        self, candidates: list[ObservedServer], request: CallerRequest
    ) -> list[ObservedServer]:
        """Return the servers for a request: not those in slow start, if it may not be repeated."""
        known = self.limits.pace.paced()
        if request.may_repeat or not known:
            return candidates
        return [b for b in candidates if b.entry.incarnation not in known] or candidates
