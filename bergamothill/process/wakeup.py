"""Waiting for events with a timeout, and for the end of tasks, on the event loop."""

from __future__ import annotations

import asyncio
from typing import Any

from bergamothill.clock import ms_to_seconds

__all__ = ["cancel_task", "wait_until_set"]


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


async def cancel_task(task: asyncio.Task[Any] | None) -> None:
    """Cancel a task, and wait for its end; None and one that has ended are left alone."""
    if task is not None and not task.done():
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
