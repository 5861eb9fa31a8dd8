"""Write a scratch copy of a deployment's sheet with counts, bounds, rates and names changed.

Nothing may be fitted to one deployment: the days of such copies are played like those of the
original. The copy is for a scratch directory; it is not part of this project.
"""

from __future__ import annotations

import argparse
import json
import tomllib
from pathlib import Path
from typing import Any

SCALED_BOUNDS = ("drain_ms", "config_ms", "touch_ms", "grace_s", "recover_s", "budget_slack")
SCALED_TIMES = ("catch_up_s", "version_ms", "version_all_ms")
SCALED_ENGINE = ("kv_tokens", "step_ms", "prefill_tokens_per_ms", "report_lag_ms", "slots")
WHOLE_FIELDS = ("count", "slots", "conn_cap", "memory_mb", "kv_tokens", "queue")


def change(site: dict[str, Any], factor: float, name: str) -> dict[str, Any]:
    """Return a changed copy of a sheet.

    :param site: parsed sheet
    :param factor: what counts, bounds and rates are multiplied with
    :param name: name of the new deployment
    """
    changed = _rename(site, {zone["name"]: f"zone-{i}" for i, zone in enumerate(site["zones"])})
    changed["name"] = name
    for row in (*changed["machines"], *_server_rows(changed)):
        row["count"] = _whole(row["count"] * factor)
    for service in changed["services"]:
        _scale(service, ("slots", "conn_cap", "queue"), factor)
        _scale(service.get("llm", {}), SCALED_ENGINE, factor)
    # Bounds go the other way than rates, so that a copy is not merely larger.
    _scale(changed["bounds"], SCALED_BOUNDS, 1 / factor)
    _scale(changed["timing"], SCALED_TIMES, 1 / factor)
    for traffic in (changed["traffic"], *(day.get("traffic", []) for day in changed["day"])):
        for row in traffic:
            row["per_s"] = row["per_s"] * factor
            row["clients"] = _whole(row["clients"] * factor)
    return changed


def _server_rows(site: dict[str, Any]) -> list[dict[str, Any]]:
    return [row for service in site["services"] for row in service["servers"]]


def _scale(table: dict[str, Any], fields: tuple[str, ...], factor: float) -> None:
    for field in fields:
        if field in table:
            value = table[field] * factor
            is_whole = field in WHOLE_FIELDS or isinstance(table[field], int)
            table[field] = _whole(value) if is_whole else value


def _whole(value: float) -> int:
    return max(1, round(value))


def _rename(value: Any, names: dict[str, str]) -> Any:
    """Replace whole texts, and keys, by their new names."""
    if isinstance(value, dict):
        return {names.get(key, key): _rename(item, names) for key, item in value.items()}
    if isinstance(value, list):
        return [_rename(item, names) for item in value]
    return names.get(value, value) if isinstance(value, str) else value


def encode(site: dict[str, Any]) -> str:
    """Return a sheet as TOML."""
    tables = {key: value for key, value in site.items() if isinstance(value, dict)}
    days = site["day"]
    plain = {key: value for key, value in site.items() if key not in tables and key != "day"}
    lines = [f"{key} = {_value(value)}" for key, value in plain.items()]
    for key, table in tables.items():
        lines += [f"\n[{key}]", *(f"{name} = {_value(value)}" for name, value in table.items())]
    for day in days:
        lines += ["\n[[day]]", *(f"{name} = {_value(value)}" for name, value in day.items())]
    return "\n".join(lines) + "\n"


def _value(value: Any) -> str:
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {_value(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(_value(item) for item in value) + "]"
    return json.dumps(value)


def main() -> None:
    """Parse the command line and write the copy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sheet", type=Path)
    parser.add_argument("target", type=Path)
    parser.add_argument("--factor", type=float, required=True, help="such as 1.33 or 0.67")
    arguments = parser.parse_args()
    site = tomllib.loads(arguments.sheet.read_text())
    name = arguments.target.stem
    arguments.target.write_text(encode(change(site, arguments.factor, name)))


if __name__ == "__main__":
    main()
