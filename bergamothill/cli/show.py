"""Commands that show the accepted configuration."""

from __future__ import annotations

import json
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any

from cleo.helpers import argument, option

from bergamothill import porcelain
from bergamothill.cli.base import BaseCommand, ExitCode, UsageError
from bergamothill.cli.change import read_file
from bergamothill.errors import NotFoundError
from bergamothill.version.changefile import changes_to_plain
from bergamothill.version.plain import to_plain

__all__ = ["show_commands"]

MILLIS_PER_SECOND = 1_000
DEFAULT_LIMIT = "20"


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return value if isinstance(value, str) else json.dumps(value, ensure_ascii=False)


class _ListCommand(BaseCommand):
    """Lists one kind of record.

    :param kind: field of the configuration that holds the records
    :param columns: fields of a record that are printed in text output
    """

    def __init__(self, name: str, kind: str, columns: tuple[str, ...]) -> None:
        self._kind = kind
        self._columns = columns
        super().__init__(name, f"List {kind}")

    def run_command(self) -> int:
        configuration = porcelain.read(self.writer())
        records = [to_plain(record) for record in getattr(configuration, self._kind).values()]
        records.sort(key=lambda record: record["name"])
        if self.wants_json:
            self.print_json({"revision": configuration.revision, self._kind: records})
            return ExitCode.OK
        rows = [
            tuple(_format_value(record[column]) for column in self._columns) for record in records
        ]
        self.print_table(self._columns, rows)
        return ExitCode.OK


class _BrandShowCommand(BaseCommand):
    """Shows one brand."""

    def __init__(self) -> None:
        super().__init__("brand show", "Show a brand", (argument("brand"),))

    def run_command(self) -> int:
        configuration = porcelain.read(self.writer())
        name = self.argument("brand")
        if name not in configuration.brands:
            raise NotFoundError(f"brand {name} does not exist", step="brand.show")
        brand = to_plain(configuration.brands[name])
        if self.wants_json:
            self.print_json({"revision": configuration.revision, "brand": brand})
            return ExitCode.OK
        rows = [
            (field, _format_value(value)) for field, value in brand.items() if field != "exceptions"
        ]
        self.print_table(("field", "value"), rows)
        for default, exception in brand["exceptions"].items():
            value = _format_value(exception["value"])
            self.print_text(f"exception {default} = {value} because {exception['reason']}")
        return ExitCode.OK


class _DefaultListCommand(BaseCommand):
    """Lists the fleet's defaults."""

    def __init__(self) -> None:
        super().__init__("default list", "List the fleet's defaults")

    def run_command(self) -> int:
        configuration = porcelain.read(self.writer())
        defaults = to_plain(configuration.defaults)
        if self.wants_json:
            self.print_json({"revision": configuration.revision, "defaults": defaults})
            return ExitCode.OK
        self.print_table(("default", "value"), list(_flatten(defaults)))
        return ExitCode.OK


class _ExceptionListCommand(BaseCommand):
    """Lists all exceptions with their reasons."""

    def __init__(self) -> None:
        super().__init__("exception list", "List all exceptions with their reasons")

    def run_command(self) -> int:
        configuration = porcelain.read(self.writer())
        rows = [
            (brand.name, name, _format_value(to_plain(exception.value)), exception.reason)
            for brand in configuration.brands.values()
            for name, exception in sorted(brand.exceptions.items())
        ]
        headers = ("brand", "default", "value", "reason")
        if self.wants_json:
            records = [dict(zip(headers, row, strict=True)) for row in rows]
            self.print_json({"revision": configuration.revision, "exceptions": records})
            return ExitCode.OK
        self.print_table(headers, rows)
        return ExitCode.OK


class _HistoryCommand(BaseCommand):
    """Shows the latest accepted changes."""

    def __init__(self) -> None:
        limit = option(
            "limit", None, "Number of changes to show", flag=False, default=DEFAULT_LIMIT
        )
        super().__init__("history", "Show the latest accepted changes", (), (limit,))

    def run_command(self) -> int:
        limit = self.option("limit")
        if not limit.isdecimal():
            raise UsageError(f"--limit {limit!r} is not a whole number")
        changes = porcelain.history(self.writer(), int(limit))
        if self.wants_json:
            self.print_json([to_plain(change) for change in changes])
            return ExitCode.OK
        rows = [
            (
                accepted.revision,
                _format_time(accepted.accepted_wall_ms),
                accepted.change_id,
                accepted.summary,
            )
            for accepted in changes
        ]
        self.print_table(("revision", "accepted", "change id", "change"), rows)
        return ExitCode.OK


class _DiffCommand(BaseCommand):
    """Shows the changes that ``apply`` would make."""

    def __init__(self) -> None:
        super().__init__("diff", "Show what a TOML file would change", (argument("file"),))

    def run_command(self) -> int:
        changes = changes_to_plain(porcelain.diff(self.writer(), read_file(self.argument("file"))))
        if self.wants_json:
            self.print_json(changes)
            return ExitCode.OK
        for change in changes:
            fields = " ".join(f"{k}={_format_value(v)}" for k, v in change.items() if k != "kind")
            self.print_text(f"{change['kind']} {fields}")
        if not changes:
            self.print_text("nothing to change")
        return ExitCode.OK


def _flatten(plain: Mapping[str, Any], prefix: str = "") -> list[tuple[str, str]]:
    rows: list[tuple[str, str]] = []
    for name, value in plain.items():
        if isinstance(value, dict):
            rows += _flatten(value, f"{prefix}{name}.")
        else:
            rows.append((prefix + name, _format_value(value)))
    return rows


def _format_time(wall_ms: int) -> str:
    time = datetime.fromtimestamp(wall_ms / MILLIS_PER_SECOND, tz=UTC)
    return time.isoformat(timespec="seconds")


def show_commands() -> list[BaseCommand]:
    """Return the commands that show the accepted configuration."""
    return [
        _ListCommand("brand list", "brands", ("name", "models", "adapters", "services")),
        _ListCommand(
            "model list", "models", ("name", "current", "target", "adapters", "bytes_per_token")
        ),
        _ListCommand("service list", "services", ("name", "repeatable_methods")),
        _BrandShowCommand(),
        _DefaultListCommand(),
        _ExceptionListCommand(),
        _HistoryCommand(),
        _DiffCommand(),
    ]
