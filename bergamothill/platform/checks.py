"""Paths that the platform itself asks each entry instance for."""

from __future__ import annotations

__all__ = ["METRICS_PATH", "READINESS_PATH"]

READINESS_PATH = b"/readiness"

METRICS_PATH = b"/metrics"
"""As in ``deploy/system.toml``."""
