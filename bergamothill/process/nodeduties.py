"""Duties that one entry instance at a time carries out on the platform, and their times."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from bergamothill.clock import Clock
from bergamothill.ids import DutyName, ModelName
from bergamothill.platform import engines
from bergamothill.platform.kvs import PlatformKeyValueService
from bergamothill.process.dutycontenders import DutyContenders
from bergamothill.process.instanceroster import InstanceRoster
from bergamothill.process.lease import DutyLease
from bergamothill.process.leasemachine import LeaseTimes
from bergamothill.process.nodesettings import NodeSettings
from bergamothill.process.ordergap import OrderGapGuard
from bergamothill.process.swapduty import SwapDuty
from bergamothill.version.weightswap import SwapEngine
from bergamothill.version.weighttarget import WeightTarget

__all__ = ["ORDER_MARKER_KEY", "SwapView", "make_swap_duty"]

SWAP_DUTY = DutyName("weights")
ORDER_MARKER_KEY = "duty-orders/weights"
LEASE_MARGIN_DIVISOR = 5

SwapView = tuple[Mapping[ModelName, WeightTarget], tuple[SwapEngine, ...]]
"""Weight targets and engines, as the duty sees them."""


def make_swap_duty(
    settings: NodeSettings,
    kvs: PlatformKeyValueService,
    clock: Clock,
    roster: InstanceRoster,
    view: Callable[[], SwapView],
    on_swapped: Callable[[SwapEngine, int], None],
    reaches_engines: Callable[[], bool],
) -> SwapDuty:
    """Return the duty that moves engines to the weight targets.

    :param view: returns targets and engines
    :param on_swapped: called in the duty's thread with each engine that has moved, and its version
    :param reaches_engines: whether this instance can carry the duty out; called in that thread
    """
    bounds, holder = settings.bounds, settings.entry
    ttl_ms = max(settings.min_lease_ms, bounds.order_gap_ms // 2)
    # The order marker enforces the gap between holders, so the lease needs no settle time.
    times = LeaseTimes(ttl_ms=ttl_ms, margin_ms=ttl_ms // LEASE_MARGIN_DIVISOR, settle_ms=0)
    lease = DutyLease(kvs, clock, SWAP_DUTY, holder, times=times)
    order_gap = OrderGapGuard(kvs, ORDER_MARKER_KEY, holder, lease, bounds.order_gap_ms, ttl_ms)
    return SwapDuty(
        lease,
        order_gap,
        clock,
        engines,
        view,
        holder,
        enforces_fencing=bounds.engines_check_fencing,
        on_swapped=on_swapped,
        may_contend=DutyContenders(roster, SWAP_DUTY, clock).may_contend,
        reaches_engines=reaches_engines,
    )
