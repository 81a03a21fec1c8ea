"""Requests a second by service: this instance's, and all instances'."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ['DemandMeter', 'RegionDemand', 'demand_by_region']

# Time over which the rate is averaged: long against the spread of single
# requests (20 in it at 10 a second), short against a wave of traffic.
AVERAGE_S = 2.0


class RegionDemand(NamedTuple):
    """One instance's requests a second by service, and its region."""

    region: str
    rate_by_service: Mapping[str, float]


class DemandMeter:
    """Counts requests and averages their rate at each ``tick``."""

    def __init__(self) -> None:
        self._count_by_service: dict[str, int] = {}
        self.rate_by_service: dict[str, float] = {}

    def note(self, service: str) -> None:
        """Count one request."""
        self._count_by_service[service] = self._count_by_service.get(service, 0) + 1

    def tick(self, passed_s: float) -> None:
        """Average what was counted in the last ``passed_s`` seconds."""
        part = min(1.0, passed_s / AVERAGE_S)
        counted = self._count_by_service
        self._count_by_service = {}
        for service in counted.keys() | self.rate_by_service.keys():
            rate = counted.get(service, 0) / passed_s
            before = self.rate_by_service.get(service, rate)
            self.rate_by_service[service] = before + part * (rate - before)


def demand_by_region(instances: Iterable[RegionDemand]) -> dict[str, dict[str, float]]:
    """Add up the rates by service and region."""
    total: dict[str, dict[str, float]] = {}
    for instance in instances:
        for service, rate in instance.rate_by_service.items():
            by_region = total.setdefault(service, {})
            by_region[instance.region] = by_region.get(instance.region, 0.0) + rate
    return total
