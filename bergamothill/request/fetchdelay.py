"""Estimates the extra delay of fetches from each source; does no I/O and reads no clock.

The transfer estimates only use the size of a transfer and the nominal speed of the links. A slow
or congested link between engines and stores shows only in late first tokens, from which the extra
delay is learned.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

__all__ = ["FetchDelays"]

SLOW_SAMPLES_NEEDED = 3
"""Number of consecutive late fetches needed, as a busy engine also delays single fetches."""

SAMPLE_TTL_MS = 1_500
"""Age at which a sample is ignored, so that a slow source is soon tried again."""

BIAS_WEIGHT = 0.1
"""Weight of the newest prompt without a fetch in the moving average of the estimation error."""


class FetchDelays:
    """Delays of fetches beyond their estimate, by source."""

    def __init__(self) -> None:
        self._samples: dict[str, deque[tuple[int, float]]] = {}
        self._bias_ms = 0.0

    def record_first_token(
        self, sources: Iterable[str], took_ms: int, expected_ms: float, now_ms: int
    ) -> None:
        """Record the time to a first token.

        :param sources: addresses that parts of the prompt were fetched from; empty for none
        :param took_ms: time from the request to its first token, in milliseconds
        :param expected_ms: estimate of that time, including the fetches, in milliseconds
        :param now_ms: current time, in milliseconds
        """
        excess_ms = took_ms - expected_ms
        used = {source for source in sources if source}
        if not used:
            self._bias_ms += BIAS_WEIGHT * (excess_ms - self._bias_ms)
        for source in used:
            samples = self._samples.setdefault(source, deque(maxlen=SLOW_SAMPLES_NEEDED))
            samples.append((now_ms, max(0.0, excess_ms - self._bias_ms)))

    def expected(self, source: str, now_ms: int) -> float:
        """Return the expected extra delay of a fetch from a source, in milliseconds."""
        recent = [
            delay_ms
            for at_ms, delay_ms in self._samples.get(source, ())
            if now_ms - at_ms < SAMPLE_TTL_MS
        ]
        return min(recent) if len(recent) == SLOW_SAMPLES_NEEDED else 0.0

    def retain_sources(self, sources: Iterable[str]) -> None:
        """Discard the samples of all other sources."""
        kept = set(sources)
        self._samples = {source: s for source, s in self._samples.items() if source in kept}
