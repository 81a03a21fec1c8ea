"""Forecast of the request rates of each service's callers by region.

Shares of regions change slowly, and reported rates are old: they are averaged over
2 s, and reports between regions take 1 to 3 s. Rates are therefore extrapolated by
their trend. What a rate may do by chance is no trend: it is taken off first, so that
a few requests a second don't move traffic to and fro.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from plantainloft_node.placement.demand import AVERAGING_S

__all__ = ['DemandForecast', 'ExpectedDemand']

# Rates are forecast for this time after they are known: reports take 1 to 3 s, and
# shares need some updates to follow.
LEAD_S = 3.0
# Averaging time of the rates that the newest are compared with. A shorter time finds
# noise, a longer one still finds a trend when the slope of a wave (9 s) is over.
TREND_S = 4.0
# A rate is extrapolated by at most this fraction: a sudden move of callers is over
# within seconds, and its slope must not be continued beyond that.
MAX_CHANGE = 0.5
# Demand that was there may return. Its peak decays over about the period of a wave: shares
# that follow a wave down are too slow to follow it up again (0.15 of the requests in 4 s).
PEAK_DECAY_S = 40.0
# After a service's first request, reports of all regions take this long to arrive.
# Until then, regions that have not reported would count as idle.
SETTLING_S = 3.0
# A service without reports is forgotten when its demand is below this (requests a second).
NEGLIGIBLE_RATE = 0.01


class ExpectedDemand(NamedTuple):
    """Expected requests a second of a region's callers, and the peak they may return to."""

    rate: float
    peak_rate: float


NO_DEMAND = ExpectedDemand(0.0, 0.0)


class _RateSeries:
    """Trend and peak of one rate."""

    def __init__(self) -> None:
        self._average: float | None = None
        self.expected = NO_DEMAND

    def update(self, rate: float, elapsed_s: float) -> None:
        """Add the newest rate, ``elapsed_s`` seconds after the one before it."""
        average = rate if self._average is None else self._average
        average += min(1.0, elapsed_s / TREND_S) * (rate - average)
        self._average = average
        expected = max(0.0, rate + _expected_change(rate, average))
        decayed = self.expected.peak_rate * math.exp(-elapsed_s / PEAK_DECAY_S)
        self.expected = ExpectedDemand(expected, max(expected, decayed))


class DemandForecast:
    """Expected demand of every service and region, from the series of reported rates."""

    def __init__(self) -> None:
        self._series_by_service: dict[str, dict[str, _RateSeries]] = {}
        self._first_demand_at_by_service: dict[str, float] = {}
        self._updated_at: float | None = None

    def update(self, demand_by_region: Mapping[str, Mapping[str, float]], now: float) -> None:
        """Add the reported rates (requests a second), by service and then by region.

        A region that is no longer reported counts as having no demand.
        """
        elapsed_s = 0.0 if self._updated_at is None else max(0.0, now - self._updated_at)
        self._updated_at = now
        services = demand_by_region.keys() | self._series_by_service.keys()
        for service in services:
            rates = demand_by_region.get(service, {})
            self._update_service(service, rates, elapsed_s)
            if any(rates.values()):
                self._first_demand_at_by_service.setdefault(service, now)

    def has_had_demand(self, service: str) -> bool:
        """Return whether any request to ``service`` has been reported."""
        return service in self._first_demand_at_by_service

    def expected(self, service: str, region: str) -> ExpectedDemand | None:
        """Return the expected demand of a region's callers; ``None`` if still unknown."""
        first_at = self._first_demand_at_by_service.get(service)
        if first_at is None or self._updated_at is None or self._updated_at - first_at < SETTLING_S:
            return None
        series = self._series_by_service.get(service, {}).get(region)
        return NO_DEMAND if series is None else series.expected

    def regions(self, service: str) -> list[str]:
        """Return the regions that have reported demand for ``service``."""
        return list(self._series_by_service.get(service, ()))

    def _update_service(self, service: str, rates: Mapping[str, float], elapsed_s: float) -> None:
        series = self._series_by_service.setdefault(service, {})
        regions = rates.keys() | series.keys()
        for region in regions:
            series.setdefault(region, _RateSeries()).update(rates.get(region, 0.0), elapsed_s)
        if not rates and not _has_demand(series.values()):
            self._series_by_service.pop(service)
            self._first_demand_at_by_service.pop(service, None)


def _expected_change(rate: float, average: float) -> float:
    """Return by how much ``rate`` will have changed after ``LEAD_S``.

    ``average`` is its mean over ``TREND_S``; while a rate changes steadily, it is that
    much behind. One standard deviation of a rate that is counted over ``AVERAGING_S`` is
    taken off the difference.
    """
    noise = math.sqrt(max(0.0, average) / (2 * AVERAGING_S))
    difference = rate - average
    trend = math.copysign(max(0.0, abs(difference) - noise), difference)
    limit = MAX_CHANGE * rate
    return max(-limit, min(limit, trend * LEAD_S / TREND_S))


def _has_demand(series: Iterable[_RateSeries]) -> bool:
    return any(one.expected.peak_rate >= NEGLIGIBLE_RATE for one in series)
