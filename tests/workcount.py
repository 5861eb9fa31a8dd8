"""Counts the work of a call by the lines that it executes, whatever the machine and its load."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def count_lines(call: Callable[[], Any]) -> int:
    """Return the number of lines that a call executes in this repository's Python code."""
    count = 0

    def trace(_frame: FrameType, event: str, _argument: Any) -> Any:
        nonlocal count
        if event == "line":
            count += 1
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count
