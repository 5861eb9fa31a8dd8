"""Immutable records of the configuration.

:mod:`bergamothill.version.applychanges` derives a changed configuration, and
:mod:`bergamothill.version.revision` reads and stores the accepted one.
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
    """Weights of waiting time, recomputation and link use in placement decisions.

    :param ttft: weight of one millisecond of time to first token
    :param recompute: cost of recomputing 1,000 tokens of returning context, in equivalent
        milliseconds of waiting
    :param link: cost of moving 1 MB over a link to a store, in equivalent milliseconds
    :param late: cost of a first token expected after the objective, in equivalent milliseconds
    """

    ttft: float = 1.0
    recompute: float = 20.0
    link: float = 1.0
    late: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Fleet-wide limits of one brand.

    :param requests_per_s: sustained request rate
    :param burst: number of requests above the sustained rate that may arrive at once
    :param concurrent: maximum number of requests in progress
    """

    requests_per_s: float = 100.0
    burst: int = 200
    concurrent: int = 500


@dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives.

    :param ttft_ms: target time to first token, in milliseconds
    :param ttft_share: share of the requests that must reach that target
    :param recomputed_share: maximum share of returning context that is recomputed
    :param answered_share: share of the requests that must receive their complete answer
    """

    ttft_ms: int = 440
    ttft_share: float = 0.95
    recomputed_share: float = 0.2
    answered_share: float = 0.999


@dataclass(frozen=True, slots=True)
class Defaults:
    """Fleet-wide default values.

    :param warm_time_ms: retention of a conversation's cached context after its last use, in
        milliseconds
    :param answer_timeout_ms: maximum duration of a request, in milliseconds
    :param concurrent_weight_loads: maximum number of engines loading weights at once
    :param rollout_failures: failed engines that a rollout tolerates; one more rolls it back
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
    """A brand's override of one default.

    :param reason: reason given by the operator; never empty
    :param value: value that replaces the default; has the type of the default's field
    """

    reason: str
    value: object


@dataclass(frozen=True, slots=True)
class BrandConfig:
    """Configuration of one brand.

    :param name: name of the brand
    :param key_digests: hexadecimal SHA-256 of each bearer key of the brand
    :param models: models that the brand is allowed to use
    :param adapters: adapters that the brand is allowed to use, as ``model:adapter``
    :param services: plain services that the brand is allowed to call
    :param exceptions: overrides of defaults, by the name of the default
    """

    name: BrandName
    key_digests: frozenset[str] = frozenset()
    models: frozenset[ModelName] = frozenset()
    adapters: frozenset[str] = frozenset()
    services: frozenset[ServiceName] = frozenset()
    exceptions: Mapping[str, ExceptionRecord] = field(default_factory=lambda: EMPTY)


@dataclass(frozen=True, slots=True)
class ModelConfig:
    """Configuration of one model.

    :param name: name of the model
    :param current: weight version that new requests use
    :param target: target version of a rollout; equal to ``current`` when none is in progress
    :param adapters: adapters of the model
    :param bytes_per_token: size of the cached context (KV cache), in bytes per token
    """

    name: ModelName
    current: WeightVersion
    target: WeightVersion
    adapters: frozenset[AdapterName] = frozenset()
    bytes_per_token: int = 1_000


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Configuration of one plain service.

    :param name: name of the service
    :param repeatable_methods: HTTP methods that may be retried after a lost reply
    """

    name: ServiceName
    repeatable_methods: frozenset[str] = frozenset({"GET", "HEAD"})


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted configuration.

    :param revision: revision number; 0 before the first
    """

    revision: Revision = Revision(0)
    defaults: Defaults = field(default_factory=Defaults)
    brands: Mapping[BrandName, BrandConfig] = field(default_factory=lambda: EMPTY)
    models: Mapping[ModelName, ModelConfig] = field(default_factory=lambda: EMPTY)
    services: Mapping[ServiceName, ServiceConfig] = field(default_factory=lambda: EMPTY)

    def value_for(self, brand: BrandName, default_name: str) -> object:
        """Return the brand's override of a default, or the default itself.

        :param brand: brand to look up
        :param default_name: field of :class:`Defaults`
        """
        config = self.brands.get(brand)
        if config is not None and default_name in config.exceptions:
            return config.exceptions[default_name].value
        return getattr(self.defaults, default_name)
