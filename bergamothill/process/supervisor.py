"""Restarts background tasks and threads that ended by an error.

Without it an instance whose exchange of reports or whose reads had ended went on without them,
unnoticed. One that keeps failing counts as not ready, so that callers are sent to others.
"""

from __future__ import annotations

import asyncio
import threading
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.logs import EventLog
from bergamothill.process.crashlog import MAX_ERROR_CHARACTERS

__all__ = ["Guard", "Supervisor"]

Guard = Callable[[str, Callable[[], None]], Callable[[], None]]
"""Returns the target of a thread that runs a part, see :meth:`Supervisor.guard`."""

RESTART_DELAY_MS = 500
MAX_ENDS = 3
ENDS_WINDOW_MS = 30_000
"""An instance is not ready from ``MAX_ENDS`` ends of one part in this time on."""

_log = EventLog("supervisor")


class Supervisor:
    """Background parts of a process; thread-safe.

    :param clock: source of time
    :param restart_delay_ms: time from the end of a part to its restart
    """

    def __init__(self, clock: Clock, restart_delay_ms: int = RESTART_DELAY_MS) -> None:
        self._clock = clock
        self._restart_delay_ms = restart_delay_ms
        self._ends_ms: dict[str, deque[int]] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()

    def start_task(self, name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        """Start a task on the running event loop, and again after each error.

        :param name: name of the part
        :param run: runs the part until cancelled; a return ends it for good
        """
        return asyncio.get_running_loop().create_task(self._run_task(name, run), name=name)

    async def _run_task(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await run()
                return
            except Exception as error:  # noqa: BLE001 - any error ends the part, not the process
                self._record_end(name, error)
            await asyncio.sleep(ms_to_seconds(self._restart_delay_ms))

    def guard(self, name: str, run: Callable[[], None]) -> Callable[[], None]:
        """Return the target of a thread that runs a part, and again after each error.

        :param name: name of the part
        :param run: runs the part; a return ends it for good
        """

        def run_guarded() -> None:
            while not self._stopped.is_set():
                try:
                    run()
                    return
                except Exception as error:  # noqa: BLE001 - likewise
                    self._record_end(name, error)
                self._stopped.wait(ms_to_seconds(self._restart_delay_ms))

        return run_guarded

    def start_thread(self, name: str, run: Callable[[], None]) -> threading.Thread:
        """Start a daemon thread that runs a part, see :meth:`guard`."""
        thread = threading.Thread(target=self.guard(name, run), name=name, daemon=True)
        thread.start()
        return thread

    def stop(self) -> None:
        """Restart no thread any more."""
        self._stopped.set()

    def handle_loop_error(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log an error of a callback or of a task that nobody awaits; it ends nothing else."""
        error = context.get("exception")
        text = repr(error) if error is not None else str(context.get("message"))
        _log.error("callback_failed", error=text[:MAX_ERROR_CHARACTERS], at=_place(error))

    def is_healthy(self) -> bool:
        """Return whether no part keeps failing."""
        since_ms = self._clock.now_ms() - ENDS_WINDOW_MS
        with self._lock:
            latest = [ends[0] for ends in self._ends_ms.values() if len(ends) == MAX_ENDS]
        return all(end_ms <= since_ms for end_ms in latest)

    def _record_end(self, name: str, error: Exception) -> None:
        with self._lock:
            ends = self._ends_ms.setdefault(name, deque(maxlen=MAX_ENDS))
            ends.append(self._clock.now_ms())
        _log.error(
            "part_failed",
            part=name,
            error=repr(error)[:MAX_ERROR_CHARACTERS],
            at=_place(error),
            is_healthy=self.is_healthy(),
        )


def _place(error: BaseException | None) -> str:
    """Return the function and line in which an error was raised."""
    trace = None if error is None else error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    return "-" if trace is None else f"{trace.tb_frame.f_code.co_qualname}:{trace.tb_lineno}"
