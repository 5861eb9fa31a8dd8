"""Which backend servers there are, from the list and from their own answers; no I/O, no clock.

Leaving is final for an incarnation, whether the list or an answer told it.
"""

from __future__ import annotations

from collections.abc import Iterable

from bergamothill.connection.storeera import REWRITE_MS
from bergamothill.ids import ServerId, ServiceName
from bergamothill.process.backends import BackendServer
from bergamothill.process.departures import Departures
from bergamothill.process.observedserver import ObservedServer

__all__ = ["ServerList"]

RECOVERY_NOTICE_MS = 150
"""Time in which the end of an outage is noticed."""

MAX_QUIET_MS = 600_000
"""Longest pause that a server can ask for; bounds absurd values."""


class ServerList:
    """All servers that are listed, or were so lately that their requests are still running.

    :param entry_expiry_ms: time without a sign of life after which a server's entry is removed
    :param stability_window_ms: time after an outage of the key-value service from which on servers
        that left must be out of use again
    :param min_entry_life_ms: time for which the entry of a live server remains at least, counted
        from any list that contains it
    """

    def __init__(
        self, entry_expiry_ms: int, stability_window_ms: int, min_entry_life_ms: int
    ) -> None:
        self.set_stability_window(stability_window_ms)
        self._observed: dict[ServerId, ObservedServer] = {}
        self._by_service: dict[ServiceName, list[ObservedServer]] = {}
        self._by_address: dict[str, list[ObservedServer]] = {}
        self._departures = Departures(entry_expiry_ms)
        self._min_entry_life_ms = min_entry_life_ms
        self._is_first_list_after_outage = False
        self._recovery_read_ms = 0
        self._recovered_ms = 0
        self._restored_ms = 0
        self._grace_ends_ms = 0
        self.listed_ms: int | None = None

    def set_stability_window(self, stability_window_ms: int) -> None:
        """Set the time after an outage from which on servers that left must be out of use."""
        self._stability_window_ms = stability_window_ms
        # Longest wait for entries that expired in an outage, if no later read ends it.
        self._reregistration_grace_ms = stability_window_ms - RECOVERY_NOTICE_MS

    def kvs_recovered(self) -> None:
        """Note that the key-value service is back: the next list starts the grace period."""
        self._is_first_list_after_outage = True

    def kvs_connection_lost(self) -> None:
        """Keep servers that had no time to register again since the previous outage.

        Their grace period may have ended without a read of the list while this process was paused.
        """
        for state in self._observed.values():
            may_reregister = state.gone_after_ms is not None and self._may_reregister(state)
            if may_reregister and self.listed_ms < state.gone_after_ms:
                state.gone_after_ms = None

    def kvs_restored(self, now_ms: int) -> None:
        """Note that the key-value service was restored from an older copy.

        Servers that registered since the copy was made are missing until they register again, and
        servers that left since then are listed again.

        :param now_ms: current time, in milliseconds
        """
        self._restored_ms = now_ms
        self._begin_grace(now_ms, now_ms)
        self._departures.record_restore(now_ms)

    def _begin_grace(self, read_ms: int, now_ms: int) -> None:
        self._recovery_read_ms, self._recovered_ms = read_ms, now_ms
        self._grace_ends_ms = now_ms + self._reregistration_grace_ms

    def _may_reregister(self, state: ObservedServer) -> bool:
        """Return whether a missing entry may have expired in an outage and may return.

        A failed read alone does not show an outage that lasted long enough for that. A restored
        service lacks entries however short the time since they were listed.
        """
        if state.is_leaving or state.listed_ms >= self._recovery_read_ms:
            return False
        unlisted_ms = self._recovered_ms - state.listed_ms
        return state.listed_ms < self._restored_ms or unlisted_ms >= self._min_entry_life_ms

    def apply_list(self, entries: Iterable[BackendServer], sent_ms: int, now_ms: int) -> list[str]:
        """Apply a newly read list of servers.

        :param entries: entries that could be decoded
        :param sent_ms: time at which the read of the list was sent
        :param now_ms: current time, in milliseconds
        :returns: changes, for the log
        """
        self.listed_ms = sent_ms
        if self._is_first_list_after_outage:
            self._is_first_list_after_outage = False
            self._begin_grace(sent_ms, now_ms)
        listed = {entry.server: entry for entry in entries if not self._is_outdated(entry, sent_ms)}
        changes = []
        for server, entry in listed.items():
            changes += self._apply_entry(server, entry, sent_ms)
        for server, state in list(self._observed.items()):
            if server not in listed:
                changes += self._handle_missing_entry(server, state, sent_ms, now_ms)
        self._rebuild_index()
        return changes

    def _is_outdated(self, entry: BackendServer, sent_ms: int) -> bool:
        """Return whether an entry is one that only the older copy of the service still has."""
        state = self._observed.get(entry.server)
        current_start_ms = 0 if state is None else state.entry.started_wall_ms
        return self._departures.is_outdated(entry, current_start_ms, sent_ms)

    def _apply_entry(self, server: ServerId, entry: BackendServer, sent_ms: int) -> list[str]:
        state = self._observed.get(server)
        if state is None or state.entry.started_wall_ms != entry.started_wall_ms:
            if state is not None:
                self._departures.record(state)
            self._observed[server] = self._departures.return_state(entry, sent_ms)
            change = "new" if state is None else "restarted"
            return [f"{server}:{change}@{entry.software_version}"]
        state.listed_ms, state.gone_after_ms = sent_ms, None
        self._departures.forget(entry)
        changes = []
        if entry.is_leaving and not state.entry.is_leaving:
            changes.append(f"{server}:leaving")
        if entry.weights != state.entry.weights:
            changes.append(f"{server}:weights")
        if state.entry.is_leaving and not entry.is_leaving:
            return changes  # leaving is final for an incarnation; this entry is an older one
        # A restored service may list older weights, but an incarnation never goes back.
        for model, version in state.entry.weights.items():
            state.record_version(model, version)
        state.entry = entry
        return changes

    def _handle_missing_entry(
        self, server: ServerId, state: ObservedServer, sent_ms: int, now_ms: int
    ) -> list[str]:
        """Handle a known server that is missing from the list.

        It gets a grace period only if it has not been listed since the key-value service recovered:
        only then can its entry have expired in the outage and still return. A read that was sent
        when all servers had to be registered again ends the grace period.
        """
        changes = []
        if state.gone_after_ms is None:
            state.gone_after_ms = self._grace_ends_ms
            changes.append(f"{server}:missing")
        is_awaited = sent_ms < self._recovered_ms + REWRITE_MS
        if not (is_awaited and self._may_reregister(state)):
            # Not after the read was sent, so that a lost connection does not undo it.
            state.gone_after_ms = min(state.gone_after_ms, sent_ms)
        if now_ms >= state.gone_after_ms:
            self._departures.record(state)
        if now_ms >= state.gone_after_ms and state.in_progress == 0:
            del self._observed[server]
        return changes

    def _rebuild_index(self) -> None:
        self._by_service, self._by_address = {}, {}
        for state in self._observed.values():
            self._by_service.setdefault(state.entry.service, []).append(state)
            self._by_address.setdefault(state.entry.address, []).append(state)

    def present(self, now_ms: int) -> list[BackendServer]:
        """Return the servers of all services that are there and not leaving."""
        return [b.entry for b in self._observed.values() if b.is_present(now_ms)]

    def server_state(self, server: ServerId) -> ObservedServer | None:
        """Return the observed state of a server, or None if it is unknown."""
        return self._observed.get(server)

    def _at_address(self, address: str) -> list[ObservedServer]:
        """Return the servers that were listed at an address."""
        return self._by_address.get(address, [])

    def usable(self, service: ServiceName, now_ms: int) -> list[ObservedServer]:
        """Return the servers of a service that may get new requests."""
        return [b for b in self._by_service.get(service, ()) if b.is_usable(now_ms)]

    def quiet_until_ms(self, service: ServiceName, now_ms: int) -> int | None:
        """Return when the first server of a service ends its pause; None if none has asked for one.

        :param now_ms: current time, in milliseconds
        """
        paused = (b for b in self._by_service.get(service, ()) if b.is_present(now_ms))
        return min((b.quiet_until_ms for b in paused if b.quiet_until_ms > now_ms), default=None)

    def may_send_to(self, server: BackendServer, now_ms: int) -> bool:
        """Return whether a request may still be sent to a server that was chosen earlier."""
        state = self._state_of(server)
        return state is not None and state.is_usable(now_ms)

    def record_leaving(self, server: BackendServer) -> bool:
        """Record that an answer of a server says that it is leaving.

        :returns: whether this was not known before
        """
        state = self._state_of(server)
        if state is None:
            return False
        state.leaving_answers += 1
        return state.leaving_answers == 1 and not state.entry.is_leaving

    def withdraw_leaving(self, server: BackendServer) -> None:
        """Withdraw what :meth:`record_leaving` recorded, as the answer proved to be malformed."""
        state = self._state_of(server)
        if state is not None:
            state.leaving_answers = max(0, state.leaving_answers - 1)

    def record_quiet(self, server: BackendServer, quiet_ms: int, now_ms: int) -> None:
        """Record that a server wants no requests from this instance for some time.

        :param quiet_ms: duration that it asked for; bounded by :data:`MAX_QUIET_MS`
        """
        state = self._state_of(server)
        if state is not None:
            until_ms = now_ms + min(quiet_ms, MAX_QUIET_MS)
            state.quiet_until_ms = max(state.quiet_until_ms, until_ms)

    def _state_of(self, server: BackendServer) -> ObservedServer | None:
        """Return the state of an incarnation; None if it is gone or another one has replaced it."""
        state = self._observed.get(server.server)
        is_same = state is not None and state.entry.incarnation == server.incarnation
        return state if is_same else None
