"""Processes of the stand-ins and of entry instances, for the demo, the benches and the tests."""

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
READY_TIMEOUT_S = 20
POLL_S = 0.02
CALL_TIMEOUT_MS = 5_000


def free_ports(count: int) -> list[int]:
    """Return TCP ports of 127.0.0.1 that are free now.

    :param count: how many
    """
    import socket

    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class ManagedProcess:
    """A process started here and ended here; use as a context manager.

    :param command: program and arguments
    :param log_path: file for its standard error; None discards it
    """

    def __init__(self, command: Sequence[str], log_path: Path | None = None) -> None:
        self._log = open(log_path, "ab") if log_path else None  # noqa: SIM115 - closed in stop
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            stdout=subprocess.PIPE,
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
        """End the process without notice."""
        self.process.kill()
        self.process.wait()

    def terminate(self) -> None:
        """Ask the process to end."""
        self.process.terminate()

    def stop(self) -> None:
        """End the process, by force when it does not end on request."""
        if self.process.poll() is None:
            self.signal(signal.SIGCONT)
            self.process.terminate()
            try:
                self.process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self.process.stdout.close()
        if self._log:
            self._log.close()


class StandInProcess(ManagedProcess):
    """One stand-in as a process.

    :param module: module below ``standins``
    :param arguments: further command-line arguments
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
        """Set the fault switches anew."""
        self.json("PUT", "/faults", faults)

    def json(self, method: str, path: str, body: object = None) -> Any:
        """Exchange JSON with the stand-in."""
        reply = self.client.request_json(
            method, path, step="standin", timeout_ms=CALL_TIMEOUT_MS, body=body
        )
        return json.loads(reply.body) if reply.body else None


class EntryProcess(ManagedProcess):
    """One entry instance as a process.

    :param settings_path: its settings file
    :param listen_address: ``host:port`` for callers
    :param log_path: file for its log
    """

    def __init__(self, settings_path: Path, listen_address: str, log_path: Path | None) -> None:
        command = [sys.executable, "-m", "bergamothill.process.daemon", str(settings_path)]
        super().__init__(command, log_path)
        self.address = listen_address
        self.client = HttpClient(settings_path.stem, listen_address)

    def wait_ready(self) -> None:
        """Wait until the instance says that it is ready.

        :raises TimeoutError: it did not become ready
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                reply = self.client.request("GET", "/readyz", step="ready", timeout_ms=1_000)
            except BergamothillError:
                reply = None
            if reply is not None and reply.status == 200:
                return
            if self.process.poll() is not None:
                break
            time.sleep(POLL_S)
        raise TimeoutError(f"{self.client.peer} did not become ready")


class ProcessGroup:
    """Processes that end together; use as a context manager."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="bergamothill-")
        self._members: list[ManagedProcess] = []
        self.folder = Path(self._folder.name)

    def __enter__(self) -> ProcessGroup:
        """Return the group itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """End all members, the last started first."""
        stops = [threading.Thread(target=member.stop) for member in reversed(self._members)]
        for stop in stops:
            stop.start()
        for stop in stops:
            stop.join()
        self._folder.cleanup()

    def add(self, member: Any) -> Any:
        """Take a process into the group and return it."""
        self._members.append(member)
        return member
