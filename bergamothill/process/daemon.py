"""Program ``bergamothilld``: one entry instance."""

from __future__ import annotations

import argparse
import signal
import sys
from collections.abc import Sequence

from bergamothill.clock import SystemClock
from bergamothill.errors import SettingsError
from bergamothill.logs import EventLog, install_log_handler
from bergamothill.process.entry import EntryInstance
from bergamothill.process.settings import Settings, load_settings

__all__ = ["main"]

EXIT_OK = 0
EXIT_SETTINGS = 2

_log = EventLog("daemon")


def main(argv: Sequence[str] | None = None) -> int:
    """Run an entry instance until it is told to stop.

    :param argv: command-line arguments; None takes those of the process
    :returns: process exit code; 2 when the settings are invalid
    """
    parser = argparse.ArgumentParser(prog="bergamothilld", description=__doc__)
    parser.add_argument("settings", help="settings file (TOML)")
    parser.add_argument("--check", action="store_true", help="check the settings and end")
    arguments = parser.parse_args(argv)
    try:
        settings = load_settings(arguments.settings)
    except ExceptionGroup as group:
        _print_faults(group)
        return EXIT_SETTINGS
    if arguments.check:
        print(f"{arguments.settings}: ok")
        return EXIT_OK
    return _serve(settings)


def _print_faults(group: ExceptionGroup) -> None:
    for fault in group.exceptions:
        if isinstance(fault, SettingsError):
            print(f"settings fault: {fault.message}", file=sys.stderr)


def _serve(settings: Settings) -> int:
    install_log_handler(settings.log_level, settings.entry_id)
    entry = EntryInstance(settings, SystemClock())
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: entry.start_drain())
    entry.start()
    _log.info("started", zone=settings.zone, listen_address=settings.listen_address)
    entry.run_until_drained()
    _log.info("stopped")
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
