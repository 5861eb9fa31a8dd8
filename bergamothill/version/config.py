"""Configuration in force: immutable records that every decision reads.

How a configuration is changed, stored and applied is the work of
:mod:`bergamothill.version.change` and :mod:`bergamothill.version.revision`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from bergamothill.ids import (
    AdapterName,
    BrandName,
    ModelName,
    Revision,
    ServiceName,
    WeightVersion,
)

__all__ = [
    "BrandConfig",
    "Configuration",
    "Defaults",
    "ExceptionRecord",
    "Limits",
    "ModelConfig",
    "Objectives",
    "PolicyWeights",
    "ServiceConfig",
]

EMPTY: Mapping = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class PolicyWeights:
    """What a millisecond of waiting is worth against recomputation and link use.

    :param ttft: weight of one millisecond of time to first token
    :param recompute: cost, in those milliseconds, of recomputing 1,000 tokens of returning context
    :param link: cost, in those milliseconds, of moving 1 MB over a link to a store
    :param late: cost, in those milliseconds, of a first token expected after the objective
    """

    ttft: float = 1.0
    recompute: float = 20.0
    link: float = 1.0
    late: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one brand over the whole fleet.

    :param requests_per_s: sustained rate
    :param burst: requests above the rate that may come at once
    :param concurrent: requests in progress
    """

    requests_per_s: float = 100.0
    burst: int = 200
    concurrent: int = 500


@dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives.

    :param ttft_ms: first token within this many milliseconds ...
    :param ttft_share: ... for this share of the requests
    :param recomputed_share: largest share of returning context that is recomputed
    :param answered_share: share of the requests that get their whole answer
    """

    ttft_ms: int = 440
    ttft_share: float = 0.95
    recomputed_share: float = 0.2
    answered_share: float = 0.999


@dataclass(frozen=True, slots=True)
class Defaults:
    """Values for the whole fleet.

    :param warm_time_ms: how long a conversation's context is kept after its last use
    :param answer_timeout_ms: longest duration of a request, in milliseconds
    :param concurrent_weight_loads: engines that may load weights at once
    :param rollout_failures: engines that may fail to load before a rollout goes back
    """

    warm_time_ms: int = 86_400_000
    answer_timeout_ms: int = 120_000
    weights: PolicyWeights = field(default_factory=PolicyWeights)
    limits: Limits = field(default_factory=Limits)
    objectives: Objectives = field(default_factory=Objectives)
    concurrent_weight_loads: int = 2
    rollout_failures: int = 1


@dataclass(frozen=True, slots=True)
class ExceptionRecord:
    """A brand's departure from one default.

    :param reason: why, written by the operator; never empty
    :param value: value in place of the default; its type is that of the default's field
    """

    reason: str
    value: object


@dataclass(frozen=True, slots=True)
class BrandConfig:
    """One brand.

    :param name: brand
    :param key_digests: hexadecimal SHA-256 of each bearer key that names the brand
    :param models: models the brand may use
    :param adapters: adapters the brand may use, as ``model:adapter``
    :param services: plain services the brand may call
    :param exceptions: departures from the defaults, by the name of the default
    """

    name: BrandName
    key_digests: frozenset[str] = frozenset()
    models: frozenset[ModelName] = frozenset()
    adapters: frozenset[str] = frozenset()
    services: frozenset[ServiceName] = frozenset()
    exceptions: Mapping[str, ExceptionRecord] = field(default_factory=lambda: EMPTY)


@dataclass(frozen=True, slots=True)
class ModelConfig:
    """One model.

    :param name: model
    :param current: weight version that new requests use
    :param target: version that a rollout moves to; equal to ``current`` when none is under way
    :param adapters: adapters that exist for the model
    :param bytes_per_token: size of kept context
    """

    name: ModelName
    current: WeightVersion
    target: WeightVersion
    adapters: frozenset[AdapterName] = frozenset()
    bytes_per_token: int = 1_000


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """One plain service.

    :param name: service
    :param repeatable_methods: HTTP methods that may be sent again after a lost reply
    """

    name: ServiceName
    repeatable_methods: frozenset[str] = frozenset({"GET", "HEAD"})


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted configuration.

    :param revision: its number; 0 before the first
    """

    revision: Revision = Revision(0)
    defaults: Defaults = field(default_factory=Defaults)
    brands: Mapping[BrandName, BrandConfig] = field(default_factory=lambda: EMPTY)
    models: Mapping[ModelName, ModelConfig] = field(default_factory=lambda: EMPTY)
    services: Mapping[ServiceName, ServiceConfig] = field(default_factory=lambda: EMPTY)

    def value_for(self, brand: BrandName, default_name: str) -> object:
        """Return a default, or the brand's exception to it.

        :param brand: brand asked for
        :param default_name: field of :class:`Defaults`
        """
        config = self.brands.get(brand)
        if config is not None and default_name in config.exceptions:
            return config.exceptions[default_name].value
        return getattr(self.defaults, default_name)
