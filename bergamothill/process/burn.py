"""SLO burn rates: objectives, error budgets and alerts, merged over all entry instances."""

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
    "build_burn_report",
    "render_json",
    "render_text",
]

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
WINDOWS_MS = (5 * MINUTE_MS, HOUR_MS, 6 * HOUR_MS, 72 * HOUR_MS)
FAST_BURN = 14.4
SLOW_BURN = 6.0
MAX_BURN_SHARE = 0.9  # caps thresholds at this share of 1 / budget, the highest burn rate
MIN_BUDGET = 1e-6
ALL_BRANDS = BrandName("*")
ALL_ZONES = ZoneName("*")


class ObjectiveKind(Enum):
    """Quantity that an objective limits."""

    FIRST_TOKEN = "first_token"
    RECOMPUTED = "recomputed"
    ANSWERED = "answered"


class Alert(Enum):
    """Severity of an alert."""

    NONE = "none"
    SLOW = "slow"
    FAST = "fast"


@dataclass(frozen=True, slots=True)
class BurnWindow:
    """Burn rate over one window.

    :param window_ms: length of the window, which ends at the time of the report
    :param bad: number of requests or tokens that missed the objective
    :param total: number of all requests or tokens
    :param burn: burn rate; 1 uses up exactly the whole error budget
    """

    window_ms: int
    bad: int
    total: int
    burn: float


@dataclass(frozen=True, slots=True)
class BurnPoint:
    """Burn rate in one time bucket, for plots.

    :param start_ms: start of the bucket, in milliseconds since the epoch
    :param burn: burn rate in the bucket
    """

    start_ms: int
    burn: float


@dataclass(frozen=True, slots=True)
class BurnLine:
    """One objective of one brand in one zone; ``*`` means all brands or zones.

    :param brand: brand
    :param zone: availability zone
    :param objective: quantity that the objective limits
    :param budget: error budget, as the share that may miss the objective
    :param budget_left: remaining part of the budget over the longest window; below 0 if overspent
    :param alert: alert raised by the windows
    :param windows: burn rates by window, shortest first
    :param ttft_p95_ms: 95th percentile of the time to first token over the longest window
    :param points: burn rates by bucket of the last six hours
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
    """Burn rates of the whole fleet.

    :param taken_ms: time of the report, in milliseconds since the epoch
    :param entries: entry instances included in the report
    :param missing: expected entry instances without a snapshot
    :param covered_from_ms: time since which all included entry instances have been recording
    :param lines: objectives by brand and zone
    """

    taken_ms: int
    entries: tuple[EntryInstanceId, ...]
    missing: tuple[EntryInstanceId, ...]
    covered_from_ms: int
    lines: tuple[BurnLine, ...]


def build_burn_report(
    snapshots: Iterable[MetricSnapshot],
    expected: Iterable[EntryInstanceId],
    configuration: Configuration,
    now_ms: int,
) -> BurnReport:
    """Merge snapshots into a report.

    :param snapshots: snapshots of the entry instances that answered
    :param expected: entry instances that should be in the report
    :param configuration: source of the objectives
    :param now_ms: end of the windows, in milliseconds since the epoch
    """
    latest: dict[EntryInstanceId, MetricSnapshot] = {}
    for snapshot in snapshots:
        previous = latest.get(snapshot.entry)
        if previous is None or previous.taken_ms < snapshot.taken_ms:
            latest[snapshot.entry] = snapshot
    groups = _group_by_brand_and_zone(row for snapshot in latest.values() for row in snapshot.rows)
    lines = [
        _burn_line(brand, zone, kind, rows, configuration, now_ms)
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
    """Return a report as JSON, for programs.

    :param report: report to render
    """
    return json.dumps(asdict(report), default=lambda value: value.value, indent=2)


def render_text(report: BurnReport) -> str:
    """Return a report as a plain text table.

    :param report: report to render
    """
    lines = [f"service-level burn of {len(report.entries)} entry instances"]
    if report.missing:
        lines.append(f"missing from this report: {', '.join(report.missing)}")
    headings = " ".join(f"{_format_window(window):>7}" for window in WINDOWS_MS)
    lines.append(
        f"{'brand':20} {'zone':12} {'objective':12} {headings} {'left':>7} {'p95 ms':>7} alert"
    )
    for line in report.lines:
        burns = " ".join(f"{window.burn:7.2f}" for window in line.windows)
        lines.append(
            f"{line.brand:20} {line.zone:12} {line.objective.value:12} {burns}"
            f" {line.budget_left:7.1%} {line.ttft_p95_ms:7d} {line.alert.value}"
        )
    return "\n".join(lines)


RowsByBrandAndZone = dict[tuple[BrandName, ZoneName], list[MetricRow]]


def _group_by_brand_and_zone(rows: Iterable[MetricRow]) -> RowsByBrandAndZone:
    """Group rows by brand and zone; each row also counts for all brands and for all zones."""
    groups: RowsByBrandAndZone = {}
    for row in rows:
        for key in (
            (row.brand, row.zone),
            (row.brand, ALL_ZONES),
            (ALL_BRANDS, row.zone),
            (ALL_BRANDS, ALL_ZONES),
        ):
            groups.setdefault(key, []).append(row)
    return groups


def _burn_line(
    brand: BrandName,
    zone: ZoneName,
    kind: ObjectiveKind,
    rows: Sequence[MetricRow],
    configuration: Configuration,
    now_ms: int,
) -> BurnLine:
    objectives = configuration.value_for(brand, "objectives")
    budget = _error_budget(kind, objectives)
    counted = [(row, *_count_bad_and_total(kind, row, objectives)) for row in rows]
    windows = tuple(_burn_window(window_ms, counted, budget, now_ms) for window_ms in WINDOWS_MS)
    return BurnLine(
        brand=brand,
        zone=zone,
        objective=kind,
        budget=budget,
        budget_left=1 - windows[-1].burn,
        alert=_alert_level(windows, budget),
        windows=windows,
        ttft_p95_ms=round(_merge_ttft_histograms(rows).get_value_at_percentile(95)),
        points=_burn_points(counted, budget, now_ms),
    )


CountedRows = Sequence[tuple[MetricRow, int, int]]


def _count_bad_and_total(
    kind: ObjectiveKind, row: MetricRow, objectives: Objectives
) -> tuple[int, int]:
    """Return how much of a row missed the objective, and its total."""
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


def _error_budget(kind: ObjectiveKind, objectives: Objectives) -> float:
    if kind is ObjectiveKind.RECOMPUTED:
        return objectives.recomputed_share
    if kind is ObjectiveKind.ANSWERED:
        return 1 - objectives.answered_share
    return 1 - objectives.ttft_share


def _burn_window(window_ms: int, counted: CountedRows, budget: float, now_ms: int) -> BurnWindow:
    from_ms = now_ms - window_ms
    inside = [each for each in counted if each[0].start_ms + each[0].length_ms > from_ms]
    bad = sum(each[1] for each in inside)
    total = sum(each[2] for each in inside)
    return BurnWindow(window_ms, bad, total, _burn_rate(bad, total, budget))


def _burn_rate(bad: int, total: int, budget: float) -> float:
    if not total or not bad:
        return 0.0
    return bad / total / max(budget, MIN_BUDGET)


def _alert_level(windows: Sequence[BurnWindow], budget: float) -> Alert:
    """Return the alert level; each level requires a long and a short window above its threshold.

    The long window shows that the burn is significant, the short one that it is still going on.
    """
    max_threshold = MAX_BURN_SHARE / max(budget, MIN_BUDGET)
    short, hour, six_hours, three_days = (window.burn for window in windows)
    if min(short, hour) >= min(FAST_BURN, max_threshold):
        return Alert.FAST
    if min(hour, six_hours) >= min(SLOW_BURN, max_threshold) or min(six_hours, three_days) >= 1:
        return Alert.SLOW
    return Alert.NONE


def _merge_ttft_histograms(rows: Iterable[MetricRow]) -> HdrHistogram:
    merged = new_histogram()
    for row in rows:
        merged.decode_and_add(row.ttft_histogram.encode())
    return merged


def _burn_points(counted: CountedRows, budget: float, now_ms: int) -> tuple[BurnPoint, ...]:
    buckets: dict[int, tuple[int, int]] = {}
    for row, bad, total in counted:
        if row.length_ms != BUCKET_MS or row.start_ms <= now_ms - 6 * HOUR_MS:
            continue
        sums = buckets.get(row.start_ms, (0, 0))
        buckets[row.start_ms] = (sums[0] + bad, sums[1] + total)
    return tuple(
        BurnPoint(start_ms, _burn_rate(bad, total, budget))
        for start_ms, (bad, total) in sorted(buckets.items())
    )


def _format_window(window_ms: int) -> str:
    hours = window_ms // HOUR_MS
    if not hours:
        return f"{window_ms // MINUTE_MS}min"
    return f"{hours}h" if hours < 24 else f"{hours // 24}d"
