"""Base class of the commands: connections, text and JSON output, exit codes."""

from __future__ import annotations

import json
import os
import re
import tomllib
from enum import IntEnum
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type

from bergamothill import porcelain
from bergamothill.clock import SystemClock
from bergamothill.connection.entry import EntryClient
from bergamothill.connection.kvs import KeyValueService
from bergamothill.errors import (
    BergamothillError,
    Execution,
    PeerTimeoutError,
    PeerUnreachableError,
    UnavailableError,
)
from bergamothill.version.revision import ConfigurationWriter

__all__ = ["BaseCommand", "ExitCode", "UsageError", "duration_ms", "exit_code"]

KVS_VARIABLE = "BERGAMOTHILL_KVS"
OPERATOR_KEY_VARIABLE = "BERGAMOTHILL_OPERATOR_KEY"
DEFAULT_TIMEOUT = "30s"

_DURATION = re.compile(r"^(\d+)(ms|s|m|h|d)$")
_UNIT_MS = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000, "d": 86_400_000}


class ExitCode(IntEnum):
    """Exit codes of the tool."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN_OUTCOME = 4


class UsageError(Exception):
    """The command line is invalid."""


def exit_code(error: BergamothillError, *, may_change: bool) -> ExitCode:
    """Return the exit code of an error.

    :param error: error that ended the command
    :param may_change: whether the command may change state, so that an unknown outcome matters
    """
    if may_change and error.execution is Execution.UNKNOWN:
        return ExitCode.UNKNOWN_OUTCOME
    if isinstance(error, (PeerTimeoutError, PeerUnreachableError, UnavailableError)):
        return ExitCode.UNREACHABLE
    return ExitCode.REFUSED


def duration_ms(text: str) -> int:
    """Return a duration such as ``90s``, ``30m``, ``24h`` or ``2d`` in milliseconds.

    :raises UsageError: the text is not a duration
    """
    match = _DURATION.match(text)
    if not match:
        raise UsageError(f"{text!r} is not a duration; examples: 500ms, 90s, 30m, 24h, 2d")
    return int(match.group(1)) * _UNIT_MS[match.group(2)]


class BaseCommand(Command):
    """Command with the options that all commands share.

    A subclass implements :meth:`run_command`.
    """

    may_change = False

    common_options = (
        option("kvs", None, f"Key-value service, host:port (or {KVS_VARIABLE})", flag=False),
        option("settings", None, "Settings file in TOML with kvs_address", flag=False),
        option("entry", None, "Entry instance, host:port; repeatable", flag=False, multiple=True),
        option(
            "operator-key",
            None,
            f"Operator key (or {OPERATOR_KEY_VARIABLE})",
            flag=False,
        ),
        option(
            "timeout", None, "Timeout of a wait, such as 30s", flag=False, default=DEFAULT_TIMEOUT
        ),
        option("json", None, "Print JSON"),
    )

    def __init__(
        self,
        name: str,
        description: str,
        arguments: tuple[Argument, ...] = (),
        options: tuple[Option, ...] = (),
    ) -> None:
        self.name = name
        self.description = description
        self.arguments = list(arguments)
        self.options = [*options, *self.common_options]
        self.clock = SystemClock()
        self.extra_fields: dict[str, str] = {}
        super().__init__()

    def handle(self) -> int:
        """Run the command and map its errors to exit codes."""
        try:
            return self.run_command()
        except UsageError as error:
            self._print_error("usage", str(error), {})
            return ExitCode.USAGE
        except BergamothillError as error:
            fields = {"step": error.step, "peer": error.peer, "execution": error.execution.value}
            self._print_error(error.code, str(error), fields)
            return exit_code(error, may_change=self.may_change)

    def run_command(self) -> int:
        """Execute the command.

        :returns: exit code
        """
        raise NotImplementedError

    @property
    def wants_json(self) -> bool:
        """Whether output is JSON instead of text."""
        return bool(self.option("json"))

    def kvs(self) -> KeyValueService:
        """Return a client of the key-value service that the command line names."""
        address = (
            self.option("kvs") or self._kvs_address_from_settings() or os.environ.get(KVS_VARIABLE)
        )
        if not address:
            raise UsageError(f"no key-value service given: use --kvs, --settings or {KVS_VARIABLE}")
        return porcelain.open_kvs(address)

    def writer(self) -> ConfigurationWriter:
        """Return a configuration writer on the key-value service."""
        return ConfigurationWriter(self.kvs(), self.clock)

    def entries(self) -> list[EntryClient]:
        """Return clients of the entry instances that the command line names."""
        addresses = self.option("entry")
        if not addresses:
            raise UsageError("no entry instance given: use --entry host:port")
        key = self.option("operator-key") or os.environ.get(OPERATOR_KEY_VARIABLE)
        if not key:
            raise UsageError(
                f"no operator key given: use --operator-key or {OPERATOR_KEY_VARIABLE}"
            )
        return [EntryClient(address, key) for address in addresses]

    def timeout_ms(self) -> int:
        """Return the value of ``--timeout`` in milliseconds."""
        return duration_ms(self.option("timeout"))

    def print_text(self, text: str) -> None:
        """Print text verbatim, so that user data is not interpreted as markup."""
        self.io.write_line(text, type=Type.RAW)

    def print_json(self, value: Any) -> None:
        """Print a value as JSON."""
        self.print_text(json.dumps(value, ensure_ascii=False, indent=2))

    def print_progress(self, text: str) -> None:
        """Print progress to standard error, which keeps it apart from the output."""
        self.io.write_error_line(text, type=Type.RAW)

    def print_table(self, headers: tuple[str, ...], rows: list[tuple[Any, ...]]) -> None:
        """Print rows in aligned columns."""
        lines = [headers, *(tuple(str(cell) for cell in row) for row in rows)]
        widths = [max(len(row[column]) for row in lines) for column in range(len(headers))]
        for row in lines:
            cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
            self.print_text("  ".join(cells).rstrip())

    def _print_error(self, code: str, message: str, fields: dict[str, str]) -> None:
        if self.wants_json:
            self.print_json(
                {"error": {"code": code, "message": message, **fields}, **self.extra_fields}
            )
        else:
            self.print_progress(f"error: {message}")

    def _kvs_address_from_settings(self) -> str | None:
        path = self.option("settings")
        if not path:
            return None
        try:
            values = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        except (OSError, tomllib.TOMLDecodeError) as error:
            raise UsageError(f"cannot read settings file {path}: {error}") from error
        return values.get("kvs_address") or values.get("platform", {}).get("kvs_address")
