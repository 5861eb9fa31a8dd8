"""Structured logging: one line of ``key=value`` pairs for each event."""

from __future__ import annotations

import sys
from typing import Any

import logbook

__all__ = ["EventLog", "install_log_handler"]

_NEEDS_QUOTES = frozenset(' "=\n\r\t')


def format_value(value: Any) -> str:
    """Format a value for a log line; quote and escape it where needed to keep the line parsable."""
    text = str(value)
    if text and not _NEEDS_QUOTES.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


class EventLog:
    """Logger of one component of the process.

    :param part: name of the component, such as ``frontend``
    """

    def __init__(self, part: str) -> None:
        self._logger = logbook.Logger(part)

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event for debugging."""
        self._logger.debug(self._format_line(event, fields))

    def info(self, event: str, **fields: Any) -> None:
        """Log an event of normal operation."""
        self._logger.info(self._format_line(event, fields))

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that an operator should look at."""
        self._logger.warning(self._format_line(event, fields))

    def error(self, event: str, **fields: Any) -> None:
        """Log an event that an operator must act on."""
        self._logger.error(self._format_line(event, fields))

    def _format_line(self, event: str, fields: dict[str, Any]) -> str:
        pairs = [f"event={event}"]
        pairs += [f"{name}={format_value(value)}" for name, value in fields.items()]
        return " ".join(pairs)


def install_log_handler(level: str, entry_id: str) -> None:
    """Send all events of the process to standard error.

    :param level: lowest level that is logged
    :param entry_id: id of this entry instance, included in each line
    """
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.format_string = (
        "ts={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} "
        f"entry={entry_id} part={{record.channel}} {{record.message}}"
    )
    handler.push_application()
