"""Request rates by service, for this instance and for all instances."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ['DemandMeter', 'DemandReport', 'demand_by_region']

# Averaging time of the rate: long enough to smooth single requests (20 of them
# at 10 a second), short compared with a wave of traffic.
AVERAGING_S = 2.0


class DemandReport(NamedTuple):
    """Requests a second by service, and the region that they come from."""

    region: str
    rate_by_service: Mapping[str, float]


class DemandMeter:
    """Counts requests and updates a moving average of their rate at each ``update``."""

    def __init__(self) -> None:
        self._count_by_service: dict[str, int] = {}
        self.rate_by_service: dict[str, float] = {}

    def record_request(self, service: str) -> None:
        """Count one request."""
        self._count_by_service[service] = self._count_by_service.get(service, 0) + 1

    def update(self, elapsed_s: float) -> None:
        """Add the requests counted in the last ``elapsed_s`` seconds to the average."""
        weight = min(1.0, elapsed_s / AVERAGING_S)
        counts = self._count_by_service
        self._count_by_service = {}
        for service in counts.keys() | self.rate_by_service.keys():
            rate = counts.get(service, 0) / elapsed_s
            previous = self.rate_by_service.get(service, rate)
            self.rate_by_service[service] = previous + weight * (rate - previous)


def demand_by_region(reports: Iterable[DemandReport]) -> dict[str, dict[str, float]]:
    """Return the sum of the reported rates, by service and then by region."""
    total: dict[str, dict[str, float]] = {}
    for report in reports:
        for service, rate in report.rate_by_service.items():
            by_region = total.setdefault(service, {})
            by_region[report.region] = by_region.get(report.region, 0.0) + rate
    return total
