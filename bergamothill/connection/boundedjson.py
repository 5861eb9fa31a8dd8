"""Decoding of JSON from other processes with a bound on the memory that the values take."""

from __future__ import annotations

import json
from typing import Any

__all__ = ["MAX_ELEMENTS", "load_json"]

MAX_ELEMENTS = 300_000
"""Largest number of values; the smallest ones take up to 30 times the memory of their text."""


def load_json(encoded: bytes) -> Any:
    """Decode a JSON text.

    :raises ValueError: the text is not valid JSON, or has too many values
    :raises RecursionError: it is nested too deeply
    """
    # Each value follows one of these; those inside strings only make the bound stricter.
    elements = sum(encoded.count(mark) for mark in (b",", b"[", b"{"))
    if elements > MAX_ELEMENTS:
        raise ValueError(f"more than {MAX_ELEMENTS} values")
    return json.loads(encoded)
