"""Builders of test data."""

from __future__ import annotations

from bergamothill.request.auth import key_digest

OPERATOR_KEY = "operator-key"
SHARED_SECRET = "a shared secret of the tests"


def settings_text(**changes: object) -> str:
    """Return a settings file as TOML, with some values changed."""
    values = {
        "id": "entry-1",
        "zone": "nz-north-a",
        "listen_address": "127.0.0.1:18080",
        "peer_address": "127.0.0.1:18081",
        "kvs_address": "127.0.0.1:18082",
        "instance_list_address": "127.0.0.1:18083",
        "weight_store_address": "127.0.0.1:18084",
        "shared_secret": SHARED_SECRET,
        "operator_key_digest": key_digest(OPERATOR_KEY),
        **changes,
    }
    sections = {
        "entry": ("id", "zone", "listen_address", "peer_address"),
        "platform": ("kvs_address", "instance_list_address", "weight_store_address"),
        "security": ("shared_secret", "operator_key_digest"),
    }
    lines: list[str] = []
    for section, keys in sections.items():
        lines.append(f"[{section}]")
        lines += [f'{key} = "{values[key]}"' for key in keys]
    return "\n".join(lines) + "\n"
