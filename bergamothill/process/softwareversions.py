"""Software versions of backend servers, and which are known to run still; no I/O, no clock.

What servers of two versions write does not fit together, so a stream goes on only at a server whose
version is known. An id and an address may come back with another version.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import singledispatchmethod

from bergamothill.connection.storeera import REWRITE_MS
from bergamothill.ids import ServerId, ServiceName, SoftwareVersion
from bergamothill.process.backends import BackendServer
from bergamothill.process.observedserver import ObservedServer
from bergamothill.process.serversilence import ServerSilence
from bergamothill.request.streamorigin import MAX_RESUME_MS, SoleVersion, StreamOrigin

__all__ = ["IDENTITY_MS", "LOOKBACK_MS", "SoftwareVersions", "VersionHistory"]

LOOKBACK_MS = MAX_RESUME_MS
"""Longest time from the first event of a stream to a request that resumes it.

With less, a stream that began at a version whose servers left while all entry instances were down
could go on at the version that came after it.
"""

MIN_RESTART_MS = 1_000
"""Shortest time from the end of a process until another one answers in its place."""

IDENTITY_MS = 100
"""Time from a question that a server has answered in which a connection reaches the same process.

It is shorter than the time that any process takes to start in the place of another one.
"""


class VersionHistory:
    """Versions of each service in all lists that this process has read.

    :param max_gap_ms: longest time between two reads in which a server that comes stays listed
    """

    def __init__(self, max_gap_ms: int) -> None:
        self._max_gap_ms = max_gap_ms
        self._versions: dict[ServiceName, dict[SoftwareVersion, int]] = {}
        self._first_sent_ms: int | None = None
        self._last_sent_ms = 0

    def has_read_since(self, sent_ms: int) -> bool:
        """Return whether a list is known whose read was sent at some time or later."""
        return self._first_sent_ms is not None and self._last_sent_ms >= sent_ms

    def record(self, entries: Iterable[BackendServer], sent_ms: int) -> None:
        """Record a list of servers.

        :param sent_ms: time at which its read was sent
        """
        if self._first_sent_ms is None or sent_ms - self._last_sent_ms > self._max_gap_ms:
            self._first_sent_ms = sent_ms
        self._last_sent_ms = sent_ms
        for entry in entries:
            self._versions.setdefault(entry.service, {})[entry.software_version] = sent_ms

    def versions_since(self, service: ServiceName, since_ms: int) -> frozenset[SoftwareVersion]:
        """Return the versions of a service in lists whose reads were sent at some time or later."""
        versions = self._versions.get(service, {})
        return frozenset(version for version, at_ms in versions.items() if at_ms >= since_ms)

    def only_version(self, service: ServiceName, now_ms: int) -> SoftwareVersion | None:
        """Return the version of all servers that a service has had since any stream began.

        It is the only one in all lists that this process has read, and the latest reads cover
        :data:`LOOKBACK_MS` without a gap. A server that came and went between two of them, or never
        registered, remains unseen; so does one that served while its registration was unreadable.

        :returns: None if several versions were listed, or the reads do not cover that time
        """
        versions = self._versions.get(service, {})
        if len(versions) != 1 or now_ms - self._last_sent_ms > self._max_gap_ms:
            return None
        return next(iter(versions)) if now_ms - self._first_sent_ms >= LOOKBACK_MS else None


class ListEvidence:
    """When each incarnation was listed last, for as long as streams may be taken up.

    The last entry of a process may be written after its end, over that of its successor. So an
    incarnation is out once one that started later was listed under its id.
    """

    def __init__(self) -> None:
        self._listed_ms: dict[tuple[ServerId, int], int] = {}
        self._latest: dict[ServerId, int] = {}
        self._pruned_ms = 0

    def record_incarnations(self, states: Iterable[ObservedServer]) -> None:
        """Record which incarnations a list has, however soon after an outage it was read."""
        for state in states:
            server, started_wall_ms = state.entry.incarnation
            self._latest[server] = max(started_wall_ms, self._latest.get(server, 0))

    def is_superseded(self, server: ServerId, started_wall_ms: int) -> bool:
        """Return whether an incarnation that started later was listed under the id of a server."""
        return self._latest.get(server, 0) > started_wall_ms

    def record(self, states: Iterable[ObservedServer], sent_ms: int) -> None:
        """Record a list that shows all processes that answered a heartbeat interval before.

        :param states: observed servers, some of which may not be listed any more
        :param sent_ms: time at which its read was sent
        """
        for state in states:
            if state.listed_ms == sent_ms:
                self._listed_ms[state.entry.incarnation] = sent_ms
        if sent_ms - self._pruned_ms >= MAX_RESUME_MS:
            self._pruned_ms = sent_ms
            oldest_ms = sent_ms - MAX_RESUME_MS
            self._listed_ms = {k: at for k, at in self._listed_ms.items() if at >= oldest_ms}
            listed = {server for server, _ in self._listed_ms}
            self._latest = {s: born for s, born in self._latest.items() if s in listed}

    def last_listed_ms(self, server: ServerId, started_wall_ms: int) -> int | None:
        """Return when the read of the last list with an incarnation was sent; None for never."""
        return self._listed_ms.get((server, started_wall_ms))


class SoftwareVersions(ServerSilence):
    """Software versions of all backend servers, and whether their processes are known to run still.

    A process may have ended if its event connection was lost, or if a request to it failed. From
    then on its version is not known until there is evidence that no other process has taken its
    place: a list read so much later that a new process would have registered, or, after a failed
    request, a reply on the event connection, which would have been lost with the process.

    :param heartbeat_interval_ms: time in which a server that runs writes its entry

    The other parameters are those of :class:`~bergamothill.process.serverlist.ServerList`.
    """

    def __init__(
        self,
        entry_expiry_ms: int,
        stability_window_ms: int,
        min_entry_life_ms: int,
        heartbeat_interval_ms: int,
    ) -> None:
        super().__init__(entry_expiry_ms, stability_window_ms, min_entry_life_ms)
        self._entry_expiry_ms = entry_expiry_ms
        self.heartbeat_interval_ms = heartbeat_interval_ms
        self._history = VersionHistory(min_entry_life_ms)
        self._lost_addresses: set[str] = set()
        self._grace_began_ms: int | None = None
        self._evidence = ListEvidence()
        self.asks_servers = False
        """Whether servers are asked who they are where the list and event connections leave doubt.

        A list alone is then never evidence of what answers at an address.
        """

        self.is_recorded: Callable[[BackendServer], bool] | None = None
        """Tells whether streams may begin at a server, as its version is in the record that
        outlives all entry instances; None without such a record."""

    def apply_list(self, entries: Iterable[BackendServer], sent_ms: int, now_ms: int) -> list[str]:
        """Apply a newly read list of servers; see :class:`ServerList`."""
        entries = tuple(entries)
        self._history.record(entries, sent_ms)
        known = dict(self._observed)
        changes = super().apply_list(entries, sent_ms, now_ms)
        for server, state in self._observed.items():
            before = known.get(server)
            if before is not state:
                state.reconnected_ms = now_ms  # may have ended before its connection was opened
                if before is not None:
                    state.failed_ms = before.failed_ms  # may have failed at this incarnation
            if state.listed_ms == sent_ms and sent_ms >= self._confirmation_due_ms(state):
                state.reconnected_ms = state.failed_ms = None
        self._lost_addresses &= {b.entry.address for b in self._observed.values()}
        self._evidence.record_incarnations(self._observed.values())
        if sent_ms >= self.confirmation_due_ms(0):
            self._evidence.record(self._observed.values(), sent_ms)
        return changes

    def _begin_grace(self, read_ms: int, now_ms: int) -> None:
        super()._begin_grace(read_ms, now_ms)
        self._grace_began_ms = now_ms

    def record_connection_change(self, address: str, is_connected: bool, now_ms: int) -> None:
        """Record that the event connection to the server at an address was lost or restored.

        An incarnation that was listed in between may have ended before its connection was opened.
        """
        self.set_reachable(address, is_connected)
        if not is_connected:
            self._lost_addresses.add(address)
            return
        self._lost_addresses.discard(address)
        for state in self._at_address(address):
            state.reconnected_ms = now_ms

    def record_reply_from(self, address: str, now_ms: int, *, is_leaving: bool) -> None:
        """Record a reply of the server at an address to a read of its cache events."""
        if address in self._lost_addresses:
            self.record_connection_change(address, True, now_ms)
        for state in self._at_address(address):
            if state.is_reachable:
                is_late = now_ms - state.listed_ms > MIN_RESTART_MS
                if not state.has_event_reader or (is_late and not state.is_followed):
                    state.reconnected_ms = now_ms
                elif state.failed_ms is not None and state.failed_ms < now_ms:
                    state.failed_ms = None
                state.is_followed = True
        super().record_reply_from(address, now_ms, is_leaving=is_leaving)

    def record_check(self, now_ms: int) -> None:
        """Record a periodic check; any server may have restarted in a pause.

        The end of an event connection may reach a machine that was suspended long after it woke.
        """
        if self._has_paused(now_ms):
            for state in self._observed.values():
                state.reconnected_ms = now_ms
        super().record_check(now_ms)

    def _confirmation_due_ms(self, state: ObservedServer) -> int:
        """Return when to send a read whose list shows that the process of a server runs still.

        A process that answers has registered one heartbeat interval later. One that may be yet to
        start could do so at any time, unless its start would be seen by the event connection: an
        entry is then evidence only if it would have expired otherwise.
        """
        dues_ms = [0]
        wait_ms = self.heartbeat_interval_ms
        if state.reconnected_ms is not None:
            dues_ms.append(state.reconnected_ms + wait_ms)
        if state.failed_ms is not None:
            if not (state.has_event_reader and state.entry.weights):
                wait_ms = self._entry_expiry_ms
            dues_ms.append(state.failed_ms + wait_ms)
        return max(*dues_ms, self._grace_due_ms(wait_ms))

    def _grace_due_ms(self, wait_ms: int) -> int:
        """Return when a list has all entries again that may be missing since an outage.

        :param wait_ms: time in which a process registers
        """
        if self._grace_began_ms is None:
            return 0
        return self._grace_began_ms + max(REWRITE_MS, wait_ms)

    def confirmed_version(self, server: BackendServer, now_ms: int) -> SoftwareVersion | None:
        """Return the version of a server if no other process can be answering in its place.

        :param server: the incarnation as listed
        :returns: None if it was replaced, or may have been
        """
        state = self._state_of(server)
        if state is None or self._has_paused(now_ms) or not self._is_running(state, now_ms):
            return None
        version = state.entry.software_version
        return version if version == server.software_version else None

    def presumed_version(self, server: BackendServer, now_ms: int) -> SoftwareVersion | None:
        """Return the version of a server without event connection, by the list alone.

        Another process may have started under its id meanwhile, also if no request to it has
        failed, so what it answers counts only once :meth:`is_listed_since` holds for the time of
        the answer.

        :param server: the incarnation as listed
        :returns: None for an engine, and if there is reason to doubt the list
        """
        state = self._state_of(server)
        if state is None or server.weights or self._has_paused(now_ms):
            return None
        if self.is_superseded(*server.incarnation):
            return None
        is_recent = now_ms - state.listed_ms <= self._min_entry_life_ms
        version = state.entry.software_version
        return version if is_recent and version == server.software_version else None

    def confirmation_due_ms(self, since_ms: int) -> int:
        """Return when to send a read whose list shows who has answered since some time.

        A process that answered then has registered one heartbeat interval later. After an outage or
        a restoration of the key-value service its entry may be missing for longer.
        """
        wait_ms = self.heartbeat_interval_ms
        return max(since_ms + wait_ms, self._grace_due_ms(wait_ms))

    def is_listed_since(self, server: ServerId, started_wall_ms: int, since_ms: int) -> bool:
        """Return whether lists show that no other process has answered under an id at some time.

        :param started_wall_ms: start of the incarnation that is expected to have answered
        :param since_ms: time of the answer, or a later one
        """
        last_ms = self._evidence.last_listed_ms(server, started_wall_ms)
        return last_ms is not None and last_ms >= since_ms + self.heartbeat_interval_ms

    def is_superseded(self, server: ServerId, started_wall_ms: int) -> bool:
        """Return whether another incarnation is known under the id of a server."""
        state = self._observed.get(server)
        if state is not None and state.is_replaced:
            return True
        return self._evidence.is_superseded(server, started_wall_ms)

    @singledispatchmethod
    def contradicts(self, presumed: StreamOrigin | SoleVersion | None, now_ms: int) -> bool:
        """Return whether lists speak against what is presumed of the beginning of a stream."""
        return False

    @contradicts.register
    def _(self, presumed: StreamOrigin, now_ms: int) -> bool:
        return self.is_superseded(presumed.server, presumed.started_wall_ms)

    @contradicts.register
    def _(self, presumed: SoleVersion, now_ms: int) -> bool:
        return not self.recent_versions(presumed.service, now_ms) <= {presumed.version}

    def confirms(self, origin: StreamOrigin, since_ms: int) -> bool:
        """Return whether lists show that a stream began where it is presumed to have begun.

        :param since_ms: time of its first event, or a later one
        """
        return self.is_listed_since(origin.server, origin.started_wall_ms, since_ms)

    def record_identity(self, server: BackendServer, started_wall_ms: int, sent_ms: int) -> None:
        """Record which incarnation a server at the address of a listed one says that it is.

        :param server: the incarnation as listed
        :param started_wall_ms: start that it names; 0 if it names none
        :param sent_ms: time at which it was asked
        """
        state = self._state_of(server)
        if state is None:
            return
        if started_wall_ms == server.started_wall_ms:
            state.identified_ms = sent_ms
        elif started_wall_ms == 0:
            state.names_start = False
        else:
            state.is_replaced = True

    def is_identified(self, server: BackendServer, now_ms: int) -> bool:
        """Return whether a connection that was just opened is one to this incarnation."""
        state = self._state_of(server)
        return state is not None and self._is_identified(state, now_ms)

    def may_identify(self, server: BackendServer, now_ms: int) -> bool:
        """Return whether asking a server can show the version of what it answers."""
        state = self._state_of(server)
        if state is None or state.is_replaced or not self._names_start(state):
            return False
        return self._has_paused(now_ms) or not self._is_running(state, now_ms)

    def usable(self, service: ServiceName, now_ms: int) -> list[ObservedServer]:
        """Return the servers of a service that may get new requests."""
        usable = super().usable(service, now_ms)
        if self.is_recorded is None:
            return usable
        return [b for b in usable if self.is_recorded(b.entry)]

    def may_begin_at(self, server: BackendServer, now_ms: int) -> bool:
        """Return whether a stream may begin at a server; with a record its version is known."""
        if self.is_recorded is None or not server.weights:
            return True
        return self.confirmed_version(server, now_ms) is not None

    def may_go_on_at(self, server: BackendServer, version: SoftwareVersion, now_ms: int) -> bool:
        """Return whether a stream that began at a version may go on at a server.

        What a server without event connection answers has to be confirmed before it is passed on.
        """
        if server.weights:
            return self.confirmed_version(server, now_ms) == version
        return self.presumed_version(server, now_ms) == version

    def may_pass_on(self, server: BackendServer, version: SoftwareVersion, now_ms: int) -> bool:
        """Return whether the first event of an answer may be passed on.

        Requests that failed meanwhile do not count: the process that was asked still answers.

        :param server: server that was known to run the version when the request was written, or one
            without event connection that was confirmed since
        """
        state = self._state_of(server)
        if state is None or state.is_replaced:
            return False
        if server.weights and (self._has_paused(now_ms) or self._may_be_replaced(state)):
            return False
        return state.entry.software_version == version

    def has_list_since(self, sent_ms: int) -> bool:
        """Return whether a list is known whose read was sent at some time or later."""
        return self._history.has_read_since(sent_ms)

    def only_version(self, service: ServiceName, now_ms: int) -> SoftwareVersion | None:
        """Return the version of all streams of a service; see :class:`VersionHistory`.

        It holds for streams that began before the read of the latest list was sent.
        """
        return self._history.only_version(service, now_ms)

    def recent_versions(self, service: ServiceName, now_ms: int) -> frozenset[SoftwareVersion]:
        """Return the versions that a service has had lately, as far as this process has seen."""
        return self._history.versions_since(service, now_ms - LOOKBACK_MS)

    def select_version(
        self, states: list[ObservedServer], version: SoftwareVersion, now_ms: int
    ) -> list[ObservedServer]:
        """Return the servers at which a stream of a version may go on.

        If there is none, those are returned that may prove to run it when they are asked, which
        has to precede the request.
        """
        running = [b for b in states if self.may_go_on_at(b.entry, version, now_ms)]
        if running:
            return running
        listed = [b for b in states if b.entry.software_version == version]
        return [b for b in listed if self.may_identify(b.entry, now_ms)]

    def _is_reachable(self, state: ObservedServer) -> bool:
        return state.is_reachable and state.entry.address not in self._lost_addresses

    def _may_be_replaced(self, state: ObservedServer) -> bool:
        """Return whether the list or the event connection leaves room for another process."""
        is_in_doubt = state.is_replaced or state.reconnected_ms is not None
        return is_in_doubt or not self._is_reachable(state)

    def _names_start(self, state: ObservedServer) -> bool:
        is_asked = self.asks_servers and state.names_start and state.entry.started_wall_ms > 0
        return is_asked and bool(state.entry.weights)

    def _is_identified(self, state: ObservedServer, now_ms: int) -> bool:
        at_ms = state.identified_ms
        return at_ms is not None and now_ms - at_ms < IDENTITY_MS and not state.is_replaced

    def _is_running(self, state: ObservedServer, now_ms: int) -> bool:
        if self._is_identified(state, now_ms):
            return True
        if state.failed_ms is not None or self._may_be_replaced(state):
            return False
        if state.has_event_reader or not state.entry.weights:
            return state.is_followed
        if self._names_start(state):
            return False
        # Without an event connection the list alone shows a restart, so it must be recent.
        return now_ms - state.listed_ms <= self._min_entry_life_ms
