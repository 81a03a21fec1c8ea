"""Plan of which region's slots serve which region's callers.

A region with a tenth of the slots may have a third of the callers. The plan assigns the
expected demand of every region to the slots of all regions, the own region first, since
another one costs 110 ms of round trip. Every instance computes the plan from the same
reports, so that no messages are needed to agree on it.
"""

import logging
from collections.abc import Mapping
from typing import NamedTuple

from plantainloft_node.log_throttle import LogThrottle
from plantainloft_node.placement.demand_forecast import DemandForecast
from plantainloft_node.placement.prediction import ProcessingTimes

__all__ = ['CapacityPlan', 'CapacityPlanner', 'plan_capacity', 'plan_shares']

log = logging.getLogger(__name__)

# A region's own callers use this fraction of its slots before others go elsewhere. With
# endpoints of 3 slots, random variation fills all slots of some at a higher utilisation,
# and demand can grow by a third within the 2 to 4 s until shares follow.
TARGET_UTILISATION = 0.7
# Peaks to which demand may return are provided for while they fit into this utilisation of
# all regions. The remainder covers the error of forecasts; with 1.0, regions were loaded
# above their slots while others had room.
PEAK_UTILISATION = 0.9
# The measured processing time is averaged over this time: the mean of 20 answers varies by
# a tenth, and the region's share with it.
PROCESSING_AVERAGING_S = 4.0
# A region without room is logged at most this often, for each service, and if at least this
# share of its callers' requests is to run elsewhere.
LOG_INTERVAL_S = 10.0
MIN_LOGGED_SHARE = 0.01


class CapacityPlan(NamedTuple):
    """How the demand of all regions is assigned to the slots of all regions.

    ``demand`` is what the plan provides for, in busy slots by region of the callers;
    ``kept`` the part that runs in its own region. The remainder of all regions is divided
    by ``spare``, the slots by region that others may use. ``max_utilisation`` is the
    highest planned utilisation (1.0: all slots are busy) of a region. While the processing
    time is not measured (``is_measured`` is false), demand is in requests a second, or one
    for each region, and only its proportions have a meaning.
    """

    slots: Mapping[str, float]
    demand: Mapping[str, float]
    kept: Mapping[str, float]
    spare: Mapping[str, float]
    max_utilisation: float
    is_measured: bool

    def shares(self, region: str) -> dict[str, float]:
        """Return the share (0..1) of the requests of ``region``'s callers for each region."""
        demand = self.demand.get(region, 0.0)
        if demand > 0:
            own = min(1.0, self.kept[region] / demand)
        else:
            own = 1.0 if self.slots.get(region, 0.0) > 0 else 0.0
        weights = {name: spare for name, spare in self._spare_for(region).items() if spare > 0}
        if not weights:
            return {region: 1.0}
        total = sum(weights.values())
        away = {name: (1 - own) * (weight / total) for name, weight in weights.items()}
        return {region: own, **away}

    def _spare_for(self, region: str) -> dict[str, float]:
        """Return the slots of other regions that ``region`` may use, or all if none is spare."""
        spare = {name: count for name, count in self.spare.items() if name != region}
        if any(spare.values()):
            return spare
        return {name: count for name, count in self.slots.items() if name != region}


def plan_capacity(
    *,
    slots_by_region: Mapping[str, float],
    demand_by_region: Mapping[str, float],
    processing_s: float | None,
    peak_by_region: Mapping[str, float] | None = None,
) -> CapacityPlan:
    """Return the plan for one service.

    ``slots_by_region`` are the usable slots, ``demand_by_region`` the expected requests a
    second of each region's callers and ``peak_by_region`` what they may grow to before
    shares can follow. ``processing_s`` is the mean processing time, cached objects included,
    or ``None`` while unknown: then no region is assumed to have room, and all are loaded in
    proportion to their slots. Without any demand, the same amount is assumed for each region.
    """
    rates = demand_by_region
    if not any(rate > 0 for rate in rates.values()):
        rates = dict.fromkeys((*slots_by_region, *rates), 1.0)
        processing_s = None
    slots_per_rate = 1.0 if processing_s is None else processing_s
    demand = {name: rate * slots_per_rate for name, rate in rates.items()}
    total_slots = sum(slots_by_region.values())
    target = 0.0
    if processing_s is not None:
        target = TARGET_UTILISATION
        peaks = {name: rate * processing_s for name, rate in (peak_by_region or {}).items()}
        demand = _with_growth(demand, peaks, max_total=PEAK_UTILISATION * total_slots)
    mean_utilisation = sum(demand.values()) / total_slots if total_slots > 0 else 0.0
    plan = _fill_regions(slots_by_region, demand, max(target, mean_utilisation))
    return plan._replace(is_measured=processing_s is not None)


def plan_shares(
    *,
    own_region: str,
    slots_by_region: Mapping[str, float],
    demand_by_region: Mapping[str, float],
    processing_s: float | None,
    peak_by_region: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Return the plan's share (0..1) of ``own_region``'s requests for each region.

    The arguments are those of ``plan_capacity``. Without any slots, the result is empty.
    """
    if not sum(slots_by_region.values()):
        return {}
    plan = plan_capacity(
        slots_by_region=slots_by_region,
        demand_by_region=demand_by_region,
        processing_s=processing_s,
        peak_by_region=peak_by_region,
    )
    return plan.shares(own_region)


class CapacityPlanner:
    """The plans of all services at one instance."""

    def __init__(self, *, own_region: str) -> None:
        self._own_region = own_region
        self._log_throttle = LogThrottle(interval_s=LOG_INTERVAL_S)
        self.reset()

    def reset(self) -> None:
        """Forget all demand, processing times and plans."""
        self._forecast = DemandForecast()
        self._processing_s_by_service: dict[str, float] = {}
        self._updated_at: float | None = None
        # The plans of the last update, for metrics.
        self.plan_by_service: dict[str, CapacityPlan] = {}

    def update(
        self,
        demand_by_region: Mapping[str, Mapping[str, float]],
        processing_by_service: Mapping[str, ProcessingTimes],
        now: float,
    ) -> None:
        """Add the reported rates (requests a second), by service and then by region."""
        self._forecast.update(demand_by_region, now)
        elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        weight = min(1.0, elapsed_s / PROCESSING_AVERAGING_S)
        known = self._processing_s_by_service
        for service, times in processing_by_service.items():
            if times.is_measured:
                mean_s = known.get(service, times.mean_s)
                known[service] = mean_s + weight * (times.mean_s - mean_s)
        self.plan_by_service.clear()

    def has_had_demand(self, service: str) -> bool:
        """Return whether any request to ``service`` has been reported."""
        return self._forecast.has_had_demand(service)

    def target_shares(
        self, service: str, slots_by_region: Mapping[str, float], now: float
    ) -> dict[str, float]:
        """Return the target share (0..1) of the own region's requests for each region."""
        if not sum(slots_by_region.values()):
            return {}
        regions = {*slots_by_region, *self._forecast.regions(service)}
        expected = {
            region: demand
            for region in sorted(regions)
            if (demand := self._forecast.expected(service, region)) is not None
        }
        plan = plan_capacity(
            slots_by_region=slots_by_region,
            demand_by_region={region: demand.rate for region, demand in expected.items()},
            processing_s=self._processing_s_by_service.get(service),
            peak_by_region={region: demand.peak_rate for region, demand in expected.items()},
        )
        self.plan_by_service[service] = plan
        shares = plan.shares(self._own_region)
        away = 1 - shares.get(self._own_region, 0.0)
        is_full = plan.is_measured and away >= MIN_LOGGED_SHARE
        if is_full and self._log_throttle.try_acquire(service, now):
            self._log_full(service, away, plan)
        return shares

    def _log_full(self, service: str, away: float, plan: CapacityPlan) -> None:
        region = self._own_region
        log.info(
            'Capacity: region %s has no room for all of its callers of service %s; '
            '%.0f %% are to go to other regions, utilisation %.2f.',
            region,
            service,
            away * 100,
            plan.max_utilisation,
            extra={
                'kind': 'region_full',
                'fields': {
                    'service': service,
                    'region': region,
                    'away': round(away, 3),
                    'utilisation': round(plan.max_utilisation, 3),
                },
            },
        )


def _with_growth(
    demand: Mapping[str, float], peaks: Mapping[str, float], *, max_total: float
) -> dict[str, float]:
    """Return ``demand``, grown towards ``peaks`` as far as ``max_total`` permits.

    While slots are scarce it doesn't grow: slots kept free for a peak would refuse callers.
    """
    growth = {name: max(0.0, peaks.get(name, 0.0) - count) for name, count in demand.items()}
    total_growth = sum(growth.values())
    room = max(0.0, max_total - sum(demand.values()))
    fraction = min(1.0, room / total_growth) if total_growth > 0 else 0.0
    return {name: count + fraction * growth[name] for name, count in demand.items()}


def _fill_regions(
    slots: Mapping[str, float], demand: Mapping[str, float], max_utilisation: float
) -> CapacityPlan:
    """Fill each region with its own demand up to ``max_utilisation``."""
    usable = {name: count * max_utilisation for name, count in slots.items()}
    kept = {name: min(count, usable.get(name, 0.0)) for name, count in demand.items()}
    spare = {name: count - kept.get(name, 0.0) for name, count in usable.items()}
    return CapacityPlan(slots, demand, kept, spare, max_utilisation, is_measured=True)
