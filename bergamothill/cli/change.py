"""Commands that change the configuration."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from bergamothill import porcelain
from bergamothill.cli.base import BaseCommand, ExitCode, UsageError, duration_ms
from bergamothill.ids import ChangeId, Revision
from bergamothill.porcelain import SubmitOptions
from bergamothill.request.auth import key_digest
from bergamothill.version.change import AddKey
from bergamothill.version.plain import to_plain
from bergamothill.version.revision import ConfigurationWriter, SubmitResult, new_change_id

__all__ = ["ChangeCommand", "change_commands", "read_file"]

RunChange = Callable[["ChangeCommand", ConfigurationWriter, SubmitOptions], SubmitResult | None]


def read_file(path: str) -> str:
    """Return the text of a file.

    :raises UsageError: the file cannot be read
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"cannot read file {path}: {error}") from error


class ChangeCommand(BaseCommand):
    """Command that submits a change and prints the revision at which it was accepted.

    :param run_change: function that submits the change
    """

    may_change = True

    change_options = (
        option("change-id", None, "Repeat the change with this id", flag=False),
        option("base", None, "Revision that the change is based on", flag=False),
        option("wait", None, "Wait until each --entry has the revision in force"),
    )

    def __init__(
        self,
        name: str,
        description: str,
        run_change: RunChange,
        arguments: tuple[Argument, ...] = (),
        options: tuple[Option, ...] = (),
    ) -> None:
        self._run_change = run_change
        super().__init__(name, description, arguments, (*options, *self.change_options))

    def run_command(self) -> int:
        """Submit the change, and with ``--wait`` wait until it is in force."""
        clients = self.entries() if self.option("wait") else []
        timeout_ms = self.timeout_ms()
        writer = self.writer()
        accepted = self._run_change(self, writer, self._submit_options(writer))
        if accepted is None:
            self._print_unchanged()
            return ExitCode.OK
        in_force = (
            self._wait_until_in_force(clients, accepted.revision, timeout_ms) if clients else None
        )
        self._print_accepted(accepted, in_force)
        return ExitCode.UNREACHABLE if in_force is False else ExitCode.OK

    def _submit_options(self, writer: ConfigurationWriter) -> SubmitOptions:
        base = self._base_revision()
        change_id = self.option("change-id")
        if change_id:
            return SubmitOptions(ChangeId(change_id), base)
        if base is None:
            base = writer.revision()
        generated_id = new_change_id(base)
        # Printed before the first attempt, so that the id is known however the command ends.
        self.print_progress(f"change id {generated_id}")
        return SubmitOptions(generated_id, base, is_retry=False)

    def _base_revision(self) -> Revision | None:
        text = self.option("base")
        if text is None:
            return None
        if not text.isdecimal():
            raise UsageError(f"--base {text!r} is not a revision")
        return Revision(int(text))

    def _wait_until_in_force(self, clients: list[Any], revision: Revision, timeout_ms: int) -> bool:
        return porcelain.wait_until(
            clients,
            self.clock,
            porcelain.has_revision(revision),
            timeout_ms=timeout_ms,
            on_progress=lambda done, total: self.print_progress(
                f"revision {revision} in force on {done} of {total} entry instances"
            ),
        )

    def _print_unchanged(self) -> None:
        if self.wants_json:
            self.print_json({"revision": None, "changed": False})
        else:
            self.print_text("nothing to change")

    def _print_accepted(self, accepted: SubmitResult, in_force: bool | None) -> None:
        if self.wants_json:
            self.print_json(
                {**to_plain(accepted), **self.extra_fields, "changed": True, "in_force": in_force}
            )
            return
        verb = "had been accepted" if accepted.repeated else "accepted"
        self.print_text(f"change {accepted.change_id} {verb} at revision {accepted.revision}")
        for later in accepted.superseded_by:
            self.print_text(
                f"superseded at revision {later.revision} by {later.change_id}: {later.summary}"
            )
        if in_force is False:
            self.print_progress("not in force on every entry instance within --timeout")


def _argument_command(
    name: str, description: str, function: Callable[..., SubmitResult], *argument_names: str
) -> ChangeCommand:
    """Return a command that passes its arguments to the function in the given order."""

    def run(
        command: ChangeCommand, writer: ConfigurationWriter, options: SubmitOptions
    ) -> SubmitResult:
        values = [command.argument(argument_name) for argument_name in argument_names]
        return function(writer, *values, options=options)

    return ChangeCommand(
        name, description, run, tuple(argument(argument_name) for argument_name in argument_names)
    )


def _parse_value(text: str) -> Any:
    """Return the decoded JSON value, or the text itself when it is not JSON."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def _add_key(
    command: ChangeCommand, writer: ConfigurationWriter, options: SubmitOptions
) -> SubmitResult:
    brand, digest = command.argument("brand"), command.option("key-digest")
    if not digest:
        key = porcelain.new_key()
        digest = key_digest(key)
        command.extra_fields.update(key=key, key_digest=digest)
        command.print_progress(f"key digest {digest}")
        if not command.wants_json:
            command.print_text(f"key {key}")
    return porcelain.submit(writer, [AddKey(brand, digest)], options)


def _add_model(
    command: ChangeCommand, writer: ConfigurationWriter, options: SubmitOptions
) -> SubmitResult:
    model, version = command.argument("model"), command.argument("version")
    return porcelain.add_model(writer, model, version, _parse_bytes_per_token(command), options)


def _set_model(
    command: ChangeCommand, writer: ConfigurationWriter, options: SubmitOptions
) -> SubmitResult:
    model = command.argument("model")
    return porcelain.set_bytes_per_token(writer, model, _parse_bytes_per_token(command), options)


def _parse_bytes_per_token(command: ChangeCommand) -> int:
    text = command.option("bytes-per-token")
    if not text.isdecimal():
        raise UsageError(f"--bytes-per-token {text!r} is not a whole number")
    return int(text)


def _add_service(
    command: ChangeCommand, writer: ConfigurationWriter, options: SubmitOptions
) -> SubmitResult:
    methods = command.option("repeatable") or ("GET", "HEAD")
    return porcelain.add_service(writer, command.argument("service"), methods, options)


def _set_default(
    command: ChangeCommand, writer: ConfigurationWriter, options: SubmitOptions
) -> SubmitResult:
    value = _parse_value(command.argument("value"))
    return porcelain.set_default(writer, command.argument("name"), value, options)


def _set_exception(
    command: ChangeCommand, writer: ConfigurationWriter, options: SubmitOptions
) -> SubmitResult:
    return porcelain.set_exception(
        writer,
        command.argument("brand"),
        command.argument("name"),
        _parse_value(command.argument("value")),
        command.option("reason") or "",
        options,
    )


def _set_warm_time(
    command: ChangeCommand, writer: ConfigurationWriter, options: SubmitOptions
) -> SubmitResult:
    warm_time_ms = duration_ms(command.argument("duration"))
    brand, reason = command.option("brand"), command.option("reason") or ""
    return porcelain.set_warm_time(writer, warm_time_ms, brand, reason, options)


def _apply(
    command: ChangeCommand, writer: ConfigurationWriter, options: SubmitOptions
) -> SubmitResult | None:
    return porcelain.apply(writer, read_file(command.argument("file")), options)


BYTES_PER_TOKEN_OPTION = option(
    "bytes-per-token",
    None,
    "Size of the cached context in bytes per token",
    flag=False,
    default="1000",
)
REASON_OPTION = option("reason", None, "Reason for the exception", flag=False)


def change_commands() -> list[ChangeCommand]:
    """Return the commands that change the configuration."""
    return [
        *_brand_commands(),
        *_model_commands(),
        *_default_commands(),
        ChangeCommand("apply", "Apply a TOML file", _apply, (argument("file"),)),
    ]


def _brand_commands() -> list[ChangeCommand]:
    key_digest_option = option(
        "key-digest", None, "Hexadecimal SHA-256 of an existing key", flag=False
    )
    brand, model = "brand", "model"
    return [
        _argument_command("brand add", "Create a brand", porcelain.add_brand, brand),
        _argument_command("brand remove", "Remove a brand", porcelain.remove_brand, brand),
        ChangeCommand(
            "brand add-key",
            "Generate a bearer key for the brand and print it once",
            _add_key,
            (argument(brand),),
            (key_digest_option,),
        ),
        _argument_command(
            "brand remove-key", "Remove a key", porcelain.remove_key, brand, "digest"
        ),
        _argument_command(
            "brand allow-model",
            "Allow the brand to use a model",
            porcelain.allow_model,
            brand,
            model,
        ),
        _argument_command(
            "brand disallow-model",
            "Withdraw the permission to use a model",
            porcelain.disallow_model,
            brand,
            model,
        ),
        _argument_command(
            "brand allow-adapter",
            "Allow the brand to use an adapter",
            porcelain.allow_adapter,
            brand,
            model,
            "adapter",
        ),
        _argument_command(
            "brand disallow-adapter",
            "Withdraw the permission to use an adapter",
            porcelain.disallow_adapter,
            brand,
            model,
            "adapter",
        ),
        _argument_command(
            "brand allow-service",
            "Allow the brand to call a service",
            porcelain.allow_service,
            brand,
            "service",
        ),
        _argument_command(
            "brand disallow-service",
            "Withdraw the permission to call a service",
            porcelain.disallow_service,
            brand,
            "service",
        ),
    ]


def _model_commands() -> list[ChangeCommand]:
    model, version = argument("model"), argument("version")
    return [
        ChangeCommand(
            "model add", "Create a model", _add_model, (model, version), (BYTES_PER_TOKEN_OPTION,)
        ),
        ChangeCommand(
            "model set", "Change a model", _set_model, (model,), (BYTES_PER_TOKEN_OPTION,)
        ),
        _argument_command("model remove", "Remove a model", porcelain.remove_model, "model"),
        _argument_command(
            "adapter add", "Add an adapter", porcelain.add_adapter, "model", "adapter"
        ),
        _argument_command(
            "adapter remove", "Remove an adapter", porcelain.remove_adapter, "model", "adapter"
        ),
        ChangeCommand(
            "service add",
            "Create a plain service, or set its repeatable methods",
            _add_service,
            (argument("service"),),
            (
                option(
                    "repeatable",
                    None,
                    "HTTP method that is safe to retry; may be given several times",
                    flag=False,
                    multiple=True,
                ),
            ),
        ),
        _argument_command(
            "service remove", "Remove a service", porcelain.remove_service, "service"
        ),
        _argument_command(
            "rollout start",
            "Set the target weight version of a model",
            porcelain.start_rollout,
            "model",
            "version",
        ),
        _argument_command(
            "rollout stop",
            "Set the target weight version back to the current one",
            porcelain.stop_rollout,
            "model",
        ),
    ]


def _default_commands() -> list[ChangeCommand]:
    name, value = argument("name"), argument("value", "JSON value, or text")
    return [
        ChangeCommand("default set", "Set a fleet default", _set_default, (name, value)),
        ChangeCommand(
            "exception set",
            "Set a value for a brand that overrides a default",
            _set_exception,
            (argument("brand"), name, value),
            (REASON_OPTION,),
        ),
        _argument_command(
            "exception remove",
            "Remove an exception, so that the default applies again",
            porcelain.remove_exception,
            "brand",
            "name",
        ),
        ChangeCommand(
            "warm-time",
            "Set how long conversations stay warm, for the fleet or for a brand",
            _set_warm_time,
            (argument("duration", "Such as 30m, 24h or 2d"),),
            (option("brand", None, "Brand that the exception is for", flag=False), REASON_OPTION),
        ),
    ]
