"""Routing configuration of a deployment: routes, services, brands and their keys; no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from bergamothill.ids import BrandName, ModelName, ServiceName, ZoneName

__all__ = [
    "Brand",
    "CallerLimits",
    "EngineTraits",
    "KeptStore",
    "RepeatRule",
    "Route",
    "RouteTable",
    "RoutingConfig",
    "Service",
    "ServiceShare",
]


class RepeatRule(Enum):
    """What the kind of a route says about repeating a request."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that one service gets.

    :param service: service
    :param weight: relative share; positive
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route.

    :param name: name of the route
    :param host: host that it serves, in lower case
    :param prefix: leading part of the path
    :param rule: what may be repeated
    :param shares: services that serve it
    :param timeout_ms: longest time that a caller is kept waiting
    :param target_ms: latency objective, up to the first event of a stream
    :param event_gap_ms: longest pause between events that is still on time
    :param most_servers: backend servers that one request may be sent to
    :param rank: urgency; 0 comes first
    :param is_public: served without a key
    :param is_resumable: a stream may go on at another server
    """

    name: str
    host: str
    prefix: str
    rule: RepeatRule
    shares: tuple[ServiceShare, ...]
    timeout_ms: int
    target_ms: int
    event_gap_ms: int
    most_servers: int
    rank: int
    is_public: bool
    is_resumable: bool

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self.rule is RepeatRule.IDEMPOTENT or (
            self.rule is RepeatRule.STREAM and self.is_resumable
        )


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """What the engines of a service have in common.

    :param slots: requests in one batch
    :param memory_tokens: tokens that an engine's memory holds
    :param token_bytes: bytes of kept context a token
    :param link_mbps: bandwidth of an engine's link
    :param models: models that they serve
    :param event_listeners: waiting reads of cache events that a server admits
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_mbps: float
    models: tuple[ModelName, ...]
    event_listeners: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service behind routes.

    :param name: service
    :param most_connections: connections that a server admits from all callers together
    :param engine: traits of its model engines; None for a plain service
    """

    name: ServiceName
    most_connections: int
    engine: EngineTraits | None


@dataclass(frozen=True, slots=True)
class KeptStore:
    """A store of kept context; it is reached by engines, and by us for control only.

    :param name: name in the configuration
    :param address: ``host:port``
    :param zone: availability zone
    :param capacity_tokens: tokens that it holds
    :param link_mbps: bandwidth of its link
    :param first_byte_ms: wait before each transfer
    :param is_managed: frees nothing by itself
    :param event_listeners: waiting reads of cache events that it admits
    """

    name: ServiceName
    address: str
    zone: ZoneName
    capacity_tokens: int
    link_mbps: float
    first_byte_ms: float
    is_managed: bool
    event_listeners: int


@dataclass(frozen=True, slots=True)
class Brand:
    """A brand with its keys.

    :param name: brand
    :param rank: urgency that goes before the route's; None for none
    :param is_isolated: shares no kept context with another brand
    """

    name: BrandName
    rank: int | None = None
    is_isolated: bool = False


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds of what a caller may send.

    :param header_bytes: largest request head
    :param body_bytes: largest request body
    :param header_timeout_ms: longest time for a request head
    :param idle_timeout_ms: longest time between requests on a connection
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the routing configuration.

    :param version: grows with each change, in uneven steps
    :param routes: routes
    :param services: services by name
    :param stores: stores of kept context
    :param brands: brands by key
    :param limits: bounds on callers
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, Service] = field(default_factory=dict)
    stores: tuple[KeptStore, ...] = ()
    brands: dict[str, Brand] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()


class RouteTable:
    """Finds routes by host and longest prefix.

    :param config: configuration that the table is built from
    """

    def __init__(self, config: RoutingConfig) -> None:
        self.config = config
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(config.routes, key=_longest_prefix_first):
            self._by_host.setdefault(route.host, []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request.

        :param host: host as the caller names it, with or without a port
        :param path: path without the query
        """
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def brand_of(self, key: str) -> Brand | None:
        """Return the brand that holds a key.

        :param key: bearer key of the caller
        """
        return self.config.brands.get(key)


def _longest_prefix_first(route: Route) -> int:
    return -len(route.prefix)
