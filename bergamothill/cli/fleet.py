"""Commands for the running fleet: status, drain, report, rollout status, recover."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

from cleo.helpers import argument, option

from bergamothill import porcelain
from bergamothill.cli.base import BaseCommand, ExitCode, exit_code
from bergamothill.connection.entry import EntryResult, EntryStatus
from bergamothill.errors import PeerUnreachableError
from bergamothill.process.burn import render_json, render_text
from bergamothill.process.burnpage import render_html
from bergamothill.version.plain import to_plain

__all__ = ["fleet_commands"]

ROLLOUT_POLL_INTERVAL_MS = 500


def _result_to_plain(result: EntryResult) -> dict[str, Any]:
    if result.error is not None:
        return {"address": result.address, "error": str(result.error)}
    return {"address": result.address, **(to_plain(result.value) or {})}


def _worst_exit_code(results: Iterable[EntryResult], *, may_change: bool) -> int:
    errors = (result.error for result in results if result.error is not None)
    codes = (exit_code(error, may_change=may_change) for error in errors)
    return max(codes, default=ExitCode.OK)


class _StatusCommand(BaseCommand):
    """Shows the entry instances and the servers, stores and leases that they report."""

    def __init__(self) -> None:
        super().__init__("status", "Show entry instances, servers, leases and stores")

    def run_command(self) -> int:
        results = porcelain.status(self.entries())
        if self.wants_json:
            self.print_json([_result_to_plain(result) for result in results])
        else:
            self._print(results)
        return _worst_exit_code(results, may_change=False)

    def _print(self, results: tuple[EntryResult, ...]) -> None:
        statuses = [result.value for result in results if result.value is not None]
        latest_revision = max((status.revision for status in statuses), default=0)
        self.print_table(
            ("address", "entry", "zone", "revision", "age ms", "state", "peers"),
            [self._status_row(result, latest_revision) for result in results],
        )
        for kind, field in (("server", "servers"), ("store", "stores"), ("lease", "leases")):
            self._print_items(kind, field, statuses)

    def _status_row(self, result: EntryResult, latest_revision: int) -> tuple[Any, ...]:
        if result.error is not None:
            return (result.address, "-", "-", "-", "-", f"error: {result.error.message}", "-")
        status: EntryStatus = result.value
        state = "draining" if status.draining else "serving"
        if status.revision < latest_revision:
            state += f", {latest_revision - status.revision} revisions behind"
        if not status.kvs_reachable:
            state += ", key-value service unreachable"
        if status.refused_revision:
            state += f", refuses revision {status.refused_revision}: {status.refused_reason}"
        age = "never" if status.configuration_age_ms is None else status.configuration_age_ms
        peers = len(status.peers)
        return (result.address, status.entry, status.zone, status.revision, age, state, peers)

    def _print_items(self, kind: str, field: str, statuses: list[EntryStatus]) -> None:
        """Print each distinct item once, with the entry instances that report it."""
        reporters: dict[str, list[str]] = {}
        for status in statuses:
            for item in getattr(status, field):
                reporters.setdefault(_format_item(item), []).append(status.entry)
        for text, entries in sorted(reporters.items()):
            self.print_text(f"{kind} {text} seen by {','.join(sorted(entries))}")


def _format_item(item: Any) -> str:
    if isinstance(item, Mapping):
        return " ".join(f"{name}={value}" for name, value in item.items())
    return str(item)


class _DrainCommand(BaseCommand):
    """Starts the graceful shutdown of entry instances."""

    may_change = True

    def __init__(self) -> None:
        wait = option("wait", None, "Wait until the entry instances have stopped")
        super().__init__("drain", "Start the graceful shutdown of each --entry", (), (wait,))

    def run_command(self) -> int:
        clients = self.entries()
        timeout_ms = self.timeout_ms()
        results = porcelain.drain(clients)
        stopped = self._wait_until_stopped(clients, timeout_ms) if self.option("wait") else None
        if self.wants_json:
            entries = [_result_to_plain(result) for result in results]
            self.print_json({"entries": entries, "stopped": stopped})
        else:
            for result in results:
                outcome = "draining" if result.error is None else f"error: {result.error}"
                self.print_text(f"{result.address} {outcome}")
        return max(
            _worst_exit_code(results, may_change=True), ExitCode.UNREACHABLE * (stopped is False)
        )

    def _wait_until_stopped(self, clients: list[Any], timeout_ms: int) -> bool:
        return porcelain.wait_until(
            clients,
            self.clock,
            lambda result: isinstance(result.error, PeerUnreachableError),
            timeout_ms=timeout_ms,
            on_progress=lambda done, total: self.print_progress(
                f"{done} of {total} entry instances have stopped"
            ),
        )


class _ReportCommand(BaseCommand):
    """Shows the SLO burn-rate report, and optionally writes it as an HTML page."""

    def __init__(self) -> None:
        html = option("html", None, "Also write an HTML page with plots to this file", flag=False)
        super().__init__("report burn", "Show the SLO burn-rate report", (), (html,))

    def run_command(self) -> int:
        configuration = porcelain.read(self.writer())
        report = porcelain.report(self.entries(), configuration, self.clock)
        if self.option("html"):
            Path(self.option("html")).write_text(render_html(report), encoding="utf-8")
        self.print_text(render_json(report) if self.wants_json else render_text(report))
        return ExitCode.UNREACHABLE if report.missing else ExitCode.OK


class _RolloutStatusCommand(BaseCommand):
    """Shows the rollouts in progress."""

    def __init__(self) -> None:
        wait = option("wait", None, "Wait until no rollout is in progress")
        super().__init__("rollout status", "Show the rollouts in progress", (), (wait,))

    def run_command(self) -> int:
        writer = self.writer()
        deadline_ms = self.clock.now_ms() + self.timeout_ms()
        printed_lines: list[str] | None = None
        while True:
            models = porcelain.read(writer).models.values()
            in_progress = [model for model in models if model.current != model.target]
            lines = [f"{model.name} {model.current} -> {model.target}" for model in in_progress]
            if not self.option("wait") or not in_progress or self.clock.now_ms() >= deadline_ms:
                break
            if lines != printed_lines:
                self.print_progress(f"rollouts in progress: {'; '.join(lines)}")
                printed_lines = lines
            self.clock.sleep_ms(ROLLOUT_POLL_INTERVAL_MS)
        if self.wants_json:
            self.print_json([to_plain(model) for model in in_progress])
        else:
            self.print_text("\n".join(lines) or "no rollout is in progress")
        return ExitCode.UNREACHABLE if self.option("wait") and in_progress else ExitCode.OK


class _RecoverCommand(BaseCommand):
    """Instructs the entry instances to replace a diverged configuration with their own."""

    may_change = True

    def __init__(self) -> None:
        super().__init__(
            "recover",
            "Replace a stored configuration that the entry instances refuse with the one in force",
            (argument("reason"),),
        )

    def run_command(self) -> int:
        revision = porcelain.recover(self.kvs(), self.clock, self.argument("reason"))
        if self.wants_json:
            self.print_json({"replaced_revision": revision})
        else:
            self.print_text(
                f"revision {revision} will be replaced by the configuration of the entry instances"
            )
        return ExitCode.OK


def fleet_commands() -> list[BaseCommand]:
    """Return the commands for the running fleet."""
    return [
        _StatusCommand(),
        _DrainCommand(),
        _ReportCommand(),
        _RolloutStatusCommand(),
        _RecoverCommand(),
    ]
