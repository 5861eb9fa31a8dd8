"""HTTP paths that the platform requests from each entry instance."""

from __future__ import annotations

__all__ = ["METRICS_PATH", "READINESS_PATH"]

READINESS_PATH = b"/readiness"

METRICS_PATH = b"/metrics"
"""Must match the path in the setting ``metrics`` of ``deploy/system.toml``."""
