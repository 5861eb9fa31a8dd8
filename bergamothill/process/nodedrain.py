"""Graceful shutdown of an entry instance on the platform, on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.callerhttp import CallerConnection
from bergamothill.connection.callerlistener import CallerListener
from bergamothill.logs import EventLog
from bergamothill.process.drainperiod import DrainPeriod
from bergamothill.process.gateway import Gateway
from bergamothill.process.ratelimitedlog import reserve_last_lines

__all__ = ["EXIT_MARGIN_MS", "drain_callers"]

READINESS_NOTICE_MS = 2_800
"""The load balancer checks every second and removes an instance after two failed checks.

What is taken from three seconds after the signal on must be answered before the kill signal.
"""

EXIT_MARGIN_MS = 700
"""Time reserved before the kill signal to close connections and write the log."""

FINAL_ANSWER_MS = 150
"""Part of that time in which requests that have no answer yet get one."""

DRAIN_POLL_INTERVAL_MS = 50
FINAL_ANSWER_POLL_INTERVAL_MS = 10

_log = EventLog("node")


async def drain_callers(
    clock: Clock,
    gateway: Gateway,
    listener: CallerListener,
    connections: Collection[CallerConnection],
    grace_ms: int,
) -> None:
    """Serve until the load balancer has noticed, then answer what is in progress and close.

    :param listener: accepts callers' connections
    :param connections: open connections of callers, as they change
    :param grace_ms: time until the kill signal
    """
    started_ms = clock.now_ms()
    reserve_last_lines()
    _log.info("stop_begins", in_progress=gateway.in_progress)
    period = DrainPeriod(
        notice_ends_ms=started_ms + min(READINESS_NOTICE_MS, grace_ms // 2),
        ends_ms=started_ms + grace_ms - EXIT_MARGIN_MS,
    )
    gateway.start_drain(period)
    while clock.now_ms() < period.notice_ends_ms:
        await asyncio.sleep(ms_to_seconds(DRAIN_POLL_INTERVAL_MS))
    listener.close()
    reserve_last_lines()
    gateway.end_notice()
    while clock.now_ms() < period.ends_ms:
        # Connections that were accepted as the listener closed are registered meanwhile.
        await asyncio.sleep(ms_to_seconds(DRAIN_POLL_INTERVAL_MS))
        for connection in list(connections):
            connection.close_if_idle()
            connection.hand_over()
        if not connections and not gateway.in_progress:
            break
    reserve_last_lines()
    _log.info("stop_ends", in_progress=gateway.in_progress)
    # The process may not have run as the drain ended; answers that came meanwhile go first.
    await asyncio.sleep(ms_to_seconds(FINAL_ANSWER_POLL_INTERVAL_MS))
    gateway.end_drain()
    final_ends_ms = clock.now_ms() + FINAL_ANSWER_MS
    while gateway.in_progress and clock.now_ms() < final_ends_ms:
        await asyncio.sleep(ms_to_seconds(FINAL_ANSWER_POLL_INTERVAL_MS))
    for connection in list(connections):
        connection.hand_over()
    # Lets the event loop write what the kernel has room for now.
    await asyncio.sleep(ms_to_seconds(FINAL_ANSWER_POLL_INTERVAL_MS))
    for connection in list(connections):
        connection.drop_waiting()
