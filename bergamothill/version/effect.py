"""Effect of operators' changes on a configuration: pure functions."""

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

__all__ = ["EXCEPTION_NAMES", "apply_change", "apply_changes", "default_value"]

STEP = "configuration.change"

EXCEPTION_NAMES = frozenset(
    {"warm_time_ms", "answer_timeout_ms", "weights", "limits", "objectives"}
)
"""Defaults from which a brand may depart."""

_NAME = re.compile(r"^\w[\w.-]{0,62}$")
_DIGEST = re.compile(r"^[0-9a-f]{64}$")

K = TypeVar("K")
V = TypeVar("V")


def apply_changes(configuration: Configuration, changes: tuple[Change, ...]) -> Configuration:
    """Return the configuration after all changes, in order; the revision stays.

    :raises InvalidRequestError: a change is malformed
    :raises NotFoundError: a change names something that does not exist
    :raises ConflictError: a change creates what exists or removes what is in use
    """
    for change in changes:
        configuration = apply_change(configuration, change)
    return configuration


def apply_change(configuration: Configuration, change: Change) -> Configuration:
    """Return the configuration after one change; the revision stays.

    :raises InvalidRequestError: the change is malformed
    :raises NotFoundError: the change names something that does not exist
    :raises ConflictError: the change creates what exists or removes what is in use
    """
    return _apply(change, configuration)


@singledispatch
def _apply(change: Change, configuration: Configuration) -> Configuration:
    raise InvalidRequestError(f"unknown change {type(change).__name__}", step=STEP)


def _with(mapping: Mapping[K, V], key: K, value: V) -> Mapping[K, V]:
    return MappingProxyType({**mapping, key: value})


def _without(mapping: Mapping[K, V], key: K) -> Mapping[K, V]:
    return MappingProxyType({name: value for name, value in mapping.items() if name != key})


def _check_name(kind: str, name: str) -> None:
    if not _NAME.match(name):
        raise InvalidRequestError(f"{kind} name {name!r} is malformed", step=STEP)


def _brand(configuration: Configuration, brand: BrandName) -> BrandConfig:
    if brand not in configuration.brands:
        raise NotFoundError(f"brand {brand} does not exist", step=STEP)
    return configuration.brands[brand]


def _model(configuration: Configuration, model: ModelName) -> ModelConfig:
    if model not in configuration.models:
        raise NotFoundError(f"model {model} does not exist", step=STEP)
    return configuration.models[model]


def _put_brand(configuration: Configuration, brand: BrandConfig) -> Configuration:
    return replace(configuration, brands=_with(configuration.brands, brand.name, brand))


def _put_model(configuration: Configuration, model: ModelConfig) -> Configuration:
    return replace(configuration, models=_with(configuration.models, model.name, model))


def _refuse_use(what: str, users: list[str]) -> None:
    if users:
        shown = ", ".join(sorted(users)[:5])
        raise ConflictError(f"{what} is used by {len(users)} brands: {shown}", step=STEP)


@_apply.register
def _(change: AddBrand, configuration: Configuration) -> Configuration:
    _check_name("brand", change.brand)
    if change.brand in configuration.brands:
        raise ConflictError(f"brand {change.brand} exists", step=STEP)
    return _put_brand(configuration, BrandConfig(name=change.brand))


@_apply.register
def _(change: RemoveBrand, configuration: Configuration) -> Configuration:
    _brand(configuration, change.brand)
    return replace(configuration, brands=_without(configuration.brands, change.brand))


@_apply.register
def _(change: AddKey, configuration: Configuration) -> Configuration:
    brand = _brand(configuration, change.brand)
    if not _DIGEST.match(change.key_digest):
        raise InvalidRequestError("key digest is no hexadecimal SHA-256", step=STEP)
    for other in configuration.brands.values():
        if change.key_digest in other.key_digests and other.name != change.brand:
            raise ConflictError(f"the key names brand {other.name}", step=STEP)
    return _put_brand(
        configuration, replace(brand, key_digests=brand.key_digests | {change.key_digest})
    )


@_apply.register
def _(change: RemoveKey, configuration: Configuration) -> Configuration:
    brand = _brand(configuration, change.brand)
    if change.key_digest not in brand.key_digests:
        raise NotFoundError(f"brand {change.brand} has no such key", step=STEP)
    return _put_brand(
        configuration, replace(brand, key_digests=brand.key_digests - {change.key_digest})
    )


@_apply.register
def _(change: AllowModel, configuration: Configuration) -> Configuration:
    brand = _brand(configuration, change.brand)
    _model(configuration, change.model)
    return _put_brand(configuration, replace(brand, models=brand.models | {change.model}))


@_apply.register
def _(change: DisallowModel, configuration: Configuration) -> Configuration:
    brand = _brand(configuration, change.brand)
    prefix = f"{change.model}:"
    adapters = frozenset(name for name in brand.adapters if not name.startswith(prefix))
    models = brand.models - {change.model}
    return _put_brand(configuration, replace(brand, models=models, adapters=adapters))


@_apply.register
def _(change: AllowAdapter, configuration: Configuration) -> Configuration:
    brand = _brand(configuration, change.brand)
    if change.adapter not in _model(configuration, change.model).adapters:
        raise NotFoundError(f"model {change.model} has no adapter {change.adapter}", step=STEP)
    if change.model not in brand.models:
        raise InvalidRequestError(
            f"brand {change.brand} may not use model {change.model}", step=STEP
        )
    adapters = brand.adapters | {f"{change.model}:{change.adapter}"}
    return _put_brand(configuration, replace(brand, adapters=adapters))


@_apply.register
def _(change: DisallowAdapter, configuration: Configuration) -> Configuration:
    brand = _brand(configuration, change.brand)
    adapters = brand.adapters - {f"{change.model}:{change.adapter}"}
    return _put_brand(configuration, replace(brand, adapters=adapters))


@_apply.register
def _(change: AllowService, configuration: Configuration) -> Configuration:
    brand = _brand(configuration, change.brand)
    if change.service not in configuration.services:
        raise NotFoundError(f"service {change.service} does not exist", step=STEP)
    return _put_brand(configuration, replace(brand, services=brand.services | {change.service}))


@_apply.register
def _(change: DisallowService, configuration: Configuration) -> Configuration:
    brand = _brand(configuration, change.brand)
    return _put_brand(configuration, replace(brand, services=brand.services - {change.service}))


def default_value(defaults: Defaults, name: str, value: Any) -> Any:
    """Build the typed value of a default from a plain one.

    :param defaults: values that fill in the parts left out
    :param name: field of :class:`Defaults`
    :param value: plain or typed value
    :raises InvalidRequestError: no such default, or a value of the wrong type or sign
    """
    if name not in {field.name for field in dataclasses.fields(Defaults)}:
        raise InvalidRequestError(f"no default is called {name}", step=STEP)
    present = getattr(defaults, name)
    plain = to_plain(value)
    if dataclasses.is_dataclass(present) and isinstance(plain, dict):
        plain = {**to_plain(present), **plain}
    built = from_plain(type(present), plain, name)
    numbers = to_plain(built).values() if dataclasses.is_dataclass(built) else (built,)
    if any(number < 0 for number in numbers):
        raise InvalidRequestError(f"default {name} may not be negative", step=STEP)
    if name == "concurrent_weight_loads" and built < 1:
        raise InvalidRequestError(f"default {name} must be at least 1", step=STEP)
    return built


@_apply.register
def _(change: SetDefault, configuration: Configuration) -> Configuration:
    name, _, part = change.name.partition(".")
    value = {part: change.value} if part else change.value
    built = default_value(configuration.defaults, name, value)
    return replace(configuration, defaults=replace(configuration.defaults, **{name: built}))


@_apply.register
def _(change: SetException, configuration: Configuration) -> Configuration:
    brand = _brand(configuration, change.brand)
    if change.name not in EXCEPTION_NAMES:
        raise InvalidRequestError(f"no exception to {change.name} is allowed", step=STEP)
    reason = change.reason.strip()
    if not reason:
        raise InvalidRequestError("an exception needs a written reason", step=STEP)
    value = default_value(configuration.defaults, change.name, change.value)
    record = ExceptionRecord(reason=reason, value=value)
    exceptions = _with(brand.exceptions, change.name, record)
    return _put_brand(configuration, replace(brand, exceptions=exceptions))


@_apply.register
def _(change: RemoveException, configuration: Configuration) -> Configuration:
    brand = _brand(configuration, change.brand)
    exceptions = _without(brand.exceptions, change.name)
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
        raise ConflictError(f"model {change.model} exists", step=STEP)
    model = ModelConfig(
        name=change.model,
        current=change.version,
        target=change.version,
        bytes_per_token=change.bytes_per_token,
    )
    return _put_model(configuration, model)


@_apply.register
def _(change: SetModel, configuration: Configuration) -> Configuration:
    model = _model(configuration, change.model)
    _check_bytes_per_token(change.bytes_per_token)
    return _put_model(configuration, replace(model, bytes_per_token=change.bytes_per_token))


@_apply.register
def _(change: RemoveModel, configuration: Configuration) -> Configuration:
    _model(configuration, change.model)
    brands = configuration.brands.values()
    _refuse_use(
        f"model {change.model}", [brand.name for brand in brands if change.model in brand.models]
    )
    return replace(configuration, models=_without(configuration.models, change.model))


@_apply.register
def _(change: AddAdapter, configuration: Configuration) -> Configuration:
    _check_name("adapter", change.adapter)
    model = _model(configuration, change.model)
    return _put_model(configuration, replace(model, adapters=model.adapters | {change.adapter}))


@_apply.register
def _(change: RemoveAdapter, configuration: Configuration) -> Configuration:
    model = _model(configuration, change.model)
    name = f"{change.model}:{change.adapter}"
    brands = configuration.brands.values()
    _refuse_use(f"adapter {name}", [brand.name for brand in brands if name in brand.adapters])
    return _put_model(configuration, replace(model, adapters=model.adapters - {change.adapter}))


@_apply.register
def _(change: SetWeightTarget, configuration: Configuration) -> Configuration:
    _check_version(change.version)
    model = _model(configuration, change.model)
    return _put_model(configuration, replace(model, target=change.version))


@_apply.register
def _(change: FinishRollout, configuration: Configuration) -> Configuration:
    model = _model(configuration, change.model)
    if model.target != change.version:
        raise ConflictError(
            f"model {change.model} has target {model.target}, not {change.version}", step=STEP
        )
    return _put_model(configuration, replace(model, current=change.version))


@_apply.register
def _(change: AddService, configuration: Configuration) -> Configuration:
    _check_name("service", change.service)
    service = ServiceConfig(name=change.service, repeatable_methods=change.repeatable_methods)
    services = _with(configuration.services, change.service, service)
    return replace(configuration, services=services)


@_apply.register
def _(change: RemoveService, configuration: Configuration) -> Configuration:
    if change.service not in configuration.services:
        raise NotFoundError(f"service {change.service} does not exist", step=STEP)
    brands = configuration.brands.values()
    _refuse_use(
        f"service {change.service}",
        [brand.name for brand in brands if change.service in brand.services],
    )
    return replace(configuration, services=_without(configuration.services, change.service))
