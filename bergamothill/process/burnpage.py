"""SLO burn rates as a self-contained HTML page with inline SVG plots."""

from __future__ import annotations

from datetime import UTC, datetime
from html import escape

from bergamothill.process.burn import Alert, BurnLine, BurnReport

__all__ = ["render_html"]

PLOT_WIDTH = 360
PLOT_HEIGHT = 60
PLOT_SPAN_MS = 6 * 3_600_000
MIN_Y_MAX = 2.0
MILLIS_PER_SECOND = 1_000
STYLE = (
    "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}"
    "td,th{padding:.3em .7em;border-bottom:1px solid #ddd;text-align:right}"
    "td:nth-child(-n+3),th:nth-child(-n+3){text-align:left}"
    ".fast{background:#f8d0d0}.slow{background:#fbeec5}.missing{color:#a00}"
    "svg{background:#fafafa}"
)
HEADINGS = ("brand", "zone", "objective", "5 min", "1 h", "6 h", "3 d", "budget left", "p95 ms")


def render_html(report: BurnReport) -> str:
    """Return a report as an HTML page that loads no external resources.

    :param report: report to render
    """
    taken = datetime.fromtimestamp(report.taken_ms / MILLIS_PER_SECOND, tz=UTC)
    headings = "".join(f"<th>{heading}</th>" for heading in (*HEADINGS, "alert", "burn, last 6 h"))
    rows = "\n".join(_row(line, report.taken_ms) for line in report.lines)
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>Service-level burn</title><style>{STYLE}</style></head><body>"
        f"<h1>Service-level burn</h1><p>{taken.isoformat(timespec='seconds')}, "
        f"{len(report.entries)} entry instances</p>{_missing(report)}"
        f"<table><tr>{headings}</tr>\n{rows}\n</table></body></html>\n"
    )


def _missing(report: BurnReport) -> str:
    if not report.missing:
        return ""
    names = escape(", ".join(report.missing))
    return f'<p class="missing">Missing from this report: {names}</p>'


def _row(line: BurnLine, taken_ms: int) -> str:
    cells = [escape(line.brand), escape(line.zone), line.objective.value]
    cells += [f"{window.burn:.2f}" for window in line.windows]
    cells += [f"{line.budget_left:.1%}", str(line.ttft_p95_ms), line.alert.value]
    class_attribute = "" if line.alert is Alert.NONE else f' class="{line.alert.value}"'
    cell_html = "".join(f"<td>{cell}</td>" for cell in cells)
    return f"<tr{class_attribute}>{cell_html}<td>{_plot(line, taken_ms)}</td></tr>"


def _plot(line: BurnLine, taken_ms: int) -> str:
    """Return an SVG plot of the burn rate over time, with a horizontal line at 1."""
    y_max = max([MIN_Y_MAX, *(point.burn for point in line.points)])
    from_ms = taken_ms - PLOT_SPAN_MS
    coordinates = " ".join(
        f"{max(0, point.start_ms - from_ms) * PLOT_WIDTH / PLOT_SPAN_MS:.1f},"
        f"{PLOT_HEIGHT * (1 - min(point.burn, y_max) / y_max):.1f}"
        for point in line.points
    )
    line_y = PLOT_HEIGHT * (1 - 1 / y_max)
    markers = "".join(
        f'<circle cx="{pair.split(",")[0]}" cy="{pair.split(",")[1]}" r="2" fill="#225"/>'
        for pair in coordinates.split()
    )
    return (
        f'<svg width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}" role="img">'
        f'<line x1="0" x2="{PLOT_WIDTH}" y1="{line_y:.1f}" y2="{line_y:.1f}" stroke="#c66"/>'
        f'<polyline points="{coordinates}" fill="none" stroke="#225"/>{markers}'
        f'<text x="4" y="12" font-size="10">{y_max:.1f}</text></svg>'
    )
