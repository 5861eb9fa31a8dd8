"""Finds the software version at which a stream that a caller takes up again has to go on."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.ids import BrandName, ServiceName, SoftwareVersion
from bergamothill.logs import EventLog
from bergamothill.process.backends import BackendServer
from bergamothill.process.listconfirmation import ListConfirmation
from bergamothill.process.serveridentity import ServerIdentity
from bergamothill.process.serverpool import ServerPool
from bergamothill.request.callerrequest import CallerRequest
from bergamothill.request.streamorigin import (
    KnownOrigin,
    SoleVersion,
    StreamKey,
    StreamOrigin,
    StreamOrigins,
)
from bergamothill.version.routetable import RetryPolicy, Route, Service

__all__ = [
    "LocalOrigins",
    "OriginDirectory",
    "OriginEvidence",
    "ResumedStream",
    "StreamChecks",
    "StreamResumption",
]

LIST_TIMEOUT_MS = 1_600
"""Longest wait for a list that was read after a resumption arrived; callers of streams leave after
two seconds without an event at the earliest."""

LIST_CHECK_INTERVAL_MS = 50

_log = EventLog("streams")


class OriginDirectory(Protocol):
    """Where streams began, as the entry instances know it together."""

    def tell(self, origin: StreamOrigin) -> None:
        """Record where a stream began, before its first event leaves."""

    async def find(self, key: StreamKey, give_up_ms: int) -> KnownOrigin | None:
        """Return where a stream began; None if this is not known."""


class OriginEvidence(Protocol):
    """What is known of all streams of a route, also if nothing is known of a single one."""

    is_certain: bool
    """Whether no list has to confirm it once more."""

    async def only_origin(
        self, route: str, give_up_ms: int
    ) -> tuple[ServiceName, SoftwareVersion] | None:
        """Return the only service and version at which they began; None if not known."""


class LocalOrigins:
    """Directory of a single entry instance.

    :param clock: source of time
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._origins = StreamOrigins()

    def tell(self, origin: StreamOrigin) -> None:
        """Record where a stream began."""
        self._origins.record(origin, self._clock.now_ms())

    async def find(self, key: StreamKey, give_up_ms: int) -> KnownOrigin | None:
        """Return where a stream began; None if it did not begin here."""
        return self._origins.find(key, self._clock.now_ms())


@dataclass(frozen=True, slots=True)
class ResumedStream:
    """Where a stream that a caller takes up again has to go on.

    :param service: service that it began at
    :param version: software version of that service; None if it is not known
    :param presumed: where it is presumed to have begun; None if that is certain or not known
    """

    service: ServiceName
    version: SoftwareVersion | None
    presumed: StreamOrigin | SoleVersion | None = None


class StreamChecks:
    """Checks of the servers that one stream is sent to.

    :param identity: asks engines who they are
    :param lists: confirms servers without event connection
    :param presumed: where the stream is presumed to have begun; None if certain or not known
    """

    def __init__(
        self,
        identity: ServerIdentity,
        lists: ListConfirmation,
        presumed: StreamOrigin | SoleVersion | None,
    ) -> None:
        self.presumed = presumed
        self._identity = identity
        self._lists = lists

    async def identify(self, server: BackendServer) -> None:
        """Ask a server who it is if this is in doubt."""
        await self._identity.identify(server)

    def may_send_to(self, server: BackendServer, version: SoftwareVersion | None) -> bool:
        """Return whether a server can be confirmed in time where it has to be."""
        return self.confirmation(server, version) is None or self._lists.is_possible()

    def confirmation(
        self, server: BackendServer, version: SoftwareVersion | None
    ) -> Callable[[], Awaitable[bool]] | None:
        """Return what confirms a request that is written to a server; None if nothing has to.

        :param version: only version at which the stream may go on; None if it begins
        """
        is_certain = bool(server.weights) and self.presumed is None
        if version is None or is_certain:
            return None
        return lambda: self._lists.confirm(server, self.presumed)


class StreamResumption:
    """Records where streams begin, and tells where resumed ones have to go on.

    :param clock: source of time
    :param server_pool: observed state of the backend servers
    :param directory: where streams began
    """

    def __init__(self, clock: Clock, server_pool: ServerPool, directory: OriginDirectory) -> None:
        self._clock = clock
        self._server_pool = server_pool
        self._directory = directory
        self.evidence: OriginEvidence | None = None
        """Asked where streams began whose origin no instance knows."""

        self.identity = ServerIdentity(clock, server_pool)
        self.lists = ListConfirmation(clock, server_pool)

    def checks(self, resumed: ResumedStream | None) -> StreamChecks:
        """Return the checks of a stream.

        :param resumed: where it has to go on; None if it begins
        """
        presumed = None if resumed is None else resumed.presumed
        return StreamChecks(self.identity, self.lists, presumed)

    def record_begin(
        self,
        request: CallerRequest,
        brand: BrandName | None,
        server: BackendServer,
        checks: StreamChecks,
        is_identified: bool,
    ) -> SoftwareVersion | None:
        """Record that a server has brought the first event of a stream.

        :param checks: checks of the stream, which learn where it is presumed to have begun
        :param is_identified: whether the server had said who it is when the request was written
        :returns: version at which the stream may go on; None if it is not known
        """
        now_ms, is_presumed = self._clock.now_ms(), False
        version = server.software_version
        if not is_identified:
            version = self._server_pool.confirmed_version(server, now_ms)
        if version is None:
            version = self._server_pool.presumed_version(server, now_ms)
            is_presumed = version is not None
        if version is None:
            return None
        origin = StreamOrigin(
            StreamKey(brand, request.request_id),
            server.service,
            version,
            server.server,
            server.started_wall_ms,
            self._clock.wall_ms(),
            is_presumed,
        )
        checks.presumed = origin if is_presumed else None
        if request.request_id:
            self._directory.tell(origin)
        return version

    async def resolve(
        self,
        request: CallerRequest,
        brand: BrandName | None,
        route: Route,
        service: Service,
        give_up_ms: int,
    ) -> ResumedStream | None:
        """Return where a stream has to go on; None if the request begins one, or is for no stream.

        If it is not known where it began, a stream can go on only if its service has had a single
        version for longer than a stream lasts.

        :param service: service chosen for the request if it began a stream
        :param give_up_ms: time after which the answer is of no use
        """
        if route.retry_policy is not RetryPolicy.STREAM or not request.last_event_id:
            return None
        known = presumed = None
        name, version = service.name, None
        if request.resumes:
            known = await self._directory.find(StreamKey(brand, request.resumes), give_up_ms)
            if known is not None and self._may_follow(known.origin, route):
                name, version = known.origin.service, known.origin.version
                presumed = known.origin if known.origin.is_presumed else None
        elif self.evidence is None and len({share.service for share in route.shares}) == 1:
            # With several, the id of this request says nothing of the service of the first one.
            version = await self._find_only_version(name, give_up_ms)
        if known is None and self.evidence is not None:
            only = await self.evidence.only_origin(route.name, give_up_ms)
            name, version = (name, None) if only is None else only
            if only is not None and not self.evidence.is_certain:
                presumed = SoleVersion(name, version)
        needs_list = presumed is not None or service.engine is None
        if needs_list and not self.lists.is_possible(give_up_ms):
            version = None
        self._log(request, name, version, known, presumed)
        return ResumedStream(name, version, presumed)

    def _may_follow(self, origin: StreamOrigin, route: Route) -> bool:
        """Return whether a stream may go on by its origin, as far as is known now."""
        if origin.is_presumed and self._server_pool.contradicts(origin, self._clock.now_ms()):
            return False
        return any(origin.service == share.service for share in route.shares)

    async def _find_only_version(
        self, service: ServiceName, give_up_ms: int
    ) -> SoftwareVersion | None:
        """Return the only version of a service by a list that is read now; None if not known.

        A version that has joined since an earlier list may have begun the stream.
        """
        since_ms = self._clock.now_ms()
        until_ms = min(give_up_ms, since_ms + LIST_TIMEOUT_MS)
        while not self._server_pool.has_list_since(since_ms):
            if self._clock.now_ms() >= until_ms:
                return None
            await asyncio.sleep(ms_to_seconds(LIST_CHECK_INTERVAL_MS))
        return self._server_pool.only_version(service, self._clock.now_ms())

    def _log(
        self,
        request: CallerRequest,
        service: ServiceName,
        version: SoftwareVersion | None,
        known: KnownOrigin | None,
        presumed: StreamOrigin | SoleVersion | None,
    ) -> None:
        now_ms, pool = self._clock.now_ms(), self._server_pool
        usable = pool.usable(service, now_ms)
        servers = [] if version is None else pool.select_version(usable, version, now_ms)
        _log.info(
            "stream_resumed",
            request=request.request_id,
            resumes=request.resumes or "-",
            after=request.last_event_id,
            service=service,
            version=version or "-",
            source="-" if known is None else known.source or "own",
            presumed=presumed is not None,
            age_ms="-" if known is None else known.age_ms,
            servers=len(servers),
            of=len(usable),
        )
