"""Builders of test data and of the processes that tests run against."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from bergamothill.connection.http import HttpClient

ROOT = Path(__file__).resolve().parent.parent
STOP_TIMEOUT_S = 5


class StandInProcess:
    """One stand-in as a process; use as a context manager.

    :param module: module below ``standins``
    :param arguments: further command-line arguments
    """

    def __init__(self, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", f"standins.{module}", "--port", "0", *arguments]
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        line = self.process.stdout.readline().strip()
        self.address = f"127.0.0.1:{line.removeprefix('ready port=')}"
        self.client = HttpClient(module, self.address)

    def __enter__(self) -> StandInProcess:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        self.client.close()
        self.process.terminate()
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()

    def set_faults(self, **faults: object) -> None:
        self.json("PUT", "/faults", faults)

    def json(self, method: str, path: str, body: object = None) -> object:
        reply = self.client.request_json(method, path, step="test", timeout_ms=5_000, body=body)
        return json.loads(reply.body)
