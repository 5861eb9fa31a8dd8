"""Signals of an entry instance on an asyncio event loop."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

__all__ = ["handle_signals", "ignore_signals"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def handle_signals(
    loop: asyncio.AbstractEventLoop, on_stop: Callable[[], None], on_reload: Callable[[], None]
) -> None:
    """Handle the signals to stop and to reload the settings."""
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, on_stop)
    loop.add_signal_handler(signal.SIGHUP, on_reload)


def ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore them from now on.

    Removing a handler, as the close of the loop does, would restore the default action first, by
    which the next signal ends the process.
    """
    loop.remove_signal_handler = lambda _number: False
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
