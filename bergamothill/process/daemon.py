"""Program ``bergamothilld``: runs one entry instance, standalone or on the deployment platform."""

from __future__ import annotations

import argparse
import os
import signal
import sys
from collections.abc import Sequence

from bergamothill.clock import SystemClock
from bergamothill.errors import SettingsError
from bergamothill.logs import EventLog, install_log_handler
from bergamothill.platform.settings import (
    SETTINGS_VARIABLE,
    is_node_settings,
    load_node_settings,
)
from bergamothill.process.nodesettings import NodeSettings
from bergamothill.process.settings import Settings, load_settings

__all__ = ["main"]

EXIT_OK = 0
EXIT_SETTINGS = 2

_log = EventLog("daemon")


def main(argv: Sequence[str] | None = None) -> int:
    """Run an entry instance until it is stopped by a signal.

    :param argv: command-line arguments; defaults to those of the process
    :returns: process exit code; 2 when the settings are invalid
    """
    parser = argparse.ArgumentParser(prog="bergamothilld", description=__doc__)
    parser.add_argument(
        "settings",
        nargs="?",
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f"settings file (TOML); defaults to the value of {SETTINGS_VARIABLE}",
    )
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    arguments = parser.parse_args(argv)
    if arguments.settings is None:
        parser.error(f"no settings file given and {SETTINGS_VARIABLE} is not set")
    try:
        settings = _load(arguments.settings)
    except ExceptionGroup as group:
        _print_faults(group)
        return EXIT_SETTINGS
    if arguments.check:
        print(f"{arguments.settings}: ok")
        return EXIT_OK
    if isinstance(settings, NodeSettings):
        return _serve_on_platform(settings, arguments.settings)
    return _serve_standalone(settings)


def _load(path: str) -> Settings | NodeSettings:
    return load_node_settings(path) if is_node_settings(path) else load_settings(path)


def _serve_on_platform(settings: NodeSettings, path: str) -> int:
    # The two modes share few modules; each imports only its own, because memory use is billed.
    from bergamothill.process.nodemain import serve

    serve(settings, path)
    return EXIT_OK


def _print_faults(group: ExceptionGroup) -> None:
    for fault in group.exceptions:
        if isinstance(fault, SettingsError):
            print(f"settings fault: {fault.message}", file=sys.stderr)


def _serve_standalone(settings: Settings) -> int:
    from bergamothill.process.entry import EntryInstance

    install_log_handler(settings.log_level, settings.entry_id)
    entry = EntryInstance(settings, SystemClock())
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: entry.start_drain())
    entry.start()
    _log.info("started", zone=settings.zone, listen_address=settings.listen_address)
    entry.run_until_drained()
    _log.info("stopped")
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
