"""Stand-ins and entry instances as child processes, for the demo, benchmarks and tests."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from bergamothill.connection.http import HttpClient
from bergamothill.errors import BergamothillError

__all__ = ["ROOT", "EntryProcess", "ProcessGroup", "StandInProcess", "free_ports"]

ROOT = Path(__file__).resolve().parent.parent
STOP_TIMEOUT_S = 15
LOG_TAIL_CHARS = 2_000
READY_TIMEOUT_S = 20
POLL_INTERVAL_S = 0.02
CALL_TIMEOUT_MS = 5_000


def free_ports(count: int) -> list[int]:
    """Return TCP ports of 127.0.0.1 that are currently free.

    :param count: number of ports
    """
    import socket

    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class ManagedProcess:
    """A child process that is stopped on leaving the context manager.

    :param command: program and arguments
    :param log_path: file for its standard error; None discards it
    :param has_log_on_stdout: whether its standard output goes to the file too
    """

    def __init__(
        self,
        command: Sequence[str],
        log_path: Path | None = None,
        *,
        has_log_on_stdout: bool = False,
    ) -> None:
        self._log = open(log_path, "ab") if log_path else None  # noqa: SIM115 - closed in stop
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            stdout=self._log if has_log_on_stdout else subprocess.PIPE,
            stderr=self._log or subprocess.DEVNULL,
            text=True,
        )

    def __enter__(self) -> Any:
        """Return the process itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """End the process."""
        self.stop()

    @property
    def pid(self) -> int:
        """Process id."""
        return self.process.pid

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for it."""
        self.process.kill()
        self.process.wait()

    def terminate(self) -> None:
        """Send SIGTERM without waiting."""
        self.process.terminate()

    def stop(self) -> None:
        """Terminate the process, and kill it if it does not exit in time."""
        if self.process.poll() is None:
            self.signal(signal.SIGCONT)
            self.process.terminate()
            try:
                self.process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        if self.process.stdout is not None:
            self.process.stdout.close()
        if self._log:
            self._log.close()


class StandInProcess(ManagedProcess):
    """A stand-in running as a child process.

    :param module: name of a module in ``standins``
    :param arguments: additional command-line arguments
    """

    def __init__(self, module: str, *arguments: str) -> None:
        super().__init__([sys.executable, "-m", f"standins.{module}", "--port", "0", *arguments])
        line = self.process.stdout.readline().strip()
        self.address = f"127.0.0.1:{line.removeprefix('ready port=')}"
        self.client = HttpClient(module, self.address)

    def stop(self) -> None:
        """End the process."""
        self.client.close()
        super().stop()

    def set_faults(self, **faults: object) -> None:
        """Replace all fault switches."""
        self.json("PUT", "/faults", faults)

    def json(self, method: str, path: str, body: object = None) -> Any:
        """Send a request with a JSON body and return the decoded reply."""
        reply = self.client.request_json(
            method, path, step="standin", timeout_ms=CALL_TIMEOUT_MS, body=body
        )
        return json.loads(reply.body) if reply.body else None


class EntryProcess(ManagedProcess):
    """An entry instance running as a child process.

    :param settings_path: its settings file
    :param listen_address: ``host:port`` for callers
    :param log_path: file for its log
    :param has_log_on_stdout: whether it writes its log to standard output
    """

    def __init__(
        self,
        settings_path: Path,
        listen_address: str,
        log_path: Path | None,
        *,
        has_log_on_stdout: bool = False,
    ) -> None:
        command = [sys.executable, "-m", "bergamothill.process.daemon", str(settings_path)]
        super().__init__(command, log_path, has_log_on_stdout=has_log_on_stdout)
        self._log_path = log_path
        self.address = listen_address
        self.client = HttpClient(settings_path.stem, listen_address)

    def wait_ready(self, path: str = "/readyz") -> None:
        """Wait until the readiness check of the instance succeeds.

        :param path: path of the check
        :raises TimeoutError: it did not become ready in time, or the process exited
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                reply = self.client.request("GET", path, step="ready", timeout_ms=1_000)
            except BergamothillError:
                reply = None
            if reply is not None and reply.status == 200:
                return
            if self.process.poll() is not None:
                break
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError(
            f"{self.client.peer} did not become ready, exit code {self.process.poll()}: "
            f"{self._log_tail()}"
        )

    def _log_tail(self) -> str:
        if self._log_path is None:
            return "no log"
        return self._log_path.read_text(encoding="utf-8", errors="replace")[-LOG_TAIL_CHARS:]


class ProcessGroup:
    """Processes that are stopped together on leaving the context manager."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="bergamothill-")
        self._members: list[ManagedProcess] = []
        self.folder = Path(self._folder.name)

    def __enter__(self) -> ProcessGroup:
        """Return the group itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Stop all members concurrently and delete the folder."""
        stop_threads = [threading.Thread(target=member.stop) for member in reversed(self._members)]
        for thread in stop_threads:
            thread.start()
        for thread in stop_threads:
            thread.join()
        self._folder.cleanup()

    def add(self, member: Any) -> Any:
        """Add a process to the group and return it."""
        self._members.append(member)
        return member

    def ended_members(self) -> list[str]:
        """Describe the processes that have ended, each with its command and exit code."""
        return [
            f"{' '.join(member.process.args)}: exit code {member.process.returncode}"
            for member in self._members
            if member.process.poll() is not None
        ]
