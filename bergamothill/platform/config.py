"""Decodes the operator's configuration and the target weight versions."""

from __future__ import annotations

import math

from bergamothill.errors import ProtocolError
from bergamothill.ids import BrandName, ModelName, RegionName, ServiceName, ZoneName
from bergamothill.platform.fields import Fields, log_ignored_value
from bergamothill.version.routetable import (
    Brand,
    CacheStore,
    CallerLimits,
    EngineTraits,
    RetryPolicy,
    Route,
    RoutingConfig,
    Service,
    ServiceShare,
)
from bergamothill.version.weighttarget import WeightTarget

__all__ = [
    "CONFIG_KEY",
    "EVACUATION_PREFIX",
    "OPERATOR_PREFIX",
    "TARGET_PREFIX",
    "decode_config",
    "decode_evacuation",
    "decode_target",
]

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
TARGET_PREFIX = "op/version/"
EVACUATION_PREFIX = "op/evacuate/"

MAX_COLD_START_S = 3_600
MAX_COLD_PER_S = 1_000_000
MS_PER_S = 1_000

_STEP = "config.decode"
_RETRY_POLICY_BY_KIND = {
    "safe": RetryPolicy.IDEMPOTENT,
    "unsafe": RetryPolicy.ONCE,
    "streaming": RetryPolicy.STREAM,
}


def decode_config(encoded: bytes) -> RoutingConfig:
    """Decode the operator's configuration.

    :param encoded: value of :data:`CONFIG_KEY`
    :raises ProtocolError: the value is not a valid configuration
    """
    document = Fields.from_json(encoded, step=_STEP)
    services: dict[ServiceName, Service] = {}
    stores: list[CacheStore] = []
    for row in document.rows("services"):
        fields = Fields(row, step=_STEP)
        # A service with this field is a store of cached context, not a target of routes.
        if fields.has("kvStoreAddress"):
            stores.append(_decode_store(fields))
        else:
            service = _decode_service(fields)
            services[service.name] = service
    return RoutingConfig(
        version=document.integer("version"),
        routes=tuple(_decode_route(Fields(row, step=_STEP)) for row in document.rows("routes")),
        services=services,
        stores=tuple(stores),
        brands=_decode_brands_by_api_key(document),
        isolated=_decode_isolated(document),
        limits=_decode_limits(document.child("limits")),
    )


def decode_target(encoded: bytes) -> WeightTarget:
    """Decode the target weight version of a model.

    :param encoded: value of a key below :data:`TARGET_PREFIX`
    :raises ProtocolError: the value does not name a model and a version
    """
    fields = Fields.from_json(encoded, step="version.decode")
    return WeightTarget(ModelName(fields.text("model")), fields.integer("version"))


def decode_evacuation(key: str) -> ZoneName:
    """Return the zone that a key evacuates, whatever its value.

    :param key: key below :data:`EVACUATION_PREFIX`
    :raises ProtocolError: the key names no zone
    """
    zone = key.removeprefix(EVACUATION_PREFIX)
    if not zone or "/" in zone:
        raise ProtocolError(f"key names no zone: {key!r:.80}", step="evacuation.decode")
    return ZoneName(zone)


def _decode_route(fields: Fields) -> Route:
    kind = fields.text("kind")
    if kind not in _RETRY_POLICY_BY_KIND:
        raise ProtocolError(f"unknown route kind: {kind!r:.40}", step=_STEP)
    timeout_ms = int(fields.number("timeoutMs"))
    return Route(
        name=fields.text("name", ""),
        host=fields.text("host").lower(),
        prefix=fields.text("prefix"),
        retry_policy=_RETRY_POLICY_BY_KIND[kind],
        shares=_decode_shares(fields),
        timeout_ms=timeout_ms,
        target_ms=int(fields.number("targetLatencyMs", timeout_ms)),
        event_gap_ms=int(fields.number("gapTargetMs", timeout_ms)),
        max_servers=max(1, fields.integer("maxAttempts", 1)),
        rank=fields.integer("priority", 0),
        is_public=fields.flag("public", False),
        is_resumable=fields.flag("resumable", False),
        home_regions=_decode_home_regions(fields),
    )


def _decode_home_regions(fields: Fields) -> frozenset[RegionName] | None:
    """Return the regions that a list names; None if there is no list, or an empty one.

    A list that is not one invalidates the configuration, as ignoring it would lift a restriction.
    """
    names = fields.rows("allowedRegions") if fields.has("allowedRegions") else []
    if not names:
        return None
    if any(not isinstance(name, str) for name in names):
        log_ignored_value("allowedRegions", names)
    return frozenset(RegionName(name) for name in names if isinstance(name, str))


def _decode_shares(fields: Fields) -> tuple[ServiceShare, ...]:
    rows = [Fields(row, step=_STEP) for row in fields.rows("trafficSplit")]
    shares = [
        ServiceShare(ServiceName(share_fields.text("service")), share_fields.number("weight"))
        for share_fields in rows
    ]
    positive = tuple(share for share in shares if share.weight > 0)
    if positive:
        return positive
    # Without a positive weight in the traffic split, one service gets all requests.
    return (ServiceShare(ServiceName(fields.text("service")), 1.0),)


def _decode_service(fields: Fields) -> Service:
    engine = _decode_engine(fields.child("engine")) if fields.has("engine") else None
    # "connectionLimit" applies to each server: the connections of all its callers together.
    limit = fields.integer("connectionLimit", 0)
    cold_start_s = fields.plausible_number("coldStartS", MAX_COLD_START_S) or 0.0
    return Service(
        ServiceName(fields.text("name")),
        limit,
        engine,
        cold_start_ms=math.ceil(cold_start_s * MS_PER_S),
        cold_per_s=fields.plausible_number("coldPerS", MAX_COLD_PER_S) or 0.0,
        health_path=_health_path(fields),
    )


def _health_path(fields: Fields) -> str:
    """Return the path of health checks; empty if there is none, or it cannot be asked for."""
    try:
        path = fields.text("healthCheckPath", "")
    except ProtocolError:
        return ""
    is_path = path.startswith("/") and path.isascii() and path.isprintable() and " " not in path
    return path if is_path else ""


def _decode_engine(fields: Fields) -> EngineTraits:
    models = (Fields(row, step=_STEP).text("name") for row in fields.rows("models"))
    return EngineTraits(
        slots=fields.integer("slots", 1),
        memory_tokens=int(fields.number("kvCapacityTokens", 0)),
        token_bytes=int(fields.number("kvTokenBytes", 0)),
        link_mbps=fields.number("linkMbps", 0),
        models=tuple(ModelName(name) for name in models),
        max_event_listeners=fields.integer("maxConcurrent", 0),
    )


def _decode_store(fields: Fields) -> CacheStore:
    return CacheStore(
        name=ServiceName(fields.text("name")),
        address=fields.text("kvStoreAddress"),
        zone=ZoneName(fields.text("zone", "")),
        capacity_tokens=int(fields.number("kvCapacityTokens", 0)),
        link_mbps=fields.number("linkMbps", 0),
        first_byte_ms=fields.number("first_ms", 0),
        is_managed=fields.flag("managed", False),
        max_event_listeners=fields.integer("maxConcurrent", 0),
    )


def _decode_brands_by_api_key(document: Fields) -> dict[str, Brand]:
    brands_by_api_key: dict[str, Brand] = {}
    for row in document.rows("tenants"):
        fields = Fields(row, step=_STEP)
        rank = fields.integer("priority") if fields.has("priority") else None
        brand = Brand(
            BrandName(fields.text("name")),
            rank,
            fields.flag("isolated", False),
            _decode_home_regions(fields),
        )
        for key in fields.rows("apiKeys"):
            if isinstance(key, str):
                brands_by_api_key[key] = brand
    return brands_by_api_key


def _decode_isolated(document: Fields) -> frozenset[BrandName]:
    tenants = (Fields(row, step=_STEP) for row in document.rows("tenants"))
    return frozenset(
        BrandName(fields.text("name")) for fields in tenants if fields.flag("isolated", False)
    )


def _decode_limits(fields: Fields) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=fields.integer("maxHeaderBytes", defaults.header_bytes),
        body_bytes=fields.integer("maxBodyBytes", defaults.body_bytes),
        header_timeout_ms=int(fields.number("headerTimeoutMs", defaults.header_timeout_ms)),
        idle_timeout_ms=int(fields.number("idleTimeoutMs", defaults.idle_timeout_ms)),
    )
