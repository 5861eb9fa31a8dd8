"""TOML files of the operators: a list of changes, or a desired state."""

from __future__ import annotations

import dataclasses
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from bergamothill.errors import InvalidRequestError
from bergamothill.ids import AdapterName, BrandName, ModelName, ServiceName, WeightVersion
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
from bergamothill.version.effect import default_value
from bergamothill.version.plain import from_plain, to_plain

__all__ = ["changes_from_toml", "changes_to_plain"]

STEP = "configuration.file"
SECTIONS = frozenset({"changes", "defaults", "models", "services", "brands"})


@dataclass(frozen=True, slots=True)
class _DesiredModel:
    """Model in a file.

    :param version: version that new requests shall use; a difference starts a rollout
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
    """Return the changes that a file asks for.

    ``[[changes]]`` lists changes by kind. ``[defaults]``, ``[models]``, ``[services]`` and
    ``[brands]`` state what shall be; a section that is missing is left alone, one that is there is
    whole: what it does not name is removed. Defaults that are not named are left alone.

    :param text: content of the file
    :param configuration: configuration to compare a desired state with
    :raises InvalidRequestError: the file is malformed
    """
    try:
        plain = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidRequestError(f"no TOML: {error}", step=STEP) from error
    unknown = sorted(set(plain) - SECTIONS)
    if unknown:
        raise InvalidRequestError(f"unknown sections {unknown}", step=STEP)
    if "changes" in plain:
        if len(plain) > 1:
            raise InvalidRequestError("changes and a desired state exclude each other", step=STEP)
        return tuple(_change(item, place) for place, item in enumerate(plain["changes"]))
    return tuple(_changes_to(plain, configuration))


def changes_to_plain(changes: tuple[Change, ...]) -> list[dict[str, Any]]:
    """Return changes as they stand in a file below ``changes``."""
    return [{"kind": change.kind, **to_plain(change)} for change in changes]


def _change(item: Any, place: int) -> Change:
    where = f"changes[{place}]"
    if not isinstance(item, dict) or item.get("kind") not in CHANGE_KINDS:
        known = ", ".join(sorted(CHANGE_KINDS))
        raise InvalidRequestError(f"{where}: kind must be one of {known}", step=STEP)
    fields = {name: value for name, value in item.items() if name != "kind"}
    return from_plain(CHANGE_KINDS[item["kind"]], fields, where)


def _changes_to(plain: dict[str, Any], configuration: Configuration) -> Iterator[Change]:
    """Yield additions from what is named to what names it, then removals the other way round."""
    models = _section(plain, "models", _DesiredModel)
    services = _section(plain, "services", _DesiredService)
    brands = _section(plain, "brands", _DesiredBrand)
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


def _section(plain: dict[str, Any], name: str, cls: type) -> Mapping[str, Any] | None:
    if name not in plain:
        return None
    return from_plain(Mapping[str, cls], plain[name], name)


def _default_changes(plain: Any, defaults: Defaults) -> Iterator[Change]:
    if not isinstance(plain, dict):
        raise InvalidRequestError("defaults must be a table", step=STEP)
    for name, value in plain.items():
        if default_value(defaults, name, value) != getattr(defaults, name):
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
        present = model.adapters if model else frozenset()
        yield from (AddAdapter(ModelName(name), a) for a in sorted(desired.adapters - present))


def _model_removals(
    models: Mapping[str, _DesiredModel], configuration: Configuration
) -> Iterator[Change]:
    for name, model in configuration.models.items():
        if name not in models:
            yield RemoveModel(name)
            continue
        gone = sorted(model.adapters - models[name].adapters)
        yield from (RemoveAdapter(name, adapter) for adapter in gone)


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
    """Yield withdrawals before grants, so that a key can move between brands."""
    pairs = [
        (configuration.brands.get(BrandName(name), BrandConfig(BrandName(name))), desired)
        for name, desired in brands.items()
    ]
    yield from (RemoveBrand(name) for name in sorted(configuration.brands.keys() - brands))
    yield from (AddBrand(BrandName(n)) for n in brands if n not in configuration.brands)
    for present, desired in pairs:
        yield from _withdrawals(present, desired)
    for present, desired in pairs:
        yield from _grants(present, desired, configuration.defaults)


def _withdrawals(present: BrandConfig, desired: _DesiredBrand) -> Iterator[Change]:
    name = present.name
    yield from (RemoveKey(name, d) for d in sorted(present.key_digests - desired.key_digests))
    for adapter in sorted(present.adapters - desired.adapters):
        yield DisallowAdapter(name, *_split_adapter(adapter))
    yield from (DisallowModel(name, m) for m in sorted(present.models - desired.models))
    yield from (DisallowService(name, s) for s in sorted(present.services - desired.services))
    gone = sorted(present.exceptions.keys() - desired.exceptions.keys())
    yield from (RemoveException(name, exception) for exception in gone)


def _grants(present: BrandConfig, desired: _DesiredBrand, defaults: Defaults) -> Iterator[Change]:
    name = present.name
    yield from (AddKey(name, d) for d in sorted(desired.key_digests - present.key_digests))
    yield from (AllowModel(name, m) for m in sorted(desired.models - present.models))
    for adapter in sorted(desired.adapters - present.adapters):
        yield AllowAdapter(name, *_split_adapter(adapter))
    yield from (AllowService(name, s) for s in sorted(desired.services - present.services))
    for exception, wanted in desired.exceptions.items():
        old = present.exceptions.get(exception)
        value = default_value(defaults, exception, wanted.value)
        if old is None or (old.reason, old.value) != (wanted.reason.strip(), value):
            yield SetException(name, exception, wanted.value, wanted.reason)


def _split_adapter(text: str) -> tuple[ModelName, AdapterName]:
    model, separator, adapter = text.partition(":")
    if not separator:
        raise InvalidRequestError(f"adapter {text!r} is not model:adapter", step=STEP)
    return ModelName(model), AdapterName(adapter)
