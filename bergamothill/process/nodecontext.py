"""Which sources of cached context an entry instance on the platform follows, and what they say."""

from __future__ import annotations

from collections.abc import Iterable

from bergamothill.clock import Clock
from bergamothill.process.cacheeventlistener import CacheEventListener
from bergamothill.process.nodesettings import NodeSettings
from bergamothill.process.registry import Peer
from bergamothill.process.serverpool import ServerPool
from bergamothill.process.sourcereaders import CacheSource, SourceReaders
from bergamothill.process.supervisor import Supervisor
from bergamothill.version.cacheindex import CacheIndex
from bergamothill.version.routetable import RoutingConfig
from bergamothill.version.weightswap import SwapEngine

__all__ = ["NodeContext"]


class NodeContext:
    """Follows the cache events of the engines and stores that this instance is to read.

    :param settings: settings of the instance
    :param clock: source of time
    :param index: index of cached context to update
    :param server_pool: learns from the replies of the sources
    :param supervisor: restarts tasks that end by an error
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        index: CacheIndex,
        server_pool: ServerPool,
        supervisor: Supervisor,
    ) -> None:
        self._clock = clock
        self._server_pool = server_pool
        self._zone = settings.zone
        self._readers = SourceReaders(settings.entry, settings.zone)
        self._engines: tuple[SwapEngine, ...] = ()
        self._config: RoutingConfig | None = None
        self.listener = CacheEventListener(
            index,
            clock,
            self._on_reply,
            server_pool.record_events_unread,
            self._on_connection_change,
            supervisor.start_task,
            self._on_failure,
        )

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Set the other entry instances, which share the readers that sources admit."""
        peers = tuple(peers)
        self.listener.instance_count = len(peers) + 1
        self.listener.has_ranked_readers = bool(peers)
        if self._readers.set_peers(peers):
            self._follow()
            self.listener.retry_full()

    def set_config(self, config: RoutingConfig) -> None:
        """Set the configuration in force, which names the stores."""
        self._config = config
        self._follow()

    def set_engines(self, engines: tuple[SwapEngine, ...]) -> None:
        """Set the engines that are listed."""
        self._engines = engines
        self._follow()

    def stop(self) -> None:
        """Stop following all sources."""
        self.listener.stop()

    def _follow(self) -> None:
        sources = self._sources()
        self._readers.retain(sources)
        own = [s.address for s in sources if self._readers.should_read(s)]
        self.listener.follow(own, {s.address for s in sources}.difference(own))

    def _sources(self) -> list[CacheSource]:
        config = self._config
        if config is None:
            return [CacheSource(engine.address, self._zone, 0) for engine in self._engines]
        sources = [CacheSource(s.address, s.zone, s.max_event_listeners) for s in config.stores]
        for engine in self._engines:
            state = self._server_pool.server_state(engine.server)
            service = None if state is None else config.services.get(state.entry.service)
            if service is not None and service.engine is not None:
                max_readers = service.engine.max_event_listeners
                sources.append(CacheSource(engine.address, state.entry.zone, max_readers))
        return sources

    def _on_reply(self, address: str, is_leaving: bool) -> None:
        now_ms = self._clock.now_ms()
        self._server_pool.record_reply_from(address, now_ms, is_leaving=is_leaving)

    def _on_connection_change(self, address: str, is_connected: bool) -> None:
        self._server_pool.record_connection_change(address, is_connected, self._clock.now_ms())

    def _on_failure(self, address: str) -> None:
        self._server_pool.record_unread_source(address, self._clock.now_ms())
