"""Detection of response heads that broke off and are continued by another response."""

from __future__ import annotations

import re

__all__ = ["has_status_line"]

_STATUS_LINE_PATTERN = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9]")


def has_status_line(*texts: bytes) -> bool:
    """Return whether a status line is inside the reason or a value of a response head.

    It shows that the head broke off there, so that status and fields are of two responses.
    """
    return any(_STATUS_LINE_PATTERN.search(text) for text in texts)
