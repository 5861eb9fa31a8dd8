"""Learns from first tokens how long fetches from each source are held up; no I/O and no clock.

Estimates of a transfer count its size and the links' rates. A link that is slow, or full of the
transfers of others, shows only in when the first token comes. It answers the load of slow and
crowded links between engines and stores.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

__all__ = ["FetchDelays"]

SAMPLES = 3
"""So many fetches in a row have to be late, since a busy engine delays some of them as well."""

SAMPLE_LIFE_MS = 1_500
"""Age at which a sample counts no more, so that a source is soon tried again."""

BIAS_WEIGHT = 0.1
"""Weight of the newest prompt without a fetch in the usual error of expectations."""


class FetchDelays:
    """Delays of fetches beyond what is expected of them, by source."""

    def __init__(self) -> None:
        self._samples: dict[str, deque[tuple[int, float]]] = {}
        self._bias_ms = 0.0

    def first_token(
        self, sources: Iterable[str], took_ms: int, expected_ms: float, now_ms: int
    ) -> None:
        """Learn from a first token.

        :param sources: addresses that the prompt's context was fetched from; empty for none
        :param took_ms: time from the request to its first token
        :param expected_ms: what was expected of it, its fetches included
        :param now_ms: current time, in milliseconds
        """
        excess_ms = took_ms - expected_ms
        used = {source for source in sources if source}
        if not used:
            self._bias_ms += BIAS_WEIGHT * (excess_ms - self._bias_ms)
        for source in used:
            samples = self._samples.setdefault(source, deque(maxlen=SAMPLES))
            samples.append((now_ms, max(0.0, excess_ms - self._bias_ms)))

    def expected(self, source: str, now_ms: int) -> float:
        """Return by how much longer a fetch from a source takes than its size tells, in ms."""
        recent = [
            delay_ms
            for at_ms, delay_ms in self._samples.get(source, ())
            if now_ms - at_ms < SAMPLE_LIFE_MS
        ]
        return min(recent) if len(recent) == SAMPLES else 0.0

    def keep(self, sources: Iterable[str]) -> None:
        """Forget all other sources."""
        kept = set(sources)
        self._samples = {source: s for source, s in self._samples.items() if source in kept}
