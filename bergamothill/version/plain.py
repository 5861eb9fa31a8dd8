"""Conversion between typed records and plain values for CBOR, JSON and TOML."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from enum import Enum
from functools import cache, singledispatch
from types import MappingProxyType
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

from bergamothill.errors import InvalidRequestError

__all__ = ["from_plain", "to_plain"]

T = TypeVar("T")
STEP = "configuration.decode"


@singledispatch
def to_plain(value: Any) -> Any:
    """Convert a record to numbers, strings, lists and dictionaries.

    :param value: dataclass, mapping, set, tuple, enum or scalar
    :returns: plain value; sets become sorted lists
    """
    if not dataclasses.is_dataclass(value):
        return value
    return {name: to_plain(getattr(value, name)) for name in _field_names(type(value))}


@to_plain.register
def _(value: str) -> Any:
    return value


@to_plain.register
def _(value: Enum) -> Any:
    return value.value


@to_plain.register
def _(value: frozenset) -> Any:
    return sorted(to_plain(item) for item in value)


@to_plain.register
def _(value: tuple) -> Any:
    return [to_plain(item) for item in value]


@to_plain.register(Mapping)
def _(value: Mapping) -> Any:
    return {str(key): to_plain(value[key]) for key in sorted(value)}


@cache
def _field_names(cls: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(cls))


@cache
def _type_hints(cls: type) -> Mapping[str, Any]:
    return get_type_hints(cls)


@cache
def _required_fields(cls: type) -> frozenset[str]:
    missing = dataclasses.MISSING
    return frozenset(
        field.name
        for field in dataclasses.fields(cls)
        if field.default is missing and field.default_factory is missing
    )


def from_plain(cls: type[T], plain: Any, where: str = "") -> T:
    """Convert plain values to a typed value, validating each type.

    :param cls: dataclass, ``NewType``, generic container or scalar type
    :param plain: decoded CBOR, JSON or TOML
    :param where: dotted path of the value, for error messages
    :raises InvalidRequestError: a value has the wrong type, or a field is missing or unknown
    """
    while hasattr(cls, "__supertype__"):
        cls = cls.__supertype__
    if cls is Any or cls is object:
        return plain
    origin = get_origin(cls)
    if origin is not None:
        return _convert_container(origin, get_args(cls), plain, where)
    if dataclasses.is_dataclass(cls):
        return _convert_record(cls, plain, where)
    return _convert_scalar(cls, plain, where)


def _convert_container(origin: Any, arguments: tuple[Any, ...], plain: Any, where: str) -> Any:
    if issubclass(origin, Mapping):
        _check_type(dict, plain, where)
        items = plain.items()
        return MappingProxyType(
            {key: from_plain(arguments[1], value, f"{where}.{key}") for key, value in items}
        )
    _check_type(list, plain, where)
    return origin(from_plain(arguments[0], item, where) for item in plain)


def _convert_record(cls: type, plain: Any, where: str) -> Any:
    _check_type(dict, plain, where)
    hints = _type_hints(cls)
    names = _field_names(cls)
    unknown = sorted(set(plain) - set(names))
    missing = sorted(_required_fields(cls) - set(plain))
    if unknown or missing:
        raise InvalidRequestError(
            f"{where or cls.__name__}: unknown fields {unknown}, missing fields {missing}",
            step=STEP,
        )
    prefix = f"{where}." if where else ""
    values = {name: from_plain(hints[name], plain[name], prefix + name) for name in plain}
    return cls(**values)


def _convert_scalar(cls: type, plain: Any, where: str) -> Any:
    if issubclass(cls, Enum):
        return _convert_enum(cls, plain, where)
    if cls is float and type(plain) is int:
        return float(plain)
    if isinstance(plain, bool) and cls is not bool:
        raise _type_error(cls, plain, where)
    _check_type(cls, plain, where)
    return plain


def _convert_enum(cls: type[Enum], plain: Any, where: str) -> Enum:
    try:
        return cls(plain)
    except ValueError:
        raise _type_error(cls, plain, where) from None


def _check_type(cls: type, plain: Any, where: str) -> None:
    if not isinstance(plain, cls):
        raise _type_error(cls, plain, where)


def _type_error(cls: type, plain: Any, where: str) -> InvalidRequestError:
    found = f"{type(plain).__name__} {str(plain)[:40]!r}"
    return InvalidRequestError(f"{where}: expected {cls.__name__}, found {found}", step=STEP)
