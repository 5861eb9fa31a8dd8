"""Dependencies of the handlers of the callers' HTTP routes."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from bergamothill.clock import Clock
from bergamothill.connection.engine import ModelEngine
from bergamothill.connection.service import PlainService
from bergamothill.ids import (
    ServerId,
    ServiceName,
    ZoneName,
)
from bergamothill.process.metrics import Recorder, StatsdMetrics
from bergamothill.request.action import ActionRunner
from bergamothill.request.auth import BrandIndex
from bergamothill.request.limits import Admission
from bergamothill.request.placement import EnginePlacer
from bergamothill.request.retry import RetryBudget
from bergamothill.request.token import StreamTokens

__all__ = ["RouteDependencies"]


@dataclass(frozen=True, slots=True)
class RouteDependencies:
    """Objects and functions that the handlers of the callers' HTTP routes use.

    :param clock: source of time
    :param zone: availability zone of this entry instance
    :param brand_index: returns the index of the brands in the configuration in force
    :param placer: chooses engines for requests
    :param admission: admits or refuses requests according to the limits of their brand
    :param admission_lock: guards ``admission``
    :param retries: limits how often failed requests to engines are retried
    :param tokens: signs and verifies stream tokens
    :param actions: runs service calls, each at most once unless it is repeatable
    :param engine_for: returns the client of an engine
    :param service_for: returns the id and the client of a server of a plain service
    :param recorder: records the outcome of requests
    :param metrics: statsd metrics
    :param idle_timeout_ms: maximum time between events of an engine's stream, in milliseconds
    """

    clock: Clock
    zone: ZoneName
    brand_index: Callable[[], BrandIndex]
    placer: EnginePlacer
    admission: Admission
    admission_lock: threading.Lock
    retries: RetryBudget
    tokens: StreamTokens
    actions: ActionRunner
    engine_for: Callable[[ServerId], ModelEngine]
    service_for: Callable[[ServiceName], tuple[ServerId, PlainService]]
    recorder: Recorder
    metrics: StatsdMetrics
    idle_timeout_ms: int
