"""Waiting for an event with a timeout, on the event loop."""

from __future__ import annotations

import asyncio

from bergamothill.clock import ms_to_seconds

__all__ = ["wait_until_set"]


async def wait_until_set(event: asyncio.Event, timeout_ms: int) -> None:
    """Wait until an event is set or a time has passed.

    :param event: event to wait for
    :param timeout_ms: longest time to wait, in milliseconds
    """
    try:
        async with asyncio.timeout(ms_to_seconds(timeout_ms)):
            await event.wait()
    except TimeoutError:
        return
