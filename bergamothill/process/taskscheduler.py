"""Scheduler for the periodic background tasks of an entry instance."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.errors import BergamothillError
from bergamothill.logs import EventLog

__all__ = ["PeriodicTask", "TaskScheduler"]

TICK_MS = 100
TASK_THREADS = 4

_log = EventLog("upkeep")


@dataclass(frozen=True, slots=True)
class PeriodicTask:
    """Task that runs at intervals.

    :param name: unique name, also used in the log
    :param interval_ms: returns the time between two runs, in milliseconds
    :param run: function to run; may block, and never runs concurrently with itself
    """

    name: str
    interval_ms: Callable[[], int]
    run: Callable[[], object]


class TaskScheduler:
    """Runs periodic tasks on a small thread pool.

    :param clock: source of time
    :param tasks: tasks to run
    """

    def __init__(self, clock: Clock, tasks: tuple[PeriodicTask, ...]) -> None:
        self._clock = clock
        self._tasks = tasks
        self._due_ms = {task.name: clock.now_ms() + task.interval_ms() for task in tasks}
        self._running: set[str] = set()
        self._stopping = threading.Event()
        self._pool = ThreadPoolExecutor(TASK_THREADS + 1, thread_name_prefix="upkeep")

    def start(self) -> None:
        """Start the scheduling loop."""
        self._pool.submit(self._loop)

    def stop(self) -> None:
        """Stop the scheduling loop and wait for the running tasks."""
        self._stopping.set()
        self._pool.shutdown(wait=True, cancel_futures=True)

    def _loop(self) -> None:
        while not self._stopping.wait(ms_to_seconds(TICK_MS)):
            now_ms = self._clock.now_ms()
            for task in self._tasks:
                if now_ms >= self._due_ms[task.name] and task.name not in self._running:
                    self._due_ms[task.name] = now_ms + task.interval_ms()
                    self._running.add(task.name)
                    self._pool.submit(self._run, task)

    def _run(self, task: PeriodicTask) -> None:
        try:
            task.run()
        except BergamothillError as error:
            _log.warning(
                "task_failed",
                task=task.name,
                step=error.step,
                peer=error.peer,
                reason=error.message,
            )
        except Exception as error:  # noqa: BLE001 - a failure of one task must not stop the others
            _log.error("task_crashed", task=task.name, error=repr(error))
        finally:
            self._running.discard(task.name)
