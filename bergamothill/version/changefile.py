"""Operators' TOML files, which contain either a list of changes or a desired state."""

from __future__ import annotations

import dataclasses
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from bergamothill.errors import InvalidRequestError
from bergamothill.ids import AdapterName, BrandName, ModelName, ServiceName, WeightVersion
from bergamothill.version.applychanges import parse_default
from bergamothill.version.change import (
    CHANGE_KINDS,
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
from bergamothill.version.config import BrandConfig, Configuration, Defaults
from bergamothill.version.plain import from_plain, to_plain

__all__ = ["changes_from_toml", "changes_to_plain"]

STEP = "configuration.file"
SECTIONS = frozenset({"changes", "defaults", "models", "services", "brands"})


@dataclass(frozen=True, slots=True)
class _DesiredModel:
    """Desired state of a model.

    :param version: weight version for new requests; a rollout starts if the target differs
    """

    version: WeightVersion
    adapters: frozenset[AdapterName] = frozenset()
    bytes_per_token: int = 1_000


@dataclass(frozen=True, slots=True)
class _DesiredService:
    repeatable_methods: frozenset[str] = frozenset({"GET", "HEAD"})


@dataclass(frozen=True, slots=True)
class _DesiredException:
    reason: str
    value: Any


@dataclass(frozen=True, slots=True)
class _DesiredBrand:
    key_digests: frozenset[str] = frozenset()
    models: frozenset[ModelName] = frozenset()
    adapters: frozenset[str] = frozenset()
    services: frozenset[ServiceName] = frozenset()
    exceptions: Mapping[str, _DesiredException] = dataclasses.field(default_factory=dict)


def changes_from_toml(text: str, configuration: Configuration) -> tuple[Change, ...]:
    """Return the changes that a file requests.

    ``[[changes]]`` lists changes by kind. ``[defaults]``, ``[models]``, ``[services]`` and
    ``[brands]`` describe the desired state. A missing section changes nothing. A section that is
    present is complete: what it does not list is removed, except that defaults it does not list are
    left unchanged.

    :param text: contents of the file
    :param configuration: configuration to compare the desired state with
    :raises InvalidRequestError: the file is malformed
    """
    try:
        plain = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidRequestError(f"invalid TOML: {error}", step=STEP) from error
    unknown = sorted(set(plain) - SECTIONS)
    if unknown:
        raise InvalidRequestError(f"unknown sections {unknown}", step=STEP)
    if "changes" in plain:
        if len(plain) > 1:
            raise InvalidRequestError(
                "a file cannot contain both changes and a desired state", step=STEP
            )
        return tuple(_parse_change(item, index) for index, item in enumerate(plain["changes"]))
    return tuple(_state_changes(plain, configuration))


def changes_to_plain(changes: tuple[Change, ...]) -> list[dict[str, Any]]:
    """Return changes in the form that a file lists them in under ``changes``."""
    return [{"kind": change.kind, **to_plain(change)} for change in changes]


def _parse_change(item: Any, index: int) -> Change:
    location = f"changes[{index}]"
    if not isinstance(item, dict) or item.get("kind") not in CHANGE_KINDS:
        known = ", ".join(sorted(CHANGE_KINDS))
        raise InvalidRequestError(f"{location}: kind must be one of {known}", step=STEP)
    fields = {name: value for name, value in item.items() if name != "kind"}
    return from_plain(CHANGE_KINDS[item["kind"]], fields, location)


def _state_changes(plain: dict[str, Any], configuration: Configuration) -> Iterator[Change]:
    """Yield changes in an order in which brands refer only to existing models and services."""
    models = _parse_section(plain, "models", _DesiredModel)
    services = _parse_section(plain, "services", _DesiredService)
    brands = _parse_section(plain, "brands", _DesiredBrand)
    yield from _default_changes(plain.get("defaults", {}), configuration.defaults)
    yield from _model_changes(models or {}, configuration)
    yield from _service_changes(services or {}, configuration)
    if brands is not None:
        yield from _brand_changes(brands, configuration)
    if models is not None:
        yield from _model_removals(models, configuration)
    if services is not None:
        yield from (
            RemoveService(name) for name in sorted(configuration.services.keys() - services)
        )


def _parse_section(plain: dict[str, Any], name: str, cls: type) -> Mapping[str, Any] | None:
    if name not in plain:
        return None
    return from_plain(Mapping[str, cls], plain[name], name)


def _default_changes(plain: Any, defaults: Defaults) -> Iterator[Change]:
    if not isinstance(plain, dict):
        raise InvalidRequestError("defaults must be a table", step=STEP)
    for name, value in plain.items():
        if parse_default(defaults, name, value) != getattr(defaults, name):
            yield SetDefault(name, value)


def _model_changes(
    models: Mapping[str, _DesiredModel], configuration: Configuration
) -> Iterator[Change]:
    for name, desired in models.items():
        model = configuration.models.get(ModelName(name))
        if model is None:
            yield AddModel(ModelName(name), desired.version, desired.bytes_per_token)
        else:
            if model.bytes_per_token != desired.bytes_per_token:
                yield SetModel(model.name, desired.bytes_per_token)
            if model.target != desired.version:
                yield SetWeightTarget(model.name, desired.version)
        current = model.adapters if model else frozenset()
        yield from (AddAdapter(ModelName(name), a) for a in sorted(desired.adapters - current))


def _model_removals(
    models: Mapping[str, _DesiredModel], configuration: Configuration
) -> Iterator[Change]:
    for name, model in configuration.models.items():
        if name not in models:
            yield RemoveModel(name)
            continue
        removed = sorted(model.adapters - models[name].adapters)
        yield from (RemoveAdapter(name, adapter) for adapter in removed)


def _service_changes(
    services: Mapping[str, _DesiredService], configuration: Configuration
) -> Iterator[Change]:
    for name, desired in services.items():
        service = configuration.services.get(ServiceName(name))
        if service is None or service.repeatable_methods != desired.repeatable_methods:
            yield AddService(ServiceName(name), desired.repeatable_methods)


def _brand_changes(
    brands: Mapping[str, _DesiredBrand], configuration: Configuration
) -> Iterator[Change]:
    """Yield revocations before grants, so that a key can move between brands."""
    pairs = [
        (configuration.brands.get(BrandName(name), BrandConfig(BrandName(name))), desired)
        for name, desired in brands.items()
    ]
    yield from (RemoveBrand(name) for name in sorted(configuration.brands.keys() - brands))
    yield from (AddBrand(BrandName(n)) for n in brands if n not in configuration.brands)
    for current, desired in pairs:
        yield from _revocations(current, desired)
    for current, desired in pairs:
        yield from _grants(current, desired, configuration.defaults)


def _revocations(current: BrandConfig, desired: _DesiredBrand) -> Iterator[Change]:
    name = current.name
    yield from (RemoveKey(name, d) for d in sorted(current.key_digests - desired.key_digests))
    for adapter in sorted(current.adapters - desired.adapters):
        yield DisallowAdapter(name, *_split_adapter(adapter))
    yield from (DisallowModel(name, m) for m in sorted(current.models - desired.models))
    yield from (DisallowService(name, s) for s in sorted(current.services - desired.services))
    removed = sorted(current.exceptions.keys() - desired.exceptions.keys())
    yield from (RemoveException(name, exception) for exception in removed)


def _grants(current: BrandConfig, desired: _DesiredBrand, defaults: Defaults) -> Iterator[Change]:
    name = current.name
    yield from (AddKey(name, d) for d in sorted(desired.key_digests - current.key_digests))
    yield from (AllowModel(name, m) for m in sorted(desired.models - current.models))
    for adapter in sorted(desired.adapters - current.adapters):
        yield AllowAdapter(name, *_split_adapter(adapter))
    yield from (AllowService(name, s) for s in sorted(desired.services - current.services))
    for exception, desired_exception in desired.exceptions.items():
        record = current.exceptions.get(exception)
        value = parse_default(defaults, exception, desired_exception.value)
        if record is None or (record.reason, record.value) != (
            desired_exception.reason.strip(),
            value,
        ):
            yield SetException(name, exception, desired_exception.value, desired_exception.reason)


def _split_adapter(text: str) -> tuple[ModelName, AdapterName]:
    model, separator, adapter = text.partition(":")
    if not separator:
        raise InvalidRequestError(f"adapter {text!r} is not in the form model:adapter", step=STEP)
    return ModelName(model), AdapterName(adapter)
