"""Entry point of the command-line tool."""

from __future__ import annotations

import sys

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.input import Input
from cleo.io.outputs.output import Output

from bergamothill import __version__
from bergamothill.cli.base import ExitCode
from bergamothill.cli.change import change_commands
from bergamothill.cli.fleet import fleet_commands
from bergamothill.cli.show import show_commands

__all__ = ["build_application", "main", "run"]


def build_application() -> Application:
    """Return the application with all commands."""
    application = Application("bergamothill", __version__)
    for command in (*show_commands(), *change_commands(), *fleet_commands()):
        application.add(command)
    application.auto_exits(False)
    application.catch_exceptions(False)
    return application


def run(
    arguments: Input | None = None, output: Output | None = None, error_output: Output | None = None
) -> int:
    """Run a command line.

    :param arguments: command line; taken from the process when omitted
    :param output: destination of the output; standard output when omitted
    :param error_output: destination of errors and progress; standard error when omitted
    :returns: exit code; 2 when the command line is invalid
    """
    try:
        return build_application().run(arguments, output, error_output)
    except CleoError as error:
        print(f"error: {error}", file=sys.stderr)
        return ExitCode.USAGE


def main() -> int:
    """Run the command line of the process.

    :returns: exit code
    """
    return run()


if __name__ == "__main__":
    sys.exit(main())
