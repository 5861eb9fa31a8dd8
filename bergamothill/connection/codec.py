"""CBOR encoding of typed messages, independent of the transport.

A dataclass is encoded as the list of its field values in order. Trailing fields that equal their
defaults are omitted, and unknown trailing values are ignored, so that two releases can exchange
messages during a rolling upgrade.
"""

from __future__ import annotations

import types
from collections.abc import Callable, Mapping
from dataclasses import MISSING, Field, fields, is_dataclass
from enum import Enum
from functools import cache, singledispatch
from typing import Any, NewType, TypeVar, Union, get_args, get_origin, get_type_hints

import cbor2

from bergamothill.connection.bus import MESSAGE_TYPES
from bergamothill.errors import ProtocolError

__all__ = ["decode_message", "decode_record", "encode_message", "encode_record"]

R = TypeVar("R")
Converter = Callable[[Any], Any]

STEP = "codec"
_SCALARS = (int, float, str, bytes, bool, type(None))


@singledispatch
def _to_cbor_value(value: Any) -> Any:
    if is_dataclass(value):
        return _encode_fields(value)
    raise TypeError(f"{type(value).__name__} cannot be encoded")


@_to_cbor_value.register(int)
@_to_cbor_value.register(float)
@_to_cbor_value.register(str)
@_to_cbor_value.register(bytes)
@_to_cbor_value.register(type(None))
def _(value: Any) -> Any:
    return value


@_to_cbor_value.register(Enum)
def _(value: Enum) -> Any:
    return value.value


@_to_cbor_value.register(tuple)
@_to_cbor_value.register(list)
def _(value: Any) -> list[Any]:
    return [_to_cbor_value(item) for item in value]


@_to_cbor_value.register(frozenset)
@_to_cbor_value.register(set)
def _(value: Any) -> list[Any]:
    return sorted(_to_cbor_value(item) for item in value)


@_to_cbor_value.register(Mapping)
def _(value: Mapping) -> dict[Any, Any]:
    return {_to_cbor_value(key): _to_cbor_value(item) for key, item in value.items()}


def _encode_fields(record: Any) -> list[Any]:
    values = [getattr(record, name) for name in _field_names(type(record))]
    defaults = _defaults(type(record))
    while values and defaults[len(values) - 1] is not MISSING:
        if values[-1] != defaults[len(values) - 1]:
            break
        values.pop()
    return [_to_cbor_value(value) for value in values]


@cache
def _field_names(cls: type) -> tuple[str, ...]:
    return tuple(item.name for item in fields(cls))


@cache
def _defaults(cls: type) -> tuple[Any, ...]:
    return tuple(_default(item) for item in fields(cls))


def _default(item: Field) -> Any:
    if item.default_factory is not MISSING:
        return item.default_factory()
    return item.default


def _unexpected_type(expected: str, value: Any) -> ProtocolError:
    return ProtocolError(f"expected {expected}, found {type(value).__name__}", step=STEP)


def _scalar_converter(cls: type) -> Converter:
    def convert(value: Any) -> Any:
        if type(value) is cls:
            return value
        if cls is float and type(value) is int:
            return float(value)
        raise _unexpected_type(cls.__name__, value)

    return convert


def _enum_converter(cls: type[Enum]) -> Converter:
    def convert(value: Any) -> Enum:
        try:
            return cls(value)
        except ValueError as error:
            raise _unexpected_type(cls.__name__, value) from error

    return convert


def _sequence_converter(build: Callable[[Any], Any], convert_item: Converter) -> Converter:
    def convert(value: Any) -> Any:
        if not isinstance(value, list | tuple):
            raise _unexpected_type("a list", value)
        return build(convert_item(item) for item in value)

    return convert


def _tuple_converter(converters: tuple[Converter, ...]) -> Converter:
    def convert(value: Any) -> tuple[Any, ...]:
        if not isinstance(value, list | tuple) or len(value) != len(converters):
            raise _unexpected_type(f"a list of {len(converters)}", value)
        return tuple(converter(item) for converter, item in zip(converters, value, strict=True))

    return convert


def _mapping_converter(convert_key: Converter, convert_item: Converter) -> Converter:
    def convert(value: Any) -> dict[Any, Any]:
        if not isinstance(value, dict):
            raise _unexpected_type("a map", value)
        return {convert_key(key): convert_item(item) for key, item in value.items()}

    return convert


def _union_converter(options: tuple[Converter, ...]) -> Converter:
    def convert(value: Any) -> Any:
        for option in options:
            try:
                return option(value)
            except ProtocolError:
                continue
        raise _unexpected_type("one of several types", value)

    return convert


def _record_converter(cls: type) -> Converter:
    hints = get_type_hints(cls)
    converters = [_converter(hints[name]) for name in _field_names(cls)]
    required = sum(1 for default in _defaults(cls) if default is MISSING)

    def convert(value: Any) -> Any:
        if not isinstance(value, list | tuple) or len(value) < required:
            raise _unexpected_type(f"the fields of {cls.__name__}", value)
        pairs = zip(converters, value, strict=False)
        return cls(*(converter(item) for converter, item in pairs))

    return convert


def _generic_converter(hint: Any, origin: Any) -> Converter:
    arguments = get_args(hint)
    if origin in (Union, types.UnionType):
        return _union_converter(tuple(_converter(option) for option in arguments))
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        return _sequence_converter(tuple, _converter(arguments[0]))
    if origin is tuple:
        return _tuple_converter(tuple(_converter(item) for item in arguments))
    if origin in (list, frozenset, set):
        return _sequence_converter(origin, _converter(arguments[0]))
    if isinstance(origin, type) and issubclass(origin, Mapping):
        return _mapping_converter(_converter(arguments[0]), _converter(arguments[1]))
    raise TypeError(f"{hint} cannot be decoded")


@cache
def _converter(hint: Any) -> Converter:
    if hint is Any or hint is object:
        return lambda value: value
    if isinstance(hint, NewType):
        return _converter(hint.__supertype__)
    origin = get_origin(hint)
    if origin is not None:
        return _generic_converter(hint, origin)
    if hint in _SCALARS or hint is None:
        return _scalar_converter(type(None) if hint is None else hint)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _enum_converter(hint)
    if is_dataclass(hint):
        return _record_converter(hint)
    raise TypeError(f"{hint} cannot be decoded")


def _load_cbor(data: bytes) -> Any:
    try:
        return cbor2.loads(data)
    except Exception as error:  # noqa: BLE001 - any exception of the decoder means a malformed frame
        raise ProtocolError(f"frame is not valid CBOR: {error}", step=STEP) from error


def _convert_to(cls: type[R], value: Any) -> R:
    try:
        return _converter(cls)(value)
    except (TypeError, ValueError, RecursionError) as error:
        raise ProtocolError(f"malformed {cls.__name__}: {error}", step=STEP) from error


def encode_record(record: object) -> bytes:
    """Encode a dataclass whose type the receiver already knows.

    :param record: dataclass instance
    :returns: CBOR bytes
    """
    return cbor2.dumps(_to_cbor_value(record))


def decode_record(cls: type[R], data: bytes) -> R:
    """Decode a dataclass of a known type.

    :param cls: class to decode into
    :param data: CBOR bytes
    :raises ProtocolError: the bytes are malformed
    """
    return _convert_to(cls, _load_cbor(data))


def encode_message(message: object) -> bytes:
    """Encode a registered message together with its name.

    :param message: instance of a class registered with :func:`~bergamothill.connection.bus.message`
    :returns: CBOR bytes
    :raises TypeError: the class is not registered
    """
    name = getattr(type(message), "wire_name", None)
    if name is None:
        raise TypeError(f"{type(message).__name__} is not a registered message type")
    return cbor2.dumps([name, _to_cbor_value(message)])


def decode_message(data: bytes) -> object | None:
    """Decode a registered message.

    :param data: CBOR bytes
    :returns: the message, or None if this release does not know its name
    :raises ProtocolError: the bytes are malformed
    """
    value = _load_cbor(data)
    if not isinstance(value, list) or len(value) != 2 or not isinstance(value[0], str):
        raise _unexpected_type("name and fields", value)
    cls = MESSAGE_TYPES.get(value[0])
    return None if cls is None else _convert_to(cls, value[1])
