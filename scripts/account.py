"""Report of the worth lost on benchmark days, as text and as an HTML page with plots.

The input is journal entries. Each day's loss is broken down twice: by kind of request and cause,
as shares of requests, and by component of the score, in worth. Given the deployment's sheet, the
report adds a lower bound: the share of each kind that even an idle engine answers late when it has
to prefill only the request's own part.
"""

from __future__ import annotations

import argparse
import json
import random
import re
import tomllib
from collections.abc import Iterable
from dataclasses import dataclass
from html import escape
from pathlib import Path
from typing import Any

FLOOR_SAMPLES = 20_000
BAR_WIDTH = 520
ROW_HEIGHT = 18
COLOURS = {"late": "#d9a441", "refused": "#7f8fa6", "failed": "#c0504d", "prices": "#6a8f5f"}
_ROW = re.compile(
    r"^(?P<kind>[\w-]+) +(?P<asked>\d+) +(?P<timely>\d+) +(?P<late>\d+) +(?P<refused>\d+)"
    r" +(?P<failed>\d+) +(?P<excused>\d+) +(?P<worth>[\d.]+)",
    re.MULTILINE,
)


@dataclass(frozen=True, slots=True)
class KindLoss:
    """Loss of one kind of request, as fractions.

    :param kind: kind of request
    :param lost: fraction of its worth that was lost
    :param refused: fraction of its requests that were refused; None if the entry has no table
    :param failed: fraction of its requests that failed; None if the entry has no table
    """

    kind: str
    lost: float
    refused: float | None = None
    failed: float | None = None

    @property
    def late(self) -> float:
        """Remaining loss: answers that were late or stalled, or lost requests of large worth."""
        return max(0.0, self.lost - (self.refused or 0.0) - (self.failed or 0.0))


@dataclass(frozen=True, slots=True)
class DayAccount:
    """Breakdown of the loss of one day.

    :param deployment: deployment
    :param day: name of the day
    :param worth: worth before the benchmark caps it at its marks
    :param kinds: losses by kind of request
    :param parts: loss by component of the score, in worth, largest first
    :param prices: positive prices, in worth, largest first
    :param floor: fraction of each kind's requests that an idle engine answers late
    """

    deployment: str
    day: str
    worth: float
    kinds: tuple[KindLoss, ...]
    parts: tuple[tuple[str, float], ...]
    prices: tuple[tuple[str, float], ...]
    floor: dict[str, float]


def read_journal_entry(
    journal_entry: dict[str, Any], floor: dict[str, float], kinds: tuple[str, ...]
) -> Iterable[DayAccount]:
    """Return the accounts of the days in a journal entry.

    :param journal_entry: decoded entry
    :param floor: see :class:`DayAccount`
    :param kinds: kinds of request in the order of the sheet, for entries without a table
    """
    days = journal_entry.get("days") or []
    tables = _split_digest(journal_entry.get("digest") or "", [day["name"] for day in days])
    for day in days:
        parts = [(name, weight * (1 - value)) for name, weight, value in day["parts"]]
        prices = [(name, price) for name, _, price in day["prices"] if price > 0]
        yield DayAccount(
            journal_entry["site"],
            day["name"],
            day["G"],
            _kind_losses(day, tables.get(day["name"], ""), kinds),
            tuple(sorted(parts, key=_loss_order)),
            tuple(sorted(prices, key=_loss_order)),
            floor,
        )


def _loss_order(row: tuple[str, float]) -> float:
    return -row[1]


def _split_digest(digest: str, names: list[str]) -> dict[str, str]:
    """Split a digest by day; the tables of a day follow its worth line."""
    blocks = re.split(r"^worth [\d.-]+ = ", digest, flags=re.MULTILINE)[1:]
    tables = (re.split(r"^clients' zone", block, flags=re.MULTILINE)[0] for block in blocks)
    return dict(zip(names, tables, strict=False))


def _kind_losses(day: dict[str, Any], table: str, names: tuple[str, ...]) -> tuple[KindLoss, ...]:
    rows = tuple(_parse_row(match) for match in _ROW.finditer(table))
    if rows:
        return rows
    shares = zip(names, day["by_class"], strict=False)
    return tuple(KindLoss(name, 1 - share) for name, share in shares if share is not None)


def _parse_row(match: re.Match[str]) -> KindLoss:
    counted = max(1, int(match["asked"]) - int(match["excused"]))
    refused, failed = int(match["refused"]) / counted, int(match["failed"]) / counted
    return KindLoss(match["kind"], 1 - float(match["worth"]), refused, failed)


def late_share_floor(sheet: dict[str, Any]) -> dict[str, float]:
    """Estimate by sampling the fraction of each kind of prompt that an idle engine answers late.

    :param sheet: parsed sheet of a deployment
    """
    engines = {row["name"]: row["llm"] for row in sheet["services"] if row.get("model") == "llm"}
    floor = {}
    for row in sheet["classes"]:
        if row["service"] in engines and "stream" in row:
            floor[row["name"]] = _late_share(row, engines[row["service"]])
    return floor


def _late_share(kind: dict[str, Any], engine: dict[str, Any]) -> float:
    rng = random.Random(1)
    prompt_tokens = kind["stream"]["prompt_tokens"]
    sigma = prompt_tokens["spread"]
    late = 0
    for _ in range(FLOOR_SAMPLES):
        tokens = min(
            prompt_tokens["max"],
            prompt_tokens["mean"] * rng.lognormvariate(-sigma * sigma / 2, sigma),
        )
        first_ms = engine["setup_ms"] + engine["first_ms"] + engine["step_ms"]
        late += first_ms + tokens / engine["prefill_tokens_per_ms"] > kind["aim_ms"]
    return late / FLOOR_SAMPLES


def format_text(account: DayAccount) -> str:
    """Format an account as plain text."""
    lines = [f"{account.deployment} {account.day}: worth {account.worth:.3f}"]
    lines.append("  kind                    lost   late refused failed  floor")
    for kind in account.kinds:
        figures = (kind.lost, kind.late, kind.refused, kind.failed, account.floor.get(kind.kind))
        formatted = " ".join("     -" if value is None else f"{value:6.3f}" for value in figures)
        lines.append(f"  {kind.kind:20} {formatted}")
    lines += [f"  {name:44} -{loss:.3f}" for name, loss in account.parts if loss >= 0.001]
    lines += [f"  price: {name:37} -{price:.3f}" for name, price in account.prices[:6]]
    return "\n".join(lines)


def format_page(accounts: list[DayAccount]) -> str:
    """Format accounts as a self-contained HTML page."""
    sections = "\n".join(_section(account) for account in accounts)
    legend = " ".join(
        f'<span style="background:{colour};padding:0 .6em">&nbsp;</span> {name}'
        for name, colour in COLOURS.items()
    )
    return (
        "<!doctype html><meta charset='utf-8'><title>Worth lost by day</title>"
        "<style>body{font:14px sans-serif;margin:2em}h2{margin:1.2em 0 .2em}"
        "text{font:12px sans-serif}</style>"
        f"<h1>Worth lost by day</h1><p>{legend}. Bars of kinds: share of the kind's own worth; "
        f"bars of parts and prices: worth of the day, ten times as long.</p>{sections}"
    )


def _section(account: DayAccount) -> str:
    rows = []
    for kind in account.kinds:
        split = [("late", kind.late), ("refused", kind.refused), ("failed", kind.failed)]
        bars = [(COLOURS[cause], lost or 0.0) for cause, lost in split]
        rows.append((f"{kind.kind} {kind.lost:.3f}", bars))
    for name, loss in account.parts:
        rows.append((f"{name} {loss:.3f}", [("#999", 10 * loss)]))
    for name, price in account.prices[:6]:
        rows.append((f"{name} {price:.3f}", [(COLOURS["prices"], 10 * price)]))
    title = f"{account.deployment} {account.day}: {account.worth:.3f}"
    return f"<h2>{escape(title)}</h2>{_bar_chart(rows)}"


def _bar_chart(rows: list[tuple[str, list[tuple[str, float]]]]) -> str:
    elements = []
    for number, (label, bars) in enumerate(rows):
        top = number * ROW_HEIGHT
        elements.append(f'<text x="0" y="{top + 13}">{escape(label)}</text>')
        left = 300.0
        for colour, share in bars:
            width = min(1.0, share) * BAR_WIDTH
            elements.append(
                f'<rect x="{left:.1f}" y="{top + 2}" width="{width:.1f}" '
                f'height="{ROW_HEIGHT - 5}" fill="{colour}"/>'
            )
            left += width
    size = f'width="{300 + BAR_WIDTH}" height="{len(rows) * ROW_HEIGHT}"'
    return f"<svg {size}>{''.join(elements)}</svg>"


def main() -> None:
    """Print the accounts of the given journal entries and optionally write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("entries", nargs="+", type=Path, help="journal entries")
    parser.add_argument("--sheet", type=Path, help="sheet of the deployment, for the lower bound")
    parser.add_argument("--page", type=Path, help="HTML file to write")
    arguments = parser.parse_args()
    floor: dict[str, float] = {}
    kinds: tuple[str, ...] = ()
    if arguments.sheet is not None:
        sheet = tomllib.loads(arguments.sheet.read_text())
        floor = late_share_floor(sheet)
        kinds = tuple(row["name"] for row in sheet["classes"])
    accounts: list[DayAccount] = []
    for path in arguments.entries:
        accounts += read_journal_entry(json.loads(path.read_text()), floor, kinds)
    print("\n\n".join(format_text(account) for account in accounts))
    if arguments.page is not None:
        arguments.page.write_text(format_page(accounts))


if __name__ == "__main__":
    main()
