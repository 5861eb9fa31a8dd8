"""Upkeep: what an entry instance does at intervals, beside serving requests."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from bergamothill.clock import Clock, seconds
from bergamothill.errors import BergamothillError
from bergamothill.logs import EventLog

__all__ = ["Task", "Upkeep"]

TICK_MS = 100
WORKERS = 4

_log = EventLog("upkeep")


@dataclass(frozen=True, slots=True)
class Task:
    """One thing that is done at intervals.

    :param name: name for the log
    :param interval_ms: returns the time between two runs, in milliseconds
    :param run: does it; may block, and never runs twice at once
    """

    name: str
    interval_ms: Callable[[], int]
    run: Callable[[], object]


class Upkeep:
    """Runs tasks at their intervals on a small pool.

    :param clock: source of time
    :param tasks: what is done
    """

    def __init__(self, clock: Clock, tasks: tuple[Task, ...]) -> None:
        self._clock = clock
        self._tasks = tasks
        self._due_ms = {task.name: clock.now_ms() + task.interval_ms() for task in tasks}
        self._running: set[str] = set()
        self._stopping = threading.Event()
        self._pool = ThreadPoolExecutor(WORKERS + 1, thread_name_prefix="upkeep")

    def start(self) -> None:
        """Start the loop."""
        self._pool.submit(self._loop)

    def stop(self) -> None:
        """Stop the loop and wait for the tasks under way."""
        self._stopping.set()
        self._pool.shutdown(wait=True, cancel_futures=True)

    def _loop(self) -> None:
        while not self._stopping.wait(seconds(TICK_MS)):
            now_ms = self._clock.now_ms()
            for task in self._tasks:
                if now_ms >= self._due_ms[task.name] and task.name not in self._running:
                    self._due_ms[task.name] = now_ms + task.interval_ms()
                    self._running.add(task.name)
                    self._pool.submit(self._run, task)

    def _run(self, task: Task) -> None:
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
        except Exception as error:  # noqa: BLE001 - one task must not end the others
            _log.error("task_broken", task=task.name, error=repr(error))
        finally:
            self._running.discard(task.name)
