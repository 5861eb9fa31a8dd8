"""Metrics of one entry instance: statsd counters, and latency histograms per brand and zone."""

from __future__ import annotations

import json
import re
import threading
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from typing import Protocol

from hdrh.histogram import HdrHistogram

from bergamothill.clock import Clock
from bergamothill.errors import ProtocolError
from bergamothill.ids import BrandName, EntryInstanceId, ZoneName

__all__ = [
    "BUCKET_MS",
    "MetricRow",
    "MetricSnapshot",
    "Recorder",
    "StatsdMetrics",
    "StatsdSink",
    "decode_snapshot",
    "encode_snapshot",
    "new_histogram",
]

MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 600_000
SIGNIFICANT_DIGITS = 2
BUCKET_MS = 300_000
HOUR_MS = 3_600_000
FINE_RETENTION_MS = 6 * HOUR_MS
RETENTION_MS = 72 * HOUR_MS
UNSAFE_IN_LABEL = re.compile(r"[^A-Za-z0-9_-]")


class StatsdSink(Protocol):
    """Methods of a statsd client that are used here."""

    def incr(self, stat: str, count: int = 1) -> object:
        """Add to a counter."""

    def timing(self, stat: str, delta: float) -> object:
        """Report a duration in milliseconds."""

    def gauge(self, stat: str, value: float) -> object:
        """Report the value of a gauge."""


class StatsdMetrics:
    """Sends metrics named ``<name>.zone.<zone>.brand.<brand>``.

    :param sink: statsd client
    :param zone: availability zone of this entry instance
    """

    def __init__(self, sink: StatsdSink, zone: ZoneName) -> None:
        self._sink = sink
        self._zone = zone

    def incr(self, name: str, brand: BrandName | None = None, count: int = 1) -> None:
        """Add to a counter.

        :param name: dotted name of the metric
        :param brand: brand label; None for no label
        :param count: amount
        """
        self._sink.incr(self._metric_name(name, brand), count)

    def timing(self, name: str, duration_ms: float, brand: BrandName | None = None) -> None:
        """Report a duration.

        :param name: dotted name of the metric
        :param duration_ms: duration in milliseconds
        :param brand: brand label; None for no label
        """
        self._sink.timing(self._metric_name(name, brand), duration_ms)

    def gauge(self, name: str, value: float, brand: BrandName | None = None) -> None:
        """Report the value of a gauge.

        :param name: dotted name of the metric
        :param value: current value
        :param brand: brand label; None for no label
        """
        self._sink.gauge(self._metric_name(name, brand), value)

    def _metric_name(self, name: str, brand: BrandName | None) -> str:
        full_name = f"{name}.zone.{UNSAFE_IN_LABEL.sub('_', self._zone)}"
        if brand is None:
            return full_name
        return f"{full_name}.brand.{UNSAFE_IN_LABEL.sub('_', brand)}"


@dataclass(frozen=True, slots=True)
class MetricRow:
    """Requests of one brand in one zone in one time bucket.

    :param brand: brand
    :param zone: availability zone
    :param start_ms: start of the bucket, in milliseconds since the epoch
    :param length_ms: length of the bucket
    :param requests: requests that ended
    :param answered: requests whose answer was delivered completely
    :param returning_tokens: prompt tokens whose context had been computed before
    :param recomputed_tokens: returning tokens that were computed again
    :param ttft_histogram: encoded histogram of times to first token, in milliseconds
    """

    brand: BrandName
    zone: ZoneName
    start_ms: int
    length_ms: int
    requests: int
    answered: int
    returning_tokens: int
    recomputed_tokens: int
    ttft_histogram: str


@dataclass(frozen=True, slots=True)
class MetricSnapshot:
    """Metrics recorded by one entry instance.

    :param entry: entry instance
    :param taken_ms: time of the snapshot, in milliseconds since the epoch
    :param since_ms: start of the recording, in milliseconds since the epoch
    :param rows: recorded buckets
    """

    entry: EntryInstanceId
    taken_ms: int
    since_ms: int
    rows: tuple[MetricRow, ...]


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in milliseconds."""
    return HdrHistogram(MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)


def encode_snapshot(snapshot: MetricSnapshot) -> bytes:
    """Return a snapshot as JSON.

    :param snapshot: snapshot to encode
    """
    return json.dumps(asdict(snapshot), separators=(",", ":")).encode()


def decode_snapshot(encoded: bytes) -> MetricSnapshot:
    """Return the snapshot that :func:`encode_snapshot` encoded.

    :param encoded: JSON text
    :raises ProtocolError: the text is not a snapshot
    """
    try:
        values = json.loads(encoded)
        rows = tuple(MetricRow(**row) for row in values.pop("rows"))
        return MetricSnapshot(rows=rows, **values)
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise ProtocolError(f"not a metric snapshot: {error}", step="burn.decode") from error


BrandZone = tuple[BrandName, ZoneName]


@dataclass(slots=True)
class _Counts:
    requests: int = 0
    answered: int = 0
    returning_tokens: int = 0
    recomputed_tokens: int = 0
    ttft: HdrHistogram = field(default_factory=new_histogram)

    def add(self, row: MetricRow) -> None:
        self.requests += row.requests
        self.answered += row.answered
        self.returning_tokens += row.returning_tokens
        self.recomputed_tokens += row.recomputed_tokens
        self.ttft.decode_and_add(row.ttft_histogram.encode())

    def row(self, key: BrandZone, start_ms: int, length_ms: int) -> MetricRow:
        return MetricRow(
            brand=key[0],
            zone=key[1],
            start_ms=start_ms,
            length_ms=length_ms,
            requests=self.requests,
            answered=self.answered,
            returning_tokens=self.returning_tokens,
            recomputed_tokens=self.recomputed_tokens,
            ttft_histogram=self.ttft.encode().decode(),
        )


class Recorder:
    """Records the requests of one entry instance in five-minute buckets, later merged into hours.

    Closed buckets are stored encoded, since most histograms are nearly empty.

    :param entry: this entry instance
    :param clock: source of time
    """

    def __init__(self, entry: EntryInstanceId, clock: Clock) -> None:
        self._entry = entry
        self._clock = clock
        self._since_ms = clock.wall_ms()
        self._lock = threading.Lock()
        self._current: dict[BrandZone, _Counts] = {}
        self._current_start_ms = _round_down(self._since_ms, BUCKET_MS)
        self._closed_rows: list[MetricRow] = []

    def record_request(
        self,
        brand: BrandName,
        zone: ZoneName,
        ttft_ms: int | None,
        recomputed_tokens: int,
        returning_tokens: int,
        answered: bool,
    ) -> None:
        """Record a finished request.

        :param brand: brand of the request
        :param zone: availability zone of this entry instance
        :param ttft_ms: time to first token, in milliseconds; None if no token was sent
        :param recomputed_tokens: returning tokens that were computed again
        :param returning_tokens: prompt tokens whose context had been computed before
        :param answered: whether the answer was delivered completely
        """
        with self._lock:
            self._rotate_buckets()
            counts = self._current.setdefault((brand, zone), _Counts())
            counts.requests += 1
            counts.answered += int(answered)
            counts.returning_tokens += returning_tokens
            counts.recomputed_tokens += recomputed_tokens
            if ttft_ms is not None:
                counts.ttft.record_value(min(MAX_LATENCY_MS, max(MIN_LATENCY_MS, ttft_ms)))

    def snapshot(self) -> MetricSnapshot:
        """Return everything recorded so far."""
        with self._lock:
            self._rotate_buckets()
            rows = (*self._closed_rows, *self._current_rows())
            return MetricSnapshot(self._entry, self._clock.wall_ms(), self._since_ms, rows)

    def merge_snapshot(self, snapshot: MetricSnapshot) -> None:
        """Add the records of a stopping entry instance.

        :param snapshot: its last snapshot; must be merged only once
        """
        with self._lock:
            self._rotate_buckets()
            self._closed_rows.extend(snapshot.rows)
            self._since_ms = min(self._since_ms, snapshot.since_ms)

    def _rotate_buckets(self) -> None:
        now_ms = self._clock.wall_ms()
        start_ms = _round_down(now_ms, BUCKET_MS)
        if start_ms == self._current_start_ms:
            return
        self._closed_rows.extend(self._current_rows())
        self._current = {}
        self._current_start_ms = start_ms
        self._closed_rows = _compact(self._closed_rows, now_ms)

    def _current_rows(self) -> list[MetricRow]:
        return [
            counts.row(key, self._current_start_ms, BUCKET_MS)
            for key, counts in self._current.items()
        ]


def _round_down(time_ms: int, length_ms: int) -> int:
    return time_ms - time_ms % length_ms


def _compact(rows: Iterable[MetricRow], now_ms: int) -> list[MetricRow]:
    """Merge old buckets into hourly ones and drop those older than the longest window."""
    kept: list[MetricRow] = []
    hours: dict[tuple[BrandZone, int], _Counts] = {}
    for row in rows:
        end_ms = row.start_ms + row.length_ms
        if end_ms <= now_ms - RETENTION_MS:
            continue
        if row.length_ms == HOUR_MS or end_ms > now_ms - FINE_RETENTION_MS:
            kept.append(row)
            continue
        key = ((row.brand, row.zone), _round_down(row.start_ms, HOUR_MS))
        hours.setdefault(key, _Counts()).add(row)
    merged = (counts.row(key, start_ms, HOUR_MS) for (key, start_ms), counts in hours.items())
    return [*kept, *merged]
