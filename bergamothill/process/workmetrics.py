"""Gauges of how often an entry instance does what takes most of its processor time."""

from __future__ import annotations

import time

from bergamothill.process.cacheeventlistener import CacheEventListener
from bergamothill.process.engineselector import EngineSelector
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.loadexchange import LoadExchange

__all__ = ["add_work_gauges"]

MS_PER_S = 1_000


def add_work_gauges(
    metrics: GatewayMetrics,
    exchange: LoadExchange,
    listener: CacheEventListener,
    selector: EngineSelector,
) -> None:
    """Add counts since the start of the process, and the processor time that it has used.

    :param exchange: datagrams received from the other instances
    :param listener: reads of cache events that returned
    :param selector: choices of an engine, and engines that were compared for them
    """
    metrics.add_gauge("processor_ms", lambda: int(time.process_time() * MS_PER_S))
    metrics.add_gauge("peer_datagrams", lambda: exchange.received)
    metrics.add_gauge("source_reads", lambda: listener.replies)
    metrics.add_gauge("engine_choices", lambda: selector.choices)
    metrics.add_gauge("engines_compared", lambda: selector.compared)
