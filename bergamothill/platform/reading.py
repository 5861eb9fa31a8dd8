"""Typed access to the fields of decoded JSON and TOML."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from bergamothill.connection.http import HttpClient, decode_json
from bergamothill.errors import ProtocolError

__all__ = ["Fields", "read_fields"]


class Fields:
    """A decoded object; a missing or ill-typed field raises a typed error.

    :param values: the decoded object
    :param step: step for errors
    :raises ProtocolError: it is no object
    """

    def __init__(self, values: Any, *, step: str) -> None:
        if not isinstance(values, Mapping):
            raise ProtocolError("not an object", step=step)
        self._values = values
        self._step = step

    @classmethod
    def from_json(cls, encoded: bytes, *, step: str) -> Fields:
        """Decode a JSON object.

        :param encoded: its text
        :param step: step for errors
        :raises ProtocolError: it is no JSON object
        """
        try:
            return cls(json.loads(encoded), step=step)
        except ValueError as error:
            raise ProtocolError(f"not JSON: {error}", step=step) from error

    def text(self, name: str, default: str | None = None) -> str:
        """Return a text field."""
        return self._typed(name, str, default)

    def integer(self, name: str, default: int | None = None) -> int:
        """Return a whole number."""
        value = self._typed(name, int, default)
        if isinstance(value, bool):
            raise self._fault(name)
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number."""
        value = self._typed(name, (int, float), default)
        if isinstance(value, bool):
            raise self._fault(name)
        return float(value)

    def flag(self, name: str, default: bool | None = None) -> bool:
        """Return true or false."""
        return self._typed(name, bool, default)

    def rows(self, name: str) -> list[Any]:
        """Return a list; a missing one is empty."""
        return self._typed(name, list, [])

    def child(self, name: str) -> Fields:
        """Return an object field; a missing one is empty."""
        return Fields(self._values.get(name, {}), step=self._step)

    def has(self, name: str) -> bool:
        """Tell whether the field is there."""
        return self._values.get(name) is not None

    def _typed(self, name: str, kind: Any, default: Any) -> Any:
        value = self._values.get(name, default)
        if value is None or not isinstance(value, kind):
            raise self._fault(name)
        return value

    def _fault(self, name: str) -> ProtocolError:
        found = self._values.get(name)
        return ProtocolError(f"field {name}: {found!r:.80}", step=self._step)


def read_fields(
    client: HttpClient,
    path: str,
    *,
    step: str,
    timeout_ms: int,
    headers: Mapping[str, str] | None = None,
) -> Fields:
    """Read an object from a backend server.

    :param client: client of the server
    :param path: path to read
    :param step: step for errors
    :param timeout_ms: longest duration of the call
    :param headers: header fields of the request
    :raises BergamothillError: the server gave no object
    """
    reply = client.request(
        "GET", path, step=step, timeout_ms=timeout_ms, headers=headers, fresh=True
    )
    if reply.status != 200:
        raise ProtocolError(f"status {reply.status}", step=step, peer=client.peer)
    return Fields(decode_json(reply, step=step, peer=client.peer), step=step)
