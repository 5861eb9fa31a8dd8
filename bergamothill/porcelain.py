"""Operator actions as plain functions, which the command-line tool calls."""

from __future__ import annotations

import secrets
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from bergamothill.clock import Clock
from bergamothill.connection.entry import (
    EntryClient,
    EntryResult,
    call_all,
    has_revision,
    wait_until,
)
from bergamothill.connection.http import HttpClient
from bergamothill.connection.kvs import KeyValueService
from bergamothill.connection.kvs_http import HttpKeyValueService
from bergamothill.errors import InvalidRequestError
from bergamothill.ids import (
    AdapterName,
    BrandName,
    ChangeId,
    EntryInstanceId,
    ModelName,
    Revision,
    ServiceName,
    WeightVersion,
)
from bergamothill.process.burn import BurnReport, build_burn_report
from bergamothill.request.auth import key_digest
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
from bergamothill.version.changefile import changes_from_toml
from bergamothill.version.config import Configuration
from bergamothill.version.record import AcceptedChange
from bergamothill.version.repair import RecoveryOrder, order_recovery
from bergamothill.version.revision import ConfigurationWriter, SubmitResult

__all__ = [
    "SubmitOptions",
    "add_adapter",
    "add_brand",
    "add_key",
    "add_model",
    "add_service",
    "allow_adapter",
    "allow_model",
    "allow_service",
    "apply",
    "diff",
    "disallow_adapter",
    "disallow_model",
    "disallow_service",
    "drain",
    "has_revision",
    "history",
    "new_key",
    "open_kvs",
    "read",
    "recover",
    "remove_adapter",
    "remove_brand",
    "remove_exception",
    "remove_key",
    "remove_model",
    "remove_service",
    "report",
    "set_bytes_per_token",
    "set_default",
    "set_exception",
    "set_warm_time",
    "start_rollout",
    "status",
    "stop_rollout",
    "submit",
    "wait_until",
]

KEY_BYTES = 32
KEY_PREFIX = "bh-"


@dataclass(frozen=True, slots=True)
class SubmitOptions:
    """How a change is submitted.

    :param change_id: id of the change, which makes a repeat safe; generated when omitted
    :param base: revision that the change is based on; the accepted revision when omitted
    :param is_retry: the id may have been submitted before; False if it was just generated
    """

    change_id: ChangeId | None = None
    base: Revision | None = None
    is_retry: bool = True


DEFAULT_OPTIONS = SubmitOptions()


def open_kvs(address: str) -> KeyValueService:
    """Return a client of the key-value service.

    :param address: ``host:port``
    """
    return HttpKeyValueService(HttpClient("kvs", address))


def read(writer: ConfigurationWriter) -> Configuration:
    """Return the accepted configuration."""
    return writer.read().configuration


def history(writer: ConfigurationWriter, limit: int) -> tuple[AcceptedChange, ...]:
    """Return the latest accepted changes, newest first."""
    return writer.history(limit)


def submit(
    writer: ConfigurationWriter,
    changes: Iterable[Change],
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Submit changes as one unit; see :meth:`ConfigurationWriter.submit`."""
    return writer.submit(
        tuple(changes),
        change_id=options.change_id,
        base=options.base,
        is_retry=options.is_retry,
    )


def add_brand(
    writer: ConfigurationWriter, brand: BrandName, options: SubmitOptions = DEFAULT_OPTIONS
) -> SubmitResult:
    """Create a brand."""
    return submit(writer, [AddBrand(brand)], options)


def remove_brand(
    writer: ConfigurationWriter, brand: BrandName, options: SubmitOptions = DEFAULT_OPTIONS
) -> SubmitResult:
    """Remove a brand with its keys, permissions and exceptions."""
    return submit(writer, [RemoveBrand(brand)], options)


def new_key() -> str:
    """Generate a bearer key; only its digest is stored in the configuration."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def add_key(
    writer: ConfigurationWriter,
    brand: BrandName,
    key: str,
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Add a bearer key that authenticates a brand.

    :param key: the key, not its digest
    """
    return submit(writer, [AddKey(brand, key_digest(key))], options)


def remove_key(
    writer: ConfigurationWriter,
    brand: BrandName,
    digest: str,
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Remove a bearer key from a brand.

    :param digest: hexadecimal SHA-256 of the key
    """
    return submit(writer, [RemoveKey(brand, digest)], options)


def allow_model(
    writer: ConfigurationWriter,
    brand: BrandName,
    model: ModelName,
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Allow a brand to use a model."""
    return submit(writer, [AllowModel(brand, model)], options)


def disallow_model(
    writer: ConfigurationWriter,
    brand: BrandName,
    model: ModelName,
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Withdraw a brand's permission to use a model."""
    return submit(writer, [DisallowModel(brand, model)], options)


def allow_adapter(
    writer: ConfigurationWriter,
    brand: BrandName,
    model: ModelName,
    adapter: AdapterName,
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Allow a brand to use an adapter."""
    return submit(writer, [AllowAdapter(brand, model, adapter)], options)


def disallow_adapter(
    writer: ConfigurationWriter,
    brand: BrandName,
    model: ModelName,
    adapter: AdapterName,
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Withdraw a brand's permission to use an adapter."""
    return submit(writer, [DisallowAdapter(brand, model, adapter)], options)


def allow_service(
    writer: ConfigurationWriter,
    brand: BrandName,
    service: ServiceName,
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Allow a brand to call a plain service."""
    return submit(writer, [AllowService(brand, service)], options)


def disallow_service(
    writer: ConfigurationWriter,
    brand: BrandName,
    service: ServiceName,
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Withdraw a brand's permission to call a plain service."""
    return submit(writer, [DisallowService(brand, service)], options)


def set_default(
    writer: ConfigurationWriter,
    name: str,
    value: Any,
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Set a default for the whole fleet.

    :param name: name of the default; dotted for a nested value, such as ``limits.burst``
    """
    return submit(writer, [SetDefault(name, value)], options)


def set_warm_time(
    writer: ConfigurationWriter,
    warm_time_ms: int,
    brand: BrandName | None = None,
    reason: str = "",
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Set how long conversations stay warm, for the fleet or as an exception for a brand.

    :param warm_time_ms: time after the last use, in milliseconds
    :param brand: brand that the exception is for; None sets the default
    :param reason: reason for the exception
    """
    if brand is None:
        return set_default(writer, "warm_time_ms", warm_time_ms, options)
    return set_exception(writer, brand, "warm_time_ms", warm_time_ms, reason, options)


def set_exception(
    writer: ConfigurationWriter,
    brand: BrandName,
    name: str,
    value: Any,
    reason: str,
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Set a value for one brand that overrides a default.

    :param reason: reason for the exception; not empty
    """
    return submit(writer, [SetException(brand, name, value, reason)], options)


def remove_exception(
    writer: ConfigurationWriter,
    brand: BrandName,
    name: str,
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Remove an exception, so that the default applies to the brand again."""
    return submit(writer, [RemoveException(brand, name)], options)


def add_model(
    writer: ConfigurationWriter,
    model: ModelName,
    version: WeightVersion,
    bytes_per_token: int = 1_000,
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Create a model.

    :param version: current weight version of its engines
    :param bytes_per_token: size of the cached context of one token
    """
    return submit(writer, [AddModel(model, version, bytes_per_token)], options)


def set_bytes_per_token(
    writer: ConfigurationWriter,
    model: ModelName,
    bytes_per_token: int,
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Set the size of a model's cached context, in bytes per token."""
    return submit(writer, [SetModel(model, bytes_per_token)], options)


def remove_model(
    writer: ConfigurationWriter, model: ModelName, options: SubmitOptions = DEFAULT_OPTIONS
) -> SubmitResult:
    """Remove a model that no brand is allowed to use."""
    return submit(writer, [RemoveModel(model)], options)


def add_adapter(
    writer: ConfigurationWriter,
    model: ModelName,
    adapter: AdapterName,
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Add an adapter to a model."""
    return submit(writer, [AddAdapter(model, adapter)], options)


def remove_adapter(
    writer: ConfigurationWriter,
    model: ModelName,
    adapter: AdapterName,
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Remove an adapter that no brand is allowed to use."""
    return submit(writer, [RemoveAdapter(model, adapter)], options)


def add_service(
    writer: ConfigurationWriter,
    service: ServiceName,
    repeatable_methods: Iterable[str] = ("GET", "HEAD"),
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Create a plain service, or set its repeatable methods."""
    methods = frozenset(method.upper() for method in repeatable_methods)
    return submit(writer, [AddService(service, methods)], options)


def remove_service(
    writer: ConfigurationWriter, service: ServiceName, options: SubmitOptions = DEFAULT_OPTIONS
) -> SubmitResult:
    """Remove a service that no brand is allowed to call."""
    return submit(writer, [RemoveService(service)], options)


def start_rollout(
    writer: ConfigurationWriter,
    model: ModelName,
    version: WeightVersion,
    options: SubmitOptions = DEFAULT_OPTIONS,
) -> SubmitResult:
    """Set the target weight version of a model; the entry instances carry out the rollout."""
    return submit(writer, [SetWeightTarget(model, version)], options)


def stop_rollout(
    writer: ConfigurationWriter, model: ModelName, options: SubmitOptions = DEFAULT_OPTIONS
) -> SubmitResult:
    """Set the target weight version of a model back to the current one."""
    snapshot = writer.read()
    if model not in snapshot.configuration.models:
        raise InvalidRequestError(f"model {model} does not exist", step="porcelain.stop_rollout")
    current = snapshot.configuration.models[model].current
    base = snapshot.head.revision if options.base is None else options.base
    rebased_options = replace(options, base=base)
    return submit(writer, [SetWeightTarget(model, current)], rebased_options)


def diff(writer: ConfigurationWriter, text: str) -> tuple[Change, ...]:
    """Return the changes that :func:`apply` would submit.

    :param text: contents of a TOML file
    """
    return changes_from_toml(text, read(writer))


def apply(
    writer: ConfigurationWriter, text: str, options: SubmitOptions = DEFAULT_OPTIONS
) -> SubmitResult | None:
    """Submit the changes of a TOML file as one unit.

    :param text: contents of a TOML file
    :returns: the accepted change; None when there is nothing to change
    """
    snapshot = writer.read()
    changes = changes_from_toml(text, snapshot.configuration)
    if not changes:
        return None
    base = snapshot.head.revision if options.base is None else options.base
    if options.change_id is not None and options.base is None:
        base = None
    return submit(writer, changes, replace(options, base=base))


def recover(kvs: KeyValueService, clock: Clock, reason: str) -> Revision:
    """Order the entry instances to replace the accepted head, which they refuse, with their own.

    Needed only after the key-value service was restored from an old state and then changed.

    :param reason: reason for the recovery; not empty
    :returns: revision of the head that will be replaced
    """
    if not reason.strip():
        raise InvalidRequestError("the reason for the recovery is empty", step="porcelain.recover")
    head = ConfigurationWriter(kvs, clock).read().head
    order_recovery(kvs, RecoveryOrder(head.lineage, reason))
    return head.revision


def status(clients: Iterable[EntryClient]) -> tuple[EntryResult, ...]:
    """Request the status of all given entry instances concurrently."""
    return call_all(clients, EntryClient.status)


def drain(clients: Iterable[EntryClient]) -> tuple[EntryResult, ...]:
    """Start the graceful shutdown of entry instances."""
    return call_all(clients, EntryClient.drain)


def report(
    clients: Iterable[EntryClient], configuration: Configuration, clock: Clock
) -> BurnReport:
    """Return the report on service-level burn, merged over entry instances.

    :param clients: entry instances to ask; those that do not answer are reported as missing
    :param configuration: configuration with the objectives
    :param clock: source of the report's time
    """
    results = call_all(clients, EntryClient.burn)
    snapshots = [result.value for result in results if result.error is None]
    missing = [EntryInstanceId(result.address) for result in results if result.error is not None]
    return build_burn_report(snapshots, missing, configuration, clock.wall_ms())
