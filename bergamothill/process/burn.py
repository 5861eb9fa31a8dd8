"""Service-level burn: objectives, error budget and alerts, merged over the entry instances."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from enum import Enum

from hdrh.histogram import HdrHistogram

from bergamothill.ids import BrandName, EntryInstanceId, ZoneName
from bergamothill.process.metrics import BUCKET_MS, MetricRow, MetricSnapshot, new_histogram
from bergamothill.version.config import Configuration, Objectives

__all__ = [
    "Alert",
    "BurnLine",
    "BurnPoint",
    "BurnReport",
    "BurnWindow",
    "ObjectiveKind",
    "collect",
    "render_json",
    "render_text",
]

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
WINDOWS_MS = (5 * MINUTE_MS, HOUR_MS, 6 * HOUR_MS, 72 * HOUR_MS)
FAST_BURN = 14.4
SLOW_BURN = 6.0
REACHABLE_PART = 0.9
LEAST_BUDGET = 1e-6
ALL_BRANDS = BrandName("*")
ALL_ZONES = ZoneName("*")


class ObjectiveKind(Enum):
    """What an objective bounds."""

    FIRST_TOKEN = "first_token"
    RECOMPUTED = "recomputed"
    ANSWERED = "answered"


class Alert(Enum):
    """How soon an operator has to act."""

    NONE = "none"
    SLOW = "slow"
    FAST = "fast"


@dataclass(frozen=True, slots=True)
class BurnWindow:
    """Burn over one window.

    :param window_ms: length of the window that ends now
    :param bad: amount that broke the objective, in requests or tokens
    :param total: whole amount
    :param burn: rate at which the error budget is used; 1 uses it up exactly
    """

    window_ms: int
    bad: int
    total: int
    burn: float


@dataclass(frozen=True, slots=True)
class BurnPoint:
    """Burn in one span of time, for plots.

    :param start_ms: start of the span, in milliseconds since the epoch
    :param burn: burn in the span
    """

    start_ms: int
    burn: float


@dataclass(frozen=True, slots=True)
class BurnLine:
    """One objective of one brand in one zone; ``*`` stands for all.

    :param brand: brand
    :param zone: availability zone
    :param objective: what the objective bounds
    :param budget: share that may break the objective
    :param budget_left: part of the budget left over the longest window; below 0 when overdrawn
    :param alert: alert that the windows raise
    :param windows: burn by window, shortest first
    :param ttft_p95_ms: time to first token at the 95th percentile of the longest window
    :param points: burn by span of the last six hours
    """

    brand: BrandName
    zone: ZoneName
    objective: ObjectiveKind
    budget: float
    budget_left: float
    alert: Alert
    windows: tuple[BurnWindow, ...]
    ttft_p95_ms: int
    points: tuple[BurnPoint, ...]


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Burn of the whole fleet.

    :param taken_ms: when, in milliseconds since the epoch
    :param entries: entry instances that the report covers
    :param missing: entry instances that it lacks
    :param covered_from_ms: instant from which all covered entry instances recorded
    :param lines: objectives by brand and zone
    """

    taken_ms: int
    entries: tuple[EntryInstanceId, ...]
    missing: tuple[EntryInstanceId, ...]
    covered_from_ms: int
    lines: tuple[BurnLine, ...]


def collect(
    snapshots: Iterable[MetricSnapshot],
    expected: Iterable[EntryInstanceId],
    configuration: Configuration,
    now_ms: int,
) -> BurnReport:
    """Merge snapshots into a report.

    :param snapshots: one of each entry instance that answered
    :param expected: entry instances that should be in the report
    :param configuration: source of the objectives
    :param now_ms: end of the windows, in milliseconds since the epoch
    """
    latest: dict[EntryInstanceId, MetricSnapshot] = {}
    for snapshot in snapshots:
        known = latest.get(snapshot.entry)
        if known is None or known.taken_ms < snapshot.taken_ms:
            latest[snapshot.entry] = snapshot
    groups = _group(row for snapshot in latest.values() for row in snapshot.rows)
    lines = [
        _line(brand, zone, kind, rows, configuration, now_ms)
        for (brand, zone), rows in sorted(groups.items())
        for kind in ObjectiveKind
    ]
    return BurnReport(
        taken_ms=now_ms,
        entries=tuple(sorted(latest)),
        missing=tuple(sorted(set(expected) - set(latest))),
        covered_from_ms=max((each.since_ms for each in latest.values()), default=now_ms),
        lines=tuple(lines),
    )


def render_json(report: BurnReport) -> str:
    """Return a report as JSON for programs.

    :param report: what to render
    """
    return json.dumps(asdict(report), default=lambda value: value.value, indent=2)


def render_text(report: BurnReport) -> str:
    """Return a report as lines for people.

    :param report: what to render
    """
    lines = [f"service-level burn of {len(report.entries)} entry instances"]
    if report.missing:
        lines.append(f"missing from this report: {', '.join(report.missing)}")
    heads = " ".join(f"{_span(window):>7}" for window in WINDOWS_MS)
    lines.append(
        f"{'brand':20} {'zone':12} {'objective':12} {heads} {'left':>7} {'p95 ms':>7} alert"
    )
    for line in report.lines:
        burns = " ".join(f"{window.burn:7.2f}" for window in line.windows)
        lines.append(
            f"{line.brand:20} {line.zone:12} {line.objective.value:12} {burns}"
            f" {line.budget_left:7.1%} {line.ttft_p95_ms:7d} {line.alert.value}"
        )
    return "\n".join(lines)


Group = dict[tuple[BrandName, ZoneName], list[MetricRow]]


def _group(rows: Iterable[MetricRow]) -> Group:
    """Sort rows by brand and zone, each also into the sums over brands and over zones."""
    groups: Group = {}
    for row in rows:
        for key in (
            (row.brand, row.zone),
            (row.brand, ALL_ZONES),
            (ALL_BRANDS, row.zone),
            (ALL_BRANDS, ALL_ZONES),
        ):
            groups.setdefault(key, []).append(row)
    return groups


def _line(
    brand: BrandName,
    zone: ZoneName,
    kind: ObjectiveKind,
    rows: Sequence[MetricRow],
    configuration: Configuration,
    now_ms: int,
) -> BurnLine:
    objectives = configuration.value_for(brand, "objectives")
    budget = _budget(kind, objectives)
    counted = [(row, *_count(kind, row, objectives)) for row in rows]
    windows = tuple(_window(window_ms, counted, budget, now_ms) for window_ms in WINDOWS_MS)
    return BurnLine(
        brand=brand,
        zone=zone,
        objective=kind,
        budget=budget,
        budget_left=1 - windows[-1].burn,
        alert=_alert(windows, budget),
        windows=windows,
        ttft_p95_ms=round(_merge(rows).get_value_at_percentile(95)),
        points=_points(counted, budget, now_ms),
    )


Counted = Sequence[tuple[MetricRow, int, int]]


def _count(kind: ObjectiveKind, row: MetricRow, objectives: Objectives) -> tuple[int, int]:
    """Return what broke the objective, and the whole."""
    if kind is ObjectiveKind.RECOMPUTED:
        return row.recomputed_tokens, row.returning_tokens
    if kind is ObjectiveKind.ANSWERED:
        return row.requests - row.answered, row.requests
    histogram = HdrHistogram.decode(row.ttft_histogram.encode())
    late = sum(
        item.count_added_in_this_iter_step
        for item in histogram.get_recorded_iterator()
        if histogram.get_lowest_equivalent_value(item.value_iterated_to) > objectives.ttft_ms
    )
    return late, histogram.total_count


def _budget(kind: ObjectiveKind, objectives: Objectives) -> float:
    if kind is ObjectiveKind.RECOMPUTED:
        return objectives.recomputed_share
    if kind is ObjectiveKind.ANSWERED:
        return 1 - objectives.answered_share
    return 1 - objectives.ttft_share


def _window(window_ms: int, counted: Counted, budget: float, now_ms: int) -> BurnWindow:
    from_ms = now_ms - window_ms
    inside = [each for each in counted if each[0].start_ms + each[0].length_ms > from_ms]
    bad = sum(each[1] for each in inside)
    total = sum(each[2] for each in inside)
    return BurnWindow(window_ms, bad, total, _burn(bad, total, budget))


def _burn(bad: int, total: int, budget: float) -> float:
    if not total or not bad:
        return 0.0
    return bad / total / max(budget, LEAST_BUDGET)


def _alert(windows: Sequence[BurnWindow], budget: float) -> Alert:
    """Ask two windows each: the long one shows that it matters, the short one that it goes on."""
    most = REACHABLE_PART / max(budget, LEAST_BUDGET)
    short, hour, six_hours, three_days = (window.burn for window in windows)
    if min(short, hour) >= min(FAST_BURN, most):
        return Alert.FAST
    if min(hour, six_hours) >= min(SLOW_BURN, most) or min(six_hours, three_days) >= 1:
        return Alert.SLOW
    return Alert.NONE


def _merge(rows: Iterable[MetricRow]) -> HdrHistogram:
    merged = new_histogram()
    for row in rows:
        merged.decode_and_add(row.ttft_histogram.encode())
    return merged


def _points(counted: Counted, budget: float, now_ms: int) -> tuple[BurnPoint, ...]:
    spans: dict[int, tuple[int, int]] = {}
    for row, bad, total in counted:
        if row.length_ms != BUCKET_MS or row.start_ms <= now_ms - 6 * HOUR_MS:
            continue
        known = spans.get(row.start_ms, (0, 0))
        spans[row.start_ms] = (known[0] + bad, known[1] + total)
    return tuple(
        BurnPoint(start_ms, _burn(bad, total, budget))
        for start_ms, (bad, total) in sorted(spans.items())
    )


def _span(window_ms: int) -> str:
    hours = window_ms // HOUR_MS
    if not hours:
        return f"{window_ms // MINUTE_MS}min"
    return f"{hours}h" if hours < 24 else f"{hours // 24}d"
