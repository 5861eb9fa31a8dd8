"""Typed access to the fields of decoded JSON objects."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from bergamothill.connection.boundedjson import load_json
from bergamothill.connection.http import HttpClient, decode_json
from bergamothill.errors import ProtocolError
from bergamothill.logs import EventLog

__all__ = [
    "MAX_INTEGER",
    "MAX_NAME_CHARS",
    "MAX_REPORT_BYTES",
    "Fields",
    "log_ignored_value",
    "read_fields",
]

MAX_LOGGED_VALUES = 1_000

MAX_INTEGER = 2**53 - 1
"""Largest integer that JSON numbers keep exactly."""

MAX_NAME_CHARS = 512
"""Longest name in an entry of a server; names are sent on in datagrams and log lines."""

MAX_REPORT_BYTES = 262_144
"""Largest reply of a server about itself or to an order."""

_log = EventLog("platform")
_logged_values: set[tuple[str, str]] = set()


def log_ignored_value(name: str, value: Any) -> None:
    """Log a value that is ignored because it is not plausible, once for each value.

    :param name: field or header field
    """
    found = (name, f"{value!r:.80}")
    if found not in _logged_values and len(_logged_values) < MAX_LOGGED_VALUES:
        _logged_values.add(found)
        _log.warning("value_ignored", field=name, value=found[1])


class Fields:
    """Typed view of a decoded object; a missing or wrongly typed field raises ProtocolError.

    :param values: the decoded object
    :param step: step named in errors
    :raises ProtocolError: the value is not an object
    """

    def __init__(self, values: Any, *, step: str) -> None:
        if not isinstance(values, Mapping):
            raise ProtocolError("value is not an object", step=step)
        self._values = values
        self._step = step

    @classmethod
    def from_json(cls, encoded: bytes, *, step: str) -> Fields:
        """Decode a JSON object.

        :param encoded: JSON text
        :param step: step named in errors
        :raises ProtocolError: the text is not a JSON object
        """
        try:
            return cls(load_json(encoded), step=step)
        except (ValueError, RecursionError) as error:
            raise ProtocolError(f"invalid JSON: {error}", step=step) from error

    def text(self, name: str, default: str | None = None) -> str:
        """Return a text field; half of a surrogate pair, which UTF-8 does not have, is invalid."""
        value = self._checked_value(name, str, default)
        if not _is_encodable(value):
            raise self._field_error(name)
        return value

    def integer(self, name: str, default: int | None = None) -> int:
        """Return an integer field."""
        value = self._checked_value(name, int, default)
        if isinstance(value, bool):
            raise self._field_error(name)
        return value

    def bounded_integer(
        self, name: str, default: int | None = None, *, most: int = MAX_INTEGER
    ) -> int:
        """Return an integer field whose magnitude is at most a bound; another value is invalid.

        Larger ones cannot be calculated with, as they do not fit into a float.

        :param most: largest magnitude
        """
        value = self.integer(name, default)
        if abs(value) > most:
            raise self._field_error(name)
        return value

    def name(self, name: str) -> str:
        """Return a text field of at most :data:`MAX_NAME_CHARS` characters."""
        value = self.text(name)
        if len(value) > MAX_NAME_CHARS:
            raise self._field_error(name)
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a numeric field; infinity and not-a-number are invalid."""
        value = self._checked_value(name, (int, float), default)
        if isinstance(value, bool):
            raise self._field_error(name)
        try:
            number = float(value)
        except OverflowError as error:
            raise self._field_error(name) from error
        if not math.isfinite(number):
            raise self._field_error(name)
        return number

    def plausible_number(self, name: str, most: float) -> float | None:
        """Return an optional number from 0 to a maximum; None for any other value, which is logged.

        :param most: largest plausible value
        """
        value = self._values.get(name)
        if value is None:
            return None
        if type(value) in (int, float) and 0 <= value <= most:
            return float(value)
        log_ignored_value(name, value)
        return None

    def flag(self, name: str, default: bool | None = None) -> bool:
        """Return a boolean field."""
        return self._checked_value(name, bool, default)

    def rows(self, name: str) -> list[Any]:
        """Return a list field, or an empty list when it is missing."""
        return self._checked_value(name, list, [])

    def child(self, name: str) -> Fields:
        """Return an object field, or an empty object when it is missing."""
        return Fields(self._values.get(name, {}), step=self._step)

    def names(self) -> list[str]:
        """Return the names of all fields."""
        return list(self._values)

    def has(self, name: str) -> bool:
        """Return whether the field is present and not null."""
        return self._values.get(name) is not None

    def _checked_value(self, name: str, expected_type: Any, default: Any) -> Any:
        value = self._values.get(name, default)
        if value is None or not isinstance(value, expected_type):
            raise self._field_error(name)
        return value

    def _field_error(self, name: str) -> ProtocolError:
        found = self._values.get(name)
        if isinstance(found, int) and abs(found) > MAX_INTEGER:
            found = "integer of more than 53 bits"  # a longer one may have no decimal text
        return ProtocolError(
            f"field {name} is missing, has the wrong type or is out of range: {found!r:.80}",
            step=self._step,
        )


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def read_fields(
    client: HttpClient,
    path: str,
    *,
    step: str,
    timeout_ms: int,
    headers: Mapping[str, str] | None = None,
    max_body_bytes: int = MAX_REPORT_BYTES,
) -> Fields:
    """Read a JSON object from a backend server or store.

    :param client: client of the server
    :param path: path to read
    :param step: step named in errors
    :param timeout_ms: timeout of the call
    :param headers: header fields of the request
    :param max_body_bytes: largest reply
    :raises BergamothillError: the call failed or the reply is not an object
    """
    reply = client.request(
        "GET",
        path,
        step=step,
        timeout_ms=timeout_ms,
        headers=headers,
        new_connection=True,
        max_body_bytes=max_body_bytes,
    )
    if reply.status != 200:
        raise ProtocolError(f"unexpected status {reply.status}", step=step, peer=client.peer)
    return Fields(decode_json(reply, step=step, peer=client.peer), step=step)
