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
    """Ignore them from now on; the close of the loop would let the next one end the process."""
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
