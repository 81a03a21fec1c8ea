"""The part of a service's room for returns that this instance may promise."""

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

__all__ = ['FleetReports', 'ReturnShare', 'ReturnShares']

# Reports of other regions are up to this old. Shares use the least own demand and the largest
# sum since then: otherwise a rise in demand would enlarge all shares before any instance
# knows the new sum.
REPORT_DELAY_S = 2.0
# Requests a second below which the rate of an instance is mostly chance: over the 2 s for
# which rates are averaged, 5 a second vary by a third.
UNCERTAIN_RATE = 5.0
_Rates: TypeAlias = Mapping[str, float]


class ReturnShare(NamedTuple):
    """A part (0..1) of the room, after ``start`` (0..1), the parts of others before it."""

    start: float
    size: float


class FleetReports(NamedTuple):
    """What an instance knows of the fleet.

    ``rates_by_zone``: requests a second by availability zone and service; zones without
    recent reports are missing. ``instances_by_zone``: how many instances may be running, this
    one included. ``reporting_by_zone``: from how many of these there are reports.
    ``zone_position``: place of this instance, from 0, among those of its zone.
    """

    own_zone: str
    own_rates: _Rates
    rates_by_zone: Mapping[str, _Rates]
    instances_by_zone: Mapping[str, int]
    reporting_by_zone: Mapping[str, int]
    zone_position: int


class _Sample(NamedTuple):
    """Rates of this instance and of the fleet at a time."""

    at: float
    own_rates: _Rates
    total_rates: _Rates


class ReturnShares:
    """Shares by recent demand; those of instances that are silent remain theirs."""

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque()
        self._rates_by_zone: dict[str, _Rates] = {}
        self._whole_shares: dict[str, ReturnShare] = {}

    def update(self, reports: FleetReports, now: float) -> dict[str, ReturnShare]:
        """Return this instance's share of each service that has demand."""
        known = {**self._rates_by_zone, **reports.rates_by_zone}
        self._rates_by_zone = {
            zone: known[zone] for zone in sorted(known) if zone in reports.instances_by_zone
        }
        total_rates: dict[str, float] = {}
        for rates in self._rates_by_zone.values():
            for service, rate in rates.items():
                total_rates[service] = total_rates.get(service, 0.0) + rate
        self._samples.append(_Sample(now, dict(reports.own_rates), total_rates))
        while len(self._samples) > 1 and self._samples[1].at <= now - REPORT_DELAY_S:
            self._samples.popleft()
        if not reports.instances_by_zone:
            return {}
        shares = {
            service: self._share(service, reports)
            for service in total_rates.keys() | reports.own_rates.keys()
        }
        if reports.instances_by_zone.keys() <= reports.rates_by_zone.keys():
            self._whole_shares = shares
            return shares
        return {service: self._limited(service, share) for service, share in shares.items()}

    def _limited(self, service: str, share: ReturnShare) -> ReturnShare:
        """Limit a share to what it was when all zones reported: a silent one grows too."""
        whole = self._whole_shares.get(service, share)
        return share._replace(size=min(share.size, whole.size))

    def _share(self, service: str, reports: FleetReports) -> ReturnShare:
        instance_count = sum(reports.instances_by_zone.values())
        total = max(sample.total_rates.get(service, 0.0) for sample in self._samples)
        if reports.own_zone not in self._rates_by_zone or total <= 0:
            before = _sum_before(reports.own_zone, reports.instances_by_zone)
            position = before + reports.zone_position
            return ReturnShare(position / instance_count, 1 / instance_count)
        rate_by_zone = {
            zone: rates.get(service, 0.0) for zone, rates in self._rates_by_zone.items()
        }
        mean_rate = rate_by_zone[reports.own_zone] / reports.instances_by_zone[reports.own_zone]
        before = _sum_before(reports.own_zone, rate_by_zone) + mean_rate * reports.zone_position
        own_rate = self._own_rate(service, reports, mean_rate)
        known_part = self._known_instances(reports) / instance_count
        return ReturnShare(before / total, min(1.0, own_rate / total) * known_part)

    def _own_rate(self, service: str, reports: FleetReports, mean_rate: float) -> float:
        """Return the own rate, drawn to the mean of the zone where requests are few."""
        reported = self._samples[0]
        # The first rates after a start are of few requests.
        is_reported = self._samples[-1].at - reported.at >= REPORT_DELAY_S
        earlier_rate = reported.own_rates.get(service, 0.0) if is_reported else mean_rate
        own_rate = min(reports.own_rates.get(service, 0.0), earlier_rate)
        weight = mean_rate / (mean_rate + UNCERTAIN_RATE)
        return own_rate * weight + mean_rate * (1 - weight)

    def _known_instances(self, reports: FleetReports) -> int:
        """Count the instances whose demand is part of the known one."""
        # A silent zone counts with its last demand, which therefore remains its own.
        return sum(
            min(reports.reporting_by_zone.get(zone, 0), count)
            if zone in reports.rates_by_zone
            else count
            for zone, count in reports.instances_by_zone.items()
            if zone in self._rates_by_zone
        )


def _sum_before(zone: str, by_zone: Mapping[str, float]) -> float:
    return sum(by_zone[other] for other in by_zone if other < zone)
