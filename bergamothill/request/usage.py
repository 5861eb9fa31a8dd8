"""Exponentially decaying rates per brand, used by admission to measure demand and work."""

from __future__ import annotations

import math

from bergamothill.ids import BrandName

__all__ = ["DecayingRates"]

MILLIS_PER_SECOND = 1_000


class DecayingRates:
    """Exponentially decaying rates by brand.

    :param time_constant_ms: age at which an amount has decayed to 1/e, in milliseconds
    """

    def __init__(self, time_constant_ms: int) -> None:
        self._time_constant_ms = time_constant_ms
        self._rates: dict[BrandName, tuple[float, int]] = {}
        self._total: tuple[float, int] = (0.0, 0)

    def __contains__(self, brand: BrandName) -> bool:
        return brand in self._rates

    def add(self, brand: BrandName, amount: float, now_ms: int) -> None:
        """Count an amount.

        :param brand: brand
        :param amount: number of requests or tokens
        :param now_ms: current time, in milliseconds
        """
        increment = amount * MILLIS_PER_SECOND / self._time_constant_ms
        self._rates[brand] = (self.rate(brand, now_ms) + increment, now_ms)
        self._total = (self.total(now_ms) + increment, now_ms)

    def rate(self, brand: BrandName, now_ms: int) -> float:
        """Return a brand's amount per second.

        :param brand: brand
        :param now_ms: current time, in milliseconds
        """
        return self._decayed(self._rates.get(brand, (0.0, now_ms)), now_ms)

    def total(self, now_ms: int) -> float:
        """Return the amount per second of all brands together.

        :param now_ms: current time, in milliseconds
        """
        return self._decayed(self._total, now_ms)

    def all_rates(self, now_ms: int) -> dict[BrandName, float]:
        """Return the amount per second of each brand in the table.

        :param now_ms: current time, in milliseconds
        """
        return {brand: self.rate(brand, now_ms) for brand in self._rates}

    def remove_below(self, min_rate: float, now_ms: int) -> None:
        """Remove brands whose rate has decayed, so that idle brands use no memory.

        :param min_rate: lowest rate to keep
        :param now_ms: current time, in milliseconds
        """
        kept = {b: r for b, r in self._rates.items() if self.rate(b, now_ms) >= min_rate}
        self._rates = kept

    def _decayed(self, rate: tuple[float, int], now_ms: int) -> float:
        value, at_ms = rate
        return value * math.exp(-max(0, now_ms - at_ms) / self._time_constant_ms)
