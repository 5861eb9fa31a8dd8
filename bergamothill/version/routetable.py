"""Routing configuration of a deployment: routes, services, brands and their keys; no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from bergamothill.ids import BrandName, ModelName, RegionName, ServiceName, ZoneName

__all__ = [
    "Brand",
    "CallerLimits",
    "EngineTraits",
    "CacheStore",
    "RetryPolicy",
    "Route",
    "RouteTable",
    "RoutingConfig",
    "Service",
    "ServiceShare",
]


class RetryPolicy(Enum):
    """Retry policy that follows from the kind of a route."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that one service gets.

    :param service: name of the service
    :param weight: relative weight; positive
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route.

    :param name: name of the route
    :param host: host that the route matches, in lower case
    :param prefix: path prefix that the route matches
    :param retry_policy: which failed attempts are retried
    :param shares: services that serve the route, with their shares of the requests
    :param timeout_ms: maximum time that a caller waits, in milliseconds
    :param target_ms: latency objective, for streams until the first event, in milliseconds
    :param event_gap_ms: maximum time between events that meets the objective, in milliseconds
    :param max_servers: maximum number of backend servers that one request may be sent to
    :param rank: priority; 0 is the highest
    :param is_public: served without a key
    :param is_resumable: a stream may be resumed at another backend server
    :param home_regions: regions in which its requests may be served; None for all
    """

    name: str
    host: str
    prefix: str
    retry_policy: RetryPolicy
    shares: tuple[ServiceShare, ...]
    timeout_ms: int
    target_ms: int
    event_gap_ms: int
    max_servers: int
    rank: int
    is_public: bool
    is_resumable: bool
    home_regions: frozenset[RegionName] | None = None

    @property
    def may_retry(self) -> bool:
        """Whether a request that may already have run can be retried."""
        return self.retry_policy is RetryPolicy.IDEMPOTENT or (
            self.retry_policy is RetryPolicy.STREAM and self.is_resumable
        )


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """Common properties of the engines of a service.

    :param slots: maximum number of requests in one batch
    :param memory_tokens: memory capacity of an engine, in tokens
    :param token_bytes: bytes of cached context per token
    :param link_mbps: link bandwidth of an engine, in Mbit/s
    :param models: models that the engines serve
    :param max_event_listeners: maximum number of long polls for cache events that a server accepts
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_mbps: float
    models: tuple[ModelName, ...]
    max_event_listeners: int


@dataclass(frozen=True, slots=True)
class Service:
    """Service that routes forward to.

    :param name: name of the service
    :param max_connections: maximum connections that a server accepts from all callers together
    :param engine: properties of its model engines; None for a plain service
    :param cold_start_ms: time for which a server is cold after its start
    :param cold_per_s: requests a second that a cold server takes; 0 if it takes as many as others
    :param health_path: path of its health checks; empty if it has none
    """

    name: ServiceName
    max_connections: int
    engine: EngineTraits | None
    cold_start_ms: int = 0
    cold_per_s: float = 0.0
    health_path: str = ""


@dataclass(frozen=True, slots=True)
class CacheStore:
    """Store of cached context; engines transfer data, entry instances only send control requests.

    :param name: name in the configuration
    :param address: ``host:port``
    :param zone: availability zone
    :param capacity_tokens: capacity, in tokens
    :param link_mbps: link bandwidth, in Mbit/s
    :param first_byte_ms: latency of each transfer until its first byte, in milliseconds
    :param is_managed: the store frees context only on request
    :param max_event_listeners: maximum number of long polls for cache events that it accepts
    """

    name: ServiceName
    address: str
    zone: ZoneName
    capacity_tokens: int
    link_mbps: float
    first_byte_ms: float
    is_managed: bool
    max_event_listeners: int


@dataclass(frozen=True, slots=True)
class Brand:
    """Routing properties of a brand.

    :param name: name of the brand
    :param rank: priority that overrides that of the route; None for no override
    :param is_isolated: the brand shares no cached context with other brands
    :param home_regions: regions in which its requests may be served; None for all
    """

    name: BrandName
    rank: int | None = None
    is_isolated: bool = False
    home_regions: frozenset[RegionName] | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests of callers.

    :param header_bytes: maximum size of a request head, in bytes
    :param body_bytes: maximum size of a request body, in bytes
    :param header_timeout_ms: maximum time to receive a request head, in milliseconds
    :param idle_timeout_ms: maximum time between requests on a connection, in milliseconds
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the routing configuration.

    :param version: version number; increases with each change, but not necessarily by 1
    :param routes: routes
    :param services: services by name
    :param stores: stores of cached context
    :param brands: brands by bearer key
    :param isolated: names of the isolated brands, including those without a key
    :param limits: limits on requests of callers
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, Service] = field(default_factory=dict)
    stores: tuple[CacheStore, ...] = ()
    brands: dict[str, Brand] = field(default_factory=dict)
    isolated: frozenset[BrandName] = frozenset()
    limits: CallerLimits = CallerLimits()


class RouteTable:
    """Looks up routes by host and longest path prefix.

    :param config: routing configuration
    """

    def __init__(self, config: RoutingConfig) -> None:
        self.config = config
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(config.routes, key=_longest_prefix_first):
            self._by_host.setdefault(route.host, []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request; None when no route matches.

        :param host: host requested by the caller, with or without a port
        :param path: request path without the query
        """
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def brand_of(self, key: str) -> Brand | None:
        """Return the brand that a key belongs to; None for an unknown key.

        :param key: bearer key of the caller
        """
        return self.config.brands.get(key)


def _longest_prefix_first(route: Route) -> int:
    return -len(route.prefix)
