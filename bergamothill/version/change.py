"""Typed records of operators' configuration changes, and the items that they touch."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch
from typing import Any, ClassVar, TypeVar

from bergamothill.errors import InvalidRequestError
from bergamothill.ids import AdapterName, BrandName, ModelName, ServiceName, WeightVersion

__all__ = [
    "CHANGE_KINDS",
    "AddAdapter",
    "AddBrand",
    "AddKey",
    "AddModel",
    "AddService",
    "AllowAdapter",
    "AllowModel",
    "AllowService",
    "Change",
    "DisallowAdapter",
    "DisallowModel",
    "DisallowService",
    "FinishRollout",
    "RemoveAdapter",
    "RemoveBrand",
    "RemoveException",
    "RemoveKey",
    "RemoveModel",
    "RemoveService",
    "SetDefault",
    "SetException",
    "SetModel",
    "SetWeightTarget",
    "items_touched",
]

STEP = "configuration.change"

C = TypeVar("C")


class Change:
    """Base class of all changes; ``kind`` identifies the change in files and records."""

    kind: ClassVar[str] = ""
    __slots__ = ()


CHANGE_KINDS: dict[str, type[Change]] = {}
"""Change classes by kind."""


def _register_kind(kind: str) -> Callable[[type[C]], type[C]]:
    def register(cls: type[C]) -> type[C]:
        record = dataclass(frozen=True, slots=True)(cls)
        record.kind = kind
        CHANGE_KINDS[kind] = record
        return record

    return register


@_register_kind("add_brand")
class AddBrand(Change):
    """Create a brand without keys or permissions."""

    brand: BrandName


@_register_kind("remove_brand")
class RemoveBrand(Change):
    """Remove a brand with its keys, permissions and exceptions."""

    brand: BrandName


@_register_kind("add_key")
class AddKey(Change):
    """Add a bearer key that authenticates the brand.

    :param key_digest: hexadecimal SHA-256 of the key
    """

    brand: BrandName
    key_digest: str


@_register_kind("remove_key")
class RemoveKey(Change):
    """Revoke a bearer key of the brand.

    :param key_digest: hexadecimal SHA-256 of the key
    """

    brand: BrandName
    key_digest: str


@_register_kind("allow_model")
class AllowModel(Change):
    """Allow the brand to use a model."""

    brand: BrandName
    model: ModelName


@_register_kind("disallow_model")
class DisallowModel(Change):
    """Revoke the brand's permission to use a model and its adapters."""

    brand: BrandName
    model: ModelName


@_register_kind("allow_adapter")
class AllowAdapter(Change):
    """Allow the brand to use an adapter of a model."""

    brand: BrandName
    model: ModelName
    adapter: AdapterName


@_register_kind("disallow_adapter")
class DisallowAdapter(Change):
    """Revoke the brand's permission to use an adapter."""

    brand: BrandName
    model: ModelName
    adapter: AdapterName


@_register_kind("allow_service")
class AllowService(Change):
    """Allow the brand to call a plain service."""

    brand: BrandName
    service: ServiceName


@_register_kind("disallow_service")
class DisallowService(Change):
    """Revoke the brand's permission to call a plain service."""

    brand: BrandName
    service: ServiceName


@_register_kind("set_default")
class SetDefault(Change):
    """Set a fleet-wide default.

    :param name: field of :class:`Defaults`, or a dotted path such as ``limits.burst``
    :param value: plain value
    """

    name: str
    value: Any


@_register_kind("set_exception")
class SetException(Change):
    """Override a default for the brand.

    :param name: one of :data:`~bergamothill.version.applychanges.EXCEPTION_NAMES`
    :param value: plain value; keys omitted from a dictionary keep the value of the default
    :param reason: reason for the exception; not empty
    """

    brand: BrandName
    name: str
    value: Any
    reason: str


@_register_kind("remove_exception")
class RemoveException(Change):
    """Remove the brand's override of a default."""

    brand: BrandName
    name: str


@_register_kind("add_model")
class AddModel(Change):
    """Create a model whose engines already serve a version.

    :param version: current weight version
    :param bytes_per_token: size of the cached context (KV cache), in bytes per token
    """

    model: ModelName
    version: WeightVersion
    bytes_per_token: int = 1_000


@_register_kind("set_model")
class SetModel(Change):
    """Set the size of a model's cached context, in bytes per token."""

    model: ModelName
    bytes_per_token: int


@_register_kind("remove_model")
class RemoveModel(Change):
    """Remove a model; no brand may be allowed to use it."""

    model: ModelName


@_register_kind("add_adapter")
class AddAdapter(Change):
    """Add an adapter to a model."""

    model: ModelName
    adapter: AdapterName


@_register_kind("remove_adapter")
class RemoveAdapter(Change):
    """Remove an adapter; no brand may be allowed to use it."""

    model: ModelName
    adapter: AdapterName


@_register_kind("set_weight_target")
class SetWeightTarget(Change):
    """Start a rollout to a weight version, or cancel it by setting the current version."""

    model: ModelName
    version: WeightVersion


@_register_kind("finish_rollout")
class FinishRollout(Change):
    """Make the target of a rollout the current version.

    :param version: the target that was reached
    """

    model: ModelName
    version: WeightVersion


@_register_kind("add_service")
class AddService(Change):
    """Create a plain service, or set its repeatable methods.

    :param repeatable_methods: HTTP methods that may be retried after a lost reply
    """

    service: ServiceName
    repeatable_methods: frozenset[str] = frozenset({"GET", "HEAD"})


@_register_kind("remove_service")
class RemoveService(Change):
    """Remove a plain service; no brand may be allowed to call it."""

    service: ServiceName


@singledispatch
def items_touched(change: Change) -> tuple[str, ...]:
    """Return the paths of the items that a change reads or writes.

    Two changes conflict when an item of one equals, or is a path prefix of, an item of the other.

    :param change: change to inspect
    """
    raise InvalidRequestError(f"unknown change type {type(change).__name__}", step=STEP)


@items_touched.register(AddBrand)
@items_touched.register(RemoveBrand)
def _(change: AddBrand | RemoveBrand) -> tuple[str, ...]:
    return (f"brands/{change.brand}",)


@items_touched.register(AddKey)
@items_touched.register(RemoveKey)
def _(change: AddKey | RemoveKey) -> tuple[str, ...]:
    short_digest = change.key_digest[:16]
    return (f"brands/{change.brand}/keys/{short_digest}", f"keys/{short_digest}")


@items_touched.register(AllowModel)
@items_touched.register(DisallowModel)
def _(change: AllowModel | DisallowModel) -> tuple[str, ...]:
    return (f"brands/{change.brand}/models/{change.model}",)


@items_touched.register(AllowAdapter)
@items_touched.register(DisallowAdapter)
def _(change: AllowAdapter | DisallowAdapter) -> tuple[str, ...]:
    return (f"brands/{change.brand}/models/{change.model}/{change.adapter}",)


@items_touched.register(AllowService)
@items_touched.register(DisallowService)
def _(change: AllowService | DisallowService) -> tuple[str, ...]:
    return (f"brands/{change.brand}/services/{change.service}",)


@items_touched.register
def _(change: SetDefault) -> tuple[str, ...]:
    return (f"defaults/{change.name.replace('.', '/')}",)


@items_touched.register(SetException)
@items_touched.register(RemoveException)
def _(change: SetException | RemoveException) -> tuple[str, ...]:
    return (f"brands/{change.brand}/exceptions/{change.name}",)


@items_touched.register(AddModel)
@items_touched.register(RemoveModel)
def _(change: AddModel | RemoveModel) -> tuple[str, ...]:
    return (f"models/{change.model}",)


@items_touched.register
def _(change: SetModel) -> tuple[str, ...]:
    return (f"models/{change.model}/bytes_per_token",)


@items_touched.register(AddAdapter)
@items_touched.register(RemoveAdapter)
def _(change: AddAdapter | RemoveAdapter) -> tuple[str, ...]:
    return (f"models/{change.model}/adapters/{change.adapter}",)


@items_touched.register(SetWeightTarget)
@items_touched.register(FinishRollout)
def _(change: SetWeightTarget | FinishRollout) -> tuple[str, ...]:
    return (f"models/{change.model}/version",)


@items_touched.register(AddService)
@items_touched.register(RemoveService)
def _(change: AddService | RemoveService) -> tuple[str, ...]:
    return (f"services/{change.service}",)
