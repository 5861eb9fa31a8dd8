"""Logs: one line of key=value pairs for each event."""

from __future__ import annotations

import sys
from typing import Any

import logbook

__all__ = ["EventLog", "install_log_handler"]

_NEEDS_QUOTES = frozenset(' "=\n\r\t')


def format_value(value: Any) -> str:
    """Return a value as it stands in a log line; quoted where it would break the line."""
    text = str(value)
    if text and not _NEEDS_QUOTES.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


class EventLog:
    """Logger of one part of the process.

    :param part: name of the part, such as ``frontend``
    """

    def __init__(self, part: str) -> None:
        self._logger = logbook.Logger(part)

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event that only a developer asks for."""
        self._logger.debug(self._line(event, fields))

    def info(self, event: str, **fields: Any) -> None:
        """Log an ordinary event."""
        self._logger.info(self._line(event, fields))

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that an operator should look at."""
        self._logger.warning(self._line(event, fields))

    def error(self, event: str, **fields: Any) -> None:
        """Log an event that an operator must act on."""
        self._logger.error(self._line(event, fields))

    def _line(self, event: str, fields: dict[str, Any]) -> str:
        pairs = [f"event={event}"]
        pairs += [f"{name}={format_value(value)}" for name, value in fields.items()]
        return " ".join(pairs)


def install_log_handler(level: str, entry_id: str) -> None:
    """Send all events of the process to standard error.

    :param level: least severe level that is logged
    :param entry_id: name of this instance, put into each line
    """
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.format_string = (
        "ts={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} "
        f"entry={entry_id} part={{record.channel}} {{record.message}}"
    )
    handler.push_application()
