"""Builders of test data and of the processes that tests run against."""

from __future__ import annotations

import time
from collections.abc import Callable
from enum import Enum
from typing import Any

from bergamothill.clock import Clock
from bergamothill.connection.kvs_memory import MemoryKeyValueService
from bergamothill.errors import BergamothillError, PeerTimeoutError, PeerUnreachableError
from bergamothill.request.auth import key_digest

OPERATOR_KEY = "operator-key"
WAIT_LIMIT_S = 20
WAIT_STEP_S = 0.02
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


def await_true(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; the limit only ends a test that hangs."""
    limit = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        if time.monotonic() > limit:
            raise AssertionError("the condition never held")
        time.sleep(WAIT_STEP_S)


class WriteFault(Enum):
    """What happens to the next write."""

    NONE = "none"
    LOST_REPLY = "lost_reply"
    LATE = "late"
    NO_EFFECT = "no_effect"


class FaultyKeyValueService(MemoryKeyValueService):
    """Key-value service whose faults the test sets: ``is_down`` and ``fault`` of each write."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.is_down = False
        self.fault = WriteFault.NONE
        self.late_writes: list[Callable[[], Any]] = []

    def get(self, key):
        self._check_up("kvs.get")
        return super().get(key)

    def peek(self, key):
        """Return what is stored, whatever the faults."""
        return super().get(key)

    def put_if(self, key, value, *, expected, lease_id=None):
        put = super().put_if
        return self._write(lambda: put(key, value, expected=expected, lease_id=lease_id))

    def delete_if(self, key, *, expected):
        delete = super().delete_if
        return self._write(lambda: delete(key, expected=expected))

    def grant_lease(self, ttl_ms):
        grant = super().grant_lease
        return self._write(lambda: grant(ttl_ms))

    def renew_lease(self, lease_id):
        renew = super().renew_lease
        return self._write(lambda: renew(lease_id))

    def revoke_lease(self, lease_id):
        revoke = super().revoke_lease
        return self._write(lambda: revoke(lease_id))

    def land_late_write(self, index: int = 0) -> None:
        """Let one late write take effect; the service may refuse it."""
        try:
            self.late_writes.pop(index)()
        except BergamothillError:
            return

    def _check_up(self, step: str) -> None:
        if self.is_down:
            raise PeerUnreachableError("down", step=step)

    def _write(self, work: Callable[[], Any]) -> Any:
        self._check_up("kvs.write")
        if self.fault is WriteFault.LATE:
            self.late_writes.append(work)
        if self.fault in (WriteFault.LATE, WriteFault.NO_EFFECT):
            raise PeerTimeoutError("no reply", step="kvs.write")
        result = work()
        if self.fault is WriteFault.LOST_REPLY:
            raise PeerTimeoutError("reply lost", step="kvs.write")
        return result
