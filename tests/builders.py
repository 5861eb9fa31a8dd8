"""Builders of test data and of the processes that tests run against."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

from bergamothill.connection.http import HttpClient
from bergamothill.request.auth import key_digest

OPERATOR_KEY = "operator-key"
SHARED_SECRET = "a shared secret of the tests"


def settings_text(**changes: object) -> str:
    """Return a settings file as TOML, with some values changed."""
    values = {
        "id": "entry-1",
        "zone": "nz-north-a",
        "listen_address": "127.0.0.1:18080",
        "peer_address": "127.0.0.1:18081",
        "kvs_address": "127.0.0.1:18082",
        "instance_list_address": "127.0.0.1:18083",
        "weight_store_address": "127.0.0.1:18084",
        "shared_secret": SHARED_SECRET,
        "operator_key_digest": key_digest(OPERATOR_KEY),
        **changes,
    }
    sections = {
        "entry": ("id", "zone", "listen_address", "peer_address"),
        "platform": ("kvs_address", "instance_list_address", "weight_store_address"),
        "security": ("shared_secret", "operator_key_digest"),
    }
    lines: list[str] = []
    for section, keys in sections.items():
        lines.append(f"[{section}]")
        lines += [f'{key} = "{values[key]}"' for key in keys]
    return "\n".join(lines) + "\n"


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


WAIT_LIMIT_S = 20
WAIT_STEP_S = 0.02


def await_true(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; the limit only ends a test that hangs."""
    limit = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        if time.monotonic() > limit:
            raise AssertionError("the condition never held")
        time.sleep(WAIT_STEP_S)
