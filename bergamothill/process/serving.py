"""Parts of the process that callers' requests need."""

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

__all__ = ["Serving"]


@dataclass(frozen=True, slots=True)
class Serving:
    """What the callers' routes need from the process.

    :param clock: source of time
    :param zone: availability zone of this entry instance
    :param brand_index: returns the brands of the configuration in force
    :param placer: chooses engines
    :param admission: limits of the brands
    :param admission_lock: guards ``admission``
    :param retries: budget for attempts after the first
    :param tokens: signs stream tokens
    :param actions: runs calls that may not be repeated
    :param engine_for: returns the client of an engine
    :param service_for: returns a server of a plain service and its client
    :param recorder: records the outcome of requests
    :param metrics: counts requests
    :param idle_timeout_ms: longest silence of an engine in mid-stream
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
