"""Write a copy of a deployment's sheet with scaled counts, bounds and rates and other names.

Benchmarking the copies like the original guards against tuning the product to one deployment. Write
copies to a scratch directory; they are not part of this project.
"""

from __future__ import annotations

import argparse
import json
import tomllib
from pathlib import Path
from typing import Any

SCALED_BOUNDS = ("drain_ms", "config_ms", "touch_ms", "grace_s", "recover_s", "budget_slack")
SCALED_TIMES = ("catch_up_s", "version_ms", "version_all_ms")
SCALED_ENGINE_FIELDS = ("kv_tokens", "step_ms", "prefill_tokens_per_ms", "report_lag_ms", "slots")
INTEGER_FIELDS = ("count", "slots", "conn_cap", "memory_mb", "kv_tokens", "queue")


def scale_sheet(sheet: dict[str, Any], factor: float, name: str) -> dict[str, Any]:
    """Return a scaled copy of a sheet.

    :param sheet: parsed sheet
    :param factor: multiplier of counts and rates, and divisor of bounds
    :param name: name of the new deployment
    """
    changed = _replace_names(
        sheet, {zone["name"]: f"zone-{i}" for i, zone in enumerate(sheet["zones"])}
    )
    changed["name"] = name
    for row in (*changed["machines"], *_server_rows(changed)):
        row["count"] = _round_count(row["count"] * factor)
    for service in changed["services"]:
        _scale_fields(service, ("slots", "conn_cap", "queue"), factor)
        _scale_fields(service.get("llm", {}), SCALED_ENGINE_FIELDS, factor)
    # Bounds are scaled inversely, so that the copy is not merely a larger deployment.
    _scale_fields(changed["bounds"], SCALED_BOUNDS, 1 / factor)
    _scale_fields(changed["timing"], SCALED_TIMES, 1 / factor)
    for traffic in (changed["traffic"], *(day.get("traffic", []) for day in changed["day"])):
        for row in traffic:
            row["per_s"] = row["per_s"] * factor
            row["clients"] = _round_count(row["clients"] * factor)
    return changed


def _server_rows(sheet: dict[str, Any]) -> list[dict[str, Any]]:
    return [row for service in sheet["services"] for row in service["servers"]]


def _scale_fields(table: dict[str, Any], fields: tuple[str, ...], factor: float) -> None:
    for field in fields:
        if field in table:
            value = table[field] * factor
            is_integer = field in INTEGER_FIELDS or isinstance(table[field], int)
            table[field] = _round_count(value) if is_integer else value


def _round_count(value: float) -> int:
    return max(1, round(value))


def _replace_names(value: Any, names: dict[str, str]) -> Any:
    """Replace strings and keys that equal a name, recursively."""
    if isinstance(value, dict):
        return {names.get(key, key): _replace_names(item, names) for key, item in value.items()}
    if isinstance(value, list):
        return [_replace_names(item, names) for item in value]
    return names.get(value, value) if isinstance(value, str) else value


def encode_toml(sheet: dict[str, Any]) -> str:
    """Return a sheet as TOML."""
    tables = {key: value for key, value in sheet.items() if isinstance(value, dict)}
    days = sheet["day"]
    plain = {key: value for key, value in sheet.items() if key not in tables and key != "day"}
    lines = [f"{key} = {_encode_value(value)}" for key, value in plain.items()]
    for key, table in tables.items():
        lines += [
            f"\n[{key}]",
            *(f"{name} = {_encode_value(value)}" for name, value in table.items()),
        ]
    for day in days:
        lines += ["\n[[day]]", *(f"{name} = {_encode_value(value)}" for name, value in day.items())]
    return "\n".join(lines) + "\n"


def _encode_value(value: Any) -> str:
    if isinstance(value, dict):
        return (
            "{ " + ", ".join(f"{key} = {_encode_value(item)}" for key, item in value.items()) + " }"
        )
    if isinstance(value, list):
        return "[" + ", ".join(_encode_value(item) for item in value) + "]"
    return json.dumps(value)


def main() -> None:
    """Write the scaled copy to the target file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sheet", type=Path)
    parser.add_argument("target", type=Path)
    parser.add_argument("--factor", type=float, required=True, help="such as 1.33 or 0.67")
    arguments = parser.parse_args()
    sheet = tomllib.loads(arguments.sheet.read_text())
    name = arguments.target.stem
    arguments.target.write_text(encode_toml(scale_sheet(sheet, arguments.factor, name)))


if __name__ == "__main__":
    main()
