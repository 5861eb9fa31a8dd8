"""Pure functions that apply operators' changes to a configuration."""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Mapping
from dataclasses import replace
from functools import singledispatch
from types import MappingProxyType
from typing import Any, TypeVar

from bergamothill.errors import ConflictError, InvalidRequestError, NotFoundError
from bergamothill.ids import BrandName, ModelName, WeightVersion
from bergamothill.version.change import (
    AddAdapter,
    AddBrand,
    AddKey,
    AddModel,
    AddService,
    AllowAdapter,
    AllowModel,
    AllowService,
    Change,
    DisallowAdapter,
    DisallowModel,
    DisallowService,
    FinishRollout,
    RemoveAdapter,
    RemoveBrand,
    RemoveException,
    RemoveKey,
    RemoveModel,
    RemoveService,
    SetDefault,
    SetException,
    SetModel,
    SetWeightTarget,
)
from bergamothill.version.config import (
    BrandConfig,
    Configuration,
    Defaults,
    ExceptionRecord,
    ModelConfig,
    ServiceConfig,
)
from bergamothill.version.plain import from_plain, to_plain

__all__ = ["EXCEPTION_NAMES", "apply_change", "apply_changes", "parse_default"]

STEP = "configuration.change"

EXCEPTION_NAMES = frozenset(
    {"warm_time_ms", "answer_timeout_ms", "weights", "limits", "objectives"}
)
"""Defaults that a brand may override."""

_NAME = re.compile(r"^\w[\w.-]{0,62}$")
_DIGEST = re.compile(r"^[0-9a-f]{64}$")

K = TypeVar("K")
V = TypeVar("V")


def apply_changes(configuration: Configuration, changes: tuple[Change, ...]) -> Configuration:
    """Apply changes in order and return the resulting configuration with the same revision.

    :raises InvalidRequestError: a change is malformed
    :raises NotFoundError: a change refers to an object that does not exist
    :raises ConflictError: a change creates an existing object or removes one that is in use
    """
    for change in changes:
        configuration = apply_change(configuration, change)
    return configuration


def apply_change(configuration: Configuration, change: Change) -> Configuration:
    """Apply one change and return the resulting configuration with the same revision.

    :raises InvalidRequestError: the change is malformed
    :raises NotFoundError: the change refers to an object that does not exist
    :raises ConflictError: the change creates an existing object or removes one that is in use
    """
    return _apply(change, configuration)


@singledispatch
def _apply(change: Change, configuration: Configuration) -> Configuration:
    raise InvalidRequestError(f"unknown change type {type(change).__name__}", step=STEP)


def _with_item(mapping: Mapping[K, V], key: K, value: V) -> Mapping[K, V]:
    return MappingProxyType({**mapping, key: value})


def _without_item(mapping: Mapping[K, V], key: K) -> Mapping[K, V]:
    return MappingProxyType({name: value for name, value in mapping.items() if name != key})


def _check_name(kind: str, name: str) -> None:
    if not _NAME.match(name):
        raise InvalidRequestError(f"{kind} name {name!r} is invalid", step=STEP)


def _get_brand(configuration: Configuration, brand: BrandName) -> BrandConfig:
    if brand not in configuration.brands:
        raise NotFoundError(f"brand {brand} does not exist", step=STEP)
    return configuration.brands[brand]


def _get_model(configuration: Configuration, model: ModelName) -> ModelConfig:
    if model not in configuration.models:
        raise NotFoundError(f"model {model} does not exist", step=STEP)
    return configuration.models[model]


def _put_brand(configuration: Configuration, brand: BrandConfig) -> Configuration:
    return replace(configuration, brands=_with_item(configuration.brands, brand.name, brand))


def _put_model(configuration: Configuration, model: ModelConfig) -> Configuration:
    return replace(configuration, models=_with_item(configuration.models, model.name, model))


def _check_unused(description: str, brands_using: list[str]) -> None:
    if brands_using:
        shown = ", ".join(sorted(brands_using)[:5])
        raise ConflictError(
            f"{description} is used by {len(brands_using)} brands: {shown}", step=STEP
        )


@_apply.register
def _(change: AddBrand, configuration: Configuration) -> Configuration:
    _check_name("brand", change.brand)
    if change.brand in configuration.brands:
        raise ConflictError(f"brand {change.brand} already exists", step=STEP)
    return _put_brand(configuration, BrandConfig(name=change.brand))


@_apply.register
def _(change: RemoveBrand, configuration: Configuration) -> Configuration:
    _get_brand(configuration, change.brand)
    return replace(configuration, brands=_without_item(configuration.brands, change.brand))


@_apply.register
def _(change: AddKey, configuration: Configuration) -> Configuration:
    brand = _get_brand(configuration, change.brand)
    if not _DIGEST.match(change.key_digest):
        raise InvalidRequestError("key digest is not a hexadecimal SHA-256 digest", step=STEP)
    for other in configuration.brands.values():
        if change.key_digest in other.key_digests and other.name != change.brand:
            raise ConflictError(f"the key already belongs to brand {other.name}", step=STEP)
    return _put_brand(
        configuration, replace(brand, key_digests=brand.key_digests | {change.key_digest})
    )


@_apply.register
def _(change: RemoveKey, configuration: Configuration) -> Configuration:
    brand = _get_brand(configuration, change.brand)
    if change.key_digest not in brand.key_digests:
        raise NotFoundError(f"brand {change.brand} has no such key", step=STEP)
    return _put_brand(
        configuration, replace(brand, key_digests=brand.key_digests - {change.key_digest})
    )


@_apply.register
def _(change: AllowModel, configuration: Configuration) -> Configuration:
    brand = _get_brand(configuration, change.brand)
    _get_model(configuration, change.model)
    return _put_brand(configuration, replace(brand, models=brand.models | {change.model}))


@_apply.register
def _(change: DisallowModel, configuration: Configuration) -> Configuration:
    brand = _get_brand(configuration, change.brand)
    prefix = f"{change.model}:"
    adapters = frozenset(name for name in brand.adapters if not name.startswith(prefix))
    models = brand.models - {change.model}
    return _put_brand(configuration, replace(brand, models=models, adapters=adapters))


@_apply.register
def _(change: AllowAdapter, configuration: Configuration) -> Configuration:
    brand = _get_brand(configuration, change.brand)
    if change.adapter not in _get_model(configuration, change.model).adapters:
        raise NotFoundError(f"model {change.model} has no adapter {change.adapter}", step=STEP)
    if change.model not in brand.models:
        raise InvalidRequestError(
            f"brand {change.brand} is not allowed to use model {change.model}", step=STEP
        )
    adapters = brand.adapters | {f"{change.model}:{change.adapter}"}
    return _put_brand(configuration, replace(brand, adapters=adapters))


@_apply.register
def _(change: DisallowAdapter, configuration: Configuration) -> Configuration:
    brand = _get_brand(configuration, change.brand)
    adapters = brand.adapters - {f"{change.model}:{change.adapter}"}
    return _put_brand(configuration, replace(brand, adapters=adapters))


@_apply.register
def _(change: AllowService, configuration: Configuration) -> Configuration:
    brand = _get_brand(configuration, change.brand)
    if change.service not in configuration.services:
        raise NotFoundError(f"service {change.service} does not exist", step=STEP)
    return _put_brand(configuration, replace(brand, services=brand.services | {change.service}))


@_apply.register
def _(change: DisallowService, configuration: Configuration) -> Configuration:
    brand = _get_brand(configuration, change.brand)
    return _put_brand(configuration, replace(brand, services=brand.services - {change.service}))


def parse_default(defaults: Defaults, name: str, value: Any) -> Any:
    """Convert a plain value to the type of a default.

    :param defaults: current defaults, which supply omitted parts of the value
    :param name: field of :class:`Defaults`
    :param value: plain or typed value
    :raises InvalidRequestError: there is no such default, or the value has the wrong type or is
        out of range
    """
    if name not in {field.name for field in dataclasses.fields(Defaults)}:
        raise InvalidRequestError(f"unknown default {name}", step=STEP)
    current = getattr(defaults, name)
    plain = to_plain(value)
    if dataclasses.is_dataclass(current) and isinstance(plain, dict):
        plain = {**to_plain(current), **plain}
    typed = from_plain(type(current), plain, name)
    numbers = to_plain(typed).values() if dataclasses.is_dataclass(typed) else (typed,)
    if any(number < 0 for number in numbers):
        raise InvalidRequestError(f"default {name} must not be negative", step=STEP)
    if name == "concurrent_weight_loads" and typed < 1:
        raise InvalidRequestError(f"default {name} must be at least 1", step=STEP)
    return typed


@_apply.register
def _(change: SetDefault, configuration: Configuration) -> Configuration:
    name, _, part = change.name.partition(".")
    value = {part: change.value} if part else change.value
    typed = parse_default(configuration.defaults, name, value)
    return replace(configuration, defaults=replace(configuration.defaults, **{name: typed}))


@_apply.register
def _(change: SetException, configuration: Configuration) -> Configuration:
    brand = _get_brand(configuration, change.brand)
    if change.name not in EXCEPTION_NAMES:
        raise InvalidRequestError(f"default {change.name} does not allow exceptions", step=STEP)
    reason = change.reason.strip()
    if not reason:
        raise InvalidRequestError("an exception requires a reason", step=STEP)
    value = parse_default(configuration.defaults, change.name, change.value)
    record = ExceptionRecord(reason=reason, value=value)
    exceptions = _with_item(brand.exceptions, change.name, record)
    return _put_brand(configuration, replace(brand, exceptions=exceptions))


@_apply.register
def _(change: RemoveException, configuration: Configuration) -> Configuration:
    brand = _get_brand(configuration, change.brand)
    exceptions = _without_item(brand.exceptions, change.name)
    return _put_brand(configuration, replace(brand, exceptions=exceptions))


def _check_bytes_per_token(bytes_per_token: int) -> None:
    if bytes_per_token < 1:
        raise InvalidRequestError("bytes_per_token must be at least 1", step=STEP)


def _check_version(version: WeightVersion) -> None:
    _check_name("weight version", version)


@_apply.register
def _(change: AddModel, configuration: Configuration) -> Configuration:
    _check_name("model", change.model)
    _check_version(change.version)
    _check_bytes_per_token(change.bytes_per_token)
    if change.model in configuration.models:
        raise ConflictError(f"model {change.model} already exists", step=STEP)
    model = ModelConfig(
        name=change.model,
        current=change.version,
        target=change.version,
        bytes_per_token=change.bytes_per_token,
    )
    return _put_model(configuration, model)


@_apply.register
def _(change: SetModel, configuration: Configuration) -> Configuration:
    model = _get_model(configuration, change.model)
    _check_bytes_per_token(change.bytes_per_token)
    return _put_model(configuration, replace(model, bytes_per_token=change.bytes_per_token))


@_apply.register
def _(change: RemoveModel, configuration: Configuration) -> Configuration:
    _get_model(configuration, change.model)
    brands = configuration.brands.values()
    _check_unused(
        f"model {change.model}", [brand.name for brand in brands if change.model in brand.models]
    )
    return replace(configuration, models=_without_item(configuration.models, change.model))


@_apply.register
def _(change: AddAdapter, configuration: Configuration) -> Configuration:
    _check_name("adapter", change.adapter)
    model = _get_model(configuration, change.model)
    return _put_model(configuration, replace(model, adapters=model.adapters | {change.adapter}))


@_apply.register
def _(change: RemoveAdapter, configuration: Configuration) -> Configuration:
    model = _get_model(configuration, change.model)
    name = f"{change.model}:{change.adapter}"
    brands = configuration.brands.values()
    _check_unused(f"adapter {name}", [brand.name for brand in brands if name in brand.adapters])
    return _put_model(configuration, replace(model, adapters=model.adapters - {change.adapter}))


@_apply.register
def _(change: SetWeightTarget, configuration: Configuration) -> Configuration:
    _check_version(change.version)
    model = _get_model(configuration, change.model)
    return _put_model(configuration, replace(model, target=change.version))


@_apply.register
def _(change: FinishRollout, configuration: Configuration) -> Configuration:
    model = _get_model(configuration, change.model)
    if model.target != change.version:
        raise ConflictError(
            f"model {change.model} has target {model.target}, not {change.version}", step=STEP
        )
    return _put_model(configuration, replace(model, current=change.version))


@_apply.register
def _(change: AddService, configuration: Configuration) -> Configuration:
    _check_name("service", change.service)
    service = ServiceConfig(name=change.service, repeatable_methods=change.repeatable_methods)
    services = _with_item(configuration.services, change.service, service)
    return replace(configuration, services=services)


@_apply.register
def _(change: RemoveService, configuration: Configuration) -> Configuration:
    if change.service not in configuration.services:
        raise NotFoundError(f"service {change.service} does not exist", step=STEP)
    brands = configuration.brands.values()
    _check_unused(
        f"service {change.service}",
        [brand.name for brand in brands if change.service in brand.services],
    )
    return replace(configuration, services=_without_item(configuration.services, change.service))
