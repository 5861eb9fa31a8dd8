"""Runs an entry instance on the deployment platform until a signal stops it."""

from __future__ import annotations

import asyncio

from bergamothill.clock import SystemClock
from bergamothill.logs import EventLog
from bergamothill.process.nodesettings import NodeSettings
from bergamothill.process.platformnode import PlatformNode
from bergamothill.process.ratelimitedlog import install_rate_limited_log

__all__ = ["serve"]

_log = EventLog("node")


def serve(settings: NodeSettings, settings_path: str) -> None:
    """Run an entry instance until it is stopped by a signal.

    :param settings: validated settings
    :param settings_path: file from which they were loaded
    """
    clock = SystemClock()
    handler = install_rate_limited_log(clock, "info")
    _log.info("started", entry=settings.entry, zone=settings.zone, caller=settings.caller_address)
    asyncio.run(PlatformNode(settings, settings_path, clock).run())
    _log.info("stopped", entry=settings.entry)
    handler.close()
