"""Counters and latency histograms of an entry instance, exposed as text."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from bergamothill.process.metrics import MAX_LATENCY_MS, MIN_LATENCY_MS, new_histogram

__all__ = ["GatewayMetrics"]

QUANTILES = (50.0, 90.0, 95.0, 99.0, 100.0)


class GatewayMetrics:
    """Labelled counters and latency histograms."""

    def __init__(self) -> None:
        self._counters: Counter[str] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}
        self._gauges: dict[str, Callable[[], int]] = {}

    def add_gauge(self, name: str, value: Callable[[], int]) -> None:
        """Add a value that is read when the metrics are.

        :param name: name of the gauge
        :param value: returns its value
        """
        self._gauges[name] = value

    def count(self, name: str, **labels: object) -> None:
        """Add one to a counter.

        :param name: name of the counter
        :param labels: labels, each with a bounded set of values
        """
        self._counters[_labelled(name, labels)] += 1

    def observe(self, name: str, latency_ms: int, **labels: object) -> None:
        """Record a latency.

        :param name: name of the histogram
        :param latency_ms: latency in milliseconds
        :param labels: labels, each with a bounded set of values
        """
        key = _labelled(name, labels)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = new_histogram()
        histogram.record_value(min(MAX_LATENCY_MS, max(MIN_LATENCY_MS, latency_ms)))

    def text(self) -> str:
        """Return all metrics as text, one sample per line."""
        lines = [f"bergamothill_{key} {value}" for key, value in sorted(self._counters.items())]
        lines.extend(f"bergamothill_{key} {value()}" for key, value in self._gauges.items())
        for key, histogram in sorted(self._histograms.items()):
            name, _, labels = key.partition("{")
            labels = labels.rstrip("}")
            prefix = f"{labels}," if labels else ""
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile)
                label = f'{prefix}quantile="{quantile / 100:g}"'
                lines.append(f"bergamothill_{name}{{{label}}} {value}")
            lines.append(f"bergamothill_{name}_count{{{labels}}} {histogram.get_total_count()}")
        return "\n".join(lines) + "\n"


def _labelled(name: str, labels: dict[str, object]) -> str:
    if not labels:
        return name
    inner = ",".join(f'{label}="{value}"' for label, value in sorted(labels.items()))
    return f"{name}{{{inner}}}"
