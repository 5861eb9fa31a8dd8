"""Typed access to the fields of decoded JSON and TOML."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from bergamothill.errors import ProtocolError

__all__ = ["Fields"]


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
